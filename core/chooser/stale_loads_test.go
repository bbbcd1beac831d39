package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// staleLoads is a load on endpoints with few slots behind many routers, each of which knows the loads of the others
// with a delay that is as long as many responses take. Endpoints queue the requests above their slots.
type staleLoads struct {
	*fleet
	service   *planner.Service
	slots     int
	duration  time.Duration // of a request in a slot
	interval  time.Duration // between two reports of a router
	delay     time.Duration // from a report to the sums that include it
	perSecond func(ms int) int
	hotShare  float64 // of the requests, with the same subject, after hotFrom

	queues   map[string][]time.Time // ends of the requests at each endpoint, in order
	accepted int
	arrivals int
	exceeded int // requests to an endpoint above the load bound
	peak     int
	fetches  int // requests at another endpoint than the first of the ranking
	latency  time.Duration
	windows  []windowCount
}

// hotFromMillis is when the subject becomes hot; the routers know the usual load by then.
const hotFromMillis = 5000

// windowCount counts the requests of one second.
type windowCount struct{ sent, exceeded int }

// report is the loads by all routers at one time.
type report struct {
	at    time.Time
	total Loads
}

type arrival struct {
	at       time.Time
	router   *Chooser
	query    Query
	attempts int
}

func (s *staleLoads) run(seconds int) {
	rng := rand.New(rand.NewPCG(5, 6))
	s.queues = map[string][]time.Time{}
	s.windows = make([]windowCount, seconds)
	var reports []report
	var retries []arrival
	done := map[string][]completion{}
	due := 0.0
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(s.interval.Milliseconds()) == 0 {
			reports = append(reports, report{now, s.totalLoads(now)})
			for len(reports) > 1 && now.Sub(reports[1].at) >= s.delay {
				reports = reports[1:]
			}
			for _, c := range s.routers {
				c.SetTotalLoads(now, reports[0].total)
			}
		}
		for id, list := range done {
			for len(list) > 0 && !now.Before(list[0].at) {
				list[0].router.Done(now, list[0].choice)
				list = list[1:]
				s.queues[id] = s.queues[id][1:]
			}
			done[id] = list
		}
		var batch []arrival
		for len(retries) > 0 && !now.Before(retries[0].at) {
			batch, retries = append(batch, retries[0]), retries[1:]
		}
		for due += float64(s.perSecond(ms)) / 1000; due >= 1; due-- {
			q := Query{Service: s.service, Random: rng.Float64(), Priority: float64(rng.IntN(3)) / 2}
			if s.service.Engine {
				subject := rng.IntN(1000)
				if rng.Float64() < s.hotShare && ms >= hotFromMillis {
					subject = 0
				}
				q.Parts = testPrompt(subject)
			}
			s.arrivals++
			batch = append(batch, arrival{now, s.routers[rng.IntN(len(s.routers))], q, 0})
		}
		for _, a := range batch {
			a.query.Random = rng.Float64()
			c, reason := a.router.Choose(now, a.query)
			if reason != "" {
				if a.attempts++; a.attempts < 5 {
					a.at = now.Add(10 * time.Millisecond)
					retries = append(retries, a)
				}
				continue
			}
			id := c.Endpoint.ID
			held := 0
			for _, q := range s.queues {
				held += len(q)
			}
			w := &s.windows[ms/1000]
			w.sent++
			if n := len(s.queues[id]); float64(n) > limits.LoadFactor*float64(held)/float64(len(s.ends))+limits.LoadSlack {
				s.exceeded++
				w.exceeded++
			}
			begin := now
			if n := len(s.queues[id]); n >= s.slots {
				begin = s.queues[id][n-s.slots]
			}
			end := begin.Add(s.duration)
			s.queues[id] = append(s.queues[id], end)
			done[id] = append(done[id], completion{end, a.router, c})
			s.peak = max(s.peak, len(s.queues[id]))
			s.latency += end.Sub(now)
			s.accepted++
			if c.Rank > 0 {
				s.fetches++
			}
		}
	}
}

func (s *staleLoads) worstWindow() float64 { return worstWindow(s.windows) }

// worstWindow returns the highest share of requests above the load bound in any 5 s.
func worstWindow(windows []windowCount) (worst float64) {
	for i := range len(windows) - 4 {
		sent, exceeded := 0, 0
		for _, w := range windows[i : i+5] {
			sent, exceeded = sent+w.sent, exceeded+w.exceeded
		}
		if exceeded >= 20 {
			worst = max(worst, float64(exceeded)/float64(sent))
		}
	}
	return worst
}

