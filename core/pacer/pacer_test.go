package pacer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Guards against decisions on a statement that no longer holds, and against statements that are no numbers.
func TestPaceLosesWeightWithAge(t *testing.T) {
	for _, tc := range []struct {
		name     string
		pace     float64
		age      time.Duration
		min, max float64
	}{
		{"fresh and slow", 3, 0, 2.99, 3.01},
		{"fresh and quick", 0.7, 0, 0.69, 0.71},
		{"50 ms old", 3, 50 * time.Millisecond, 1.5, 2.5},
		{"400 ms old", 3, 400 * time.Millisecond, 1, 1.05},
		{"zero", 0, 0, 1, 1},
		{"negative", -100, 0, 1, 1},
		{"not a number", math.NaN(), 0, 1, 1},
		{"infinite", math.Inf(1), 0, 1, 1},
		{"enormous", 1e9, 0, 1, 1},
		{"more than the estimate holds", 900, 0, maxFactor - 1e-9, maxFactor + 1e-9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e Estimate
			e.RecordPace(start, tc.pace)
			got := e.Factor(start.Add(tc.age))
			assert.Assert(t, got >= tc.min && got <= tc.max, "factor %.3f", got)
		})
	}
}

// Guards against an endpoint that states its usual pace and is slow all the same, and against a verdict by few of its
// responses.
func TestMeasuredTimesShowALastingSpeed(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var e Estimate
	for i := range 200 {
		if i == 3 {
			assert.Assert(t, e.Factor(start) < 1.2, "factor %.3f after three responses", e.Factor(start))
		}
		e.RecordPace(start, 1)
		e.RecordTime(start, 1.3*math.Exp(0.3*rng.NormFloat64()))
	}
	assert.Assert(t, math.Abs(e.Factor(start)-1.3) < 0.15, "factor %.3f", e.Factor(start))
}

// Guards against noise that counts twice: a stated spell explains the slow responses within it.
func TestStatedSpellsAreNotALastingSpeed(t *testing.T) {
	var e Estimate
	now := start
	for i := range 400 {
		now = now.Add(30 * time.Millisecond)
		pace := 1.0
		if i%20 < 3 {
			pace = 2.5
		}
		e.RecordPace(now, pace)
		e.RecordTime(now, pace)
	}
	assert.Assert(t, math.Abs(e.Lasting()-1) < 0.05, "lasting %.3f", e.Lasting())
}
