package replicator

import (
	"slices"
	"time"
)

// Role is the Raft role of a replica in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Replica is one replica of the log. It is not safe for concurrent use.
type Replica struct {
	cfg              Config
	now              time.Time
	state            HardState
	log              entryLog
	snapshot         SnapshotMeta // the newest durable snapshot
	previousSnapshot Position     // position of the snapshot before the newest one
	commit           uint64
	applied          uint64
	synced           uint64 // index up to which the own log is durable
	role             Role
	leader           string
	leaderContact    time.Time // time of the last message from the leader of this term
	electionDeadline time.Time
	votes            map[string]bool
	incoming         *incomingSnapshot
	leaderState      leaderState
	out              Output
}

// incomingSnapshot is a snapshot that has been received in part.
type incomingSnapshot struct {
	meta       SnapshotMeta
	nextOffset uint64
}

// New returns a follower that starts from the persistent state and waits for an election timeout before it campaigns.
func New(now time.Time, cfg Config) *Replica {
	cfg = cfg.withDefaults()
	s := cfg.Initial
	r := &Replica{cfg: cfg, now: now, state: s.State, log: newEntryLog(s), snapshot: s.Snapshot, previousSnapshot: s.Base}
	r.commit = max(s.Snapshot.Index, cfg.InitialCommitted)
	r.applied = r.commit
	r.synced = r.log.last().Index
	r.resetElectionTimer()
	if cfg.MaxInitialElectionTimeout > 0 {
		// This does not disturb a live leader, because its followers reject the pre-vote.
		r.electionDeadline = now.Add(time.Duration(cfg.Random.Uint64() % uint64(cfg.MaxInitialElectionTimeout)))
	}
	return r
}

// Step advances the replica to now, handles the inputs, and returns the resulting output.
func (r *Replica) Step(now time.Time, inputs ...Input) Output {
	r.now = now
	r.out = Output{}
	before := r.state
	for _, in := range inputs {
		r.handleInput(in)
	}
	r.tick()
	if r.role == Leader {
		r.stepLeader()
	}
	r.emitCommitted()
	if r.state != before {
		s := r.state
		r.out.State = &s
	}
	return r.out
}

func (r *Replica) handleInput(in Input) {
	switch in := in.(type) {
	case Message:
		r.handleMessage(in)
	case Proposal:
		r.handleProposal(in)
	case Read:
		r.handleRead(in)
	case Change:
		r.handleChange(in)
	case Synced:
		if t, ok := r.log.term(in.Index); ok && t == in.Term {
			r.synced = max(r.synced, in.Index)
		}
	case SnapshotStored:
		r.handleSnapshotStored(in.Index)
	}
}

func (r *Replica) tick() {
	if r.role == Leader {
		r.checkQuorum()
		return
	}
	if !r.now.Before(r.electionDeadline) && r.mayCampaign() {
		r.campaign(PreCandidate)
	}
}

func (r *Replica) emitCommitted() {
	if r.applied < r.commit {
		r.out.Committed = append(r.out.Committed, r.log.slice(r.applied+1, r.commit, int(^uint(0)>>1))...)
		r.applied = r.commit
	}
}

func (r *Replica) handleMessage(m Message) {
	if m.To != r.cfg.ID {
		return
	}
	fromLeader := m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
	switch {
	case m.Term > r.state.Term:
		if m.Kind == MsgPreVote || m.Kind == MsgPreVoteReply && !m.Reject {
			break // a pre-vote does not change the term
		}
		if m.Kind == MsgVote && r.hasLiveLeader() {
			return // a partitioned or removed replica must not depose a live leader
		}
		r.becomeFollower(m.Term, "")
	case m.Term < r.state.Term:
		r.replyStaleTerm(m, fromLeader)
		return
	}
	if fromLeader {
		if r.role != Follower || r.leader != m.From {
			r.becomeFollower(m.Term, m.From)
		}
		r.leaderContact = r.now
		r.resetElectionTimer()
	}
	r.dispatch(m)
}

// replyStaleTerm rejects a message of an older term, so that its sender learns the current one.
func (r *Replica) replyStaleTerm(m Message, fromLeader bool) {
	switch {
	case fromLeader:
		r.reply(m, Message{Kind: MsgAppendReply, Reject: true})
	case m.Kind == MsgPreVote:
		r.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
	}
}

