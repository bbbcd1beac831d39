package chooser

import (
	"math"
	"time"

	"cactusroute.dev/core/registrar"
)

const (
	// rateWindow is the time over which the requests to an endpoint with a rate limit are counted.
	rateWindow = 2 * time.Second

	// minRate is the rate of requests to an endpoint that takes none: only its responses can end the limit.
	minRate = 0.25

	// burstFactor and rateBurst bound the requests within rateWindow: the factor of what a limit allows, and the number in
	// addition. While the wanted requests of all routers are known, the mean is held to the limit by them.
	burstFactor = 1.25
	rateBurst   = 1

	// rateGainStep is the part of the relative difference between a limit and the requests that is corrected with each
	// report, and maxRateGain bounds the correction.
	rateGainStep = 0.05
	maxRateGain  = 1.5

	// endedLimitRetention is how long routers tell each other that a limit has ended.
	endedLimitRetention = 10 * time.Second

	// urgentRateFactor is the factor by which requests of the highest priority are preferred at an endpoint with a rate
	// limit. Those of the lowest priority are reduced so that the mean is 1.
	urgentRateFactor = 1.5
)

// RateLoad is what routers tell each other about an endpoint that has named a rate limit.
type RateLoad struct {
	Born       int64 // start time of the endpoint's process
	PerSecond  float64
	IsNamed    bool      // false once the limit has ended
	ObservedAt time.Time // when a router received the response that is decisive; zero without a limit
	Sent       int       // requests within rateWindow
}

// merge returns what two groups of routers know together. The later start of the endpoint and the later response count.
func (l RateLoad) merge(other RateLoad) RateLoad {
	switch {
	case l.Born < other.Born || l.ObservedAt.IsZero():
		return other
	case other.Born < l.Born || other.ObservedAt.IsZero():
		return l
	}
	sent := l.Sent + other.Sent
	if other.ObservedAt.After(l.ObservedAt) {
		l = other
	}
	l.Sent = sent
	return l
}

// rateLimit is the rate of requests that an endpoint has named in its responses.
type rateLimit struct {
	perSecond  float64   // of all routers together; meaningful if isNamed
	isNamed    bool      // false if the last response did not name a limit
	observedAt time.Time // when the response that is decisive was received
	// gain corrects the rate that is accepted, so that the requests of all routers come to the limit: the wanted requests
	// that a router knows vary by chance, and fractions above 1 are lost.
	gain   float64
	heldAt time.Time // when a request last went elsewhere for the limit
}

// next returns the limit after a response; the gain of a limit that goes on is kept.
func (l rateLimit) next(perSecond float64, isNamed bool, observedAt time.Time) rateLimit {
	n := rateLimit{perSecond: perSecond, isNamed: isNamed, observedAt: observedAt, gain: l.gain,
		heldAt: l.heldAt}
	if !l.isNamed || !isNamed {
		n.gain = 1
	}
	return n
}

// RecordRateLimit records the limit that a response named, and reports whether what is known has changed. A response
// without a limit ends it only if its request was sent after the limit was last named: responses may overtake each
// other.
func (c *Chooser) RecordRateLimit(
	now time.Time, target registrar.Endpoint, sentAt time.Time, perSecond float64, isNamed bool,
) (changed bool) {
	e := c.lookup(target)
	if e == nil || !isNamed && (!e.limit.isNamed || !sentAt.After(e.limit.observedAt)) {
		return false
	}
	changed = e.limit.isNamed != isNamed || e.limit.perSecond != perSecond
	e.limit = e.limit.next(perSecond, isNamed, now)
	return changed
}

// rateLoad returns what this router tells the others about the endpoint's limit.
func (e *endpoint) rateLoad(now time.Time) RateLoad {
	l := e.limit
	if l.observedAt.IsZero() || !l.isNamed && now.Sub(l.observedAt) > endedLimitRetention {
		return RateLoad{}
	}
	e.sent = recent(e.sent, now, rateWindow)
	return RateLoad{Born: e.Born, PerSecond: l.perSecond, IsNamed: l.isNamed, ObservedAt: l.observedAt, Sent: len(e.sent)}
}

// setRemoteRate sets what all routers know of the endpoint's limit; published is what this one has told them.
func (e *endpoint) setRemoteRate(now time.Time, total, published RateLoad) {
	e.remoteSent = 0
	if total.Born != e.Born {
		return
	}
	e.remoteSent = total.Sent
	if published.Born == e.Born {
		e.remoteSent = max(0, total.Sent-published.Sent)
	}
	if total.ObservedAt.After(e.limit.observedAt) {
		e.limit = e.limit.next(total.PerSecond, total.IsNamed, total.ObservedAt)
	}
	if e.limit.isNamed {
		e.correctGain(now, total.Sent)
	}
}

// correctGain adapts the gain to the requests of all routers within rateWindow. It grows only while the limit is the
// reason why requests go elsewhere.
func (e *endpoint) correctGain(now time.Time, sent int) {
	step := rateGainStep * (1 - float64(sent)/(e.maxRate()*rateWindow.Seconds()))
	if step > 0 && e.wanted/wantedWindow.Seconds() <= e.maxRate() && now.Sub(e.limit.heldAt) > remoteLoadTTL {
		return
	}
	e.limit.gain = min(maxRateGain, max(1/maxRateGain, e.limit.gain+step))
}

// maxRate returns the rate of requests of all routers that the endpoint takes.
func (e *endpoint) maxRate() float64 {
	if !e.limit.isNamed {
		return math.Inf(1)
	}
	return max(minRate, e.limit.perSecond)
}

// preferredRate returns the rate up to which requests of a priority are accepted: urgent ones first.
func (e *endpoint) preferredRate(priority float64) float64 {
	if !e.limit.isNamed {
		return math.Inf(1)
	}
	return e.maxRate() * e.limit.gain * (urgentRateFactor - priority)
}

// hasRateRoom reports whether the requests of all routers within rateWindow leave room for one more. Without recent
// reports, the other routers are assumed to send as much as this one.
func (c *Chooser) hasRateRoom(now time.Time, e *endpoint) bool {
	if !e.limit.isNamed {
		return true
	}
	e.sent = recent(e.sent, now, rateWindow)
	sent, factor := len(e.sent)*c.routers, 1.0
	if c.routers > 1 && now.Sub(c.remoteAt) <= remoteLoadTTL {
		sent, factor = len(e.sent)+e.remoteSent, burstFactor
	}
	return float64(sent+1) <= factor*e.maxRate()*rateWindow.Seconds()+rateBurst
}

// shareOfRate returns the fraction of this router's requests with which it keeps to its equal share of the endpoint's
// limit while nothing is known of the other routers.
func (c *Chooser) shareOfRate(now time.Time, e *endpoint, priority float64) float64 {
	if !e.limit.isNamed || c.routers <= 1 {
		return 1
	}
	e.limitedAttempts.add(now, demandWindow)
	rate := e.limitedAttempts.get(now, demandWindow) / demandWindow.Seconds()
	return fraction(e.preferredRate(priority)/float64(c.routers), rate)
}

// RateOverload returns the rate of requests for a service in relation to what its endpoints with a rate limit take, at
// least 1.
func (c *Chooser) RateOverload(service string) float64 {
	p := c.pools[service]
	if p == nil {
		return 1
	}
	wanted, taken := 0.0, 0.0
	for _, e := range p.endpoints {
		if e.inService && e.limit.isNamed {
			wanted += e.wanted / wantedWindow.Seconds()
			taken += e.maxRate()
		}
	}
	if taken == 0 {
		return 1
	}
	return max(1, wanted/taken)
}
