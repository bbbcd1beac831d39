package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cactusroute.dev/adapters/sleeper"
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

const (
	// pauseTick is how often a process checks that it runs, and minPause the shortest time between two checks that
	// counts as a pause. What was received meanwhile is old; pauseTail is how long it may take to read it.
	pauseTick = 50 * time.Millisecond
	minPause  = 200 * time.Millisecond
	pauseTail = time.Second
)

// pauseDetector notices that the process stood still, for example because it was stopped or had no processor.
type pauseDetector struct {
	started  time.Time
	lastTick atomic.Int64 // nanoseconds since started; 0 before the first tick
	pausedAt atomic.Int64 // end of the last pause
}

// watch checks until ctx ends.
func (d *pauseDetector) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		now := max(1, int64(time.Since(d.started)))
		if last := d.lastTick.Swap(now); last > 0 && now-last > int64(minPause) {
			d.pausedAt.Store(now)
		}
		sleeper.Pause(ctx, pauseTick)
	}
	return ctx.Err()
}

// mayHavePaused reports whether events that are noticed now may have happened during a pause.
func (d *pauseDetector) mayHavePaused(now time.Time) bool {
	n := int64(now.Sub(d.started))
	last, pausedAt := d.lastTick.Load(), d.pausedAt.Load()
	return last > 0 && n-last > int64(minPause) || pausedAt > 0 && n-pausedAt < int64(pauseTail)
}
