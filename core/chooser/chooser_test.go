package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

var start = time.Unix(1000, 0)

var limits = Limits{ColdFactor: 1.5, ColdSlack: 5, LoadFactor: 2, LoadSlack: 3}

func testEndpoints(n int) (list []registrar.Endpoint) {
	for i := range n {
		list = append(list, registrar.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Domain: "d",
			Address: fmt.Sprintf("10.0.0.%d:80", i), State: registrar.Ready, Born: 1})
	}
	return list
}

var engine = &planner.Service{Name: "llm", Engine: true, ColdPerSecond: 34}

// testPrompt returns a prompt whose second part is its subject, which other requests share.
func testPrompt(subject int) []PromptPart {
	return []PromptPart{{"head", 2500}, {fmt.Sprintf("subject%d", subject), 6000}, {fmt.Sprint(rand.Uint64()), 500}}
}

// fleet is a set of routers with the same endpoints, which exchange their requests in flight.
type fleet struct {
	routers []*Chooser
	ends    []registrar.Endpoint // endpoints
}

func newFleet(routers, n int) *fleet {
	f := &fleet{ends: testEndpoints(n)}
	for i := range routers {
		c := New(limits, fmt.Sprintf("r%02d", i), "d")
		c.Update(start, f.ends, nil, routers)
		f.routers = append(f.routers, c)
	}
	return f
}

func (f *fleet) exchange(now time.Time) {
	total := f.totalLoads(now)
	for _, c := range f.routers {
		c.SetTotalLoads(now, total)
	}
}

func (f *fleet) totalLoads(now time.Time) Loads {
	total := Loads{}
	for _, c := range f.routers {
		total.Add(c.OwnLoads(now))
	}
	return total
}

// hotSubject is a load of 200 requests per second that take 300 ms each, of which a share has the same subject. They
// are distributed unevenly over the routers, which exchange their loads every 150 ms.
type hotSubject struct {
	*fleet
	share    float64
	inFlight map[string]int
	ends     []completion // of the requests in flight, by time
}

type completion struct {
	at     time.Time
	router *Chooser
	choice Choice
}

func (h *hotSubject) run(seconds int, each func(now time.Time, c Choice, mean float64)) {
	rng := rand.New(rand.NewPCG(1, 2))
	h.inFlight = map[string]int{}
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%150 == 0 {
			h.exchange(now)
		}
		for len(h.ends) > 0 && !now.Before(h.ends[0].at) {
			done := h.ends[0]
			h.ends = h.ends[1:]
			done.router.Done(now, done.choice)
			h.inFlight[done.choice.Endpoint.ID]--
		}
		if ms%5 != 0 {
			continue
		}
		subject := rng.IntN(200)
		if rng.Float64() < h.share {
			subject = 0
		}
		router := h.routers[min(rng.IntN(len(h.routers)), rng.IntN(len(h.routers)))]
		c, reason := router.Choose(now, Query{Service: engine, Parts: testPrompt(subject), Random: rng.Float64()})
		if reason != "" {
			panic(reason)
		}
		each(now, c, float64(len(h.ends))/float64(len(h.fleet.ends)))
		h.inFlight[c.Endpoint.ID]++
		h.ends = append(h.ends, completion{now.Add(300 * time.Millisecond), router, c})
	}
}

// Guards against a hot subject that overloads its primary: at most 3 requests in 100 may exceed the load bound of twice
// the mean plus 3.
func TestHotSubjectKeepsToTheLoadBound(t *testing.T) {
	h := &hotSubject{fleet: newFleet(13, 9), share: 0.25}
	exceeded, total, atPrimary := 0, 0, 0
	h.run(20, func(_ time.Time, c Choice, mean float64) {
		total++
		if float64(h.inFlight[c.Endpoint.ID]) > limits.LoadFactor*mean+limits.LoadSlack {
			exceeded++
		}
		if c.Rank == 0 {
			atPrimary++
		}
	})
	t.Logf("%d of %d requests exceed the load bound, %d at the primary", exceeded, total, atPrimary)
	assert.Assert(t, exceeded*100 <= 3*total, "%d of %d requests exceed the load bound", exceeded, total)
	// Most requests still reach the primary of their subject.
	assert.Assert(t, atPrimary*100 >= 70*total, "%d of %d requests at the primary", atPrimary, total)
}

