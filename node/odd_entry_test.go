package node

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

func testEndpoint(id, address string) registrar.Endpoint {
	return registrar.Endpoint{ID: id, Service: "s", Address: address, Domain: "d", State: registrar.Ready, Born: 1,
		Sequence: 1}
}

// endpoint returns what the node knows of an endpoint.
func (n *testNode) endpoint(id string) registrar.Endpoint {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.endpoints.Get(id)
}

// Guards against a heartbeat with an odd value after which other nodes no longer follow the list of endpoints.
func TestOddHeartbeatCostsItselfAlone(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	for _, change := range []func(e *registrar.Endpoint){
		func(e *registrar.Endpoint) { e.ID = "odd\xff" },
		func(e *registrar.Endpoint) { e.ID = "odd\r\nKey: 1" },
		func(e *registrar.Endpoint) { e.Address = "127.0.0.1:70000" },
		func(e *registrar.Endpoint) { e.Slots = math.MaxInt },
		func(e *registrar.Endpoint) { e.State = 9 },
		func(e *registrar.Endpoint) { e.Sequence = math.MaxUint64 },
		func(e *registrar.Endpoint) { e.Born = time.Now().AddDate(1, 0, 0).UnixMilli() },
	} {
		odd := testEndpoint("odd", "127.0.0.1:1")
		change(&odd)
		_, err := f.nodes[0].fleet.Register(t.Context(), odd)
		var badRequest *BadRequestError
		assert.Check(t, errors.As(err, &badRequest), "%+v: %v", odd, err)
	}
	f.retryCommand("sound", f.nodes[:1], func(c Control) error {
		_, err := c.Register(t.Context(), testEndpoint("sound", "127.0.0.1:1"))
		return err
	})
	for _, n := range f.nodes {
		eventually(t, "sound endpoint at "+n.settings.Place.Name, func() bool { return n.endpoint("sound").ID != "" })
		assert.Equal(t, len(n.fleet.Endpoints()), 1)
	}
	_, err := f.nodes[0].obs.Registry.Gather()
	assert.NilError(t, err)
}
