package committer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/adapters/transporter"
)

// eventuallyTimeout ends a test that is stuck; no assertion depends on its value.
const eventuallyTimeout = 60 * time.Second

// entryRecorder is a state machine whose state is the list of all applied entries.
type entryRecorder struct {
	mu      sync.Mutex
	entries []string
}

func (r *entryRecorder) Apply(_ uint64, entry []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, string(entry))
	return len(r.entries)
}

func (r *entryRecorder) Snapshot() iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for _, e := range r.list() {
			if !yield([]byte(e), nil) {
				return
			}
		}
	}
}

func (r *entryRecorder) Restore(chunks iter.Seq2[[]byte, error]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	for c, err := range chunks {
		if err != nil {
			return err
		}
		r.entries = append(r.entries, string(c))
	}
	return nil
}

func (r *entryRecorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// connectionPauser delays the bytes of a connection while paused, as a network partition without resets does.
type connectionPauser struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func (p *connectionPauser) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused && p.resumed == nil {
		p.resumed = make(chan struct{})
	} else if !paused && p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *connectionPauser) waitUntilResumed() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (p *connectionPauser) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if p.waitUntilResumed(); err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// instance is one control instance; each peer connects to it through a TCP proxy of its own.
type instance struct {
	*Committer
	sm     *entryRecorder
	folder string
	target atomic.Value // string, the current address
	stop   func()
	cfg    Config
}

type testGroup struct {
	t         testing.TB
	names     []string
	instances map[string]*instance
	pausers   map[[2]string]*connectionPauser
	configure func(*Config)
}

func newTestGroup(t testing.TB, size int, configure func(*Config)) *testGroup {
	g := &testGroup{t: t, instances: map[string]*instance{}, pausers: map[[2]string]*connectionPauser{},
		configure: configure}
	for i := range size {
		g.names = append(g.names, fmt.Sprintf("control-%d", i+1))
	}
	for _, n := range g.names {
		g.instances[n] = &instance{folder: filepath.Join(t.TempDir(), n)}
	}
	for _, n := range g.names {
		g.start(n, g.names)
	}
	return g
}

func (g *testGroup) start(name string, peers []string) {
	if g.instances[name] == nil {
		g.instances[name] = &instance{folder: filepath.Join(g.t.TempDir(), name)}
	}
	in := g.instances[name]
	in.sm = &entryRecorder{}
	cfg := Config{Name: name, Folder: in.folder, Peers: map[string]string{}, Observer: observer.New(io.Discard, name)}
	for _, p := range append(slices.Clone(peers), name) {
		cfg.Peers[p] = g.forward(name, p)
	}
	if g.configure != nil {
		g.configure(&cfg)
	}
	in.cfg = cfg
	c, err := New(cfg, in.sm)
	if err != nil {
		g.t.Fatal(err)
	}
	in.Committer = c
	ctx, cancel := context.WithCancel(context.Background())
	ln := listen(g.t)
	in.target.Store(ln.Addr().String())
	mux := http.NewServeMux()
	mux.Handle(transporter.Path, c.Handler())
	srv := &http.Server{Handler: mux}
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(ln) })
	wg.Go(func() { _ = c.Serve(ctx) })
	in.stop = sync.OnceFunc(func() {
		cancel()
		_ = srv.Close()
		wg.Wait()
	})
	g.t.Cleanup(in.stop)
}

func listen(t testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func (g *testGroup) forward(from, to string) string {
	if _, ok := g.instances[to]; !ok {
		g.instances[to] = &instance{folder: filepath.Join(g.t.TempDir(), to)}
	}
	pauser := g.pausers[[2]string{from, to}]
	if pauser == nil {
		pauser = &connectionPauser{}
		g.pausers[[2]string{from, to}] = pauser
	}
	ln := listen(g.t)
	g.t.Cleanup(func() { _ = ln.Close() })
	target := &g.instances[to].target
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			addr, _ := target.Load().(string)
			b, err := net.Dial("tcp", addr)
			if err != nil {
				_ = a.Close()
				continue
			}
			go pauser.copy(a, b)
			go pauser.copy(b, a)
		}
	}()
	return ln.Addr().String()
}

// setPartitioned delays all traffic of an instance in both directions, or resumes it.
func (g *testGroup) setPartitioned(name string, partitioned bool) {
	for pair, pauser := range g.pausers {
		if pair[0] == name || pair[1] == name {
			pauser.setPaused(partitioned)
		}
	}
}

