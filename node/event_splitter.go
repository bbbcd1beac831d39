package node

import "bytes"

// eventCutter finds the boundaries of a stream of server-sent events without decoding the events.
type eventSplitter struct {
	partial []byte // the beginning of an event that isn't whole yet
	lastID  string // of the last whole event
}

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
)

// cut takes the next bytes and returns those up to the end of the last whole event; they are valid until the next
// call.
func (c *eventSplitter) split(data []byte) []byte {
	c.partial = append(c.partial, data...)
	end := bytes.LastIndex(c.partial, eventTerminator)
	if end < 0 {
		return nil
	}
	end += len(eventTerminator)
	whole := c.partial[:end:end]
	c.partial = c.partial[end:]
	if id, ok := lastEventID(whole); ok {
		c.lastID = id
	}
	return whole
}

// lastEventID returns the value of the last id field.
func lastEventID(events []byte) (id string, ok bool) {
	for at := len(events); at > 0; {
		at = bytes.LastIndex(events[:at], idField)
		if at < 0 {
			return "", false
		}
		if at > 0 && events[at-1] != '\n' {
			continue
		}
		line := events[at+len(idField):]
		if n := bytes.IndexByte(line, '\n'); n >= 0 {
			line = line[:n]
		}
		return string(bytes.TrimSpace(line)), true
	}
	return "", false
}
