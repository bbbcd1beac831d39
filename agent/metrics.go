package agent

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics; label values come from fixed sets.
type metrics struct {
	inFlight, queued, limit, cold prometheus.Gauge
	admitted, crashes             prometheus.Counter
	promptTokens, cachedTokens    prometheus.Counter
	commands, commandErrors       prometheus.Counter
	controlRetries                prometheus.Counter
	exported, exportedBytes       prometheus.Counter
	refused, ended                *prometheus.CounterVec
	firstToken                    prometheus.Histogram
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cactusroute", Subsystem: "agent", Name: name, Help: help})
		reg.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "cactusroute", Subsystem: "agent", Name: name, Help: help,
		})
		reg.MustRegister(c)
		return c
	}
	counterVec := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "cactusroute", Subsystem: "agent", Name: name, Help: help,
		}, []string{label})
		reg.MustRegister(c)
		return c
	}
	m := &metrics{
		inFlight:       gauge("in_flight", "Requests at the endpoint."),
		queued:         gauge("queued", "Requests that wait for admission."),
		limit:          gauge("limit", "Concurrency limit of the endpoint."),
		cold:           gauge("cold", "1 while the endpoint is cold."),
		admitted:       counter("admitted_total", "Requests forwarded to the endpoint."),
		crashes:        counter("endpoint_crashes_total", "Crashes of the endpoint."),
		promptTokens:   counter("prompt_tokens_total", "Prompt tokens reported by the engine."),
		cachedTokens:   counter("cached_tokens_total", "Prompt tokens found in the engine's cache."),
		commands:       counter("commands_total", "Commands that the engine accepted."),
		commandErrors:  counter("command_errors_total", "Commands that failed or were refused."),
		controlRetries: counter("control_retries_total", "Retried calls to control."),
		exportedBytes:  counter("exported_bytes_total", "Size of the cache of exported chats."),
		exported:       counter("exported_chats_total", "Chats exported while the endpoint leaves."),
		refused:        counterVec("refused_total", "Requests refused before forwarding.", "reason"),
		ended:          counterVec("ended_total", "Forwarded requests by outcome.", "outcome"),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "cactusroute", Subsystem: "agent", Name: "first_token_seconds",
			Help: "Time from forwarding to the first byte.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	reg.MustRegister(m.firstToken)
	return m
}
