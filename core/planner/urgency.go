package planner

import "slices"

// urgency orders requests by the priority of their workspace, then by that of their route.
type urgency struct {
	workspaces []int // distinct priorities, ascending
	routes     []int
}

func newUrgency(p *Plan) (u urgency) {
	for i := range p.Workspaces {
		u.workspaces = append(u.workspaces, p.Workspaces[i].Priority)
	}
	for i := range p.Routes {
		u.routes = append(u.routes, p.Routes[i].Priority)
	}
	for _, list := range []*[]int{&u.workspaces, &u.routes} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return u
}

// Backlog returns how much a request may be put off for others, from 0 for the most urgent ones of the plan to 1 for
// the least urgent ones; w is nil for a request without a workspace.
func (p *Plan) NormalizedPriority(r *Route, w *Workspace) float64 {
	rank, levels := 0, max(1, len(p.ranks.routes))
	if w != nil && w.HasPriority {
		rank = slices.Index(p.ranks.workspaces, w.Priority) * levels
		levels *= len(p.ranks.workspaces)
	}
	rank += slices.Index(p.ranks.routes, r.Priority)
	if levels == 1 {
		return 0
	}
	return float64(rank) / float64(levels-1)
}
