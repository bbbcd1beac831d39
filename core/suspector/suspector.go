package suspector

import "time"

const (
	// SuspicionTTL is how long a failed connect counts. Trials renew it while the endpoint stays unreachable.
	SuspicionTTL = 2 * time.Second

	// WitnessTTL is how long a response counts against the suspicion of others; it is longer than the sums of all routers
	// take to arrive, and short enough for an endpoint that goes down and up by turns.
	WitnessTTL = time.Second

	// recentContact is the age up to which an own response outweighs the word of others that arrives after it. Sums are
	// about as old.
	recentContact = 300 * time.Millisecond

	// timeoutWeight and refusalWeight are the weights of connects without an answer and of connects that the machine of
	// the endpoint has refused, and unreachableWeight that from which an endpoint counts as unreachable: a refusal needs
	// no second router, a connect without an answer may be one lost packet.
	timeoutWeight     = 1
	refusalWeight     = 2
	unreachableWeight = 2

	// nearWeight is the weight from which an endpoint counts as unreachable from one failure domain only. Lossy links of
	// the domain give rise to single failures at many endpoints.
	nearWeight = 4

	// confirmTime is how long nothing must speak against the failures: contacts of other routers that are as old as the
	// failures become known that much later.
	confirmTime = 300 * time.Millisecond

	// maxDisputes bounds the doublings of unreachableWeight for an endpoint that was reached all the same.
	maxDisputes = 4

	// wordTTL is how long sums count that are not renewed; they arrive several times a second.
	wordTTL = 1500 * time.Millisecond

	// holdTime is how long an endpoint stays unreachable although no further failure is known; some twenty routers have
	// had their turn by then.
	holdTime = 4 * time.Second

	// lostAfter is how long an endpoint must be unreachable for all routers until a request that can't be repeated is
	// given up, unless its heartbeats are missing, too.
	lostAfter = time.Second

	// trialInterval is the time in which about one of all routers tries an unreachable endpoint.
	trialInterval = 200 * time.Millisecond

	// cutOffEndpoints is the number of endpoints from which a router that reached fewer than it failed to reach takes
	// itself for cut off, and does not tell the others of its failures.
	cutOffEndpoints = 3
)

// Counts is what other routers say of an endpoint: the weight of their failed connects, and the number of routers that
// have reached the endpoint since they heard of them.
type Counts struct{ Failed, Reached float64 }

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Failed, c.Reached = c.Failed+other.Failed, c.Reached+other.Reached
}

// isUnreachable reports whether nothing speaks against enough failures.
func (c Counts) isUnreachable(weight float64) bool { return c.Failed >= weight && c.Reached == 0 }

// Turn selects the routers that try an unreachable endpoint.
type Turn struct {
	Key     uint64 // differs by router and endpoint
	Routers int
}

// isAt reports whether it is this router's turn; on average one router has it in each trialInterval.
func (t Turn) isAt(now time.Time) bool {
	h := t.Key ^ uint64(now.UnixNano()/int64(trialInterval))*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return (h^h>>31)%uint64(max(1, t.Routers)) == 0
}

// Record is what one router knows of the reachability of one start of an endpoint; the zero value knows nothing.
type Record struct {
	Turn Turn

	failedAt         time.Time
	weight           float64 // of the last failed connect; 0 once the endpoint was reached
	reachedAt        time.Time
	near, far        Counts    // of the other routers in this router's failure domain, and elsewhere
	suspectedSince   time.Time // zero while no router has failed
	failingSince     time.Time // zero unless enough routers fail and none reaches it
	nearFailingSince time.Time // the same for the routers of this failure domain
	unreachableSince time.Time // zero while the endpoint counts as reachable from here
	lostSince        time.Time // zero while any router may reach it
	nearLostSince    time.Time // zero while any router of this failure domain may reach it
	lastFailure      time.Time // when a failure was last known
	heardAt          time.Time // when the sums arrived
	disputes         int       // times that a router has reached it although others had failed
	isSilent         bool
}

// RecordFailure records a connect that failed; isRefused tells that the endpoint's machine has answered it.
func (r *Record) RecordFailure(now time.Time, isRefused bool) {
	weight := float64(timeoutWeight)
	if isRefused {
		weight = refusalWeight
	}
	r.failedAt, r.weight = now, max(weight, r.weight)
	r.update(now)
}

// RecordContact records that the endpoint was reached at a time. It reports whether the others may want to know.
func (r *Record) RecordContact(now, at time.Time) (isNews bool) {
	if !at.After(r.reachedAt) || at.Before(r.failedAt) {
		return false
	}
	isNews = r.weight > 0 || !r.suspectedSince.IsZero()
	r.reachedAt, r.weight = at, 0
	if isNews {
		r.update(now)
	}
	return isNews
}

