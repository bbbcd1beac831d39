package router

import (
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/viewer"
)

// table holds the placement state of every pool and follows the view.
type table struct {
	mu    sync.Mutex
	view  *viewer.View
	pools map[string]*poolTable
}

// poolTable is the placement state of one pool.
type poolTable struct {
	mu      sync.Mutex
	history *placer.History
	tracker *placer.Tracker
	sizer   *placer.Sizer
	subsets map[string]subsetEntry
	pruned  time.Time
}

type subsetEntry struct {
	size int
	list []*placer.Subset
}

func newTable() *table { return &table{pools: map[string]*poolTable{}} }

// pool returns the placement state of a pool, after it has followed the view.
func (t *table) pool(v *viewer.View, name string) *poolTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A request that began with an older view must not bring its memberships back.
	if t.view != v && (t.view == nil || v.Index >= t.view.Index) {
		t.follow(v)
	}
	return t.pools[name]
}

func (t *table) follow(v *viewer.View) {
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
			p = &poolTable{tracker: placer.NewTracker(), sizer: placer.NewSizer()}
			t.pools[name] = p
		}
		p.push(placer.NewPool(members[name]))
	}
	t.view = v
}

func (p *poolTable) push(m *placer.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = p.history.Push(m)
	p.subsets = map[string]subsetEntry{}
	p.tracker.Retain(m)
}

const pruneInterval = time.Minute

// start counts a request of the workspace and begins its plan; spread ignores the workspace's subset, which
// serves only prompt caches.
func (p *poolTable) start(
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
		s = subsetEntry{size: size, list: p.history.Subsets(placer.KeyOf(ws), size)}
		p.subsets[ws] = s
	}
	plan.Reset(s.list, key, need)
	if now.Sub(p.pruned) > pruneInterval {
		p.pruned = now
		p.sizer.Prune(now)
	}
	return pool
}

// track records what the router has seen of the pool's endpoints.
func (p *poolTable) track(f func(t *placer.Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.tracker)
}

var plans = sync.Pool{New: func() any { return new(placer.CandidateIterator) }}

// candidate is one endpoint to ask.
type candidate struct {
	viewer.Endpoint
	index int // in the pool
	need  placer.Need
}

// candidates yields the endpoints for one request. Endpoints that just refused or could not be reached come last.
type candidates struct {
	control Control
	table   *poolTable
	pool    *placer.Pool
	plan    *placer.CandidateIterator
	full    []viewer.Endpoint
	failed  []viewer.Endpoint
	// spent are the endpoints that this request does not ask again: an attempt started there and failed, or they
	// refused although the need did not matter.
	spent []string
}

func (c *candidates) next(now time.Time) (e candidate, ok bool) {
	for {
		p, ok := c.plan.Next()
		if !ok {
			break
		}
		e, ok := c.usable(c.pool.Name(p.Index))
		if !ok {
			continue
		}
		full, failed := c.state(now, e.Name)
		switch {
		case !full && !failed:
			return candidate{Endpoint: e, index: p.Index, need: p.Need}, true
		case p.Need != placer.NeedNothing:
		case failed:
			c.failed = append(c.failed, e)
		default:
			c.full = append(c.full, e)
		}
	}
	for _, list := range []*[]viewer.Endpoint{&c.full, &c.failed} {
		for len(*list) > 0 {
			name := (*list)[0].Name
			*list = (*list)[1:]
			if e, ok := c.usable(name); ok {
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
	next, ok := c.plan.Successor(index)
	if !ok {
		return ""
	}
	return c.pool.Name(next)
}

// usable reads the newest view, because an endpoint may leave while a request goes from one to the next.
func (c *candidates) usable(name string) (viewer.Endpoint, bool) {
	v := c.control.View()
	e, ok := v.Endpoints[name]
	return e, ok && !e.Lost && v.IsInService(&e) && !slices.Contains(c.spent, name)
}

func (c *candidates) state(now time.Time, name string) (full, failed bool) {
	c.table.track(func(t *placer.Tracker) { full, failed = t.IsFull(now, name), t.IsExcluded(now, name) })
	return full, failed
}

func (c *candidates) close() { plans.Put(c.plan) }
