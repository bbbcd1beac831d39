package rollouter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cactusroute.dev/core/registrar"
)

const (
	// stratumLength is the time within which answers of the versions are compared, and maxStrata how many of these times
	// are kept apart; older ones are joined.
	stratumLength = 500 * time.Millisecond
	maxStrata     = 30

	// shortStrata and longStrata are the numbers of recent strata that are judged beside all of them: a version that turns
	// bad late is hidden by its earlier answers.
	shortStrata = 3
	longStrata  = 8

	// maxMoveFraction is the largest part of a rollout's time that is kept for the move, minMoveTime the least time, and
	// moveMargin the time in addition to wholeQuantile of the durations of a route's requests: what runs at the former
	// versions has to end in it. Until then the target is tried, because some versions turn bad late. Routes with short
	// requests move later than others.
	maxMoveFraction = 0.4
	minMoveTime     = 2 * time.Second
	moveMargin      = 1500 * time.Millisecond
	wholeQuantile   = 0.998

	// maxDelays bounds the routes that move later than others, and minDelay is the least time by which they do.
	maxDelays = 100
	minDelay  = 200 * time.Millisecond

	// minMoved is how long the target must have got all requests before a rollout is completed: some versions fail only
	// under load.
	minMoved = time.Second

	// soundAnswers is the number of answers of the target from which it can be called sound, and fewSoundAnswers the
	// number of them once there is no more time to wait.
	soundAnswers    = 40
	fewSoundAnswers = 5

	// capacityFactor is the multiple of a service's requests in flight that the slots of the target must hold, unless it
	// has slotsFactor times the slots of the former versions: in an overload, these do not hold them either.
	capacityFactor = 1.25
	slotsFactor    = 0.8

	// lateMoveTime is how long before the deadline the move begins although the target has few answers: later, the rollout
	// would not be completed in time.
	lateMoveTime = 1700 * time.Millisecond

	// emptyTime is how long the former versions must have had no request in flight before a rollout is completed. It spans
	// several messages with the requests of other routers.
	emptyTime = 400 * time.Millisecond

	// unheardTime is how long after the move a router that is not heard of may still send to the former versions. Routers
	// that lose their control instance find another one within it.
	unheardTime = 2500 * time.Millisecond

	// commitMargin is how long before the deadline a rollout ends, so that its end is committed in time. It does not end
	// before: a version that turns bad until then can still be rolled back.
	commitMargin = 800 * time.Millisecond

	// overtime is how long after the deadline a rollout is tried further that could not be judged, because no control
	// instance had a quorum or no endpoint of the target was known.
	overtime = 10 * time.Second
)

// Facts is what a control instance knows of a service in a rollout.
type Facts struct {
	TargetReady, TargetSlots int      // endpoints of the target that accept requests, and their slots
	FormerSlots              int      // of endpoints of other versions that accept requests
	Former                   []string // other versions of endpoints that have not gone
	FormerInFlight, InFlight int      // requests of all routers
	// AckedIndex is the oldest state in force at a router that is heard of. IsComplete is set if all known routers are.
	AckedIndex uint64
	IsComplete bool
}

// NewFacts collects the facts that follow from endpoints; inFlight returns the requests of all routers at an endpoint.
func NewFacts(r *Rollout, endpoints []registrar.Endpoint, inFlight func(id string) int) (f Facts) {
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != r.Service || e.State == registrar.Gone {
			continue
		}
		n := inFlight(e.ID)
		f.InFlight += n
		switch {
		case e.Version != r.Target:
			f.FormerInFlight += n
			if e.AcceptsRequests() {
				f.FormerSlots += e.Slots
			}
			if !slices.Contains(f.Former, e.Version) {
				f.Former = append(f.Former, e.Version)
			}
		case e.AcceptsRequests():
			f.TargetReady++
			f.TargetSlots += e.Slots
		}
	}
	slices.Sort(f.Former)
	return f
}

// lacksCapacity reports whether the target can't hold the requests of the service.
func (f *Facts) lacksCapacity() bool {
	needed := min(capacityFactor*float64(f.InFlight), slotsFactor*float64(f.FormerSlots))
	return f.TargetReady == 0 || f.TargetSlots > 0 && float64(f.TargetSlots) < needed
}

// Driver decides the next phase of rollouts from what a control instance has observed. Each instance keeps its own, so
// that a new leader knows when it learned of a rollout. It is not safe for concurrent use.
type Driver struct{ runs map[string]*run } // by service

