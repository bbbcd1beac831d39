package pauser

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause that outlives its context, and against one that is cut short without a reason.
func TestPauseEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		Pause(t.Context(), time.Minute)
		assert.Equal(t, time.Since(began), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		Pause(ctx, time.Minute)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
