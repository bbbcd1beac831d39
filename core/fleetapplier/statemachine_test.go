package fleetapplier

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
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
