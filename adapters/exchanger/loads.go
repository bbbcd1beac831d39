package exchanger

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/chooser"
)

// maxUnusedNumbers bounds the numbers of removed endpoints that a connection keeps; each ID takes some 20 bytes at both
// ends.
const maxUnusedNumbers = 256

// Loads holds the load of endpoints by ID.
type Loads = chooser.Loads

// loadsMessage carries the loads of endpoints. The ID of an endpoint is sent once on a connection and gets the next
// number, which identifies it in later messages.
type loadsMessage struct {
	Reset  bool     `cbor:"1,keyasint,omitempty"` // all earlier numbers are dropped
	NewIDs []string `cbor:"2,keyasint,omitempty"` // endpoint IDs, which get the next numbers
	Counts []byte   `cbor:"3,keyasint,omitempty"` // varint pairs: delta = number - (previous number + 1), and requests
	// Wanted is encoded as Counts, for endpoints whose wanted requests are far above the average; the other endpoints in
	// Counts have WantedMean.
	Wanted     []byte  `cbor:"4,keyasint,omitempty"`
	WantedMean float64 `cbor:"5,keyasint,omitempty"`
	// Limits holds the rate limits that have changed since the last message, and the numbers of the endpoints.
	Limits []limitRecord `cbor:"6,keyasint,omitempty"`
	// Sent is encoded as Counts, for endpoints with a rate limit: their requests within the window of the limits. Without
	// it, those of the last message hold.
	Sent []byte `cbor:"7,keyasint,omitempty"`
}

