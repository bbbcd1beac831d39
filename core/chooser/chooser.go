package chooser

import (
	"maps"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// firstAvoid and longestAvoid bound how long an endpoint is avoided that couldn't be reached; the time doubles with
	// each failure. A restarted endpoint registers within a heartbeat, which ends the avoidance.
	firstAvoid   = 250 * time.Millisecond
	longestAvoid = 4 * time.Second

	// failureWeight is the weight of the last answer in the failure rate of an endpoint: ten answers show a change.
	failureWeight = 0.15

	// greyAt is the failure rate above which an endpoint gets only a probe now and then. Services that fail a seventh
	// of their requests by nature stay well below it.
	greyAt = 0.45

	// greyProbe is the pause between two requests to an endpoint that fails most of them.
	greyProbe = 400 * time.Millisecond

	// reportFresh is how long a reported load counts.
	reportFresh = 1500 * time.Millisecond

	// othersFresh is how long the numbers of the other routers count; they come several times a second.
	othersFresh = time.Second

	// freePart and fullPart are the parts of the load bound between which ever fewer requests are sent to an endpoint
	// for its cache. The loads are seen late: with one threshold all routers would send until all see it exceeded.
	// Up to nearPart an endpoint is taken while the draw spares all others, because the least loaded one is the same
	// at all routers, which would meet there.
	freePart = 0.7
	fullPart = 0.9
	nearPart = 0.85

	// settledAfter is how long an endpoint is known before it counts as the one that caches what is its own by key. Most
	// parts are asked for within some ten seconds.
	settledAfter = 15 * time.Second

	// plainRounds is how many rounds of its slots a plain endpoint holds: answers of some ten milliseconds are in time
	// after two rounds of waiting.
	plainRounds = 3

	// minOwn is the number of requests that one router may have at a plain endpoint in any case. Above it each has twice
	// its part of the room, because the others' numbers are older than most answers there take.
	minOwn = 2

	// reservedPart is the part of the room that the least urgent requests leave to the most urgent ones, and
	// unreservedShare the share of the others that needn't leave any.
	reservedPart    = 0.3
	unreservedShare = 0.35

	// busyPart is the part of all slots from which on the room is left to urgent requests and to what is cached.
	busyPart = 0.7

	// spillPart is the part of its room up to which an endpoint takes prompts that are cached elsewhere. Beyond it all
	// are busy, and reading each other's prompts would only make them slower.
	spillPart = 0.6

	// roomSpread is the part of the room over which requests are refused ever more often.
	roomSpread = 0.2

	// coldPart is the part of the allowed rate to a cold endpoint that the routers share out.
	coldPart = 0.9

	// coldWindow is the window in which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// Limits are the bounds that hold over all routers together.
type Limits struct {
	ColdFactor float64 // multiple of the stated rate to a cold endpoint that is allowed
	ColdSlack  float64 // requests above it in one second
	LoadFactor float64 // multiple of the mean load of a service at one endpoint
	LoadSlack  float64 // requests above it
}

// Part is one piece of a prompt, in order; only the last one belongs to the request or its session.
type PromptPart struct {
	ID     string
	Tokens int
}

// Query describes what an endpoint is wanted for.
type Query struct {
	Service  *planner.Service
	Parts    []PromptPart
	Tried    []string // endpoints that must not be chosen again
	Random   float64  // uniform in [0, 1)
	Priority float64  // 0 for the most urgent requests, 1 for the least urgent ones
}

// Reason says why no endpoint was chosen.
type Reason string

// The reasons for no choice.
const (
	NoEndpoint        Reason = "the service has no endpoint in service"
	AllTried          Reason = "every endpoint was tried"
	ColdRateExhausted Reason = "the rate to cold endpoints is used up"
	AllAtCapacity     Reason = "every endpoint has as many requests as it can answer in time"
)

// Choice is the endpoint of an attempt; it must be returned with Done.
type Choice struct {
	Endpoint  registrar.Endpoint
	Load      int           // requests there as known
	ReportAge time.Duration // of the reported load, negative when there is none
	Rank      int           // position in the order of the prompt's key
	// Source is the address of the endpoint that most likely caches the shared parts of the prompt; empty when the
	// chosen one does.
	CacheSource string
}

// endpoint is what this router knows of one endpoint.
type endpoint struct {
	registrar.Endpoint
	inFlight   int
	others     int // requests of the other routers there
	reported   int // requests running and waiting there
	reportedAt time.Time
	sent       int       // own requests since the report that aren't in it
	serves     bool      // may get requests
	since      time.Time // when this router learned of it
	failures   int       // in a row
	avoidTill  time.Time
	failRate   float64
	probeAt    time.Time // next probe of one that fails most requests
	coldSent   []time.Time
}

type pool struct {
	ranks *placer.Subset // all endpoints of the service, with those that get no new requests
	all   []*endpoint    // in the order of ranks
}

// Chooser holds the endpoints as this router sees them; it is not safe for concurrent use.
type Chooser struct {
	limits  Limits
	self    string // name of this router
	domain  string // failure domain of this router
	routers int
	byID    map[string]*endpoint
	pools   map[string]*pool
	walk    placer.MemberIterator

	othersAt time.Time // when the numbers of the other routers were received
	told     map[string]int
}

// New returns a chooser without endpoints for the router of a name in a failure domain.
func New(limits Limits, self, domain string) *Chooser {
	return &Chooser{limits: limits, self: self, domain: domain, routers: 1, byID: map[string]*endpoint{},
		pools: map[string]*pool{}}
}

// Update replaces the endpoints; what is known of a start of an endpoint is kept. The others are present but get no new
// requests.
func (c *Chooser) Update(now time.Time, serving, others []registrar.Endpoint, routers int) {
	c.routers = max(1, routers)
	old := c.byID
	c.byID = make(map[string]*endpoint, len(serving)+len(others))
	members := map[string][]placer.Endpoint{}
	for i, e := range append(slices.Clone(serving), others...) {
		known := old[e.ID]
		if known == nil || known.Born != e.Born || known.Address != e.Address {
			known = &endpoint{since: now}
			if len(old) == 0 {
				known.since = time.Time{} // it was there before this router
			}
		}
		known.Endpoint, known.serves = e, i < len(serving)
		c.byID[e.ID] = known
		members[e.Service] = append(members[e.Service], placer.Endpoint{Name: e.ID})
	}
	c.pools = make(map[string]*pool, len(members))
	for service, names := range members {
		ranks := placer.NewPool(names)
		p := &pool{ranks: ranks.All()}
		for i := range ranks.Len() {
			p.all = append(p.all, c.byID[ranks.Name(i)])
		}
		c.pools[service] = p
	}
}

// load is the number of requests at the endpoint as far as known: those of all routers, or what the endpoint itself
// said while the other routers' aren't known.
func (e *endpoint) load(now time.Time, othersAt time.Time) int {
	if now.Sub(othersAt) <= othersFresh {
		return e.inFlight + e.others
	}
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportFresh {
		return e.inFlight
	}
	return max(e.inFlight, e.reported+e.sent)
}

// isAvoided reports whether other endpoints go first.
func (e *endpoint) isAvoided(now time.Time) bool {
	return now.Before(e.avoidTill) || e.failRate > greyAt && now.Before(e.probeAt)
}

// Choose picks an endpoint and counts the request there.
func (c *Chooser) Choose(now time.Time, q Query) (Choice, Reason) {
	p := c.pools[q.Service.Name]
	if p == nil || len(p.all) == 0 {
		return Choice{}, NoEndpoint
	}
	if q.Service.Engine && len(q.Parts) > 0 {
		return c.chooseByKey(now, q, p)
	}
	return c.chooseByLoad(now, q, p)
}

// fits reports whether the endpoint may get a request now, up to a part of its room.
func (c *Chooser) fits(now time.Time, q Query, e *endpoint, part float64) Reason {
	if !e.serves {
		return NoEndpoint
	}
	for _, id := range q.Tried {
		if id == e.ID {
			return AllTried
		}
	}
	if q.Service.MaxConnections > 0 && e.inFlight >= max(1, q.Service.MaxConnections/c.routers) {
		return AllAtCapacity
	}
	if !c.mayWarm(now, q.Service, e) {
		return ColdRateExhausted
	}
	if e.Slots > 0 && float64(e.load(now, c.othersAt)+1) > c.room(q, e)*part {
		return AllAtCapacity
	}
	if e.Slots > 0 && !q.Service.Engine && e.inFlight >= max(minOwn, 2*plainRounds*e.Slots/c.routers) {
		return AllAtCapacity
	}
	return ""
}

// isBusy reports whether the endpoints together are near their room; below that nothing is left to others.
func (c *Chooser) isBusy(now time.Time, p *pool) bool {
	load, slots := 0, 0
	for _, e := range p.all {
		if e.serves {
			load += e.load(now, c.othersAt)
			slots += e.Slots
		}
	}
	return float64(load) >= busyPart*float64(slots)
}

// room is the load up to which the endpoint gets the request, so that what it takes on is answered in time. The last
// part of it is left to ever more urgent requests, but for a share of the others, so that none starve. The draw spreads
// the bound, because all routers see the load late.
func (c *Chooser) room(q Query, e *endpoint) float64 {
	slots := float64(e.Slots)
	if !q.Service.Engine {
		slots *= plainRounds
	}
	left := reservedPart * q.Priority
	if isUnreserved(q.Random) {
		left = 0
	}
	return slots * (1 - left) * (1 - roomSpread*q.Random)
}

// isUnreserved reports whether a request is of the share that needn't leave room to others. It takes other digits of
// the draw than the spread of the room does, so that the two don't go together.
func isUnreserved(draw float64) bool {
	_, digits := math.Modf(draw * 100)
	return digits < unreservedShare
}

// mayWarm keeps the requests to a cold endpoint in any second, summed over all routers, below the bound. With more
// routers than requests a second only some of them send, chosen by hash.
func (c *Chooser) mayWarm(now time.Time, s *planner.Service, e *endpoint) bool {
	if s.ColdPerSecond <= 0 || !now.Before(e.ColdUntil) {
		return true
	}
	allowed := coldPart * (s.ColdPerSecond*c.limits.ColdFactor + c.limits.ColdSlack)
	own := int(allowed / float64(c.routers))
	if own == 0 {
		h := uint64(placer.KeyOf(c.self, e.ID))
		if float64(h>>11)/(1<<53) >= allowed/float64(c.routers) {
			return false
		}
		own = 1
	}
	kept := e.coldSent[:0]
	for _, at := range e.coldSent {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	e.coldSent = kept
	return len(kept) < own
}

// chooseByKey walks the order of the prompt's shared part, which is the same at all routers, to the first endpoint
// below the load bound: requests that share a part meet where it is cached.
func (c *Chooser) chooseByKey(now time.Time, q Query, p *pool) (Choice, Reason) {
	bound := c.bound(now, p)
	why := NoEndpoint
	source := c.sourceOf(now, q, p)
	isBusy := c.isBusy(now, p)
	if !isBusy {
		q.Priority = 0
	}
	var near, least, avoided *endpoint
	nearRank, leastRank, avoidedRank := 0, 0, 0
	c.walk.Reset(p.ranks, affinity(q.Parts))
	for rank := 0; ; {
		i, ok := c.walk.Next()
		if !ok {
			break
		}
		e := p.all[i]
		if e.serves {
			rank++
		}
		part := 1.0
		if rank > 1 && isBusy {
			part = spillPart
		}
		if r := c.fits(now, q, e, part); r != "" {
			why = worse(why, r)
			continue
		}
		switch load := e.load(now, c.othersAt); {
		case e.isAvoided(now):
			if avoided == nil || e.avoidTill.Before(avoided.avoidTill) {
				avoided, avoidedRank = e, rank-1
			}
		case float64(load+1) <= (fullPart-q.Random*(fullPart-freePart))*bound:
			return c.take(now, e, rank-1, source), ""
		case near == nil && float64(load+1) <= nearPart*bound:
			near, nearRank = e, rank-1
		case least == nil || load < least.load(now, c.othersAt):
			least, leastRank = e, rank-1
		}
	}
	switch {
	case near != nil:
		return c.take(now, near, nearRank, source), ""
	case least != nil:
		return c.take(now, least, leastRank, source), ""
	case avoided != nil:
		return c.take(now, avoided, avoidedRank, source), ""
	}
	return Choice{}, why
}

// affinity is the key of the part that other requests share: the last but one.
func affinity(parts []PromptPart) placer.Key {
	return placer.KeyOf(parts[max(0, len(parts)-2)].ID)
}

// bound is the load that an endpoint shouldn't exceed.
func (c *Chooser) bound(now time.Time, p *pool) float64 {
	total := 0
	for _, e := range p.all {
		total += e.load(now, c.othersAt)
	}
	mean := float64(total) / float64(len(p.all))
	return c.limits.LoadFactor*mean + c.limits.LoadSlack + 1
}

// chooseByLoad picks the endpoint with the fewest requests, in the own failure domain among equals.
func (c *Chooser) chooseByLoad(now time.Time, q Query, p *pool) (Choice, Reason) {
	if !c.isBusy(now, p) {
		q.Priority = 0
	}
	why := NoEndpoint
	var best *endpoint
	bestCost := math.Inf(1)
	for _, e := range p.all {
		if r := c.fits(now, q, e, 1); r != "" {
			why = worse(why, r)
			continue
		}
		// One more request weighs more than the way to another failure domain.
		cost := float64(e.load(now, c.othersAt)) * 2
		if e.Domain != c.domain {
			cost++
		}
		if e.isAvoided(now) || e.State == registrar.Silent && e.failures > 0 {
			cost += 1e6 + float64(e.avoidTill.UnixMilli()%1e9)/1e6
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Choice{}, why
	}
	return c.take(now, best, 0, nil), ""
}

// worse prefers the reason that a caller can wait for.
func worse(a, b Reason) Reason {
	if reasonOrder(b) > reasonOrder(a) {
		return b
	}
	return a
}

func reasonOrder(r Reason) int {
	return slices.Index([]Reason{NoEndpoint, AllTried, AllAtCapacity, ColdRateExhausted}, r)
}

// sourceOf returns the endpoint that most likely caches the shared parts of the prompt: the first one in the order of
// its key that has been there for a while, whether it serves or not.
func (c *Chooser) sourceOf(now time.Time, q Query, p *pool) *endpoint {
	c.walk.Reset(p.ranks, affinity(q.Parts))
	for {
		i, ok := c.walk.Next()
		if !ok {
			return nil
		}
		if e := p.all[i]; now.Sub(e.since) >= settledAfter && e.failures == 0 {
			return e
		}
	}
}

func (c *Chooser) take(now time.Time, e *endpoint, rank int, source *endpoint) Choice {
	ch := Choice{Endpoint: e.Endpoint, Load: e.load(now, c.othersAt), ReportAge: -1, Rank: rank}
	if source != nil && source != e {
		ch.CacheSource = source.Address
	}
	if !e.reportedAt.IsZero() {
		ch.ReportAge = now.Sub(e.reportedAt)
	}
	e.inFlight++
	e.sent++
	if e.failRate > greyAt {
		e.probeAt = now.Add(greyProbe)
	}
	if now.Before(e.ColdUntil) {
		e.coldSent = append(e.coldSent, now)
	}
	return ch
}

// find returns the endpoint of a choice unless it has started again since.
func (c *Chooser) find(of registrar.Endpoint) *endpoint {
	e := c.byID[of.ID]
	if e == nil || e.Born != of.Born {
		return nil
	}
	return e
}

// Load is what this router knows of the requests at one endpoint.
type EndpointLoad struct {
	ID        string
	Service   string
	Load      int           // requests of all routers
	Reported  int           // requests running and waiting, as the endpoint said last
	ReportAge time.Duration // of the report, negative when there is none
	IsCold    bool
	ColdSent  int // own requests within the last second while it is cold
}

// Loads returns what is known of each endpoint that gets requests, in the order of services and ranks.
func (c *Chooser) Loads(now time.Time) (list []EndpointLoad) {
	for _, service := range slices.Sorted(maps.Keys(c.pools)) {
		for _, e := range c.pools[service].all {
			if !e.serves {
				continue
			}
			l := EndpointLoad{ID: e.ID, Service: service, Load: e.load(now, c.othersAt), Reported: e.reported, ReportAge: -1,
				IsCold: now.Before(e.ColdUntil)}
			if !e.reportedAt.IsZero() {
				l.ReportAge = now.Sub(e.reportedAt)
			}
			for _, at := range e.coldSent {
				if now.Sub(at) < coldWindow {
					l.ColdSent++
				}
			}
			list = append(list, l)
		}
	}
	return list
}

// InFlight returns the requests of this router by endpoint, to be told to the others.
func (c *Chooser) InFlight() map[string]int {
	c.told = map[string]int{}
	for id, e := range c.byID {
		if e.inFlight > 0 {
			c.told[id] = e.inFlight
		}
	}
	return c.told
}

// Total takes the requests of all routers by endpoint, with those that this router told.
func (c *Chooser) SetTotalInFlight(now time.Time, total map[string]int) {
	c.othersAt = now
	for id, e := range c.byID {
		e.others = max(0, total[id]-c.told[id])
	}
}

// Done ends a request that was counted by Choose.
func (c *Chooser) Done(of registrar.Endpoint) {
	if e := c.find(of); e != nil {
		e.inFlight = max(0, e.inFlight-1)
		e.sent = max(0, e.sent-1)
	}
}

// Reported takes the load that an endpoint stated in an answer.
func (c *Chooser) RecordLoad(now time.Time, of registrar.Endpoint, running, waiting int) {
	if e := c.find(of); e != nil {
		e.reported, e.reportedAt, e.sent = running+waiting, now, 0
	}
}

// Answered notes an answer; failed ones are errors of the endpoint itself.
func (c *Chooser) RecordResponse(of registrar.Endpoint, failed bool) {
	e := c.find(of)
	if e == nil {
		return
	}
	e.failures, e.avoidTill = 0, time.Time{}
	e.rate(failed)
}

func (e *endpoint) rate(failed bool) {
	e.failRate *= 1 - failureWeight
	if failed {
		e.failRate += failureWeight
	}
}

// Failed notes that an endpoint couldn't be reached or broke off; it is avoided for a while.
func (c *Chooser) RecordFailure(now time.Time, of registrar.Endpoint) (avoidTill time.Time) {
	e := c.find(of)
	if e == nil {
		return time.Time{}
	}
	e.rate(true)
	d := min(longestAvoid, firstAvoid<<min(e.failures, 8))
	e.failures++
	if till := now.Add(d); till.After(e.avoidTill) {
		e.avoidTill = till
	}
	return e.avoidTill
}

// Misdirected notes that another endpoint has the address; the record is of no use until it changes.
func (c *Chooser) RecordMisdirected(now time.Time, of registrar.Endpoint) {
	if e := c.find(of); e != nil {
		e.failures++
		e.avoidTill = now.Add(longestAvoid)
	}
}
