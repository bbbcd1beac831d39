package registrar

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the ID, service, failure domain and version of an endpoint.
	maxNameBytes = 200

	// maxSlots is far above the slots of any endpoint. A larger number would hide the load of the others in sums.
	maxSlots = 1 << 16

	// maxBornMillis is the start of the year 2200; times in microseconds or nanoseconds are above it.
	maxBornMillis = 7_258_118_400_000

	// maxBornAhead is by how much the clock of an endpoint may be ahead. A start in the far future would replace every
	// later one.
	maxBornAhead = time.Hour

	// maxColdTime is longer than any endpoint warms up.
	maxColdTime = time.Hour

	// maxReportedBytes bounds a value in an error.
	maxReportedBytes = 40
)

// InvalidError reports a record that describes no endpoint.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid endpoint: " + e.Reason }

func invalidf(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Check returns an *InvalidError unless the record may be used, stored and passed on, whoever wrote it.
func (e *Endpoint) Check() error {
	for _, name := range []struct {
		field, value string
		isOptional   bool
	}{
		{"ID", e.ID, false}, {"service", e.Service, false}, {"failure domain", e.Domain, true},
		{"version", e.Version, true},
	} {
		if err := checkName(name.field, name.value, name.isOptional); err != nil {
			return err
		}
	}
	if err := checkAddress(e.Address); err != nil {
		return err
	}
	switch {
	case e.State < Ready || e.State > Silent:
		return invalidf("unknown state %d", uint8(e.State))
	case e.Slots < 0 || e.Slots > maxSlots:
		return invalidf("%d slots, not from 0 to %d", e.Slots, maxSlots)
	case e.Born < 0 || e.Born > maxBornMillis:
		return invalidf("start time %d is no Unix time in milliseconds", e.Born)
	case (e.Sequence == finalSequence) != (e.State == Gone):
		return invalidf("sequence number %d in state %s", e.Sequence, e.State)
	}
	return nil
}

// CheckHeartbeat is Check for a record that an endpoint sent to this process.
func (e *Endpoint) CheckHeartbeat(now time.Time) error {
	if err := e.Check(); err != nil {
		return err
	}
	switch {
	case e.State != Ready && e.State != Draining:
		return invalidf("heartbeat in state %s", e.State)
	case e.Born > now.Add(maxBornAhead).UnixMilli():
		return invalidf("start time %d is more than %s in the future", e.Born, maxBornAhead)
	}
	return nil
}

// CheckID returns an *InvalidError unless the ID is that of a valid record.
func CheckID(id string) error { return checkName("ID", id, false) }

func checkName(field, value string, isOptional bool) error {
	switch {
	case value == "" && !isOptional:
		return invalidf("%s is empty", field)
	case len(value) > maxNameBytes:
		return invalidf("%s has %d bytes, more than %d", field, len(value), maxNameBytes)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		return invalidf("%s has control characters or invalid UTF-8: %.*q", field, maxReportedBytes, value)
	}
	return nil
}

// checkAddress accepts one spelling of an IP address and a port only, because endpoints at one address are told apart
// by their start.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.String() != address || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() ||
		a.Addr().Is4In6() {
		return invalidf("address %.*q is not an IP address and a port from 1 to %d", maxReportedBytes, address,
			math.MaxUint16)
	}
	return nil
}

// ColdUntil returns when the warm-up ends of an endpoint that remains cold for a time, or the zero time if it is warm.
// It returns an *InvalidError for a time that is no number or too long.
func ColdUntil(now time.Time, millis float64) (time.Time, error) {
	if math.IsNaN(millis) || millis > float64(maxColdTime.Milliseconds()) {
		return time.Time{}, invalidf("warm-up of %g ms, more than %s", millis, maxColdTime)
	}
	if millis <= 0 {
		return time.Time{}, nil
	}
	return now.Add(time.Duration(millis * float64(time.Millisecond))), nil
}
