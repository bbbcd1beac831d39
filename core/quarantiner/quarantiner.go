package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"cactusroute.dev/core/viewer"
)

// VerdictTTL is how long a fingerprint stays a suspect or convicted after a crash.
const VerdictTTL = 10 * time.Minute

// CrashThreshold is the number of crashes after which a fingerprint is convicted and refused.
const CrashThreshold = 2

// maxRecords bounds the suspects that one agent records; a crash adds at most the requests in flight.
const maxRecords = 10_000

// fingerprintBytes is the number of SHA-256 bytes used, which rules out accidental collisions in practice.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content and its chat key, so that requests with equal fingerprints have the
// same first candidate. Resumed attempts keep the fingerprint, because the delivered text is not part of the body.
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

// Decision is the decision whether a request may start.
type Decision uint8

// Decisions on the start of a request.
const (
	DecisionStart    Decision = iota
	DecisionPoison            // convicted
	DecisionInFlight          // a request with the fingerprint is in flight here
	DecisionSuspect           // a suspect that is on hold, or another suspect is in flight here
)

type record struct {
	crashes        int
	expires        time.Time
	firstCrash     time.Time // when the first crash became known here
	knownToControl bool      // the control group has a verdict
}

// CrashReport lists the suspects of an engine crash, and those of them that it convicts, for the control group.
type CrashReport struct {
	Suspects  []string
	Convicted []string
}

// Quarantiner tracks the suspects of one agent; it is not safe for concurrent use.
type Quarantiner struct {
	records         map[string]record
	inFlight        map[string]int
	sentToEngine    map[string]int // subset of inFlight
	suspectInFlight string         // empty if none
}

// New returns a quarantiner without suspects.
func New() *Quarantiner {
	return &Quarantiner{records: map[string]record{}, inFlight: map[string]int{}, sentToEngine: map[string]int{}}
}

// Request describes a request to start.
type Request struct {
	Fingerprint string
	// Verdict is the verdict of the control group; the zero value if there is none.
	Verdict viewer.Verdict
	// Crashes is the crash count sent by the router; above 0, the attempt retries one that was in flight at a crash.
	Crashes int
	// Hold is how long after the first crash only the router of the crashed attempt may retry it. Other requests with
	// the fingerprint wait for the hold to end, because a second and a third engine could otherwise crash at once.
	Hold time.Duration
	// AllowParallel allows concurrent requests with the fingerprint unless it is a suspect. Service calls with equal
	// bodies are common and independent, unlike equal requests of one chat.
	AllowParallel bool
}

// crashCount returns the highest crash count from the request, the local record and the verdict.
func (q *Quarantiner) crashCount(now time.Time, req Request) int {
	n := req.Crashes
	if r, ok := q.records[req.Fingerprint]; ok && now.Before(r.expires) {
		n = max(n, r.crashes)
	}
	if now.Before(req.Verdict.Until) {
		n = max(n, req.Verdict.Crashes)
		if req.Verdict.Convicted {
			n = max(n, CrashThreshold)
		}
	}
	return n
}

// Start decides whether a request may start, and counts it as in flight if so.
func (q *Quarantiner) Start(now time.Time, req Request) Decision {
	if now.Before(req.Verdict.Until) && !req.Verdict.Convicted {
		q.applyVerdict(now, req.Fingerprint, &req.Verdict)
	}
	d := q.Check(now, req)
	if d != DecisionStart {
		return d
	}
	q.inFlight[req.Fingerprint]++
	n := q.crashCount(now, req)
	if n == 0 {
		delete(q.records, req.Fingerprint) // the crash count has expired
		return DecisionStart
	}
	q.suspectInFlight = req.Fingerprint
	r, ok := q.records[req.Fingerprint]
	if !ok || !now.Before(r.expires) {
		r = record{firstCrash: now}
	}
	r.crashes, r.expires = n, now.Add(VerdictTTL)
	q.records[req.Fingerprint] = r
	return DecisionStart
}

// applyVerdict merges a verdict of the control group into the local record.
func (q *Quarantiner) applyVerdict(now time.Time, fingerprint string, v *viewer.Verdict) {
	r, ok := q.records[fingerprint]
	if !ok || !now.Before(r.expires) {
		r = record{firstCrash: now}
	}
	r.crashes, r.knownToControl = max(r.crashes, v.Crashes), true
	if v.Convicted {
		r.crashes = max(r.crashes, CrashThreshold)
	}
	if v.Until.After(r.expires) {
		r.expires = v.Until
	}
	q.records[fingerprint] = r
}

