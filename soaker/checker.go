package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// calmFor is how long no fault may have been active before a bound in time holds.
	calmFor = 3 * time.Second

	// drainBound is when an endpoint may get no request any more after its draining was acknowledged.
	drainBound = 2 * time.Second

	// maxFindings bounds what is kept of a run that goes wrong.
	maxFindings = 20
)

// Checker holds what callers, endpoints and the operator have seen, and the promises that were broken.
type Checker struct {
	mu       sync.Mutex
	started  time.Time
	sent     map[string]uint64 // checksum by request ID
	once     map[string]bool
	runs     map[string]int
	notRun   map[string]bool // answered with a promise
	acked    uint64          // highest acknowledged version
	fault    time.Time       // end of the last fault, in the future while one lasts
	drained  map[*Endpoint]time.Time
	Findings []string
	Served   int
	Refused  int
	Failed   int
	Runs     int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{started: time.Now(), sent: map[string]uint64{}, once: map[string]bool{}, runs: map[string]int{},
		notRun: map[string]bool{}, drained: map[*Endpoint]time.Time{}}
}

func (c *Checker) find(format string, args ...any) {
	if len(c.Findings) < maxFindings {
		at := time.Since(c.started).Round(time.Millisecond)
		c.Findings = append(c.Findings, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// FaultUntil notes that a fault is active.
func (c *Checker) FaultUntil(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.After(c.fault) {
		c.fault = end
	}
}

// isCalm reports whether no fault was active in a span; the caller holds mu.
func (c *Checker) isCalm(since time.Time) bool { return since.Sub(c.fault) > calmFor }

// Sent notes a request before it is sent.
func (c *Checker) Sent(id string, checksum uint64, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id], c.once[id] = checksum, once
}

// Ran notes that an endpoint runs a request.
func (c *Checker) Ran(id string, e *Endpoint, checksum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Runs++
	c.runs[id]++
	want, known := c.sent[id]
	switch {
	case !known:
		c.find("%s ran request %q that nobody sent", e.id, id)
	case want != checksum:
		c.find("%s ran request %s changed", e.id, id)
	case c.once[id] && c.runs[id] > 1:
		c.find("request %s ran %d times, last at %s", id, c.runs[id], e.id)
	case c.once[id] && c.notRun[id]:
		c.find("request %s ran at %s after a promise that it never will", id, e.id)
	}
	if at, ok := c.drained[e]; ok && time.Since(at) > drainBound && c.isCalm(at) {
		c.find("%s got request %s %v after its draining was acknowledged", e.id, id, time.Since(at))
	}
}

// Drained notes that the draining of an endpoint was acknowledged.
func (c *Checker) Drained(e *Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[e] = time.Now()
}

// Answered checks a whole answer.
func (c *Checker) Answered(id string, status int, signature, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200 && (signature == "" || body != want):
		c.find("request %s got a success with body %q, signature %q", id, body, signature)
	case status == 200 && c.runs[id] == 0:
		c.find("request %s got a success and has not run", id)
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.Refused++
		c.notRun[id] = true
		if c.once[id] && c.runs[id] > 0 {
			c.find("request %s got %d and has run", id, status)
		}
		return
	case status == 401 || status == 403 || status == 404:
		c.find("request %s got %d", id, status)
	}
	if status == 200 {
		c.Served++
		return
	}
	c.Failed++
}

// Broken notes a request whose answer didn't end; what arrived of it must be the beginning of the right answer.
func (c *Checker) Broken(id, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Failed++
	if body != "" && !strings.HasPrefix(want, body) {
		c.find("request %s got a broken answer that doesn't begin right: %q", id, body)
	}
}

// Acked notes an acknowledged version.
func (c *Checker) Acked(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = max(c.acked, version)
}

// AckedVersion returns the highest acknowledged version.
func (c *Checker) AckedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked
}

// Read checks a version that a node returned; atLeast was acknowledged before the read was sent.
func (c *Checker) Read(node string, version, atLeast uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < atLeast {
		c.find("%s returned version %d after %d was acknowledged", node, version, atLeast)
	}
}

// Find notes a broken promise.
func (c *Checker) Find(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(format, args...)
}

// Counts returns the requests by outcome.
func (c *Checker) Counts() (served, refused, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Served, c.Refused, c.Failed
}
