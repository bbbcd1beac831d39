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

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/adapters/transporter"
	"cactusroute.dev/core/replicator"
)

// StateMachine applies the committed entries; all calls come from the control goroutine. It must start empty and use
// its files only as a cache of the snapshot and the log, because files that are synced independently could contain
// entries that the log has lost.
type StateMachine interface {
	// Apply must be deterministic.
	Apply(index uint64, entry []byte) (result any)
	// Snapshot returns the state after the last applied entry; the chunks are read before the next call of Apply.
	Snapshot() (chunks iter.Seq2[[]byte, error])
	// Restore replaces the state with that of a snapshot.
	Restore(chunks iter.Seq2[[]byte, error]) error
}

// Config configures a committer; zero limits take the defaults.
type Config struct {
	Name            string
	Folder          string
	Peers           map[string]string // host:port of the initial control instances by name, including this one
	Region          string
	Observer        *observer.Observer
	Messenger       messenger.Options // TLS and byte counter of connections to peers
	SnapshotEntries uint64            // entries between two snapshots
	SnapshotBytes   uint64            // bytes of entries between two snapshots
	FS              storer.FS         // nil means the disk
	// OpenGroup makes the group self-managed: instances join it without being configured, and lost voters are replaced
	// automatically. With nil the group consists of Peers.
	OpenGroup *OpenGroup
}

// OpenGroup configures an instance of a self-managed group, whose members are discovered rather than configured.
type OpenGroup struct {
	Address string // host:port of this instance
	// MinVoters is the number of voters that the fault tolerance requires.
	MinVoters int
}

const (
	// MaxEntryBytes limits one entry; it fits a recorded response of 8 MiB and its framing.
	MaxEntryBytes = 9 << 20

	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 64 << 20

	tickInterval = 20 * time.Millisecond

	// readIndexInterval plus one tick is below 250 ms, the longest interval between two read index rounds that the
	// freshness lease allows.
	readIndexInterval = 200 * time.Millisecond

	// quorumTimeout is the length of the lease: without a confirmed read index for this time, proposals fail rather than
	// wait.
	quorumTimeout = 2 * time.Second

	// resubmitInterval is the time after which a proposal without a result is sent again, possibly to a new leader.
	resubmitInterval = time.Second

	// maxResubmitDoublings bounds the growth of resubmitInterval, which doubles with each copy, so that copies of a large
	// proposal don't hold up the first one.
	maxResubmitDoublings = 3

	// maxBatchInputs and maxBatchBytes limit the inputs that share one sync.
	maxBatchInputs = 1024
	maxBatchBytes  = 8 << 20

	pieceBytes    = 256 << 10
	eventQueueLen = 4096

	// An instance of a self-managed group shares a fraction of a core with user traffic. The leader must survive pauses
	// of some hundred milliseconds, which are common there, without an election.
	openGroupMinElectionTimeout = 600 * time.Millisecond
	openGroupMaxElectionTimeout = 1200 * time.Millisecond
	// openGroupMaxInitialElectionTimeout is short, because there is no leader to depose when all instances start at once
	// after a power failure.
	openGroupMaxInitialElectionTimeout = 400 * time.Millisecond
	openGroupHeartbeatInterval         = 120 * time.Millisecond
)

// Committer runs one replica of the replicated log.
type Committer struct {
	cfg         Config
	sm          StateMachine
	store       *storer.Store
	transporter *transporter.Transporter
	origin      uint64
	seq         atomic.Uint64
	events      chan event
	stopped     chan struct{}
	failedCh    chan struct{} // closed on a disk failure

	confirmed   atomic.Pointer[confirmedRead]
	status      atomic.Pointer[Status]
	softStateMu sync.RWMutex
	onSoftState func(from string, soft []byte)

	// The fields below belong to the control goroutine.
	replica                *replicator.Replica
	cluster                string
	applied                uint64
	failure                error
	pending                map[replicator.Tag]*pendingProposal
	forwarders             map[replicator.Tag]string // instances that forwarded the proposals of the current batch
	unconfirmedReads       map[uint64]time.Time      // request times by read ID
	nextReadAt             time.Time
	unappliedReads         []confirmedRead // confirmed, but their index is not applied yet
	announcedPeers         map[string]announcedPeer
	nextAnnouncementAt     time.Time
	nextMembershipChangeAt time.Time
	bytesSinceSnapshot     uint64 // of applied entries
	role                   replicator.Role
	leader                 string
	metrics                metrics
}

