package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactusroute.dev/core/planner"
)

// BenchmarkChooseOfMany selects among 3,000 endpoints in three domains, by load and for a prompt.
func BenchmarkChooseOfMany(b *testing.B) {
	for _, isOn := range []bool{false, true} {
		for _, s := range []*planner.Service{{Name: "plain"}, {Name: "llm", Engine: true, Slots: 64}} {
			b.Run(fmt.Sprint(s.Name, " domains ", isOn), func(b *testing.B) {
				c := New(limits, "r", "a")
				c.SetPolicy(planner.LoadPolicy{Domains: isOn})
				c.Update(start, domainEndpoints(s.Name, 3000, 3, 64), nil, 300)
				q := Query{Service: s}
				if s.Engine {
					q.Parts = testPrompt(3)
				}
				now := start
				for i := range 20 {
					now = now.Add(100 * time.Millisecond)
					c.SetTotalLoads(now, c.OwnLoads(now))
					c.SetTotalSums(now, c.OwnSums())
					if i == 0 {
						choice, _ := c.Choose(now, q)
						c.Done(now, choice)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					q.Random = rand.Float64()
					choice, _ := c.Choose(now, q)
					c.Done(now, choice)
				}
			})
		}
	}
}
