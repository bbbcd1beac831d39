package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/limiter"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/viewer"
)

// Agent admits requests from routers and forwards them to one endpoint.
type Agent struct {
	settings      Settings
	control       Control
	relayServer   *relayer.Server
	endpoint      *endpoint
	admission     *admission
	quarantine    *quarantine
	directory     *directory
	operations    *operationTable
	monitor       *monitor
	metrics       *metrics
	obs           *observer.Observer
	callers       *server.Resources
	certifier     *certifier.Certifier // nil without TLS
	readiness     server.Readiness
	peerClient    peerClient
	ctx           context.Context // ends when the agent has stopped and its requests have ended
	work          sync.WaitGroup  // operations and crash reports
	exports       sync.WaitGroup  // export of chats during a leave
	isLeaving     atomic.Bool
	declines      declines
	limiterConfig atomic.Pointer[limiter.Config]
	wasCold       bool // guarded by admission.mu, under which onLoadChange is called

	mu        sync.Mutex
	activeIDs map[string]struct{} // IDs of the requests in progress
}

// New returns an agent, which Serve connects to control. Runs of requests are cancelled when ctx ends.
func New(ctx context.Context, s Settings, obs *observer.Observer) (*Agent, error) {
	c, err := certifier.New(s.TLS, obs.Event)
	if err != nil {
		return nil, err
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	control := subscriber.NewClient(subscriber.ClientConfig{
		Identity: subscriber.Identity{
			Name: s.Place.Name, Role: subscriber.RoleAgent, Region: s.Place.Region,
			FailureDomain: s.Place.FailureDomain, Address: s.Advertise, Pool: s.Pool,
		},
		Controls: s.Controls, Observer: obs, TLSFunc: c.ClientConfig,
	})
	return newAgent(ctx, s, obs, control, c), nil
}

func newAgent(
	ctx context.Context, s Settings, obs *observer.Observer, control Control, c *certifier.Certifier,
) *Agent {
	a := &Agent{
		settings: s, control: control, endpoint: newEndpoint(s.Endpoint), quarantine: newQuarantine(),
		directory: newDirectory(directoryCapacity), operations: newOperationTable(), metrics: newMetrics(obs.Registry),
		obs: obs, callers: server.NewResources(s.Machine, obs), certifier: c, peerClient: newPeerClient(c), ctx: ctx,
		activeIDs: map[string]struct{}{},
	}
	a.readiness.Check = func() error {
		if reason := a.notServingReason(time.Now()); reason != "" {
			return &notReadyError{reason: reason}
		}
		return nil
	}
	cfg := limiter.DefaultConfig(&bundler.Pool{})
	a.limiterConfig.Store(&cfg)
	a.admission = newAdmission(cfg, a.onLoadChange)
	a.monitor = &monitor{agent: a}
	a.endpoint.onResponse = a.recordCallResponse
	a.relayServer = relayer.NewServer(ctx, a, messenger.Options{TLSFunc: c.ClientConfig, Clock: obs.Recorder})
	a.relayServer.Memory = &a.callers.Answers
	return a
}

// notReadyError is the reason why the agent does not serve requests.
type notReadyError struct{ reason relayer.Reason }

// Error implements error.
func (e *notReadyError) Error() string { return string(e.reason) }

// Handler serves relay connections, imports of chats and the timeline to processes of the fleet only, and health checks
// and metrics without a client certificate.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayer.Path, a.certifier.RequirePeer(a.relayServer))
	mux.Handle("PUT "+cachePath+"{chat}", a.certifier.RequirePeer(http.HandlerFunc(a.importChat)))
	mux.Handle("GET "+recorder.Path, a.certifier.RequirePeer(a.obs.TimelineHandler()))
	mux.Handle("GET /metrics", a.obs.MetricsHandler())
	mux.Handle("GET /readyz", &a.readiness)
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// Serve maintains the connection to control and monitors the endpoint until ctx ends.
func (a *Agent) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { a.monitor.run(ctx) })
	defer wg.Wait()
	return a.control.Serve(ctx)
}

