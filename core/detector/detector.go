package detector

import "time"

// State is the state of one connection.
type State uint8

const (
	// Idle means that nothing is expected on the connection, so that silence says nothing.
	Idle State = iota
	// Quiet means that the last heartbeat is recent.
	Healthy
	// Suspect means that a heartbeat is overdue; a new connection may be prepared.
	Suspect
	// Replace means that the connection has been silent beyond its limit.
	Failed
)

// Limits are the times of silence after which a connection changes its state.
type Limits struct {
	SuspectAfter time.Duration
	FailAfter    time.Duration
	// Pause is the longest time between two steps that a running process takes. After a longer one the
	// process itself was stopped, and what the peer sent meanwhile is still unread.
	MaxCheckInterval time.Duration
}

// Connection is the heartbeat state of one connection.
type Connection struct {
	limits       Limits
	lastActivity time.Time // of the last sign of life, or of the first expectation
	lastCheck    time.Time
	active       bool
	failed       bool
}

// NewConnection returns an idle connection.
func NewConnection(limits Limits, now time.Time) *Connection {
	return &Connection{limits: limits, lastActivity: now, lastCheck: now}
}

// Expect says whether the peer has to send heartbeats, which is while requests are in flight.
func (c *Connection) SetActive(active bool, now time.Time) {
	if active && !c.active {
		c.lastActivity, c.lastCheck = laterOf(c.lastActivity, now), laterOf(c.lastCheck, now)
	}
	c.active = active
}

// Hear takes note that the peer sent something.
func (c *Connection) RecordActivity(now time.Time) { c.lastActivity = laterOf(c.lastActivity, now) }

// Step returns the state at a time. A connection that is to be replaced stays so, because its peer may have
// been told already that another connection took over.
func (c *Connection) Check(now time.Time) State {
	sinceCheck := now.Sub(c.lastCheck)
	c.lastCheck = laterOf(c.lastCheck, now)
	if c.failed {
		return Failed
	}
	if !c.active {
		return Idle
	}
	if sinceCheck > c.limits.MaxCheckInterval {
		c.lastActivity = laterOf(c.lastActivity, now.Add(-c.limits.SuspectAfter))
	}
	switch silence := now.Sub(c.lastActivity); {
	case silence > c.limits.FailAfter:
		c.failed = true
		return Failed
	case silence > c.limits.SuspectAfter:
		return Suspect
	default:
		return Healthy
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Action is what has to be done for a request after its connection has failed.
type Action uint8

const (
	// Reconnect means that a new connection to the peer has to be tried.
	Reconnect Action = iota + 1
	// GiveUp means that the peer is lost.
	GiveUp
)

// Peer tells a peer that is lost from one whose connection failed: only the failure of a new connection that was
// opened because an earlier one failed, and that has never carried anything, makes the peer lost.
type Peer struct {
	reconnecting bool
}

// Heard takes note that the current connection has carried something from the peer.
func (p *Peer) RecordActivity() { p.reconnecting = false }

// Failed takes note that the current connection is silent, broken or could not be opened.
func (p *Peer) RecordFailure() Action {
	if p.reconnecting {
		return GiveUp
	}
	p.reconnecting = true
	return Reconnect
}
