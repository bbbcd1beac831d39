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
	// controlPollInterval is how often the state received from control is read. It is shorter than the time that the
	// limiter waits for an update of the pool mean.
	controlPollInterval = 20 * time.Millisecond
	healthInterval      = 200 * time.Millisecond
	// crashConfirmTimeout limits the wait for a changed start time after a connection to the endpoint broke.
	crashConfirmTimeout = time.Second
	// loadTimeout is longer than a load of the largest model from the weight store takes.
	loadTimeout = 10 * time.Minute
	// maxMissedChecks is the number of consecutive failed health checks after which the endpoint counts as down.
	maxMissedChecks = 2
)

// monitor polls the start time, load and cache events of the endpoint, and sends it commands.
type monitor struct {
	agent     *Agent
	isReady   atomic.Bool
	startTime atomic.Int64 // start time of the endpoint, Unix ns

	// Used only by the goroutine that reads the state received from control.
	wasFresh      bool
	verdictsIndex uint64 // index of the last view whose verdicts were applied

	mu               sync.Mutex
	lastCrashedStart int64 // start time of the last endpoint process whose crash was recorded
	sentCommand      engineCommand
	lastSeq          uint64
	isSeqCurrent     bool // lastSeq is a sequence number of the current endpoint process
	missedChecks     int
	lastProblem      string // of the last command, to log a repeated problem once
}

// run polls the endpoint and the state received from control until ctx ends.
func (m *monitor) run(ctx context.Context) {
	health, control := time.NewTicker(healthInterval), time.NewTicker(controlPollInterval)
	defer health.Stop()
	defer control.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-control.C:
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

// logFreshnessChange logs when the view becomes stale, upon which the agent refuses new requests, and fresh again.
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
	isLoaded := h.Model == p.Model && h.ModelVersion == p.ModelVersion && slices.Equal(h.Adapters, p.Adapters) &&
		!h.Loading
	m.sendCommand(ctx, &p, isLoaded)
	m.pollLoad(ctx)
	m.pollEvents(ctx)
}

func (m *monitor) setReady(ready bool) {
	if m.isReady.Swap(ready) != ready {
		m.agent.obs.Event("endpoint readiness changed", "endpoint", m.agent.settings.Place.Name, "ready", ready)
	}
}

// updateStartTime handles a change of the start time: the endpoint is a new process, cold and without cached chats.
func (m *monitor) updateStartTime(startTime int64) {
	previous := m.startTime.Swap(startTime)
	if previous == 0 || previous == startTime {
		return
	}
	m.mu.Lock()
	m.sentCommand, m.isSeqCurrent = engineCommand{}, false
	m.mu.Unlock()
	m.setReady(false)
	m.agent.directory.reset()
	m.agent.admission.markCold()
	m.agent.obs.Event("endpoint restarted", "endpoint", m.agent.settings.Place.Name, "start", startTime)
}