func (a *Agent) onLoadChange(s limiter.Status) {
	a.control.SetLoad(subscriber.Load{InFlight: s.InFlight, Limit: s.Limit, Cold: s.Cold})
	a.metrics.inFlight.Set(float64(s.InFlight))
	a.metrics.queued.Set(float64(s.Queued))
	a.metrics.limit.Set(float64(s.Limit))
	cold := 0.0
	if s.Cold {
		cold = 1
	}
	a.metrics.cold.Set(cold)
	if a.wasCold != s.Cold {
		a.wasCold = s.Cold
		a.obs.Event("endpoint cold state changed", "endpoint", a.settings.Place.Name, "cold", s.Cold, "limit", s.Limit)
	}
}

func (a *Agent) configureLimiter(p *bundler.Pool) {
	cfg := limiter.DefaultConfig(p)
	if cfg == *a.limiterConfig.Load() {
		return
	}
	a.limiterConfig.Store(&cfg)
	a.admission.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Configure(now, cfg) })
}

func (a *Agent) load() relayer.Load {
	v, s := a.control.View(), a.admission.status()
	return relayer.Load{
		InFlight: s.InFlight, Limit: s.Limit, Cold: s.Cold, ViewIndex: v.Index, BundleVersion: v.BundleVersion,
	}
}

// notServingReason returns why the agent refuses all requests now; empty if it does not.
func (a *Agent) notServingReason(now time.Time) relayer.Reason {
	v := a.control.View()
	e, ok := v.Endpoints[a.settings.Place.Name]
	switch {
	case !a.control.IsFresh(now):
		return relayer.ReasonStaleView
	case a.isLeaving.Load() || ok && e.Leaving:
		return relayer.ReasonLeaving
	case !ok || !v.IsInService(&e):
		return relayer.ReasonOutOfService
	case e.Incarnation > a.control.Incarnation():
		return relayer.ReasonOtherIncarnation // another process has announced the endpoint since
	case !a.monitor.isReady.Load():
		return relayer.ReasonEndpointUnavailable
	default:
		return ""
	}
}

func (a *Agent) refuse(reason relayer.Reason, retryAfter time.Duration) *relayer.RefusalError {
	a.metrics.refused.WithLabelValues(string(reason)).Inc()
	return &relayer.RefusalError{Reason: reason, RetryAfterMillis: retryAfter.Milliseconds(), Load: a.load()}
}

// Handle implements relayer.Handler: it admits a request and forwards it to the endpoint.
func (a *Agent) Handle(ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error) {
	return a.handle(ctx, &req, w)
}

func (a *Agent) handle(ctx context.Context, req *relayer.Request, w responseWriter) (relayer.End, error) {
	if req.Operation != nil {
		return a.handleOperation(ctx, req, w)
	}
	admitted, refusal := a.admit(ctx, req)
	if refusal != nil {
		return relayer.End{}, refusal
	}
	return a.run(ctx, req, admitted, w)
}

// cancelDelay delays the release of the slot of a cancelled request; it is several round trips to the endpoint, which
// is on the same instance.
const cancelDelay = 50 * time.Millisecond

// admittedRequest is a request that may be forwarded.
type admittedRequest struct {
	id        uint64
	tracked   trackedRequest
	pool      bundler.Pool
	startTime int64 // start time of the endpoint process
}

