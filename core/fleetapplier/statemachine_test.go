package fleetapplier

import (
	"testing"

	"gotest.tools/v3/assert"
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
