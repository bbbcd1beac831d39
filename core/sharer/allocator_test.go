package sharer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type router struct {
	name    string
	number  uint64
	sent    map[uint64]time.Time
	epoch   uint64
	grant   uint64
	share   int
	expires time.Time
	wanted  int
}

func (r *router) held(now time.Time) int {
	if now.Before(r.expires) {
		return r.share
	}
	return 0
}

func (r *router) report(now time.Time) Report {
	r.number++
	r.sent[r.number] = now
	return Report{
		Number: r.number, GrantEpoch: r.epoch, GrantSequence: r.grant,
		Demands: []Demand{{Resource: "w", Desired: r.wanted, Current: r.held(now)}},
	}
}

func (r *router) apply(g Grant, now time.Time) {
	if g.Supersedes(r.epoch, r.grant) {
		n := g.Shares[0].Amount
		if g.NoIncrease {
			n = min(n, r.held(now))
		}
		r.epoch, r.grant, r.share = g.Epoch, g.Sequence, n
		r.expires = r.sent[g.ReportNumber].Add(LeaseDuration)
	}
}

type message struct {
	r      *router
	report *Report
	grant  *Grant
}

// Guards against shares whose sum exceeds the limit while routers come, go, fall silent or change their demand,
// while messages are late, lost or out of order, and while the allocator moves to another instance.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const limit = 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		epoch := uint64(1)
		a := NewAllocator(epoch, now, 0)
		var routers []*router
		var wire []message
		pick := func(t *rapid.T) *router { return routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")] }
		start := func(*rapid.T) {
			routers = append(routers, &router{name: fmt.Sprint(len(routers)), sent: map[uint64]time.Time{}})
		}
		start(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": start,
			"demand": func(t *rapid.T) {
				pick(t).wanted = rapid.IntRange(0, 12).Draw(t, "wanted")
			},
			"report": func(t *rapid.T) {
				r := pick(t)
				m := r.report(now)
				wire = append(wire, message{r: r, report: &m})
			},
			"deliver": func(t *rapid.T) {
				if len(wire) == 0 {
					return
				}
				i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
				m := wire[i]
				wire = append(wire[:i:i], wire[i+1:]...)
				if m.grant != nil {
					m.r.apply(*m.grant, now)
				} else if g, ok := a.HandleReport(m.r.name, *m.report, now, func(string) (int, bool) { return limit, false }); ok {
					wire = append(wire, message{r: m.r, grant: &g})
				}
			},
			"lose": func(*rapid.T) { wire = wire[:len(wire)/2] },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"move": func(*rapid.T) {
				epoch++
				a = NewAllocator(epoch, now, 0)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, r := range routers {
					sum += r.held(now)
				}
				assert.Assert(t, sum <= limit, "sum %d", sum)
			},
		})
	})
}

// Guards against shares that do not follow demand, and permits that are not given in the order of arrival.
func TestTargets(t *testing.T) {
	for _, tc := range []struct {
		name    string
		wanted  []int
		limit   int
		inOrder bool
		want    []int
	}{
		{"rest is spread", []int{1, 0}, 10, false, []int{5, 5}},
		{"in proportion", []int{30, 10}, 8, false, []int{6, 2}},
		{"rounded", []int{5, 5, 5}, 10, false, []int{3, 3, 4}},
		{"permits", []int{1, 1, 1}, 2, true, []int{1, 1, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			a := NewAllocator(1, now.Add(-time.Hour), 0)
			routers := make([]*router, len(tc.wanted))
			for i, w := range tc.wanted {
				routers[i] = &router{name: fmt.Sprint(i), sent: map[uint64]time.Time{}, wanted: w}
			}
			for range 6 {
				for _, r := range routers {
					now = now.Add(100 * time.Millisecond)
					g, ok := a.HandleReport(r.name, r.report(now), now, func(string) (int, bool) { return tc.limit, tc.inOrder })
					assert.Assert(t, ok)
					r.apply(g, now)
				}
			}
			for i, r := range routers {
				assert.Equal(t, r.share, tc.want[i], "router %d", i)
			}
		})
	}
}