// admit makes all checks, from the cheapest and most general to admission: pool, freshness, leaving, in service,
// endpoint ready, duplicate, cached, poison and suspect, then load bound, limit, fair share and deadline. Because
// admission may wait, the first checks are repeated immediately before forwarding. A request whose fingerprint is in
// flight here or was in flight at a crash waits even while the endpoint is down, and is then refused as a suspect.
func (a *Agent) admit(ctx context.Context, req *relayer.Request) (p admittedRequest, refusal *relayer.RefusalError) {
	v := a.control.View()
	pool := v.Pools[a.settings.Pool]
	qreq := quarantiner.Request{
		Fingerprint: quarantiner.Fingerprint(req.Workspace, req.Path, req.ChatKey, req.Body), Crashes: req.Crashes,
	}
	if qreq.AllowParallel = pool.Kind == bundler.PoolService; !qreq.AllowParallel {
		qreq.Hold = time.Duration(pool.TimeoutMillis) * time.Millisecond // no attempt takes longer
	}
	qreq.Verdict = v.Verdicts[qreq.Fingerprint]
	// Such a request waits here, because the agents of other endpoints may not treat it as a suspect yet.
	mustWaitHere := !qreq.AllowParallel && qreq.Crashes == 0 && a.quarantine.isInFlightOrSuspect(qreq)
	reason, retryAfter := a.refusalReason(time.Now())
	switch {
	case req.Pool != a.settings.Pool:
		reason = relayer.ReasonWrongPool
	case reason == relayer.ReasonEndpointUnavailable && mustWaitHere:
		reason = ""
	}
	switch {
	case reason != "":
		return p, a.refuse(reason, retryAfter)
	case !a.addActive(req):
		return p, a.refuse(relayer.ReasonDuplicate, 0)
	}
	defer func() {
		if refusal != nil {
			a.removeActive(req)
			if req.OnlyIfCached {
				refusal.MovedTo = a.directory.movedTo(req.ChatKey, time.Now())
			}
		}
	}()
	if refusal = a.checkCached(req); refusal != nil && !mustWaitHere {
		return p, refusal
	}
	p = admittedRequest{pool: pool}
	if req.Crashes > 0 {
		awaitCrashReports(ctx)
	}
	p.tracked, reason = a.quarantine.awaitStart(ctx, qreq, func(f string) viewer.Verdict {
		return a.control.View().Verdicts[f]
	})
	if reason != "" {
		return p, a.refuse(reason, suspectRetryAfter)
	}
	defer func() {
		if refusal != nil {
			a.quarantine.finish(p.tracked, false)
		}
	}()
	// refuseStarted refuses a suspect with ReasonSuspect, which keeps routers from trying it at another endpoint.
	refuseStarted := func(reason relayer.Reason, retryAfter time.Duration) *relayer.RefusalError {
		if !qreq.AllowParallel && qreq.Crashes == 0 && a.quarantine.isSuspect(qreq) {
			return a.refuse(relayer.ReasonSuspect, max(retryAfter, suspectRetryAfter))
		}
		return a.refuse(reason, retryAfter)
	}
	id, limiterRefusal := a.admission.admit(ctx, limiter.Request{
		Workspace: req.Workspace, Weight: req.Weight, Priority: req.Priority, Deadline: req.Deadline, MeanHint: req.MeanHint,
	})
	if limiterRefusal != nil {
		if !qreq.AllowParallel {
			a.quarantine.markRunningElsewhere(qreq.Fingerprint)
		}
		return p, refuseStarted(protocolReason(limiterRefusal.Reason), limiterRefusal.RetryAfter)
	}
	p.id, p.startTime = id, a.monitor.startTime.Load()
	if reason, retryAfter := a.refusalReason(time.Now()); reason != "" {
		a.admission.finish(limiter.Result{ID: id, Outcome: limiter.OutcomeCancelled})
		if reason == relayer.ReasonEndpointUnavailable {
			return p, refuseStarted(reason, 0)
		}
		return p, a.refuse(reason, retryAfter)
	}
	a.metrics.admitted.Inc()
	return p, nil
}

