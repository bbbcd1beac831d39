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
const suspectWait = 5 * time.Second

const (
	// suspectRetry is when a caller or a router may ask again after that wait.
	suspectRetry = time.Second
	// awayTime is how long copies of a request that was refused for lack of room wait here. It runs elsewhere now, and
	// if it crashes an engine, which is mostly before its first token, they would crash others at the same time. Callers
	// that obey Retry-After return later than that.
	awayTime = time.Second
	// maxAway bounds the fingerprints that are remembered as running elsewhere.
	maxAway = 4096
	// settleTime lets the crash reports of other agents arrive before a request that has crashed an engine runs again:
	// a commit takes milliseconds, and its copies may have run at two endpoints at once.
	settleTime = 100 * time.Millisecond
)

// cell runs the quarantiner for concurrent requests.
type cell struct {
	mu      sync.Mutex
	q       *quarantiner.Quarantiner
	crashes int // crashes so far; a request that was sent before one is no longer counted
	ended   chan struct{}
	away    map[string]time.Time // until when copies of a fingerprint wait
}

func newCell() *cell {
	return &cell{q: quarantiner.New(), ended: make(chan struct{}), away: map[string]time.Time{}}
}

// tenant is a request that the quarantiner counts as in flight.
type tenant struct {
	fingerprint string
	isSent      bool
	crashes     int // when it was sent
}

// enter waits until the candidate may start, and returns the reason if it may not; verdict reads that of control.
func (c *cell) enter(
	ctx context.Context, q quarantiner.Request, verdict func(fingerprint string) viewer.Verdict,
) (t tenant, reason relayer.Reason) {
	limit := time.NewTimer(suspectWait)
	defer limit.Stop()
	for {
		q.Verdict = verdict(q.Fingerprint)
		now := time.Now()
		c.mu.Lock()
		d, wait := quarantiner.DecisionInFlight, c.away[q.Fingerprint].Sub(now)
		if q.Crashes > 0 || wait <= 0 {
			d, wait = c.q.Start(now, q), suspectWait
		}
		t, ended := tenant{fingerprint: q.Fingerprint}, c.ended
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
func (c *cell) sendAway(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.away) >= maxAway {
		for f, until := range c.away {
			if !now.Before(until) {
				delete(c.away, f)
			}
		}
	}
	if len(c.away) < maxAway {
		c.away[fingerprint] = now.Add(awayTime)
	}
}

// isKnown reports whether other attempts with the fingerprint have to wait here and must not go to another endpoint:
// one is in flight here, or one was in flight at a crash.
func (c *cell) isKnown(q quarantiner.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.q.IsInFlight(q.Fingerprint) || c.q.IsSuspect(time.Now(), q)
}

func (c *cell) isSuspect(q quarantiner.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.q.IsSuspect(time.Now(), q)
}

// sync takes over the verdicts of a new view and lets those who wait look again.
func (c *cell) sync(verdicts map[string]viewer.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.q.SyncVerdicts(time.Now(), verdicts)
	c.wake()
}

func (c *cell) wake() {
	close(c.ended)
	c.ended = make(chan struct{})
}

// send says that the endpoint is about to get the request.
func (c *cell) send(t *tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.q.MarkSent(t.fingerprint)
	t.isSent, t.crashes = true, c.crashes
}

// unsent takes send back, unless a crash has made the request a suspect meanwhile.
func (c *cell) unsent(t *tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.crashes == c.crashes {
		c.q.UnmarkSent(t.fingerprint)
		t.isSent = false
	}
}

// leave ends a request; it reports whether a crash made it a suspect, and whether its completion cleared one.
func (c *cell) leave(t tenant, completed bool) (suspected, cleared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wake()
	switch {
	case t.isSent && t.crashes != c.crashes:
		return true, completed && c.q.Clear(t.fingerprint)
	case completed:
		return false, c.q.Complete(t.fingerprint)
	case t.isSent:
		c.q.UnmarkSent(t.fingerprint)
	}
	c.q.Release(t.fingerprint)
	return false, false
}

func (c *cell) crash() quarantiner.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	r := c.q.RecordCrash(time.Now())
	c.wake()
	return r
}
