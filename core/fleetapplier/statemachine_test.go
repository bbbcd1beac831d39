package fleetapplier

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

func apply(t *testing.T, m *StateMachine, index uint64, c Command) {
	t.Helper()
	entry, err := EncodeCommand(c)
	assert.NilError(t, err)
	assert.Equal(t, m.Apply(index, entry), nil)
}

func plan(version uint64, content string) Command {
	return Command{Plan: &EncodedPlan{Version: version, Content: []byte(content)}}
}

// Guards against a plan of an older or the same version that replaces the one in force.
func TestTheHighestVersionIsInForce(t *testing.T) {
	m := New(func(State) {})
	apply(t, m, 1, plan(3, "three"))
	apply(t, m, 2, plan(2, "two"))
	apply(t, m, 3, plan(3, "other"))
	assert.Equal(t, string(m.State().Plan.Content), "three")
	apply(t, m, 4, plan(7, "seven"))
	assert.Equal(t, string(m.State().Plan.Content), "seven")
}

// Guards against a snapshot without the failure domains, and against changes of a state after it was published.
func TestSnapshotRestoresState(t *testing.T) {
	var published []State
	m := New(func(s State) { published = append(published, s) })
	apply(t, m, 1, plan(3, "three"))
	apply(t, m, 2, Command{TakeOutDomain: "d1"})
	apply(t, m, 3, Command{TakeOutDomain: "d2"})
	snapshot := m.Snapshot()
	apply(t, m, 4, Command{RestoreDomain: "d1"})
	assert.Equal(t, len(published[1].TakenOut), 1)
	assert.Assert(t, published[2].TakenOut["d1"])

	restored := New(func(State) {})
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.State(), published[2])
}

// Guards against an invalid log entry that crashes an instance or changes its state.
func TestInvalidEntryLeavesStateUnchanged(t *testing.T) {
	m := New(func(State) { t.Fatal("published") })
	_, isError := m.Apply(1, []byte{0xff}).(error)
	assert.Assert(t, isError)
}

func depart(list ...registrar.Departure) Command { return Command{Departures: list} }

// Guards against departures that are lost in a snapshot or before the entry is committed, are published as a change of
// the plan, or change a state that was published before.
func TestDeparturesAreKept(t *testing.T) {
	var reported []registrar.Departure
	var published int
	m := New(func(State) { published++ })
	m.OnDepartures = func(list []registrar.Departure) { reported = append(reported, list...) }
	a, b := registrar.Departure{ID: "a", Born: 5, Sequence: 7}, registrar.Departure{ID: "b", Born: 6, IsGone: true}
	gone := registrar.Departure{ID: "a", Born: 5, IsGone: true}
	apply(t, m, 1, depart(a, b))
	assert.Equal(t, published, 0)
	assert.DeepEqual(t, reported, []registrar.Departure{a, b})
	before := m.State()
	assert.Equal(t, before.Index, uint64(1))
	assert.Assert(t, m.HasDeparted(a) && m.HasDeparted(b) && !m.HasDeparted(gone))

	apply(t, m, 2, depart(gone))
	apply(t, m, 3, depart(a, registrar.Departure{ID: "b", Born: 2, IsGone: true}))
	assert.DeepEqual(t, before.Departures, []registrar.Departure{a, b})
	assert.DeepEqual(t, m.State().Departures, []registrar.Departure{b, gone})
	assert.Assert(t, m.HasDeparted(a) && m.HasDeparted(gone))

	restored := New(func(State) {})
	reported = nil
	restored.OnDepartures = m.OnDepartures
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assert.DeepEqual(t, restored.State(), m.State())
	assert.DeepEqual(t, reported, []registrar.Departure{b, gone})

	reported = nil
	for _, c := range []Command{depart(b), plan(3, "three"), {TakeOutDomain: "d"}} {
		entry, err := EncodeCommand(c)
		assert.NilError(t, err)
		m.Preview(entry)
	}
	m.Preview([]byte{0xff})
	assert.DeepEqual(t, reported, []registrar.Departure{b})
	assert.Equal(t, m.State().Index, uint64(3))
}

// Guards against a state that grows with each endpoint that ever left.
func TestOldestDeparturesAreForgotten(t *testing.T) {
	m := New(func(State) {})
	for i := range uint64(registrar.MaxDepartures + 5) {
		apply(t, m, i+1, depart(registrar.Departure{ID: fmt.Sprint(i), Born: 5}))
	}
	list := m.State().Departures
	assert.Equal(t, len(list), registrar.MaxDepartures)
	assert.Equal(t, list[0].ID, "5")
	assert.Assert(t, !m.HasDeparted(registrar.Departure{ID: "4", Born: 5}))
}

