package replicator

import (
	"slices"
	"time"
)

// resendAfter is a multiple of the heartbeat: an append or snapshot piece without an answer for so long is lost.
const resendAfter = 3

// leading is the state of a leader.
type leading struct {
	progress  map[string]*progress
	round     uint64 // the last heartbeat round that was started
	beatAt    time.Time
	wantRound bool
	reads     []pendingRead
	barrier   uint64    // index of the first entry of the own term
	since     time.Time // start of the term
}

// progress is what the leader knows of one follower.
type progress struct {
	match    uint64
	next     uint64
	probing  bool // one append at a time until the matching position is found
	inflight []uint64
	moved    time.Time // last acknowledgement that advanced, or last resend
	heard    time.Time
	round    uint64
	snapshot *SnapshotMeta // being sent
	offset   uint64
	told     uint64 // commit index that the follower has been told on its own
}

type pendingRead struct {
	id    uint64
	from  string // empty for the leader itself
	index uint64
	round uint64
}

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.cfg.ID, nil
	r.lead = leading{progress: map[string]*progress{}, since: r.now, barrier: r.log.last().Index + 1, wantRound: true}
	r.store(Entry{Index: r.lead.barrier, Term: r.state.Term, Kind: EntryNoOp})
	r.trackMembers()
}

// trackMembers keeps one progress for each other member.
func (r *Replica) trackMembers() {
	known := r.lead.progress
	r.lead.progress = map[string]*progress{}
	for _, m := range r.members() {
		if m.ID == r.cfg.ID {
			continue
		}
		p := known[m.ID]
		if p == nil {
			// The last entry is not sent yet: it probes for the matching position without waiting for a proposal.
			p = &progress{next: r.log.last().Index, probing: true, heard: r.now, moved: r.now}
		}
		r.lead.progress[m.ID] = p
	}
}

func (r *Replica) propose(p Proposal) {
	switch {
	case r.role != Leader:
		r.refuse(p.Tag, RefusedNotLeader)
	case r.log.last().Index-r.commit >= uint64(r.cfg.MaxUncommitted):
		r.refuse(p.Tag, RefusedTooManyUncommitted)
	default:
		r.store(Entry{Index: r.log.last().Index + 1, Term: r.state.Term, Kind: EntryCommand, Tag: p.Tag, Data: p.Data})
	}
}

func (r *Replica) refuse(tag Tag, reason RefusalReason) {
	r.out.Refused = append(r.out.Refused, RefusedProposal{Tag: tag, Reason: reason})
}

// read starts a round at the leader; a follower asks the leader. A read without a leader gets no result.
func (r *Replica) read(in Read) {
	switch {
	case r.role == Leader:
		r.addRead(pendingRead{id: in.ID})
	case r.leader != "":
		r.send(r.leader, Message{Kind: MsgRead, ReadID: in.ID})
	}
}

// addRead refuses silently until an entry of this term is committed: before that the commit index of the
// leader may be older than what an earlier leader has acknowledged.
func (r *Replica) addRead(p pendingRead) {
	if r.commit < r.lead.barrier {
		return
	}
	p.index, p.round = r.commit, r.lead.round+1
	r.lead.reads = append(r.lead.reads, p)
	r.lead.wantRound = true
}

// change appends one membership change. The next one waits until it is committed, so that any two successive
// memberships have overlapping quorums.
func (r *Replica) change(c Change) {
	reason := r.checkChange(c)
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
	if reason := r.checkReachable(c, members); reason != "" {
		r.refuse(c.Tag, reason)
		return
	}
	r.store(e)
	r.trackMembers()
}

