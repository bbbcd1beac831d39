package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	proposalSeconds  prometheus.Histogram
	proposalFailures prometheus.Counter
	refusals         *prometheus.CounterVec
}

func newMetrics(c *Control) *metrics {
	m := &metrics{
		proposalSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cactusroute_control_proposal_seconds", Help: "Time from a proposal to its applied result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		proposalFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cactusroute_control_proposal_failures_total", Help: "Proposals that no quorum confirmed before the timeout.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cactusroute_control_refusals_total", Help: "Commands refused by the state machine.",
		}, []string{"code"}),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cactusroute_control_" + name, Help: help}, value)
	}
	bytes := func(direction string, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cactusroute_control_listener_bytes_total", Help: "Bytes on accepted connections, at the socket.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, value)
	}
	c.obs.Registry.MustRegister(m.proposalSeconds, m.proposalFailures, m.refusals,
		bytes("in", func() float64 { return float64(c.counter.In.Load()) }),
		bytes("out", func() float64 { return float64(c.counter.Out.Load()) }),
		gauge("claims", "Claims in the state.", func() float64 { n, _, _ := c.state.gauges(); return float64(n) }),
		gauge("view_index", "Index of the last view change.", func() float64 {
			_, n, _ := c.state.gauges()
			return float64(n)
		}),
		gauge("bundle_version", "Bundle version in force.", func() float64 {
			return float64(c.state.View().BundleVersion)
		}),
		gauge("state_clock_seconds", "Clock of the state, in Unix seconds.", func() float64 {
			_, _, t := c.state.gauges()
			return float64(t.Unix())
		}),
		gauge("leader", "1 if this instance leads.", func() float64 {
			if c.committer.Status().IsLeader {
				return 1
			}
			return 0
		}),
		gauge("laggards", "Processes that do not have the bundle version in force.", func() float64 {
			return float64(len(c.rolloutStatus().Laggards))
		}),
	)
	return m
}
