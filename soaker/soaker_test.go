package soaker

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soakFor is how long faults are injected in a test; longer runs are made by hand.
const testFaultDuration = 4 * time.Second

// seeds holds each seed that ever failed with its cause, and some that cover every kind of fault.
var seeds = []struct {
	seed  uint64
	cause string // empty for a seed that never failed
}{
	{seed: 3, cause: ""},
	{seed: 6, cause: ""},
	{seed: 101, cause: "a disk was lost while the group had two voters, of which a lost one was removed too early"},
}

// Guards against promises that are broken only while processes and connections of a real fleet fail.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "node")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "cactusroute.dev/node/cmd/node")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			r, err := Run(t.Context(), Config{
				Binary: binary, Folder: t.TempDir(), Seed: s.seed, FaultDuration: testFaultDuration,
			})
			assert.NilError(t, err)
			for _, f := range r.Findings {
				t.Error(f)
			}
			t.Logf("%d served, %d refused, %d failed, injected %q", r.Served, r.Refused, r.Failed, r.Injected)
		})
	}
}

// Guards against a checker that finds nothing: each broken promise must be seen.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(c *Checker, e *Endpoint)
	}{
		{"twice", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.RecordRun("1", e, 5)
			c.RecordRun("1", e, 5)
		}},
		{"refused and ran", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 503, "", "", "")
		}},
		{"ran after a refusal", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.CheckResponse("1", 503, "", "", "")
			c.RecordRun("1", e, 5)
		}},
		{"changed", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 6)
		}},
		{"unasked", func(c *Checker, e *Endpoint) { c.RecordRun("1", e, 6) }},
		{"wrong answer", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 200, "e", "other", "right")
		}},
		{"unsigned", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 200, "", "right", "right")
		}},
		{"wrong beginning", func(c *Checker, _ *Endpoint) { c.CheckTruncatedResponse("1", "x", "right") }},
		{"denied", func(c *Checker, _ *Endpoint) { c.CheckResponse("1", 404, "", "", "") }},
		{"older version", func(c *Checker, _ *Endpoint) { c.CheckRead("n", 3, 4) }},
		{"drained", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.drainedAt[e] = time.Now().Add(-2 * drainDeadline)
			c.RecordRun("1", e, 5)
		}},
	} {
		checker := NewChecker()
		c.do(checker, &Endpoint{id: "e"})
		assert.Equal(t, len(checker.Findings), 1, c.name)
	}
	calm := NewChecker()
	calm.RecordSent("1", 5, true)
	calm.RecordRun("1", &Endpoint{id: "e"}, 5)
	calm.CheckResponse("1", 200, "e", "right", "right")
	calm.CheckTruncatedResponse("2", "ri", "right")
	assert.Equal(t, len(calm.Findings), 0)
}
