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

// node is one replica with its simulated disk; only what was stored survives a crash.
type node struct {
	replica *Replica
	disk    PersistentState
	state   uint64 // hash chain of the applied entries
	applied uint64
	snaps   map[uint64]uint64
	partial []byte
	down    bool
	stalled time.Time         // when its clock stopped, zero while it runs
	read    map[uint64]uint64 // read ID to the highest index committed anywhere when it began
}

// cluster runs real replicas over a network that the test controls.
type cluster struct {
	t       *rapid.T
	now     time.Time
	nodes   map[string]*node
	ids     []string
	net     []Message
	cut     map[string]bool
	ledger  map[uint64]uint64 // committed index to the hash chain value there
	top     uint64
	leaders map[uint64]string
	seq     uint64
	formed  []Member
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{t: t, now: time.Unix(0, 0), nodes: map[string]*node{}, cut: map[string]bool{},
		ledger: map[uint64]uint64{}, leaders: map[uint64]string{}}
	for i := range size {
		c.formed = append(c.formed, Member{ID: fmt.Sprintf("r%d", i), Voter: true})
	}
	for _, m := range c.formed {
		c.add(m.ID)
	}
	return c
}

func (c *cluster) add(id string) {
	n := &node{disk: PersistentState{Snapshot: SnapshotMeta{Members: c.formed}}, snaps: map[uint64]uint64{0: 0}}
	c.nodes[id] = n
	c.ids = append(c.ids, id)
	c.start(id)
}

func (c *cluster) start(id string) {
	n := c.nodes[id]
	c.seq++
	n.disk.Entries = slices.Clone(n.disk.Entries)
	cfg := Config{ID: id, Random: rand.NewPCG(c.seq, uint64(len(id))), Initial: n.disk, MaxAppendBytes: 200,
		MaxInflight: 3, MaxPromotionLag: 4}
	if c.seq%2 == 0 {
		cfg.InitialElectionTimeoutMax = defaultShortElection
	}
	n.replica = New(c.now, cfg)
	n.state = n.snaps[n.disk.Snapshot.Index]
	n.applied = n.disk.Snapshot.Index
	n.stalled = time.Time{}
	n.partial, n.down, n.read = nil, false, map[uint64]uint64{}
}

func (c *cluster) step(id string, saved bool, inputs ...Input) {
	n := c.nodes[id]
	if n.down {
		return
	}
	now := c.now
	if !n.stalled.IsZero() {
		now = n.stalled
	}
	out := n.replica.Step(now, inputs...)
	c.send(n, out.Send)
	if !saved {
		c.start(id)
		return
	}
	c.save(n, out)
	c.send(n, out.SendAfterSync)
	c.apply(n, out)
	if n.replica.role == Leader {
		if other, ok := c.leaders[n.replica.state.Term]; ok && other != id {
			c.t.Fatalf("two leaders in term %d: %s and %s", n.replica.state.Term, other, id)
		}
		c.leaders[n.replica.state.Term] = id
	}
	if len(out.Entries) > 0 {
		last := out.Entries[len(out.Entries)-1]
		c.step(id, true, Synced{Index: last.Index, Term: last.Term})
	}
}

func (c *cluster) send(n *node, messages []Message) {
	for _, m := range messages {
		if m.Kind == MsgSnapshot {
			data := binary.BigEndian.AppendUint64(nil, n.snaps[m.Snapshot.Index])
			end := min(len(data), int(m.Offset)+3)
			m.Data, m.Last = data[m.Offset:end], end == len(data)
		}
		if !c.cut[m.From] && !c.cut[m.To] {
			c.net = append(c.net, m)
		}
	}
}

func (c *cluster) save(n *node, out Output) {
	if out.State != nil {
		n.disk.State = *out.State
	}
	for _, p := range out.Pieces {
		n.partial = append(n.partial[:p.Offset], p.Data...)
		if p.Last {
			n.snaps[p.Meta.Index] = binary.BigEndian.Uint64(n.partial)
		}
	}
	if m := out.Install; m != nil {
		n.disk.Snapshot, n.disk.Base, n.disk.Entries = *m, Position{m.Index, m.Term}, nil
		n.state, n.applied = n.snaps[m.Index], m.Index
		c.agree(m.Index, n.state)
	}
	for _, e := range out.Entries {
		n.disk.Entries = append(n.disk.Entries[:e.Index-n.disk.Base.Index-1], e)
	}
}

func (c *cluster) apply(n *node, out Output) {
	for _, e := range out.Committed {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, n.state, e.Index, e.Term, e.Tag, e.Members)
		n.state = h.Sum64()
		if n.applied++; n.applied != e.Index {
			c.t.Fatalf("%s applies index %d as %d", n.replica.cfg.ID, e.Index, n.applied)
		}
		c.agree(e.Index, n.state)
	}
	for _, r := range out.Reads {
		if want, ok := n.read[r.ID]; ok && r.Index < want {
			c.t.Fatalf("read at %s confirmed index %d, but %d was committed before it", n.replica.cfg.ID, r.Index, want)
		}
	}
}

