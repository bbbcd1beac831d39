package chooser

import (
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/sharer"
)

const (
	// needWindow is the time constant of what workspaces ask for.
	needWindow = 500 * time.Millisecond

	// foundWindow is the time constant of the work that finds an endpoint or none.
	foundWindow = 300 * time.Millisecond

	// shareInterval is the time between two divisions of the capacity.
	shareInterval = 50 * time.Millisecond

	// shareKeyPrefix begins the keys of the named sums; it is followed by service, class, weight and workspace, or by
	// service and one of okKey and fullKey.
	shareKeyPrefix = "share/"
	okKey          = "ok"
	fullKey        = "full"

	// sumUnits is the number of units in which the work of one request in progress is published.
	sumUnits = 1000

	// freshSums is the age up to which sums count in full, and maxSumAge the one from which they do not count.
	freshSums = 500 * time.Millisecond
	maxSumAge = 2 * time.Second

	// aloneFactor is the multiple of its equal part that a router uses while it knows nothing of the others.
	aloneFactor = 2

	// engineShare and plainShare are the fractions of the slots of engines and of other endpoints that are divided, before
	// any correction. The needs of short requests include waits for a slot that the routers don't know of, and refusals
	// below the capacity are worse than short queues.
	engineShare = 0.93
	plainShare  = 1.1

	// busyShare is the fraction of the capacity in use from which needs are published, for publishTime.
	busyShare   = 0.5
	publishTime = 3 * time.Second

	// minFullWork is the work without an endpoint from which needs are published also by a service that is not busy.
	minFullWork = 0.01

	// The capacity is corrected by what is seen: it falls while more than fullFraction of the admitted work finds no
	// endpoint, or more requests are in progress than congestedLoad of the slots of engines, or congestedQueue of those of
	// other endpoints, which may queue some. While shares bind below roomyLoad, or roomyQueue, there is room: it rises.
	// Below roomyQueue, admitted work that finds no endpoint is no sign of a lack of capacity: the routers know the loads
	// with a delay, and part of them finds none by chance.
	fullFraction   = 0.05
	congestedLoad  = 0.97
	congestedQueue = 2.5
	roomyLoad      = 0.85
	roomyQueue     = 1.2

	// correctionFall and correctionGrowth are the relative changes of the correction, from minCorrection to maxCorrection,
	// in the time after which a change shows: correctionDelay and the mean hold time.
	correctionDelay  = 500 * time.Millisecond
	correctionFall   = 0.1
	correctionGrowth = 0.2
	minCorrection    = 0.75
	maxCorrection    = 4

	// soundSumsTime is the time after which the sums of all routers are there; before, they seem to have no work.
	soundSumsTime = time.Second

	// plainInitialHold is the assumed hold time of a class until a request has ended, for other services than engines:
	// with initialHoldTime, routers that start together take the return of their callers for an overload.
	plainInitialHold = 100 * time.Millisecond

	// idleWorkspaceTTL is how long a workspace without requests is remembered.
	idleWorkspaceTTL = 30 * time.Second

	// classHoldWeight is the weight of the last request in the mean hold time of its class; one counts for at most
	// maxHoldStep times the mean, because queues that the routers don't know of yet would raise it.
	classHoldWeight = 0.02
	maxHoldStep     = 2

	// minSizeFactor and maxSizeFactor bound the work of one request in multiples of the mean of its class.
	minSizeFactor = 0.25
	maxSizeFactor = 4

	// outputTokenFactor is the work of a token of the output in tokens of the prompt.
	outputTokenFactor = 10

	// shortHoldStep is the step of the estimate of the shortest hold time, up by it and down by shortHoldFall; the
	// estimate settles at about the twentieth part of all requests. A request is sure to be late if it has less than
	// certainFraction of that left.
	shortHoldStep   = 0.01
	shortHoldFall   = 0.19
	certainFraction = 0.5
	probeFraction   = 0.05

	// greyMargin is the failure rate above the mean of the service from which an endpoint is avoided: two standard
	// deviations of the rate of an endpoint that fails half of its requests.
	greyMargin = 0.3

	// logOver is the part of its need below which a share is logged, and the part of the capacity that all needs together
	// have to reach for the overload to last.
	logOver = 0.95

	// minReturn, returnStep and maxReturn bound the time after which refused callers return: the first one of the most
	// urgent class, what each further class adds, and the latest. Callers give up after about ten seconds.
	minReturn  = 400 * time.Millisecond
	returnStep = 250 * time.Millisecond
	maxReturn  = 8 * time.Second

	// returnSpread is the time over which callers return that were refused although within their share, times what the
	// service is asked for in relation to its capacity, at most maxReturnFactor.
	returnSpread    = time.Second
	maxReturnFactor = 4

	// returnFraction is the part of the accepted requests of a flow that may be returning ones.
	returnFraction = 0.5
)

