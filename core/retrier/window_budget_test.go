package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries of all routers that together exceed the budget of a window while every request fails.
func TestWindowBudgetHoldsOverAllRouters(t *testing.T) {
	const routers, ratio, slack = 13, 0.2, 100.0
	window := 10 * time.Second
	budgets := make([]*WindowBudget, routers)
	for i := range budgets {
		budgets[i] = &WindowBudget{Ratio: ratio, Slack: slack, Window: window}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	firstAttempts, retries := make([]time.Time, 0, 40_000), make([]time.Time, 0, 40_000)
	now := time.Unix(1000, 0)
	for range 40_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond)))
		b := budgets[min(rng.IntN(routers), rng.IntN(routers))]
		b.CountFirstAttempt(now)
		firstAttempts = append(firstAttempts, now)
		if b.Take(now, routers) {
			retries = append(retries, now)
		}
	}
	inWindow := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := firstAttempts[0]; from.Before(now); from = from.Add(500 * time.Millisecond) {
		nearby := max(inWindow(firstAttempts, from), inWindow(firstAttempts, from.Add(-window)),
			inWindow(firstAttempts, from.Add(-window/2)))
		n := inWindow(retries, from)
		assert.Assert(t, float64(n) <= ratio*float64(nearby)+slack, "%d retries for %d first attempts", n, nearby)
	}
	assert.Assert(t, len(retries) > 4000, "%d retries", len(retries))
}

// Guards against a budget that never refills, or that refills before its window has passed.
func TestWindowBudgetRefillsAfterWindow(t *testing.T) {
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
