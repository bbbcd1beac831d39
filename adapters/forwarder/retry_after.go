package forwarder

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter returns the longest time in the values of a Retry-After header, in seconds; valid is false if a value
// is not a number of seconds.
func ParseRetryAfter(values []string) (longest time.Duration, valid bool) {
	valid = true
	for _, list := range values {
		for value := range strings.SplitSeq(list, ",") {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			isTooLarge := errors.Is(err, strconv.ErrRange) && n > 0
			if err != nil && !isTooLarge || err == nil && (math.IsNaN(n) || math.IsInf(n, 0)) || n < 0 {
				valid = false
				continue
			}
			d := time.Duration(math.MaxInt64)
			if n < d.Seconds() {
				d = time.Duration(n * float64(time.Second))
			}
			longest = max(longest, d)
		}
	}
	return longest, valid
}
