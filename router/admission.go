package router

import (
	"net/http"
	"sync"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
)

const (
	// batchFraction is the fraction of the router's limit up to which batch requests are admitted, so that an
	// overloaded router sheds them first.
	batchFraction = 0.8
	// workspaceFraction is the fraction of the router's limit that one workspace may use, so that a burst of one
	// workspace leaves capacity for the others.
	workspaceFraction = 0.5
	// defaultShare is the number of requests that a workspace with a fleet-wide limit may have in flight at this
	// router until control has received its demand and assigned a share.
	defaultShare = 1
)

// admissionController limits the requests in flight at this router, in total and for each workspace.
type admissionController struct {
	maxInFlight int

	mu         sync.Mutex
	inFlight   int
	workspaces map[string]*workspaceUsage
}

type workspaceUsage struct {
	inFlight     int
	peakInFlight int // since the last takeDemand
	refused      int // since the last takeDemand
}

func newAdmissionController(limit int) *admissionController {
	return &admissionController{maxInFlight: limit, workspaces: map[string]*workspaceUsage{}}
}

// admit admits a request or returns why it is refused. share is this router's share of the fleet-wide limit of the
// workspace and is ignored if the workspace has no limit.
func (c *admissionController) admit(
	ws *bundler.Workspace, p bundler.Priority, share int,
) (release func(), httpErr *httpError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.maxInFlight
	if p == bundler.PriorityBatch {
		limit = int(batchFraction * float64(c.maxInFlight))
	}
	if c.inFlight >= limit {
		return nil, &httpError{
			Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "router_overloaded",
			Message: "the router is at its limit of requests in flight", NotRun: true,
		}
	}
	u := c.workspaces[ws.Name]
	if u == nil {
		u = &workspaceUsage{}
		c.workspaces[ws.Name] = u
	}
	workspaceLimit := max(1, int(workspaceFraction*float64(c.maxInFlight)))
	if ws.MaxInFlight > 0 {
		workspaceLimit = min(workspaceLimit, share)
	}
	if u.inFlight >= workspaceLimit {
		u.refused++
		return nil, &httpError{
			Status: http.StatusTooManyRequests, Type: errorTypeRateLimit, Code: "workspace_limit",
			Message: "the workspace is at its limit of requests in flight", NotRun: true,
		}
	}
	c.inFlight++
	u.inFlight++
	u.peakInFlight = max(u.peakInFlight, u.inFlight)
	return sync.OnceFunc(func() { c.release(u) }), nil
}

func (c *admissionController) release(u *workspaceUsage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	u.inFlight--
}

func (c *admissionController) requestsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// takeDemand returns the demand of the workspaces with a fleet-wide limit since the last call and removes idle
// workspaces.
func (c *admissionController) takeDemand(workspaces map[string]bundler.Workspace) []subscriber.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []subscriber.Demand
	for name, u := range c.workspaces {
		if workspaces[name].MaxInFlight > 0 && u.peakInFlight+u.refused > 0 {
			out = append(out, subscriber.Demand{Workspace: name, Desired: u.peakInFlight + u.refused})
		}
		if u.inFlight == 0 {
			delete(c.workspaces, name)
			continue
		}
		u.peakInFlight, u.refused = u.inFlight, 0
	}
	return out
}
