package router

import (
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/viewer"
)

// placementTable holds the placement state of each pool of the view.
type placementTable struct {
	mu    sync.Mutex
	view  *viewer.View
	pools map[string]*poolPlacement
}

// poolPlacement is the placement state of one pool.
type poolPlacement struct {
	mu       sync.Mutex
	history  *placer.History
	tracker  *placer.Tracker
	sizer    *placer.Sizer
	subsets  map[string]cachedSubsets
	prunedAt time.Time
}

// cachedSubsets are the subsets of a workspace, computed for a size.
type cachedSubsets struct {
	size    int
	subsets []*placer.Subset
}

func newPlacementTable() *placementTable { return &placementTable{pools: map[string]*poolPlacement{}} }

// pool returns the placement state of a pool after an update to the view; nil if the view has no such pool.
func (t *placementTable) pool(v *viewer.View, name string) *poolPlacement {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A request that started with an older view must not restore its memberships.
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

func (p *poolPlacement) updateMembers(members *placer.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = p.history.Push(members)
	p.subsets = map[string]cachedSubsets{}
	p.tracker.Retain(members)
}

const pruneInterval = time.Minute

// beginRequest counts a request of the workspace and resets the iterator to its candidates. With wholePool it ignores
// the workspace's subset, which is useful only for prompt caches.
func (p *poolPlacement) beginRequest(
	iterator *placer.CandidateIterator, now time.Time, ws string, key placer.Key, need placer.Need, wholePool bool,
) *placer.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.history.Current()
	size := pool.Len()
	if !wholePool {
		p.sizer.Observe(now, ws, 1)
		size = p.sizer.Size(now, ws, pool.Len())
	}
	cached, ok := p.subsets[ws]
	if !ok || cached.size != size {
		cached = cachedSubsets{size: size, subsets: p.history.Subsets(placer.KeyOf(ws), size)}
		p.subsets[ws] = cached
	}
	iterator.Reset(cached.subsets, key, need)
	if now.Sub(p.prunedAt) > pruneInterval {
		p.prunedAt = now
		p.sizer.Prune(now)
	}
	return pool
}

// withTracker calls update with the tracker under the lock.
func (p *poolPlacement) withTracker(update func(t *placer.Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(p.tracker)
}

var iterators = sync.Pool{New: func() any { return new(placer.CandidateIterator) }}

// candidate is an endpoint that a request may be sent to.
type candidate struct {
	viewer.Endpoint
	poolIndex int
	need      placer.Need
}

// candidates yields the endpoints for one request. Endpoints that were recently full or unreachable come last.
type candidates struct {
	control              Control
	placement            *poolPlacement
	pool                 *placer.Pool
	iterator             *placer.CandidateIterator
	fullEndpoints        []viewer.Endpoint
	unreachableEndpoints []viewer.Endpoint
	// noRetry are the endpoints that this request is not sent to again: an attempt started there and failed, or they
	// refused for another reason than the cache need.
	noRetry []string
}

func (c *candidates) next(now time.Time) (e candidate, ok bool) {
	for {
		next, ok := c.iterator.Next()
		if !ok {
			break
		}
		e, ok := c.findUsable(c.pool.Name(next.Index))
		if !ok {
			continue
		}
		isFull, isExcluded := c.trackerState(now, e.Name)
		switch {
		case !isFull && !isExcluded:
			return candidate{Endpoint: e, poolIndex: next.Index, need: next.Need}, true
		case next.Need != placer.NeedNothing:
		case isExcluded:
			c.unreachableEndpoints = append(c.unreachableEndpoints, e)
		default:
			c.fullEndpoints = append(c.fullEndpoints, e)
		}
	}
	for _, list := range []*[]viewer.Endpoint{&c.fullEndpoints, &c.unreachableEndpoints} {
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

// successor returns the name of the endpoint that becomes the primary when the given one leaves; empty if none.
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

// findUsable returns an endpoint that is in service and may be tried. It reads the newest view, because an endpoint may
// leave between two attempts.
func (c *candidates) findUsable(name string) (viewer.Endpoint, bool) {
	v := c.control.View()
	e, ok := v.Endpoints[name]
	return e, ok && !e.Lost && v.IsInService(&e) && !slices.Contains(c.noRetry, name)
}

func (c *candidates) trackerState(now time.Time, name string) (isFull, isExcluded bool) {
	c.placement.withTracker(func(t *placer.Tracker) { isFull, isExcluded = t.IsFull(now, name), t.IsExcluded(now, name) })
	return isFull, isExcluded
}

func (c *candidates) close() { iterators.Put(c.iterator) }
