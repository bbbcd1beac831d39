package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/relayer"
)

// metrics are the metrics of a router; every label has a bounded set of values.
type metrics struct {
	requests        *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	budgetExhausted prometheus.Counter
	firstToken      prometheus.Histogram
}

func newMetrics(reg prometheus.Registerer, rt *Router) *metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "cactusroute", Subsystem: "router", Name: name, Help: help}
	}
	m := &metrics{
		requests: prometheus.NewCounterVec(opts("requests_total", "Requests from callers by kind and outcome."),
			[]string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(opts("attempts_total", "Attempts sent to agents by result."),
			[]string{"result"}),
		refusals: prometheus.NewCounterVec(opts("refusals_total", "Refusals by agents by reason."), []string{"reason"}),
		retries: prometheus.NewCounterVec(
			opts("retries_total", "Retries and resumptions after an attempt that may have run."), []string{"action"}),
		budgetExhausted: prometheus.NewCounter(
			opts("budget_exhausted_total", "Retries not made because the retry budget was exhausted.")),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "cactusroute", Subsystem: "router", Name: "first_token_seconds",
			Help:    "Time from the request to the first byte of its response.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}),
	}
	sentOpts := opts("control_bytes_total", "Bytes exchanged with control, counted at the socket.")
	sentOpts.ConstLabels = prometheus.Labels{"direction": "sent"}
	receivedOpts := opts("control_bytes_total", sentOpts.Help)
	receivedOpts.ConstLabels = prometheus.Labels{"direction": "received"}
	reg.MustRegister(m.requests, m.attempts, m.refusals, m.retries, m.budgetExhausted, m.firstToken,
		prometheus.NewCounterFunc(sentOpts, func() float64 { _, n := rt.control.ControlBytes(); return float64(n) }),
		prometheus.NewCounterFunc(receivedOpts, func() float64 { n, _ := rt.control.ControlBytes(); return float64(n) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "cactusroute", Subsystem: "router", Name: "requests_in_flight", Help: "Requests in flight.",
		}, func() float64 { return float64(rt.admission.requestsInFlight()) }))
	return m
}

var knownReasons = map[relayer.Reason]bool{
	relayer.ReasonStaleView: true, relayer.ReasonOutOfService: true, relayer.ReasonLeaving: true,
	relayer.ReasonOverLoadBound: true, relayer.ReasonColdLimit: true, relayer.ReasonQueueTime: true,
	relayer.ReasonDeadline: true, relayer.ReasonPoison: true, relayer.ReasonSuspect: true,
	relayer.ReasonNotCached: true, relayer.ReasonOtherIncarnation: true, relayer.ReasonDuplicate: true,
	relayer.ReasonWrongPool: true,
}

// countRefusal counts a refusal; all unknown reasons of newer agents have the label value other.
func (m *metrics) countRefusal(r relayer.Reason) {
	if !knownReasons[r] {
		r = "other"
	}
	m.refusals.WithLabelValues(string(r)).Inc()
}
