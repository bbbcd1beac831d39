package limiter

import "time"

const (
	// growthPerCompletion raises a cold limit by half in each round of completions, so that it stays below the
	// capacity of an engine that can take one more request for each one it has completed.
	growthPerCompletion = 0.5
	// coldCompletions is the number of completions after which the first reduction of the limit ends the cold state.
	coldCompletions = 20
	// latencyBackoff is applied at most once per round of completions, because a single slow period affects every
	// request in flight.
	latencyBackoff = 0.8
	timeoutBackoff = 0.5
	// latencyJumpFactor is the ratio of latency to baseline that, at low load, means that the engine lost its cache
	// or was replaced.
	latencyJumpFactor = 3
	// latencyJumpCount consecutive latency jumps are required, because a single one may be a scheduling pause.
	latencyJumpCount = 2
	// lowLoadFraction is the fraction of the limit up to which load does not explain a rise in latency.
	lowLoadFraction = 0.25
	// baselineWeight averages the baseline over about 20 completions.
	baselineWeight = 0.05
)

// concurrencyLimit is the adaptive concurrency limit of the endpoint.
type concurrencyLimit struct {
	limit                     float64
	cold                      bool
	completionsSinceReduction int
	completionsSinceReset     int
	baseline                  time.Duration
	latencyJumps              int
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{limit: 1, cold: true} }

func (c *concurrencyLimit) value(maxConcurrency int) int {
	return max(1, min(int(c.limit), maxConcurrency))
}

func (c *concurrencyLimit) reset() { *c = newConcurrencyLimit() }

func (c *concurrencyLimit) reduce(factor float64) {
	if float64(c.completionsSinceReduction) < c.limit {
		return
	}
	c.limit, c.completionsSinceReduction = max(1, c.limit*factor), 0
	c.cold = c.cold && c.completionsSinceReset < coldCompletions
}

// recordSuccess adjusts the limit after a successful request; used is the in-flight count including the request.
// It reports whether a latency jump that load does not explain has reset the limit to cold.
func (c *concurrencyLimit) recordSuccess(cfg *Config, result Result, used int) (wasReset bool) {
	c.completionsSinceReduction++
	c.completionsSinceReset++
	if c.isLatencyJump(result, used) {
		if c.latencyJumps++; c.latencyJumps >= latencyJumpCount {
			c.reset()
			return true
		}
		return false
	}
	c.latencyJumps = 0
	if c.isSlow(cfg, result) {
		c.reduce(latencyBackoff)
		return false
	}
	c.updateBaseline(result)
	if 2*used < c.value(cfg.MaxConcurrency) {
		return false // completions below half the limit do not show that the engine can take more
	}
	growth := growthPerCompletion
	if !c.cold {
		growth = min(growthPerCompletion, 1/c.limit)
	}
	c.limit = min(c.limit+growth, float64(cfg.MaxConcurrency))
	if c.limit >= float64(cfg.MaxConcurrency) {
		c.cold = false
	}
	return false
}

// isSlow reports whether a latency exceeds its target. Without a target, the token gap is compared with the baseline;
// the latency of unary service calls varies too much between calls for that.
func (c *concurrencyLimit) isSlow(cfg *Config, result Result) bool {
	gapTarget := cfg.TokenGapTarget
	if gapTarget == 0 {
		gapTarget = latencyJumpFactor * c.baseline
	}
	return isOver(result.FirstToken, cfg.FirstTokenTarget) || isOver(result.TokenGap, gapTarget)
}

func isOver(d, target time.Duration) bool { return target > 0 && d > target }

// latency returns the token gap of a streamed response, which does not depend on the prompt length, and else the time
// to the first token.
func (r Result) latency() time.Duration {
	if r.TokenGap > 0 {
		return r.TokenGap
	}
	return r.FirstToken
}

func (c *concurrencyLimit) isLatencyJump(result Result, used int) bool {
	return !c.cold && c.baseline > 0 && result.latency() > latencyJumpFactor*c.baseline &&
		float64(used) <= max(1, lowLoadFraction*c.limit)
}

func (c *concurrencyLimit) updateBaseline(result Result) {
	latency := result.latency()
	if c.baseline == 0 {
		c.baseline = latency
		return
	}
	c.baseline += time.Duration(baselineWeight * float64(latency-c.baseline))
}
