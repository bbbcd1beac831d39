package router

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/retrier"
	"cactusroute.dev/core/viewer"
)

// Router serves callers.
type Router struct {
	settings         Settings
	control          Control
	relay            Relay
	obs              *observer.Observer
	cert             *certifier.Certifier // nil without TLS
	metrics          *metrics
	admission        *admissionController
	placement        *placementTable
	operationRuns    *flightGroup
	fingerprintLocks *keyedMutex
	draining         atomic.Bool
	hadCurrentView   atomic.Bool // a view that readiness accepts has been seen

	mu     sync.Mutex // guards budget and rng
	budget *retrier.Budget
	rng    *rand.Rand
}

// New returns a router; ctx bounds its connections to agents. It fails if the TLS files can't be used.
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
	rt.cert = cert
	return rt, nil
}

func newRouter(s Settings, control Control, relay Relay, obs *observer.Observer, seed uint64) *Router {
	s.setDefaults()
	rt := &Router{
		settings: s, control: control, relay: relay, obs: obs, admission: newAdmissionController(s.MaxConcurrent), placement: newPlacementTable(),
		operationRuns: newFlightGroup(), fingerprintLocks: newKeyedMutex(), budget: retrier.NewBudget(), rng: rand.New(rand.NewPCG(seed, 0)),
	}
	rt.metrics = newMetrics(obs.Registry, rt)
	return rt
}

// demandInterval is how often the demand of limited workspaces is given to the next report to control.
const demandInterval = 500 * time.Millisecond

// Serve keeps the connection to control until ctx ends.
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

// Handler serves callers, health checks, metrics and the timeline.
func (rt *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", rt.instrument("chat", rt.serveChat))
	mux.HandleFunc("POST /services/{service}/{path...}", rt.instrument("service", rt.serveService))
	mux.HandleFunc("GET /v1/models", rt.instrument("models", rt.serveModels))
	mux.HandleFunc("/", rt.instrument("other", func(http.ResponseWriter, *http.Request) (string, *httpError) {
		return "", notFound("unknown_route", "no such method and path")
	}))
	mux.Handle("GET /metrics", rt.obs.MetricsHandler())
	mux.Handle("GET "+recorder.Path, rt.cert.RequirePeer(rt.obs.TimelineHandler()))
	mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", rt.serveReadiness)
	return mux
}

// counted gives every answer its request id and counts its outcome.
func (rt *Router) instrument(kind string, serve func(http.ResponseWriter, *http.Request) (string, *httpError),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, crand.Text())
		outcome, f := "", checkHeaderBytes(r)
		if f == nil {
			outcome, f = serve(w, r)
		}
		if f != nil {
			outcome = f.Code
			f.NotRun = f.NotRun && !hasOperationKey(r)
			f.write(w)
		}
		rt.metrics.requests.WithLabelValues(kind, outcome).Inc()
		// The deadline of the last write must not end the next request on the connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	}
}

// namesOperation reports whether an earlier request may have run the operation that this one names. A request that
// fails before its claim is read cannot tell.
func hasOperationKey(r *http.Request) bool {
	return r.Header.Get(headerIdempotencyKey) != "" && strings.HasPrefix(r.URL.Path, "/services/")
}

// ready reports whether balancers may send requests. Without a quorum and with onQuorumLoss "serve", a router that
// reaches some control instance stays ready, but never before its first view.
func (rt *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case rt.draining.Load():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case !rt.isCurrent(rt.control.View()):
		http.Error(w, "view is not fresh", http.StatusServiceUnavailable)
	}
}

func (rt *Router) isCurrent(v *viewer.View) bool {
	serves := v.Freshness.OnQuorumLoss == bundler.QuorumLossServe && rt.control.IsConnected()
	// A view without a bundle, such as that of a control instance without its state, names no workspace.
	return v.BundleVersion > 0 && (serves || rt.control.IsFresh(time.Now()))
}

// currentView returns the view by which requests are served. Before the first one that readiness accepts, the router
// cannot tell which keys and models exist. An older view still serves, because agents decide on freshness.
func (rt *Router) currentView() (*viewer.View, *httpError) {
	v := rt.control.View()
	if rt.hadCurrentView.Load() {
		return v, nil
	}
	if !rt.isCurrent(v) {
		return nil, &httpError{
			Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "router_starting",
			Message: "this router has no view of the fleet yet", NotRun: true, RetryAfter: rt.retryAfter(0),
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

// models lists the models and adapters of the workspace.
func (rt *Router) serveModels(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, f := rt.currentView()
	if f != nil {
		return "", f
	}
	ws, f := authenticate(v, r)
	if f != nil {
		return "", f
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

// candidates begins the order of endpoints for a request; calls to services use the whole pool.
func (rt *Router) newCandidates(now time.Time, req *relayer.Request, need placer.Need) *candidates {
	v := rt.control.View()
	c := &candidates{control: rt.control, placement: rt.placement.pool(v, req.Pool), iterator: iterators.Get().(*placer.CandidateIterator)}
	if c.placement == nil {
		// The pool left the bundle after the request was accepted.
		c.placement = &poolPlacement{tracker: placer.NewTracker(), sizer: placer.NewSizer()}
		c.placement.updateMembers(placer.NewPool(nil))
	}
	spread := v.Pools[req.Pool].Kind == bundler.PoolService
	c.pool = c.placement.beginRequest(c.iterator, now, req.Workspace, placer.Key(req.ChatKey), need, spread)
	return c
}

// drainTime is how long requests in flight may take after a stop was asked for.
const drainTimeout = 60 * time.Second

// Run serves until ctx ends, then reports not ready, and after the drain notice stops listening and finishes the
// requests in flight.
func Run(ctx context.Context, s Settings, obs *observer.Observer) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rt, err := New(work, s, obs)
	if err != nil {
		return err
	}
	return rt.run(ctx, work)
}

// run serves callers until ctx ends and keeps the connection to control until work ends.
func (rt *Router) run(ctx, work context.Context) error {
	go func() {
		if err := rt.Serve(work); err != nil && !errors.Is(err, context.Canceled) {
			rt.obs.Event("control client ended", "err", err)
		}
	}()
	listening, stop := context.WithCancel(work)
	defer stop()
	defer context.AfterFunc(ctx, func() {
		rt.drain(work)
		stop()
	})()
	srv := &server.Server{
		Addr: rt.settings.Listen, Handler: rt.Handler(), TLS: rt.cert.PublicConfig(), GracePeriod: drainTimeout,
	}
	err := srv.Serve(listening)
	rt.operationRuns.wg.Wait() // operations whose callers are gone, at most until their deadlines
	return err
}

// drain reports not ready and gives balancers time to see it.
func (rt *Router) drain(ctx context.Context) {
	rt.draining.Store(true)
	rt.obs.Event("draining", "inFlight", rt.admission.requestsInFlight())
	pauser.Pause(ctx, time.Duration(rt.settings.DrainNoticeMillis)*time.Millisecond)
}
