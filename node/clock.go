package node

import (
	"errors"
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
	d.last = total
	return d.resumedAt, nil
}

const (
	// maxClockReadTime is the time between two readings of a clock up to which one of another clock between them is taken
	// as simultaneous.
	maxClockReadTime = minSuspension / 10

	// maxClockReads bounds the attempts to read two clocks without a pause of the process between them.
	maxClockReads = 5
)

// errClockReads means that the process was interrupted in each attempt to read two clocks at the same time.
var errClockReads = errors.New("clocks cannot be read without an interruption")

// suspendedTime returns how long the machine was suspended since it was booted.
func suspendedTime() (time.Duration, error) { return suspendedTimeBy(readClock) }

func suspendedTimeBy(read func(clock int32) (time.Duration, error)) (time.Duration, error) {
	for range maxClockReads {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		// A pause of the process between the readings looks like a suspension of the machine.
		if after-before <= maxClockReadTime {
			return boot - before, nil
		}
	}
	return 0, errClockReads
}

func readClock(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
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
