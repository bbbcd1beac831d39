package summer

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting this router's own values twice once totals include them, and against totals that hide them.
func TestTotalsIncludeOwnValuesOnce(t *testing.T) {
	start := time.Unix(0, 0)
	routers := make([]Ledger, 3)
	total := Sums{}
	for i := range routers {
		routers[i].Set("a", float64(i+1))
		total.Add(routers[i].Publish())
	}
	for i := range routers {
		routers[i].SetTotal(start, total)
		assert.Equal(t, routers[i].Total("a"), 6.0)
		routers[i].Set("a", routers[i].Own("a")+4)
		assert.Equal(t, routers[i].Total("a"), 10.0, "own values count at once")
	}
}

// Guards against values that would corrupt the sums of all routers.
func TestOddValuesAreDropped(t *testing.T) {
	for _, tc := range []struct {
		name  string
		key   string
		value float64
		want  float64
	}{
		{"negative", "k", -1, 0},
		{"not a number", "k", nan(), 0},
		{"zero", "k", 0, 0},
		{"long key", strings.Repeat("k", MaxKeyBytes+1), 1, 0},
		{"usual", "k", 2.5, 2.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			l.Set(tc.key, tc.value)
			assert.Equal(t, l.Own(tc.key), tc.want)
		})
	}
	var l Ledger
	l.Set("k", 1e300)
	assert.Equal(t, l.Publish()["k"], uint64(MaxCount))
}

func nan() float64 { zero := 0.0; return zero / zero }

// Guards against routers that keep a value of which its router has published the end.
func TestEndedValuesArePublishedOnce(t *testing.T) {
	var l Ledger
	assert.Assert(t, l.Publish() == nil)
	l.Set("k", 1)
	assert.Equal(t, len(l.Publish()), 1)
	l.Set("k", 0)
	assert.Assert(t, l.Publish() != nil)
	assert.Assert(t, l.Publish() == nil)
}
