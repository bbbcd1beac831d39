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

// boundFactor is the load bound of the agents.
const boundFactor = 1.25

// reuseGoal is the part of the omniscient placement's reused tokens that ours reuses at least.
const reuseGoal = 0.95

var epoch = time.Unix(0, 0)

type endpoint struct {
	name     string
	cache    *cache
	inFlight int
	away     bool
	returns  time.Duration
	emptied  time.Duration  // when the cache was last lost
	moved    map[uint64]int // endpoint at which a chat was served whose home this is
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
	cfg       Config
	endpoints []endpoint
	running   completions
	present   int
	changes   []membership // oldest first
	churns    int
	nextChurn time.Duration
	probes    int // requests that were refused as not cached, or full when asked only if cached
	moves     int // messages to first candidates about chats that another endpoint served
	bound     int // highest number in flight that admits one more request
	visits    map[uint64]visit
}

// Result is what one policy reached.
type Result struct {
	Policy       string
	PromptTokens int64
	ReusedTokens int64
	Refused      int // requests that no endpoint admitted
	// Skew is the highest number in flight at one endpoint relative to the mean, averaged over the requests.
	Skew float64
	// Probes is the mean number of candidates that a request was offered to in vain "only if cached".
	Probes float64
	// Moves is the mean number of messages to first candidates about where a chat was served.
	Moves float64
	// Losses explains PromptTokens - ReusedTokens.
	Losses Losses
}

func run(cfg Config, trace []request, name string, p policy) Result {
	s := &simulation{cfg: cfg, present: cfg.Endpoints, nextChurn: cfg.ChurnEvery, visits: map[uint64]visit{}}
	for i := range cfg.Endpoints {
		s.endpoints = append(s.endpoints, endpoint{
			name: "endpoint-" + strconv.Itoa(i), cache: newCache(cfg.CacheTokens), moved: map[uint64]int{},
		})
	}
	s.record(0)
	res := Result{Policy: name}
	for i := range trace {
		r := &trace[i]
		s.advance(r.at)
		s.bound = max(1, int(math.Ceil(boundFactor*float64(len(s.running)+1)/float64(s.present))))
		n := p.place(s, r)
		if n < 0 {
			res.Refused++
			continue
		}
		e := &s.endpoints[n]
		res.PromptTokens += int64(r.prefix + r.history)
		res.ReusedTokens += int64(e.cache.reusable(r))
		s.lose(&res.Losses, r, n)
		s.visits[r.chat] = visit{endpoint: n, at: r.at}
		e.cache.put(r.at, r.chatKey(), r.history+r.added)
		e.cache.put(r.at, r.prefixKey(), r.prefix)
		e.inFlight++
		heap.Push(&s.running, completion{at: r.at + r.lasts, endpoint: n})
		res.Skew += s.skew() / float64(len(trace))
	}
	res.Moves = float64(s.moves) / float64(len(trace))
	res.Probes = float64(s.probes) / float64(len(trace))
	return res
}

// advance ends the requests that are complete and lets endpoints leave and return.
func (s *simulation) advance(now time.Duration) {
	for len(s.running) > 0 && s.running[0].at <= now {
		c := heap.Pop(&s.running).(completion)
		s.endpoints[c.endpoint].inFlight--
	}
	for s.cfg.ChurnEvery > 0 && now >= s.nextChurn {
		s.leave(s.nextChurn)
		s.nextChurn += s.cfg.ChurnEvery
	}
	for i := range s.endpoints {
		if e := &s.endpoints[i]; e.away && now >= e.returns {
			e.away = false
			s.present++
			s.record(e.returns)
		}
	}
}

