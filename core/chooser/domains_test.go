package chooser

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/spiller"
	"cactusroute.dev/core/summer"
)

// domainLoad is a load on a plain service with two endpoints in each of three failure domains, behind six routers each
// whose loads and sums arrive late. An endpoint has six slots, in which a request takes 60 ms, unless stated otherwise.
type domainLoad struct {
	perSecond  func(domain, ms int) float64
	extra      func(from, to int, random float64) time.Duration // of a request between domains, beyond domainTrip
	takenOut   func(domain, ms int) bool
	withoutFor func(ms int) bool // sums are lost
	slots      int
	duration   time.Duration

	seconds [30][3]domainSecond // by second and domain of the callers
	refused int
	events  []Event // of one router of the first domain
	beyond  int     // requests to an endpoint above the load bound
}

type domainSecond struct {
	sent    int
	sentTo  [3]int
	latency time.Duration
}

const domainTrip = 3 * time.Millisecond

func domainName(i int) string { return string(rune('a' + i)) }

// domainEndpoints returns n endpoints in turn in a number of domains.
func domainEndpoints(service string, n, domains, slots int) []registrar.Endpoint {
	list := testEndpoints(n)
	for i := range list {
		list[i].Service, list[i].Domain, list[i].Slots = service, domainName(i%domains), slots
	}
	return list
}

func (l *domainLoad) run(seconds int) {
	l.slots, l.duration = cmp.Or(l.slots, 6), cmp.Or(l.duration, 60*time.Millisecond)
	type completion struct {
		at     time.Time
		router *Chooser
		choice Choice
	}
	rng := rand.New(rand.NewPCG(3, 4))
	ends := domainEndpoints("plain", 6, 3, l.slots)
	withPrices := limits
	withPrices.Domains = DomainPrices{RoundTripMillis: 3, MegabyteMillis: 100}
	routers := make([]*Chooser, 0, 18)
	for i := range 18 {
		c := New(withPrices, fmt.Sprint("r", i), domainName(i%3))
		c.SetPolicy(planner.LoadPolicy{Domains: true})
		routers = append(routers, c)
	}
	service := &planner.Service{Name: "plain"}
	queues := map[string][]time.Time{} // ends of the requests at each endpoint
	var open []completion
	var loads []Loads
	var sums []summer.Sums
	var due [3]float64
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%500 == 0 {
			var in, out []registrar.Endpoint
			for i, e := range ends {
				if l.takenOut != nil && l.takenOut(i%3, ms) {
					out = append(out, e)
				} else {
					in = append(in, e)
				}
			}
			for _, c := range routers {
				c.Update(now, in, out, len(routers))
			}
		}
		if ms%100 == 0 {
			total, totalSums := Loads{}, summer.Sums{}
			for _, c := range routers {
				total.Add(c.OwnLoads(now))
				totalSums.Add(c.OwnSums())
			}
			loads, sums = append(loads, total), append(sums, totalSums)
			for _, c := range routers {
				c.SetTotalLoads(now, loads[max(0, len(loads)-2)])
				if ms%200 == 0 && (l.withoutFor == nil || !l.withoutFor(ms)) {
					c.SetTotalSums(now, sums[max(0, len(sums)-4)])
				}
			}
		}
		kept := open[:0]
		for _, o := range open {
			if now.Before(o.at) {
				kept = append(kept, o)
				continue
			}
			o.router.Done(now, o.choice)
		}
		open = kept
		for id, q := range queues {
			for len(q) > 0 && !now.Before(q[0]) {
				q = q[1:]
			}
			queues[id] = q
		}
		for from := range 3 {
			for due[from] += l.perSecond(from, ms) / 1000; due[from] >= 1; due[from]-- {
				router := routers[from+3*rng.IntN(6)]
				choice, reason := router.Choose(now, Query{Service: service, Random: rng.Float64()})
				if reason != "" {
					l.refused++
					continue
				}
				id, to := choice.Endpoint.ID, int(choice.Endpoint.Domain[0]-'a')
				held := 0
				for _, q := range queues {
					held += len(q)
				}
				if mean := float64(held) / float64(len(ends)); float64(len(queues[id])) > limits.LoadFactor*mean+limits.LoadSlack {
					l.beyond++
				}
				begin := now
				if n := len(queues[id]); n >= l.slots {
					begin = queues[id][n-l.slots]
				}
				end := begin.Add(l.duration)
				queues[id] = append(queues[id], end)
				if from != to {
					end = end.Add(domainTrip)
					if l.extra != nil {
						end = end.Add(l.extra(from, to, rng.Float64()))
					}
				}
				open = append(open, completion{end, router, choice})
				s := &l.seconds[ms/1000][from]
				s.sent++
				s.sentTo[to]++
				s.latency += end.Sub(now)
			}
		}
	}
	l.events, _ = routers[0].TakeEvents()
}