type metrics struct {
	syncs   prometheus.Histogram
	entries prometheus.Counter
	commits prometheus.Histogram
}

type confirmedRead struct {
	index       uint64
	requestedAt time.Time
}

type announcedPeer struct {
	transporter.Announcement
	receivedAt time.Time
}

// event is an event for the control goroutine.
type event struct {
	message   *transporter.Message
	proposal  *pendingProposal
	bootstrap bool
	bytes     int
}

// pendingProposal is a command or membership change proposed by this instance that has no result yet.
type pendingProposal struct {
	tag         replicator.Tag
	data        []byte
	change      *replicator.Change
	submittedAt time.Time
	sentAt      time.Time // zero means to send at the next tick
	resubmits   int       // to the same leader without a result
	sent        bool
	done        chan outcome // buffered for one
	abandoned   atomic.Bool  // the caller has returned
}

type outcome struct {
	result any
	err    error
}

// New opens the data folder and restores the state machine. It returns a *storer.CorruptError if the folder is
// damaged.
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
		return nil, fmt.Errorf("the list of peers does not contain this instance %q", cfg.Name)
	}
	store, err := storer.Open(storer.Config{Folder: cfg.Folder, Name: cfg.Name, FS: cfg.FS})
	if err != nil {
		return nil, err
	}
	c = &Committer{cfg: cfg, sm: sm, store: store, origin: randomUint64(), events: make(chan event, eventQueueLen),
		stopped: make(chan struct{}), failedCh: make(chan struct{}), pending: map[replicator.Tag]*pendingProposal{},
		forwarders:       map[replicator.Tag]string{},
		unconfirmedReads: map[uint64]time.Time{}, announcedPeers: map[string]announcedPeer{}}
	c.transporter = transporter.New(cfg.Name, cfg.Messenger, c.receive)
	c.metrics = newMetrics(cfg.Observer.Registry)
	for name, addr := range cfg.Peers {
		c.transporter.Connect(name, addr)
	}
	if group, ok := store.GroupConfig(); ok {
		if err := c.startReplica(group); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	c.publishStatus()
	return c, nil
}

// syncBuckets returns histogram buckets in seconds, from a fast disk to one that is too slow for the group.
func syncBuckets() []float64 {
	return []float64{.0005, .001, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
}

func newMetrics(reg *prometheus.Registry) metrics {
	return metrics{
		syncs: registerOrReuse(reg, prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cactusroute_committer_sync_seconds", Help: "Time of a synced write of the consensus log.",
			Buckets: syncBuckets()})),
		entries: registerOrReuse(reg, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cactusroute_committer_entries_total", Help: "Entries written to the consensus log."})),
		commits: registerOrReuse(reg, prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cactusroute_committer_commit_seconds", Help: "Time from a proposal here until it was applied here.",
			Buckets: syncBuckets()})),
	}
}

