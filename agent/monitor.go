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
	controlPollInterval = 20 * time.Millisecond
	healthInterval      = 200 * time.Millisecond
	// confirmTime bounds the wait for a new start time after a connection broke.
	crashConfirmTimeout = time.Second
	// loadTimeout is longer than the largest model takes to load from the weight store.
	loadTimeout = 10 * time.Minute
	// silentLimit is the number of missed health answers after which the endpoint counts as down.
	maxMissedChecks = 2
)

// monitor follows the endpoint: start time, load, cache events, and the commands that it has to get.
type monitor struct {
	agent     *Agent
	isReady   atomic.Bool
	startTime atomic.Int64 // start time of the endpoint, Unix ns

	// Of the goroutine that reads the pool's mean.
	wasFresh      bool
	verdictsIndex uint64 // index of the last view whose verdicts were taken over

	mu               sync.Mutex
	lastCrashedStart int64 // the last start time whose end was handled as a crash
	sentCommand      engineCommand
	lastSeq          uint64
	isSeqCurrent     bool // lastSeq belongs to this start of the endpoint
	missedChecks     int
	lastProblem      string // of the last command, so that the same one is recorded once
}

// run follows the endpoint until ctx ends.
func (m *monitor) run(ctx context.Context) {
	health, pool := time.NewTicker(healthInterval), time.NewTicker(controlPollInterval)
	defer health.Stop()
	defer pool.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-pool.C:
				m.agent.operations.addIncarnation(m.agent.control.Incarnation())
				m.logFreshnessChange(time.Now())
				m.syncVerdicts()
				l := m.agent.control.PoolLoad(m.agent.settings.Pool)
				m.agent.admission.setPoolLoad(l.Mean, l.Members)
			}
		}
	}()
	for {
		m.pollEndpoint(ctx)
		select {
		case <-ctx.Done():
			return
		case <-health.C:
		}
	}
}

// followFreshness records when the view turns stale, after which the agent refuses new work, and fresh again.
func (m *monitor) logFreshnessChange(now time.Time) {
	fresh := m.agent.control.IsFresh(now)
	if fresh == m.wasFresh {
		return
	}
	m.wasFresh = fresh
	m.agent.obs.Event("view freshness changed", "endpoint", m.agent.settings.Place.Name, "fresh", fresh,
		"index", m.agent.control.View().Index)
}

func (m *monitor) syncVerdicts() {
	v := m.agent.control.View()
	if v.Index == m.verdictsIndex {
		return
	}
	m.verdictsIndex = v.Index
	m.agent.quarantine.syncVerdicts(v.Verdicts)
}

func (m *monitor) pollEndpoint(ctx context.Context) {
	p, ok := m.agent.control.View().Pools[m.agent.settings.Pool]
	if ok {
		m.agent.configureLimiter(&p)
	}
	h, err := m.agent.endpoint.health(ctx)
	if err != nil {
		if m.missedChecks++; m.missedChecks >= maxMissedChecks {
			m.setReady(false)
		}
		return
	}
	m.missedChecks = 0
	m.updateStartTime(h.StartTime)
	if !ok || p.Kind != bundler.PoolModel {
		m.setReady(ok)
		return
	}
	isRight := h.Model == p.Model && h.ModelVersion == p.ModelVersion && slices.Equal(h.Adapters, p.Adapters) && !h.Loading
	m.sendCommand(ctx, &p, isRight)
	m.pollLoad(ctx)
	m.pollEvents(ctx)
}

func (m *monitor) setReady(ready bool) {
	if m.isReady.Swap(ready) != ready {
		m.agent.obs.Event("endpoint readiness changed", "endpoint", m.agent.settings.Place.Name, "ready", ready)
	}
}

// observeStart handles a change of the start time: the endpoint is a new process, which is cold and empty.
func (m *monitor) updateStartTime(start int64) {
	old := m.startTime.Swap(start)
	if old == 0 || old == start {
		return
	}
	m.mu.Lock()
	m.sentCommand, m.isSeqCurrent = engineCommand{}, false
	m.mu.Unlock()
	m.setReady(false)
	m.agent.directory.reset()
	m.agent.admission.markCold()
	m.agent.obs.Event("endpoint restarted", "endpoint", m.agent.settings.Place.Name, "start", start)
}

