package agent

import (
	"net/http"
	"sync"
	"time"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/limiter"
)

const (
	// headerLeaving is 1 in the responses of an endpoint that takes no more requests.
	headerLeaving = "Cactus-Leaving"

	headerRetryAfter = "Retry-After"
)

// declines makes limiter.Decline safe for concurrent use.
type declines struct {
	mu sync.Mutex
	limiter.Decline

	lastInvalid string // value that was logged last
}

// statement is what the endpoint has told about itself in a response.
type statement struct {
	isLeaving bool
	quiet     time.Duration
	invalid   string // value of a Retry-After header that is no number of seconds
}

// read adds what the head or the trailer of a response tells.
func (s *statement) read(status int, header http.Header) {
	s.isLeaving = s.isLeaving || header.Get(headerLeaving) == "1"
	values := header[headerRetryAfter]
	if status != http.StatusServiceUnavailable || len(values) == 0 {
		return
	}
	quiet, valid := forwarder.ParseRetryAfter(values)
	if s.quiet = quiet; !valid {
		s.invalid = values[0][:min(len(values[0]), maxLoggedValueBytes)]
	}
}

// maxLoggedValueBytes bounds the value of a header in a log line.
const maxLoggedValueBytes = 64

// recordStatement records what the endpoint process with a start time has told in the response to a request.
func (a *Agent) recordStatement(start int64, requestID string, s *statement) {
	now, name := time.Now(), a.settings.Place.Name
	a.declines.mu.Lock()
	leaves := s.isLeaving && a.declines.RecordLeaving(now, start)
	isQuiet := a.declines.RecordQuiet(now, start, s.quiet)
	isNewInvalid := s.invalid != a.declines.lastInvalid && s.invalid != ""
	if isNewInvalid {
		a.declines.lastInvalid = s.invalid
	}
	a.declines.mu.Unlock()
	if leaves {
		a.obs.Event("endpoint has told that it leaves", "endpoint", name, "request", requestID, "start", start)
	}
	if isQuiet {
		a.obs.Event("endpoint wants no requests", "endpoint", name, "request", requestID, "start", start,
			"forMs", s.quiet.Milliseconds())
	}
	if isNewInvalid {
		a.obs.Event("invalid quiet time of endpoint", "endpoint", name, "request", requestID, "value", s.invalid)
	}
}

// recordCallResponse records what the endpoint has told in the response to a call of the agent itself. After a restart,
// the first response counts for the process before; the next one repeats it.
func (a *Agent) recordCallResponse(path string, resp *http.Response) {
	var s statement
	s.read(resp.StatusCode, resp.Header)
	if s != (statement{}) {
		a.recordStatement(a.monitor.startTime.Load(), path, &s)
	}
}

// refusalReason returns why the agent forwards no request now and after which time it may; empty if it does. The
// agent's own checks of the endpoint go on, because they show its restart, which ends what it has told.
func (a *Agent) refusalReason(now time.Time) (reason relayer.Reason, retryAfter time.Duration) {
	if reason := a.notServingReason(now); reason != "" {
		return reason, 0
	}
	a.declines.mu.Lock()
	isLeaving, quiet := a.declines.Status(now, a.monitor.startTime.Load())
	a.declines.mu.Unlock()
	switch {
	case isLeaving:
		return relayer.ReasonLeaving, 0
	case quiet > 0:
		return relayer.ReasonQuiet, min(quiet, maxRetryAfter)
	}
	return "", 0
}

// maxRetryAfter bounds the time after which callers are told to come back: a restart of the endpoint ends a longer one.
const maxRetryAfter = 30 * time.Second
