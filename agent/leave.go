package agent

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/placer"
)

const (
	// gracePeriod is how long requests in flight may take after the start of a shutdown.
	gracePeriod = 60 * time.Second
	// shutdownDelay is the freshness lease, after which no router with a fresh view sends requests here. Requests that
	// arrive before are refused as not run; a closed connection would leave the outcome of an operation unknown.
	shutdownDelay = 2 * time.Second
	// exportTimeout limits the export of chats, which competes with the requests in flight.
	exportTimeout = 10 * time.Second
	// exportBytesPerSecond is 80% of a 10 Gbit/s link, which requests share.
	exportBytesPerSecond = 1e9
	// exportOverhead is the fixed cost of an export: two calls, and a prefill that is scheduled in any case.
	exportOverhead = 5 * time.Millisecond
	cachePath      = "/cache/v1/"
)

// isWorthExporting reports whether copying the cache of a chat is faster than recomputing it. With 128 KiB per token, a
// copy takes 131 us per token, so it pays off for models whose prefill is slower and for chats long enough to outweigh
// the overhead; docs/decisions/kv-export.md lists the sizes.
func isWorthExporting(c *chatCache) bool {
	recompute := time.Duration(c.Tokens) * time.Duration(c.PrefillMicrosPerToken) * time.Microsecond
	transfer := exportOverhead + time.Duration(float64(c.Bytes)/exportBytesPerSecond*float64(time.Second))
	return recompute > transfer
}

// peerClient sends exported chats to other agents.
type peerClient struct {
	scheme string
	client *http.Client
}

func newPeerClient(c *certifier.Certifier) peerClient {
	dialer := &net.Dialer{Timeout: callTimeout}
	p := peerClient{scheme: "http://", client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: time.Minute,
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&tls.Dialer{NetDialer: dialer, Config: c.ClientConfig()}).DialContext(ctx, network, addr)
		},
	}}}
	if c != nil {
		p.scheme = "https://"
	}
	return p
}

func (p *peerClient) endpointAt(addr string) *endpoint {
	return &endpoint{baseURL: p.scheme + addr, pooledClient: p.client}
}

var errNoPeer = errors.New("no other endpoint of the pool is in service")

// exportChats sends the chats that are worth exporting to the endpoints that become their primaries, most recently used
// first.
func (a *Agent) exportChats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	var cached []chatCache
	if a.endpoint.call(ctx, http.MethodGet, "/engine/v1/cache", nil, &cached) != nil {
		return // a service, or an engine that does not support exports
	}
	worthExporting := map[string]bool{}
	for i := range cached {
		worthExporting[cached[i].Chat] = isWorthExporting(&cached[i])
	}
	peers := a.peerAddresses()
	var chats, bytes int64
	for _, key := range a.directory.cachedKeys() {
		if ctx.Err() != nil || len(peers) == 0 {
			break
		}
		if !worthExporting[formatChatKey(key)] {
			continue
		}
		if n, err := a.exportChat(ctx, key, peers); err == nil {
			chats, bytes = chats+1, bytes+n
			a.metrics.exported.Inc()
			a.metrics.exportedBytes.Add(float64(n))
		}
	}
	a.obs.Event("chats exported", "endpoint", a.settings.Place.Name, "chats", chats, "bytes", bytes)
}

// peerAddresses returns the agent addresses of the other endpoints of the pool by endpoint name.
func (a *Agent) peerAddresses() map[string]string {
	v, peers := a.control.View(), map[string]string{}
	for name, e := range v.Endpoints {
		if e.Pool == a.settings.Pool && name != a.settings.Place.Name && !e.Lost && v.IsInService(&e) {
			peers[name] = e.Address
		}
	}
	return peers
}

