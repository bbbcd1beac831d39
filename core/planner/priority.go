package planner

import "slices"

// priorityLevels ranks requests by the priority of their workspace, then by that of their route.
type priorityLevels struct {
	workspaces []int // distinct priorities, ascending
	routes     []int
}

func newPriorityLevels(p *Plan) (l priorityLevels) {
	for i := range p.Workspaces {
		l.workspaces = append(l.workspaces, p.Workspaces[i].Priority)
	}
	for i := range p.Routes {
		l.routes = append(l.routes, p.Routes[i].Priority)
	}
	for _, levels := range []*[]int{&l.workspaces, &l.routes} {
		slices.Sort(*levels)
		*levels = slices.Compact(*levels)
	}
	return l
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
