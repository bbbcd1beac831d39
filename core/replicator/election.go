package replicator

// campaign requests pre-votes as PreCandidate, or votes as Candidate after a quorum has granted the pre-votes.
func (r *Replica) campaign(role Role) {
	r.role, r.leader, r.incoming = role, "", nil
	r.votes = map[string]bool{r.cfg.ID: true}
	r.resetElectionTimer()
	kind, term := MsgPreVote, r.state.Term+1
	if role == Candidate {
		r.state = HardState{Term: term, Vote: r.cfg.ID}
		kind = MsgVote
	}
	last := r.log.last()
	for _, m := range r.members() {
		if m.Voter && m.ID != r.cfg.ID {
			// Vote requests are sent after the sync, because the own vote must be durable before it counts.
			r.out.SendAfterSync = append(r.out.SendAfterSync, Message{
				Kind: kind, From: r.cfg.ID, To: m.ID, Term: term, Index: last.Index, LogTerm: last.Term})
		}
	}
	r.tallyVotes()
}

// handleVoteRequest grants or rejects a vote. It does not check that this replica is a voter, because its membership
// may be stale; the candidate counts only the voters of its own membership.
func (r *Replica) handleVoteRequest(m Message) {
	last := r.log.last()
	upToDate := m.LogTerm > last.Term || m.LogTerm == last.Term && m.Index >= last.Index
	if m.Kind == MsgPreVote {
		if upToDate && m.Term > r.state.Term && !r.hasLiveLeader() {
			r.reply(m, Message{Kind: MsgPreVoteReply, Term: m.Term})
			return
		}
		r.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
		return
	}
	if upToDate && (r.state.Vote == "" || r.state.Vote == m.From) {
		r.state.Vote = m.From
		r.resetElectionTimer()
		r.reply(m, Message{Kind: MsgVoteReply})
		return
	}
	r.reply(m, Message{Kind: MsgVoteReply, Reject: true})
}

func (r *Replica) handleVoteReply(m Message) {
	preVote := m.Kind == MsgPreVoteReply && r.role == PreCandidate && (m.Reject || m.Term == r.state.Term+1)
	vote := m.Kind == MsgVoteReply && r.role == Candidate && m.Term == r.state.Term
	if !m.Reject && (preVote || vote) {
		r.votes[m.From] = true
		r.tallyVotes()
	}
}

func (r *Replica) tallyVotes() {
	granted := 0
	for _, m := range r.members() {
		if m.Voter && r.votes[m.ID] {
			granted++
		}
	}
	if granted < quorum(r.members()) {
		return
	}
	if r.role == PreCandidate {
		r.campaign(Candidate)
		return
	}
	r.becomeLeader()
}
