package router

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/retrier"
	"cactusroute.dev/core/viewer"
)

// Router serves the requests of callers.
type Router struct {
	settings         Settings
	control          Control
	relay            Relay
	obs              *observer.Observer
	callers          *server.Resources
	certifier        *certifier.Certifier // nil without TLS
	metrics          *metrics
	admission        *admissionController
	placement        *placementTable
	operationRuns    *flightGroup
	fingerprintLocks *keyedMutex
	draining         atomic.Bool
	// callerStallTimeout is shorter in tests.
	callerStallTimeout time.Duration
	hadCurrentView     atomic.Bool // a request has found a current view

	mu     sync.Mutex // guards budget and rng
	budget *retrier.Budget
	rng    *rand.Rand
}

// New returns a router whose connections to agents last until ctx ends. It fails if the TLS files can't be loaded.
func New(ctx context.Context, s Settings, obs *observer.Observer) (*Router, error) {
	cert, err := certifier.New(s.TLS, obs.Event)
	if err != nil {
		return nil, err
	}
	control := subscriber.NewClient(subscriber.ClientConfig{
		Identity: subscriber.Identity{
			Name: s.Place.Name, Role: subscriber.RoleRouter, Region: s.Place.Region,
			FailureDomain: s.Place.FailureDomain, Address: s.Listen,
		},
		Controls: s.Controls, TLSFunc: cert.ClientConfig, Observer: obs,
	})
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	options := messenger.Options{TLSFunc: cert.ClientConfig, Clock: obs.Recorder}
	relay := relayClient{client: relayer.NewClient(ctx, options)}
	rt := newRouter(s, control, relay, obs, binary.LittleEndian.Uint64(seed[:]))
	rt.certifier = cert
	return rt, nil
}

func newRouter(s Settings, control Control, relay Relay, obs *observer.Observer, seed uint64) *Router {
	s.setDefaults()
	rt := &Router{
		settings: s, control: control, relay: relay, obs: obs, admission: newAdmissionController(s.MaxConcurrent),
		placement: newPlacementTable(), operationRuns: newFlightGroup(), fingerprintLocks: newKeyedMutex(),
		callerStallTimeout: callerStallTimeout, budget: retrier.NewBudget(), rng: rand.New(rand.NewPCG(seed, 0)),
		callers: server.NewResources(s.Machine, obs),
	}
	rt.metrics = newMetrics(obs.Registry, rt)
	return rt
}

// demandInterval is how often the demand of workspaces with a limit is set for the next report to control.
const demandInterval = 500 * time.Millisecond

// Serve maintains the connection to control until ctx ends.
func (rt *Router) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() {
		t := time.NewTicker(demandInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				rt.control.SetDemand(rt.admission.takeDemand(rt.control.View().Workspaces))
			}
		}
	})
	return rt.control.Serve(ctx)
}

// Handler returns the handler of callers' requests, health checks, metrics and the timeline.
func (rt *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", rt.instrument("chat", rt.serveChat))
	mux.HandleFunc("POST /services/{service}/{path...}", rt.instrument("service", rt.serveService))
	mux.HandleFunc("GET /v1/models", rt.instrument("models", rt.serveModels))
	mux.HandleFunc("/", rt.instrument("other", func(http.ResponseWriter, *http.Request) (string, *httpError) {
		return "", notFound("unknown_route", "no such method and path")
	}))
	mux.Handle("GET /metrics", rt.obs.MetricsHandler())
	mux.Handle("GET "+recorder.Path, rt.certifier.RequirePeer(rt.obs.TimelineHandler()))
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", rt.serveReadiness)
	return mux
}

// instrument sets the request ID of every response, writes errors and counts outcomes. A stream that ended with an
// error is aborted.
func (rt *Router) instrument(kind string, serve func(http.ResponseWriter, *http.Request) (string, *httpError),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, crand.Text())
		if rt.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		body := server.NewBoundedBody(r)
		r = r.WithContext(r.Context()) // net/http needs the body of the original request
		r.Body = body
		outcome, httpErr := "", checkHeaderBytes(r)
		if httpErr == nil {
			outcome, httpErr = serve(w, r)
		}
		if httpErr != nil && httpErr.EndsStream {
			rt.metrics.requests.WithLabelValues(kind, httpErr.Code).Inc()
			panic(http.ErrAbortHandler)
		}
		if httpErr != nil {
			outcome = httpErr.Code
			httpErr.NotRun = httpErr.NotRun && !hasOperationKey(r)
			finish := body.Leave(w)
			httpErr.write(w)
			finish()
		}
		rt.metrics.requests.WithLabelValues(kind, outcome).Inc()
	}
}

// hasOperationKey reports whether the request has the key of an operation, which an earlier request may have run. If
// the request fails before the claim is read, it is unknown whether the operation has run.
func hasOperationKey(r *http.Request) bool {
	return r.Header.Get(headerIdempotencyKey) != "" && strings.HasPrefix(r.URL.Path, "/services/")
}

