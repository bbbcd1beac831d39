package agent

import (
	"context"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/viewer"
)

// maxSuspectWait limits how long a request waits for one with the same fingerprint, or a suspect for another suspect.
// If they did not wait at this agent, requests with equal fingerprints could crash several engines at once.
const maxSuspectWait = 5 * time.Second

const (
	// suspectRetryAfter is the Retry-After of a request that is refused after maxSuspectWait.
	suspectRetryAfter = time.Second
	// runningElsewhereTTL is how long requests wait here after the limiter refused one with their fingerprint, which then
	// runs at another endpoint. If that one crashes an engine, usually before its first token, the waiting ones would
	// otherwise crash more engines at the same time. Callers that honor Retry-After return later.
	runningElsewhereTTL = time.Second
	// maxRunningElsewhere limits the recorded fingerprints of requests that run at other endpoints.
	maxRunningElsewhere = 4096
	// crashReportWait lets crash reports of other agents arrive before a request that was in flight at a crash is retried:
	// a commit takes milliseconds, and requests with its fingerprint may have run at two endpoints at once.
	crashReportWait = 100 * time.Millisecond
)

// quarantine makes the quarantiner safe for concurrent use and lets requests wait for its decisions.
type quarantine struct {
	mu               sync.Mutex
	quarantiner      *quarantiner.Quarantiner
	crashCount       int // each crash releases the requests that were sent before it
	stateChanged     chan struct{}
	runningElsewhere map[string]time.Time // fingerprint to the time until which requests with it wait
}

func newQuarantine() *quarantine {
	return &quarantine{
		quarantiner: quarantiner.New(), stateChanged: make(chan struct{}), runningElsewhere: map[string]time.Time{},
	}
}

// trackedRequest is a request that the quarantiner counts as in flight.
type trackedRequest struct {
	fingerprint      string
	isSent           bool
	crashCountAtSend int
}

// awaitStart waits until the request may start, or returns the reason of its refusal. verdictOf returns the current
// verdict of control.
func (q *quarantine) awaitStart(
	ctx context.Context, req quarantiner.Request, verdictOf func(fingerprint string) viewer.Verdict,
) (t trackedRequest, reason relayer.Reason) {
	timeout := time.NewTimer(maxSuspectWait)
	defer timeout.Stop()
	for {
		req.Verdict = verdictOf(req.Fingerprint)
		now := time.Now()
		q.mu.Lock()
		d, wait := quarantiner.DecisionInFlight, q.runningElsewhere[req.Fingerprint].Sub(now)
		if req.Crashes > 0 || wait <= 0 {
			d, wait = q.quarantiner.Start(now, req), maxSuspectWait
		}
		t, changed := trackedRequest{fingerprint: req.Fingerprint}, q.stateChanged
		q.mu.Unlock()
		switch d {
		case quarantiner.DecisionStart:
			return t, ""
		case quarantiner.DecisionPoison:
			return t, relayer.ReasonPoison
		case quarantiner.DecisionInFlight, quarantiner.DecisionSuspect:
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-timeout.C:
			return t, relayer.ReasonSuspect
		case <-ctx.Done():
			return t, relayer.ReasonDeadline
		}
	}
}

// markRunningElsewhere records that routers will retry a request at another endpoint.
func (q *quarantine) markRunningElsewhere(fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if len(q.runningElsewhere) >= maxRunningElsewhere {
		for f, until := range q.runningElsewhere {
			if !now.Before(until) {
				delete(q.runningElsewhere, f)
			}
		}
	}
	if len(q.runningElsewhere) < maxRunningElsewhere {
		q.runningElsewhere[fingerprint] = now.Add(runningElsewhereTTL)
	}
}

// isInFlightOrSuspect reports whether a request with the fingerprint is in flight here or was in flight at a crash.
// Others with the fingerprint must then wait here and not run at another endpoint.
func (q *quarantine) isInFlightOrSuspect(req quarantiner.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantiner.IsInFlight(req.Fingerprint) || q.quarantiner.IsSuspect(time.Now(), req)
}

func (q *quarantine) isSuspect(req quarantiner.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantiner.IsSuspect(time.Now(), req)
}

// syncVerdicts applies the verdicts of a new view and wakes the waiting requests.
func (q *quarantine) syncVerdicts(verdicts map[string]viewer.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantiner.SyncVerdicts(time.Now(), verdicts)
	q.wakeWaiters()
}

func (q *quarantine) wakeWaiters() {
	close(q.stateChanged)
	q.stateChanged = make(chan struct{})
}

// markSent records that the request is about to be sent to the endpoint.
func (q *quarantine) markSent(t *trackedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantiner.MarkSent(t.fingerprint)
	t.isSent, t.crashCountAtSend = true, q.crashCount
}

// unmarkSent undoes markSent, unless a crash has made the request a suspect in the meantime.
func (q *quarantine) unmarkSent(t *trackedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.crashCountAtSend == q.crashCount {
		q.quarantiner.UnmarkSent(t.fingerprint)
		t.isSent = false
	}
}

// finish ends a request; it reports whether a crash made it a suspect, and whether its completion cleared a suspect.
func (q *quarantine) finish(t trackedRequest, completed bool) (suspected, cleared bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.wakeWaiters()
	switch {
	case t.isSent && t.crashCountAtSend != q.crashCount:
		return true, completed && q.quarantiner.Clear(t.fingerprint)
	case completed:
		return false, q.quarantiner.Complete(t.fingerprint)
	case t.isSent:
		q.quarantiner.UnmarkSent(t.fingerprint)
	}
	q.quarantiner.Release(t.fingerprint)
	return false, false
}

func (q *quarantine) recordCrash() quarantiner.CrashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashCount++
	r := q.quarantiner.RecordCrash(time.Now())
	q.wakeWaiters()
	return r
}
