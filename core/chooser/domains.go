package chooser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/spiller"
)

const (
	// remoteDomainCost is the number of requests to which another failure domain is equivalent while nothing is known of
	// the demand of the domains.
	remoteDomainCost = 0.5

	// domainInterval is the time between two decisions about a service; sums are published as often.
	domainInterval = 200 * time.Millisecond

	// minTimedRequests and minTimedAtHome are the numbers of requests from which their times say that a path between two
	// domains is slow, and how fast the endpoints of a domain are.
	minTimedRequests = 10
	minTimedAtHome   = 30

	// slowPathFactor is the multiple of the time within the destination above which a path between domains counts as
	// impaired. Below it, the difference may come from the kinds of requests that leave.
	slowPathFactor = 1.5

	// maxSpeedFactor bounds how much faster or slower than the mean the endpoints of a domain are taken to be.
	maxSpeedFactor = 2

	// domainAverageWeight is the weight of the last request in the averages of price and weight.
	domainAverageWeight = 0.05

	// headBytes, promptTokenBytes and outputTokenBytes estimate the sizes of requests and responses. Events of a stream
	// carry a few tokens each, with their framing.
	headBytes        = 2048 // of a request and its response, with a short body
	promptTokenBytes = 4
	outputTokenBytes = 25

	// The scales of published sums, whose smallest difference is an eighth.
	workScale, rateScale, priceScale, shareScale = 1000, 100, 10, 1000

	// minLoggedChange is the change of the share of requests that leave a domain from which it is logged, and
	// minLogInterval the time between two such lines for a service.
	minLoggedChange = 0.1
	minLogInterval  = time.Second

	// sharedUse is the use of all slots by the expected requests from which those of all domains compete for the same
	// room, completely so sharedUseRange above it.
	sharedUse, sharedUseRange = 0.9, 0.15

	// minRemaining bounds a division by forecast.remaining, which may be 0.
	minRemaining = 1e-300

	// destinationSalt separates the draw of a destination from the other draws for a request.
	destinationSalt = 0x5bd1e9955bd1e995
)

// DomainPrices state what a request costs that leaves its failure domain.
type DomainPrices struct {
	RoundTripMillis float64 `json:"roundTripMillis"` // between two domains
	// MegabyteMillis is the number of milliseconds of a caller's wait to which a megabyte between domains is equivalent.
	MegabyteMillis float64 `json:"megabyteMillis"`
}

// timeSum is the total duration of some requests and their number, over demandWindow.
type timeSum struct{ seconds, requests decayingCount }

// serviceDomains is what a router knows of the failure domains of one service.
type serviceDomains struct {
	firstAt     time.Time
	arrivals    decayingCount // requests of this router, over growthWindow
	holdSeconds float64       // average duration of the requests that found a free slot
	priceMillis float64       // average price of leaving
	meanWeight  float64       // average of priceMillis divided by the price of a request
	times       map[string]*timeSum
	sentBytes   map[string]float64 // to each other domain, estimated

	decidedAt time.Time
	isKnown   bool // the domains below are recent
	domains   []spiller.Domain
	service   spiller.Service
	decider   spiller.Decider

	loggedShare float64
	loggedAt    time.Time
	keys        []string // set in the ledger
}

// destination is the failure domain to which the present request should go.
type destination struct {
	isKnown bool
	domain  string
	price   float64 // of leaving the destination, in requests
	level   float64 // load of endpoints up to which the destination is preferred
	// remaining is forecast.remaining, or 1 if the loads are exact.
	remaining float64
	perSecond float64 // requests per second that an endpoint ends with all slots in use
	maxLevel  float64 // bounds level plus delays, within the load bound
	domains   []spiller.Domain
	delays    []float64 // extra seconds to each of the domains
}

func (c *Chooser) serviceDomains(service string) *serviceDomains {
	s := c.domains[service]
	if s == nil {
		if c.domains == nil {
			c.domains = map[string]*serviceDomains{}
		}
		s = &serviceDomains{meanWeight: 1, times: map[string]*timeSum{}, sentBytes: map[string]float64{}}
		c.domains[service] = s
	}
	return s
}

// transferBytes estimates the bytes of the request and its response.
func (q *Query) transferBytes() float64 {
	prompt := 0
	for i := range q.Parts {
		prompt += q.Parts[i].Tokens
	}
	return headBytes + promptTokenBytes*float64(max(prompt, q.PromptTokens)) + outputTokenBytes*float64(q.OutputTokens)
}

// leavingMillis returns the waiting time to which it is equivalent that the request leaves its domain.
func (c *Chooser) leavingMillis(q *Query) float64 {
	p := &c.limits.Domains
	return p.RoundTripMillis + p.MegabyteMillis*q.transferBytes()/1e6
}

