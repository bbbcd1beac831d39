package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

// Guards against requests and answers that change on their way.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	e := newFakeEndpoint(t, func(s *receivedRequest) { s.respond("207 Odd", "Signed: yes\r\nX-Own: 1\r\n", "body") })
	f := newTestProxy(t, testPlan(1), e)
	got := f.call(t, http.MethodPut, "/safe/a%2Fb?x=%20&y", "payload", "X-Other", "kept", "Hold", "mine", "Urgency", "0",
		"Workspace", "forged", "Expected-Endpoint", "forged", "Connection", "X-Hop", "X-Hop", "1")
	assert.Equal(t, got.status, 207)
	assert.Equal(t, got.body, "body")
	assert.Equal(t, got.header.Get("Signed"), "yes")
	assert.Equal(t, got.header.Get("X-Own"), "1")

	r := e.requests[0]
	assert.Equal(t, r.Method, http.MethodPut)
	assert.Equal(t, r.RequestURI, "/safe/a%2Fb?x=%20&y")
	assert.Equal(t, r.Host, "h.example")
	assert.Equal(t, e.bodies[0], "payload")
	for name, want := range map[string]string{"Req-Id": "id-1", "X-Other": "kept", "Workspace": "w",
		"Expected-Endpoint": "a", "Hold": "", "Urgency": "", "Api-Key": "", "X-Hop": ""} {
		assert.Equal(t, r.Header.Get(name), want, name)
	}
}

// Guards against answers that claim what isn't known, or that tell a caller to go away for good too early.
func TestRefusals(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	f := newTestProxy(t, testPlan(1), e)
	empty := newTestProxy(t, testPlan(1))
	unborn := newTestProxy(t, nil, e)
	for _, c := range []struct {
		name   string
		front  *testProxy
		path   string
		header []string
		status int
		again  bool // Retry-After is given
	}{
		{"no plan yet", unborn, "/nowhere/", nil, http.StatusServiceUnavailable, true},
		{"no plan yet, unknown key", unborn, "/safe/", []string{"Api-Key", "x"}, http.StatusServiceUnavailable, true},
		{"no route", f, "/nowhere/", nil, http.StatusNotFound, false},
		{"unknown key", f, "/safe/", []string{"Api-Key", "x"}, http.StatusUnauthorized, false},
		{"public route", f, "/open/", []string{"Api-Key", "x"}, http.StatusOK, false},
		{"no endpoint", empty, "/once/", nil, http.StatusServiceUnavailable, true},
	} {
		got := c.front.call(t, http.MethodGet, c.path, "", c.header...)
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, got.header.Get("Retry-After") != "", c.again, c.name)
	}
	big := f.call(t, http.MethodPost, "/safe/", strings.Repeat("x", 1<<20+1))
	assert.Equal(t, big.status, http.StatusRequestEntityTooLarge)
}

// Guards against callers that are turned away by a node that has just started, some tenths of a second before it knows
// the plan.
func TestRequestWaitsForTheFirstPlan(t *testing.T) {
	f := newTestProxy(t, nil, newFakeEndpoint(t, respondOK))
	go func() { _ = f.fleet.publishViews(t.Context()) }()
	go func() {
		time.Sleep(firstPlanTimeout / 4)
		doc := encodedTestPlan(t, 3)
		f.fleet.receiveState(1, &doc, nil)
	}()
	assert.Equal(t, f.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
}

// Guards against callers that are held while nothing can be served: by a node that is cut off from control, and beyond
// their own deadline.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	const atOnce = 100 * time.Millisecond
	f := newTestProxy(t, nil, newFakeEndpoint(t, respondOK))
	began := time.Now()
	assert.Equal(t, f.call(t, http.MethodPost, "/once/", "x", "Left-Ms", "20").status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < atOnce, "took %s", time.Since(began))
	f.fleet.started = began.Add(-firstPlanTimeout)
	began = time.Now()
	assert.Equal(t, f.call(t, http.MethodPost, "/once/", "x").status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < atOnce, "took %s", time.Since(began))
}

