package measurer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cactusroute.dev/loader/caller"
	"cactusroute.dev/loader/reporter"
)

const maxControlBytesPerSecond = 4000 // of one router or agent

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// firstTokenTimes returns the times to first token of the complete responses of a kind in a phase.
func (r *run) firstTokenTimes(p phase, k sampleKind, filter func(*requestSample) bool) (list []time.Duration) {
	for i := range r.workload.samples {
		s := &r.workload.samples[i]
		if s.kind == k && p.contains(s.at) && s.result.Outcome == caller.OutcomeComplete && (filter == nil || filter(s)) {
			list = append(list, s.result.FirstToken)
		}
	}
	return list
}

// isInteractive reports whether the request is not of the batch workspace, whose requests may be queued.
func (r *run) isInteractive(s *requestSample) bool {
	return s.turn.Workspace != r.fleet.scenario.BatchWorkspace
}

// isOtherWorkspace reports whether the request is interactive and not of the workspace with the surge.
func (r *run) isOtherWorkspace(s *requestSample) bool {
	return r.isInteractive(s) && s.turn.Workspace != 5
}

func (r *run) newValue(name string, v float64, unit string) reporter.Value {
	return reporter.Value{Name: r.fleet.scenario.Name + "." + name, Value: v, Unit: unit}
}

func (r *run) newBoundedValue(
	name string, v float64, unit string, c reporter.Comparison, bound float64,
) reporter.Value {
	value := r.newValue(name, v, unit)
	value.Comparison, value.Bound = c, bound
	return value
}

