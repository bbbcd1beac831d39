package exchanger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against one control instance that gets the heartbeats of all endpoints of its domain while others have none.
func TestEndpointsAreSpreadOverTheInstancesOfTheirDomain(t *testing.T) {
	list := []Contact{{Name: "a1", Domain: "a"}, {Name: "a2", Domain: "a"}, {Name: "b1", Domain: "b"},
		{Name: "b2", Domain: "b"}, {Name: "self", Domain: "a"}}
	for _, tc := range []struct {
		domain string
		want   []string
		first  string // without an ID
	}{
		{"a", []string{"a1", "a2"}, "a1"}, {"b", []string{"b1", "b2"}, "b1"},
		{"c", []string{"a1", "a2", "b1", "b2"}, "a1"},
	} {
		counts, total := map[string]int{}, 0
		for i := range 1000 {
			c, ok := Preferred(list, "self", tc.domain, fmt.Sprint("e", i))
			assert.Assert(t, ok)
			counts[c.Name]++
		}
		for _, name := range tc.want {
			assert.Assert(t, counts[name] > 800/len(tc.want), "%v", counts)
			total += counts[name]
		}
		assert.Equal(t, total, 1000)
		c, _ := Preferred(list, "self", tc.domain, "")
		assert.Equal(t, c.Name, tc.first)
	}
	_, ok := Preferred(list[4:], "self", "a", "e")
	assert.Assert(t, !ok)
}
