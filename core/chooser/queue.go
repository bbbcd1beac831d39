package chooser

import (
	"math"
	"strconv"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/queuer"
	"cactusroute.dev/core/registrar"
)

const (
	// maxQueueEndpoints is the number of endpoints up to which requests for a plain service wait in the shared order: with
	// more of them, some endpoint has room as soon as any order would give it.
	maxQueueEndpoints = 32

	// waitInterval is the time between two tries of a waiting request.
	waitInterval = 10 * time.Millisecond

	// arrivalsWindow is the time constant of the average rate of new requests.
	arrivalsWindow = 500 * time.Millisecond

	// minLateShare is the least share of the room for requests that are late.
	minLateShare = 0.1

	// catchUpTime is the time within which requests that wait and can be on time are served before those that are late.
	catchUpTime = 100 * time.Millisecond

	// timeMargin is the part of the time in a slot that is added to the expected response time where requests are ordered
	// by whether they can be on time.
	timeMargin = 0.5

	// settleReports is the number of delays of the reports within which the load of an endpoint is brought to its limit.
	// With fewer of them, all routers correct the same difference several times before they see the effect.
	settleReports = 3

	// sumsTTL is how long the sums of the other routers are valid.
	sumsTTL = 2 * time.Second

	// minRejectionPause and maxRejectionPause bound how long an endpoint that rejects requests gets none; each consecutive
	// rejection doubles the time.
	minRejectionPause = 50 * time.Millisecond
	maxRejectionPause = 400 * time.Millisecond

	// queueLogInterval is the least time between two events about the queue of a service.
	queueLogInterval = time.Second
)

// Waiter is the place of one request in the queue before its service; the zero value has none. The caller of Choose
// reads the exported fields after each call, and calls Leave at the end if HasJoined is set.
type Waiter struct {
	HasJoined bool
	IsRefused bool      // the request can't be served by its deadline
	NextAt    time.Time // of the next try

	ticket    queuer.Ticket[*Waiter]
	query     Query
	granted   Choice // by the try of another request, if isGranted
	isGranted bool
}

// queue is the queue of this router before a service.
type queue struct {
	queuer.Queue[*Waiter]

	keys     [queuer.Classes]string
	arrivals decayingCount
	rateKey  string // of the arrivals per second
	class    int    // of the request for which a try is made
	refused  int    // requests that could not be served by their deadline
	loggedAt time.Time
	unlogged int // refused since then
}

func newQueue(service string) *queue {
	q := &queue{rateKey: "queue/" + service + "/arrivals"}
	for i := range q.keys {
		q.keys[i] = "queue/" + service + "/" + strconv.Itoa(i)
	}
	return q
}

// isQueued reports whether requests for the service wait in the shared order.
func (c *Chooser) isQueued(s *planner.Service, p *pool) bool {
	if !c.policy.Queues || s.Engine || len(p.endpoints) > maxQueueEndpoints {
		c.dropQueue(p)
		return false
	}
	if p.queue == nil {
		p.queue = newQueue(s.Name)
	}
	return true
}

// dropQueue ends the queue of a pool; requests that wait in it go on without.
func (c *Chooser) dropQueue(p *pool) {
	if p.queue == nil {
		return
	}
	c.ledger.Set(p.queue.rateKey, 0)
	for _, key := range p.queue.keys {
		c.ledger.Set(key, 0)
	}
	p.queue = nil
}

// chooseInTurn lets the request try to get a place, which goes to the first one in the queue.
func (c *Chooser) chooseInTurn(now time.Time, q Query, p *pool) (Choice, Reason) {
	w := q.Waiter
	if w == nil || !w.HasJoined {
		p.queue.arrivals.add(now, arrivalsWindow)
	}
	if w != nil && w.isGranted {
		choice := w.granted
		w.isGranted, choice.At = false, now
		return choice, ""
	}
	if w == nil {
		p.queue.class = 0
		return c.chooseByLoad(now, q, p)
	}
	w.query = q
	w.ticket = queuer.Ticket[*Waiter]{Priority: q.Priority, TargetAt: q.TargetAt, Deadline: q.Deadline, Value: w}
	room := c.queueRoom(now, p)
	p.queue.ResponseTime = time.Duration(float64(room.ServiceTime) * (timeMargin + max(1, room.InFlight/room.Slots)))
	if !p.queue.Contains(&w.ticket) {
		w.HasJoined = p.queue.Join(&w.ticket)
	}
	first := p.queue.First(now)
	if first == nil {
		first = &w.ticket
	}
	p.queue.class = p.queue.Class(now, first)
	share := c.lateShare(now, p, room)
	if q.Random >= share {
		c.wait(now, w, p, room)
		return Choice{}, AllAtCapacity
	}
	q.Random /= share
	if first != &w.ticket && c.tryFor(now, first, q.Random, p) {
		c.wait(now, w, p, room)
		return Choice{}, AllAtCapacity
	}
	choice, reason := c.chooseByLoad(now, q, p)
	if reason == AllAtCapacity {
		c.wait(now, w, p, room)
		return choice, reason
	}
	p.queue.Leave(&w.ticket)
	w.HasJoined = false
	return choice, reason
}

