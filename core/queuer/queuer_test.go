package queuer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Guards against room that goes to a request which is late anyway, or to the less urgent one of two.
func TestOrder(t *testing.T) {
	ticket := func(name string, priority float64, targetMillis, deadlineMillis int) *Ticket[string] {
		at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
		return &Ticket[string]{Priority: priority, TargetAt: at(targetMillis), Deadline: at(deadlineMillis), Value: name}
	}
	q := Queue[string]{ResponseTime: 60 * time.Millisecond}
	for _, x := range []*Ticket[string]{
		ticket("late, urgent", 0, 30, 900), ticket("least urgent", 1, 300, 700), ticket("urgent, later", 0, 300, 3000),
		ticket("late, earlier", 0, 30, 800), ticket("urgent", 0, 300, 2000),
	} {
		assert.Assert(t, q.Join(x))
	}
	assert.DeepEqual(t, q.Counts(start), [Classes]int{2, 0, 1, 2, 0, 0})
	for i, want := range []string{"urgent", "urgent, later", "least urgent", "late, earlier", "late, urgent"} {
		first := q.First(start)
		assert.Equal(t, first.Value, want, "place %d", i)
		assert.Equal(t, q.Ahead(start, first), 0)
		q.Leave(first)
	}
	assert.Equal(t, q.Len(), 0)
}

// Guards against requests that wait for nothing, and against a refusal of one that could be served.
func TestOnlyWhatCannotBeServedIsRefused(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name   string
		room   Room
		left   time.Duration
		ahead  float64
		refuse bool
	}{
		{"room", Room{300, 6, 18, 60 * time.Millisecond}, second, 0, false},
		{"full, in time", Room{300, 54, 18, 60 * time.Millisecond}, second, 100, false},
		{"just too many", Room{300, 54, 18, 60 * time.Millisecond}, second, 300, false},
		{"far too many", Room{300, 54, 18, 60 * time.Millisecond}, second, 600, true},
		{"less time than one request takes", Room{300, 0, 18, 60 * time.Millisecond}, 50 * time.Millisecond, 0, true},
		{"rate not known", Room{}, second, 600, false},
		{"one of three endpoints left", Room{100, 18, 18, 60 * time.Millisecond}, second, 200, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.room.IsTooLate(start, start.Add(tc.left), tc.ahead), tc.refuse)
		})
	}
}
