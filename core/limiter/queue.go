package limiter

import (
	"time"

	"cactusroute.dev/core/bundler"
)

type waiterState uint8

const (
	waiting waiterState = iota
	admitted
	refused
)

// waiter is a queued request.
type waiter struct {
	Request
	class        int
	arrived      time.Time
	virtualStart float64
	state        waiterState
}

// flow is the queue of one workspace in one class.
type flow struct {
	queue         []*waiter
	virtualFinish float64 // of the last queued request
}

// class is a priority class with start-time fair queueing: the request with the lowest virtual start time starts first.
type class struct {
	flows       map[string]*flow
	virtualTime float64
	size        int
}

func (c *class) earliest(canStart func(*waiter) bool) (best *waiter) {
	if c.size == 0 {
		return nil
	}
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		w := f.queue[0]
		isEarlier := best == nil || w.virtualStart < best.virtualStart ||
			(w.virtualStart == best.virtualStart && w.ID < best.ID)
		if isEarlier && canStart(w) {
			best = w
		}
	}
	return best
}

// refund moves the requests behind a removed one forward, because it did not start and so used none of the share.
// Otherwise each expired request would delay the flow further.
func (f *flow) refund(removed *waiter) {
	cost := 1 / float64(max(1, removed.Weight))
	for _, w := range f.queue {
		if w.virtualStart > removed.virtualStart {
			w.virtualStart -= cost
		}
	}
	f.virtualFinish -= cost
}

func (c *class) removeEmptyFlow(name string) {
	if f := c.flows[name]; f != nil && len(f.queue) == 0 {
		delete(c.flows, name)
	}
}

func (l *Limiter) enqueue(now time.Time, r *Request) *waiter {
	w := &waiter{Request: *r, arrived: now}
	if r.Priority == bundler.PriorityBatch {
		w.class = 1
	}
	c := &l.classes[w.class]
	f := c.flows[r.Workspace]
	if f == nil {
		f = &flow{}
		c.flows[r.Workspace] = f
	}
	w.virtualStart = max(c.virtualTime, f.virtualFinish)
	f.virtualFinish = w.virtualStart + 1/float64(max(1, r.Weight))
	f.queue = append(f.queue, w)
	c.size++
	l.queued++
	return w
}

func (l *Limiter) remove(w *waiter) {
	c := &l.classes[w.class]
	f := c.flows[w.Workspace]
	for i, queued := range f.queue {
		if queued == w {
			copy(f.queue[i:], f.queue[i+1:])
			f.queue[len(f.queue)-1] = nil
			f.queue = f.queue[:len(f.queue)-1]
			c.size--
			l.queued--
			return
		}
	}
}

func (l *Limiter) refuse(w *waiter, reason Reason, wait time.Duration) {
	l.remove(w)
	w.state = refused
	l.classes[w.class].flows[w.Workspace].refund(w)
	l.decisions.Refused = append(l.decisions.Refused, Refusal{ID: w.ID, Reason: reason, RetryAfter: wait})
}

// enforceQueueLimits refuses the newly queued request if it would wait too long, and sheds one if the queue is full.
func (l *Limiter) enforceQueueLimits(now time.Time, w *waiter) {
	wait := l.expectedWait(w)
	byLoadBound, _ := l.isBlocked(now, w)
	isOnlyBatch := w.class == 1 && l.classes[1].size == 1
	switch {
	case byLoadBound:
		// The wait ends after MaxLoadBoundWait, whatever the queue length.
	case now.Add(wait).After(w.Deadline):
		l.refuse(w, ReasonDeadline, wait)
	case w.class == 1 && !isOnlyBatch && (4*l.classes[1].size > l.cfg.MaxQueued || 2*l.queued > l.cfg.MaxQueued):
		l.refuse(w, ReasonQueueFull, wait) // batch requests are refused long before interactive ones
	case l.queued > l.cfg.MaxQueued:
		l.shed(w, wait)
	case wait > l.maxWait(w) && !isOnlyBatch:
		l.refuse(w, l.limitReason(), wait)
	}
}

// shed refuses the last request of the workspace with the most queued requests, batch before interactive, so that a
// surge of one workspace fills only its own part of the queue.
func (l *Limiter) shed(w *waiter, wait time.Duration) {
	victim := w
	for i := len(l.classes) - 1; i >= w.class; i-- {
		longest := 0
		for _, f := range l.classes[i].flows {
			if n := len(f.queue); n > longest {
				last := f.queue[n-1]
				longest, victim = n, last
			}
		}
		if longest > 0 {
			break
		}
	}
	l.refuse(victim, ReasonQueueFull, wait)
}

func (l *Limiter) limitReason() Reason {
	if l.concurrency.cold {
		return ReasonColdLimit
	}
	return ReasonQueueTime
}

func (l *Limiter) maxWait(w *waiter) time.Duration {
	if w.class == 1 {
		return l.cfg.MaxBatchWait
	}
	return l.cfg.MaxWait
}

// expectedWait assumes that each request with an earlier virtual start takes the mean service time.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	ahead := 0
	for _, f := range l.classes[w.class].flows {
		for _, queued := range f.queue {
			if queued.virtualStart >= w.virtualStart {
				break
			}
			ahead++
		}
	}
	if w.class == 1 {
		ahead += min(l.classes[0].size, int(float64(ahead+1)/batchShare))
	}
	return time.Duration(ahead+1) * l.serviceTime / time.Duration(l.limit())
}

func (l *Limiter) waitDeadline(w *waiter) time.Time {
	at := w.arrived.Add(l.maxWait(w))
	if w.Deadline.Before(at) {
		at = w.Deadline
	}
	if !l.atLoadBoundSince.IsZero() {
		if t := later(w.arrived, l.atLoadBoundSince).Add(l.cfg.MaxLoadBoundWait); t.Before(at) {
			at = t
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire drops an outdated load report and refuses queued requests whose wait has expired.
func (l *Limiter) expire(now time.Time) {
	if now.Sub(l.loadReport.At) > loadReportTTL {
		l.loadReport, l.startTimes, l.endTimes = LoadReport{}, l.startTimes[:0], l.endTimes[:0]
	}
	l.updateLoadBoundState(now)
	if l.queued == 0 {
		return
	}
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for j := 0; j < len(f.queue); {
				w := f.queue[j]
				if now.Before(w.Deadline) && (now.Before(l.waitDeadline(w)) || l.canStart(now, w)) {
					j++
					continue
				}
				l.refuse(w, l.expiryReason(now, w), l.expectedWait(w))
			}
		}
	}
}

func (l *Limiter) expiryReason(now time.Time, w *waiter) Reason {
	byLoadBound, _ := l.isBlocked(now, w)
	switch {
	case !now.Before(w.Deadline):
		return ReasonDeadline
	case byLoadBound:
		return ReasonOverLoadBound
	default:
		return l.limitReason()
	}
}
