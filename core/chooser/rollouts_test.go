package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

// versions returns endpoints of which the first ones have version v1 and the others v2.
func versions(former, target int) []registrar.Endpoint {
	list := testEndpoints(former + target)
	for i := range list {
		list[i].Version, list[i].Slots = "v2", 64
		if i < former {
			list[i].Version = "v1"
		}
	}
	return list
}

func newRollout(t *testing.T, now time.Time, phase rollouter.Phase) []rollouter.Rollout {
	r, err := rollouter.New(now, "llm", "v2", time.Minute)
	assert.NilError(t, err)
	r.Phase, r.Former = phase, []string{"v1"}
	return []rollouter.Rollout{r}
}

// Guards against a version that gets more requests over all routers than its share, whatever the routers know of each
// other: retries, prompts that rank it first, few former endpoints and restarts of routers count, too.
func TestRoutersTogetherKeepTheShareOfTheTarget(t *testing.T) {
	const (
		share, slack = 0.1, 50
		requests     = 20_000
	)
	for _, c := range []struct {
		name    string
		former  int
		engine  bool
		routers int // as each router believes
		retries float64
		restart bool
	}{
		{"plain", 6, false, 10, 0, false},
		{"engine", 12, true, 10, 0, false},
		{"retries", 6, false, 10, 0.3, false},
		{"few former endpoints", 1, false, 10, 0, false},
		{"routers that know nothing of each other", 6, true, 1, 0, true},
		{"restarts", 6, false, 10, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			service := &planner.Service{Name: "llm", Engine: c.engine}
			now := time.UnixMilli(1_700_000_000_000)
			rollout := newRollout(t, now, rollouter.Trying)
			newRouter := func(i int, isRestart bool) *Chooser {
				ch := New(Limits{LoadFactor: 2, LoadSlack: 3, Rollouts: rollouter.Limits{ExposeShare: share, ExposeSlack: slack}},
					fmt.Sprint("router", i), "d")
				if isRestart || c.routers == 1 {
					ch.RecordRestart(now)
				}
				ch.Update(now, versions(c.former, 6), nil, c.routers)
				ch.SetRollouts(now, rollout, 1)
				return ch
			}
			routers := make([]*Chooser, 0, 10)
			for i := range 10 {
				routers = append(routers, newRouter(i, false))
			}
			sent, target := 0, 0
			for i := range requests {
				now = now.Add(time.Millisecond)
				if c.restart && i%997 == 0 {
					n := rng.IntN(len(routers))
					routers[n] = newRouter(n, true)
				}
				r := routers[rng.IntN(len(routers))]
				q := Query{Service: service, Random: rng.Float64(), Parts: []PromptPart{{ID: fmt.Sprint(i % 50)}, {ID: "x"}}}
				for {
					choice, reason := r.Choose(now, q)
					if reason != "" {
						break
					}
					if len(q.Tried) == 0 {
						sent++
					}
					if choice.Endpoint.Version == "v2" {
						target++
					}
					r.Done(now, choice)
					r.RecordAttempt(now, rollouter.Attempt{Endpoint: choice.Endpoint, Result: rollouter.Answered, SentAt: now,
						EndedAt: now.Add(time.Millisecond)})
					q.Tried = append(q.Tried, choice.Endpoint.ID)
					if rng.Float64() >= c.retries {
						break
					}
				}
			}
			t.Logf("%d of %d", target, sent)
			assert.Assert(t, float64(target) <= share*float64(sent)+slack, "%d of %d", target, sent)
			assert.Assert(t, target > sent/50, "%d of %d", target, sent)
		})
	}
}

