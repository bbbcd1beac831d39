package measurer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/loader/reporter"
	"cactusroute.dev/loader/spawner"
)

// Sizes of the measured fleet. They are those of the largest fleet that the software is designed for.
const (
	scalingPools          = 9
	scalingWorkspaces     = 3800
	scalingFailureDomains = 7
	scalingWindow         = 15 * time.Second
	// loadChangeInterval is the time between two changes of an endpoint's load. At 6,400 requests/s over 920 replicas,
	// 14 requests start or end each second at each replica; agents combine load reports before they send them.
	loadChangeInterval = 100 * time.Millisecond
	// Limits of what control may cost a node, and of the duration of a rollout.
	maxNodeCPUPercent = 2.4 // percent of a core
	maxNodeMemoryMB   = 64  // MB
	maxRolloutSeconds = 16  // s
)

var scalingSizes = []int{100, 300, 920}

// scalingValue is one measurement at one size.
type scalingValue struct {
	name  string
	unit  string
	bound float64 // upper bound; 0 means none
	value float64
}

// MeasureScaling measures the control instances and a router with increasing numbers of announced endpoints, and fits
// a line to each measured value.
func MeasureScaling(ctx context.Context, cfg Config, rep *reporter.Reporter) error {
	values := map[string][]float64{}
	var figures []scalingValue
	for _, n := range scalingSizes {
		_, _ = fmt.Fprintf(cfg.Progress, "scaling: %d endpoints\n", n)
		list, err := measureScalingSize(ctx, &cfg, n)
		if err != nil {
			return fmt.Errorf("measure scaling with %d endpoints: %w", n, err)
		}
		figures = list
		for _, v := range list {
			values[v.name] = append(values[v.name], v.value)
			r := reporter.Value{Name: fmt.Sprintf("slope.%d.%s", n, v.name), Value: v.value, Unit: v.unit}
			if v.bound > 0 {
				r.Comparison, r.Bound = reporter.AtMost, v.bound
			}
			if err := rep.Report(r); err != nil {
				return err
			}
		}
	}
	for _, v := range figures {
		slope, intercept, maxDeviation := fitLine(scalingSizes, values[v.name])
		for _, r := range []reporter.Value{
			{Name: "slope.per100." + v.name, Value: slope * 100, Unit: v.unit},
			{Name: "slope.base." + v.name, Value: intercept, Unit: v.unit},
			{Name: "slope.error." + v.name, Value: maxDeviation, Unit: v.unit},
		} {
			if err := rep.Report(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// fitLine returns the least-squares line through the values and its largest deviation from one of them.
func fitLine(sizes []int, values []float64) (slope, intercept, maxDeviation float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		x, y := float64(size), values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for i, size := range sizes {
		maxDeviation = max(maxDeviation, math.Abs(values[i]-intercept-slope*float64(size)))
	}
	return slope, intercept, maxDeviation
}

func scalingScenario() Scenario {
	return Scenario{Name: "slope", Region: "r", FailureDomains: scalingFailureDomains, Routers: 1, Controls: 3}
}

func scalingBundle(s *Scenario, version uint64) *bundler.Bundle {
	b := &bundler.Bundle{Version: version, Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse}}
	for n := range s.FailureDomains {
		b.FailureDomains = append(b.FailureDomains, bundler.FailureDomain{Name: s.failureDomain(n), Region: s.Region})
	}
	for n := range scalingPools {
		b.Pools = append(b.Pools, bundler.Pool{
			Name: fmt.Sprintf("pool-%d", n), Kind: bundler.PoolModel, Model: fmt.Sprintf("model-%d", n), ModelVersion: "1",
			MaxConcurrency: 64, TimeoutMillis: 30_000,
		})
	}
	for n := range scalingWorkspaces {
		name := fmt.Sprintf("workspace-%d", n)
		w := bundler.Workspace{
			Name: name, Team: "ops", KeyHashes: []string{bundler.HashKey("key-" + name)}, Weight: 1,
			Priority: bundler.PriorityInteractive, Pools: []string{b.Pools[n%scalingPools].Name},
		}
		b.Workspaces = append(b.Workspaces, w)
	}
	b.Workspaces[0].Weight = int(version)
	return b
}

func measureScalingSize(ctx context.Context, cfg *Config, n int) (list []scalingValue, err error) {
	sp, err := spawner.New(cfg.BinDir)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, sp.Close(cfg.KeepWorkDir)) }()
	defer sp.StopAll()
	f, err := startFleetWithBundle(ctx, scalingScenario(), sp, scalingBundle)
	if err != nil {
		return nil, err
	}
	agentsCtx, stop := context.WithCancel(ctx)
	defer stop()
	agents := f.startAgents(agentsCtx, n)
	if err := f.awaitProcesses(ctx, n+1, 1); err != nil {
		return nil, err
	}
	sleeper.Pause(ctx, 3*time.Second)
	if list, err = f.measureWindow(ctx, agents); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := f.admin.rollout(ctx, scalingBundle(&f.scenario, 2)); err != nil {
		return nil, err
	}
	if err := f.awaitProcesses(ctx, n+1, 2); err != nil {
		return nil, err
	}
	return append(list, scalingValue{"bundleInForce", "s", maxRolloutSeconds, time.Since(startedAt).Seconds()}), nil
}

// startAgents connects n subscribers that act as agents with changing loads.
func (f *fleet) startAgents(ctx context.Context, n int) (agents []*subscriber.Client) {
	for i := range n {
		c := subscriber.NewClient(subscriber.ClientConfig{
			Identity: subscriber.Identity{
				Name: fmt.Sprintf("endpoint-%d", i), Role: subscriber.RoleAgent, Region: f.scenario.Region,
				FailureDomain: f.scenario.failureDomain(i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
				Pool: fmt.Sprintf("pool-%d", i%scalingPools),
			},
			Controls: rotate(f.controlAddresses, i), Observer: observer.New(io.Discard, "agent"),
		})
		agents = append(agents, c)
		go func() { _ = c.Serve(ctx) }()
		go func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				c.SetLoad(subscriber.Load{InFlight: 5 + rng.IntN(6), Limit: 64})
				sleeper.Pause(ctx, loadChangeInterval)
			}
		}()
	}
	return agents
}