// Guards against a second run of what may run once, and against a promise "not run" for what has run.
func TestRetryAfterFailedAttempt(t *testing.T) {
	type step func(s *receivedRequest)
	breakOff := func(*receivedRequest) {}
	rejected := func(s *receivedRequest) { s.respond("503 Full", "Not-Run: 1\r\n", "") }
	misdirected := func(s *receivedRequest) { s.respond("421 Other", "", "") }
	failed := func(s *receivedRequest) { s.respond("500 Failed", "Signed: yes\r\n", "own") }
	shed := func(s *receivedRequest) { s.respond("503 Busy", "Signed: yes\r\n", "own") }
	short := func(s *receivedRequest) {
		_, _ = io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf")
	}
	for _, c := range []struct {
		name, path string
		first      step
		sends      int
		status     int
	}{
		{"once, broken off", "/once/", breakOff, 1, 502},
		{"once, answer cut", "/once/", short, 1, 502},
		{"once, rejected", "/once/", rejected, 2, 200},
		{"once, misdirected", "/once/", misdirected, 2, 200},
		{"once, failed", "/once/", failed, 1, 500},
		{"once, ran and says busy", "/once/", shed, 1, 502},
		{"repeatable, broken off", "/safe/", breakOff, 2, 200},
		{"repeatable, answer cut", "/safe/", short, 2, 200},
		{"repeatable, failed", "/safe/", failed, 2, 200},
		{"repeatable, rejected", "/safe/", rejected, 2, 200},
		{"stream that can't resume, broken off", "/stream/", breakOff, 1, 502},
	} {
		sent := make(chan string, 8)
		handle := func(s *receivedRequest) {
			sent <- s.r.Header.Get("Expected-Endpoint")
			if len(sent) == 1 {
				c.first(s)
				_ = s.conn.Close()
				return
			}
			respondOK(s)
		}
		f := newTestProxy(t, testPlan(1), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
		got := f.call(t, http.MethodPost, c.path, "x")
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, len(sent), c.sends, c.name)
		if c.sends == 2 {
			first, second := <-sent, <-sent
			assert.Assert(t, first != second, "%s: the same endpoint twice", c.name)
		}
	}
}

