package router

import (
	"net/http"
	"sync"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
)

const (
	// batchLimit is the part of the router's own bound that batch requests may use, so that an overloaded router
	// sheds them first.
	batchLimit = 0.8
	// workspaceLimit is the part of the router's own bound that one workspace may use, so that the surge of one
	// workspace leaves room for the others.
	workspaceLimit = 0.5
	// unassignedShare is what a workspace with a fleet-wide limit may have in flight here until control has seen
	// its demand and assigned a share.
	unassignedShare = 1
)

// gate bounds the requests in progress at this router, in total and for each workspace with a fleet-wide limit.
type gate struct {
	max int

	mu       sync.Mutex
	inFlight int
	by       map[string]*usage
}

type usage struct {
	inFlight int
	peak     int // since the last report
	refused  int // since the last report
}

func newGate(limit int) *gate { return &gate{max: limit, by: map[string]*usage{}} }

// enter admits a request or returns why not; share is the workspace's share, used only if it has a limit.
func (g *gate) enter(ws *bundler.Workspace, p bundler.Priority, share int) (release func(), f *failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.max
	if p == bundler.PriorityBatch {
		limit = int(batchLimit * float64(g.max))
	}
	if g.inFlight >= limit {
		return nil, &failure{
			Status: http.StatusServiceUnavailable, Type: typeServer, Code: "router_overloaded",
			Message: "this router is at its limit", NotRun: true,
		}
	}
	u := g.by[ws.Name]
	if u == nil {
		u = &usage{}
		g.by[ws.Name] = u
	}
	own := max(1, int(workspaceLimit*float64(g.max)))
	if ws.MaxInFlight > 0 {
		own = min(own, share)
	}
	if u.inFlight >= own {
		u.refused++
		return nil, &failure{
			Status: http.StatusTooManyRequests, Type: typeRateLimit, Code: "workspace_limit",
			Message: "the workspace has its highest number of requests in flight", NotRun: true,
		}
	}
	g.inFlight++
	u.inFlight++
	u.peak = max(u.peak, u.inFlight)
	return sync.OnceFunc(func() { g.leave(u) }), nil
}

func (g *gate) leave(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	u.inFlight--
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// demand returns what the limited workspaces wanted since the last call, and forgets idle workspaces.
func (g *gate) demand(workspaces map[string]bundler.Workspace) []subscriber.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []subscriber.Demand
	for name, u := range g.by {
		if workspaces[name].MaxInFlight > 0 && u.peak+u.refused > 0 {
			out = append(out, subscriber.Demand{Workspace: name, Desired: u.peak + u.refused})
		}
		if u.inFlight == 0 {
			delete(g.by, name)
			continue
		}
		u.peak, u.refused = u.inFlight, 0
	}
	return out
}