// SyncVerdicts applies the verdicts of the control group, and deletes records whose verdict the group has deleted.
func (q *Quarantiner) SyncVerdicts(now time.Time, verdicts map[string]viewer.Verdict) {
	for fingerprint, v := range verdicts {
		if now.Before(v.Until) {
			q.applyVerdict(now, fingerprint, &v)
		}
	}
	for fingerprint, r := range q.records {
		if _, ok := verdicts[fingerprint]; !ok && r.knownToControl && q.inFlight[fingerprint] == 0 {
			delete(q.records, fingerprint)
		}
	}
}

// IsSuspect reports whether the fingerprint of a request has been in flight at an engine crash.
func (q *Quarantiner) IsSuspect(now time.Time, req Request) bool { return q.crashCount(now, req) > 0 }

// IsInFlight reports whether a request with the fingerprint is in flight here.
func (q *Quarantiner) IsInFlight(fingerprint string) bool { return q.inFlight[fingerprint] > 0 }

// MarkSent records that a started request is sent to the engine; only requests that were sent can crash it.
func (q *Quarantiner) MarkSent(fingerprint string) { q.sentToEngine[fingerprint]++ }

// UnmarkSent undoes MarkSent when the engine certainly did not receive the request.
func (q *Quarantiner) UnmarkSent(fingerprint string) { decrement(q.sentToEngine, fingerprint) }

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Check returns the decision of Start without counting the request as in flight.
func (q *Quarantiner) Check(now time.Time, req Request) Decision {
	n := q.crashCount(now, req)
	switch {
	case n >= CrashThreshold:
		return DecisionPoison
	case q.inFlight[req.Fingerprint] > 0 && (n > 0 || !req.AllowParallel):
		return DecisionInFlight
	case n > 0 && q.suspectInFlight != "", n > 0 && req.Crashes == 0 && q.isOnHold(now, req):
		return DecisionSuspect
	default:
		return DecisionStart
	}
}

func (q *Quarantiner) isOnHold(now time.Time, req Request) bool {
	r, ok := q.records[req.Fingerprint]
	return req.Hold > 0 && (!ok || now.Before(r.firstCrash.Add(req.Hold)))
}

// Complete ends a request that has completed; it reports whether that cleared a suspect.
func (q *Quarantiner) Complete(fingerprint string) (cleared bool) {
	q.UnmarkSent(fingerprint)
	q.Release(fingerprint)
	return q.Clear(fingerprint)
}

// Clear deletes the record of a fingerprint; it reports whether there was one.
func (q *Quarantiner) Clear(fingerprint string) (cleared bool) {
	_, cleared = q.records[fingerprint]
	delete(q.records, fingerprint)
	return cleared
}

// Release ends a request that is not marked as sent.
func (q *Quarantiner) Release(fingerprint string) {
	decrement(q.inFlight, fingerprint)
	if q.inFlight[fingerprint] == 0 && q.suspectInFlight == fingerprint {
		q.suspectInFlight = ""
	}
}

// RecordCrash counts an engine crash for all requests sent to the engine, which makes them suspects or convicts them,
// and ends them. Requests that were not sent remain in flight.
func (q *Quarantiner) RecordCrash(now time.Time) (report CrashReport) {
	q.expire(now)
	for fingerprint, sent := range q.sentToEngine {
		rec, ok := q.records[fingerprint]
		if !ok {
			rec.firstCrash = now
		}
		n := rec.crashes + 1
		rec.crashes, rec.expires = n, now.Add(VerdictTTL)
		q.records[fingerprint] = rec
		for range sent {
			q.Release(fingerprint)
		}
		report.Suspects = append(report.Suspects, fingerprint)
		if n >= CrashThreshold {
			report.Convicted = append(report.Convicted, fingerprint)
		}
	}
	clear(q.sentToEngine)
	slices.Sort(report.Suspects)
	slices.Sort(report.Convicted)
	return report
}

// expire deletes expired records, and arbitrary ones above maxRecords, but never those of requests in flight.
func (q *Quarantiner) expire(now time.Time) {
	for fingerprint, r := range q.records {
		if _, isInFlight := q.inFlight[fingerprint]; !isInFlight && (!now.Before(r.expires) || len(q.records) > maxRecords) {
			delete(q.records, fingerprint)
		}
	}
}

// SuspectCount returns the number of fingerprints with a recorded crash.
func (q *Quarantiner) SuspectCount() int { return len(q.records) }
