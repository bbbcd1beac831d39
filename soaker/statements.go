package soaker

import "time"

const (
	// quietGrace is the time after an endpoint's response from which its request for quiet is checked.
	quietGrace = 500 * time.Millisecond

	// maxQuietArrivals is the number of requests that may reach an endpoint from a node during a quiet time.
	maxQuietArrivals = 2
)

// sending is what a caller knows of a request.
type sending struct {
	node string // to which it was sent
	at   time.Time
}

// pair is a node and an endpoint.
type pair struct{ node, endpoint string }

// quietTime is a time in which an endpoint wants no requests of a node.
type quietTime struct {
	from, until time.Time
	arrivals    int
}

// statements is what endpoints have told nodes about themselves.
type statements struct {
	sendings      map[string]sending    // by request ID
	interruptedAt map[string]time.Time  // by node; in the future while its process does not run all the time
	leavingAt     map[pair]time.Time    // when the node has passed on that the endpoint leaves
	quietTimes    map[pair][]*quietTime // since the endpoint has started
}

func newStatements() statements {
	return statements{sendings: map[string]sending{}, interruptedAt: map[string]time.Time{},
		leavingAt: map[pair]time.Time{}, quietTimes: map[pair][]*quietTime{}}
}

// hasRunSince reports whether the process of a node has run without an interruption.
func (s *statements) hasRunSince(node string, since time.Time) bool {
	return s.interruptedAt[node].Before(since)
}

// RecordSentTo records the node to which a request is about to be sent.
func (c *Checker) RecordSentTo(id, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.said.sendings[id] = sending{node, time.Now()}
}

// RecordInterruption records that the process of a node stops, starts or is paused until a time.
func (c *Checker) RecordInterruption(node string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.said.interruptedAt[node] = until
}

// RecordLeaving records that a node has passed on a response in which an endpoint tells that it leaves.
func (c *Checker) RecordLeaving(node, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := pair{node, endpoint}
	if at, ok := c.said.leavingAt[p]; !ok || !c.said.hasRunSince(node, at) {
		c.said.leavingAt[p] = time.Now()
	}
}

// RecordQuiet records that an endpoint has turned a request away and wants no others of its node for some time.
func (c *Checker) RecordQuiet(id, endpoint string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := pair{c.said.sendings[id].node, endpoint}
	c.said.quietTimes[p] = append(c.said.quietTimes[p], &quietTime{from: now.Add(quietGrace), until: now.Add(d)})
}

// RecordArrival checks that an endpoint may get a request, whether it runs it or not.
func (c *Checker) RecordArrival(id, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.said.sendings[id]
	p := pair{s.node, endpoint}
	if at, ok := c.said.leavingAt[p]; ok && s.at.Sub(at) > drainDeadline && c.said.hasRunSince(s.node, at) {
		c.addFinding("%s got request %s of %s, sent %v after it had told that it leaves", endpoint, id, s.node, s.at.Sub(at))
	}
	for _, q := range c.said.quietTimes[p] {
		if now.Before(q.from) || !now.Before(q.until) || !c.said.hasRunSince(s.node, q.from.Add(-quietGrace)) {
			continue
		}
		if q.arrivals++; q.arrivals == maxQuietArrivals+1 {
			c.addFinding("%s got more than %d requests, the last one %s, of %s while it wanted none", endpoint,
				maxQuietArrivals, id, s.node)
		}
	}
}
