package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that starts while its fleet runs and makes the retries that its last process has made already.
func TestRestartedNodeEarnsItsRetries(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		s := testSettings("router")
		s.FirstStart = firstStart
		s.RetryBudget = RetryBudget{Ratio: 0.2, Slack: 100, WindowMillis: 10_000}
		r := newRoutingState(&s)
		now := time.Now()
		_, ok := r.takeRetry(now, "s")
		assert.Equal(t, ok, firstStart)
		for range 10 {
			r.countFirstAttempt(now, "s")
		}
		_, ok = r.takeRetry(now, "s")
		assert.Assert(t, ok, "first start %v", firstStart)
		_, ok = r.takeRetry(now.Add(11*time.Second), "s")
		assert.Assert(t, ok, "first start %v", firstStart)
	}
}
