package timestamper

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a reading of a hybrid logical clock; the zero value is before every other.
type Timestamp struct {
	// Millis is the latest wall-clock time seen, in Unix milliseconds.
	Millis int64
	// Count is the logical counter, which orders the events within one millisecond.
	Count uint32
}

// Compare returns -1, 0 or 1 if s is earlier than, equal to or later than o.
func (s Timestamp) Compare(o Timestamp) int {
	switch {
	case s == o:
		return 0
	case s.Millis < o.Millis || s.Millis == o.Millis && s.Count < o.Count:
		return -1
	default:
		return 1
	}
}

// String formats the timestamp in the form that Parse reads.
func (s Timestamp) String() string { return fmt.Sprintf("%d.%d", s.Millis, s.Count) }

// MarshalText implements encoding.TextMarshaler.
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Timestamp) UnmarshalText(text []byte) (err error) {
	*s, err = Parse(string(text))
	return err
}

// Parse parses a timestamp in the form that String returns.
func Parse(text string) (s Timestamp, err error) {
	millis, count, _ := strings.Cut(text, ".")
	if s.Millis, err = strconv.ParseInt(millis, 10, 64); err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q is not of the form millis.count", text)
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q is not of the form millis.count", text)
	}
	s.Count = uint32(n)
	return s, nil
}

// maxForwardSkew bounds how far a peer's clock may advance this clock. A peer that is further ahead loses causal
// order, but does not shift the timestamps of the whole fleet.
const maxForwardSkew = time.Minute

// Clock is a hybrid logical clock.
type Clock struct {
	last Timestamp
}

// Tick returns the timestamp of a local event.
func (c *Clock) Tick(now time.Time) Timestamp {
	if ms := now.UnixMilli(); ms > c.last.Millis {
		c.last = Timestamp{Millis: ms}
	} else {
		c.incrementCount()
	}
	return c.last
}

// Merge advances the clock to the timestamp of a received message, so that every later Tick is after it. It ignores
// a timestamp that is more than a minute ahead of now, and returns false.
func (c *Clock) Merge(remote Timestamp, now time.Time) bool {
	if remote.Millis > now.Add(maxForwardSkew).UnixMilli() {
		return false
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return true
}

func (c *Clock) incrementCount() {
	c.last.Count++
	if c.last.Count == 0 {
		c.last.Millis++
	}
}
