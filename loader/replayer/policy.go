package replayer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/core/placer"
)

// policy selects an endpoint for a request among those that admit it, or returns -1 if there is none. The load bound
// is the same for all policies.
type policy interface {
	place(s *simulation, r *request) int
}

// policies are listed in the order of the report.
var policies = []struct {
	name string
	make func(cfg Config) policy
}{
	{"ours", func(cfg Config) policy { return newRouterPolicy(cfg) }},
	{"random", func(cfg Config) policy { return &random{rng: rand.New(rand.NewPCG(cfg.Seed, 2))} }},
	{"roundRobin", func(Config) policy { return &roundRobin{} }},
	{"leastLoaded", func(Config) policy { return leastLoaded{} }},
	{"plainRendezvous", func(Config) policy { return &plainRendezvous{} }},
	{"omniscient", func(Config) policy { return omniscient{} }},
	{"omniscientWithRoom", func(Config) policy { return omniscient{avoidsLoaded: true} }},
}

// bestReuse returns the number of tokens that the better omniscient policy reuses.
func bestReuse(results []Result) (best int64) {
	for _, r := range results {
		if strings.HasPrefix(r.Policy, "omniscient") {
			best = max(best, r.ReusedTokens)
		}
	}
	return best
}

type random struct{ rng *rand.Rand }

func (p *random) place(s *simulation, _ *request) int {
	for _, i := range p.rng.Perm(len(s.endpoints)) {
		if s.admits(i) {
			return i
		}
	}
	return -1
}

type roundRobin struct{ next int }

func (p *roundRobin) place(s *simulation, _ *request) int {
	for range s.endpoints {
		i := p.next % len(s.endpoints)
		p.next++
		if s.admits(i) {
			return i
		}
	}
	return -1
}

type leastLoaded struct{}

func (leastLoaded) place(s *simulation, _ *request) int {
	best := -1
	for i := range s.endpoints {
		if s.admits(i) && (best < 0 || s.endpoints[i].inFlight < s.endpoints[best].inFlight) {
			best = i
		}
	}
	return best
}

// omniscient knows the content of every cache and selects the least loaded of the endpoints that have cached most of
// the prompt. It does not know future requests. With avoidsLoaded it places a chat that is cached nowhere on an
// endpoint below the mean load, if any admits it; this reuses more with large caches and less with small ones.
type omniscient struct{ avoidsLoaded bool }

func (p omniscient) place(s *simulation, r *request) int {
	var admitted []int
	for i := range s.endpoints {
		if s.admits(i) {
			admitted = append(admitted, i)
		}
	}
	if len(admitted) == 0 {
		return -1
	}
	isCached := func(i int) bool { return s.endpoints[i].cache.reusableTokens(r) > r.prefixTokens }
	if p.avoidsLoaded && !slices.ContainsFunc(admitted, isCached) {
		isLoaded := func(i int) bool { return s.endpoints[i].inFlight >= s.meanLoad() }
		if belowMean := slices.DeleteFunc(slices.Clone(admitted), isLoaded); len(belowMean) > 0 {
			admitted = belowMean
		}
	}
	return slices.MinFunc(admitted, func(a, b int) int {
		ea, eb := s.endpoints[a], s.endpoints[b]
		return cmp.Or(cmp.Compare(eb.cache.reusableTokens(r), ea.cache.reusableTokens(r)),
			cmp.Compare(ea.inFlight, eb.inFlight), cmp.Compare(a, b))
	})
}

type plainRendezvous struct{ members placer.MemberIterator }

func (p *plainRendezvous) place(s *simulation, r *request) int {
	pool := s.memberships[len(s.memberships)-1].pool
	p.members.Reset(pool.All(), placer.Key(chatKeyHash(r)))
	return s.firstAdmitted(pool, &p.members)
}

// routerPolicy is the policy of the routers: subsets sized by the workspace's share of the load, probes of former and
// current primaries, and then all members without a condition, the most suitable of the probed ones first.
type routerPolicy struct {
	rng     *rand.Rand
	routers []routerState
}

// routerState is the state of one router.
type routerState struct {
	viewDelay       time.Duration
	seenMemberships int // number of memberships pushed to history
	history         *placer.History
	sizer           *placer.Sizer
	candidates      placer.CandidateIterator
}

