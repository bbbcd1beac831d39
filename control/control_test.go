package control

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

var signerKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// fakeGroup replaces the replicated committer with one shared log, applied at every instance that is not partitioned.
type fakeGroup struct {
	mu      sync.Mutex
	log     [][]byte
	members []*fakeMember
}

type fakeMember struct {
	StandaloneCommitter
	group         *fakeGroup
	applied       int
	isPartitioned bool
	// repliesToLose is the number of calls of Propose that fail after the commit.
	repliesToLose int
	onSoftState   func(string, []byte)
	beforePropose func() // called once, if it is set
}

var errPartitioned = errors.New("no quorum")

func (m *fakeMember) catchUp() (last any) {
	for m.applied < len(m.group.log) {
		m.applied++
		last = m.sm.Apply(uint64(m.applied), m.group.log[m.applied-1])
	}
	return last
}

func (m *fakeMember) Propose(_ context.Context, entry []byte) (any, error) {
	m.group.mu.Lock()
	hook := m.beforePropose
	m.beforePropose = nil
	m.group.mu.Unlock()
	if hook != nil {
		hook()
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.isPartitioned {
		return nil, errPartitioned
	}
	m.group.log = append(m.group.log, entry)
	r := m.catchUp()
	for _, other := range m.group.members {
		if !other.isPartitioned {
			other.catchUp()
		}
	}
	if m.repliesToLose > 0 {
		m.repliesToLose--
		return nil, errPartitioned
	}
	return r, nil
}

func (m *fakeMember) Confirmed() (uint64, time.Time, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return uint64(m.applied), time.Now(), !m.isPartitioned
}

func (m *fakeMember) Status() Status {
	return Status{Name: m.name, IsLeader: m == m.group.members[0], Leader: m.group.members[0].name, Term: 1}
}

func (m *fakeMember) Broadcast(b []byte) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for _, other := range m.group.members {
		if other != m && !other.isPartitioned && !m.isPartitioned {
			other.onSoftState(m.name, b)
		}
	}
}

func (m *fakeMember) OnSoftState(f func(string, []byte)) { m.onSoftState = f }

func (m *fakeMember) setPartitioned(isPartitioned bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.isPartitioned = isPartitioned
	if !isPartitioned {
		m.catchUp()
	}
}

type testControl struct {
	*Control
	member *fakeMember
	url    string
	addr   string
}

func testKeys() []BootstrapKey {
	return []BootstrapKey{
		{Name: "op", Role: "operator", Hash: bundler.HashKey("op")},
		{Name: "op2", Role: "operator", Hash: bundler.HashKey("op2")},
		{Name: "reader", Role: "reader", Hash: bundler.HashKey("reader")},
		{Name: "woolop", Role: "operator", Team: "wool", Hash: bundler.HashKey("woolop")},
		{
			Name: "signer", Role: "signer", Hash: bundler.HashKey("signer"),
			PublicKey: hex.EncodeToString(signerKey.Public().(ed25519.PublicKey)),
		},
	}
}