func awaitCrashReports(ctx context.Context) {
	t := time.NewTimer(crashReportWait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// checkCached refuses a request whose required chat or prefix is not cached. The refusal says whether the prefix is
// cached here and whether there is room for the request.
func (a *Agent) checkCached(req *relayer.Request) *relayer.RefusalError {
	if !req.OnlyIfCached && !req.OnlyIfPrefixCached {
		return nil
	}
	hasPrefix, hasRoom := a.directory.hasPrefix(req.PrefixKey), a.admission.hasRoom(req.MeanHint)
	if req.OnlyIfCached && a.directory.isCached(req.ChatKey) || req.OnlyIfPrefixCached && hasPrefix && hasRoom {
		return nil
	}
	refusal := a.refuse(relayer.ReasonNotCached, 0)
	refusal.HasPrefix, refusal.HasRoom = hasPrefix, hasRoom
	return refusal
}

// Moved implements relayer.MoveHandler: it records which other endpoint has served a chat whose primary is this
// endpoint.
func (a *Agent) Moved(chat uint64, endpoint string) {
	if endpoint != a.settings.Place.Name {
		a.directory.recordMove(chat, endpoint, time.Now())
	}
}

// addActive adds a request; it reports false if another attempt of it is in progress here.
func (a *Agent) addActive(req *relayer.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.activeIDs[req.ID]; ok {
		return false
	}
	a.activeIDs[req.ID] = struct{}{}
	return true
}

func (a *Agent) removeActive(req *relayer.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.activeIDs, req.ID)
}

// run forwards an admitted request and releases what admit acquired. It returns a refusal only if the endpoint has
// certainly not run the request.
func (a *Agent) run(
	ctx context.Context, req *relayer.Request, p admittedRequest, w responseWriter,
) (end relayer.End, err error) {
	defer a.removeActive(req)
	a.quarantine.markSent(&p.tracked)
	stats, err := a.forward(ctx, req, p.pool.Kind, w)
	a.recordStatement(p.startTime, req.ID, &stats.said)
	if !stats.mayHaveRun {
		a.quarantine.unmarkSent(&p.tracked)
	}
	result := stats.limiterResult(p.id, err)
	switch {
	case err == nil:
		end.Outcome = relayer.OutcomeRan
	case ctx.Err() == nil && !errors.Is(err, relayer.ErrResponseTooLarge) && !errors.Is(err, errEngineUnavailable):
		end.Crashed = a.monitor.detectCrash(ctx, p.startTime) && stats.mayHaveRun
		if end.Crashed {
			result.Outcome = limiter.OutcomeEngineCrash
		}
	}
	suspected, cleared := a.quarantine.finish(p.tracked, result.Outcome == limiter.OutcomeSuccess)
	end.Crashed = end.Crashed || suspected && err != nil // its router must retry it as a suspect
	if cleared {
		a.obs.Event("suspect cleared", "endpoint", a.settings.Place.Name, "request", req.ID, "fingerprint",
			p.tracked.fingerprint)
		a.reportCrash(ctx, subscriber.CrashReport{Endpoint: a.settings.Place.Name, Cleared: []string{p.tracked.fingerprint}})
	}
	if result.Outcome != limiter.OutcomeSuccess && ctx.Err() != nil {
		// The engine detects the cancellation with a delay and must not receive the next request before that.
		time.AfterFunc(cancelDelay, func() { a.admission.finish(result) })
	} else {
		a.admission.finish(result)
	}
	if err != nil && !stats.mayHaveRun && !end.Crashed && ctx.Err() == nil {
		return relayer.End{}, a.refuse(relayer.ReasonEndpointUnavailable, 0)
	}
	a.recordResponse(req, &stats, end.Outcome)
	end.Load = a.load()
	return end, err
}

func (a *Agent) recordResponse(req *relayer.Request, stats *responseStats, outcome relayer.Outcome) {
	label := "unknown"
	if outcome == relayer.OutcomeRan {
		label = "ran"
	}
	a.metrics.ended.WithLabelValues(label).Inc()
	if !stats.firstByteAt.IsZero() {
		a.metrics.firstToken.Observe(stats.firstByteAt.Sub(stats.sentAt).Seconds())
	}
	if outcome != relayer.OutcomeRan || stats.status >= http.StatusBadRequest || req.ChatKey == 0 {
		return
	}
	a.directory.touch(req.ChatKey, req.PrefixKey, time.Now())
	a.directory.setSuccessor(req.ChatKey, req.Successor)
	if usage, ok := stats.usage(); ok {
		a.metrics.promptTokens.Add(float64(usage.PromptTokens))
		a.metrics.cachedTokens.Add(float64(usage.PromptDetails.CachedTokens))
	}
}

// handleOperation starts or joins the run of the generation, which continues when the caller disconnects.
func (a *Agent) handleOperation(ctx context.Context, req *relayer.Request, w responseWriter) (relayer.End, error) {
	a.awaitIncarnation(ctx, req.Operation.Incarnation)
	op, isNew := a.operations.startOrJoin(time.Now(), req.Operation, a.control.Incarnation())
	if isNew {
		a.work.Go(func() { a.runOperation(req, op) })
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		return relayer.End{Outcome: relayer.OutcomeUnknown, Problem: "operation is still running", Load: a.load()}, nil
	}
	ended := a.operations.result(op)
	switch {
	case ended.state == operationRefused:
		refusal := *ended.refusal
		if ended.isRefusalFinal() {
			refusal.Generation = ended.generation
		}
		return relayer.End{}, &refusal
	case !ended.hasResponse:
		return relayer.End{Outcome: relayer.OutcomeUnknown, Problem: ended.problem, Load: a.load()}, nil
	}
	w.Start(ended.head)
	if _, err := w.Write(ended.body); err != nil {
		return relayer.End{Outcome: relayer.OutcomeUnknown}, err
	}
	return relayer.End{Outcome: relayer.OutcomeRan, Load: a.load()}, nil
}

// awaitIncarnation waits up to callTimeout for an incarnation that the router has received before the agent.
func (a *Agent) awaitIncarnation(ctx context.Context, incarnation uint64) {
	for deadline := time.Now().Add(callTimeout); a.control.Incarnation() < incarnation && time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(controlPollInterval):
		}
	}
}

