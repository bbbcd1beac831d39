package replayer

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/core/placer"
)

// loadBoundFactor is the load bound of the agents relative to the mean load.
const loadBoundFactor = 1.25

// minReuse is the minimum of routerPolicy's reused tokens relative to those of the better omniscient policy.
const minReuse = 0.95

var epoch = time.Unix(0, 0)

type endpoint struct {
	name           string
	cache          *cache
	inFlight       int
	isAbsent       bool
	rejoinsAt      time.Duration
	cacheClearedAt time.Duration
	movedChats     map[uint64]int // index of the endpoint that served a chat, for chats whose primary this is
}

type completion struct {
	at       time.Duration
	endpoint int
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

type membership struct {
	at   time.Duration
	pool *placer.Pool
}

type simulation struct {
	cfg              Config
	endpoints        []endpoint
	running          completions
	presentEndpoints int
	memberships      []membership // oldest first
	departures       int
	nextDeparture    time.Duration
	probes           int // probes that were refused because the context was not cached or the endpoint was full
	moves            int // messages to primaries about chats that another endpoint served
	loadLimit        int // an endpoint with fewer requests in flight admits a request
	lastPlacements   map[uint64]placement
}

// Result is the result of one policy.
type Result struct {
	Policy       string
	PromptTokens int64 // without the tokens of the new turns
	ReusedTokens int64
	Refused      int // requests that no endpoint admitted
	// Skew is the highest number of requests in flight at an endpoint relative to the mean, averaged over the requests.
	Skew float64
	// ProbesPerRequest is the mean number of probed candidates that refused the request.
	ProbesPerRequest float64
	// MovesPerRequest is the mean number of messages to primaries about chats that another endpoint served.
	MovesPerRequest float64
	// MissedTokens adds up to PromptTokens - ReusedTokens.
	MissedTokens MissedTokens
}

func simulate(cfg Config, trace []request, name string, p policy) Result {
	s := &simulation{
		cfg: cfg, presentEndpoints: cfg.Endpoints, nextDeparture: cfg.ChurnInterval,
		lastPlacements: map[uint64]placement{},
	}
	for i := range cfg.Endpoints {
		s.endpoints = append(s.endpoints, endpoint{
			name: "endpoint-" + strconv.Itoa(i), cache: newCache(cfg.CacheTokens), movedChats: map[uint64]int{},
		})
	}
	s.recordMembership(0)
	res := Result{Policy: name}
	for i := range trace {
		r := &trace[i]
		s.advance(r.at)
		s.loadLimit = max(1, int(math.Ceil(loadBoundFactor*float64(len(s.running)+1)/float64(s.presentEndpoints))))
		n := p.place(s, r)
		if n < 0 {
			res.Refused++
			continue
		}
		e := &s.endpoints[n]
		res.PromptTokens += int64(r.prefixTokens + r.historyTokens)
		res.ReusedTokens += int64(e.cache.reusableTokens(r))
		s.recordMisses(&res.MissedTokens, r, n)
		s.lastPlacements[r.chat] = placement{endpoint: n, at: r.at}
		e.cache.add(r.at, r.chatKey(), r.historyTokens+r.addedTokens)
		e.cache.add(r.at, r.prefixKey(), r.prefixTokens)
		e.inFlight++
		heap.Push(&s.running, completion{at: r.at + r.duration, endpoint: n})
		res.Skew += s.skew() / float64(len(trace))
	}
	res.MovesPerRequest = float64(s.moves) / float64(len(trace))
	res.ProbesPerRequest = float64(s.probes) / float64(len(trace))
	return res
}

// advance completes the requests that end by now and applies the departures and returns of endpoints.
func (s *simulation) advance(now time.Duration) {
	for len(s.running) > 0 && s.running[0].at <= now {
		c := heap.Pop(&s.running).(completion)
		s.endpoints[c.endpoint].inFlight--
	}
	for s.cfg.ChurnInterval > 0 && now >= s.nextDeparture {
		s.removeNextEndpoint(s.nextDeparture)
		s.nextDeparture += s.cfg.ChurnInterval
	}
	for i := range s.endpoints {
		if e := &s.endpoints[i]; e.isAbsent && now >= e.rejoinsAt {
			e.isAbsent = false
			s.presentEndpoints++
			s.recordMembership(e.rejoinsAt)
		}
	}
}

// removeNextEndpoint removes the next endpoint. Its requests in flight complete, as after a planned departure.
func (s *simulation) removeNextEndpoint(now time.Duration) {
	const flapDuration = 2 * time.Second
	// The step is coprime to the usual numbers of endpoints, so that every endpoint leaves in turn, in scattered order.
	e := &s.endpoints[(s.departures*7)%len(s.endpoints)]
	s.departures++
	if e.isAbsent {
		return
	}
	e.isAbsent, e.rejoinsAt = true, now+flapDuration
	if s.departures%3 != 0 {
		e.movedChats = map[uint64]int{}
		e.cache, e.rejoinsAt, e.cacheClearedAt = newCache(s.cfg.CacheTokens), now+s.cfg.Downtime, now
	}
	s.presentEndpoints--
	s.recordMembership(now)
}

func (s *simulation) admits(i int) bool {
	e := &s.endpoints[i]
	return !e.isAbsent && e.inFlight < s.loadLimit
}

// recordMembership appends the current membership after a change.
func (s *simulation) recordMembership(now time.Duration) {
	var list []placer.Endpoint
	for i := range s.endpoints {
		if !s.endpoints[i].isAbsent {
			list = append(list, placer.Endpoint{Name: s.endpoints[i].name})
		}
	}
	s.memberships = append(s.memberships, membership{at: now, pool: placer.NewPool(list)})
}

func (s *simulation) indexOf(name string) int {
	for i := range s.endpoints {
		if s.endpoints[i].name == name {
			return i
		}
	}
	return -1
}

func (s *simulation) firstAdmitted(p *placer.Pool, it *placer.MemberIterator) int {
	for {
		n, ok := it.Next()
		if !ok {
			return -1
		}
		if i := s.indexOf(p.Name(n)); s.admits(i) {
			return i
		}
	}
}

func (s *simulation) skew() float64 {
	highest := 0
	for i := range s.endpoints {
		highest = max(highest, s.endpoints[i].inFlight)
	}
	return float64(highest) * float64(s.presentEndpoints) / float64(len(s.running))
}

// Replay simulates every policy on the same trace.
func Replay(cfg Config) []Result {
	trace := newTrace(cfg)
	out := make([]Result, 0, len(policies))
	for _, p := range policies {
		out = append(out, simulate(cfg, trace, p.name, p.make(cfg)))
	}
	return out
}

// Measurement is one line of the report; a bound of 0 means that the value has no bound.
type Measurement struct {
	Name          string  `json:"name"`
	Value         float64 `json:"value"`
	Unit          string  `json:"unit"`
	Bound         float64 `json:"bound"`
	IsWithinBound bool    `json:"ok"`
}

// Measure replays a trace of each configuration for each seed and writes the report to w as JSON lines; ok is false if
// routerPolicy reuses less than minReuse in any replay.
func Measure(w io.Writer, seeds []uint64) (ok bool, err error) {
	ok = true
	enc := json.NewEncoder(w)
	for _, seed := range seeds {
		list := newMeasurements(Replay(DefaultConfig(seed)), fmt.Sprintf("placement.ample.seed%d.", seed))
		list = append(list,
			newMeasurements(Replay(ScarceCacheConfig(seed)), fmt.Sprintf("placement.scarce.seed%d.", seed))...)
		for _, m := range list {
			ok = ok && m.IsWithinBound
			if err := enc.Encode(m); err != nil {
				return false, fmt.Errorf("write report: %w", err)
			}
		}
	}
	return ok, nil
}

func newMeasurements(results []Result, namePrefix string) []Measurement {
	best := bestReuse(results)
	out := make([]Measurement, 0, 6*len(results))
	for _, r := range results {
		prefix := namePrefix + r.Policy + "."
		reuse := Measurement{
			Name: prefix + "reuseOfOmniscient", Value: float64(r.ReusedTokens) / float64(best), Unit: "fraction",
			IsWithinBound: true,
		}
		if r.Policy == "ours" {
			reuse.Bound, reuse.IsWithinBound = minReuse, reuse.Value >= minReuse
		}
		out = append(out, reuse,
			Measurement{
				Name: prefix + "reuseOfPrompt", Value: float64(r.ReusedTokens) / float64(r.PromptTokens), Unit: "fraction",
				IsWithinBound: true,
			},
			Measurement{Name: prefix + "probes", Value: r.ProbesPerRequest, Unit: "per request", IsWithinBound: true},
			Measurement{Name: prefix + "moves", Value: r.MovesPerRequest, Unit: "per request", IsWithinBound: true},
			Measurement{Name: prefix + "skew", Value: r.Skew, Unit: "max/mean", IsWithinBound: true},
			Measurement{Name: prefix + "refused", Value: float64(r.Refused), Unit: "requests", IsWithinBound: true})
		if r.Policy == "ours" || strings.HasPrefix(r.Policy, "omniscient") {
			for c, tokens := range r.MissedTokens {
				out = append(out, Measurement{
					Name: prefix + "lost." + missCauseNames[c], Value: float64(tokens) / float64(best),
					Unit: "of the omniscient's reuse", IsWithinBound: true,
				})
			}
		}
	}
	return out
}