func rotate(list []string, n int) (out []string) {
	n %= len(list)
	return append(append(out, list[n:]...), list[:n]...)
}

func (f *fleet) awaitProcesses(ctx context.Context, n int, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		l, err := f.admin.processes(ctx)
		if err == nil && isRolledOut(&l, version, n) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("found %d processes, want %d with bundle version %d: %w",
				len(l.Items), n, version, errors.Join(err, ctx.Err()))
		}
		sleeper.Pause(ctx, 50*time.Millisecond)
	}
}

// usage is the total resource usage of the measured processes since their start; RSS is the highest of each role.
type usage struct {
	controlCPU, routerCPU time.Duration
	controlRSS, routerRSS int64
	routerBytes           float64
	controlBytes          float64
	agentBytes            uint64
}

func (f *fleet) usage(ctx context.Context, agents []*subscriber.Client) (u usage, err error) {
	for i, p := range f.controls {
		c, err := p.Usage()
		if err != nil {
			return u, err
		}
		u.controlCPU, u.controlRSS = u.controlCPU+c.CPU, max(u.controlRSS, c.RSSBytes)
		metrics, err := scrape(ctx, f.controlAddresses[i])
		if err != nil {
			return u, err
		}
		u.controlBytes += metrics["cactusroute_control_listener_bytes_total"]
	}
	r, err := f.routers[0].Usage()
	if err != nil {
		return u, err
	}
	u.routerCPU, u.routerRSS = r.CPU, r.RSSBytes
	metrics, err := scrape(ctx, f.routerAddresses[0])
	if err != nil {
		return u, err
	}
	u.routerBytes = controlBytes(metrics)
	for _, a := range agents {
		in, out := a.ControlBytes()
		u.agentBytes += in + out
	}
	return u, nil
}

func (f *fleet) measureWindow(ctx context.Context, agents []*subscriber.Client) (list []scalingValue, err error) {
	before, err := f.usage(ctx, agents)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	sleeper.Pause(ctx, scalingWindow)
	after, err := f.usage(ctx, agents)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(startedAt).Seconds()
	percent := func(a, b time.Duration) float64 { return 100 * (b - a).Seconds() / seconds }
	const bytesPerMB = 1e6
	return []scalingValue{
		{"router.cpu", "% of a core", maxNodeCPUPercent, percent(before.routerCPU, after.routerCPU)},
		{"router.memory", "MB", maxNodeMemoryMB, float64(after.routerRSS) / bytesPerMB},
		{"router.controlBytes", "B/s", maxControlBytesPerSecond, (after.routerBytes - before.routerBytes) / seconds},
		{
			"agent.controlBytes", "B/s", maxControlBytesPerSecond,
			float64(after.agentBytes-before.agentBytes) / seconds / float64(len(agents)),
		},
		{"control.cpu", "% of a core", 0, percent(before.controlCPU, after.controlCPU) / float64(len(f.controls))},
		{"control.memory", "MB", 0, float64(after.controlRSS) / bytesPerMB},
		{"control.bytes", "B/s", 0, (after.controlBytes - before.controlBytes) / seconds / float64(len(f.controls))},
	}, nil
}
