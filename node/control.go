package node

import (
	"context"
	"fmt"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

// orderTimeout is how long an operator's call waits for the control group; operators move on after a second.
const commandTimeout = 2500 * time.Millisecond

// readTimeout bounds a read of the plan; operators move on after a second.
const readTimeout = 900 * time.Millisecond

// Control is what operators and endpoints may ask of any node. Its methods return an *ElsewhereError when another node
// must be asked and an *UnavailableError when nobody known here can answer now.
type Control interface {
	// PutPlan makes a plan the one in force unless a newer one is; it returns a *planner.InvalidError for a wrong one.
	PutPlan(ctx context.Context, content []byte) error
	// Plan returns the newest plan as it was sent; it is never older than one acknowledged before the call.
	Plan(ctx context.Context) (fleetapplier.EncodedPlan, error)
	// TakeOut keeps requests away from the endpoints of a failure domain, until Restore.
	TakeOut(ctx context.Context, domain string) error
	Restore(ctx context.Context, domain string) error
	// Register takes a heartbeat and returns the host:port where the next ones are best sent.
	Register(ctx context.Context, e registrar.Endpoint) (next string, err error)
	// Deregister records that an endpoint has left.
	Deregister(ctx context.Context, id string) error
}

// ElsewhereError names the control address of the node to ask.
type RedirectError struct{ Address string }

// Error names the address.
func (e *RedirectError) Error() string { return "ask the control instance at " + e.Address }

// UnavailableError says why nothing is known or was changed.
type UnavailableError struct{ Reason string }

// Error returns the reason.
func (e *UnavailableError) Error() string { return "control is unavailable: " + e.Reason }

// controlHub returns the hub of this node, or the error that says who to ask.
func (f *fleet) localControl() (*controlInstance, error) {
	if f.control != nil && f.control.isQuorate() {
		return f.control, nil
	}
	if c, ok := f.preferredInstance(f.self.Domain); ok {
		return nil, &RedirectError{Address: c.Control}
	}
	return nil, &UnavailableError{Reason: "no control instance with a majority is known"}
}

// PutPlan implements Control.
func (f *fleet) PutPlan(ctx context.Context, content []byte) error {
	h, err := f.localControl()
	if err != nil {
		return err
	}
	plan, err := f.dialect.DecodePlan(content)
	if err != nil {
		return err
	}
	if plan.Version <= h.stateMachine.State().Plan.Version {
		return nil // a newer or the same version is in force
	}
	return f.proposeCommand(ctx, h, "plan", plan.Version,
		fleetapplier.Command{Plan: &fleetapplier.EncodedPlan{Version: plan.Version, Content: content}})
}

// propose has an operator's order committed, and logs how it ended.
func (f *fleet) proposeCommand(ctx context.Context, h *controlInstance, order string, what any, cmd fleetapplier.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := h.propose(ctx, cmd)
	if err != nil {
		f.log.failure("msg", "operator order not acknowledged", "order", order, "value", what, "err", err)
		return err
	}
	f.log.belief("operator order committed", "order", order, "value", what)
	return nil
}

// Plan implements Control.
func (f *fleet) Plan(ctx context.Context) (fleetapplier.EncodedPlan, error) {
	h, err := f.localControl()
	if err != nil {
		return fleetapplier.EncodedPlan{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := h.read(ctx)
	if err != nil {
		return fleetapplier.EncodedPlan{}, err
	}
	if s.Plan.Version == 0 {
		return fleetapplier.EncodedPlan{}, &UnavailableError{Reason: "there is no plan yet"}
	}
	return s.Plan, nil
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
	h, err := f.localControl()
	if err != nil {
		return err
	}
	return f.proposeCommand(ctx, h, name, domain, cmd)
}

// Register implements Control. A draining endpoint is acknowledged only by an instance with a majority, because the
// acknowledgement promises that all routers learn of it.
func (f *fleet) Register(_ context.Context, e registrar.Endpoint) (next string, err error) {
	if f.control == nil || e.State != registrar.Ready && !f.control.isQuorate() {
		if c, ok := f.preferredInstance(e.Domain); ok {
			return "", &RedirectError{Address: c.Control}
		}
		return "", &UnavailableError{Reason: "no control instance with a majority is known"}
	}
	f.mu.Lock()
	outcome := f.endpoints.RecordHeartbeat(time.Now(), e)
	f.mu.Unlock()
	if outcome == registrar.Changed {
		f.publishEndpoints([]registrar.Endpoint{e}, "heartbeat")
	}
	if c, ok := f.preferredInstance(e.Domain); ok && c.Domain == e.Domain && f.self.Domain != e.Domain {
		return c.Control, nil
	}
	return f.self.Control, nil
}

// Deregister implements Control.
func (f *fleet) Deregister(_ context.Context, id string) error {
	if _, err := f.localControl(); err != nil {
		return err
	}
	f.mu.Lock()
	e, known := f.endpoints.Deregister(time.Now(), id)
	f.mu.Unlock()
	if known {
		f.publishEndpoints([]registrar.Endpoint{e}, "leave")
	}
	return nil
}

// bestHub returns a control instance with a majority, in the failure domain if there is one.
func (f *fleet) preferredInstance(domain string) (best exchanger.Contact, ok bool) {
	for _, c := range f.quorateInstances() {
		if c.Name == f.self.Name {
			continue
		}
		if !ok || c.Domain == domain && best.Domain != domain {
			best, ok = c, true
		}
	}
	return best, ok
}

// describe names a start of an endpoint and the heartbeat that is known, for logs.
func describeEndpoint(e *registrar.Endpoint) string {
	return fmt.Sprintf("%s@%s#%d.%d", e.ID, e.Address, e.Born, e.Sequence)
}
