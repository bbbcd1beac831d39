package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending keepalives on idle connections, keeping idle connections open, and detecting inactivity late.
func TestHeartbeatOnIdleActiveAndInactiveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		var suspectedAfter time.Duration
		h := newHeartbeat(nil)
		h.writeKeepalive = func() error { sent.Add(1); return nil }
		h.heardAt = func() time.Time { return time.Time{} }
		started := time.Now()
		assert.ErrorIs(t, h.watch(nil, idleTimeout, func() {}), errIdleTimeout)
		assert.Equal(t, time.Since(started), idleTimeout)
		assert.Equal(t, sent.Load(), int64(0))

		done := make(chan error, 1)
		h.startRequest()
		go func() { done <- h.watch(nil, idleTimeout, func() { suspectedAfter = time.Since(h.lastActivity()) }) }()
		for range 20 {
			time.Sleep(keepaliveInterval)
			h.recordActivity()
		}
		synctest.Wait()
		assert.Assert(t, sent.Load() >= 19 && sent.Load() <= 21, "%d", sent.Load())
		assert.ErrorIs(t, <-done, errHeartbeatTimeout)
		inactivity := time.Since(h.lastActivity())
		assert.Assert(t, inactivity > heartbeatLimits.FailAfter &&
			inactivity < heartbeatLimits.FailAfter+10*time.Millisecond, "%v", inactivity)
		assert.Assert(t, suspectedAfter >= heartbeatLimits.SuspectAfter &&
			suspectedAfter < heartbeatLimits.SuspectAfter+minCheckInterval, "%v", suspectedAfter)
	})
}
