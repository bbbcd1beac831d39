package observer

import (
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cactusroute.dev/adapters/recorder"
)

// Observer bundles the logger, the metrics and the timeline of one process.
type Observer struct {
	Logger   log.Logger
	Registry *prometheus.Registry
	// Recorder stores the timeline; it is also the messenger.Clock of the process.
	Recorder *recorder.Recorder
}

// New returns an observer that writes logfmt lines to w.
func New(w io.Writer, process string) *Observer {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC, "process", process)
	o := &Observer{
		Logger: l, Registry: prometheus.NewRegistry(), Recorder: recorder.New(process, recorder.DefaultCapacity),
	}
	started := time.Now()
	o.Registry.MustRegister(
		collectors.NewGoCollector(),
		newBuildInfo(process, o.Recorder.Incarnation()),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cactusroute_uptime_seconds", Help: "Time since the start of the process.",
		}, func() float64 { return time.Since(started).Seconds() }),
	)
	return o
}

func newBuildInfo(process, incarnation string) prometheus.Collector {
	version, revision, goVersion := "unknown", "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cactusroute_build_info", Help: "Build of the process and its incarnation, which changes at each start.",
	}, []string{"process", "incarnation", "version", "revision", "goVersion"})
	g.WithLabelValues(process, incarnation, version, revision, goVersion).Set(1)
	return g
}

// Event logs a state change and records it in the timeline with msg as its kind. The values of request, endpoint,
// failureDomain, version, and cause or err are stored in fields of recorder.Event, other pairs as details. It is too
// expensive to be called for every request.
func (o *Observer) Event(msg string, keyvals ...any) {
	_ = o.Logger.Log(append([]any{"msg", msg}, keyvals...)...)
	o.Recorder.Record(recorder.NewEvent(msg, keyvals))
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (o *Observer) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{})
}

// TimelineHandler serves the timeline, for recorder.Path.
func (o *Observer) TimelineHandler() http.Handler { return o.Recorder }
