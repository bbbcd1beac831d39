package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/viewer"
)

// streamContent returns the text of a stream and whether the stream ends with [DONE].
func streamContent(t testing.TB, body string) (text string, done bool) {
	t.Helper()
	var p streamProgress
	for _, e := range parseEvents(t, []byte(body)) {
		_, _ = p.record(e)
	}
	return string(p.text), strings.HasSuffix(body, "data: [DONE]\n\n")
}

// Guards against a gap, a repeated token or a repeated role when a stream is resumed after the loss of an agent at any
// byte.
func TestStreamResumesAtEveryByte(t *testing.T) {
	const tokenCount = 6
	body := streamBody(0, tokenCount)
	want, _ := streamContent(t, body)
	for _, crashed := range []bool{false, true} {
		for offset := range body {
			f := &fakeRelay{}
			f.respond = func(_ context.Context, n int, addr string, req relayer.Request) (Response, error) {
				if n > 1 {
					return streamResponse(streamBody(req.ResumeTokens, tokenCount), nil), nil
				}
				if crashed {
					return streamResponse(body[:offset], &relayer.IncompleteError{End: relayer.End{Crashed: true}}), nil
				}
				return streamResponse(body[:offset], agentLostError(addr, true)), nil
			}
			w := call{}.do(t, testRouter(&fakeControl{}, f))
			got, done := streamContent(t, w.Body.String())
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, got, want, "stream cut at byte %d", offset)
			assert.Assert(t, done, "stream cut at byte %d", offset)
			assert.Equal(t, strings.Count(w.Body.String(), "assistant"), 1, "stream cut at byte %d", offset)
			if len(f.requests) == 2 {
				second := f.requests[1]
				assert.Assert(t, f.addrs[0] != f.addrs[1])
				assert.Assert(t, strings.HasPrefix(want, second.ResumeText))
				assert.Equal(t, strings.Count(second.ResumeText, " "), second.ResumeTokens)
				assert.Equal(t, second.Crashes == 1, crashed)
			}
		}
	}
}

