package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// Guards, in the middle of a release, against resumed streams that go to an endpoint of another software version, and
// against reasons that let a caller wait for a version that no endpoint has.
func TestResumedStreamsDuringARelease(t *testing.T) {
	plain := &planner.Service{Name: "llm"}
	release := func(change func(i int, e *registrar.Endpoint)) (inService, outOfService []registrar.Endpoint) {
		for i, e := range testEndpoints(9) {
			e.Version, e.Slots = "v2", 32
			if i < 2 {
				e.Version = "v1"
			}
			change(i, &e)
			if e.State == registrar.Draining {
				outOfService = append(outOfService, e)
			} else {
				inService = append(inService, e)
			}
		}
		return inService, outOfService
	}
	isOld := func(i int) bool { return i < 2 }
	for _, c := range []struct {
		name   string
		change func(i int, e *registrar.Endpoint)
		query  Query
		want   Reason // of the last of 40 requests
		served int    // of 40
	}{
		{"two of the version left", func(int, *registrar.Endpoint) {}, Query{Version: "v1"}, "", 40},
		{"draining", func(i int, e *registrar.Endpoint) {
			if isOld(i) {
				e.State = registrar.Draining
			}
		}, Query{Version: "v1"}, NoVersion, 0},
		{"never seen", func(int, *registrar.Endpoint) {}, Query{Version: "v3"}, NoVersion, 0},
		{"no version named", func(int, *registrar.Endpoint) {}, Query{Version: ""}, NoVersion, 0},
		{"tried", func(int, *registrar.Endpoint) {}, Query{Version: "v1", Tried: []string{"e00", "e01"}}, AllTried, 0},
		{"silent", func(i int, e *registrar.Endpoint) {
			if isOld(i) {
				e.State = registrar.Silent
			}
		}, Query{Version: "v1"}, "", 40},
		{"more than the slots", func(i int, e *registrar.Endpoint) {
			if isOld(i) {
				e.Slots = 8
			}
		}, Query{Version: "v1"}, AllAtCapacity, 16},
		{"cold", func(i int, e *registrar.Endpoint) {
			if isOld(i) {
				e.ColdUntil = start.Add(time.Hour)
			}
		}, Query{Version: "v1"}, ColdRateExhausted, 10},
	} {
		for _, service := range []*planner.Service{engine, plain} {
			if service == plain && (c.name == "cold" || c.name == "more than the slots") {
				continue // has no cold time, and three requests a slot
			}
			cold := *service
			if c.name == "cold" {
				cold.ColdPerSecond = 1
			}
			ch := New(limits, "r", "d")
			inService, outOfService := release(c.change)
			ch.Update(start, inService, outOfService, 1)
			ch.SetTotalLoads(start, Loads{})
			served, reason := 0, Reason("")
			for i := range 40 {
				q := c.query
				q.Service, q.Parts, q.Random, q.IsResumed = &cold, testPrompt(i%5), rand.Float64(), true
				var choice Choice
				if choice, reason = ch.Choose(start, q); reason == "" {
					served++
					assert.Equal(t, choice.Endpoint.Version, c.query.Version, c.name)
				}
			}
			assert.Equal(t, reason, c.want, c.name)
			assert.Assert(t, served <= c.served, "%s: %d served", c.name, served)
			if c.want == "" {
				assert.Equal(t, served, c.served, c.name)
			}
		}
	}
}
