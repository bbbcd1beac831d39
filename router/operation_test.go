package router

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
)

func refundCall() call {
	return call{path: "/services/orders/refunds?dry=0", body: "{}", headers: map[string]string{headerIdempotencyKey: "k"}}
}

func grantClaim(n int, c subscriber.Claim) (subscriber.ClaimReply, error) {
	if c.Endpoint == "" {
		return subscriber.ClaimReply{State: subscriber.ClaimReleased, Generation: c.NotRun}, nil
	}
	return subscriber.ClaimReply{
		State: subscriber.ClaimGranted, Endpoint: c.Endpoint, Incarnation: c.Incarnation, Generation: uint64(n),
	}, nil
}

// withGeneration sets the generation in a refusal, as agents do for refusals that rule out the generation.
func withGeneration(err error, req *relayer.Request) error {
	var r *relayer.RefusalError
	if !errors.As(err, &r) || r.Reason == relayer.ReasonOtherIncarnation || r.Reason == relayer.ReasonNotReceived {
		return err
	}
	return &relayer.RefusalError{Reason: r.Reason, Generation: req.Operation.Generation}
}

func claimReply(s subscriber.ClaimState, text string) (subscriber.ClaimReply, error) {
	answer := &subscriber.RecordedAnswer{Status: http.StatusCreated, Type: "text/plain", Body: []byte(text)}
	return subscriber.ClaimReply{
		State: s, Endpoint: "orders-0", Incarnation: 1, Generation: 1, Answer: answer,
	}, nil
}