// wantOutcome returns the outcome header for a status; notRun applies to errors only.
func wantOutcome(status int, notRun bool) string {
	switch {
	case status < http.StatusBadRequest:
		return ""
	case notRun:
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}

// Guards against a wrong status, outcome header or number of retries for every outcome of an attempt.
func TestChatOutcomes(t *testing.T) {
	const ok = `{"choices":[]}`
	for _, c := range []struct {
		name     string
		results  []error // of the attempts; nil is a complete response
		status   int
		code     string
		notRun   bool
		attempts int
	}{
		{"whole", []error{nil}, 200, "", false, 1},
		{"refusal, then complete", []error{refusalError(relayer.ReasonOverLoadBound), nil}, 200, "", false, 2},
		{"unreachable, then complete", []error{agentLostError("", false), nil}, 200, "", false, 2},
		{"lost before the response", []error{agentLostError("", true), nil}, 200, "", false, 2},
		{"refused by all", []error{refusalError(relayer.ReasonOverLoadBound)}, 503, "overloaded", true, 4},
		{"all leaving", []error{refusalError(relayer.ReasonLeaving)}, 503, "no_endpoint", true, 4},
		{"all unreachable", []error{agentLostError("", false)}, 503, "no_endpoint", true, 4},
		{
			"lost, then refused", []error{agentLostError("", true), refusalError(relayer.ReasonOverLoadBound)},
			503, "overloaded", false, 4,
		},
		{"lost by all", []error{agentLostError("", true)}, 502, "answer_interrupted", false, 4},
		{"poison", []error{refusalError(relayer.ReasonPoison)}, 422, "poison_request", true, 1},
		{"suspect", []error{refusalError(relayer.ReasonSuspect)}, 503, "suspect_request", true, 1},
		{"deadline", []error{refusalError(relayer.ReasonDeadline)}, 504, "deadline_exceeded", true, 1},
		{
			"two crashes", []error{&relayer.IncompleteError{End: relayer.End{Crashed: true}}},
			422, "poison_request", false, 2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeRelay{respond: func(_ context.Context, n int, _ string, _ relayer.Request) (Response, error) {
				if err := c.results[min(n, len(c.results))-1]; err != nil {
					return nil, err
				}
				return jsonResponse(ok, nil), nil
			}}
			w := call{}.do(t, testRouter(&fakeControl{}, f))
			assert.Equal(t, w.Code, c.status, w.Body.String())
			assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(c.status, c.notRun))
			assert.Equal(t, w.Header().Get(headerRetryAfter) != "", c.status == 503 || c.status == 502)
			assert.Equal(t, len(f.requests), c.attempts)
			assert.Assert(t, w.Header().Get(headerRequestID) != "")
			if c.code != "" {
				assert.Assert(t, strings.Contains(w.Body.String(), `"code":"`+c.code+`"`), w.Body.String())
			} else {
				assert.Equal(t, w.Body.String(), ok)
			}
			for i := range f.requests {
				assert.Equal(t, f.requests[i].Attempt, uint32(i+1))
			}
		})
	}
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseIsReportedAsError(t *testing.T) {
	f := &fakeRelay{respond: func(_ context.Context, _ int, addr string, req relayer.Request) (Response, error) {
		return streamResponse(streamBody(req.ResumeTokens, 20)[:300], agentLostError(addr, true)), nil
	}}
	w := call{}.do(t, testRouter(&fakeControl{}, f))
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"answer_interrupted"`), w.Body.String())

	f.respond = func(_ context.Context, _ int, addr string, _ relayer.Request) (Response, error) {
		return jsonResponse(`{"choices":[`, agentLostError(addr, true)), nil
	}
	w = call{}.do(t, testRouter(&fakeControl{}, f))
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(w.Body.String(), "choices"))
}

// Guards against retries that multiply the load of a failing pool beyond the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := &fakeRelay{respond: func(_ context.Context, _ int, addr string, _ relayer.Request) (Response, error) {
		return nil, agentLostError(addr, true)
	}}
	rt := testRouter(&fakeControl{}, f)
	const requests = 200
	last := ""
	for range requests {
		last = call{}.do(t, rt).Body.String()
	}
	assert.Assert(t, len(f.requests) <= requests+requests/10+5, "%d attempts", len(f.requests))
	assert.Assert(t, strings.Contains(last, "retry_budget_exhausted"))
}

// Guards against invalid requests that reach an endpoint, and against a refusal without the not-run outcome.
func TestInvalidRequests(t *testing.T) {
	header := func(k, v string) map[string]string { return map[string]string{k: v} }
	for _, c := range []struct {
		call   call
		status int
	}{
		{call{headers: header("Authorization", "Bearer wrong")}, 401},
		{call{headers: header("Authorization", testKey)}, 401},
		{call{headers: header(headerPriority, "urgent")}, 400},
		{call{headers: header(headerTimeout, "-1")}, 400},
		{call{headers: header(headerTimeout, "soon")}, 400},
		{call{headers: header("X-Other", strings.Repeat("x", maxHeaderBytes))}, 431},
		{call{headers: header(headerConversationID, strings.Repeat("x", 257))}, 400},
		{call{path: "/v1/chat/completions", body: `{"model":"m"}`}, 400},
		{call{path: "/v1/chat/completions", body: `{"model":"n","messages":[{"role":"user"}]}`}, 404},
		{call{path: "/v1/chat/completions", body: strings.Repeat(" ", maxBodyBytes+1)}, 413},
		{call{path: "/v1/embeddings"}, 404},
		{call{path: "/services/unknown/x"}, 404},
		{call{path: "/services/orders/refunds"}, 400}, // without a key
		{call{path: "/services/orders/Refunds/7"}, 400},
		{call{path: "/services/orders/%2Frefunds"}, 400},
		{call{path: "/services/orders/x%2F..%2Frefunds"}, 400},
		{call{path: "/services/orders/%2572efunds"}, 400},
	} {
		f := &fakeRelay{}
		w := c.call.do(t, testRouter(&fakeControl{}, f))
		assert.Equal(t, w.Code, c.status, "%+v", c.call)
		assert.Equal(t, w.Header().Get(headerOutcome), outcomeNotRun)
		assert.Assert(t, w.Header().Get(headerRequestID) != "")
		assert.Assert(t, !strings.Contains(w.Body.String(), testKey))
		assert.Equal(t, len(f.requests), 0)
	}
}

// Guards against a caller that raises the priority of its workspace or exceeds the timeout of the pool.
func TestCallerCannotRaisePriorityOrDeadline(t *testing.T) {
	for _, c := range []struct {
		own, header, want bundler.Priority
	}{
		{bundler.PriorityInteractive, "", bundler.PriorityInteractive},
		{bundler.PriorityInteractive, bundler.PriorityBatch, bundler.PriorityBatch},
		{bundler.PriorityBatch, bundler.PriorityInteractive, bundler.PriorityBatch},
	} {
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
			return jsonResponse("{}", nil), nil
		}}
		control := &fakeControl{view: testView(1)}
		ws := control.view.Workspaces["shop"]
		ws.Priority = c.own
		control.view.Workspaces["shop"] = ws
		headers := map[string]string{headerPriority: string(c.header), headerTimeout: "60000"}
		call{headers: headers}.do(t, testRouter(control, f))
		assert.Equal(t, f.requests[0].Priority, c.want)
		assert.Assert(t, time.Until(f.requests[0].Deadline) <= 5*time.Second)
	}
}

// Guards against an attempt that continues after the caller disconnected or the deadline passed.
func TestDisconnectAndDeadlineCancelAttempt(t *testing.T) {
	for _, disconnects := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			resp := streamResponse("", nil)
			resp.wait = make(chan struct{})
			f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) { return resp, nil }}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w := httptest.NewRecorder()
			rt := testRouter(&fakeControl{}, f)
			if disconnects {
				time.AfterFunc(time.Second, cancel)
			}
			start := time.Now()
			rt.Handler().ServeHTTP(w, call{}.request(ctx))
			<-resp.cancelled
			assert.Equal(t, len(f.requests), 1)
			if !disconnects {
				assert.Equal(t, time.Since(start), 5*time.Second)
				assert.Equal(t, w.Code, http.StatusGatewayTimeout)
				assert.Equal(t, w.Header().Get(headerOutcome), outcomeUnknown)
			}
		})
	}
}

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	*httptest.ResponseRecorder
	released <-chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return b.ResponseRecorder.Write(p)
}

// Guards against a slow caller that blocks the connection to the agent, which other callers share.
func TestSlowCallerDoesNotBlockAgentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := streamBody(0, 500)
		resp := streamResponse("", nil)
		resp.chunks = nil
		for event := range strings.SplitAfterSeq(body, "\n\n") {
			resp.chunks = append(resp.chunks, event)
		}
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) { return resp, nil }}
		rt := testRouter(&fakeControl{}, f)
		release := make(chan struct{})
		w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), released: release}
		go func() { rt.Handler().ServeHTTP(w, call{}.request(t.Context())) }()
		synctest.Wait()
		assert.Equal(t, len(resp.chunks), 0)
		close(release)
		synctest.Wait()
		assert.Equal(t, w.Body.String(), body)
	})
}

// Guards against responses that reach the wrong caller when many requests are retried concurrently.
func TestConcurrentCallersGetOwnResponses(t *testing.T) {
	f := &fakeRelay{respond: func(_ context.Context, _ int, _ string, req relayer.Request) (Response, error) {
		if req.Attempt == 1 {
			return nil, refusalError(relayer.ReasonNotCached)
		}
		return jsonResponse(string(req.Body), nil), nil
	}}
	control := &fakeControl{}
	rt := testRouter(control, f)
	rt.admission.maxInFlight = 1000
	var wg sync.WaitGroup
	for n := range 200 {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"m:cs","messages":[{"role":"user","content":"%d"},{"role":"assistant"}]}`, n)
			w := call{path: "/v1/chat/completions", body: body}.do(t, rt)
			assert.Check(t, w.Code == http.StatusOK && w.Body.String() == body, "request %d got %s", n, w.Body.String())
		})
	}
	wg.Wait()
}

