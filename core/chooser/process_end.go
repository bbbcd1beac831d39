package chooser

import (
	"time"

	"cactusroute.dev/core/registrar"
)

// unconfirmedIntervals is the number of heartbeat intervals after which the process of an endpoint that is still ready
// has not ended: it would be silent, or another start would have registered. It allows for a heartbeat that is late.
const unconfirmedIntervals = 6

// processEnd is what a router has seen that the end of an endpoint's process would explain. Until it is refuted or the
// endpoint registers again, the software version of the last heartbeat may be that of an earlier process.
type processEnd struct {
	aliveAt time.Time // when the process was last known to run; zero if nothing was seen
	until   time.Time // when the absence of other news refutes it
}

// RecordProcessEnd records that the process of an endpoint may have ended after aliveAt. It reports whether the version
// of the endpoint was known until then.
func (c *Chooser) RecordProcessEnd(now, aliveAt time.Time, target registrar.Endpoint) (isNew bool) {
	e := c.lookup(target)
	if e == nil {
		return false
	}
	isNew = e.isVersionKnown(now)
	e.recordProcessEnd(now, aliveAt, c.limits.HeartbeatInterval)
	return isNew
}

// RecordProcessEndAt records the same for the endpoint at an address. What was seen before that endpoint became known
// is about another one.
func (c *Chooser) RecordProcessEndAt(now, aliveAt time.Time, address string) {
	for _, e := range c.byID {
		if e.Address == address && !aliveAt.Before(e.knownSince) {
			e.recordProcessEnd(now, aliveAt, c.limits.HeartbeatInterval)
		}
	}
}

func (e *endpoint) recordProcessEnd(now, aliveAt time.Time, heartbeatInterval time.Duration) {
	if !e.isVersionKnown(now) && e.processEnd.aliveAt.Before(aliveAt) {
		aliveAt = e.processEnd.aliveAt
	}
	e.processEnd = processEnd{aliveAt: aliveAt, until: now.Add(unconfirmedIntervals * heartbeatInterval)}
}

// extendProcessEnd is called when an endpoint is no longer silent. That is no news of its process: control instances
// that received its earlier heartbeats correct those that missed them.
func (e *endpoint) extendProcessEnd(now time.Time, heartbeatInterval time.Duration) {
	if !e.processEnd.aliveAt.IsZero() {
		e.processEnd.until = now.Add(unconfirmedIntervals * heartbeatInterval)
	}
}

// isVersionKnown reports whether the process of the last heartbeat still runs as far as this router knows.
func (e *endpoint) isVersionKnown(now time.Time) bool {
	return e.processEnd.aliveAt.IsZero() || e.State == registrar.Ready && !now.Before(e.processEnd.until)
}

// PossibleEnd is an endpoint whose process may have ended after AliveAt.
type PossibleEnd struct {
	Endpoint registrar.Endpoint
	AliveAt  time.Time
}

// PossibleEnds returns the endpoints of a service with a software version whose processes may have ended.
func (c *Chooser) PossibleEnds(now time.Time, service, version string) (list []PossibleEnd) {
	p := c.pools[service]
	if p == nil {
		return nil
	}
	for _, e := range p.endpoints {
		if e.Version == version && !e.isVersionKnown(now) {
			list = append(list, PossibleEnd{e.Endpoint, e.processEnd.aliveAt})
		}
	}
	return list
}

// RefuteProcessEnd records that the process of an endpoint has not ended after all.
func (c *Chooser) RefuteProcessEnd(end PossibleEnd) {
	if e := c.lookup(end.Endpoint); e != nil && e.processEnd.aliveAt.Equal(end.AliveAt) {
		e.processEnd = processEnd{}
	}
}

// PossibleEndOf returns since when the process of an endpoint may have ended. It is known to be gone, with a zero time,
// if the endpoint has left or registered again.
func (c *Chooser) PossibleEndOf(now time.Time, target registrar.Endpoint) (end PossibleEnd, isKnown bool) {
	e := c.lookup(target)
	if e == nil {
		return PossibleEnd{Endpoint: target}, false
	}
	return PossibleEnd{e.Endpoint, e.processEnd.aliveAt}, e.isVersionKnown(now)
}