func (r *Replica) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		r.handleVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		r.handleVoteReply(m)
	case MsgAppend:
		r.handleAppend(m)
	case MsgHeartbeat:
		r.commitTo(min(m.Commit, r.log.last().Index))
		r.reply(m, Message{Kind: MsgHeartbeatReply, Round: m.Round})
	case MsgSnapshot:
		r.handleSnapshotPiece(m)
	case MsgReadReply:
		r.out.Reads = append(r.out.Reads, ReadResult{ID: m.ReadID, Index: m.Index})
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply, MsgRead:
		if r.role == Leader {
			r.handleFollowerMessage(m)
		}
	}
}

// reply queues a reply until after the sync, because a reply confirms that the term, vote and entries are durable.
func (r *Replica) reply(to, m Message) {
	m.From, m.To = r.cfg.ID, to.From
	if m.Term == 0 {
		m.Term = r.state.Term
	}
	r.out.SendAfterSync = append(r.out.SendAfterSync, m)
}

func (r *Replica) send(to string, m Message) {
	m.From, m.To, m.Term = r.cfg.ID, to, r.state.Term
	r.out.Send = append(r.out.Send, m)
}

func (r *Replica) commitTo(index uint64) { r.commit = max(r.commit, index) }

func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.state.Term {
		r.state = HardState{Term: term}
	}
	r.role, r.leader, r.votes = Follower, leader, nil
	r.leaderState = leaderState{}
	r.incoming = nil
	r.resetElectionTimer()
}

func (r *Replica) resetElectionTimer() {
	spread := uint64(r.cfg.MaxElectionTimeout - r.cfg.MinElectionTimeout)
	r.electionDeadline = r.now.Add(r.cfg.MinElectionTimeout + time.Duration(r.cfg.Random.Uint64()%(spread+1)))
}

// hasLiveLeader reports whether a leader was in contact within the minimum election timeout.
func (r *Replica) hasLiveLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.now.Sub(r.leaderContact) < r.cfg.MinElectionTimeout
}

// handleAppend appends the entries of the leader if the position before them matches, and rejects them otherwise.
func (r *Replica) handleAppend(m Message) {
	if m.Index < r.log.base.Index {
		// All entries up to base are committed, so they match.
		skip := min(r.log.base.Index-m.Index, uint64(len(m.Entries)))
		m.Index += skip
		m.Entries = m.Entries[skip:]
		if m.Index < r.log.base.Index {
			r.reply(m, Message{Kind: MsgAppendReply, Index: m.Index})
			return
		}
		m.LogTerm = r.log.base.Term
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		r.reply(m, Message{Kind: MsgAppendReply, Reject: true, Index: m.Index, Hint: r.conflictHint(m.Index)})
		return
	}
	matched := m.Index + uint64(len(m.Entries))
	for _, e := range m.Entries {
		if t, ok := r.log.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			r.truncate(e.Index)
		}
		r.appendEntry(e)
	}
	r.commitTo(min(m.Commit, matched))
	r.reply(m, Message{Kind: MsgAppendReply, Index: matched})
}

// conflictHint returns an index that may match: the last of the log, or the one before the conflicting term.
func (r *Replica) conflictHint(index uint64) uint64 {
	if last := r.log.last().Index; last < index {
		return last
	}
	conflict, _ := r.log.term(index)
	for index > r.commit {
		if t, ok := r.log.term(index); !ok || t != conflict {
			break
		}
		index--
	}
	return index
}

func (r *Replica) truncate(from uint64) {
	if from <= r.commit {
		// The cause is a violated quorum rule or a lost disk under an unchanged ID; continuing would spread the damage.
		panic("replicator: leader would overwrite a committed entry")
	}
	r.log.truncate(from)
	r.synced = min(r.synced, from-1)
	for n := len(r.out.Entries); n > 0 && r.out.Entries[n-1].Index >= from; n-- {
		r.out.Entries = r.out.Entries[:n-1]
	}
}

func (r *Replica) appendEntry(e Entry) {
	r.log.append(e)
	r.out.Entries = append(r.out.Entries, e)
}

