package recorder

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/core/stamper"
)

// Path is the URL path at which every process serves its timeline.
const Path = "/timeline/v1"

// DefaultSize is the number of events that a process keeps. With maxTextBytes for each field it stays below 10 MB,
// and below 2 MB for events of usual length.
const DefaultCapacity = 4096

const (
	maxTextBytes = 256
	maxDetails   = 8
)

// Detail is a value of an event that has no field of its own.
type Detail struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Event is one change of state of a process.
type Event struct {
	// Sequence numbers the events of one incarnation from 1.
	Sequence uint64 `json:"sequence"`
	// Stamp orders the events of all processes so that causes come before effects.
	Stamp   stamper.Timestamp `json:"stamp"`
	Process string            `json:"process"`
	// Incarnation is different after each start of the process.
	Incarnation   string   `json:"incarnation"`
	Kind          string   `json:"kind"`
	Cause         string   `json:"cause,omitempty"`
	Request       string   `json:"request,omitempty"`
	Endpoint      string   `json:"endpoint,omitempty"`
	FailureDomain string   `json:"failureDomain,omitempty"`
	Version       uint64   `json:"version,omitempty"`
	Details       []Detail `json:"details,omitempty"`
}

// NewEvent returns the event of a log line; values without a field of their own become details.
func NewEvent(kind string, keyvals []any) Event {
	e := Event{Kind: kind}
	for i := 0; i < len(keyvals); i += 2 {
		value := "(missing)"
		if i+1 < len(keyvals) {
			value = fmt.Sprint(keyvals[i+1])
		}
		switch key := fmt.Sprint(keyvals[i]); key {
		case "request":
			e.Request = value
		case "endpoint":
			e.Endpoint = value
		case "failureDomain":
			e.FailureDomain = value
		case "cause", "err":
			e.Cause = value
		case "version":
			if n, err := strconv.ParseUint(value, 10, 64); err == nil {
				e.Version = n
				continue
			}
			fallthrough
		default:
			e.Details = append(e.Details, Detail{Name: key, Value: value})
		}
	}
	return e
}

// Filter selects events; empty fields select all.
type Filter struct {
	Request       string
	Endpoint      string
	FailureDomain string
	Version       uint64
}

// Matches reports whether an event is selected. A start of an endpoint, which open fleets write as NAME@ADDRESS,
// belongs to the endpoint of the name.
func (f *Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint || strings.HasPrefix(e.Endpoint, f.Endpoint+"@")) &&
		(f.FailureDomain == "" || f.FailureDomain == e.FailureDomain) &&
		(f.Version == 0 || f.Version == e.Version)
}

// Cursor is a place in the timeline of one process; the zero value is its start.
type Cursor struct {
	Incarnation string
	Sequence    uint64
}

// String formats the cursor so that ParseCursor reads it.
func (c Cursor) String() string { return fmt.Sprintf("%s.%d", c.Incarnation, c.Sequence) }

// ParseCursor reads a cursor; the empty text is the zero value.
func ParseCursor(text string) (c Cursor, err error) {
	if text == "" {
		return Cursor{}, nil
	}
	incarnation, sequence, ok := strings.Cut(text, ".")
	n, err := strconv.ParseUint(sequence, 10, 64)
	if !ok || err != nil {
		return Cursor{}, fmt.Errorf("cursor %q is not of the form incarnation.sequence", text)
	}
	return Cursor{Incarnation: incarnation, Sequence: n}, nil
}

// Recorder keeps the latest events in a ring, and holds the clock of the process for stamps on messages.
type Recorder struct {
	process     string
	incarnation string
	now         func() time.Time

	mu      sync.Mutex
	clock   stamper.Clock
	ring    []Event // event n is at (n-1) % len
	last    uint64  // sequence of the newest event
	changed chan struct{}
}

// New returns a recorder that keeps a number of events.
func New(process string, size int) *Recorder {
	return &Recorder{
		process: process, incarnation: rand.Text(), now: time.Now, ring: make([]Event, size),
		changed: make(chan struct{}),
	}
}

// Incarnation returns a name that is different after each start of the process.
func (r *Recorder) Incarnation() string { return r.incarnation }

// Tick returns the stamp for a message that is about to be sent.
func (r *Recorder) Tick() stamper.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Tick(r.now())
}

// Merge takes note of the stamp on a received message.
func (r *Recorder) Merge(remote stamper.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Merge(remote, r.now())
}

// Record adds an event; its sequence, stamp, process and incarnation are set here, and long texts are cut.
func (r *Recorder) Record(e Event) {
	for _, text := range []*string{&e.Kind, &e.Cause, &e.Request, &e.Endpoint, &e.FailureDomain} {
		*text = cut(*text)
	}
	e.Details = e.Details[:min(len(e.Details), maxDetails)]
	for i := range e.Details {
		e.Details[i] = Detail{Name: cut(e.Details[i].Name), Value: cut(e.Details[i].Value)}
	}
	e.Process, e.Incarnation = r.process, r.incarnation
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	e.Sequence, e.Stamp = r.last, r.clock.Tick(r.now())
	r.ring[(r.last-1)%uint64(len(r.ring))] = e
	close(r.changed)
	r.changed = make(chan struct{})
}

// cut bounds a text, and copies it so that a longer one is not kept in memory.
func cut(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:maxTextBytes]), "")
}

// Page is a part of a timeline.
type Page struct {
	// Next is the cursor for the events after this page.
	Next string `json:"next"`
	// Dropped is how many events after the cursor are no longer kept.
	Dropped uint64  `json:"dropped,omitempty"`
	Events  []Event `json:"events"`
}

// Read returns up to limit events after a cursor that match the filter. A cursor of an earlier incarnation starts at
// the first event of this one. The channel is closed when there is a newer event.
func (r *Recorder) Read(after Cursor, limit int, f Filter) (p Page, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := after.Sequence
	if after.Incarnation != r.incarnation {
		at = 0
	}
	if kept := min(r.last, uint64(len(r.ring))); at < r.last-kept {
		p.Dropped = r.last - kept - at
		at = r.last - kept
	}
	p.Events = []Event{}
	for ; at < r.last && len(p.Events) < limit; at++ {
		if e := &r.ring[at%uint64(len(r.ring))]; f.Matches(e) {
			p.Events = append(p.Events, *e)
		}
	}
	p.Next = Cursor{Incarnation: r.incarnation, Sequence: at}.String()
	return p, r.changed
}
