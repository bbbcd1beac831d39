package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/summer"
)

// sharedLoad is a load by 24 workspaces, the first two of them large, on endpoints with six slots behind 12 routers
// that learn of each other's loads and sums after 200 ms. Endpoints queue the requests above their slots.
type sharedLoad struct {
	*fleet
	policy    planner.LoadPolicy
	factor    func(workspace, class int) float64 // of the usual rate, from floodAt on
	deafFrom  int                                // ms from which the last router hears nothing; 0 means never
	until     int                                // ms at which the flood ends; 0 means never
	restartAt int                                // ms at which half of the routers lose their state; 0 means never
	lost      float64                            // part of the endpoints that is gone from floodAt on
	returns   bool                               // refused callers come back once
	slots     int
	hold      time.Duration // of a request in a slot
	engine    bool          // requests have prompts of 200 subjects

	asked, onTime [2]map[string]int       // before and after the flood has settled, by "small" or "large" and class
	askedAt       [sharedMillis / 500]int // by half second
	refusedShare  int
}

const (
	sharedMillis = 12_000
	floodAt      = 4000
	settled      = 6000
	smallRate    = 20.0
	largeRate    = 120.0
)

type sharedRequest struct {
	at, receivedAt time.Time
	router         int
	query          Query
	name           string // of the group
	attempts       int
	isBack         bool
}

