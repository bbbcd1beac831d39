package soaker

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testFaultDuration is short for a fast test; the soaker command makes longer runs.
const testFaultDuration = 4 * time.Second

// seeds holds every seed that has failed, with its cause, and some seeds that together cover every kind of fault.
var seeds = []struct {
	seed  uint64
	cause string // of the past failure; empty if the seed has not failed
}{
	{seed: 3, cause: ""},
	{seed: 6, cause: ""},
	{seed: 101, cause: "a disk was lost while the group had two voters, and a lost voter was removed too early"},
	{seed: 601, cause: "a response that ended with the endpoint's connection got a Content-Length"},
}

// Guards against violations that occur only while processes, connections and disks of a fleet of processes fail.
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

// Guards against a node in a fleet of processes that obeys an outdated or invalid plan while nothing disturbs it.
func TestPlans(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "node")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "cactusroute.dev/node/cmd/node")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	r, err := RunPlans(t.Context(), PlansConfig{Config: Config{Binary: binary, Folder: t.TempDir(), Seed: 240,
		FaultDuration: 2 * testFaultDuration}, Instances: 3, Routers: 3, InstanceShare: 0.3, RouterShare: 0.1,
		Interval: 200 * time.Millisecond, Routes: 100, LoadedNodes: 4, LoadConns: 2, Faults: "none"})
	assert.NilError(t, err)
	for _, f := range r.Findings {
		t.Error(f)
	}
	assert.Assert(t, r.Counts["served"] > 0 && r.Counts["notFound"] > 0 && r.Counts["reads"] > 0, "%v", r.Counts)
	t.Log(r.Counts, r.Report)
}

// Guards against a checker that misses a violation, or that reports one in a correct run.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(c *Checker, e *Endpoint)
	}{
		{"twice", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.RecordRun("1", e, 5)
			c.RecordRun("1", e, 5)
		}},
		{"refused and ran", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 503, true, "", "", "")
		}},
		{"ran after a refusal", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, true)
			c.CheckResponse("1", 503, true, "", "", "")
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
			c.CheckResponse("1", 200, true, "e", "other", "right")
		}},
		{"unsigned", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 200, true, "", "right", "right")
		}},
		{"framed although it broke off", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 5)
			c.RecordUnframedBreak("1")
			c.CheckResponse("1", 200, true, "e", "ri", "right")
		}},
		{"short without a break of the endpoint", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.RecordRun("1", e, 5)
			c.CheckResponse("1", 200, false, "e", "ri", "right")
		}},
		{"wrong beginning", func(c *Checker, _ *Endpoint) { c.CheckTruncatedResponse("1", "x", "right") }},
		{"denied", func(c *Checker, _ *Endpoint) { c.CheckResponse("1", 404, true, "", "", "") }},
		{"older version", func(c *Checker, _ *Endpoint) { c.CheckRead("n", 3, 4) }},
		{"drained", func(c *Checker, e *Endpoint) {
			c.RecordSent("1", 5, false)
			c.drainedAt[e] = time.Now().Add(-2 * drainDeadline)
			c.RecordRun("1", e, 5)
		}},
		{"leaving", func(c *Checker, _ *Endpoint) {
			c.RecordLeaving("n", "e")
			c.said.leavingAt[pair{"n", "e"}] = time.Now().Add(-2 * drainDeadline)
			c.RecordSentTo("1", "n")
			c.RecordArrival("1", "e")
		}},
		{"quiet", func(c *Checker, _ *Endpoint) {
			for i := range maxQuietArrivals + 3 {
				id := fmt.Sprint(i)
				c.RecordSentTo(id, "n")
				c.RecordArrival(id, "e")
				if i == 0 {
					c.RecordQuiet(id, "e", time.Minute)
					c.said.quietTimes[pair{"n", "e"}][0].from = time.Now()
				}
			}
		}},
	} {
		checker := NewChecker()
		c.act(checker, &Endpoint{id: "e"})
		assert.Equal(t, len(checker.Findings), 1, c.name)
	}
	valid := NewChecker()
	valid.RecordSent("1", 5, true)
	valid.RecordRun("1", &Endpoint{id: "e"}, 5)
	valid.CheckResponse("1", 200, true, "e", "right", "right")
	valid.CheckTruncatedResponse("2", "ri", "right")
	valid.RecordUnframedBreak("3")
	valid.CheckResponse("3", 200, false, "e", "ri", "right")
	for i, node := range []string{"n", "n", "n", "other", "other", "other", "restarted"} {
		id := fmt.Sprint("quiet", i)
		valid.RecordSentTo(id, node)
		valid.RecordArrival(id, "e")
		if i == 0 {
			valid.RecordQuiet(id, "e", time.Minute)
			valid.said.quietTimes[pair{"n", "e"}][0].from = time.Now()
			valid.RecordLeaving("restarted", "e")
			valid.said.leavingAt[pair{"restarted", "e"}] = time.Now().Add(-2 * drainDeadline)
			valid.RecordInterruption("restarted", time.Now().Add(-drainDeadline))
		}
	}
	assert.Equal(t, len(valid.Findings), 0)
}
