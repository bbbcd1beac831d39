package retrier

import "time"

const (
	// budgetShare is the part of the first attempts that may be retried. More would multiply the load of a pool
	// that is failing because of load.
	budgetShare = 0.1
	// workspaceBurst and routerBurst are the retries that an idle workspace and router may make at once; without
	// them a workspace with few requests could never retry.
	workspaceBurst = 5
	routerBurst    = 50
)

// Budget bounds the retries of a router and of each workspace; it is not safe for concurrent use.
type Budget struct {
	router float64
	by     map[string]*float64
}

// NewBudget returns a budget with its bursts available.
func NewBudget() *Budget { return &Budget{router: routerBurst, by: map[string]*float64{}} }

func (b *Budget) workspace(name string) *float64 {
	v := b.by[name]
	if v == nil {
		full := float64(workspaceBurst)
		v = &full
		b.by[name] = v
	}
	return v
}

// First counts the first attempt of a request.
func (b *Budget) CountFirstAttempt(workspace string) {
	v := b.workspace(workspace)
	*v = min(workspaceBurst, *v+budgetShare)
	b.router = min(routerBurst, b.router+budgetShare)
}

// Take takes one retry from the budgets of the workspace and the router; ok is false if one is exhausted.
func (b *Budget) Take(workspace string) (ok bool) {
	v := b.workspace(workspace)
	// The tolerance covers the rounding of ten additions of the share.
	const whole = 1 - 1e-9
	if *v < whole || b.router < whole {
		return false
	}
	*v, b.router = *v-1, b.router-1
	return true
}

// Random is a seeded source of numbers in [0, 1).
type Random interface {
	Float64() float64
}

// RetryAfter spreads the retries of callers over one to two times the base, so that callers that were refused
// together do not return together. The result is at least 1 s, the unit of the header.
func RetryAfter(rng Random, base time.Duration) time.Duration {
	base = max(base, time.Second)
	return base + time.Duration(rng.Float64()*float64(base))
}
