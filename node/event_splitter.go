package node

import (
	"bytes"

	"cactusroute.dev/adapters/forwarder"
)

// boundEventBytes is the name of the bound on one event of a stream in errors and metrics.
const boundEventBytes = "eventBytes"

// eventSplitter splits a stream of server-sent events at event boundaries, without decoding the events. A line ends
// with LF, CR or CR LF, and an event with an empty line.
type eventSplitter struct {
	maxEventBytes int64
	partial       []byte // start of an incomplete event
	lastID        string // of the last complete event that has one
	events        uint64 // complete events so far

	// The state at the end of partial.
	lineHasBytes  bool
	eventHasBytes bool
	afterCR       bool // a following LF belongs to the same line end
}

var idField = []byte("id")

// reset discards an incomplete event; the stream continues with the first event of another response.
func (s *eventSplitter) reset() {
	s.partial = nil
	s.lineHasBytes, s.eventHasBytes, s.afterCR = false, false, false
}

// isInsideEvent reports whether an event has begun and not ended.
func (s *eventSplitter) isInsideEvent() bool { return s.lineHasBytes || s.eventHasBytes }

// observe counts the events in data of a stream that is forwarded without being split.
func (s *eventSplitter) observe(data []byte) { s.scan(data) }

// split appends data to the stream and returns the bytes up to the end of the last complete event, which are valid
// until the next call. It returns a *forwarder.LimitError for an event above maxEventBytes.
func (s *eventSplitter) split(data []byte) (events []byte, err error) {
	end := s.scan(data) // in data
	if end == 0 {
		s.partial = append(s.partial, data...)
		return nil, s.checkPartial()
	}
	events = data[:end:end]
	if len(s.partial) > 0 {
		events = append(s.partial, events...)
	}
	if id, ok := lastEventID(events); ok {
		s.lastID = id
	}
	s.partial = bytes.Clone(data[end:])
	return events, s.checkPartial()
}

func (s *eventSplitter) checkPartial() error {
	if n := int64(len(s.partial)); n > s.maxEventBytes {
		return &forwarder.LimitError{Bound: boundEventBytes, Limit: s.maxEventBytes, Seen: n}
	}
	return nil
}

// scan advances the state over data, counts events and returns the end of the last one, 0 if none ends in data.
func (s *eventSplitter) scan(data []byte) (end int) {
	for i, c := range data {
		switch {
		case c == '\n' && s.afterCR:
			s.afterCR = false
			if end == i && end > 0 {
				end++ // completes the line end of the last event
			}
		case c == '\n' || c == '\r':
			s.afterCR = c == '\r'
			if !s.lineHasBytes {
				end = i + 1
				if s.eventHasBytes {
					s.events++
				}
				s.eventHasBytes = false
			}
			s.lineHasBytes = false
		default:
			s.afterCR, s.lineHasBytes, s.eventHasBytes = false, true, true
		}
	}
	return end
}

// lastEventID returns the value of the last id field.
func lastEventID(events []byte) (id string, ok bool) {
	for len(events) > 0 {
		events = bytes.TrimRight(events, "\r\n")
		start := bytes.LastIndexAny(events, "\r\n") + 1
		name, value, _ := bytes.Cut(events[start:], []byte(":"))
		if bytes.Equal(name, idField) {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}
