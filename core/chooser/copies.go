package chooser

import (
	"time"

	"cactusroute.dev/core/arranger"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// arrangeInterval is the time between two changes of the numbers of copies.
	arrangeInterval = 500 * time.Millisecond

	// minCopyTokens is the number of shared tokens from which a prompt is worth a copy: an engine reads fewer in less
	// time than it takes to begin a fetch.
	minCopyTokens = 256

	// readTokensPerSecond is how fast an engine is assumed to read a prompt; it delays the requests that it runs
	// meanwhile.
	readTokensPerSecond = 40_000

	// remoteFetchFactor is how many times as long a fetch from another failure domain takes.
	remoteFetchFactor = 2

	// copyLoadFraction is the part of the target of an endpoint's load that one part may take: the endpoint serves
	// others.
	copyLoadFraction = 0.5

	// minRanked is the number of endpoints of the ranking that may be the source of a fetch.
	minRanked = 4

	// copyDeviations is boundDeviations for the usual copies of a part.
	copyDeviations = 1.6

	// firstPreference is the preference of the first endpoint of the ranking over the second one with the same room:
	// what the others hold is used when the first one has little room, restarts or crashes.
	firstPreference = 10

	// joinTime is how long an endpoint that is new or has restarted receives a growing fraction of the requests for its
	// copies, from minJoinFraction on, so that it does not read or fetch all of them at once.
	joinTime        = 20 * time.Second
	minJoinFraction = 0.1
)

// copyState is what a router remembers of the copies of prompt parts at the endpoints of a service.
type copyState struct {
	arranger  *arranger.Arranger // nil until it is needed
	arrangeAt time.Time
	fetches   int // requests with a source to fetch the prompt from
	reads     int // requests for endpoints that are not known to hold the prompt, without a source
}

// rankedCopies are the first endpoints of the ranking of a prompt whose shared parts are worth copies.
type rankedCopies struct {
	order  []int // indexes of endpoints; the one picked for the prompt comes first, the others follow by rank
	copies int   // how many of them hold copies
	next   int   // index in order
	isHot  bool  // whether demand asks for more than the usual copies
}

// orderCopies puts the endpoints that chooseByAffinity considers first into c.ranked: those with copies of the
// prompt's shared parts, and further ones that may be the source of a fetch. One with room is picked at random, so
// that many routers with the same loads do not pick the same one. An absent endpoint keeps its place in the ranking:
// its copies are not moved for the time of a restart.
func (c *Chooser) orderCopies(now time.Time, q *Query, p *pool, load *poolLoad, f *forecast, priority float64,
	random *sequence) {
	r := &c.ranked
	*r = rankedCopies{order: r.order[:0]}
	if !c.policy.Copies || sharedTokens(q.Parts) < minCopyTokens {
		return
	}
	if p.copies.arranger == nil {
		p.copies.arranger = arranger.New(q.Service.Name)
	}
	r.copies, r.isHot = p.copies.arranger.Record(now, &c.ledger, affinityKey(q.Parts), q.Parts[len(q.Parts)-2].Tokens)
	if !now.Before(p.copies.arrangeAt) {
		p.copies.arrangeAt = now.Add(arrangeInterval)
		c.arrange(now, q.Service, p, load)
	}
	picked, total, isAdmitted := 0, 0.0, false
	for len(r.order) < max(r.copies, minRanked) || !isAdmitted {
		i, ok := c.iterator.Next()
		if !ok {
			break
		}
		r.order = append(r.order, i)
		e := p.endpoints[i]
		if isAdmitted && len(r.order) > r.copies || c.checkAdmission(now, *q, e) != "" || e.isAvoided(now) {
			continue
		}
		isAdmitted = true
		r.copies = max(r.copies, len(r.order))
		w := c.copyRoom(now, q, e, load, f, priority)
		if !r.isHot {
			if len(r.order) == 1 {
				w *= firstPreference
			}
			w *= w
		}
		total += w
		if w > 0 && random.next()*total < w {
			picked = len(r.order) - 1
		}
	}
	if picked > 0 {
		i := r.order[picked]
		copy(r.order[1:], r.order[:picked])
		r.order[0] = i
	}
}

// copyRoom returns the rate of requests for which an endpoint has room, less for a new one and for one in another
// failure domain.
func (c *Chooser) copyRoom(now time.Time, q *Query, e *endpoint, load *poolLoad, f *forecast,
	priority float64) float64 {
	n := float64(e.load(now, c.remoteAt)) + c.domainCost(now, e)
	target := f.copyTarget(c.admissionLimit(*q, e), load.loadBound, !c.ranked.isHot) * min(1, c.paceWeight(e))
	room := max(0, target-n)
	if !f.isExact {
		room = f.allowedRate(n, target)
	}
	joined := now.Sub(e.knownSince).Seconds() / joinTime.Seconds()
	return min(room, e.preferredRate(priority)) * min(1, max(minJoinFraction, joined))
}

// nextRanked returns the index of the next endpoint to consider for a prompt, and whether it holds one of the usual
// copies of the prompt's shared parts.
func (c *Chooser) nextRanked() (i int, isCopy, ok bool) {
	r := &c.ranked
	if r.next < len(r.order) {
		r.next++
		return r.order[r.next-1], !r.isHot && r.next <= r.copies, true
	}
	i, ok = c.iterator.Next()
	return i, false, ok
}

// copyTarget is target for an endpoint that may hold a copy of the prompt's shared parts. The margin below the load
// bound is smaller there: a prompt that it does not accept is read or fetched at an endpoint without a copy.
func (f *forecast) copyTarget(admissionLimit, loadBound float64, isCopy bool) float64 {
	if f.isExact || !isCopy {
		return f.target(admissionLimit, loadBound)
	}
	return min(slotFraction*admissionLimit, loadBelow(loadBound, copyDeviations))
}

