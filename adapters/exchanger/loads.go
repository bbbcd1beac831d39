package exchanger

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// maxUnusedNumbers bounds the numbers of removed endpoints that a connection keeps; each ID takes some 20 bytes at both
// ends.
const maxUnusedNumbers = 256

// Loads holds requests in flight by endpoint ID.
type Loads map[string]int

// loadsMessage carries the requests in flight of endpoints. The ID of an endpoint is sent once on a connection and
// gets the next number, which identifies it in later messages.
type loadsMessage struct {
	Reset  bool     `cbor:"1,keyasint,omitempty"` // all earlier numbers are dropped
	NewIDs []string `cbor:"2,keyasint,omitempty"` // endpoint IDs, which get the next numbers
	Counts []byte   `cbor:"3,keyasint,omitempty"` // varint pairs: delta = number - (previous number + 1), and requests
}

// loadEncoder encodes loads for one direction of a connection; numbers are by endpoint ID.
type loadEncoder struct{ numbers map[string]uint64 }

func (e *loadEncoder) encode(loads Loads) (m loadsMessage) {
	if e.numbers == nil || len(e.numbers) > 2*len(loads)+maxUnusedNumbers {
		e.numbers, m.Reset = map[string]uint64{}, true
	}
	byNumber := make(map[uint64]int, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		n, known := e.numbers[id]
		if !known {
			n = uint64(len(e.numbers))
			e.numbers[id] = n
			m.NewIDs = append(m.NewIDs, id)
		}
		byNumber[n] = loads[id]
	}
	m.Counts = make([]byte, 0, 2*len(loads))
	next := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(byNumber)) {
		m.Counts = binary.AppendUvarint(m.Counts, n-next)
		m.Counts = binary.AppendUvarint(m.Counts, uint64(max(0, byNumber[n])))
		next = n + 1
	}
	return m
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

func (s *loadSender) hasChanged(loads Loads) bool { return !maps.Equal(loads, s.lastSent) }

// needsRefresh reports whether unchanged loads must be sent again, because the receiver uses them for 1 s only.
func (s *loadSender) needsRefresh() bool { return time.Since(s.lastSentAt) >= loadRefreshInterval }

func (s *loadSender) newMessage(loads Loads) loadsMessage {
	s.lastSent, s.lastSentAt = loads, time.Now()
	return s.encoder.encode(loads)
}

// loadDecoder decodes the loads of one direction of a connection; ids are the endpoint IDs by number.
type loadDecoder struct{ ids []string }

var errInvalidLoads = errors.New("invalid encoding of requests in flight")

func (d *loadDecoder) decode(m *loadsMessage) (Loads, error) {
	if m.Reset {
		d.ids = nil
	}
	d.ids = append(d.ids, m.NewIDs...)
	loads := make(Loads, len(m.Counts)/2)
	number := uint64(0)
	for rest := m.Counts; len(rest) > 0; number++ {
		delta, n := binary.Uvarint(rest)
		if n <= 0 || delta >= uint64(len(d.ids)) {
			return nil, errInvalidLoads
		}
		count, k := binary.Uvarint(rest[n:])
		number += delta
		if k <= 0 || number >= uint64(len(d.ids)) || count > maxRequests {
			return nil, errInvalidLoads
		}
		loads[d.ids[number]] = int(count)
		rest = rest[n+k:]
	}
	return loads, nil
}

// maxRequests is more than any endpoint can have in flight.
const maxRequests = 1 << 30
