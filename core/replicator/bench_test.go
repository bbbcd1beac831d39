package replicator

import (
	"math/rand/v2"
	"testing"
	"time"
)

// benchGroup steps three replicas with a disk and network without latency.
type benchGroup struct {
	now      time.Time
	replicas map[string]*Replica
	commits  int
}

func (g *benchGroup) step(id string, inputs ...Input) {
	out := g.replicas[id].Step(g.now, inputs...)
	if id == "a" {
		g.commits += len(out.Committed)
	}
	if n := len(out.Entries); n > 0 {
		g.step(id, Synced{Index: out.Entries[n-1].Index, Term: out.Entries[n-1].Term})
	}
	for _, m := range append(out.Send, out.SendAfterSync...) {
		g.step(m.To, m)
	}
}

// BenchmarkReplicate measures a commit of one 256-byte entry on all three replicas, alone and in a batch.
func BenchmarkReplicate(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(map[int]string{1: "single", 64: "batch64"}[size], func(b *testing.B) {
			g := &benchGroup{now: time.Unix(0, 0), replicas: map[string]*Replica{}}
			members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
			for i, m := range members {
				g.replicas[m.ID] = New(g.now, Config{ID: m.ID, Random: rand.NewPCG(1, uint64(i)),
					Initial: PersistentState{Snapshot: SnapshotMeta{Members: members}}})
			}
			g.now = g.now.Add(time.Second)
			g.step("a")
			inputs := make([]Input, size)
			data := make([]byte, 256)
			for i := range inputs {
				inputs[i] = Proposal{Data: data}
			}
			b.ReportAllocs()
			for i := 0; i < b.N; i += size {
				g.step("a", inputs...)
				if r := g.replicas["a"]; r.commit-r.snapshot.Index > 10000 {
					for _, r := range g.replicas {
						r.Step(g.now, SnapshotStored{Index: r.applied})
					}
				}
			}
			if g.commits < b.N {
				b.Fatalf("%d of %d entries committed", g.commits, b.N)
			}
		})
	}
}
