package planner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a route priority that overrides the priority of the workspace, which is compared first.
func TestNormalizedPriorityOrdersByWorkspaceThenRoute(t *testing.T) {
	p := testPlan()
	p.Routes[1].Priority, p.Routes[2].Priority = 1, 5
	p.Workspaces[0].Priority, p.Workspaces[0].HasPriority = 2, true
	p.Workspaces[1].Priority, p.Workspaces[1].HasPriority = 3, true
	assert.NilError(t, p.Index())
	previous := -1.0
	for w := range p.Workspaces {
		for r := range p.Routes {
			got := p.NormalizedPriority(&p.Routes[r], &p.Workspaces[w])
			assert.Assert(t, got > previous && got >= 0 && got <= 1, "normalized priority %v, previous %v", got, previous)
			previous = got
		}
	}
	assert.Equal(t, previous, 1.0)
	assert.Equal(t, p.NormalizedPriority(&p.Routes[0], nil), 0.0)
	assert.Equal(t, p.NormalizedPriority(&p.Routes[2], nil), 1.0)

	single := testPlan()
	assert.NilError(t, single.Index())
	assert.Equal(t, single.NormalizedPriority(&single.Routes[0], nil), 0.0)
}
