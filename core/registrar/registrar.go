package registrar

import (
	"math"
	"slices"
	"time"
)

// State is the state of an endpoint, as the endpoint or an instance reported it.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota + 1
	Draining       // accepts no new requests and finishes those in flight
	Gone           // has deregistered
	Silent         // sends no heartbeats, but may still serve
)

// String returns the state in lower case.
func (s State) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone", "silent"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// finalSequence is the sequence number of a record that no heartbeat of the same start can replace.
const finalSequence = math.MaxUint64

// silentAfterIntervals is the number of heartbeat intervals without a heartbeat after which an endpoint is silent. It
// tolerates a lost heartbeat and a late one, which are usual.
const silentAfterIntervals = 4

// goneRetention is how long the record of a deregistered endpoint is kept, so that late heartbeats don't restore it.
const goneRetention = 2 * time.Minute

// unknownRetention is how long the record of a silent endpoint is kept whose service no plan has named.
const unknownRetention = 2 * time.Minute

// maxServices bounds the names of services of earlier plans.
const maxServices = 10_000

// Endpoint is the record of one start of an endpoint. Instances store it in CBOR under its field names.
type Endpoint struct {
	ID       string
	Service  string
	Address  string
	Domain   string // failure domain
	Version  string // of the endpoint's software; versions have no order
	Slots    int
	State    State
	Born     int64 // start time in Unix milliseconds, by the endpoint's clock
	Sequence uint64
	// ColdUntil is when the endpoint's warm-up ends, by the clock of this process; zero if it is warm.
	ColdUntil time.Time
	// Changed is when this process received the last change that affects routing.
	Changed time.Time
}

// coldUntilTolerance is the largest difference of ColdUntil that is ignored, because reports of the remaining time vary
// by as much.
const coldUntilTolerance = 400 * time.Millisecond

// Registrar is a table of endpoint records. It is not safe for concurrent use.
type Registrar struct {
	heartbeatInterval time.Duration
	records           map[string]*Endpoint
	lastHeartbeat     map[string]time.Time // by ID, of endpoints that send their heartbeats to this instance
	services          map[string]bool      // that plans have named; empty before the first plan
	departures        map[string]Departure // by ID
	departureOrder    []string             // IDs in departures, oldest first
}

// New returns an empty table for endpoints that send a heartbeat in each interval.
func New(heartbeatInterval time.Duration) *Registrar {
	return &Registrar{heartbeatInterval: heartbeatInterval, records: map[string]*Endpoint{},
		lastHeartbeat: map[string]time.Time{}, services: map[string]bool{}, departures: map[string]Departure{}}
}

// AddServices records the services of a plan. Those of earlier plans remain known, because their endpoints may still be
// at their addresses.
func (r *Registrar) AddServices(names []string) {
	if len(r.services)+len(names) > maxServices {
		clear(r.services)
	}
	for _, name := range names {
		r.services[name] = true
	}
}

func (r *Registrar) isKnownService(name string) bool { return len(r.services) == 0 || r.services[name] }

// MergeResult is the effect of a merge on the table.
type MergeResult uint8

// The results of a merge.
const (
	Unchanged MergeResult = iota
	Changed               // the record affects routing
	Outdated              // the table holds a newer record that the sender lacks
	Invalid               // the record was not merged, see Endpoint.Check
	TakenOver             // only the instance to which the endpoint sends its heartbeats has changed
)

// RecordHeartbeat merges a record that an endpoint sent to this instance and restarts its heartbeat timeout. The other
// instances need to know the record unless it is unchanged: the former one waits for its heartbeats.
func (r *Registrar) RecordHeartbeat(now time.Time, e Endpoint) MergeResult {
	if e.CheckHeartbeat(now) != nil {
		return Invalid
	}
	_, isKnown := r.records[e.ID]
	_, wasHere := r.lastHeartbeat[e.ID]
	result := r.Merge(now, e)
	if result == Unchanged && isKnown && !wasHere {
		result = TakenOver
	}
	if cur := r.records[e.ID]; cur != nil && cur.Born == e.Born && cur.State != Gone {
		r.lastHeartbeat[e.ID] = now
	}
	return result
}

// Deregister marks the current start of an endpoint as gone and returns its record, or false if it is unknown.
func (r *Registrar) Deregister(now time.Time, id string) (Endpoint, bool) {
	cur := r.records[id]
	if cur == nil {
		return Endpoint{}, false
	}
	e := *cur
	e.State, e.Sequence = Gone, finalSequence
	r.Merge(now, e)
	return *r.records[id], true
}

