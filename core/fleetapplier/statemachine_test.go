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
