package registrar

import "time"

// MaxDepartures bounds the departures that are remembered; the oldest ones are forgotten.
const MaxDepartures = 4096

// Departure records that a start of an endpoint accepts no new requests any more. Earlier starts of the same endpoint
// have ended.
type Departure struct {
	ID       string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"`
	IsGone   bool   `cbor:"3,keyasint,omitempty"` // has deregistered; otherwise it is draining
	Sequence uint64 `cbor:"4,keyasint,omitempty"` // of the heartbeat with which it began to drain
}

// Supersedes reports whether d says more than the known departure of the same endpoint.
func (d *Departure) Supersedes(known *Departure) bool {
	return d.Born > known.Born || d.Born == known.Born && d.IsGone && !known.IsGone
}

// applyTo returns the record with the state that the departure implies.
func (d *Departure) applyTo(e Endpoint) Endpoint {
	switch {
	case e.State == Gone || e.Born > d.Born:
	case e.Born < d.Born || d.IsGone:
		e.State, e.Sequence = Gone, finalSequence
	case e.State != Draining:
		e.State, e.Sequence = Draining, max(e.Sequence, d.Sequence)
	}
	return e
}

// RecordDeparture applies a departure to the record of the endpoint, and to those that are merged later. It returns the
// record if that has changed.
func (r *Registrar) RecordDeparture(now time.Time, d Departure) (e Endpoint, changed bool) {
	known, ok := r.departures[d.ID]
	if ok && !d.Supersedes(&known) {
		return Endpoint{}, false
	}
	r.departures[d.ID] = d
	if !ok {
		r.departureOrder = append(r.departureOrder, d.ID)
	}
	if len(r.departureOrder) > MaxDepartures {
		delete(r.departures, r.departureOrder[0])
		r.departureOrder = r.departureOrder[1:]
	}
	cur := r.records[d.ID]
	if cur == nil {
		return Endpoint{}, false
	}
	if e = d.applyTo(*cur); e.State == cur.State {
		return Endpoint{}, false
	}
	e.Changed = now
	r.records[d.ID] = &e
	return e, true
}
