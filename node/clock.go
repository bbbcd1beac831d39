package node

import "time"

// clockTolerance is the delay of a timer, and the difference of the clocks between two looks, that isn't worth a line:
// longer ones cost callers their objectives.
const clockTolerance = 300 * time.Millisecond

// elapsed returns the time since an earlier reading by the monotonic and by the wall clock.
func elapsed(since, now time.Time) (ran, wall time.Duration) {
	return now.Sub(since), now.Round(0).Sub(since.Round(0))
}

// clockFaults compares both with the time after which a look was due. Suspended is the time that the process did not
// run; stepped is how far the wall clock moved beside the monotonic one, which stands still on a suspended machine.
func clockAnomalies(ran, wall, due time.Duration) (suspended, stepped time.Duration) {
	if late := ran - due; late > clockTolerance {
		suspended = late
	}
	if diff := wall - ran; diff.Abs() > clockTolerance {
		stepped = diff
	}
	return suspended, stepped
}
