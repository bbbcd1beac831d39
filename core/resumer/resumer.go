package resumer

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"
	"unique"
)

// Key identifies a stream by the request that brought its first event.
type Key uint64

// NewKey returns the key of a stream. Callers choose the IDs of their requests, so that the hash must not let one of
// them meet the stream of another workspace.
func NewKey(workspace, host, path, requestID string) Key {
	h := sha256.New()
	for _, s := range []string{workspace, host, path, requestID} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(s)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, s)
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Origin is the service and the software version whose endpoint began a stream.
type Origin struct{ Service, Version string }

// Stream is the record of one stream.
type Stream struct {
	Key    Key
	Origin Origin
	Until  time.Time // when the record expires
}

// record is a Stream in the table.
type record struct {
	origin      unique.Handle[Origin]
	untilMillis int64 // since the start of the table
	isAmbiguous bool  // streams with two origins have this key
}

// Table holds the records of streams; it is not safe for concurrent use.
type Table struct {
	start      time.Time // times are relative to it, because the time of day may be stepped
	maxStreams int
	records    map[Key]record
	expiring   map[int64][]Key // by second of the expiry
	expiredTo  int64           // second before which all records have been removed
}

// New returns an empty table for at most maxStreams streams.
func New(start time.Time, maxStreams int) *Table {
	return &Table{start: start, maxStreams: maxStreams, records: map[Key]record{}, expiring: map[int64][]Key{}}
}

// millis returns a time as milliseconds since the start of the table.
func (t *Table) millis(at time.Time) int64 { return at.Sub(t.start).Milliseconds() }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Record adds a stream and reports whether the table has changed. A second origin under the same key makes the origin
// unknown. A table that is full takes no further streams.
func (t *Table) Record(now time.Time, s Stream) (changed bool) {
	t.Expire(now)
	if !s.Until.After(now) {
		return false
	}
	origin := unique.Make(s.Origin)
	known, ok := t.records[s.Key]
	switch {
	case ok && known.isAmbiguous, ok && known.origin == origin:
		return false
	case ok:
		known.isAmbiguous = true
		t.records[s.Key] = known
		return true
	case len(t.records) >= t.maxStreams:
		return false
	}
	until := t.millis(s.Until)
	t.records[s.Key] = record{origin: origin, untilMillis: until}
	second := until / 1000
	t.expiring[second] = append(t.expiring[second], s.Key)
	return true
}

// Origin returns where a stream began; ok is false if that is not known for certain.
func (t *Table) Origin(now time.Time, key Key) (o Origin, ok bool) {
	r, ok := t.records[key]
	if !ok || r.isAmbiguous || r.untilMillis <= t.millis(now) {
		return Origin{}, false
	}
	return r.origin.Value(), true
}

// All returns the streams whose origin is known.
func (t *Table) All(now time.Time) []Stream {
	t.Expire(now)
	list := make([]Stream, 0, len(t.records))
	for key, r := range t.records {
		if !r.isAmbiguous {
			list = append(list, Stream{Key: key, Origin: r.origin.Value(),
				Until: t.start.Add(time.Duration(r.untilMillis) * time.Millisecond)})
		}
	}
	return list
}

// Expire removes the records of past seconds.
func (t *Table) Expire(now time.Time) {
	second := t.millis(now) / 1000
	if second <= t.expiredTo {
		return
	}
	for s, keys := range t.expiring {
		if s >= second {
			continue
		}
		for _, key := range keys {
			delete(t.records, key)
		}
		delete(t.expiring, s)
	}
	t.expiredTo = second
}
