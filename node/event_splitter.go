package node

import (
	"bytes"
	"fmt"
	"strings"

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
	isUnnumbered  bool   // the last complete event has no ID, so that the stream can't be resumed after it
	isResumed     bool   // the response is to continue the stream after lastID

	// The state at the end of partial.
	lineHasBytes  bool
	eventHasBytes bool
	afterCR       bool // a following LF belongs to the same line end
}

var idField = []byte("id")

// reset discards an incomplete event; the stream continues with the first event of another response.
func (s *eventSplitter) reset() {
	s.partial = nil
	s.isResumed = s.lastID != ""
	s.lineHasBytes, s.eventHasBytes, s.afterCR = false, false, false
}

// isInsideEvent reports whether an event has begun and not ended.
func (s *eventSplitter) isInsideEvent() bool { return s.lineHasBytes || s.eventHasBytes }

// observe counts the events in data of a stream that is forwarded without being split, and returns the end of the last
// one.
func (s *eventSplitter) observe(data []byte) (end int) { return s.scan(data) }

// split appends data to the stream and returns the bytes up to the end of the last complete event, which are valid
// until the next call. It returns a *forwarder.LimitError for an event above maxEventBytes, and a *contentError with
// the events before the first one that does not continue a resumed stream.
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
	s.partial = bytes.Clone(data[end:])
	if s.isResumed {
		if events, err = s.checkResumed(events); err != nil {
			return events, err
		}
		return events, s.checkPartial()
	}
	if id, hasID, isEvent := lastEvent(events); isEvent {
		s.isUnnumbered = !hasID
		if !hasID {
			id, hasID = lastEventID(events)
		}
		if hasID {
			s.lastID = id
		}
	}
	return events, s.checkPartial()
}

// checkResumed returns the events up to the first one that has no ID or one that is not after the last ID.
func (s *eventSplitter) checkResumed(events []byte) (valid []byte, err error) {
	for n := 0; n < len(events); {
		end := n + eventEnd(events[n:])
		id, hasID, isEvent := lastEvent(events[n:end])
		switch {
		case !isEvent:
		case !hasID:
			return events[:n], &contentError{fault: "event without an ID", lastID: s.lastID}
		case !isAfter(id, s.lastID):
			return events[:n], &contentError{fault: "event out of order", lastID: s.lastID, id: id}
		default:
			s.lastID = id
		}
		n = end
	}
	return events, nil
}

// contentError means that an endpoint that is still up sent bytes that can't be part of the stream.
type contentError struct {
	fault  string
	lastID string // of the last event before
	id     string // of the event, if it has one
}

// Error implements error.
func (e *contentError) Error() string {
	return fmt.Sprintf("%s: ID %q after %q", e.fault, e.id, e.lastID)
}

// isAfter reports whether an event may follow the one with the ID last. IDs that are not numbers have no known order.
func isAfter(id, last string) bool {
	if !isNumber(id) || !isNumber(last) {
		return id != last
	}
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

func isNumber(id string) bool {
	return id != "" && strings.Trim(id, "0123456789") == ""
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

// eventEnd returns the end of the first event, or of the empty lines before it.
func eventEnd(events []byte) int {
	lineStart := 0
	for i, c := range events {
		isLineEnd := c == '\n' || c == '\r' && !bytes.HasPrefix(events[i+1:], []byte("\n"))
		if !isLineEnd {
			continue
		}
		if len(bytes.TrimRight(events[lineStart:i], "\r")) == 0 {
			return i + 1
		}
		lineStart = i + 1
	}
	return len(events)
}

// lastEvent returns the ID of the last event. isEvent is false without an event: comments alone are none.
func lastEvent(events []byte) (id string, hasID, isEvent bool) {
	events = bytes.TrimRight(events, "\r\n")
	for len(events) > 0 {
		start := bytes.LastIndexAny(events, "\r\n") + 1
		line := events[start:]
		if name, value, _ := bytes.Cut(line, []byte(":")); bytes.Equal(name, idField) {
			value = bytes.TrimSpace(value)
			return string(value), len(value) > 0, true
		}
		isEvent = isEvent || line[0] != ':'
		events = trimLineEnd(events[:start])
		if trimmed := bytes.TrimRight(events, "\r\n"); len(trimmed) < len(events) {
			if isEvent {
				return "", false, true
			}
			events = trimmed
		}
	}
	return "", false, isEvent
}

// trimLineEnd removes one line end.
func trimLineEnd(b []byte) []byte {
	b = bytes.TrimSuffix(b, []byte("\n"))
	return bytes.TrimSuffix(b, []byte("\r"))
}
