package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/orderer"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

// commandTimeout bounds an operator's command; clients try another node after 1 s.
const commandTimeout = 2500 * time.Millisecond

// readTimeout bounds a read of the plan; clients try another node after 1 s.
const readTimeout = 900 * time.Millisecond

// Control is the interface of any node for operators and endpoints. Its methods return a *RedirectError if another node
// must handle the call and an *UnavailableError if no known node can.
type Control interface {
	orderer.Control

	// PutPlan commits a plan unless the same or a newer version is committed; it returns a *planner.InvalidError for an
	// invalid plan.
	PutPlan(ctx context.Context, content []byte) error
	// Plan returns the newest plan as it was put; it is at least as new as any plan acknowledged before the call.
	Plan(ctx context.Context) (fleetapplier.EncodedPlan, error)
	// TakeOut takes the endpoints of a failure domain out of service until Restore.
	TakeOut(ctx context.Context, domain string) error
	Restore(ctx context.Context, domain string) error
	// Register records a heartbeat and returns the preferred host:port for the next ones.
	Register(ctx context.Context, e registrar.Endpoint) (next string, err error)
	// Deregister records that an endpoint has left; it returns a *BadRequestError for an invalid ID.
	Deregister(ctx context.Context, id string) error
	// Convictions returns the prompt parts that this node knows as convicted or lifted.
	Convictions() []attributor.Conviction
	// LiftConviction ends the conviction of a prompt part at all nodes; it returns a *NotConvictedError if there is none.
	LiftConviction(ctx context.Context, part attributor.Part) error
}

// RedirectError holds the control address of the node that can handle the call.
type RedirectError struct{ Address string }

// Error implements error.
func (e *RedirectError) Error() string { return "redirected to the control instance at " + e.Address }

// UnavailableError states why a read could not be served or a change was not acknowledged.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "control is unavailable: " + e.Reason }

// NotConvictedError names a prompt part that this node does not know as convicted.
type NotConvictedError struct{ Part attributor.Part }

// Error implements error.
func (e *NotConvictedError) Error() string {
	return "prompt part " + e.Part.String() + " is not convicted"
}

// localControl returns this node's control instance if it is quorate; otherwise the error redirects the caller if
// possible.
func (f *fleet) localControl() (*controlInstance, error) {
	if f.control != nil && f.control.isQuorate() {
		return f.control, nil
	}
	if c, ok := f.preferredInstance(f.self.Domain, ""); ok {
		return nil, &RedirectError{Address: c.Control}
	}
	return nil, &UnavailableError{Reason: "no control instance with a quorum is known"}
}

