package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/advancer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/core/chooser"
)

type metrics struct {
	requests       *prometheus.CounterVec   // outcome, status
	firstByte      *prometheus.HistogramVec // kind
	duration       *prometheus.HistogramVec // kind
	waitTime       prometheus.Histogram     // for the first plan or an endpoint
	eventGap       prometheus.Histogram     // between writes of a stream
	retries        *prometheus.CounterVec   // cause
	refusals       *prometheus.CounterVec   // reason
	limits         *prometheus.CounterVec   // bound
	suspects       prometheus.Counter
	unframed       prometheus.Counter
	resumedStreams *prometheus.CounterVec // outcome
}

// The outcomes of requests that resume a stream.
const (
	originKnown       = "known"
	originUnknown     = "unknown"
	originNotAnswered = "notAnswered"

	// originNotConfirmed means that the versions of endpoints may have changed unnoticed.
	originNotConfirmed = "notConfirmed"
	originMoved        = "moved"
)

// The values of the label direction.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// exchangeMetrics count the messages between nodes.
type exchangeMetrics struct {
	messages, bytes *prometheus.CounterVec // kind, direction
	kinds           map[uint8]string
}

func newExchangeMetrics(obs *observer.Observer) *exchangeMetrics {
	labels := []string{"kind", "direction"}
	m := &exchangeMetrics{kinds: exchanger.KindNames(),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_exchange_messages_total",
			Help: "Messages exchanged with other nodes by kind and direction."}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_exchange_bytes_total",
			Help: "Bytes of messages exchanged with other nodes by kind and direction."}, labels)}
	for _, kind := range m.kinds {
		for _, direction := range []string{directionSent, directionReceived} {
			m.messages.WithLabelValues(kind, direction)
			m.bytes.WithLabelValues(kind, direction)
		}
	}
	obs.Registry.MustRegister(m.messages, m.bytes)
	return m
}

func (m *exchangeMetrics) count(kind uint8, bytes int, isSent bool) {
	direction := directionReceived
	if isSent {
		direction = directionSent
	}
	name, ok := m.kinds[kind]
	if !ok {
		name = "unknown"
	}
	m.messages.WithLabelValues(name, direction).Inc()
	m.bytes.WithLabelValues(name, direction).Add(float64(bytes))
}

// latencyBuckets range from a local response to the longest stream, in seconds.
func latencyBuckets() []float64 {
	return []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8, 16}
}

// waitBuckets range over the waits that admission allows, in seconds.
func waitBuckets() []float64 { return []float64{.001, .005, .01, .02, .04, .1, .2, .4, .8, 1.6} }

func newMetrics(obs *observer.Observer, f *fleet, pool *forwarder.Pool, queue *observer.AsyncWriter) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_requests_total",
			Help: "Requests by outcome and HTTP status code."}, []string{"outcome", "status"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cactusroute_first_byte_seconds",
			Help: "Time from receipt of a request to the first byte of its response.", Buckets: latencyBuckets()},
			[]string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cactusroute_request_seconds",
			Help: "Time from receipt of a request to the end of its response.", Buckets: latencyBuckets()}, []string{"kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_repeats_total",
			Help: "Retries of requests by cause."}, []string{"cause"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_refusals_total",
			Help: "Requests refused by this node by reason."}, []string{"reason"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_endpoint_limits_total",
			Help: "Exchanges ended because an endpoint sent more than a bound allows, by bound."}, []string{"bound"}),
		suspects: prometheus.NewCounter(prometheus.CounterOpts{Name: "cactusroute_suspects_total",
			Help: "Requests whose endpoint ended the connection before the end of the response."}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_resumed_streams_total",
			Help: "Requests of callers that resume a stream by what is known of its origin."}, []string{"outcome"}),
		unframed: prometheus.NewCounter(prometheus.CounterOpts{Name: "cactusroute_unframed_responses_total",
			Help: "Responses of endpoints without a length or chunks, which end with their connection."}),
	}
	for _, bound := range append(forwarder.Bounds(), boundEventBytes, boundBufferedBytes) {
		m.limits.WithLabelValues(bound)
	}
	for _, outcome := range []string{originKnown, originUnknown, originNotAnswered, originMoved,
		originNotConfirmed} {
		m.resumedStreams.WithLabelValues(outcome)
	}
	m.waitTime = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cactusroute_wait_seconds",
		Help: "Time that a request waited for the first plan or an available endpoint.", Buckets: waitBuckets()})
	m.eventGap = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cactusroute_event_gap_seconds",
		Help: "Time between consecutive writes of a stream to its caller.", Buckets: latencyBuckets()})
	obs.Registry.MustRegister(m.requests, m.firstByte, m.duration, m.waitTime, m.eventGap, m.retries, m.refusals, m.limits,
		m.suspects, m.unframed, m.resumedStreams, newRoutingCollector(f.routing),
		&advancer.Collector{With: f.routing.withChooser})
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
		{"cactusroute_view_age_seconds", "Time since a control instance with a quorum confirmed this node's view.",
			func() float64 { return f.viewAge(time.Now()).Seconds() }},
		{"cactusroute_convicted_parts", "Prompt parts for which requests are refused.", func() float64 {
			return float64(f.evidence.convictions.Load())
		}},
		{"cactusroute_known_streams", "Streams of which this node knows the software version that began them.",
			func() float64 { return float64(f.streams.count()) }},
		{"cactusroute_routers", "Known nodes that route requests.", func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.maxRecentRouters())
		}},
	} {
		obs.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
	obs.Registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cactusroute_connections_dialed_total",
			Help: "Connections opened to endpoints."}, func() float64 { return float64(pool.DialCount()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cactusroute_log_lines_dropped_total",
			Help: "Log lines dropped by the rate limit or a full queue."}, func() float64 { return float64(queue.Dropped()) }))
	return m
}

