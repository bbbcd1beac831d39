package agent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/limiter"
)

const (
	// poolInterval is how often the pool's mean is read, which is well within the wait for a newer mean.
	poolInterval   = 20 * time.Millisecond
	healthInterval = 200 * time.Millisecond
	// confirmTime bounds the wait for a new start time after a connection broke.
	confirmTime = time.Second
	// loadTimeout is longer than the largest model takes to load from the weight store.
	loadTimeout = 10 * time.Minute
	// silentLimit is the number of missed health answers after which the endpoint counts as down.
	silentLimit = 2
)

// monitor follows the endpoint: start time, load, cache events, and the commands that it has to get.
type monitor struct {
	agent   *Agent
	isReady atomic.Bool
	start   atomic.Int64 // start time of the endpoint, Unix ns

	// Of the goroutine that reads the pool's mean.
	wasFresh bool
	verdicts uint64 // index of the last view whose verdicts were taken over

	mu       sync.Mutex
	crashed  int64 // the last start time whose end was handled as a crash
	sent     command
	lastSeq  uint64
	isSynced bool // lastSeq belongs to this start of the endpoint
	missed   int
	problem  string // of the last command, so that the same one is recorded once
}

// run follows the endpoint until ctx ends.
func (m *monitor) run(ctx context.Context) {
	health, pool := time.NewTicker(healthInterval), time.NewTicker(poolInterval)
	defer health.Stop()
	defer pool.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-pool.C:
				m.agent.operations.observe(m.agent.control.Incarnation())
				m.followFreshness(time.Now())
				m.followVerdicts()
				l := m.agent.control.PoolLoad(m.agent.settings.Pool)
				m.agent.gate.setPool(l.Mean, l.Members)
			}
		}
	}()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-health.C:
		}
	}
}

// followFreshness records when the view turns stale, after which the agent refuses new work, and fresh again.
func (m *monitor) followFreshness(now time.Time) {
	fresh := m.agent.control.IsFresh(now)
	if fresh == m.wasFresh {
		return
	}
	m.wasFresh = fresh
	m.agent.obs.Event("view freshness changed", "endpoint", m.agent.settings.Place.Name, "fresh", fresh,
		"index", m.agent.control.View().Index)
}

func (m *monitor) followVerdicts() {
	v := m.agent.control.View()
	if v.Index == m.verdicts {
		return
	}
	m.verdicts = v.Index
	m.agent.cell.sync(v.Verdicts)
}

func (m *monitor) poll(ctx context.Context) {
	p, ok := m.agent.control.View().Pools[m.agent.settings.Pool]
	if ok {
		m.agent.configure(&p)
	}
	h, err := m.agent.endpoint.health(ctx)
	if err != nil {
		if m.missed++; m.missed >= silentLimit {
			m.setReady(false)
		}
		return
	}
	m.missed = 0
	m.observeStart(h.StartTime)
	if !ok || p.Kind != bundler.PoolModel {
		m.setReady(ok)
		return
	}
	isRight := h.Model == p.Model && h.ModelVersion == p.ModelVersion && slices.Equal(h.Adapters, p.Adapters) && !h.Loading
	m.command(ctx, &p, isRight)
	m.pollLoad(ctx)
	m.pollEvents(ctx)
}

func (m *monitor) setReady(ready bool) {
	if m.isReady.Swap(ready) != ready {
		m.agent.obs.Event("endpoint readiness changed", "endpoint", m.agent.settings.Place.Name, "ready", ready)
	}
}

// observeStart handles a change of the start time: the endpoint is a new process, which is cold and empty.
func (m *monitor) observeStart(start int64) {
	old := m.start.Swap(start)
	if old == 0 || old == start {
		return
	}
	m.mu.Lock()
	m.sent, m.isSynced = command{}, false
	m.mu.Unlock()
	m.setReady(false)
	m.agent.directory.reset()
	m.agent.gate.cool()
	m.agent.obs.Event("endpoint restarted", "endpoint", m.agent.settings.Place.Name, "start", start)
}