// registerOrReuse registers a collector, or returns the one that an earlier replica of this process registered.
func registerOrReuse[C prometheus.Collector](reg *prometheus.Registry, c C) C {
	var exists prometheus.AlreadyRegisteredError
	if err := reg.Register(c); errors.As(err, &exists) {
		if registered, ok := exists.ExistingCollector.(C); ok {
			return registered
		}
	}
	return c
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// startReplica creates the replica from its persistent state and restores the state machine from the snapshot.
func (c *Committer) startReplica(group storer.GroupConfig) error {
	stored := c.store.TakeState()
	c.applied = stored.Snapshot.Index
	if c.applied > 0 {
		if err := c.sm.Restore(c.store.SnapshotChunks()); err != nil {
			return err
		}
	}
	c.cluster = group.Cluster
	cfg := replicator.Config{ID: c.store.ID(), Initial: stored, InitialCommitted: c.applied,
		Random: rand.NewPCG(randomUint64(), randomUint64())}
	if c.cfg.OpenGroup != nil {
		cfg.MinElectionTimeout, cfg.MaxElectionTimeout, cfg.HeartbeatInterval =
			openGroupMinElectionTimeout, openGroupMaxElectionTimeout, openGroupHeartbeatInterval
		cfg.MaxInitialElectionTimeout = openGroupMaxInitialElectionTimeout
	}
	c.replica = replicator.New(time.Now(), cfg)
	c.connectMembers()
	return nil
}

func (c *Committer) connectMembers() {
	for _, m := range c.replica.Members() {
		c.connectPeer(m.Name, m.Address)
	}
}

// connectPeer connects to a peer, unless its address is configured in Peers, which takes precedence.
func (c *Committer) connectPeer(name, address string) {
	if _, ok := c.cfg.Peers[name]; !ok {
		c.transporter.Connect(name, address)
	}
}

// Handler accepts connections from the other control instances; it must be mounted at transporter.Path.
func (c *Committer) Handler() http.Handler { return c.transporter.Handler() }

// String returns the service name for the supervisor.
func (c *Committer) String() string { return "committer " + c.cfg.Name }

// Serve runs the replica until ctx ends. After a disk failure it keeps running but neither votes nor acknowledges,
// because a restart within the process could read pages from the cache that never reached the disk.
func (c *Committer) Serve(ctx context.Context) error {
	defer close(c.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transporterDone := make(chan struct{})
	go func() {
		defer close(transporterDone)
		_ = c.transporter.Serve(ctx)
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-transporterDone
			c.failPending(&StoppedError{})
			_ = c.store.Close()
			return ctx.Err()
		case ev := <-c.events:
			c.step(c.collectInputs(ev))
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

// receive handles a message on the goroutine of its connection. Soft state bypasses the control goroutine.
func (c *Committer) receive(m transporter.Message) {
	if m.SoftState != nil {
		c.softStateMu.RLock()
		onSoftState := c.onSoftState
		c.softStateMu.RUnlock()
		if onSoftState != nil {
			onSoftState(m.From, *m.SoftState)
		}
		return
	}
	ev := event{message: &m}
	if m.Consensus != nil {
		ev.bytes = len(m.Consensus.Data)
		for i := range m.Consensus.Entries {
			ev.bytes += len(m.Consensus.Entries[i].Data)
		}
	}
	if m.Proposal != nil {
		ev.bytes = len(m.Proposal.Data)
	}
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// collectInputs returns the inputs of first and of the queued events, so that they share one sync.
func (c *Committer) collectInputs(first event) (inputs []replicator.Input) {
	clear(c.forwarders)
	size := 0
	for ev, more := first, true; more; {
		size += ev.bytes
		if in := c.toInput(ev); in != nil {
			inputs = append(inputs, in)
		}
		if len(inputs) >= maxBatchInputs || size >= maxBatchBytes {
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

// toInput handles an event and returns the resulting input of the replica, nil if there is none.
func (c *Committer) toInput(ev event) replicator.Input {
	if ev.proposal != nil {
		return c.submit(ev.proposal)
	}
	if ev.bootstrap {
		c.bootstrapGroup()
		return nil
	}
	m := ev.message
	switch {
	case m.Announcement != nil:
		c.handleAnnouncement(*m.Announcement)
	case c.replica == nil || c.failure != nil:
	case m.Consensus != nil && m.Cluster == c.cluster:
		return *m.Consensus
	case m.Refusal != nil:
		c.handleRefusal(replicator.RefusedProposal{Tag: m.Refusal.Tag, Reason: m.Refusal.Reason})
	case m.Proposal != nil && m.Proposal.Cluster == c.cluster:
		c.forwarders[m.Proposal.Tag] = m.From
		if m.Proposal.Change != nil {
			ch := *m.Proposal.Change
			ch.Tag = m.Proposal.Tag
			return ch
		}
		return replicator.Proposal{Tag: m.Proposal.Tag, Data: m.Proposal.Data}
	}
	return nil
}

// step steps the replica and executes its output, repeatedly until no further inputs result.
func (c *Committer) step(inputs []replicator.Input) {
	for c.replica != nil && c.failure == nil {
		out := c.replica.Step(time.Now(), inputs...)
		err := c.executeOutput(&out)
		if err != nil {
			c.stop(err)
			return
		}
		if inputs, err = c.compactAndSnapshot(&out); err != nil {
			c.stop(err)
			return
		}
		if len(inputs) == 0 {
			return
		}
	}
}

// executeOutput executes the output of a step in the order that replicator.Output requires.
func (c *Committer) executeOutput(out *replicator.Output) error {
	c.send(out.Send)
	if err := c.persist(out); err != nil {
		return err
	}
	c.send(out.SendAfterSync)
	if out.Install != nil {
		if err := c.sm.Restore(c.store.SnapshotChunks()); err != nil {
			return fmt.Errorf("restore state machine from received snapshot: %w", err)
		}
		c.applied = out.Install.Index
		c.connectMembers()
	}
	c.apply(out.Committed)
	for _, r := range out.Reads {
		c.handleReadResult(r)
	}
	c.confirmAppliedReads()
	for _, r := range out.Refused {
		c.handleRefusal(r)
	}
	if role := c.replica.Role(); role != c.role || len(out.Committed) > 0 {
		c.setRole(role)
		c.publishStatus()
	}
	if leader := c.replica.Leader(); leader != c.leader {
		c.leader = leader
		for _, prop := range c.pending {
			prop.sentAt = time.Time{}
		}
	}
	return nil
}

// compactAndSnapshot compacts the log, writes a snapshot if it is due, and returns inputs that report the stored data.
func (c *Committer) compactAndSnapshot(out *replicator.Output) (inputs []replicator.Input, err error) {
	if err := c.store.Compact(c.replica.Base()); err != nil {
		return nil, err
	}
	if n := len(out.Entries); n > 0 {
		inputs = append(inputs, replicator.Synced{Index: out.Entries[n-1].Index, Term: out.Entries[n-1].Term})
	}
	entries := c.applied - c.replica.SnapshotIndex()
	if entries < c.cfg.SnapshotEntries && (c.bytesSinceSnapshot < c.cfg.SnapshotBytes || entries == 0) {
		return inputs, nil
	}
	meta, ok := c.replica.SnapshotMetaAt(c.applied)
	if !ok {
		return inputs, nil
	}
	if err := c.store.WriteSnapshot(meta, c.sm.Snapshot()); err != nil {
		return nil, err
	}
	c.bytesSinceSnapshot = 0
	return append(inputs, replicator.SnapshotStored{Index: meta.Index}), nil
}

func (c *Committer) setRole(role replicator.Role) {
	if role == c.role {
		return
	}
	old := c.role
	c.role = role
	if role == replicator.Leader || old == replicator.Leader {
		c.cfg.Observer.Event("control role changed", "role", role, "term", c.replica.Status().Term)
	}
}

// send queues messages for their connections and reads the data of snapshot pieces. A piece that can't be read is
// skipped; the leader's replica requests it again.
func (c *Committer) send(messages []replicator.Message) {
	if len(messages) == 0 {
		return
	}
	names := c.memberNames()
	for _, m := range messages {
		if m.Kind == replicator.MsgSnapshot {
			var err error
			if m.Data, m.Last, err = c.store.ReadPiece(*m.Snapshot, m.Offset, pieceBytes); err != nil {
				c.cfg.Observer.Event("snapshot piece not sent, file not readable", "index", m.Snapshot.Index, "err", err)
				continue
			}
		}
		name, ok := names[m.To]
		if !ok {
			name = c.instanceName(m.To)
		}
		c.transporter.SendConsensus(name, c.cluster, m)
	}
}

func (c *Committer) memberNames() map[string]string {
	names := map[string]string{}
	for _, m := range c.replica.Members() {
		names[m.ID] = m.Name
	}
	return names
}

// instanceName returns the instance name of a replica ID that is not among the members in force, such as the leader's
// at a learner without a log.
func (c *Committer) instanceName(id string) string {
	for _, p := range c.announcedPeers {
		if p.ID == id {
			return p.Name
		}
	}
	const suffix = 1 + 2*storer.IDRandomBytes
	return id[:max(0, len(id)-suffix)]
}

func (c *Committer) persist(out *replicator.Output) error {
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
	// The hard state is stored first, because the new segment of an installed snapshot begins with it.
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
		c.bytesSinceSnapshot += uint64(len(e.Data))
		if e.Tag.Origin == c.origin {
			c.complete(e.Tag, outcome{result: result})
		}
	}
}

// stop stops the replica after a storage failure; it no longer votes or acknowledges.
func (c *Committer) stop(err error) {
	c.failure = err
	close(c.failedCh)
	c.cfg.Observer.Event("control replica stopped", "err", err)
	c.failPending(&StoppedError{Cause: err})
	c.confirmed.Store(nil)
	c.publishStatus()
}

func (c *Committer) tick(now time.Time) {
	if c.failure != nil {
		c.failPending(&StoppedError{Cause: c.failure})
		return
	}
	if !now.Before(c.nextAnnouncementAt) {
		c.announce(now)
	}
	if c.replica == nil {
		c.expirePending(now)
		c.publishStatus()
		return
	}
	clear(c.forwarders)
	inputs := c.resubmit(now)
	if !now.Before(c.nextReadAt) {
		c.nextReadAt = now.Add(readIndexInterval)
		id := c.seq.Add(1)
		c.unconfirmedReads[id] = now
		inputs = append(inputs, replicator.Read{ID: id})
	}
	inputs = append(inputs, c.membershipChanges(now)...)
	c.step(inputs)
	c.expirePending(now)
	c.publishStatus()
}

func (c *Committer) handleReadResult(r replicator.ReadResult) {
	requestedAt, ok := c.unconfirmedReads[r.ID]
	if !ok {
		return
	}
	for id, t := range c.unconfirmedReads {
		if !t.After(requestedAt) {
			delete(c.unconfirmedReads, id)
		}
	}
	c.unappliedReads = append(c.unappliedReads, confirmedRead{r.Index, requestedAt})
}

func (c *Committer) confirmAppliedReads() {
	c.unappliedReads = slices.DeleteFunc(c.unappliedReads, func(read confirmedRead) bool {
		if read.index > c.applied {
			return false
		}
		if current := c.confirmed.Load(); current == nil || read.requestedAt.After(current.requestedAt) {
			c.confirmed.Store(&read)
		}
		return true
	})
}

// Confirmed returns the newest confirmed read index that is applied here and the time of its request: the state
// includes all entries committed before that time. It returns false before the first one and after a disk failure.
func (c *Committer) Confirmed() (index uint64, at time.Time, ok bool) {
	read := c.confirmed.Load()
	if read == nil {
		return 0, time.Time{}, false
	}
	return read.index, read.requestedAt, true
}

// Failed returns a channel that is closed when the replica has stopped because of a disk failure.
func (c *Committer) Failed() <-chan struct{} { return c.failedCh }

// Broadcast sends soft state to all other instances, best effort.
func (c *Committer) Broadcast(soft []byte) { c.transporter.Broadcast(soft) }

// OnSoftState sets the handler of soft state from other instances, which runs on the goroutines of the connections.
func (c *Committer) OnSoftState(handler func(from string, soft []byte)) {
	c.softStateMu.Lock()
	defer c.softStateMu.Unlock()
	c.onSoftState = handler
}
