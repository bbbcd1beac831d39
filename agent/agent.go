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

// Agent serves the requests of routers to one endpoint.
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
	tls           *certifier.Certifier // nil without TLS
	readiness     server.Readiness
	peerClient    peerClient
	ctx           context.Context // ends when the agent stops, after its requests
	work          sync.WaitGroup  // operations and commits
	exports       sync.WaitGroup  // the export of chats on a leave
	isLeaving     atomic.Bool
	limiterConfig atomic.Pointer[limiter.Config]
	wasCold       bool // guarded by the gate, which reports every change of load

	mu        sync.Mutex
	activeIDs map[string]struct{} // ids of the requests here
}

// New returns an agent that is connected to control by Serve; ctx bounds the runs of requests.
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
		obs: obs, tls: c, peerClient: newPeerClient(c), ctx: ctx, activeIDs: map[string]struct{}{},
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
	a.relayServer = relayer.NewServer(ctx, a, messenger.Options{TLSFunc: c.ClientConfig, Clock: obs.Recorder})
	return a
}

// notReadyError says why the endpoint gets no work.
type notReadyError struct{ reason relayer.Reason }

// Error names the reason.
func (e *notReadyError) Error() string { return string(e.reason) }

// Handler serves routers, other agents that export chats, and the timeline to processes of the fleet, and health
// checks and metrics to everyone.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayer.Path, a.tls.RequirePeer(a.relayServer))
	mux.Handle("PUT "+cachePath+"{chat}", a.tls.RequirePeer(http.HandlerFunc(a.importChat)))
	mux.Handle("GET "+recorder.Path, a.tls.RequirePeer(a.obs.TimelineHandler()))
	mux.Handle("GET /metrics", a.obs.MetricsHandler())
	mux.Handle("GET /readyz", &a.readiness)
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// Serve keeps the connection to control and follows the endpoint until ctx ends.
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
		a.obs.Event("endpoint temperature changed", "endpoint", a.settings.Place.Name, "cold", s.Cold, "limit", s.Limit)
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

// unserviceable returns why the endpoint may not get any work now; empty if it may.
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

// Handle admits a request and forwards it to the endpoint.
func (a *Agent) Handle(ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error) {
	return a.handle(ctx, &req, w)
}

func (a *Agent) handle(ctx context.Context, req *relayer.Request, w responseWriter) (relayer.End, error) {
	if req.Operation != nil {
		return a.handleOperation(ctx, req, w)
	}
	pass, refusal := a.admit(ctx, req)
	if refusal != nil {
		return relayer.End{}, refusal
	}
	return a.run(ctx, req, pass, w)
}

// cancelTime is several round trips to the endpoint, which is on the same instance.
const cancelDelay = 50 * time.Millisecond

// pass is the right to forward one request.
type admittedRequest struct {
	id        uint64
	tracked   trackedRequest
	pool      bundler.Pool
	startTime int64 // start time of the endpoint
}

