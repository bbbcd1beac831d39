package planner

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testPlan() *Plan {
	return &Plan{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "root", Host: "h.example", Prefix: "/", TimeoutMillis: 1, Shares: []Share{{"a", 1}}},
			{Name: "deep", Host: "H.example", Prefix: "/x/y/", TimeoutMillis: 1, Shares: []Share{{"a", 1}, {"b", 3}}},
			{Name: "mid", Host: "h.example", Prefix: "/x/", TimeoutMillis: 1, Shares: []Share{{"b", 1}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

// Guards against a request that matches the wrong route and runs at a service of another route.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	p := testPlan()
	assert.NilError(t, p.Index())
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/x/y/z", "deep"},
		{"h.example:8080", "/x/y/", "deep"},
		{"H.EXAMPLE", "/x/yy", "mid"},
		{"h.example", "/x", "root"},
		{"h.example", "/x%2Fy/", "root"},
		{"other.example", "/x/", ""},
	} {
		got := ""
		if r := p.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against an invalid plan that is accepted.
func TestIndexRefusesWrongPlans(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(*Plan)
	}{
		{"unknown service", func(p *Plan) { p.Routes[0].Shares[0].Service = "c" }},
		{"duplicate host and prefix", func(p *Plan) { p.Routes[2].Prefix = "/x/y/" }},
		{"zero weight", func(p *Plan) { p.Routes[0].Shares[0].Weight = 0 }},
		{"negative weight", func(p *Plan) { p.Routes[1].Shares[0].Weight = -1 }},
		{"no timeout", func(p *Plan) { p.Routes[0].TimeoutMillis = 0 }},
		{"negative stall timeout", func(p *Plan) { p.Routes[0].StallMillis = -1 }},
		{"duplicate key", func(p *Plan) { p.Workspaces[1].Keys[0] = "k1" }},
		{"duplicate service", func(p *Plan) { p.Services[1].Name = "a" }},
		{"prefix without slash", func(p *Plan) { p.Routes[0].Prefix = "/x" }},
	} {
		p := testPlan()
		c.corrupt(p)
		var invalid *InvalidError
		assert.Assert(t, errors.As(p.Index(), &invalid), c.name)
	}
}

// Guards against streams that are cut on routes that state no targets, or before their targets allow.
func TestStallTimeout(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  time.Duration
	}{
		{Route{}, 0},
		{Route{TargetMillis: 900}, 0},
		{Route{GapTargetMillis: 100}, 2 * time.Second},
		{Route{GapTargetMillis: 300}, 2400 * time.Millisecond},
		{Route{GapTargetMillis: 300, TargetMillis: 1000}, 4 * time.Second},
		{Route{GapTargetMillis: 300, StallMillis: 700}, 700 * time.Millisecond},
		{Route{StallMillis: 700}, 700 * time.Millisecond},
	} {
		assert.Equal(t, c.route.StallTimeout(), c.want, "%+v", c.route)
	}
}

// Guards against off-by-one errors at the boundaries between weights.
func TestPickServiceFollowsTheWeights(t *testing.T) {
	p := testPlan()
	r := &p.Routes[1]
	assert.Equal(t, r.PickService(0), "a")
	assert.Equal(t, r.PickService(0.249), "a")
	assert.Equal(t, r.PickService(0.25), "b")
	assert.Equal(t, r.PickService(0.999), "b")
}

// Guards against a retry of a request whose route does not allow it.
func TestCanRetryDependsOnTheKind(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{}, false},
		{Route{Kind: KindOnce, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
		{Route{Kind: KindRepeatable}, true},
	} {
		assert.Equal(t, c.route.CanRetry(), c.want, "%+v", c.route)
	}
}

// Guards against numbers of a plan that overflow where they are used: routes whose deadline has always passed, and
// weights whose sum is negative or 0.
func TestLargeNumbersAreBounded(t *testing.T) {
	p := &Plan{
		Version:  1,
		Services: []Service{{Name: "a", ColdPerSecond: math.MaxFloat64}, {Name: "b"}},
		Routes: []Route{{Name: "r", Host: "h", Prefix: "/", TimeoutMillis: math.MaxInt, TargetMillis: math.MaxInt,
			GapTargetMillis: math.MaxInt, StallMillis: math.MaxInt,
			Shares: []Share{{Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 3 << 61}}}},
		Limits: Limits{HeaderBytes: math.MaxInt, HeaderTimeoutMillis: math.MaxInt, IdleTimeoutMillis: math.MaxInt},
	}
	assert.NilError(t, p.Index())
	r := &p.Routes[0]
	for _, millis := range []int{r.TimeoutMillis, r.TargetMillis, r.GapTargetMillis, r.StallMillis,
		p.Limits.HeaderTimeoutMillis, p.Limits.IdleTimeoutMillis} {
		assert.Equal(t, millis, MaxMillis)
	}
	assert.Assert(t, r.StallTimeout() > 0)
	r.StallMillis = 0
	assert.Assert(t, r.StallTimeout() > 0)
	assert.Assert(t, p.Limits.HeaderBytes+1<<20 > 0)
	assert.Assert(t, !math.IsInf(1e6*p.Services[0].ColdPerSecond, 0))
	assert.Equal(t, r.PickService(0.39), "a")
	assert.Equal(t, r.PickService(0.41), "b")
}
