package placer

// maxMemberships is the number of memberships kept per pool: the current one and three former ones.
const maxMemberships = 4

// History holds the most recent distinct memberships of a pool, newest first; it is immutable.
type History struct {
	pools []*Pool
}

// Push returns a history with p as its current membership. A recurring membership moves to the front, so that a
// flapping endpoint does not evict older memberships.
func (h *History) Push(p *Pool) *History {
	if h == nil {
		return &History{pools: []*Pool{p}}
	}
	if h.pools[0].equal(p) {
		return h
	}
	next := &History{pools: []*Pool{p}}
	for _, q := range h.pools {
		if len(next.pools) < maxMemberships && !q.equal(p) {
			next.pools = append(next.pools, q)
		}
	}
	return next
}

// Current returns the newest membership.
func (h *History) Current() *Pool { return h.pools[0] }

// Subsets returns the workspace's subset of every membership, newest first.
func (h *History) Subsets(workspace Key, size int) []*Subset {
	out := make([]*Subset, len(h.pools))
	for i, p := range h.pools {
		out[i] = p.Subset(workspace, size)
	}
	return out
}

// FormerPrimaries appends to buf the key's primaries in former memberships, newest first, as indexes into the current
// membership. It omits the current primary and endpoints that have left.
func FormerPrimaries(subsets []*Subset, key Key, buf []int) []int {
	current := subsets[0]
	primary, ok := current.Primary(key)
	if !ok {
		return buf
	}
	start := len(buf)
next:
	for _, s := range subsets[1:] {
		i, ok := s.Primary(key)
		if !ok {
			continue
		}
		n, ok := current.pool.IndexOf(s.pool.members[i].name)
		if !ok || n == primary {
			continue
		}
		for _, seen := range buf[start:] {
			if seen == n {
				continue next
			}
		}
		buf = append(buf, n)
	}
	return buf
}