// RecordOthers records the sums of the other routers, and whether the heartbeats of the endpoint are missing.
func (r *Record) RecordOthers(now time.Time, near, far Counts, isSilent bool) {
	r.near, r.far, r.isSilent, r.heardAt = near, far, isSilent, now
	r.update(now)
}

// Failed returns the weight of this router's failed connect, which the other routers are to know.
func (r *Record) Failed(now time.Time) float64 {
	if now.Sub(r.failedAt) >= SuspicionTTL {
		return 0
	}
	return r.weight
}

// Reached reports whether this router speaks against the suspicion of others.
func (r *Record) Reached(now time.Time) bool {
	return !r.suspectedSince.IsZero() && r.weight == 0 && now.Sub(r.reachedAt) < WitnessTTL &&
		r.reachedAt.After(r.suspectedSince.Add(-recentContact))
}

func (r *Record) update(now time.Time) {
	own := Counts{Failed: r.Failed(now)}
	near, all := r.near, r.near
	all.Add(r.far)
	near.Add(own)
	all.Add(own)
	switch {
	case all.Failed > 0:
		r.lastFailure = now
		if r.suspectedSince.IsZero() {
			r.suspectedSince = now
		}
	case !r.IsUnreachable() || now.Sub(r.lastFailure) >= holdTime:
		*r = Record{Turn: r.Turn, failedAt: r.failedAt, weight: r.weight, reachedAt: r.reachedAt, near: r.near, far: r.far,
			heardAt: r.heardAt, isSilent: r.isSilent}
		return
	}
	if r.Reached(now) {
		near.Reached++
		all.Reached++
	}
	if r.IsUnreachable() && near.Reached > 0 {
		r.disputes = min(maxDisputes, r.disputes+1)
	}
	weight := float64(unreachableWeight)
	if r.isSilent {
		weight = timeoutWeight
	}
	factor := float64(int(1) << r.disputes)
	setSince(&r.failingSince, now, all.isUnreachable(weight*factor))
	setSince(&r.nearFailingSince, now, near.isUnreachable(nearWeight*factor))
	setSince(&r.lostSince, now, isConfirmed(now, r.failingSince) || !r.lostSince.IsZero() && all.Reached == 0)
	setSince(&r.nearLostSince, now, isConfirmed(now, r.nearFailingSince) || !r.nearLostSince.IsZero() && near.Reached == 0)
	setSince(&r.unreachableSince, now, !r.lostSince.IsZero() || !r.nearLostSince.IsZero())
}

// isConfirmed reports whether failures have gone unopposed long enough.
func isConfirmed(now, since time.Time) bool { return !since.IsZero() && now.Sub(since) >= confirmTime }

func setSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// IsUnreachable reports whether the endpoint counts as unreachable from this router.
func (r *Record) IsUnreachable() bool { return !r.unreachableSince.IsZero() }

// IsSuspected reports whether enough connects have failed to make the endpoint unreachable unless a router reaches it.
func (r *Record) IsSuspected() bool {
	return r.IsUnreachable() || !r.failingSince.IsZero() || !r.nearFailingSince.IsZero()
}

// IsAvoided reports whether requests are to be sent elsewhere now: not in this router's turn, nor without recent word
// of the others.
func (r *Record) IsAvoided(now time.Time) bool {
	return r.IsUnreachable() && now.Sub(r.heardAt) < wordTTL && !r.Turn.isAt(now)
}

// IsLost reports whether a request in flight at the endpoint, of which the last sign is a time ago, will not be
// answered. One that can be repeated is given up as soon as the endpoint is unreachable from here, another one when no
// router reaches the endpoint for some time.
func (r *Record) IsLost(now, lastSign time.Time, canRepeat bool) bool {
	if now.Sub(r.heardAt) >= wordTTL {
		return false
	}
	if canRepeat {
		return r.IsUnreachable() && lastSign.Before(r.unreachableSince)
	}
	return !r.lostSince.IsZero() && lastSign.Before(r.lostSince) && (r.isSilent || now.Sub(r.lostSince) >= lostAfter)
}

// IsCutOff reports whether the failures of a router tell more of itself than of the endpoints: it fails to reach more
// endpoints than it reaches.
func IsCutOff(now time.Time, records func(yield func(*Record) bool)) bool {
	failed, reached := 0, 0
	for r := range records {
		if r.Failed(now) > 0 {
			failed++
		} else if now.Sub(r.reachedAt) < SuspicionTTL {
			reached++
		}
	}
	return failed >= cutOffEndpoints && failed > reached
}