func (g *testGroup) eventually(what string, cond func() bool) {
	g.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for n, in := range g.instances {
				g.t.Logf("%s: %+v", n, in.Status())
			}
			g.t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		}
	}
}

// leader waits for a leader other than the excepted instances and returns its name.
func (g *testGroup) leader(except ...string) (name string) {
	g.t.Helper()
	g.eventually("a leader", func() bool {
		for n, in := range g.instances {
			if !slices.Contains(except, n) && in.Status().Role == "leader" {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (g *testGroup) propose(at, entry string) {
	g.t.Helper()
	g.eventually("proposal "+entry+" at "+at, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := g.instances[at].Propose(ctx, []byte(entry))
		var noQuorum *NoQuorumError
		if err != nil && !errors.As(err, &noQuorum) {
			g.t.Fatalf("propose %s at %s: %v", entry, at, err)
		}
		return err == nil
	})
}

// waitConverged waits until the instances have applied the same entries, which contain want in this order.
func (g *testGroup) waitConverged(names []string, want ...string) {
	g.t.Helper()
	g.eventually(fmt.Sprint("same entries at ", names), func() bool {
		first := g.instances[names[0]].sm.list()
		for _, n := range names[1:] {
			if !slices.Equal(g.instances[n].sm.list(), first) {
				return false
			}
		}
		rest := want
		for _, e := range first {
			if len(rest) > 0 && e == rest[0] {
				rest = rest[1:]
			}
		}
		return len(rest) == 0
	})
}

func (g *testGroup) namesExcept(except ...string) (names []string) {
	for _, n := range g.names {
		if !slices.Contains(except, n) {
			names = append(names, n)
		}
	}
	return names
}

func (g *testGroup) isVoter(at, name, id string) bool {
	st := g.instances[at].Status()
	i := slices.IndexFunc(st.Members, func(m Member) bool { return m.Name == name })
	return i >= 0 && st.Members[i].Voter && (id == "" || st.Members[i].ID == id)
}

// wipeDisk empties the data folder of an instance and starts it again.
func (g *testGroup) wipeDisk(name string) {
	in := g.instances[name]
	in.stop()
	if err := os.RemoveAll(in.folder); err != nil {
		g.t.Fatal(err)
	}
	g.start(name, g.names)
}

// Guards against entries lost in a crash of the leader, and against a restarted instance that does not catch up.
func TestLeaderCrash(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	for _, n := range g.names {
		g.propose(n, "at "+n)
	}
	old := g.leader()
	g.instances[old].stop()
	killed := time.Now()
	rest := g.namesExcept(old)
	g.propose(rest[0], "after kill")
	t.Logf("first entry %v after the leader was killed", time.Since(killed).Round(time.Millisecond))
	g.propose(rest[1], "after that")
	g.start(old, g.names)
	g.waitConverged(g.names, "at control-1", "at control-2", "at control-3", "after kill", "after that")
}

// Guards against the loss of the quorum when a second instance fails right after the first one was replaced, and
// against an instance with an emptied disk that votes under its old ID.
func TestSecondLossAfterReplacement(t *testing.T) {
	g := newTestGroup(t, 5, func(c *Config) { c.SnapshotEntries = 10 })
	var want []string
	for i := range 35 {
		want = append(want, fmt.Sprint("entry ", i))
		g.propose(g.names[i%5], want[i])
	}
	first := g.namesExcept(g.leader())[0]
	oldID := g.instances[first].Status().ID
	g.wipeDisk(first)
	newID := g.instances[first].Status().ID
	if newID == oldID {
		t.Fatalf("instance with an emptied disk kept ID %s", oldID)
	}
	g.eventually("new ID is a voter", func() bool { return g.isVoter(g.leader(), first, newID) })
	second := g.leader()
	g.instances[second].stop()
	g.propose(g.namesExcept(second)[0], "one lost")
	third := g.namesExcept(first, second)[0]
	g.instances[third].stop()
	g.propose(first, "two lost")
	g.waitConverged(g.namesExcept(second, third), append(want, "one lost", "two lost")...)
}

// Guards against a partitioned leader that still confirms reads, or that deposes the new leader when it reconnects.
func TestPartitionedLeader(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.propose("control-1", "before")
	old := g.leader()
	g.setPartitioned(old, true)
	partitionedAt := time.Now()
	g.leader(old)
	t.Logf("new leader %v after the old one was partitioned", time.Since(partitionedAt).Round(time.Millisecond))
	rest := g.namesExcept(old)
	g.propose(rest[0], "during")
	_, err := g.instances[old].Propose(context.Background(), []byte("nowhere"))
	var noQuorum *NoQuorumError
	if !errors.As(err, &noQuorum) {
		t.Fatalf("proposal at the partitioned instance: got error %v, want a NoQuorumError", err)
	}
	if _, at, ok := g.instances[old].Confirmed(); ok && at.After(partitionedAt.Add(time.Second)) {
		t.Errorf("partitioned instance confirmed a read index requested %v after the partition", at.Sub(partitionedAt))
	}
	term := g.instances[rest[0]].Status().Term
	g.setPartitioned(old, false)
	reconnectedAt := time.Now()
	g.waitConverged(g.names, "before", "during")
	g.eventually("confirmed read index after the partition", func() bool {
		_, at, ok := g.instances[old].Confirmed()
		return ok && at.After(reconnectedAt)
	})
	if got := g.instances[rest[0]].Status().Term; got != term {
		t.Errorf("term went from %d to %d when the instance reconnected", term, got)
	}
}

// Guards against learners that vote before their promotion, and against removed members that still vote.
func TestMembershipChange(t *testing.T) {
	g := newTestGroup(t, 3, func(c *Config) { c.SnapshotEntries = 5 })
	for i := range 20 {
		g.propose("control-1", fmt.Sprint("entry ", i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	at := g.instances[g.namesExcept(g.leader())[0]]
	var refused *ChangeError
	if err := at.Promote(ctx, "control-4"); !errors.As(err, &refused) {
		t.Errorf("promotion of an unknown instance: got %v, want a ChangeError", err)
	}
	g.start("control-4", g.names)
	g.eventually("announcement", func() bool { _, ok := findAnnounced(at.Status().Announced, "control-4"); return ok })
	if err := at.AddLearner(ctx, "control-4"); err != nil {
		t.Fatal(err)
	}
	if g.isVoter(at.cfg.Name, "control-4", "") {
		t.Error("learner votes before its promotion")
	}
	g.waitConverged([]string{"control-1", "control-4"}, "entry 19")
	g.eventually("promotion", func() bool { return at.Promote(ctx, "control-4") == nil })
	leader := g.leader()
	if err := at.Remove(ctx, leader); err != nil {
		t.Fatal(err)
	}
	g.propose("control-4", "after removal")
	g.names = append(g.names, "control-4")
	g.waitConverged(g.namesExcept(leader), "entry 19", "after removal")
}

// failingFS fails every sync while fail is set.
type failingFS struct {
	storer.DiskFS
	fail *atomic.Bool
}

type failingFile struct {
	storer.File
	fail *atomic.Bool
}

func (f failingFS) OpenFile(name string, flag int) (storer.File, error) {
	file, err := f.DiskFS.OpenFile(name, flag)
	return failingFile{file, f.fail}, err
}

func (f failingFile) Sync() error {
	if f.fail.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// Guards against a replica that leads, votes or confirms reads after a failed sync.
func TestFailedSyncStopsReplica(t *testing.T) {
	syncFails := map[string]*atomic.Bool{}
	g := newTestGroup(t, 3, func(c *Config) {
		syncFails[c.Name] = &atomic.Bool{}
		c.FS = failingFS{fail: syncFails[c.Name]}
	})
	g.propose("control-1", "before")
	failing := g.leader()
	syncFails[failing].Store(true)
	rest := g.namesExcept(failing)
	g.propose(rest[0], "after")
	g.eventually("stopped", func() bool { return g.instances[failing].Status().Role == "stopped" })
	var stopped *StoppedError
	var failed *storer.FailedError
	_, err := g.instances[failing].Propose(context.Background(), []byte("x"))
	if _, _, ok := g.instances[failing].Confirmed(); ok || !errors.As(err, &stopped) || !errors.As(err, &failed) {
		t.Errorf("stopped replica: confirms reads: %v, want false; got error %v, want StoppedError with FailedError", ok, err)
	}
	g.waitConverged(rest, "before", "after")
}
