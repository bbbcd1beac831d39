package confirmer

import "time"

const (
	// maxAge is the age of a confirmation up to which a state counts as current. It outlasts a lost heartbeat of a control
	// instance, and is shorter than the time within which a change has to be in force everywhere.
	maxAge = 1500 * time.Millisecond

	// unconfirmedDelay is how long a state waits for the word of another process. If there is no sign of a quorum, after a
	// failure of all processes, a state that may be outdated serves callers better than none.
	unconfirmedDelay = time.Second

	// expectationTimeout is how long a state waits after the last sign of a quorum: a current state or a confirmation is
	// on its way.
	expectationTimeout = 2 * time.Second

	// maxUnconfirmedDelay bounds the wait while there are signs of a quorum: the log of an instance with an emptied disk
	// may take seconds, and a link may pass one way only.
	maxUnconfirmedDelay = 10 * time.Second
)

// Confirmer tracks the confirmations of the replicated state of one process. It is not safe for concurrent use.
type Confirmer struct {
	started     time.Time
	index       uint64    // of the state that the newest confirmation is about
	confirmedAt time.Time // of the newest confirmation, zero before the first one
	expectedAt  time.Time // of the last sign of a quorum, zero if there was none
	expectsNone bool      // by the word of another process

	indexInForce       uint64
	inForceConfirmedAt time.Time // zero if the state in force is not confirmed
}

// New returns a confirmer of a process that started at the given time, without a confirmation.
func New(started time.Time) *Confirmer { return &Confirmer{started: started} }

// Confirm records that a state of at least this index has all changes that were acknowledged before a point in time.
func (c *Confirmer) Confirm(index uint64, at time.Time) {
	if !at.After(c.confirmedAt) {
		return
	}
	c.index, c.confirmedAt = max(c.index, index), at
	c.confirmInForce()
}

// Expect records a sign of a quorum, such as a message of a leader or the word of another process.
func (c *Confirmer) Expect(now time.Time) { c.expectedAt = now }

// ExpectNone records the word of another process that it knows of no quorum, or that it confirms nothing.
func (c *Confirmer) ExpectNone() { c.expectsNone = true }

// SetInForce records the index of the state in force.
func (c *Confirmer) SetInForce(index uint64) {
	c.indexInForce = index
	c.confirmInForce()
}

func (c *Confirmer) confirmInForce() {
	if c.indexInForce >= c.index {
		c.inForceConfirmedAt = c.confirmedAt
	}
}

// Confirmed returns the newest confirmation; the time is zero before the first one.
func (c *Confirmer) Confirmed() (index uint64, at time.Time) { return c.index, c.confirmedAt }

// MayPutInForce reports whether a received state may be put in force. States that are known to be outdated, such as
// those that the log of an instance replays after its start, are held back while a current one is to be expected. A
// newer state than the one in force is never held back, because a process that waits uses an even older one meanwhile.
func (c *Confirmer) MayPutInForce(now time.Time, index uint64) bool {
	if c.indexInForce > 0 && index > c.indexInForce || index >= c.index && c.isCurrent(now, c.confirmedAt) {
		return true
	}
	waited := now.Sub(c.lastCertain())
	isExpected := now.Sub(c.confirmedAt) < expectationTimeout || now.Sub(c.expectedAt) < expectationTimeout
	return !isExpected && (c.expectsNone || waited >= unconfirmedDelay) || waited >= maxUnconfirmedDelay
}

// MayDeny reports whether a request may be denied because the plan in force has no route or key for it: a newer plan
// may have them.
func (c *Confirmer) MayDeny(now time.Time) bool { return c.isCurrent(now, c.inForceConfirmedAt) }

// Age returns the time since the last confirmation of the state in force, or since the start if there was none.
func (c *Confirmer) Age(now time.Time) time.Duration {
	if c.inForceConfirmedAt.IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(c.inForceConfirmedAt)
}

func (c *Confirmer) isCurrent(now, confirmedAt time.Time) bool {
	return !confirmedAt.IsZero() && now.Sub(confirmedAt) <= maxAge
}

func (c *Confirmer) lastCertain() time.Time {
	if c.confirmedAt.After(c.started) {
		return c.confirmedAt
	}
	return c.started
}
