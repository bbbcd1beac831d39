package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/viewer"
)

// Guards against a router that is ready without a current view, or not ready although onQuorumLoss is "serve".
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		onLoss              bundler.QuorumLossPolicy
		stale, disconnected bool
		status              int
	}{
		{bundler.QuorumLossRefuse, false, false, 200},
		{bundler.QuorumLossRefuse, true, false, 503},
		{bundler.QuorumLossServe, true, false, 200},
		{bundler.QuorumLossServe, true, true, 503},
	} {
		control := &fakeControl{view: testView(1), stale: c.stale, disconnected: c.disconnected}
		control.view.Freshness.OnQuorumLoss = c.onLoss
		w := call{method: http.MethodGet, path: "/readyz"}.do(t, testRouter(control, &fakeRelay{}))
		assert.Equal(t, w.Code, c.status, "%+v", c)
	}
}

// Guards against a starting router that refuses valid API keys because it has no view yet, and against a running router
// that refuses requests because its view is outdated.
func TestRequestsBeforeFirstCurrentView(t *testing.T) {
	control := &fakeControl{view: viewer.NewView()}
	f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
		return jsonResponse("{}", nil), nil
	}}
	rt := testRouter(control, f)
	for _, c := range []struct {
		view   *viewer.View
		stale  bool
		call   call
		status int
		notRun bool
	}{
		{viewer.NewView(), false, call{}, 503, true},
		{&viewer.View{Index: 7}, false, call{}, 503, true},
		{testView(1), true, call{}, 503, true},
		{testView(1), true, call{method: http.MethodGet, path: "/v1/models"}, 503, true},
		{testView(1), true, refundCall(), 503, false},
		{testView(1), false, call{}, 200, false},
		{testView(1), true, call{}, 200, false},
	} {
		control.view, control.stale = c.view, c.stale
		w := c.call.do(t, rt)
		assert.Equal(t, w.Code, c.status, w.Body.String())
		assert.Equal(t, w.Header().Get(headerOutcome), wantOutcome(c.status, c.notRun))
	}
}

// Guards against a router whose events are not served for the merged timeline.
func TestTimelineIsServed(t *testing.T) {
	rt := testRouter(&fakeControl{view: testView(1)}, &fakeRelay{})
	rt.obs.Event("draining")
	w := call{method: http.MethodGet, path: recorder.Path}.do(t, rt)
	assert.Assert(t, cmp.Contains(w.Body.String(), `"kind":"draining"`))
}

// Guards against a list that omits adapters or contains models of other workspaces.
func TestModels(t *testing.T) {
	control := &fakeControl{view: testView(1)}
	control.view.PoolByModel["other"] = "of-another-workspace"
	w := call{method: http.MethodGet, path: "/v1/models"}.do(t, testRouter(control, &fakeRelay{}))
	assert.Equal(t, w.Body.String(), `{"object":"list","data":[`+
		`{"id":"m","object":"model","created":0,"owned_by":"cactusroute"},`+
		`{"id":"m:cs","object":"model","created":0,"owned_by":"cactusroute"}]}`+"\n")
}

// Guards against a chat key that changes between turns, and against distinct chats with the same key.
func TestChatKeyIsStableAcrossTurns(t *testing.T) {
	var keys []uint64
	f := &fakeRelay{respond: func(_ context.Context, _ int, _ string, req relayer.Request) (Response, error) {
		keys = append(keys, req.ChatKey)
		return jsonResponse("{}", nil), nil
	}}
	rt := testRouter(&fakeControl{}, f)
	send := func(body, conversation string) {
		call{
			path: "/v1/chat/completions", body: body, headers: map[string]string{headerConversationID: conversation},
		}.do(t, rt)
	}
	const first = `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}`
	send(first+`]}`, "")
	send(first+`,{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`, "")
	send(first+`],"user":"u"}`, "")
	send(first+`],"user":"u"}`, "c1")
	send(first+`]}`, "c1")
	assert.Equal(t, keys[0], keys[1])
	assert.Equal(t, keys[3], keys[4])
	assert.Assert(t, keys[0] != keys[2] && keys[2] != keys[3] && keys[0] != keys[3])
}

