package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

// Guards against a value that is taken for a limit, or for the end of one, although it is no number of requests.
func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		values    []string
		perSecond float64
		isLimited bool
		valid     bool
	}{
		{"none", nil, 0, false, true},
		{"decimal", []string{" 7.5 "}, 7.5, true, true},
		{"takes none", []string{"0"}, 0, true, true},
		{"huge", []string{"1e300"}, 1e300, true, true},
		{"two values", []string{"9", "4"}, 4, true, true},
		{"negative", []string{"-1"}, 0, false, false},
		{"not a number", []string{"NaN"}, 0, false, false},
		{"infinite", []string{"+Inf"}, 0, false, false},
		{"text", []string{"8 a second"}, 0, false, false},
		{"empty", []string{""}, 0, false, false},
		{"one of two is invalid", []string{"8", "x"}, 0, false, false},
	} {
		perSecond, isLimited, valid := parseRateLimit(c.values)
		assert.Equal(t, perSecond, c.perSecond, c.name)
		assert.Equal(t, isLimited, c.isLimited, c.name)
		assert.Equal(t, valid, c.valid, c.name)
	}
}

// Guards against a limit that is missed because it is named on an error or a rejection, and against one that is taken
// from an informational response, from a trailer or from the response to another request.
func TestRateLimitIsReadFromFinalResponses(t *testing.T) {
	const limit = "Rate-Limit: 7\r\n"
	for _, c := range []struct {
		name     string
		response string
		want     float64 // -1 for none
	}{
		{"success", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"error", "HTTP/1.1 500 Error\r\nReq-Id: id-1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"rejection", "HTTP/1.1 503 Full\r\nReq-Id: id-1\r\nNot-Run: 1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"informational", "HTTP/1.1 103 Early Hints\r\n" + limit +
			"\r\nHTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 0\r\n\r\n", -1},
		{"trailer", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + limit + "\r\n", -1},
		{"other request", "HTTP/1.1 200 OK\r\nReq-Id: id-0\r\n" + limit +
			"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 0\r\n\r\n", -1},
	} {
		p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, func(req *receivedRequest) {
			_, _ = req.conn.Write([]byte(c.response))
		}))
		p.call(t, http.MethodPost, "/once/", "")
		loads, _ := p.fleet.routing.snapshot(time.Now())
		assert.Equal(t, loads[0].RateLimit, c.want, c.name)
	}
}

// Guards against an endpoint that gets more requests than it has said that it takes, because each node knows the limit
// only from its own responses, or sends as if it were alone.
func TestNamedLimitHoldsOverAllNodes(t *testing.T) {
	const (
		perSecond  = 5
		namedAfter = 1500 * time.Millisecond
		settleTime = 3 * time.Second
		span       = 4 * time.Second
		allowed    = 1.5*perSecond*4 + 5 // requests within span
		duration   = 10 * time.Second
		tick       = 8 * time.Millisecond
	)
	f := newTestFleet(t, 3, 4)
	f.startAll()
	f.retryCommand("plan", f.nodes[:3], func(c Control) error {
		return c.PutPlan(context.Background(), encodePlan(t, engineTestPlan(1)))
	})
	f.awaitPlan(1, f.nodes)
	start := time.Now()
	var mu sync.Mutex
	arrivals := map[string][]time.Duration{}
	for i := range 5 {
		id := fmt.Sprintf("e%d", i)
		e := newFakeEndpoint(t, func(req *receivedRequest) {
			at := time.Since(start)
			mu.Lock()
			arrivals[id] = append(arrivals[id], at)
			mu.Unlock()
			header := ""
			if i < 3 && at >= namedAfter {
				header = "Rate-Limit: " + itoa(perSecond) + "\r\n"
			}
			req.respond("200 OK", header, "answer")
		})
		f.retryCommand("endpoint", f.nodes[:1], func(c Control) error {
			_, err := c.Register(context.Background(), registrar.Endpoint{ID: id, Service: "s", Address: e.address, Domain: "d",
				Slots: 32, State: registrar.Ready, Born: 1, Sequence: 1})
			return err
		})
	}
	urls := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		srv := httptest.NewServer(n.front)
		t.Cleanup(srv.Close)
		urls = append(urls, srv.URL)
	}
	var calls sync.WaitGroup
	var served, total atomic.Int64
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for n := 0; time.Since(start) < duration; n++ {
		<-ticker.C
		calls.Go(func() {
			total.Add(1)
			if _, err := callPrompt(urls[n%len(urls)], "/safe/", int64(n), fmt.Sprintf("subject%d", n%50)); err == nil {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, times := range arrivals {
		worst := 0
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at-from < span {
					n++
				}
			}
			if from >= namedAfter+settleTime && from < duration-span {
				worst = max(worst, n)
			}
		}
		t.Logf("%s: %d requests, at most %d within %v", id, len(times), worst, span)
		if id < "e3" {
			assert.Check(t, worst <= allowed, "%s: %d requests within %v, %v are allowed", id, worst, span, allowed)
		}
	}
	assert.Check(t, served.Load() >= total.Load()*9/10, "%d of %d requests served", served.Load(), total.Load())
}
