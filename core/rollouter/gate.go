package rollouter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/registrar"
)

const (
	// exposureSafety is the part of the allowed share that routers use: requests that fail on their way may not count.
	exposureSafety = 0.9

	// firstPart is the part of it that is used until the router has seen firstAnswers sound answers of the target.
	firstPart    = 0.4
	firstAnswers = 3

	// fullTrial is the part of a rollout's time, from the first sound answer of the target on, in which it is tried with
	// the whole allowed share, and laterPart the part of the share that it gets afterwards: what is saved is left for the
	// answers after the move until a version that turns bad then is found out.
	fullTrial = 1.0 / 3
	laterPart = 0.3

	// LaterRate is the number of requests a second of all routers that the target gets afterwards at least, if the share
	// allows them: with fewer, slow answers on one route are not told from chance.
	LaterRate = 12

	// resumeTime is how long after a rollback streams that the target began may be resumed there. Operators bear requests
	// to a bad version for a few seconds after its first bad answers, and the judgement takes most of them.
	resumeTime = 600 * time.Millisecond

	// confirmDelay is within which time an endpoint must answer another request for a broken answer to count as a failure
	// of its version. An endpoint that has crashed or is cut off does not answer.
	confirmDelay = 1500 * time.Millisecond

	// maxBroken bounds the broken answers of one endpoint in succession that count. Longer successions are outages, which
	// have other causes than a version of which some answers are sound.
	maxBroken = 2
)

// Result is how an attempt ended, as far as the version of its endpoint is concerned.
type Result uint8

// The results of an attempt.
const (
	Answered    Result = iota + 1
	Failed             // the endpoint answered that it failed
	Broken             // no answer, or the beginning of one
	Unreachable        // the endpoint got nothing
)

// Attempt is an attempt that has ended.
type Attempt struct {
	Endpoint registrar.Endpoint
	Route    string
	Result   Result
	First    time.Duration // to the first event, or to the end of an answer without events; 0 if it is not known
	Pace     time.Duration // between events; 0 if it is not known
	SentAt   time.Time
	EndedAt  time.Time
}

// Gate admits requests of one router to the versions of a service in a rollout, and counts the answers. It is not safe
// for concurrent use.
//
// The bound on the target needs no word of other routers: a router sends the target at most the allowed share of the
// requests that it has sent to the service itself since it knows of the rollout, and its part of a small slack, so that
// the sums over all routers keep the same ratio. A router that is new or has restarted begins at zero, without slack.
type Gate struct {
	Rollout Rollout
	// Slack is the number of requests that the target may get beside its share.
	Slack float64
	// LaterRate is this router's part of the constant LaterRate.
	LaterRate float64

	share    float64 // of the requests that the target may get
	requests float64 // of this router to the service, without retries; those of the later trial count in part
	sent     float64 // to the target, with retries
	total    float64 // as requests, each counted whole
	sound    int     // answers of the target
	// soundSince is when the first sound answer came, movedAt when the router learned of the move, and rolledBackAt of the
	// rollback; zero before, and in a router that has started after it.
	soundSince, movedAt, rolledBackAt time.Time

	soundTotal float64 // total at soundSince
	outcomes   Outcomes
	broken     map[string][]brokenAttempt // by endpoint ID
}

// brokenAttempt is an attempt that counts as failed once its endpoint is known to be running.
type brokenAttempt struct {
	Attempt

	at time.Time
}

// NewGate returns the gate of a rollout; share is the share of the requests that a version which is not judged may get.
func NewGate(r Rollout, share float64) *Gate {
	return &Gate{Rollout: r, share: share, outcomes: Outcomes{}, broken: map[string][]brokenAttempt{}}
}

// Update sets the progress of the rollout; it returns false for another one, which needs a gate of its own.
func (g *Gate) Update(now time.Time, r Rollout) bool {
	if !g.Rollout.isSame(&r) {
		return false
	}
	switch {
	case g.Rollout.Phase == Trying && r.Phase == Moving:
		g.movedAt = now
	case !g.Rollout.Phase.HasEnded() && r.Phase == RolledBack:
		g.rolledBackAt = now
	}
	g.Rollout = r
	return true
}

// Admission is what a gate needs to know about a request.
type Admission struct {
	Now       time.Time
	Version   string // of the endpoint
	Route     string
	IsResumed bool // the request continues a stream that the version began
	IsStale   bool // the router may not know the latest state
	// HasTarget is set while endpoints of the target are in service.
	HasTarget bool
	// OnlyTarget is set if no endpoint of another version is known, in or out of service: the target replaces nothing.
	OnlyTarget bool
}

// Admits reports whether a request may be sent to an endpoint.
func (g *Gate) Admits(a Admission) bool {
	r := &g.Rollout
	isTarget := a.Version == r.Target
	switch {
	case r.Phase == Trying || r.Phase == Moving && !g.hasMoved(a.Now, a.Route):
		return !isTarget || a.OnlyTarget || !a.IsStale && g.hasRoom()
	case r.Phase == Moving:
		return isTarget || a.IsResumed || !a.HasTarget
	case r.Phase == Completed:
		return isTarget || !a.HasTarget || !r.isFormer(a.Version)
	default:
		isInTime := !g.rolledBackAt.IsZero() && a.Now.Sub(g.rolledBackAt) <= resumeTime
		return !isTarget || a.IsResumed && isInTime && !a.IsStale && g.hasRoom()
	}
}

