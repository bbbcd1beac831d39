package limiter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/bundler"
)

var epoch = time.Unix(1_700_000_000, 0)

func testConfig(maxConcurrency int) Config {
	return DefaultConfig(&bundler.Pool{
		MaxConcurrency: maxConcurrency, FirstTokenTargetMillis: 500, TokenGapTargetMillis: 30,
	})
}

func warm(cfg Config, mean float64) *Limiter {
	l := New(cfg)
	l.ramp.limit, l.ramp.cold = float64(cfg.MaxConcurrency), false
	l.SetPoolLoad(epoch, mean, 10)
	return l
}

func arrival(id uint64, ws string, p bundler.Priority) Request {
	return Request{ID: id, Workspace: ws, Weight: 1, Priority: p, Deadline: epoch.Add(time.Hour)}
}

// Guards against a wrong bound, a hint that is ignored, and a cold endpoint that takes two requests.
func TestArriveDecides(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name     string
		mean     float64
		hint     float64
		cold     bool
		inFlight int
		deadline time.Duration
		admitted bool
		reason   Reason
		wait     time.Duration // until the refusal
	}{
		{name: "empty pool takes one", admitted: true, deadline: time.Hour},
		{name: "second in an empty pool", inFlight: 1, deadline: time.Hour, reason: ReasonOverLoadBound, wait: 40 * ms},
		{name: "hint raises the bound", inFlight: 1, hint: 2, deadline: time.Hour, admitted: true},
		{name: "mean raises the bound", inFlight: 4, mean: 4, deadline: time.Hour, admitted: true},
		{name: "at the bound", inFlight: 6, mean: 4, deadline: time.Hour, reason: ReasonOverLoadBound, wait: 40 * ms},
		{name: "cold", cold: true, inFlight: 1, mean: 4, deadline: time.Hour, reason: ReasonColdLimit, wait: time.Second},
		{name: "deadline before a start", cold: true, inFlight: 1, mean: 4, deadline: 100 * ms, reason: ReasonDeadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := warm(testConfig(16), 100)
			for i := range tt.inFlight {
				assert.Equal(t, len(l.Submit(epoch, arrival(uint64(i), "a", bundler.PriorityInteractive)).Admitted), 1)
			}
			if tt.cold {
				l.MarkCold()
			}
			l.SetPoolLoad(epoch, tt.mean, 10)
			a := arrival(99, "a", bundler.PriorityInteractive)
			a.MeanHint, a.Deadline = tt.hint, epoch.Add(tt.deadline)
			s := l.Submit(epoch, a)
			assert.Equal(t, len(s.Admitted) == 1, tt.admitted)
			if tt.admitted {
				return
			}
			if tt.wait > 0 {
				assert.Equal(t, len(s.Refused), 0)
				assert.Equal(t, l.NextAdvance().Sub(epoch), tt.wait)
				s = l.Advance(l.NextAdvance())
			}
			assert.Equal(t, len(s.Refused), 1)
			assert.Equal(t, s.Refused[0].Reason, tt.reason)
		})
	}
}

// Guards against new chats that take the room of the load bound that chats which return need, and against room at
// an endpoint that is cold.
func TestRoomEndsAtTheMean(t *testing.T) {
	l := warm(testConfig(16), 2.5)
	for n := range 4 {
		assert.Equal(t, l.HasRoom(0), n < 3, "in flight %d", n)
		assert.Assert(t, l.HasRoom(4))
		assert.Equal(t, len(l.Submit(epoch, arrival(uint64(n), "a", bundler.PriorityInteractive)).Admitted), 1)
	}
	l.MarkCold()
	assert.Assert(t, !l.HasRoom(8))
}

