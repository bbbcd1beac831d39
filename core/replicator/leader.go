package replicator

import (
	"slices"
	"time"
)

const (
	// resendAfterHeartbeats is the number of heartbeat intervals after which an unacknowledged append or snapshot piece is
	// resent.
	resendAfterHeartbeats = 3

	// maxResendDoublings bounds the growth of that time, which doubles with each resend without progress: copies of large
	// entries would fill a slow link and hold up the heartbeats behind them.
	maxResendDoublings = 3
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	progress      map[string]*progress
	round         uint64 // last heartbeat round that was started
	nextHeartbeat time.Time
	roundDue      bool
	pendingReads  []pendingRead
	noOpIndex     uint64 // index of the no-op entry that starts the leader's term
	termStart     time.Time
}

// progress tracks the replication to one follower.
type progress struct {
	match           uint64
	next            uint64
	probing         bool // sends one append at a time until the matching position is found
	inflight        []uint64
	lastAdvance     time.Time // time of the last new acknowledgement or resend
	resends         int       // since the last new acknowledgement or the follower's return
	lastContact     time.Time
	ackedRound      uint64
	pendingSnapshot *SnapshotMeta // snapshot that is being sent
	snapshotOffset  uint64
	sentCommit      uint64 // commit index last sent outside of heartbeat rounds
}

// pendingRead is a read whose index a quorum has not confirmed yet.
type pendingRead struct {
	id    uint64
	from  string // requesting replica, empty for the leader itself
	index uint64
	round uint64
}

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.cfg.ID, nil
	r.leaderState = leaderState{progress: map[string]*progress{}, termStart: r.now, noOpIndex: r.log.last().Index + 1,
		roundDue: true}
	r.appendEntry(Entry{Index: r.leaderState.noOpIndex, Term: r.state.Term, Kind: EntryNoOp})
	r.updateProgress()
}

// updateProgress adds a progress for each new member and removes those of former members.
func (r *Replica) updateProgress() {
	former := r.leaderState.progress
	r.leaderState.progress = map[string]*progress{}
	for _, m := range r.members() {
		if m.ID == r.cfg.ID {
			continue
		}
		p := former[m.ID]
		if p == nil {
			// Starting at the last entry probes for the matching position without waiting for a proposal.
			p = &progress{next: r.log.last().Index, probing: true, lastContact: r.now, lastAdvance: r.now}
		}
		r.leaderState.progress[m.ID] = p
	}
}

func (r *Replica) handleProposal(p Proposal) {
	switch {
	case r.role != Leader:
		r.refuse(p.Tag, RefusedNotLeader)
	case r.log.last().Index-r.commit >= uint64(r.cfg.MaxUncommitted):
		r.refuse(p.Tag, RefusedTooManyUncommitted)
	default:
		r.appendEntry(Entry{Index: r.log.last().Index + 1, Term: r.state.Term, Kind: EntryCommand, Tag: p.Tag, Data: p.Data})
	}
}

func (r *Replica) refuse(tag Tag, reason RefusalReason) {
	r.out.Refused = append(r.out.Refused, RefusedProposal{Tag: tag, Reason: reason})
}

// handleRead enqueues a read at the leader; a follower forwards it. A read without a known leader gets no result.
func (r *Replica) handleRead(in Read) {
	switch {
	case r.role == Leader:
		r.enqueueRead(pendingRead{id: in.ID})
	case r.leader != "":
		r.send(r.leader, Message{Kind: MsgRead, ReadID: in.ID})
	}
}

// enqueueRead drops the read until an entry of the current term is committed: before that the leader's commit index may
// be lower than one that an earlier leader has acknowledged.
func (r *Replica) enqueueRead(p pendingRead) {
	if r.commit < r.leaderState.noOpIndex {
		return
	}
	p.index, p.round = r.commit, r.leaderState.round+1
	r.leaderState.pendingReads = append(r.leaderState.pendingReads, p)
	r.leaderState.roundDue = true
}

