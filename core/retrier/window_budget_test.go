package retrier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertWithinBudget checks the retries of all routers in each window against the first attempts in it, in the window
// before it, or in the one half a window before it.
func assertWithinBudget(
	t *testing.T, firstAttempts, retries []time.Time, ratio, slack float64, window time.Duration,
) {
	t.Helper()
	inWindow := func(times []time.Time, from time.Time) int {
		start, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
		return end - start
	}
	last := firstAttempts[len(firstAttempts)-1]
	for from := firstAttempts[0]; from.Before(last); from = from.Add(window / 20) {
		nearby := max(inWindow(firstAttempts, from), inWindow(firstAttempts, from.Add(-window)),
			inWindow(firstAttempts, from.Add(-window/2)))
		n := inWindow(retries, from)
		assert.Assert(t, float64(n) <= ratio*float64(nearby)+slack, "%d retries for %d first attempts", n, nearby)
	}
}

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
	assertWithinBudget(t, firstAttempts, retries, ratio, slack, window)
	assert.Assert(t, len(retries) > 4000, "%d retries", len(retries))
}

// Guards against processes that are killed and started again and that together exceed the budget of a window, because
// each of them begins with a part of the slack that its predecessor has spent.
func TestWindowBudgetHoldsOverRestarts(t *testing.T) {
	const routers, ratio, slack = 4, 0.2, 116.0
	window := 10 * time.Second
	for _, c := range []struct {
		name           string
		killed         int           // at once
		interval, down time.Duration // between kills, and until the start
	}{
		{"all at once", routers, 9 * time.Second, 500 * time.Millisecond},
		{"three at once", 3, 7 * time.Second, 500 * time.Millisecond},
		{"one after the other", 1, time.Second, 200 * time.Millisecond},
		{"one again and again", 1, 200 * time.Millisecond, 0},
		{"seldom", routers, 30 * time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(2, 1))
			now := time.Unix(1000, 0)
			nextKill := now.Add(c.interval)
			budgets, startsAt := make([]*WindowBudget, routers), make([]time.Time, routers)
			for i := range budgets {
				budgets[i] = &WindowBudget{Ratio: ratio, Slack: slack, Window: window}
			}
			var firstAttempts, retries []time.Time
			for range 15_000 {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(8*time.Millisecond)))
				if now.After(nextKill) {
					for _, i := range rng.Perm(routers)[:c.killed] {
						startsAt[i] = now.Add(c.down)
						budgets[i] = NewRestartedWindowBudget(startsAt[i], ratio, slack, window)
					}
					nextKill = now.Add(c.interval)
				}
				i := rng.IntN(routers)
				if now.Before(startsAt[i]) {
					continue
				}
				budgets[i].CountFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
				if budgets[i].Take(now, routers) {
					retries = append(retries, now)
				}
			}
			assertWithinBudget(t, firstAttempts, retries, ratio, slack, window)
			assert.Assert(t, len(retries) > len(firstAttempts)/10, "%d retries", len(retries))
		})
	}
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
