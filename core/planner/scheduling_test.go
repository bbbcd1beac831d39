package planner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against new decisions that take effect where the plan does not call for them.
func TestLoadPolicyFollowsThePlan(t *testing.T) {
	heavy := Service{Name: "heavy", Engine: true, CacheTokenBytes: 160 << 10}
	light := Service{Name: "light", Engine: true, CacheTokenBytes: 18 << 10}
	for _, tc := range []struct {
		name       string
		scheduling Scheduling
		services   []Service
		want       bool
	}{
		{"light engines", SchedulingDerived, []Service{light, {Name: "plain"}}, false},
		{"heavy engines", SchedulingDerived, []Service{light, heavy}, true},
		{"heavy engines, by count", SchedulingCount, []Service{heavy}, false},
		{"light engines, by demand", SchedulingDemand, []Service{light}, true},
		{"plain service with a size", SchedulingDerived, []Service{{Name: "plain", CacheTokenBytes: 1 << 20}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &Plan{Scheduling: tc.scheduling, Services: tc.services}
			got := p.LoadPolicy()
			assert.Equal(t, got != LoadPolicy{}, tc.want)
			assert.Equal(t, got.Queues, tc.want && tc.scheduling == SchedulingDemand)
			for _, name := range LoadPolicyNames() {
				var ok bool
				got, ok = got.Without(name)
				assert.Assert(t, ok, name)
			}
			assert.Equal(t, got, LoadPolicy{})
		})
	}
	_, ok := LoadPolicy{}.Without("unknown")
	assert.Assert(t, !ok)
}

// Guards against a plan with a misspelt value that silently selects another scheduling.
func TestUnknownSchedulingIsInvalid(t *testing.T) {
	_, err := Parse([]byte(`{"version": 1, "scheduling": "fair", "routes": [], "services": []}`))
	assert.ErrorContains(t, err, "scheduling")
}
