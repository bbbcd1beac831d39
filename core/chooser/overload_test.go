package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// overload is a load with a constant rate of requests to many routers, which exchange their loads with a delay.
type overload struct {
	*fleet
	service   *planner.Service
	perSecond int
	duration  time.Duration // of a request
	exchange  time.Duration // interval at which the routers exchange their loads

	inFlight map[string]int
	ends     []completion // of the requests in flight, by time
	rng      *rand.Rand
}

// run sends requests of three priorities, and calls each with the priority and the outcome.
func (f *overload) run(seconds int, each func(priority float64, c Choice, reason Reason)) {
	f.rng = rand.New(rand.NewPCG(3, 4))
	f.inFlight = map[string]int{}
	due := 0.0
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(f.exchange.Milliseconds()) == 0 {
			f.fleet.exchange(now)
		}
		for len(f.ends) > 0 && !now.Before(f.ends[0].at) {
			done := f.ends[0]
			f.ends = f.ends[1:]
			done.router.Done(now, done.choice)
			f.inFlight[done.choice.Endpoint.ID]--
		}
		for due += float64(f.perSecond) / 1000; due >= 1; due-- {
			router := f.routers[min(f.rng.IntN(len(f.routers)), f.rng.IntN(len(f.routers)))]
			priority := float64(f.rng.IntN(3)) / 2
			q := Query{Service: f.service, Random: f.rng.Float64(), Priority: priority}
			if f.service.Engine {
				q.Parts = testPrompt(f.rng.IntN(200))
			}
			c, reason := router.Choose(now, q)
			if reason == "" {
				f.inFlight[c.Endpoint.ID]++
				f.ends = append(f.ends, completion{now.Add(f.duration), router, c})
			}
			each(priority, c, reason)
		}
	}
}

func withSlots(f *fleet, slots int) *fleet {
	for i := range f.ends {
		f.ends[i].Slots = slots
	}
	for _, r := range f.routers {
		r.Update(start, f.ends, nil, len(f.routers))
	}
	return f
}

// Guards against the effects of requests at 1.5 times the capacity of the engines: queues that make all responses late,
// prompts that are computed at every endpoint, priority inversion and starvation.
func TestPromptsAcceptedUnderOverloadAreOnTime(t *testing.T) {
	const slots = 128
	f := &overload{fleet: withSlots(newFleet(13, 9), slots), service: engine, perSecond: 2200,
		duration: 770 * time.Millisecond, exchange: 100 * time.Millisecond}
	requested, accepted := map[float64]int{}, map[float64]int{}
	queued, atPrimary, total := 0, 0, 0
	f.run(12, func(priority float64, c Choice, reason Reason) {
		requested[priority]++
		if reason != "" {
			assert.Equal(t, reason, AllAtCapacity)
			return
		}
		accepted[priority]++
		total++
		if f.inFlight[c.Endpoint.ID] > slots {
			queued++
		}
		if c.Rank == 0 {
			atPrimary++
		}
	})
	share := func(priority float64) float64 { return float64(accepted[priority]) / float64(requested[priority]) }
	mean := float64(total) / float64(requested[0]+requested[0.5]+requested[1])
	t.Logf("accepted %.2f %.2f %.2f by priority, %d queued, %d of %d at the primary",
		share(0), share(0.5), share(1), queued, atPrimary, total)
	assert.Assert(t, queued*20 <= total, "%d of %d requests waited for a slot", queued, total)
	assert.Assert(t, atPrimary*10 >= 8*total, "%d of %d requests at the primary", atPrimary, total)
	assert.Assert(t, share(0) >= share(0.5) && share(0.5) >= share(1))
	assert.Assert(t, share(1) >= mean/4, "requests of the lowest priority starve")
	// At least three quarters of the engines' capacity is used.
	assert.Assert(t, total >= 12*9*slots*1000/770*3/4, "%d requests accepted", total)
}

// Guards against calls that overflow the queues of plain services, whose responses take tens of milliseconds, less than
// the routers need to exchange their loads.
func TestCallsUnderOverloadStayBelowTheQueueLimit(t *testing.T) {
	const slots, queue = 6, 24
	f := &overload{fleet: withSlots(newFleet(13, 3), slots), service: &planner.Service{Name: "llm"}, perSecond: 750,
		duration: 100 * time.Millisecond, exchange: 100 * time.Millisecond}
	peak, accepted := 0, 0
	f.run(10, func(_ float64, c Choice, reason Reason) {
		if reason == "" {
			accepted++
			peak = max(peak, f.inFlight[c.Endpoint.ID])
		}
	})
	assert.Assert(t, peak <= slots+queue, "%d requests at one endpoint exceed its slots and queue", peak)
	assert.Assert(t, accepted > 0)
}

// Guards against refusals below the capacity of the endpoints.
func TestNoRefusalBelowTheAdmissionLimit(t *testing.T) {
	f := &overload{fleet: withSlots(newFleet(13, 9), 128), service: engine, perSecond: 800,
		duration: 770 * time.Millisecond, exchange: 100 * time.Millisecond}
	f.run(6, func(_ float64, _ Choice, reason Reason) { assert.Equal(t, reason, Reason("")) })
}
