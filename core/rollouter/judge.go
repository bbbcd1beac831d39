package rollouter

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// certainDeviations is the number of standard deviations by which the target must be worse to be called bad. The
	// judgement is repeated several times a second on a handful of routes and windows.
	certainDeviations = 3.5

	// suspectDeviations is the number of them from which a version is not called sound either.
	suspectDeviations = 2

	// minExcess is the share of failures by which the target must be worse beyond chance: callers retry some percent.
	// minSlowExcess is that of slow answers, because durations vary for many reasons.
	minExcess     = 0.02
	minSlowExcess = 0.06

	// minAnswers and minBad are the least answers and bad ones for a judgement, minSuspectBad the least bad ones for which
	// the target is not called sound.
	minAnswers    = 10
	minBad        = 6
	minSuspectBad = 3

	// minSuspectAnswers is the least answers for which failures make the target suspect: a version of which 4 of 6 answers
	// had failed was once called sound.
	minSuspectAnswers = fewSoundAnswers

	// minFewBad failures of fewer answers than minAnswers, at fewDeviations, make the target suspect, too: 2 of 5 are no
	// chance where the former versions fail none.
	minFewBad     = 2
	fewDeviations = 1.5

	// maxUnexplainedBad is the number of bad answers of one endpoint from which the version is called bad although no
	// other endpoint of it has answered as often. It leaves room below the 50 bad answers that an operator bears.
	maxUnexplainedBad = 30

	// assumedFailures is the share of failures that is assumed of the former versions without answers of theirs. Services
	// that fail a seventh of their requests are usual.
	assumedFailures = 0.15

	// slowBuckets is by how many buckets above the median of the former versions an answer is slow, which is 2.4 to 2.8
	// times as long. The first event of a stream depends on what its endpoint caches, and endpoints of a new version cache
	// nothing yet. slowBucketsAlone is added while the former versions get no requests.
	slowBuckets        = 6
	slowBucketsOfFirst = 8
	slowBucketsAlone   = 3

	// minFormer is the least number of answers of the former versions to compare durations with.
	minFormer = 20

	// minBeside is the number of answers of the former versions in a stratum from which they are compared with those of
	// the target at the same time. priorBeside is the weight of their earlier answers then, and maxPrior that without
	// them.
	minBeside   = 3
	priorBeside = 3
	maxPrior    = 100
)

// Finding is a difference between the target and the versions beside it.
type Finding struct {
	Route, Measure string
	Bad, Answers   float64 // of the target
	FormerBad      float64
	FormerAnswers  float64
	Deviations     float64
}

// String formats the finding for the log.
func (f *Finding) String() string {
	route := f.Route
	if route == "" {
		route = "all"
	}
	return fmt.Sprintf("%s on %s: %.0f of %.0f, former versions %.0f of %.0f, %.1f deviations", f.Measure, route, f.Bad,
		f.Answers, f.FormerBad, f.FormerAnswers, f.Deviations)
}

// sample is what the judgement compares: bad answers of all.
type sample struct{ bad, n float64 }

// measure is one kind of badness.
type measure struct {
	name      string
	histogram func(c *Counts) *Histogram // of durations; nil for failures
	minExcess float64
}

func measures() []measure {
	return []measure{
		{"failures", nil, minExcess},
		{"slow answers", func(c *Counts) *Histogram { return &c.First }, minSlowExcess},
		{"slow events", func(c *Counts) *Histogram { return &c.Pace }, minSlowExcess},
	}
}

// extract returns the sample of counts; a duration is slow from a bucket on.
func (m *measure) extract(c *Counts, slowFrom int) sample {
	if m.histogram == nil {
		return sample{float64(c.Failed), float64(c.Answers)}
	}
	h := m.histogram(c)
	return sample{h.from(slowFrom), h.total()}
}

// slowFrom returns the bucket from which a duration is slow; ok is false if the former versions show too little. alone
// is set for the time in which the former versions get no requests, so that nothing tells a burst from a slow version,
// and the target has to fill its caches.
func (m *measure) slowFrom(former *Counts, alone bool) (bucket int, ok bool) {
	if m.histogram == nil {
		return 0, true
	}
	h := m.histogram(former)
	isFirstOfStream := h == &former.First && former.Pace.total() > 0
	if h.total() < minFormer || alone && isFirstOfStream {
		return 0, false
	}
	bucket = h.quantile(0.5) + slowBuckets
	if isFirstOfStream {
		bucket = h.quantile(0.5) + slowBucketsOfFirst
	}
	if alone {
		bucket += slowBucketsAlone
	}
	return bucket, true
}

// stratum holds the answers of a route in a short time, or of all routes: by endpoint for the target, and the sum of
// the other versions. Comparing only within strata keeps a burst, which hits all versions, from counting against one.
type stratum struct {
	target map[string]*Counts
	former Counts
}

// Judge returns the strongest finding against the target of a rollout in some strata; ok is false if none has at least
// the given deviations. all are the counts since the beginning: what the former versions did then stands in where they
// have few answers.
func Judge(r *Rollout, strata []Outcomes, all Outcomes, deviations float64) (worst Finding, ok bool) {
	lists := map[string][]*stratum{}
	for _, o := range strata {
		for route, s := range collect(r, o) {
			lists[route] = append(lists[route], s)
		}
	}
	whole := collect(r, all)
	for _, route := range slices.Sorted(maps.Keys(lists)) {
		for _, m := range measures() {
			if route == allRoutes && m.histogram != nil || whole[route] == nil {
				continue // routes have different durations
			}
			f, isWorse := m.compare(lists[route], &whole[route].former, deviations)
			f.Route = route
			if isWorse && (!ok || f.Deviations > worst.Deviations) {
				worst, ok = f, true
			}
		}
	}
	return worst, ok
}

