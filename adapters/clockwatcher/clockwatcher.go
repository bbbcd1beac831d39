package clockwatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cactusroute.dev/adapters/sleeper"
)

// Tolerance is the timer delay and the clock difference between two checks up to which nothing is logged; longer
// ones make requests miss their latency objectives.
const Tolerance = 300 * time.Millisecond

// minSuspension is the shortest suspension that a SuspensionDetector reports; shorter ones don't outlast a
// confirmation.
const minSuspension = 100 * time.Millisecond

// SuspensionDetector finds out when the machine was suspended: the monotonic clock, by which confirmations age, stands
// still meanwhile.
type SuspensionDetector struct {
	suspended func() (time.Duration, error) // total time that the machine was suspended

	mu        sync.Mutex
	last      time.Duration
	resumedAt time.Time
}

// NewSuspensionDetector returns a detector that reads the total time that the machine was suspended.
func NewSuspensionDetector(suspended func() (time.Duration, error)) *SuspensionDetector {
	d := &SuspensionDetector{suspended: suspended}
	d.last, _ = d.suspended()
	return d
}

// LastResume returns when the end of the last suspension was noticed, zero if there was none. An error means that a
// suspension can't be ruled out.
func (d *SuspensionDetector) LastResume(now time.Time) (time.Time, error) {
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

// SuspendedTime returns how long the machine was suspended since it was booted.
func SuspendedTime() (time.Duration, error) { return suspendedTimeBy(readClock) }

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

// Elapsed returns the time between two readings by the monotonic clock and by the wall clock.
func Elapsed(since, now time.Time) (monotonic, wall time.Duration) {
	return now.Sub(since), now.Round(0).Sub(since.Round(0))
}

// Anomalies compares the elapsed times with the interval after which the check was due. suspended is the time the
// process did not run; stepped is how far the wall clock moved relative to the monotonic clock, which stops while the
// machine is suspended.
func Anomalies(monotonic, wall, due time.Duration) (suspended, stepped time.Duration) {
	if late := monotonic - due; late > Tolerance {
		suspended = late
	}
	if diff := wall - monotonic; diff.Abs() > Tolerance {
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

// PauseDetector notices that the process stood still, for example because it was stopped or had no processor.
type PauseDetector struct {
	started  time.Time
	lastTick atomic.Int64 // nanoseconds since started; 0 before the first tick
	beganAt  atomic.Int64 // last check before the last pause
	pausedAt atomic.Int64 // end of the last pause
}

// NewPauseDetector returns a detector for a process that started at a given time.
func NewPauseDetector(started time.Time) *PauseDetector { return &PauseDetector{started: started} }

// RecordPause records that the process stood still.
func (d *PauseDetector) RecordPause(began, ended time.Time) {
	d.beganAt.Store(int64(began.Sub(d.started)))
	d.pausedAt.Store(int64(ended.Sub(d.started)))
}

// Watch checks until ctx ends.
func (d *PauseDetector) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		now := max(1, int64(time.Since(d.started)))
		if last := d.lastTick.Swap(now); last > 0 && now-last > int64(minPause) {
			d.beganAt.Store(last)
			d.pausedAt.Store(now)
		}
		sleeper.Pause(ctx, pauseTick)
	}
	return ctx.Err()
}

// MayHavePaused reports whether events that are noticed now may have happened during a pause.
func (d *PauseDetector) MayHavePaused(now time.Time) bool {
	n := int64(now.Sub(d.started))
	last, pausedAt := d.lastTick.Load(), d.pausedAt.Load()
	return last > 0 && n-last > int64(minPause) || pausedAt > 0 && n-pausedAt < int64(pauseTail)
}

// Since returns the earliest time at which an event that is noticed now may have happened: the start of a pause that
// has just ended, or now.
func (d *PauseDetector) Since(now time.Time) time.Time {
	n := int64(now.Sub(d.started))
	last, beganAt, pausedAt := d.lastTick.Load(), d.beganAt.Load(), d.pausedAt.Load()
	switch {
	case last > 0 && n-last > int64(minPause):
		return d.started.Add(time.Duration(last))
	case pausedAt > 0 && n-pausedAt < int64(pauseTail):
		return d.started.Add(time.Duration(beganAt))
	}
	return now
}
