package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/summer"
)

// sharedLoad is a load by 24 workspaces, the first two of them large, on endpoints with six slots behind 12 routers
// that learn of each other's loads and sums after 200 ms. Endpoints queue the requests above their slots.
type sharedLoad struct {
	*fleet
	policy    planner.LoadPolicy
	factor    func(workspace, class int) float64 // of the usual rate, from floodAt on
	deafFrom  int                                // ms from which the last router hears nothing; 0 means never
	restartAt int                                // ms at which half of the routers lose their state; 0 means never
	lost      float64                            // part of the endpoints that is gone from floodAt on
	returns   bool                               // refused callers come back once

	asked, onTime [2]map[string]int // before and after the flood has settled, by "small" or "large" and class
	refusedShare  int
	waves         map[int]int // returned requests by 250 ms
}

const (
	sharedMillis = 12_000
	floodAt      = 4000
	settled      = 6000
	smallRate    = 20.0
	largeRate    = 120.0
)

type sharedRequest struct {
	at       time.Time
	router   int
	query    Query
	name     string // of the group
	attempts int
	isBack   bool
}

func (s *sharedLoad) run() {
	rng := rand.New(rand.NewPCG(7, 8))
	s.fleet = withSlots(newFleet(12, 9), 6)
	s.waves = map[int]int{}
	for i := range s.asked {
		s.asked[i], s.onTime[i] = map[string]int{}, map[string]int{}
	}
	for _, c := range s.routers {
		c.SetPolicy(s.policy)
	}
	service := &planner.Service{Name: "llm"}
	type known struct {
		at    time.Time
		loads Loads
		sums  summer.Sums
	}
	var reports []known
	var waiting []sharedRequest
	queues, done := map[string][]time.Time{}, map[string][]completion{}
	due := [24][3]float64{}
	for ms := range sharedMillis {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms == floodAt {
			s.loseEndpoints(now)
		}
		if s.restartAt > 0 && ms == s.restartAt {
			for i := range s.routers[:len(s.routers)/2] {
				c := New(limits, fmt.Sprintf("r%02d", i), "d")
				c.SetPolicy(s.policy)
				c.Update(now, s.ends, nil, len(s.routers))
				s.routers[i] = c
			}
		}
		if ms%100 == 0 {
			r := known{at: now, loads: s.totalLoads(now), sums: summer.Sums{}}
			for _, c := range s.routers {
				r.sums.Add(c.OwnSums())
			}
			reports = append(reports, r)
			for len(reports) > 1 && now.Sub(reports[1].at) >= 200*time.Millisecond {
				reports = reports[1:]
			}
			for i, c := range s.routers {
				if s.deafFrom > 0 && ms >= s.deafFrom && i == len(s.routers)-1 {
					continue
				}
				c.SetTotalLoads(now, reports[0].loads)
				if ms%200 == 0 {
					c.SetTotalSums(now, reports[0].sums)
				}
			}
		}
		for id, list := range done {
			for len(list) > 0 && !now.Before(list[0].at) {
				list[0].router.Done(now, list[0].choice)
				list, queues[id] = list[1:], queues[id][1:]
			}
			done[id] = list
		}
		var batch []sharedRequest
		kept := waiting[:0]
		for _, r := range waiting {
			if now.Before(r.at) {
				kept = append(kept, r)
			} else {
				batch = append(batch, r)
			}
		}
		waiting = kept
		for w := range due {
			for class := range due[w] {
				rate, name := smallRate, "small"
				if w < 2 {
					rate, name = largeRate, "large"
				}
				if ms >= floodAt {
					rate *= s.factor(w, class)
				}
				for due[w][class] += rate / 3000 * 2 * rng.Float64(); due[w][class] >= 1; due[w][class]-- {
					q := Query{Service: service, Priority: float64(class) / 2, Workspace: fmt.Sprintf("w%02d", w), Weight: 1,
						ReceivedAt: now, Deadline: now.Add(3 * time.Second)}
					batch = append(batch, sharedRequest{at: now, router: rng.IntN(12), query: q, name: fmt.Sprint(name, class)})
				}
			}
		}
		for _, r := range batch {
			waiting = s.send(now, ms, r, rng, waiting, queues, done)
		}
	}
}

func (s *sharedLoad) loseEndpoints(now time.Time) {
	n := int(s.lost * float64(len(s.ends)))
	for _, c := range s.routers {
		c.Update(now, s.ends[n:], nil, len(s.routers))
	}
}

// send makes one attempt for a request, and returns the requests that wait with it if it goes on.
func (s *sharedLoad) send(now time.Time, ms int, r sharedRequest, rng *rand.Rand, waiting []sharedRequest,
	queues map[string][]time.Time, done map[string][]completion,
) []sharedRequest {
	phase := -1
	switch at := int(r.query.ReceivedAt.Sub(start).Milliseconds()); {
	case at >= 2000 && at < floodAt:
		phase = 0
	case at >= settled && at < sharedMillis-500:
		phase = 1
	}
	if r.attempts == 0 && !r.isBack && phase >= 0 {
		s.asked[phase][r.name]++
	}
	if r.attempts == 0 && r.isBack {
		s.waves[ms/250]++
	}
	r.query.Random = rng.Float64()
	c := s.routers[r.router]
	choice, reason := c.Choose(now, r.query)
	r.query.IsRepeat = true
	switch {
	case reason == OverShare || reason != "" && r.attempts >= 4:
		if reason == OverShare {
			s.refusedShare++
		}
		if at, ok := c.ReturnAt(now, r.query, reason); ok && s.returns && !r.isBack {
			r.at, r.isBack, r.attempts, r.query.IsRepeat = at, true, 0, false
			return append(waiting, r)
		}
		return waiting
	case reason != "":
		r.attempts++
		r.at = now.Add(10 * time.Millisecond)
		return append(waiting, r)
	}
	id, begin := choice.Endpoint.ID, now
	if n := len(queues[id]); n >= 6 {
		begin = queues[id][n-6]
	}
	end := begin.Add(60 * time.Millisecond)
	queues[id] = append(queues[id], end)
	done[id] = append(done[id], completion{end, c, choice})
	if phase >= 0 && end.Sub(r.query.ReceivedAt) <= 300*time.Millisecond {
		s.onTime[phase][r.name]++
	}
	return waiting
}

