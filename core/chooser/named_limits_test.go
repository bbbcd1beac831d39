package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// The bound on the requests to an endpoint from limitSettleTime after it first named a limit: limitFactor times what
// the limit allows within limitSpan, and limitSlack more, from the routers that received such a response at least
// toldTime before.
const (
	limitSettleTime = 3 * time.Second
	limitSpan       = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	toldTime        = 500 * time.Millisecond
)

// namedLimits is a load on endpoints of which a share names a rate limit for some time.
type namedLimits struct {
	*fleet
	service   *planner.Service
	slots     int
	duration  time.Duration // mean time of a request
	interval  time.Duration // between two reports of a router
	delay     time.Duration // from a report to the sums that include it
	perSecond float64
	clump     int     // requests that arrive at the same time
	hotShare  float64 // of the requests, with the same subject
	limited   int     // endpoints
	limit     float64 // requests per second of each
	cutFrom   time.Duration
	restart   time.Duration // when half of the routers start again

	rng       *rand.Rand
	told      map[*Chooser]map[string]time.Time // when a router first received a limit
	sends     map[string][]time.Time            // by routers that were told, while the limit holds
	allSends  map[string]map[int]int            // by endpoint and second
	arrivals  [3]int                            // by priority, while the limit holds
	accepted  [3]int
	inService []completion
}

// The limits are named from limitsFrom to limitsTo of limitsRun.
const (
	limitsFrom = 6 * time.Second
	limitsTo   = 18 * time.Second
	limitsRun  = 24 * time.Second
)

func (s *namedLimits) isLimited(id string, at time.Duration) bool {
	i := slices.IndexFunc(s.ends, func(e registrar.Endpoint) bool { return e.ID == id })
	return i < s.limited && at >= limitsFrom && at < limitsTo
}

func (s *namedLimits) run() {
	s.rng = rand.New(rand.NewPCG(7, 8))
	s.told, s.sends = map[*Chooser]map[string]time.Time{}, map[string][]time.Time{}
	s.allSends = map[string]map[int]int{}
	var reports []report
	due := 0.0
	for ms := range int(limitsRun / time.Millisecond) {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		isCut := s.cutFrom > 0 && at >= s.cutFrom
		if at%s.interval == 0 && !isCut {
			reports = append(reports, report{now, s.totalLoads(now)})
			for len(reports) > 1 && now.Sub(reports[1].at) >= s.delay {
				reports = reports[1:]
			}
			for _, c := range s.routers {
				c.SetTotalLoads(now, reports[0].total)
			}
		}
		if s.restart > 0 && at == s.restart {
			for i := range len(s.routers) / 2 {
				s.routers[i] = New(limits, fmt.Sprintf("r%02d", i), "d")
				s.routers[i].Update(now, s.ends, nil, len(s.routers))
			}
		}
		s.inService = slices.DeleteFunc(s.inService, func(c completion) bool {
			if now.Before(c.at) {
				return false
			}
			s.respond(now, at, c)
			return true
		})
		for due += s.perSecond / 1000 / float64(s.clump); s.rng.Float64() < due; due-- {
			for range s.clump {
				s.arrive(now, at)
			}
		}
	}
}

// respond ends a request with a response that may name a limit.
func (s *namedLimits) respond(now time.Time, at time.Duration, c completion) {
	id := c.choice.Endpoint.ID
	isLimited := s.isLimited(id, at)
	c.router.Done(now, c.choice)
	c.router.RecordRateLimit(now, c.choice.Endpoint, c.choice.At, s.limit, isLimited)
	if isLimited {
		if s.told[c.router] == nil {
			s.told[c.router] = map[string]time.Time{}
		}
		if _, ok := s.told[c.router][id]; !ok {
			s.told[c.router][id] = now
		}
	}
}

func (s *namedLimits) arrive(now time.Time, at time.Duration) {
	urgency := s.rng.IntN(3)
	q := Query{Service: s.service, Random: s.rng.Float64(), Priority: float64(urgency) / 2}
	if s.service.Engine {
		subject := s.rng.IntN(1000)
		if s.rng.Float64() < s.hotShare {
			subject = 0
		}
		q.Parts = testPrompt(subject)
	}
	router := s.routers[s.rng.IntN(len(s.routers))]
	isCounted := at >= limitsFrom+limitSettleTime && at < limitsTo
	if isCounted {
		s.arrivals[urgency]++
	}
	c, reason := router.Choose(now, q)
	if reason != "" {
		return
	}
	if isCounted {
		s.accepted[urgency]++
	}
	id := c.Endpoint.ID
	if toldAt, ok := s.told[router][id]; ok && s.isLimited(id, at) && now.Sub(toldAt) >= toldTime {
		s.sends[id] = append(s.sends[id], now)
	}
	if s.allSends[id] == nil {
		s.allSends[id] = map[int]int{}
	}
	s.allSends[id][int(at/time.Second)]++
	d := time.Duration(s.rng.ExpFloat64() * float64(s.duration))
	s.inService = append(s.inService, completion{now.Add(d), router, c})
}

// worstSpan returns the most requests that an endpoint got within limitSpan.
func (s *namedLimits) worstSpan() (worst int) {
	from := start.Add(limitsFrom + limitSettleTime)
	for _, sends := range s.sends {
		for i, at := range sends {
			n := 0
			for _, other := range sends[i:] {
				if other.Sub(at) < limitSpan {
					n++
				}
			}
			if !at.Before(from) {
				worst = max(worst, n)
			}
		}
	}
	return worst
}

