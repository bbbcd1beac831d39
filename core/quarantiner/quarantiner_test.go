package quarantiner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/viewer"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a poison request that starts again, a verdict that never expires, and an ignored crash count from the
// router or from the control group.
func TestStartDecision(t *testing.T) {
	convicted := viewer.Verdict{Convicted: true, Until: epoch.Add(time.Minute)}
	for _, tt := range []struct {
		name             string
		suspectsInFlight []string
		verdict          viewer.Verdict
		crashes          int
		after            time.Duration
		want             Decision
	}{
		{name: "unknown", want: DecisionStart},
		{name: "convicted by the control group", verdict: convicted, want: DecisionPoison},
		{name: "verdict expired", verdict: convicted, after: time.Hour, want: DecisionStart},
		{name: "two crashes seen by the router", crashes: 2, want: DecisionPoison},
		{name: "same fingerprint in flight", suspectsInFlight: []string{"x"}, want: DecisionInFlight},
		{name: "suspect without another one in flight", crashes: 1, want: DecisionStart},
		{name: "suspect with another one in flight", suspectsInFlight: []string{"y"}, crashes: 1, want: DecisionSuspect},
		{name: "no suspect, with a suspect in flight", suspectsInFlight: []string{"y"}, want: DecisionStart},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := New()
			for _, f := range tt.suspectsInFlight {
				assert.Equal(t, q.Start(epoch, Request{Fingerprint: f, Crashes: 1}), DecisionStart)
			}
			req := Request{Fingerprint: "x", Verdict: tt.verdict, Crashes: tt.crashes}
			assert.Equal(t, q.Start(epoch.Add(tt.after), req), tt.want)
		})
	}
}

// Guards against duplicates that run while a crashed request is retried, a queued request that becomes a suspect, and a
// suspect that remains one after the control group has cleared it.
func TestHoldAndSyncVerdicts(t *testing.T) {
	q := New()
	duplicate := Request{Fingerprint: "x", Hold: time.Minute}
	retry := Request{Fingerprint: "x", Crashes: 1, Hold: time.Minute}
	assert.Equal(t, q.Start(epoch, duplicate), DecisionStart)
	q.MarkSent("x")
	assert.Equal(t, q.Start(epoch, Request{Fingerprint: "queued"}), DecisionStart)
	assert.DeepEqual(t, q.RecordCrash(epoch).Suspects, []string{"x"})
	assert.Assert(t, q.IsInFlight("queued") && !q.IsInFlight("x"))
	assert.Equal(t, q.Check(epoch, duplicate), DecisionSuspect)
	assert.Equal(t, q.Check(epoch, retry), DecisionStart)
	assert.Equal(t, q.Check(epoch.Add(time.Minute), duplicate), DecisionStart)
	verdicts := map[string]viewer.Verdict{"x": {Crashes: 1, Until: epoch.Add(VerdictTTL)}}
	q.SyncVerdicts(epoch, nil) // a view older than the crash report
	assert.Equal(t, q.Check(epoch, duplicate), DecisionSuspect)
	q.SyncVerdicts(epoch, verdicts)
	otherAgent := New()
	otherAgent.SyncVerdicts(epoch, verdicts)
	assert.Equal(t, otherAgent.Start(epoch, duplicate), DecisionSuspect)
	assert.Equal(t, otherAgent.Start(epoch, retry), DecisionStart)
	assert.Assert(t, otherAgent.Complete("x"))
	q.SyncVerdicts(epoch, nil)
	assert.Equal(t, q.Check(epoch, duplicate), DecisionStart)
}

// Guards against a third crash by one fingerprint within the verdict TTL, and against a harmless request that remains a
// suspect after it has completed, for random sequences of starts, completions, cancellations and crashes.
func TestQuarantinerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), epoch
		isPoison := map[string]bool{"a": true, "b": true}
		running, crashes, lastCrash := map[string]int{}, map[string]int{}, map[string]time.Time{}
		fingerprints := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		release := func(f string) {
			if running[f]--; running[f] == 0 {
				delete(running, f)
			}
		}
		crash := func() {
			for f := range running {
				if now.Sub(lastCrash[f]) >= VerdictTTL {
					crashes[f] = 0
				}
				if isPoison[f] {
					crashes[f], lastCrash[f] = crashes[f]+1, now
				}
			}
			assert.Equal(t, len(q.RecordCrash(now).Suspects), len(running))
			clear(running)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				f := fingerprints.Draw(t, "fingerprint")
				req := Request{Fingerprint: f, AllowParallel: rapid.Bool().Draw(t, "parallel")}
				if q.Start(now, req) == DecisionStart {
					q.MarkSent(f)
					running[f]++
					isAlone := running[f] == 1 || req.AllowParallel && q.records[f].crashes == 0
					assert.Assert(t, isAlone, "concurrent requests with one fingerprint")
				}
			},
			"complete": func(t *rapid.T) {
				f := fingerprints.Draw(t, "fingerprint")
				if running[f] == 0 || isPoison[f] {
					return
				}
				q.Complete(f)
				release(f)
				assert.Equal(t, q.Check(now, Request{Fingerprint: f, AllowParallel: true}), DecisionStart)
			},
			"cancel": func(t *rapid.T) {
				f := fingerprints.Draw(t, "fingerprint")
				if running[f] > 0 {
					q.UnmarkSent(f)
					q.Release(f)
					release(f)
				}
			},
			"crash": func(*rapid.T) {
				for f := range running {
					if isPoison[f] {
						crash()
						return
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				suspects := 0
				for f := range running {
					if q.records[f].crashes > 0 {
						suspects++
					}
				}
				assert.Assert(t, suspects <= 1, "several suspects in flight")
				for f, n := range crashes {
					assert.Assert(t, n <= CrashThreshold, "%s: %d crashes, each within the verdict TTL of the last", f, n)
				}
			},
		})
	})
}