// Merge replaces the record of an endpoint if the given one is newer.
func (r *Registrar) Merge(now time.Time, e Endpoint) MergeResult {
	if e.Check() != nil {
		return Invalid
	}
	unchanged := Unchanged
	if d, ok := r.departures[e.ID]; ok {
		departed := d.applyTo(e)
		if departed.State != e.State {
			unchanged = Outdated
		}
		e = departed
	}
	e.Changed = now
	cur := r.records[e.ID]
	if cur == nil {
		r.records[e.ID] = &e
		return Changed
	}
	if e.Born > cur.Born || e.Born == cur.Born && e.Sequence > cur.Sequence {
		// Its heartbeats go elsewhere, or RecordHeartbeat records this one.
		delete(r.lastHeartbeat, e.ID)
	}
	if cur.Born == e.Born && cur.State != Gone && e.State != Gone && (cur.State == Draining) != (e.State == Draining) {
		// A draining endpoint never becomes ready again; what it told in a response may be older than a heartbeat.
		return r.mergeDraining(cur, e)
	}
	if !isNewer(&e, cur) {
		if isNewer(cur, &e) && affectsRouting(cur, &e) {
			return Outdated
		}
		return unchanged
	}
	if !affectsRouting(cur, &e) {
		cur.Sequence = e.Sequence
		return unchanged
	}
	r.records[e.ID] = &e
	return Changed
}

// mergeDraining merges two records of one start, one of which is draining: the other fields of the newer record count.
func (r *Registrar) mergeDraining(cur *Endpoint, e Endpoint) MergeResult {
	if e.State == Draining {
		if !isNewer(&e, cur) {
			changed := e.Changed
			e = *cur
			e.State, e.Changed = Draining, changed
		}
		r.records[e.ID] = &e
		return Changed
	}
	if isNewer(&e, cur) {
		e.State = Draining
		if affectsRouting(cur, &e) {
			r.records[e.ID] = &e
			return Changed
		}
		cur.Sequence = e.Sequence
	}
	return Outdated // the sender does not know that the endpoint drains
}

// isNewer reports whether a replaces b: by start, then by sequence number. Under the same number silent replaces ready,
// and draining replaces both.
func isNewer(a, b *Endpoint) bool {
	switch {
	case a.Born != b.Born:
		return a.Born > b.Born
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	default:
		return a.State == Silent && b.State == Ready || a.State == Draining && (b.State == Ready || b.State == Silent)
	}
}

func affectsRouting(a, b *Endpoint) bool {
	if a.State != b.State || a.Born != b.Born || a.Address != b.Address || a.Service != b.Service ||
		a.Domain != b.Domain || a.Slots != b.Slots || a.Version != b.Version {
		return true
	}
	d := a.ColdUntil.Sub(b.ColdUntil)
	return a.ColdUntil.IsZero() != b.ColdUntil.IsZero() || d > coldUntilTolerance || d < -coldUntilTolerance
}

// Expire marks endpoints as silent whose heartbeats to this instance have timed out, and returns their records. It also
// removes expired records of deregistered endpoints, and of silent ones of unknown services.
func (r *Registrar) Expire(now time.Time) (changed []Endpoint) {
	for id, at := range r.lastHeartbeat {
		if now.Sub(at) < silentAfterIntervals*r.heartbeatInterval {
			continue
		}
		delete(r.lastHeartbeat, id)
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
		age := now.Sub(e.Changed)
		if e.State == Gone && age > goneRetention ||
			e.State == Silent && age > unknownRetention && !r.isKnownService(e.Service) {
			delete(r.records, id)
		}
	}
	return changed
}

// All returns the records of all endpoints, including those that are gone.
func (r *Registrar) All() []Endpoint {
	all := make([]Endpoint, 0, len(r.records))
	for _, e := range r.records {
		all = append(all, *e)
	}
	return all
}

// RegisteredEndpoints returns the latest endpoint of a known service at each address unless it is gone. It includes
// silent endpoints, because they may be unreachable from this instance only. A record of an unknown service may be from
// another writer and takes no address until a plan names its service.
func (r *Registrar) RegisteredEndpoints() []Endpoint {
	latest := make(map[string]*Endpoint, len(r.records))
	for _, e := range r.records {
		if !r.isKnownService(e.Service) {
			continue
		}
		if cur := latest[e.Address]; cur == nil || e.Born > cur.Born {
			latest[e.Address] = e
		}
	}
	list := make([]Endpoint, 0, len(latest))
	for _, e := range latest {
		if e.State != Gone {
			list = append(list, *e)
		}
	}
	return list
}

// Versions returns the distinct software versions of the endpoints of some services that are ready or draining, or were
// within goneRetention, which is longer than a stream lasts.
func (r *Registrar) Versions(now time.Time, services []string) (versions []string) {
	for _, e := range r.records {
		isPresent := e.State == Ready || e.State == Draining || now.Sub(e.Changed) <= goneRetention
		if isPresent && slices.Contains(services, e.Service) && !slices.Contains(versions, e.Version) {
			versions = append(versions, e.Version)
		}
	}
	return versions
}

// AcceptsRequests reports whether new requests may be sent to the endpoint.
func (e *Endpoint) AcceptsRequests() bool { return e.State == Ready || e.State == Silent }

// Get returns the record of an endpoint, or the zero Endpoint if there is none.
func (r *Registrar) Get(id string) Endpoint {
	if e := r.records[id]; e != nil {
		return *e
	}
	return Endpoint{}
}
