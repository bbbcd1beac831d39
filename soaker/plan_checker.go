package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// forceDeadline is the time after an acknowledgement from which a node that is in touch must obey a plan, and
	// unstableSlack is added while control instances are disturbed.
	forceDeadline = 3 * time.Second
	unstableSlack = 8 * time.Second

	// stabilityWindow is the time after its last disturbance from which a node is in touch.
	stabilityWindow = 5 * time.Second

	// rollbackSlack is the time after an effect of a plan from which the same process must not obey an older one.
	rollbackSlack = 250 * time.Millisecond

	// responseSlack is the time after the timeout of its route at which a request must have a response.
	responseSlack = 500 * time.Millisecond
)

// seenPlan is a plan version and the time of its acknowledgement, or of its first effect at a node.
type seenPlan struct {
	version uint64
	at      time.Time
}

// newestBefore returns the highest version in a list of ascending times and versions that is not younger than t.
func newestBefore(list []seenPlan, t time.Time) (version uint64) {
	for _, p := range slices.Backward(list) {
		if !p.at.After(t) {
			return p.version
		}
	}
	return 0
}

// appendNewer appends a version to such a list unless a higher one is known.
func appendNewer(list []seenPlan, version uint64, at time.Time) []seenPlan {
	if len(list) > 0 && list[len(list)-1].version >= version {
		return list
	}
	return append(list, seenPlan{version, at})
}

// planNode is what the checker knows of the current process of a node.
type planNode struct {
	startedAt time.Time
	effects   []seenPlan
	calmSince time.Time // in the future while a disturbance of unknown duration lasts
}

// planChecker checks that nodes obey plans in time and never an older one.
type planChecker struct {
	mu        sync.Mutex
	startTime time.Time
	markers   map[uint64][]string // of the valid plans that were sent, by version
	obeyed    map[uint64]string   // marker by version
	contents  map[uint64]string   // of the plans that were read, by version
	acked     []seenPlan
	newest    uint64 // highest valid version sent
	coreSince time.Time
	nodes     map[*Node]*planNode
	Findings  []string
	Counts    map[string]int
}

func newPlanChecker() *planChecker {
	return &planChecker{startTime: time.Now(), markers: map[uint64][]string{}, contents: map[uint64]string{},
		obeyed: map[uint64]string{}, nodes: map[*Node]*planNode{}, Counts: map[string]int{}}
}

// addFinding records a violation; mu must be held.
func (c *planChecker) addFinding(format string, args ...any) {
	c.Counts["violations"]++
	if len(c.Findings) < maxFindings {
		now := time.Now()
		c.Findings = append(c.Findings, fmt.Sprintf("%s (%v): ", now.UTC().Format("15:04:05.000"),
			now.Sub(c.startTime).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// AddFinding records a violation.
func (c *planChecker) AddFinding(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinding(format, args...)
}

// count counts an outcome.
func (c *planChecker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts[what]++
}

// RecordStarted records that a new process of a node starts.
func (c *planChecker) RecordStarted(n *Node, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[n] = &planNode{startedAt: now, calmSince: now}
}

// RecordDisturbed records that a node is disturbed until the given time.
func (c *planChecker) RecordDisturbed(n *Node, isCore bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[n].calmSince = until
	if isCore {
		c.coreSince = until
	}
}

// RecordSent records a valid plan, before it is sent, with the marker by which requests show that it is in force.
func (c *planChecker) RecordSent(version uint64, marker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markers[version] = append(c.markers[version], marker)
	c.newest = max(c.newest, version)
}

// RecordAcked records that a plan was acknowledged.
func (c *planChecker) RecordAcked(version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = appendNewer(c.acked, version, now)
}

// Newest returns the highest version acknowledged and the highest version sent.
func (c *planChecker) Newest() (acked, sent uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newestBefore(c.acked, time.Now()), c.newest
}

// floor returns the lowest version that a request to n sent at the given time may obey, and whether n was in touch from
// then on; mu must be held.
func (c *planChecker) floor(n *Node, sent time.Time) (version uint64, inTouch bool) {
	calm := sent.Add(-stabilityWindow)
	switch node := c.nodes[n]; {
	case node.calmSince.After(calm):
		return 0, false
	case c.coreSince.After(calm):
		return newestBefore(c.acked, sent.Add(-forceDeadline-unstableSlack)), false
	}
	return newestBefore(c.acked, sent.Add(-forceDeadline)), true
}

// CheckServed checks a request that ran under the plan of the given version and marker.
func (c *planChecker) CheckServed(n *Node, sent time.Time, version uint64, marker string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts["served"]++
	if !slices.Contains(c.markers[version], marker) {
		c.addFinding("%s obeys a plan with the marker %q, which is not valid", n.name(), marker)
		return
	}
	if former, ok := c.obeyed[version]; ok && former != marker {
		c.addFinding("%s obeys version %d as %s, which was obeyed as %s before", n.name(), version, marker, former)
	}
	c.obeyed[version] = marker
	if low, inTouch := c.floor(n, sent); version < low {
		c.addFinding("%s obeys version %d in a request sent at %s, when version %d was due (in touch: %t)", n.name(), version,
			sent.UTC().Format("15:04:05.000"), low, inTouch)
	}
	node := c.nodes[n]
	if sent.Before(node.startedAt) {
		return
	}
	if seen := newestBefore(node.effects, sent.Add(-rollbackSlack)); version < seen {
		c.addFinding("%s obeys version %d after version %d in the same process", n.name(), version, seen)
	}
	node.effects = appendNewer(node.effects, version, now)
}

// CheckUnknown checks a response that the route, which is in the plans of versions first to last, is not known.
func (c *planChecker) CheckUnknown(n *Node, sent time.Time, first, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts["notFound"]++
	low, inTouch := c.floor(n, sent)
	if seen := newestBefore(c.nodes[n].effects, sent.Add(-rollbackSlack)); !sent.Before(c.nodes[n].startedAt) {
		low = max(low, seen)
	}
	if low >= first && c.newest <= last {
		c.addFinding("%s does not know a route of versions %d to %d in a request sent at %s, when version %d was due "+
			"(in touch: %t)", n.name(), first, last, sent.UTC().Format("15:04:05.000"), low, inTouch)
	}
}

// CheckRead checks a plan that a node returned; atLeast was acknowledged before the read was sent.
func (c *planChecker) CheckRead(n *Node, version, atLeast uint64, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counts["reads"]++
	if version < atLeast {
		c.addFinding("%s returned version %d after version %d was acknowledged", n.name(), version, atLeast)
	}
	if former, ok := c.contents[version]; ok && former != content {
		c.addFinding("%s returned version %d with other content than before", n.name(), version)
	}
	c.contents[version] = content
}

// CheckTime counts a request that lasts longer than the timeout of its route, and whether it had a response in time.
func (c *planChecker) CheckTime(n *Node, sent time.Time, kind string, timeout time.Duration, status int) {
	took := time.Since(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, inTouch := c.floor(n, sent); !inTouch || took < timeout {
		return
	}
	c.Counts[kind]++
	if took > timeout+responseSlack || status == 0 {
		c.Counts[kind+"Late"]++
	}
}
