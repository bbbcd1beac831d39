package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

// address is where one endpoint after the other listens. The present one answers 421 to requests for others.
type address struct {
	mu       sync.Mutex
	endpoint registrar.Endpoint
}

// addressFleet is a fleet of endpoints at addresses that are used again, for services s and other.
type addressFleet struct {
	*rolloutFleet
	addresses []*address
	fakes     []*fakeEndpoint

	mu      sync.Mutex
	ran     map[string]int // by service and version
	wrong   []string       // requests that the wrong endpoint ran
	refused int
}

func newAddressFleet(t *testing.T) *addressFleet {
	f := &addressFleet{rolloutFleet: &rolloutFleet{testFleet: newTestFleet(t, rolloutDisks, rolloutRouters)},
		ran: map[string]int{}}
	for _, n := range f.nodes {
		n.settings.Rollouts = rollouter.Limits{ExposeShare: 0.1, ExposeSlack: 50}
	}
	f.startAll()
	plan := testPlan(1)
	plan.Services = append(plan.Services, planner.Service{Name: "other"})
	plan.Routes[1].Shares = []planner.Share{{Service: "other", Weight: 1}}
	f.retryCommand("plan", f.nodes[:rolloutDisks], func(c Control) error {
		return c.PutPlan(t.Context(), encodePlan(t, plan))
	})
	f.awaitPlan(1, f.nodes)
	for _, n := range f.nodes {
		srv := httptest.NewUnstartedServer(n.front)
		srv.Config.ConnContext = withCallerConn
		srv.Start()
		t.Cleanup(srv.Close)
		f.servers = append(f.servers, srv)
	}
	return f
}

// listen adds an address with an endpoint.
func (f *addressFleet) listen(id, service, version string) (index int) {
	a := &address{}
	fake := newFakeEndpoint(f.t, func(req *receivedRequest) { f.serve(a, req) })
	f.addresses, f.fakes = append(f.addresses, a), append(f.fakes, fake)
	f.use(len(f.addresses)-1, id, service, version)
	return len(f.addresses) - 1
}

// use starts an endpoint at an address, where the one before has ended without a word, and registers it a little later.
func (f *addressFleet) use(index int, id, service, version string) {
	a := f.addresses[index]
	a.mu.Lock()
	a.endpoint = registrar.Endpoint{ID: id, Service: service, Version: version, Address: f.fakes[index].address,
		Domain: "d", State: registrar.Ready, Slots: 50, Born: time.Now().UnixMilli(), Sequence: 1}
	e := a.endpoint
	a.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	f.retryCommand("endpoint", f.nodes[:rolloutDisks], func(c Control) error {
		_, err := c.Register(context.Background(), e)
		return err
	})
}

func (f *addressFleet) serve(a *address, req *receivedRequest) {
	a.mu.Lock()
	e := a.endpoint
	a.mu.Unlock()
	expected, path := req.r.Header.Get("Expected-Endpoint"), req.r.URL.Path
	want := map[string]string{"/once/x": "s", "/safe/x": "other"}[path]
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case expected != "" && expected != e.ID:
		f.refused++
		req.respond("421 Misdirected Request", "Not-Run: 1\r\n", "")
		return
	case expected == "" || want != e.Service:
		f.wrong = append(f.wrong, fmt.Sprintf("%s for %q at %s of %s", path, expected, e.ID, e.Service))
	}
	f.ran[e.Service+" "+e.Version]++
	req.respond("200 OK", "", "")
}

func (f *addressFleet) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[key]
}

// Guards against requests that run at another service, or at a version that may not get them, because the addresses of
// endpoints in a rollout are used again: by an endpoint of another service, of the other version, or by one of the same
// service that the order does not name.
func TestAddressesThatAreUsedAgainInARollout(t *testing.T) {
	f := newAddressFleet(t)
	former, target := make([]int, 0, 6), make([]int, 0, 5)
	for i := range 6 {
		former = append(former, f.listen(fmt.Sprint("a", i), "s", "v1"))
	}
	f.listen("o0", "other", "v1")
	stop, stopOther := f.callers("/once/x", 3), f.callers("/safe/x", 1)
	f.order("v2")
	for i := range 5 {
		target = append(target, f.listen(fmt.Sprint("b", i), "s", "v2"))
	}
	eventually(t, "requests to the target", func() bool { return f.count("s v2") > 0 })
	f.use(former[0], "o1", "other", "v2")
	f.use(former[1], "b5", "s", "v2")
	f.use(former[2], "c0", "s", "v3")
	f.use(target[0], "a6", "s", "v1")
	f.use(target[1], "o2", "other", "v1")
	eventually(t, "completed", func() bool { return f.phase() == rollouter.Completed })
	ranFormer := f.count("s v1")
	for i, index := range former[3:] { // the operator has stopped them
		f.use(index, fmt.Sprint("o", 3+i), "other", "v2")
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	stopOther()
	assert.DeepEqual(t, f.wrong, []string(nil))
	assert.Equal(t, f.count("s v3"), 0, "requests to a version that no order names")
	assert.Equal(t, f.count("s v1"), ranFormer, "requests to the former version after the end")
	assert.Assert(t, f.count("s v2") > 0 && f.count("other v2") > 0, "%v", f.ran)
	assert.Assert(t, f.refused > 0, "no request met another endpoint than expected")
	t.Logf("%v, %d misdirected, %d of %d failed", f.ran, f.refused, f.failed.Load(), f.requests.Load())
}
