package node

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/core/replicator"
)

// attemptTimeout bounds a command to one node before the next node is tried.
const attemptTimeout = 300 * time.Millisecond

// benchFleet is a fleet with disks on some nodes; commitNextPlan increments the plan version.
type benchFleet struct {
	*testFleet
	disks     int
	version   uint64
	durations []time.Duration
}

func newBenchFleet(b *testing.B, disks, routers int) *benchFleet {
	f := &benchFleet{testFleet: newTestFleet(b, disks, routers), disks: disks}
	for _, n := range f.nodes[:disks] {
		n.settings.MinVoters = 3
	}
	f.startAll()
	f.commitNextPlan()
	f.awaitPlan(f.version, f.nodes)
	f.awaitAllVoters()
	return f
}

// controlNodes returns the nodes with a disk.
func (f *benchFleet) controlNodes() []*testNode { return f.nodes[:f.disks] }

// commitNextPlan sends the next plan to the control nodes until one acknowledges it.
func (f *benchFleet) commitNextPlan() {
	f.t.Helper()
	f.version++
	eventually(f.t, "an acknowledgement", func() bool {
		for _, n := range f.controlNodes() {
			ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
			err := n.fleet.PutPlan(ctx, encodedTestPlan(f.t, f.version).Content)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// awaitAllVoters waits until all control nodes are quorate and list each other as voters.
func (f *benchFleet) awaitAllVoters() {
	f.t.Helper()
	for _, n := range f.controlNodes() {
		eventually(f.t, "all voters at "+n.settings.Place.Name, func() bool {
			c := n.fleet.control.replica.Load()
			if c == nil || !n.fleet.control.isQuorate() {
				return false
			}
			members := c.Status().Members
			return len(members) == f.disks && !slices.ContainsFunc(members, func(v committer.Member) bool { return !v.Voter })
		})
	}
}

func (f *benchFleet) leader() *testNode {
	f.t.Helper()
	var leader *testNode
	eventually(f.t, "a leader", func() bool {
		for _, n := range f.controlNodes() {
			if c := n.fleet.control.replica.Load(); c != nil && c.Status().Role == replicator.Leader.String() {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

func (f *benchFleet) restart(nodes ...*testNode) {
	for _, n := range nodes {
		f.start(n, f.seeds, false)
	}
}

func (f *benchFleet) measure(run func()) {
	start := time.Now()
	run()
	f.durations = append(f.durations, time.Since(start))
}

// report reports the median and the maximum duration in milliseconds.
func (f *benchFleet) report(b *testing.B) {
	slices.Sort(f.durations)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.durations[len(f.durations)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(f.durations[len(f.durations)-1].Milliseconds()), "max-ms")
}

// BenchmarkInForce measures the time from the acknowledgement of a plan until it is in force at all nodes.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ disks, routers int }{{3, 10}, {4, 8}, {6, 34}} {
		b.Run(fmt.Sprintf("disks%dNodes%d", size.disks, size.disks+size.routers), func(b *testing.B) {
			f := newBenchFleet(b, size.disks, size.routers)
			for b.Loop() {
				f.commitNextPlan()
				f.measure(func() {
					for _, n := range f.nodes {
						for p := n.fleet.view.Load().plan; p == nil || p.Version < f.version; p = n.fleet.view.Load().plan {
							time.Sleep(time.Millisecond)
						}
					}
				})
			}
			f.report(b)
		})
	}
}

// BenchmarkRecovery measures the time from a failure to the next acknowledgement or to full membership; if the quorum
// was lost, the time starts with the restart of the lost nodes.
func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{3, 4} {
		for _, loss := range []struct {
			name string
			run  func(b *testing.B, f *benchFleet)
		}{
			{"leader", func(_ *testing.B, f *benchFleet) {
				leader := f.leader()
				leader.stop()
				f.measure(f.commitNextPlan)
				f.restart(leader)
			}},
			{"leadersDisk", func(b *testing.B, f *benchFleet) {
				leader := f.leader()
				leader.stop()
				assert.NilError(b, os.RemoveAll(leader.settings.DataFolder))
				f.measure(func() {
					f.restart(leader)
					f.commitNextPlan()
				})
			}},
			{"replacement", func(b *testing.B, f *benchFleet) {
				n := f.nodes[0]
				n.stop()
				assert.NilError(b, os.RemoveAll(n.settings.DataFolder))
				f.measure(func() {
					f.restart(n)
					f.awaitAllVoters()
				})
				f.commitNextPlan()
			}},
			{"half", func(_ *testing.B, f *benchFleet) {
				lost := f.nodes[:(f.disks+1)/2]
				for _, n := range lost {
					n.stop()
				}
				time.Sleep(time.Second)
				f.measure(func() {
					f.restart(lost...)
					f.commitNextPlan()
				})
			}},
			{"all", func(_ *testing.B, f *benchFleet) {
				for _, n := range f.nodes {
					n.stop()
				}
				f.measure(func() {
					f.restart(f.nodes...)
					f.commitNextPlan()
				})
			}},
		} {
			b.Run(fmt.Sprintf("%s/disks%d", loss.name, size), func(b *testing.B) {
				f := newBenchFleet(b, size, 4)
				for b.Loop() {
					loss.run(b, f)
					b.StopTimer()
					f.awaitAllVoters()
					f.awaitPlan(f.version, f.nodes)
					b.StartTimer()
				}
				f.report(b)
			})
		}
	}
}