// handleChange appends one membership change. The next one is refused until it is committed, so that the quorums of any
// two successive memberships overlap.
func (r *Replica) handleChange(c Change) {
	reason := r.validateChange(c)
	if reason != "" {
		r.refuse(c.Tag, reason)
		return
	}
	members := slices.Clone(r.members())
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == c.Member.ID })
	switch c.Kind {
	case ChangeAddLearner:
		m := c.Member
		m.Voter = false
		members = append(members, m)
	case ChangePromote:
		for j, m := range members {
			members[j].Voter = m.Voter || j == i || slices.Contains(c.With, m.ID)
		}
	case ChangeRemove:
		members = slices.Delete(members, i, i+1)
	}
	e := Entry{Index: r.log.last().Index + 1, Term: r.state.Term, Kind: EntryMembers, Tag: c.Tag, Members: members}
	if reason := r.checkReachableQuorum(c, members); reason != "" {
		r.refuse(c.Tag, reason)
		return
	}
	r.appendEntry(e)
	r.updateProgress()
}

func (r *Replica) validateChange(c Change) RefusalReason {
	i := slices.IndexFunc(r.members(), func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case r.role != Leader:
		return RefusedNotLeader
	case r.commit < r.leaderState.noOpIndex:
		return RefusedNoCommitInTerm
	case r.log.latestMembership().index > r.commit:
		return RefusedChangeInProgress
	case c.Kind == ChangeAddLearner && i >= 0:
		return RefusedNoChange
	case c.Kind != ChangeAddLearner && i < 0:
		return RefusedUnknownMember
	case c.Kind == ChangePromote && r.members()[i].Voter:
		return RefusedNoChange
	case c.Kind == ChangePromote && !r.isCaughtUp(c.Member.ID):
		return RefusedNotCaughtUp
	case len(c.With) > 0 && (c.Kind != ChangePromote || !hasLoneVoter(r.members())):
		return RefusedNotLoneVoter
	case !r.areLearnersCaughtUp(c.With):
		return RefusedNotCaughtUp
	default:
		return ""
	}
}

func (r *Replica) areLearnersCaughtUp(ids []string) bool {
	for _, id := range ids {
		i := slices.IndexFunc(r.members(), func(m Member) bool { return m.ID == id && !m.Voter })
		if i < 0 || !r.isCaughtUp(id) {
			return false
		}
	}
	return true
}

// hasLoneVoter reports whether exactly one of the members is a voter.
func hasLoneVoter(members []Member) bool { return countVoters(members) == 1 }

// IsCaughtUp reports whether this replica leads and the learner is close enough to the end of the log for a promotion.
func (r *Replica) IsCaughtUp(id string) bool { return r.role == Leader && r.isCaughtUp(id) }

func (r *Replica) isCaughtUp(id string) bool {
	p := r.leaderState.progress[id]
	return p != nil && p.match+r.cfg.MaxPromotionLag >= r.log.last().Index && p.match >= r.leaderState.noOpIndex &&
		r.isReachable(p)
}

// checkReachableQuorum refuses a change of voters after which the reachable voters would not form a quorum.
func (r *Replica) checkReachableQuorum(c Change, members []Member) RefusalReason {
	if c.Kind == ChangeAddLearner {
		return ""
	}
	reachable := 0
	for _, m := range members {
		if m.Voter && (m.ID == r.cfg.ID ||
			r.leaderState.progress[m.ID] != nil && r.isReachable(r.leaderState.progress[m.ID])) {
			reachable++
		}
	}
	if reachable < quorum(members) {
		return RefusedQuorumLoss
	}
	return ""
}

func (r *Replica) isReachable(p *progress) bool {
	return r.now.Sub(p.lastContact) <= r.cfg.MaxElectionTimeout
}

// checkQuorum makes the leader step down if no quorum has responded within the maximum election timeout.
func (r *Replica) checkQuorum() {
	reachable := 0
	for _, m := range r.members() {
		if m.Voter && (m.ID == r.cfg.ID || r.isReachable(r.leaderState.progress[m.ID])) {
			reachable++
		}
	}
	if reachable < quorum(r.members()) {
		r.becomeFollower(r.state.Term, "")
	}
}

