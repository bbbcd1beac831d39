package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keepalives on idle connections, idle connections that stay open, and silence that is noticed late.
func TestHeartbeatOnIdleActiveAndInactiveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		var suspected time.Duration
		h := newHeartbeat(nil)
		h.writeKeepalive = func() error { sent.Add(1); return nil }
		started := time.Now()
		assert.ErrorIs(t, h.watch(nil, idleTimeout, func() {}), errIdleTimeout)
		assert.Equal(t, time.Since(started), idleTimeout)
		assert.Equal(t, sent.Load(), int64(0))

		done := make(chan error, 1)
		h.startRequest()
		go func() { done <- h.watch(nil, idleTimeout, func() { suspected = time.Since(h.lastActivity()) }) }()
		for range 20 {
			time.Sleep(keepaliveInterval)
			h.recordActivity()
		}
		synctest.Wait()
		assert.Assert(t, sent.Load() >= 19 && sent.Load() <= 21, "%d", sent.Load())
		assert.ErrorIs(t, <-done, errHeartbeatTimeout)
		silence := time.Since(h.lastActivity())
		assert.Assert(t, silence > heartbeatLimits.FailAfter && silence < heartbeatLimits.FailAfter+10*time.Millisecond, "%v", silence)
		assert.Assert(t, suspected >= heartbeatLimits.SuspectAfter && suspected < heartbeatLimits.SuspectAfter+minCheckInterval, "%v", suspected)
	})
}
