package sleeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause that continues after its context ends, and one that is shorter than its duration.
func TestPauseEndsAfterTheDurationOrWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Pause(t.Context(), time.Minute)
		assert.Equal(t, time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		Pause(ctx, time.Minute)
		assert.Equal(t, time.Since(start), time.Second)
	})
}