// hasMoved reports whether the requests of a route go to the target once the rollout is moving. A router that learned
// of the move late, or started after it, may not move later than the others, on which the control instance counts. The
// time since it learned of the move bounds the wait, too, because clocks may have been stepped.
func (g *Gate) hasMoved(now time.Time, route string) bool {
	delay := g.Rollout.Delays[route]
	return g.movedAt.IsZero() || now.Sub(g.movedAt).Milliseconds() >= delay || now.UnixMilli() >= g.Rollout.MovedAt+delay
}

// trialPart returns the part of its share with which the target is tried. Past the deadline it is the whole share
// again, because evidence is missing then.
func (g *Gate) trialPart(now time.Time) float64 {
	d := g.Rollout.duration()
	elapsed := now.Sub(g.soundSince)
	if g.sound == 0 || elapsed < time.Duration(fullTrial*float64(d)) || elapsed >= d {
		return 1
	}
	perSecond := exposureSafety * g.share * (g.total - g.soundTotal) / elapsed.Seconds()
	return min(1, max(laterPart, g.LaterRate/max(perSecond, math.SmallestNonzeroFloat64)))
}

func (r *Rollout) isFormer(version string) bool {
	return slices.Contains(r.Former, version)
}

// hasRoom reports whether one more request to the target stays within the share.
func (g *Gate) hasRoom() bool {
	part := exposureSafety
	if g.sound < firstAnswers {
		part *= firstPart
	}
	return g.sent+1 <= part*g.share*(g.requests+1)+g.Slack
}

// CountSent counts a request that is sent to an endpoint.
func (g *Gate) CountSent(now time.Time, version string, isRetry bool) {
	if !isRetry {
		g.total++
		g.requests += g.trialPart(now)
	}
	if version == g.Rollout.Target {
		g.sent++
	}
}

// Sent returns the requests to the service and those to the target, as counted at this router.
func (g *Gate) Sent() (requests, target float64) { return g.total, g.sent }

// Record counts the result of an attempt.
func (g *Gate) Record(now time.Time, a Attempt) {
	if g.Rollout.Phase.HasEnded() {
		return
	}
	id := a.Endpoint.ID
	switch a.Result {
	case Unreachable:
		delete(g.broken, id)
		return
	case Broken:
		if len(g.broken[id]) < maxBroken {
			g.broken[id] = append(g.broken[id], brokenAttempt{a, now})
		}
		return
	}
	for _, b := range g.broken[id] {
		if b.Endpoint.Born == a.Endpoint.Born && now.Sub(b.at) <= confirmDelay {
			g.count(&b.Attempt, true)
		}
	}
	delete(g.broken, id)
	g.count(&a, a.Result == Failed)
	if a.Result == Answered && a.Endpoint.Version == g.Rollout.Target {
		if g.sound++; g.soundSince.IsZero() {
			g.soundSince, g.soundTotal = now, g.total
		}
	}
}

func (g *Gate) count(a *Attempt, isFailed bool) {
	k := Key{Service: g.Rollout.Service, Route: a.Route, Version: a.Endpoint.Version}
	if k.Version == g.Rollout.Target {
		k.Endpoint = a.Endpoint.ID
	}
	c := g.outcomes[k]
	c.Answers++
	switch isCold := a.SentAt.Before(a.Endpoint.ColdUntil); {
	case isFailed:
		c.Failed++
	case isCold:
	default:
		if a.First > 0 {
			c.First.add(a.First)
		}
		if a.Pace > 0 {
			c.Pace.add(a.Pace)
		}
		c.Whole.add(a.EndedAt.Sub(a.SentAt))
	}
	g.outcomes[k] = c
}

// Outcomes returns the counted answers.
func (g *Gate) Outcomes() Outcomes { return g.outcomes }

// minTrialEndpoints is the least number of endpoints of the target that get requests while it is tried, so that one in
// trouble of its own can be told from a bad version.
const minTrialEndpoints = 3

// TrialEndpoints returns the endpoints of the target that get requests while it is tried: so many that each has about
// the load of a former one, because some versions fail under load only. All routers choose the same ones.
func TrialEndpoints(target []registrar.Endpoint, former int, share float64) (ids map[string]bool) {
	hash := func(e registrar.Endpoint) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.ID))
		return h.Sum64()
	}
	target = slices.SortedFunc(slices.Values(target), func(a, b registrar.Endpoint) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a.ID, b.ID))
	})
	n := max(minTrialEndpoints, int(math.Ceil(share*float64(former))))
	ids = map[string]bool{}
	for _, e := range target[:min(n, len(target))] {
		ids[e.ID] = true
	}
	return ids
}

// Durations returns the times of an answer with a number of events: to its first byte or, without one of this attempt,
// to its end, and between its events.
func Durations(sentAt, firstAt, endedAt time.Time, events uint64) (first, pace time.Duration) {
	const minEvents = 3 // fewer show no pace
	if firstAt.Before(sentAt) {
		return endedAt.Sub(sentAt), 0
	}
	if events >= minEvents {
		pace = endedAt.Sub(firstAt) / time.Duration(events-1)
	}
	return firstAt.Sub(sentAt), pace
}