// The reasons for which requests are refused before an endpoint is looked for.
const (
	OverShare Reason = "the workspace asks for more than its share of the service"
	TooLate   Reason = "the response can't be complete before the deadline"
)

// classWork is the work of the requests of one priority class of a service.
type classWork struct {
	holdTime  float64 // mean in seconds, 0 until a request has ended
	shortHold float64 // about the shortest one
	size      float64 // mean size in tokens
}

// workspaceShare is what one workspace asks for and gets of a service.
type workspaceShare struct {
	sharer.Workspace

	need   [sharer.Classes]decayingCount // of this router
	others [sharer.Classes]float64       // of the other routers, when last heard of
	keys   [sharer.Classes]string        // of the named sums
	credit [sharer.Classes]float64       // fractions of requests that add up to accepted ones
	line   [sharer.Classes]time.Time     // when the last refused caller returns
	usedAt time.Time
	isOver bool // logged as above its share
}

// serviceShares is the division of one service.
type serviceShares struct {
	service    string
	plan       *planner.Service // of the last request
	prefix     string           // of the keys
	workspaces map[string]*workspaceShare
	list       []*sharer.Workspace // buffer
	byClass    [sharer.Classes]classWork

	ok, full             decayingCount // admitted work of this router that found an endpoint, or none
	okOthers, fullOthers float64

	holdTime       float64 // mean of all requests in seconds
	admissible     float64 // by the endpoints' limits, infinite without any
	isQueueing     bool    // requests above the slots, the only limits, queue at the endpoints
	correction     float64 // factor of it that follows from what is seen
	capacity       float64 // divided last; of this router alone if it knows of no other
	needed         float64
	refreshedAt    time.Time
	publishedUntil time.Time
	publishedSince time.Time // zero while nothing is published
}

// sharesOf returns the division of a service, a new one if there is none.
func (c *Chooser) sharesOf(service string) *serviceShares {
	s := c.shares[service]
	if s == nil {
		s = &serviceShares{service: service, prefix: shareKeyPrefix + url.PathEscape(service) + "/",
			workspaces: map[string]*workspaceShare{}, correction: 1, capacity: math.Inf(1)}
		if c.shares == nil {
			c.shares = map[string]*serviceShares{}
		}
		c.shares[service] = s
	}
	return s
}

// workspaceShare returns the share of a workspace, a new one if there is none.
func (c *Chooser) workspaceShare(now time.Time, s *serviceShares, name string, weight float64) *workspaceShare {
	w := s.workspaces[name]
	if w == nil {
		w = &workspaceShare{Workspace: sharer.Workspace{Name: name}}
		for class := range sharer.Classes {
			w.Accepted[class], w.credit[class] = 1, 1
		}
		s.workspaces[name] = w
	}
	w.usedAt = now
	if w.Weight != weight || w.keys[0] == "" {
		c.unpublishWorkspace(w)
		w.Weight = weight
		for class := range w.keys {
			w.keys[class] = s.prefix + strconv.Itoa(class) + "/" + strconv.FormatFloat(weight, 'g', -1, 64) + "/" + name
		}
	}
	return w
}