// startGroup starts n instances of a fakeGroup and rolls out the bundle.
func startGroup(t *testing.T, n int, b *bundler.Bundle) (list []*testControl) {
	t.Helper()
	g := &fakeGroup{}
	s := Settings{LoadPermits: 1, BootstrapKeys: testKeys()}
	for i := range n {
		s.Place = configurer.Place{Name: fmt.Sprintf("c%d", i), Region: "r", FailureDomain: "a"}
		m := &fakeMember{StandaloneCommitter: StandaloneCommitter{name: s.Place.Name}, group: g}
		disk := NewDiskStore(t.TempDir())
		c, err := New(s, observer.New(io.Discard, "c"), Options{
			Store: disk,
			NewCommitter: func(sm StateMachine) (Committer, error) {
				m.sm = sm
				g.members = append(g.members, m)
				return m, nil
			},
		})
		assert.NilError(t, err)
		srv := httptest.NewServer(c.Handler())
		tc := &testControl{Control: c, member: m, url: srv.URL, addr: strings.TrimPrefix(srv.URL, "http://")}
		list = append(list, tc)
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close(); _ = disk.Close() })
	}
	assert.NilError(t, list[0].InstallBundle(t.Context(), b, "op", "signer", signerKey))
	for _, c := range list {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = c.Serve(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	return list
}

func startClient(
	t *testing.T, name string, role subscriber.Role, controls ...*testControl,
) (*subscriber.Client, func()) {
	t.Helper()
	cfg := subscriber.ClientConfig{
		Identity: subscriber.Identity{Name: name, Role: role, Address: name + ":1", FailureDomain: "a"},
		Observer: observer.New(io.Discard, name),
	}
	if role == subscriber.RoleAgent {
		cfg.Identity.Pool = "orders"
	}
	for _, c := range controls {
		cfg.Controls = append(cfg.Controls, c.addr)
	}
	cl := subscriber.NewClient(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = cl.Serve(ctx); close(done) }()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return cl, stop
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func testBundle(version uint64, workspaces int) *bundler.Bundle {
	b := &bundler.Bundle{
		Version:        version,
		FailureDomains: []bundler.FailureDomain{{Name: "a", Region: "r"}},
		Pools:          []bundler.Pool{{Name: "orders", Kind: bundler.PoolService, MaxConcurrency: 4, TimeoutMillis: 1000}},
		Workspaces: []bundler.Workspace{
			{Name: "wool", Team: "wool", Priority: bundler.PriorityInteractive, Weight: 1, MaxInFlight: 10},
			{Name: "yarn", Team: "yarn", Priority: bundler.PriorityBatch, Weight: 1},
		},
		Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse},
	}
	for i := range workspaces {
		b.Workspaces = append(b.Workspaces, bundler.Workspace{
			Name: fmt.Sprintf("w%04d", i), Team: "t", Priority: bundler.PriorityBatch, Weight: 1,
			KeyHashes: []string{bundler.HashKey(fmt.Sprint(i))}, Pools: []string{"orders"},
		})
	}
	return b
}

// Guards against granting a claim twice when routers race at different instances, when replies are lost, and when the
// endpoint restarts while the operation runs.
func TestClaimsThroughInstances(t *testing.T) {
	cs := startGroup(t, 2, testBundle(1, 0))
	agent, stop := startClient(t, "e", subscriber.RoleAgent, cs[0])
	routers := make([]*subscriber.Client, 0, 4)
	for i := range 4 {
		r, _ := startClient(t, fmt.Sprint("r", i), subscriber.RoleRouter, cs[i%2])
		routers = append(routers, r)
	}
	eventually(t, "incarnation", func() bool { return agent.Incarnation() > 0 })
	cs[0].member.group.mu.Lock()
	cs[0].member.repliesToLose = 1
	cs[0].member.group.mu.Unlock()
	var mu sync.Mutex
	states := map[subscriber.ClaimState]int{}
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(func() {
			got, err := r.Claim(t.Context(), subscriber.Claim{
				Operation: "o", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
			})
			assert.Check(t, err)
			mu.Lock()
			states[got.State]++
			mu.Unlock()
			assert.Check(t, got.Generation == 1)
		})
	}
	wg.Wait()
	assert.Assert(t, states[subscriber.ClaimGranted] <= 1)
	assert.Equal(t, states[subscriber.ClaimGranted]+states[subscriber.ClaimRunning], 4)

	answer := &subscriber.RecordedAnswer{Status: 201, Body: []byte("done")}
	cs[0].member.group.mu.Lock()
	cs[0].member.repliesToLose = 1
	cs[0].member.group.mu.Unlock()
	assert.NilError(t, agent.RecordOutcome(t.Context(), subscriber.OperationOutcome{
		Operation: "o", Generation: 1, Answer: answer,
	}))
	got, err := routers[1].Claim(t.Context(), subscriber.Claim{Operation: "o", Digest: "d", Endpoint: "e"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer.Body), "done")
	got, err = routers[1].Claim(t.Context(), subscriber.Claim{Operation: "o", Digest: "d"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Answer.Body), "done", "a read without an endpoint")
	got, err = routers[1].Claim(t.Context(), subscriber.Claim{Operation: "never claimed", Digest: "d"})
	assert.NilError(t, err)
	assert.Equal(t, got.State, subscriber.ClaimReleased)

	_, err = routers[0].Claim(t.Context(), subscriber.Claim{
		Operation: "p", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
	})
	assert.NilError(t, err)
	stop()
	restarted, _ := startClient(t, "e", subscriber.RoleAgent, cs[1])
	eventually(t, "new incarnation", func() bool { return restarted.Incarnation() > agent.Incarnation() })
	got, err = routers[0].Claim(t.Context(), subscriber.Claim{
		Operation: "p", Digest: "d", Endpoint: "e", Incarnation: restarted.Incarnation(),
	})
	assert.NilError(t, err)
	assert.Equal(t, got.State, subscriber.ClaimUnknown)
	_, err = routers[0].Claim(t.Context(), subscriber.Claim{
		Operation: "q", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
	})
	var refusal *subscriber.CallError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, subscriber.CodeStaleIncarnation)
}

