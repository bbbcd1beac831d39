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

// Guards against requests and responses that are modified in transit, and against forged or internal headers that reach
// an endpoint.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	e := newFakeEndpoint(t, func(req *receivedRequest) { req.respond("207 Odd", "Signed: yes\r\nX-Own: 1\r\n", "body") })
	p := newTestProxy(t, testPlan(1), e)
	got := p.call(t, http.MethodPut, "/safe/a%2Fb?x=%20&y", "payload", "X-Other", "kept", "Hold", "mine", "Urgency", "0",
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

// Guards against refusals with a wrong status, such as 404 while the plan is unknown, and against a wrong Retry-After.
func TestRefusals(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), e)
	withoutEndpoints := newTestProxy(t, testPlan(1))
	withoutPlan := newTestProxy(t, nil, e)
	for _, c := range []struct {
		name          string
		proxy         *testProxy
		path          string
		header        []string
		status        int
		hasRetryAfter bool
	}{
		{"no plan yet", withoutPlan, "/nowhere/", nil, http.StatusServiceUnavailable, true},
		{"no plan yet, unknown key", withoutPlan, "/safe/", []string{"Api-Key", "x"}, http.StatusServiceUnavailable, true},
		{"no route", p, "/nowhere/", nil, http.StatusNotFound, false},
		{"unknown key", p, "/safe/", []string{"Api-Key", "x"}, http.StatusUnauthorized, false},
		{"public route", p, "/open/", []string{"Api-Key", "x"}, http.StatusOK, false},
		{"no endpoint", withoutEndpoints, "/once/", nil, http.StatusServiceUnavailable, true},
	} {
		got := c.proxy.call(t, http.MethodGet, c.path, "", c.header...)
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, got.header.Get("Retry-After") != "", c.hasRetryAfter, c.name)
	}
	tooLarge := p.call(t, http.MethodPost, "/safe/", strings.Repeat("x", 1<<20+1))
	assert.Equal(t, tooLarge.status, http.StatusRequestEntityTooLarge)
}

// Guards against requests that a node refuses right after its start, a few tenths of a second before it receives the
// plan.
func TestRequestWaitsForTheFirstPlan(t *testing.T) {
	p := newTestProxy(t, nil, newFakeEndpoint(t, respondOK))
	go func() { _ = p.fleet.publishViews(t.Context()) }()
	go func() {
		time.Sleep(firstPlanTimeout / 4)
		plan := encodedTestPlan(t, 3)
		p.fleet.receiveState(1, &plan, nil, nil, stateFromLog)
	}()
	assert.Equal(t, p.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
}

// Guards against requests that wait although they can't be served: beyond their own deadline, and at a node without
// a connection to a control instance.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	const maxDuration = 100 * time.Millisecond
	p := newTestProxy(t, nil, newFakeEndpoint(t, respondOK))
	elapsed := startClock(t)
	assert.Equal(t, p.call(t, http.MethodPost, "/once/", "x", "Left-Ms", "20").status, http.StatusServiceUnavailable)
	assert.Assert(t, elapsed() < maxDuration, "took %s", elapsed())
	p.fleet.started = time.Now().Add(-firstPlanTimeout)
	elapsed = startClock(t)
	assert.Equal(t, p.call(t, http.MethodPost, "/once/", "x").status, http.StatusServiceUnavailable)
	assert.Assert(t, elapsed() < maxDuration, "took %s", elapsed())
}

// Guards against a second execution of a non-repeatable request, and against a status that claims that an executed
// request was not executed.
func TestRetryAfterFailedAttempt(t *testing.T) {
	type handler func(req *receivedRequest)
	disconnect := func(*receivedRequest) {}
	rejected := func(req *receivedRequest) { req.respond("503 Full", "Not-Run: 1\r\n", "") }
	misdirected := func(req *receivedRequest) { req.respond("421 Other", "", "") }
	serverError := func(req *receivedRequest) { req.respond("500 Failed", "Signed: yes\r\n", "own") }
	busy := func(req *receivedRequest) { req.respond("503 Busy", "Signed: yes\r\n", "own") }
	truncated := func(req *receivedRequest) {
		_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf")
	}
	for _, c := range []struct {
		name, path string
		first      handler
		sends      int
		status     int
	}{
		{"once, connection closed", "/once/", disconnect, 1, 502},
		{"once, truncated response", "/once/", truncated, 1, 502},
		{"once, rejected", "/once/", rejected, 2, 200},
		{"once, misdirected", "/once/", misdirected, 2, 200},
		{"once, server error", "/once/", serverError, 1, 500},
		{"once, busy after execution", "/once/", busy, 1, 502},
		{"repeatable, connection closed", "/safe/", disconnect, 2, 200},
		{"repeatable, truncated response", "/safe/", truncated, 2, 200},
		{"repeatable, server error", "/safe/", serverError, 2, 200},
		{"repeatable, rejected", "/safe/", rejected, 2, 200},
		{"non-resumable stream, connection closed", "/stream/", disconnect, 1, 502},
	} {
		targets := make(chan string, 8)
		handle := func(req *receivedRequest) {
			targets <- req.r.Header.Get("Expected-Endpoint")
			if len(targets) == 1 {
				c.first(req)
				_ = req.conn.Close()
				return
			}
			respondOK(req)
		}
		p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
		got := p.call(t, http.MethodPost, c.path, "x")
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, len(targets), c.sends, c.name)
		if c.sends == 2 {
			first, second := <-targets, <-targets
			assert.Assert(t, first != second, "%s: retried at the same endpoint", c.name)
		}
	}
}