// sum returns the requests of a domain's callers in some seconds.
func (l *domainLoad) sum(domain, from, until int) (s domainSecond) {
	for i := from; i < until; i++ {
		w := &l.seconds[i][domain]
		s.sent, s.latency = s.sent+w.sent, s.latency+w.latency
		for to, n := range w.sentTo {
			s.sentTo[to] += n
		}
	}
	return s
}

// left returns the share of the requests of a domain that left it, and their mean latency in durations.
func (l *domainLoad) left(domain, from, until int) (share, latency float64) {
	s := l.sum(domain, from, until)
	return 1 - float64(s.sentTo[domain])/float64(s.sent), float64(s.latency) / float64(s.sent) / float64(l.duration)
}

// Guards the decision which requests leave their failure domain, under each load that makes it hard. In calm requests
// stay at home; a surplus leaves, and the other domains keep theirs.
func TestLeavingTheDomain(t *testing.T) {
	usual := func(int, int) float64 { return 70 }
	// The domain a gets 1.5 times the requests that its endpoints can run.
	burst := func(domain, ms int) float64 {
		if domain == 0 && ms >= 5000 && ms < 13_000 {
			return 300
		}
		return 60
	}
	atMost := func(t *testing.T, what string, got, bound float64) {
		t.Helper()
		assert.Assert(t, got <= bound, "%s: %.3f above %.3f", what, got, bound)
	}
	for _, c := range []struct {
		name  string
		load  domainLoad
		check func(t *testing.T, l *domainLoad)
	}{
		{name: "usual load", load: domainLoad{perSecond: usual}, check: func(t *testing.T, l *domainLoad) {
			for d := range 3 {
				left, latency := l.left(d, 2, 20)
				atMost(t, "left", left, 0.05)
				atMost(t, "latency", latency, 1.02)
			}
		}},
		{name: "burst in one domain", load: domainLoad{perSecond: burst}, check: func(t *testing.T, l *domainLoad) {
			left, latency := l.left(0, 6, 13)
			atMost(t, "surplus that stayed", 1-left, 0.66)
			atMost(t, "latency", latency, 1.2)
			for d := 1; d < 3; d++ {
				left, latency = l.left(d, 6, 13)
				atMost(t, "left domains with room", left, 0.25)
				atMost(t, "latency in domains with room", latency, 1.2)
			}
			left, _ = l.left(0, 16, 20)
			atMost(t, "left after the burst", left, 0.05)
			assert.Assert(t, len(l.events) >= 3 && len(l.events) <= 14, "%d log lines", len(l.events))
		}},
		{name: "two domains with a surplus and the same third", load: domainLoad{perSecond: func(domain, ms int) float64 {
			if domain < 2 && ms >= 5000 {
				return 210
			}
			return 40
		}}, check: func(t *testing.T, l *domainLoad) {
			a, b := l.sum(0, 7, 20).sentTo[2], l.sum(1, 7, 20).sentTo[2]
			atMost(t, "part of the third's room", float64(max(a, b))/float64(a+b), 0.6)
			for d := range 3 {
				_, latency := l.left(d, 7, 20)
				atMost(t, "latency", latency, 1.25)
			}
			left, _ := l.left(2, 7, 20)
			atMost(t, "left the third", left, 0.5)
		}},
		{name: "lossy link between two domains", load: domainLoad{perSecond: burst,
			extra: func(from, to int, random float64) time.Duration {
				if from+to == 1 && random < 0.3 {
					return 400 * time.Millisecond // a lost packet is sent again
				}
				return 0
			}}, check: func(t *testing.T, l *domainLoad) {
			s := l.sum(0, 8, 13)
			atMost(t, "part over the lossy link", float64(s.sentTo[1])/float64(s.sentTo[1]+s.sentTo[2]), 0.35)
			_, latency := l.left(0, 8, 13)
			atMost(t, "latency", latency, 1.45)
		}},
		{name: "domain taken out and back", load: domainLoad{perSecond: usual, takenOut: func(domain, ms int) bool {
			return domain == 1 && ms >= 5000 && ms < 10_000
		}}, check: func(t *testing.T, l *domainLoad) {
			atMost(t, "sent to the domain out of service", float64(l.sum(0, 5, 10).sentTo[1]+l.sum(1, 5, 10).sentTo[1]), 0)
			_, latency := l.left(1, 5, 10)
			atMost(t, "latency", latency, 1.2)
			for _, d := range []int{0, 2} {
				left, _ := l.left(d, 5, 10)
				atMost(t, "left domains in service", left, 0.1)
			}
			left, _ := l.left(1, 15, 20)
			atMost(t, "left after the return", left, 0.05)
		}},
		// The shares come from sums that are 0.4 s old; the surplus that was sent away is missing in them.
		{name: "no oscillation", load: domainLoad{perSecond: func(domain, _ int) float64 { return burst(domain, 6000) }},
			check: func(t *testing.T, l *domainLoad) {
				least, most := 1.0, 0.0
				for s := 4; s < 20; s++ {
					left, _ := l.left(0, s, s+1)
					least, most = min(least, left), max(most, left)
					left, _ = l.left(1, s, s+1)
					atMost(t, "left a domain with room", left, 0.3)
				}
				atMost(t, "range of the share", most-least, 0.2)
			}},
		// A domain's demand fits into its slots, but not into the load bound.
		{name: "uneven demand on endpoints with many slots", load: domainLoad{slots: 64, duration: 300 * time.Millisecond,
			perSecond: func(domain, _ int) float64 { return []float64{150, 8, 8}[domain] }},
			check: func(t *testing.T, l *domainLoad) {
				left, latency := l.left(0, 4, 20)
				atMost(t, "surplus that stayed", 1-left, 0.7)
				atMost(t, "latency", latency, 1.05)
				for d := 1; d < 3; d++ {
					left, _ = l.left(d, 4, 20)
					atMost(t, "left domains with room", left, 0.25)
				}
			}},
		{name: "no sums for 6 s", load: domainLoad{perSecond: usual, withoutFor: func(ms int) bool {
			return ms >= 6000 && ms < 12_000
		}}, check: func(t *testing.T, l *domainLoad) {
			left, latency := l.left(0, 9, 12)
			atMost(t, "stayed without sums", 1-left, 0.5) // as with the fixed cost
			atMost(t, "latency", latency, 1.1)
			left, _ = l.left(0, 14, 20)
			atMost(t, "left", left, 0.05)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.load
			l.run(20)
			sent := 0
			for d := range 3 {
				sent += l.sum(d, 0, 20).sent
			}
			atMost(t, "refused", float64(l.refused)/float64(sent), 0.02)
			atMost(t, "above the load bound", float64(l.beyond)/float64(sent), 0.03)
			c.check(t, &l)
		})
	}
}

