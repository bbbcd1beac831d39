package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// calmFor is how long no fault may have been active before a bound in time holds.
	faultFreePeriod = 3 * time.Second

	// drainBound is when an endpoint may get no request any more after its draining was acknowledged.
	drainDeadline = 2 * time.Second

	// maxFindings bounds what is kept of a run that goes wrong.
	maxFindings = 20
)

// Checker holds what callers, endpoints and the operator have seen, and the promises that were broken.
type Checker struct {
	mu             sync.Mutex
	startTime      time.Time
	checksums      map[string]uint64 // checksum by request ID
	once           map[string]bool
	runCounts      map[string]int
	reportedNotRun map[string]bool // answered with a promise
	ackedVersion   uint64          // highest acknowledged version
	lastFaultEnd   time.Time       // end of the last fault, in the future while one lasts
	drainedAt      map[*Endpoint]time.Time
	Findings       []string
	Served         int
	Refused        int
	Failed         int
	Runs           int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{startTime: time.Now(), checksums: map[string]uint64{}, once: map[string]bool{},
		runCounts: map[string]int{}, reportedNotRun: map[string]bool{}, drainedAt: map[*Endpoint]time.Time{}}
}

func (c *Checker) addFinding(format string, args ...any) {
	if len(c.Findings) < maxFindings {
		at := time.Since(c.startTime).Round(time.Millisecond)
		c.Findings = append(c.Findings, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// FaultUntil notes that a fault is active.
func (c *Checker) RecordFaultUntil(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.After(c.lastFaultEnd) {
		c.lastFaultEnd = end
	}
}

// isCalm reports whether no fault was active in a span; the caller holds mu.
func (c *Checker) isFaultFree(since time.Time) bool {
	return since.Sub(c.lastFaultEnd) > faultFreePeriod
}

// Sent notes a request before it is sent.
func (c *Checker) RecordSent(id string, checksum uint64, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checksums[id], c.once[id] = checksum, once
}

// Ran notes that an endpoint runs a request.
func (c *Checker) RecordRun(id string, e *Endpoint, checksum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Runs++
	c.runCounts[id]++
	want, known := c.checksums[id]
	switch {
	case !known:
		c.addFinding("%s ran request %q that nobody sent", e.id, id)
	case want != checksum:
		c.addFinding("%s ran request %s changed", e.id, id)
	case c.once[id] && c.runCounts[id] > 1:
		c.addFinding("request %s ran %d times, last at %s", id, c.runCounts[id], e.id)
	case c.once[id] && c.reportedNotRun[id]:
		c.addFinding("request %s ran at %s after a promise that it never will", id, e.id)
	}
	if at, ok := c.drainedAt[e]; ok && time.Since(at) > drainDeadline && c.isFaultFree(at) {
		c.addFinding("%s got request %s %v after its draining was acknowledged", e.id, id, time.Since(at))
	}
}

// Drained notes that the draining of an endpoint was acknowledged.
func (c *Checker) RecordDrained(e *Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedAt[e] = time.Now()
}

// Answered checks a whole answer.
func (c *Checker) CheckResponse(id string, status int, signature, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200 && (signature == "" || body != want):
		c.addFinding("request %s got a success with body %q, signature %q", id, body, signature)
	case status == 200 && c.runCounts[id] == 0:
		c.addFinding("request %s got a success and has not run", id)
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.Refused++
		c.reportedNotRun[id] = true
		if c.once[id] && c.runCounts[id] > 0 {
			c.addFinding("request %s got %d and has run", id, status)
		}
		return
	case status == 401 || status == 403 || status == 404:
		c.addFinding("request %s got %d", id, status)
	}
	if status == 200 {
		c.Served++
		return
	}
	c.Failed++
}

// Broken notes a request whose answer didn't end; what arrived of it must be the beginning of the right answer.
func (c *Checker) CheckTruncatedResponse(id, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Failed++
	if body != "" && !strings.HasPrefix(want, body) {
		c.addFinding("request %s got a broken answer that doesn't begin right: %q", id, body)
	}
}

// Acked notes an acknowledged version.
func (c *Checker) RecordAcked(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ackedVersion = max(c.ackedVersion, version)
}

// AckedVersion returns the highest acknowledged version.
func (c *Checker) AckedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedVersion
}

// Read checks a version that a node returned; atLeast was acknowledged before the read was sent.
func (c *Checker) CheckRead(node string, version, atLeast uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < atLeast {
		c.addFinding("%s returned version %d after %d was acknowledged", node, version, atLeast)
	}
}

// Find notes a broken promise.
func (c *Checker) AddFinding(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinding(format, args...)
}

// Counts returns the requests by outcome.
func (c *Checker) Counts() (served, refused, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Served, c.Refused, c.Failed
}