// limitRecord is what routers know of the rate limit of an endpoint.
type limitRecord struct {
	Number    uint64  `cbor:"1,keyasint"`
	Born      int64   `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	IsNamed   bool    `cbor:"4,keyasint,omitempty"`
	AgeMillis int64   `cbor:"5,keyasint"` // of the response that named or ended it
}

// sentInterval is how often the requests to endpoints with a rate limit are sent; it bounds the bytes while many
// endpoints name limits.
const sentInterval = 200 * time.Millisecond

// wantedFactor is the multiple of the mean from which the wanted requests of an endpoint are sent.
const wantedFactor = 1.5

// loadEncoder encodes loads for one direction of a connection; numbers are by endpoint ID.
type loadEncoder struct {
	numbers map[string]uint64
	limits  map[string]chooser.RateLoad // as the receiver knows them, by endpoint ID
	sentAt  time.Time                   // when Sent was last sent
}

func (e *loadEncoder) encode(now time.Time, loads Loads) (m loadsMessage) {
	if e.numbers == nil || len(e.numbers) > 2*len(loads)+maxUnusedNumbers {
		e.numbers, e.limits, e.sentAt, m.Reset = map[string]uint64{}, map[string]chooser.RateLoad{}, time.Time{}, true
	}
	requests := make(map[uint64]int, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		n, known := e.numbers[id]
		if !known {
			n = uint64(len(e.numbers))
			e.numbers[id] = n
			m.NewIDs = append(m.NewIDs, id)
		}
		requests[n] = loads[id].Requests
	}
	m.Counts = encodeCounts(requests)
	m.Wanted, m.WantedMean = e.encodeWanted(loads)
	e.encodeLimits(now, loads, &m)
	return m
}

// encodeLimits adds the changed limits, and the requests to endpoints with a limit if they are due.
func (e *loadEncoder) encodeLimits(now time.Time, loads Loads, m *loadsMessage) {
	isDue := e.isSentDue(now, loads)
	sent := map[uint64]int{}
	for id, l := range loads {
		r, last := l.Rate, e.limits[id]
		if r.ObservedAt.IsZero() {
			continue
		}
		n := e.numbers[id]
		if !isSameLimit(r, last) {
			m.Limits = append(m.Limits, limitRecord{Number: n, Born: r.Born, PerSecond: r.PerSecond, IsNamed: r.IsNamed,
				AgeMillis: min(max(0, now.Sub(r.ObservedAt).Milliseconds()), maxAgeMillis)})
		}
		sent[n] = r.Sent
		if !isDue {
			r.Sent = last.Sent
		}
		e.limits[id] = r
	}
	if isDue {
		m.Sent, e.sentAt = encodeCounts(sent), now
	}
}

// isSentDue reports whether the requests to endpoints with a limit have changed and sentInterval has passed.
func (e *loadEncoder) isSentDue(now time.Time, loads Loads) bool {
	if now.Sub(e.sentAt) < sentInterval {
		return false
	}
	for id, l := range loads {
		if !l.Rate.ObservedAt.IsZero() && l.Rate.Sent != e.limits[id].Sent {
			return true
		}
	}
	return false
}

func isSameLimit(a, b chooser.RateLoad) bool {
	return a.Born == b.Born && a.PerSecond == b.PerSecond && a.IsNamed == b.IsNamed &&
		a.ObservedAt.IsZero() == b.ObservedAt.IsZero()
}

// encodeWanted returns the wanted requests of the endpoints far above the mean, and the mean of the others.
func (e *loadEncoder) encodeWanted(loads Loads) (counts []byte, mean float64) {
	total := 0.0
	for _, l := range loads {
		total += l.Wanted
	}
	threshold := wantedFactor * total / float64(max(1, len(loads)))
	above := map[uint64]int{}
	for id, l := range loads {
		if n := int(math.Round(l.Wanted)); l.Wanted > threshold && n > 0 {
			above[e.numbers[id]] = n
			total -= l.Wanted
		}
	}
	// The difference may be less than 0 by rounding.
	return encodeCounts(above), max(0, total) / float64(max(1, len(loads)-len(above)))
}

// encodeCounts encodes counts by the number of an endpoint.
func encodeCounts(counts map[uint64]int) []byte {
	encoded := make([]byte, 0, 2*len(counts))
	next := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		encoded = binary.AppendUvarint(encoded, n-next)
		encoded = binary.AppendUvarint(encoded, uint64(max(0, counts[n])))
		next = n + 1
	}
	return encoded
}

// loadSender decides when loads are sent in one direction of a connection, and encodes them.
type loadSender struct {
	encoder    loadEncoder
	lastSent   Loads
	lastSentAt time.Time
}

// isDue reports whether the minimum interval since the last message has passed; it grows with that message's size.
func (s *loadSender) isDue() bool {
	return time.Since(s.lastSentAt) >= minLoadInterval(len(s.lastSent))
}

// hasChanged reports whether requests have begun or ended, a limit has changed, or the requests to endpoints with one
// are due; the wanted requests change more often, and less.
func (s *loadSender) hasChanged(loads Loads) bool {
	return s.encoder.isSentDue(time.Now(), loads) || !maps.EqualFunc(loads, s.lastSent, func(a, b chooser.Load) bool {
		return a.Requests == b.Requests && isSameLimit(a.Rate, b.Rate)
	})
}

// needsRefresh reports whether unchanged loads must be sent again, because the receiver uses them for 1 s only.
func (s *loadSender) needsRefresh() bool { return time.Since(s.lastSentAt) >= loadRefreshInterval }

func (s *loadSender) newMessage(loads Loads) loadsMessage {
	s.lastSent, s.lastSentAt = loads, time.Now()
	return s.encoder.encode(s.lastSentAt, loads)
}

// loadDecoder decodes the loads of one direction of a connection; ids are the endpoint IDs by number.
type loadDecoder struct {
	ids    []string
	limits map[string]chooser.RateLoad // last received, by endpoint ID
}

var errInvalidLoads = errors.New("invalid encoding of requests in flight")

func (d *loadDecoder) decode(now time.Time, m *loadsMessage) (Loads, error) {
	if m.Reset {
		d.ids, d.limits = nil, nil
	}
	d.ids = append(d.ids, m.NewIDs...)
	if m.WantedMean < 0 || m.WantedMean > maxRequests || math.IsNaN(m.WantedMean) {
		return nil, errInvalidLoads
	}
	loads := make(Loads, len(m.Counts)/2)
	err := d.decodeCounts(m.Counts, func(id string, n int) {
		loads[id] = chooser.Load{Requests: n, Wanted: m.WantedMean}
	})
	if err != nil {
		return nil, err
	}
	err = d.decodeCounts(m.Wanted, func(id string, n int) {
		loads[id] = chooser.Load{Requests: loads[id].Requests, Wanted: float64(n)}
	})
	if err == nil {
		err = d.decodeLimits(now, m)
	}
	for id, r := range d.limits {
		if l, ok := loads[id]; ok {
			l.Rate = r
			loads[id] = l
		}
	}
	return loads, err
}

func (d *loadDecoder) decodeLimits(now time.Time, m *loadsMessage) error {
	if d.limits == nil {
		d.limits = map[string]chooser.RateLoad{}
	}
	for _, r := range m.Limits {
		if r.Number >= uint64(len(d.ids)) || !(r.PerSecond >= 0) || math.IsInf(r.PerSecond, 0) {
			return errInvalidLoads
		}
		age := time.Duration(min(max(0, r.AgeMillis), maxAgeMillis)) * time.Millisecond
		d.limits[d.ids[r.Number]] = chooser.RateLoad{Born: r.Born, PerSecond: r.PerSecond, IsNamed: r.IsNamed,
			ObservedAt: now.Add(-age)}
	}
	return d.decodeCounts(m.Sent, func(id string, n int) {
		if r, ok := d.limits[id]; ok {
			r.Sent = n
			d.limits[id] = r
		}
	})
}

func (d *loadDecoder) decodeCounts(counts []byte, each func(id string, n int)) error {
	if !decodeCounts(counts, d.ids, 0, maxRequests, func(id string, n uint64) { each(id, int(n)) }) {
		return errInvalidLoads
	}
	return nil
}

// decodeCounts decodes what encodeCounts has encoded, with the names by number; counts of the unknown numbers that
// follow are skipped. ok is false if a number is beyond these or a count is above the bound.
func decodeCounts(
	counts []byte, names []string, unknown int, maxCount uint64, each func(name string, n uint64),
) (ok bool) {
	number, numbers := uint64(0), uint64(len(names)+unknown)
	for rest := counts; len(rest) > 0; number++ {
		delta, n := binary.Uvarint(rest)
		if n <= 0 || delta >= numbers {
			return false
		}
		count, k := binary.Uvarint(rest[n:])
		number += delta
		if k <= 0 || number >= numbers || count > maxCount {
			return false
		}
		if number < uint64(len(names)) {
			each(names[number], count)
		}
		rest = rest[n+k:]
	}
	return true
}

// maxRequests is more than any endpoint can have in flight.
const maxRequests = 1 << 30
