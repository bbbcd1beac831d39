package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an order that an instance carries out although its sender has gone on to another instance, where the
// order and its opposite may have been acknowledged meanwhile.
func TestOrderOfASenderThatHasLeftIsDropped(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.startAll()
	f.putPlan(1, f.nodes)
	f.retryCommand("take out", f.nodes, func(c Control) error { return c.TakeOut(t.Context(), "d") })
	for _, n := range f.nodes {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.Assert(t, n.fleet.Restore(ctx, "d") != nil)
	}
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		assert.Assert(t, n.fleet.control.stateMachine.State().TakenOut["d"], "%s", n.settings.Place.Name)
	}
	f.retryCommand("restore", f.nodes, func(c Control) error { return c.Restore(t.Context(), "d") })
	f.retryCommand("take out", f.nodes, func(c Control) error { return c.TakeOut(t.Context(), "d") })
	eventually(t, "the failure domain is out of service", func() bool {
		return f.nodes[0].fleet.view.Load().takenOut["d"]
	})
}