// rate returns the mean rate of requests to the limited endpoints between two seconds.
func (s *namedLimits) rate(from, to int) float64 {
	n := 0
	for _, e := range s.ends[:s.limited] {
		for second := from; second < to; second++ {
			n += s.allSends[e.ID][second]
		}
	}
	return float64(n) / float64(to-from) / float64(max(1, s.limited))
}

// Guards against endpoints that get more requests than they have said that they take, from many routers that each send
// little; against limits of which most is left unused while requests are refused; and against endpoints that get no
// requests any more after their limit has ended.
func TestNamedLimitsHoldOverAllRouters(t *testing.T) {
	plain := &planner.Service{Name: "llm"}
	const usual = 120 * time.Millisecond
	for _, c := range []struct {
		name          string
		routers, ends int
		load          namedLimits
		minUsed       float64 // of what the limited endpoints take
		minAccepted   float64 // of the requests, or of the capacity if that is less
	}{
		{"few routers", 12, 9, namedLimits{service: engine, slots: 128, perSecond: 130, limited: 6, limit: 8}, 0.75, 0.99},
		{"clumped arrivals", 12, 9,
			namedLimits{service: engine, slots: 128, perSecond: 130, clump: 4, limited: 6, limit: 8}, 0.7, 0.98},
		{"hot subject", 12, 9,
			namedLimits{service: engine, slots: 128, perSecond: 130, hotShare: 0.3, limited: 6, limit: 8}, 0.6, 0.95},
		{"all limited", 12, 9, namedLimits{service: engine, slots: 128, perSecond: 130, limited: 9, limit: 8}, 0.8, 0.95},
		{"low limits", 12, 9, namedLimits{service: engine, slots: 128, perSecond: 130, limited: 6, limit: 0.5}, 0.3, 0.99},
		{"takes none", 12, 9, namedLimits{service: engine, slots: 128, perSecond: 130, limited: 6, limit: 0}, 0, 0.99},
		{"many routers", 130, 60,
			namedLimits{service: engine, slots: 16, perSecond: 600, limited: 42, limit: 5}, 0.6, 0.95},
		{"many routers, low limits", 130, 60,
			namedLimits{service: engine, slots: 64, perSecond: 600, limited: 42, limit: 1}, 0.5, 0.95},
		{"many routers, all limited", 130, 60,
			namedLimits{service: engine, slots: 16, perSecond: 600, limited: 60, limit: 5}, 0.7, 0.95},
		{"plain endpoints", 12, 4, namedLimits{service: plain, slots: 6, perSecond: 60, limited: 2, limit: 6}, 0.6, 0.98},
		{"many routers, plain endpoints", 70, 5,
			namedLimits{service: plain, slots: 6, perSecond: 215, limited: 2, limit: 20}, 0.6, 0.9},
		{"one router", 1, 4, namedLimits{service: engine, slots: 128, perSecond: 60, limited: 2, limit: 7}, 0.7, 0.99},
		{"routers lose their control instance", 12, 9,
			namedLimits{service: engine, slots: 128, perSecond: 130, limited: 6, limit: 8, cutFrom: 8 * time.Second}, 0.4,
			0.95},
		{"half of the routers start again", 12, 9,
			namedLimits{service: engine, slots: 128, perSecond: 130, limited: 6, limit: 8, restart: 12 * time.Second}, 0.7,
			0.98},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.load
			s.fleet = withSlots(newFleet(c.routers, c.ends), s.slots)
			s.duration, s.interval, s.delay, s.clump = usual, 100*time.Millisecond, 200*time.Millisecond, max(1, s.clump)
			s.run()
			const from, to = int((limitsFrom + limitSettleTime) / time.Second), int(limitsTo / time.Second)
			allowed := limitFactor*s.limit*limitSpan.Seconds() + limitSlack
			used := s.rate(from, to)
			before, after := s.rate(2, 6), s.rate(int(limitsTo/time.Second)+3, int(limitsRun/time.Second))
			arrivals, accepted := 0, 0
			for i := range s.arrivals {
				arrivals, accepted = arrivals+s.arrivals[i], accepted+s.accepted[i]
			}
			capacity := (s.limit*float64(s.limited) + float64((c.ends-s.limited)*s.slots)/usual.Seconds()) * float64(to-from)
			share := float64(accepted) / min(float64(arrivals), capacity)
			t.Logf("worst 4 s %d of %.0f, rate %.2f of %.2f, before %.2f, after %.2f, accepted %.3f, by priority %v of %v",
				s.worstSpan(), allowed, used, s.limit, before, after, share, s.accepted, s.arrivals)
			assert.Check(t, float64(s.worstSpan()) <= allowed, "%d requests in %v, %.1f are allowed", s.worstSpan(), limitSpan,
				allowed)
			assert.Check(t, used >= c.minUsed*min(s.limit, before), "rate %.2f of %.2f", used, s.limit)
			assert.Check(t, share >= c.minAccepted, "%.3f of the possible requests accepted", share)
			assert.Check(t, after >= 0.8*before, "rate %.2f after the limit ended, %.2f before", after, before)
			if share < 0.9 || s.limited == c.ends {
				urgent, least := float64(s.accepted[0])/float64(s.arrivals[0]), float64(s.accepted[2])/float64(s.arrivals[2])
				assert.Check(t, urgent > least, "%.2f of the most urgent, %.2f of the least urgent accepted", urgent, least)
			}
		})
	}
}