func newRouterPolicy(cfg Config) *routerPolicy {
	p := &routerPolicy{rng: rand.New(rand.NewPCG(cfg.Seed, 3)), routers: make([]routerState, max(1, cfg.Routers))}
	for i := range p.routers {
		p.routers[i].sizer = placer.NewSizer()
		if i > 0 {
			p.routers[i].viewDelay = cfg.MaxViewDelay * time.Duration(i) / time.Duration(len(p.routers)-1)
		}
	}
	return p
}

func (p *routerPolicy) place(s *simulation, r *request) int {
	return p.routers[p.rng.IntN(len(p.routers))].place(s, r)
}

func (rs *routerState) updateView(s *simulation, now time.Duration) {
	for rs.seenMemberships < len(s.memberships) &&
		(rs.seenMemberships == 0 || s.memberships[rs.seenMemberships].at+rs.viewDelay <= now) {
		rs.history = rs.history.Push(s.memberships[rs.seenMemberships].pool)
		rs.seenMemberships++
	}
}

func (rs *routerState) place(s *simulation, r *request) int {
	rs.updateView(s, r.at)
	now := epoch.Add(r.at)
	rs.sizer.Observe(now, r.workspaceName(), 1)
	pool := rs.history.Current()
	subsets := rs.history.Subsets(placer.KeyOf(r.workspaceName()), rs.sizer.Size(now, r.workspaceName(), pool.Len()))
	need := placer.NeedPrefix
	if r.historyTokens > 0 {
		need = placer.NeedChat
	}
	rs.candidates.Reset(subsets, placer.Key(chatKeyHash(r)), need)
	for {
		c, ok := rs.candidates.Next()
		if !ok {
			return -1
		}
		i := s.indexOf(pool.Name(c.Index))
		if s.admits(i) && s.meetsNeed(i, r, c.Need) {
			rs.notifyPrimary(s, r, i)
			return i
		}
		if c.Need == placer.NeedNothing {
			continue
		}
		s.probes++
		rs.candidates.RecordRefusal(c.Index, s.prefixState(i, r))
		if movedTo, ok := s.endpoints[i].movedChats[r.chat]; ok && !s.endpoints[i].isAbsent {
			if n, ok := pool.IndexOf(s.endpoints[movedTo].name); ok {
				rs.candidates.Prioritize(n)
			}
		}
	}
}

// notifyPrimary tells the agent of the chat's primary which other endpoint served the chat.
func (rs *routerState) notifyPrimary(s *simulation, r *request, served int) {
	n, ok := rs.candidates.Primary()
	if !ok {
		return
	}
	primary := s.indexOf(rs.history.Current().Name(n))
	if s.endpoints[primary].isAbsent {
		return
	}
	movedChats := s.endpoints[primary].movedChats
	if primary == served {
		delete(movedChats, r.chat)
		return
	}
	if movedTo, ok := movedChats[r.chat]; !ok || movedTo != served {
		movedChats[r.chat] = served
		s.moves++
	}
}

// meetsNeed is the agent's check of whether its endpoint accepts a request with the given need.
func (s *simulation) meetsNeed(i int, r *request, n placer.Need) bool {
	switch n {
	case placer.NeedChat:
		return s.endpoints[i].cache.isListed(r.chatKey(), r.at, s.cfg.EventLag)
	case placer.NeedPrefix:
		return s.prefixState(i, r) == placer.PrefixCachedLowLoad
	default:
		return true
	}
}

func (s *simulation) prefixState(i int, r *request) placer.PrefixState {
	e := &s.endpoints[i]
	switch {
	case !e.cache.isListed(r.prefixKey(), r.at, s.cfg.EventLag):
		return placer.PrefixNotCached
	case e.inFlight >= s.meanLoad():
		return placer.PrefixCached
	default:
		return placer.PrefixCachedLowLoad
	}
}

// meanLoad returns the mean number of requests in flight, with one more request, rounded up.
func (s *simulation) meanLoad() int {
	return int(math.Ceil(float64(len(s.running)+1) / float64(s.presentEndpoints)))
}

func chatKeyHash(r *request) uint64 {
	return uint64(placer.KeyOf(r.workspaceName(), strconv.FormatUint(r.chat, 10)))
}
