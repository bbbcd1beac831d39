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

func testPrompt(subject int) []PromptPart {
	return []PromptPart{{"head", 2500}, {fmt.Sprintf("subject%d", subject), 6000}, {fmt.Sprint(rand.Uint64()), 500}}
}

// fleet is some routers that see the same endpoints and exchange their requests in flight now and then.
type fleet struct {
	routers   []*Chooser
	endpoints []registrar.Endpoint
}

func newFleet(routers, n int) *fleet {
	f := &fleet{endpoints: testEndpoints(n)}
	for i := range routers {
		c := New(limits, fmt.Sprintf("r%02d", i), "d")
		c.Update(start, f.endpoints, nil, routers)
		f.routers = append(f.routers, c)
	}
	return f
}

func (f *fleet) exchange(now time.Time) {
	total := map[string]int{}
	for _, c := range f.routers {
		for id, n := range c.InFlight() {
			total[id] += n
		}
	}
	for _, c := range f.routers {
		c.SetTotalInFlight(now, total)
	}
}

// hotSubject is the load pattern in which one subject gets a share of all requests; 200 requests a second that take
// 300 ms each, exchanged every 150 ms, spread over routers unevenly.
type hotSubject struct {
	*fleet
	share       float64
	inFlight    map[string]int
	completions []completion
}

type completion struct {
	at       time.Time
	router   *Chooser
	endpoint registrar.Endpoint
}

func (h *hotSubject) run(seconds int, each func(now time.Time, c Choice, mean float64)) {
	rng := rand.New(rand.NewPCG(1, 2))
	h.inFlight = map[string]int{}
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%150 == 0 {
			h.exchange(now)
		}
		for len(h.completions) > 0 && !now.Before(h.completions[0].at) {
			e := h.completions[0]
			h.completions = h.completions[1:]
			e.router.Done(e.endpoint)
			h.inFlight[e.endpoint.ID]--
		}
		if ms%5 != 0 {
			continue
		}
		subject := rng.IntN(200)
		if rng.Float64() < h.share {
			subject = 0
		}
		router := h.routers[min(rng.IntN(len(h.routers)), rng.IntN(len(h.routers)))]
		c, why := router.Choose(now, Query{Service: engine, Parts: testPrompt(subject), Random: rng.Float64()})
		if why != "" {
			panic(why)
		}
		each(now, c, float64(len(h.completions))/float64(len(h.fleet.endpoints)))
		h.inFlight[c.Endpoint.ID]++
		h.completions = append(h.completions, completion{now.Add(300 * time.Millisecond), router, c.Endpoint})
	}
}

// Guards against a hot subject that overloads the endpoint that caches it: at most 3 requests in 100 may reach an
// endpoint that holds over twice the mean and three more.
func TestHotSubjectKeepsToTheLoadBound(t *testing.T) {
	h := &hotSubject{fleet: newFleet(13, 9), share: 0.25}
	over, all, atHome := 0, 0, 0
	h.run(20, func(_ time.Time, c Choice, mean float64) {
		all++
		if float64(h.inFlight[c.Endpoint.ID]) > limits.LoadFactor*mean+limits.LoadSlack {
			over++
		}
		if c.Rank == 0 {
			atHome++
		}
	})
	t.Logf("%d of %d over the bound, %d at home", over, all, atHome)
	assert.Assert(t, over*100 <= 3*all, "%d of %d over the bound", over, all)
	// Most requests still meet where their subject is cached.
	assert.Assert(t, atHome*100 >= 70*all, "%d of %d at the first endpoint", atHome, all)
}

// Guards against endpoints over the bound while a failure domain is taken out: the mean counts its idle endpoints, too.
func TestTakenOutDomainKeepsToTheLoadBound(t *testing.T) {
	const present, serving = 9, 6
	h := &hotSubject{fleet: newFleet(13, serving), share: 0.15}
	for _, r := range h.routers {
		r.Update(start, h.fleet.endpoints, testEndpoints(present)[serving:], len(h.routers))
	}
	over, all := 0, 0
	h.run(20, func(_ time.Time, c Choice, mean float64) {
		all++
		if float64(h.inFlight[c.Endpoint.ID]) > limits.LoadFactor*mean*serving/present+limits.LoadSlack {
			over++
		}
	})
	t.Logf("%d of %d over the bound", over, all)
	assert.Assert(t, over*100 <= 3*all, "%d of %d over the bound", over, all)
}

// Guards against routers that send the requests of one subject to different endpoints, which reads it several times.
func TestRoutersAgreeOnTheEndpointOfASubject(t *testing.T) {
	f := newFleet(8, 9)
	for subject := range 50 {
		home := ""
		for _, r := range f.routers {
			c, why := r.Choose(start, Query{Service: engine, Parts: testPrompt(subject)})
			assert.Equal(t, why, Reason(""))
			if home == "" {
				home = c.Endpoint.ID
			}
			assert.Equal(t, c.Endpoint.ID, home)
			r.Done(c.Endpoint)
		}
	}
}

