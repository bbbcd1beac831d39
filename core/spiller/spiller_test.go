package spiller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testService = Service{HoldSeconds: 0.06, PriceSeconds: 0.003}

func testDomains(work ...float64) (list []Domain) {
	for i, w := range work {
		list = append(list, Domain{Name: string(rune('a' + i)), Work: w, Slots: 12, Endpoints: 2, MaxWork: 30})
	}
	return list
}

// Guards the shares for the loads that are hard to share: each row lists the least and the most of a domain's requests
// that may leave.
func TestSolve(t *testing.T) {
	type bounds [2]float64
	for _, c := range []struct {
		name    string
		domains []Domain
		modify  func(d []Domain)
		leaves  []bounds
	}{
		{"calm", testDomains(4, 4, 4), nil, []bounds{{0, 0}, {0, 0}, {0, 0}}},
		{"equally busy", testDomains(10, 10, 10), nil, []bounds{{0, 0}, {0, 0}, {0, 0}}},
		{"surplus in one domain", testDomains(18, 4, 4), nil, []bounds{{0.35, 0.6}, {0, 0}, {0, 0}}},
		{"surplus in two domains", testDomains(12, 12, 1), nil, []bounds{{0.1, 0.4}, {0.1, 0.4}, {0, 0}}},
		{"no domain has room", testDomains(40, 40, 40), nil, []bounds{{0, 0.1}, {0, 0.1}, {0, 0.1}}},
		{"domain without endpoints", testDomains(4, 4, 4), func(d []Domain) { d[1].Slots, d[1].Endpoints = 0, 0 },
			[]bounds{{0, 0}, {1, 1}, {0, 0}}},
		{"above the load bound with free slots", testDomains(8, 1, 1), func(d []Domain) { d[0].MaxWork = 6 },
			[]bounds{{0.2, 0.4}, {0, 0}, {0, 0}}},
		{"full queues at home", testDomains(6, 4, 4), func(d []Domain) { d[0].Backlog = 12 },
			[]bounds{{0.3, 1}, {0, 0}, {0, 0}}},
		{"impaired paths", testDomains(12, 4, 4), func(d []Domain) { d[0].Delay = []float64{0, 9, 9} },
			[]bounds{{0, 0}, {0, 0}, {0, 0}}},
		{"no endpoint at all", testDomains(4, 4, 4), func(d []Domain) {
			for i := range d {
				d[i].Slots = 0
			}
		}, []bounds{{0, 0}, {0, 0}, {0, 0}}},
	} {
		if c.modify != nil {
			c.modify(c.domains)
		}
		for from, row := range Solve(c.domains, testService) {
			total := 0.0
			for _, share := range row {
				total += share
			}
			b := c.leaves[from]
			assert.Assert(t, total >= b[0] && total <= b[1], "%s: %.3f of domain %d leave", c.name, total, from)
		}
	}
}

// Guards against shares that follow each sample, and against a router that starts from nothing during a burst.
func TestSharesChangeSlowly(t *testing.T) {
	var d Decider
	now := time.Unix(1000, 0)
	busy, calm := testDomains(18, 4, 4), testDomains(4, 4, 4)
	total := func() float64 { return d.Shares[Pair{"a", "b"}] + d.Shares[Pair{"a", "c"}] }
	d.Step(now, busy, testService, map[Pair]float64{{"a", "b"}: 0.2})
	assert.Equal(t, total(), 0.2)
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		d.Step(now, busy, testService, nil)
	}
	assert.Assert(t, total() > 0.3)
	high := total()
	d.Step(now.Add(200*time.Millisecond), calm, testService, nil)
	assert.Assert(t, total() > 0 && total() < high, "%.3f after one sample of calm", total())
}
