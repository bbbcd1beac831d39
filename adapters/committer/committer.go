package committer

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/courier"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/replicator"
)

// StateMachine is what the committed entries are applied to; all calls come from the control goroutine. It starts
// empty: what it keeps on disk is a cache of the snapshot and the log, because tables that are synced on their own
// could hold entries that the log has lost.
type StateMachine interface {
	// Apply is deterministic.
	Apply(index uint64, entry []byte) (result any)
	// Snapshot returns the state after the last applied entry; it is read before the next call of Apply.
	Snapshot() (chunks iter.Seq2[[]byte, error])
	// Restore replaces the state.
	Restore(chunks iter.Seq2[[]byte, error]) error
}

// Config describes one control instance; zero limits take the defaults.
type Config struct {
	Name            string
	Folder          string
	Peers           map[string]string // name to host:port of all control instances at first start, with this one
	Region          string
	Observer        *observer.Observer
	Messenger       messenger.Options // TLS and byte counter of connections to peers
	SnapshotEntries uint64            // entries between two snapshots
	SnapshotBytes   uint64            // bytes of entries between two snapshots
	FS              storer.FS         // the disk when nil
	// Open makes a group whose instances find each other and replace lost ones; nil means that Peers are the group.
	OpenGroup *OpenGroup
}

// OpenGroup describes this instance of a group that no settings file lists.
type OpenGroup struct {
	Address string // host:port of this instance
	// MinVoters is the number of voters that the tolerated losses need.
	MinVoters int
}

const (
	// MaxEntryBytes bounds one entry: a recorded answer of 8 MiB with its framing.
	MaxEntryBytes = 9 << 20

	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 64 << 20

	tickInterval = 20 * time.Millisecond

	// readInterval and one tick stay below the 250 ms that the freshness lease allows between two rounds.
	readInterval = 200 * time.Millisecond

	// quorumLimit is the lease: without a confirmation for so long, proposals fail instead of waiting.
	quorumLimit = 2 * time.Second

	// retryInterval is after how long a proposal without a result is sent again, perhaps to another leader.
	retryInterval = time.Second

	// maxBatch and maxBatchBytes bound what one sync commits together.
	maxBatch      = 1024
	maxBatchBytes = 8 << 20

	pieceBytes  = 256 << 10
	eventsQueue = 4096

	// An instance of an open group shares a fraction of a core with traffic, so that a pause of some hundred
	// milliseconds is usual there and must not cost the leadership.
	shortOpenElection = 600 * time.Millisecond
	longOpenElection  = 1200 * time.Millisecond
	// firstOpenElection is short, because nobody leads when all instances start after a loss of power.
	firstOpenElection = 400 * time.Millisecond
	openHeartbeat     = 120 * time.Millisecond
)

// Committer drives one replica.
type Committer struct {
	cfg     Config
	sm      StateMachine
	store   *storer.Store
	courier *courier.Courier
	origin  uint64
	seq     atomic.Uint64
	events  chan event
	stopped chan struct{}
	failing chan struct{} // closed when the disk has failed

	confirmed atomic.Pointer[confirmation]
	status    atomic.Pointer[Status]
	softMu    sync.RWMutex
	onSoft    func(from string, soft []byte)

	// The control goroutine owns the rest.
	replica    *replicator.Replica
	cluster    string
	applied    uint64
	failed     error
	waiters    map[replicator.Tag]*waiter
	foreign    map[replicator.Tag]string // proposals of the current batch that other instances forwarded
	reads      map[uint64]time.Time
	readAt     time.Time
	pending    []confirmation // confirmed rounds whose index is not applied yet
	peers      map[string]heardPeer
	announceAt time.Time
	replaceAt  time.Time
	unsnapped  uint64 // bytes applied since the last snapshot
	role       replicator.Role
	leader     string
	metrics    metrics
}

type metrics struct {
	syncs   prometheus.Histogram
	entries prometheus.Counter
	commits prometheus.Histogram
}

