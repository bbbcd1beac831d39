package chooser

import (
	"time"

	"cactusroute.dev/core/registrar"
)

const (
	// maxQuiet is longer than any process runs and does not overflow a time.Duration.
	maxQuiet = 100 * 365 * 24 * time.Hour

	// quietTolerance is the extension of a quiet time up to which it counts as the same one: requests that were in flight
	// together are turned away together.
	quietTolerance = time.Second

	// statementRetention is how long the statement of an endpoint is kept that is not listed. The record of a start that
	// has left may come back with a late heartbeat.
	statementRetention = 10 * time.Minute
)

// Statement is what one start of an endpoint has told this router about itself. It is in force until a later start of
// the endpoint, whatever heartbeats say and other routers know.
type Statement struct {
	ID         string
	Service    string
	Born       int64
	IsLeaving  bool      // takes no more requests
	QuietUntil time.Time // wants no request of this router before; zero if it did not ask for that
}

// The causes for which a statement ends.
const (
	EndedByTime    = "time"
	EndedByStart   = "newStart" // the endpoint has started again
	EndedByAbsence = "absence"  // the endpoint has not been listed for statementRetention
)

// EndedStatement is a statement, or the part of it, that is no longer in force.
type EndedStatement struct {
	Statement

	Cause string
}

// statement is the statement in force of one endpoint.
type statement struct {
	Statement

	absentSince time.Time // zero while the start is listed
}

// refusal returns the reason why nothing may be sent to the endpoint, or "" if the statement allows it.
func (s *statement) refusal(now time.Time) Reason {
	switch {
	case s == nil:
		return ""
	case s.IsLeaving:
		return AllLeaving
	case now.Before(s.QuietUntil):
		return AllQuiet
	}
	return ""
}

// accepts reports whether new requests may be sent to the endpoint, whatever its load.
func (e *endpoint) accepts(now time.Time) bool { return e.inService && e.said.refusal(now) == "" }

// RecordLeaving records that the endpoint has told that it leaves, and reports whether that is new. Nothing is sent to
// this start of the endpoint any more.
func (c *Chooser) RecordLeaving(now time.Time, target registrar.Endpoint) (isNew bool) {
	s := c.statementOf(now, target)
	if s == nil || s.IsLeaving {
		return false
	}
	s.IsLeaving = true
	return true
}

// RecordQuiet records that the endpoint wants no requests of this router for some time. A shorter time does not replace
// a longer one. It returns when the quiet time ends, and whether it is new or considerably longer than before.
func (c *Chooser) RecordQuiet(now time.Time, target registrar.Endpoint, d time.Duration) (until time.Time, isNew bool) {
	if d <= 0 {
		return time.Time{}, false
	}
	s := c.statementOf(now, target)
	if s == nil {
		return time.Time{}, false
	}
	until = now.Add(min(d, maxQuiet))
	if !until.After(s.QuietUntil) {
		return s.QuietUntil, false
	}
	isNew = !now.Before(s.QuietUntil) || until.Sub(s.QuietUntil) > quietTolerance
	s.QuietUntil = until
	return until, isNew
}

// Accepts reports whether the statements of the endpoint allow that a request is sent to it.
func (c *Chooser) Accepts(now time.Time, target registrar.Endpoint) bool {
	s := c.statements[target.ID]
	return s == nil || s.Born != target.Born || s.refusal(now) == ""
}

// QuietUntil returns when the first endpoint that may serve the request takes requests again; ok is false unless every
// one of them is quiet.
func (c *Chooser) QuietUntil(now time.Time, q Query) (until time.Time, ok bool) {
	p := c.pools[q.Service.Name]
	if p == nil {
		return time.Time{}, false
	}
	for _, e := range p.endpoints {
		if !e.inService || q.isOtherVersion(e) {
			continue
		}
		switch e.said.refusal(now) {
		case AllLeaving:
		case AllQuiet:
			if !ok || e.said.QuietUntil.Before(until) {
				until, ok = e.said.QuietUntil, true
			}
		default:
			return time.Time{}, false
		}
	}
	return until, ok
}

// Statements returns the statements in force, in no order.
func (c *Chooser) Statements(now time.Time) (list []Statement) {
	for _, s := range c.statements {
		if s.absentSince.IsZero() && s.refusal(now) != "" {
			list = append(list, s.Statement)
		}
	}
	return list
}

// EndedStatements returns the statements that have ended since the last call, and forgets them.
func (c *Chooser) EndedStatements(now time.Time) (list []EndedStatement) {
	for _, s := range c.statements {
		if !s.QuietUntil.IsZero() && !now.Before(s.QuietUntil) {
			ended := s.Statement
			ended.IsLeaving = false
			c.ended = append(c.ended, EndedStatement{ended, EndedByTime})
			s.QuietUntil = time.Time{}
		}
		switch {
		case !s.IsLeaving && s.QuietUntil.IsZero():
			c.forget(s)
		case !s.absentSince.IsZero() && now.Sub(s.absentSince) > statementRetention:
			c.ended = append(c.ended, EndedStatement{s.Statement, EndedByAbsence})
			c.forget(s)
		}
	}
	list, c.ended = c.ended, nil
	return list
}

// statementOf returns the statement of a start of an endpoint, or nil if a later start is known.
func (c *Chooser) statementOf(now time.Time, target registrar.Endpoint) *statement {
	e, s := c.byID[target.ID], c.statements[target.ID]
	if e != nil && e.Born > target.Born || s != nil && s.Born > target.Born {
		return nil
	}
	if s == nil || s.Born < target.Born {
		s = &statement{Statement: Statement{ID: target.ID, Service: target.Service, Born: target.Born}, absentSince: now}
		c.statements[target.ID] = s
		c.attach(now, s)
	}
	return s
}

// attach connects a statement to the listed endpoint, or records that this start is not listed.
func (c *Chooser) attach(now time.Time, s *statement) {
	switch e := c.byID[s.ID]; {
	case e != nil && e.Born == s.Born:
		e.said, s.absentSince = s, time.Time{}
	case s.absentSince.IsZero():
		s.absentSince = now
	}
}

// updateStatements ends the statements of endpoints that have started again, and connects the others to the endpoints.
func (c *Chooser) updateStatements(now time.Time) {
	for _, s := range c.statements {
		if e := c.byID[s.ID]; e != nil && e.Born > s.Born {
			c.ended = append(c.ended, EndedStatement{s.Statement, EndedByStart})
			c.forget(s)
			continue
		}
		c.attach(now, s)
	}
}

func (c *Chooser) forget(s *statement) {
	delete(c.statements, s.ID)
	if e := c.byID[s.ID]; e != nil && e.said == s {
		e.said = nil
	}
}
