package router

import (
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/viewer"
)

// table holds the placement state of every pool and follows the view.
type placementTable struct {
	mu    sync.Mutex
	view  *viewer.View
	pools map[string]*poolPlacement
}

// poolTable is the placement state of one pool.
type poolPlacement struct {
	mu       sync.Mutex
	history  *placer.History
	tracker  *placer.Tracker
	sizer    *placer.Sizer
	subsets  map[string]cachedSubsets
	prunedAt time.Time
}

type cachedSubsets struct {
	size    int
	subsets []*placer.Subset
}

func newPlacementTable() *placementTable { return &placementTable{pools: map[string]*poolPlacement{}} }

// pool returns the placement state of a pool, after it has followed the view.
func (t *placementTable) pool(v *viewer.View, name string) *poolPlacement {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A request that began with an older view must not bring its memberships back.
	if t.view != v && (t.view == nil || v.Index >= t.view.Index) {
		t.update(v)
	}
	return t.pools[name]
}

func (t *placementTable) update(v *viewer.View) {
	members := make(map[string][]placer.Endpoint, len(v.Pools))
	for _, e := range v.Endpoints {
		if !e.Lost && v.IsInService(&e) {
			members[e.Pool] = append(members[e.Pool], placer.Endpoint{Name: e.Name})
		}
	}
	for name := range t.pools {
		if _, ok := v.Pools[name]; !ok {
			delete(t.pools, name)
		}
	}
	for name := range v.Pools {
		p := t.pools[name]
		if p == nil {
			p = &poolPlacement{tracker: placer.NewTracker(), sizer: placer.NewSizer()}
			t.pools[name] = p
		}
		p.updateMembers(placer.NewPool(members[name]))
	}
	t.view = v
}

func (p *poolPlacement) updateMembers(m *placer.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = p.history.Push(m)
	p.subsets = map[string]cachedSubsets{}
	p.tracker.Retain(m)
}

const pruneInterval = time.Minute

// start counts a request of the workspace and begins its plan; spread ignores the workspace's subset, which
// serves only prompt caches.
func (p *poolPlacement) beginRequest(
	plan *placer.CandidateIterator, now time.Time, ws string, key placer.Key, need placer.Need, spread bool,
) *placer.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.history.Current()
	size := pool.Len()
	if !spread {
		p.sizer.Observe(now, ws, 1)
		size = p.sizer.Size(now, ws, pool.Len())
	}
	s, ok := p.subsets[ws]
	if !ok || s.size != size {
		s = cachedSubsets{size: size, subsets: p.history.Subsets(placer.KeyOf(ws), size)}
		p.subsets[ws] = s
	}
	plan.Reset(s.subsets, key, need)
	if now.Sub(p.prunedAt) > pruneInterval {
		p.prunedAt = now
		p.sizer.Prune(now)
	}
	return pool
}

// track records what the router has seen of the pool's endpoints.
func (p *poolPlacement) withTracker(f func(t *placer.Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.tracker)
}

var iterators = sync.Pool{New: func() any { return new(placer.CandidateIterator) }}

// candidate is one endpoint to ask.
type candidate struct {
	viewer.Endpoint
	poolIndex int // in the pool
	need      placer.Need
}

// candidates yields the endpoints for one request. Endpoints that just refused or could not be reached come last.
type candidates struct {
	control     Control
	placement   *poolPlacement
	pool        *placer.Pool
	iterator    *placer.CandidateIterator
	atCapacity  []viewer.Endpoint
	unreachable []viewer.Endpoint
	// spent are the endpoints that this request does not ask again: an attempt started there and failed, or they
	// refused although the need did not matter.
	noRetry []string
}

func (c *candidates) next(now time.Time) (e candidate, ok bool) {
	for {
		p, ok := c.iterator.Next()
		if !ok {
			break
		}
		e, ok := c.findUsable(c.pool.Name(p.Index))
		if !ok {
			continue
		}
		full, failed := c.trackerState(now, e.Name)
		switch {
		case !full && !failed:
			return candidate{Endpoint: e, poolIndex: p.Index, need: p.Need}, true
		case p.Need != placer.NeedNothing:
		case failed:
			c.unreachable = append(c.unreachable, e)
		default:
			c.atCapacity = append(c.atCapacity, e)
		}
	}
	for _, list := range []*[]viewer.Endpoint{&c.atCapacity, &c.unreachable} {
		for len(*list) > 0 {
			name := (*list)[0].Name
			*list = (*list)[1:]
			if e, ok := c.findUsable(name); ok {
				return candidate{Endpoint: e}, true
			}
		}
	}
	return candidate{}, false
}

// successor returns the name of the endpoint that is asked first when the given one has left; empty if none.
func (c *candidates) successor(name string) string {
	index, ok := c.pool.IndexOf(name)
	if !ok {
		return ""
	}
	next, ok := c.iterator.Successor(index)
	if !ok {
		return ""
	}
	return c.pool.Name(next)
}

// usable reads the newest view, because an endpoint may leave while a request goes from one to the next.
func (c *candidates) findUsable(name string) (viewer.Endpoint, bool) {
	v := c.control.View()
	e, ok := v.Endpoints[name]
	return e, ok && !e.Lost && v.IsInService(&e) && !slices.Contains(c.noRetry, name)
}

func (c *candidates) trackerState(now time.Time, name string) (full, failed bool) {
	c.placement.withTracker(func(t *placer.Tracker) { full, failed = t.IsFull(now, name), t.IsExcluded(now, name) })
	return full, failed
}

func (c *candidates) close() { iterators.Put(c.iterator) }
