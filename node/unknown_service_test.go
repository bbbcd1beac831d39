package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// Guards against a service that is taken down by records of a service of no plan at the addresses of its endpoints, and
// against requests to the former endpoint at an address once a plan has added the service of the later one.
func TestRecordsOfUnknownServicesTakeNoAddress(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:1])
	f.awaitPlan(1, f.nodes)
	register := func(id, service string, born int64) {
		e := testEndpoint(id, "127.0.0.1:1")
		e.Service, e.Born = service, born
		f.retryCommand(id, f.nodes[:1], func(c Control) error {
			_, err := c.Register(t.Context(), e)
			return err
		})
	}
	register("sound", "s", 1)
	register("other", "later", 2)
	register("third", "never", 3)
	usable := func(n *testNode) string {
		loads, _ := n.fleet.routing.snapshot(time.Now())
		ids := make([]string, 0, len(loads))
		for _, l := range loads {
			ids = append(ids, l.ID)
		}
		return strings.Join(ids, ",")
	}
	for _, n := range f.nodes {
		eventually(t, "all records at "+n.settings.Place.Name, func() bool { return n.endpoint("third").ID != "" })
		n.fleet.updateRouting()
		assert.Equal(t, usable(n), "sound", n.settings.Place.Name)
	}
	p := testPlan(2)
	p.Services = append(p.Services, planner.Service{Name: "later"})
	f.retryCommand("plan", f.nodes[:1], func(c Control) error { return c.PutPlan(t.Context(), encodePlan(t, p)) })
	f.awaitPlan(2, f.nodes)
	for _, n := range f.nodes {
		eventually(t, "other endpoint at "+n.settings.Place.Name, func() bool { return usable(n) == "other" })
	}
	// The endpoint of a service that a later plan leaves out still has its address.
	f.putPlan(3, f.nodes[:1])
	f.awaitPlan(3, f.nodes)
	for _, n := range f.nodes {
		n.fleet.updateRouting()
		assert.Equal(t, usable(n), "other", n.settings.Place.Name)
	}
}
