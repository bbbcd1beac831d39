package node

import "time"

// clockTolerance is the timer delay and the clock difference between two checks up to which nothing is logged; longer
// ones make requests miss their latency objectives.
const clockTolerance = 300 * time.Millisecond

// elapsed returns the time between two readings by the monotonic clock and by the wall clock.
func elapsed(since, now time.Time) (monotonic, wall time.Duration) {
	return now.Sub(since), now.Round(0).Sub(since.Round(0))
}

// clockAnomalies compares the elapsed times with the interval after which the check was due. suspended is the time the
// process did not run; stepped is how far the wall clock moved relative to the monotonic clock, which stops while the
// machine is suspended.
func clockAnomalies(monotonic, wall, due time.Duration) (suspended, stepped time.Duration) {
	if late := monotonic - due; late > clockTolerance {
		suspended = late
	}
	if diff := wall - monotonic; diff.Abs() > clockTolerance {
		stepped = diff
	}
	return suspended, stepped
}
