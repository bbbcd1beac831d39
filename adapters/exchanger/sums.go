package exchanger

import (
	"errors"
	"maps"
	"slices"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/summer"
)

// Sums holds the named sums of one router, or of all.
type Sums = summer.Sums

const (
	// sumInterval is the minimum time between two messages with sums, and sumKeysPerInterval the number of keys that
	// lengthens it by as much, so that the bytes per second stay bounded.
	sumInterval        = 200 * time.Millisecond
	sumKeysPerInterval = 128

	// sumRefreshInterval is how often unchanged sums are sent again, because receivers know their age only so.
	sumRefreshInterval = time.Second

	// dropReportInterval is how often the keys that messages have left out are reported.
	dropReportInterval = 10 * time.Second
)

// sumsMessage carries sums. A key is sent once on a connection and gets the next number, which identifies it later.
type sumsMessage struct {
	Reset   bool     `cbor:"1,keyasint,omitempty"` // all earlier numbers are dropped
	NewKeys []string `cbor:"2,keyasint,omitempty"` // get the next numbers
	Values  []byte   `cbor:"3,keyasint,omitempty"` // varint pairs, as loadsMessage.Counts
}

// sumSender decides when sums are sent in one direction of a connection, and encodes them.
type sumSender struct {
	numbers map[string]uint64
	last    Sums
	sentAt  time.Time

	dropped    int       // most keys left out of a message since reportedAt
	reportedAt time.Time // when dropped was last taken
}

// isDue reports whether the minimum interval since the last message has passed.
func (s *sumSender) isDue(now time.Time) bool {
	return now.Sub(s.sentAt) >= sumInterval*time.Duration(1+len(s.last)/sumKeysPerInterval)
}

// takeDropped returns the number of keys that a message had to leave out since the last call, 0 if it was not long ago.
func (s *sumSender) takeDropped(now time.Time) (n int) {
	if s.dropped == 0 || now.Sub(s.reportedAt) < dropReportInterval {
		return 0
	}
	n, s.dropped, s.reportedAt = s.dropped, 0, now
	return n
}

// next returns the message with the sums, which must not change, if they are to be sent; nil sums are not. The receiver
// takes no more than summer.MaxKeys in each message, while the sums of all routers have as many keys as they differ in.
func (s *sumSender) next(now time.Time, sums Sums) (m sumsMessage, ok bool) {
	sums, dropped := sums.Bounded(summer.MaxKeys)
	s.dropped = max(s.dropped, dropped)
	if sums == nil || maps.Equal(sums, s.last) && now.Sub(s.sentAt) < sumRefreshInterval {
		return m, false
	}
	if s.numbers == nil || len(s.numbers) > 2*len(sums)+maxUnusedNumbers {
		s.numbers, m.Reset = map[string]uint64{}, true
	}
	values := make(map[uint64]int, len(sums))
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		n, known := s.numbers[key]
		if !known {
			n = uint64(len(s.numbers))
			s.numbers[key] = n
			m.NewKeys = append(m.NewKeys, key)
		}
		values[n] = int(min(sums[key], summer.MaxCount))
	}
	m.Values = encodeCounts(values)
	s.last, s.sentAt = sums, now
	return m, true
}

// sumDecoder decodes the sums of one direction of a connection. The keys of numbers from maxSumNumbers on are unknown.
type sumDecoder struct {
	keys    []string // by number
	unknown int      // further numbers
}

var errInvalidSums = errors.New("invalid encoding of sums")

// maxSumNumbers bounds the numbers of keys on a connection; senders that bound their messages drop unused ones earlier.
const maxSumNumbers = 3*summer.MaxKeys + maxUnusedNumbers

// decodeEnvelope decodes a received message.
func (d *sumDecoder) decodeEnvelope(e *messenger.Envelope) (Sums, error) {
	var m sumsMessage
	if err := e.Decode(&m); err != nil {
		return nil, err
	}
	return d.decode(&m)
}

func (d *sumDecoder) decode(m *sumsMessage) (Sums, error) {
	if m.Reset {
		d.keys, d.unknown = nil, 0
	}
	for _, key := range m.NewKeys {
		if len(key) > summer.MaxKeyBytes {
			return nil, errInvalidSums
		}
	}
	known := min(len(m.NewKeys), maxSumNumbers-len(d.keys))
	d.keys = append(d.keys, m.NewKeys[:known]...)
	d.unknown += len(m.NewKeys) - known
	sums := make(Sums, len(m.Values)/2)
	ok := decodeCounts(m.Values, d.keys, d.unknown, summer.MaxCount, func(key string, n uint64) { sums[key] = n })
	if !ok {
		return nil, errInvalidSums
	}
	return sums, nil
}