// sendCommand sends the model of the pool to the engine if the engine, the incarnation or the pool has changed.
func (m *monitor) sendCommand(ctx context.Context, p *bundler.Pool, isLoaded bool) {
	incarnation := m.agent.control.Incarnation()
	e := m.agent.control.View().Endpoints[m.agent.settings.Place.Name]
	if incarnation == 0 || e.Incarnation > incarnation {
		// Control has not committed the announcement yet, or another process has announced the endpoint since. An engine
		// that ignores the fencing number must not receive a command then.
		return
	}
	c := engineCommand{
		Fence: incarnation, Role: "serve", Model: p.Model, ModelVersion: p.ModelVersion, Adapters: p.Adapters,
	}
	m.mu.Lock()
	isSent := isSameCommand(&c, &m.sentCommand)
	m.mu.Unlock()
	if isSent && isLoaded {
		m.setReady(true)
		return
	}
	timeout := callTimeout
	if !isLoaded {
		timeout = loadTimeout
		m.setReady(false)
		if m.agent.admission.status().InFlight > 0 {
			return // loading a model clears the cache that requests in flight use
		}
		release, err := m.agent.control.AcquireLoadPermit(ctx)
		if err != nil {
			m.logCommandFailure("model load permit not acquired", &c, err)
			return
		}
		defer func() { go release() }() // release blocks while control is unreachable, and polling must continue
		defer m.agent.admission.markCold()
		defer m.agent.directory.reset()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.agent.endpoint.call(ctx, http.MethodPost, "/engine/v1/commands", &c, nil); err != nil {
		m.agent.metrics.commandErrors.Inc()
		if hasStatus(err, http.StatusConflict) {
			m.setReady(false) // another agent process has a higher incarnation
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
		"model", c.Model, "modelVersion", c.ModelVersion, "loaded", !isLoaded)
}

// logCommandFailure logs a repeated problem once, because a failed command is resent with every health check.
func (m *monitor) logCommandFailure(msg string, c *engineCommand, err error) {
	problem := msg + err.Error()
	m.mu.Lock()
	isRepeated := m.lastProblem == problem
	m.lastProblem = problem
	m.mu.Unlock()
	if !isRepeated {
		m.agent.obs.Event(msg, "endpoint", m.agent.settings.Place.Name, "fence", c.Fence, "err", err)
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
	requestedAt := time.Now()
	if m.agent.endpoint.call(ctx, http.MethodGet, "/engine/v1/load", nil, &l) != nil {
		return
	}
	r := limiter.LoadReport{
		InFlight: l.Running + l.Waiting, At: requestedAt.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
	}
	m.agent.admission.do(func(lim *limiter.Limiter, now time.Time) limiter.Decisions { return lim.SetLoadReport(now, r) })
}

func (m *monitor) pollEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	lastSeq, isSeqCurrent := m.lastSeq, m.isSeqCurrent
	m.mu.Unlock()
	var page eventsResponse
	path := "/engine/v1/events?after=" + strconv.FormatUint(lastSeq, 10)
	if m.agent.endpoint.call(ctx, http.MethodGet, path, nil, &page) != nil || page.StartTime != m.startTime.Load() {
		return
	}
	for _, e := range page.Events {
		lastSeq = max(lastSeq, e.Seq)
		if isSeqCurrent {
			m.applyEvent(e)
		}
	}
	m.mu.Lock()
	m.lastSeq, m.isSeqCurrent = lastSeq, true
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

// detectCrash determines, after a connection broke, whether the endpoint process with that start time has crashed.
func (m *monitor) detectCrash(ctx context.Context, startTime int64) bool {
	m.setReady(false) // until the next successful health check, so that a restarting engine receives no requests
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashConfirmTimeout)
	defer cancel()
	for {
		h, err := m.agent.endpoint.health(ctx)
		if err == nil && h.StartTime == startTime {
			return false
		}
		if err == nil {
			m.recordCrash(ctx, startTime)
			m.updateStartTime(h.StartTime)
			return true
		}
		select {
		case <-ctx.Done():
			m.recordCrash(ctx, startTime)
			return true
		case <-time.After(healthInterval / 10):
		}
	}
}

// recordCrash makes the requests in flight suspects, once for each process of the endpoint.
func (m *monitor) recordCrash(ctx context.Context, startTime int64) {
	m.mu.Lock()
	isFirst := m.lastCrashedStart != startTime
	m.lastCrashedStart = startTime
	m.mu.Unlock()
	if !isFirst {
		return
	}
	report := m.agent.quarantine.recordCrash()
	m.agent.admission.markCold()
	m.agent.metrics.crashes.Inc()
	name := m.agent.settings.Place.Name
	m.agent.obs.Event("endpoint crashed", "endpoint", name, "suspects", len(report.Suspects),
		"convicted", len(report.Convicted))
	for _, f := range report.Convicted { // at most one, because suspects run one at a time
		m.agent.obs.Event("request fingerprint convicted", "endpoint", name, "fingerprint", f)
	}
	if len(report.Suspects) > 0 {
		m.agent.reportCrash(ctx, subscriber.CrashReport{Endpoint: m.agent.settings.Place.Name, Suspects: report.Suspects})
	}
}

// reportCrash sends a crash report to control in the background until it is committed.
func (a *Agent) reportCrash(ctx context.Context, r subscriber.CrashReport) {
	ctx = context.WithoutCancel(ctx)
	a.work.Go(func() {
		_ = a.retryControlCall(ctx, func(ctx context.Context) error { return a.control.ReportCrash(ctx, r) })
	})
}

const (
	initialRetryInterval = 20 * time.Millisecond
	maxRetryInterval     = time.Second
	// replyTimeout, after which a call is retried, is longer than an election.
	replyTimeout = 2 * time.Second
)

// retryControlCall retries a call to control until it is committed, control rejects it as invalid, or the agent ends.
func (a *Agent) retryControlCall(ctx context.Context, call func(ctx context.Context) error) error {
	for interval := initialRetryInterval; ; interval = min(2*interval, maxRetryInterval) {
		attemptCtx, cancel := context.WithTimeout(ctx, replyTimeout)
		err := call(attemptCtx)
		cancel()
		var callErr *subscriber.CallError
		if err == nil || errors.As(err, &callErr) && callErr.Code == subscriber.CodeInvalid {
			return err
		}
		a.metrics.controlRetries.Inc()
		select {
		case <-a.ctx.Done():
			return errors.Join(a.ctx.Err(), err)
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(interval):
		}
	}
}
