package chooser

import (
	"time"

	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

const (
	// defaultExposeShare is the share of the requests that an unjudged version gets where the settings name none.
	defaultExposeShare = 0.1

	// slackPart is the part of ExposeSlack that routers divide among them. The rest is for requests of routers that did
	// not know of the order yet.
	slackPart = 0.4

	// newVersionDelay is how long a version that is new in a service gets no requests while others serve there: an order
	// about it may be on its way. States reach routers in less.
	newVersionDelay = 2500 * time.Millisecond
)

// maxVersions bounds the versions that are remembered while no endpoint has them.
const maxVersions = 1000

// VersionHeld means that the endpoints in service have a software version that may not get the request.
const VersionHeld Reason = "the endpoints in service have a software version that gets no more requests at present"

// gate is a rollouter.Gate and what the endpoints of its service are to it.
type gate struct {
	*rollouter.Gate

	since       time.Time       // when this router learned of the rollout
	trial       map[string]bool // endpoints of the target that may get requests, by ID; nil means all
	hasTarget   bool            // endpoints of the target are in service
	onlyTarget  bool            // no endpoint of another version is known
	admitsTrial bool            // for the request in question
}

// isUnordered reports whether a version that appeared during a running rollout is not its target.
func (g *gate) isUnordered(version string, since time.Time) bool {
	return !g.Rollout.Phase.HasEnded() && version != g.Rollout.Target && since.After(g.since)
}

// knownVersion is a software version of a service.
type knownVersion struct{ service, version string }

// SetRollouts sets the rollouts in force by the replicated state of an index. It must be called after Update.
func (c *Chooser) SetRollouts(now time.Time, list []rollouter.Rollout, index uint64) {
	c.rolloutsIndex = index
	old := c.gates
	c.gates = map[string]*gate{}
	share := c.limits.Rollouts.ExposeShare
	if share <= 0 {
		share = defaultExposeShare
	}
	for _, r := range list {
		g := &gate{Gate: rollouter.NewGate(r, share), since: now}
		if known := old[r.Service]; known != nil && known.Update(now, r) {
			g.Gate, g.since = known.Gate, known.since
		}
		if c.restartedAt.IsZero() { // otherwise the process before may have used it
			g.Slack = slackPart * c.limits.Rollouts.ExposeSlack / float64(c.routers)
		}
		g.LaterRate = rollouter.LaterRate / float64(c.routers)
		c.updateGate(g, share)
		c.gates[r.Service] = g
	}
	c.recordVersions(now)
}

func (c *Chooser) updateGate(g *gate, share float64) {
	p := c.pools[g.Rollout.Service]
	if p == nil {
		return
	}
	var target []registrar.Endpoint
	former := 0
	g.onlyTarget = true
	for _, e := range p.endpoints {
		g.onlyTarget = g.onlyTarget && e.Version == g.Rollout.Target
		switch {
		case !e.inService:
		case e.Version == g.Rollout.Target:
			target = append(target, e.Endpoint)
		default:
			former++
		}
	}
	g.hasTarget = len(target) > 0
	if g.Rollout.Phase == rollouter.Trying {
		g.trial = rollouter.TrialEndpoints(target, former, share)
	}
}

// recordVersions records when versions appeared. Those that are present when a service is first seen are not new.
func (c *Chooser) recordVersions(now time.Time) {
	if c.limits.Rollouts.ExposeShare <= 0 {
		return // the deployment has no rollouts
	}
	known := c.versions
	c.versions = map[knownVersion]time.Time{}
	for service, p := range c.pools {
		wasKnown := known[knownVersion{service, ""}]
		for _, e := range p.endpoints {
			v := knownVersion{service, e.Version}
			since, ok := known[v]
			if !ok && !wasKnown.IsZero() {
				since = now
			}
			c.versions[v] = since
			e.newUntil = time.Time{}
			if !since.IsZero() {
				e.newUntil = since.Add(newVersionDelay)
			}
			if g := c.gates[service]; g != nil && g.isUnordered(e.Version, since) {
				e.newUntil = now.Add(rollouter.MaxDuration) // SetRollouts is called again at the end
			}
		}
		c.versions[knownVersion{service, ""}] = now
	}
	for v, since := range known {
		if _, ok := c.versions[v]; !ok && v.version != "" && len(c.versions) < maxVersions {
			c.versions[v] = since // its endpoints may come back
		}
	}
}

// prepareGate determines what the rollout of a service, if there is one, means for a request.
func (c *Chooser) prepareGate(now time.Time, q *Query) {
	c.gate = c.gates[q.Service.Name]
	if g := c.gate; g != nil {
		g.admitsTrial = g.Admits(rollouter.Admission{Now: now, Version: g.Rollout.Target, Route: q.Route,
			IsResumed: q.IsResumed, IsStale: q.IsStale, HasTarget: g.hasTarget, OnlyTarget: g.onlyTarget})
	}
}

// isHeld reports whether the software version of an endpoint may not get the request.
func (c *Chooser) isHeld(now time.Time, q *Query, e *endpoint) bool {
	g := c.gate
	switch {
	case g == nil:
		return c.isNewVersion(now, q, e)
	case e.Version == g.Rollout.Target:
		return !g.admitsTrial || g.Rollout.Phase == rollouter.Trying && !g.onlyTarget && !g.trial[e.ID]
	default:
		return !g.Admits(rollouter.Admission{Now: now, Version: e.Version, Route: q.Route, IsResumed: q.IsResumed,
			HasTarget: g.hasTarget}) || c.isNewVersion(now, q, e)
	}
}

// trialBonus is the number of requests by which an endpoint on trial is preferred: at a low load, the former ones would
// get all of them, and the target could not be judged.
func (c *Chooser) trialBonus(e *endpoint) float64 {
	if g := c.gate; g != nil && g.Rollout.Phase == rollouter.Trying && e.Version == g.Rollout.Target {
		return 1
	}
	return 0
}

// isNewVersion reports whether the version appeared so recently that an order about it may be on its way.
func (c *Chooser) isNewVersion(now time.Time, q *Query, e *endpoint) bool {
	if e.newUntil.IsZero() || e.Version == "" || !now.Before(e.newUntil) {
		return false
	}
	for _, other := range c.pools[q.Service.Name].endpoints {
		if other.Version != e.Version && other.accepts(now) {
			return true
		}
	}
	return false
}

// isCacheSource reports whether endpoints may fetch cached prompts from this one.
func (c *Chooser) isCacheSource(e *endpoint) bool {
	g := c.gate
	return g == nil || e.Version != g.Rollout.Target || g.Rollout.Phase == rollouter.Moving ||
		g.Rollout.Phase == rollouter.Completed
}

// countVersion counts a request that is sent to an endpoint.
func (c *Chooser) countVersion(now time.Time, q *Query, e *registrar.Endpoint) {
	if c.gate != nil {
		c.gate.CountSent(now, e.Version, len(q.Tried) > 0)
	}
}

// RecordAttempt counts the result of an attempt if a rollout of its service is in force.
func (c *Chooser) RecordAttempt(now time.Time, a rollouter.Attempt) {
	if g := c.gates[a.Endpoint.Service]; g != nil {
		g.Record(now, a)
	}
}

// Outcomes returns what this router has counted of running rollouts, the zero Report without one.
func (c *Chooser) Outcomes() (o rollouter.Report) {
	for _, g := range c.gates {
		if g.Rollout.Phase.HasEnded() {
			continue
		}
		if o.IsEmpty() {
			o = rollouter.Report{Index: c.rolloutsIndex, Routers: 1, Counts: rollouter.Outcomes{}}
		}
		o.Counts.Add(g.Outcomes())
	}
	return o
}

// VersionSent is what this router has sent to a service since it knows of its rollout.
type VersionSent struct {
	rollouter.Rollout

	Requests, ToTarget float64
	Answers, Failed    map[string]float64 // by version
}

// VersionsSent returns the counts of each service with a rollout.
func (c *Chooser) VersionsSent() (list []VersionSent) {
	for _, g := range c.gates {
		v := VersionSent{Rollout: g.Rollout, Answers: map[string]float64{}, Failed: map[string]float64{}}
		v.Requests, v.ToTarget = g.Sent()
		for k, counts := range g.Outcomes() {
			v.Answers[k.Version] += float64(counts.Answers)
			v.Failed[k.Version] += float64(counts.Failed)
		}
		list = append(list, v)
	}
	return list
}