// stepLeader advances the commit index and sends heartbeats and appends, once for all inputs of a step.
func (r *Replica) stepLeader() {
	r.advanceCommit()
	if r.role != Leader {
		return
	}
	if r.leaderState.roundDue || !r.now.Before(r.leaderState.nextHeartbeat) {
		r.startHeartbeatRound()
	}
	r.confirmReads()
	for _, m := range r.members() {
		p := r.leaderState.progress[m.ID]
		if p == nil {
			continue
		}
		r.sendAppends(m.ID, p)
		// Without this message, a follower that forwarded a proposal would learn of its commit only with the next
		// heartbeat or append.
		if commit := min(r.commit, p.match); commit > p.sentCommit && p.next > r.log.last().Index {
			p.sentCommit = commit
			r.send(m.ID, Message{Kind: MsgHeartbeat, Round: r.leaderState.round, Commit: commit})
		}
	}
}

func (r *Replica) startHeartbeatRound() {
	r.leaderState.roundDue = false
	r.leaderState.round++
	r.leaderState.nextHeartbeat = r.now.Add(r.cfg.HeartbeatInterval)
	for _, m := range r.members() {
		if p := r.leaderState.progress[m.ID]; p != nil {
			r.send(m.ID, Message{Kind: MsgHeartbeat, Round: r.leaderState.round, Commit: min(r.commit, p.match)})
		}
	}
}

// quorumValue returns the highest value that a quorum of the voters has reached.
func (r *Replica) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(r.members()))
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case m.ID == r.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, value(r.leaderState.progress[m.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum(r.members())]
}

// advanceCommit commits by counting replicas only for entries of the current term: an entry of an older term may still
// be replaced by another leader even if a quorum holds it.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(r.synced, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(index); !ok || t != r.state.Term || index <= r.commit {
		return
	}
	r.commitTo(index)
	if r.commit >= r.log.latestMembership().index && !r.isVoter(r.cfg.ID) {
		r.broadcastCommit()
		r.becomeFollower(r.state.Term, "") // a committed change removed this replica
	}
}

// broadcastCommit sends the commit index to the remaining members before a removed leader steps down.
func (r *Replica) broadcastCommit() {
	for id, p := range r.leaderState.progress {
		r.send(id, Message{Kind: MsgHeartbeat, Round: r.leaderState.round, Commit: min(r.commit, p.match)})
	}
}

func (r *Replica) confirmReads() {
	if len(r.leaderState.pendingReads) == 0 {
		return
	}
	quorumRound := r.quorumValue(r.leaderState.round, func(p *progress) uint64 { return p.ackedRound })
	remaining := r.leaderState.pendingReads[:0]
	for _, p := range r.leaderState.pendingReads {
		switch {
		case p.round > quorumRound:
			remaining = append(remaining, p)
		case p.from == "":
			r.out.Reads = append(r.out.Reads, ReadResult{ID: p.id, Index: p.index})
		default:
			r.send(p.from, Message{Kind: MsgReadReply, ReadID: p.id, Index: p.index})
		}
	}
	r.leaderState.pendingReads = remaining
}

// lastSendable returns the index of the last entry that may be sent. A lone voter sends only synced entries: if it lost
// an entry that promotes several learners, they could form a quorum without it while it commits alone.
func (r *Replica) lastSendable() uint64 {
	if hasLoneVoter(r.log.membersAt(r.synced)) {
		return r.synced
	}
	return r.log.last().Index
}

// sendAppends sends entries up to the limit of unacknowledged appends, and resends after a timeout.
func (r *Replica) sendAppends(id string, p *progress) {
	unacknowledged := len(p.inflight) > 0 || p.pendingSnapshot != nil
	if unacknowledged && r.now.Sub(p.lastAdvance) > r.resendTimeout(p) {
		r.resend(id, p)
		return
	}
	for p.pendingSnapshot == nil && len(p.inflight) < r.inflightLimit(p) && p.next <= r.lastSendable() {
		if !r.sendAppend(id, p) {
			return
		}
	}
}

