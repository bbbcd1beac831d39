package node

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clockTolerance is the timer delay and the clock difference between two checks up to which nothing is logged; longer
// ones make requests miss their latency objectives.
const clockTolerance = 300 * time.Millisecond

// minSuspension is the shortest suspension that a suspensionDetector reports; shorter ones don't outlast a
// confirmation.
const minSuspension = 100 * time.Millisecond

// suspensionDetector finds out when the machine was suspended: the monotonic clock, by which confirmations age, stands
// still meanwhile.
type suspensionDetector struct {
	suspended func() (time.Duration, error) // total time that the machine was suspended

	mu        sync.Mutex
	last      time.Duration
	resumedAt time.Time
}

func newSuspensionDetector() *suspensionDetector {
	d := &suspensionDetector{suspended: suspendedTime}
	d.last, _ = d.suspended()
	return d
}

// lastResume returns when the end of the last suspension was noticed, zero if there was none. An error means that a
// suspension can't be ruled out.
func (d *suspensionDetector) lastResume(now time.Time) (time.Time, error) {
	total, err := d.suspended()
	if err != nil {
		return time.Time{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if total-d.last >= minSuspension {
		d.resumedAt = now
	}
	d.last = max(d.last, total)
	return d.resumedAt, nil
}

// suspendedTime returns how long the machine was suspended since it was booted.
func suspendedTime() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}

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
