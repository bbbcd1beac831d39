package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/limiter"
	"cactusroute.dev/fakeengine"
)

// coldLoad runs clients without pause against an agent, of whose requests every third is cancelled early.
func runColdLoad(t *testing.T, a *Agent, clients int) {
	t.Helper()
	var wg sync.WaitGroup
	var id atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); wg.Wait() })
	for client := range clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				req := *coldRequest
				req.ID = fmt.Sprintf("cold-%d", id.Add(1))
				req.ChatKey = uint64(client)
				req.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"messages":[{"role":"user","content":"%d of %d"}]}`,
					n, client)
				patience := 3 * time.Second
				if n%3 == 2 {
					patience = time.Duration(10+10*(n%7)) * time.Millisecond // may end in the queue or at the engine
				}
				req.Deadline = time.Now().Add(3 * time.Second)
				attempt, cancel := context.WithTimeout(ctx, patience)
				if _, err := a.handle(attempt, &req, &responseRecorder{}); err != nil {
					time.Sleep(2 * time.Millisecond)
				}
				cancel()
			}
		})
	}
}

var coldRequest = chatRequest("cold")

// Guards against a cold engine that gets more than it bears under full load, with cancellations and load reports that
// lag: when it joins, restarts after a crash, loses its cache, and loads another model version. That a cache was
// cleared is known only from a late event, so requests count from then on. It logs how long the ramp takes.
func TestColdStartUnderFullLoad(t *testing.T) {
	e := newEngine(fakeengine.Config{
		Tokens: 5, TokenGap: 2 * time.Millisecond, ColdCompletions: 40, ColdFactor: 2, LoadLag: 300 * time.Millisecond,
		RestartTime: 100 * time.Millisecond, LoadTime: 100 * time.Millisecond, EventDelay: 100 * time.Millisecond,
	})
	a, c := startAgent(t, modelPool, e)
	runColdLoad(t, a, 24)
	await := func(name string, is func(s limiter.Status) bool) time.Time {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s := a.admission.status(); !is(s) {
				return poll.Continue("%s: %+v", name, s)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
		return time.Now()
	}
	for _, tt := range []struct {
		name   string
		isLate bool
		set    func()
	}{
		{"join", false, func() {}},
		{"crash", false, e.Crash},
		{"cleared cache", true, e.ClearCache},
		{"model command", false, func() {
			c.set(func(c *fakeControl) {
				p := c.view.Pools["pool"]
				p.ModelVersion = "3"
				c.view.Pools = map[string]bundler.Pool{"pool": p}
			})
		}},
	} {
		if tt.name != "join" {
			await(tt.name, func(s limiter.Status) bool { return !s.Cold && s.Limit == 8 })
		}
		begin, before := time.Now(), e.Stats()
		tt.set()
		cold := await(tt.name, func(s limiter.Status) bool { return s.Cold || tt.name == "join" })
		noticed := e.Stats()
		if tt.isLate {
			time.Sleep(20 * time.Millisecond) // requests admitted before arrive
			before = e.Stats()
		}
		full := await(tt.name, func(s limiter.Status) bool { return s.Limit == 8 && s.InFlight >= 7 })
		s := e.Stats()
		await(tt.name, func(limiter.Status) bool { return !e.Stats().Cold })
		t.Logf("%s: noticed after %v, full concurrency %v later with %d completions and %d cancelled at the engine", tt.name,
			cold.Sub(begin).Round(time.Millisecond), full.Sub(cold).Round(time.Millisecond),
			s.Completions-noticed.Completions, s.Cancelled-noticed.Cancelled)
		if tt.isLate {
			t.Logf("%s: %d requests above what the engine bears before it was noticed", tt.name, before.Overloads)
		}
		assert.Equal(t, e.Stats().Overloads, before.Overloads, tt.name)
	}
	assert.Equal(t, e.Stats().Crashes, 1)
}