// Guards against an admission above the load bound or the limit, a lost request, and a request that waits
// past its deadline, under any order of events; a model keeps its own counts.
func TestLimiterMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(rapid.IntRange(1, 20).Draw(t, "max"))
		cfg.MaxQueued = 12
		l := New(cfg)
		now, mean, members := epoch, 0.0, 0
		inFlight, open := map[uint64]bool{}, map[uint64]Request{}
		var next uint64
		follow := func(s Decisions, before int) {
			for i, id := range s.Admitted {
				a, ok := open[id]
				assert.Assert(t, ok, "admitted twice or after a refusal")
				assert.Assert(t, now.Before(a.Deadline))
				m := max(mean, a.MeanHint)
				if members == 1 {
					m = max(m, float64(before+i))
				}
				if members > 0 {
					m += 1 / float64(members)
				}
				assert.Assert(t, before+i+1 <= max(1, int(math.Ceil(1.25*m-1e-9))), "load bound")
				assert.Assert(t, before+i+1 <= max(1, int(l.ramp.limit)), "limit")
				delete(open, id)
				inFlight[id] = true
			}
			for _, r := range s.Refused {
				_, ok := open[r.ID]
				assert.Assert(t, ok, "refused twice or after an admission")
				delete(open, r.ID)
			}
			for id, a := range open {
				assert.Assert(t, now.Before(a.Deadline) && !now.After(l.NextAdvance()), "request %d waits too long", id)
			}
			assert.Equal(t, l.Status().Queued, len(open))
			assert.Equal(t, l.Status().InFlight, len(inFlight))
		}
		finish := func(t *rapid.T, e Outcome) {
			for id := range inFlight {
				delete(inFlight, id)
				gap := time.Duration(rapid.IntRange(1, 60).Draw(t, "gap")) * time.Millisecond
				follow(l.Finish(now, Result{ID: id, Outcome: e, FirstToken: 100 * time.Millisecond, TokenGap: gap}), len(inFlight))
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				a := arrival(next, string(rune('a'+rapid.IntRange(0, 3).Draw(t, "ws"))), bundler.PriorityInteractive)
				if rapid.Bool().Draw(t, "batch") {
					a.Priority = bundler.PriorityBatch
				}
				a.MeanHint = rapid.SampledFrom([]float64{0, 1, 9}).Draw(t, "hint")
				a.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
				open[next] = a
				follow(l.Submit(now, a), len(inFlight))
			},
			"succeed": func(t *rapid.T) { finish(t, OutcomeSuccess) },
			"crash":   func(t *rapid.T) { finish(t, OutcomeEngineCrash) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				follow(l.Advance(now), len(inFlight))
			},
			"pool": func(t *rapid.T) {
				mean, members = rapid.Float64Range(0, 20).Draw(t, "mean"), rapid.IntRange(0, 4).Draw(t, "members")
				follow(l.SetPoolLoad(now, mean, members), len(inFlight))
			},
			"report": func(t *rapid.T) {
				at := now.Add(-time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * time.Millisecond)
				follow(l.SetLoadReport(now, LoadReport{Running: rapid.IntRange(0, 20).Draw(t, "running"), At: at}), len(inFlight))
			},
			"abandon": func(*rapid.T) {
				for id := range open {
					assert.Assert(t, l.Cancel(id))
					delete(open, id)
					return
				}
			},
		})
	})
}

// saturate keeps one waiting request for each workspace and class while requests end one by one, and
// returns how many started for each.
func saturate(t *testing.T, rounds int, flows []Request) map[string]int {
	t.Helper()
	l := warm(testConfig(4), 100)
	started, open := map[string]int{}, map[uint64]string{}
	var running []uint64
	var id uint64
	now := epoch
	take := func(s Decisions) {
		for _, a := range s.Admitted {
			started[open[a]]++
			running = append(running, a)
		}
		for _, r := range s.Refused {
			delete(open, r.ID)
		}
	}
	for range rounds {
		for _, f := range flows {
			id++
			f.ID, f.Deadline = id, now.Add(time.Hour)
			open[id] = f.Workspace
			take(l.Submit(now, f))
		}
		now = now.Add(50 * time.Millisecond)
		head := running[0]
		running = running[1:]
		take(l.Finish(now, Result{
			ID: head, Outcome: OutcomeSuccess, FirstToken: time.Millisecond, TokenGap: time.Millisecond,
		}))
	}
	return started
}

