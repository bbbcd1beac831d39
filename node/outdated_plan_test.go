package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/confirmer"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/planner"
)

// plansInForce restarts a node and returns the versions that are in force at it until the given one is.
func (f *testFleet) plansInForce(n *testNode, until uint64) (versions []uint64) {
	f.t.Helper()
	f.start(n, f.seeds, false)
	last := uint64(0)
	for deadline := time.Now().Add(testTimeout); last != until; runtime.Gosched() {
		assert.Assert(f.t, time.Now().Before(deadline), "versions %v", versions)
		if p := n.fleet.view.Load().plan; p != nil && p.Version != last {
			last = p.Version
			versions = append(versions, last)
		}
	}
	return versions
}

// Guards against an instance with an emptied disk that serves every plan that its log replays, the oldest first,
// although newer ones were acknowledged before its start.
func TestEmptiedInstanceServesNoOutdatedPlan(t *testing.T) {
	// Large plans, so that the log is replayed in several steps, but no snapshot replaces it.
	const versions, routes = 20, 1000
	f := newTestFleet(t, 3, 0)
	f.startAll()
	for v := uint64(1); v <= versions; v++ {
		p := testPlan(v)
		for i := range routes {
			p.Routes = append(p.Routes, planner.Route{Name: fmt.Sprintf("r%d", i), Host: "h.example", TimeoutMillis: 5000,
				Prefix: fmt.Sprintf("/r%d/", i), Shares: []planner.Share{{Service: "s", Weight: 1}}})
		}
		f.retryCommand("plan", f.nodes, func(c Control) error { return c.PutPlan(t.Context(), encodePlan(t, p)) })
	}
	n := f.nodes[2]
	n.stop()
	assert.NilError(t, os.RemoveAll(n.settings.DataFolder))
	assert.DeepEqual(t, f.plansInForce(n, versions), []uint64{versions})
}

// Guards against an instance that is killed before its state cache has the newest plan and serves the older one after
// its restart, although the others could tell it the newest.
func TestRestartedInstanceServesNoOutdatedPlan(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.startAll()
	f.putPlan(1, f.nodes)
	n := f.nodes[2]
	name := filepath.Join(n.settings.DataFolder, stateCacheFile)
	eventually(t, "state cache", func() bool {
		cache, err := readStateCache(name)
		return err == nil && cache.State.Plan.Version == 1
	})
	older, err := os.ReadFile(name)
	assert.NilError(t, err)
	f.putPlan(2, f.nodes)
	n.stop()
	assert.NilError(t, os.WriteFile(name, older, 0o600))
	assert.DeepEqual(t, f.plansInForce(n, 2), []uint64{2})
}

// Guards against a router that is cut off from the control instances, or stood still, and denies routes and keys that a
// newer plan may have.
func TestRouterDeniesNothingByAnUnconfirmedPlan(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	router := f.nodes[3]
	status := func(path, key string) int {
		r := httptest.NewRequest(http.MethodGet, "http://h.example"+path, http.NoBody)
		r.RequestURI = path
		r.Header.Set("Api-Key", key)
		w := httptest.NewRecorder()
		router.front.ServeHTTP(w, r)
		assert.Assert(t, w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "")
		return w.Code
	}
	requests := []struct {
		path, key string
		denied    int
	}{
		{"/new/", "key", http.StatusNotFound},
		{"/safe/", "new key", http.StatusUnauthorized},
	}
	for _, r := range requests {
		eventually(t, fmt.Sprintf("%s is denied", r.path), func() bool { return status(r.path, r.key) == r.denied })
	}
	for _, n := range f.nodes[:3] {
		n.stop()
	}
	time.Sleep(2 * time.Second)
	for _, r := range requests {
		assert.Equal(t, status(r.path, r.key), http.StatusServiceUnavailable, "%s", r.path)
	}
}

// Guards against a router that has no plan for ten seconds after its start, because its instance is of an earlier
// release and has a quorum, but reports no confirmations.
func TestRouterUsesTheStateOfAnInstanceThatReportsNoConfirmations(t *testing.T) {
	f := newTestProxy(t, nil).fleet
	f.confirmer = confirmer.New(time.Now()) // without the confirmation that a test proxy has
	instance := exchanger.Contact{Name: "instance", Address: "10.0.0.1:80"}
	r := newReceiver(f, instance, nil)
	r.StateReceived(5, &fleetapplier.EncodedPlan{Version: 1, Content: encodePlan(t, testPlan(1))}, nil, nil)
	isReleased := false
	for end := time.Now().Add(time.Second); !isReleased && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.HeartbeatReceived(exchanger.Heartbeat{Quorate: true, QuorateInstances: []exchanger.Contact{instance}})
		isReleased = f.releaseState()
	}
	assert.Assert(t, isReleased)
}

// Guards against a node that denies requests by the plan in force although it could not decode a newer one, for example
// of a later release.
func TestNodeDeniesNothingByThePlanBeforeOneThatItCannotDecode(t *testing.T) {
	f := newTestProxy(t, testPlan(1)).fleet
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.confirmer = confirmer.New(time.Now()) // without the confirmation that a test proxy has
	go func() { _ = f.publishViews(ctx) }()
	f.confirm(5, time.Now().Add(time.Hour))
	f.receiveState(5, &fleetapplier.EncodedPlan{Version: 2, Content: []byte("{")}, nil, nil, "instance")
	eventually(t, "the rest of the state is in force", func() bool { return f.view.Load().index == 5 })
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, !f.mayDeny(time.Now()))
}