// Guards against many routers that send to the same endpoint because one old report showed room there: at most 3 in
// 100 requests within 5 s may exceed the load bound, while the endpoints stay busy.
func TestManyRoutersWithStaleLoads(t *testing.T) {
	constant := func(n int) func(int) int { return func(int) int { return n } }
	step := func(before, after int) func(int) int {
		return func(ms int) int {
			if ms < 6000 {
				return before
			}
			return after
		}
	}
	plain := &planner.Service{Name: "llm"}
	for _, c := range []struct {
		name               string
		routers, ends      int
		load               staleLoads
		minAccepted        float64 // of the lower of the requests and the capacity
		maxQueue           float64 // mean response time in multiples of the duration
		maxAwayFromPrimary float64
	}{
		{name: "engines, light load", routers: 70, ends: 60, minAccepted: 0.999, maxQueue: 1.05, maxAwayFromPrimary: 0.02,
			load: staleLoads{service: engine, slots: 8, duration: 110 * time.Millisecond, perSecond: constant(600)}},
		{name: "engines, usual load", routers: 70, ends: 60, minAccepted: 0.999, maxQueue: 1.05, maxAwayFromPrimary: 0.05,
			load: staleLoads{service: engine, slots: 8, duration: 200 * time.Millisecond, perSecond: constant(600)}},
		{name: "engines, hot subject", routers: 70, ends: 60, minAccepted: 0.999, maxQueue: 1.1, maxAwayFromPrimary: 0.3,
			load: staleLoads{service: engine, slots: 8, duration: 200 * time.Millisecond, perSecond: constant(600),
				hotShare: 0.2}},
		{name: "engines, twice the load", routers: 70, ends: 60, minAccepted: 0.95, maxQueue: 1.3, maxAwayFromPrimary: 0.5,
			load: staleLoads{service: engine, slots: 8, duration: 300 * time.Millisecond, perSecond: step(600, 1200),
				hotShare: 0.2}},
		{name: "engines, above capacity", routers: 70, ends: 60, minAccepted: 0.75, maxQueue: 1.6, maxAwayFromPrimary: 1,
			load: staleLoads{service: engine, slots: 8, duration: 300 * time.Millisecond, perSecond: step(600, 2400),
				hotShare: 0.2}},
		{name: "plain endpoints, usual load", routers: 70, ends: 5, minAccepted: 0.999, maxQueue: 1.3, maxAwayFromPrimary: 1,
			load: staleLoads{service: plain, slots: 6, duration: 65 * time.Millisecond, perSecond: constant(220)}},
		{name: "plain endpoints, above capacity", routers: 70, ends: 5, minAccepted: 0.75, maxQueue: 5, maxAwayFromPrimary: 1,
			load: staleLoads{service: plain, slots: 6, duration: 65 * time.Millisecond, perSecond: step(220, 900)}},
		{name: "few routers, above capacity", routers: 9, ends: 9, minAccepted: 0.75, maxQueue: 1.6, maxAwayFromPrimary: 1,
			load: staleLoads{service: engine, slots: 16, duration: 300 * time.Millisecond, perSecond: step(200, 800),
				hotShare: 0.2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seconds = 14
			s := c.load
			s.fleet = withSlots(newFleet(c.routers, c.ends), s.slots)
			s.interval, s.delay = 100*time.Millisecond, 200*time.Millisecond
			s.run(seconds)
			requests := 0.0
			capacity := float64(c.ends*s.slots) / s.duration.Seconds()
			for ms := range seconds * 1000 {
				requests += min(float64(s.perSecond(ms)), capacity) / 1000
			}
			away := float64(s.fetches) / float64(s.accepted)
			queue := s.latency.Seconds() / float64(s.accepted) / s.duration.Seconds()
			share := float64(s.accepted) / requests
			t.Logf("accepted %.3f, %.4f above the bound in the worst 5 s, peak %d, %.2f durations, %.3f away from the primary",
				share, s.worstWindow(), s.peak, queue, away)
			assert.Assert(t, s.worstWindow() <= 0.03, "%.3f of the requests exceed the load bound", s.worstWindow())
			assert.Assert(t, share >= c.minAccepted, "%.3f of the possible requests accepted", share)
			assert.Assert(t, queue <= c.maxQueue, "responses take %.2f times the duration", queue)
			assert.Assert(t, away <= c.maxAwayFromPrimary, "%.3f away from the primary", away)
		})
	}
}