// Guards against prompts that are read again although another endpoint caches them: one that is leaving, was taken out,
// or was first in the order before a new endpoint came.
func TestSourceIsTheFormerHome(t *testing.T) {
	f := newFleet(1, 9)
	r := f.routers[0]
	now := start.Add(time.Minute)
	for subject := range 60 {
		q := Query{Service: engine, Parts: testPrompt(subject)}
		r.Update(now, f.endpoints, nil, 1)
		home, _ := r.Choose(now, q)
		r.Done(home.Endpoint)
		assert.Equal(t, home.CacheSource, "")

		var rest, leaving []registrar.Endpoint
		for _, e := range f.endpoints {
			if e.ID == home.Endpoint.ID {
				leaving = append(leaving, e)
			} else {
				rest = append(rest, e)
			}
		}
		r.Update(now, rest, leaving, 1)
		next, why := r.Choose(now, q)
		r.Done(next.Endpoint)
		assert.Equal(t, why, Reason(""))
		assert.Assert(t, next.Endpoint.ID != home.Endpoint.ID)
		assert.Equal(t, next.CacheSource, home.Endpoint.Address)

		// It comes back as a new start, first in the order again, while the next one caches the parts by now.
		leaving[0].Born++
		r.Update(now, append(rest, leaving...), nil, 1)
		back, _ := r.Choose(now, q)
		r.Done(back.Endpoint)
		assert.Equal(t, back.Endpoint.ID, home.Endpoint.ID)
		assert.Equal(t, back.CacheSource, next.Endpoint.Address)
		settled, _ := r.Choose(now.Add(cacheFillTime), q)
		r.Done(settled.Endpoint)
		assert.Equal(t, settled.CacheSource, "")
		r.Update(now, f.endpoints, nil, 1)
		now = now.Add(time.Minute)
	}
}

// Guards against a cold endpoint that gets more requests in a second than it survives, summed over all routers, when
// a failure domain comes back and every subject wants it at once.
func TestColdReturnKeepsToTheRateOfAllRouters(t *testing.T) {
	for _, routers := range []int{1, 3, 13, 41, 100, 400} {
		f := newFleet(routers, 1)
		f.endpoints[0].ColdUntil = start.Add(10 * time.Second)
		for _, r := range f.routers {
			r.Update(start, f.endpoints, nil, routers)
		}
		var sent []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			r := f.routers[rand.IntN(routers)]
			for range 4 {
				if c, why := r.Choose(now, Query{Service: engine, Parts: testPrompt(1)}); why == "" {
					sent = append(sent, now)
					r.Done(c.Endpoint)
				} else {
					assert.Equal(t, why, ColdRateExhausted)
				}
			}
		}
		bound := int(engine.ColdPerSecond*limits.ColdFactor + limits.ColdSlack)
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			assert.Assert(t, to-from+1 <= bound, "%d routers: %d in a second", routers, to-from+1)
		}
		// Half of the stated rate at least is used.
		assert.Assert(t, len(sent) >= 5*int(engine.ColdPerSecond)/2, "%d routers: %d sent", routers, len(sent))
	}
}

// Guards against requests that keep going to an endpoint that is down while others serve, and against an endpoint that
// is given up for good.
func TestCrashedEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	f := newFleet(1, 3)
	r := f.routers[0]
	home, _ := r.Choose(start, Query{Service: engine, Parts: testPrompt(7)})
	r.Done(home.Endpoint)
	till := r.RecordFailure(start, home.Endpoint)
	next, _ := r.Choose(start.Add(time.Millisecond), Query{Service: engine, Parts: testPrompt(7)})
	assert.Assert(t, next.Endpoint.ID != home.Endpoint.ID)
	r.Done(next.Endpoint)
	again, _ := r.Choose(till, Query{Service: engine, Parts: testPrompt(7)})
	assert.Equal(t, again.Endpoint.ID, home.Endpoint.ID)
	r.Done(again.Endpoint)

	// A new start of the endpoint is trusted at once.
	r.RecordFailure(till, home.Endpoint)
	for i := range f.endpoints {
		if f.endpoints[i].ID == home.Endpoint.ID {
			f.endpoints[i].Born++
		}
	}
	r.Update(start, f.endpoints, nil, 1)
	fresh, _ := r.Choose(till, Query{Service: engine, Parts: testPrompt(7)})
	assert.Equal(t, fresh.Endpoint.ID, home.Endpoint.ID)
}

// Guards against a grey endpoint, healthy by its own word, that goes on getting its share of the requests.
func TestEndpointThatFailsMostRequestsGetsOnlyProbes(t *testing.T) {
	f := newFleet(1, 3)
	r := f.routers[0]
	service := &planner.Service{Name: "llm"}
	bad := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%20 != 0 {
			continue
		}
		c, why := r.Choose(now, Query{Service: service})
		assert.Equal(t, why, Reason(""))
		isBad := c.Endpoint.ID == "e01"
		if isBad && ms >= 2000 {
			bad++
		}
		r.RecordResponse(c.Endpoint, isBad)
		r.Done(c.Endpoint)
	}
	// 400 requests in 8 s, of which a third would be 133; a probe each 400 ms is 20.
	assert.Assert(t, bad <= 21, "%d requests", bad)
}

// Guards against a request that is offered to the same endpoint again, and against a wrong reason.
func TestTriedEndpointsAreNotChosen(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	q := Query{Service: engine, Parts: testPrompt(1)}
	for range 2 {
		c, why := r.Choose(start, q)
		assert.Equal(t, why, Reason(""))
		q.Tried = append(q.Tried, c.Endpoint.ID)
	}
	_, why := r.Choose(start, q)
	assert.Equal(t, why, AllTried)
	_, why = r.Choose(start, Query{Service: &planner.Service{Name: "other"}})
	assert.Equal(t, why, NoEndpoint)
}

func BenchmarkChoose(b *testing.B) {
	f := newFleet(1, 48)
	parts := testPrompt(3)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := f.routers[0].Choose(start, Query{Service: engine, Parts: parts})
		f.routers[0].Done(c.Endpoint)
	}
}
