package rollouter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

func order(t *testing.T, at time.Time, target string, d time.Duration) Change {
	r, err := New(at, "s", target, d)
	assert.NilError(t, err)
	return Change{Rollout: r}
}

// Guards against a rollout that begins anew or ends twice because its order or its end is committed again, and against
// two rollouts of a service at once.
func TestApply(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	first := order(t, start, "v2", 10*time.Second)
	phase := func(c Change, p Phase) Change {
		c.Rollout.Phase = p
		return c
	}
	running := []Change{first}
	completed := []Change{first, phase(first, Moving), phase(first, Completed)}
	rolledBack := []Change{first, phase(first, RolledBack)}
	late := order(t, start.Add(time.Minute), "v2", 10*time.Second)
	for _, c := range []struct {
		name       string
		before     []Change
		change     Change
		phase      Phase
		orderedAt  int64
		conflicted bool
	}{
		{"first order", nil, first, Trying, start.UnixMilli(), false},
		{"order resent", running, order(t, start.Add(time.Second), "v2", 10*time.Second), Trying, start.UnixMilli(), false},
		{"another target", running, order(t, start.Add(time.Second), "v3", 10*time.Second), Trying, start.UnixMilli(), true},
		{"another deadline", running, order(t, start.Add(time.Second), "v2", 9*time.Second), Trying, start.UnixMilli(), true},
		{"resent after the end", rolledBack, order(t, start.Add(4*time.Second), "v2", 10*time.Second), RolledBack,
			start.UnixMilli(), false},
		{"ordered again later", rolledBack, late, Trying, late.Rollout.OrderedAt, false},
		{"target is reached", completed, late, Completed, start.UnixMilli(), false},
		{"next target", completed, order(t, start.Add(5*time.Second), "v3", time.Second), Trying,
			start.Add(5 * time.Second).UnixMilli(), false},
		{"rolled back after completion", completed, phase(first, RolledBack), Completed, start.UnixMilli(), false},
		{"completed after rollback", rolledBack, phase(first, Completed), RolledBack, start.UnixMilli(), false},
		{"phase of an earlier rollout", append(rolledBack, late), phase(first, Completed), Trying, late.Rollout.OrderedAt,
			false},
		{"phase falls back", completed[:2], phase(first, Trying), Moving, start.UnixMilli(), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var list []Rollout
			for i, change := range c.before {
				var err error
				list, err = Apply(list, change, uint64(i+1))
				assert.NilError(t, err)
			}
			list, err := Apply(list, c.change, 9)
			var conflict *ConflictError
			assert.Equal(t, errors.As(err, &conflict), c.conflicted)
			r, ok := Find(list, "s")
			assert.Assert(t, ok && len(list) == 1)
			assert.Equal(t, r.Phase, c.phase)
			assert.Equal(t, r.OrderedAt, c.orderedAt)
		})
	}
}

// Guards against orders that can't be carried out.
func TestInvalidOrders(t *testing.T) {
	for _, c := range []struct {
		service, target string
		duration        time.Duration
	}{
		{"", "v2", time.Second}, {"s", "", time.Second}, {"s", "v2", 0}, {"s", "v2", -time.Second},
		{"s", "v2", MaxDuration + 1}, {"s", "v2", Seconds(-1)}, {"s", "v2", Seconds(1e300)},
		{string(make([]byte, maxNameBytes+1)), "v2", time.Second},
	} {
		_, err := New(time.Now(), c.service, c.target, c.duration)
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%v", c)
	}
}

// Guards against a move to endpoints that can't hold the requests, and against a rollout that waits for more room than
// the former endpoints have in an overload.
func TestCapacityOfTheTarget(t *testing.T) {
	endpoint := func(version string, state registrar.State) registrar.Endpoint {
		return registrar.Endpoint{ID: version + state.String(), Service: "s", Version: version, Slots: 10, State: state}
	}
	former := []registrar.Endpoint{endpoint("v1", registrar.Ready), endpoint("v0", registrar.Silent),
		endpoint("v1", registrar.Draining), endpoint("v1", registrar.Gone)}
	for _, c := range []struct {
		name     string
		target   []registrar.Endpoint
		inFlight int // at each endpoint
		lacks    bool
	}{
		{"no endpoint", nil, 1, true},
		{"draining", []registrar.Endpoint{endpoint("v2", registrar.Draining)}, 1, true},
		{"half of the slots, low load", []registrar.Endpoint{endpoint("v2", registrar.Ready)}, 2, false},
		{"half of the slots, high load", []registrar.Endpoint{endpoint("v2", registrar.Ready)}, 5, true},
		{"as many slots, overload",
			[]registrar.Endpoint{endpoint("v2", registrar.Ready), endpoint("v2", registrar.Silent)}, 15, false},
	} {
		f := NewFacts(&Rollout{Service: "s", Target: "v2"}, append(c.target, former...),
			func(string) int { return c.inFlight })
		assert.Equal(t, f.lacksCapacity(), c.lacks, "%s: %+v", c.name, f)
		assert.DeepEqual(t, f.Former, []string{"v0", "v1"})
		assert.Equal(t, f.FormerInFlight, 3*c.inFlight)
	}
}

// Guards against a router that learns of the move late, or has a stepped clock, and still sends to the former versions
// when the others do not: the end does not wait for it.
func TestRoutesMoveByTheDelayOfTheMove(t *testing.T) {
	const delay = 3 * time.Second
	start := time.UnixMilli(1_000_000)
	for _, c := range []struct {
		name  string
		learn time.Duration // after the move
		step  time.Duration // of the router's clock
		isNew bool          // the router started after the move
		want  time.Duration // until requests go to the target, after the move
	}{
		{"at once", 0, 0, false, delay},
		{"late", 2 * time.Second, 0, false, delay},
		{"after the delay", 4 * time.Second, 0, false, 4 * time.Second},
		{"clock behind", time.Second, -time.Minute, false, delay + time.Second},
		{"clock ahead", time.Second, time.Minute, false, time.Second},
		{"new router", time.Second, 0, true, time.Second},
	} {
		r := order(t, start, "v2", 12*time.Second).Rollout
		g := NewGate(r, testShare)
		r.Phase, r.MovedAt, r.Delays = Moving, start.UnixMilli(), map[string]int64{"long": 0, "short": delay.Milliseconds()}
		at := start.Add(c.learn + c.step)
		g.Update(at, r)
		if c.isNew {
			g = NewGate(r, testShare)
		}
		for after := c.learn; after < 2*delay; after += testTick {
			admits := func(route string) bool {
				return !g.Admits(Admission{Now: start.Add(after + c.step), Version: "v1", Route: route, HasTarget: true})
			}
			assert.Assert(t, admits("long") && admits("added"), c.name)
			assert.Equal(t, admits("short"), after >= c.want, "%s after %v", c.name, after)
		}
	}
}