// allRoutes is the key of the sums over the routes, which have names.
const allRoutes = ""

// collect returns the counts of the service by route, and their sums.
func collect(r *Rollout, o Outcomes) (byRoute map[string]*stratum) {
	byRoute = map[string]*stratum{allRoutes: {target: map[string]*Counts{}}}
	for k, c := range o {
		if k.Service != r.Service {
			continue
		}
		s := byRoute[k.Route]
		if s == nil {
			s = &stratum{target: map[string]*Counts{}}
			byRoute[k.Route] = s
		}
		for _, s := range []*stratum{s, byRoute[allRoutes]} {
			sum := &s.former
			if k.Version == r.Target {
				if s.target[k.Endpoint] == nil {
					s.target[k.Endpoint] = &Counts{}
				}
				sum = s.target[k.Endpoint]
			}
			sum.add(&c)
		}
	}
	return byRoute
}

// compare tests one measure. An endpoint in trouble of its own does not condemn its version: without the worst endpoint
// the others must be worse than the former versions, too.
func (m *measure) compare(strata []*stratum, former *Counts, deviations float64) (f Finding, isWorse bool) {
	byEndpoint := map[string]sample{}
	total := m.test(strata, former, func(id string, s sample) bool {
		sum := byEndpoint[id]
		byEndpoint[id] = sample{sum.bad + s.bad, sum.n + s.n}
		return true
	})
	f = Finding{Measure: m.name, Bad: total.target.bad, Answers: total.target.n, FormerBad: total.former.bad,
		FormerAnswers: total.former.n, Deviations: total.deviations}
	least, leastAnswers := float64(minBad), float64(minAnswers)
	if deviations <= suspectDeviations {
		least = minSuspectBad
		if m.histogram == nil {
			leastAnswers = minSuspectAnswers
		}
		if total.target.n < minAnswers {
			least, deviations = minFewBad, fewDeviations
		}
	}
	if total.target.n < leastAnswers || total.target.bad < least || total.deviations < deviations {
		return f, false
	}
	worst := ""
	for id, s := range byEndpoint {
		if s.bad > byEndpoint[worst].bad || s.bad == byEndpoint[worst].bad && id < worst {
			worst = id
		}
	}
	others := m.test(strata, former, func(id string, _ sample) bool { return id != worst })
	if others.target.n >= minAnswers {
		return f, others.deviations >= suspectDeviations
	}
	return f, len(byEndpoint) == 1 && total.target.bad >= maxUnexplainedBad || deviations <= suspectDeviations
}

// result is what a test of one measure over strata has found.
type result struct {
	target, former sample
	deviations     float64
}

// test returns by how many standard deviations the bad answers of the included endpoints exceed those that the former
// versions had at the same times, and the minimum excess.
func (m *measure) test(strata []*stratum, former *Counts, includes func(id string, s sample) bool) (t result) {
	type part struct {
		target   sample
		n, share float64 // of the former versions
	}
	parts := make([]part, 0, len(strata))
	fromBeside, isBeside := m.slowFrom(former, false)
	fromAlone, isAloneKnown := m.slowFrom(former, true)
	for _, s := range strata {
		from, ok := fromBeside, isBeside
		isAlone := m.extract(&s.former, 0).n < minBeside
		if isAlone {
			from, ok = fromAlone, isAloneKnown
		}
		if !ok {
			continue
		}
		overall, base := m.extract(former, from), m.extract(&s.former, from)
		prior := sample{assumedFailures * minAnswers, minAnswers}
		if overall.n >= minFormer {
			weight := min(overall.n, maxPrior)
			prior = sample{overall.bad / overall.n * weight, weight}
		}
		if !isAlone {
			prior = sample{prior.bad * priorBeside / prior.n, priorBeside}
		}
		p := part{n: base.n + prior.n, share: (base.bad + prior.bad) / (base.n + prior.n)}
		for id, c := range s.target {
			if one := m.extract(c, from); includes(id, one) {
				p.target = sample{p.target.bad + one.bad, p.target.n + one.n}
			}
		}
		t.former = sample{t.former.bad + base.bad, t.former.n + base.n}
		t.target = sample{t.target.bad + p.target.bad, t.target.n + p.target.n}
		parts = append(parts, p)
	}
	q := (t.target.bad + 1) / (t.target.n + 2)
	excess, variance := 0.0, 0.0
	for _, p := range parts {
		smoothed := (p.share*p.n + 1) / (p.n + 2)
		excess += p.target.bad - p.target.n*(p.share+m.minExcess)
		variance += p.target.n*q*(1-q) + p.target.n*p.target.n*smoothed*(1-smoothed)/p.n
	}
	if variance > 0 {
		t.deviations = excess / math.Sqrt(variance)
	}
	return t
}

// Summary formats the answers and failures by version for the log.
func Summary(r *Rollout, o Outcomes) string {
	s := collect(r, o)[allRoutes]
	var t Counts
	for _, c := range s.target {
		t.add(c)
	}
	return fmt.Sprintf("%s: %d answers, %d failed, %d endpoints; former versions: %d answers, %d failed", r.Target,
		t.Answers, t.Failed, len(s.target), s.former.Answers, s.former.Failed)
}
