package registrar

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a record with one odd field that is used, stored or passed on, and against sound ones that are
// refused.
func TestCheckRejectsOddRecords(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	sound := Endpoint{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Domain: "d", Version: "v1", Slots: 8, State: Ready,
		Born: now.UnixMilli(), Sequence: 3}
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
	}{
		{"nothing", func(*Endpoint) {}},
		{"lowest values", func(e *Endpoint) { e.Slots, e.Born, e.Sequence, e.Domain, e.Version = 0, 0, 0, "", "" }},
		{"highest port", func(e *Endpoint) { e.Address = "10.0.0.1:65535" }},
		{"IPv6", func(e *Endpoint) { e.Address = "[2001:db8::1]:80" }},
		{"most slots", func(e *Endpoint) { e.Slots = maxSlots }},
		{"longest names", func(e *Endpoint) { e.ID = strings.Repeat("x", maxNameBytes) }},
		{"other characters", func(e *Endpoint) { e.ID, e.Version = "i 1/é", "größe" }},
		{"highest sequence number", func(e *Endpoint) { e.Sequence = finalSequence - 1 }},
		{"clock ahead", func(e *Endpoint) { e.Born += maxBornAhead.Milliseconds() }},
	} {
		e := sound
		c.change(&e)
		assert.NilError(t, e.CheckHeartbeat(now), c.name)
		assert.Equal(t, New(time.Second).RecordHeartbeat(now, e), Changed, c.name)
	}
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
	}{
		{"no ID", func(e *Endpoint) { e.ID = "" }},
		{"no service", func(e *Endpoint) { e.Service = "" }},
		{"long ID", func(e *Endpoint) { e.ID = strings.Repeat("x", maxNameBytes+1) }},
		{"long version", func(e *Endpoint) { e.Version = strings.Repeat("x", 1<<20) }},
		{"header in the ID", func(e *Endpoint) { e.ID = "x\r\nKey: 1" }},
		{"zero byte", func(e *Endpoint) { e.Service = "s\x00" }},
		{"control character in the failure domain", func(e *Endpoint) { e.Domain = "\u0085" }},
		{"invalid UTF-8", func(e *Endpoint) { e.ID = "x\xff" }},
		{"no address", func(e *Endpoint) { e.Address = "" }},
		{"no host", func(e *Endpoint) { e.Address = ":80" }},
		{"a name as host", func(e *Endpoint) { e.Address = "host.example:80" }},
		{"no port", func(e *Endpoint) { e.Address = "10.0.0.1" }},
		{"port 0", func(e *Endpoint) { e.Address = "10.0.0.1:0" }},
		{"port -1", func(e *Endpoint) { e.Address = "10.0.0.1:-1" }},
		{"port 65536", func(e *Endpoint) { e.Address = "10.0.0.1:65536" }},
		{"port 70000", func(e *Endpoint) { e.Address = "10.0.0.1:70000" }},
		{"port of 20 digits", func(e *Endpoint) { e.Address = "10.0.0.1:18446744073709551696" }},
		{"port as text", func(e *Endpoint) { e.Address = "10.0.0.1:http" }},
		{"another spelling of the port", func(e *Endpoint) { e.Address = "10.0.0.1:080" }},
		{"another spelling of the host", func(e *Endpoint) { e.Address = "[::ffff:10.0.0.1]:80" }},
		{"unspecified host", func(e *Endpoint) { e.Address = "0.0.0.0:80" }},
		{"multicast", func(e *Endpoint) { e.Address = "224.0.0.1:80" }},
		{"no brackets", func(e *Endpoint) { e.Address = "2001:db8::1:80" }},
		{"long address", func(e *Endpoint) { e.Address = strings.Repeat("1", 1<<20) }},
		{"negative slots", func(e *Endpoint) { e.Slots = -1 }},
		{"many slots", func(e *Endpoint) { e.Slots = math.MaxInt }},
		{"negative start", func(e *Endpoint) { e.Born = -1 }},
		{"start in nanoseconds", func(e *Endpoint) { e.Born = now.UnixNano() }},
		{"start 1e18", func(e *Endpoint) { e.Born = 1e18 }},
		{"final sequence number", func(e *Endpoint) { e.Sequence = finalSequence }},
		{"no state", func(e *Endpoint) { e.State = 0 }},
		{"unknown state", func(e *Endpoint) { e.State = 9 }},
		{"gone before the end", func(e *Endpoint) { e.State = Gone }},
	} {
		e := sound
		c.change(&e)
		var invalid *InvalidError
		assert.Assert(t, errors.As(e.Check(), &invalid), c.name)
		assert.Assert(t, len(invalid.Error()) < 400, c.name)
		r := New(time.Second)
		assert.Equal(t, r.Merge(now, e), Invalid, c.name)
		assert.Equal(t, r.RecordHeartbeat(now, e), Invalid, c.name)
		assert.Equal(t, len(r.All()), 0, c.name)
	}
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
	}{
		{"start in the future", func(e *Endpoint) { e.Born += maxBornAhead.Milliseconds() + 1 }},
		{"silent", func(e *Endpoint) { e.State = Silent }},
		{"gone", func(e *Endpoint) { e.State, e.Sequence = Gone, finalSequence }},
	} {
		// Sound in the list of another process, which may have another clock.
		e := sound
		c.change(&e)
		assert.NilError(t, e.Check(), c.name)
		assert.Equal(t, New(time.Second).RecordHeartbeat(now, e), Invalid, c.name)
	}
}

// Guards against a remaining warm-up time that overflows, with a result that depends on the processor.
func TestColdUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		millis float64
		want   time.Time
	}{
		{0, time.Time{}}, {-5, time.Time{}}, {-1e300, time.Time{}}, {math.Inf(-1), time.Time{}},
		{1500.5, now.Add(1500500 * time.Microsecond)}, {3_600_000, now.Add(time.Hour)},
	} {
		got, err := ColdUntil(now, c.millis)
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(c.want), "%g: %s", c.millis, got)
	}
	for _, millis := range []float64{3_600_001, 1e18, 1e300, math.Inf(1), math.NaN()} {
		_, err := ColdUntil(now, millis)
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%g", millis)
	}
}

// Guards against a panic of log lines that name the state of a record from elsewhere.
func TestUnknownStateHasAName(t *testing.T) {
	assert.Equal(t, Silent.String(), "silent")
	assert.Equal(t, State(9).String(), "unknown")
	assert.Equal(t, State(255).String(), "unknown")
}
