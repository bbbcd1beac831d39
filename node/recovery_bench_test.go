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

// tryFor is how long one node is given for an order before the next one is asked.
const attemptTimeout = 300 * time.Millisecond

// measured is a fleet with a disk on some nodes, whose plan versions rise.
type benchFleet struct {
	*testFleet
	disks     int
	version   uint64
	durations []time.Duration
}

func newBenchFleet(b *testing.B, disks, others int) *benchFleet {
	m := &benchFleet{testFleet: newTestFleet(b, disks, others), disks: disks}
	for _, n := range m.nodes[:disks] {
		n.settings.MinVoters = 3
	}
	m.startAll()
	m.commitNextPlan()
	m.awaitPlan(m.version, m.nodes)
	m.awaitAllVoters()
	return m
}

// hubs returns the nodes with a disk.
func (m *benchFleet) controlNodes() []*testNode { return m.nodes[:m.disks] }

// acknowledge sends the next plan until a node acknowledges it.
func (m *benchFleet) commitNextPlan() {
	m.t.Helper()
	m.version++
	eventually(m.t, "an acknowledgement", func() bool {
		for _, n := range m.controlNodes() {
			ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
			err := n.fleet.PutPlan(ctx, document(m.t, m.version).Content)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// wholeGroup waits until all nodes with a disk vote and know it.
func (m *benchFleet) awaitAllVoters() {
	m.t.Helper()
	for _, n := range m.controlNodes() {
		eventually(m.t, "the whole group at "+n.settings.Place.Name, func() bool {
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
	began := time.Now()
	f()
	m.durations = append(m.durations, time.Since(began))
}

// report gives the median and the longest time in milliseconds.
func (m *benchFleet) report(b *testing.B) {
	slices.Sort(m.durations)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(m.durations[len(m.durations)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(m.durations[len(m.durations)-1].Milliseconds()), "max-ms")
}

// BenchmarkInForce gives the time from the acknowledgement of a plan until it is in force at the last node.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ disks, others int }{{3, 10}, {4, 8}, {6, 34}} {
		b.Run(fmt.Sprintf("disks%dNodes%d", size.disks, size.disks+size.others), func(b *testing.B) {
			m := newBenchFleet(b, size.disks, size.others)
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

// BenchmarkRecovery gives the time from a loss, or from the start of what was lost with a majority, to the next
// acknowledgement.
func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{3, 4} {
		for _, loss := range []struct {
			name string
			run  func(b *testing.B, m *benchFleet)
		}{
			{"leader", func(_ *testing.B, m *benchFleet) {
				l := m.leader()
				l.stop()
				m.measure(m.commitNextPlan)
				m.restart(l)
			}},
			{"leadersDisk", func(b *testing.B, m *benchFleet) {
				l := m.leader()
				l.stop()
				assert.NilError(b, os.RemoveAll(l.settings.DataFolder))
				m.measure(func() {
					m.restart(l)
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