// Guards against a client that stays connected to a partitioned instance, counts as fresh without a quorum, or misses
// changes that were committed during the partition.
func TestStaleInstanceAndLeaseExpiry(t *testing.T) {
	cs := startGroup(t, 2, testBundle(1, 0))
	r, _ := startClient(t, "r", subscriber.RoleRouter, cs...)
	eventually(t, "fresh", func() bool { return r.IsFresh(time.Now()) })
	partitioned := cs[0]
	for _, c := range cs {
		c.softState.mu.Lock()
		if len(c.softState.connections) > 0 {
			partitioned = c
		}
		c.softState.mu.Unlock()
	}
	healthy := cs[0]
	if partitioned == healthy {
		healthy = cs[1]
	}
	partitioned.member.setPartitioned(true)
	assert.NilError(t, healthy.InstallBundle(t.Context(), testBundle(2, 0), "op", "signer", signerKey))
	start := time.Now()
	eventually(t, "version 2 from the healthy instance", func() bool { return r.View().BundleVersion == 2 })
	assert.Assert(t, time.Since(start) < 4*time.Second)
	eventually(t, "fresh again", func() bool { return r.IsFresh(time.Now()) })

	healthy.member.setPartitioned(true)
	start = time.Now()
	eventually(t, "lease ends", func() bool { return !r.IsFresh(time.Now()) })
	assert.Assert(t, time.Since(start) < 2500*time.Millisecond)
	partitioned.member.setPartitioned(false)
	eventually(t, "fresh at the reconnected instance", func() bool { return r.IsFresh(time.Now()) })
	assert.Equal(t, r.View().BundleVersion, uint64(2))
}

// Guards against a client that cannot catch up after more changes than are retained, and against a client that becomes
// stale because of entries without view changes.
func TestClientCatchesUpBeyondRetainedDeltas(t *testing.T) {
	cs := startGroup(t, 1, testBundle(1, 3800))
	r, _ := startClient(t, "r", subscriber.RoleRouter, cs[0])
	eventually(t, "view", func() bool { return len(r.View().Workspaces) == 3802 })
	change := func(n int) {
		for i := range n {
			_, err := cs[0].propose(t.Context(), applier.Command{
				Actor: "op", SetServiceState: &applier.SetServiceState{FailureDomain: "a", Out: i%2 == 0},
			})
			assert.NilError(t, err)
		}
	}
	cs[0].softState.closeConnections()
	change(500)
	eventually(t, "deltas", func() bool { return r.View().Index == cs[0].state.View().Index })
	clientIndex := r.View().Index
	change(2*minRetainedDeltas + 10)
	d, ok := cs[0].Delta(clientIndex)
	assert.Assert(t, ok && d.From == 0, "snapshot of the view")
	assert.Assert(t, len(cs[0].state.deltas) >= minRetainedDeltas)
	eventually(t, "caught up", func() bool { return r.View().Index == cs[0].state.View().Index })
	for range 50 {
		_, err := cs[0].propose(t.Context(), applier.Command{Tick: &applier.Tick{}})
		assert.NilError(t, err)
	}
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, r.IsFresh(time.Now()))
	eventually(t, "in force", func() bool {
		v := cs[0].rolloutStatus()
		return v.ProcessesByVersion[1] == 1 && len(v.Laggards) == 0
	})
}

