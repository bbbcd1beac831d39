package node

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a suspension of the process and a step of the wall clock that are not logged: late requests and wrong
// log times could not be explained.
func TestClockAnomalies(t *testing.T) {
	for _, tt := range []struct {
		monotonic, wall, suspended, stepped time.Duration
	}{
		{monotonic: expiryInterval, wall: expiryInterval},
		{monotonic: expiryInterval + clockTolerance, wall: expiryInterval + clockTolerance},
		{monotonic: expiryInterval + 7*time.Second, wall: expiryInterval + 7*time.Second, suspended: 7 * time.Second},
		{monotonic: expiryInterval, wall: expiryInterval + time.Hour, stepped: time.Hour},
		{monotonic: expiryInterval, wall: expiryInterval - time.Hour, stepped: -time.Hour},
		{monotonic: expiryInterval + time.Second, wall: 0, suspended: time.Second, stepped: -expiryInterval - time.Second},
	} {
		suspended, stepped := clockAnomalies(tt.monotonic, tt.wall, expiryInterval)
		assert.Equal(t, suspended, tt.suspended)
		assert.Equal(t, stepped, tt.stepped)
	}
	now := time.Now()
	monotonic, wall := elapsed(now, now.Add(time.Second))
	assert.Equal(t, monotonic, time.Second)
	assert.Equal(t, wall, time.Second)
}

// Guards against a control instance that acts on a confirmation of its quorum after its machine was suspended: the
// clock by which the confirmation ages stood still.
func TestConfirmationEndsWithASuspension(t *testing.T) {
	total := 5 * time.Second
	d := &suspensionDetector{suspended: func() (time.Duration, error) { return total, nil }, last: total}
	ci := &controlInstance{suspensions: d}
	now := time.Now()
	confirmedAt := now.Add(-100 * time.Millisecond)
	assert.Assert(t, ci.isCurrent(confirmedAt, now))
	total += 4 * time.Second
	resumed := now.Add(10 * time.Millisecond)
	assert.Assert(t, !ci.isCurrent(confirmedAt, resumed))
	assert.Assert(t, !ci.isCurrent(confirmedAt, resumed.Add(time.Millisecond)))
	assert.Assert(t, ci.isCurrent(resumed.Add(50*time.Millisecond), resumed.Add(60*time.Millisecond)))
	confirmedAt = resumed.Add(50 * time.Millisecond)
	assert.Assert(t, !ci.isCurrent(confirmedAt, confirmedAt.Add(2*maxConfirmationAge)))
}

// Guards against a clock that the system doesn't have.
func TestSuspendedTimeIsKnown(t *testing.T) {
	total, err := suspendedTime()
	assert.NilError(t, err)
	assert.Assert(t, total >= 0)
}

// Guards against a pause of the process between its readings of two clocks that counts as a suspension of the machine:
// the next suspension of up to that length went unnoticed.
func TestPauseBetweenClockReadingsIsNoSuspension(t *testing.T) {
	const suspended, pause, total = 5 * time.Second, time.Second, maxClockReads * 3
	for _, c := range []struct {
		name    string
		pauseAt func(reading int) bool
		err     error
	}{
		{"no pause", func(int) bool { return false }, nil},
		{"between the clocks", func(reading int) bool { return reading == 1 }, nil},
		{"after the second clock", func(reading int) bool { return reading == 2 }, nil},
		{"in each attempt", func(reading int) bool { return reading%3 == 1 }, errClockReads},
	} {
		monotonic, reading := time.Hour, 0
		got, err := suspendedTimeBy(func(clock int32) (time.Duration, error) {
			if c.pauseAt(reading) {
				monotonic += pause
			}
			reading++
			if clock == unix.CLOCK_BOOTTIME {
				return monotonic + suspended, nil
			}
			return monotonic, nil
		})
		assert.Equal(t, err, c.err, c.name)
		if c.err == nil {
			assert.Equal(t, got, suspended, c.name)
		}
		assert.Assert(t, reading <= total, c.name)
	}
}