// admit makes all checks, from the cheapest and most general to admission: pool, freshness, leaving, in service,
// endpoint ready, duplicate, cached, poison and suspect, then load bound, limit, fair share and deadline. As
// admission may wait, it ends with the first checks again, immediately before forwarding. A request that is in flight
// here or may have crashed an engine waits even while the endpoint is down, and is refused as a suspect.
func (a *Agent) admit(ctx context.Context, req *relayer.Request) (p admittedRequest, refusal *relayer.RefusalError) {
	v := a.control.View()
	pool := v.Pools[a.settings.Pool]
	c := quarantiner.Request{
		Fingerprint: quarantiner.Fingerprint(req.Workspace, req.Path, req.ChatKey, req.Body), Crashes: req.Crashes,
	}
	if c.AllowParallel = pool.Kind == bundler.PoolService; !c.AllowParallel {
		c.Hold = time.Duration(pool.TimeoutMillis) * time.Millisecond // no attempt takes longer
	}
	c.Verdict = v.Verdicts[c.Fingerprint]
	// Such a request waits here, because another endpoint may not know yet that it may crash.
	mustStay := !c.AllowParallel && c.Crashes == 0 && a.quarantine.isInFlightOrSuspect(c)
	reason := a.notServingReason(time.Now())
	switch {
	case req.Pool != a.settings.Pool:
		reason = relayer.ReasonWrongPool
	case reason == relayer.ReasonEndpointUnavailable && mustStay:
		reason = ""
	}
	switch {
	case reason != "":
		return p, a.refuse(reason, 0)
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
	if refusal = a.checkCached(req); refusal != nil && !mustStay {
		return p, refusal
	}
	p = admittedRequest{pool: pool}
	if req.Crashes > 0 {
		awaitCrashReports(ctx)
	}
	p.tracked, reason = a.quarantine.awaitStart(ctx, c, func(f string) viewer.Verdict { return a.control.View().Verdicts[f] })
	if reason != "" {
		return p, a.refuse(reason, suspectRetryAfter)
	}
	defer func() {
		if refusal != nil {
			a.quarantine.finish(p.tracked, false)
		}
	}()
	stay := func(reason relayer.Reason, retryAfter time.Duration) *relayer.RefusalError {
		if !c.AllowParallel && c.Crashes == 0 && a.quarantine.isSuspect(c) {
			return a.refuse(relayer.ReasonSuspect, max(retryAfter, suspectRetryAfter))
		}
		return a.refuse(reason, retryAfter)
	}
	id, r := a.admission.admit(ctx, limiter.Request{
		Workspace: req.Workspace, Weight: req.Weight, Priority: req.Priority, Deadline: req.Deadline, MeanHint: req.MeanHint,
	})
	if r != nil {
		if !c.AllowParallel {
			a.quarantine.markRunningElsewhere(c.Fingerprint)
		}
		return p, stay(protocolReason(r.Reason), r.RetryAfter)
	}
	p.id, p.startTime = id, a.monitor.startTime.Load()
	if reason := a.notServingReason(time.Now()); reason != "" {
		a.admission.finish(limiter.Result{ID: id, Outcome: limiter.OutcomeCancelled})
		if reason == relayer.ReasonEndpointUnavailable {
			return p, stay(reason, 0)
		}
		return p, a.refuse(reason, 0)
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

// uncached refuses a request that lacks the cached context it asks for, and tells how good a place this is for it.
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

// Moved records where a chat was served whose first candidate this endpoint is.
func (a *Agent) Moved(chat uint64, endpoint string) {
	if endpoint != a.settings.Place.Name {
		a.directory.recordMove(chat, endpoint, time.Now())
	}
}

// enter counts a request; it reports false if another attempt of it is here.
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

// run forwards an admitted request and releases its pass. Only an endpoint that could not be reached turns into
// a refusal.
func (a *Agent) run(ctx context.Context, req *relayer.Request, p admittedRequest, w responseWriter) (end relayer.End, err error) {
	defer a.removeActive(req)
	a.quarantine.markSent(&p.tracked)
	o, err := a.forward(ctx, req, p.pool.Kind, w)
	if !o.mayHaveRun {
		a.quarantine.unmarkSent(&p.tracked)
	}
	f := o.limiterResult(p.id, err)
	switch {
	case err == nil:
		end.Outcome = relayer.OutcomeRan
	case ctx.Err() == nil && !errors.Is(err, relayer.ErrResponseTooLarge) && !errors.Is(err, errEngineUnavailable):
		end.Crashed = a.monitor.detectCrash(ctx, p.startTime) && o.mayHaveRun
		if end.Crashed {
			f.Outcome = limiter.OutcomeEngineCrash
		}
	}
	suspected, cleared := a.quarantine.finish(p.tracked, f.Outcome == limiter.OutcomeSuccess)
	end.Crashed = end.Crashed || suspected && err != nil // its router has to repeat it as a suspect
	if cleared {
		a.obs.Event("suspect cleared", "endpoint", a.settings.Place.Name, "request", req.ID, "fingerprint",
			p.tracked.fingerprint)
		a.reportCrash(ctx, subscriber.CrashReport{Endpoint: a.settings.Place.Name, Cleared: []string{p.tracked.fingerprint}})
	}
	if f.Outcome != limiter.OutcomeSuccess && ctx.Err() != nil {
		// The engine notices the cancel a little later, and must not get the next request before that.
		time.AfterFunc(cancelDelay, func() { a.admission.finish(f) })
	} else {
		a.admission.finish(f)
	}
	if err != nil && !o.mayHaveRun && !end.Crashed && ctx.Err() == nil {
		return relayer.End{}, a.refuse(relayer.ReasonEndpointUnavailable, 0)
	}
	a.recordResponse(req, &o, end.Outcome)
	end.Load = a.load()
	return end, err
}

func (a *Agent) recordResponse(req *relayer.Request, o *responseStats, outcome relayer.Outcome) {
	label := "unknown"
	if outcome == relayer.OutcomeRan {
		label = "ran"
	}
	a.metrics.ended.WithLabelValues(label).Inc()
	if !o.firstByteAt.IsZero() {
		a.metrics.firstToken.Observe(o.firstByteAt.Sub(o.sentAt).Seconds())
	}
	if outcome != relayer.OutcomeRan || o.status >= http.StatusBadRequest || req.ChatKey == 0 {
		return
	}
	a.directory.touch(req.ChatKey, req.PrefixKey, time.Now())
	a.directory.setSuccessor(req.ChatKey, req.Successor)
	if u, ok := o.usage(); ok {
		a.metrics.promptTokens.Add(float64(u.PromptTokens))
		a.metrics.cachedTokens.Add(float64(u.PromptDetails.CachedTokens))
	}
}

// handleOperation starts or joins the run of the generation; the run goes on when its caller is gone.
func (a *Agent) handleOperation(ctx context.Context, req *relayer.Request, w responseWriter) (relayer.End, error) {
	a.awaitIncarnation(ctx, req.Operation.Incarnation)
	op, isNew := a.operations.startOrJoin(time.Now(), req.Operation, a.control.Incarnation())
	if isNew {
		a.work.Go(func() { a.runOperation(req, op) })
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		return relayer.End{Outcome: relayer.OutcomeUnknown, Problem: "the operation still runs", Load: a.load()}, nil
	}
	r := a.operations.result(op)
	switch {
	case r.state == operationRefused:
		refusal := *r.refusal
		if r.isRefusalFinal() {
			refusal.Generation = r.generation
		}
		return relayer.End{}, &refusal
	case !r.hasResponse:
		return relayer.End{Outcome: relayer.OutcomeUnknown, Problem: r.problem, Load: a.load()}, nil
	}
	w.Start(r.head)
	if _, err := w.Write(r.body); err != nil {
		return relayer.End{Outcome: relayer.OutcomeUnknown}, err
	}
	return relayer.End{Outcome: relayer.OutcomeRan, Load: a.load()}, nil
}

// awaitIncarnation waits a moment for an incarnation that the router has seen before the agent.
func (a *Agent) awaitIncarnation(ctx context.Context, incarnation uint64) {
	for end := time.Now().Add(callTimeout); a.control.Incarnation() < incarnation && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(controlPollInterval):
		}
	}
}

// execute runs an operation and commits its outcome before anyone gets the answer. Its deadline bounds admission
// only, because stopping a call that may not be repeated makes its outcome unknown.
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
	rec := relayer.NewRecorder()
	_, err := a.run(ctx, req, p, rec)
	if errors.As(err, &refusal) {
		a.operations.refuse(op, refusal)
		return
	}
	s := subscriber.OperationOutcome{Operation: req.Operation.ID, Generation: req.Operation.Generation}
	head, body := rec.Recorded()
	problem := ""
	if err == nil {
		s.Answer = &subscriber.RecordedAnswer{Status: head.Status, Type: head.ContentType, Body: body}
	} else {
		problem = err.Error()
	}
	if err := a.retryControlCall(a.ctx, func(ctx context.Context) error { return a.control.RecordOutcome(ctx, s) }); err != nil {
		a.obs.Event("outcome not committed", "operation", s.Operation, "generation", s.Generation, "err", err)
		problem = "the outcome is not committed: " + err.Error()
	}
	a.operations.finish(op, head, body, problem)
}

// operationTime is the least time that an operation gets at the endpoint before it counts as unknown.
const minOperationTimeout = 30 * time.Second