// Guards against a workspace that gets less than 0.8 of its share by weight, and against starved batch.
func TestSharesUnderContention(t *testing.T) {
	flow := func(ws string, weight int, p bundler.Priority) Request {
		return Request{Workspace: ws, Weight: weight, Priority: p}
	}
	i, b := bundler.PriorityInteractive, bundler.PriorityBatch
	for _, tt := range []struct {
		name  string
		flows []Request
		least map[string]float64
	}{
		{"by weight", []Request{flow("a", 1, i), flow("b", 3, i)}, map[string]float64{"a": 0.2, "b": 0.6}},
		{
			"surge of one", []Request{flow("a", 1, i), flow("a", 1, i), flow("a", 1, i), flow("a", 1, i), flow("b", 1, i)},
			map[string]float64{"a": 0.4, "b": 0.4},
		},
		{
			"batch floor", []Request{flow("a", 1, i), flow("a", 1, i), flow("b", 1, b)},
			map[string]float64{"a": 0.9, "b": 0.045},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const rounds = 2000
			started := saturate(t, rounds, tt.flows)
			for ws, part := range tt.least {
				assert.Assert(t, float64(started[ws]) >= part*rounds, "%s: %d of %d", ws, started[ws], rounds)
			}
		})
	}
}

// Guards against starvation and unfair shares for any weights and arrival rates: a workspace that asks for at least
// its share gets 0.8 of it.
func TestSharesForAnyWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := 0
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(rt, "weights")
		flows := make([]Request, 0, 3*len(weights))
		for i, w := range weights {
			total += w
			for range rapid.IntRange(1, 3).Draw(rt, "rate") {
				name := string(rune('a' + i))
				flows = append(flows, Request{Workspace: name, Weight: w, Priority: bundler.PriorityInteractive})
			}
		}
		const rounds = 400
		started := saturate(t, rounds, flows)
		for i, w := range weights {
			got, share := started[string(rune('a'+i))], float64(rounds*w)/float64(total)
			assert.Assert(rt, float64(got) >= 0.8*share, "workspace %d: %d of %.0f", i, got, share)
		}
	})
}

// Guards against a surge that delays another workspace: the reserved slot lets its request start at once.
func TestSurgeLeavesSlotToOthers(t *testing.T) {
	l := warm(testConfig(16), 100)
	l.Submit(epoch, arrival(1, "quiet", bundler.PriorityInteractive))
	l.Finish(epoch, Result{ID: 1})
	for id := range uint64(100) {
		l.Submit(epoch, arrival(10+id, "surge", bundler.PriorityInteractive))
	}
	assert.Equal(t, l.Status().InFlight, 14)
	for id := range uint64(2) {
		s := l.Submit(epoch, arrival(200+id, "quiet", bundler.PriorityInteractive))
		assert.DeepEqual(t, s.Admitted, []uint64{200 + id})
	}
}

// Guards against a ramp that outruns an engine: cold it bears one request more for each completion, and warm
// it misses its token target above its capacity; a quarter above is allowed for the probe of the limit.
func TestRampStaysWithinWhatEngineBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(4, 40).Draw(t, "capacity")
		l := New(testConfig(64))
		l.SetPoolLoad(epoch, 100, 10)
		now, completed := epoch, 0
		var id uint64
		var running []uint64
		for range 600 {
			for {
				id++
				s := l.Submit(now, arrival(id, "a", bundler.PriorityInteractive))
				if len(s.Admitted) == 0 {
					l.Cancel(id)
					break
				}
				running = append(running, s.Admitted...)
			}
			assert.Assert(t, len(running) <= 1+completed)
			assert.Assert(t, float64(len(running)) <= 1.25*float64(capacity)+1)
			gap := 10 * time.Millisecond
			if len(running) > capacity {
				gap = 40 * time.Millisecond
			}
			pick := rapid.IntRange(0, len(running)-1).Draw(t, "pick")
			done := running[pick]
			running = append(running[:pick], running[pick+1:]...)
			now = now.Add(10 * time.Millisecond)
			completed++
			l.Finish(now, Result{ID: done, Outcome: OutcomeSuccess, FirstToken: 50 * time.Millisecond, TokenGap: gap})
		}
		assert.Assert(t, l.ramp.limit >= float64(capacity)/2, "limit %.1f of %d", l.ramp.limit, capacity)
	})
}

