package measurer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/loader/caller"
	"cactusroute.dev/loader/generator"
	"cactusroute.dev/loader/reporter"
	"cactusroute.dev/loader/spawner"
)

// Config sets what is measured.
type Config struct {
	// Bin is the folder with the programs.
	BinDir string
	Seed   uint64
	// Chats is how many chats are open at a time.
	ConcurrentChats int
	// Progress gets a line for each event.
	Progress  io.Writer
	Scenarios []Scenario
	// KeepDir leaves the work folder with the logs.
	KeepWorkDir bool
}

// Run measures each firm in turn.
func Run(ctx context.Context, cfg Config, rep *reporter.Reporter) (err error) {
	for _, firm := range cfg.Scenarios {
		if err := measure(ctx, &cfg, firm, rep); err != nil {
			return fmt.Errorf("measure %s: %w", firm.Name, err)
		}
	}
	return nil
}

// run is the measurement of one firm.
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

func measure(ctx context.Context, cfg *Config, firm Scenario, rep *reporter.Reporter) (err error) {
	sp, err := spawner.New(cfg.BinDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sp.Close(cfg.KeepWorkDir || err != nil)) }()
	defer sp.StopAll()
	_, _ = fmt.Fprintf(cfg.Progress, "%s: seed %d, logs in %s\n", firm.Name, cfg.Seed, sp.WorkDir)
	r := &run{cfg: cfg, rep: rep}
	if r.fleet, err = startFleet(ctx, firm, sp); err != nil {
		return err
	}
	r.workload = newWorkload(r.fleet, generator.Config{
		Seed: cfg.Seed, Workspaces: firm.Workspaces, ConcurrentChats: cfg.ConcurrentChats, Duration: runDuration,
		RampUp: 15 * time.Second, MeanTurns: 10,
		MedianThinkTime: 8 * time.Second, SystemWords: 160, TurnWords: 30,
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

// awaitService waits for the first answers of chats and of operations.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := caller.ChatRequest{
		Key: r.fleet.scenario.Workspaces[0].Key, Model: r.fleet.scenario.Model,
		Messages: []caller.Message{{Role: "user", Content: "first"}},
	}
	op := caller.Operation{
		Key: c.Key, Service: r.fleet.scenario.Service, Path: r.fleet.scenario.OperationPath, IdempotencyKey: "first", Body: "{}",
	}
	for {
		chat := r.workload.caller.SendChat(ctx, &c)
		done := r.workload.caller.SendOperation(ctx, &op)
		if chat.Outcome == caller.OutcomeComplete && done.IsDone() {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no service: chat %s %q, operation %d %q", chat.Outcome, chat.ErrorText, done.Status, done.Answer)
		}
		pauser.Pause(ctx, 200*time.Millisecond)
	}
}

// drive sends the load and plays the faults.
func (r *run) runPhases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runDuration+60*time.Second)
	defer cancel()
	side, stop := context.WithCancel(ctx)
	defer stop()
	events := []event{{phaseProbe.from, "probe engines directly", func(ctx context.Context) error {
		until, cancel := context.WithDeadline(ctx, r.workload.startedAt.Add(phaseProbe.to))
		r.workload.wg.Go(func() {
			defer cancel()
			r.workload.sendProbes(until)
		})
		return nil
	}}}
	events = append(events, r.rolloutEvent(), r.controlTrafficStart(), r.controlTrafficEnd())
	events = append(events, event{phaseSteady.to, "send operations", func(context.Context) error {
		r.workload.wg.Go(func() { r.workload.sendOperations(side) })
		return nil
	}})
	events = append(events, r.churnEvents()...)
	events = append(events, event{phaseSurge.from, "surge of one workspace", func(ctx context.Context) error {
		until, cancel := context.WithDeadline(ctx, r.workload.startedAt.Add(phaseSurge.to))
		r.workload.wg.Go(func() {
			defer cancel()
			r.workload.sendSurge(until, 5, 100)
		})
		return nil
	}})
	events = append(events, r.failureDomainEvents()...)
	events = append(events, r.controlEvents()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	played := make(chan error, 1)
	r.workload.startedAt = time.Now()
	go func() { played <- r.workload.runEvents(ctx, events, r.progress) }()
	go r.sampler.run(side, r.workload)
	r.workload.sendTrace(ctx)
	err := <-played
	stop()
	r.workload.wg.Wait()
	return err
}

func (r *run) controlTrafficStart() event {
	return event{phaseSteady.from + time.Second, "count control bytes", func(ctx context.Context) error {
		r.controlByteRates = nil
		return r.addControlBytes(ctx, -1)
	}}
}

func (r *run) controlTrafficEnd() event {
	return event{phaseSteady.to - time.Second, "count control bytes", func(ctx context.Context) error {
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
		sums, err := scrape(ctx, addr)
		if err != nil {
			return err
		}
		r.controlByteRates[i] += sign * controlBytes(sums)
	}
	return nil
}

// poisonResult counts what a request that crashes engines did.
type poisonResult struct {
	crashedEngines int
	refused        bool
}

// sendPoison sends one request that crashes engines again and again through every router.
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
			pauser.Pause(ctx, 100*time.Millisecond)
		}
	}
	return n
}
