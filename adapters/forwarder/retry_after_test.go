package forwarder

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a quiet time that is ignored because of its form, and against a value that is taken for one although
// it is no number of seconds.
func TestParseRetryAfter(t *testing.T) {
	const huge = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name   string
		values []string
		want   time.Duration
		valid  bool
	}{
		{"none", nil, 0, true},
		{"seconds", []string{"3"}, 3 * time.Second, true},
		{"fraction", []string{" 0.25 "}, 250 * time.Millisecond, true},
		{"zero", []string{"0"}, 0, true},
		{"huge", []string{"1e300"}, huge, true},
		{"beyond the numbers", []string{strings.Repeat("9", 400)}, huge, true},
		{"many digits", []string{"99999999999999999999"}, huge, true},
		{"the longest", []string{"2", "5", "3"}, 5 * time.Second, true},
		{"the longest of a list", []string{"2, 5,3"}, 5 * time.Second, true},
		{"one of two", []string{"x", "4"}, 4 * time.Second, false},
		{"negative", []string{"-4"}, 0, false},
		{"huge and negative", []string{"-1e999"}, 0, false},
		{"date", []string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0, false},
		{"text", []string{"soon"}, 0, false},
		{"empty", []string{""}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"infinite", []string{"Inf"}, 0, false},
	} {
		got, valid := ParseRetryAfter(c.values)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, valid, c.valid, c.name)
	}
}