// Guards against loads over the bound while a failure domain is out of service: its idle endpoints lower the mean.
func TestTakenOutDomainKeepsToTheLoadBound(t *testing.T) {
	const present, inService = 9, 6
	h := &hotSubject{fleet: newFleet(13, inService), share: 0.15}
	for _, r := range h.routers {
		r.Update(start, h.fleet.ends, testEndpoints(present)[inService:], len(h.routers))
	}
	exceeded, total := 0, 0
	h.run(20, func(_ time.Time, c Choice, mean float64) {
		total++
		if float64(h.inFlight[c.Endpoint.ID]) > limits.LoadFactor*mean*inService/present+limits.LoadSlack {
			exceeded++
		}
	})
	t.Logf("%d of %d requests exceed the load bound", exceeded, total)
	assert.Assert(t, exceeded*100 <= 3*total, "%d of %d requests exceed the load bound", exceeded, total)
}

// Guards against routers that send requests of one subject to different endpoints, each of which computes it again.
func TestRoutersAgreeOnTheEndpointOfASubject(t *testing.T) {
	f := newFleet(8, 9)
	for subject := range 50 {
		primary := ""
		for _, r := range f.routers {
			c, reason := r.Choose(start, Query{Service: engine, Parts: testPrompt(subject)})
			assert.Equal(t, reason, Reason(""))
			if primary == "" {
				primary = c.Endpoint.ID
			}
			assert.Equal(t, c.Endpoint.ID, primary)
			r.Done(start, c)
		}
	}
}

// Guards against a single router, or one that knows nothing of the others, that spreads the requests of a subject over
// many endpoints although its endpoint is far below the load bound.
func TestKnownLoadsAreFilledUpToTheBound(t *testing.T) {
	f := newFleet(1, 9)
	primary := ""
	for n := range int(limits.LoadSlack) {
		c, reason := f.routers[0].Choose(start, Query{Service: engine, Parts: testPrompt(1)})
		assert.Equal(t, reason, Reason(""))
		if n == 0 {
			primary = c.Endpoint.ID
		}
		assert.Equal(t, c.Endpoint.ID, primary, "request %d", n)
	}
}

// Guards against recomputing a prompt that another endpoint caches: one that is leaving or out of service, or that was
// the primary before an endpoint joined.
func TestCacheSourceIsTheFormerPrimary(t *testing.T) {
	f := newFleet(1, 9)
	r := f.routers[0]
	now := start.Add(time.Minute)
	for subject := range 60 {
		q := Query{Service: engine, Parts: testPrompt(subject)}
		r.Update(now, f.ends, nil, 1)
		primary, _ := r.Choose(now, q)
		r.Done(start, primary)
		assert.Equal(t, primary.CacheSource, "")

		var inService, outOfService []registrar.Endpoint
		for _, e := range f.ends {
			if e.ID == primary.Endpoint.ID {
				outOfService = append(outOfService, e)
			} else {
				inService = append(inService, e)
			}
		}
		r.Update(now, inService, outOfService, 1)
		next, reason := r.Choose(now, q)
		r.Done(start, next)
		assert.Equal(t, reason, Reason(""))
		assert.Assert(t, next.Endpoint.ID != primary.Endpoint.ID)
		assert.Equal(t, next.CacheSource, primary.Endpoint.Address)

		// After a restart the endpoint is the primary again, but only the next one caches the parts.
		outOfService[0].Born++
		r.Update(now, append(inService, outOfService...), nil, 1)
		restarted, _ := r.Choose(now, q)
		r.Done(start, restarted)
		assert.Equal(t, restarted.Endpoint.ID, primary.Endpoint.ID)
		assert.Equal(t, restarted.CacheSource, next.Endpoint.Address)
		filled, _ := r.Choose(now.Add(cacheFillTime), q)
		r.Done(start, filled)
		assert.Equal(t, filled.CacheSource, "")
		r.Update(now, f.ends, nil, 1)
		now = now.Add(time.Minute)
	}
}