// agree checks that every replica has the same history up to each committed index.
func (c *cluster) agree(index, state uint64) {
	if other, ok := c.ledger[index]; ok && other != state {
		c.t.Fatalf("replicas differ at committed index %d", index)
	}
	c.ledger[index] = state
	c.top = max(c.top, index)
}

func (c *cluster) leader() *node {
	var best *node
	for _, id := range c.ids {
		n := c.nodes[id]
		if !n.down && n.replica.role == Leader && (best == nil || n.replica.state.Term > best.replica.state.Term) {
			best = n
		}
	}
	return best
}

func (c *cluster) tag() Tag {
	c.seq++
	return Tag{Seq: c.seq}
}

// settle delivers everything in order for a time; what is down or cut stays so.
func (c *cluster) settle(d time.Duration) {
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
	batch := c.net
	c.net = nil
	for _, m := range batch {
		if c.nodes[m.To] != nil {
			c.step(m.To, true, m)
		}
	}
}

func (c *cluster) anyID(label string) string { return rapid.SampledFrom(c.ids).Draw(c.t, label) }

// wipe replaces a voter by an empty replica with a new identity while a majority keeps its disks.
func (c *cluster) wipe() {
	c.settle(3 * time.Second)
	old, l := c.anyID("wiped"), c.leader()
	if l == nil || old == l.replica.cfg.ID || !l.replica.isVoter(old) ||
		l.replica.voters(c) <= quorum(l.replica.members()) {
		return
	}
	delete(c.nodes, old)
	c.ids = slices.DeleteFunc(c.ids, func(id string) bool { return id == old })
	id := c.addNew()
	changes := []Change{{Kind: ChangeAddLearner, Member: Member{ID: id}},
		{Kind: ChangeRemove, Member: Member{ID: old}}, {Kind: ChangePromote, Member: Member{ID: id}}}
	// A fixed group removes the old identity first, an open one promotes the new one first.
	if rapid.Bool().Draw(c.t, "promoteFirst") {
		changes[1], changes[2] = changes[2], changes[1]
	}
	for _, ch := range changes {
		c.change(ch)
		c.settle(2 * time.Second)
	}
	if l = c.leader(); l == nil || !l.replica.isVoter(id) || l.replica.isVoter(old) {
		c.t.Fatalf("replacement of %s by %s was not completed", old, id)
	}
}

// voters counts the voters whose disks exist.
func (r *Replica) voters(c *cluster) (n int) {
	for _, m := range r.members() {
		if m.Voter && c.nodes[m.ID] != nil {
			n++
		}
	}
	return n
}

func (c *cluster) addNew() string {
	c.seq++
	id := fmt.Sprintf("n%d", c.seq)
	c.add(id)
	return id
}

// form makes a lone voter promote all its learners in one change.
func (c *cluster) form() {
	l := c.leader()
	if l == nil || !isLone(l.replica.members()) {
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
		c.change(ch)
	}
}

