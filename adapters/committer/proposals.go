package committer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusroute.dev/adapters/courier"
	"cactusroute.dev/core/replicator"
)

// ErrTooLarge says that an entry exceeds MaxEntryBytes; nothing was proposed.
var ErrTooLarge = errors.New("entry exceeds 9 MiB")

// NoQuorumError says that no quorum confirmed a proposal in time.
type NoQuorumError struct {
	// Unknown is set when the proposal was sent and may still commit; otherwise it was never sent.
	MayCommit bool
	Cause     error
}

// Error tells whether the proposal may still commit.
func (e *NoQuorumError) Error() string {
	if e.MayCommit {
		return fmt.Sprintf("no quorum confirmed the proposal, it may still commit: %v", e.Cause)
	}
	return fmt.Sprintf("no quorum of the control group is reachable, nothing was proposed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoQuorumError) Unwrap() error { return e.Cause }

// StoppedError says that this replica takes no part in the group any more.
type StoppedError struct{ Cause error }

// Error names the cause.
func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "control replica stopped"
	}
	return fmt.Sprintf("control replica stopped: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// ChangeError says why the leader refused a membership change.
type ChangeError struct{ Reason replicator.RefusalReason }

// Error returns the reason.
func (e *ChangeError) Error() string { return "membership change refused: " + string(e.Reason) }

var errNoConfirmation = errors.New("no read index round within 2 s")

// Propose commits an entry, through the leader if it is another instance, and returns the result of applying it
// here. It returns a *NoQuorumError without a quorum or when ctx ends, a *StoppedError, or ErrTooLarge. An entry is
// applied more than once when an answer is lost.
func (c *Committer) Propose(ctx context.Context, entry []byte) (result any, err error) {
	if len(entry) > MaxEntryBytes {
		return nil, ErrTooLarge
	}
	return c.wait(ctx, &waiter{data: entry})
}

func (c *Committer) wait(ctx context.Context, w *waiter) (any, error) {
	w.tag = replicator.Tag{Origin: c.origin, Seq: c.seq.Add(1)}
	w.since = time.Now()
	w.done = make(chan outcome, 1)
	defer w.gone.Store(true)
	select {
	case c.events <- event{waiter: w, bytes: len(w.data)}:
	case <-ctx.Done():
		return nil, &NoQuorumError{Cause: ctx.Err()}
	case <-c.stopped:
		return nil, &StoppedError{}
	}
	select {
	case o := <-w.done:
		if o.err == nil && w.change == nil {
			c.metrics.commits.Observe(time.Since(w.since).Seconds())
		}
		return o.result, o.err
	case <-ctx.Done():
		return nil, &NoQuorumError{MayCommit: true, Cause: ctx.Err()}
	case <-c.stopped:
		return nil, &StoppedError{}
	}
}

// submit hands a proposal to the own replica if it leads, or forwards it; without a leader it waits.
func (c *Committer) submit(w *waiter) replicator.Input {
	c.waiters[w.tag] = w
	w.sentAt = time.Time{}
	switch {
	case c.failed != nil:
		c.finish(w.tag, outcome{err: &StoppedError{Cause: c.failed}})
		return nil
	case c.replica == nil || c.replica.Leader() == "":
		return nil
	}
	w.sent, w.sentAt = true, time.Now()
	if c.replica.Role() != replicator.Leader {
		p := courier.Proposal{Cluster: c.cluster, Tag: w.tag, Data: w.data, Change: w.change}
		c.courier.SendProposal(c.leaderName(), p)
		return nil
	}
	if w.change != nil {
		ch := *w.change
		ch.Tag = w.tag
		return ch
	}
	return replicator.Proposal{Tag: w.tag, Data: w.data}
}

func (c *Committer) leaderName() string {
	id := c.replica.Leader()
	if name, ok := c.memberNames()[id]; ok {
		return name
	}
	return c.nameOf(id)
}

// resubmit sends again what has no result, and forgets what nobody waits for.
func (c *Committer) resubmit(now time.Time) (inputs []replicator.Input) {
	for tag, w := range c.waiters {
		switch {
		case w.gone.Load():
			delete(c.waiters, tag)
		case now.Sub(w.sentAt) >= retryInterval:
			if in := c.submit(w); in != nil {
				inputs = append(inputs, in)
			}
		}
	}
	return inputs
}

// refused handles a proposal that was not appended. Only membership changes fail for it; others are sent again.
func (c *Committer) refused(r replicator.RefusedProposal) {
	if r.Tag.Origin != c.origin {
		if from, ok := c.foreign[r.Tag]; ok {
			c.courier.SendRefusal(from, courier.Refusal{Tag: r.Tag, Reason: r.Reason})
		}
		return
	}
	w := c.waiters[r.Tag]
	if w == nil {
		return
	}
	retry := r.Reason == replicator.RefusedNotLeader || r.Reason == replicator.RefusedNoCommitInTerm ||
		r.Reason == replicator.RefusedChangeInProgress
	// A change that was sent twice has been made by the first one.
	done := r.Reason == replicator.RefusedNoChange ||
		r.Reason == replicator.RefusedUnknownMember && w.change != nil && w.change.Kind == replicator.ChangeRemove
	if done {
		c.finish(r.Tag, outcome{})
		return
	}
	if w.change != nil && !retry {
		c.finish(r.Tag, outcome{err: &ChangeError{Reason: r.Reason}})
		return
	}
	w.sentAt = time.Time{}
}

func (c *Committer) finish(tag replicator.Tag, o outcome) {
	if w := c.waiters[tag]; w != nil {
		delete(c.waiters, tag)
		w.done <- o
	}
}

// expireWaiters ends waiting when no quorum was confirmed for the length of the lease.
func (c *Committer) expireWaiters(now time.Time) {
	if p := c.confirmed.Load(); p != nil && now.Sub(p.at) <= quorumLimit {
		return
	}
	for tag, w := range c.waiters {
		if now.Sub(w.since) > quorumLimit {
			c.finish(tag, outcome{err: &NoQuorumError{MayCommit: w.sent, Cause: errNoConfirmation}})
		}
	}
}

func (c *Committer) failWaiters(err error) {
	for tag := range c.waiters {
		c.finish(tag, outcome{err: err})
	}
}
