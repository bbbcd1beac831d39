package exchanger

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

// spareNumbers is how many numbers of endpoints that are gone a connection keeps beyond those in use; their names take
// some 20 bytes each at both ends.
const maxUnusedNumbers = 256

// Loads holds requests in flight by endpoint ID.
type Loads map[string]int

// loadsMessage names an endpoint once on a connection; from then on its number stands for it.
type loadsMessage struct {
	Reset  bool     `cbor:"1,keyasint,omitempty"` // numbers start anew
	NewIDs []string `cbor:"2,keyasint,omitempty"` // of the next numbers
	Counts []byte   `cbor:"3,keyasint,omitempty"` // pairs of varints: distance from the number before, and requests
}

// loadEncoder holds the numbers that one direction of a connection has given.
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

// loadTeller holds what one direction of a connection was told last.
type loadSender struct {
	encoder    loadEncoder
	last       Loads
	lastSentAt time.Time
}

// isDue reports whether the pause that the size of the last message asks for has passed.
func (t *loadSender) isDue() bool { return time.Since(t.lastSentAt) >= minLoadInterval(len(t.last)) }

func (t *loadSender) hasChanged(loads Loads) bool { return !maps.Equal(loads, t.last) }

// isOld reports whether the numbers have to be repeated, because they count for a second only.
func (t *loadSender) needsRefresh() bool { return time.Since(t.lastSentAt) >= loadRefreshInterval }

func (t *loadSender) newMessage(loads Loads) loadsMessage {
	t.last, t.lastSentAt = loads, time.Now()
	return t.encoder.encode(loads)
}

// loadDecoder holds the names behind the numbers of one direction of a connection.
type loadDecoder struct{ ids []string }

var errInvalidLoads = errors.New("requests in flight can't be read")

func (d *loadDecoder) decode(m *loadsMessage) (Loads, error) {
	if m.Reset {
		d.ids = nil
	}
	d.ids = append(d.ids, m.NewIDs...)
	loads := make(Loads, len(m.Counts)/2)
	number := uint64(0)
	for rest := m.Counts; len(rest) > 0; number++ {
		distance, n := binary.Uvarint(rest)
		if n <= 0 || distance >= uint64(len(d.ids)) {
			return nil, errInvalidLoads
		}
		count, k := binary.Uvarint(rest[n:])
		number += distance
		if k <= 0 || number >= uint64(len(d.ids)) || count > maxRequests {
			return nil, errInvalidLoads
		}
		loads[d.ids[number]] = int(count)
		rest = rest[n+k:]
	}
	return loads, nil
}

// maxCount is above the requests that any endpoint holds.
const maxRequests = 1 << 30
