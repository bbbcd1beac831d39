package chooser

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/pacer"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
	"cactusroute.dev/core/summer"
	"cactusroute.dev/core/suspector"
)

const (
	// minAvoidance and maxAvoidance bound how long an unreachable endpoint is avoided; each consecutive failure doubles
	// the time. A restarted endpoint registers within one heartbeat, which ends the avoidance.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 4 * time.Second

	// failureRateWeight is the weight of the last response in the moving average; about ten responses show a change.
	failureRateWeight = 0.15

	// greyFailureRate is the failure rate above which an endpoint receives only probes. Services that normally fail a
	// seventh of their requests stay well below it.
	greyFailureRate = 0.45

	// greyProbeInterval is the minimum time between two probes of an endpoint above greyFailureRate.
	greyProbeInterval = 400 * time.Millisecond

	// reportTTL is how long a load reported by an endpoint is valid.
	reportTTL = 1500 * time.Millisecond

	// remoteLoadTTL is how long the loads of the other routers are valid; they arrive several times a second.
	remoteLoadTTL = time.Second

	// cacheFillTime is how long an endpoint must be known before it is assumed to cache the prompt parts for which it
	// ranks first. Most parts are requested within about ten seconds.
	cacheFillTime = 15 * time.Second

	// plainSlotFactor is the number of requests per slot of an endpoint that is not an engine: responses that take tens
	// of milliseconds are still on time after waiting for two others.
	plainSlotFactor = 3

	// minRouterLimit is the lowest limit on the requests of one router at an endpoint that is not an engine. Otherwise the
	// limit is twice the router's equal share, because the loads of the other routers are older than most
	// responses of such an endpoint take.
	minRouterLimit = 2

	// reservedFraction is the fraction of the admission limit that is closed to requests of the lowest priority, and in
	// proportion less to higher ones. The reservation does not apply to a fraction exemptFraction of all requests.
	reservedFraction = 0.3
	exemptFraction   = 0.35

	// busyFraction is the fraction of slots in use at which capacity is fully reserved by priority and for cached prompts.
	// The reservation begins busyRange below it: a threshold would make all routers change at the same time.
	busyFraction = 0.8
	busyRange    = 0.2

	// spillFraction is the fraction of its admission limit up to which an endpoint accepts prompts that are cached
	// elsewhere while the service is busy. Above it, computing prompts of other endpoints would slow down all endpoints.
	spillFraction = 0.6

	// coldRateFraction is the fraction of the allowed rate to a cold endpoint that is divided among the routers.
	coldRateFraction = 0.9

	// coldDeviations bounds the probability that too many routers are selected to send to a cold endpoint.
	coldDeviations = 3

	// coldWindow is the sliding window in which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// Limits bound the load of an endpoint, summed over all routers.
type Limits struct {
	ColdFactor float64 // allowed multiple of Service.ColdPerSecond
	ColdSlack  float64 // requests per second allowed in addition
	LoadFactor float64 // allowed multiple of the mean load of the service's endpoints
	LoadSlack  float64 // requests allowed in addition

	HeartbeatInterval time.Duration // of the endpoints

	Domains  DomainPrices
	Rollouts rollouter.Limits
}

// PromptPart is one segment of a prompt; only the last one is specific to the request or its session.
type PromptPart struct {
	ID     string
	Tokens int
}

// Query describes the request for which an endpoint is selected.
type Query struct {
	Service  *planner.Service
	Route    string
	Parts    []PromptPart
	Tried    []string // IDs of endpoints to exclude
	Random   float64  // uniform in [0, 1)
	Priority float64  // from 0 for the highest to 1 for the lowest
	// Workspace is empty for requests without one; Weight is its share weight.
	Workspace string
	Weight    float64
	// PromptTokens and OutputTokens are stated by the caller; 0 means unknown.
	PromptTokens, OutputTokens int
	Kind                       planner.Kind
	TargetAt                   time.Time // until which the response, or the first event of a stream, is on time
	Deadline                   time.Time
	// Version restricts the choice of a resumed stream to endpoints of the software version that began it.
	Version   string
	IsResumed bool
	// IsRepeat is set if an earlier call of Choose for the same request was not refused for its share.
	IsRepeat bool
	IsStale  bool    // the node may not know the latest state
	Waiter   *Waiter // place of the request in the queue; nil if it does not wait
}

// Reason states why no endpoint was selected; it is empty if one was.
type Reason string

// The reasons for which no endpoint is selected.
const (
	NoEndpoint        Reason = "the service has no endpoint in service"
	AllLeaving        Reason = "every endpoint has told that it leaves"
	NoVersion         Reason = "the service has no endpoint in service of the software version that began the stream"
	VersionUnknown    Reason = "the endpoints of the version that began the stream may have restarted in another version"
	AllQuiet          Reason = "every endpoint has asked for no requests for some time"
	AllTried          Reason = "every endpoint was already tried"
	ColdRateExhausted Reason = "the rate limit of cold endpoints is exhausted"
	AllAtCapacity     Reason = "every endpoint has as many requests as it can answer in time"
	RateLimited       Reason = "every endpoint gets as many requests per second as it takes"
)

// Choice is the endpoint selected for an attempt; its request counts as in flight until Done.
type Choice struct {
	Endpoint  registrar.Endpoint
	Load      int           // known requests in flight, before this one
	ReportAge time.Duration // of the endpoint's last load report, negative without one
	Rank      int           // position in the ranking for the prompt, from 0
	// CacheSource is the address from which the endpoint can fetch the cached shared parts of the prompt; empty if they
	// are expected at the endpoint itself or the source is unknown.
	CacheSource string
	At          time.Time // when it was selected
	// IsTrial is set if routers have failed to reach the endpoint: kept connections to it may be dead.
	IsTrial bool

	class int // of priority
	work  workClass
}

// endpoint is the state of one endpoint as known to this router.
type endpoint struct {
	registrar.Endpoint
	inFlight            int
	remoteInFlight      int     // requests of the other routers
	wanted              float64 // Load.Wanted of all routers, last reported
	reported            int     // requests running and waiting
	reportedAt          time.Time
	sentSinceReport     int       // requests of this router that the last report doesn't include
	inService           bool      // may receive new requests
	knownSince          time.Time // when this router learned of it
	consecutiveFailures int
	avoidUntil          time.Time
	failureRate         float64
	usualFailureRate    float64   // mean of the service; 0 without shares
	nextProbe           time.Time // earliest time of the next probe above greyFailureRate
	coldSent            []time.Time
	limit               rateLimit
	sent                []time.Time   // requests of this router within rateWindow
	remoteSent          int           // those of the other routers, while a limit is named
	limitedAttempts     decayingCount // requests considered for it while nothing is known of the other routers
	firstAttempts       []time.Time   // requests of this router for which it ranks first, within wantedWindow
	otherAttempts       decayingCount // those that endpoints of a higher rank did not accept
	processEnd          processEnd
	reach               suspector.Record
	said                *statement // nil unless it leaves or has asked for quiet
	newUntil            time.Time  // its version counts as new before; zero if it was known
	pace                pacer.Estimate
	weight              float64 // share of the requests relative to the mean; 0 until it is known
	isSlow              bool    // logged as slow
	rejections          int     // consecutive requests that it has rejected
	rejectsUntil        time.Time
}

// history is what a router remembers of its requests for a service.
type history struct {
	firstAt  time.Time     // of the first call of Choose
	attempts decayingCount // calls of Choose
	recent   decayingCount // calls of Choose, over growthWindow
	accepted decayingCount // those that selected an endpoint
	holdTime float64       // average duration of a request in seconds; 0 until one has ended
}

// hold returns the average duration of a request in seconds, or the assumed one.
func (h *history) hold() float64 {
	if h.holdTime <= 0 {
		return initialHoldTime.Seconds()
	}
	return h.holdTime
}

type pool struct {
	history
	work  work
	queue *queue // nil unless requests wait in the shared order

	copies    copyState
	members   *placer.Subset // all endpoints of the service, also those out of service
	endpoints []*endpoint    // by index in members
	slots     int            // of the endpoints in service
}

// Chooser selects endpoints by the state known to one router; it is not safe for concurrent use.
type Chooser struct {
	limits   Limits
	name     string // of this router
	domain   string // failure domain of this router
	routers  int
	byID     map[string]*endpoint
	pools    map[string]*pool
	iterator placer.MemberIterator

	policy planner.LoadPolicy
	ledger summer.Ledger // named sums over all routers
	shares map[string]*serviceShares
	// isDivided is set while the service of the present request is divided by shares, which replace the reservation.
	isDivided bool

	domains     map[string]*serviceDomains // by service
	destination destination                // of the request for which Choose selects

	reachKeys map[string]bool // of ledger, set by publishReach

	sumsDropped   int     // keys left out of messages
	events        []Event // not yet taken
	droppedEvents int

	statements map[string]*statement // by endpoint ID
	ended      []EndedStatement      // since the last call of EndedStatements

	candidates []candidate // buffer of chooseByAffinity and chooseByLoad
	ranked     rankedCopies

	remoteAt       time.Time     // when the loads of the other routers were received
	reportInterval time.Duration // average time between two receipts
	published      Loads         // last result of OwnLoads
	restartedAt    time.Time     // when this router lost its counts; zero if it had none

	gates         map[string]*gate           // by service, of the last rollout of each
	gate          *gate                      // of the request in question, nil without a rollout
	rolloutsIndex uint64                     // of the state with the rollouts
	versions      map[knownVersion]time.Time // when they appeared; zero if they were there before
}

// New returns a chooser without endpoints for the named router in a failure domain.
func New(limits Limits, name, domain string) *Chooser {
	return &Chooser{limits: limits, name: name, domain: domain, routers: 1, byID: map[string]*endpoint{},
		pools: map[string]*pool{}, statements: map[string]*statement{}, reachKeys: map[string]bool{}}
}

// SetPolicy sets the decisions under load that are in force.
func (c *Chooser) SetPolicy(p planner.LoadPolicy) {
	if p != c.policy {
		c.addEvent("decisions under load changed", "shares", p.Shares, "pace", p.Pace, "queues", p.Queues,
			"domains", p.Domains, "copies", p.Copies, "reachable", p.Reachable)
	}
	c.policy = p
	if !p.Reachable {
		c.resetReach()
	}
	if p == (planner.LoadPolicy{}) {
		c.ledger.Clear() // values that nobody updates would stay in the sums of all routers
	}
}

// OwnSums returns the named sums of this router, to be published to the other routers; nil if there are none.
func (c *Chooser) OwnSums() summer.Sums { return c.ledger.Publish() }

// SetTotalSums sets the named sums over all routers; they include the last result of OwnSums.
func (c *Chooser) SetTotalSums(now time.Time, total summer.Sums) {
	c.ledger.SetTotal(now, total)
	c.readShares(now)
	c.updateReach(now, total)
}

// RecordRestart records that an earlier process of this router may have sent requests that this one does not know.
func (c *Chooser) RecordRestart(now time.Time) { c.restartedAt = now }

// Update replaces the endpoints; it retains the state of an endpoint unless its start time or address has changed.
// Endpoints out of service are ranked but receive no new requests.
func (c *Chooser) Update(now time.Time, inService, outOfService []registrar.Endpoint, routers int) {
	c.routers = max(1, routers)
	old := c.byID
	c.byID = make(map[string]*endpoint, len(inService)+len(outOfService))
	membersByService := map[string][]placer.Endpoint{}
	for i := range len(inService) + len(outOfService) {
		var e *registrar.Endpoint
		if i < len(inService) {
			e = &inService[i]
		} else {
			e = &outOfService[i-len(inService)]
		}
		known := old[e.ID]
		if known == nil || known.Born != e.Born || known.Address != e.Address {
			known = &endpoint{knownSince: now}
			if len(old) == 0 {
				known.knownSince = time.Time{} // was present before this router
			}
		}
		if known.State == registrar.Silent && e.State == registrar.Ready {
			known.extendProcessEnd(now, c.limits.HeartbeatInterval)
		}
		known.Endpoint, known.inService = *e, i < len(inService)
		c.byID[e.ID] = known
		membersByService[e.Service] = append(membersByService[e.Service], placer.Endpoint{Name: e.ID})
	}
	c.updateStatements(now)
	oldPools := c.pools
	c.pools = make(map[string]*pool, len(membersByService))
	for service, members := range membersByService {
		memberPool := placer.NewPool(members)
		p := &pool{}
		if known := oldPools[service]; known != nil {
			p.history, p.work, p.queue, p.copies = known.history, known.work, known.queue, known.copies
		}
		p.members = memberPool.All()
		p.endpoints = make([]*endpoint, 0, memberPool.Len())
		for i := range memberPool.Len() {
			e := c.byID[memberPool.Name(i)]
			p.endpoints = append(p.endpoints, e)
			if e.inService {
				p.slots += max(0, e.Slots)
			}
		}
		c.pools[service] = p
	}
	for service, p := range oldPools {
		if c.pools[service] == nil {
			c.dropQueue(p)
		}
	}
}

// Withdraw takes endpoints that drain or are gone out of service, before an Update that may follow later: one over
// thousands of endpoints for each of hundreds that leave would take all the time of a small processor.
func (c *Chooser) Withdraw(list []registrar.Endpoint) {
	for i := range list {
		e := c.byID[list[i].ID]
		if s := list[i].State; e == nil || s != registrar.Draining && s != registrar.Gone || e.Born > list[i].Born {
			continue
		}
		if e.inService {
			e.inService = false
			c.pools[e.Service].slots -= max(0, e.Slots)
		}
		if e.Born == list[i].Born {
			e.State = list[i].State
		}
	}
}

// SetRouters sets the number of routers.
func (c *Chooser) SetRouters(n int) { c.routers = max(1, n) }

// load returns the known requests at the endpoint: those of all routers or, without recent loads of the other routers,
// an estimate from the endpoint's last report.
func (e *endpoint) load(now time.Time, remoteAt time.Time) int {
	if now.Sub(remoteAt) <= remoteLoadTTL {
		return e.inFlight + e.remoteInFlight
	}
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportTTL {
		return e.inFlight
	}
	return max(e.inFlight, e.reported+e.sentSinceReport)
}

// isAvoided reports whether other endpoints are preferred because this one failed.
func (e *endpoint) isAvoided(now time.Time) bool {
	return now.Before(e.avoidUntil) || e.failureRate > e.greyRate() && now.Before(e.nextProbe) ||
		e.reach.IsAvoided(now)
}

// Choose selects an endpoint and counts the request as in flight there.
func (c *Chooser) Choose(now time.Time, q Query) (Choice, Reason) {
	p := c.pools[q.Service.Name]
	if p == nil || len(p.endpoints) == 0 {
		return Choice{}, NoEndpoint
	}
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	if c.policy.Shares {
		if reason := c.admitShare(now, &q, p); reason != "" {
			return Choice{}, reason
		}
	}
	if q.Waiter == nil || !q.Waiter.HasJoined {
		p.attempts.add(now, demandWindow)
		p.recent.add(now, growthWindow)
	}
	c.prepareGate(now, &q)
	var choice Choice
	var reason Reason
	switch {
	case q.Service.Engine && len(q.Parts) > 0:
		choice, reason = c.chooseByAffinity(now, q, p)
	case c.isQueued(q.Service, p):
		choice, reason = c.chooseInTurn(now, q, p)
	default:
		choice, reason = c.chooseByLoad(now, q, p)
	}
	if reason == "" {
		c.countVersion(now, &q, &choice.Endpoint)
		choice.work = classOf(&q, choice.Rank)
		p.accepted.add(now, demandWindow)
		c.recordArrival(now, &q, &choice)
	}
	if c.policy.Shares {
		choice.class = c.recordAdmitted(now, &q, reason)
	}
	return choice, reason
}

// checkAdmission returns the reason why the endpoint can't receive the request at any load, or "" if it can.
func (c *Chooser) checkAdmission(now time.Time, q Query, e *endpoint) Reason {
	said := e.said.refusal(now)
	if said == AllLeaving {
		return said
	}
	if !e.inService {
		return NoEndpoint
	}
	if q.isOtherVersion(e) {
		return NoVersion
	}
	if c.isHeld(now, &q, e) {
		return VersionHeld
	}
	if said != "" {
		return said
	}
	if q.IsResumed && q.Version != "" && !e.isVersionKnown(now) {
		return VersionUnknown
	}
	for _, id := range q.Tried {
		if id == e.ID {
			return AllTried
		}
	}
	if q.Service.MaxConnections > 0 && e.inFlight >= max(1, q.Service.MaxConnections/c.routers) {
		return AllAtCapacity
	}
	if !c.isWithinColdRate(now, q.Service, e) {
		return ColdRateExhausted
	}
	if e.Slots > 0 && !q.Service.Engine && e.inFlight >= c.routerLimit(now, c.pools[q.Service.Name], e) ||
		c.policy.Queues && now.Before(e.rejectsUntil) {
		return AllAtCapacity
	}
	return ""
}

// isOtherVersion reports whether the endpoint can't continue the stream.
func (q *Query) isOtherVersion(e *endpoint) bool { return q.IsResumed && e.Version != q.Version }

// NamesVersions reports whether endpoints of one of the services name a software version, or none is known.
func (c *Chooser) NamesVersions(services []string) bool {
	known := false
	for _, service := range services {
		p := c.pools[service]
		if p == nil {
			continue
		}
		for _, e := range p.endpoints {
			if e.Version != "" {
				return true
			}
			known = true
		}
	}
	return !known
}

// poolLoad is the load of a pool as known to this router.
type poolLoad struct {
	total     int     // requests in flight at all endpoints
	busy      float64 // from 0 to 1, the part of the reservations that applies
	loadBound float64 // the load that an endpoint should not exceed
}

func (c *Chooser) poolLoad(now time.Time, q *Query, p *pool) (l poolLoad) {
	inService, slots := 0, 0
	for _, e := range p.endpoints {
		n := e.load(now, c.remoteAt)
		l.total += n
		if e.accepts(now) && !c.isHeld(now, q, e) {
			inService += n
			slots += e.Slots
		}
	}
	if slots > 0 {
		l.busy = min(1, max(0, 1-(busyFraction-float64(inService)/float64(slots))/busyRange))
	}
	mean := float64(l.total) / float64(len(p.endpoints)) // also of those out of service
	l.loadBound = c.limits.LoadFactor*mean + c.limits.LoadSlack
	c.weigh(now, p, l)
	return l
}

// admissionLimit returns the load up to which the endpoint accepts the request, so that accepted requests are answered
// in time. A fraction is reserved by priority, except for some requests, so that no priority starves.
func (c *Chooser) admissionLimit(q Query, e *endpoint) float64 {
	slots := float64(e.Slots)
	if e.Slots <= 0 {
		return math.Inf(1)
	}
	if !q.Service.Engine {
		slots *= plainSlotFactor
	}
	reserved := reservedFraction * q.Priority
	if isExemptFromReserve(q.Random) || c.isDivided {
		reserved = 0
	}
	return slots * (1 - reserved)
}

// isExemptFromReserve reports whether the reservation by priority does not apply to a request. It uses the lower digits
// of the random number, so that the exemption does not correlate with the randomized limit.
func isExemptFromReserve(random float64) bool {
	_, digits := math.Modf(random * 100)
	return digits < exemptFraction
}

// isWithinColdRate limits the requests to a cold endpoint in any second, summed over all routers. If there are more
// routers than allowed requests, only some routers, selected by hash, may send.
func (c *Chooser) isWithinColdRate(now time.Time, s *planner.Service, e *endpoint) bool {
	if s.ColdPerSecond <= 0 || !now.Before(e.ColdUntil) {
		return true
	}
	allowed := coldRateFraction * (s.ColdPerSecond*c.limits.ColdFactor + c.limits.ColdSlack)
	quota := int(allowed / float64(c.routers))
	if quota == 0 {
		h := uint64(placer.KeyOf(c.name, e.ID))
		if float64(h>>11)/(1<<53) >= sampledFraction(allowed, float64(c.routers)) {
			return false
		}
		quota = 1
	}
	if now.Sub(c.restartedAt) < coldWindow {
		return false // the process before may have sent the quota
	}
	e.coldSent = recent(e.coldSent, now, coldWindow)
	return len(e.coldSent) < quota
}

// recent removes the times before the window.
func recent(times []time.Time, now time.Time, window time.Duration) []time.Time {
	kept := times[:0]
	for _, at := range times {
		if now.Sub(at) < window {
			kept = append(kept, at)
		}
	}
	return kept
}

// sampledFraction returns the fraction of n routers of which at most the allowed number is selected, if each is
// selected independently: the expected number is coldDeviations standard deviations below it.
func sampledFraction(allowed, n float64) float64 {
	// Solves expected + coldDeviations*sqrt(expected*(1-expected/n)) = allowed.
	const variance = coldDeviations * coldDeviations
	a, b := 1+variance/n, 2*allowed+variance
	expected := (b - math.Sqrt(max(0, b*b-4*a*allowed*allowed))) / (2 * a)
	return expected / n
}

// chooseByAffinity selects the highest-ranked endpoint with room for the prompt's shared part. The ranking is the same
// at all routers, so that requests with the same part go to the endpoint that caches it. Each router uses only its part
// of the room that the last reports showed.
func (c *Chooser) chooseByAffinity(now time.Time, q Query, p *pool) (Choice, Reason) {
	load := c.poolLoad(now, &q, p)
	f := c.newForecast(now, p, load.total)
	reason := NoEndpoint
	c.setDestination(now, &q, load, &f)
	priority := q.Priority
	q.Priority *= load.busy
	random := newSequence(q.Random)
	var avoided *endpoint
	avoidedRank := 0
	c.candidates = c.candidates[:0]
	var source *endpoint
	if c.policy.Domains && !c.policy.Copies {
		source = c.cacheSource(now, q, p)
	}
	c.iterator.Reset(p.members, affinityKey(q.Parts))
	c.orderCopies(now, &q, p, &load, &f, priority, &random)
	if c.policy.Domains && c.policy.Copies {
		source = c.expectedHolder(now, &q, p)
	}
	for rank := 0; ; {
		i, isCopy, ok := c.nextRanked()
		if !ok {
			break
		}
		e := p.endpoints[i]
		if e.accepts(now) && !q.isOtherVersion(e) && !c.isHeld(now, &q, e) {
			rank++
		}
		if r := c.checkAdmission(now, q, e); r != "" {
			reason = preferReason(reason, r)
			continue
		}
		if e.isAvoided(now) {
			if avoided == nil || e.avoidUntil.Before(avoided.avoidUntil) {
				avoided, avoidedRank = e, rank-1
			}
			continue
		}
		limit := c.admissionLimit(q, e)
		n := float64(e.load(now, c.remoteAt))
		isFirst := rank == 1
		target := f.copyTarget(limit, load.loadBound, isCopy) * min(1, c.paceWeight(e))
		if !isFirst {
			target *= 1 - load.busy*(1-spillFraction)
		}
		accepted := 0.0
		if isFirst {
			accepted = f.acceptFirst(n, target, e.wanted, e.preferredRate(priority))
			e.firstAttempts = append(recent(e.firstAttempts, now, wantedWindow), now)
		} else {
			accepted = f.acceptOther(n, target, e.wanted, e.otherAttempts.get(now, demandWindow), e.preferredRate(priority))
			e.otherAttempts.add(now, demandWindow)
		}
		if f.isExact {
			accepted *= c.shareOfRate(now, e, priority)
		}
		if random.next() < accepted && c.hasRateRoom(now, e) {
			return c.assign(now, e, rank-1, c.sourceFor(now, &q, p, e)), ""
		}
		if e.limit.isNamed {
			reason = preferReason(reason, RateLimited)
			continue
		}
		if n+1 <= limit {
			c.candidates = append(c.candidates, candidate{endpoint: e, rank: rank - 1, limit: math.Inf(1), weight: 1,
				maxRate: math.Inf(1), load: n + c.affinityDomainCost(now, &q, e, source)})
		}
		reason = preferReason(reason, AllAtCapacity)
	}
	switch {
	case len(c.candidates) > 0 && random.next() >= load.busy:
		// The expected requests exceed the targets of the loads, but not the slots.
		if picked := pickByRoom(&f, c.candidates, random.next()); picked != nil {
			return c.assign(now, picked.endpoint, picked.rank, c.sourceFor(now, &q, p, picked.endpoint)), ""
		}
	case avoided != nil && reason != AllAtCapacity:
		return c.assign(now, avoided, avoidedRank, c.sourceFor(now, &q, p, avoided)), ""
	}
	return Choice{}, reason
}

// affinityKey returns the key of the last part that other requests share: the last but one, or the only one.
func affinityKey(parts []PromptPart) placer.Key {
	return placer.KeyOf(parts[max(0, len(parts)-2)].ID)
}

// chooseByLoad selects an endpoint with a low load, preferably in the router's own failure domain. The routers spread
// the requests that they expect from all of them, so that the loads are equal when the next reports arrive.
func (c *Chooser) chooseByLoad(now time.Time, q Query, p *pool) (Choice, Reason) {
	load := c.poolLoad(now, &q, p)
	f := c.newForecast(now, p, load.total)
	f.rate *= c.setDestination(now, &q, load, &f)
	priority := q.Priority
	q.Priority *= load.busy
	random := newSequence(q.Random)
	reason := NoEndpoint
	var best *endpoint
	bestCost := math.Inf(1)
	c.candidates = c.candidates[:0]
	for _, e := range p.endpoints {
		if r := c.checkAdmission(now, q, e); r != "" {
			reason = preferReason(reason, r)
			continue
		}
		n := float64(e.load(now, c.remoteAt))
		limit := min(c.admissionLimit(q, e), c.timelyLimit(now, &q, p, e), p.queue.slotLimit(e))
		if f.isExact && n+1 > limit {
			reason = preferReason(reason, AllAtCapacity)
			continue
		}
		if !c.hasRateRoom(now, e) || f.isExact && random.next() >= c.shareOfRate(now, e, priority) {
			reason = preferReason(reason, RateLimited)
			continue
		}
		isAvoided := e.isAvoided(now) || e.State == registrar.Silent && e.consecutiveFailures > 0
		weight, distance := c.paceWeight(e), c.domainCost(now, e)-c.trialBonus(e)
		cost := c.loadCost(n, weight) + distance
		if !isAvoided && !f.isExact {
			load, bound := c.withDomainCost(&f, n, limit, distance)
			c.candidates = append(c.candidates, candidate{endpoint: e, load: load, weight: weight, limit: bound,
				maxRate: min(e.preferredRate(priority), c.settlingRate(now, p, e, n, limit))})
		}
		if isAvoided {
			cost += 1e6 + float64(e.avoidUntil.UnixMilli()%1e9)/1e6
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if len(c.candidates) > 0 {
		picked := pickByRoom(&f, c.candidates, q.Random)
		for i := range c.candidates {
			if l := &c.candidates[i]; l.rate >= l.maxRate {
				l.endpoint.limit.heldAt = now
			}
		}
		if picked == nil {
			return Choice{}, AllAtCapacity
		}
		best = picked.endpoint
	}
	if best == nil {
		return Choice{}, reason
	}
	return c.assign(now, best, 0, nil), ""
}

// preferReason returns the reason that is more likely to pass while the caller waits.
func preferReason(a, b Reason) Reason {
	if reasonPrecedence(b) > reasonPrecedence(a) {
		return b
	}
	return a
}

func reasonPrecedence(r Reason) int {
	return slices.Index([]Reason{NoEndpoint, AllLeaving, NoVersion, VersionUnknown, VersionHeld, AllQuiet,
		AllTried, RateLimited, AllAtCapacity, ColdRateExhausted}, r)
}

// cacheSource returns the endpoint that is expected to cache the shared parts of the prompt: the highest-ranked one
// that has been known for cacheFillTime and neither has failed nor is suspected by others, in or out of service. It
// returns nil if there is none.
func (c *Chooser) cacheSource(now time.Time, q Query, p *pool) *endpoint {
	c.iterator.Reset(p.members, affinityKey(q.Parts))
	for {
		i, ok := c.iterator.Next()
		if !ok {
			return nil
		}
		if e := p.endpoints[i]; now.Sub(e.knownSince) >= cacheFillTime && e.consecutiveFailures == 0 &&
			c.isCacheSource(e) && !e.reach.IsSuspected() {
			return e
		}
	}
}

func (c *Chooser) assign(now time.Time, e *endpoint, rank int, source *endpoint) Choice {
	choice := Choice{Endpoint: e.Endpoint, Load: e.load(now, c.remoteAt), ReportAge: -1, Rank: rank, At: now,
		IsTrial: e.reach.IsUnreachable()}
	if source != nil && source != e {
		choice.CacheSource = source.Address
	}
	if !e.reportedAt.IsZero() {
		choice.ReportAge = now.Sub(e.reportedAt)
	}
	e.inFlight++
	e.sentSinceReport++
	e.sent = append(recent(e.sent, now, rateWindow), now)
	if e.failureRate > greyFailureRate {
		e.nextProbe = now.Add(greyProbeInterval)
	}
	if now.Before(e.ColdUntil) {
		e.coldSent = append(e.coldSent, now)
	}
	return choice
}

// lookup returns the state of an endpoint, or nil if the endpoint has left or restarted.
func (c *Chooser) lookup(target registrar.Endpoint) *endpoint {
	e := c.byID[target.ID]
	if e == nil || e.Born != target.Born {
		return nil
	}
	return e
}

// EndpointLoad is the load of one endpoint as known to this router.
type EndpointLoad struct {
	ID        string
	Service   string
	Load      int           // known requests in flight, of all routers
	Reported  int           // requests running and waiting in the endpoint's last report
	ReportAge time.Duration // negative without a report
	IsCold    bool
	ColdSent  int     // requests of this router within the last second, sent while the endpoint was cold
	RateLimit float64 // requests per second that the endpoint has named, negative without a limit
	Sent      int     // requests of this router within rateWindow
}

// Loads returns the load of each endpoint in service, sorted by service and endpoint ID.
func (c *Chooser) Loads(now time.Time) (list []EndpointLoad) {
	for _, service := range slices.Sorted(maps.Keys(c.pools)) {
		for _, e := range c.pools[service].endpoints {
			if !e.inService {
				continue
			}
			l := EndpointLoad{ID: e.ID, Service: service, Load: e.load(now, c.remoteAt), Reported: e.reported, ReportAge: -1,
				IsCold: now.Before(e.ColdUntil), RateLimit: -1}
			if e.limit.isNamed {
				l.RateLimit = e.limit.perSecond
			}
			e.sent = recent(e.sent, now, rateWindow)
			l.Sent = len(e.sent)
			if !e.reportedAt.IsZero() {
				l.ReportAge = now.Sub(e.reportedAt)
			}
			e.coldSent = recent(e.coldSent, now, coldWindow)
			l.ColdSent = len(e.coldSent)
			list = append(list, l)
		}
	}
	return list
}

// Load is what routers tell each other about an endpoint.
type Load struct {
	Requests int // in flight
	// Wanted is the number of requests within wantedWindow for which the endpoint ranks first, including those that it did
	// not receive.
	Wanted float64
	Rate   RateLoad // zero for an endpoint that has named no rate limit
}

// Loads holds the load of endpoints by ID.
type Loads map[string]Load

// Add adds other loads.
func (l Loads) Add(other Loads) {
	for id, n := range other {
		sum := l[id]
		l[id] = Load{Requests: sum.Requests + n.Requests, Wanted: sum.Wanted + n.Wanted, Rate: sum.Rate.merge(n.Rate)}
	}
}

// OwnLoads returns the load of each endpoint by this router, to be published to the other routers.
func (c *Chooser) OwnLoads(now time.Time) Loads {
	c.decideDomains(now)
	c.publishQueues(now)
	c.published = Loads{}
	c.refreshShares(now)
	for e := range c.all() {
		if e.inFlight == 0 && len(e.firstAttempts) == 0 && e.limit.observedAt.IsZero() {
			continue // by far the most in a large fleet
		}
		e.firstAttempts = recent(e.firstAttempts, now, wantedWindow)
		l := Load{Requests: e.inFlight, Wanted: float64(len(e.firstAttempts)), Rate: e.rateLoad(now)}
		if l != (Load{}) {
			c.published[e.ID] = l
		}
	}
	return c.published
}

// SetTotalLoads sets the load of each endpoint by all routers; it includes the last result of OwnLoads.
func (c *Chooser) SetTotalLoads(now time.Time, total Loads) {
	switch interval := now.Sub(c.remoteAt); {
	case interval > remoteLoadTTL:
	case c.reportInterval == 0:
		c.reportInterval = interval
	default:
		c.reportInterval += time.Duration(reportIntervalWeight * float64(interval-c.reportInterval))
	}
	c.remoteAt = now
	for e := range c.all() {
		if e.remoteInFlight == 0 && e.wanted == 0 && e.remoteSent == 0 && !e.limit.isNamed {
			continue // by far the most in a large fleet
		}
		if _, ok := total[e.ID]; !ok {
			e.remoteInFlight, e.wanted = 0, 0
			e.setRemoteRate(now, RateLoad{}, RateLoad{})
		}
	}
	for id, l := range total {
		if e := c.byID[id]; e != nil {
			own := c.published[id]
			e.remoteInFlight = max(0, l.Requests-own.Requests)
			e.wanted = l.Wanted
			e.setRemoteRate(now, l.Rate, own.Rate)
		}
	}
}

// all yields all endpoints, in less time than byID does.
func (c *Chooser) all() iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, p := range c.pools {
			for _, e := range p.endpoints {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// Done ends a request that Choose has counted.
func (c *Chooser) Done(now time.Time, choice Choice) {
	c.recordDomainTime(now, &choice)
	if p := c.pools[choice.Endpoint.Service]; p != nil {
		d := now.Sub(choice.At).Seconds()
		if p.holdTime == 0 {
			p.holdTime = d
		}
		p.holdTime += holdTimeWeight * (d - p.holdTime)
		c.recordHold(&choice, d)
	}
	if e := c.lookup(choice.Endpoint); e != nil {
		e.inFlight = max(0, e.inFlight-1)
		e.sentSinceReport = max(0, e.sentSinceReport-1)
	}
}

// LoadReport is what an endpoint says of its load in a response.
type LoadReport struct {
	Running, Waiting int // requests
	// Pace is how long work takes at the endpoint now, relative to its usual time; 0 if the endpoint does not tell.
	Pace float64
}

// RecordLoad records the load that an endpoint reported in a response.
func (c *Chooser) RecordLoad(now time.Time, target registrar.Endpoint, r LoadReport) {
	if e := c.lookup(target); e != nil {
		e.reported, e.reportedAt, e.sentSinceReport = r.Running+r.Waiting, now, 0
	}
	c.recordPace(now, target, r.Pace)
}

// RecordResponse records a response; failed means an error of the endpoint itself.
func (c *Chooser) RecordResponse(target registrar.Endpoint, failed bool) {
	e := c.lookup(target)
	if e == nil {
		return
	}
	e.consecutiveFailures, e.avoidUntil = 0, time.Time{}
	e.rejections, e.rejectsUntil = 0, time.Time{}
	e.updateFailureRate(failed)
}

func (e *endpoint) updateFailureRate(failed bool) {
	e.failureRate *= 1 - failureRateWeight
	if failed {
		e.failureRate += failureRateWeight
	}
}

// RecordFailure records that an endpoint was unreachable or aborted a response, and returns until when it is avoided.
func (c *Chooser) RecordFailure(now time.Time, target registrar.Endpoint) (avoidUntil time.Time) {
	e := c.lookup(target)
	if e == nil {
		return time.Time{}
	}
	e.updateFailureRate(true)
	d := min(maxAvoidance, minAvoidance<<min(e.consecutiveFailures, 8))
	e.consecutiveFailures++
	if until := now.Add(d); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
	return e.avoidUntil
}

// RecordMisdirected records that the address belongs to another endpoint; the recorded one is avoided for maxAvoidance
// or until its record changes.
func (c *Chooser) RecordMisdirected(now time.Time, target registrar.Endpoint) {
	if e := c.lookup(target); e != nil {
		e.consecutiveFailures++
		e.avoidUntil = now.Add(maxAvoidance)
	}
}
