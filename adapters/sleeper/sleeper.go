package sleeper

import (
	"context"
	"time"
)

// Pause returns after d, or earlier when ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