// serveReadiness reports whether load balancers may send requests. Without a quorum and with onQuorumLoss "serve", a
// router that is connected to any control instance stays ready, but it is never ready before its first view.
func (rt *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case rt.draining.Load():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case !rt.isCurrent(rt.control.View()):
		http.Error(w, "view is not fresh", http.StatusServiceUnavailable)
	}
}

// isCurrent reports whether the router may serve its first requests by the view.
func (rt *Router) isCurrent(v *viewer.View) bool {
	servesWithoutQuorum := v.Freshness.OnQuorumLoss == bundler.QuorumLossServe && rt.control.IsConnected()
	// A view without a bundle, such as that of a control instance without its state, contains no workspaces.
	return v.BundleVersion > 0 && (servesWithoutQuorum || rt.control.IsFresh(time.Now()))
}

// currentView returns the view for a request. It fails until the first current view, because the keys and models are
// not known before. Later an outdated view is used as well, because agents check freshness.
func (rt *Router) currentView() (*viewer.View, *httpError) {
	v := rt.control.View()
	if rt.hadCurrentView.Load() {
		return v, nil
	}
	if !rt.isCurrent(v) {
		return nil, &httpError{
			Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "router_starting",
			Message: "the router has not received the fleet state yet", NotRun: true, RetryAfter: rt.retryAfter(0),
		}
	}
	rt.hadCurrentView.Store(true)
	return v, nil
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters of the workspace.
func (rt *Router) serveModels(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, httpErr := rt.currentView()
	if httpErr != nil {
		return "", httpErr
	}
	ws, httpErr := authenticate(v, r)
	if httpErr != nil {
		return "", httpErr
	}
	list := modelList{Object: "list", Data: []model{}}
	add := func(id string) { list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "cactusroute"}) }
	for m, name := range v.PoolByModel {
		if !slices.Contains(ws.Pools, name) {
			continue
		}
		add(m)
		for _, a := range v.Pools[name].Adapters {
			add(m + ":" + a)
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(list) != nil {
		return "caller_gone", nil
	}
	return "ok", nil
}

// newCandidates returns the candidates for a request. Calls to services use the whole pool.
func (rt *Router) newCandidates(now time.Time, req *relayer.Request, need placer.Need) *candidates {
	v := rt.control.View()
	c := &candidates{
		control: rt.control, placement: rt.placement.pool(v, req.Pool),
		iterator: iterators.Get().(*placer.CandidateIterator),
	}
	if c.placement == nil {
		// The pool was removed from the bundle after the request was admitted.
		c.placement = &poolPlacement{tracker: placer.NewTracker(), sizer: placer.NewSizer()}
		c.placement.updateMembers(placer.NewPool(nil))
	}
	wholePool := v.Pools[req.Pool].Kind == bundler.PoolService
	c.pool = c.placement.beginRequest(c.iterator, now, req.Workspace, placer.Key(req.ChatKey), need, wholePool)
	return c
}

// callerStallTimeout is how long a caller may read nothing while a response waits for it. Agents buffer responses, so
// that such a caller holds no engine.
const callerStallTimeout = 30 * time.Second

// drainTimeout limits the time for requests in flight after the listener is closed.
const drainTimeout = 60 * time.Second

// idleDrainTimeout limits the time for callers to use or close their idle connections after the listener is closed.
const idleDrainTimeout = 5 * time.Second

// Run serves until ctx ends. It then reports not ready, closes the listener after DrainNoticeMillis and completes the
// requests in flight.
func Run(ctx context.Context, s Settings, obs *observer.Observer) error {
	drainCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rt, err := New(drainCtx, s, obs)
	if err != nil {
		return err
	}
	return rt.run(ctx, drainCtx)
}

// run serves callers until ctx ends and maintains the connection to control until drainCtx ends.
func (rt *Router) run(ctx, drainCtx context.Context) error {
	go func() {
		if err := rt.Serve(drainCtx); err != nil && !errors.Is(err, context.Canceled) {
			rt.obs.Event("control client failed", "err", err)
		}
	}()
	listenCtx, stopListening := context.WithCancel(drainCtx)
	defer stopListening()
	defer context.AfterFunc(ctx, func() {
		rt.drain(drainCtx)
		stopListening()
	})()
	srv := &server.Server{
		Addr: rt.settings.Listen, Handler: rt.Handler(), TLS: rt.certifier.PublicConfig(), GracePeriod: drainTimeout,
		IdleGrace: idleDrainTimeout, Guard: rt.callers.CallerGuard(),
		WrapListener: func(l net.Listener) net.Listener {
			return &server.CallerListener{Listener: l, StallTimeout: rt.callerStallTimeout, OnStall: func(c net.Conn) {
				rt.obs.Event("caller reads nothing", "caller", c.RemoteAddr().String())
			}}
		},
	}
	err := srv.Serve(listenCtx)
	rt.operationRuns.wg.Wait() // operations whose callers have disconnected, at most until their deadlines
	return err
}

// drain reports not ready and waits until load balancers have noticed.
func (rt *Router) drain(ctx context.Context) {
	rt.draining.Store(true)
	rt.obs.Event("draining", "inFlight", rt.admission.requestsInFlight())
	sleeper.Pause(ctx, time.Duration(rt.settings.DrainNoticeMillis)*time.Millisecond)
}