// Guards against more attempts than the route allows, which would multiply the load when all endpoints fail.
func TestRouteLimitsAttempts(t *testing.T) {
	received := make(chan struct{}, 100)
	handle := func(req *receivedRequest) {
		received <- struct{}{}
		req.respond("500 Failed", "Signed: yes\r\n", "")
	}
	endpoints := make([]*fakeEndpoint, 0, 5)
	for range 5 {
		endpoints = append(endpoints, newFakeEndpoint(t, handle))
	}
	p := newTestProxy(t, testPlan(1), endpoints...)
	got := p.call(t, http.MethodGet, "/safe/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("Signed"), "yes")
	assert.Equal(t, len(received), 2)
}

// Guards against an endpoint's error response that is replaced by a refusal when no retry is possible.
func TestLastEndpointErrorIsForwarded(t *testing.T) {
	e := newFakeEndpoint(t, func(req *receivedRequest) { req.respond("500 Failed", "Signed: yes\r\n", "own") })
	p := newTestProxy(t, testPlan(1), e)
	got := p.call(t, http.MethodGet, "/safe/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("Signed"), "yes")
	assert.Equal(t, got.body, "own")
	assert.Equal(t, e.count(), 1)
}

// Guards against requests that fail at an unreachable endpoint although another endpoint could serve them.
func TestUnreachableEndpointIsSkipped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := &fakeEndpoint{address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	healthy := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), unreachable, healthy)
	for range 6 {
		assert.Equal(t, p.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
	}
	onlyUnreachable := newTestProxy(t, testPlan(1), unreachable)
	got := onlyUnreachable.call(t, http.MethodPost, "/once/", "x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
}

// Guards against endpoints that get more time than remains to the caller, and against responses after the timeout of
// the route.
func TestDeadlineIsPropagated(t *testing.T) {
	remaining := make(chan int, 4)
	e := newFakeEndpoint(t, func(req *receivedRequest) {
		ms, _ := strconv.Atoi(req.r.Header.Get("Left-Ms"))
		remaining <- ms
		time.Sleep(400 * time.Millisecond)
	})
	p := newTestProxy(t, testPlan(1), e)
	start := time.Now()
	got := p.call(t, http.MethodGet, "/short/", "", "Left-Ms", "60000")
	elapsed := time.Since(start)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, elapsed < 450*time.Millisecond, "%v", elapsed)
	assert.Assert(t, <-remaining <= 200)
	p.call(t, http.MethodGet, "/safe/", "", "Left-Ms", "50")
	assert.Assert(t, <-remaining <= 50)
}

// Guards against an endpoint that continues to execute a request after its caller has disconnected.
func TestDisconnectCancelsRequestAtEndpoint(t *testing.T) {
	arrived, closedAt := make(chan struct{}), make(chan time.Time, 1)
	e := newFakeEndpoint(t, func(req *receivedRequest) {
		close(arrived)
		_, _ = req.conn.Read(make([]byte, 1))
		closedAt <- time.Now()
	})
	p := newTestProxy(t, testPlan(1), e)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/once/", strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Api-Key", "key")
	go func() {
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-arrived
	canceledAt := time.Now()
	cancel()
	assert.Assert(t, (<-closedAt).Sub(canceledAt) < 500*time.Millisecond)
}

// Guards against an endpoint that never responds and keeps receiving requests, because callers give up before the
// attempt fails.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	unresponsive := newFakeEndpoint(t, func(req *receivedRequest) { _, _ = req.conn.Read(make([]byte, 1)) })
	healthy := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), unresponsive, healthy)
	for unresponsive.count() == 0 {
		p.call(t, http.MethodPost, "/once/", "x", "Left-Ms", "1100")
	}
	for range 4 {
		assert.Equal(t, p.call(t, http.MethodPost, "/once/", "x").status, http.StatusOK)
	}
	assert.Equal(t, unresponsive.count(), 1)
}