// Guards against a late copy of an order about a failure domain that undoes a newer one, which was acknowledged.
func TestLateOrderDoesNotUndoANewerOne(t *testing.T) {
	const d = "d"
	takeOut := func(after uint64) Command { return Command{TakeOutDomain: d, After: &after} }
	restore := func(after uint64) Command { return Command{RestoreDomain: d, After: &after} }
	type step struct {
		command   Command
		overtaken bool
		takenOut  bool // afterwards
	}
	for _, c := range []struct {
		name  string
		steps []step // at indexes 1, 2 and so on
	}{
		{"in order", []step{{takeOut(0), false, true}, {restore(1), false, false}, {takeOut(2), false, true}}},
		{"a return to service after a newer order", []step{
			{takeOut(0), false, true}, {restore(1), false, false}, {takeOut(2), false, true}, {restore(1), true, true}}},
		{"a second copy of an order", []step{
			{takeOut(0), false, true}, {takeOut(0), false, true}, {restore(1), false, false}, {takeOut(0), true, false}}},
		{"after an order that changed nothing", []step{
			{takeOut(0), false, true}, {takeOut(1), false, true}, {restore(1), true, true}}},
		{"without the last order, from an earlier release", []step{
			{takeOut(0), false, true}, {Command{RestoreDomain: d}, false, false}, {restore(1), false, false},
			{takeOut(1), true, false}, {takeOut(2), false, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(func(State) {})
			for i, s := range c.steps {
				entry, err := EncodeCommand(s.command)
				assert.NilError(t, err)
				_, overtaken := m.Apply(uint64(i+1), entry).(*OvertakenError)
				assert.Equal(t, overtaken, s.overtaken, "step %d", i+1)
				assert.Equal(t, m.State().TakenOut[d], s.takenOut, "step %d", i+1)
			}
			restored := New(func(State) {})
			assert.NilError(t, restored.Restore(m.Snapshot()))
			assert.DeepEqual(t, restored.State(), m.State())
		})
	}
}

// Guards against instances that decide differently about an order after an upgrade: snapshots of earlier releases lack
// the orders before them, and each instance writes its snapshots at other entries.
func TestSnapshotWithoutOrdersDecidesAlike(t *testing.T) {
	const d = "d"
	replayed, restored := New(func(State) {}), New(func(State) {})
	apply(t, replayed, 5, Command{TakeOutDomain: d})
	apply(t, replayed, 6, Command{RestoreDomain: d})
	snapshot := replayed.State()
	snapshot.Orders = nil // as an earlier release wrote it
	chunk, err := cbor.Marshal(snapshot)
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(func(yield func([]byte, error) bool) { yield(chunk, nil) }))
	index := uint64(7)
	for _, proposer := range []*StateMachine{replayed, restored, replayed} {
		for _, c := range []Command{{TakeOutDomain: d}, {RestoreDomain: d}, {TakeOutDomain: d}} {
			s := proposer.State()
			after := s.After(d)
			c.After = &after
			entry, err := EncodeCommand(c)
			assert.NilError(t, err)
			for _, m := range []*StateMachine{replayed, restored} {
				if err, ok := m.Apply(index, entry).(error); ok {
					t.Errorf("order %d: %v", index, err)
				}
			}
			assert.DeepEqual(t, replayed.State().TakenOut, restored.State().TakenOut)
			index++
		}
	}
}

// Guards against orders to lift convictions that a snapshot forgets, that fill it, or that are reported in part.
func TestLiftsSurviveASnapshot(t *testing.T) {
	var reported []attributor.Lift
	report := func(list []attributor.Lift) { reported = append(reported, list...) }
	m := New(func(State) {})
	m.OnLifts = report
	apply := func(l attributor.Lift) {
		entry, err := EncodeCommand(Command{Lift: &l})
		assert.NilError(t, err)
		assert.Assert(t, m.Apply(m.State().Index+1, entry) == nil)
	}
	for i := range maxLifts + 3 {
		apply(attributor.Lift{Part: attributor.Part(i), Revision: 1, At: int64(i)})
	}
	apply(attributor.Lift{Part: 5, Revision: 2, At: 9})
	assert.Equal(t, len(reported), maxLifts+4)
	before := m.State().Lifts
	assert.Equal(t, len(before), maxLifts)
	assert.DeepEqual(t, before[0], attributor.Lift{Part: 3, Revision: 1, At: 3})
	assert.DeepEqual(t, before[maxLifts-1], attributor.Lift{Part: 5, Revision: 2, At: 9})

	reported = nil
	restored := New(func(State) {})
	restored.OnLifts = report
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assert.DeepEqual(t, reported, before)
	assert.DeepEqual(t, restored.State().Lifts, before)
}

// Guards against rollouts that a snapshot forgets, and against entries and snapshots of earlier releases, which have
// none, that can't be read.
func TestRolloutsSurviveASnapshot(t *testing.T) {
	m := New(func(State) {})
	r, err := rollouter.New(time.UnixMilli(1), "s", "v2", time.Second)
	assert.NilError(t, err)
	apply(t, m, 1, Command{TakeOutDomain: "d"})
	apply(t, m, 2, Command{Rollout: &rollouter.Change{Rollout: r}})
	r.Phase, r.Reason = rollouter.RolledBack, "bad"
	apply(t, m, 3, Command{Rollout: &rollouter.Change{Rollout: r}})
	r.Index = 3
	restored := New(func(State) {})
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assert.DeepEqual(t, restored.State().Rollouts, []rollouter.Rollout{r})

	before := m.State()
	other := r
	other.Target, other.Phase = "v3", rollouter.Trying
	apply(t, m, 4, Command{Rollout: &rollouter.Change{Rollout: other}})
	other.Target = "v4"
	entry, err := EncodeCommand(Command{Rollout: &rollouter.Change{Rollout: other}})
	assert.NilError(t, err)
	_, isConflict := m.Apply(5, entry).(*rollouter.ConflictError)
	assert.Assert(t, isConflict)
	assert.DeepEqual(t, before.Rollouts, []rollouter.Rollout{r}) // a published state is not changed

	before.Rollouts = nil
	chunk, err := cbor.Marshal(before)
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(func(yield func([]byte, error) bool) { yield(chunk, nil) }))
	assert.Assert(t, restored.State().Rollouts == nil && restored.State().TakenOut["d"])
}