// Guards against attempts at more endpoints than the route allows, and against a storm of repeats when all fail.
func TestRouteLimitsAttempts(t *testing.T) {
	total := make(chan struct{}, 100)
	handle := func(s *receivedRequest) {
		total <- struct{}{}
		s.respond("500 Failed", "Signed: yes\r\n", "")
	}
	ends := make([]*fakeEndpoint, 0, 5)
	for range 5 {
		ends = append(ends, newFakeEndpoint(t, handle))
	}
	f := newTestProxy(t, testPlan(1), ends...)
	got := f.call(t, http.MethodGet, "/safe/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("Signed"), "yes")
	assert.Equal(t, len(total), 2)
}

// Guards against an error of an endpoint that is replaced by another one where no second attempt is possible.
func TestLastEndpointErrorIsForwarded(t *testing.T) {
	e := newFakeEndpoint(t, func(s *receivedRequest) { s.respond("500 Failed", "Signed: yes\r\n", "own") })
	f := newTestProxy(t, testPlan(1), e)
	got := f.call(t, http.MethodGet, "/safe/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("Signed"), "yes")
	assert.Equal(t, got.body, "own")
	assert.Equal(t, e.count(), 1)
}

// Guards against an unreachable endpoint that fails requests which others could serve.
func TestUnreachableEndpointIsSkipped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := &fakeEndpoint{address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	live := newFakeEndpoint(t, respondOK)
	f := newTestProxy(t, testPlan(1), dead, live)
	for range 6 {
		assert.Equal(t, f.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
	}
	alone := newTestProxy(t, testPlan(1), dead)
	got := alone.call(t, http.MethodPost, "/once/", "x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
}

// Guards against endpoints that get more time than the caller has left, and against answers after the route's time.
func TestDeadlineIsPropagated(t *testing.T) {
	left := make(chan int, 4)
	e := newFakeEndpoint(t, func(s *receivedRequest) {
		ms, _ := strconv.Atoi(s.r.Header.Get("Left-Ms"))
		left <- ms
		time.Sleep(400 * time.Millisecond)
	})
	f := newTestProxy(t, testPlan(1), e)
	began := time.Now()
	got := f.call(t, http.MethodGet, "/short/", "", "Left-Ms", "60000")
	took := time.Since(began)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, took < 450*time.Millisecond, "%v", took)
	assert.Assert(t, <-left <= 200)
	f.call(t, http.MethodGet, "/safe/", "", "Left-Ms", "50")
	assert.Assert(t, <-left <= 50)
}

// Guards against an endpoint that works on for a caller that has left.
func TestDisconnectCancelsRequestAtEndpoint(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan time.Time, 1)
	e := newFakeEndpoint(t, func(s *receivedRequest) {
		close(arrived)
		_, _ = s.conn.Read(make([]byte, 1))
		gone <- time.Now()
	})
	f := newTestProxy(t, testPlan(1), e)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/once/", strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Api-Key", "key")
	go func() {
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-arrived
	at := time.Now()
	cancel()
	assert.Assert(t, (<-gone).Sub(at) < 500*time.Millisecond)
}

// Guards against an endpoint that never answers and goes on getting its share, because nothing ever fails there.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	silent := newFakeEndpoint(t, func(s *receivedRequest) { _, _ = s.conn.Read(make([]byte, 1)) })
	live := newFakeEndpoint(t, respondOK)
	f := newTestProxy(t, testPlan(1), silent, live)
	for silent.count() == 0 {
		f.call(t, http.MethodPost, "/once/", "x", "Left-Ms", "1100")
	}
	for range 4 {
		assert.Equal(t, f.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
	}
	assert.Equal(t, silent.count(), 1)
}

func testEvent(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// startStream writes the head of a stream and chunks of it.
func startStream(s *receivedRequest, chunks ...string) {
	_, _ = io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nReq-Id: "+s.r.Header.Get("Req-Id")+
		"\r\nSigned: "+s.r.Header.Get("Expected-Endpoint")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, c := range chunks {
		_, _ = fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(c), c)
	}
}

func endStream(s *receivedRequest) { _, _ = io.WriteString(s.conn, "0\r\n\r\n") }

// Guards against events that are missing, doubled or cut where two runs of a stream are joined.
func TestInterruptedStreamResumesAtAnotherEndpoint(t *testing.T) {
	first := make(chan bool, 1)
	first <- true
	handle := func(s *receivedRequest) {
		select {
		case <-first:
			startStream(s, testEvent(1), testEvent(2)+testEvent(3)[:7])
			_ = s.conn.Close()
		default:
			from, _ := strconv.Atoi(s.r.Header.Get("Last-Event-Id"))
			startStream(s)
			for n := from + 1; n <= 5; n++ {
				_, _ = fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(testEvent(n)), testEvent(n))
			}
			endStream(s)
		}
	}
	f := newTestProxy(t, testPlan(1), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
	got := f.call(t, http.MethodPost, "/resume/", "x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, testEvent(1)+testEvent(2)+testEvent(3)+testEvent(4)+testEvent(5))
}

// Guards against a broken stream that looks complete, or goes on at another endpoint although its route forbids it.
func TestInterruptedStreamWithoutResumeIsAborted(t *testing.T) {
	handle := func(s *receivedRequest) {
		startStream(s, testEvent(1), testEvent(2))
		_ = s.conn.Close()
	}
	a, b := newFakeEndpoint(t, handle), newFakeEndpoint(t, handle)
	f := newTestProxy(t, testPlan(1), a, b)
	got := f.call(t, http.MethodPost, "/stream/", "x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, a.count()+b.count(), 1)
	// A stream that may be resumed breaks, too, once its attempts are used up.
	got = f.call(t, http.MethodPost, "/resume/", "x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, a.count()+b.count(), 3)
}

// Guards against events that wait for later ones.
func TestEventsAreForwardedImmediately(t *testing.T) {
	next := make(chan struct{})
	e := newFakeEndpoint(t, func(s *receivedRequest) {
		startStream(s, testEvent(1))
		<-next
		_, _ = fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(testEvent(2)), testEvent(2))
		endStream(s)
	})
	for _, path := range []string{"/stream/", "/resume/"} {
		f := newTestProxy(t, testPlan(1), e)
		r, err := http.NewRequest(http.MethodPost, f.url+path, nil)
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set("Api-Key", "key")
		r.Header.Set("Req-Id", "id-1")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		br := bufio.NewReader(resp.Body)
		got := make([]byte, len(testEvent(1)))
		_, err = io.ReadFull(br, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), testEvent(1))
		next <- struct{}{}
		rest, err := io.ReadAll(br)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), testEvent(2))
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against a request that is hidden in the body of another one, and against two lengths.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	f := newTestProxy(t, testPlan(1), e)
	inner := "GET /safe/inner HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\nReq-Id: id-2\r\n\r\n"
	head := "POST /safe/outer HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\nReq-Id: id-1\r\nConnection: close\r\n"
	for _, raw := range []string{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		head + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + inner,
		head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(c, raw)
		assert.NilError(t, err)
		_, _ = io.ReadAll(c)
		assert.NilError(t, c.Close())
	}
	for _, r := range e.requests {
		assert.Equal(t, r.RequestURI, "/safe/outer")
	}
}

// Guards against a request that breaks one endpoint after the other.
func TestPoisonRequestIsRefused(t *testing.T) {
	handle := func(s *receivedRequest) {
		if s.body == "poison" {
			_ = s.conn.Close()
			return
		}
		respondOK(s)
	}
	ends := make([]*fakeEndpoint, 0, 6)
	for range 6 {
		ends = append(ends, newFakeEndpoint(t, handle))
	}
	f := newTestProxy(t, testPlan(1), ends...)
	for range 5 {
		f.call(t, http.MethodGet, "/safe/", "poison")
	}
	broken := 0
	for _, e := range ends {
		broken += e.count()
	}
	assert.Assert(t, broken <= convictionThreshold+1, "%d", broken)
	got := f.call(t, http.MethodGet, "/safe/", "poison")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.call(t, http.MethodGet, "/safe/", "other").status, http.StatusOK)
}

// Guards against the endpoints of a failure domain that still get requests after it was taken out.
func TestTakenOutDomainReceivesNoRequests(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	f := newTestProxy(t, testPlan(1), e)
	f.fleet.view.Store(&view{plan: indexedTestPlan(t), takenOut: map[string]bool{"d": true}})
	f.fleet.updateRouting()
	assert.Equal(t, f.call(t, http.MethodGet, "/safe/", "").status, http.StatusServiceUnavailable)
	f.fleet.view.Store(&view{plan: indexedTestPlan(t), takenOut: map[string]bool{}})
	f.fleet.updateRouting()
	assert.Equal(t, f.call(t, http.MethodGet, "/safe/", "").status, http.StatusOK)
}

// Guards against a list of endpoints that is replaced by an older one: a rebuild that began earlier must not end later.
func TestConcurrentRebuildsKeepTheLatestList(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	for range 200 {
		f := newTestProxy(t, testPlan(1), e)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 20 {
				f.fleet.updateRouting()
			}
		}()
		f.fleet.mergeEndpoints([]registrar.Endpoint{{ID: "a", Service: "s", Address: e.address, Domain: "d",
			State: registrar.Draining, Born: 1, Sequence: 2}}, "test")
		<-done
		_, why := f.fleet.routing.choose(time.Now(), testQuery(f))
		assert.Assert(t, why != "")
	}
}
