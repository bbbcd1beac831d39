package committer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusroute.dev/adapters/transporter"
	"cactusroute.dev/core/replicator"
)

// ErrTooLarge reports that an entry exceeds MaxEntryBytes and was not proposed.
var ErrTooLarge = errors.New("entry exceeds the limit of 9 MiB")

// NoQuorumError reports that no quorum confirmed a proposal in time.
type NoQuorumError struct {
	// MayCommit is set if the proposal was sent and may still commit; otherwise it was not sent.
	MayCommit bool
	Cause     error
}

// Error returns the cause and whether the proposal may still commit.
func (e *NoQuorumError) Error() string {
	if e.MayCommit {
		return fmt.Sprintf("no quorum confirmed the proposal, which may still commit: %v", e.Cause)
	}
	return fmt.Sprintf("no quorum of the control group is reachable, the proposal was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoQuorumError) Unwrap() error { return e.Cause }

// StoppedError reports that the replica has stopped.
type StoppedError struct{ Cause error }

// Error returns the cause, if there is one.
func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "control replica stopped"
	}
	return fmt.Sprintf("control replica stopped: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// ChangeError reports why the leader refused a membership change.
type ChangeError struct{ Reason replicator.RefusalReason }

// Error returns the reason.
func (e *ChangeError) Error() string { return "membership change refused: " + string(e.Reason) }

var errNoConfirmation = errors.New("no read index confirmed within 2 s")

// Propose commits an entry, forwards it to the leader if necessary, and returns the result of applying it here. It
// returns a *NoQuorumError without a quorum or when ctx ends, a *StoppedError, or ErrTooLarge. An entry that is
// resubmitted because its result is missing may be applied more than once.
func (c *Committer) Propose(ctx context.Context, entry []byte) (result any, err error) {
	if len(entry) > MaxEntryBytes {
		return nil, ErrTooLarge
	}
	return c.proposeAndWait(ctx, &pendingProposal{data: entry})
}

func (c *Committer) proposeAndWait(ctx context.Context, prop *pendingProposal) (any, error) {
	prop.tag = replicator.Tag{Origin: c.origin, Seq: c.seq.Add(1)}
	prop.submittedAt = time.Now()
	prop.done = make(chan outcome, 1)
	defer prop.abandoned.Store(true)
	select {
	case c.events <- event{proposal: prop, bytes: len(prop.data)}:
	case <-ctx.Done():
		return nil, &NoQuorumError{Cause: ctx.Err()}
	case <-c.stopped:
		return nil, &StoppedError{}
	}
	select {
	case o := <-prop.done:
		if o.err == nil && prop.change == nil {
			c.metrics.commits.Observe(time.Since(prop.submittedAt).Seconds())
		}
		return o.result, o.err
	case <-ctx.Done():
		return nil, &NoQuorumError{MayCommit: true, Cause: ctx.Err()}
	case <-c.stopped:
		return nil, &StoppedError{}
	}
}

// submit returns the proposal as an input if this replica leads, and forwards it to the leader otherwise. Without a
// leader the proposal stays pending.
func (c *Committer) submit(prop *pendingProposal) replicator.Input {
	c.pending[prop.tag] = prop
	prop.sentAt = time.Time{}
	switch {
	case c.failure != nil:
		c.complete(prop.tag, outcome{err: &StoppedError{Cause: c.failure}})
		return nil
	case c.replica == nil || c.replica.Leader() == "":
		return nil
	}
	prop.sent, prop.sentAt = true, time.Now()
	if c.replica.Role() != replicator.Leader {
		p := transporter.Proposal{Cluster: c.cluster, Tag: prop.tag, Data: prop.data, Change: prop.change}
		c.transporter.SendProposal(c.leaderName(), p)
		return nil
	}
	if prop.change != nil {
		ch := *prop.change
		ch.Tag = prop.tag
		return ch
	}
	return replicator.Proposal{Tag: prop.tag, Data: prop.data}
}

func (c *Committer) leaderName() string {
	id := c.replica.Leader()
	if name, ok := c.memberNames()[id]; ok {
		return name
	}
	return c.instanceName(id)
}

// resubmit submits proposals again that have no result, and removes abandoned ones.
func (c *Committer) resubmit(now time.Time) (inputs []replicator.Input) {
	for tag, prop := range c.pending {
		switch {
		case prop.abandoned.Load():
			delete(c.pending, tag)
		case now.Sub(prop.sentAt) >= resubmitInterval<<min(prop.resubmits, maxResubmitDoublings):
			if !prop.sentAt.IsZero() {
				prop.resubmits++
			}
			if in := c.submit(prop); in != nil {
				inputs = append(inputs, in)
			}
		}
	}
	return inputs
}

// handleRefusal handles a proposal that was not appended. Commands are resubmitted; membership changes fail unless the
// reason is temporary.
func (c *Committer) handleRefusal(r replicator.RefusedProposal) {
	if r.Tag.Origin != c.origin {
		if from, ok := c.forwarders[r.Tag]; ok {
			c.transporter.SendRefusal(from, transporter.Refusal{Tag: r.Tag, Reason: r.Reason})
		}
		return
	}
	prop := c.pending[r.Tag]
	if prop == nil {
		return
	}
	retry := r.Reason == replicator.RefusedNotLeader || r.Reason == replicator.RefusedNoCommitInTerm ||
		r.Reason == replicator.RefusedChangeInProgress
	// A resubmitted change has already been made by its first submission.
	done := r.Reason == replicator.RefusedNoChange ||
		r.Reason == replicator.RefusedUnknownMember && prop.change != nil && prop.change.Kind == replicator.ChangeRemove
	if done {
		c.complete(r.Tag, outcome{})
		return
	}
	if prop.change != nil && !retry {
		c.complete(r.Tag, outcome{err: &ChangeError{Reason: r.Reason}})
		return
	}
	prop.sentAt = time.Time{}
}

func (c *Committer) complete(tag replicator.Tag, o outcome) {
	if prop := c.pending[tag]; prop != nil {
		delete(c.pending, tag)
		prop.done <- o
	}
}

// expirePending fails the pending proposals if no read index was confirmed within quorumTimeout.
func (c *Committer) expirePending(now time.Time) {
	if read := c.confirmed.Load(); read != nil && now.Sub(read.requestedAt) <= quorumTimeout {
		return
	}
	for tag, prop := range c.pending {
		if now.Sub(prop.submittedAt) > quorumTimeout {
			c.complete(tag, outcome{err: &NoQuorumError{MayCommit: prop.sent, Cause: errNoConfirmation}})
		}
	}
}

func (c *Committer) failPending(err error) {
	for tag := range c.pending {
		c.complete(tag, outcome{err: err})
	}
}