// servedByClass returns the part of the requests of a group that were on time after the flood has settled.
func (s *sharedLoad) servedByClass(name string) (parts [3]float64) {
	for class := range parts {
		key := fmt.Sprint(name, class)
		parts[class] = float64(s.onTime[1][key]) / float64(max(1, s.asked[1][key]))
	}
	return parts
}

// Guards workspaces within their share, and the other kinds of requests, against floods at one and a half to two times
// the capacity: without shares, routers refuse the requests of all alike.
func TestFloodsAreRefusedAboveTheShare(t *testing.T) {
	flood := func(factors ...float64) func(int, int) float64 {
		return func(w, _ int) float64 {
			if w < len(factors) {
				return factors[w]
			}
			return 1
		}
	}
	kinds := func(factors ...float64) func(int, int) float64 {
		return func(_, class int) float64 { return factors[class] }
	}
	for _, c := range []struct {
		name   string
		load   sharedLoad
		small  [3]float64 // least part on time by class, of the small workspaces
		isLent bool       // nothing is refused for a share
	}{
		{name: "no flood", load: sharedLoad{factor: flood()}, isLent: true, small: [3]float64{0.99, 0.99, 0.99}},
		{name: "room is lent", load: sharedLoad{factor: flood(1.8)}, isLent: true, small: [3]float64{0.99, 0.99, 0.99}},
		{name: "one workspace", load: sharedLoad{factor: flood(6)}, small: [3]float64{0.97, 0.97, 0.97}},
		{name: "two workspaces", load: sharedLoad{factor: flood(6, 6)}, small: [3]float64{0.97, 0.97, 0.97}},
		{name: "two workspaces, a quarter of the endpoints lost", load: sharedLoad{factor: flood(6, 6), lost: 0.25},
			small: [3]float64{0.95, 0.95, 0.95}},
		{name: "one workspace, a router hears nothing", load: sharedLoad{factor: flood(6), deafFrom: 4500},
			small: [3]float64{0.95, 0.95, 0.95}},
		{name: "one workspace, a router restarts", load: sharedLoad{factor: flood(6), restartAt: 7000},
			small: [3]float64{0.95, 0.95, 0.95}},
		{name: "least urgent", load: sharedLoad{factor: kinds(1, 1, 2.6)}, small: [3]float64{0.97, 0.97, 0.25}},
		{name: "most urgent", load: sharedLoad{factor: kinds(2.6, 1, 1)}, small: [3]float64{0.97, 0.95, 0.95}},
		{name: "most and least urgent", load: sharedLoad{factor: kinds(2.6, 1, 2.6)}, small: [3]float64{0.97, 0.95, 0.25}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.load
			s.policy.Shares = true
			s.run()
			asked, onTime := 0, 0
			for key, n := range s.asked[1] {
				asked, onTime = asked+n, onTime+s.onTime[1][key]
			}
			seconds := float64(sharedMillis-500-settled) / 1000
			possible := min(float64(asked), (1-c.load.lost)*9*6/0.06*seconds)
			t.Logf("on time by class: small %.3f, large %.3f; %.3f of what is possible; %d refused for shares",
				s.servedByClass("small"), s.servedByClass("large"), float64(onTime)/possible, s.refusedShare)
			assert.Check(t, float64(onTime) >= 0.8*possible)
			small, large := s.servedByClass("small"), s.servedByClass("large")
			for class := range small {
				assert.Check(t, small[class] >= c.small[class], "class %d of small workspaces: %.3f", class, small[class])
				assert.Check(t, large[class] >= large[0]/8, "class %d of large workspaces starves", class)
				if class > 0 {
					assert.Check(t, small[class-1] >= small[class]-0.05 && large[class-1] >= large[class]-0.05, "priorities inverted")
				}
			}
			if c.isLent {
				assert.Check(t, s.refusedShare == 0, "%d refused while there is room", s.refusedShare)
			}
		})
	}
}

// Guards the time of a decision: with shares, at most a fifth longer than without, and no allocation.
func BenchmarkChooseWithShares(b *testing.B) {
	for _, isOn := range []bool{false, true} {
		b.Run(fmt.Sprint("shares ", isOn), func(b *testing.B) {
			f := withSlots(newFleet(1, 3000), 64)
			c := f.routers[0]
			c.SetPolicy(planner.LoadPolicy{Shares: isOn})
			names := make([]string, 24)
			for i := range names {
				names[i] = fmt.Sprintf("w%02d", i)
			}
			service := &planner.Service{Name: "llm"}
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				q := Query{Service: service, Workspace: names[i%24], Weight: 1, Priority: float64(i%3) / 2}
				choice, reason := c.Choose(now, q)
				if reason == "" {
					c.Done(now, choice)
				}
			}
		})
	}
}
