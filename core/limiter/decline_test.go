package limiter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a decline that a later answer shortens, that outlives its process, or that never ends for an endpoint
// whose restarts are not detected.
func TestDecline(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	var d Decline
	for _, step := range []struct {
		name    string
		at      float64 // seconds
		start   int64
		quiet   time.Duration
		leaves  bool
		isNew   bool
		leaving bool
		want    time.Duration
	}{
		{"nothing told", 0, 0, 0, false, false, false, 0},
		{"quiet", 0, 5, 2 * time.Second, false, true, false, 2 * time.Second},
		{"shorter", 1, 5, 500 * time.Millisecond, false, false, false, time.Second},
		{"longer", 1, 5, 3 * time.Second, false, false, false, 3 * time.Second},
		{"of an earlier process", 1, 4, time.Hour, false, false, false, 0},
		{"over", 4, 5, 0, false, false, false, 0},
		{"leaves", 5, 5, 0, true, true, true, 0},
		{"leaves, long after", 1e6, 5, 0, true, false, true, 0},
		{"a new process", 1e6, 6, 0, false, false, false, 0},
		{"huge", 1e6, 6, math.MaxInt64, false, true, false, maxQuiet},
	} {
		isNew := false
		if step.leaves {
			isNew = d.RecordLeaving(at(step.at), step.start)
		} else {
			isNew = d.RecordQuiet(at(step.at), step.start, step.quiet)
		}
		leaving, quiet := d.Status(at(step.at), step.start)
		assert.Equal(t, isNew, step.isNew, step.name)
		assert.Equal(t, leaving, step.leaving, step.name)
		assert.Equal(t, quiet, step.want, step.name)
	}
	d = Decline{}
	d.RecordLeaving(at(0), 0)
	d.RecordQuiet(at(0), 0, time.Hour)
	leaving, quiet := d.Status(at(29), 0)
	assert.Assert(t, leaving && quiet == time.Second)
	leaving, quiet = d.Status(at(30), 0)
	assert.Assert(t, !leaving && quiet == 0)
}