// Guards against a run without a claim, a second run of an operation that may have run, a claim that moves without a
// recorded refusal, and a wrong outcome header.
func TestOperationOutcomes(t *testing.T) {
	type claimFunc = func(n int, c subscriber.Claim) (subscriber.ClaimReply, error)
	grantedThenDone := func(n int, c subscriber.Claim) (subscriber.ClaimReply, error) {
		if n == 1 {
			return grantClaim(n, c)
		}
		return claimReply(subscriber.ClaimDone, "recorded")
	}
	grantedThenUnknown := func(n int, c subscriber.Claim) (subscriber.ClaimReply, error) {
		if n == 1 {
			return grantClaim(n, c)
		}
		return claimReply(subscriber.ClaimUnknown, "")
	}
	always := func(s subscriber.ClaimState) claimFunc {
		return func(int, subscriber.Claim) (subscriber.ClaimReply, error) { return claimReply(s, "recorded") }
	}
	grantedAfterLostReplies := func(n int, c subscriber.Claim) (subscriber.ClaimReply, error) {
		if n < 3 {
			return subscriber.ClaimReply{}, subscriber.ErrNoReply
		}
		return grantClaim(n, c)
	}
	grantedAfterElection := func(n int, c subscriber.Claim) (subscriber.ClaimReply, error) {
		if n <= 5 {
			return subscriber.ClaimReply{}, &subscriber.CallError{Code: subscriber.CodeNoQuorum}
		}
		return grantClaim(n, c)
	}
	alwaysError := func(err error) claimFunc {
		return func(int, subscriber.Claim) (subscriber.ClaimReply, error) { return subscriber.ClaimReply{}, err }
	}
	for _, c := range []struct {
		name    string
		claim   claimFunc
		results []error // of the attempts; nil is a complete response
		status  int
		want    string // contained in the body
		notRun  bool
		runs    int
		claims  int
	}{
		{"granted", grantClaim, []error{nil}, 200, "ran", false, 1, 1},
		{"joined", always(subscriber.ClaimRunning), []error{nil}, 200, "ran", false, 1, 1},
		{"recorded", always(subscriber.ClaimDone), nil, 201, "recorded", false, 0, 1},
		{"conflict", always(subscriber.ClaimConflict), nil, 422, "idempotency_conflict", false, 0, 1},
		{"unknown", always(subscriber.ClaimUnknown), nil, 409, "unknown_outcome", false, 0, 1},
		{"lost claim replies", grantedAfterLostReplies, []error{nil}, 200, "ran", false, 1, 3},
		{"no claim replies", alwaysError(subscriber.ErrNoReply), nil, 503, "control_unavailable", false, 0, 26},
		{"control unreachable", alwaysError(subscriber.ErrNotSent), nil, 503, "control_unreachable", false, 0, 26},
		{
			"no quorum", alwaysError(&subscriber.CallError{Code: subscriber.CodeNoQuorum}), nil,
			503, "control_unavailable", false, 0, 26,
		},
		{"no quorum for 1 s", grantedAfterElection, []error{nil}, 200, "ran", false, 1, 6},
		{
			"invalid", alwaysError(&subscriber.CallError{Code: subscriber.CodeInvalid}), nil,
			503, "control_unavailable", false, 0, 1,
		},
		{"refused, then run", grantClaim, []error{refusalError(relayer.ReasonOverLoadBound), nil}, 200, "ran", false, 2, 2},
		{"refused by all", grantClaim, []error{refusalError(relayer.ReasonOverLoadBound)}, 503, "overloaded", true, 4, 5},
		{"poison", grantClaim, []error{refusalError(relayer.ReasonPoison)}, 422, "poison_request", true, 1, 2},
		{
			"poison, moved meanwhile", grantedThenDone, []error{refusalError(relayer.ReasonPoison)},
			201, "recorded", false, 1, 2,
		},
		{"lost, then recorded", grantedThenDone, []error{agentLostError("", true)}, 201, "recorded", false, 1, 2},
		{"lost, then unknown", grantedThenUnknown, []error{agentLostError("", true)}, 409, "unknown_outcome", false, 1, 2},
		{
			"other incarnation", grantClaim, []error{refusalError(relayer.ReasonOtherIncarnation)},
			409, "unknown_outcome", false, 3, 3,
		},
		{
			"attempt refused, other router runs", grantedThenDone, []error{refusalError(relayer.ReasonNotReceived)},
			201, "recorded", false, 1, 2,
		},
		{
			"attempts refused", always(subscriber.ClaimRunning), []error{refusalError(relayer.ReasonNotReceived)},
			503, "endpoint_unreachable", false, 3, 3,
		},
		{"endpoint unreachable", grantClaim, []error{agentLostError("", false)}, 503, "endpoint_unreachable", false, 3, 3},
		{
			"still running", always(subscriber.ClaimRunning), []error{agentLostError("", true)},
			504, "operation_running", false, -1, -1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeRelay{respond: func(_ context.Context, n int, _ string, req relayer.Request) (Response, error) {
					if err := c.results[min(n, len(c.results))-1]; err != nil {
						return nil, withGeneration(err, &req)
					}
					return jsonResponse("ran", nil), nil
				}}
				control := &fakeControl{claim: c.claim}
				rt := testRouter(control, f)
				w := refundCall().do(t, rt)
				rt.operationRuns.wg.Wait() // the run outlives a caller whose deadline has passed
				assert.Equal(t, w.Code, c.status, w.Body.String())
				assert.Assert(t, strings.Contains(w.Body.String(), c.want), w.Body.String())
				assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(c.status, c.notRun))
				assert.Equal(t, w.Header().Get(headerRetryAfter) != "", c.status == 503)
				if c.runs >= 0 {
					assert.Equal(t, len(f.requests), c.runs)
					assert.Equal(t, len(control.claims), c.claims)
				}
				checkGenerations(t, control, f)
				var r *relayer.RefusalError
				isAttemptOnly := errors.As(errors.Join(c.results...), &r) && r.Reason == relayer.ReasonNotReceived
				for _, m := range control.claims {
					assert.Assert(t, m.NotRun == 0 || !isAttemptOnly, "released without a refusal of the generation")
				}
			})
		})
	}
}

