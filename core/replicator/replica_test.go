package replicator

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simReplica is a replica with a simulated disk; only its disk and snapshots survive a crash.
type simReplica struct {
	replica         *Replica
	disk            PersistentState
	stateHash       uint64 // hash chain of the applied entries
	applied         uint64
	snapshots       map[uint64]uint64 // index to the hash chain value there
	partialSnapshot []byte
	down            bool
	clockStoppedAt  time.Time         // zero while the clock runs
	minReadIndex    map[uint64]uint64 // read ID to the highest committed index of the group when the read began
}

// cluster runs replicas over a simulated network, with a simulated clock and disks.
type cluster struct {
	t              *rapid.T
	now            time.Time
	replicas       map[string]*simReplica
	ids            []string
	network        []Message
	isolated       map[string]bool
	committedHash  map[uint64]uint64 // committed index to the hash chain value there
	maxCommitted   uint64
	leaderByTerm   map[uint64]string
	seq            uint64
	initialMembers []Member
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{t: t, now: time.Unix(0, 0), replicas: map[string]*simReplica{}, isolated: map[string]bool{},
		committedHash: map[uint64]uint64{}, leaderByTerm: map[uint64]string{}}
	for i := range size {
		c.initialMembers = append(c.initialMembers, Member{ID: fmt.Sprintf("r%d", i), Voter: true})
	}
	for _, m := range c.initialMembers {
		c.addReplica(m.ID)
	}
	return c
}

func (c *cluster) addReplica(id string) {
	n := &simReplica{disk: PersistentState{Snapshot: SnapshotMeta{Members: c.initialMembers}},
		snapshots: map[uint64]uint64{0: 0}}
	c.replicas[id] = n
	c.ids = append(c.ids, id)
	c.start(id)
}

func (c *cluster) start(id string) {
	n := c.replicas[id]
	c.seq++
	n.disk.Entries = slices.Clone(n.disk.Entries)
	cfg := Config{ID: id, Random: rand.NewPCG(c.seq, uint64(len(id))), Initial: n.disk, MaxAppendBytes: 200,
		MaxInflight: 3, MaxPromotionLag: 4}
	if c.seq%2 == 0 {
		cfg.MaxInitialElectionTimeout = defaultMinElectionTimeout
	}
	n.replica = New(c.now, cfg)
	n.stateHash = n.snapshots[n.disk.Snapshot.Index]
	n.applied = n.disk.Snapshot.Index
	n.clockStoppedAt = time.Time{}
	n.partialSnapshot, n.down, n.minReadIndex = nil, false, map[uint64]uint64{}
}

// step steps a replica and checks that it leads its term alone. Without synced, the replica restarts before the sync.
func (c *cluster) step(id string, synced bool, inputs ...Input) {
	n := c.replicas[id]
	if n.down {
		return
	}
	now := c.now
	if !n.clockStoppedAt.IsZero() {
		now = n.clockStoppedAt
	}
	out := n.replica.Step(now, inputs...)
	c.send(n, out.Send)
	if !synced {
		c.start(id)
		return
	}
	c.persist(n, out)
	c.send(n, out.SendAfterSync)
	c.apply(n, out)
	if n.replica.role == Leader {
		if other, ok := c.leaderByTerm[n.replica.state.Term]; ok && other != id {
			c.t.Fatalf("term %d has two leaders: %s and %s", n.replica.state.Term, other, id)
		}
		c.leaderByTerm[n.replica.state.Term] = id
	}
	if len(out.Entries) > 0 {
		last := out.Entries[len(out.Entries)-1]
		c.step(id, true, Synced{Index: last.Index, Term: last.Term})
	}
}

func (c *cluster) send(n *simReplica, messages []Message) {
	for _, m := range messages {
		if m.Kind == MsgSnapshot {
			data := binary.BigEndian.AppendUint64(nil, n.snapshots[m.Snapshot.Index])
			end := min(len(data), int(m.Offset)+3)
			m.Data, m.Last = data[m.Offset:end], end == len(data)
		}
		if !c.isolated[m.From] && !c.isolated[m.To] {
			c.network = append(c.network, m)
		}
	}
}

