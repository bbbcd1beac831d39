package planner

import "slices"

// priorityLevels ranks requests by the priority of their workspace, then by that of their route.
type priorityLevels struct {
	workspaces []int // distinct priorities, ascending
	routes     []int
}

func newPriorityLevels(p *Plan) (u priorityLevels) {
	for i := range p.Workspaces {
		u.workspaces = append(u.workspaces, p.Workspaces[i].Priority)
	}
	for i := range p.Routes {
		u.routes = append(u.routes, p.Routes[i].Priority)
	}
	for _, levels := range []*[]int{&u.workspaces, &u.routes} {
		slices.Sort(*levels)
		*levels = slices.Compact(*levels)
	}
	return u
}

// NormalizedPriority returns the rank of a request among the priorities of the plan, from 0 for the highest to 1 for
// the lowest; w is nil for a request without a workspace.
func (p *Plan) NormalizedPriority(r *Route, w *Workspace) float64 {
	rank, levels := 0, max(1, len(p.priorities.routes))
	if w != nil && w.HasPriority {
		rank = slices.Index(p.priorities.workspaces, w.Priority) * levels
		levels *= len(p.priorities.workspaces)
	}
	rank += slices.Index(p.priorities.routes, r.Priority)
	if levels == 1 {
		return 0
	}
	return float64(rank) / float64(levels-1)
}