// fraction returns the part of the slots that is divided.
func (s *serviceShares) fraction() float64 {
	if s.plan.Engine {
		return engineShare
	}
	return plainShare
}

// size returns the size of a request in tokens of the prompt, 0 if it is unknown.
func (q *Query) size() float64 { return float64(q.PromptTokens + outputTokenFactor*q.OutputTokens) }

// hold returns the mean time in seconds for which requests of a class occupy a place.
func (s *serviceShares) hold(class int) float64 {
	if s.byClass[class].holdTime <= 0 {
		if !s.plan.Engine {
			return plainInitialHold.Seconds()
		}
		return initialHoldTime.Seconds()
	}
	return s.byClass[class].holdTime
}

// work returns the time in seconds for which a request is expected to occupy a place.
func (s *serviceShares) work(q *Query, class int) float64 {
	k := &s.byClass[class]
	hold, size := s.hold(class), q.size()
	if size <= 0 || k.size == 0 {
		return hold
	}
	return hold * min(maxSizeFactor, max(minSizeFactor, size/k.size))
}

// admitShare counts a request as asked for, and returns the reason for which it is refused before an endpoint is looked
// for, or "".
func (c *Chooser) admitShare(now time.Time, q *Query, p *pool) Reason {
	s := c.sharesOf(q.Service.Name)
	s.plan = q.Service
	c.isDivided = !s.publishedSince.IsZero() && now.Sub(s.publishedSince) >= soundSumsTime && s.needed > s.capacity
	class := sharer.ClassOf(q.Priority)
	if !q.Deadline.IsZero() && q.Deadline.Sub(now).Seconds() < certainFraction*s.byClass[class].shortHold && !q.isProbe() {
		return TooLate
	}
	if q.IsRepeat || len(q.Tried) > 0 {
		return ""
	}
	w := c.workspaceShare(now, s, q.Workspace, q.Weight)
	w.need[class].addWork(now, needWindow, s.work(q, class))
	if k, size := &s.byClass[class], q.size(); size > 0 {
		if k.size == 0 {
			k.size = size
		}
		k.size += holdTimeWeight * (size - k.size)
	}
	if now.Sub(s.refreshedAt) >= shareInterval {
		c.divide(now, s, p)
	}
	if q.IsResumed {
		return ""
	}
	w.credit[class] = min(2, w.credit[class]+w.Accepted[class])
	if w.credit[class] < 1 {
		return OverShare
	}
	w.credit[class]--
	return ""
}

// isProbe reports whether a request is sent although it is expected to be late: otherwise a class whose requests have
// become short would not be noticed. It uses the lower digits of the random number, as isExemptFromReserve.
func (q *Query) isProbe() bool {
	_, digits := math.Modf(q.Random * 100)
	return digits < probeFraction
}

// recordAdmitted records whether an admitted request has found an endpoint, and returns its class.
func (c *Chooser) recordAdmitted(now time.Time, q *Query, reason Reason) (class int) {
	s := c.sharesOf(q.Service.Name)
	class = sharer.ClassOf(q.Priority)
	if len(q.Tried) > 0 {
		return class
	}
	work := s.work(q, class)
	switch reason {
	case "":
		s.ok.addWork(now, foundWindow, work)
		if q.IsRepeat {
			s.full.addWork(now, foundWindow, -min(work, s.full.get(now, foundWindow)))
		}
	case AllAtCapacity, ColdRateExhausted, RateLimited:
		if !q.IsRepeat {
			s.full.addWork(now, foundWindow, work)
		}
	}
	return class
}

// recordHold records how long a request has occupied a place. The mean is that of requests that found a free slot: it
// must not grow with the queues of an overload.
func (c *Chooser) recordHold(choice *Choice, seconds float64) {
	s := c.shares[choice.Endpoint.Service]
	if s == nil {
		return
	}
	k := &s.byClass[choice.class]
	if k.holdTime == 0 {
		k.holdTime, k.shortHold = seconds, seconds
	}
	if slots := choice.Endpoint.Slots; slots <= 0 || choice.Load < slots {
		k.holdTime += classHoldWeight * (min(seconds, maxHoldStep*k.holdTime) - k.holdTime)
	}
	if seconds < k.shortHold {
		k.shortHold *= 1 - shortHoldFall
	} else {
		k.shortHold *= 1 + shortHoldStep
	}
}

