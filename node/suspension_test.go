package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/clockwatcher"
)

// Guards against a control instance that acts on a confirmation of its quorum after its machine was suspended: the
// clock by which the confirmation ages stood still.
func TestConfirmationEndsWithASuspension(t *testing.T) {
	total := 5 * time.Second
	d := clockwatcher.NewSuspensionDetector(func() (time.Duration, error) { return total, nil })
	ci := &controlInstance{suspensions: d}
	now := time.Now()
	confirmedAt := now.Add(-100 * time.Millisecond)
	assert.Assert(t, ci.isCurrent(confirmedAt, now))
	total += 4 * time.Second
	resumed := now.Add(10 * time.Millisecond)
	assert.Assert(t, !ci.isCurrent(confirmedAt, resumed))
	assert.Assert(t, !ci.isCurrent(confirmedAt, resumed.Add(time.Millisecond)))
	assert.Assert(t, ci.isCurrent(resumed.Add(50*time.Millisecond), resumed.Add(60*time.Millisecond)))
	confirmedAt = resumed.Add(50 * time.Millisecond)
	assert.Assert(t, !ci.isCurrent(confirmedAt, confirmedAt.Add(2*maxConfirmationAge)))
}
