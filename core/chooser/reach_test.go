package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/summer"
)

// reachLoad is a load of 300 requests per second of an engine through 36 routers in three failure domains, which
// receive each other's sums every 200 ms, 200 ms late. Some connects fail.
type reachLoad struct {
	connects func(router, endpoint int, now time.Duration, random float64) bool
	policy   planner.LoadPolicy

	routers []*Chooser
}

const (
	reachRouters   = 36
	reachEndpoints = 42
)

// reachSecond counts the requests of one second.
type reachSecond struct {
	requests, failed   int // failed at their first endpoint
	avoided, avoidable int // endpoints that routers avoid by the word of others
	firsts             [reachEndpoints]int
}

func (l *reachLoad) run(seconds int) []reachSecond {
	rng := rand.New(rand.NewPCG(11, 12))
	ends := make([]registrar.Endpoint, 0, reachEndpoints)
	for i := range reachEndpoints {
		ends = append(ends, registrar.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Slots: 64, Born: 1,
			Domain: fmt.Sprint("d", i%3), State: registrar.Ready})
	}
	for i := range reachRouters {
		c := New(limits, fmt.Sprint("r", i), fmt.Sprint("d", i%3))
		c.SetPolicy(l.policy)
		c.Update(start, ends, nil, reachRouters)
		l.routers = append(l.routers, c)
	}
	list := make([]reachSecond, seconds)
	sums, loads := summer.Sums{}, Loads{}
	due := 0.0
	for ms := range seconds * 1000 {
		now, s := start.Add(time.Duration(ms)*time.Millisecond), &list[ms/1000]
		if ms%200 == 0 {
			next := summer.Sums{}
			for _, c := range l.routers {
				c.SetTotalSums(now, sums)
				c.SetTotalLoads(now, loads)
				next.Add(c.OwnSums())
			}
			sums, loads = next, l.totalLoads(now)
			for _, c := range l.routers {
				for _, e := range c.byID {
					s.avoidable++
					if e.reach.IsUnreachable() {
						s.avoided++
					}
				}
			}
		}
		for due += 0.3; due >= 1; due-- {
			l.request(rng, now, s)
		}
	}
	return list
}

func (l *reachLoad) totalLoads(now time.Time) Loads {
	total := Loads{}
	for _, c := range l.routers {
		total.Add(c.OwnLoads(now))
	}
	return total
}

func (l *reachLoad) request(rng *rand.Rand, now time.Time, s *reachSecond) {
	router := rng.IntN(reachRouters)
	c := l.routers[router]
	q := Query{Service: engine, Parts: testPrompt(rng.IntN(200)), Random: rng.Float64()}
	s.requests++
	for attempt := range 4 {
		choice, reason := c.Choose(now, q)
		if reason != "" {
			return
		}
		c.Done(now, choice)
		var i int
		_, _ = fmt.Sscanf(choice.Endpoint.ID, "e%d", &i)
		if attempt == 0 {
			s.firsts[i]++
		}
		if l.connects(router, i, now.Sub(start), rng.Float64()) {
			c.RecordContact(now, now, choice.Endpoint)
			c.RecordResponse(choice.Endpoint, false)
			return
		}
		if attempt == 0 {
			s.failed++
		}
		c.RecordUnreachable(now, choice.Endpoint, false)
		c.RecordFailure(now, choice.Endpoint)
		q.Tried, q.Random = append(q.Tried, choice.Endpoint.ID), rng.Float64()
	}
}