// recordArrival counts a request that was sent. Refused ones are not counted: they are tried again every few
// milliseconds, and a domain whose endpoints refuse has a backlog and full slots already.
func (c *Chooser) recordArrival(now time.Time, q *Query, choice *Choice) {
	if !c.policy.Domains {
		return
	}
	s := c.serviceDomains(q.Service.Name)
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	s.arrivals.add(now, growthWindow)
	price := c.leavingMillis(q)
	if s.priceMillis == 0 {
		s.priceMillis = price
	}
	s.priceMillis += domainAverageWeight * (price - s.priceMillis)
	if price > 0 {
		s.meanWeight += domainAverageWeight * (s.priceMillis/price - s.meanWeight)
	}
	if choice.Endpoint.Domain != c.domain {
		s.sentBytes[choice.Endpoint.Domain] += q.transferBytes()
	}
}

// recordDomainTime records the duration of a request that found a free slot.
func (c *Chooser) recordDomainTime(now time.Time, choice *Choice) {
	if !c.policy.Domains || choice.Load >= choice.Endpoint.Slots {
		return
	}
	s := c.serviceDomains(choice.Endpoint.Service)
	seconds := now.Sub(choice.At).Seconds()
	if s.holdSeconds == 0 {
		s.holdSeconds = seconds
	}
	s.holdSeconds += holdTimeWeight * (seconds - s.holdSeconds)
	t := s.times[choice.Endpoint.Domain]
	if t == nil {
		t = &timeSum{}
		s.times[choice.Endpoint.Domain] = t
	}
	t.seconds.addWork(now, demandWindow, seconds)
	t.requests.add(now, demandWindow)
}

// decideDomains publishes the demand of this router and decides which share of the requests of each domain leaves it.
func (c *Chooser) decideDomains(now time.Time) {
	for name, s := range c.domains {
		if p := c.pools[name]; p != nil && c.policy.Domains {
			if now.Sub(s.decidedAt) >= domainInterval {
				s.decidedAt = now
				c.decideDomainsOf(now, name, s, p)
			}
			continue
		}
		for _, key := range s.keys {
			c.ledger.Set(key, 0)
		}
		delete(c.domains, name)
	}
}

func (c *Chooser) decideDomainsOf(now time.Time, name string, s *serviceDomains, p *pool) {
	prefix := "domain/" + name + "/"
	c.publishDemand(now, prefix, s)
	if s.isKnown = c.routers <= 1 || c.areSumsKnown(now); !s.isKnown {
		return
	}
	s.domains = s.domains[:0]
	find := func(name string) *spiller.Domain {
		for i := range s.domains {
			if s.domains[i].Name == name {
				return &s.domains[i]
			}
		}
		s.domains = append(s.domains, spiller.Domain{Name: name})
		return &s.domains[len(s.domains)-1]
	}
	find(c.domain)
	endpoints := 0.0
	for _, e := range p.endpoints {
		d := find(e.Domain)
		if !e.accepts(now) || e.State == registrar.Silent {
			continue
		}
		if e.Slots <= 0 {
			s.isKnown = false // its room is unknown
			return
		}
		endpoints++
		d.Endpoints++
		d.Slots += float64(e.Slots)
		d.Backlog += max(0, float64(e.load(now, c.remoteAt)-e.Slots))
	}
	slices.SortFunc(s.domains, func(a, b spiller.Domain) int { return cmp.Compare(a.Name, b.Name) })
	rate, work, price := 0.0, 0.0, 0.0
	for i := range s.domains {
		d := &s.domains[i]
		d.Work = c.ledger.Total(prefix+d.Name+"/work") / workScale
		work += d.Work
		rate += c.ledger.Total(prefix+d.Name+"/rate") / rateScale
		price += c.ledger.Total(prefix+d.Name+"/price") / priceScale
	}
	s.service = spiller.Service{HoldSeconds: initialHoldTime.Seconds(), PriceSeconds: s.priceMillis / 1000}
	if rate > 0 {
		s.service = spiller.Service{HoldSeconds: work / rate, PriceSeconds: price / rate / 1000}
	}
	level := fillTarget(c.limits.LoadFactor*work/max(1, endpoints) + c.limits.LoadSlack)
	for i := range s.domains {
		d := &s.domains[i]
		d.MaxWork = level * float64(d.Endpoints)
		if mean, n := c.domainTime(prefix, d.Name, d.Name); n >= minTimedAtHome {
			d.Slots *= min(maxSpeedFactor, max(1.0/maxSpeedFactor, s.service.HoldSeconds/max(mean, 1e-6)))
		}
		d.Delay = c.domainDelays(prefix, d.Name, s.domains)
	}
	s.decider.Step(now, s.domains, s.service, c.sharesOfOthers(prefix, s))
	c.publishDomainShares(prefix, s)
	c.logShare(now, name, s)
}

