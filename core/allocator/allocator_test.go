package allocator

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type router struct {
	name          string
	reportNumber  uint64
	sentAt        map[uint64]time.Time
	grantEpoch    uint64
	grantSequence uint64
	share         int
	expires       time.Time
	desired       int
}

func (r *router) current(now time.Time) int {
	if now.Before(r.expires) {
		return r.share
	}
	return 0
}

func (r *router) report(now time.Time) Report {
	r.reportNumber++
	r.sentAt[r.reportNumber] = now
	return Report{
		Number: r.reportNumber, GrantEpoch: r.grantEpoch, GrantSequence: r.grantSequence,
		Demands: []Demand{{Resource: "w", Desired: r.desired, Current: r.current(now)}},
	}
}

func (r *router) apply(g Grant, now time.Time) {
	if g.Supersedes(r.grantEpoch, r.grantSequence) {
		n := g.Shares[0].Amount
		if g.NoIncrease {
			n = min(n, r.current(now))
		}
		r.grantEpoch, r.grantSequence, r.share = g.Epoch, g.Sequence, n
		r.expires = r.sentAt[g.ReportNumber].Add(LeaseDuration)
	}
}

type message struct {
	r      *router
	report *Report
	grant  *Grant
}

// Guards against shares whose sum exceeds the limit while routers start, stop reporting or change their demand, while
// messages are delayed, lost or reordered, and while another instance takes over the allocation.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const limit = 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		epoch := uint64(1)
		a := NewAllocator(epoch, now, 0)
		var routers []*router
		var network []message
		pick := func(t *rapid.T) *router { return routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")] }
		start := func(*rapid.T) {
			routers = append(routers, &router{name: fmt.Sprint(len(routers)), sentAt: map[uint64]time.Time{}})
		}
		start(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": start,
			"demand": func(t *rapid.T) {
				pick(t).desired = rapid.IntRange(0, 12).Draw(t, "desired")
			},
			"report": func(t *rapid.T) {
				r := pick(t)
				m := r.report(now)
				network = append(network, message{r: r, report: &m})
			},
			"deliver": func(t *rapid.T) {
				if len(network) == 0 {
					return
				}
				i := rapid.IntRange(0, len(network)-1).Draw(t, "message")
				m := network[i]
				network = append(network[:i:i], network[i+1:]...)
				if m.grant != nil {
					m.r.apply(*m.grant, now)
				} else if g, ok := a.HandleReport(m.r.name, *m.report, now, func(string) (int, bool) { return limit, false }); ok {
					network = append(network, message{r: m.r, grant: &g})
				}
			},
			"lose": func(*rapid.T) { network = network[:len(network)/2] },
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
					sum += r.current(now)
				}
				assert.Assert(t, sum <= limit, "sum of shares %d", sum)
			},
		})
	})
}

// Guards against shares that do not follow demand, and permits that are not granted first come, first served.
func TestSharesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name    string
		desired []int
		limit   int
		isFIFO  bool
		want    []int
	}{
		{"spare capacity is spread", []int{1, 0}, 10, false, []int{5, 5}},
		{"in proportion", []int{30, 10}, 8, false, []int{6, 2}},
		{"rounded", []int{5, 5, 5}, 10, false, []int{3, 3, 4}},
		{"permits", []int{1, 1, 1}, 2, true, []int{1, 1, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			a := NewAllocator(1, now.Add(-time.Hour), 0)
			routers := make([]*router, len(tc.desired))
			for i, desired := range tc.desired {
				routers[i] = &router{name: fmt.Sprint(i), sentAt: map[uint64]time.Time{}, desired: desired}
			}
			for range 6 {
				for _, r := range routers {
					now = now.Add(100 * time.Millisecond)
					g, ok := a.HandleReport(r.name, r.report(now), now, func(string) (int, bool) { return tc.limit, tc.isFIFO })
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

// Guards against reports with odd numbers that leave the other holders negative shares.
func TestOddDemandsDoNotOverflow(t *testing.T) {
	now := time.Unix(1000, 0)
	const limit = 1000
	limitOf := func(string) (int, bool) { return limit, false }
	for _, desired := range []int{math.MaxInt, 3 << 61, 1 << 62, math.MinInt, -1} {
		a := NewAllocator(1, now.Add(-time.Hour), 0)
		for i, name := range []string{"odd1", "odd2", "sound", "odd3", "sound"} {
			d := Demand{Resource: "r", Desired: desired}
			if name == "sound" {
				d.Desired = 8
			}
			g, ok := a.HandleReport(name, Report{Number: uint64(i) + 1, Demands: []Demand{d, {Resource: "other"}}}, now, limitOf)
			assert.Assert(t, ok)
			assert.Check(t, g.Shares[0].Amount >= 0 && g.Shares[0].Amount <= limit, "%d: %s gets %d", desired, name,
				g.Shares[0].Amount)
		}
	}
}