// Guards against a workspace that uses the capacity of the whole router or more than its share of its fleet-wide limit.
func TestAdmissionLimits(t *testing.T) {
	c := newAdmissionController(10)
	limited := &bundler.Workspace{Name: "limited", MaxInFlight: 100}
	surging, other := &bundler.Workspace{Name: "surging"}, &bundler.Workspace{Name: "other"}
	admit := func(ws *bundler.Workspace, p bundler.Priority, n, share int) (admitted, status int) {
		for range n {
			if _, httpErr := c.admit(ws, p, share); httpErr != nil {
				status = httpErr.Status
				continue
			}
			admitted++
		}
		return admitted, status
	}
	n, status := admit(surging, bundler.PriorityInteractive, 20, 0)
	assert.Equal(t, n, 5)
	assert.Equal(t, status, http.StatusTooManyRequests)
	n, status = admit(limited, bundler.PriorityInteractive, 5, 2)
	assert.Equal(t, n, 2)
	assert.Equal(t, status, http.StatusTooManyRequests)
	n, status = admit(other, bundler.PriorityBatch, 5, 0)
	assert.Equal(t, n, 1)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	n, _ = admit(other, bundler.PriorityInteractive, 5, 0)
	assert.Equal(t, n, 2)
	assert.DeepEqual(t, c.takeDemand(map[string]bundler.Workspace{"limited": *limited}),
		[]subscriber.Demand{{Workspace: "limited", Desired: 5}})
}