// domainTime returns the mean seconds of requests from the routers of one domain to endpoints of another, and their
// number.
func (c *Chooser) domainTime(prefix, from, to string) (mean, n float64) {
	key := prefix + from + ">" + to
	if n = c.ledger.Total(key + "/n"); n > 0 {
		mean = c.ledger.Total(key+"/ms") / n / 1000
	}
	return mean, n
}

// domainDelays returns the extra seconds of requests from a domain over impaired paths.
func (c *Chooser) domainDelays(prefix, from string, domains []spiller.Domain) []float64 {
	delays := make([]float64, len(domains))
	for i := range domains {
		to := domains[i].Name
		usual, n := c.domainTime(prefix, to, to)
		if to == from || n < minTimedRequests {
			continue
		}
		usual += c.limits.Domains.RoundTripMillis / 1000
		if mean, n := c.domainTime(prefix, from, to); n >= minTimedRequests && mean > slowPathFactor*usual {
			delays[i] = mean - usual
		}
	}
	return delays
}

func (c *Chooser) setDomainSum(s *serviceDomains, key string, value float64) {
	if !slices.Contains(s.keys, key) {
		s.keys = append(s.keys, key)
	}
	c.ledger.Set(key, value)
}

func (c *Chooser) publishDemand(now time.Time, prefix string, s *serviceDomains) {
	own := prefix + c.domain
	rate := s.arrivals.get(now, growthWindow) / effectiveWindow(growthWindow, now.Sub(s.firstAt))
	hold := s.holdSeconds
	if hold <= 0 {
		hold = initialHoldTime.Seconds()
	}
	c.setDomainSum(s, own+"/work", rate*hold*workScale)
	c.setDomainSum(s, own+"/rate", rate*rateScale)
	c.setDomainSum(s, own+"/price", rate*s.priceMillis*priceScale)
	c.setDomainSum(s, own+"/routers", 1)
	for to, t := range s.times {
		c.setDomainSum(s, own+">"+to+"/ms", t.seconds.get(now, demandWindow)*1000)
		c.setDomainSum(s, own+">"+to+"/n", t.requests.get(now, demandWindow))
	}
}

func (c *Chooser) publishDomainShares(prefix string, s *serviceDomains) {
	for i := range s.domains {
		to := s.domains[i].Name
		if share := s.decider.Shares[spiller.Pair{From: c.domain, To: to}]; to != c.domain {
			c.setDomainSum(s, prefix+c.domain+">"+to+"/share", share*shareScale)
		}
	}
}

// sharesOfOthers returns the mean of the shares that the other routers of each domain apply.
func (c *Chooser) sharesOfOthers(prefix string, s *serviceDomains) map[spiller.Pair]float64 {
	shares := map[spiller.Pair]float64{}
	for i := range s.domains {
		from := s.domains[i].Name
		routers := c.ledger.Others(prefix + from + "/routers")
		for j := range s.domains {
			if to := s.domains[j].Name; from != to && routers > 0 {
				if share := c.ledger.Others(prefix+from+">"+to+"/share") / shareScale / routers; share > 0 {
					shares[spiller.Pair{From: from, To: to}] = min(1, share)
				}
			}
		}
	}
	return shares
}

// leavingShare returns the share of the requests of this router's domain that leaves it, and where most of it goes.
func (c *Chooser) leavingShare(s *serviceDomains) (total float64, to string) {
	most := 0.0
	for i := range s.domains {
		share := s.decider.Shares[spiller.Pair{From: c.domain, To: s.domains[i].Name}]
		if total += share; share > most {
			most, to = share, s.domains[i].Name
		}
	}
	return total, to
}

// logShare records a change of the share of requests that leaves the domain of this router.
func (c *Chooser) logShare(now time.Time, service string, s *serviceDomains) {
	share, to := c.leavingShare(s)
	isSame := math.Abs(share-s.loggedShare) < minLoggedChange && (share > 0) == (s.loggedShare > 0)
	if isSame || now.Sub(s.loggedAt) < minLogInterval {
		return
	}
	s.loggedShare, s.loggedAt = share, now
	for i := range s.domains {
		if d := &s.domains[i]; d.Name == c.domain {
			c.addEvent("requests leave the failure domain", "service", service, "failureDomain", c.domain, "share",
				math.Round(share*100)/100, "mostTo", to, "demand", math.Round(d.Work*10)/10, "slots",
				math.Round(d.Slots*10)/10, "backlog", d.Backlog, "priceMillis", math.Round(s.service.PriceSeconds*1e4)/10)
		}
	}
}

