package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// flood is the load pattern in which more requests come than the endpoints can answer, over many routers that exchange
// their loads late.
type overload struct {
	*fleet
	service          *planner.Service
	perSecond        int
	duration         time.Duration // of one request
	exchangeInterval time.Duration // between two exchanges of loads

	inFlight    map[string]int
	completions []completion
	rng         *rand.Rand
}

// run sends requests of three urgencies, and calls each with the backlog and the outcome.
func (f *overload) run(seconds int, each func(backlog float64, c Choice, why Reason)) {
	f.rng = rand.New(rand.NewPCG(3, 4))
	f.inFlight = map[string]int{}
	due := 0.0
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(f.exchangeInterval.Milliseconds()) == 0 {
			f.fleet.exchange(now)
		}
		for len(f.completions) > 0 && !now.Before(f.completions[0].at) {
			e := f.completions[0]
			f.completions = f.completions[1:]
			e.router.Done(e.endpoint)
			f.inFlight[e.endpoint.ID]--
		}
		for due += float64(f.perSecond) / 1000; due >= 1; due-- {
			router := f.routers[min(f.rng.IntN(len(f.routers)), f.rng.IntN(len(f.routers)))]
			backlog := float64(f.rng.IntN(3)) / 2
			q := Query{Service: f.service, Random: f.rng.Float64(), Priority: backlog}
			if f.service.Engine {
				q.Parts = testPrompt(f.rng.IntN(200))
			}
			c, why := router.Choose(now, q)
			if why == "" {
				f.inFlight[c.Endpoint.ID]++
				f.completions = append(f.completions, completion{now.Add(f.duration), router, c.Endpoint})
			}
			each(backlog, c, why)
		}
	}
}

func withSlots(f *fleet, slots int) *fleet {
	for i := range f.endpoints {
		f.endpoints[i].Slots = slots
	}
	for _, r := range f.routers {
		r.Update(start, f.endpoints, nil, len(f.routers))
	}
	return f
}

// Guards against a flood of half as many requests again as the engines can run: queues in which all answers are late,
// prompts that are read again at every endpoint, urgent requests behind others, and kinds that starve.
func TestFloodOfPromptsKeepsWhatItTakesInTime(t *testing.T) {
	const slots = 128
	f := &overload{fleet: withSlots(newFleet(13, 9), slots), service: engine, perSecond: 2200,
		duration: 770 * time.Millisecond, exchangeInterval: 100 * time.Millisecond}
	asked, taken := map[float64]int{}, map[float64]int{}
	over, home, all := 0, 0, 0
	f.run(12, func(backlog float64, c Choice, why Reason) {
		asked[backlog]++
		if why != "" {
			assert.Equal(t, why, AllAtCapacity)
			return
		}
		taken[backlog]++
		all++
		if f.inFlight[c.Endpoint.ID] > slots {
			over++
		}
		if c.Rank == 0 {
			home++
		}
	})
	share := func(backlog float64) float64 { return float64(taken[backlog]) / float64(asked[backlog]) }
	mean := float64(all) / float64(asked[0]+asked[0.5]+asked[1])
	t.Logf("taken %.2f %.2f %.2f, over slots %d, at home %d of %d", share(0), share(0.5), share(1), over, home, all)
	assert.Assert(t, over*20 <= all, "%d of %d waited for a slot", over, all)
	assert.Assert(t, home*10 >= 8*all, "%d of %d at the first endpoint", home, all)
	assert.Assert(t, share(0) >= share(0.5) && share(0.5) >= share(1))
	assert.Assert(t, share(1) >= mean/4, "the least urgent starve")
	// The engines are kept busy: at least three quarters of what they could run was taken.
	assert.Assert(t, all >= 12*9*slots*1000/770*3/4, "%d taken", all)
}

// Guards against a flood of calls that fills the queues of plain endpoints, which answer within some ten milliseconds,
// faster than routers learn of each other's requests.
func TestFloodOfCallsStaysBelowTheQueues(t *testing.T) {
	const slots, queue = 6, 24
	f := &overload{fleet: withSlots(newFleet(13, 3), slots), service: &planner.Service{Name: "llm"}, perSecond: 750,
		duration: 100 * time.Millisecond, exchangeInterval: 100 * time.Millisecond}
	most, taken := 0, 0
	f.run(10, func(_ float64, c Choice, why Reason) {
		if why == "" {
			taken++
			most = max(most, f.inFlight[c.Endpoint.ID])
		}
	})
	assert.Assert(t, most <= slots+queue, "%d at one endpoint", most)
	assert.Assert(t, taken > 0)
}

// Guards against refusals while there is room.
func TestNoRefusalBelowTheRoom(t *testing.T) {
	f := &overload{fleet: withSlots(newFleet(13, 9), 128), service: engine, perSecond: 800,
		duration: 770 * time.Millisecond, exchangeInterval: 100 * time.Millisecond}
	f.run(6, func(_ float64, _ Choice, why Reason) { assert.Equal(t, why, Reason("")) })
}