func testEvent(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// startStream writes the header of a chunked response and the chunks.
func startStream(req *receivedRequest, chunks ...string) {
	_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: "+req.r.Header.Get("Req-Id")+
		"\r\nSigned: "+req.r.Header.Get("Expected-Endpoint")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, c := range chunks {
		_, _ = fmt.Fprintf(req.conn, "%x\r\n%s\r\n", len(c), c)
	}
}

func endStream(req *receivedRequest) { _, _ = io.WriteString(req.conn, "0\r\n\r\n") }

// Guards against events that are lost, duplicated or truncated when a stream resumes at another endpoint.
func TestInterruptedStreamResumesAtAnotherEndpoint(t *testing.T) {
	first := make(chan bool, 1)
	first <- true
	handle := func(req *receivedRequest) {
		select {
		case <-first:
			startStream(req, testEvent(1), testEvent(2)+testEvent(3)[:7])
			_ = req.conn.Close()
		default:
			from, _ := strconv.Atoi(req.r.Header.Get("Last-Event-Id"))
			startStream(req)
			for n := from + 1; n <= 5; n++ {
				_, _ = fmt.Fprintf(req.conn, "%x\r\n%s\r\n", len(testEvent(n)), testEvent(n))
			}
			endStream(req)
		}
	}
	p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
	got := p.call(t, http.MethodPost, "/resume/", "x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, testEvent(1)+testEvent(2)+testEvent(3)+testEvent(4)+testEvent(5))
}

// Guards against an interrupted stream that appears complete to the caller, or that resumes although its route is not
// resumable.
func TestInterruptedStreamWithoutResumeIsAborted(t *testing.T) {
	handle := func(req *receivedRequest) {
		startStream(req, testEvent(1), testEvent(2))
		_ = req.conn.Close()
	}
	a, b := newFakeEndpoint(t, handle), newFakeEndpoint(t, handle)
	p := newTestProxy(t, testPlan(1), a, b)
	got := p.call(t, http.MethodPost, "/stream/", "x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, a.count()+b.count(), 1)
	// A resumable stream is aborted once its attempts are exhausted.
	got = p.call(t, http.MethodPost, "/resume/", "x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, a.count()+b.count(), 3)
}

// Guards against events that are delayed until later events arrive.
func TestEventsAreForwardedImmediately(t *testing.T) {
	sendNext := make(chan struct{})
	e := newFakeEndpoint(t, func(req *receivedRequest) {
		startStream(req, testEvent(1))
		<-sendNext
		_, _ = fmt.Fprintf(req.conn, "%x\r\n%s\r\n", len(testEvent(2)), testEvent(2))
		endStream(req)
	})
	for _, path := range []string{"/stream/", "/resume/"} {
		p := newTestProxy(t, testPlan(1), e)
		r, err := http.NewRequest(http.MethodPost, p.url+path, nil)
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set("Api-Key", "key")
		r.Header.Set("Req-Id", "id-1")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		events := bufio.NewReader(resp.Body)
		got := make([]byte, len(testEvent(1)))
		_, err = io.ReadFull(events, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), testEvent(1))
		sendNext <- struct{}{}
		rest, err := io.ReadAll(events)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), testEvent(2))
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against request smuggling by conflicting lengths or transfer encodings.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), e)
	smuggled := "GET /safe/inner HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\nReq-Id: id-2\r\n\r\n"
	head := "POST /safe/outer HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\nReq-Id: id-1\r\nConnection: close\r\n"
	for _, raw := range []string{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + smuggled,
		head + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
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

// Guards against a request that crashes one endpoint after the other.
func TestConvictedRequestIsRefused(t *testing.T) {
	handle := func(req *receivedRequest) {
		if req.body == "poison" {
			_ = req.conn.Close()
			return
		}
		respondOK(req)
	}
	endpoints := make([]*fakeEndpoint, 0, 6)
	for range 6 {
		endpoints = append(endpoints, newFakeEndpoint(t, handle))
	}
	p := newTestProxy(t, testPlan(1), endpoints...)
	for range 5 {
		p.call(t, http.MethodGet, "/safe/", "poison")
	}
	crashes := 0
	for _, e := range endpoints {
		crashes += e.count()
	}
	assert.Assert(t, crashes <= convictionThreshold+1, "%d", crashes)
	got := p.call(t, http.MethodGet, "/safe/", "poison")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, p.call(t, http.MethodGet, "/safe/", "other").status, http.StatusOK)
}

// Guards against requests to the endpoints of a failure domain after it was taken out of service.
func TestTakenOutDomainReceivesNoRequests(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), e)
	p.fleet.view.Store(&view{plan: indexedTestPlan(t), takenOut: map[string]bool{"d": true}})
	p.fleet.updateRouting()
	assert.Equal(t, p.call(t, http.MethodGet, "/safe/", "").status, http.StatusServiceUnavailable)
	p.fleet.view.Store(&view{plan: indexedTestPlan(t), takenOut: map[string]bool{}})
	p.fleet.updateRouting()
	assert.Equal(t, p.call(t, http.MethodGet, "/safe/", "").status, http.StatusOK)
}

// Guards against a list of endpoints that is replaced by an older one when an update that started earlier
// ends later.
func TestConcurrentRoutingUpdatesKeepTheLatestList(t *testing.T) {
	e := newFakeEndpoint(t, respondOK)
	for range 200 {
		p := newTestProxy(t, testPlan(1), e)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 20 {
				p.fleet.updateRouting()
			}
		}()
		p.fleet.mergeEndpoints([]registrar.Endpoint{{ID: "a", Service: "s", Address: e.address, Domain: "d",
			State: registrar.Draining, Born: 1, Sequence: 2}}, "test")
		<-done
		_, reason := p.fleet.routing.choose(time.Now(), testQuery(p))
		assert.Assert(t, reason != "")
	}
}