// refreshShares divides the capacities of services that receive no requests at the moment, or ends the division.
func (c *Chooser) refreshShares(now time.Time) {
	for name, s := range c.shares {
		p := c.pools[name]
		if c.policy.Shares && p != nil {
			if s.plan != nil && now.Sub(s.refreshedAt) >= shareInterval {
				c.divide(now, s, p)
			}
			continue
		}
		for _, w := range s.workspaces {
			c.unpublishWorkspace(w)
		}
		c.isDivided = false
		c.ledger.Set(s.prefix+okKey, 0)
		c.ledger.Set(s.prefix+fullKey, 0)
		delete(c.shares, name)
		if p == nil {
			continue
		}
		for _, e := range p.endpoints {
			e.usualFailureRate = 0
		}
	}
}

// greyRate returns the failure rate above which the endpoint is avoided: where all endpoints of a service fail part of
// their requests, the rest would only gather at the few that have been lucky lately.
func (e *endpoint) greyRate() float64 {
	if e.usualFailureRate == 0 {
		return greyFailureRate
	}
	return max(greyFailureRate, e.usualFailureRate+greyMargin)
}

// divide computes the shares of a service from what is known now.
func (c *Chooser) divide(now time.Time, s *serviceShares, p *pool) {
	elapsed := min(needWindow, now.Sub(s.refreshedAt)).Seconds()
	s.refreshedAt = now
	load := c.updateCapacity(now, s, p)
	age, ok := c.ledger.Age(now)
	if !ok {
		age = maxSumAge
	}
	isAlone := c.routers > 1 && age >= maxSumAge && now.Sub(c.remoteAt) >= maxSumAge
	s.list, s.needed = s.list[:0], 0
	for name, w := range s.workspaces {
		if now.Sub(w.usedAt) > idleWorkspaceTTL {
			delete(s.workspaces, name)
			c.unpublishWorkspace(w)
			continue
		}
		for class := range w.Need {
			w.Need[class] = w.need[class].inProgress(now, needWindow)
			if age < maxSumAge {
				w.Need[class] += w.others[class]
			}
			s.needed += w.Need[class]
		}
		s.list = append(s.list, &w.Workspace)
	}
	s.correct(now, elapsed, load, isAlone)
	switch hasRoom := load < busyShare*s.admissible; {
	case hasRoom && s.correction >= 1:
		s.capacity = math.Inf(1)
	case isAlone:
		s.capacity *= aloneFactor / float64(max(aloneFactor, c.routers))
	}
	sharer.Divide(s.capacity, s.list)
	if relax := staleness(age); c.routers > 1 && !isAlone && relax > 0 {
		for _, w := range s.list {
			for class := range w.Accepted {
				w.Accepted[class] += relax * (1 - w.Accepted[class])
			}
		}
	}
	if load > busyShare*s.admissible || s.needed > busyShare*s.capacity {
		s.publishedUntil = now.Add(publishTime)
	}
	c.publishNeeds(now, s)
	c.logShares(s)
}

// staleness returns from 0 for fresh sums to 1 for those that do not count any more.
func staleness(age time.Duration) float64 {
	return min(1, max(0, float64(age-freshSums)/float64(maxSumAge-freshSums)))
}