// tryFor lets the first request in the queue use the try of another one; ok is false if there may be a place for the
// other one that the first can't take.
func (c *Chooser) tryFor(now time.Time, first *queuer.Ticket[*Waiter], random float64, p *pool) (ok bool) {
	w := first.Value
	query := w.query
	query.Random = random
	choice, reason := c.chooseByLoad(now, query, p)
	if reason != "" {
		return reason == AllAtCapacity && len(query.Tried) == 0
	}
	w.granted, w.isGranted = choice, true
	p.queue.Leave(first)
	return true
}

// wait decides whether the request goes on waiting.
func (c *Chooser) wait(now time.Time, w *Waiter, p *pool, room queuer.Room) {
	w.NextAt = now.Add(waitInterval)
	ahead := float64(p.queue.Ahead(now, &w.ticket))
	if c.areSumsKnown(now) {
		for class := range p.queue.Class(now, &w.ticket) + 1 {
			ahead += c.ledger.Others(p.queue.keys[class])
		}
	}
	if queuer.IsLate(p.queue.Class(now, &w.ticket)) {
		room.PerSecond = max(minLateShare*room.PerSecond, room.PerSecond-c.arrivals(now, p))
	}
	if w.HasJoined && !room.IsTooLate(now, w.ticket.Deadline, ahead) {
		return
	}
	p.queue.Leave(&w.ticket)
	w.IsRefused = true
	p.queue.refused++
	p.queue.unlogged++
	if now.Sub(p.queue.loggedAt) >= queueLogInterval {
		c.addEvent("requests refused that can't be served in time", "service", w.query.Service.Name,
			"count", p.queue.unlogged, "waiting", p.queue.Len(), "ahead", ahead, "inFlight", room.InFlight,
			"perSecond", room.PerSecond, "leftMs", w.ticket.Deadline.Sub(now).Milliseconds())
		p.queue.loggedAt, p.queue.unlogged = now, 0
	}
}

// queueRoom returns what the endpoints of a pool can serve.
func (c *Chooser) queueRoom(now time.Time, p *pool) (r queuer.Room) {
	r.ServiceTime = time.Duration(p.work.seconds * float64(time.Second))
	for _, e := range p.endpoints {
		if !e.accepts(now) || e.isAvoided(now) {
			continue
		}
		r.InFlight += float64(e.load(now, c.remoteAt))
		r.Slots += float64(max(1, e.Slots))
		if p.work.seconds > 0 {
			r.PerSecond += float64(max(1, e.Slots)) * c.paceWeight(e) / p.work.seconds
		}
	}
	r.Slots = max(1, r.Slots)
	return r
}

// Leave ends the wait of a request and returns a place that it was given and has not taken.
func (c *Chooser) Leave(w *Waiter) {
	if w.query.Service == nil {
		return
	}
	if p := c.pools[w.query.Service.Name]; p != nil && p.queue != nil {
		p.queue.Leave(&w.ticket)
	}
	if !w.isGranted {
		return
	}
	w.isGranted = false
	if e := c.lookup(w.granted.Endpoint); e != nil {
		e.inFlight = max(0, e.inFlight-1)
		e.sentSinceReport = max(0, e.sentSinceReport-1)
	}
}

// routerLimit returns the limit on the requests of this router at a plain endpoint: twice its share of the admission
// limit. Routers that share a queue have the shares of their arrivals, others equal ones.
func (c *Chooser) routerLimit(now time.Time, p *pool, e *endpoint) int {
	limit := 2 * plainSlotFactor * e.Slots
	if !c.policy.Queues || p.queue == nil || !c.areSumsKnown(now) {
		return max(minRouterLimit, limit/c.routers)
	}
	own := p.queue.arrivalRate(now)
	share := own / max(own+c.ledger.Others(p.queue.rateKey), math.SmallestNonzeroFloat64)
	return max(minRouterLimit, int(math.Ceil(float64(limit)*share)))
}

