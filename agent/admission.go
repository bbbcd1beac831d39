package agent

import (
	"context"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/limiter"
)

// timerStep keeps a request that waits behind another one of its workspace from firing the timer at once.
const minTimerDelay = time.Millisecond

// gate runs the limiter for concurrent requests: it wakes the requests that a step admits or refuses.
type admission struct {
	mu            sync.Mutex
	limiter       *limiter.Limiter
	lastID        uint64
	waiters       map[uint64]chan *limiter.Refusal
	timer         *time.Timer
	onChange      func(limiter.Status)
	lastStatus    limiter.Status
	poolMean      float64
	poolEndpoints int
}

func newAdmission(cfg limiter.Config, changed func(limiter.Status)) *admission {
	g := &admission{limiter: limiter.New(cfg), waiters: map[uint64]chan *limiter.Refusal{}, onChange: changed}
	g.timer = time.AfterFunc(time.Hour, func() {
		g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Advance(now) })
	})
	return g
}

// do runs one step of the limiter and hands out what it decided.
func (g *admission) do(step func(l *limiter.Limiter, now time.Time) limiter.Decisions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDecisions(step(g.limiter, time.Now()))
}

func (g *admission) applyDecisions(s limiter.Decisions) {
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
		g.timer.Reset(max(minTimerDelay, time.Until(g.limiter.NextAdvance())))
	}
	if st != g.lastStatus {
		g.lastStatus = st
		g.onChange(st)
	}
}

// admit waits until the request may start; it returns the refusal if it may not.
func (g *admission) admit(ctx context.Context, a limiter.Request) (id uint64, refusal *limiter.Refusal) {
	ch := make(chan *limiter.Refusal, 1)
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		g.lastID++
		a.ID = g.lastID
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

func (g *admission) finish(f limiter.Result) {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Finish(now, f) })
}

func (g *admission) markCold() {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		l.MarkCold()
		return l.Advance(now)
	})
}

func (g *admission) setPoolLoad(mean float64, members int) {
	g.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		if mean == g.poolMean && members == g.poolEndpoints {
			return limiter.Decisions{}
		}
		g.poolMean, g.poolEndpoints = mean, members
		return l.SetPoolLoad(now, mean, members)
	})
}

func (g *admission) hasRoom(hint float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.HasRoom(hint)
}

func (g *admission) status() limiter.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Status()
}

// reasonOf maps the limiter's reasons to those of the protocol.
func protocolReason(r limiter.Reason) relayer.Reason {
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
