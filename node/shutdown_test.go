package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// Guards against a stopping node that accepts requests which it can't complete before it closes their connections, on
// kept connections and on those that bring their first request late, and against one that refuses or cuts others.
func TestStoppingNodeRefusesWhatItCanNotComplete(t *testing.T) {
	t.Parallel()
	const interval = 200 * time.Millisecond
	e := newFakeEndpoint(t, func(req *receivedRequest) {
		if !strings.HasPrefix(req.r.RequestURI, "/stream/") {
			respondOK(req)
			return
		}
		startStream(req)
		for n := 1; n <= 25; n++ {
			if _, err := fmt.Fprintf(req.conn, "%x\r\n%s\r\n", len(testEvent(n)), testEvent(n)); err != nil {
				return
			}
			time.Sleep(interval)
		}
		endStream(req)
	})
	plan := testPlan(1)
	for i := range plan.Routes {
		plan.Routes[i].TimeoutMillis = 12_000
	}
	p := newTestProxy(t, plan, e)
	s := &frontServer{addr: freeAddress(), handler: p.proxy, limits: func() planner.Limits { return planner.Limits{} },
		grace: 8 * time.Second, onStop: p.stop, onAcceptError: func(error) {}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	eventually(t, "listener", func() bool {
		c, err := net.Dial("tcp", s.addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})

	type result struct {
		status     int
		header     http.Header
		isLast     bool // on its connection
		isComplete bool
	}
	var stoppedAt time.Time
	stopped := make(chan struct{})
	call := func(isKept bool, after time.Duration, path, leftMillis string) chan result {
		results := make(chan result, 1)
		dialed := make(chan struct{})
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				defer close(dialed)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}}}
		send := func(path string, body io.Reader) (r result) {
			req, err := http.NewRequest(http.MethodPost, "http://"+s.addr+path, body)
			assert.NilError(t, err)
			req.Host = "h.example"
			req.ContentLength = 1
			req.Header = http.Header{"Req-Id": {"id-1"}, "Api-Key": {"key"}, "Left-Ms": {leftMillis}}
			resp, err := client.Do(req)
			if err != nil {
				return r
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			return result{resp.StatusCode, resp.Header, resp.Close, err == nil}
		}
		if isKept {
			send("/safe/", strings.NewReader("x"))
		}
		go func() {
			body, w := io.Pipe()
			if !isKept {
				go func() { results <- send(path, body) }() // its head arrives early, its body late
				<-dialed
			}
			<-stopped
			time.Sleep(time.Until(stoppedAt.Add(after)))
			if isKept {
				results <- send(path, strings.NewReader("x"))
				return
			}
			_, _ = w.Write([]byte("x"))
			_ = w.Close()
		}()
		return results
	}
	calls := []struct {
		name     string
		isKept   bool
		after    time.Duration
		path     string
		left     string
		want     int
		response chan result
	}{
		{"long, early", true, time.Second, "/stream/", "12000", http.StatusOK, nil},
		{"long, late", true, 3050 * time.Millisecond, "/stream/", "12000", http.StatusServiceUnavailable, nil},
		{"ends in time, late", true, 3050 * time.Millisecond, "/safe/", "1000", http.StatusOK, nil},
		{"its body comes late", false, 3500 * time.Millisecond, "/stream/", "12000", http.StatusServiceUnavailable, nil},
	}
	for i := range calls {
		c := &calls[i]
		c.response = call(c.isKept, c.after, c.path, c.left)
	}
	time.Sleep(50 * time.Millisecond) // the early heads arrive
	stoppedAt = time.Now()
	cancel()
	close(stopped)
	for _, c := range calls {
		got := <-c.response
		assert.Equal(t, got.status, c.want, c.name)
		assert.Assert(t, got.isComplete, c.name)
		if c.want != http.StatusOK {
			assert.Assert(t, got.header.Get("Retry-After") != "" && got.isLast, c.name)
		}
	}
}