func (c *cluster) persist(n *simReplica, out Output) {
	if out.State != nil {
		n.disk.State = *out.State
	}
	for _, p := range out.Pieces {
		n.partialSnapshot = append(n.partialSnapshot[:p.Offset], p.Data...)
		if p.Last {
			n.snapshots[p.Meta.Index] = binary.BigEndian.Uint64(n.partialSnapshot)
		}
	}
	if m := out.Install; m != nil {
		n.disk.Snapshot, n.disk.Base, n.disk.Entries = *m, Position{m.Index, m.Term}, nil
		n.stateHash, n.applied = n.snapshots[m.Index], m.Index
		c.checkCommitted(m.Index, n.stateHash)
	}
	for _, e := range out.Entries {
		n.disk.Entries = append(n.disk.Entries[:e.Index-n.disk.Base.Index-1], e)
	}
}

func (c *cluster) apply(n *simReplica, out Output) {
	for _, e := range out.Committed {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, n.stateHash, e.Index, e.Term, e.Tag, e.Members)
		n.stateHash = h.Sum64()
		if n.applied++; n.applied != e.Index {
			c.t.Fatalf("%s applied entry %d, want entry %d", n.replica.cfg.ID, e.Index, n.applied)
		}
		c.checkCommitted(e.Index, n.stateHash)
	}
	for _, r := range out.Reads {
		if want, ok := n.minReadIndex[r.ID]; ok && r.Index < want {
			c.t.Fatalf("read at %s returned index %d, want at least the committed index %d", n.replica.cfg.ID, r.Index, want)
		}
	}
}

// checkCommitted checks that all replicas have applied the same entries up to a committed index.
func (c *cluster) checkCommitted(index, state uint64) {
	if other, ok := c.committedHash[index]; ok && other != state {
		c.t.Fatalf("replicas have different entries at or before committed index %d", index)
	}
	c.committedHash[index] = state
	c.maxCommitted = max(c.maxCommitted, index)
}

// leader returns the running leader with the highest term, nil if there is none.
func (c *cluster) leader() *simReplica {
	var leader *simReplica
	for _, id := range c.ids {
		n := c.replicas[id]
		if !n.down && n.replica.role == Leader && (leader == nil || n.replica.state.Term > leader.replica.state.Term) {
			leader = n
		}
	}
	return leader
}

func (c *cluster) tag() Tag {
	c.seq++
	return Tag{Seq: c.seq}
}

// runFor delivers all messages in order for a simulated time; stopped and isolated replicas stay so.
func (c *cluster) runFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.deliverAll()
		c.tick(10 * time.Millisecond)
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, id := range c.ids {
		c.step(id, true)
	}
}

func (c *cluster) deliverAll() {
	batch := c.network
	c.network = nil
	for _, m := range batch {
		if c.replicas[m.To] != nil {
			c.step(m.To, true, m)
		}
	}
}

func (c *cluster) drawID(label string) string { return rapid.SampledFrom(c.ids).Draw(c.t, label) }

// replaceVoter replaces a voter by an empty replica with a new ID if the other voters with a disk form a quorum.
func (c *cluster) replaceVoter() {
	c.runFor(3 * time.Second)
	old, l := c.drawID("wiped"), c.leader()
	if l == nil || old == l.replica.cfg.ID || !l.replica.isVoter(old) ||
		l.replica.countVotersWithDisk(c) <= quorum(l.replica.members()) {
		return
	}
	delete(c.replicas, old)
	c.ids = slices.DeleteFunc(c.ids, func(id string) bool { return id == old })
	id := c.addEmptyReplica()
	changes := []Change{{Kind: ChangeAddLearner, Member: Member{ID: id}},
		{Kind: ChangeRemove, Member: Member{ID: old}}, {Kind: ChangePromote, Member: Member{ID: id}}}
	// A group of configured members removes the old replica first, a self-managed group promotes the new one first.
	if rapid.Bool().Draw(c.t, "promoteFirst") {
		changes[1], changes[2] = changes[2], changes[1]
	}
	for _, ch := range changes {
		c.proposeChange(ch)
		c.runFor(2 * time.Second)
	}
	if l = c.leader(); l == nil || !l.replica.isVoter(id) || l.replica.isVoter(old) {
		c.t.Fatalf("voter %s was not replaced by %s", old, id)
	}
}

