package agent

import (
	"context"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/limiter"
)

// timerStep keeps a request that waits behind another one of its workspace from firing the timer at once.
const timerStep = time.Millisecond

// gate runs the limiter for concurrent requests: it wakes the requests that a step admits or refuses.
type gate struct {
	mu       sync.Mutex
	limiter  *limiter.Limiter
	next     uint64
	waiters  map[uint64]chan *limiter.Refusal
	timer    *time.Timer
	changed  func(limiter.Status)
	reported limiter.Status
	mean     float64
	members  int
}

func newGate(cfg limiter.Config, changed func(limiter.Status)) *gate {
	g := &gate{limiter: limiter.New(cfg), waiters: map[uint64]chan *limiter.Refusal{}, changed: changed}
	g.timer = time.AfterFunc(time.Hour, func() {
		g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Advance(now) })
	})
	return g
}

// do runs one step of the limiter and hands out what it decided.
func (g *gate) do(step func(l *limiter.Limiter, now time.Time) limiter.Decisions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(step(g.limiter, time.Now()))
}

func (g *gate) apply(s limiter.Decisions) {
	for _, id := range s.Admitted {
		g.waiters[id] <- nil
		delete(g.waiters, id)
	}
	for _, r := range s.Refused {
		g.waiters[r.ID] <- &r
		delete(g.waiters, r.ID)
	}
	st := g.limiter.Status()
	if st.Queued > 0 {
		g.timer.Reset(max(timerStep, time.Until(g.limiter.NextAdvance())))
	}
	if st != g.reported {
		g.reported = st
		g.changed(st)
	}
}

// admit waits until the request may start; it returns the refusal if it may not.
func (g *gate) admit(ctx context.Context, a limiter.Request) (id uint64, refusal *limiter.Refusal) {
	ch := make(chan *limiter.Refusal, 1)
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		g.next++
		a.ID = g.next
		g.waiters[a.ID] = ch
		return l.Submit(now, a)
	})
	select {
	case r := <-ch:
		return a.ID, r
	case <-ctx.Done():
	}
	g.mu.Lock()
	isQueued := g.limiter.Cancel(a.ID)
	delete(g.waiters, a.ID)
	g.mu.Unlock()
	if !isQueued {
		if r := <-ch; r != nil {
			return a.ID, r
		}
		g.finish(limiter.Result{ID: a.ID, Outcome: limiter.OutcomeCancelled})
	}
	return a.ID, &limiter.Refusal{ID: a.ID, Reason: limiter.ReasonDeadline}
}

func (g *gate) finish(f limiter.Result) {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Finish(now, f) })
}

func (g *gate) cool() {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		l.MarkCold()
		return l.Advance(now)
	})
}

func (g *gate) setPool(mean float64, members int) {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		if mean == g.mean && members == g.members {
			return limiter.Decisions{}
		}
		g.mean, g.members = mean, members
		return l.SetPoolLoad(now, mean, members)
	})
}

func (g *gate) hasRoom(hint float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.HasRoom(hint)
}

func (g *gate) status() limiter.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Status()
}

// reasonOf maps the limiter's reasons to those of the protocol.
func reasonOf(r limiter.Reason) relayer.Reason {
	switch r {
	case limiter.ReasonOverLoadBound:
		return relayer.ReasonOverLoadBound
	case limiter.ReasonColdLimit:
		return relayer.ReasonColdLimit
	case limiter.ReasonDeadline:
		return relayer.ReasonDeadline
	case limiter.ReasonQueueTime, limiter.ReasonQueueFull:
		return relayer.ReasonQueueTime
	default:
		return relayer.ReasonQueueTime
	}
}
