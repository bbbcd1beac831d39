package replicator

import (
	"slices"
	"time"
)

// Role is the part that a replica plays in its term.
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

// Replica is one replica of the log; it is not safe for concurrent use.
type Replica struct {
	cfg       Config
	now       time.Time
	state     HardState
	log       entryLog
	snapshot  SnapshotMeta // the newest durable one
	previous  Position     // the snapshot before it
	commit    uint64
	applied   uint64
	synced    uint64 // own entries up to here are durable
	role      Role
	leader    string
	heard     time.Time // when a leader of this term was last heard
	electAt   time.Time
	votes     map[string]bool
	receiving *receiving
	lead      leading
	out       Output
}

// receiving is a snapshot of which pieces have arrived.
type receiving struct {
	meta SnapshotMeta
	next uint64
}

// New returns a follower that starts from what is stored; it waits an election timeout before it campaigns.
func New(now time.Time, cfg Config) *Replica {
	cfg = cfg.withDefaults()
	s := cfg.Initial
	r := &Replica{cfg: cfg, now: now, state: s.State, log: newEntryLog(s), snapshot: s.Snapshot, previous: s.Base}
	r.commit = max(s.Snapshot.Index, cfg.InitialCommitted)
	r.applied = r.commit
	r.synced = r.log.last().Index
	r.resetElection()
	if cfg.InitialElectionTimeoutMax > 0 {
		// A working leader is not disturbed: those that hear it refuse the pre-vote.
		r.electAt = now.Add(time.Duration(cfg.Random.Uint64() % uint64(cfg.InitialElectionTimeoutMax)))
	}
	return r
}

// Step advances the replica to the time, hands it the inputs, and returns what follows from them.
func (r *Replica) Step(now time.Time, inputs ...Input) Output {
	r.now = now
	r.out = Output{}
	before := r.state
	for _, in := range inputs {
		r.handle(in)
	}
	r.tick()
	if r.role == Leader {
		r.finishLeading()
	}
	r.takeCommitted()
	if r.state != before {
		s := r.state
		r.out.State = &s
	}
	return r.out
}

func (r *Replica) handle(in Input) {
	switch in := in.(type) {
	case Message:
		r.receive(in)
	case Proposal:
		r.propose(in)
	case Read:
		r.read(in)
	case Change:
		r.change(in)
	case Synced:
		if t, ok := r.log.term(in.Index); ok && t == in.Term {
			r.synced = max(r.synced, in.Index)
		}
	case SnapshotStored:
		r.snapshotStored(in.Index)
	}
}

func (r *Replica) tick() {
	if r.role == Leader {
		r.checkQuorum()
		return
	}
	if !r.now.Before(r.electAt) && r.mayCampaign() {
		r.campaign(PreCandidate)
	}
}

func (r *Replica) takeCommitted() {
	if r.applied < r.commit {
		r.out.Committed = append(r.out.Committed, r.log.slice(r.applied+1, r.commit, int(^uint(0)>>1))...)
		r.applied = r.commit
	}
}

func (r *Replica) receive(m Message) {
	if m.To != r.cfg.ID {
		return
	}
	fromLeader := m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
	switch {
	case m.Term > r.state.Term:
		if m.Kind == MsgPreVote || m.Kind == MsgPreVoteReply && !m.Reject {
			break // a pre-vote does not change the term
		}
		if m.Kind == MsgVote && r.hearsLeader() {
			return // a replica that was cut off or removed must not depose a working leader
		}
		r.follow(m.Term, "")
	case m.Term < r.state.Term:
		r.answerOldTerm(m, fromLeader)
		return
	}
	if fromLeader {
		if r.role != Follower || r.leader != m.From {
			r.follow(m.Term, m.From)
		}
		r.heard = r.now
		r.resetElection()
	}
	r.dispatch(m)
}

// answerOldTerm tells a leader or candidate of an old term about the current one.
func (r *Replica) answerOldTerm(m Message, fromLeader bool) {
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
		r.vote(m)
	case MsgPreVoteReply, MsgVoteReply:
		r.countVote(m)
	case MsgAppend:
		r.appendEntries(m)
	case MsgHeartbeat:
		r.commitTo(min(m.Commit, r.log.last().Index))
		r.reply(m, Message{Kind: MsgHeartbeatReply, Round: m.Round})
	case MsgSnapshot:
		r.receivePiece(m)
	case MsgReadReply:
		r.out.Reads = append(r.out.Reads, ReadResult{ID: m.ReadID, Index: m.Index})
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply, MsgRead:
		if r.role == Leader {
			r.handleAsLeader(m)
		}
	}
}

// reply answers after the sync, because an answer promises that term, vote and entries are durable.
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

func (r *Replica) follow(term uint64, leader string) {
	if term > r.state.Term {
		r.state = HardState{Term: term}
	}
	r.role, r.leader, r.votes = Follower, leader, nil
	r.lead = leading{}
	r.receiving = nil
	r.resetElection()
}

func (r *Replica) resetElection() {
	spread := uint64(r.cfg.ElectionTimeoutMax - r.cfg.ElectionTimeoutMin)
	r.electAt = r.now.Add(r.cfg.ElectionTimeoutMin + time.Duration(r.cfg.Random.Uint64()%(spread+1)))
}

