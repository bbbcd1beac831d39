package placer

// maxMemberships is how many memberships a router keeps of a pool: the current one and three former ones.
const maxMemberships = 4

// History holds the last memberships of a pool, newest first; it is immutable.
type History struct {
	pools []*Pool
}

// Push returns the history with p as its current membership. A membership that returns moves to the front, so
// that a flapping endpoint does not displace the older ones.
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

// Subsets returns a workspace's subset in every membership, newest first.
func (h *History) Subsets(workspace Key, size int) []*Subset {
	out := make([]*Subset, len(h.pools))
	for i, p := range h.pools {
		out[i] = p.Subset(workspace, size)
	}
	return out
}

// Formers appends to buf the indexes, in the current membership, of the members that were first for the key in
// former memberships, newest first, without the current first and members that are gone.
func FormerPrimaries(subsets []*Subset, key Key, buf []int) []int {
	current := subsets[0]
	first, ok := current.Primary(key)
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
		if !ok || n == first {
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
