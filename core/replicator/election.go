package replicator

// campaign starts a pre-vote, or a vote once a quorum has promised one.
func (r *Replica) campaign(role Role) {
	r.role, r.leader, r.receiving = role, "", nil
	r.votes = map[string]bool{r.cfg.ID: true}
	r.resetElection()
	kind, term := MsgPreVote, r.state.Term+1
	if role == Candidate {
		r.state = HardState{Term: term, Vote: r.cfg.ID}
		kind = MsgVote
	}
	last := r.log.last()
	for _, m := range r.members() {
		if m.Voter && m.ID != r.cfg.ID {
			// Vote requests wait for the sync, because the own vote must be durable before it counts.
			r.out.SendAfterSync = append(r.out.SendAfterSync, Message{
				Kind: kind, From: r.cfg.ID, To: m.ID, Term: term, Index: last.Index, LogTerm: last.Term})
		}
	}
	r.checkVotes()
}

// vote answers a candidate. It does not ask whether the receiver is a voter in its own, perhaps old, membership:
// the candidate counts only the voters that it knows.
func (r *Replica) vote(m Message) {
	last := r.log.last()
	upToDate := m.LogTerm > last.Term || m.LogTerm == last.Term && m.Index >= last.Index
	if m.Kind == MsgPreVote {
		if upToDate && m.Term > r.state.Term && !r.hearsLeader() {
			r.reply(m, Message{Kind: MsgPreVoteReply, Term: m.Term})
			return
		}
		r.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
		return
	}
	if upToDate && (r.state.Vote == "" || r.state.Vote == m.From) {
		r.state.Vote = m.From
		r.resetElection()
		r.reply(m, Message{Kind: MsgVoteReply})
		return
	}
	r.reply(m, Message{Kind: MsgVoteReply, Reject: true})
}

func (r *Replica) countVote(m Message) {
	pre := m.Kind == MsgPreVoteReply && r.role == PreCandidate && (m.Reject || m.Term == r.state.Term+1)
	real := m.Kind == MsgVoteReply && r.role == Candidate && m.Term == r.state.Term
	if !m.Reject && (pre || real) {
		r.votes[m.From] = true
		r.checkVotes()
	}
}

func (r *Replica) checkVotes() {
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