func (r *Replica) resendTimeout(p *progress) time.Duration {
	return resendAfterHeartbeats * r.cfg.HeartbeatInterval << min(p.resends, maxResendDoublings)
}

func (r *Replica) inflightLimit(p *progress) int {
	if p.probing {
		return 1
	}
	return r.cfg.MaxInflight
}

func (r *Replica) sendAppend(id string, p *progress) bool {
	term, ok := r.log.term(p.next - 1)
	if !ok {
		meta := r.snapshot
		p.pendingSnapshot, p.snapshotOffset, p.inflight, p.lastAdvance = &meta, 0, nil, r.now
		r.sendPiece(id, p)
		return false
	}
	entries := r.log.slice(p.next, r.lastSendable(), r.cfg.MaxAppendBytes)
	r.send(id, Message{Kind: MsgAppend, Index: p.next - 1, LogTerm: term, Entries: entries,
		Commit: r.commit})
	if len(p.inflight) == 0 {
		p.lastAdvance = r.now
	}
	last := p.next + uint64(len(entries)) - 1
	p.inflight = append(p.inflight, last)
	if !p.probing {
		p.next = last + 1
	}
	return true
}

// sendPiece sends the next snapshot piece; it restarts with the newest snapshot if the pending one was removed.
func (r *Replica) sendPiece(id string, p *progress) {
	if p.pendingSnapshot.Index < r.log.base.Index {
		meta := r.snapshot
		p.pendingSnapshot, p.snapshotOffset = &meta, 0
	}
	r.send(id, Message{Kind: MsgSnapshot, Snapshot: p.pendingSnapshot, Offset: p.snapshotOffset})
}

// resend restarts from the last acknowledged position.
func (r *Replica) resend(id string, p *progress) {
	p.lastAdvance = r.now
	p.resends++
	if p.pendingSnapshot != nil {
		r.sendPiece(id, p)
		return
	}
	p.inflight = nil
	p.probing = true
	if p.match > 0 {
		p.next = p.match + 1
	}
	r.sendAppend(id, p)
}

func (r *Replica) handleFollowerMessage(m Message) {
	p := r.leaderState.progress[m.From]
	if p == nil {
		return
	}
	if !r.isReachable(p) {
		p.resends = 0 // what was sent meanwhile is lost
	}
	p.lastContact = r.now
	switch m.Kind {
	case MsgAppendReply:
		r.handleAppendReply(p, m)
	case MsgHeartbeatReply:
		p.ackedRound = max(p.ackedRound, m.Round)
	case MsgSnapshotReply:
		if p.pendingSnapshot != nil && m.Snapshot != nil && m.Snapshot.Index == p.pendingSnapshot.Index &&
			m.Offset != p.snapshotOffset {
			p.snapshotOffset, p.lastAdvance, p.resends = m.Offset, r.now, 0
			r.sendPiece(m.From, p)
		}
	case MsgRead:
		r.enqueueRead(pendingRead{id: m.ReadID, from: m.From})
	}
}

func (r *Replica) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		// A rejection of a position that is known to match, or that is not the last one probed, is outdated.
		if m.Index <= p.match || p.pendingSnapshot != nil || p.probing && m.Index != p.next-1 {
			return
		}
		p.probing, p.inflight = true, nil
		p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
		return
	}
	if m.Index > p.match {
		p.match, p.lastAdvance, p.resends = m.Index, r.now, 0
	}
	if p.pendingSnapshot != nil && m.Index >= p.pendingSnapshot.Index {
		p.pendingSnapshot, p.probing = nil, false
	}
	if p.probing && m.Index >= p.next-1 {
		p.probing, p.inflight = false, nil
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= m.Index })
	p.next = max(p.next, p.match+1)
}
