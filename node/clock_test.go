package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that nobody can explain because their node was suspended, and against a wall clock that is
// set and makes the times of the log useless without a word.
func TestClockFaults(t *testing.T) {
	for _, tt := range []struct {
		ran, wall, suspended, stepped time.Duration
	}{
		{ran: expireInterval, wall: expireInterval},
		{ran: expireInterval + clockTolerance, wall: expireInterval + clockTolerance},
		{ran: expireInterval + 7*time.Second, wall: expireInterval + 7*time.Second, suspended: 7 * time.Second},
		{ran: expireInterval, wall: expireInterval + time.Hour, stepped: time.Hour},
		{ran: expireInterval, wall: expireInterval - time.Hour, stepped: -time.Hour},
		{ran: expireInterval + time.Second, wall: 0, suspended: time.Second, stepped: -expireInterval - time.Second},
	} {
		suspended, stepped := clockFaults(tt.ran, tt.wall, expireInterval)
		assert.Equal(t, suspended, tt.suspended)
		assert.Equal(t, stepped, tt.stepped)
	}
	now := time.Now()
	ran, wall := elapsed(now, now.Add(time.Second))
	assert.Equal(t, ran, time.Second)
	assert.Equal(t, wall, time.Second)
}
