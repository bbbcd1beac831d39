package resumer

import (
	"container/heap"
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"
	"unique"
)

// minExtension is how much later an expiry must be to replace an earlier one. Copies of a record expire later by the
// time that they were on their way.
const minExtension = time.Second

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
	// Renewal is the number of reports that the stream still goes on.
	Renewal uint16
}

// record is a Stream in the table.
type record struct {
	key         Key
	origin      unique.Handle[Origin]
	untilMillis int64 // since the start of the table
	renewal     uint16
	isAmbiguous bool          // streams with two origins have this key
	position    int           // in expiring
	element     *list.Element // of recent
}

// expiryQueue is a heap of records by their expiry.
type expiryQueue []*record

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].untilMillis < q[j].untilMillis }
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	r := x.(*record)
	r.position = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}

// Table holds the records of streams; it is not safe for concurrent use.
type Table struct {
	start      time.Time // times are relative to it, because the time of day may be stepped
	maxStreams int
	records    map[Key]*record
	expiring   expiryQueue
	recent     *list.List // of *record; the one that was recorded or renewed last is at the back
}

// New returns an empty table for at most maxStreams streams.
func New(start time.Time, maxStreams int) *Table {
	return &Table{start: start, maxStreams: maxStreams, records: map[Key]*record{}, recent: list.New()}
}

// millis returns a time as milliseconds since the start of the table.
func (t *Table) millis(at time.Time) int64 { return at.Sub(t.start).Milliseconds() }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Record adds or updates a stream and reports whether the table has changed. A second origin under the same key makes
// the origin unknown. A later expiry replaces an earlier one, because the caller has taken the stream up. A table that
// is full drops the stream that was recorded or renewed longest ago, which has most likely ended.
func (t *Table) Record(now time.Time, s Stream) (changed bool) {
	t.Expire(now)
	if !s.Until.After(now) {
		return false
	}
	origin := unique.Make(s.Origin)
	known := t.records[s.Key]
	switch {
	case known == nil:
		t.insert(&record{key: s.Key, origin: origin, untilMillis: t.millis(s.Until), renewal: s.Renewal})
		return true
	case known.isAmbiguous:
		return false
	case known.origin != origin:
		known.isAmbiguous = true
		return true
	}
	if until := t.millis(s.Until); until-known.untilMillis >= minExtension.Milliseconds() {
		known.untilMillis = until
		heap.Fix(&t.expiring, known.position)
		changed = true
	}
	if s.Renewal > known.renewal {
		known.renewal = s.Renewal
		changed = true
	}
	if changed {
		t.recent.MoveToBack(known.element)
	}
	return changed
}

// insert adds a record, in place of the one at the front of recent if the table is full.
func (t *Table) insert(r *record) {
	if oldest := t.recent.Front(); oldest != nil && len(t.records) >= t.maxStreams {
		t.remove(oldest.Value.(*record))
	}
	t.records[r.key] = r
	r.element = t.recent.PushBack(r)
	heap.Push(&t.expiring, r)
}

func (t *Table) remove(r *record) {
	delete(t.records, r.key)
	t.recent.Remove(r.element)
	heap.Remove(&t.expiring, r.position)
}

// Origin returns where a stream began; ok is false if that is not known for certain.
func (t *Table) Origin(now time.Time, key Key) (o Origin, ok bool) {
	r := t.records[key]
	if r == nil || r.isAmbiguous || r.untilMillis <= t.millis(now) {
		return Origin{}, false
	}
	return r.origin.Value(), true
}

// All returns the streams whose origin is known, those that were recorded or renewed longest ago first.
func (t *Table) All(now time.Time) []Stream {
	t.Expire(now)
	all := make([]Stream, 0, len(t.records))
	for e := t.recent.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); !r.isAmbiguous {
			all = append(all, Stream{Key: r.key, Origin: r.origin.Value(), Renewal: r.renewal,
				Until: t.start.Add(time.Duration(r.untilMillis) * time.Millisecond)})
		}
	}
	return all
}

// Expire removes the records that have expired.
func (t *Table) Expire(now time.Time) {
	for millis := t.millis(now); len(t.expiring) > 0 && t.expiring[0].untilMillis <= millis; {
		t.remove(t.expiring[0])
	}
}
