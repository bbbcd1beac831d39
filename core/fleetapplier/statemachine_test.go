package fleetapplier

import (
	"testing"

	"gotest.tools/v3/assert"
)

func apply(t *testing.T, a *StateMachine, index uint64, c Command) {
	t.Helper()
	entry, err := EncodeCommand(c)
	assert.NilError(t, err)
	assert.Equal(t, a.Apply(index, entry), nil)
}

func plan(version uint64, content string) Command {
	return Command{Plan: &EncodedPlan{Version: version, Content: []byte(content)}}
}

// Guards against a plan of an older or the same version that replaces the one in force.
func TestTheHighestVersionIsInForce(t *testing.T) {
	a := New(func(State) {})
	apply(t, a, 1, plan(3, "three"))
	apply(t, a, 2, plan(2, "two"))
	apply(t, a, 3, plan(3, "other"))
	assert.Equal(t, string(a.State().Plan.Content), "three")
	apply(t, a, 4, plan(7, "seven"))
	assert.Equal(t, string(a.State().Plan.Content), "seven")
}

// Guards against a snapshot without the failure domains, and against changes of a state after it was published.
func TestSnapshotRestoresState(t *testing.T) {
	var published []State
	a := New(func(s State) { published = append(published, s) })
	apply(t, a, 1, plan(3, "three"))
	apply(t, a, 2, Command{TakeOutDomain: "d1"})
	apply(t, a, 3, Command{TakeOutDomain: "d2"})
	snapshot := a.Snapshot()
	apply(t, a, 4, Command{RestoreDomain: "d1"})
	assert.Equal(t, len(published[1].TakenOut), 1)
	assert.Assert(t, published[2].TakenOut["d1"])

	b := New(func(State) {})
	assert.NilError(t, b.Restore(snapshot))
	assert.DeepEqual(t, b.State(), published[2])
}

// Guards against an invalid log entry that crashes an instance or changes its state.
func TestInvalidEntryLeavesStateUnchanged(t *testing.T) {
	a := New(func(State) { t.Fatal("published") })
	_, isError := a.Apply(1, []byte{0xff}).(error)
	assert.Assert(t, isError)
}
