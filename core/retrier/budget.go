package retrier

import "time"

const (
	// retryRatio is the number of retries allowed per first attempt. More would multiply the load on a pool that fails
	// because of overload.
	retryRatio = 0.1
	// workspaceBurst and routerBurst are the capacities of the token buckets; without a burst, a workspace with few
	// requests could never retry.
	workspaceBurst = 5
	routerBurst    = 50
)

// Budget limits the retries of a router and of each workspace by token buckets that first attempts refill. It is not
// safe for concurrent use.
type Budget struct {
	routerTokens    float64
	workspaceTokens map[string]*float64
}

// NewBudget returns a budget whose token buckets are full.
func NewBudget() *Budget {
	return &Budget{routerTokens: routerBurst, workspaceTokens: map[string]*float64{}}
}

func (b *Budget) tokensOf(workspace string) *float64 {
	tokens := b.workspaceTokens[workspace]
	if tokens == nil {
		burst := float64(workspaceBurst)
		tokens = &burst
		b.workspaceTokens[workspace] = tokens
	}
	return tokens
}

// CountFirstAttempt refills the token buckets for the first attempt of a request.
func (b *Budget) CountFirstAttempt(workspace string) {
	tokens := b.tokensOf(workspace)
	*tokens = min(workspaceBurst, *tokens+retryRatio)
	b.routerTokens = min(routerBurst, b.routerTokens+retryRatio)
}

// Take takes one retry from the buckets of the workspace and the router; ok is false if either is exhausted.
func (b *Budget) Take(workspace string) (ok bool) {
	tokens := b.tokensOf(workspace)
	// The tolerance covers the rounding error of ten additions of retryRatio.
	const oneRetry = 1 - 1e-9
	if *tokens < oneRetry || b.routerTokens < oneRetry {
		return false
	}
	*tokens, b.routerTokens = *tokens-1, b.routerTokens-1
	return true
}

// Random is a seeded source of numbers in [0, 1).
type Random interface {
	Float64() float64
}

// RetryAfter adds a jitter of up to the base to the base, so that callers refused at the same time do not retry at the
// same time. The result is at least 1 s, the unit of the Retry-After header.
func RetryAfter(rng Random, base time.Duration) time.Duration {
	base = max(base, time.Second)
	return base + time.Duration(rng.Float64()*float64(base))
}