// countVotersWithDisk counts the voters that have not lost their disk.
func (r *Replica) countVotersWithDisk(c *cluster) (n int) {
	for _, m := range r.members() {
		if m.Voter && c.replicas[m.ID] != nil {
			n++
		}
	}
	return n
}

func (c *cluster) addEmptyReplica() string {
	c.seq++
	id := fmt.Sprintf("n%d", c.seq)
	c.addReplica(id)
	return id
}

// promoteLearners proposes the promotion of all learners in one change if the group has a lone voter.
func (c *cluster) promoteLearners() {
	l := c.leader()
	if l == nil || !hasLoneVoter(l.replica.members()) {
		return
	}
	ch := Change{Kind: ChangePromote}
	for _, m := range l.replica.members() {
		switch {
		case m.Voter:
		case ch.Member.ID == "":
			ch.Member = m
		default:
			ch.With = append(ch.With, m.ID)
		}
	}
	if len(ch.With) > 0 {
		c.proposeChange(ch)
	}
}

// proposeChange proposes a change at every replica, so that a deposed leader receives it too.
func (c *cluster) proposeChange(ch Change) {
	ch.Tag = c.tag()
	for _, id := range c.ids {
		c.step(id, true, ch)
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	deliver := func(synced, duplicate bool) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(c.network) == 0 {
				return
			}
			i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
			m := c.network[i]
			if !duplicate {
				c.network = slices.Delete(c.network, i, i+1)
			}
			if c.replicas[m.To] != nil && !c.isolated[m.To] {
				c.step(m.To, synced, m)
			}
		}
	}
	tick := func(t *rapid.T) { c.tick(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond) }
	inOrder := func(*rapid.T) { c.deliverAll() }
	return map[string]func(*rapid.T){
		"tick": tick, "tickMore": tick, "inOrder": inOrder, "inOrderMore": inOrder,
		"deliver": deliver(true, false), "duplicate": deliver(true, true), "crashBeforeSync": deliver(false, false),
		"lose":    func(*rapid.T) { c.network = nil },
		"crash":   func(*rapid.T) { c.replicas[c.drawID("crashed")].down = true },
		"restart": func(*rapid.T) { c.start(c.drawID("restarted")) },
		"change": func(t *rapid.T) {
			kind := rapid.SampledFrom([]ChangeKind{ChangeAddLearner, ChangePromote, ChangeRemove}).Draw(t, "kind")
			id := c.drawID("member")
			if kind == ChangeAddLearner && len(c.ids) < 7 {
				id = c.addEmptyReplica()
			}
			c.proposeChange(Change{Kind: kind, Member: Member{ID: id}})
		},
		"form": func(*rapid.T) { c.promoteLearners() },
		"depose": func(*rapid.T) {
			if l := c.leader(); l != nil {
				c.isolated[l.replica.cfg.ID], l.clockStoppedAt = true, c.now
				c.runFor(time.Second)
			}
		},
		"cut":  func(*rapid.T) { c.isolated[c.drawID("cut")] = true },
		"heal": func(*rapid.T) { clear(c.isolated) },
		"propose": func(t *rapid.T) {
			c.step(c.drawID("proposer"), rapid.Bool().Draw(t, "saved"), Proposal{Tag: c.tag(), Data: make([]byte, 50)})
		},
		"read": func(*rapid.T) {
			id := c.drawID("reader")
			c.seq++
			c.replicas[id].minReadIndex[c.seq] = c.maxCommitted
			c.step(id, true, Read{ID: c.seq})
		},
		"snapshot": func(*rapid.T) {
			n := c.replicas[c.drawID("snapshot")]
			index := n.replica.applied
			if meta, ok := n.replica.SnapshotMetaAt(index); ok && !n.down && index > n.disk.Snapshot.Index {
				n.snapshots[index] = n.stateHash
				n.disk.Snapshot = meta
				c.step(n.replica.cfg.ID, true, SnapshotStored{Index: index})
				base := n.replica.log.base
				n.disk.Entries, n.disk.Base = slices.Clone(n.disk.Entries[base.Index-n.disk.Base.Index:]), base
			}
		},
		"wipe": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				c.healAll()
				c.replaceVoter()
			}
		},
	}
}