// run is what a driver remembers of a running rollout.
type run struct {
	rollout    Rollout
	deadline   time.Time // by the clock of this process, which may have been stepped since the order
	phaseSince time.Time
	ackedSince time.Time  // when all routers were known to know of the move; zero before
	emptySince time.Time  // zero while the former versions have requests
	strata     []Outcomes // the last one is not complete
	begunAt    time.Time  // of the last stratum
	base       Outcomes   // the counts at that time
	last       Outcomes   // all counts
}

// NewDriver returns a driver that knows of no rollout.
func NewDriver() *Driver { return &Driver{runs: map[string]*run{}} }

// Step is the next phase of a rollout and what led to it.
type Step struct {
	Change  Change
	Keyvals []any // for the log
}

// Advance returns the changes that are due. outcomes are the sums of all routers that are heard of; facts returns what
// is known of a rollout. It must be called several times a second at every instance; only the leader commits the
// changes.
func (d *Driver) Advance(
	now time.Time, list []Rollout, outcomes Outcomes, facts func(r *Rollout) Facts,
) (steps []Step) {
	maps.DeleteFunc(d.runs, func(service string, run *run) bool {
		r, ok := Find(list, service)
		return !ok || r.Phase.HasEnded() || !r.isSame(&run.rollout)
	})
	for i := range list {
		r := &list[i]
		if r.Phase.HasEnded() {
			continue
		}
		known := d.runs[r.Service]
		if known == nil {
			known = &run{deadline: localDeadline(now, r)}
			d.runs[r.Service] = known
		}
		if known.rollout.Phase != r.Phase {
			known.rollout, known.phaseSince, known.ackedSince, known.emptySince = *r, now, time.Time{}, time.Time{}
		}
		known.record(now, outcomes)
		f := facts(r)
		if next, reason := known.next(now, &f); next != 0 {
			steps = append(steps, known.step(now, next, reason, &f))
		}
	}
	return steps
}

// localDeadline returns the deadline by this process's clock, never later than if the rollout had just been ordered.
func localDeadline(now time.Time, r *Rollout) time.Time {
	left := min(r.DeadlineAt-now.UnixMilli(), r.DeadlineAt-r.OrderedAt)
	return now.Add(time.Duration(left) * time.Millisecond)
}

func (r *run) record(now time.Time, outcomes Outcomes) {
	if r.strata == nil || now.Sub(r.begunAt) >= stratumLength {
		if len(r.strata) >= maxStrata {
			r.strata[1].Add(r.strata[0])
			r.strata = r.strata[1:]
		}
		r.strata, r.begunAt, r.base = append(r.strata, nil), now, r.last
	}
	r.last = maps.Clone(outcomes)
	r.strata[len(r.strata)-1] = r.last.since(r.base)
}

// recent returns the last strata.
func (r *run) recent(n int) []Outcomes { return r.strata[max(0, len(r.strata)-n):] }

// judge returns the strongest finding over all windows.
func (r *run) judge(deviations float64) (worst Finding, ok bool) {
	for _, strata := range [][]Outcomes{r.strata, r.recent(longStrata), r.recent(shortStrata)} {
		if f, isBad := Judge(&r.rollout, strata, r.last, deviations); isBad && (!ok || f.Deviations > worst.Deviations) {
			worst, ok = f, true
		}
	}
	return worst, ok
}

// next returns the phase that is due, or 0.
func (r *run) next(now time.Time, f *Facts) (next Phase, reason string) {
	if finding, isBad := r.judge(certainDeviations); isBad {
		return RolledBack, finding.String()
	}
	if r.rollout.Phase == Moving {
		return r.nextOfMove(now, f)
	}
	left := r.deadline.Sub(now)
	_, moveTime := r.moveTimes()
	answers := r.answers()
	switch {
	case f.TargetReady > 0 && len(f.Former) == 0 && now.Sub(r.phaseSince) >= minMoved:
		return Moving, "no other version is known"
	case left <= -overtime && f.lacksCapacity():
		return RolledBack, fmt.Sprintf("%d slots of the target, %d of the former versions, for %d requests", f.TargetSlots,
			f.FormerSlots, f.InFlight)
	case left <= -overtime || left <= commitMargin && f.TargetReady > 0 && answers < fewSoundAnswers &&
		now.Sub(r.phaseSince) > overtime/2:
		return RolledBack, fmt.Sprintf("only %d answers by the deadline", answers)
	case left > moveTime || f.TargetReady == 0 || answers < fewSoundAnswers || f.lacksCapacity():
		return 0, ""
	case answers < soundAnswers && left > max(moveTime/2, lateMoveTime):
		return 0, ""
	}
	if finding, isSuspect := r.judge(suspectDeviations); isSuspect {
		if left > commitMargin {
			return 0, ""
		}
		return RolledBack, "suspect at the deadline: " + finding.String()
	}
	return Moving, "sound"
}

