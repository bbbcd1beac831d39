package measurer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/loader/caller"
	"cactusroute.dev/loader/generator"
	"cactusroute.dev/loader/reporter"
	"cactusroute.dev/loader/spawner"
)

// Config describes a measurement.
type Config struct {
	// BinDir is the folder with the programs.
	BinDir string
	Seed   uint64
	// ConcurrentChats is the number of chats open at a time.
	ConcurrentChats int
	// Progress receives a line for each event.
	Progress  io.Writer
	Scenarios []Scenario
	// KeepWorkDir keeps the work folder with settings and logs.
	KeepWorkDir bool
}

// Run measures the scenarios one after the other.
func Run(ctx context.Context, cfg Config, rep *reporter.Reporter) (err error) {
	for _, scenario := range cfg.Scenarios {
		if err := measure(ctx, &cfg, scenario, rep); err != nil {
			return fmt.Errorf("measure scenario %s: %w", scenario.Name, err)
		}
	}
	return nil
}

// run is the measurement of one scenario.
type run struct {
	cfg      *Config
	fleet    *fleet
	workload *workload
	sampler  loadSampler
	rep      *reporter.Reporter

	lateRequests     int
	rolloutDuration  time.Duration
	controlByteRates []float64
	poison           poisonResult
}

func measure(ctx context.Context, cfg *Config, scenario Scenario, rep *reporter.Reporter) (err error) {
	sp, err := spawner.New(cfg.BinDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sp.Close(cfg.KeepWorkDir || err != nil)) }()
	defer sp.StopAll()
	_, _ = fmt.Fprintf(cfg.Progress, "%s: seed %d, logs in %s\n", scenario.Name, cfg.Seed, sp.WorkDir)
	r := &run{cfg: cfg, rep: rep}
	if r.fleet, err = startFleet(ctx, scenario, sp); err != nil {
		return err
	}
	r.workload = newWorkload(r.fleet, generator.Config{
		Seed: cfg.Seed, Workspaces: scenario.Workspaces, ConcurrentChats: cfg.ConcurrentChats, Duration: runDuration,
		RampUp: 15 * time.Second, MeanTurns: 10,
		MedianTurnInterval: 8 * time.Second, SystemWords: 160, TurnWords: 30,
	})
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	if err := r.runPhases(ctx); err != nil {
		r.progress(err.Error())
	}
	r.poison = r.sendPoison(ctx)
	return r.report(ctx)
}

func (r *run) progress(s string) { _, _ = fmt.Fprintln(r.cfg.Progress, s) }

// awaitReady waits until a chat request and an operation succeed.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := caller.ChatRequest{
		Key: r.fleet.scenario.Workspaces[0].Key, Model: r.fleet.scenario.Model,
		Messages: []caller.Message{{Role: "user", Content: "first"}},
	}
	op := caller.Operation{
		Key: c.Key, Service: r.fleet.scenario.Service, Path: r.fleet.scenario.OperationPath, IdempotencyKey: "first",
		Body: "{}",
	}
	for {
		chatResult := r.workload.caller.SendChat(ctx, &c)
		opResult := r.workload.caller.SendOperation(ctx, &op)
		if chatResult.Outcome == caller.OutcomeComplete && opResult.IsDone() {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("fleet is not ready: chat %s %q, operation status %d %q",
				chatResult.Outcome, chatResult.ErrorText, opResult.Status, opResult.Answer)
		}
		sleeper.Pause(ctx, 200*time.Millisecond)
	}
}

// runPhases sends the trace and runs the events of all phases.
func (r *run) runPhases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runDuration+60*time.Second)
	defer cancel()
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	events := []event{{phaseProbe.from, "send probes through routers and to engines", func(ctx context.Context) error {
		probeCtx, cancel := context.WithDeadline(ctx, r.workload.startedAt.Add(phaseProbe.to))
		r.workload.wg.Go(func() {
			defer cancel()
			r.workload.sendProbes(probeCtx)
		})
		return nil
	}}}
	events = append(events, r.rolloutEvent(), r.controlTrafficStart(), r.controlTrafficEnd())
	events = append(events, event{phaseSteady.to, "start to send operations", func(context.Context) error {
		r.workload.wg.Go(func() { r.workload.sendOperations(backgroundCtx) })
		return nil
	}})
	events = append(events, r.churnEvents()...)
	events = append(events, event{phaseSurge.from, "start surge of one workspace", func(ctx context.Context) error {
		surgeCtx, cancel := context.WithDeadline(ctx, r.workload.startedAt.Add(phaseSurge.to))
		r.workload.wg.Go(func() {
			defer cancel()
			r.workload.sendSurge(surgeCtx, 5, 100)
		})
		return nil
	}})
	events = append(events, r.failureDomainEvents()...)
	events = append(events, r.controlEvents()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	eventsErr := make(chan error, 1)
	r.workload.startedAt = time.Now()
	go func() { eventsErr <- r.workload.runEvents(ctx, events, r.progress) }()
	go r.sampler.run(backgroundCtx, r.workload)
	r.workload.sendTrace(ctx)
	err := <-eventsErr
	stop()
	r.workload.wg.Wait()
	return err
}

func (r *run) controlTrafficStart() event {
	return event{phaseSteady.from + time.Second, "start to count control bytes", func(ctx context.Context) error {
		r.controlByteRates = nil
		return r.addControlBytes(ctx, -1)
	}}
}

func (r *run) controlTrafficEnd() event {
	return event{phaseSteady.to - time.Second, "stop counting control bytes", func(ctx context.Context) error {
		if err := r.addControlBytes(ctx, 1); err != nil {
			return err
		}
		seconds := (phaseSteady.to - phaseSteady.from - 2*time.Second).Seconds()
		for i := range r.controlByteRates {
			r.controlByteRates[i] /= seconds
		}
		return nil
	}}
}

func (r *run) addControlBytes(ctx context.Context, sign float64) error {
	if r.controlByteRates == nil {
		r.controlByteRates = make([]float64, len(r.fleet.routerAddresses))
	}
	for i, addr := range r.fleet.routerAddresses {
		metrics, err := scrape(ctx, addr)
		if err != nil {
			return err
		}
		r.controlByteRates[i] += sign * controlBytes(metrics)
	}
	return nil
}

// poisonResult is the effect of a poison request, which crashes each engine that runs it.
type poisonResult struct {
	crashedEngines int
	refused        bool
}

// sendPoison sends the same poison request repeatedly through all routers.
func (r *run) sendPoison(ctx context.Context) (p poisonResult) {
	before := r.countCrashes(ctx)
	c := caller.ChatRequest{
		Key: r.fleet.scenario.Workspaces[1].Key, Model: r.fleet.scenario.Model,
		Messages: []caller.Message{{Role: "user", Content: "mend " + poisonText}},
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for range 5 {
		res := r.workload.caller.SendChat(ctx, &c)
		p.refused = res.Status == 422
	}
	p.crashedEngines = r.countCrashes(ctx) - before
	return p
}

func (r *run) countCrashes(ctx context.Context) (n int) {
	for _, e := range r.fleet.engines {
		for range 20 {
			st, err := e.stats(ctx)
			if err == nil {
				n += st.Crashes
				break
			}
			sleeper.Pause(ctx, 100*time.Millisecond)
		}
	}
	return n
}
