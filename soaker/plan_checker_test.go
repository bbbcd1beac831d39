package soaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/node"
)

// Guards against a checker of plans that misses a violation, or that reports one where a rule does not hold.
func TestPlanCheckerFindsViolations(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name     string
		act      func(c *planChecker, n *Node)
		findings int
	}{
		{"old plan in time", func(c *planChecker, n *Node) { c.CheckServed(n, ago(3*time.Second), 4, "v4") }, 0},
		{"old plan late", func(c *planChecker, n *Node) { c.CheckServed(n, ago(2*time.Second), 4, "v4") }, 1},
		{"old plan at a disturbed node", func(c *planChecker, n *Node) {
			c.RecordDisturbed(n, false, ago(6*time.Second))
			c.CheckServed(n, ago(2*time.Second), 4, "v4")
		}, 0},
		{"old plan beside a disturbed control instance", func(c *planChecker, n *Node) {
			c.coreSince = ago(time.Second)
			c.CheckServed(n, ago(2*time.Second), 4, "v4")
		}, 0},
		{"very old plan beside a disturbed control instance", func(c *planChecker, n *Node) {
			c.coreSince = ago(time.Second)
			c.CheckServed(n, now, 3, "v3")
		}, 1},
		{"older than an effect", func(c *planChecker, n *Node) {
			c.RecordDisturbed(n, false, now)
			c.nodes[n].effects = []seenPlan{{5, ago(time.Second)}}
			c.CheckServed(n, ago(500*time.Millisecond), 4, "v4")
		}, 1},
		{"soon after an effect", func(c *planChecker, n *Node) {
			c.RecordDisturbed(n, false, now)
			c.nodes[n].effects = []seenPlan{{5, ago(time.Second)}}
			c.CheckServed(n, ago(900*time.Millisecond), 4, "v4")
		}, 0},
		{"plan that is not valid", func(c *planChecker, n *Node) { c.CheckServed(n, now, 5, "invalid") }, 1},
		{"two contents of a version", func(c *planChecker, n *Node) {
			c.RecordSent(5, "other")
			c.CheckServed(n, now, 5, "v5")
			c.CheckServed(n, now, 5, "other")
		}, 1},
		{"route not served", func(c *planChecker, n *Node) { c.CheckUnknown(n, now, 5, 5+routeLifetime) }, 1},
		{"route perhaps removed", func(c *planChecker, n *Node) {
			c.RecordSent(6+routeLifetime, "later")
			c.CheckUnknown(n, now, 5, 5+routeLifetime)
		}, 0},
		{"route not added yet", func(c *planChecker, n *Node) { c.CheckUnknown(n, now, 6, 6+routeLifetime) }, 0},
		{"older read", func(c *planChecker, n *Node) { c.CheckRead(n, 4, 5, "four") }, 1},
		{"other content read", func(c *planChecker, n *Node) {
			c.CheckRead(n, 5, 5, "five")
			c.CheckRead(n, 5, 5, "other")
		}, 1},
	} {
		n := &Node{settings: node.Settings{Place: configurer.Place{Name: "n"}}}
		checker := newPlanChecker()
		checker.RecordStarted(n, ago(time.Minute))
		for version, marker := range map[uint64]string{3: "v3", 4: "v4", 5: "v5"} {
			checker.RecordSent(version, marker)
		}
		checker.RecordAcked(4, ago(20*time.Second))
		checker.RecordAcked(5, ago(5500*time.Millisecond))
		c.act(checker, n)
		assert.Equal(t, len(checker.Findings), c.findings, "%s: %q", c.name, checker.Findings)
	}
}
