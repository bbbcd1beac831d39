package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"cactusroute.dev/core/viewer"
)

// VerdictTime is how long a suspicion or a conviction lasts.
const VerdictTTL = 10 * time.Minute

// ConvictingCrashes is the number of crashes after which a fingerprint is refused.
const CrashThreshold = 2

// maxRecords bounds the suspects that one agent remembers; a crash adds at most its requests in flight.
const maxRecords = 10_000

// fingerprintBytes of SHA-256 make an accidental match between requests impossible in practice.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content and its chat key, so that requests with one fingerprint have one
// first candidate. Resumed attempts have the fingerprint of the first one, because the text delivered so far is
// not part of the body.
func Fingerprint(workspace, path string, chatKey uint64, body []byte) string {
	h := sha256.New()
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], chatKey)
	h.Write(key[:])
	for _, part := range [][]byte{[]byte(workspace), []byte(path), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// Decision says whether a fingerprint may start.
type Decision uint8

// Decisions about a start.
const (
	DecisionStart    Decision = iota
	DecisionPoison            // convicted
	DecisionInFlight          // the same fingerprint is in flight here
	DecisionSuspect           // it is a suspect that is held, or another suspect is in flight here
)

type record struct {
	crashes int
	until   time.Time
	since   time.Time // when the first crash became known here
	listed  bool      // control has it, too
}

// Report is what control has to learn: suspects with their crash counts after a crash.
type CrashReport struct {
	Suspects  []string
	Convicted []string
}

// Quarantiner holds the suspects of one agent; it is not safe for concurrent use.
type Quarantiner struct {
	records  map[string]record
	inFlight map[string]int
	atEngine map[string]int // part of inFlight
	suspect  string         // the suspect in flight; empty if none
}

// New returns a quarantiner without suspects.
func New() *Quarantiner {
	return &Quarantiner{records: map[string]record{}, inFlight: map[string]int{}, atEngine: map[string]int{}}
}

// Candidate is a request that asks to start.
type Request struct {
	Fingerprint string
	// Verdict is control's; the zero value if it has none.
	Verdict viewer.Verdict
	// Crashes is the count that the attempt carries. Such an attempt repeats the one that was in flight at a crash.
	Crashes int
	// Hold is how long after the first crash the router of the crashed attempt may repeat it. Other attempts with the
	// fingerprint wait until it has ended, because a second and a third engine could otherwise crash at once.
	Hold time.Duration
	// Parallel allows several requests with the fingerprint at once while it is no suspect. Calls of a service
	// with equal bodies are common and independent, unlike equal requests of one chat.
	AllowParallel bool
}

// crashes returns the highest crash count that any source knows.
func (q *Quarantiner) crashes(now time.Time, c Request) int {
	n := c.Crashes
	if r, ok := q.records[c.Fingerprint]; ok && now.Before(r.until) {
		n = max(n, r.crashes)
	}
	if now.Before(c.Verdict.Until) {
		n = max(n, c.Verdict.Crashes)
		if c.Verdict.Convicted {
			n = max(n, CrashThreshold)
		}
	}
	return n
}

// Start decides about a request and counts it as in flight if it may start.
func (q *Quarantiner) Start(now time.Time, c Request) Decision {
	if now.Before(c.Verdict.Until) && !c.Verdict.Convicted {
		q.list(now, c.Fingerprint, &c.Verdict)
	}
	d := q.Check(now, c)
	if d != DecisionStart {
		return d
	}
	q.inFlight[c.Fingerprint]++
	n := q.crashes(now, c)
	if n == 0 {
		delete(q.records, c.Fingerprint) // an expired count starts again at 0
		return DecisionStart
	}
	q.suspect = c.Fingerprint
	r, ok := q.records[c.Fingerprint]
	if !ok || !now.Before(r.until) {
		r = record{since: now}
	}
	r.crashes, r.until = n, now.Add(VerdictTTL)
	q.records[c.Fingerprint] = r
	return DecisionStart
}

// list takes over a verdict of control.
func (q *Quarantiner) list(now time.Time, fingerprint string, v *viewer.Verdict) {
	r, ok := q.records[fingerprint]
	if !ok || !now.Before(r.until) {
		r = record{since: now}
	}
	r.crashes, r.listed = max(r.crashes, v.Crashes), true
	if v.Convicted {
		r.crashes = max(r.crashes, CrashThreshold)
	}
	if v.Until.After(r.until) {
		r.until = v.Until
	}
	q.records[fingerprint] = r
}

// Sync takes over the verdicts of control, and drops records that control has dropped.
func (q *Quarantiner) SyncVerdicts(now time.Time, verdicts map[string]viewer.Verdict) {
	for f, v := range verdicts {
		if now.Before(v.Until) {
			q.list(now, f, &v)
		}
	}
	for f, r := range q.records {
		if _, ok := verdicts[f]; !ok && r.listed && q.inFlight[f] == 0 {
			delete(q.records, f)
		}
	}
}

// IsSuspect reports whether a fingerprint has crashed an engine.
func (q *Quarantiner) IsSuspect(now time.Time, c Request) bool { return q.crashes(now, c) > 0 }

// IsInFlight reports whether a fingerprint is in flight here.
func (q *Quarantiner) IsInFlight(fingerprint string) bool { return q.inFlight[fingerprint] > 0 }

// Send says that the engine gets a request that has started; only such requests can crash it.
func (q *Quarantiner) MarkSent(fingerprint string) { q.atEngine[fingerprint]++ }

// Unsent takes Send back, when the engine certainly has not got the request.
func (q *Quarantiner) UnmarkSent(fingerprint string) { decrement(q.atEngine, fingerprint) }

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Check decides like Start without counting the request.
func (q *Quarantiner) Check(now time.Time, c Request) Decision {
	n := q.crashes(now, c)
	switch {
	case n >= CrashThreshold:
		return DecisionPoison
	case q.inFlight[c.Fingerprint] > 0 && (n > 0 || !c.AllowParallel):
		return DecisionInFlight
	case n > 0 && q.suspect != "", n > 0 && c.Crashes == 0 && q.isHeld(now, c):
		return DecisionSuspect
	default:
		return DecisionStart
	}
}

func (q *Quarantiner) isHeld(now time.Time, c Request) bool {
	r, ok := q.records[c.Fingerprint]
	return c.Hold > 0 && (!ok || now.Before(r.since.Add(c.Hold)))
}

// Complete ends a request whose answer is whole, and reports whether that cleared a suspect.
func (q *Quarantiner) Complete(fingerprint string) (cleared bool) {
	q.UnmarkSent(fingerprint)
	q.Release(fingerprint)
	return q.Clear(fingerprint)
}

// Clear ends the suspicion of a fingerprint; it reports whether there was one.
func (q *Quarantiner) Clear(fingerprint string) (cleared bool) {
	_, cleared = q.records[fingerprint]
	delete(q.records, fingerprint)
	return cleared
}

// Release ends a request that was not sent, or whose sending was taken back.
func (q *Quarantiner) Release(fingerprint string) {
	decrement(q.inFlight, fingerprint)
	if q.inFlight[fingerprint] == 0 && q.suspect == fingerprint {
		q.suspect = ""
	}
}

// Crash makes all requests that were sent suspects, or convicts those that already were, and ends them. Requests
// that were not sent remain in flight.
func (q *Quarantiner) RecordCrash(now time.Time) (r CrashReport) {
	q.expire(now)
	for fingerprint, sent := range q.atEngine {
		rec, ok := q.records[fingerprint]
		if !ok {
			rec.since = now
		}
		n := rec.crashes + 1
		rec.crashes, rec.until = n, now.Add(VerdictTTL)
		q.records[fingerprint] = rec
		for range sent {
			q.Release(fingerprint)
		}
		r.Suspects = append(r.Suspects, fingerprint)
		if n >= CrashThreshold {
			r.Convicted = append(r.Convicted, fingerprint)
		}
	}
	clear(q.atEngine)
	slices.Sort(r.Suspects)
	slices.Sort(r.Convicted)
	return r
}

// expire drops old records, but never the count of a request that is in flight.
func (q *Quarantiner) expire(now time.Time) {
	for f, r := range q.records {
		if _, isRunning := q.inFlight[f]; !isRunning && (!now.Before(r.until) || len(q.records) > maxRecords) {
			delete(q.records, f)
		}
	}
}

// Known returns the number of fingerprints with at least one crash.
func (q *Quarantiner) SuspectCount() int { return len(q.records) }
