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
		{ran: expiryInterval, wall: expiryInterval},
		{ran: expiryInterval + clockTolerance, wall: expiryInterval + clockTolerance},
		{ran: expiryInterval + 7*time.Second, wall: expiryInterval + 7*time.Second, suspended: 7 * time.Second},
		{ran: expiryInterval, wall: expiryInterval + time.Hour, stepped: time.Hour},
		{ran: expiryInterval, wall: expiryInterval - time.Hour, stepped: -time.Hour},
		{ran: expiryInterval + time.Second, wall: 0, suspended: time.Second, stepped: -expiryInterval - time.Second},
	} {
		suspended, stepped := clockAnomalies(tt.ran, tt.wall, expiryInterval)
		assert.Equal(t, suspended, tt.suspended)
		assert.Equal(t, stepped, tt.stepped)
	}
	now := time.Now()
	ran, wall := elapsed(now, now.Add(time.Second))
	assert.Equal(t, ran, time.Second)
	assert.Equal(t, wall, time.Second)
}