// command sends what the pool asks for when the endpoint, the incarnation or the pool has changed.
func (m *monitor) sendCommand(ctx context.Context, p *bundler.Pool, isRight bool) {
	incarnation := m.agent.control.Incarnation()
	e := m.agent.control.View().Endpoints[m.agent.settings.Place.Name]
	if incarnation == 0 || e.Incarnation > incarnation {
		// Control has not taken the announcement yet, or another process has announced the endpoint since. An
		// engine that ignores the fencing number must get no command then.
		return
	}
	c := engineCommand{
		Fence: incarnation, Role: "serve", Model: p.Model, ModelVersion: p.ModelVersion, Adapters: p.Adapters,
	}
	m.mu.Lock()
	isSent := isSameCommand(&c, &m.sentCommand)
	m.mu.Unlock()
	if isSent && isRight {
		m.setReady(true)
		return
	}
	timeout := callTimeout
	if !isRight {
		timeout = loadTimeout
		m.setReady(false)
		if m.agent.admission.status().InFlight > 0 {
			return // a load clears the cache that requests in flight use
		}
		release, err := m.agent.control.AcquireLoadPermit(ctx)
		if err != nil {
			m.logCommandFailure("no load permit", &c, err)
			return
		}
		defer func() { go release() }() // the call waits while control is lost, and the endpoint must still be followed
		defer m.agent.admission.markCold()
		defer m.agent.directory.reset()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.agent.endpoint.call(ctx, http.MethodPost, "/engine/v1/commands", &c, nil); err != nil {
		m.agent.metrics.commandErrors.Inc()
		if hasStatus(err, http.StatusConflict) {
			m.setReady(false) // another agent has a higher incarnation
			m.logCommandFailure("engine command refused", &c, err)
			return
		}
		m.logCommandFailure("engine command failed", &c, err)
		return
	}
	m.mu.Lock()
	m.sentCommand, m.lastProblem = c, ""
	m.mu.Unlock()
	m.agent.metrics.commands.Inc()
	m.agent.obs.Event("engine command accepted", "endpoint", m.agent.settings.Place.Name, "fence", c.Fence,
		"model", c.Model, "modelVersion", c.ModelVersion, "loaded", !isRight)
}

// commandFailed records a problem once, because a command is sent again with every health check.
func (m *monitor) logCommandFailure(what string, c *engineCommand, err error) {
	text := what + err.Error()
	m.mu.Lock()
	isSame := m.lastProblem == text
	m.lastProblem = text
	m.mu.Unlock()
	if !isSame {
		m.agent.obs.Event(what, "endpoint", m.agent.settings.Place.Name, "fence", c.Fence, "err", err)
	}
}

func isSameCommand(a, b *engineCommand) bool {
	return a.Fence == b.Fence && a.Role == b.Role && a.Model == b.Model && a.ModelVersion == b.ModelVersion &&
		slices.Equal(a.Adapters, b.Adapters)
}

func (m *monitor) pollLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var l loadResponse
	asked := time.Now()
	if m.agent.endpoint.call(ctx, http.MethodGet, "/engine/v1/load", nil, &l) != nil {
		return
	}
	r := limiter.LoadReport{InFlight: l.Running + l.Waiting, At: asked.Add(-time.Duration(l.AgeMillis) * time.Millisecond)}
	m.agent.admission.do(func(lim *limiter.Limiter, now time.Time) limiter.Decisions { return lim.SetLoadReport(now, r) })
}

func (m *monitor) pollEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	after, isSynced := m.lastSeq, m.isSeqCurrent
	m.mu.Unlock()
	var page eventsResponse
	path := "/engine/v1/events?after=" + strconv.FormatUint(after, 10)
	if m.agent.endpoint.call(ctx, http.MethodGet, path, nil, &page) != nil || page.StartTime != m.startTime.Load() {
		return
	}
	for _, e := range page.Events {
		after = max(after, e.Seq)
		if isSynced {
			m.applyEvent(e)
		}
	}
	m.mu.Lock()
	m.lastSeq, m.isSeqCurrent = after, true
	m.mu.Unlock()
}

func (m *monitor) applyEvent(e cacheEvent) {
	switch e.Kind {
	case "removed":
		if key, err := strconv.ParseUint(e.Chat, 10, 64); err == nil {
			m.agent.directory.applyEviction(key, time.Now())
		}
	case "cleared":
		m.agent.directory.applyClear(time.Now())
		m.agent.admission.markCold()
	}
}

// broke finds out whether the endpoint crashed under a request that was sent when its start time was start.
func (m *monitor) detectCrash(ctx context.Context, start int64) bool {
	m.setReady(false) // until the next good health answer, so that no request meets an engine that restarts
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashConfirmTimeout)
	defer cancel()
	for {
		h, err := m.agent.endpoint.health(ctx)
		if err == nil && h.StartTime == start {
			return false
		}
		if err == nil {
			m.recordCrash(ctx, start)
			m.updateStartTime(h.StartTime)
			return true
		}
		select {
		case <-ctx.Done():
			m.recordCrash(ctx, start)
			return true
		case <-time.After(healthInterval / 10):
		}
	}
}

// crash makes the requests in flight suspects, once for each start of the endpoint.
func (m *monitor) recordCrash(ctx context.Context, start int64) {
	m.mu.Lock()
	isFirst := m.lastCrashedStart != start
	m.lastCrashedStart = start
	m.mu.Unlock()
	if !isFirst {
		return
	}
	r := m.agent.quarantine.recordCrash()
	m.agent.admission.markCold()
	m.agent.metrics.crashes.Inc()
	name := m.agent.settings.Place.Name
	m.agent.obs.Event("endpoint crashed", "endpoint", name, "suspects", len(r.Suspects), "convicted", len(r.Convicted))
	for _, f := range r.Convicted { // at most one, because suspects run one at a time
		m.agent.obs.Event("request convicted", "endpoint", name, "fingerprint", f)
	}
	if len(r.Suspects) > 0 {
		m.agent.reportCrash(ctx, subscriber.CrashReport{Endpoint: m.agent.settings.Place.Name, Suspects: r.Suspects})
	}
}

// report sends a crash report until control has it.
func (a *Agent) reportCrash(ctx context.Context, r subscriber.CrashReport) {
	ctx = context.WithoutCancel(ctx)
	a.work.Go(func() {
		_ = a.retryControlCall(ctx, func(ctx context.Context) error { return a.control.ReportCrash(ctx, r) })
	})
}

const (
	initialRetryInterval = 20 * time.Millisecond
	maxRetryInterval     = time.Second
	// replyLimit is longer than an election, after which a lost reply is asked for again.
	replyTimeout = 2 * time.Second
)

// retry repeats a call to control until it has been committed, control refuses it for good, or the agent ends.
func (a *Agent) retryControlCall(ctx context.Context, call func(ctx context.Context) error) error {
	for wait := initialRetryInterval; ; wait = min(2*wait, maxRetryInterval) {
		attempt, cancel := context.WithTimeout(ctx, replyTimeout)
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
