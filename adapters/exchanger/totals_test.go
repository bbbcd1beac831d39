package exchanger

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against merges that take all the time of an instance with many subscribers, and against values that are older
// than the merge deserves.
func TestTotalsAreMergedInProportionToItsCost(t *testing.T) {
	for _, tc := range []struct{ cost, wantAge time.Duration }{
		{10 * time.Microsecond, 320 * time.Microsecond}, {time.Millisecond, 32 * time.Millisecond},
		{time.Second, maxMergedAge},
	} {
		synctest.Test(t, func(t *testing.T) {
			var s shared[int]
			merges := 0
			get := func() int {
				return s.get(func() int {
					time.Sleep(tc.cost)
					merges++
					return merges
				})
			}
			assert.Equal(t, get(), 1)
			time.Sleep(tc.wantAge - time.Microsecond)
			assert.Equal(t, get(), 1)
			time.Sleep(time.Microsecond)
			assert.Equal(t, get(), 2)
		})
	}
}
