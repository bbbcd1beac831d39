package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// engineRestartDelay is how long a crashed engine of a test is down.
	engineRestartDelay = 400 * time.Millisecond

	engineHeartbeat = 500 * time.Millisecond

	// settleTime is how long after the fifth crash requests with the part may still be sent.
	settleTime = 3 * time.Second

	// maxLateRequests is the number of requests with the part that may reach engines after settleTime.
	maxLateRequests = 3

	crashThreshold = 5 // crashes after which settleTime starts
)

// crashingEngines are engines that crash when they begin the answer to a prompt with the part "bad".
type crashingEngines struct {
	t       testing.TB
	control *testNode
	starts  atomic.Int64

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the part
}

// start starts an engine under a new ID.
func (c *crashingEngines) start(address string) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Errorf("engine: %v", err)
		return
	}
	c.t.Cleanup(func() { _ = ln.Close() })
	n := c.starts.Add(1)
	e := &crashingEngine{engines: c, ln: ln, conns: map[net.Conn]bool{}, record: registrar.Endpoint{
		ID: fmt.Sprintf("e%d", n), Service: "s", Address: address, Domain: "d", Slots: 32, State: registrar.Ready, Born: n}}
	go e.accept()
	e.sendHeartbeats()
}

// lateArrivals returns the crashes and the arrivals of requests with the part after the crash that starts settleTime.
func (c *crashingEngines) lateArrivals() (crashes, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashThreshold {
		return len(c.crashes), 0
	}
	from := c.crashes[crashThreshold-1].Add(settleTime)
	for _, at := range c.arrivals {
		if at.After(from) {
			late++
		}
	}
	return len(c.crashes), late
}

type crashingEngine struct {
	engines *crashingEngines
	ln      net.Listener
	record  registrar.Endpoint

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

// sendHeartbeats registers the engine until it crashes or the test ends.
func (e *crashingEngine) sendHeartbeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.engines.t.Context().Err() != nil {
		return
	}
	e.record.Sequence++
	if _, err := e.engines.control.fleet.Register(context.Background(), e.record); err != nil {
		e.engines.t.Logf("heartbeat of %s: %v", e.record.ID, err)
	}
	time.AfterFunc(engineHeartbeat, e.sendHeartbeats)
}

func (e *crashingEngine) accept() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *crashingEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		head := "HTTP/1.1 200 OK\r\nReq-Id: " + r.Header.Get("Req-Id") + "\r\nContent-Type: text/event-stream\r\n"
		isBad := strings.Contains(r.Header.Get("Parts"), "bad:")
		if isBad {
			e.engines.mu.Lock()
			e.engines.arrivals = append(e.engines.arrivals, time.Now())
			e.engines.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond) // reads the prompt
		if isBad {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			e.crash()
			return
		}
		const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
		if _, err := io.WriteString(conn, head+"Content-Length: "+itoa(len(events))+"\r\n\r\n"+events); err != nil {
			return
		}
	}
}

// crash closes the listener and all connections, and starts the engine again after engineRestartDelay.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	_ = e.ln.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.engines.mu.Lock()
	e.engines.crashes = append(e.engines.crashes, time.Now())
	e.engines.mu.Unlock()
	time.AfterFunc(engineRestartDelay, func() { e.engines.start(e.record.Address) })
}

// promptTraffic sends streams with different prompts to the nodes in turn, each with a retry by the caller.
type promptTraffic struct {
	urls []string
	n    atomic.Int64
	sent sync.WaitGroup

	mu            sync.Mutex
	served, total map[int64]int // first attempts of sound requests by second
	start         time.Time
}

// send sends one request in the background; all requests share their caller and their first part.
func (p *promptTraffic) send(subject string, isSound bool) {
	n := p.n.Add(1)
	second := int64(time.Since(p.start) / time.Second)
	p.sent.Go(func() {
		ok := p.call(n, subject)
		if !isSound && !ok {
			p.call(n+1, subject) // the caller tries once more, at another node
		}
		if isSound {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.total[second]++
			if ok {
				p.served[second]++
			}
		}
	})
}

func (p *promptTraffic) call(n int64, subject string) (ok bool) {
	body, err := callPrompt(p.urls[n%int64(len(p.urls))], "/resume/", n, subject)
	return err == nil && strings.Contains(body, "id: 3")
}

// callPrompt sends a prompt with its own last part, and returns the body of a complete 200 response.
func callPrompt(url, path string, n int64, subject string) (body string, err error) {
	question := fmt.Sprintf("%s question %d", subject, n)
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(question))
	if err != nil {
		return "", err
	}
	r.Host = "h.example"
	r.Header.Set("Req-Id", fmt.Sprintf("id-%d", n))
	r.Header.Set("Api-Key", "key")
	r.Header.Set("Parts", fmt.Sprintf("instructions:100,%s:400,tail%d:20", subject, n))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return string(data), err
}

// Guards against engines that crash one after the other because requests that share one part of their prompts, and
// nothing else, are not recognized as the cause, and against refusals of sound requests that share the other parts.
func TestPromptPartThatCrashesEndpointsIsRefused(t *testing.T) {
	const (
		engines      = 9
		duration     = 8 * time.Second
		tick         = 20 * time.Millisecond
		ticksPerBad  = 10
		subjects     = 20
		warmUp       = time.Second
		soundMinimum = 0.5
	)
	f := newTestFleet(t, 3, 4)
	f.startAll()
	p := testPlan(1)
	p.Services = []planner.Service{{Name: "s", Engine: true, Slots: 32}}
	f.retryCommand("plan", f.nodes[:3], func(c Control) error { return c.PutPlan(context.Background(), encodePlan(t, p)) })
	f.awaitPlan(1, f.nodes)
	c := &crashingEngines{t: t, control: f.nodes[0]}
	for range engines {
		c.start(freeAddress())
	}
	traffic := &promptTraffic{served: map[int64]int{}, total: map[int64]int{}, start: time.Now()}
	for _, n := range f.nodes {
		srv := httptest.NewServer(n.front)
		t.Cleanup(srv.Close)
		traffic.urls = append(traffic.urls, srv.URL)
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for i := 0; time.Since(traffic.start) < duration; i++ {
		<-ticker.C
		traffic.send(fmt.Sprintf("subject%d", i%subjects), true)
		if i%ticksPerBad == 0 && time.Since(traffic.start) > warmUp {
			traffic.send("bad", false)
		}
	}
	traffic.sent.Wait()
	crashes, late := c.lateArrivals()
	served, total := 0, 0
	from := (warmUp + settleTime + time.Second) / time.Second
	for second := from; second < duration/time.Second; second++ {
		served, total = served+traffic.served[int64(second)], total+traffic.total[int64(second)]
	}
	t.Logf("%d engines crashed, %d late requests with the part, %d of %d sound requests served in the end",
		crashes, late, served, total)
	assert.Check(t, late <= maxLateRequests,
		"%d requests with the part reached engines later than %v after the fifth crash", late, settleTime)
	assert.Check(t, float64(served) >= soundMinimum*float64(total), "%d of %d sound requests served", served, total)
}