type confirmation struct {
	index uint64
	at    time.Time
}

type heardPeer struct {
	courier.Announcement
	at time.Time
}

// event is an input of the control goroutine.
type event struct {
	received *courier.Message
	waiter   *waiter
	found    bool
	bytes    int
}

// waiter is a proposal or membership change of this instance that has no result yet.
type waiter struct {
	tag    replicator.Tag
	data   []byte
	change *replicator.Change
	since  time.Time
	sentAt time.Time // zero: send at the next tick
	sent   bool
	done   chan outcome // with room for one
	gone   atomic.Bool  // nobody waits any more
}

type outcome struct {
	result any
	err    error
}

// New opens the data folder and restores the state machine; it returns an error that names the file and the
// remedy when the folder is damaged.
func New(cfg Config, sm StateMachine) (c *Committer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start replica of %s: %w", cfg.Name, err)
		}
	}()
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	if cfg.OpenGroup != nil {
		cfg.Peers = map[string]string{cfg.Name: cfg.OpenGroup.Address}
	}
	if _, ok := cfg.Peers[cfg.Name]; !ok {
		return nil, fmt.Errorf("peers do not contain %q", cfg.Name)
	}
	store, err := storer.Open(storer.Config{Folder: cfg.Folder, Name: cfg.Name, FS: cfg.FS})
	if err != nil {
		return nil, err
	}
	c = &Committer{cfg: cfg, sm: sm, store: store, origin: random64(), events: make(chan event, eventsQueue),
		stopped: make(chan struct{}), failing: make(chan struct{}), waiters: map[replicator.Tag]*waiter{},
		foreign: map[replicator.Tag]string{},
		reads:   map[uint64]time.Time{}, peers: map[string]heardPeer{}}
	c.courier = courier.New(cfg.Name, cfg.Messenger, c.receive)
	c.metrics = newMetrics(cfg.Observer.Registry)
	for name, addr := range cfg.Peers {
		c.courier.Connect(name, addr)
	}
	if f, ok := store.GroupConfig(); ok {
		if err := c.start(f); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	c.publish()
	return c, nil
}

// syncBuckets span a fast disk to one that holds up the group, in seconds.
func syncBuckets() []float64 {
	return []float64{.0005, .001, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
}

func newMetrics(reg *prometheus.Registry) metrics {
	return metrics{
		syncs: registered(reg, prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cactusroute_committer_sync_seconds", Help: "Time of a synced write of the consensus log.",
			Buckets: syncBuckets()})),
		entries: registered(reg, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cactusroute_committer_entries_total", Help: "Entries written to the consensus log."})),
		commits: registered(reg, prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cactusroute_committer_commit_seconds", Help: "Time from a proposal here until it was applied here.",
			Buckets: syncBuckets()})),
	}
}

// registered registers a collector, or returns the one that an earlier replica of this process has registered.
func registered[C prometheus.Collector](reg *prometheus.Registry, c C) C {
	var known prometheus.AlreadyRegisteredError
	if err := reg.Register(c); errors.As(err, &known) {
		if old, ok := known.ExistingCollector.(C); ok {
			return old
		}
	}
	return c
}

func random64() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// start makes the replica from what is stored and brings the state machine to the snapshot.
func (c *Committer) start(f storer.GroupConfig) error {
	stored := c.store.TakeState()
	c.applied = stored.Snapshot.Index
	if c.applied > 0 {
		if err := c.sm.Restore(c.store.SnapshotChunks()); err != nil {
			return err
		}
	}
	c.cluster = f.Cluster
	cfg := replicator.Config{ID: c.store.ID(), Initial: stored, InitialCommitted: c.applied,
		Random: rand.NewPCG(random64(), random64())}
	if c.cfg.OpenGroup != nil {
		cfg.MinElectionTimeout, cfg.MaxElectionTimeout, cfg.HeartbeatInterval =
			shortOpenElection, longOpenElection, openHeartbeat
		cfg.MaxInitialElectionTimeout = firstOpenElection
	}
	c.replica = replicator.New(time.Now(), cfg)
	c.connectMembers()
	return nil
}

