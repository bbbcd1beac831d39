package chooser

import (
	"math"
	"math/bits"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// weighInterval is the time after which the weights of the endpoints of a service are computed again. Stated paces
	// change many times a second.
	weighInterval = 10 * time.Millisecond

	// minWeight and maxWeight bound the share of an endpoint in the requests, relative to the mean.
	minWeight = 0.25
	maxWeight = 2

	// workSizes is the number of sizes of prompts, and of outputs, that times are compared within; each is 4 times the
	// one before.
	workSizes = 8

	// workKinds is the number of kinds of requests, each also for requests at another endpoint than the first of the
	// ranking, which has to read the prompt.
	workKinds = 4

	// workTimeWeight is the weight of the last response in the average times of a service.
	workTimeWeight = 0.03

	// shorterTimeFactor is the factor of that weight for shorter times than the average: responses wait for more than
	// slots, and a rate of ends that is taken for too low leaves slots idle.
	shorterTimeFactor = 4

	// minWorkTimes is the number of responses of a kind and size before times are compared with their average.
	minWorkTimes = 8
)

// workClass is the kind and size of a request's work.
type workClass int

// workClasses is the number of workClass values.
const workClasses = workKinds * workSizes * workSizes

// workTime is the average time of a class.
type workTime struct {
	meanLog float64 // of seconds
	n       int
}

// work is what a router knows of the times of a service.
type work struct {
	times     []workTime // by workClass; nil until a response was measured
	seconds   float64    // time of a request in a slot, rather short; 0 until a response was measured
	weighedAt time.Time
}

// classOf returns the class of a request at an endpoint with a rank.
func classOf(q *Query, rank int) workClass {
	kind := 0
	if q.Kind == planner.KindStream {
		kind = 2
	}
	if rank > 0 {
		kind++
	}
	prompt := q.PromptTokens
	if len(q.Parts) > 0 {
		prompt = 0
		for i := range q.Parts {
			if rank > 0 || i == len(q.Parts)-1 {
				prompt += q.Parts[i].Tokens // the first of the ranking has cached the shared parts
			}
		}
	}
	return workClass((kind*workSizes+sizeOf(prompt))*workSizes + sizeOf(q.OutputTokens))
}

func sizeOf(tokens int) int { return min(workSizes-1, bits.Len(uint(max(0, tokens)))/2) }

// RecordTime records how long an endpoint took until the header of its response.
func (c *Chooser) RecordTime(now time.Time, choice Choice) {
	p, e := c.pools[choice.Endpoint.Service], c.lookup(choice.Endpoint)
	seconds := now.Sub(choice.At).Seconds()
	if p == nil || e == nil || seconds <= 0 || !c.policy.Pace && !c.policy.Queues {
		return
	}
	known := float64(choice.Load + 1)
	slotSeconds := seconds / queueFactor(known, e)
	if e.reportedAt.Equal(now) {
		// The load that was known is old, and the one that is reported now excludes what ended meanwhile.
		slotSeconds = seconds / queueFactor((known+float64(e.reported))/2, e)
	}
	if p.work.times == nil {
		p.work.times = make([]workTime, workClasses)
		p.work.seconds = slotSeconds
	}
	weight := workTimeWeight
	if slotSeconds < p.work.seconds {
		weight *= shorterTimeFactor
	}
	p.work.seconds += weight * (slotSeconds - p.work.seconds)
	t := &p.work.times[choice.class]
	l := math.Log(seconds / queueFactor(known, e))
	if t.n >= minWorkTimes {
		e.pace.RecordTime(now, math.Exp(l-t.meanLog))
		c.logSpeed(e)
	}
	t.n++
	t.meanLog += (l - t.meanLog) * max(workTimeWeight, 1/float64(t.n))
}

// queueFactor returns the time of a request among a number of them relative to one that finds a free slot.
func queueFactor(load float64, e *endpoint) float64 {
	if e.Slots <= 0 {
		return 1
	}
	return max(1, load/float64(e.Slots))
}