// Guards against an overloaded cold endpoint: when a failure domain returns and all requests are sent to it, the sum
// over all routers must stay below the allowed rate.
func TestColdReturnKeepsToTheRateOfAllRouters(t *testing.T) {
	for _, routers := range []int{1, 3, 13, 41, 100, 400} {
		f := newFleet(routers, 1)
		f.ends[0].ColdUntil = start.Add(10 * time.Second)
		for _, r := range f.routers {
			r.Update(start, f.ends, nil, routers)
		}
		var sent []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			r := f.routers[rand.IntN(routers)]
			for range 4 {
				if c, reason := r.Choose(now, Query{Service: engine, Parts: testPrompt(1)}); reason == "" {
					sent = append(sent, now)
					r.Done(start, c)
				} else {
					assert.Equal(t, reason, ColdRateExhausted)
				}
			}
		}
		bound := int(engine.ColdPerSecond*limits.ColdFactor + limits.ColdSlack)
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			assert.Assert(t, to-from+1 <= bound, "%d routers: %d requests within a second", routers, to-from+1)
		}
		// At least half of the stated rate is used.
		assert.Assert(t, len(sent) >= 5*int(engine.ColdPerSecond)/2, "%d routers: %d requests in 5 s", routers, len(sent))
	}
}

// Guards against a cold endpoint that gets the rate of all routers twice within a second, because routers that restart
// have forgotten what they sent.
func TestColdRateHoldsOverRestartsOfRouters(t *testing.T) {
	const routers = 13
	for _, c := range []struct {
		name     string
		restarts func(router, ms int) bool
	}{
		{"all at once", func(_, ms int) bool { return ms == 1400 }},
		{"all at once, twice", func(_, ms int) bool { return ms == 1400 || ms == 2100 }},
		{"one after the other", func(router, ms int) bool { return ms == 1000+200*router }},
	} {
		f := newFleet(routers, 1)
		f.ends[0].ColdUntil = start.Add(10 * time.Second)
		for _, r := range f.routers {
			r.Update(start, f.ends, nil, routers)
		}
		var sent []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range f.routers {
				if c.restarts(i, ms) {
					f.routers[i] = New(limits, fmt.Sprintf("r%02d", i), "d")
					f.routers[i].RecordRestart(now)
					f.routers[i].Update(now, f.ends, nil, routers)
				}
			}
			if choice, reason := f.routers[ms%routers].Choose(now, Query{Service: engine, Parts: testPrompt(1)}); reason == "" {
				sent = append(sent, now)
				f.routers[ms%routers].Done(now, choice)
			}
		}
		bound := int(engine.ColdPerSecond*limits.ColdFactor + limits.ColdSlack)
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			assert.Assert(t, to-from+1 <= bound, "%s: %d requests within a second", c.name, to-from+1)
		}
		assert.Assert(t, len(sent) >= 3*int(engine.ColdPerSecond)/2, "%s: %d requests in 5 s", c.name, len(sent))
	}
}

