package node

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/attributor"
)

// startWithConvictions starts a fleet with three instances and a router that know convictions and have them in their
// state caches.
func startWithConvictions(t *testing.T, parts ...attributor.Part) *testFleet {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	now := time.Now()
	for _, part := range parts {
		f.nodes[0].fleet.evidence.merge(exchanger.Evidence{Convictions: []attributor.Conviction{
			{Part: part, Revision: 3, Crashes: 3, At: now, RefusedAt: now, RefusedBy: "router"}}}, "test")
	}
	for _, n := range f.nodes {
		for _, part := range parts {
			eventually(t, "conviction at "+n.settings.Place.Name, func() bool { return n.convicts(part) })
		}
	}
	for _, n := range f.nodes[:3] {
		n.fleet.markCacheDirty()
		eventually(t, "state cache of "+n.settings.Place.Name, func() bool {
			cache, err := readStateCache(filepath.Join(n.settings.DataFolder, stateCacheFile))
			return err == nil && len(cache.Convictions) == len(parts)
		})
	}
	time.Sleep(2 * stateCacheInterval)
	return f
}

func (n *testNode) convicts(part attributor.Part) bool {
	_, ok := n.fleet.evidence.check([]attributor.Part{part})
	return !ok
}

// Guards against a conviction that an operator has lifted and that is in force again after a kill of all nodes right
// after the acknowledgement, or after the loss of the acknowledging instance.
func TestAcknowledgedLiftSurvivesAKill(t *testing.T) {
	parts := []attributor.Part{17, 18}
	for _, killsAll := range []bool{true, false} {
		f := startWithConvictions(t, parts...)
		at := f.nodes[1]
		for _, part := range parts {
			time.Sleep(100 * time.Millisecond) // the state cache is written at once after a pause only
			eventually(t, "lift", func() bool { return at.fleet.LiftConviction(t.Context(), part) == nil })
		}
		running := f.nodes
		if killsAll {
			f.killAll()
			for _, n := range f.nodes {
				f.start(n, f.seeds, false)
			}
		} else {
			at.stop()
			running = slices.Concat(f.nodes[:1], f.nodes[2:])
		}
		f.putPlan(2, f.nodes[2:3])
		f.awaitPlan(2, running)
		isLifted := func(n *testNode) bool { return !n.convicts(parts[0]) && !n.convicts(parts[1]) }
		for _, n := range running {
			eventually(t, "lifted at "+n.settings.Place.Name, func() bool { return isLifted(n) })
		}
		time.Sleep(2 * stateCacheInterval)
		for _, n := range running {
			assert.Assert(t, isLifted(n), "%s", n.settings.Place.Name)
		}
	}
}

// Guards against a lift without a quorum, which would be forgotten, one that is refused when its sender asks again, and
// one of a sender that has left, which may come after a newer conviction.
func TestLiftIsAcknowledgedByAQuorum(t *testing.T) {
	const part attributor.Part = 17
	f := startWithConvictions(t, part)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	for _, n := range f.nodes {
		assert.Assert(t, n.fleet.LiftConviction(ctx, part) != nil)
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range f.nodes {
		assert.Assert(t, n.convicts(part), "%s", n.settings.Place.Name)
	}
	f.retryCommand("lift", f.nodes[:3], func(c Control) error { return c.LiftConviction(t.Context(), part) })
	for _, n := range f.nodes[:3] {
		eventually(t, "lifted at "+n.settings.Place.Name, func() bool { return !n.convicts(part) })
	}
	f.retryCommand("the same lift", f.nodes[:3], func(c Control) error { return c.LiftConviction(t.Context(), part) })
	var unknown *NotConvictedError
	eventually(t, "lift of an unknown part", func() bool {
		return errors.As(f.nodes[0].fleet.LiftConviction(t.Context(), part+1), &unknown)
	})
	var redirect *RedirectError
	eventually(t, "lift at a router", func() bool {
		return errors.As(f.nodes[3].fleet.LiftConviction(t.Context(), part), &redirect)
	})

	// The part crashes endpoints again.
	now := time.Now()
	f.nodes[0].fleet.evidence.merge(exchanger.Evidence{Convictions: []attributor.Conviction{
		{Part: part, Revision: 100, Crashes: 3, At: now, RefusedAt: now, RefusedBy: "router"}}}, "test")
	for _, n := range f.nodes {
		eventually(t, "convicted again", func() bool { return n.convicts(part) })
	}
	f.nodes[1].stop()
	f.nodes[2].stop()
	assert.Assert(t, f.nodes[0].fleet.LiftConviction(t.Context(), part) != nil)
	assert.Assert(t, f.nodes[0].convicts(part))
}
