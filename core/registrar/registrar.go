package registrar

import (
	"math"
	"time"
)

// State is what an endpoint or an instance says of it.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota + 1
	Draining       // takes no new requests, finishes those it has
	Gone           // has said that it leaves
	Silent         // its heartbeats stopped; it may still serve
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "gone", "silent"}[s]
}

// lastSequence is the sequence number of a record that no later heartbeat of the same start can replace.
const lastSequence = math.MaxUint64

// silentAfter is how many heartbeat intervals may pass before an endpoint counts as silent: a lost heartbeat and a
// late one are usual.
const silentAfter = 4

// goneFor is how long a record of an endpoint that left is kept, so that late heartbeats don't bring it back.
const goneFor = 2 * time.Minute

// Endpoint is one start of an endpoint as it registered itself.
type Endpoint struct {
	ID       string
	Service  string
	Address  string
	Domain   string // failure domain
	Slots    int
	State    State
	Born     int64 // start in Unix milliseconds by its own clock
	Sequence uint64
	// ColdUntil is when the endpoint stops being cold, by the clock of this process; zero when it is warm.
	ColdUntil time.Time
	// Changed is when this process learned of the last change that matters to routing.
	Changed time.Time
}

// coldSlack is the change of ColdUntil that matters: the remaining time is stated with this much jitter.
const coldSlack = 400 * time.Millisecond

// Registrar is the table of endpoints; one goroutine uses it.
type Registrar struct {
	interval time.Duration // between two heartbeats
	records  map[string]*Endpoint
	heard    map[string]time.Time // of those that send their heartbeats here
}

// New returns an empty table for endpoints that send a heartbeat at an interval.
func New(interval time.Duration) *Registrar {
	return &Registrar{interval: interval, records: map[string]*Endpoint{}, heard: map[string]time.Time{}}
}

// MergeResult tells what a merge did.
type MergeResult uint8

// The outcomes of a merge.
const (
	Unchanged MergeResult = iota
	Changed               // routing must learn of the record
	Outdated              // the table holds a newer record that the sender lacks
)

// RecordHeartbeat merges a heartbeat that an endpoint sent to this instance.
func (r *Registrar) RecordHeartbeat(now time.Time, e Endpoint) MergeResult {
	o := r.Merge(now, e)
	if cur := r.records[e.ID]; cur != nil && cur.Born == e.Born && cur.State != Gone {
		r.heard[e.ID] = now
	}
	return o
}

// Deregister records that an endpoint has left for good under its present start; an unknown one needs no record.
func (r *Registrar) Deregister(now time.Time, id string) (Endpoint, bool) {
	cur := r.records[id]
	if cur == nil {
		return Endpoint{}, false
	}
	e := *cur
	e.State, e.Sequence = Gone, lastSequence
	r.Merge(now, e)
	return *r.records[id], true
}

// Merge takes a record of another instance if it is newer.
func (r *Registrar) Merge(now time.Time, e Endpoint) MergeResult {
	e.Changed = now
	cur := r.records[e.ID]
	if cur == nil {
		r.records[e.ID] = &e
		return Changed
	}
	if !isNewer(&e, cur) {
		if isNewer(cur, &e) && matters(cur, &e) {
			return Outdated
		}
		return Unchanged
	}
	if cur.State == Draining && e.State == Ready && cur.Born == e.Born {
		// Two heartbeats that crossed: an endpoint that said it drains never takes that back.
		e.State = Draining
	}
	if !matters(cur, &e) {
		cur.Sequence = e.Sequence
		return Unchanged
	}
	r.records[e.ID] = &e
	return Changed
}

func isNewer(a, b *Endpoint) bool {
	switch {
	case a.Born != b.Born:
		return a.Born > b.Born
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	default:
		return a.State == Silent && b.State == Ready
	}
}

func matters(a, b *Endpoint) bool {
	if a.State != b.State || a.Born != b.Born || a.Address != b.Address || a.Service != b.Service ||
		a.Domain != b.Domain || a.Slots != b.Slots {
		return true
	}
	d := a.ColdUntil.Sub(b.ColdUntil)
	return a.ColdUntil.IsZero() != b.ColdUntil.IsZero() || d > coldSlack || d < -coldSlack
}

// Expire marks endpoints as silent whose heartbeats stopped at this instance, and returns their records.
func (r *Registrar) Expire(now time.Time) (changed []Endpoint) {
	for id, at := range r.heard {
		if now.Sub(at) < silentAfter*r.interval {
			continue
		}
		delete(r.heard, id)
		cur := r.records[id]
		if cur == nil || cur.State != Ready {
			continue
		}
		e := *cur
		e.State = Silent
		if r.Merge(now, e) == Changed {
			changed = append(changed, *r.records[id])
		}
	}
	for id, e := range r.records {
		if e.State == Gone && now.Sub(e.Changed) > goneFor {
			delete(r.records, id)
		}
	}
	return changed
}

// All returns the records.
func (r *Registrar) All() []Endpoint {
	all := make([]Endpoint, 0, len(r.records))
	for _, e := range r.records {
		all = append(all, *e)
	}
	return all
}

// RegisteredEndpoints returns the endpoints that haven't left. Of several at one address only the one that started last is there;
// silent ones are included, because they may be cut off from this instance only.
func (r *Registrar) RegisteredEndpoints() []Endpoint {
	latest := map[string]*Endpoint{}
	for _, e := range r.records {
		if cur := latest[e.Address]; cur == nil || e.Born > cur.Born {
			latest[e.Address] = e
		}
	}
	var list []Endpoint
	for _, e := range latest {
		if e.State != Gone {
			list = append(list, *e)
		}
	}
	return list
}

// AcceptsRequests reports whether the endpoint takes new requests.
func (e *Endpoint) AcceptsRequests() bool { return e.State == Ready || e.State == Silent }

// Get returns a record, empty when there is none.
func (r *Registrar) Get(id string) Endpoint {
	if e := r.records[id]; e != nil {
		return *e
	}
	return Endpoint{}
}
