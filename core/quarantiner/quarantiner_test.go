package quarantiner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/viewer"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a poison request that starts again, a verdict that never expires, and a crash count of the
// router or of control that is ignored.
func TestStartDecides(t *testing.T) {
	convicted := viewer.Verdict{Convicted: true, Until: epoch.Add(time.Minute)}
	for _, tt := range []struct {
		name     string
		running  []string // started as suspects
		verdict  viewer.Verdict
		attempts int
		after    time.Duration
		want     Decision
	}{
		{name: "unknown", want: DecisionStart},
		{name: "convicted by control", verdict: convicted, want: DecisionPoison},
		{name: "verdict expired", verdict: convicted, after: time.Hour, want: DecisionStart},
		{name: "two crashes seen by the router", attempts: 2, want: DecisionPoison},
		{name: "same in flight", running: []string{"x"}, want: DecisionInFlight},
		{name: "suspect alone", attempts: 1, want: DecisionStart},
		{name: "suspect beside a suspect", running: []string{"y"}, attempts: 1, want: DecisionSuspect},
		{name: "other beside a suspect", running: []string{"y"}, want: DecisionStart},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := New()
			for _, f := range tt.running {
				assert.Equal(t, q.Start(epoch, Request{Fingerprint: f, Crashes: 1}), DecisionStart)
			}
			c := Request{Fingerprint: "x", Verdict: tt.verdict, Crashes: tt.attempts}
			assert.Equal(t, q.Start(epoch.Add(tt.after), c), tt.want)
		})
	}
}

// Guards against copies that run beside the one that repeats a crashed request, a queued request that becomes a
// suspect, and a suspect that stays one although control has cleared it.
func TestHoldAndSync(t *testing.T) {
	q := New()
	copied := Request{Fingerprint: "x", Hold: time.Minute}
	repeated := Request{Fingerprint: "x", Crashes: 1, Hold: time.Minute}
	assert.Equal(t, q.Start(epoch, copied), DecisionStart)
	q.MarkSent("x")
	assert.Equal(t, q.Start(epoch, Request{Fingerprint: "queued"}), DecisionStart)
	assert.DeepEqual(t, q.RecordCrash(epoch).Suspects, []string{"x"})
	assert.Assert(t, q.IsInFlight("queued") && !q.IsInFlight("x"))
	assert.Equal(t, q.Check(epoch, copied), DecisionSuspect)
	assert.Equal(t, q.Check(epoch, repeated), DecisionStart)
	assert.Equal(t, q.Check(epoch.Add(time.Minute), copied), DecisionStart)
	verdicts := map[string]viewer.Verdict{"x": {Crashes: 1, Until: epoch.Add(VerdictTTL)}}
	q.SyncVerdicts(epoch, nil) // a view from before the report
	assert.Equal(t, q.Check(epoch, copied), DecisionSuspect)
	q.SyncVerdicts(epoch, verdicts)
	other := New()
	other.SyncVerdicts(epoch, verdicts)
	assert.Equal(t, other.Start(epoch, copied), DecisionSuspect)
	assert.Equal(t, other.Start(epoch, repeated), DecisionStart)
	assert.Assert(t, other.Complete("x"))
	q.SyncVerdicts(epoch, nil)
	assert.Equal(t, q.Check(epoch, copied), DecisionStart)
}

// Guards against a third crash by one fingerprint within the verdict time and against an innocent request
// that stays a suspect after it has completed, under any order of starts, completions, cancels and crashes.
func TestQuarantinerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), epoch
		isPoison := map[string]bool{"a": true, "b": true}
		running, crashes, last := map[string]int{}, map[string]int{}, map[string]time.Time{}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		end := func(f string) {
			if running[f]--; running[f] == 0 {
				delete(running, f)
			}
		}
		crash := func() {
			for f := range running {
				if now.Sub(last[f]) >= VerdictTTL {
					crashes[f] = 0
				}
				if isPoison[f] {
					crashes[f], last[f] = crashes[f]+1, now
				}
			}
			assert.Equal(t, len(q.RecordCrash(now).Suspects), len(running))
			clear(running)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				f := name.Draw(t, "fingerprint")
				c := Request{Fingerprint: f, AllowParallel: rapid.Bool().Draw(t, "parallel")}
				if q.Start(now, c) == DecisionStart {
					q.MarkSent(f)
					running[f]++
					isAlone := running[f] == 1 || c.AllowParallel && q.records[f].crashes == 0
					assert.Assert(t, isAlone, "runs twice at once")
				}
			},
			"complete": func(t *rapid.T) {
				f := name.Draw(t, "fingerprint")
				if running[f] == 0 || isPoison[f] {
					return
				}
				q.Complete(f)
				end(f)
				assert.Equal(t, q.Check(now, Request{Fingerprint: f, AllowParallel: true}), DecisionStart)
			},
			"cancel": func(t *rapid.T) {
				f := name.Draw(t, "fingerprint")
				if running[f] > 0 {
					q.UnmarkSent(f)
					q.Release(f)
					end(f)
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
				assert.Assert(t, suspects <= 1, "suspects beside each other")
				for f, n := range crashes {
					assert.Assert(t, n <= CrashThreshold, "%s: %d crashes, each within the verdict time of the last", f, n)
				}
			},
		})
	})
}
