package sharer

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// equal returns workspaces with the same need in the class of middle urgency, and other ones after them.
func equal(n int, need float64, others ...Workspace) (list []*Workspace) {
	for i := range n {
		list = append(list, &Workspace{Name: fmt.Sprintf("w%02d", i), Need: [Classes]float64{1: need}})
	}
	for i := range others {
		list = append(list, &others[i])
	}
	return list
}

// Guards workspaces within their share against a flood by others, and room that nobody else wants against being kept.
func TestSharesOfWorkspaces(t *testing.T) {
	flood := func(name string, need float64) Workspace {
		return Workspace{Name: name, Need: [Classes]float64{1: need}}
	}
	heavy := Workspace{Name: "heavy", Weight: 3, Need: [Classes]float64{1: 90}}
	for _, c := range []struct {
		name     string
		capacity float64
		list     []*Workspace
		want     map[string]float64 // share
	}{
		{"room for all", 100, equal(23, 2, flood("f", 50)), map[string]float64{"f": 50, "w00": 2}},
		{"six times the usual", 48, equal(23, 1, flood("f", 36)), map[string]float64{"f": 25, "w00": 1}},
		{"two floods", 42, equal(22, 1, flood("f", 36), flood("g", 15)), map[string]float64{"f": 10, "g": 10, "w00": 1}},
		{"room lent to one", 42, equal(22, 1, flood("f", 36), flood("g", 4)), map[string]float64{"f": 16, "g": 4}},
		{"24 at the same moment", 12, equal(24, 1), map[string]float64{"w00": 0.5, "w23": 0.5}},
		{"weights", 40, append(equal(0, 0), &heavy, &Workspace{Name: "l", Need: [Classes]float64{60}}),
			map[string]float64{"heavy": 30, "l": 10}},
		{"no capacity", 0, equal(2, 1), map[string]float64{"w00": 0}},
		{"one request a minute", 10, equal(1, 0.001, flood("f", 90)), map[string]float64{"w00": 0.001, "f": 9.999}},
	} {
		t.Run(c.name, func(t *testing.T) {
			Divide(c.capacity, c.list)
			for _, w := range c.list {
				if want, ok := c.want[w.Name]; ok {
					assert.Assert(t, math.Abs(w.Share-want) < 1e-9, "%s gets %v, want %v", w.Name, w.Share, want)
				}
				granted := 0.0
				for class, n := range w.Need {
					granted += n * w.Accepted[class]
				}
				assert.Assert(t, math.Abs(granted-w.Share) < 1e-9, "%s: classes get %v of %v", w.Name, granted, w.Share)
			}
		})
	}
}

// Guards against a burst of one class that takes the room of the others: urgent classes go first, and keep a part for
// the less urgent ones.
func TestClassesWithinAShare(t *testing.T) {
	for _, c := range []struct {
		name string
		need [Classes]float64
		min  [Classes]float64
	}{
		{"least urgent by 2.6", [Classes]float64{1, 1, 1, 2.6}, [Classes]float64{1, 1, 1, 0.38}},
		{"most urgent by 2.6", [Classes]float64{2.6, 1, 1, 1}, [Classes]float64{0.96, 0.5, 0.5, 0.5}},
		{"both", [Classes]float64{2.6, 1, 1, 2.6}, [Classes]float64{0.96, 0.5, 0.5, 0.19}},
		{"most urgent by 20", [Classes]float64{20, 1, 1, 1}, [Classes]float64{0.12, 0.5, 0.5, 0.5}},
		{"one class", [Classes]float64{0, 0, 8, 0}, [Classes]float64{0, 0, 0.5, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &Workspace{Need: c.need}
			Divide(4, []*Workspace{w})
			for class, want := range c.min {
				assert.Assert(t, w.Accepted[class] >= want-1e-9, "accepted %v", w.Accepted)
			}
		})
	}
}
