package devfleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/agent"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
	"cactusroute.dev/fakeengine"
	"cactusroute.dev/router"
)

// fakeControl implements the subscriber backend of a control instance without replication; crash reports are committed
// after a delay.
type fakeControl struct {
	subscriber.Backend // panics on the methods that the tests do not call
	commitDelay        time.Duration

	mu           sync.Mutex
	view         *viewer.View
	log          []viewer.Change
	logChanged   chan struct{}
	loads        map[string]subscriber.Load
	loadsChanged chan struct{}
	verdicts     map[string]*viewer.Verdict
}

func (c *fakeControl) commit(changes ...viewer.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendChanges(changes...)
}

func (c *fakeControl) appendChanges(changes ...viewer.Change) {
	n := uint64(len(c.log))
	c.view, _ = c.view.Apply(viewer.Delta{From: n, To: n + uint64(len(changes)), BundleVersion: 1, Changes: changes})
	c.log = append(c.log, changes...)
	close(c.logChanged)
	c.logChanged = make(chan struct{})
}

func (c *fakeControl) Announce(_ context.Context, id subscriber.Identity) (uint64, error) {
	c.commit(viewer.Change{Endpoint: &viewer.Endpoint{
		Name: id.Name, Address: id.Address, Pool: id.Pool, FailureDomain: id.FailureDomain, Incarnation: 1,
	}})
	return 1, nil
}

func (c *fakeControl) Leave(_ context.Context, id subscriber.Identity, _ uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.view.Endpoints[id.Name]
	e.Leaving = true
	c.appendChanges(viewer.Change{Endpoint: &e})
	delete(c.loads, id.Name)
	return nil
}

func (c *fakeControl) Connected(*subscriber.Connection)    {}
func (c *fakeControl) Disconnected(*subscriber.Connection) {}

func (c *fakeControl) Delta(index uint64) (viewer.Delta, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(len(c.log))
	return viewer.Delta{From: index, To: n, BundleVersion: 1, Changes: c.log[index:]}, index < n
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logChanged
}

func (c *fakeControl) Confirmed() (uint64, time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.log)), time.Now(), true
}

func (c *fakeControl) ReportLoad(id subscriber.Identity, l subscriber.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[id.Name] = l
	close(c.loadsChanged)
	c.loadsChanged = make(chan struct{})
}

func (c *fakeControl) ReportDemand(subscriber.Identity, allocator.Report) {}

func (c *fakeControl) PoolLoads(string) ([]subscriber.PoolLoad, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := subscriber.PoolLoad{Pool: "pool", Members: len(c.loads)}
	for _, l := range c.loads {
		p.Mean += float64(l.InFlight) / float64(len(c.loads))
	}
	return []subscriber.PoolLoad{p}, c.loadsChanged
}