// weigh computes the weights of the endpoints of a pool. Requests at an endpoint are bounded by a multiple of their
// mean number, so that no weight exceeds the target below that bound.
func (c *Chooser) weigh(now time.Time, p *pool, load poolLoad) {
	if !c.policy.Pace || now.Sub(p.work.weighedAt) < weighInterval {
		return
	}
	p.work.weighedAt = now
	sum, n := 0.0, 0
	for _, e := range p.endpoints {
		e.weight = 1 / e.pace.Factor(now)
		if e.accepts(now) {
			sum += e.weight
			n++
		}
	}
	if n == 0 {
		return
	}
	highest := float64(maxWeight)
	if load.total > 0 {
		mean := float64(load.total) / float64(len(p.endpoints))
		highest = min(highest, max(1, fillTarget(load.loadBound)/mean))
	}
	for _, e := range p.endpoints {
		e.weight = min(highest, max(minWeight, e.weight*float64(n)/sum))
	}
}

// paceWeight returns the share of the endpoint in the requests, relative to the mean.
func (c *Chooser) paceWeight(e *endpoint) float64 {
	if !c.policy.Pace || e.weight <= 0 {
		return 1
	}
	return e.weight
}

// timelyLimit returns the number of requests that a plain endpoint can finish by the target of the request or, if the
// target can't be met there, by its deadline.
func (c *Chooser) timelyLimit(now time.Time, q *Query, p *pool, e *endpoint) float64 {
	if !c.policy.Pace || q.Service.Engine || e.Slots <= 0 || p.work.seconds <= 0 || q.Deadline.IsZero() {
		return math.Inf(1)
	}
	seconds := p.work.seconds / c.paceWeight(e)
	rounds := q.TargetAt.Sub(now).Seconds() / seconds
	if rounds < 1 {
		rounds = q.Deadline.Sub(now).Seconds() / seconds
	}
	if rounds < 1 {
		return 0
	}
	return float64(e.Slots) * rounds
}

// loadCost returns the load that a request would see at the endpoint, in units in which loads are leveled.
func (c *Chooser) loadCost(n, weight float64) float64 {
	if !c.policy.Pace {
		return n
	}
	return (n + 1) / weight
}

// paceGauges appends the weights of endpoints that differ from the mean.
func (c *Chooser) paceGauges(list []Gauge) []Gauge {
	if !c.policy.Pace {
		return list
	}
	for service, p := range c.pools {
		if p.work.seconds <= 0 {
			continue
		}
		list = append(list, Gauge{Decision: "pace", Name: "workSeconds", Subject: service, Value: p.work.seconds})
		low, high := 1.0, 1.0
		for _, e := range p.endpoints {
			low, high = min(low, c.paceWeight(e)), max(high, c.paceWeight(e))
		}
		list = append(list, Gauge{Decision: "pace", Name: "lowestWeight", Subject: service, Value: low},
			Gauge{Decision: "pace", Name: "highestWeight", Subject: service, Value: high})
	}
	return list
}

// slowFactor is how long work takes at an endpoint, relative to its peers, from which it is logged as slow, and
// normalFactor where it no longer is.
const (
	slowFactor   = 1.6
	normalFactor = 1.3
)

// logSpeed records when measured times show an endpoint as lastingly slow, and when they no longer do.
func (c *Chooser) logSpeed(e *endpoint) {
	lasting := e.pace.Lasting()
	switch {
	case !e.isSlow && lasting > slowFactor:
		e.isSlow = true
		c.addEvent("endpoint slow by its response times", "service", e.Service, "endpoint", e.ID, "factor", lasting)
	case e.isSlow && lasting < normalFactor:
		e.isSlow = false
		c.addEvent("endpoint no longer slow", "service", e.Service, "endpoint", e.ID, "factor", lasting)
	}
}

// recordPace records the pace that an endpoint states.
func (c *Chooser) recordPace(now time.Time, target registrar.Endpoint, pace float64) {
	if e := c.lookup(target); e != nil && c.policy.Pace && pace > 0 {
		e.pace.RecordPace(now, pace)
	}
}