// Guards against a new chat that is not placed at an endpoint that has the prefix of its prompt cached.
func TestNewChatPrefersEndpointWithCachedPrefix(t *testing.T) {
	f := &fakeRelay{}
	f.respond = func(_ context.Context, n int, _ string, req relayer.Request) (Response, error) {
		if req.OnlyIfPrefixCached {
			return nil, &relayer.RefusalError{Reason: relayer.ReasonNotCached, HasPrefix: n > 1, HasRoom: n == 3}
		}
		return jsonResponse("{}", nil), nil
	}
	const system = `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":`
	rt := testRouter(&fakeControl{}, f)
	call{path: "/v1/chat/completions", body: system + `"a"}]}`}.do(t, rt)
	assert.Equal(t, len(f.addrs), 4)
	assert.Equal(t, f.addrs[3], f.addrs[2])
	call{path: "/v1/chat/completions", body: system + `"b"}]}`}.do(t, rt)
	assert.Equal(t, f.requests[0].PrefixKey, f.requests[4].PrefixKey)
	assert.Assert(t, f.requests[0].ChatKey != f.requests[4].ChatKey)
}

// Guards against a chat that was served far from its primary and is not found again, and against a notification for
// every turn.
func TestPrimaryRedirectsToEndpointThatServedChat(t *testing.T) {
	var servingAddr, movedTo string
	f := &fakeRelay{}
	f.respond = func(_ context.Context, n int, addr string, _ relayer.Request) (Response, error) {
		switch {
		case n == 1:
			return nil, &relayer.RefusalError{Reason: relayer.ReasonNotCached, MovedTo: movedTo}
		case addr == servingAddr:
			return jsonResponse("{}", nil), nil
		default:
			return nil, refusalError(relayer.ReasonNotCached)
		}
	}
	control := &fakeControl{view: testView(12)}
	const body = `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]}`
	serve := func() {
		f.requests, f.addrs = nil, nil
		call{path: "/v1/chat/completions", body: body}.do(t, testRouter(control, f))
	}
	serve()
	primary := f.addrs[0]
	servingAddr = f.addrs[9] // tried only after nine other candidates
	serve()
	assert.DeepEqual(t, f.moved, []string{primary + ">" + servingAddr})
	movedTo = servingAddr
	serve()
	assert.DeepEqual(t, f.addrs, []string{primary, servingAddr})
	assert.Assert(t, f.requests[1].OnlyIfCached)
	assert.Equal(t, len(f.moved), 1)
}

func candidateNames(c *candidates) (out []string) {
	for e, ok := c.next(time.Now()); ok; e, ok = c.next(time.Now()) {
		name := e.Name
		if e.need != placer.NeedNothing {
			name += "?"
		}
		out = append(out, name)
	}
	return out
}

// Guards against requests to endpoints that have left or were recently unreachable or full while other endpoints are
// available, and against a returning chat whose former primary is not probed after an endpoint joined.
func TestCandidatesReflectViewAndTracker(t *testing.T) {
	control := &fakeControl{view: testView(3)}
	rt := testRouter(control, &fakeRelay{})
	req := relayer.Request{Workspace: "shop", Pool: "models", ChatKey: 1}
	before := candidateNames(rt.newCandidates(time.Now(), &req, placer.NeedNothing))
	assert.Equal(t, len(before), 3)

	pool := rt.placement.pools["models"]
	pool.withTracker(func(t *placer.Tracker) {
		t.RecordUnreachable(time.Now(), before[0])
		t.RecordFull(time.Now(), before[1])
	})
	after := candidateNames(rt.newCandidates(time.Now(), &req, placer.NeedNothing))
	assert.DeepEqual(t, after, []string{before[2], before[1], before[0]})
	pool.withTracker(func(t *placer.Tracker) { t.Retain(placer.NewPool(nil)) })

	// A new endpoint becomes the primary of some keys, whose former primary is then probed first.
	formerPrimary := map[uint64]string{}
	for key := range uint64(50) {
		req.ChatKey = key
		formerPrimary[key] = candidateNames(rt.newCandidates(time.Now(), &req, placer.NeedNothing))[0]
	}
	next, err := control.view.Apply(viewer.Delta{From: 1, To: 2, BundleVersion: 1, Changes: []viewer.Change{
		{Endpoint: &viewer.Endpoint{Name: "models-new", Address: "n", Pool: "models", FailureDomain: "a"}},
	}})
	assert.NilError(t, err)
	old := control.view
	control.view = next
	moved := 0
	for key := range uint64(50) {
		req.ChatKey = key
		if candidateNames(rt.newCandidates(time.Now(), &req, placer.NeedNothing))[0] == "models-new" {
			moved++
			assert.Equal(t, candidateNames(rt.newCandidates(time.Now(), &req, placer.NeedChat))[0], formerPrimary[key]+"?")
		}
	}
	assert.Assert(t, moved > 0)
	rt.placement.pool(old, "models")
	assert.Equal(t, rt.placement.view, next)

	leaving := next.Endpoints[before[0]]
	leaving.Leaving = true
	c := rt.newCandidates(time.Now(), &req, placer.NeedNothing)
	next.Endpoints[before[0]] = leaving
	for _, name := range candidateNames(c) {
		assert.Assert(t, name != before[0])
	}
}