func (c *cluster) healAll() {
	clear(c.isolated)
	for _, id := range c.ids {
		c.replicas[id].clockStoppedAt = time.Time{}
		if c.replicas[id].down {
			c.start(id)
		}
	}
}

// Guards against lost or different committed entries, two leaders in a term, stale reads, and a group that elects no
// leader, under crashes, partitions, message reordering and duplication, and replaced disks.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size"))
		if rapid.Bool().Draw(t, "warm") {
			c.runFor(time.Second)
		}
		t.Repeat(c.actions())
		c.healAll()
		c.runFor(4 * time.Second)
		l := c.leader()
		if l == nil {
			for _, id := range c.ids {
				t.Logf("%s %+v", id, c.replicas[id].replica.Status())
			}
			t.Fatal("no leader after 4 s in which all replicas were reachable")
		}
		c.step(l.replica.cfg.ID, true, Proposal{Tag: c.tag()})
		c.runFor(2 * time.Second)
		for _, m := range l.replica.members() {
			if n := c.replicas[m.ID]; n != nil && n.replica.applied != l.replica.log.last().Index {
				t.Fatalf("%s applied %d of %d entries", m.ID, n.replica.applied, l.replica.log.last().Index)
			}
		}
	})
}

// newLoneVoterCluster returns a cluster of one voter, which leads, and caught-up learners.
func newLoneVoterCluster(t *rapid.T, learners int) *cluster {
	c := newCluster(t, 1)
	c.runFor(time.Second)
	for range learners {
		c.proposeChange(Change{Kind: ChangeAddLearner, Member: Member{ID: c.addEmptyReplica()}})
		c.runFor(time.Second)
	}
	return c
}

// Guards against a split brain: a lone voter that crashes before it has synced the promotion of its learners continues
// alone, while the learners have received the promotion and form a quorum.
func TestLoneVoterSyncsPromotionBeforeSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLoneVoterCluster(t, rapid.IntRange(2, 4).Draw(t, "learners"))
		loneVoter := c.leader().replica.cfg.ID
		ch := Change{Kind: ChangePromote, Member: Member{ID: c.ids[1]}, With: c.ids[2:], Tag: c.tag()}
		c.step(loneVoter, rapid.Bool().Draw(t, "stored"), ch)
		c.deliverAll()
		c.isolated[loneVoter] = rapid.Bool().Draw(t, "cut")
		for range 3 {
			c.runFor(2 * time.Second)
			for _, id := range c.ids {
				c.step(id, true, Proposal{Tag: c.tag()})
			}
		}
		c.healAll()
		c.runFor(4 * time.Second)
	})
}

// Guards against a group without a quorum, or a second group, when the first voter loses its disk right after it has
// promoted its learners. One entry promotes them all, because a group of two voters would not survive the loss.
func TestGroupFormsAfterFirstVoterLosesItsDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLoneVoterCluster(t, 2)
		loneVoter := c.leader().replica.cfg.ID
		c.promoteLearners()
		if rapid.Bool().Draw(t, "one only") {
			c.network = c.network[:1]
		}
		c.deliverAll()
		delete(c.replicas, loneVoter)
		c.ids = c.ids[1:]
		c.runFor(3 * time.Second)
		if l := c.leader(); l == nil || countVoters(l.replica.members()) != 3 {
			t.Fatal("the learners did not form a group of 3 voters")
		}
	})
}