// withShares returns a router in domain a whose domain sends a share of its requests for a service to domain b.
func withShares(service *planner.Service, slots int, share float64) *Chooser {
	withPrices := limits
	withPrices.Domains = DomainPrices{RoundTripMillis: 3, MegabyteMillis: 100}
	c := New(withPrices, "r", "a")
	c.SetPolicy(planner.LoadPolicy{Domains: true})
	c.Update(start, domainEndpoints(service.Name, 4, 2, slots), nil, 1)
	s := c.serviceDomains(service.Name)
	s.isKnown, s.decidedAt, s.service = true, start, spiller.Service{HoldSeconds: 0.3, PriceSeconds: 0.01}
	for i := range 2 {
		s.domains = append(s.domains, spiller.Domain{Name: domainName(i), Work: 1, Slots: float64(2 * slots), Endpoints: 2})
	}
	s.decider.Shares = map[spiller.Pair]float64{{From: "a", To: "b"}: share}
	return c
}

// Guards the bytes between domains: of a surplus, small plain requests leave before long prompts.
func TestSmallRequestsLeaveFirst(t *testing.T) {
	service := &planner.Service{Name: "plain"}
	c := withShares(service, 8, 0.2)
	rng := rand.New(rand.NewPCG(8, 9))
	left := map[int]int{}
	for i := range 4000 {
		tokens := i % 2 * 10_000
		choice, reason := c.Choose(start, Query{Service: service, Random: rng.Float64(), PromptTokens: tokens})
		assert.Equal(t, reason, Reason(""))
		if choice.Endpoint.Domain != "a" {
			left[tokens]++
		}
		c.Done(start, choice)
	}
	total := float64(left[0]+left[10_000]) / 4000
	assert.Assert(t, left[0] > 3*left[10_000]/2, "%d small and %d large requests left", left[0], left[10_000])
	assert.Assert(t, total > 0.1 && total < 0.3, "%.3f of the requests left", total)
}

// Guards a chat whose cached parts are all in another domain: an endpoint that would have to fetch them is no better
// for being at home, whatever share of the requests leaves.
func TestCachedPartsAbroadGoBeforeTheDomain(t *testing.T) {
	service := &planner.Service{Name: "llm", Engine: true, CacheTokenBytes: 160 << 10, LinkBitsPerSecond: 280e9}
	for _, share := range []float64{0, 0.5} {
		c := withShares(service, 64, share)
		p := c.pools["llm"]
		q := Query{Service: service, Parts: testPrompt(1), Random: 0.5}
		holder := p.endpoints[1]
		assert.Equal(t, holder.Domain, "b")
		f := c.newForecast(start, p, 0)
		c.setDestination(start, &q, c.poolLoad(start, &q, p), &f)
		abroad := c.affinityDomainCost(start, &q, holder, holder)
		atHome := c.affinityDomainCost(start, &q, p.endpoints[0], holder)
		assert.Assert(t, abroad < atHome, "cost %.2f at the holder, %.2f at home", abroad, atHome)
		// Between two endpoints that hold the parts, the one in the destination is preferred.
		copyAtHome := c.domainCost(start, p.endpoints[0])
		assert.Equal(t, copyAtHome < c.domainCost(start, holder), c.destination.domain == "a")
	}
}