// PutPlan implements Control.
func (f *fleet) PutPlan(ctx context.Context, content []byte) error {
	ci, err := f.localControl()
	if err != nil {
		return err
	}
	plan, err := f.dialect.DecodePlan(content)
	if err != nil {
		return err
	}
	if plan.Version <= ci.stateMachine.State().Plan.Version {
		return nil // the same or a newer version is committed
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err = ci.propose(ctx,
		fleetapplier.Command{Plan: &fleetapplier.EncodedPlan{Version: plan.Version, Content: content}})
	return f.logOrder("plan", plan.Version, err)
}

// logOrder logs the result of an operator's order and returns it.
func (f *fleet) logOrder(name string, value any, err error) error {
	if err != nil {
		f.log.failure("msg", "operator order not acknowledged", "order", name, "value", value, "err", err)
		return err
	}
	f.log.event("operator order committed", "order", name, "value", value)
	return nil
}

// Plan implements Control.
func (f *fleet) Plan(ctx context.Context) (fleetapplier.EncodedPlan, error) {
	s, err := f.readState(ctx)
	if err != nil {
		return fleetapplier.EncodedPlan{}, err
	}
	if s.Plan.Version == 0 {
		return fleetapplier.EncodedPlan{}, &UnavailableError{Reason: "no plan has been committed yet"}
	}
	return s.Plan, nil
}

// readState returns a state that includes every command acknowledged before the call.
func (f *fleet) readState(ctx context.Context) (s fleetapplier.State, err error) {
	ci, err := f.localControl()
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return ci.read(ctx)
}

// TakeOut implements Control.
func (f *fleet) TakeOut(ctx context.Context, domain string) error {
	return f.proposeDomainCommand(ctx, "takeOut", domain, fleetapplier.Command{TakeOutDomain: domain})
}

// Restore implements Control.
func (f *fleet) Restore(ctx context.Context, domain string) error {
	return f.proposeDomainCommand(ctx, "restore", domain, fleetapplier.Command{RestoreDomain: domain})
}

func (f *fleet) proposeDomainCommand(ctx context.Context, name, domain string, cmd fleetapplier.Command) error {
	ci, err := f.localControl()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return f.logOrder(name, domain, commitDomainCommand(ctx, ci, domain, cmd))
}

// commitDomainCommand commits an order about a failure domain unless a newer one has been committed. This process may
// have stood still before it read the order, while its sender went on to another instance: the state that the order
// refers to is read by a round of the quorum, after which a sender that has left is noticed.
func commitDomainCommand(ctx context.Context, ci *controlInstance, domain string, cmd fleetapplier.Command) error {
	s, err := readForSender(ctx, ci)
	if err != nil {
		return err
	}
	err = ci.propose(ctx, orderAfter(s, domain, cmd))
	if overtaken := (*fleetapplier.OvertakenError)(nil); errors.As(err, &overtaken) {
		return &UnavailableError{Reason: err.Error()}
	}
	return err
}

// orderAfter returns the command for an order about a failure domain that changes nothing if a newer one than those in
// a state is committed first: this process may stand still before it proposes the command.
func orderAfter(s fleetapplier.State, domain string, cmd fleetapplier.Command) fleetapplier.Command {
	after := s.After(domain)
	cmd.After = &after
	return cmd
}

// readForSender returns a state that includes every command acknowledged before the call, or an error if the sender of
// the call has left meanwhile.
func readForSender(ctx context.Context, ci *controlInstance) (fleetapplier.State, error) {
	s, err := ci.read(ctx)
	if err != nil {
		return s, err
	}
	if err := ctx.Err(); err != nil {
		return s, &UnavailableError{Reason: "the sender of the order has left: " + err.Error()}
	}
	return s, nil
}

// Register implements Control; it returns a *BadRequestError for a record that describes no endpoint. A draining
// endpoint is acknowledged only once a quorum of the control instances has stored that it drains, because the
// acknowledgement guarantees that its state reaches all routers.
func (f *fleet) Register(ctx context.Context, e registrar.Endpoint) (next string, err error) {
	if f.control == nil || e.State != registrar.Ready && !f.control.isQuorate() {
		if c, ok := f.preferredInstance(e.Domain, e.ID); ok {
			return "", &RedirectError{Address: c.Control}
		}
		return "", &UnavailableError{Reason: "no control instance with a quorum is known"}
	}
	now := time.Now()
	if err := e.CheckHeartbeat(now); err != nil {
		f.logRejectedEndpoints("heartbeat", 1, err)
		return "", &BadRequestError{Reason: err.Error()}
	}
	f.mu.Lock()
	outcome := f.endpoints.RecordHeartbeat(now, e)
	merged := f.endpoints.Get(e.ID)
	f.mu.Unlock()
	switch outcome {
	case registrar.Changed:
		f.publishEndpoints([]registrar.Endpoint{merged}, "heartbeat")
	case registrar.TakenOver:
		f.control.server.PublishTakeover([]registrar.Endpoint{merged})
	}
	if e.State == registrar.Draining {
		d := registrar.Departure{ID: e.ID, Born: e.Born, Sequence: e.Sequence}
		if err := f.commitDeparture(ctx, d); err != nil {
			return "", err
		}
	}
	if c, ok := f.preferredInstance(e.Domain, e.ID); ok && c.Domain == e.Domain && f.self.Domain != e.Domain {
		return c.Control, nil
	}
	return f.self.Control, nil
}

// Deregister implements Control. Routers learn of the departure at once; it is acknowledged once a quorum of the
// control instances has stored it.
func (f *fleet) Deregister(ctx context.Context, id string) error {
	ci, err := f.localControl()
	if err != nil {
		return err
	}
	if err := registrar.CheckID(id); err != nil {
		return &BadRequestError{Reason: err.Error()}
	}
	if f.pauses.MayHavePaused(time.Now()) {
		// The sender may have left long ago, and the endpoint may have started again.
		readCtx, cancel := context.WithTimeout(ctx, departureTimeout)
		defer cancel()
		if _, err := readForSender(readCtx, ci); err != nil {
			return err
		}
	}
	now := time.Now()
	f.mu.Lock()
	e, known := f.endpoints.Deregister(now, id)
	f.mu.Unlock()
	d := registrar.Departure{ID: id, Born: e.Born, IsGone: true}
	if known {
		f.publishEndpoints([]registrar.Endpoint{e}, "leave")
	} else {
		// Another instance may know the endpoint, with any start before this call.
		d.Born = now.UnixMilli()
	}
	return f.commitDeparture(ctx, d)
}

// Convictions implements Control.
func (f *fleet) Convictions() []attributor.Conviction { return f.evidence.all().Convictions }

// LiftConviction implements Control. It returns nil once a quorum of the control instances has stored the order, and
// again if the sender repeats an acknowledged one.
func (f *fleet) LiftConviction(ctx context.Context, part attributor.Part) error {
	ci, err := f.localControl()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return f.logOrder("lift", part, f.commitLift(ctx, ci, part))
}

func (f *fleet) commitLift(ctx context.Context, ci *controlInstance, part attributor.Part) error {
	// A lift that was delayed in this process must not end a conviction from after its sender has left.
	if _, err := readForSender(ctx, ci); err != nil {
		return err
	}
	c, ok := f.evidence.conviction(part)
	if !ok {
		return &NotConvictedError{Part: part}
	}
	// A sender that got no answer repeats its order; it is committed again, because it may not be durable yet.
	for {
		l := attributor.Lift{Part: part, Revision: c.Revision, At: time.Now().UnixMilli()}
		if c.Lifted {
			l.Revision--
		}
		if err := ci.propose(ctx, fleetapplier.Command{Lift: &l}); err != nil {
			return err
		}
		// A trial may have been granted meanwhile.
		if c, ok = f.evidence.conviction(part); !ok || c.Lifted {
			return nil
		}
	}
}

// preferredInstance returns another quorate control instance, preferably in the failure domain. Endpoints are spread by
// their IDs: a thousand heartbeats in a second were answered late by one instance, and moved to others.
func (f *fleet) preferredInstance(domain, id string) (exchanger.Contact, bool) {
	return exchanger.Preferred(f.quorateInstances(), f.self.Name, domain, id)
}

// describeEndpoint formats an endpoint for logs as ID@address#start.sequence.
func describeEndpoint(e *registrar.Endpoint) string {
	return fmt.Sprintf("%s@%s#%d.%d", e.ID, e.Address, e.Born, e.Sequence)
}
