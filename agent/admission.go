package agent

import (
	"context"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/limiter"
)

// minTimerDelay avoids a busy loop while a request that is due is queued behind another one of its workspace.
const minTimerDelay = time.Millisecond

// admission makes the limiter safe for concurrent use and wakes the requests that a call admits or refuses.
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

func newAdmission(cfg limiter.Config, onChange func(limiter.Status)) *admission {
	a := &admission{limiter: limiter.New(cfg), waiters: map[uint64]chan *limiter.Refusal{}, onChange: onChange}
	a.timer = time.AfterFunc(time.Hour, func() {
		a.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Advance(now) })
	})
	return a
}

// do calls the limiter and applies its decisions.
func (a *admission) do(call func(l *limiter.Limiter, now time.Time) limiter.Decisions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyDecisions(call(a.limiter, time.Now()))
}

func (a *admission) applyDecisions(d limiter.Decisions) {
	for _, id := range d.Admitted {
		a.waiters[id] <- nil
		delete(a.waiters, id)
	}
	for _, r := range d.Refused {
		a.waiters[r.ID] <- &r
		delete(a.waiters, r.ID)
	}
	status := a.limiter.Status()
	if status.Queued > 0 {
		a.timer.Reset(max(minTimerDelay, time.Until(a.limiter.NextAdvance())))
	}
	if status != a.lastStatus {
		a.lastStatus = status
		a.onChange(status)
	}
}

// admit waits until the request is admitted or refused; refusal is nil if it is admitted.
func (a *admission) admit(ctx context.Context, req limiter.Request) (id uint64, refusal *limiter.Refusal) {
	ch := make(chan *limiter.Refusal, 1)
	a.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		a.lastID++
		req.ID = a.lastID
		a.waiters[req.ID] = ch
		return l.Submit(now, req)
	})
	select {
	case r := <-ch:
		return req.ID, r
	case <-ctx.Done():
	}
	a.mu.Lock()
	isQueued := a.limiter.Cancel(req.ID)
	delete(a.waiters, req.ID)
	a.mu.Unlock()
	if !isQueued {
		if r := <-ch; r != nil {
			return req.ID, r
		}
		a.finish(limiter.Result{ID: req.ID, Outcome: limiter.OutcomeCancelled})
	}
	return req.ID, &limiter.Refusal{ID: req.ID, Reason: limiter.ReasonDeadline}
}

func (a *admission) finish(result limiter.Result) {
	a.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions { return l.Finish(now, result) })
}

func (a *admission) markCold() {
	a.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		l.MarkCold()
		return l.Advance(now)
	})
}

func (a *admission) setPoolLoad(mean float64, endpoints int) {
	a.do(func(l *limiter.Limiter, now time.Time) limiter.Decisions {
		if mean == a.poolMean && endpoints == a.poolEndpoints {
			return limiter.Decisions{}
		}
		a.poolMean, a.poolEndpoints = mean, endpoints
		return l.SetPoolLoad(now, mean, endpoints)
	})
}

func (a *admission) hasRoom(hint float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.HasRoom(hint)
}

func (a *admission) status() limiter.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Status()
}

// protocolReason maps a reason of the limiter to a reason of the relay protocol.
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
