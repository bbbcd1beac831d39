package stamper

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stamp is a time of a hybrid logical clock; the zero value is before every other.
type Timestamp struct {
	// Millis is the greatest wall clock seen, in milliseconds since 1970 UTC.
	Millis int64
	// Count orders the events within one millisecond.
	Count uint32
}

// Compare returns -1, 0 or 1 for a stamp that is earlier than, equal to or later than the other.
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

// String formats the stamp so that Parse reads it.
func (s Timestamp) String() string { return fmt.Sprintf("%d.%d", s.Millis, s.Count) }

// MarshalText formats the stamp.
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the stamp.
func (s *Timestamp) UnmarshalText(text []byte) (err error) {
	*s, err = Parse(string(text))
	return err
}

// Parse reads a stamp in the form that String returns.
func Parse(text string) (s Timestamp, err error) {
	millis, count, _ := strings.Cut(text, ".")
	if s.Millis, err = strconv.ParseInt(millis, 10, 64); err != nil {
		return Timestamp{}, fmt.Errorf("stamp %q is not of the form millis.count", text)
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Timestamp{}, fmt.Errorf("stamp %q is not of the form millis.count", text)
	}
	s.Count = uint32(n)
	return s, nil
}

// maxAhead bounds how far a peer's clock may move this clock ahead. A peer whose clock is wrong by more loses the
// causal order, and doesn't shift the timestamps of the whole fleet.
const maxForwardSkew = time.Minute

// Clock is a hybrid logical clock.
type Clock struct {
	last Timestamp
}

// Tick returns the stamp of a local event.
func (c *Clock) Tick(now time.Time) Timestamp {
	if ms := now.UnixMilli(); ms > c.last.Millis {
		c.last = Timestamp{Millis: ms}
	} else {
		c.incrementCount()
	}
	return c.last
}

// Merge takes note of the stamp on a received message; every later Tick is after it. It returns false and ignores
// a stamp that is more than a minute ahead of now.
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
