package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// Guards routers with a tenth of a core: the decisions under load are not in force beside more endpoints than they were
// measured with.
func TestDecisionsUnderLoadEndAboveTheirSize(t *testing.T) {
	plan := testPlan(1)
	plan.Scheduling = planner.SchedulingDemand
	f := newTestProxy(t, plan).fleet
	for _, c := range []struct {
		endpoints int
		isOn      bool
	}{{planner.MaxScheduledEndpoints, true}, {planner.MaxScheduledEndpoints + 1, false}} {
		list := make([]registrar.Endpoint, c.endpoints)
		for i := range list {
			list[i] = testEndpoint(fmt.Sprint("e", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1))
		}
		f.endpoints.AddServices([]string{list[0].Service})
		f.mergeEndpoints(list, "test")
		f.updateRouting()
		f.routing.withChooser(func(ch *chooser.Chooser) { assert.Equal(t, ch.SharesReach(), c.isOn, "%d", c.endpoints) })
	}
}

// Guards against a router that spends its processor on updates of routing while many endpoints register again: after a
// failure domain lost power, each of 333 records caused an update over all 1,000 endpoints.
func TestReturningEndpointsShareUpdatesOfRouting(t *testing.T) {
	const endpoints = 1000
	f := newTestProxy(t, nil).fleet
	list := make([]registrar.Endpoint, endpoints)
	for i := range list {
		list[i] = testEndpoint(fmt.Sprint("e", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1))
	}
	f.endpoints.AddServices([]string{list[0].Service})
	f.mergeEndpoints(list, "test")
	updated := func() uint64 {
		f.routingUpdateMu.Lock()
		defer f.routingUpdateMu.Unlock()
		return f.routingUpdated
	}
	before := updated()
	for i := range list[:333] {
		list[i].Born++
		f.mergeEndpoints(list[i:i+1], "test")
	}
	updates := updated() - before
	eventually(t, "all records in force", func() bool {
		in := 0
		f.routing.withChooser(func(c *chooser.Chooser) { in = len(c.Loads(time.Now())) })
		return in == endpoints && !f.routingPending.Load()
	})
	assert.Assert(t, updates < 100, "%d updates", updates)

	list[0].State, list[0].Sequence = registrar.Draining, list[0].Sequence+1
	f.mergeEndpoints(list[:1], "test")
	f.routing.withChooser(func(c *chooser.Chooser) { assert.Equal(t, len(c.Loads(time.Now())), endpoints-1) })
}

// Guards against a router that spends its processor on updates of routing over all endpoints while many leave, or while
// the routers of a fleet subscribe again and their number changes with each heartbeat; and against requests for an
// endpoint that has left.
func TestDeparturesAndRouterCountsNeedNoUpdateOfAllEndpoints(t *testing.T) {
	const endpoints, leaving = 3000, 400
	f := newTestProxy(t, nil).fleet
	list := make([]registrar.Endpoint, endpoints)
	for i := range list {
		list[i] = testEndpoint(fmt.Sprint("e", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1))
	}
	f.endpoints.AddServices([]string{list[0].Service})
	f.mergeEndpoints(list, "test")
	f.updateRouting()
	before := f.routingUpdated
	for i := range leaving {
		e := list[i]
		e.State, e.Sequence = registrar.Draining, e.Sequence+1
		if i%2 == 1 {
			f.mu.Lock()
			e, _ = f.endpoints.Deregister(time.Now(), e.ID)
			f.mu.Unlock()
			f.publishEndpoints([]registrar.Endpoint{e}, "test")
		}
		f.mergeEndpoints([]registrar.Endpoint{e}, "test")
		f.recordRouterCount(2 + i)
		f.routing.withChooser(func(c *chooser.Chooser) { assert.Equal(t, len(c.Loads(time.Now())), endpoints-1-i) })
		assert.Equal(t, f.routing.routerCount(), 2+i)
	}
	f.routingUpdateMu.Lock()
	defer f.routingUpdateMu.Unlock()
	assert.Assert(t, f.routingUpdated-before < leaving/8, "%d updates", f.routingUpdated-before)
}