// RecordRejection records that an endpoint has rejected a request without running it.
func (c *Chooser) RecordRejection(now time.Time, target registrar.Endpoint) {
	if e := c.lookup(target); e != nil && c.policy.Queues {
		e.rejectsUntil = now.Add(min(maxRejectionPause, minRejectionPause<<min(e.rejections, 8)))
		e.rejections++
	}
}

// waiting returns the number of requests up to a class that wait for the service at all routers.
func (c *Chooser) waiting(now time.Time, p *pool, class int) (n float64) {
	if !c.policy.Queues || p.queue == nil {
		return 0
	}
	areKnown := c.areSumsKnown(now)
	for i, own := range p.queue.Counts(now) {
		if i > class {
			break
		}
		if areKnown {
			n += float64(own) + c.ledger.Others(p.queue.keys[i])
		} else {
			n += float64(own * c.routers)
		}
	}
	return n
}

// arrivals returns the rate of new requests at all routers.
func (c *Chooser) arrivals(now time.Time, p *pool) float64 {
	own := p.queue.arrivalRate(now)
	if c.areSumsKnown(now) {
		return own + c.ledger.Others(p.queue.rateKey)
	}
	return own * float64(c.routers)
}

// lateShare returns the share of the tries that are made while the first request in the queue is late: the others leave
// the room to requests of all routers that can be on time.
func (c *Chooser) lateShare(now time.Time, p *pool, room queuer.Room) float64 {
	if !queuer.IsLate(p.queue.class) || room.PerSecond <= 0 {
		return 1
	}
	onTime := c.arrivals(now, p) + c.waiting(now, p, p.queue.class-1)/catchUpTime.Seconds()
	return max(minLateShare, 1-onTime/room.PerSecond)
}

// slotLimit returns the limit on the load of an endpoint for the request for which a try is made: a late one takes only
// a free slot, so that it delays no request that can be on time.
func (q *queue) slotLimit(e *endpoint) float64 {
	if q == nil || !queuer.IsLate(q.class) || e.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(e.Slots)
}

// triesPerSecond returns the rate at which requests of all routers try to get a place: new ones once, and those that
// wait in each waitInterval.
func (c *Chooser) triesPerSecond(now time.Time, p *pool, waiting float64) float64 {
	return c.arrivals(now, p) + waiting/waitInterval.Seconds()
}

func (q *queue) arrivalRate(now time.Time) float64 {
	return q.arrivals.get(now, arrivalsWindow) / arrivalsWindow.Seconds()
}

// settlingRate returns the rate of requests of all routers that brings the load of an endpoint to its limit: what it
// ends per second with all slots in use, and the difference over some delays of the reports.
func (c *Chooser) settlingRate(now time.Time, p *pool, e *endpoint, load, limit float64) float64 {
	if p.work.seconds <= 0 || c.reportInterval <= 0 || c.waiting(now, p, queuer.Classes-1) <= 0 {
		return math.Inf(1)
	}
	settle := settleReports * reportHops * c.reportInterval.Seconds()
	return max(0, float64(e.Slots)*c.paceWeight(e)/p.work.seconds+(limit-load)/settle)
}

func (c *Chooser) areSumsKnown(now time.Time) bool {
	age, ok := c.ledger.Age(now)
	return ok && age <= sumsTTL
}

// publishQueues sets the sums that this router publishes of its queues.
func (c *Chooser) publishQueues(now time.Time) {
	for _, p := range c.pools {
		if p.queue == nil {
			continue
		}
		c.ledger.Set(p.queue.rateKey, p.queue.arrivalRate(now))
		for class, n := range p.queue.Counts(now) {
			c.ledger.Set(p.queue.keys[class], float64(n))
		}
	}
}

// queueGauges appends the requests that wait at this router and at all of them, and those refused.
func (c *Chooser) queueGauges(list []Gauge) []Gauge {
	for service, p := range c.pools {
		if p.queue == nil {
			continue
		}
		waiting := float64(p.queue.Len())
		total := waiting
		for _, key := range p.queue.keys {
			total += c.ledger.Others(key)
		}
		list = append(list, Gauge{Decision: "queues", Name: "waiting", Subject: service, Value: waiting},
			Gauge{Decision: "queues", Name: "waitingAtAllRouters", Subject: service, Value: total},
			Gauge{Decision: "queues", Name: "refusedEarly", Subject: service, Value: float64(p.queue.refused)})
	}
	return list
}