// hearsLeader reports whether a leader was heard within the shortest election timeout.
func (r *Replica) hearsLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.now.Sub(r.heard) < r.cfg.ElectionTimeoutMin
}

// appendEntries takes the entries of the leader when the position before them matches.
func (r *Replica) appendEntries(m Message) {
	if m.Index < r.log.base.Index {
		// All entries up to base are committed here, so they match.
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
		r.store(e)
	}
	r.commitTo(min(m.Commit, matched))
	r.reply(m, Message{Kind: MsgAppendReply, Index: matched})
}

// conflictHint returns an index that may match: the end of the log, or the position before the conflicting term.
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
		// Only a broken quorum rule or a lost disk under an old identity leads here; going on would spread it.
		panic("replicator: a leader replaces a committed entry")
	}
	r.log.truncate(from)
	r.synced = min(r.synced, from-1)
	for n := len(r.out.Entries); n > 0 && r.out.Entries[n-1].Index >= from; n-- {
		r.out.Entries = r.out.Entries[:n-1]
	}
}

func (r *Replica) store(e Entry) {
	r.log.append(e)
	r.out.Entries = append(r.out.Entries, e)
}

func (r *Replica) receivePiece(m Message) {
	meta := m.Snapshot
	if meta == nil {
		return
	}
	if t, ok := r.log.term(meta.Index); meta.Index <= r.commit || ok && t == meta.Term {
		r.commitTo(meta.Index)
		r.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index})
		return
	}
	rec := r.receiving
	if rec == nil || rec.meta.Index != meta.Index || rec.meta.Term != meta.Term {
		rec = &receiving{meta: *meta}
		r.receiving = rec
	}
	if m.Offset != rec.next {
		r.reply(m, Message{Kind: MsgSnapshotReply, Snapshot: meta, Offset: rec.next})
		return
	}
	r.out.Pieces = append(r.out.Pieces, Piece{Meta: *meta, Offset: m.Offset, Data: m.Data, Last: m.Last})
	rec.next += uint64(len(m.Data))
	if !m.Last {
		r.reply(m, Message{Kind: MsgSnapshotReply, Snapshot: meta, Offset: rec.next})
		return
	}
	r.receiving = nil
	r.install(*meta)
	r.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index})
}

func (r *Replica) install(meta SnapshotMeta) {
	r.log.reset(meta)
	r.snapshot, r.previous = meta, Position{meta.Index, meta.Term}
	r.commit, r.applied, r.synced = meta.Index, meta.Index, meta.Index
	r.out.Install, r.out.Entries, r.out.Committed = &meta, nil, nil
}

func (r *Replica) snapshotStored(index uint64) {
	t, ok := r.log.term(index)
	if !ok || index <= r.snapshot.Index || index > r.applied {
		return
	}
	r.previous = Position{r.snapshot.Index, r.snapshot.Term}
	r.snapshot = SnapshotMeta{Index: index, Term: t, Members: r.log.at(index)}
	r.log.compact(r.previous)
}

// SnapshotMetaAt returns the position and members that a snapshot of the state after an applied index covers.
func (r *Replica) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	t, ok := r.log.term(index)
	return SnapshotMeta{Index: index, Term: t, Members: r.log.at(index)}, ok
}

// Status describes a replica.
type Status struct {
	ID       string
	Role     Role
	Term     uint64
	Leader   string // replica ID, empty when not known
	Members  []Member
	Last     uint64
	Commit   uint64
	Applied  uint64
	Base     Position // the log holds the entries after it
	Snapshot uint64
	Peers    []PeerStatus // at the leader
}

// PeerStatus is what the leader knows of one other member.
type PeerStatus struct {
	ID          string
	Match       uint64
	LastContact time.Time
}

// Status returns a description of the replica.
func (r *Replica) Status() Status {
	s := Status{ID: r.cfg.ID, Role: r.role, Term: r.state.Term, Leader: r.leader, Members: r.members(),
		Last: r.log.last().Index, Commit: r.commit, Applied: r.applied, Base: r.log.base, Snapshot: r.snapshot.Index}
	for id, p := range r.lead.progress {
		s.Peers = append(s.Peers, PeerStatus{ID: id, Match: p.match, LastContact: p.heard})
	}
	return s
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the replica ID of the leader, empty when it is not known.
func (r *Replica) Leader() string { return r.leader }

// Members returns the members in force; the caller does not change the slice.
func (r *Replica) Members() []Member { return r.members() }

// Base returns the position up to which the log may be dropped.
func (r *Replica) Base() Position { return r.log.base }

// SnapshotIndex returns the index of the newest snapshot.
func (r *Replica) SnapshotIndex() uint64 { return r.snapshot.Index }

func (r *Replica) members() []Member { return r.log.latest().members }

func (r *Replica) isVoter(id string) bool {
	return slices.ContainsFunc(r.members(), func(m Member) bool { return m.ID == id && m.Voter })
}

// mayCampaign lets a replica campaign until its removal is committed: of two members, only the one whose log holds
// the removal of itself can win, because the other one's log is older. Only the latest change can be uncommitted.
func (r *Replica) mayCampaign() bool {
	if r.isVoter(r.cfg.ID) {
		return true
	}
	n := len(r.log.members)
	return n > 1 && r.log.latest().index > r.commit &&
		slices.ContainsFunc(r.log.members[n-2].members, func(m Member) bool { return m.ID == r.cfg.ID && m.Voter })
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
