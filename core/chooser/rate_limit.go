package chooser

import (
	"time"

	"cactusroute.dev/core/registrar"
)

// rateWindow is the time over which the requests to an endpoint with a rate limit are counted.
const rateWindow = 2 * time.Second

// rateLimit is the rate of requests that an endpoint has named in its responses.
type rateLimit struct {
	perSecond  float64   // of all routers together; meaningful if isNamed
	isNamed    bool      // false if the last response did not name a limit
	observedAt time.Time // when the response that is decisive was received
}

// RecordRateLimit records the limit that a response named, and reports whether what is known has changed. A response
// without a limit ends it only if its request was sent after the limit was last named: responses may overtake each
// other.
func (c *Chooser) RecordRateLimit(
	now time.Time, target registrar.Endpoint, sentAt time.Time, perSecond float64, isNamed bool,
) (changed bool) {
	e := c.lookup(target)
	if e == nil || !isNamed && (!e.limit.isNamed || !sentAt.After(e.limit.observedAt)) {
		return false
	}
	changed = e.limit.isNamed != isNamed || e.limit.perSecond != perSecond
	e.limit = rateLimit{perSecond: perSecond, isNamed: isNamed, observedAt: now}
	return changed
}