// leave takes the next endpoint out. Requests in flight there finish, as in a planned leave.
func (s *simulation) leave(now time.Duration) {
	const flapTime = 2 * time.Second
	// A step that is coprime to usual sizes visits the endpoints in a scattered order.
	e := &s.endpoints[(s.churns*7)%len(s.endpoints)]
	s.churns++
	if e.away {
		return
	}
	e.away, e.returns = true, now+flapTime
	if s.churns%3 != 0 {
		e.moved = map[uint64]int{}
		e.cache, e.returns, e.emptied = newCache(s.cfg.CacheTokens), now+s.cfg.AwayFor, now
	}
	s.present--
	s.record(now)
}

func (s *simulation) admits(i int) bool {
	e := &s.endpoints[i]
	return !e.away && e.inFlight < s.bound
}

// record adds the membership after a change.
func (s *simulation) record(now time.Duration) {
	var list []placer.Endpoint
	for i := range s.endpoints {
		if !s.endpoints[i].away {
			list = append(list, placer.Endpoint{Name: s.endpoints[i].name})
		}
	}
	s.changes = append(s.changes, membership{at: now, pool: placer.NewPool(list)})
}

func (s *simulation) indexOf(name string) int {
	for i := range s.endpoints {
		if s.endpoints[i].name == name {
			return i
		}
	}
	return -1
}

func (s *simulation) firstAdmitted(p *placer.Pool, w *placer.MemberIterator) int {
	for {
		n, ok := w.Next()
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
	return float64(highest) * float64(s.present) / float64(len(s.running))
}

// Replay runs every policy on one trace.
func Replay(cfg Config) []Result {
	trace := newTrace(cfg)
	out := make([]Result, 0, len(policies))
	for _, p := range policies {
		out = append(out, run(cfg, trace, p.name, p.make(cfg)))
	}
	return out
}

// Measurement is one line of the report; a bound of 0 means that the value has none.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
}

// Measure replays one trace of each kind for each seed and writes the report to w as JSON lines; ok is false if
// ours misses its goal in some replay.
func Measure(w io.Writer, seeds []uint64) (ok bool, err error) {
	ok = true
	enc := json.NewEncoder(w)
	for _, seed := range seeds {
		list := report(Replay(Defaults(seed)), fmt.Sprintf("placement.ample.seed%d.", seed))
		list = append(list, report(Replay(Scarce(seed)), fmt.Sprintf("placement.scarce.seed%d.", seed))...)
		for _, m := range list {
			ok = ok && m.OK
			if err := enc.Encode(m); err != nil {
				return false, fmt.Errorf("write the report: %w", err)
			}
		}
	}
	return ok, nil
}

func report(results []Result, name string) []Measurement {
	best := bestReuse(results)
	out := make([]Measurement, 0, 6*len(results))
	for _, r := range results {
		prefix := name + r.Policy + "."
		reuse := Measurement{
			Name: prefix + "reuseOfOmniscient", Value: float64(r.ReusedTokens) / float64(best), Unit: "fraction", OK: true,
		}
		if r.Policy == "ours" {
			reuse.Bound, reuse.OK = reuseGoal, reuse.Value >= reuseGoal
		}
		out = append(out, reuse,
			Measurement{
				Name: prefix + "reuseOfPrompt", Value: float64(r.ReusedTokens) / float64(r.PromptTokens), Unit: "fraction",
				OK: true,
			},
			Measurement{Name: prefix + "probes", Value: r.Probes, Unit: "per request", OK: true},
			Measurement{Name: prefix + "moves", Value: r.Moves, Unit: "per request", OK: true},
			Measurement{Name: prefix + "skew", Value: r.Skew, Unit: "max/mean", OK: true},
			Measurement{Name: prefix + "refused", Value: float64(r.Refused), Unit: "requests", OK: true})
		if r.Policy == "ours" || strings.HasPrefix(r.Policy, "omniscient") {
			for c, lost := range r.Losses {
				out = append(out, Measurement{
					Name: prefix + "lost." + causeNames[c], Value: float64(lost) / float64(best), Unit: "of the omniscient's reuse",
					OK: true,
				})
			}
		}
	}
	return out
}
