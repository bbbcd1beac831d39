package advancer

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

const (
	// interval is the time between two judgements of a running rollout.
	interval = 200 * time.Millisecond

	// commitTimeout bounds the commit of a phase, which is decided again if it fails.
	commitTimeout = time.Second
)

// Instance is the control instance that an Advancer belongs to.
type Instance interface {
	State() fleetapplier.State
	Outcomes() *exchanger.OutcomeTable
	Endpoints() []registrar.Endpoint
	Loads(to exchanger.Contact) exchanger.Loads
	// CommitStep commits a change and logs the result, unless this instance is not the leader.
	CommitStep(ctx context.Context, s rollouter.Step)
}

// Serve drives the rollouts of an instance until ctx ends. Instances that do not lead observe them, too, so that a new
// leader knows what has happened. routers returns the number of known nodes that route requests, also of those that
// were heard of some seconds ago only.
func Serve(ctx context.Context, instance Instance, routers func() int) error {
	driver := rollouter.NewDriver()
	for ctx.Err() == nil {
		list := instance.State().Rollouts
		if slices.ContainsFunc(list, func(r rollouter.Rollout) bool { return !r.Phase.HasEnded() }) {
			for _, s := range advance(driver, list, instance, routers()) {
				commit(ctx, instance, s)
			}
		}
		sleeper.Pause(ctx, interval)
	}
	return ctx.Err()
}

func advance(
	driver *rollouter.Driver, list []rollouter.Rollout, instance Instance, routers int,
) []rollouter.Step {
	o := instance.Outcomes().Sum(true)
	endpoints, loads := instance.Endpoints(), instance.Loads(exchanger.Contact{})
	return driver.Advance(time.Now(), list, o.Counts, func(r *rollouter.Rollout) rollouter.Facts {
		facts := rollouter.NewFacts(r, endpoints, func(id string) int { return loads[id].Requests })
		facts.AckedIndex, facts.IsComplete = o.Index, o.Routers >= routers
		return facts
	})
}

func commit(ctx context.Context, instance Instance, s rollouter.Step) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	instance.CommitStep(ctx, s)
}

// Collector collects what a router has sent to the versions of services with a rollout.
type Collector struct {
	// With calls a function with the chooser of the router.
	With func(f func(c *chooser.Chooser))
}

func requestsDesc() *prometheus.Desc {
	return prometheus.NewDesc("cactusroute_rollout_requests", "Requests of this node to a service since it knows of the "+
		"last rollout, without retries, and those to the target of it, with retries.", []string{"service", "to"}, nil)
}

func answersDesc() *prometheus.Desc {
	return prometheus.NewDesc("cactusroute_rollout_answers", "Answers that this node has counted in the last rollout of "+
		"a service, by version and by whether they failed.", []string{"service", "version", "outcome"}, nil)
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- requestsDesc()
	ch <- answersDesc()
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	requests, answers := requestsDesc(), answersDesc()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	var list []chooser.VersionSent
	c.With(func(ch *chooser.Chooser) { list = ch.VersionsSent() })
	for _, v := range list {
		gauge(requests, v.Requests, v.Service, "all")
		gauge(requests, v.ToTarget, v.Service, "target")
		for version, n := range v.Answers {
			gauge(answers, n-v.Failed[version], v.Service, version, "sound")
			gauge(answers, v.Failed[version], v.Service, version, "failed")
		}
	}
}