// Guards against endpoints that every router tries by itself although others have found that they do not answer, and
// against sound endpoints that all avoid because of one router or one domain.
func TestEndpointsThatOthersCouldNotReach(t *testing.T) {
	isDark := func(endpoint int) bool { return endpoint < 7 }
	for _, tc := range []struct {
		name      string
		connects  func(router, endpoint int, now time.Duration, random float64) bool
		maxFailed float64 // of the requests at their first endpoint, from second 2 on
		// maxAvoided bounds the part of endpoints that routers avoid meanwhile.
		maxAvoided float64
	}{
		{"a sixth of the endpoints goes dark",
			func(_, e int, now time.Duration, _ float64) bool {
				return !isDark(e) || now < time.Second
			},
			0.05, 0.17},
		{"lossy links of a domain",
			func(r, _ int, _ time.Duration, random float64) bool { return r%3 != 0 || random > 0.3 }, 1, 0.05},
		{"a router is cut off from other domains",
			func(r, e int, _ time.Duration, _ float64) bool { return r != 0 || e%3 == 0 }, 1, 0.01},
		{"two routers do not reach one endpoint",
			func(r, e int, _ time.Duration, _ float64) bool { return r >= 2 || e != 0 }, 1, 0.01},
		{"the routers of a domain do not reach another domain",
			func(r, e int, _ time.Duration, _ float64) bool { return r%3 != 0 || e%3 != 1 }, 0.03, 1.0/9 + 0.05},
		{"endpoints go down and up every two seconds",
			func(_, e int, now time.Duration, _ float64) bool { return !isDark(e) || now/(2*time.Second)%2 == 0 }, 0.05, 0.17},
		{"endpoints go down and up every three seconds",
			func(_, e int, now time.Duration, _ float64) bool { return !isDark(e) || now/(3*time.Second)%2 == 0 }, 0.05, 0.17},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &reachLoad{connects: tc.connects, policy: planner.LoadPolicy{Reachable: true}}
			list := l.run(14)
			failed, requests, avoided, avoidable := 0, 0, 0, 0
			for _, s := range list[2:] {
				failed, requests = failed+s.failed, requests+s.requests
				avoided, avoidable = avoided+s.avoided, avoidable+s.avoidable
			}
			failedPart, avoidedPart := float64(failed)/float64(requests), float64(avoided)/float64(avoidable)
			t.Logf("failed %.3f, avoided %.3f", failedPart, avoidedPart)
			assert.Assert(t, failedPart <= tc.maxFailed)
			assert.Assert(t, avoidedPart <= tc.maxAvoided)
		})
	}
}

// Guards against endpoints that stay avoided after they have come back.
func TestEndpointsAreUsedAgainAfterTheFirstSuccess(t *testing.T) {
	l := &reachLoad{policy: planner.LoadPolicy{Reachable: true}}
	l.connects = func(_, e int, now time.Duration, _ float64) bool {
		return e >= 7 || now < time.Second || now > 6*time.Second
	}
	list := l.run(9)
	back := 0
	for _, s := range list[7:] {
		for _, n := range s.firsts[:7] {
			back += n
		}
	}
	got := float64(back) / float64(list[7].requests+list[8].requests)
	t.Logf("requests to endpoints that are back: %.3f", got)
	assert.Assert(t, got > 0.1)
}

// Guards against endpoints that wait for the cache of an endpoint that answers no packets.
func TestCacheIsNotFetchedFromASuspect(t *testing.T) {
	c := New(limits, "r", "d")
	c.SetPolicy(planner.LoadPolicy{Reachable: true})
	c.Update(start, testEndpoints(3), nil, 1)
	now := start.Add(cacheFillTime)
	q := Query{Service: engine, Parts: testPrompt(1), Tried: nil}
	first, reason := c.Choose(now, q)
	assert.Equal(t, reason, Reason(""))
	q.Tried = []string{first.Endpoint.ID}
	second, _ := c.Choose(now, q)
	assert.Equal(t, second.CacheSource, first.Endpoint.Address)
	c.SetTotalSums(now, summer.Sums{failedPrefix + domainHash("far") + "/" + first.Endpoint.ID + "#1": 16})
	second, _ = c.Choose(now, q)
	assert.Assert(t, second.CacheSource != first.Endpoint.Address)
}

// Guards against requests that wait for a process that has ended, and against the end of those at a process that still
// finishes them while its successor has started elsewhere.
func TestRequestsAtAFormerStart(t *testing.T) {
	for _, address := range []string{"10.0.0.0:80", "10.0.0.9:80"} {
		c := New(limits, "r", "d")
		c.SetPolicy(planner.LoadPolicy{Reachable: true})
		former := testEndpoints(1)[0]
		next := former
		next.Born, next.Address = 2, address
		c.Update(start, []registrar.Endpoint{next}, nil, 1)
		assert.Equal(t, c.IsLost(start, start, start, former, false), address == former.Address)
	}
}

// Guards against failures at endpoints that go down and up faster than the routers learn of it from each other. Known
// to fail, see KNOWN-RED.txt.
func TestEndpointsThatGoDownEverySecond(t *testing.T) {
	l := &reachLoad{policy: planner.LoadPolicy{Reachable: true}}
	l.connects = func(_, e int, now time.Duration, _ float64) bool { return e >= 7 || now/time.Second%2 == 0 }
	failed, requests := 0, 0
	for _, s := range l.run(14)[2:] {
		failed, requests = failed+s.failed, requests+s.requests
	}
	got := float64(failed) / float64(requests)
	t.Logf("failed %.3f", got)
	assert.Assert(t, got <= 0.07)
}