// arrange updates the numbers of copies and logs the changes.
func (c *Chooser) arrange(now time.Time, s *planner.Service, p *pool, load *poolLoad) {
	inService := 0
	for _, e := range p.endpoints {
		if e.accepts(now) {
			inService++
		}
	}
	usual := p.copies.arranger.Summary().Usual
	changes := p.copies.arranger.Arrange(now, &c.ledger, arranger.Capacity{Routers: c.routers, Endpoints: inService,
		Tokens: float64(s.CacheTokens), PerCopy: max(1, copyLoadFraction*fillTarget(load.loadBound)), HoldTime: p.hold()})
	if after := p.copies.arranger.Summary().Usual; after != usual {
		c.addEvent("usual copies of prompt parts changed", "service", s.Name, "before", usual, "copies", after)
	}
	for _, change := range changes {
		c.addEvent("copies of a prompt part changed", "service", s.Name, "part", change.Part, "before", change.Before,
			"copies", change.After, "requestsPerSecond", change.PerSecond)
	}
}

// sharedTokens returns the tokens of a prompt without its last part, which is specific to the request or its session.
func sharedTokens(parts []PromptPart) (tokens int) {
	for _, part := range parts[:max(0, len(parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// sourceFor returns the endpoint from which e can fetch the shared parts of the prompt; nil if e is known to hold
// them, if reading them is as fast, or if no other endpoint is expected to hold them. A source that holds no more
// than e costs nothing.
func (c *Chooser) sourceFor(now time.Time, q *Query, p *pool, e *endpoint) *endpoint {
	if !c.policy.Copies {
		return c.cacheSource(now, *q, p)
	}
	tokens := sharedTokens(q.Parts)
	if tokens < minCopyTokens {
		return nil
	}
	source := c.holder(p, q)
	if source == e {
		return nil
	}
	if source == nil {
		source = c.rankedSource(now, p, e)
	}
	if source == nil || !fetchPays(q.Service, tokens, source.Domain == e.Domain) {
		p.copies.reads++
		return nil
	}
	p.copies.fetches++
	return source
}

// expectedHolder returns an endpoint that is expected to hold the shared parts of the prompt, or nil.
func (c *Chooser) expectedHolder(now time.Time, q *Query, p *pool) *endpoint {
	if h := c.holder(p, q); h != nil {
		return h
	}
	return c.rankedSource(now, p, nil)
}

// holder returns the endpoint that last answered a prompt with the shared parts to this router, if it can be a source.
func (c *Chooser) holder(p *pool, q *Query) *endpoint {
	if p.copies.arranger == nil {
		return nil
	}
	h := p.copies.arranger.Holder(affinityKey(q.Parts))
	if e := c.byID[h.ID]; e != nil && e.Born == h.Born && c.canBeSource(e) {
		return e
	}
	return nil
}

// rankedSource returns the endpoint that is expected to hold the prompt: the highest-ranked one other than e that has
// been known for cacheFillTime.
func (c *Chooser) rankedSource(now time.Time, p *pool, e *endpoint) *endpoint {
	for _, i := range c.ranked.order {
		if s := p.endpoints[i]; s != e && c.canBeSource(s) && now.Sub(s.knownSince) >= cacheFillTime {
			return s
		}
	}
	return nil
}

// canBeSource reports whether other endpoints may fetch from it, in or out of service.
func (c *Chooser) canBeSource(e *endpoint) bool {
	isPresent := e.State != registrar.Silent && e.State != registrar.Gone
	return e.consecutiveFailures == 0 && isPresent && !e.reach.IsSuspected() && c.isCacheSource(e)
}

// fetchSeconds returns how long an engine fetches cached tokens within its failure domain, 0 if its link is not known.
func fetchSeconds(s *planner.Service, tokens int) float64 {
	if s.LinkBitsPerSecond <= 0 {
		return 0
	}
	return float64(tokens) * float64(s.CacheTokenBytes) * 8 / s.LinkBitsPerSecond
}

// fetchPays reports whether an engine fetches the tokens, of which there are some, faster than it reads them.
func fetchPays(s *planner.Service, tokens int, isSameDomain bool) bool {
	seconds := fetchSeconds(s, tokens)
	if !isSameDomain {
		seconds *= remoteFetchFactor
	}
	return seconds < float64(tokens)/readTokensPerSecond
}

// RecordAnswered records that an endpoint has begun to answer the prompt, and holds its parts.
func (c *Chooser) RecordAnswered(target registrar.Endpoint, parts []PromptPart) {
	if p := c.pools[target.Service]; p != nil && p.copies.arranger != nil && len(parts) > 1 {
		p.copies.arranger.RecordAnswered(affinityKey(parts), arranger.Holder{ID: target.ID, Born: target.Born})
	}
}

// copyGauges returns the figures of the copies of prompt parts by service.
func (c *Chooser) copyGauges() (list []Gauge) {
	for service, p := range c.pools {
		if p.copies.arranger == nil || !c.policy.Copies {
			continue
		}
		s := p.copies.arranger.Summary()
		for _, g := range []struct {
			name  string
			value int
		}{
			{"parts", s.Parts}, {"usualCopies", s.Usual}, {"partsWithMoreCopies", s.Extended}, {"mostCopies", s.MaxCopies},
			{"fetches", p.copies.fetches}, {"expectedReads", p.copies.reads},
		} {
			list = append(list, Gauge{Decision: "copies", Name: g.name, Subject: service, Value: float64(g.value)})
		}
	}
	return list
}
