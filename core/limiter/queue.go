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

// waiter is a request in the queue.
type waiter struct {
	Request
	class   int
	arrived time.Time
	tag     float64 // virtual start time
	state   waiterState
}

// flow is the queue of one workspace in one class.
type flow struct {
	queue  []*waiter
	finish float64 // virtual finish time of the last request that was queued
}

// class holds start-time fair queues: each request gets a virtual start time, and the lowest starts first.
type class struct {
	flows   map[string]*flow
	virtual float64
	size    int
}

func (c *class) head(fits func(*waiter) bool) (best *waiter) {
	if c.size == 0 {
		return nil
	}
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		w := f.queue[0]
		isEarlier := best == nil || w.tag < best.tag || (w.tag == best.tag && w.ID < best.ID)
		if isEarlier && fits(w) {
			best = w
		}
	}
	return best
}

// giveBack moves the requests behind one that did not start forward, because it has used nothing of the share;
// otherwise a flow whose requests expire would fall further behind with each of them.
func (f *flow) giveBack(gone *waiter) {
	cost := 1 / float64(max(1, gone.Weight))
	for _, w := range f.queue {
		if w.tag > gone.tag {
			w.tag -= cost
		}
	}
	f.finish -= cost
}

func (c *class) drop(name string) {
	if f := c.flows[name]; f != nil && len(f.queue) == 0 {
		delete(c.flows, name)
	}
}

func (l *Limiter) enqueue(now time.Time, a *Request) *waiter {
	w := &waiter{Request: *a, arrived: now}
	if a.Priority == bundler.PriorityBatch {
		w.class = 1
	}
	c := &l.classes[w.class]
	f := c.flows[a.Workspace]
	if f == nil {
		f = &flow{}
		c.flows[a.Workspace] = f
	}
	w.tag = max(c.virtual, f.finish)
	f.finish = w.tag + 1/float64(max(1, a.Weight))
	f.queue = append(f.queue, w)
	c.size++
	l.queued++
	return w
}

func (l *Limiter) remove(w *waiter) {
	c := &l.classes[w.class]
	f := c.flows[w.Workspace]
	for i, other := range f.queue {
		if other == w {
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
	l.classes[w.class].flows[w.Workspace].giveBack(w)
	l.step.Refused = append(l.step.Refused, Refusal{ID: w.ID, Reason: reason, RetryAfter: wait})
}

// bar refuses a request that has just been queued and would wait too long, or to make room.
func (l *Limiter) bar(now time.Time, w *waiter) {
	wait := l.expectedWait(w)
	byBound, _ := l.isBlocked(now, w)
	isOnlyBatch := w.class == 1 && l.classes[1].size == 1
	switch {
	case byBound:
		// The wait ends after BoundWait, whatever the queue.
	case now.Add(wait).After(w.Deadline):
		l.refuse(w, ReasonDeadline, wait)
	case w.class == 1 && !isOnlyBatch && (4*l.classes[1].size > l.cfg.MaxQueued || 2*l.queued > l.cfg.MaxQueued):
		l.refuse(w, ReasonQueueFull, wait) // batch is shed long before interactive requests are
	case l.queued > l.cfg.MaxQueued:
		l.makeRoom(w, wait)
	case wait > l.maxWait(w) && !isOnlyBatch:
		l.refuse(w, l.limitReason(), wait)
	}
}

// makeRoom refuses the last batch request, else the last one of the workspace with the most waiting requests,
// so that a surge fills only its own part of the queue.
func (l *Limiter) makeRoom(w *waiter, wait time.Duration) {
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
	if l.ramp.cold {
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

// expectedWait assumes that the requests with an earlier virtual start take the mean service time.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	ahead := 0
	for _, f := range l.classes[w.class].flows {
		for _, other := range f.queue {
			if other.tag >= w.tag {
				break
			}
			ahead++
		}
	}
	if w.class == 1 {
		ahead += min(l.classes[0].size, int(float64(ahead+1)/batchShare))
	}
	return time.Duration(ahead+1) * l.service / time.Duration(l.limit())
}

func (l *Limiter) until(w *waiter) time.Time {
	at := w.arrived.Add(l.maxWait(w))
	if w.Deadline.Before(at) {
		at = w.Deadline
	}
	if !l.boundSince.IsZero() {
		if t := later(w.arrived, l.boundSince).Add(l.cfg.MaxLoadBoundWait); t.Before(at) {
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

// expire refuses what has waited too long.
func (l *Limiter) expire(now time.Time) {
	if now.Sub(l.report.At) > reportLife {
		l.report, l.starts, l.ends = LoadReport{}, l.starts[:0], l.ends[:0]
	}
	l.noteBound(now)
	if l.queued == 0 {
		return
	}
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for j := 0; j < len(f.queue); {
				w := f.queue[j]
				if now.Before(w.Deadline) && (now.Before(l.until(w)) || l.fits(now, w)) {
					j++
					continue
				}
				l.refuse(w, l.expiryReason(now, w), l.expectedWait(w))
			}
		}
	}
}

func (l *Limiter) expiryReason(now time.Time, w *waiter) Reason {
	byBound, _ := l.isBlocked(now, w)
	switch {
	case !now.Before(w.Deadline):
		return ReasonDeadline
	case byBound:
		return ReasonOverLoadBound
	default:
		return l.limitReason()
	}
}