// nextOfMove completes a rollout once every router is known to send nothing more to the former versions, and what ran
// there has ended, also past the deadline: the former endpoints stop at once at the end.
func (r *run) nextOfMove(now time.Time, f *Facts) (Phase, string) {
	if f.FormerInFlight > 0 {
		r.emptySince = time.Time{}
	} else if r.emptySince.IsZero() {
		r.emptySince = now
	}
	hasAcked := f.AckedIndex >= r.rollout.Index && (f.IsComplete || now.Sub(r.phaseSince) >= unheardTime)
	if !hasAcked {
		r.ackedSince = time.Time{}
	} else if r.ackedSince.IsZero() {
		r.ackedSince = now
	}
	delay := r.rollout.maxDelay()
	hasMoved := hasAcked && now.Sub(r.ackedSince) >= delay && now.Sub(r.phaseSince) >= delay+minMoved
	isEmpty := !r.emptySince.IsZero() && now.Sub(r.emptySince) >= emptyTime
	isDue := r.deadline.Sub(now) <= commitMargin
	if f.TargetReady > 0 && hasMoved && isEmpty && (isDue || len(f.Former) == 0) {
		return Completed, "former versions have no requests"
	}
	return 0, ""
}

// moveTimes returns how long before the deadline routes move, and the longest of these times, at which the others do.
func (r *run) moveTimes() (byRoute map[string]time.Duration, longest time.Duration) {
	byRoute, longest = map[string]time.Duration{}, minMoveTime
	limit := time.Duration(maxMoveFraction * float64(r.rollout.duration()))
	for route, s := range collect(&r.rollout, r.last) {
		if route != allRoutes && s.former.Whole.total() >= minFormer {
			d := upperBound(s.former.Whole.quantile(wholeQuantile)) + moveMargin
			byRoute[route] = max(minMoveTime, min(d, limit))
			longest = max(longest, byRoute[route])
		}
	}
	return byRoute, longest
}

// delays returns by how many milliseconds routes move later than the rollout does now, from the result of moveTimes.
func (r *run) delays(now time.Time, byRoute map[string]time.Duration) map[string]int64 {
	routes := slices.SortedFunc(maps.Keys(byRoute), func(a, b string) int {
		return cmp.Or(cmp.Compare(byRoute[a], byRoute[b]), cmp.Compare(a, b))
	})
	list := map[string]int64{}
	for _, route := range routes[:min(len(routes), maxDelays)] {
		if delay := r.deadline.Sub(now) - byRoute[route]; delay >= minDelay {
			list[route] = delay.Milliseconds()
		}
	}
	return list
}

// answers returns the answers of the target.
func (r *run) answers() (n int) {
	for k, c := range r.last {
		if k.Service == r.rollout.Service && k.Version == r.rollout.Target {
			n += int(c.Answers)
		}
	}
	return n
}

func (r *run) step(now time.Time, next Phase, reason string, f *Facts) Step {
	c := r.rollout
	c.Phase, c.Reason, c.Former, c.Delays = next, reason, f.Former, nil
	byRoute, moveTime := r.moveTimes()
	if next == Moving && len(f.Former) > 0 {
		c.Delays, c.MovedAt = r.delays(now, byRoute), now.UnixMilli()
	}
	return Step{Change: Change{Rollout: c}, Keyvals: []any{"service", c.Service, "target", c.Target,
		"phase", next.String(), "before", r.rollout.Phase.String(), "reason", reason,
		"leftMs", r.deadline.Sub(now).Milliseconds(),
		"counts", Summary(&c, r.last), "recent", Summary(&c, r.strata[len(r.strata)-1]),
		"recentMs", now.Sub(r.begunAt).Milliseconds(), "moveMs", moveTime.Milliseconds(),
		"delays", len(c.Delays), "maxDelayMs", c.maxDelay().Milliseconds(), "deviations", certainDeviations,
		"targetReady", f.TargetReady, "formerInFlight", f.FormerInFlight, "ackedIndex", f.AckedIndex,
		"heardAll", f.IsComplete}}
}