func (r *Replica) handleSnapshotPiece(m Message) {
	meta := m.Snapshot
	if meta == nil {
		return
	}
	if t, ok := r.log.term(meta.Index); meta.Index <= r.commit || ok && t == meta.Term {
		r.commitTo(meta.Index)
		r.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index})
		return
	}
	snapshot := r.incoming
	if snapshot == nil || snapshot.meta.Index != meta.Index || snapshot.meta.Term != meta.Term {
		snapshot = &incomingSnapshot{meta: *meta}
		r.incoming = snapshot
	}
	if m.Offset != snapshot.nextOffset {
		r.reply(m, Message{Kind: MsgSnapshotReply, Snapshot: meta, Offset: snapshot.nextOffset})
		return
	}
	r.out.Pieces = append(r.out.Pieces, Piece{Meta: *meta, Offset: m.Offset, Data: m.Data, Last: m.Last})
	snapshot.nextOffset += uint64(len(m.Data))
	if !m.Last {
		r.reply(m, Message{Kind: MsgSnapshotReply, Snapshot: meta, Offset: snapshot.nextOffset})
		return
	}
	r.incoming = nil
	r.installSnapshot(*meta)
	r.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index})
}

func (r *Replica) installSnapshot(meta SnapshotMeta) {
	r.log.resetToSnapshot(meta)
	r.snapshot, r.previousSnapshot = meta, Position{meta.Index, meta.Term}
	r.commit, r.applied, r.synced = meta.Index, meta.Index, meta.Index
	r.out.Install, r.out.Entries, r.out.Committed = &meta, nil, nil
}

func (r *Replica) handleSnapshotStored(index uint64) {
	t, ok := r.log.term(index)
	if !ok || index <= r.snapshot.Index || index > r.applied {
		return
	}
	r.previousSnapshot = Position{r.snapshot.Index, r.snapshot.Term}
	r.snapshot = SnapshotMeta{Index: index, Term: t, Members: r.log.membersAt(index)}
	r.log.compact(r.previousSnapshot)
}

// SnapshotMetaAt returns the metadata of a snapshot up to an applied index; ok is false if the log does not hold it.
func (r *Replica) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	t, ok := r.log.term(index)
	return SnapshotMeta{Index: index, Term: t, Members: r.log.membersAt(index)}, ok
}

// Status is a view of a replica's state.
type Status struct {
	ID       string
	Role     Role
	Term     uint64
	Leader   string // replica ID, empty if unknown
	Members  []Member
	Last     uint64
	Commit   uint64
	Applied  uint64
	Base     Position // position before the first entry of the log
	Snapshot uint64
	Peers    []PeerStatus // only at the leader
}

// PeerStatus is the replication state of another member at the leader.
type PeerStatus struct {
	ID          string
	Match       uint64
	LastContact time.Time
}

// Status returns the current status of the replica.
func (r *Replica) Status() Status {
	s := Status{ID: r.cfg.ID, Role: r.role, Term: r.state.Term, Leader: r.leader, Members: r.members(),
		Last: r.log.last().Index, Commit: r.commit, Applied: r.applied, Base: r.log.base, Snapshot: r.snapshot.Index}
	for id, p := range r.leaderState.progress {
		s.Peers = append(s.Peers, PeerStatus{ID: id, Match: p.match, LastContact: p.lastContact})
	}
	return s
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the replica ID of the leader, empty if unknown.
func (r *Replica) Leader() string { return r.leader }

// Members returns the members in force; the caller must not modify the slice.
func (r *Replica) Members() []Member { return r.members() }

// Base returns the position before the first entry of the log; stored entries up to it may be removed.
func (r *Replica) Base() Position { return r.log.base }

// SnapshotIndex returns the index of the newest snapshot.
func (r *Replica) SnapshotIndex() uint64 { return r.snapshot.Index }

func (r *Replica) members() []Member { return r.log.latestMembership().members }

func (r *Replica) isVoter(id string) bool {
	return slices.ContainsFunc(r.members(), func(m Member) bool { return m.ID == id && m.Voter })
}

// mayCampaign reports whether this replica is a voter, or its removal is not committed yet. Of two voters, only the
// removed one can win when its log alone holds the removal, because the other log is older. At most the latest change
// is uncommitted.
func (r *Replica) mayCampaign() bool {
	if r.isVoter(r.cfg.ID) {
		return true
	}
	n := len(r.log.memberships)
	return n > 1 && r.log.latestMembership().index > r.commit &&
		slices.ContainsFunc(r.log.memberships[n-2].members, func(m Member) bool { return m.ID == r.cfg.ID && m.Voter })
}

func quorum(members []Member) int { return countVoters(members)/2 + 1 }

func countVoters(members []Member) (n int) {
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}