// runOperation runs an operation and commits its outcome before a router receives the response. The deadline applies to
// admission only, because cancelling a call that must not be retried makes its outcome unknown.
func (a *Agent) runOperation(req *relayer.Request, op *operation) {
	ctx, cancel := context.WithDeadline(a.ctx, req.Deadline)
	p, refusal := a.admit(ctx, req)
	cancel()
	if refusal != nil {
		a.operations.refuse(op, refusal)
		return
	}
	a.operations.markForwarded(op)
	ctx, cancel = context.WithTimeout(a.ctx, max(minOperationTimeout, time.Until(req.Deadline)))
	defer cancel()
	recorder := relayer.NewRecorder()
	_, err := a.run(ctx, req, p, recorder)
	if errors.As(err, &refusal) {
		a.operations.refuse(op, refusal)
		return
	}
	outcome := subscriber.OperationOutcome{Operation: req.Operation.ID, Generation: req.Operation.Generation}
	head, body := recorder.Recorded()
	problem := ""
	if err == nil {
		outcome.Answer = &subscriber.RecordedAnswer{Status: head.Status, Type: head.ContentType, Body: body}
	} else {
		problem = err.Error()
	}
	if err := a.retryControlCall(a.ctx, func(ctx context.Context) error {
		return a.control.RecordOutcome(ctx, outcome)
	}); err != nil {
		a.obs.Event("outcome not committed", "operation", outcome.Operation, "generation", outcome.Generation, "err", err)
		problem = "outcome not committed: " + err.Error()
	}
	a.operations.finish(op, head, body, problem)
}

// minOperationTimeout is the minimum time an operation has at the endpoint before its outcome counts as unknown.
const minOperationTimeout = 30 * time.Second
