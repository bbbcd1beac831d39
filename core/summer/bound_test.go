package summer

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sums that a receiver can not hold, against a group of keys that displaces the others, and against a
// subject of which only a part is known.
func TestBoundedSums(t *testing.T) {
	sums := Sums{"queue/ledger/arrivals": 1, "share/llm/ok": 1}
	for i := range 3000 {
		for _, domain := range []string{"a", "b", "c"} {
			sums[fmt.Sprintf("reach/f/%s/e%d#7", domain, i)] = uint64(1 + i/1000)
			sums[fmt.Sprintf("reach/r/%s/e%d#7", domain, i)] = 1
		}
	}
	bounded, dropped := sums.Bounded(MaxKeys)
	again, _ := sums.Bounded(MaxKeys)
	assert.DeepEqual(t, bounded, again)
	assert.Assert(t, len(bounded) <= MaxKeys && len(bounded) > MaxKeys-8)
	assert.Equal(t, len(bounded)+dropped, len(sums))
	assert.Equal(t, bounded["queue/ledger/arrivals"]+bounded["share/llm/ok"], uint64(2))
	bySubject := map[string]int{}
	for key, n := range bounded {
		assert.Equal(t, n, sums[key])
		if strings.HasPrefix(key, "reach/") {
			bySubject[key[strings.LastIndexByte(key, '/'):]]++
		}
	}
	for subject, keys := range bySubject {
		assert.Equal(t, keys, 6, subject)
		assert.Assert(t, sums["reach/f/a"+subject] >= 2, "%s is left before larger ones", subject)
	}
	few, dropped := Sums{"a": 1}.Bounded(MaxKeys)
	assert.DeepEqual(t, few, Sums{"a": 1})
	assert.Equal(t, dropped, 0)
}
