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

// runColdLoad runs closed-loop clients against an agent until the test ends, and cancels every third request early.
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
				timeout := 3 * time.Second
				if n%3 == 2 {
					timeout = time.Duration(10+10*(n%7)) * time.Millisecond // may expire in the queue or at the engine
				}
				req.Deadline = time.Now().Add(3 * time.Second)
				attemptCtx, cancel := context.WithTimeout(ctx, timeout)
				if _, err := a.handle(attemptCtx, &req, &responseRecorder{}); err != nil {
					time.Sleep(2 * time.Millisecond)
				}
				cancel()
			}
		})
	}
}

var coldRequest = chatRequest("cold")

// Guards against overloading a cold engine under full load, with cancellations and delayed load reports: when it joins,
// restarts after a crash, clears its cache, and loads another model version. The agent learns of a cleared cache from a
// delayed event, so overloads count only from then on. The test logs the duration of slow start.
func TestColdStartUnderFullLoad(t *testing.T) {
	e := newEngine(fakeengine.Config{
		Tokens: 5, TokenGap: 2 * time.Millisecond, ColdCompletions: 40, ColdFactor: 2, LoadLag: 300 * time.Millisecond,
		RestartTime: 100 * time.Millisecond, LoadTime: 100 * time.Millisecond, EventDelay: 100 * time.Millisecond,
	})
	a, c := startAgent(t, modelPool, e)
	runColdLoad(t, a, 24)
	await := func(name string, isDone func(s limiter.Status) bool) time.Time {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s := a.admission.status(); !isDone(s) {
				return poll.Continue("%s: %+v", name, s)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
		return time.Now()
	}
	for _, tt := range []struct {
		name           string
		isEventDelayed bool
		set            func()
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
		coldAt := await(tt.name, func(s limiter.Status) bool { return s.Cold || tt.name == "join" })
		statsWhenCold := e.Stats()
		if tt.isEventDelayed {
			time.Sleep(20 * time.Millisecond) // requests admitted before the event reach the engine
			before = e.Stats()
		}
		fullAt := await(tt.name, func(s limiter.Status) bool { return s.Limit == 8 && s.InFlight >= 7 })
		s := e.Stats()
		await(tt.name, func(limiter.Status) bool { return !e.Stats().Cold })
		t.Logf("%s: cold after %v, full concurrency %v later with %d completions and %d cancelled at the engine", tt.name,
			coldAt.Sub(begin).Round(time.Millisecond), fullAt.Sub(coldAt).Round(time.Millisecond),
			s.Completions-statsWhenCold.Completions, s.Cancelled-statsWhenCold.Cancelled)
		if tt.isEventDelayed {
			t.Logf("%s: %d overloads of the engine before the agent marked it cold", tt.name, before.Overloads)
		}
		assert.Equal(t, e.Stats().Overloads, before.Overloads, tt.name)
	}
	assert.Equal(t, e.Stats().Crashes, 1)
}