// exportChat copies the cache of a chat to the endpoint that becomes its primary, and returns the cache size.
func (a *Agent) exportChat(ctx context.Context, key uint64, peers map[string]string) (bytes int64, err error) {
	target := a.directory.successor(key)
	if peers[target] == "" {
		if target, err = primaryPeer(peers, key); err != nil {
			return 0, err
		}
	}
	var c chatCache
	if err := a.endpoint.call(ctx, http.MethodGet, "/engine/v1/cache/"+formatChatKey(key), nil, &c); err != nil {
		return 0, err
	}
	return c.Bytes, a.peerClient.endpointAt(peers[target]).call(ctx, http.MethodPut, cachePath+formatChatKey(key), &c, nil)
}

// primaryPeer returns the primary of a chat among all peers, for chats without a successor in service.
func primaryPeer(peers map[string]string, key uint64) (string, error) {
	endpoints := make([]placer.Endpoint, 0, len(peers))
	for name := range peers {
		endpoints = append(endpoints, placer.Endpoint{Name: name})
	}
	pool := placer.NewPool(endpoints)
	i, ok := pool.All().Primary(placer.Key(key))
	if !ok {
		return "", errNoPeer
	}
	return pool.Name(i), nil
}

// importChat stores the cache of a chat that the agent of a leaving endpoint exports.
func (a *Agent) importChat(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.ParseUint(r.PathValue("chat"), 10, 64)
	if err != nil {
		http.Error(w, "chat key is not an unsigned 64-bit integer", http.StatusBadRequest)
		return
	}
	var c chatCache
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallResponseBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason, _ := a.refusalReason(time.Now()); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	if err := a.endpoint.call(r.Context(), http.MethodPut, "/engine/v1/cache/"+formatChatKey(key), &c, nil); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	a.directory.touch(key, 0, time.Now())
}

// Leave removes the endpoint from the pool: it refuses new requests, commits the leave, and then starts the export of
// chats while the requests in flight finish.
func (a *Agent) Leave(ctx context.Context) {
	a.isLeaving.Store(true)
	a.relayServer.Stop()
	a.obs.Event("leaving", "endpoint", a.settings.Place.Name, "inFlight", a.admission.status().InFlight)
	if err := a.retryControlCall(ctx, a.control.Leave); err != nil {
		a.obs.Event("leave not committed", "endpoint", a.settings.Place.Name, "err", err)
	}
	a.exports.Go(func() { a.exportChats(a.ctx) })
}

// awaitDrained waits for all requests, operations, commits and exports to end.
func (a *Agent) awaitDrained() {
	a.relayServer.Wait()
	a.work.Wait()
	a.exports.Wait()
}

// Run runs an agent until ctx ends, then leaves the pool and finishes the requests in flight.
func Run(ctx context.Context, s Settings, obs *observer.Observer) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, err := New(workCtx, s, obs)
	if err != nil {
		return err
	}
	return a.runServer(ctx, workCtx)
}

// runServer serves routers until ctx has ended and the shutdown is complete. The connection to control remains open
// until workCtx ends.
func (a *Agent) runServer(ctx, workCtx context.Context) error {
	go func() { _ = a.Serve(workCtx) }()
	srv := &server.Server{
		Addr: a.settings.Listen, Handler: server.BoundBodies(a.Handler()), Guard: a.callers.Guard(server.ShareCallers),
		TLS: a.certifier.PublicConfig(), Readiness: &a.readiness,
		PreStop: []func(context.Context){a.Leave}, ShutdownDelay: shutdownDelay,
		Drain: []func(context.Context) error{server.DrainHook(a.awaitDrained)}, ListenWhileDraining: true,
		GracePeriod: gracePeriod,
	}
	err := srv.Serve(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		a.obs.Event("grace period ended with requests in flight", "endpoint", a.settings.Place.Name,
			"inFlight", a.admission.status().InFlight)
		return err
	}
	if ctx.Err() != nil {
		a.obs.Event("left", "endpoint", a.settings.Place.Name)
		return ctx.Err()
	}
	return err
}

var _ relayer.Handler = (*Agent)(nil)
