package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// faultFreePeriod is the time without a fault after which deadlines are checked.
	faultFreePeriod = 3 * time.Second

	// drainDeadline is the time after the acknowledgement of draining from which an endpoint must get no request.
	drainDeadline = 2 * time.Second

	// maxFindings limits the findings that are recorded per run.
	maxFindings = 20
)

// Checker records what callers, endpoints and the operator observe, and the violations of the fleet's guarantees as
// findings. Its methods are safe for concurrent use.
type Checker struct {
	mu             sync.Mutex
	startTime      time.Time
	checksums      map[string]uint64 // checksum by request ID
	once           map[string]bool   // by request ID; the request must not run twice
	runCounts      map[string]int    // by request ID
	reportedNotRun map[string]bool   // by request ID; the status means that the request did not and will not run
	ackedVersion   uint64            // highest acknowledged version
	lastFaultEnd   time.Time         // in the future while a fault is active
	unframedBreaks map[string]bool   // by request ID; a response broke off and only its connection ended
	drainedAt      map[*Endpoint]time.Time
	said           statements
	Findings       []string
	Served         int
	Refused        int
	Failed         int
	Runs           int
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{startTime: time.Now(), checksums: map[string]uint64{}, once: map[string]bool{},
		runCounts: map[string]int{}, reportedNotRun: map[string]bool{},
		unframedBreaks: map[string]bool{}, drainedAt: map[*Endpoint]time.Time{}, said: newStatements()}
}

// addFinding records a violation; mu must be held.
func (c *Checker) addFinding(format string, args ...any) {
	if len(c.Findings) < maxFindings {
		at := time.Since(c.startTime).Round(time.Millisecond)
		c.Findings = append(c.Findings, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// RecordFaultUntil records that a fault is active until end.
func (c *Checker) RecordFaultUntil(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.After(c.lastFaultEnd) {
		c.lastFaultEnd = end
	}
}

// isFaultFree reports whether the last fault ended more than faultFreePeriod before at; mu must be held.
func (c *Checker) isFaultFree(at time.Time) bool {
	return at.Sub(c.lastFaultEnd) > faultFreePeriod
}

// RecordSent records a request; callers call it before they send the request.
func (c *Checker) RecordSent(id string, checksum uint64, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checksums[id], c.once[id] = checksum, once
}

// RecordRun records that an endpoint runs a request, and checks that it was allowed to.
func (c *Checker) RecordRun(id string, e *Endpoint, checksum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Runs++
	c.runCounts[id]++
	want, known := c.checksums[id]
	switch {
	case !known:
		c.addFinding("%s ran request %q that no caller sent", e.id, id)
	case want != checksum:
		c.addFinding("%s ran request %s with a different checksum", e.id, id)
	case c.once[id] && c.runCounts[id] > 1:
		c.addFinding("request %s ran %d times, last at %s", id, c.runCounts[id], e.id)
	case c.once[id] && c.reportedNotRun[id]:
		c.addFinding("request %s ran at %s after a response that it did not and will not run", id, e.id)
	}
	if at, ok := c.drainedAt[e]; ok && time.Since(at) > drainDeadline && c.isFaultFree(at) {
		c.addFinding("%s got request %s %v after its draining was acknowledged", e.id, id, time.Since(at))
	}
}

// RecordDrained records that the draining of an endpoint was acknowledged.
func (c *Checker) RecordDrained(e *Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedAt[e] = time.Now()
}

// RecordUnframedBreak records that an endpoint breaks off a response without framing and closes the connection.
func (c *Checker) RecordUnframedBreak(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframedBreaks[id] = true
}

// CheckResponse checks a response that ended without an error; framed is false if only its connection ended.
func (c *Checker) CheckResponse(id string, status int, framed bool, signature, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200 && !framed && signature != "" && c.unframedBreaks[id] && body != want &&
		strings.HasPrefix(want, body):
		// The endpoint's own response looked the same.
		c.Failed++
		return
	case status == 200 && (signature == "" || body != want):
		c.addFinding("request %s got status 200 with a wrong body or no signature: body %q, signature %q", id, body,
			signature)
	case status == 200 && c.runCounts[id] == 0:
		c.addFinding("request %s got status 200 but did not run", id)
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.Refused++
		c.reportedNotRun[id] = true
		if c.once[id] && c.runCounts[id] > 0 {
			c.addFinding("request %s got status %d but ran", id, status)
		}
		return
	case status == 401 || status == 403 || status == 404:
		c.addFinding("request %s got unexpected status %d", id, status)
	}
	if status == 200 {
		c.Served++
		return
	}
	c.Failed++
}

// CheckTruncatedResponse checks a response that was not received to its end: its body must be a prefix of want.
func (c *Checker) CheckTruncatedResponse(id, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Failed++
	if body != "" && !strings.HasPrefix(want, body) {
		c.addFinding("request %s got a truncated response that is not a prefix of the expected one: %q", id, body)
	}
}

// RecordAcked records an acknowledged plan version.
func (c *Checker) RecordAcked(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ackedVersion = max(c.ackedVersion, version)
}

// AckedVersion returns the highest acknowledged plan version.
func (c *Checker) AckedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedVersion
}

// CheckRead checks a plan version that a node returned; atLeast was acknowledged before the read was sent.
func (c *Checker) CheckRead(node string, version, atLeast uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < atLeast {
		c.addFinding("%s returned plan version %d after version %d was acknowledged", node, version, atLeast)
	}
}

// AddFinding records a violation of a guarantee.
func (c *Checker) AddFinding(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinding(format, args...)
}

// Counts returns the number of requests by outcome.
func (c *Checker) Counts() (served, refused, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Served, c.Refused, c.Failed
}