// Guards against growth by elapsed time alone and against an endpoint that is not cold after what clears it.
func TestColdState(t *testing.T) {
	l := New(testConfig(16))
	l.Advance(epoch.Add(time.Hour))
	assert.Equal(t, l.Status().Limit, 1)
	for _, ending := range []Outcome{OutcomeEngineCrash, OutcomeTimeout} {
		l = warm(testConfig(16), 100)
		l.ramp.sinceCut = 16
		l.Submit(epoch, arrival(1, "a", bundler.PriorityInteractive))
		l.Finish(epoch, Result{ID: 1, Outcome: ending})
		want := map[Outcome]int{OutcomeEngineCrash: 1, OutcomeTimeout: 8}[ending]
		assert.Equal(t, l.Status().Limit, want, fmt.Sprint(ending))
	}
	l = warm(testConfig(16), 100)
	for id, gap := range []time.Duration{5, 5, 20, 20} {
		l.Submit(epoch, arrival(uint64(id), "a", bundler.PriorityInteractive))
		l.Finish(epoch, Result{ID: uint64(id), Outcome: OutcomeSuccess, TokenGap: gap * time.Millisecond})
	}
	assert.Assert(t, l.Status().Cold, "latency jump without load")
	cfg := testConfig(16)
	cfg.FirstTokenTarget, cfg.TokenGapTarget = 0, 0
	l = warm(cfg, 100)
	for id := range uint64(16) {
		l.Submit(epoch, arrival(id, "a", bundler.PriorityInteractive))
	}
	for id, gap := range []time.Duration{5: 5, 15: 50} { // completions under load, then slow ones without a target
		l.Finish(epoch, Result{ID: uint64(id), Outcome: OutcomeSuccess, TokenGap: max(5, gap) * time.Millisecond})
		l.Submit(epoch, arrival(uint64(100+id), "a", bundler.PriorityInteractive))
	}
	l.Finish(epoch, Result{ID: 100, Outcome: OutcomeSuccess, TokenGap: 50 * time.Millisecond})
	assert.Equal(t, l.Status().Limit, 12, "latency rise without a target")
}

// Guards against requests sent since a lagging report that are not counted.
func TestReportCountsRequestsSentSince(t *testing.T) {
	l := warm(testConfig(4), 100)
	l.SetLoadReport(epoch, LoadReport{Running: 2, At: epoch})
	later := epoch.Add(time.Millisecond)
	assert.Equal(t, len(l.Submit(later, arrival(1, "a", bundler.PriorityInteractive)).Admitted), 1)
	assert.Equal(t, len(l.Submit(later, arrival(2, "a", bundler.PriorityInteractive)).Admitted), 1)
	assert.Equal(t, len(l.Submit(later, arrival(3, "a", bundler.PriorityInteractive)).Admitted), 0)
}

func BenchmarkArriveFinish(b *testing.B) {
	l := warm(testConfig(64), 100)
	now := epoch
	a := arrival(0, "a", bundler.PriorityInteractive)
	a.Deadline = epoch.Add(1000 * time.Hour)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a.ID, now = uint64(i), now.Add(time.Millisecond)
		l.Submit(now, a)
		l.Finish(now, Result{ID: a.ID, Outcome: OutcomeSuccess, TokenGap: time.Millisecond})
	}
}