// updateCapacity sets what the endpoints admit, and the mean of their failure rates; it returns the requests in
// progress at them.
func (c *Chooser) updateCapacity(now time.Time, s *serviceShares, p *pool) (load float64) {
	service, hold := s.plan, p.hold()
	s.holdTime = hold
	failures, n := 0.0, 0
	s.admissible, s.isQueueing = 0, !service.Engine
	for _, e := range p.endpoints {
		if !e.accepts(now) {
			continue
		}
		failures += e.failureRate
		n++
		if e.isAvoided(now) {
			continue
		}
		load += float64(e.load(now, c.remoteAt))
		limit := math.Inf(1)
		if e.Slots > 0 {
			limit = float64(e.Slots)
		}
		if service.MaxConnections > 0 {
			limit = min(limit, float64(service.MaxConnections))
		}
		if e.limit.isNamed {
			limit = min(limit, e.maxRate()*hold)
		}
		if service.ColdPerSecond > 0 && now.Before(e.ColdUntil) {
			limit = min(limit, coldRateFraction*(service.ColdPerSecond*c.limits.ColdFactor+c.limits.ColdSlack)*hold)
		}
		s.admissible += s.fraction() * limit
		s.isQueueing = s.isQueueing && limit == float64(e.Slots)
	}
	for _, e := range p.endpoints {
		e.usualFailureRate = failures / float64(max(1, n))
	}
	return load
}

// correct updates the correction of the capacity; load is the number of requests in progress.
func (s *serviceShares) correct(now time.Time, elapsed, load float64, isAlone bool) {
	ok, full := s.ok.inProgress(now, foundWindow)+s.okOthers, s.full.inProgress(now, foundWindow)+s.fullOthers
	slots := s.admissible / s.fraction()
	congested, roomy := slots*congestedQueue, slots*roomyLoad
	if s.plan.Engine {
		congested = slots * congestedLoad
	}
	if s.isQueueing {
		roomy = slots * roomyQueue
	}
	elapsed /= correctionDelay.Seconds() + s.holdTime
	switch {
	case isAlone || s.publishedSince.IsZero() || now.Sub(s.publishedSince) < soundSumsTime:
		s.correction = 1
	case load > congested || full > fullFraction*(ok+full) && (!s.isQueueing || load > roomy):
		s.correction = max(minCorrection, s.correction*(1-correctionFall*elapsed))
	case s.needed <= s.capacity:
		s.correction += (1 - s.correction) * elapsed
	case load < roomy || math.IsInf(slots, 1):
		s.correction = min(maxCorrection, s.correction*(1+correctionGrowth*elapsed))
	}
	s.capacity = s.admissible * s.correction
	if math.IsInf(s.admissible, 1) && s.correction < 1 {
		s.capacity = s.needed * s.correction
	}
}

// publishNeeds sets the named sums of a service, or removes them once it is not busy any more.
func (c *Chooser) publishNeeds(now time.Time, s *serviceShares) {
	full := s.full.inProgress(now, foundWindow)
	if full > minFullWork {
		s.publishedUntil = now.Add(publishTime)
	}
	isOn := now.Before(s.publishedUntil)
	scale := float64(sumUnits)
	switch {
	case isOn && s.publishedSince.IsZero():
		s.publishedSince = now
	case !isOn && s.publishedSince.IsZero():
		return
	case !isOn:
		s.publishedSince, scale = time.Time{}, 0
	}
	for _, w := range s.workspaces {
		for class, key := range w.keys {
			c.setSum(key, scale*w.need[class].inProgress(now, needWindow))
		}
	}
	c.setSum(s.prefix+okKey, scale*s.ok.inProgress(now, foundWindow))
	c.setSum(s.prefix+fullKey, scale*full)
}

// setSum sets a named sum, or removes one that is too small to be seen.
func (c *Chooser) setSum(key string, value float64) {
	if value < 1 {
		value = 0
	}
	c.ledger.Set(key, value)
}

func (c *Chooser) unpublishWorkspace(w *workspaceShare) {
	for _, key := range w.keys {
		c.ledger.Set(key, 0)
	}
}

