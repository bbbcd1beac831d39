package node

import "bytes"

// eventSplitter splits a stream of server-sent events at event boundaries, without decoding the events.
type eventSplitter struct {
	partial []byte // start of an incomplete event
	lastID  string // of the last complete event that has one
}

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
)

// split appends data to the stream and returns the bytes up to the end of the last complete event, which are valid
// until the next call.
func (s *eventSplitter) split(data []byte) []byte {
	s.partial = append(s.partial, data...)
	n := bytes.LastIndex(s.partial, eventTerminator)
	if n < 0 {
		return nil
	}
	n += len(eventTerminator)
	events := s.partial[:n:n]
	s.partial = s.partial[n:]
	if id, ok := lastEventID(events); ok {
		s.lastID = id
	}
	return events
}

// lastEventID returns the value of the last id field.
func lastEventID(events []byte) (id string, ok bool) {
	for i := len(events); i > 0; {
		i = bytes.LastIndex(events[:i], idField)
		if i < 0 {
			return "", false
		}
		if i > 0 && events[i-1] != '\n' {
			continue
		}
		line := events[i+len(idField):]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		return string(bytes.TrimSpace(line)), true
	}
	return "", false
}
