package retrier

import "time"

// windowSlices is the resolution of a window budget.
const windowSlices = 10

// windowSafety is the part of the allowance that is used: routers count their windows at other moments, and first
// requests may be spread unevenly over them.
const windowSafety = 0.8

// WindowBudget bounds the repeats of one router for one service in a sliding window, so that the sum over all routers
// keeps to a share of the requests plus a fixed slack. It is not safe for concurrent use.
type WindowBudget struct {
	Ratio  float64       // repeats allowed for each first request
	Slack  float64       // repeats allowed in a window over all routers together
	Window time.Duration // length of the window

	start   time.Time
	at      int
	firsts  [windowSlices]float64
	repeats [windowSlices]float64
}

func (b *WindowBudget) advance(now time.Time) {
	slice := b.Window / windowSlices
	if slice <= 0 {
		return
	}
	if b.start.IsZero() || now.Sub(b.start) > 2*b.Window {
		b.start, b.firsts, b.repeats = now, [windowSlices]float64{}, [windowSlices]float64{}
	}
	for now.Sub(b.start) >= slice {
		b.start = b.start.Add(slice)
		b.at = (b.at + 1) % windowSlices
		b.firsts[b.at], b.repeats[b.at] = 0, 0
	}
}

// First counts the first attempt of a request.
func (b *WindowBudget) CountFirstAttempt(now time.Time) {
	b.advance(now)
	b.firsts[b.at]++
}

// Left returns the repeats that may still be made now, with this router's part of the slack.
func (b *WindowBudget) Remaining(now time.Time, routers int) float64 {
	b.advance(now)
	first, repeat := 0.0, 0.0
	for i := range windowSlices {
		first += b.firsts[i]
		repeat += b.repeats[i]
	}
	return windowSafety*(b.Ratio*first+b.Slack/float64(max(1, routers))) - repeat
}

// Take takes one repeat; ok is false when the budget is exhausted.
func (b *WindowBudget) Take(now time.Time, routers int) (ok bool) {
	if b.Remaining(now, routers) < 1 {
		return false
	}
	b.repeats[b.at]++
	return true
}