// Guards against a second run of a call whose path is not in the bundle, and against an ignored idempotency key: a call
// to /refund, while the bundle listed only /refunds, ran three times with one key.
func TestServiceCallsAreRetriedOnlyOnRepeatablePaths(t *testing.T) {
	for _, tt := range []struct {
		name, path, key string
		results         []error
		status          int
		want            string
		notRun          bool
		runs, claims    int
	}{
		{"repeatable", "/stock", "", []error{agentLostError("", true), nil}, 200, "ran", false, 2, 0},
		{"not listed", "/refund", "", []error{agentLostError("", true), nil}, 409, "unknown_outcome", false, 1, 0},
		{
			"not listed, crash", "/refund", "", []error{&relayer.IncompleteError{End: relayer.End{Crashed: true}}, nil},
			409, "unknown_outcome", false, 1, 0,
		},
		{"not listed, not sent", "/refund", "", []error{agentLostError("", false), nil}, 200, "ran", false, 2, 0},
		{
			"not listed, refused", "/refund", "", []error{refusalError(relayer.ReasonOverLoadBound), nil},
			200, "ran", false, 2, 0,
		},
		{"not listed, with key", "/refund", "k", []error{nil}, 200, "ran", false, 1, 1},
		{"repeatable, with key", "/stock", "k", []error{nil}, 200, "ran", false, 1, 1},
		{"listed, no key", "/refunds", "", nil, 400, "invalid_idempotency_key", true, 0, 0},
		{"key too long", "/stock", strings.Repeat("k", 257), nil, 400, "invalid_idempotency_key", false, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeRelay{respond: func(_ context.Context, n int, _ string, _ relayer.Request) (Response, error) {
					if err := tt.results[min(n, len(tt.results))-1]; err != nil {
						return nil, err
					}
					return jsonResponse("ran", nil), nil
				}}
				control := &fakeControl{claim: grantClaim}
				rt := testRouter(control, f)
				c := call{path: "/services/orders" + tt.path, body: "{}", headers: map[string]string{}}
				if tt.key != "" {
					c.headers[headerIdempotencyKey] = tt.key
				}
				w := c.do(t, rt)
				rt.operationRuns.wg.Wait()
				assert.Equal(t, w.Code, tt.status, w.Body.String())
				assert.Assert(t, strings.Contains(w.Body.String(), tt.want), w.Body.String())
				assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(tt.status, tt.notRun))
				assert.Equal(t, len(f.requests), tt.runs)
				assert.Equal(t, len(control.claims), tt.claims)
			})
		})
	}
}

// Guards against an idempotency key of a chat that is silently ignored.
func TestChatRefusesIdempotencyKey(t *testing.T) {
	f := &fakeRelay{}
	w := call{headers: map[string]string{headerIdempotencyKey: "k"}}.do(t, testRouter(&fakeControl{}, f))
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Assert(t, strings.Contains(w.Body.String(), "idempotency_key_not_supported"), w.Body.String())
	assert.Equal(t, len(f.requests), 0)
}

// Guards against the not-run outcome, or no response, for an operation that ran at an endpoint that has since left.
func TestOperationStateWithoutEndpoints(t *testing.T) {
	for _, c := range []struct {
		state  subscriber.ClaimState
		status int
		want   string
		notRun bool
	}{
		{subscriber.ClaimDone, 201, "recorded", false},
		{subscriber.ClaimRunning, 504, "operation_running", false},
		{subscriber.ClaimConflict, 422, "idempotency_conflict", false},
		{subscriber.ClaimUnknown, 409, "unknown_outcome", false},
		{subscriber.ClaimReleased, 503, "no_endpoint", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			control := &fakeControl{view: testView(0), claim: func(_ int, m subscriber.Claim) (subscriber.ClaimReply, error) {
				assert.Check(t, m.Endpoint == "" && m.Operation != "" && m.Digest != "")
				return claimReply(c.state, "recorded")
			}}
			rt := testRouter(control, &fakeRelay{})
			w := refundCall().do(t, rt)
			rt.operationRuns.wg.Wait()
			assert.Equal(t, w.Code, c.status, w.Body.String())
			assert.Assert(t, strings.Contains(w.Body.String(), c.want), w.Body.String())
			assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(c.status, c.notRun))
		})
	}
}