// command sends what the pool asks for when the endpoint, the incarnation or the pool has changed.
func (m *monitor) command(ctx context.Context, p *bundler.Pool, isRight bool) {
	incarnation := m.agent.control.Incarnation()
	e := m.agent.control.View().Endpoints[m.agent.settings.Place.Name]
	if incarnation == 0 || e.Incarnation > incarnation {
		// Control has not taken the announcement yet, or another process has announced the endpoint since. An
		// engine that ignores the fencing number must get no command then.
		return
	}
	c := command{
		Fence: incarnation, Role: "serve", Model: p.Model, ModelVersion: p.ModelVersion, Adapters: p.Adapters,
	}
	m.mu.Lock()
	isSent := isEqual(&c, &m.sent)
	m.mu.Unlock()
	if isSent && isRight {
		m.setReady(true)
		return
	}
	timeout := callTimeout
	if !isRight {
		timeout = loadTimeout
		m.setReady(false)
		if m.agent.gate.status().InFlight > 0 {
			return // a load clears the cache that requests in flight use
		}
		release, err := m.agent.control.AcquireLoadPermit(ctx)
		if err != nil {
			m.commandFailed("no load permit", &c, err)
			return
		}
		defer func() { go release() }() // the call waits while control is lost, and the endpoint must still be followed
		defer m.agent.gate.cool()
		defer m.agent.directory.reset()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.agent.endpoint.call(ctx, http.MethodPost, "/engine/v1/commands", &c, nil); err != nil {
		m.agent.metrics.commandErrors.Inc()
		if hasStatus(err, http.StatusConflict) {
			m.setReady(false) // another agent has a higher incarnation
			m.commandFailed("engine command refused", &c, err)
			return
		}
		m.commandFailed("engine command failed", &c, err)
		return
	}
	m.mu.Lock()
	m.sent, m.problem = c, ""
	m.mu.Unlock()
	m.agent.metrics.commands.Inc()
	m.agent.obs.Event("engine command accepted", "endpoint", m.agent.settings.Place.Name, "fence", c.Fence,
		"model", c.Model, "modelVersion", c.ModelVersion, "loaded", !isRight)
}

// commandFailed records a problem once, because a command is sent again with every health check.
func (m *monitor) commandFailed(what string, c *command, err error) {
	text := what + err.Error()
	m.mu.Lock()
	isSame := m.problem == text
	m.problem = text
	m.mu.Unlock()
	if !isSame {
		m.agent.obs.Event(what, "endpoint", m.agent.settings.Place.Name, "fence", c.Fence, "err", err)
	}
}

func isEqual(a, b *command) bool {
	return a.Fence == b.Fence && a.Role == b.Role && a.Model == b.Model && a.ModelVersion == b.ModelVersion &&
		slices.Equal(a.Adapters, b.Adapters)
}

func (m *monitor) pollLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var l loadAnswer
	asked := time.Now()
	if m.agent.endpoint.call(ctx, http.MethodGet, "/engine/v1/load", nil, &l) != nil {
		return
	}
	r := limiter.LoadReport{InFlight: l.Running + l.Waiting, At: asked.Add(-time.Duration(l.AgeMillis) * time.Millisecond)}
	m.agent.gate.do(func(lim *limiter.Limiter, now time.Time) limiter.Decisions { return lim.SetLoadReport(now, r) })
}

func (m *monitor) pollEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	after, isSynced := m.lastSeq, m.isSynced
	m.mu.Unlock()
	var page eventsAnswer
	path := "/engine/v1/events?after=" + strconv.FormatUint(after, 10)
	if m.agent.endpoint.call(ctx, http.MethodGet, path, nil, &page) != nil || page.StartTime != m.start.Load() {
		return
	}
	for _, e := range page.Events {
		after = max(after, e.Seq)
		if isSynced {
			m.apply(e)
		}
	}
	m.mu.Lock()
	m.lastSeq, m.isSynced = after, true
	m.mu.Unlock()
}

func (m *monitor) apply(e cacheEvent) {
	switch e.Kind {
	case "removed":
		if key, err := strconv.ParseUint(e.Chat, 10, 64); err == nil {
			m.agent.directory.evicted(key, time.Now())
		}
	case "cleared":
		m.agent.directory.cleared(time.Now())
		m.agent.gate.cool()
	}
}

// broke finds out whether the endpoint crashed under a request that was sent when its start time was start.
func (m *monitor) broke(ctx context.Context, start int64) bool {
	m.setReady(false) // until the next good health answer, so that no request meets an engine that restarts
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTime)
	defer cancel()
	for {
		h, err := m.agent.endpoint.health(ctx)
		if err == nil && h.StartTime == start {
			return false
		}
		if err == nil {
			m.crash(ctx, start)
			m.observeStart(h.StartTime)
			return true
		}
		select {
		case <-ctx.Done():
			m.crash(ctx, start)
			return true
		case <-time.After(healthInterval / 10):
		}
	}
}

// crash makes the requests in flight suspects, once for each start of the endpoint.
func (m *monitor) crash(ctx context.Context, start int64) {
	m.mu.Lock()
	isFirst := m.crashed != start
	m.crashed = start
	m.mu.Unlock()
	if !isFirst {
		return
	}
	r := m.agent.cell.crash()
	m.agent.gate.cool()
	m.agent.metrics.crashes.Inc()
	name := m.agent.settings.Place.Name
	m.agent.obs.Event("endpoint crashed", "endpoint", name, "suspects", len(r.Suspects), "convicted", len(r.Convicted))
	for _, f := range r.Convicted { // at most one, because suspects run one at a time
		m.agent.obs.Event("request convicted", "endpoint", name, "fingerprint", f)
	}
	if len(r.Suspects) > 0 {
		m.agent.report(ctx, subscriber.CrashReport{Endpoint: m.agent.settings.Place.Name, Suspects: r.Suspects})
	}
}

// report sends a crash report until control has it.
func (a *Agent) report(ctx context.Context, r subscriber.CrashReport) {
	ctx = context.WithoutCancel(ctx)
	a.work.Go(func() {
		_ = a.retry(ctx, func(ctx context.Context) error { return a.control.ReportCrash(ctx, r) })
	})
}

const (
	retryFirst   = 20 * time.Millisecond
	retryLongest = time.Second
	// replyLimit is longer than an election, after which a lost reply is asked for again.
	replyLimit = 2 * time.Second
)

// retry repeats a call to control until it has been committed, control refuses it for good, or the agent ends.
func (a *Agent) retry(ctx context.Context, call func(ctx context.Context) error) error {
	for wait := retryFirst; ; wait = min(2*wait, retryLongest) {
		attempt, cancel := context.WithTimeout(ctx, replyLimit)
		err := call(attempt)
		cancel()
		var refused *subscriber.CallError
		if err == nil || errors.As(err, &refused) && refused.Code == subscriber.CodeInvalid {
			return err
		}
		a.metrics.controlRetries.Inc()
		select {
		case <-a.ctx.Done():
			return errors.Join(a.ctx.Err(), err)
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}
