package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

func sampleCount(b *testing.B, h prometheus.Histogram) float64 {
	var m dto.Metric
	if err := h.Write(&m); err != nil {
		b.Fatal(err)
	}
	return float64(m.GetHistogram().GetSampleCount())
}

// BenchmarkPropose commits entries of 256 bytes, proposed at the leader of three instances on loopback.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers%d", proposers), func(b *testing.B) {
			g := newTestGroup(b, 3, nil)
			g.propose("control-1", "warm")
			c := g.instances[g.leader()].Committer
			entry := make([]byte, 256)
			syncs := sampleCount(b, c.metrics.syncs)
			b.ResetTimer()
			var wg sync.WaitGroup
			for p := range proposers {
				wg.Go(func() {
					for i := p; i < b.N; i += proposers {
						if _, err := c.Propose(context.Background(), entry); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(b.N)/(sampleCount(b, c.metrics.syncs)-syncs), "proposals/sync")
		})
	}
}

// BenchmarkProposeThroughFollower measures one caller at a follower, to which two thirds of the routers connect.
func BenchmarkProposeThroughFollower(b *testing.B) {
	g := newTestGroup(b, 3, nil)
	g.propose("control-1", "warm")
	leader := g.leader()
	for name, m := range g.instances {
		if name == leader {
			continue
		}
		entry := make([]byte, 256)
		b.ResetTimer()
		for range b.N {
			if _, err := m.Propose(b.Context(), entry); err != nil {
				b.Fatal(err)
			}
		}
		return
	}
}