// Guards against requests to a version that may not get them in a phase, and against streams that change their version.
func TestVersionsInEachPhase(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	former, target := map[string]bool{"v1": true}, map[string]bool{"v2": true}
	for _, c := range []struct {
		name      string
		phase     rollouter.Phase
		endpoints []registrar.Endpoint
		former    []registrar.Endpoint // out of service
		query     Query
		want      map[string]bool // versions; none means that the request is refused
	}{
		{"trying, nothing known of the state", rollouter.Trying, versions(2, 2), nil, Query{IsStale: true}, former},
		{"trying, all have the target", rollouter.Trying, versions(0, 4), nil, Query{}, target},
		{"trying, former versions out of service", rollouter.Trying, versions(0, 4), versions(1, 0),
			Query{IsStale: true}, nil},
		{"moving", rollouter.Moving, versions(2, 2), nil, Query{}, target},
		{"moving, stream of the former version", rollouter.Moving, versions(2, 2), nil,
			Query{IsResumed: true, Version: "v1"}, former},
		{"moving, target gone", rollouter.Moving, versions(2, 0), nil, Query{}, former},
		{"completed", rollouter.Completed, versions(2, 2), nil, Query{}, target},
		{"completed, target gone", rollouter.Completed, versions(2, 0), nil, Query{}, former},
		{"rolled back", rollouter.RolledBack, versions(2, 2), nil, Query{}, former},
		{"rolled back, stream of the target", rollouter.RolledBack, versions(2, 2), nil,
			Query{IsResumed: true, Version: "v2"}, nil},
		{"rolled back, former versions gone", rollouter.RolledBack, versions(0, 2), nil, Query{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			ch := New(Limits{LoadFactor: 2, LoadSlack: 3}, "router", "d")
			for i := range c.former {
				c.former[i].ID = "former"
			}
			ch.Update(now, c.endpoints, c.former, 1)
			ch.SetRollouts(now, newRollout(t, now, c.phase), 1)
			got := map[string]bool{}
			for range 200 {
				q := c.query
				q.Service = &planner.Service{Name: "llm"}
				if choice, reason := ch.Choose(now, q); reason == "" {
					got[choice.Endpoint.Version] = true
					ch.Done(now, choice)
				}
			}
			if c.want == nil {
				c.want = map[string]bool{}
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against requests to a version that appears during the rollout of another one, before that has ended.
func TestThirdVersionWaitsForTheEndOfARollout(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	ch := New(Limits{LoadFactor: 2, LoadSlack: 3, Rollouts: rollouter.Limits{ExposeShare: 0.1}}, "router", "d")
	update := func(list []registrar.Endpoint, phase rollouter.Phase) {
		ch.Update(now, list, nil, 1)
		ch.SetRollouts(now, newRollout(t, time.UnixMilli(0), phase), 1)
	}
	update(versions(2, 2), rollouter.Trying)
	list := versions(2, 4)
	list[4].Version, list[5].Version = "v3", "v3"
	now = now.Add(time.Second)
	update(list, rollouter.Trying)
	for _, c := range []struct {
		phase rollouter.Phase
		want  bool
	}{{rollouter.Trying, false}, {rollouter.Moving, false}, {rollouter.RolledBack, true}} {
		now = now.Add(2 * newVersionDelay)
		update(list, c.phase)
		got := false
		for range 100 {
			choice, reason := ch.Choose(now, Query{Service: &planner.Service{Name: "llm"}})
			assert.Equal(t, reason, Reason(""))
			got = got || choice.Endpoint.Version == "v3"
		}
		assert.Equal(t, got, c.want, "%v", c.phase)
	}
}

// Guards against requests to endpoints of a new version that appear before the order about them, and against versions
// that serve side by side with no order and get none.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	for _, c := range []struct {
		name  string
		share float64
		first []registrar.Endpoint // known at the start
		after time.Duration        // since the second version appeared
		want  bool
	}{
		{"just appeared", 0.1, versions(2, 0), time.Second, false},
		{"later", 0.1, versions(2, 0), newVersionDelay, true},
		{"there from the start", 0.1, versions(2, 2), time.Second, true},
		{"deployment without rollouts", 0, versions(2, 0), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ch := New(Limits{LoadFactor: 2, LoadSlack: 3, Rollouts: rollouter.Limits{ExposeShare: c.share}}, "router", "d")
			ch.Update(start, c.first, nil, 1)
			ch.SetRollouts(start, nil, 1)
			ch.Update(start, versions(2, 2), nil, 1)
			ch.SetRollouts(start, nil, 1)
			got := false
			for range 50 {
				choice, reason := ch.Choose(start.Add(c.after), Query{Service: &planner.Service{Name: "llm"}})
				assert.Equal(t, reason, Reason(""))
				got = got || choice.Endpoint.Version == "v2"
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against streams that a version began before it was rolled back and that are refused although its endpoints
// still run, and against more requests to it than these, or later ones than an operator bears.
func TestStreamsOfARolledBackVersion(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	stream := Query{IsResumed: true, Version: "v2"}
	for _, c := range []struct {
		name    string
		phases  []rollouter.Phase
		query   Query
		after   time.Duration // the rollback
		resumed int           // streams before
		want    bool
	}{
		{"stream", []rollouter.Phase{rollouter.Trying, rollouter.RolledBack}, stream, time.Second / 2, 0, true},
		{"stream after the move", []rollouter.Phase{rollouter.Trying, rollouter.Moving, rollouter.RolledBack}, stream,
			time.Second / 2, 0, true},
		{"new request", []rollouter.Phase{rollouter.Trying, rollouter.RolledBack}, Query{}, time.Second / 2, 0, false},
		{"late", []rollouter.Phase{rollouter.Trying, rollouter.RolledBack}, stream, 1100 * time.Millisecond, 0, false},
		{"share is used up", []rollouter.Phase{rollouter.Trying, rollouter.RolledBack}, stream, time.Second / 2, 60, false},
		{"stale state", []rollouter.Phase{rollouter.Trying, rollouter.RolledBack},
			Query{IsResumed: true, Version: "v2", IsStale: true}, time.Second / 2, 0, false},
		{"router started afterwards", []rollouter.Phase{rollouter.RolledBack}, stream, time.Second / 2, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ch := New(Limits{LoadFactor: 2, LoadSlack: 3, Rollouts: rollouter.Limits{ExposeShare: 0.1, ExposeSlack: 50}},
				"router", "d")
			ch.Update(start, versions(4, 4), nil, 1)
			choose := func(now time.Time, q Query) string {
				q.Service = &planner.Service{Name: "llm"}
				choice, reason := ch.Choose(now, q)
				if reason == "" {
					ch.Done(now, choice)
				}
				return choice.Endpoint.Version
			}
			for _, phase := range c.phases {
				ch.SetRollouts(start, newRollout(t, start, phase), 1)
				for range 20 {
					choose(start, Query{Version: "v1", IsResumed: true})
				}
			}
			for range c.resumed {
				choose(start, stream)
			}
			assert.Equal(t, choose(start.Add(c.after), c.query) == "v2", c.want)
		})
	}
}
