package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against repeats of all routers together that exceed the budget in some window, in a storm in which every
// request fails.
func TestWindowBudgetHoldsOverAllRouters(t *testing.T) {
	const routers, ratio, slack = 13, 0.2, 100.0
	window := 10 * time.Second
	budgets := make([]*WindowBudget, routers)
	for i := range budgets {
		budgets[i] = &WindowBudget{Ratio: ratio, Slack: slack, Window: window}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	firsts, repeats := make([]time.Time, 0, 40_000), make([]time.Time, 0, 40_000)
	now := time.Unix(1000, 0)
	for range 40_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond)))
		b := budgets[min(rng.IntN(routers), rng.IntN(routers))]
		b.CountFirstAttempt(now)
		firsts = append(firsts, now)
		if b.Take(now, routers) {
			repeats = append(repeats, now)
		}
	}
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := firsts[0]; from.Before(now); from = from.Add(500 * time.Millisecond) {
		first := max(within(firsts, from), within(firsts, from.Add(-window)), within(firsts, from.Add(-window/2)))
		repeat := within(repeats, from)
		assert.Assert(t, float64(repeat) <= ratio*float64(first)+slack, "%d repeats of %d", repeat, first)
	}
	assert.Assert(t, len(repeats) > 4000, "%d repeats", len(repeats))
}

// Guards against a budget that is lost for good, or full again at once, after a pause.
func TestWindowBudgetForgetsAfterTheWindow(t *testing.T) {
	b := &WindowBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	taken := 0
	for b.Take(now, 1) {
		taken++
	}
	assert.Equal(t, taken, 8)
	assert.Assert(t, !b.Take(now.Add(5*time.Second), 1))
	assert.Assert(t, b.Take(now.Add(11*time.Second), 1))
}