// change asks every replica, so that a deposed leader is asked too.
func (c *cluster) change(ch Change) {
	ch.Tag = c.tag()
	for _, id := range c.ids {
		c.step(id, true, ch)
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	deliver := func(saved, keep bool) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(c.net) == 0 {
				return
			}
			i := rapid.IntRange(0, len(c.net)-1).Draw(t, "message")
			m := c.net[i]
			if !keep {
				c.net = slices.Delete(c.net, i, i+1)
			}
			if c.nodes[m.To] != nil && !c.cut[m.To] {
				c.step(m.To, saved, m)
			}
		}
	}
	tick := func(t *rapid.T) { c.tick(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond) }
	inOrder := func(*rapid.T) { c.deliverAll() }
	return map[string]func(*rapid.T){
		"tick": tick, "tickMore": tick, "inOrder": inOrder, "inOrderMore": inOrder,
		"deliver": deliver(true, false), "duplicate": deliver(true, true), "crashBeforeSync": deliver(false, false),
		"lose":    func(*rapid.T) { c.net = nil },
		"crash":   func(*rapid.T) { c.nodes[c.anyID("crashed")].down = true },
		"restart": func(*rapid.T) { c.start(c.anyID("restarted")) },
		"change": func(t *rapid.T) {
			kind := rapid.SampledFrom([]ChangeKind{ChangeAddLearner, ChangePromote, ChangeRemove}).Draw(t, "kind")
			id := c.anyID("member")
			if kind == ChangeAddLearner && len(c.ids) < 7 {
				id = c.addNew()
			}
			c.change(Change{Kind: kind, Member: Member{ID: id}})
		},
		"form": func(*rapid.T) { c.form() },
		"depose": func(*rapid.T) {
			if l := c.leader(); l != nil {
				c.cut[l.replica.cfg.ID], l.stalled = true, c.now
				c.settle(time.Second)
			}
		},
		"cut":  func(*rapid.T) { c.cut[c.anyID("cut")] = true },
		"heal": func(*rapid.T) { clear(c.cut) },
		"propose": func(t *rapid.T) {
			c.step(c.anyID("proposer"), rapid.Bool().Draw(t, "saved"), Proposal{Tag: c.tag(), Data: make([]byte, 50)})
		},
		"read": func(*rapid.T) {
			id := c.anyID("reader")
			c.seq++
			c.nodes[id].read[c.seq] = c.top
			c.step(id, true, Read{ID: c.seq})
		},
		"snapshot": func(*rapid.T) {
			n := c.nodes[c.anyID("snapshot")]
			index := n.replica.applied
			if meta, ok := n.replica.SnapshotMetaAt(index); ok && !n.down && index > n.disk.Snapshot.Index {
				n.snaps[index] = n.state
				n.disk.Snapshot = meta
				c.step(n.replica.cfg.ID, true, SnapshotStored{Index: index})
				base := n.replica.log.base
				n.disk.Entries, n.disk.Base = slices.Clone(n.disk.Entries[base.Index-n.disk.Base.Index:]), base
			}
		},
		"wipe": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				c.healAll()
				c.wipe()
			}
		},
	}
}

func (c *cluster) healAll() {
	clear(c.cut)
	for _, id := range c.ids {
		c.nodes[id].stalled = time.Time{}
		if c.nodes[id].down {
			c.start(id)
		}
	}
}

// Guards against lost or differing committed entries, two leaders in a term, stale reads, and a group that stays
// without a leader, under crashes, partitions, reordering, duplication and replaced disks.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size"))
		if rapid.Bool().Draw(t, "warm") {
			c.settle(time.Second)
		}
		t.Repeat(c.actions())
		c.healAll()
		c.settle(4 * time.Second)
		l := c.leader()
		if l == nil {
			for _, id := range c.ids {
				t.Logf("%s %+v", id, c.nodes[id].replica.Status())
			}
			t.Fatal("no leader after all replicas were reachable for 4 s")
		}
		c.step(l.replica.cfg.ID, true, Proposal{Tag: c.tag()})
		c.settle(2 * time.Second)
		for _, m := range l.replica.members() {
			if n := c.nodes[m.ID]; n != nil && n.replica.applied != l.replica.log.last().Index {
				t.Fatalf("%s applied %d of %d", m.ID, n.replica.applied, l.replica.log.last().Index)
			}
		}
	})
}

// newLone returns a lone voter that leads, with learners that have caught up.
func newLone(t *rapid.T, learners int) *cluster {
	c := newCluster(t, 1)
	c.settle(time.Second)
	for range learners {
		c.change(Change{Kind: ChangeAddLearner, Member: Member{ID: c.addNew()}})
		c.settle(time.Second)
	}
	return c
}

// Guards against two groups that commit apart: a lone voter that loses power before it has stored the promotion of the
// others goes on alone, while they have received the promotion and are a quorum of it.
func TestPromotionByALoneVoterIsSentOnlyOnceStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLone(t, rapid.IntRange(2, 4).Draw(t, "learners"))
		lone := c.leader().replica.cfg.ID
		ch := Change{Kind: ChangePromote, Member: Member{ID: c.ids[1]}, With: c.ids[2:], Tag: c.tag()}
		c.step(lone, rapid.Bool().Draw(t, "stored"), ch)
		c.deliverAll()
		c.cut[lone] = rapid.Bool().Draw(t, "cut")
		for range 3 {
			c.settle(2 * time.Second)
			for _, id := range c.ids {
				c.step(id, true, Proposal{Tag: c.tag()})
			}
		}
		c.healAll()
		c.settle(4 * time.Second)
	})
}

// Guards against a group that never forms, or forms twice, when the first voter loses its disk right after it has
// promoted the others: at no time are there two voters.
func TestGroupSurvivesTheLossOfItsFirstDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLone(t, 2)
		lone := c.leader().replica.cfg.ID
		c.form()
		if rapid.Bool().Draw(t, "one only") {
			c.net = c.net[:1]
		}
		c.deliverAll()
		delete(c.nodes, lone)
		c.ids = c.ids[1:]
		c.settle(3 * time.Second)
		if l := c.leader(); l == nil || countVoters(l.replica.members()) != 3 {
			t.Fatal("the others form no group")
		}
	})
}