func (c *Committer) connectMembers() {
	for _, m := range c.replica.Members() {
		c.connect(m.Name, m.Address)
	}
}

// connect prefers the addresses of the own settings.
func (c *Committer) connect(name, address string) {
	if _, ok := c.cfg.Peers[name]; !ok {
		c.courier.Connect(name, address)
	}
}

// Handler accepts connections of the other control instances; it is mounted at courier.Path.
func (c *Committer) Handler() http.Handler { return c.courier.Handler() }

// String names the service for its supervisor.
func (c *Committer) String() string { return "committer " + c.cfg.Name }

// Serve runs the replica until ctx ends. After a failed disk it stays, without voting or acknowledging, because a
// restart inside the process could trust pages that the disk never got.
func (c *Committer) Serve(ctx context.Context) error {
	defer close(c.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = c.courier.Serve(ctx)
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-served
			c.failWaiters(&StoppedError{})
			_ = c.store.Close()
			return ctx.Err()
		case ev := <-c.events:
			c.process(c.batch(ev))
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

// receive runs on the goroutines of the connections. Soft state does not wait for the control goroutine.
func (c *Committer) receive(r courier.Message) {
	if r.SoftState != nil {
		c.softMu.RLock()
		f := c.onSoft
		c.softMu.RUnlock()
		if f != nil {
			f(r.From, *r.SoftState)
		}
		return
	}
	ev := event{received: &r}
	if r.Consensus != nil {
		ev.bytes = len(r.Consensus.Data)
		for i := range r.Consensus.Entries {
			ev.bytes += len(r.Consensus.Entries[i].Data)
		}
	}
	if r.Proposal != nil {
		ev.bytes = len(r.Proposal.Data)
	}
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// batch collects what has arrived meanwhile, so that one sync serves all of it.
func (c *Committer) batch(first event) (inputs []replicator.Input) {
	clear(c.foreign)
	size := 0
	for ev, more := first, true; more; {
		size += ev.bytes
		if in := c.input(ev); in != nil {
			inputs = append(inputs, in)
		}
		if len(inputs) >= maxBatch || size >= maxBatchBytes {
			break
		}
		select {
		case ev = <-c.events:
		default:
			more = false
		}
	}
	return inputs
}

// input turns an event into an input of the replica, nil when there is none.
func (c *Committer) input(ev event) replicator.Input {
	if ev.waiter != nil {
		return c.submit(ev.waiter)
	}
	if ev.found {
		c.found()
		return nil
	}
	r := ev.received
	switch {
	case r.Announcement != nil:
		c.announced(*r.Announcement)
	case c.replica == nil || c.failed != nil:
	case r.Consensus != nil && r.Cluster == c.cluster:
		return *r.Consensus
	case r.Refusal != nil:
		c.refused(replicator.RefusedProposal{Tag: r.Refusal.Tag, Reason: r.Refusal.Reason})
	case r.Proposal != nil && r.Proposal.Cluster == c.cluster:
		c.foreign[r.Proposal.Tag] = r.From
		if r.Proposal.Change != nil {
			ch := *r.Proposal.Change
			ch.Tag = r.Proposal.Tag
			return ch
		}
		return replicator.Proposal{Tag: r.Proposal.Tag, Data: r.Proposal.Data}
	}
	return nil
}

// process steps the replica and does what follows, until nothing more is stored.
func (c *Committer) process(inputs []replicator.Input) {
	for c.replica != nil && c.failed == nil {
		out := c.replica.Step(time.Now(), inputs...)
		err := c.execute(&out)
		if err != nil {
			c.stop(err)
			return
		}
		if inputs, err = c.followUps(&out); err != nil {
			c.stop(err)
			return
		}
		if len(inputs) == 0 {
			return
		}
	}
}

// execute does what a step returned, in the order that replicator.Output prescribes.
func (c *Committer) execute(out *replicator.Output) error {
	c.send(out.Send)
	if err := c.save(out); err != nil {
		return err
	}
	c.send(out.SendAfterSync)
	if out.Install != nil {
		if err := c.sm.Restore(c.store.SnapshotChunks()); err != nil {
			return fmt.Errorf("restore received snapshot: %w", err)
		}
		c.applied = out.Install.Index
		c.connectMembers()
	}
	c.apply(out.Committed)
	for _, r := range out.Reads {
		c.readDone(r)
	}
	c.confirmApplied()
	for _, r := range out.Refused {
		c.refused(r)
	}
	if role := c.replica.Role(); role != c.role || len(out.Committed) > 0 {
		c.roleChanged(role)
		c.publish()
	}
	if leader := c.replica.Leader(); leader != c.leader {
		c.leader = leader
		for _, w := range c.waiters {
			w.sentAt = time.Time{}
		}
	}
	return nil
}

// followUps returns the inputs that report what was stored.
func (c *Committer) followUps(out *replicator.Output) (inputs []replicator.Input, err error) {
	if err := c.store.Compact(c.replica.Base()); err != nil {
		return nil, err
	}
	if n := len(out.Entries); n > 0 {
		inputs = append(inputs, replicator.Synced{Index: out.Entries[n-1].Index, Term: out.Entries[n-1].Term})
	}
	grown := c.applied - c.replica.SnapshotIndex()
	if grown < c.cfg.SnapshotEntries && (c.unsnapped < c.cfg.SnapshotBytes || grown == 0) {
		return inputs, nil
	}
	meta, ok := c.replica.SnapshotMetaAt(c.applied)
	if !ok {
		return inputs, nil
	}
	if err := c.store.WriteSnapshot(meta, c.sm.Snapshot()); err != nil {
		return nil, err
	}
	c.unsnapped = 0
	return append(inputs, replicator.SnapshotStored{Index: meta.Index}), nil
}

func (c *Committer) roleChanged(role replicator.Role) {
	if role == c.role {
		return
	}
	was := c.role
	c.role = role
	if role == replicator.Leader || was == replicator.Leader {
		c.cfg.Observer.Event("control role changed", "role", role, "term", c.replica.Status().Term)
	}
}

// send hands messages to the connections; a snapshot piece gets its bytes here. A piece that cannot be read is not
// sent, and the leader asks for it again.
func (c *Committer) send(messages []replicator.Message) {
	if len(messages) == 0 {
		return
	}
	names := c.memberNames()
	for _, m := range messages {
		if m.Kind == replicator.MsgSnapshot {
			var err error
			if m.Data, m.Last, err = c.store.ReadPiece(*m.Snapshot, m.Offset, pieceBytes); err != nil {
				c.cfg.Observer.Event("snapshot not readable", "index", m.Snapshot.Index, "err", err)
				continue
			}
		}
		name, ok := names[m.To]
		if !ok {
			name = c.nameOf(m.To)
		}
		c.courier.SendConsensus(name, c.cluster, m)
	}
}

func (c *Committer) memberNames() map[string]string {
	names := map[string]string{}
	for _, m := range c.replica.Members() {
		names[m.ID] = m.Name
	}
	return names
}

// nameOf finds the instance of a replica that is not in the latest membership, such as a leader seen by a learner
// that has no log yet.
func (c *Committer) nameOf(id string) string {
	for _, p := range c.peers {
		if p.ID == id {
			return p.Name
		}
	}
	const suffix = 1 + 2*storer.IDRandomBytes
	return id[:max(0, len(id)-suffix)]
}

func (c *Committer) save(out *replicator.Output) error {
	if !out.MustSync() {
		return nil
	}
	for _, p := range out.Pieces {
		if err := c.store.ReceivePiece(p); err != nil {
			return err
		}
	}
	defer func(began time.Time) { c.metrics.syncs.Observe(time.Since(began).Seconds()) }(time.Now())
	c.metrics.entries.Add(float64(len(out.Entries)))
	if out.Install == nil {
		return c.store.Append(out.State, out.Entries)
	}
	// The state goes first, so that it is in the new segment that an installed snapshot starts.
	if err := c.store.Append(out.State, nil); err != nil {
		return err
	}
	if err := c.store.InstallSnapshot(*out.Install); err != nil {
		return err
	}
	return c.store.Append(nil, out.Entries)
}

func (c *Committer) apply(entries []replicator.Entry) {
	for _, e := range entries {
		var result any
		switch e.Kind {
		case replicator.EntryCommand:
			result = c.sm.Apply(e.Index, e.Data)
		case replicator.EntryMembers:
			c.connectMembers()
			c.cfg.Observer.Event("control members changed", "index", e.Index, "members", fmt.Sprint(e.Members))
		}
		c.applied = e.Index
		c.unsnapped += uint64(len(e.Data))
		if e.Tag.Origin == c.origin {
			c.finish(e.Tag, outcome{result: result})
		}
	}
}

// stop ends the part of this replica in the group; it does not vote or acknowledge any more.
func (c *Committer) stop(err error) {
	c.failed = err
	close(c.failing)
	c.cfg.Observer.Event("control replica stopped", "err", err)
	c.failWaiters(&StoppedError{Cause: err})
	c.confirmed.Store(nil)
	c.publish()
}

func (c *Committer) tick(now time.Time) {
	if c.failed != nil {
		c.failWaiters(&StoppedError{Cause: c.failed})
		return
	}
	if !now.Before(c.announceAt) {
		c.announce(now)
	}
	if c.replica == nil {
		c.expireWaiters(now)
		c.publish()
		return
	}
	clear(c.foreign)
	inputs := c.resubmit(now)
	if !now.Before(c.readAt) {
		c.readAt = now.Add(readInterval)
		id := c.seq.Add(1)
		c.reads[id] = now
		inputs = append(inputs, replicator.Read{ID: id})
	}
	inputs = append(inputs, c.replacements(now)...)
	c.process(inputs)
	c.expireWaiters(now)
	c.publish()
}

func (c *Committer) readDone(r replicator.ReadResult) {
	at, ok := c.reads[r.ID]
	if !ok {
		return
	}
	for id, other := range c.reads {
		if !other.After(at) {
			delete(c.reads, id)
		}
	}
	c.pending = append(c.pending, confirmation{r.Index, at})
}

func (c *Committer) confirmApplied() {
	c.pending = slices.DeleteFunc(c.pending, func(p confirmation) bool {
		if p.index > c.applied {
			return false
		}
		if old := c.confirmed.Load(); old == nil || p.at.After(old.at) {
			c.confirmed.Store(&p)
		}
		return true
	})
}

// Confirmed returns the last read index round that is applied here: the state is at least as new as at that time.
// It returns false before the first round and after the disk has failed.
func (c *Committer) Confirmed() (index uint64, at time.Time, ok bool) {
	p := c.confirmed.Load()
	if p == nil {
		return 0, time.Time{}, false
	}
	return p.index, p.at, true
}

// Failing is closed when the disk has failed; the replica takes no part in the group any more.
func (c *Committer) Failed() <-chan struct{} { return c.failing }

// Broadcast sends soft state to all other instances; it may be lost.
func (c *Committer) Broadcast(soft []byte) { c.courier.Broadcast(soft) }

// OnSoft sets what receives the soft state of other instances, on the goroutines of the connections.
func (c *Committer) OnSoft(f func(from string, soft []byte)) {
	c.softMu.Lock()
	defer c.softMu.Unlock()
	c.onSoft = f
}
