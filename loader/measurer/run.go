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
	"cactusroute.dev/loader/reporter"
	"cactusroute.dev/loader/spawner"
	"cactusroute.dev/loader/tracer"
)

// Config sets what is measured.
type Config struct {
	// Bin is the folder with the programs.
	Bin  string
	Seed uint64
	// Chats is how many chats are open at a time.
	Chats int
	// Progress gets a line for each event.
	Progress io.Writer
	Firms    []Firm
	// KeepDir leaves the work folder with the logs.
	KeepDir bool
}

// Run measures each firm in turn.
func Run(ctx context.Context, cfg Config, rep *reporter.Reporter) (err error) {
	for _, firm := range cfg.Firms {
		if err := measure(ctx, &cfg, firm, rep); err != nil {
			return fmt.Errorf("measure %s: %w", firm.Name, err)
		}
	}
	return nil
}

// run is the measurement of one firm.
type run struct {
	cfg   *Config
	fleet *fleet
	load  *load
	watch watcher
	rep   *reporter.Reporter

	lateRequests int
	bundleTime   time.Duration
	controlRates []float64
	poison       poisonResult
}

func measure(ctx context.Context, cfg *Config, firm Firm, rep *reporter.Reporter) (err error) {
	sp, err := spawner.New(cfg.Bin)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sp.Close(cfg.KeepDir || err != nil)) }()
	defer sp.StopAll()
	_, _ = fmt.Fprintf(cfg.Progress, "%s: seed %d, logs in %s\n", firm.Name, cfg.Seed, sp.Dir)
	r := &run{cfg: cfg, rep: rep}
	if r.fleet, err = startFleet(ctx, firm, sp); err != nil {
		return err
	}
	r.load = newLoad(r.fleet, tracer.Config{
		Seed: cfg.Seed, Workspaces: firm.Workspaces, Chats: cfg.Chats, Duration: runTime,
		RampUp: 15 * time.Second, MeanTurns: 10,
		MedianPause: 8 * time.Second, SystemWords: 160, TurnWords: 30,
	})
	if err := r.awaitService(ctx); err != nil {
		return err
	}
	if err := r.drive(ctx); err != nil {
		r.progress(err.Error())
	}
	r.poison = r.sendPoison(ctx)
	return r.report(ctx)
}

func (r *run) progress(s string) { _, _ = fmt.Fprintln(r.cfg.Progress, s) }

// awaitService waits for the first answers of chats and of operations.
func (r *run) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	c := caller.Chat{
		Key: r.fleet.firm.Workspaces[0].Key, Model: r.fleet.firm.Model,
		Messages: []caller.Message{{Role: "user", Content: "first"}},
	}
	op := caller.Operation{
		Key: c.Key, Service: r.fleet.firm.Service, Path: r.fleet.firm.OperationPath, IdempotencyKey: "first", Body: "{}",
	}
	for {
		chat := r.load.caller.Send(ctx, &c)
		done := r.load.caller.Operate(ctx, &op)
		if chat.Outcome == caller.OutcomeWhole && done.IsDone() {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no service: chat %s %q, operation %d %q", chat.Outcome, chat.Problem, done.Status, done.Answer)
		}
		pauser.Pause(ctx, 200*time.Millisecond)
	}
}

// drive sends the load and plays the faults.
func (r *run) drive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runTime+60*time.Second)
	defer cancel()
	side, stop := context.WithCancel(ctx)
	defer stop()
	events := []event{{phaseProbe.from, "probe engines directly", func(ctx context.Context) error {
		until, cancel := context.WithDeadline(ctx, r.load.begun.Add(phaseProbe.to))
		r.load.wg.Go(func() {
			defer cancel()
			r.load.probe(until)
		})
		return nil
	}}}
	events = append(events, r.changeBundle(), r.countControl(), r.countControlAgain())
	events = append(events, event{phaseSteady.to, "send operations", func(context.Context) error {
		r.load.wg.Go(func() { r.load.operate(side) })
		return nil
	}})
	events = append(events, r.faults()...)
	events = append(events, event{phaseSurge.from, "surge of one workspace", func(ctx context.Context) error {
		until, cancel := context.WithDeadline(ctx, r.load.begun.Add(phaseSurge.to))
		r.load.wg.Go(func() {
			defer cancel()
			r.load.surge(until, 5, 100)
		})
		return nil
	}})
	events = append(events, r.moveDomain()...)
	events = append(events, r.killControl()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	played := make(chan error, 1)
	r.load.begun = time.Now()
	go func() { played <- r.load.play(ctx, events, r.progress) }()
	go r.watch.run(side, r.load)
	r.load.run(ctx)
	err := <-played
	stop()
	r.load.wg.Wait()
	return err
}

func (r *run) countControl() event {
	return event{phaseSteady.from + time.Second, "count control bytes", func(ctx context.Context) error {
		r.controlRates = nil
		return r.addControl(ctx, -1)
	}}
}

func (r *run) countControlAgain() event {
	return event{phaseSteady.to - time.Second, "count control bytes", func(ctx context.Context) error {
		if err := r.addControl(ctx, 1); err != nil {
			return err
		}
		seconds := (phaseSteady.to - phaseSteady.from - 2*time.Second).Seconds()
		for i := range r.controlRates {
			r.controlRates[i] /= seconds
		}
		return nil
	}}
}

func (r *run) addControl(ctx context.Context, sign float64) error {
	if r.controlRates == nil {
		r.controlRates = make([]float64, len(r.fleet.router))
	}
	for i, addr := range r.fleet.router {
		sums, err := scrape(ctx, addr)
		if err != nil {
			return err
		}
		r.controlRates[i] += sign * controlBytes(sums)
	}
	return nil
}

// poisonResult counts what a request that crashes engines did.
type poisonResult struct {
	crashed int
	refused bool
}

// sendPoison sends one request that crashes engines again and again through every router.
func (r *run) sendPoison(ctx context.Context) (p poisonResult) {
	before := r.crashes(ctx)
	c := caller.Chat{
		Key: r.fleet.firm.Workspaces[1].Key, Model: r.fleet.firm.Model,
		Messages: []caller.Message{{Role: "user", Content: "mend " + poisonText}},
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for range 5 {
		res := r.load.caller.Send(ctx, &c)
		p.refused = res.Status == 422
	}
	p.crashed = r.crashes(ctx) - before
	return p
}

func (r *run) crashes(ctx context.Context) (n int) {
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
