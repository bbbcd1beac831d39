package placer

import "time"

const (
	// loadAge is how long a load that an agent reported counts; older ones say little about an endpoint that
	// serves some requests each second.
	loadAge = 250 * time.Millisecond
	// firstExclusion and maxExclusion bound the time for which an unreachable endpoint is skipped; each failure
	// in a row doubles it.
	firstExclusion = 1 * time.Second
	maxExclusion   = 16 * time.Second
	// hintAge is how long a computed hint is used again, so that the cost of a request does not grow with the pool.
	hintAge = 10 * time.Millisecond
)

// Tracker remembers what a router recently saw of the endpoints of one pool.
type Tracker struct {
	by     map[string]*seen
	hint   float64
	hintAt time.Time
}

type seen struct {
	inFlight int
	loadAt   time.Time
	fullAt   time.Time
	failures int
	until    time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{by: map[string]*seen{}} }

func (t *Tracker) entry(name string) *seen {
	s := t.by[name]
	if s == nil {
		s = &seen{}
		t.by[name] = s
	}
	return s
}

// Loaded records the load that an endpoint reported; it also shows that the endpoint is reachable.
func (t *Tracker) RecordLoad(now time.Time, name string, inFlight int) {
	s := t.entry(name)
	s.inFlight, s.loadAt = inFlight, now
	s.failures, s.until = 0, time.Time{}
}

// Full records that an endpoint refused a request for lack of capacity.
func (t *Tracker) RecordFull(now time.Time, name string) { t.entry(name).fullAt = now }

// Unreachable records that this router could not reach an endpoint.
func (t *Tracker) RecordUnreachable(now time.Time, name string) {
	s := t.entry(name)
	s.until = now.Add(min(maxExclusion, firstExclusion<<min(s.failures, 8)))
	s.failures++
}

// IsExcluded reports whether the endpoint was unreachable a short time ago.
func (t *Tracker) IsExcluded(now time.Time, name string) bool {
	s := t.by[name]
	return s != nil && now.Before(s.until)
}

// IsFull reports whether the endpoint refused a request for lack of capacity within the last 250 ms.
func (t *Tracker) IsFull(now time.Time, name string) bool {
	s := t.by[name]
	return s != nil && !s.fullAt.IsZero() && now.Sub(s.fullAt) < loadAge
}

// LoadHint returns the mean of the loads seen within the last 250 ms; 0 if there is none.
func (t *Tracker) MeanLoad(now time.Time) float64 {
	if t.hintAt.IsZero() || now.Sub(t.hintAt) >= hintAge {
		t.hint, t.hintAt = t.computeMeanLoad(now), now
	}
	return t.hint
}

func (t *Tracker) computeMeanLoad(now time.Time) float64 {
	var sum, n int
	for _, s := range t.by {
		if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadAge {
			sum += s.inFlight
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// Retain forgets every endpoint that is not a member of p.
func (t *Tracker) Retain(p *Pool) {
	for name := range t.by {
		if _, ok := p.IndexOf(name); !ok {
			delete(t.by, name)
		}
	}
}
