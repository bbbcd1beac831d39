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
	m := &benchFleet{testFleet: newTestFleet(b, disks, routers), disks: disks}
	for _, n := range m.nodes[:disks] {
		n.settings.MinVoters = 3
	}
	m.startAll()
	m.commitNextPlan()
	m.awaitPlan(m.version, m.nodes)
	m.awaitAllVoters()
	return m
}

// controlNodes returns the nodes with a disk.
func (m *benchFleet) controlNodes() []*testNode { return m.nodes[:m.disks] }

// commitNextPlan sends the next plan to the control nodes until one acknowledges it.
func (m *benchFleet) commitNextPlan() {
	m.t.Helper()
	m.version++
	eventually(m.t, "an acknowledgement", func() bool {
		for _, n := range m.controlNodes() {
			ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
			err := n.fleet.PutPlan(ctx, encodedTestPlan(m.t, m.version).Content)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// awaitAllVoters waits until all control nodes are quorate and list each other as voters.
func (m *benchFleet) awaitAllVoters() {
	m.t.Helper()
	for _, n := range m.controlNodes() {
		eventually(m.t, "all voters at "+n.settings.Place.Name, func() bool {
			c := n.fleet.control.replica.Load()
			if c == nil || !n.fleet.control.isQuorate() {
				return false
			}
			members := c.Status().Members
			return len(members) == m.disks && !slices.ContainsFunc(members, func(v committer.Member) bool { return !v.Voter })
		})
	}
}

func (m *benchFleet) leader() *testNode {
	m.t.Helper()
	var leader *testNode
	eventually(m.t, "a leader", func() bool {
		for _, n := range m.controlNodes() {
			if c := n.fleet.control.replica.Load(); c != nil && c.Status().Role == replicator.Leader.String() {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

func (m *benchFleet) restart(nodes ...*testNode) {
	for _, n := range nodes {
		m.start(n, m.seeds, false)
	}
}

func (m *benchFleet) measure(f func()) {
	start := time.Now()
	f()
	m.durations = append(m.durations, time.Since(start))
}

// report reports the median and the maximum duration in milliseconds.
func (m *benchFleet) report(b *testing.B) {
	slices.Sort(m.durations)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(m.durations[len(m.durations)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(m.durations[len(m.durations)-1].Milliseconds()), "max-ms")
}

// BenchmarkInForce measures the time from the acknowledgement of a plan until it is in force at all nodes.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ disks, routers int }{{3, 10}, {4, 8}, {6, 34}} {
		b.Run(fmt.Sprintf("disks%dNodes%d", size.disks, size.disks+size.routers), func(b *testing.B) {
			m := newBenchFleet(b, size.disks, size.routers)
			for b.Loop() {
				m.commitNextPlan()
				m.measure(func() {
					for _, n := range m.nodes {
						for p := n.fleet.view.Load().plan; p == nil || p.Version < m.version; p = n.fleet.view.Load().plan {
							time.Sleep(time.Millisecond)
						}
					}
				})
			}
			m.report(b)
		})
	}
}

// BenchmarkRecovery measures the time from a failure to the next acknowledgement or to full membership; if the quorum
// was lost, the time starts with the restart of the lost nodes.
func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{3, 4} {
		for _, loss := range []struct {
			name string
			run  func(b *testing.B, m *benchFleet)
		}{
			{"leader", func(_ *testing.B, m *benchFleet) {
				leader := m.leader()
				leader.stop()
				m.measure(m.commitNextPlan)
				m.restart(leader)
			}},
			{"leadersDisk", func(b *testing.B, m *benchFleet) {
				leader := m.leader()
				leader.stop()
				assert.NilError(b, os.RemoveAll(leader.settings.DataFolder))
				m.measure(func() {
					m.restart(leader)
					m.commitNextPlan()
				})
			}},
			{"replacement", func(b *testing.B, m *benchFleet) {
				n := m.nodes[0]
				n.stop()
				assert.NilError(b, os.RemoveAll(n.settings.DataFolder))
				m.measure(func() {
					m.restart(n)
					m.awaitAllVoters()
				})
				m.commitNextPlan()
			}},
			{"half", func(_ *testing.B, m *benchFleet) {
				lost := m.nodes[:(m.disks+1)/2]
				for _, n := range lost {
					n.stop()
				}
				time.Sleep(time.Second)
				m.measure(func() {
					m.restart(lost...)
					m.commitNextPlan()
				})
			}},
			{"all", func(_ *testing.B, m *benchFleet) {
				for _, n := range m.nodes {
					n.stop()
				}
				m.measure(func() {
					m.restart(m.nodes...)
					m.commitNextPlan()
				})
			}},
		} {
			b.Run(fmt.Sprintf("%s/disks%d", loss.name, size), func(b *testing.B) {
				m := newBenchFleet(b, size, 4)
				for b.Loop() {
					loss.run(b, m)
					b.StopTimer()
					m.awaitAllVoters()
					m.awaitPlan(m.version, m.nodes)
					b.StartTimer()
				}
				m.report(b)
			})
		}
	}
}
