package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/fleetapplier"
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

// Guards against an order that an instance proposes after it has stood still, and that undoes one which was
// acknowledged by another instance meanwhile.
func TestOrderThatWasHeldUpUndoesNothing(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.startAll()
	f.putPlan(1, f.nodes)
	takeOut := func(c Control) error { return c.TakeOut(t.Context(), "d") }
	restore := func(c Control) error { return c.Restore(t.Context(), "d") }
	f.retryCommand("take out", f.nodes, takeOut)
	for _, n := range f.nodes {
		var s fleetapplier.State
		eventually(t, "read", func() (isRead bool) {
			var err error
			s, err = readForSender(t.Context(), n.fleet.control)
			return err == nil
		})
		held := orderAfter(s, "d", fleetapplier.Command{RestoreDomain: "d"})
		f.retryCommand("restore elsewhere", f.nodes, restore)
		f.retryCommand("take out elsewhere", f.nodes, takeOut)
		var overtaken *fleetapplier.OvertakenError
		eventually(t, "result of the held order", func() bool {
			return errors.As(n.fleet.control.propose(t.Context(), held), &overtaken)
		})
		for _, other := range f.nodes {
			eventually(t, "out of service", func() bool { return other.fleet.control.stateMachine.State().TakenOut["d"] })
		}
	}
}
