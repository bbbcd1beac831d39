package agent

import (
	"context"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/viewer"
)

// suspectWait bounds how long a request waits for an equal one, or a suspect for another suspect. Waiting at
// this agent keeps equal requests from crashing several engines at once.
const maxSuspectWait = 5 * time.Second

const (
	// suspectRetry is when a caller or a router may ask again after that wait.
	suspectRetryAfter = time.Second
	// awayTime is how long copies of a request that was refused for lack of room wait here. It runs elsewhere now, and
	// if it crashes an engine, which is mostly before its first token, they would crash others at the same time. Callers
	// that obey Retry-After return later than that.
	runningElsewhereTTL = time.Second
	// maxAway bounds the fingerprints that are remembered as running elsewhere.
	maxRunningElsewhere = 4096
	// settleTime lets the crash reports of other agents arrive before a request that has crashed an engine runs again:
	// a commit takes milliseconds, and its copies may have run at two endpoints at once.
	crashReportWait = 100 * time.Millisecond
)

// cell runs the quarantiner for concurrent requests.
type quarantine struct {
	mu               sync.Mutex
	quarantiner      *quarantiner.Quarantiner
	crashCount       int // crashes so far; a request that was sent before one is no longer counted
	stateChanged     chan struct{}
	runningElsewhere map[string]time.Time // until when copies of a fingerprint wait
}

func newQuarantine() *quarantine {
	return &quarantine{quarantiner: quarantiner.New(), stateChanged: make(chan struct{}), runningElsewhere: map[string]time.Time{}}
}

// tenant is a request that the quarantiner counts as in flight.
type trackedRequest struct {
	fingerprint      string
	isSent           bool
	crashCountAtSend int // when it was sent
}

// enter waits until the candidate may start, and returns the reason if it may not; verdict reads that of control.
func (c *quarantine) awaitStart(
	ctx context.Context, q quarantiner.Request, verdict func(fingerprint string) viewer.Verdict,
) (t trackedRequest, reason relayer.Reason) {
	limit := time.NewTimer(maxSuspectWait)
	defer limit.Stop()
	for {
		q.Verdict = verdict(q.Fingerprint)
		now := time.Now()
		c.mu.Lock()
		d, wait := quarantiner.DecisionInFlight, c.runningElsewhere[q.Fingerprint].Sub(now)
		if q.Crashes > 0 || wait <= 0 {
			d, wait = c.quarantiner.Start(now, q), maxSuspectWait
		}
		t, ended := trackedRequest{fingerprint: q.Fingerprint}, c.stateChanged
		c.mu.Unlock()
		switch d {
		case quarantiner.DecisionStart:
			return t, ""
		case quarantiner.DecisionPoison:
			return t, relayer.ReasonPoison
		case quarantiner.DecisionInFlight, quarantiner.DecisionSuspect:
		}
		select {
		case <-ended:
		case <-time.After(wait):
		case <-limit.C:
			return t, relayer.ReasonSuspect
		case <-ctx.Done():
			return t, relayer.ReasonDeadline
		}
	}
}

// sendAway remembers that a request goes to another endpoint.
func (c *quarantine) markRunningElsewhere(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.runningElsewhere) >= maxRunningElsewhere {
		for f, until := range c.runningElsewhere {
			if !now.Before(until) {
				delete(c.runningElsewhere, f)
			}
		}
	}
	if len(c.runningElsewhere) < maxRunningElsewhere {
		c.runningElsewhere[fingerprint] = now.Add(runningElsewhereTTL)
	}
}

// isKnown reports whether other attempts with the fingerprint have to wait here and must not go to another endpoint:
// one is in flight here, or one was in flight at a crash.
func (c *quarantine) isInFlightOrSuspect(q quarantiner.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantiner.IsInFlight(q.Fingerprint) || c.quarantiner.IsSuspect(time.Now(), q)
}

func (c *quarantine) isSuspect(q quarantiner.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantiner.IsSuspect(time.Now(), q)
}

// sync takes over the verdicts of a new view and lets those who wait look again.
func (c *quarantine) syncVerdicts(verdicts map[string]viewer.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantiner.SyncVerdicts(time.Now(), verdicts)
	c.wakeWaiters()
}

func (c *quarantine) wakeWaiters() {
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// send says that the endpoint is about to get the request.
func (c *quarantine) markSent(t *trackedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantiner.MarkSent(t.fingerprint)
	t.isSent, t.crashCountAtSend = true, c.crashCount
}

// unsent takes send back, unless a crash has made the request a suspect meanwhile.
func (c *quarantine) unmarkSent(t *trackedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.crashCountAtSend == c.crashCount {
		c.quarantiner.UnmarkSent(t.fingerprint)
		t.isSent = false
	}
}

// leave ends a request; it reports whether a crash made it a suspect, and whether its completion cleared one.
func (c *quarantine) finish(t trackedRequest, completed bool) (suspected, cleared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeWaiters()
	switch {
	case t.isSent && t.crashCountAtSend != c.crashCount:
		return true, completed && c.quarantiner.Clear(t.fingerprint)
	case completed:
		return false, c.quarantiner.Complete(t.fingerprint)
	case t.isSent:
		c.quarantiner.UnmarkSent(t.fingerprint)
	}
	c.quarantiner.Release(t.fingerprint)
	return false, false
}

func (c *quarantine) recordCrash() quarantiner.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashCount++
	r := c.quarantiner.RecordCrash(time.Now())
	c.wakeWaiters()
	return r
}
