package exchanger

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/resumer"
)

const (
	// maxStreamRecords bounds the streams in one message.
	maxStreamRecords = 4096

	// maxStreamOrigins bounds the distinct origins in one message.
	maxStreamOrigins = 256

	// maxOriginNameBytes bounds the name of a service and of a version.
	maxOriginNameBytes = 256

	// maxPendingStreams bounds the unsent streams for one subscriber; a slower one is sent all streams.
	maxPendingStreams = 16_384

	// maxStreamMillis bounds the time until a stream expires: longer than any caller waits, and below 2^32.
	maxStreamMillis = 7 * 24 * 60 * 60 * 1000

	// storedClockSlack is how far the time of day may be stepped between the writing and the reading of stored streams
	// without an effect on when they expire.
	storedClockSlack = 30 * time.Second

	// maxStreamQueries bounds the concurrent queries of one subscriber.
	maxStreamQueries = 256
)

// streamsMessage holds the origins of streams. Each origin is named once.
type streamsMessage struct {
	Origins []originRecord `cbor:"1,keyasint"`
	Streams []streamRecord `cbor:"2,keyasint"`
	// Renewals are those of the streams, and absent if no stream was renewed.
	Renewals []uint16 `cbor:"3,keyasint,omitempty"`
	// StoredAt is when the streams were stored, in Unix milliseconds; it is absent from messages to other processes.
	StoredAt int64 `cbor:"4,keyasint,omitempty"`
}

type originRecord struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// streamRecord is a stream with the time left until it expires, because the clocks of processes may differ.
type streamRecord struct {
	_          struct{} `cbor:",toarray"`
	Key        uint64
	Origin     uint16 // index of the origin in the message
	LeftMillis uint32
}

// streamQueryMessage asks a control instance for the origin of a stream; the number of the envelope's stream names the
// query. The answer follows all endpoints that the instance knows when it answers.
type streamQueryMessage struct {
	Key uint64 `cbor:"1,keyasint"`
}

type streamAnswerMessage struct {
	Known   bool   `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"`
}

// streamAnswer is the answer to the query of a subscriber with a number.
type streamAnswer struct {
	number  uint64
	message streamAnswerMessage
}

// encodeStreams returns messages with the streams.
func encodeStreams(now time.Time, list []resumer.Stream) (messages []streamsMessage) {
	var m streamsMessage
	indexes := map[resumer.Origin]int{}
	var renewals []uint16
	flush := func() {
		if slices.ContainsFunc(renewals, func(n uint16) bool { return n > 0 }) {
			m.Renewals = renewals
		}
		if len(m.Streams) > 0 {
			messages = append(messages, m)
		}
		m, renewals = streamsMessage{}, nil
		clear(indexes)
	}
	for _, s := range list {
		left := s.Until.Sub(now).Milliseconds()
		if left <= 0 || len(s.Origin.Service) > maxOriginNameBytes || len(s.Origin.Version) > maxOriginNameBytes {
			continue
		}
		i, ok := indexes[s.Origin]
		if len(m.Streams) >= maxStreamRecords || !ok && len(m.Origins) >= maxStreamOrigins {
			flush()
			ok = false
		}
		if !ok {
			i = len(m.Origins)
			indexes[s.Origin] = i
			m.Origins = append(m.Origins, originRecord{Service: s.Origin.Service, Version: s.Origin.Version})
		}
		m.Streams = append(m.Streams, streamRecord{Key: uint64(s.Key), Origin: uint16(i),
			LeftMillis: uint32(min(left, maxStreamMillis))})
		renewals = append(renewals, s.Renewal)
	}
	flush()
	return messages
}

func decodeStreams(now time.Time, m *streamsMessage) ([]resumer.Stream, error) {
	if len(m.Streams) > maxStreamRecords || len(m.Origins) > maxStreamOrigins {
		return nil, fmt.Errorf("streams message has %d streams and %d origins, more than %d or %d", len(m.Streams),
			len(m.Origins), maxStreamRecords, maxStreamOrigins)
	}
	if n := len(m.Renewals); n > 0 && n != len(m.Streams) {
		return nil, fmt.Errorf("streams message has %d streams and %d renewals", len(m.Streams), n)
	}
	for _, o := range m.Origins {
		if n := max(len(o.Service), len(o.Version)); n > maxOriginNameBytes {
			return nil, fmt.Errorf("origin of a stream has a name of %d bytes", n)
		}
	}
	list := make([]resumer.Stream, 0, len(m.Streams))
	for i, r := range m.Streams {
		if int(r.Origin) >= len(m.Origins) {
			return nil, fmt.Errorf("stream names origin %d of %d", r.Origin, len(m.Origins))
		}
		o := m.Origins[r.Origin]
		left := time.Duration(min(int64(r.LeftMillis), maxStreamMillis)) * time.Millisecond
		s := resumer.Stream{Key: resumer.Key(r.Key), Origin: resumer.Origin{Service: o.Service, Version: o.Version},
			Until: now.Add(left)}
		if len(m.Renewals) > 0 {
			s.Renewal = m.Renewals[i]
		}
		list = append(list, s)
	}
	return list, nil
}

// MarshalStreams encodes streams for storage.
func MarshalStreams(now time.Time, list []resumer.Stream) (parts [][]byte, err error) {
	for _, m := range encodeStreams(now, list) {
		m.StoredAt = now.UnixMilli()
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, err
		}
		parts = append(parts, data)
	}
	return parts, nil
}

// UnmarshalStreams decodes one result of MarshalStreams. The streams expire up to storedClockSlack late, or as late as
// if they had been encoded now if it is not known when they were.
func UnmarshalStreams(now time.Time, data []byte) ([]resumer.Stream, error) {
	var m streamsMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	list, err := decodeStreams(now, &m)
	if m.StoredAt == 0 {
		return list, err
	}
	elapsed := max(0, now.Sub(time.UnixMilli(m.StoredAt))-storedClockSlack)
	for i := range list {
		list[i].Until = list[i].Until.Add(-elapsed)
	}
	return list, err
}
