package placer

import "time"

const (
	// observationTTL is how long an observed load or refusal is valid; an endpoint that serves several requests per
	// second has changed after that.
	observationTTL = 250 * time.Millisecond
	// minExclusion and maxExclusion bound how long an unreachable endpoint is excluded; each consecutive failure
	// doubles the time.
	minExclusion = 1 * time.Second
	maxExclusion = 16 * time.Second
	// meanTTL is how long the mean load is cached, so that the cost of a request does not grow with the pool.
	meanTTL = 10 * time.Millisecond
)

// Tracker holds the recent observations of one router about the endpoints of a pool.
type Tracker struct {
	endpoints map[string]*endpointState
	mean      float64
	meanAt    time.Time
}

type endpointState struct {
	inFlight      int
	loadAt        time.Time
	fullAt        time.Time
	failures      int
	excludedUntil time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{endpoints: map[string]*endpointState{}} }

func (t *Tracker) state(name string) *endpointState {
	s := t.endpoints[name]
	if s == nil {
		s = &endpointState{}
		t.endpoints[name] = s
	}
	return s
}

// RecordLoad records the load that an endpoint reported, and marks the endpoint as reachable.
func (t *Tracker) RecordLoad(now time.Time, name string, inFlight int) {
	s := t.state(name)
	s.inFlight, s.loadAt = inFlight, now
	s.failures, s.excludedUntil = 0, time.Time{}
}

// RecordFull records that an endpoint refused a request for lack of capacity.
func (t *Tracker) RecordFull(now time.Time, name string) { t.state(name).fullAt = now }

// RecordUnreachable records that this router could not reach an endpoint, and excludes it.
func (t *Tracker) RecordUnreachable(now time.Time, name string) {
	s := t.state(name)
	s.excludedUntil = now.Add(min(maxExclusion, minExclusion<<min(s.failures, 8)))
	s.failures++
}

// IsExcluded reports whether the endpoint is excluded after a failure to reach it.
func (t *Tracker) IsExcluded(now time.Time, name string) bool {
	s := t.endpoints[name]
	return s != nil && now.Before(s.excludedUntil)
}

// IsFull reports whether the endpoint refused a request for lack of capacity within the last 250 ms.
func (t *Tracker) IsFull(now time.Time, name string) bool {
	s := t.endpoints[name]
	return s != nil && !s.fullAt.IsZero() && now.Sub(s.fullAt) < observationTTL
}

// MeanLoad returns the mean of the loads reported within the last 250 ms, or 0 if there are none.
func (t *Tracker) MeanLoad(now time.Time) float64 {
	if t.meanAt.IsZero() || now.Sub(t.meanAt) >= meanTTL {
		t.mean, t.meanAt = t.computeMeanLoad(now), now
	}
	return t.mean
}

func (t *Tracker) computeMeanLoad(now time.Time) float64 {
	var sum, n int
	for _, s := range t.endpoints {
		if !s.loadAt.IsZero() && now.Sub(s.loadAt) < observationTTL {
			sum += s.inFlight
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// Retain removes every endpoint that is not a member of p.
func (t *Tracker) Retain(p *Pool) {
	for name := range t.endpoints {
		if _, ok := p.IndexOf(name); !ok {
			delete(t.endpoints, name)
		}
	}
}
