package arranger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/summer"
)

var start = time.Unix(1000, 0)

var usualCapacity = Capacity{Routers: 2, Endpoints: 42, Tokens: 300_000, PerCopy: 2, HoldTime: 0.5}

// router is one of several with the same parts.
type router struct {
	*Arranger
	ledger summer.Ledger
}

// arrange exchanges the sums of the routers and arranges at each.
func arrange(now time.Time, c Capacity, routers ...*router) (changes []Change) {
	for range 2 { // the first one publishes
		total := summer.Sums{}
		for _, r := range routers {
			total.Add(r.ledger.Publish())
		}
		for _, r := range routers {
			r.ledger.SetTotal(now, total)
			changes = append(changes, r.Arrange(now, &r.ledger, c)...)
		}
	}
	return changes
}

// Guards against a number of copies that the memory does not hold, that a router alone decides, or that changes with
// small differences of demand.
func TestNumbersOfCopies(t *testing.T) {
	const hot = placer.Key(7)
	for _, tc := range []struct {
		name         string
		parts        int // of low demand, at each router
		requests     int // for the hot part within 1 s, at the first router
		tokens       int // of each part
		capacity     Capacity
		usual        int
		minHot, most int // copies of the hot part at the second router
	}{
		{"ample memory", 100, 1, 6000, usualCapacity, 2, 2, 2},
		{"scarce memory", 2000, 1, 6000, usualCapacity, 1, 1, 1},
		{"unknown memory", 2000, 1, 6000, Capacity{Routers: 2, Endpoints: 42, PerCopy: 2, HoldTime: 0.5}, 2, 2, 2},
		{"one endpoint", 100, 90, 6000, Capacity{Routers: 2, Endpoints: 1, PerCopy: 2, HoldTime: 0.5}, 1, 1, 1},
		{"hot at another router", 100, 90, 6000, usualCapacity, 2, 6, 9},
		{"more than the most copies", 100, 90_000, 6000, Capacity{Routers: 2, Endpoints: 999, PerCopy: 2, HoldTime: 0.5},
			2, MaxCopies, MaxCopies},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := &router{Arranger: New("llm")}, &router{Arranger: New("llm")}
			for _, r := range []*router{a, b} {
				for i := range tc.parts {
					key := placer.KeyOf("part", string(rune(i)), "llm")
					r.Record(start.Add(time.Duration(i)*time.Microsecond), &r.ledger, key, tc.tokens)
				}
			}
			for i := range tc.requests {
				at := start.Add(time.Second * time.Duration(i) / time.Duration(tc.requests))
				a.Record(at, &a.ledger, hot, tc.tokens)
			}
			now := start.Add(time.Second)
			arrange(now, tc.capacity, a, b)
			assert.Equal(t, b.Summary().Usual, tc.usual)
			copies, _ := b.Record(now, &b.ledger, hot, tc.tokens)
			assert.Assert(t, copies >= tc.minHot && copies <= tc.most, "%d copies", copies)
			assert.Assert(t, b.Summary().Parts <= MaxParts)
			assert.Assert(t, len(b.ledger.Keys(b.samplePrefix)) <= 2*sampleSize)
			assert.Equal(t, len(arrange(now, tc.capacity, a, b)), 0, "the same demand changes nothing")
		})
	}
}

// Guards against acting on sums that are no longer valid, and against copies that outlast the demand.
func TestCopiesWithoutSumsAndWithoutDemand(t *testing.T) {
	r := &router{Arranger: New("llm")}
	for i := range 90 {
		r.Record(start.Add(time.Duration(i)*11*time.Millisecond), &r.ledger, 7, 6000)
	}
	now := start.Add(time.Second)
	arrange(now, usualCapacity, r)
	assert.Assert(t, r.Summary().MaxCopies > usualCopies)
	r.Arrange(now.Add(sumTTL+time.Millisecond), &r.ledger, usualCapacity)
	assert.Equal(t, r.Summary().Usual, 1, "the parts of the other routers are unknown")
	now = now.Add(20 * time.Second)
	arrange(now, usualCapacity, r)
	assert.Equal(t, r.Summary().MaxCopies, usualCopies)
	arrange(now.Add(partTTL), usualCapacity, r)
	assert.Equal(t, r.Summary().Parts, 0)
}
