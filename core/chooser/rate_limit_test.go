package chooser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

// Guards against a limit that ends with a response that was on its way before the limit was named, that never ends, or
// that outlives the endpoint's process.
func TestRateLimitEndsWithALaterResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	e := registrar.Endpoint{ID: "a", Service: "s", Address: "a:1", Slots: 8, State: registrar.Ready, Born: 1}
	c := New(Limits{LoadFactor: 2, LoadSlack: 3}, "r", "d")
	c.Update(now, []registrar.Endpoint{e}, nil, 1)
	for _, step := range []struct {
		name            string
		sent, received  float64 // seconds
		perSecond       float64
		isNamed         bool
		changed         bool
		limitAfterwards float64
	}{
		{"no limit", 0, 1, 0, false, false, -1},
		{"named", 1, 2, 8, true, true, 8},
		{"sent before it was named", 1.5, 3, 0, false, false, 8},
		{"another value", 2, 4, 6, true, true, 6},
		{"the same value", 3, 5, 6, true, false, 6},
		{"sent after it was named", 5.5, 6, 0, false, true, -1},
		{"named again", 5, 7, 4, true, true, 4},
	} {
		changed := c.RecordRateLimit(at(step.received), e, at(step.sent), step.perSecond, step.isNamed)
		assert.Equal(t, changed, step.changed, step.name)
		assert.Equal(t, c.Loads(at(step.received))[0].RateLimit, step.limitAfterwards, step.name)
	}
	restarted := e
	restarted.Born = 2
	c.Update(at(8), []registrar.Endpoint{restarted}, nil, 1)
	assert.Assert(t, !c.RecordRateLimit(at(9), e, at(8), 4, true)) // a late response of the former process
	assert.Equal(t, c.Loads(at(9))[0].RateLimit, -1.0)
}
