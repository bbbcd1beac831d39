package detector

import "time"

// State is the state of one connection.
type State uint8

const (
	// Idle means that the peer does not have to send heartbeats, so that inactivity is not a failure.
	Idle State = iota
	// Healthy means that the last activity is recent.
	Healthy
	// Suspect means that a heartbeat is overdue; a new connection may be opened in advance.
	Suspect
	// Failed means that the connection was inactive for too long and must be replaced.
	Failed
)

// Limits are the times of inactivity after which a connection changes its state.
type Limits struct {
	SuspectAfter time.Duration
	FailAfter    time.Duration
	// MaxCheckInterval is the longest time between two checks while the process is running. After a longer one,
	// the process itself was paused, and data that the peer sent meanwhile is still unread.
	MaxCheckInterval time.Duration
}

// Connection is the heartbeat state of one connection.
type Connection struct {
	limits       Limits
	lastActivity time.Time // or when the connection became active, if later
	lastCheck    time.Time
	active       bool
	failed       bool
}

// NewConnection returns an idle connection.
func NewConnection(limits Limits, now time.Time) *Connection {
	return &Connection{limits: limits, lastActivity: now, lastCheck: now}
}

// SetActive sets whether the peer has to send heartbeats, which it does while requests are in flight.
func (c *Connection) SetActive(active bool, now time.Time) {
	if active && !c.active {
		c.lastActivity, c.lastCheck = laterOf(c.lastActivity, now), laterOf(c.lastCheck, now)
	}
	c.active = active
}

// RecordActivity records that data was received from the peer at now.
func (c *Connection) RecordActivity(now time.Time) { c.lastActivity = laterOf(c.lastActivity, now) }

// Check returns the state at now. A failed connection never recovers, because its peer may already have been told
// that another connection replaced it.
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
	switch inactivity := now.Sub(c.lastActivity); {
	case inactivity > c.limits.FailAfter:
		c.failed = true
		return Failed
	case inactivity > c.limits.SuspectAfter:
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

// Action is the reaction to the failed connection of a request.
type Action uint8

const (
	// Reconnect means that a new connection to the peer must be opened.
	Reconnect Action = iota + 1
	// GiveUp means that the peer is lost.
	GiveUp
)

// Peer distinguishes a lost peer from a failed connection. A peer is lost if a connection fails and the connection
// that replaces it fails, too, before anything was received on it.
type Peer struct {
	reconnecting bool
}

// RecordActivity records that data was received from the peer on the current connection.
func (p *Peer) RecordActivity() { p.reconnecting = false }

// RecordFailure records that the current connection timed out, broke or could not be opened.
func (p *Peer) RecordFailure() Action {
	if p.reconnecting {
		return GiveUp
	}
	p.reconnecting = true
	return Reconnect
}