func (r *run) report(ctx context.Context) error {
	r.workload.mu.Lock()
	defer r.workload.mu.Unlock()
	var list []reporter.Value
	for _, part := range [][]reporter.Value{
		r.outcomeValues(), r.latencyValues(), r.reuseValues(), r.skewValues(),
		r.operationValues(ctx), r.engineValues(ctx), r.controlValues(),
	} {
		list = append(list, part...)
	}
	for _, v := range list {
		if err := r.rep.Report(v); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) outcomeValues() []reporter.Value {
	counts := map[caller.Outcome]int{}
	attempts, warmUpRefused := 0, 0
	for i := range r.workload.samples {
		s := &r.workload.samples[i]
		if s.kind == kindSurge {
			continue
		}
		if s.at < phaseProbe.from && s.result.Outcome == caller.OutcomeRefused {
			warmUpRefused++
			continue
		}
		counts[s.result.Outcome]++
		attempts += s.result.Attempts
		if s.result.Outcome != caller.OutcomeComplete {
			r.progress(fmt.Sprintf("%s at %.1f s: %s status %d, %s", s.kind, s.at.Seconds(), s.result.Outcome,
				s.result.Status, s.result.ErrorText))
		}
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	lost := counts[caller.OutcomeTruncated] + counts[caller.OutcomeRefused] + counts[caller.OutcomeFailed]
	return []reporter.Value{
		r.newValue("requests", float64(total), "requests"),
		r.newValue("warmUp.refused", float64(warmUpRefused), "requests"),
		r.newValue("callerAttemptsPerRequest", float64(attempts)/float64(max(1, total)), "attempts"),
		r.newBoundedValue("wrongAnswers", float64(counts[caller.OutcomeWrong]), "requests", reporter.AtMost, 0),
		r.newBoundedValue("lostAnswers", float64(lost), "requests", reporter.AtMost, 0),
	}
}

func (r *run) latencyValues() []reporter.Value {
	const targetMillis = 550 // time to first token of 95% of the requests
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	p99 := func(p phase, filter func(*requestSample) bool) time.Duration {
		return quantile(r.firstTokenTimes(p, kindChat, filter), 0.99)
	}
	steady := r.firstTokenTimes(phaseSteady, kindChat, r.isInteractive)
	viaRouter := r.firstTokenTimes(phaseProbe, kindFleetProbe, nil)
	direct := r.firstTokenTimes(phaseProbe, kindDirectProbe, nil)
	steadyP99 := max(time.Millisecond, quantile(steady, 0.99))
	list := []reporter.Value{
		r.newValue("steady.firstTokenP50", ms(quantile(steady, 0.5)), "ms"),
		r.newBoundedValue("steady.firstTokenP95", ms(quantile(steady, 0.95)), "ms", reporter.AtMost, targetMillis),
		r.newValue("steady.firstTokenP99", ms(steadyP99), "ms"),
		r.newValue("direct.firstTokenP50", ms(quantile(direct, 0.5)), "ms"),
		r.newValue("direct.firstTokenP99", ms(quantile(direct, 0.99)), "ms"),
	}
	if len(direct) > 0 && len(viaRouter) > 0 {
		list = append(list,
			r.newBoundedValue("addedP50", ratio(quantile(viaRouter, 0.5), quantile(direct, 0.5)), "ratio",
				reporter.AtMost, 1.1),
			r.newBoundedValue("addedP99", ratio(quantile(viaRouter, 0.99), quantile(direct, 0.99)), "ratio",
				reporter.AtMost, 1.3),
		)
	}
	for _, p := range []phase{phaseChurn, phaseControl} {
		list = append(list, r.newValue(p.name+".firstTokenP99", ms(p99(p, r.isInteractive)), "ms"))
	}
	return append(list,
		r.newValue("surge.othersFirstTokenP99", ms(p99(phaseSurge, r.isOtherWorkspace)), "ms"),
		r.newValue("surge.othersToSteadyP99", ratio(p99(phaseSurge, r.isOtherWorkspace), steadyP99), "ratio"),
		r.newValue("domain.firstTokenP99", ms(p99(phaseDomain, r.isInteractive)), "ms"),
		r.newBoundedValue("domain.firstTokenToSteadyP99", ratio(p99(phaseDomain, r.isInteractive), steadyP99), "ratio",
			reporter.AtMost, 1.5),
	)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

// reuseValues returns for each phase the share of the previous turn's prompt tokens that were cached at the next turn.
func (r *run) reuseValues() (list []reporter.Value) {
	for _, p := range []phase{phaseSteady, phaseChurn, phaseDomain} {
		var cached, reusable int
		for i := range r.workload.samples {
			s := &r.workload.samples[i]
			if s.kind == kindChat && p.contains(s.at) && s.result.Outcome == caller.OutcomeComplete {
				cached += min(s.result.CachedTokens, s.reusableTokens)
				reusable += s.reusableTokens
			}
		}
		list = append(list, r.newValue(p.name+".cacheReuse", float64(cached)/float64(max(1, reusable)), "ratio"))
	}
	return list
}

func (r *run) skewValues() []reporter.Value {
	var list []float64
	samplesAbove, maxExcess, growth := 0, 0, 0
	for i := range r.sampler.samples {
		s := &r.sampler.samples[i]
		if !phaseSteady.contains(s.at) {
			continue
		}
		list = append(list, s.skew())
		if n := s.excess(); n > 0 {
			samplesAbove++
			maxExcess = max(maxExcess, n)
		}
		if i > 0 {
			growth += s.growthAboveBound(&r.sampler.samples[i-1])
		}
	}
	slices.Sort(list)
	median, p99 := 0.0, 0.0
	if len(list) > 0 {
		median, p99 = list[len(list)/2], list[len(list)*99/100]
	}
	return []reporter.Value{
		r.newValue("steady.skewP50", median, "ratio"),
		r.newValue("steady.skewP99", p99, "ratio"),
		r.newValue("steady.samplesAboveBound", float64(samplesAbove)/float64(max(1, len(list))), "ratio"),
		r.newValue("steady.requestsAboveBound", float64(maxExcess), "requests"),
		r.newBoundedValue("steady.admissionsAboveBound", float64(growth), "requests", reporter.AtMost, 0),
	}
}

type serviceRuns struct {
	ByBody []struct {
		Body string `json:"body"`
		Runs int    `json:"runs"`
	} `json:"byBody"`
}

func (r *run) operationValues(ctx context.Context) []reporter.Value {
	byBody := map[string]int{}
	for _, e := range r.fleet.services {
		var c serviceRuns
		if err := getJSON(ctx, "http://"+e.address+"/fake/v1/runs", &c); err != nil {
			r.progress(err.Error())
			continue
		}
		for _, b := range c.ByBody {
			byBody[b.Body] += b.Runs
		}
	}
	runTwice, done, unknown, lost, differing := 0, 0, 0, 0, 0
	for _, n := range byBody {
		if n > 1 {
			runTwice++
		}
	}
	for _, op := range r.workload.operations {
		answers := map[string]bool{}
		isDone, isUnknown := false, false
		for _, res := range op.results {
			if res.IsDone() {
				isDone = true
				answers[res.Answer] = true
			}
			isUnknown = isUnknown || res.Status == 409
		}
		switch {
		case isDone:
			done++
		case isUnknown:
			unknown++
		default:
			lost++
			r.progress(fmt.Sprintf("operation %s: no response or final status: %+v", op.idempotencyKey, op.results[0]))
		}
		if len(answers) > 1 {
			differing++
		}
	}
	return []reporter.Value{
		r.newValue("operations.done", float64(done), "operations"),
		r.newValue("operations.unknown", float64(unknown), "operations"),
		r.newBoundedValue("operations.doubled", float64(runTwice), "operations", reporter.AtMost, 0),
		r.newBoundedValue("operations.differingAnswers", float64(differing), "operations", reporter.AtMost, 0),
		r.newBoundedValue("operations.withoutAnswer", float64(lost), "operations", reporter.AtMost, 0),
	}
}

func (r *run) engineValues(ctx context.Context) []reporter.Value {
	overloads := 0
	for _, e := range r.fleet.engines {
		if st, err := e.stats(ctx); err == nil {
			overloads += st.Overloads
		}
	}
	refused := 0.0
	if r.poison.refused {
		refused = 1
	}
	return []reporter.Value{
		r.newBoundedValue("coldOverloads", float64(overloads), "requests", reporter.AtMost, 0),
		r.newBoundedValue("domain.lateRequests", float64(r.lateRequests), "requests", reporter.AtMost, 0),
		r.newBoundedValue("poison.crashedEngines", float64(r.poison.crashedEngines), "engines", reporter.AtMost, 2),
		r.newBoundedValue("poison.refused", refused, "bool", reporter.AtLeast, 1),
	}
}

func (r *run) controlValues() []reporter.Value {
	maxRate := 0.0
	for _, v := range r.controlByteRates {
		maxRate = max(maxRate, v)
	}
	list := []reporter.Value{
		r.newBoundedValue("controlBytesPerRouter", maxRate, "B/s", reporter.AtMost, maxControlBytesPerSecond),
		r.newBoundedValue("bundleInForce", r.rolloutDuration.Seconds(), "s", reporter.AtMost, 5),
	}
	if u, err := r.fleet.routers[1].Usage(); err == nil {
		list = append(list, r.newValue("router.memory", float64(u.RSSBytes)/1e6, "MB"))
	}
	if u, err := r.fleet.engines[5].agent.Usage(); err == nil {
		list = append(list, r.newValue("agent.memory", float64(u.RSSBytes)/1e6, "MB"))
	}
	return list
}
