package chooser

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// choicesBefore is the hash of the choices that the release before demand scheduling made for the same queries.
const choicesBefore = "91f3af2f7011a3d4"

// Guards deployments whose plans do not call for demand scheduling: each of 60,000 recorded queries, with churn, cold
// and failing endpoints and loads of other routers, gets the endpoint or the reason that it got before.
func TestChoicesWithoutDemandScheduling(t *testing.T) {
	random := rand.New(rand.NewPCG(17, 4))
	now := time.Unix(1_700_000_000, 0)
	limits := Limits{ColdFactor: 1.5, ColdSlack: 5, LoadFactor: 2, LoadSlack: 3, HeartbeatInterval: time.Second}
	c := New(limits, "r1", "d0")
	engine := &planner.Service{Name: "engine", Engine: true, Slots: 16, ColdPerSecond: 9, MaxConnections: 600}
	plain := &planner.Service{Name: "plain"}
	endpoints := func(generation int) (in, out []registrar.Endpoint) {
		for i := range 30 {
			e := registrar.Endpoint{ID: fmt.Sprint("e", i), Service: "engine", Address: fmt.Sprint("10.0.0.", i, ":1"),
				Domain: fmt.Sprint("d", i%3), Slots: 16, State: registrar.Ready, Born: 1}
			if i%7 == generation%7 {
				e.Born, e.ColdUntil = int64(generation), now.Add(2*time.Second)
			}
			if i >= 26 {
				e.Service, e.Slots = "plain", 6
			}
			if i%11 == generation%11 {
				out = append(out, e)
			} else {
				in = append(in, e)
			}
		}
		return in, out
	}
	h := fnv.New64a()
	var open []Choice
	for i := range 60_000 {
		now = now.Add(time.Duration(random.IntN(6000)) * time.Microsecond)
		if i%4000 == 0 {
			in, out := endpoints(1 + i/4000)
			c.Update(now, in, out, 1+i/20_000*9)
		}
		if i%20 == 0 && i/8000%3 != 1 {
			total := Loads{}
			total.Add(c.OwnLoads(now))
			for e := range 30 {
				id := fmt.Sprint("e", e)
				total.Add(Loads{id: {Requests: random.IntN(9), Wanted: float64(random.IntN(6))}})
			}
			c.SetTotalLoads(now, total)
		}
		q := Query{Service: engine, Random: random.Float64(), Priority: float64(random.IntN(3)) / 2,
			Parts: []PromptPart{{ID: "s", Tokens: 900}, {ID: fmt.Sprint("k", random.IntN(40)), Tokens: 4000}, {ID: "own"}}}
		if i%3 == 0 {
			q.Service, q.Parts = plain, nil
		}
		choice, reason := c.Choose(now, q)
		_, _ = fmt.Fprint(h, choice.Endpoint.ID, choice.Rank, choice.CacheSource, reason, ";")
		switch {
		case reason != "":
		case random.IntN(40) == 0:
			c.RecordFailure(now, choice.Endpoint)
			c.Done(now, choice)
		default:
			open = append(open, choice)
		}
		for len(open) > 0 && random.IntN(90) < len(open) {
			j := random.IntN(len(open))
			c.RecordResponse(open[j].Endpoint, random.IntN(25) == 0)
			c.Done(now, open[j])
			open[j] = open[len(open)-1]
			open = open[:len(open)-1]
		}
	}
	assert.Equal(t, fmt.Sprintf("%016x", h.Sum64()), choicesBefore)
}