// setDestination draws the failure domain to which the request should go by the shares of this router's domain, and
// returns the part of the expected requests of all routers that has the same destination. Near the capacity of the
// service, all requests compete for the same room.
func (c *Chooser) setDestination(now time.Time, q *Query, load poolLoad, f *forecast) (part float64) {
	c.destination = destination{}
	if !c.policy.Domains {
		return 1
	}
	s := c.domains[q.Service.Name]
	if s == nil || !s.isKnown || now.Sub(s.decidedAt) > sumsTTL || len(s.domains) < 2 || s.service.HoldSeconds <= 0 {
		return 1
	}
	d := &c.destination
	totalSlots, endpoints := 0.0, 0
	for i := range s.domains {
		totalSlots, endpoints = totalSlots+s.domains[i].Slots, endpoints+s.domains[i].Endpoints
		if s.domains[i].Name == c.domain {
			d.delays = s.domains[i].Delay
		}
	}
	if totalSlots <= 0 {
		return 1
	}
	slots := totalSlots / float64(endpoints)
	d.domains = s.domains
	price, weight := c.leavingMillis(q), 1.0
	if price > 0 {
		weight = s.priceMillis / price / max(s.meanWeight, 1e-6)
	}
	random := newSequence(q.Random) ^ destinationSalt
	d.isKnown = true
	d.domain = s.decider.Destination(c.domain, s.domains, random.next(), weight)
	d.perSecond = slots / s.service.HoldSeconds
	d.price = price / 1000 * d.perSecond
	d.remaining = f.remaining
	if f.isExact {
		d.remaining = 1
	}
	d.level, d.maxLevel = slots-1+d.price, load.loadBound-1
	if q.Service.Engine && len(q.Parts) > 0 {
		d.level = 0 // the endpoints that hold the prompt are filled in their order
	}
	shared := min(1, max(0, (f.rate/d.perSecond/float64(endpoints)-sharedUse)/sharedUseRange))
	return 1 - (1-s.decider.Inflow(d.domain, s.domains))*(1-shared)
}

// domainCost returns the number of requests to which it is equivalent that an endpoint is in another failure domain
// than the one to which the request should go. Endpoints of that one are filled up to their slots, within the load
// bound, and as far beyond as leaving costs.
func (c *Chooser) domainCost(now time.Time, e *endpoint) float64 {
	d := &c.destination
	switch {
	case !d.isKnown && e.Domain == c.domain, d.isKnown && e.Domain == d.domain:
		return 0
	case !d.isKnown:
		return remoteDomainCost
	}
	delay := 0.0
	for i := range d.delays {
		if d.domains[i].Name == e.Domain {
			delay = d.delays[i] * d.perSecond
		}
	}
	if d.level <= 0 {
		return d.price + delay
	}
	return max(0, min(d.level+delay, d.maxLevel)-d.remaining*float64(e.load(now, c.remoteAt)))
}

// withDomainCost returns the load and the limit of an endpoint with which the level of all loads at the time of the
// next reports includes a cost. The cost neither fades like the known requests nor takes room from others.
func (c *Chooser) withDomainCost(f *forecast, load, limit, cost float64) (_, _ float64) {
	if !c.destination.isKnown {
		return load + cost, limit
	}
	return load + cost/max(f.remaining, minRemaining), limit + cost
}

// affinityDomainCost returns the domain and move costs of an endpoint while those that hold the prompt are full.
func (c *Chooser) affinityDomainCost(now time.Time, q *Query, e, source *endpoint) float64 {
	if !c.destination.isKnown {
		return 0
	}
	return c.domainCost(now, e) + c.moveCost(q, e, source)
}

// moveCost returns the number of requests to which it is equivalent that an endpoint has to fetch the cached parts of
// the prompt from their source.
func (c *Chooser) moveCost(q *Query, e, source *endpoint) float64 {
	if source == nil || e == source {
		return 0
	}
	return fetchSeconds(q.Service, sharedTokens(q.Parts)) * c.destination.perSecond
}

// domainGauges returns the shares that leave the domain of this router and the bytes that it has sent to others.
func (c *Chooser) domainGauges() (list []Gauge) {
	for name, s := range c.domains {
		for pair, share := range s.decider.Shares {
			list = append(list, Gauge{Decision: "domains", Name: "leavingShare",
				Subject: name + " " + pair.From + ">" + pair.To, Value: share})
		}
		for to, n := range s.sentBytes {
			list = append(list, Gauge{Decision: "domains", Name: "bytes", Subject: name + " " + c.domain + ">" + to, Value: n})
		}
	}
	slices.SortFunc(list, func(a, b Gauge) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Subject, b.Subject))
	})
	return list
}