// Guards against too many routers that each send one request per second to a cold endpoint: which ones may depends on
// the endpoint, so that their number varies.
func TestColdEndpointsAreSharedByFewEnoughRouters(t *testing.T) {
	const routers, endpoints = 70, 200
	service := &planner.Service{Name: "llm", Engine: true, ColdPerSecond: 19}
	f := newFleet(routers, endpoints)
	for i := range f.ends {
		f.ends[i].ColdUntil = start.Add(10 * time.Second)
	}
	senders := map[string]int{}
	for _, r := range f.routers {
		r.Update(start, f.ends, nil, routers)
		q := Query{Service: service, Parts: testPrompt(1)}
		for {
			c, reason := r.Choose(start, q)
			if reason != "" {
				break
			}
			senders[c.Endpoint.ID]++
			q.Tried = append(q.Tried, c.Endpoint.ID)
		}
	}
	bound := int(service.ColdPerSecond*limits.ColdFactor + limits.ColdSlack)
	total := 0
	for id, n := range senders {
		assert.Assert(t, n <= bound, "%d routers may send to %s, %d requests are allowed", n, id, bound)
		total += n
	}
	// At least half of the allowed rate is used.
	assert.Assert(t, 2*total >= endpoints*bound, "%d requests at %d endpoints", total, endpoints)
}

// Guards against requests to an endpoint that is down while others are available, and against an endpoint that is never
// tried again.
func TestCrashedEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	f := newFleet(1, 3)
	r := f.routers[0]
	primary, _ := r.Choose(start, Query{Service: engine, Parts: testPrompt(7)})
	r.Done(start, primary)
	until := r.RecordFailure(start, primary.Endpoint)
	next, _ := r.Choose(start.Add(time.Millisecond), Query{Service: engine, Parts: testPrompt(7)})
	assert.Assert(t, next.Endpoint.ID != primary.Endpoint.ID)
	r.Done(start, next)
	again, _ := r.Choose(until, Query{Service: engine, Parts: testPrompt(7)})
	assert.Equal(t, again.Endpoint.ID, primary.Endpoint.ID)
	r.Done(start, again)

	// A restarted endpoint is not avoided.
	r.RecordFailure(until, primary.Endpoint)
	for i := range f.ends {
		if f.ends[i].ID == primary.Endpoint.ID {
			f.ends[i].Born++
		}
	}
	r.Update(start, f.ends, nil, 1)
	restarted, _ := r.Choose(until, Query{Service: engine, Parts: testPrompt(7)})
	assert.Equal(t, restarted.Endpoint.ID, primary.Endpoint.ID)
}

// Guards against a grey failure: an endpoint that reports healthy but fails requests must not receive its full share.
func TestEndpointThatFailsMostRequestsGetsOnlyProbes(t *testing.T) {
	f := newFleet(1, 3)
	r := f.routers[0]
	service := &planner.Service{Name: "llm"}
	failures := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%20 != 0 {
			continue
		}
		c, reason := r.Choose(now, Query{Service: service})
		assert.Equal(t, reason, Reason(""))
		isFaulty := c.Endpoint.ID == "e01"
		if isFaulty && ms >= 2000 {
			failures++
		}
		r.RecordResponse(c.Endpoint, isFaulty)
		r.Done(start, c)
	}
	// Of 400 requests in 8 s, an equal share would be 133; a probe every 400 ms makes 20.
	assert.Assert(t, failures <= 21, "%d requests to the faulty endpoint, at most 21 expected", failures)
}

// Guards against selecting an endpoint twice for one request, and against a wrong reason.
func TestTriedEndpointsAreNotChosen(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	q := Query{Service: engine, Parts: testPrompt(1)}
	for range 2 {
		c, reason := r.Choose(start, q)
		assert.Equal(t, reason, Reason(""))
		q.Tried = append(q.Tried, c.Endpoint.ID)
	}
	_, reason := r.Choose(start, q)
	assert.Equal(t, reason, AllTried)
	_, reason = r.Choose(start, Query{Service: &planner.Service{Name: "other"}})
	assert.Equal(t, reason, NoEndpoint)
}

func BenchmarkChoose(b *testing.B) {
	f := newFleet(1, 48)
	parts := testPrompt(3)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := f.routers[0].Choose(start, Query{Service: engine, Parts: parts})
		f.routers[0].Done(start, c)
	}
}
