package limiter

import "time"

const (
	// coldGrowth per completion lets the limit grow by half in each round of completions, so that it stays
	// behind an engine that bears one more request for each one it has completed.
	coldGrowth = 0.5
	// coldCompletions is how many completions end the cold state when the limit has stopped growing.
	coldCompletions = 20
	// latencyBackoff is applied at most once for each round of completions, so that one slow moment, which
	// every request in flight reports, counts once.
	latencyBackoff = 0.8
	timeoutBackoff = 0.5
	// jumpFactor over the baseline at low load means that the engine lost its cache or was replaced.
	jumpFactor = 3
	// jumpCount consecutive slow completions are needed, because a single one may be a scheduling pause.
	jumpCount = 2
	// lowLoad is the part of the limit below which load does not explain a rise of latency.
	lowLoad = 0.25
	// baselineWeight smooths the baseline over about 20 completions.
	baselineWeight = 0.05
)

// ramp is the concurrency limit of the endpoint.
type ramp struct {
	limit     float64
	cold      bool
	sinceCut  int // completions since the last reduction
	sinceCold int
	baseline  time.Duration
	jumps     int
}

func newRamp() ramp { return ramp{limit: 1, cold: true} }

func (r *ramp) whole(maximum int) int { return max(1, min(int(r.limit), maximum)) }

func (r *ramp) cool() { *r = newRamp() }

func (r *ramp) cut(factor float64) {
	if float64(r.sinceCut) < r.limit {
		return
	}
	r.limit, r.sinceCut = max(1, r.limit*factor), 0
	r.cold = r.cold && r.sinceCold < coldCompletions
}

// complete moves the limit after a success; used is the in-flight count with the request. The endpoint turns
// cold on a latency jump that load does not explain, which is reported.
func (r *ramp) complete(cfg *Config, f Result, used int) (cooled bool) {
	r.sinceCut++
	r.sinceCold++
	if r.isJump(f, used) {
		if r.jumps++; r.jumps >= jumpCount {
			r.cool()
			return true
		}
		return false
	}
	r.jumps = 0
	if r.isSlow(cfg, f) {
		r.cut(latencyBackoff)
		return false
	}
	r.learn(f)
	if 2*used < r.whole(cfg.MaxConcurrency) {
		return false // completions at half the limit or less do not show that the engine bears more
	}
	growth := coldGrowth
	if !r.cold {
		growth = min(coldGrowth, 1/r.limit)
	}
	r.limit = min(r.limit+growth, float64(cfg.MaxConcurrency))
	if r.limit >= float64(cfg.MaxConcurrency) {
		r.cold = false
	}
	return false
}

// isSlow compares with the targets of the pool; without a target for the token gap, a rise over the baseline
// counts. Whole answers of services differ too much from call to call for that.
func (r *ramp) isSlow(cfg *Config, f Result) bool {
	gapTarget := cfg.TokenGapTarget
	if gapTarget == 0 {
		gapTarget = jumpFactor * r.baseline
	}
	return isOver(f.FirstToken, cfg.FirstTokenTarget) || isOver(f.TokenGap, gapTarget)
}

func isOver(d, target time.Duration) bool { return target > 0 && d > target }

// latency is the time that does not depend on the length of the prompt, where the endpoint streams.
func (f Result) latency() time.Duration {
	if f.TokenGap > 0 {
		return f.TokenGap
	}
	return f.FirstToken
}

func (r *ramp) isJump(f Result, used int) bool {
	return !r.cold && r.baseline > 0 && f.latency() > jumpFactor*r.baseline && float64(used) <= max(1, lowLoad*r.limit)
}

func (r *ramp) learn(f Result) {
	d := f.latency()
	if r.baseline == 0 {
		r.baseline = d
		return
	}
	r.baseline += time.Duration(baselineWeight * float64(d-r.baseline))
}