// Guards against the not-run outcome in errors before the claim, because an earlier request may have run the operation.
func TestOutcomeIsUnknownBeforeClaimIsRead(t *testing.T) {
	with := func(name, value string) call {
		c := refundCall()
		c.headers[name] = value
		return c
	}
	for _, c := range []struct {
		call        call
		maxInFlight int // of the router
		share       int // of the workspace
		status      int
	}{
		{with("Authorization", "Bearer x"), 10, 9, 401},
		{with(headerPriority, "x"), 10, 9, 400},
		{with("X-Long", strings.Repeat("x", maxHeaderBytes)), 10, 9, 431},
		{refundCall(), 10, 0, 429},
		{refundCall(), 0, 9, 503},
		{call{path: "/services/none/refunds", headers: refundCall().headers}, 10, 9, 404},
		{call{path: "/services/orders/refunds", method: http.MethodPut, headers: refundCall().headers}, 10, 9, 404},
		{call{path: "/services/orders/a;b", headers: refundCall().headers}, 10, 9, 400},
		{call{
			path: "/services/orders/refunds", body: strings.Repeat("x", maxBodyBytes+1), headers: refundCall().headers,
		}, 10, 9, 413},
	} {
		for _, key := range []string{"k", ""} {
			control := &fakeControl{view: testView(1), shares: map[string]int{"shop": c.share}, claim: grantClaim}
			ws := control.view.Workspaces["shop"]
			ws.MaxInFlight = 9
			control.view.Workspaces["shop"] = ws
			rt := testRouter(control, &fakeRelay{})
			rt.admission.maxInFlight = c.maxInFlight
			r := c.call.request(t.Context())
			r.Header.Set(headerIdempotencyKey, key)
			w := httptest.NewRecorder()
			rt.Handler().ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status, w.Body.String())
			assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(c.status, key == ""))
		}
	}
}

// checkGenerations checks that each run has a claimed generation and that a claim moves only after a refusal.
func checkGenerations(t *testing.T, control *fakeControl, f *fakeRelay) {
	t.Helper()
	for i := range f.requests {
		assert.Assert(t, f.requests[i].Operation != nil && f.requests[i].Operation.Generation > 0)
		assert.Equal(t, f.requests[i].Path, "/refunds?dry=0")
	}
	for i := 1; i < len(control.claims); i++ {
		moved := control.claims[i].Endpoint != control.claims[i-1].Endpoint
		assert.Equal(t, moved, control.claims[i].NotRun > 0 && control.claims[i].NotRun != control.claims[i-1].NotRun)
	}
}

// Guards against several runs of concurrent identical requests, and against a run that is cancelled because its caller
// disconnected.
func TestConcurrentIdenticalRequestsShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
			resp := jsonResponse("ran", nil)
			resp.wait = proceed
			return resp, nil
		}}
		control := &fakeControl{claim: grantClaim}
		rt := testRouter(control, f)
		ctx, disconnect := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			w := &discardWriter{header: http.Header{}}
			rt.Handler().ServeHTTP(w, refundCall().request(ctx))
		})
		synctest.Wait()
		for range 4 {
			wg.Go(func() {
				w := refundCall().do(t, rt)
				assert.Check(t, w.Code == http.StatusOK && w.Body.String() == "ran")
			})
		}
		synctest.Wait()
		disconnect()
		synctest.Wait()
		assert.Equal(t, rt.admission.requestsInFlight(), 5)
		close(proceed)
		wg.Wait()
		synctest.Wait()
		assert.Equal(t, len(f.requests), 1)
		assert.Equal(t, len(control.claims), 1)
		assert.Equal(t, rt.admission.requestsInFlight(), 0)
	})
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