func (s *sharedLoad) run() {
	rng := rand.New(rand.NewPCG(7, 8))
	s.slots, s.hold = 6, 60*time.Millisecond
	if s.engine {
		s.slots, s.hold = 64, 640*time.Millisecond
	}
	s.fleet = withSlots(newFleet(12, 9), s.slots)
	for i := range s.asked {
		s.asked[i], s.onTime[i] = map[string]int{}, map[string]int{}
	}
	for _, c := range s.routers {
		c.SetPolicy(s.policy)
	}
	service := &planner.Service{Name: "llm", Engine: s.engine}
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
				if ms >= floodAt && (s.until == 0 || ms < s.until) {
					rate *= s.factor(w, class)
				}
				for due[w][class] += rate / 3000 * 2 * rng.Float64(); due[w][class] >= 1; due[w][class]-- {
					q := Query{Service: service, Priority: float64(class) / 2, Workspace: fmt.Sprintf("w%02d", w), Weight: 1,
						Deadline: now.Add(3 * time.Second)}
					if s.engine {
						q.Parts = testPrompt(rng.IntN(200))
					}
					batch = append(batch, sharedRequest{at: now, receivedAt: now, router: rng.IntN(12), query: q,
						name: fmt.Sprint(name, class)})
				}
			}
		}
		for _, r := range batch {
			waiting = s.send(now, r, rng, waiting, queues, done)
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
func (s *sharedLoad) send(now time.Time, r sharedRequest, rng *rand.Rand, waiting []sharedRequest,
	queues map[string][]time.Time, done map[string][]completion,
) []sharedRequest {
	phase := -1
	switch at := int(r.receivedAt.Sub(start).Milliseconds()); {
	case at >= 2000 && at < floodAt:
		phase = 0
	case at >= settled && at < sharedMillis-500:
		phase = 1
	}
	if r.attempts == 0 && !r.isBack && phase >= 0 {
		s.asked[phase][r.name]++
		s.askedAt[int(now.Sub(start).Milliseconds())/500]++
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
	if n := len(queues[id]); n >= s.slots {
		begin = queues[id][n-s.slots]
	}
	end := begin.Add(s.hold)
	queues[id] = append(queues[id], end)
	done[id] = append(done[id], completion{end, c, choice})
	if phase >= 0 && end.Sub(r.receivedAt) <= s.hold+240*time.Millisecond {
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

// servedOf returns the part of the requests of a kind that were on time, and that of all kinds.
func (s *sharedLoad) servedOf(class int) (kind, all float64) {
	asked, onTime, askedAll, onTimeAll := 0, 0, 0, 0
	for key, n := range s.asked[1] {
		askedAll, onTimeAll = askedAll+n, onTimeAll+s.onTime[1][key]
		if strings.HasSuffix(key, fmt.Sprint(class)) {
			asked, onTime = asked+n, onTime+s.onTime[1][key]
		}
	}
	return float64(onTime) / float64(asked), float64(onTimeAll) / float64(askedAll)
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
		{name: "one workspace, refused callers return", load: sharedLoad{factor: flood(6), until: 8000, returns: true},
			small: [3]float64{0.97, 0.97, 0.97}},
		{name: "no flood, engines", load: sharedLoad{factor: flood(), engine: true}, isLent: true,
			small: [3]float64{0.97, 0.97, 0.97}},
		{name: "one workspace, engines", load: sharedLoad{factor: flood(6), engine: true},
			small: [3]float64{0.95, 0.95, 0.95}},
		{name: "least urgent", load: sharedLoad{factor: kinds(1, 1, 2.6)}, small: [3]float64{0.97, 0.97, 0.25}},
		{name: "most urgent", load: sharedLoad{factor: kinds(2.6, 1, 1)}, small: [3]float64{0.97, 0.95, 0.95}},
		{name: "most and least urgent", load: sharedLoad{factor: kinds(2.6, 1, 2.6)}, small: [3]float64{0.97, 0.95, 0.25}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.load
			s.policy.Shares = true
			s.run()
			onTime, possible := 0, 0.0
			for _, n := range s.onTime[1] {
				onTime += n
			}
			for _, n := range s.askedAt[settled/500:] {
				possible += min(float64(n), (1-c.load.lost)*9*6/0.06/2)
			}
			t.Logf("on time by class: small %.3f, large %.3f; %.3f of what is possible; %d refused for shares",
				s.servedByClass("small"), s.servedByClass("large"), float64(onTime)/possible, s.refusedShare)
			assert.Check(t, float64(onTime) >= 0.8*possible)
			small, large := s.servedByClass("small"), s.servedByClass("large")
			for class := range small {
				assert.Check(t, small[class] >= c.small[class], "class %d of small workspaces: %.3f", class, small[class])
				served, all := s.servedOf(class)
				assert.Check(t, served >= all/4, "kind %d starves: %.3f served, of all %.3f", class, served, all)
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

// Guards against requests that gather at the few endpoints that were lucky lately while all fail 45 of 100, and against
// a share that hides the endpoint that fails all.
func TestAllEndpointsFailInPart(t *testing.T) {
	for _, c := range []struct {
		name     string
		rates    func(i int) float64
		maxShare float64 // of the requests of 2 s at one endpoint, in multiples of the mean
		maxLast  float64 // of all requests at the last endpoint, in multiples of the mean
	}{
		{"all in part", func(int) float64 { return 0.45 }, limits.LoadFactor, 1.5},
		{"one fails all", func(i int) float64 { return map[bool]float64{true: 1, false: 0.02}[i == 8] },
			limits.LoadFactor, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 9))
			f := withSlots(newFleet(1, 9), 64)
			router := f.routers[0]
			router.SetPolicy(planner.LoadPolicy{Shares: true})
			service := &planner.Service{Name: "llm"}
			sent, last, total, worst := map[string]int{}, 0, 0, 0.0
			var ends []completion
			for ms := range 20_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for len(ends) > 0 && !now.Before(ends[0].at) {
					choice := ends[0].choice
					i := slices.IndexFunc(f.ends, func(e registrar.Endpoint) bool { return e.ID == choice.Endpoint.ID })
					router.Done(now, choice)
					router.RecordResponse(choice.Endpoint, rng.Float64() < c.rates(i))
					ends = ends[1:]
				}
				if ms%2000 == 0 {
					for _, n := range sent {
						worst = max(worst, float64(n)*9/200)
					}
					clear(sent)
				}
				if ms%10 != 0 {
					continue
				}
				choice, reason := router.Choose(now, Query{Service: service, Random: rng.Float64()})
				assert.Equal(t, reason, Reason(""))
				ends = append(ends, completion{now.Add(60 * time.Millisecond), router, choice})
				total++
				sent[choice.Endpoint.ID]++
				if choice.Endpoint.ID == f.ends[8].ID {
					last++
				}
			}
			t.Logf("%.2f times the mean at one endpoint, %.2f at the last", worst, float64(last)*9/float64(total))
			assert.Assert(t, worst <= c.maxShare)
			assert.Assert(t, float64(last)*9 <= c.maxLast*float64(total))
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

// Guards against a second wave: callers above the share of their workspace return one after the other, later than those
// within their share, and urgent ones first.
func TestRefusedCallersReturnApart(t *testing.T) {
	c := New(limits, "r", "d")
	c.SetPolicy(planner.LoadPolicy{Shares: true})
	c.Update(start, testEndpoints(3), nil, 1)
	query := func(workspace string, priority float64) Query {
		return Query{Service: &planner.Service{Name: "llm"}, Workspace: workspace, Weight: 1, Priority: priority, Random: 0.5}
	}
	now := start
	for i := range 400 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		if choice, reason := c.Choose(now, query("flood", 0.5)); reason == "" {
			c.Done(now.Add(50*time.Millisecond), choice)
		}
	}
	c.shares["llm"].workspaces["flood"].Accepted = [4]float64{0.2, 0.2, 0.2, 0.2}
	last := now
	for i := range 20 {
		at, ok := c.ReturnAt(now, query("flood", 0.5), OverShare)
		assert.Assert(t, ok && at.After(last) && !at.After(now.Add(maxReturn)), "caller %d returns %s later", i, at.Sub(last))
		last = at
	}
	within, _ := c.ReturnAt(now, query("small", 0.5), AllAtCapacity)
	urgent, _ := c.ReturnAt(now, query("small", 0), AllAtCapacity)
	assert.Assert(t, urgent.Before(within) && within.Before(last))
	_, ok := c.ReturnAt(now, query("small", 0), AllTried)
	assert.Assert(t, !ok)
}

// Guards against requests that are served although their deadline passes before, and a class that is refused for ever
// after its requests have become short.
func TestRequestsSureToBeLateAreRefused(t *testing.T) {
	c := New(limits, "r", "d")
	c.SetPolicy(planner.LoadPolicy{Shares: true})
	c.Update(start, testEndpoints(3), nil, 1)
	hold, left := 2*time.Second, 300*time.Millisecond
	refused := [2]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		q := Query{Service: &planner.Service{Name: "llm"}, Random: rng.Float64(), Deadline: now.Add(10 * time.Second)}
		switch {
		case i >= 1500:
			hold, q.Deadline = 50*time.Millisecond, now.Add(left)
		case i%3 == 0:
			q.Deadline = now.Add(left)
		}
		choice, reason := c.Choose(now, q)
		switch {
		case reason == TooLate && i < 1500:
			refused[0]++
		case reason == TooLate && i >= 1800:
			refused[1]++
		case reason == "":
			c.Done(now.Add(hold), choice)
		}
	}
	assert.Assert(t, refused[0] >= 450, "%d of 500 requests that end too late are refused", refused[0])
	assert.Equal(t, refused[1], 0, "requests that have become short are refused")
}