// Guards against a shutdown that interrupts a request in flight, and against a router that is ready while it drains.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	proceed := make(chan struct{})
	streamed := streamResponse("", nil)
	streamed.wait = proceed
	streamed.chunks = []string{streamBody(0, 1)[:90], streamBody(0, 1)[90:]}
	f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
		return streamed, nil
	}}
	rt := testRouter(&fakeControl{}, f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rt.settings.Listen = l.Addr().String()
	assert.NilError(t, l.Close())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- rt.run(ctx, t.Context()) }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var resp *http.Response
	go func() { proceed <- struct{}{} }()
	for range 100 {
		r := call{}.request(t.Context())
		r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", rt.settings.Listen
		if resp, err = client.Do(r); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	stop()
	for !rt.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	w := call{method: http.MethodGet, path: "/readyz"}.do(t, rt)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	close(proceed)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_, complete := streamContent(t, string(body))
	assert.Assert(t, complete, string(body))
	assert.ErrorIs(t, <-done, context.Canceled)
}

// Guards against invalid settings that are accepted.
func TestSettings(t *testing.T) {
	valid := func() Settings {
		s := Settings{Listen: "127.0.0.1:1", Controls: []string{"127.0.0.1:2"}}
		s.Place.Name, s.Place.Region, s.Place.FailureDomain = "r", "r", "r"
		return s
	}
	for _, c := range []struct {
		modify func(s *Settings)
		ok     bool
	}{
		{func(*Settings) {}, true},
		{func(s *Settings) { s.Listen = "" }, false},
		{func(s *Settings) { s.Controls = nil }, false},
		{func(s *Settings) { s.MaxConcurrent = -1 }, false},
		{func(s *Settings) { s.DrainNoticeMillis = 60_001 }, false},
	} {
		s := valid()
		c.modify(&s)
		assert.Equal(t, s.Check() == nil, c.ok, "%+v", s)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ name, text string }{{"whole", `{"choices":[]}`}, {"streamed100", streamBody(0, 100)}} {
		b.Run(c.name, func(b *testing.B) {
			f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
				if c.name == "whole" {
					return jsonResponse(c.text, nil), nil
				}
				return streamResponse(c.text, nil), nil
			}}
			rt := testRouter(&fakeControl{view: testView(920)}, f)
			h := rt.Handler()
			b.ReportAllocs()
			for b.Loop() {
				f.requests, f.addrs = f.requests[:0], f.addrs[:0]
				w := httptest.NewRecorder()
				h.ServeHTTP(w, call{}.request(b.Context()))
			}
		})
	}
}

// Guards against a suspect that is retried at another endpoint than the one that refused it, and against a convicted
// request that reaches an agent.
func TestSuspectsWaitAndConvictedRequestsAreRefused(t *testing.T) {
	f := &fakeRelay{respond: func(_ context.Context, n int, _ string, _ relayer.Request) (Response, error) {
		switch n {
		case 1:
			return nil, &relayer.IncompleteError{End: relayer.End{Crashed: true}}
		case 2:
			return nil, &relayer.RefusalError{Reason: relayer.ReasonSuspect, RetryAfterMillis: 5}
		default:
			return jsonResponse("{}", nil), nil
		}
	}}
	c := &fakeControl{}
	w := call{}.do(t, testRouter(c, f))
	assert.Equal(t, w.Code, 200, w.Body.String())
	assert.Equal(t, len(f.addrs), 3)
	assert.Assert(t, f.addrs[0] != f.addrs[1])
	assert.Equal(t, f.addrs[1], f.addrs[2])
	assert.Equal(t, f.requests[2].Crashes, 1)
	r := &f.requests[0]
	fingerprint := quarantiner.Fingerprint(r.Workspace, r.Path, r.ChatKey, r.Body)
	v, err := c.view.Apply(viewer.Delta{From: 1, To: 2, BundleVersion: 1, Changes: []viewer.Change{
		{Verdict: &viewer.Verdict{Fingerprint: fingerprint, Convicted: true, Until: time.Now().Add(time.Minute)}},
	}})
	assert.NilError(t, err)
	w = call{}.do(t, testRouter(&fakeControl{view: v}, f))
	assert.Equal(t, w.Code, 422)
	assert.Equal(t, len(f.addrs), 3)
}