// readShares takes what the other routers ask for from the named sums.
func (c *Chooser) readShares(now time.Time) {
	if !c.policy.Shares {
		return
	}
	for _, s := range c.shares {
		s.okOthers, s.fullOthers = 0, 0
		for _, w := range s.workspaces {
			w.others = [sharer.Classes]float64{}
		}
	}
	c.ledger.EachOther(shareKeyPrefix, func(key string, value float64) {
		value /= sumUnits
		escaped, rest, _ := strings.Cut(strings.TrimPrefix(key, shareKeyPrefix), "/")
		service, err := url.PathUnescape(escaped)
		if err != nil || c.pools[service] == nil {
			return
		}
		s := c.sharesOf(service)
		switch rest {
		case okKey:
			s.okOthers = value
			return
		case fullKey:
			s.fullOthers = value
			return
		}
		parts := strings.SplitN(rest, "/", 3)
		if len(parts) != 3 {
			return
		}
		class, classErr := strconv.Atoi(parts[0])
		weight, weightErr := strconv.ParseFloat(parts[1], 64)
		if classErr != nil || weightErr != nil || class < 0 || class >= sharer.Classes {
			return
		}
		w := s.workspaces[parts[2]]
		if w == nil {
			w = c.workspaceShare(now, s, parts[2], weight)
		}
		w.usedAt = now
		w.others[class] += value
	})
}

// logShares records which workspaces have gone above their shares or come back.
func (c *Chooser) logShares(s *serviceShares) {
	for _, w := range s.workspaces {
		need := w.Total()
		isOver := w.Share < logOver*need
		if isOver == w.isOver || !isOver && s.needed > logOver*s.capacity {
			continue
		}
		w.isOver = isOver
		message := "workspace within its share again"
		if isOver {
			message = "workspace above its share"
		}
		c.addEvent(message, "service", s.service, "workspace", w.Name, "need", round3(need), "share", round3(w.Share),
			"capacity", round3(s.capacity), "needOfAll", round3(s.needed))
	}
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// shareGauges returns the figures of the services that are busy.
func (c *Chooser) shareGauges(list []Gauge) []Gauge {
	for name, s := range c.shares {
		if s.publishedSince.IsZero() || math.IsInf(s.capacity, 0) {
			continue
		}
		list = append(list, Gauge{Decision: "shares", Name: "capacity", Subject: name, Value: s.capacity},
			Gauge{Decision: "shares", Name: "need", Subject: name, Value: s.needed})
		for _, w := range s.workspaces {
			if need := w.Total(); need > 0 {
				list = append(list, Gauge{Decision: "shares", Name: "accepted", Subject: name + "/" + w.Name,
					Value: w.Share / need})
			}
		}
	}
	return list
}

// ReturnAt returns when the caller of a refused request may come back; ok is false if shares do not decide that.
func (c *Chooser) ReturnAt(now time.Time, q Query, reason Reason) (at time.Time, ok bool) {
	s := c.shares[q.Service.Name]
	if !c.policy.Shares || s == nil || !slices.Contains([]Reason{OverShare, AllAtCapacity}, reason) {
		return time.Time{}, false
	}
	class := sharer.ClassOf(q.Priority)
	w := c.workspaceShare(now, s, q.Workspace, q.Weight)
	earliest := now.Add(minReturn + time.Duration(class)*returnStep)
	if reason == AllAtCapacity {
		overload := 1.0
		if s.needed > s.capacity && s.capacity > 0 {
			overload = min(maxReturnFactor, s.needed/s.capacity)
		}
		return earliest.Add(time.Duration(q.Random * overload * float64(returnSpread))), true
	}
	perSecond := w.need[class].inProgress(now, needWindow) * w.Accepted[class] / s.hold(class)
	gap := time.Duration(float64(time.Second) / max(returnFraction*perSecond, 1/maxReturn.Seconds()))
	latest := now.Add(maxReturn)
	if next := w.line[class].Add(gap); next.After(earliest) {
		earliest = next
	}
	if earliest.After(latest) {
		return latest.Add(-time.Duration(q.Random * float64(maxReturn/4))), true
	}
	w.line[class] = earliest
	return earliest.Add(time.Duration(q.Random * float64(minReturn))), true
}