// Guards against a lost agent that remains a candidate, a connected one that remains marked as lost, and late pool
// loads.
func TestPresenceAndMeanLoads(t *testing.T) {
	cs := startGroup(t, 2, testBundle(1, 0))
	a, _ := startClient(t, "e1", subscriber.RoleAgent, cs[0])
	b, stop := startClient(t, "e2", subscriber.RoleAgent, cs[1])
	eventually(t, "members", func() bool { return a.PoolLoad("orders").Members == 2 })
	b.SetLoad(subscriber.Load{InFlight: 7})
	start := time.Now()
	eventually(t, "mean", func() bool { return a.PoolLoad("orders").Mean == 3.5 })
	t.Logf("a changed mean load reached the other agent through two instances after %v", time.Since(start))
	stop()
	start = time.Now()
	eventually(t, "lost", func() bool { return a.View().Endpoints["e2"].Lost })
	took := time.Since(start)
	assert.Assert(t, took > 2*time.Second && took < 6*time.Second, "%v", took)
	falseLoss := &applier.MarkLost{Endpoint: "e1", Incarnation: a.Incarnation()}
	_, err := cs[0].propose(t.Context(), applier.Command{MarkLost: falseLoss})
	assert.NilError(t, err)
	eventually(t, "announced again", func() bool {
		e := a.View().Endpoints["e1"]
		return !e.Lost && e.Incarnation == a.Incarnation()
	})
}

// Guards against shares whose sum exceeds the limit, a load permit held by two agents, and a released permit that is
// not granted again.
func TestSharesAndPermits(t *testing.T) {
	t.Parallel()
	cs := startGroup(t, 2, testBundle(1, 0))
	r1, _ := startClient(t, "r1", subscriber.RoleRouter, cs[0])
	r2, stop2 := startClient(t, "r2", subscriber.RoleRouter, cs[1])
	demand := []subscriber.Demand{{Workspace: "wool", Desired: 20}}
	r1.SetDemand(demand)
	sum := func() int {
		n1, _ := r1.Share("wool")
		n2, _ := r2.Share("wool")
		assert.Assert(t, n1+n2 <= 10, "%d + %d", n1, n2)
		return n1 + n2
	}
	eventually(t, "whole limit granted to the only router", func() bool { return sum() == 10 })
	r2.SetDemand(demand)
	eventually(t, "equal shares", func() bool {
		n, _ := r2.Share("wool")
		return sum() == 10 && n == 5
	})
	stop2()
	eventually(t, "whole limit granted again after the lease of the stopped router", func() bool {
		n, _ := r1.Share("wool")
		return n == 10
	})
	_, ok := r2.Share("wool")
	assert.Assert(t, !ok, "the lease of the stopped router has expired")

	a, _ := startClient(t, "e1", subscriber.RoleAgent, cs[0])
	b, _ := startClient(t, "e2", subscriber.RoleAgent, cs[1])
	release, err := a.AcquireLoadPermit(t.Context())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err = b.AcquireLoadPermit(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	release()
	releaseB, err := b.AcquireLoadPermit(t.Context())
	assert.NilError(t, err)
	releaseB()
}

// Guards against control traffic above 4 KB/s per process while the loads in a pool of 100 endpoints change
// continuously, and against mean loads that a pool of 10 endpoints receives too rarely.
func TestControlTrafficRate(t *testing.T) {
	for _, n := range []int{10, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			cs := startGroup(t, 3, testBundle(1, 0))
			r, _ := startClient(t, "r", subscriber.RoleRouter, cs[1])
			agents := make([]*subscriber.Client, 0, n)
			for i := range n {
				a, _ := startClient(t, fmt.Sprint("engine-", i), subscriber.RoleAgent, cs[i%3])
				agents = append(agents, a)
			}
			eventually(t, "members", func() bool { return agents[0].PoolLoad("orders").Members == n })
			time.Sleep(time.Second)
			bytes := func(c *subscriber.Client) uint64 { in, out := c.ControlBytes(); return in + out }
			agentBytes, routerBytes, start, means, last := bytes(agents[0]), bytes(r), time.Now(), 0, 0.0
			for i := 0; time.Since(start) < 3*time.Second; i++ {
				for j, a := range agents {
					a.SetLoad(subscriber.Load{InFlight: (i*7 + j) % 13})
				}
				if m := agents[0].PoolLoad("orders").Mean; m != last {
					last = m
					means++
				}
				time.Sleep(10 * time.Millisecond)
			}
			rate := func(c *subscriber.Client, from uint64) float64 {
				return float64(bytes(c)-from) / time.Since(start).Seconds()
			}
			agentRate, routerRate := rate(agents[0], agentBytes), rate(r, routerBytes)
			t.Logf("%d endpoints: agent %.0f B/s, router %.0f B/s, %d means in 3 s", n, agentRate, routerRate, means)
			assert.Assert(t, agentRate < 4000 && routerRate < 4000)
			assert.Assert(t, n > 10 || means >= 25, "%d means in 3 s", means)
		})
	}
}