// routingCollector reads the routing state when it is scraped, so that requests do not have to update metrics.
type routingCollector struct {
	routing *routingState

	load, reportedLoad, reportAge, coldSent, rateLimit, sent, quiet, leaving, retryBudget, scheduling *prometheus.Desc
}

func newRoutingCollector(r *routingState) *routingCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &routingCollector{routing: r,
		load: desc("cactusroute_endpoint_requests",
			"Requests of all routers in flight at an endpoint, as known to this node.", "service", "endpoint"),
		reportedLoad: desc("cactusroute_endpoint_reported_requests",
			"Running and waiting requests in the last load report of the endpoint.", "service", "endpoint"),
		reportAge: desc("cactusroute_endpoint_report_age_seconds", "Age of the last load report of the endpoint.",
			"service", "endpoint"),
		coldSent: desc("cactusroute_endpoint_cold_sent",
			"Requests that this node sent to a cold endpoint within the last second.", "service", "endpoint"),
		rateLimit: desc("cactusroute_endpoint_rate_limit",
			"Requests per second that the endpoint has said that it takes; absent without a limit.", "service", "endpoint"),
		sent: desc("cactusroute_endpoint_sent",
			"Requests that this node sent within the last two seconds to an endpoint with a rate limit.", "service", "endpoint"),
		quiet: desc("cactusroute_endpoint_quiet_seconds",
			"Time for which the endpoint wants no requests of this node; absent if it does not.", "service", "endpoint"),
		leaving: desc("cactusroute_endpoint_leaving",
			"1 for an endpoint that has told this node that it leaves; absent for others.", "service", "endpoint"),
		scheduling: desc("cactusroute_scheduling", "Figures of the decisions under load that are in force.",
			"decision", "figure", "subject"),
		retryBudget: desc("cactusroute_repeat_budget_left", "Retries that remain to this node in the current window.",
			"service"),
	}
}

// Describe implements prometheus.Collector.
func (c *routingCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.load, c.reportedLoad, c.reportAge, c.coldSent, c.rateLimit, c.sent,
		c.quiet, c.leaving, c.retryBudget, c.scheduling} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *routingCollector) Collect(ch chan<- prometheus.Metric) {
	now := time.Now()
	loads, budgets := c.routing.snapshot(now)
	for _, l := range loads {
		gauge := func(d *prometheus.Desc, v float64) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, l.Service, l.ID)
		}
		gauge(c.load, float64(l.Load))
		if l.ReportAge >= 0 {
			gauge(c.reportedLoad, float64(l.Reported))
			gauge(c.reportAge, l.ReportAge.Seconds())
		}
		if l.IsCold {
			gauge(c.coldSent, float64(l.ColdSent))
		}
		if l.RateLimit >= 0 {
			gauge(c.rateLimit, l.RateLimit)
			gauge(c.sent, float64(l.Sent))
		}
	}
	for _, s := range c.routing.statements(now) {
		if d := s.QuietUntil.Sub(now); d > 0 {
			ch <- prometheus.MustNewConstMetric(c.quiet, prometheus.GaugeValue, d.Seconds(), s.Service, s.ID)
		}
		if s.IsLeaving {
			ch <- prometheus.MustNewConstMetric(c.leaving, prometheus.GaugeValue, 1, s.Service, s.ID)
		}
	}
	var gauges []chooser.Gauge
	c.routing.withChooser(func(ch *chooser.Chooser) { gauges = ch.Gauges(now) })
	for _, g := range gauges {
		ch <- prometheus.MustNewConstMetric(c.scheduling, prometheus.GaugeValue, g.Value, g.Decision, g.Name, g.Subject)
	}
	for service, left := range budgets {
		ch <- prometheus.MustNewConstMetric(c.retryBudget, prometheus.GaugeValue, left, service)
	}
}
