package recorder

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/core/timestamper"
)

// Path is the URL path at which every process serves its timeline.
const Path = "/timeline/v1"

// DefaultCapacity is the number of events that a process retains. They take less than 10 MB of memory if all texts have
// maxTextBytes, and less than 2 MB at usual lengths.
const DefaultCapacity = 4096

const (
	maxTextBytes = 256
	maxDetails   = 8
)

// Detail is a key-value pair of an event without a field in Event.
type Detail struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Event is a state change of a process.
type Event struct {
	// Sequence is the number of the event within its incarnation, from 1.
	Sequence uint64 `json:"sequence"`
	// Stamp is a logical timestamp, which orders the events of all processes causally.
	Stamp   timestamper.Timestamp `json:"stamp"`
	Process string                `json:"process"`
	// Incarnation identifies one run of the process.
	Incarnation   string   `json:"incarnation"`
	Kind          string   `json:"kind"`
	Cause         string   `json:"cause,omitempty"`
	Request       string   `json:"request,omitempty"`
	Endpoint      string   `json:"endpoint,omitempty"`
	FailureDomain string   `json:"failureDomain,omitempty"`
	Version       uint64   `json:"version,omitempty"`
	Details       []Detail `json:"details,omitempty"`
}

// NewEvent converts the message and the key-value pairs of a log line; pairs without a field in Event become details.
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

// Filter selects events; empty fields match every event.
type Filter struct {
	Request       string
	Endpoint      string
	FailureDomain string
	Version       uint64
}

// Matches reports whether an event is selected. Nodes write an endpoint process as NAME@ADDRESS#VERSION, which matches
// the endpoint NAME.
func (f *Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint || strings.HasPrefix(e.Endpoint, f.Endpoint+"@")) &&
		(f.FailureDomain == "" || f.FailureDomain == e.FailureDomain) &&
		(f.Version == 0 || f.Version == e.Version)
}

// Cursor is a position in the timeline of one process; the zero value is the start.
type Cursor struct {
	Incarnation string
	Sequence    uint64
}

// String formats the cursor for ParseCursor.
func (c Cursor) String() string { return fmt.Sprintf("%s.%d", c.Incarnation, c.Sequence) }

// ParseCursor parses the format of String; an empty text is the zero value.
func ParseCursor(text string) (c Cursor, err error) {
	if text == "" {
		return Cursor{}, nil
	}
	incarnation, sequence, ok := strings.Cut(text, ".")
	n, err := strconv.ParseUint(sequence, 10, 64)
	if !ok || err != nil {
		return Cursor{}, fmt.Errorf("cursor %q does not have the form INCARNATION.SEQUENCE", text)
	}
	return Cursor{Incarnation: incarnation, Sequence: n}, nil
}

// Recorder retains the latest events in a ring buffer and owns the logical clock of the process.
type Recorder struct {
	process     string
	incarnation string
	now         func() time.Time

	mu           sync.Mutex
	clock        timestamper.Clock
	ring         []Event // event with sequence n is at index (n-1) % len
	lastSequence uint64  // of the newest event; 0 without events
	recorded     chan struct{}
}

// New returns a recorder that retains up to size events.
func New(process string, size int) *Recorder {
	return &Recorder{
		process: process, incarnation: rand.Text(), now: time.Now, ring: make([]Event, size),
		recorded: make(chan struct{}),
	}
}

// Incarnation returns the random ID of this run of the process.
func (r *Recorder) Incarnation() string { return r.incarnation }

// Tick advances the clock and returns the timestamp for an outgoing message.
func (r *Recorder) Tick() timestamper.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Tick(r.now())
}

// Merge advances the clock to the timestamp of a received message.
func (r *Recorder) Merge(remote timestamper.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Merge(remote, r.now())
}

// Record appends an event. It sets Sequence, Stamp, Process and Incarnation, and truncates long texts and details.
func (r *Recorder) Record(e Event) {
	for _, text := range []*string{&e.Kind, &e.Cause, &e.Request, &e.Endpoint, &e.FailureDomain} {
		*text = truncate(*text)
	}
	e.Details = e.Details[:min(len(e.Details), maxDetails)]
	for i := range e.Details {
		e.Details[i] = Detail{Name: truncate(e.Details[i].Name), Value: truncate(e.Details[i].Value)}
	}
	e.Process, e.Incarnation = r.process, r.incarnation
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	e.Sequence, e.Stamp = r.lastSequence, r.clock.Tick(r.now())
	r.ring[(r.lastSequence-1)%uint64(len(r.ring))] = e
	close(r.recorded)
	r.recorded = make(chan struct{})
}

// truncate copies a shortened text, so that the original can be garbage-collected.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:maxTextBytes]), "")
}

// Page is a list of consecutive selected events of a timeline.
type Page struct {
	// Next is the cursor for the events after this page.
	Next string `json:"next"`
	// Dropped is the number of events after the cursor that have been overwritten.
	Dropped uint64  `json:"dropped,omitempty"`
	Events  []Event `json:"events"`
}

// Read returns up to limit matching events after a cursor. A cursor of another incarnation reads from the start of this
// one. The channel is closed when the next event is recorded.
func (r *Recorder) Read(after Cursor, limit int, f Filter) (p Page, recorded <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequence := after.Sequence
	if after.Incarnation != r.incarnation {
		sequence = 0
	}
	if retained := min(r.lastSequence, uint64(len(r.ring))); sequence < r.lastSequence-retained {
		p.Dropped = r.lastSequence - retained - sequence
		sequence = r.lastSequence - retained
	}
	p.Events = []Event{}
	for ; sequence < r.lastSequence && len(p.Events) < limit; sequence++ {
		if e := &r.ring[sequence%uint64(len(r.ring))]; f.Matches(e) {
			p.Events = append(p.Events, *e)
		}
	}
	p.Next = Cursor{Incarnation: r.incarnation, Sequence: sequence}.String()
	return p, r.recorded
}
