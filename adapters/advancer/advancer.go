package advancer

import (
	"context"
	"slices"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

const (
	// interval is the time between two judgements of a running rollout.
	interval = 200 * time.Millisecond

	// commitTimeout bounds the commit of a phase, which is decided again if it fails.
	commitTimeout = time.Second
)

// Instance is the control instance that an Advancer belongs to.
type Instance interface {
	// Rollouts returns the last rollout of each service that is committed.
	Rollouts() []rollouter.Rollout
	// AllOutcomes returns what all routers that are heard of have counted; routers is the number of all known ones.
	AllOutcomes() (o exchanger.Outcomes, routers int)
	Endpoints() []registrar.Endpoint
	Loads(to exchanger.Contact) exchanger.Loads
	// CommitStep commits a change and logs the result, unless this instance is not the leader.
	CommitStep(ctx context.Context, s rollouter.Step)
}

// Serve drives the rollouts of an instance until ctx ends. Instances that do not lead observe them, too, so that a new
// leader knows what has happened.
func Serve(ctx context.Context, instance Instance) error {
	driver := rollouter.NewDriver()
	for ctx.Err() == nil {
		list := instance.Rollouts()
		if slices.ContainsFunc(list, func(r rollouter.Rollout) bool { return !r.Phase.HasEnded() }) {
			for _, s := range advance(driver, list, instance) {
				commit(ctx, instance, s)
			}
		}
		sleeper.Pause(ctx, interval)
	}
	return ctx.Err()
}

func advance(driver *rollouter.Driver, list []rollouter.Rollout, instance Instance) []rollouter.Step {
	o, routers := instance.AllOutcomes()
	endpoints, loads := instance.Endpoints(), instance.Loads(exchanger.Contact{})
	return driver.Advance(time.Now(), list, o.Counts, func(r *rollouter.Rollout) rollouter.Facts {
		facts := rollouter.NewFacts(r, endpoints, func(id string) int { return loads[id].Requests })
		facts.AckedIndex, facts.IsComplete = o.Index, o.Routers >= routers
		return facts
	})
}

func commit(ctx context.Context, instance Instance, s rollouter.Step) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	instance.CommitStep(ctx, s)
}
