package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/viewer"
)

// claimCounts counts the claims at all control instances of a test.
type claimCounts struct {
	mu      sync.Mutex
	granted int
	sent    int
}

// controlInstance is the backend of a real control server with a claim function set by the test.
type controlInstance struct {
	shared *claimCounts
	view   *viewer.View
	server *httptest.Server
	// claim handles a claim; commit commits it and returns the reply.
	claim func(ctx context.Context, commit func() subscriber.ClaimReply) (subscriber.ClaimReply, error)
	// unconfirmed is set if no quorum confirms the state of this instance.
	unconfirmed atomic.Bool
	connection  atomic.Pointer[subscriber.Connection]
}

func (c *controlInstance) Announce(context.Context, subscriber.Identity) (uint64, error) {
	return 1, nil
}
func (c *controlInstance) Connected(conn *subscriber.Connection)              { c.connection.Store(conn) }
func (c *controlInstance) Disconnected(*subscriber.Connection)                {}
func (c *controlInstance) Changed() <-chan struct{}                           { return nil }
func (c *controlInstance) ReportLoad(subscriber.Identity, subscriber.Load)    {}
func (c *controlInstance) ReportDemand(subscriber.Identity, allocator.Report) {}

func (c *controlInstance) Delta(index uint64) (viewer.Delta, bool) {
	if index >= 1 {
		return viewer.Delta{}, false
	}
	d := viewer.Delta{To: 1, BundleVersion: 1}
	for _, p := range c.view.Pools {
		d.Changes = append(d.Changes, viewer.Change{Pool: &p})
	}
	for _, w := range c.view.Workspaces {
		d.Changes = append(d.Changes, viewer.Change{Workspace: &w})
	}
	for _, e := range c.view.Endpoints {
		d.Changes = append(d.Changes, viewer.Change{Endpoint: &e})
	}
	return d, true
}

func (c *controlInstance) Confirmed() (uint64, time.Time, bool) {
	return 1, time.Now(), !c.unconfirmed.Load()
}

func (c *controlInstance) PoolLoads(string) ([]subscriber.PoolLoad, <-chan struct{}) { return nil, nil }

func (c *controlInstance) Claim(ctx context.Context, m subscriber.Claim) (subscriber.ClaimReply, error) {
	return c.claim(ctx, func() subscriber.ClaimReply {
		c.shared.mu.Lock()
		defer c.shared.mu.Unlock()
		c.shared.granted++
		r := subscriber.ClaimReply{
			State: subscriber.ClaimRunning, Endpoint: m.Endpoint, Incarnation: m.Incarnation, Generation: 1,
		}
		if c.shared.granted == 1 {
			r.State = subscriber.ClaimGranted
		}
		return r
	})
}

func (c *controlInstance) RecordOutcome(context.Context, subscriber.OperationOutcome) error {
	return nil
}
func (c *controlInstance) ReportCrash(context.Context, subscriber.CrashReport) error { return nil }
func (c *controlInstance) Leave(context.Context, subscriber.Identity, uint64) error  { return nil }

// Guards against an operation that fails before its deadline because a claim reply is lost, the leader changes, or the
// router's control instance stops or becomes unresponsive.
func TestOperationsSurviveControlFaults(t *testing.T) {
	noQuorum := &subscriber.CallError{Code: subscriber.CodeNoQuorum}
	type claimFunc = func(context.Context, func() subscriber.ClaimReply) (subscriber.ClaimReply, error)
	// Each fault affects the instance that receives the first claim, from that time on.
	for _, c := range []struct {
		name  string
		fault func(faulty *controlInstance, since time.Time) claimFunc
	}{
		{"leader change", func(_ *controlInstance, since time.Time) claimFunc {
			return func(_ context.Context, commit func() subscriber.ClaimReply) (subscriber.ClaimReply, error) {
				if time.Since(since) < time.Second {
					return subscriber.ClaimReply{}, noQuorum
				}
				return commit(), nil
			}
		}},
		{"stopped after the commit", func(faulty *controlInstance, _ time.Time) claimFunc {
			return func(_ context.Context, commit func() subscriber.ClaimReply) (subscriber.ClaimReply, error) {
				r := commit()
				_ = faulty.server.Listener.Close()
				faulty.connection.Load().Close()
				return r, nil
			}
		}},
		{"unresponsive after the first claim", func(faulty *controlInstance, _ time.Time) claimFunc {
			faulty.unconfirmed.Store(true)
			return func(ctx context.Context, _ func() subscriber.ClaimReply) (subscriber.ClaimReply, error) {
				<-ctx.Done()
				return subscriber.ClaimReply{}, ctx.Err()
			}
		}},
		{"lost reply", func(*controlInstance, time.Time) claimFunc {
			var replyLost atomic.Bool
			return func(ctx context.Context, commit func() subscriber.ClaimReply) (subscriber.ClaimReply, error) {
				r := commit()
				if !replyLost.Swap(true) {
					<-ctx.Done()
				}
				return r, nil
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rt := newRouterWithControl(t, c.fault)
			start := time.Now()
			w := refundCall().do(t, rt)
			t.Logf("response received after %v", time.Since(start).Round(time.Millisecond))
			assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		})
	}
}

// newRouterWithControl returns a router with a real control client and two real control servers. The fault affects the
// instance that receives the first claim.
func newRouterWithControl(
	t *testing.T,
	fault func(
		*controlInstance, time.Time,
	) func(context.Context, func() subscriber.ClaimReply) (subscriber.ClaimReply, error),
) *Router {
	t.Helper()
	shared := &claimCounts{}
	view := testView(1)
	pool := view.Pools["orders"]
	pool.TimeoutMillis = 30_000
	view.Pools["orders"] = pool
	addrs := make([]string, 0, 2)
	for range 2 {
		c := &controlInstance{shared: shared, view: view}
		var mu sync.Mutex
		var faultyClaim func(context.Context, func() subscriber.ClaimReply) (subscriber.ClaimReply, error)
		c.claim = func(ctx context.Context, commit func() subscriber.ClaimReply) (subscriber.ClaimReply, error) {
			shared.mu.Lock()
			shared.sent++
			isFirst := shared.sent == 1
			shared.mu.Unlock()
			mu.Lock()
			if isFirst {
				faultyClaim = fault(c, time.Now())
			}
			f := faultyClaim
			mu.Unlock()
			if f == nil {
				return commit(), nil
			}
			return f(ctx, commit)
		}
		mux := http.NewServeMux()
		mux.Handle(subscriber.Path, &subscriber.Server{Backend: c})
		c.server = httptest.NewServer(mux)
		t.Cleanup(func() { c.server.CloseClientConnections(); c.server.Close() })
		addrs = append(addrs, strings.TrimPrefix(c.server.URL, "http://"))
	}
	f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
		return jsonResponse("ran", nil), nil
	}}
	rt := testRouter(&fakeControl{}, f)
	client := subscriber.NewClient(subscriber.ClientConfig{
		Identity: subscriber.Identity{Name: "r", Role: subscriber.RoleRouter}, Controls: addrs, Observer: rt.obs,
	})
	rt.control = client
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = client.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	for !client.IsFresh(time.Now()) {
		sleeper.Pause(ctx, 10*time.Millisecond)
	}
	return rt
}
