package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keepalives on idle connections, idle connections that stay open, and silence that is noticed late.
func TestHeartbeatOnIdleUsedAndSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		var suspected time.Duration
		h := newHeartbeat(nil)
		h.keepalive = func() error { sent.Add(1); return nil }
		started := time.Now()
		assert.ErrorIs(t, h.watch(nil, idleLimit, func() {}), errIdle)
		assert.Equal(t, time.Since(started), idleLimit)
		assert.Equal(t, sent.Load(), int64(0))

		done := make(chan error, 1)
		h.begin()
		go func() { done <- h.watch(nil, idleLimit, func() { suspected = time.Since(h.lastHeard()) }) }()
		for range 20 {
			time.Sleep(keepaliveInterval)
			h.hear()
		}
		synctest.Wait()
		assert.Assert(t, sent.Load() >= 19 && sent.Load() <= 21, "%d", sent.Load())
		assert.ErrorIs(t, <-done, errSilent)
		silence := time.Since(h.lastHeard())
		assert.Assert(t, silence > limits.FailAfter && silence < limits.FailAfter+10*time.Millisecond, "%v", silence)
		assert.Assert(t, suspected >= limits.SuspectAfter && suspected < limits.SuspectAfter+minStep, "%v", suspected)
	})
}
