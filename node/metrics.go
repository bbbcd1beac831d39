package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/observer"
)

type metrics struct {
	requests   *prometheus.CounterVec   // outcome, reason
	firstEvent *prometheus.HistogramVec // kind
	duration   *prometheus.HistogramVec // kind
	repeats    *prometheus.CounterVec   // why
	refused    *prometheus.CounterVec   // reason
}

// latencyBuckets span a local answer to the longest stream, in seconds.
func latencyBuckets() []float64 {
	return []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8, 16}
}

func newMetrics(obs *observer.Observer, f *fleet, pool *forwarder.Pool, queue *observer.Queue) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_requests_total",
			Help: "Requests by outcome and status class."}, []string{"outcome", "status"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cactusroute_first_byte_seconds",
			Help: "Time from a request to the first byte of its answer.", Buckets: latencyBuckets()}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cactusroute_request_seconds",
			Help: "Time from a request to the end of its answer.", Buckets: latencyBuckets()}, []string{"kind"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_repeats_total",
			Help: "Further attempts of a request by cause."}, []string{"cause"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_refusals_total",
			Help: "Requests that this node answered itself, by reason."}, []string{"reason"}),
	}
	obs.Registry.MustRegister(m.requests, m.firstEvent, m.duration, m.repeats, m.refused)
	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"cactusroute_plan_version", "Version of the plan in force.", func() float64 {
			if p := f.view.Load().plan; p != nil {
				return float64(p.Version)
			}
			return 0
		}},
		{"cactusroute_state_index", "Index of the replicated state in force.", func() float64 {
			return float64(f.view.Load().index)
		}},
		{"cactusroute_routers", "Nodes that route requests, as far as known.", func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.routersNow())
		}},
		{"cactusroute_connections_dialed_total", "Connections opened to endpoints.", func() float64 {
			return float64(pool.Dialed())
		}},
		{"cactusroute_log_lines_dropped_total", "Log lines left out.", func() float64 {
			return float64(queue.Dropped())
		}},
	} {
		obs.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
	return m
}
