package node

import (
	"context"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/rollouter"
)

// StartRollout implements Control.
func (f *fleet) StartRollout(ctx context.Context, r rollouter.Rollout) error {
	ci, err := f.localControl()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	s, err := readForSender(ctx, ci) // the sender of a delayed order may have left
	if err != nil {
		return err
	}
	plan, err := f.dialect.DecodePlan(s.Plan.Content)
	switch {
	case err != nil:
		return &UnavailableError{Reason: "no plan names the service yet: " + err.Error()}
	case plan.Service(r.Service) == nil:
		return &BadRequestError{Reason: "the plan has no service " + r.Service}
	}
	err = ci.propose(ctx, fleetapplier.Command{Rollout: &rollouter.Change{Rollout: r}})
	return f.logOrder("rollout", r.Service+" to "+r.Target, err)
}

// Rollouts implements Control.
func (f *fleet) Rollouts(ctx context.Context) ([]rollouter.Rollout, error) {
	s, err := f.readState(ctx)
	return s.Rollouts, err
}

// CommitStep implements advancer.Instance.
func (f *fleet) CommitStep(ctx context.Context, s rollouter.Step) {
	if !f.control.isLeader() {
		return
	}
	err := f.control.propose(ctx, fleetapplier.Command{Rollout: &s.Change})
	f.log.event("next phase of rollout", append(s.Keyvals, "err", err)...)
}

// outcomes returns what this node has counted of running rollouts.
func (r *routingState) outcomes() (o exchanger.Outcomes) {
	r.withChooser(func(ch *chooser.Chooser) { o = ch.Outcomes() })
	return o
}

// recordOutcome counts the result of an attempt for the rollout of its service, if there is one.
func (t *transfer) recordOutcome(c chooser.Choice, d decision, ref refusal) {
	now := time.Now()
	a := rollouter.Attempt{Endpoint: c.Endpoint, Route: t.request.route.Name, SentAt: t.sentAt, EndedAt: now}
	isUnresponsive := t.firstByteAt.IsZero() && now.Sub(t.sentAt) >= unresponsiveTimeout
	switch {
	case d == abandonRequest && !isUnresponsive || ref.reason == "endpointRejected":
		return
	case ref.reason == "unreachable":
		a.Result = rollouter.Unreachable
	case ref.reason == "endpointError" || ref.reason == "endpointStatus" || d == finishRequest && ref.status >= 500:
		a.Result = rollouter.Failed
	case d != finishRequest:
		a.Result = rollouter.Broken
	default:
		a.Result = rollouter.Answered
		a.First, a.Pace = rollouter.Durations(t.sentAt, t.firstByteAt, now, t.splitter.events-t.eventsBefore)
	}
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordAttempt(now, a) })
}
