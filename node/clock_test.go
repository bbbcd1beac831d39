package node

import (
	"testing"
	"time"

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