func (r *Replica) checkChange(c Change) RefusalReason {
	i := slices.IndexFunc(r.members(), func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case r.role != Leader:
		return RefusedNotLeader
	case r.commit < r.lead.barrier:
		return RefusedNoCommitInTerm
	case r.log.latest().index > r.commit:
		return RefusedChangeInProgress
	case c.Kind == ChangeAddLearner && i >= 0:
		return RefusedNoChange
	case c.Kind != ChangeAddLearner && i < 0:
		return RefusedUnknownMember
	case c.Kind == ChangePromote && r.members()[i].Voter:
		return RefusedNoChange
	case c.Kind == ChangePromote && !r.isCaughtUp(c.Member.ID):
		return RefusedNotCaughtUp
	case len(c.With) > 0 && (c.Kind != ChangePromote || !isLone(r.members())):
		return RefusedNotSoleVoter
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

// isLone reports whether the members have a single voter.
func isLone(members []Member) bool { return countVoters(members) == 1 }

// IsCaughtUp reports at the leader whether a learner could be promoted now.
func (r *Replica) IsCaughtUp(id string) bool { return r.role == Leader && r.isCaughtUp(id) }

func (r *Replica) isCaughtUp(id string) bool {
	p := r.lead.progress[id]
	return p != nil && p.match+r.cfg.MaxPromotionLag >= r.log.last().Index && p.match >= r.lead.barrier && r.isHeard(p)
}

// checkReachable refuses a change of voters after which the members heard now would be no quorum.
func (r *Replica) checkReachable(c Change, members []Member) RefusalReason {
	if c.Kind == ChangeAddLearner {
		return ""
	}
	reachable := 0
	for _, m := range members {
		if m.Voter && (m.ID == r.cfg.ID || r.lead.progress[m.ID] != nil && r.isHeard(r.lead.progress[m.ID])) {
			reachable++
		}
	}
	if reachable < quorum(members) {
		return RefusedQuorumLoss
	}
	return ""
}

func (r *Replica) isHeard(p *progress) bool { return r.now.Sub(p.heard) <= r.cfg.ElectionTimeoutMax }

// checkQuorum makes a leader step down that has not heard a quorum for the longest election timeout.
func (r *Replica) checkQuorum() {
	heard := 0
	for _, m := range r.members() {
		if m.Voter && (m.ID == r.cfg.ID || r.isHeard(r.lead.progress[m.ID])) {
			heard++
		}
	}
	if heard < quorum(r.members()) {
		r.follow(r.state.Term, "")
	}
}

// finishLeading advances the commit index and sends what is due, once for all inputs of a step.
func (r *Replica) finishLeading() {
	r.advanceCommit()
	if r.role != Leader {
		return
	}
	if r.lead.wantRound || !r.now.Before(r.lead.beatAt) {
		r.startRound()
	}
	r.confirmReads()
	for _, m := range r.members() {
		p := r.lead.progress[m.ID]
		if p == nil {
			continue
		}
		r.sendAppends(m.ID, p)
		// A follower that forwarded a proposal waits for its commit; without this it learns of it with the next
		// heartbeat unless further entries follow.
		if known := min(r.commit, p.match); known > p.told && p.next > r.log.last().Index {
			p.told = known
			r.send(m.ID, Message{Kind: MsgHeartbeat, Round: r.lead.round, Commit: known})
		}
	}
}

func (r *Replica) startRound() {
	r.lead.wantRound = false
	r.lead.round++
	r.lead.beatAt = r.now.Add(r.cfg.HeartbeatInterval)
	for _, m := range r.members() {
		if p := r.lead.progress[m.ID]; p != nil {
			r.send(m.ID, Message{Kind: MsgHeartbeat, Round: r.lead.round, Commit: min(r.commit, p.match)})
		}
	}
}

// quorumOf returns the highest value that a quorum of the voters has reached.
func (r *Replica) quorumOf(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(r.members()))
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case m.ID == r.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, of(r.lead.progress[m.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum(r.members())]
}

// advanceCommit counts replicas only for entries of the own term: an older entry on a quorum may still be
// replaced by another leader.
func (r *Replica) advanceCommit() {
	index := r.quorumOf(r.synced, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(index); !ok || t != r.state.Term || index <= r.commit {
		return
	}
	r.commitTo(index)
	if r.commit >= r.log.latest().index && !r.isVoter(r.cfg.ID) {
		r.announceCommit()
		r.follow(r.state.Term, "") // removed by a committed change
	}
}

// announceCommit lets the remaining members learn of the commit before a removed leader stops.
func (r *Replica) announceCommit() {
	for id, p := range r.lead.progress {
		r.send(id, Message{Kind: MsgHeartbeat, Round: r.lead.round, Commit: min(r.commit, p.match)})
	}
}

func (r *Replica) confirmReads() {
	if len(r.lead.reads) == 0 {
		return
	}
	round := r.quorumOf(r.lead.round, func(p *progress) uint64 { return p.round })
	rest := r.lead.reads[:0]
	for _, p := range r.lead.reads {
		switch {
		case p.round > round:
			rest = append(rest, p)
		case p.from == "":
			r.out.Reads = append(r.out.Reads, ReadResult{ID: p.id, Index: p.index})
		default:
			r.send(p.from, Message{Kind: MsgReadReply, ReadID: p.id, Index: p.index})
		}
	}
	r.lead.reads = rest
}

// sendable returns the last entry that may be sent. A lone voter sends only what it has synced: the entry by which it
// promotes several others would else form a quorum without it while it has lost that entry and goes on alone.
func (r *Replica) sendable() uint64 {
	if isLone(r.log.at(r.synced)) {
		return r.synced
	}
	return r.log.last().Index
}

// sendAppends sends entries as far as the window of the follower allows.
func (r *Replica) sendAppends(id string, p *progress) {
	waits := len(p.inflight) > 0 || p.snapshot != nil
	if waits && r.now.Sub(p.moved) > resendAfter*r.cfg.HeartbeatInterval {
		r.resend(id, p)
		return
	}
	for p.snapshot == nil && len(p.inflight) < r.window(p) && p.next <= r.sendable() {
		if !r.sendAppend(id, p) {
			return
		}
	}
}

func (r *Replica) window(p *progress) int {
	if p.probing {
		return 1
	}
	return r.cfg.MaxInflight
}

func (r *Replica) sendAppend(id string, p *progress) bool {
	term, ok := r.log.term(p.next - 1)
	if !ok {
		meta := r.snapshot
		p.snapshot, p.offset, p.inflight, p.moved = &meta, 0, nil, r.now
		r.sendPiece(id, p)
		return false
	}
	entries := r.log.slice(p.next, r.sendable(), r.cfg.MaxAppendBytes)
	r.send(id, Message{Kind: MsgAppend, Index: p.next - 1, LogTerm: term, Entries: entries,
		Commit: r.commit})
	if len(p.inflight) == 0 {
		p.moved = r.now
	}
	last := p.next + uint64(len(entries)) - 1
	p.inflight = append(p.inflight, last)
	if !p.probing {
		p.next = last + 1
	}
	return true
}

// sendPiece starts again with the newest snapshot when the one being sent is no longer kept.
func (r *Replica) sendPiece(id string, p *progress) {
	if p.snapshot.Index < r.log.base.Index {
		meta := r.snapshot
		p.snapshot, p.offset = &meta, 0
	}
	r.send(id, Message{Kind: MsgSnapshot, Snapshot: p.snapshot, Offset: p.offset})
}

// resend starts again from the last acknowledged position.
func (r *Replica) resend(id string, p *progress) {
	p.moved = r.now
	if p.snapshot != nil {
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

func (r *Replica) handleAsLeader(m Message) {
	p := r.lead.progress[m.From]
	if p == nil {
		return
	}
	p.heard = r.now
	switch m.Kind {
	case MsgAppendReply:
		r.acknowledged(p, m)
	case MsgHeartbeatReply:
		p.round = max(p.round, m.Round)
	case MsgSnapshotReply:
		if p.snapshot != nil && m.Snapshot != nil && m.Snapshot.Index == p.snapshot.Index &&
			m.Offset != p.offset {
			p.offset, p.moved = m.Offset, r.now
			r.sendPiece(m.From, p)
		}
	case MsgRead:
		r.addRead(pendingRead{id: m.ReadID, from: m.From})
	}
}

func (r *Replica) acknowledged(p *progress, m Message) {
	if m.Reject {
		// A rejection of a position that is known to match, or that was not asked last, is late.
		if m.Index <= p.match || p.snapshot != nil || p.probing && m.Index != p.next-1 {
			return
		}
		p.probing, p.inflight = true, nil
		p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
		return
	}
	if m.Index > p.match {
		p.match, p.moved = m.Index, r.now
	}
	if p.snapshot != nil && m.Index >= p.snapshot.Index {
		p.snapshot, p.probing = nil, false
	}
	if p.probing && m.Index >= p.next-1 {
		p.probing, p.inflight = false, nil
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= m.Index })
	p.next = max(p.next, p.match+1)
}
