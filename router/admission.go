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
	batchFraction = 0.8
	// workspaceLimit is the part of the router's own bound that one workspace may use, so that the surge of one
	// workspace leaves room for the others.
	workspaceFraction = 0.5
	// unassignedShare is what a workspace with a fleet-wide limit may have in flight here until control has seen
	// its demand and assigned a share.
	defaultShare = 1
)

// gate bounds the requests in progress at this router, in total and for each workspace with a fleet-wide limit.
type admissionController struct {
	maxInFlight int

	mu         sync.Mutex
	inFlight   int
	workspaces map[string]*workspaceUsage
}

type workspaceUsage struct {
	inFlight     int
	peakInFlight int // since the last report
	refused      int // since the last report
}

func newAdmissionController(limit int) *admissionController {
	return &admissionController{maxInFlight: limit, workspaces: map[string]*workspaceUsage{}}
}

// enter admits a request or returns why not; share is the workspace's share, used only if it has a limit.
func (g *admissionController) admit(ws *bundler.Workspace, p bundler.Priority, share int) (release func(), f *httpError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.maxInFlight
	if p == bundler.PriorityBatch {
		limit = int(batchFraction * float64(g.maxInFlight))
	}
	if g.inFlight >= limit {
		return nil, &httpError{
			Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "router_overloaded",
			Message: "this router is at its limit", NotRun: true,
		}
	}
	u := g.workspaces[ws.Name]
	if u == nil {
		u = &workspaceUsage{}
		g.workspaces[ws.Name] = u
	}
	own := max(1, int(workspaceFraction*float64(g.maxInFlight)))
	if ws.MaxInFlight > 0 {
		own = min(own, share)
	}
	if u.inFlight >= own {
		u.refused++
		return nil, &httpError{
			Status: http.StatusTooManyRequests, Type: errorTypeRateLimit, Code: "workspace_limit",
			Message: "the workspace has its highest number of requests in flight", NotRun: true,
		}
	}
	g.inFlight++
	u.inFlight++
	u.peakInFlight = max(u.peakInFlight, u.inFlight)
	return sync.OnceFunc(func() { g.release(u) }), nil
}

func (g *admissionController) release(u *workspaceUsage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	u.inFlight--
}

func (g *admissionController) requestsInFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// demand returns what the limited workspaces wanted since the last call, and forgets idle workspaces.
func (g *admissionController) takeDemand(workspaces map[string]bundler.Workspace) []subscriber.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []subscriber.Demand
	for name, u := range g.workspaces {
		if workspaces[name].MaxInFlight > 0 && u.peakInFlight+u.refused > 0 {
			out = append(out, subscriber.Demand{Workspace: name, Desired: u.peakInFlight + u.refused})
		}
		if u.inFlight == 0 {
			delete(g.workspaces, name)
			continue
		}
		u.peakInFlight, u.refused = u.inFlight, 0
	}
	return out
}
