package retrier

import "time"

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 10

// windowSafetyFactor is the fraction of the budget that is used, because the windows of routers are not aligned and
// first attempts may be distributed unevenly over the routers.
const windowSafetyFactor = 0.8

// WindowBudget limits the retries of one router for one service in a sliding window, so that the sum over all routers
// stays within a ratio of the first attempts plus a fixed slack. It is not safe for concurrent use.
type WindowBudget struct {
	Ratio  float64 // retries allowed per first attempt
	Slack  float64 // additional retries allowed per window over all routers
	Window time.Duration

	spentUntil    time.Time // the router's part of the slack counts as spent before
	bucketStart   time.Time
	bucket        int
	firstAttempts [windowBuckets]float64
	retries       [windowBuckets]float64
}

// NewRestartedWindowBudget returns the budget of a process that starts while its fleet runs. An earlier process of the
// router may have spent its part of the slack, so that there is none until that is out of the window.
func NewRestartedWindowBudget(startedAt time.Time, ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{Ratio: ratio, Slack: slack, Window: window, spentUntil: startedAt.Add(window)}
}

func (b *WindowBudget) advance(now time.Time) {
	bucketLength := b.Window / windowBuckets
	if bucketLength <= 0 {
		return
	}
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > 2*b.Window {
		b.bucketStart, b.firstAttempts, b.retries = now, [windowBuckets]float64{}, [windowBuckets]float64{}
	}
	for now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = b.bucketStart.Add(bucketLength)
		b.bucket = (b.bucket + 1) % windowBuckets
		b.firstAttempts[b.bucket], b.retries[b.bucket] = 0, 0
	}
}

// CountFirstAttempt counts the first attempt of a request.
func (b *WindowBudget) CountFirstAttempt(now time.Time) {
	b.advance(now)
	b.firstAttempts[b.bucket]++
}

// Remaining returns the retries that the router may still make now, including its part of the slack.
func (b *WindowBudget) Remaining(now time.Time, routers int) float64 {
	b.advance(now)
	slack := b.Slack / float64(max(1, routers))
	if now.Before(b.spentUntil) {
		slack = 0
	}
	firstAttempts, retries := 0.0, 0.0
	for i := range windowBuckets {
		firstAttempts += b.firstAttempts[i]
		retries += b.retries[i]
	}
	return windowSafetyFactor*(b.Ratio*firstAttempts+slack) - retries
}

// Take takes one retry from the budget; ok is false if the budget is exhausted.
func (b *WindowBudget) Take(now time.Time, routers int) (ok bool) {
	if b.Remaining(now, routers) < 1 {
		return false
	}
	b.retries[b.bucket]++
	return true
}
