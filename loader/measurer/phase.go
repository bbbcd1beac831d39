package measurer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusroute.dev/adapters/sleeper"
)

// phase is a part of the run that is measured separately.
type phase struct {
	name     string
	from, to time.Duration
}

func (p *phase) contains(at time.Duration) bool { return at >= p.from && at < p.to }

// The run of a scenario starts with 20 s in which the caches warm up. Failures of one kind have a phase of their own,
// followed by time to recover.
var (
	phaseProbe   = phase{"probe", 20 * time.Second, 35 * time.Second}
	phaseSteady  = phase{"steady", 35 * time.Second, 55 * time.Second}
	phaseChurn   = phase{"churn", 60 * time.Second, 90 * time.Second}
	phaseSurge   = phase{"surge", 100 * time.Second, 115 * time.Second}
	phaseDomain  = phase{"domain", 120 * time.Second, 155 * time.Second}
	phaseControl = phase{"control", 160 * time.Second, 180 * time.Second}
	runDuration  = 185 * time.Second
)

// event is an action at a given time since the start of the run.
type event struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// runEvents runs the events, which are ordered by time, and returns the errors of all.
func (w *workload) runEvents(ctx context.Context, events []event, progress func(string)) error {
	var errs []error
	for _, e := range events {
		sleeper.Pause(ctx, e.at-w.elapsed())
		if ctx.Err() != nil {
			return errors.Join(errs...)
		}
		progress(fmt.Sprintf("%5.1f s  %s", w.elapsed().Seconds(), e.name))
		if err := e.do(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", e.name, err))
		}
	}
	return errors.Join(errs...)
}

// churnEvents returns the events of the churn phase: an engine and its agent fail and return, agents of an engine and a
// service restart, an agent flaps, an engine freezes, and an agent leaves and returns.
func (r *run) churnEvents() []event {
	f := r.fleet
	at := func(s float64) time.Duration { return phaseChurn.from + time.Duration(s*float64(time.Second)) }
	kill := func(e *endpoint) func(context.Context) error {
		return func(context.Context) error { return errors.Join(e.agent.Kill(), e.process.Kill()) }
	}
	start := func(e *endpoint) func(context.Context) error {
		return func(context.Context) error { return errors.Join(e.process.Restart(), e.agent.Restart()) }
	}
	restartAgent := func(e *endpoint) func(context.Context) error {
		return func(context.Context) error { return errors.Join(e.agent.Kill(), e.agent.Restart()) }
	}
	return []event{
		{at(2), "kill engine-0 and its agent", kill(f.engines[0])},
		{at(6), "start engine-0 and its agent", start(f.engines[0])},
		{at(8), "restart the agent of engine-1", restartAgent(f.engines[1])},
		{at(10), "flap the agent of engine-2", restartAgent(f.engines[2])},
		{at(12), "flap the agent of engine-2", restartAgent(f.engines[2])},
		{at(14), "flap the agent of engine-2", restartAgent(f.engines[2])},
		{at(16), "freeze engine-3", func(context.Context) error { return f.engines[3].process.Freeze() }},
		{at(19), "thaw engine-3", func(context.Context) error { return f.engines[3].process.Thaw() }},
		{at(21), "restart the agent of a service", restartAgent(f.services[0])},
		{at(23), "terminate the agent of engine-4", func(context.Context) error {
			return f.engines[4].agent.Terminate()
		}},
		{at(26), "start the agent of engine-4", func(context.Context) error { return f.engines[4].agent.Restart() }},
	}
}

// failureDomainEvents takes a failure domain out of service and back, and counts the requests that its engines receive
// later than 2 s after the command.
func (r *run) failureDomainEvents() []event {
	f := r.fleet
	name := f.scenario.failureDomain(1)
	var before int
	countRequests := func(ctx context.Context) (n int, err error) {
		for _, e := range f.engines {
			if e.failureDomain == name {
				st, err := e.stats(ctx)
				if err != nil {
					return 0, err
				}
				n += st.Requests
			}
		}
		return n, nil
	}
	at := func(s float64) time.Duration { return phaseDomain.from + time.Duration(s*float64(time.Second)) }
	return []event{
		{at(2), "take out of service " + name, func(ctx context.Context) error {
			return f.admin.setFailureDomain(ctx, name, true)
		}},
		{at(4), "count requests", func(ctx context.Context) (err error) {
			before, err = countRequests(ctx)
			return err
		}},
		{at(16), "count requests", func(ctx context.Context) error {
			after, err := countRequests(ctx)
			r.lateRequests = after - before
			return err
		}},
		{at(17), "take into service " + name, func(ctx context.Context) error {
			return f.admin.setFailureDomain(ctx, name, false)
		}},
	}
}

// controlEvents kills and restarts the control leader, or the first control instance if the leader is unknown, and
// then a router.
func (r *run) controlEvents() []event {
	f := r.fleet
	target := 0
	at := func(s float64) time.Duration { return phaseControl.from + time.Duration(s*float64(time.Second)) }
	return []event{
		{at(2), "kill the control leader", func(ctx context.Context) error {
			if st, err := f.admin.status(ctx); err == nil {
				for i, p := range f.controls {
					if p.Name == st.Control.Leader {
						target = i
					}
				}
			}
			return f.controls[target].Kill()
		}},
		{at(7), "restart the control instance", func(context.Context) error { return f.controls[target].Restart() }},
		{at(11), "kill a router", func(context.Context) error { return f.routers[0].Kill() }},
		{at(14), "restart the router", func(context.Context) error { return f.routers[0].Restart() }},
	}
}

// rolloutEvent rolls out a new bundle version and measures the time until every process has it, for at most 30 s.
func (r *run) rolloutEvent() event {
	return event{phaseSteady.from + 5*time.Second, "roll out a bundle", func(ctx context.Context) error {
		b := r.fleet.scenario.bundle(2)
		b.Workspaces[0].Weight = 2
		startedAt := time.Now()
		if err := r.fleet.admin.rollout(ctx, b); err != nil {
			return err
		}
		for time.Since(startedAt) < 30*time.Second {
			l, err := r.fleet.admin.processes(ctx)
			if err == nil && isRolledOut(&l, b.Version, r.processCount()) {
				break
			}
			sleeper.Pause(ctx, 20*time.Millisecond)
		}
		r.rolloutDuration = time.Since(startedAt)
		return nil
	}}
}

func (r *run) processCount() int {
	return len(r.fleet.routers) + len(r.fleet.engines) + len(r.fleet.services)
}

func isRolledOut(list *processList, version uint64, processCount int) bool {
	n := 0
	for _, p := range list.Items {
		if p.BundleVersion >= version {
			n++
		}
	}
	return n >= processCount
}
