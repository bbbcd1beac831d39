package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against copies of a large entry that fill a slow link: an append was sent again every three heartbeat
// intervals while the first copy was still on its way, the heartbeats waited behind the copies, and one leader after
// the other lost its followers.
func TestUnacknowledgedAppendIsResentLessAndLessOften(t *testing.T) {
	const (
		duration  = 3 * time.Second
		interval  = 20 * time.Millisecond
		heartbeat = 120 * time.Millisecond
		maxCopies = 4 // at 0, 0.36, 1.08 and 2.52 s
	)
	now := time.Unix(1000, 0)
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	r := New(now, Config{ID: "a", Initial: PersistentState{Snapshot: SnapshotMeta{Members: members}},
		MinElectionTimeout: 600 * time.Millisecond, MaxElectionTimeout: 1200 * time.Millisecond, HeartbeatInterval: heartbeat,
		Random: rand.NewPCG(1, 2)})
	var proposedAt time.Time
	copies := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(interval) {
		if !proposedAt.IsZero() && now.Sub(proposedAt) >= duration {
			break
		}
		var inputs []Input
		if r.Role() == Leader && proposedAt.IsZero() {
			proposedAt = now
			inputs = append(inputs, Proposal{Data: make([]byte, 1<<20)})
		}
		for {
			out := r.Step(now, inputs...)
			for _, m := range out.Send {
				if n := len(m.Entries); m.To == "c" && n > 0 && len(m.Entries[n-1].Data) > 0 {
					copies++
				}
			}
			inputs = answer(&out, func(m Message) bool { return m.To == "c" && m.Kind == MsgAppend && !proposedAt.IsZero() })
			if len(inputs) == 0 {
				break
			}
		}
	}
	assert.Assert(t, !proposedAt.IsZero())
	assert.Assert(t, copies >= 2 && copies <= maxCopies, "%d copies", copies)
}

// answer returns the answers of the followers to an output of the leader and reports its entries as synced; messages
// that isLost selects are not answered.
func answer(out *Output, isLost func(Message) bool) (inputs []Input) {
	for _, m := range append(out.Send, out.SendAfterSync...) {
		reply := Message{From: m.To, To: m.From, Term: m.Term}
		switch {
		case isLost(m):
			continue
		case m.Kind == MsgPreVote:
			reply.Kind = MsgPreVoteReply
		case m.Kind == MsgVote:
			reply.Kind = MsgVoteReply
		case m.Kind == MsgAppend:
			reply.Kind, reply.Index = MsgAppendReply, m.Index+uint64(len(m.Entries))
		case m.Kind == MsgHeartbeat:
			reply.Kind, reply.Round = MsgHeartbeatReply, m.Round
		default:
			continue
		}
		inputs = append(inputs, reply)
	}
	if n := len(out.Entries); n > 0 {
		inputs = append(inputs, Synced{Index: out.Entries[n-1].Index, Term: out.Entries[n-1].Term})
	}
	return inputs
}
