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
	// drainTime is how long requests in flight may take after a stop was asked for.
	gracePeriod = 60 * time.Second
	// noticeTime is the freshness lease, after which no fresh router sends requests here. Until then they are refused
	// as not run, while a connection that is cut would leave the outcome of an operation unknown.
	shutdownDelay = 2 * time.Second
	// exportTime bounds the export of chats, which competes with the requests that finish.
	exportTimeout = 10 * time.Second
	// exportBytesPerSecond is a 10 Gbit/s link at 80%, shared with requests.
	exportBytesPerSecond = 1e9
	// exportOverhead is the cost of one export however small: two calls and a prefill that is scheduled anyway.
	exportOverhead = 5 * time.Millisecond
	cachePath      = "/cache/v1/"
)

// isWorthExport compares the copy of a chat's cache with computing it again. With 128 KiB for each token a copy
// costs 131 us a token, so it pays for models whose prefill is slower than that, and for chats long enough to
// outweigh the overhead; docs/decisions/kv-export.md has the sizes.
func isWorthExporting(c *chatCache) bool {
	recompute := time.Duration(c.Tokens) * time.Duration(c.PrefillMicrosPerToken) * time.Microsecond
	copying := exportOverhead + time.Duration(float64(c.Bytes)/exportBytesPerSecond*float64(time.Second))
	return recompute > copying
}

// peers are the agents that take exports.
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

// export sends the chats that are worth it to the endpoints that become first for them, newest first.
func (a *Agent) exportChats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	var cached []chatCache
	if a.endpoint.call(ctx, http.MethodGet, "/engine/v1/cache", nil, &cached) != nil {
		return // a service, or an engine without export
	}
	worth := map[string]bool{}
	for i := range cached {
		worth[cached[i].Chat] = isWorthExporting(&cached[i])
	}
	peers := a.peerAddresses()
	var chats, bytes int64
	for _, key := range a.directory.cachedKeys() {
		if ctx.Err() != nil || len(peers) == 0 {
			break
		}
		if !worth[formatChatKey(key)] {
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

// members returns the addresses of the other endpoints of the pool by name.
func (a *Agent) peerAddresses() map[string]string {
	v, peers := a.control.View(), map[string]string{}
	for name, e := range v.Endpoints {
		if e.Pool == a.settings.Pool && name != a.settings.Place.Name && !e.Lost && v.IsInService(&e) {
			peers[name] = e.Address
		}
	}
	return peers
}

// exportChat copies a chat to the endpoint that routers ask first from now on, and returns the size of its cache.
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

// firstOf returns the first endpoint of a chat in the order of the whole pool, for a chat whose successor has left too.
func primaryPeer(peers map[string]string, key uint64) (string, error) {
	members := make([]placer.Endpoint, 0, len(peers))
	for name := range peers {
		members = append(members, placer.Endpoint{Name: name})
	}
	pool := placer.NewPool(members)
	i, ok := pool.All().Primary(placer.Key(key))
	if !ok {
		return "", errNoPeer
	}
	return pool.Name(i), nil
}

// importChat takes the cache of a chat from an agent whose endpoint leaves.
func (a *Agent) importChat(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.ParseUint(r.PathValue("chat"), 10, 64)
	if err != nil {
		http.Error(w, "the chat key is not a number", http.StatusBadRequest)
		return
	}
	var c chatCache
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallResponseBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := a.notServingReason(time.Now()); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	if err := a.endpoint.call(r.Context(), http.MethodPut, "/engine/v1/cache/"+formatChatKey(key), &c, nil); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	a.directory.touch(key, 0, time.Now())
}

// Leave takes the endpoint out of the pool: new requests are refused first, then the leave is committed, then the
// export of chats begins while the requests in flight finish.
func (a *Agent) Leave(ctx context.Context) {
	a.isLeaving.Store(true)
	a.relayServer.Stop()
	a.obs.Event("leaving", "endpoint", a.settings.Place.Name, "inFlight", a.admission.status().InFlight)
	if err := a.retryControlCall(ctx, a.control.Leave); err != nil {
		a.obs.Event("leave not committed", "endpoint", a.settings.Place.Name, "err", err)
	}
	a.exports.Go(func() { a.exportChats(a.ctx) })
}

// drained waits until no request, operation, commit or export is left.
func (a *Agent) awaitDrained() {
	a.relayServer.Wait()
	a.work.Wait()
	a.exports.Wait()
}

// Run serves until ctx ends, then leaves and finishes the requests in flight.
func Run(ctx context.Context, s Settings, obs *observer.Observer) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, err := New(work, s, obs)
	if err != nil {
		return err
	}
	return a.runServer(ctx, work)
}

// listen serves routers until ctx ends and the stop is complete, and keeps the connection to control until work ends.
func (a *Agent) runServer(ctx, work context.Context) error {
	go func() { _ = a.Serve(work) }()
	srv := &server.Server{
		Addr: a.settings.Listen, Handler: a.Handler(), TLS: a.tls.PublicConfig(), Readiness: &a.readiness,
		PreStop: []func(context.Context){a.Leave}, ShutdownDelay: shutdownDelay,
		Drain: []func(context.Context) error{server.DrainHook(a.awaitDrained)}, ListenWhileDraining: true, GracePeriod: gracePeriod,
	}
	err := srv.Serve(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		a.obs.Event("requests still in flight after the drain time", "endpoint", a.settings.Place.Name,
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