// ReportCrash counts crashes by fingerprint as the replicated state machine does, after the commit delay.
func (c *fakeControl) ReportCrash(_ context.Context, report subscriber.CrashReport) error {
	time.Sleep(c.commitDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fingerprint := range report.Suspects {
		v := c.verdicts[fingerprint]
		if v == nil {
			v = &viewer.Verdict{Fingerprint: fingerprint}
			c.verdicts[fingerprint] = v
		}
		v.Crashes++
		v.Convicted, v.Until = v.Crashes >= 2, time.Now().Add(10*time.Minute)
		updated := *v
		c.appendChanges(viewer.Change{Verdict: &updated})
	}
	for _, fingerprint := range report.Cleared {
		if v := c.verdicts[fingerprint]; v != nil && !v.Convicted {
			delete(c.verdicts, fingerprint)
			c.appendChanges(viewer.Change{Removal: &viewer.Removal{Kind: viewer.KindVerdict, Key: fingerprint}})
		}
	}
	return nil
}

// testFleet is a pool of engines with their agents, routers and a fake control instance, on loopback.
type testFleet struct {
	control     *fakeControl
	routerAddrs []string
	engines     []*fakeengine.Engine
	agentAddrs  []string
	stopAgent   []func() // by engine; each waits until the agent has stopped
}

const poolTimeout = 10 * time.Second

func newTestFleet(t *testing.T, engines, routers int, cfg fakeengine.Config) *testFleet {
	t.Helper()
	cfg.Model, cfg.ModelVersion = "m", "1"
	c := &fakeControl{
		commitDelay: 20 * time.Millisecond, view: viewer.NewView(), logChanged: make(chan struct{}),
		loadsChanged: make(chan struct{}), loads: map[string]subscriber.Load{}, verdicts: map[string]*viewer.Verdict{},
	}
	c.commit(
		viewer.Change{Pool: &bundler.Pool{
			Name: "pool", Kind: bundler.PoolModel, Model: "m", ModelVersion: "1", MaxConcurrency: 16,
			TimeoutMillis: int(poolTimeout.Milliseconds()),
		}},
		viewer.Change{Workspace: &bundler.Workspace{
			Name: "shop", KeyHashes: []string{bundler.HashKey("key")}, Pools: []string{"pool"},
			Priority: bundler.PriorityInteractive, Weight: 1,
		}},
		viewer.Change{Workspace: &bundler.Workspace{
			Name: "other", KeyHashes: []string{bundler.HashKey("other-key")}, Pools: []string{"pool"},
			Priority: bundler.PriorityInteractive, Weight: 1,
		}},
	)
	controlServer := httptest.NewServer(&subscriber.Server{Backend: c})
	f := &testFleet{control: c}
	controls := []string{strings.TrimPrefix(controlServer.URL, "http://")}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); wg.Wait(); controlServer.CloseClientConnections(); controlServer.Close() })
	for n := range engines {
		e := fakeengine.New(cfg)
		srv := httptest.NewServer(e)
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		name := fmt.Sprintf("engine-%d", n)
		s := agent.Settings{Listen: freeAddr(t), Endpoint: srv.URL, Pool: "pool", Controls: controls}
		s.Place = configurer.Place{Name: name, Region: "r", FailureDomain: "a"}
		ctx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		wg.Go(func() { defer close(done); _ = agent.Run(ctx, s, observer.New(io.Discard, name)) })
		f.agentAddrs = append(f.agentAddrs, s.Listen)
		f.engines, f.stopAgent = append(f.engines, e), append(f.stopAgent, func() { stop(); <-done })
	}
	for range routers {
		s := router.Settings{Listen: freeAddr(t), Controls: controls, DrainNoticeMillis: 1}
		s.Place = configurer.Place{Name: s.Listen, Region: "r", FailureDomain: "a"}
		wg.Go(func() { _ = router.Run(ctx, s, observer.New(io.Discard, s.Listen)) })
		f.routerAddrs = append(f.routerAddrs, s.Listen)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		allAnnounced := len(c.view.Endpoints) == engines
		c.mu.Unlock()
		for i := range f.routerAddrs {
			if status, _, err := f.sendPrompt(t.Context(), i, "ready", "ready"); err != nil || status != http.StatusOK {
				return poll.Continue("router %d: status %d, %v", i, status, err)
			}
		}
		if !allAnnounced {
			return poll.Continue("not all endpoints are announced")
		}
		return poll.Success()
	})
	return f
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// sendPrompt sends a prompt, preceded by any previous turns, and returns the status and the full stream.
func (f *testFleet) sendPrompt(
	ctx context.Context, routerIndex int, chat, prompt string, previousTurns ...string,
) (int, string, error) {
	return f.sendPromptWithKey(ctx, "key", routerIndex, chat, prompt, previousTurns...)
}

func (f *testFleet) sendPromptWithKey(
	ctx context.Context, key string, routerIndex int, chat, prompt string, previousTurns ...string,
) (int, string, error) {
	var messages strings.Builder
	for i, text := range slices.Concat(previousTurns, []string{prompt}) {
		role := []string{"user", "assistant"}[i%2]
		fmt.Fprintf(&messages, `{"role":%q,"content":%q},`, role, text)
	}
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[%s]}`, strings.TrimSuffix(messages.String(), ","))
	url := "http://" + f.routerAddrs[routerIndex%len(f.routerAddrs)] + "/v1/chat/completions"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Conversation-Id", chat)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
