package queuer

import (
	"slices"
	"time"
)

const (
	// priorityClasses is the number of classes that the normalized priorities are divided into.
	priorityClasses = 3

	// Classes is the number of classes by which routers tell each other how many requests wait: by priority, first those
	// that can still be on time.
	Classes = 2 * priorityClasses

	// MaxWaiting bounds the requests that wait at one router for a service.
	MaxWaiting = 256

	// certainFraction is the fraction of the forecast wait after which a request is refused only if even that wait is too
	// long: what the other routers hold is known with a delay.
	certainFraction = 0.7
)

// Ticket is the place of a request in a queue.
type Ticket[T any] struct {
	Priority float64   // from 0 for the highest to 1 for the lowest
	TargetAt time.Time // until which the response is on time; zero if there is no target
	Deadline time.Time
	Value    T
}

// class returns the class of the ticket for a service that takes some time for a request that is sent now.
func (t *Ticket[T]) class(now time.Time, responseTime time.Duration) int {
	class := min(priorityClasses-1, max(0, int(t.Priority*priorityClasses)))
	if !t.TargetAt.IsZero() && now.Add(responseTime).After(t.TargetAt) {
		class += priorityClasses
	}
	return class
}

// IsLate reports whether the requests of a class can't be on time.
func IsLate(class int) bool { return class >= priorityClasses }

// Queue holds the requests that wait at one router for one service; it is not safe for concurrent use.
type Queue[T any] struct {
	// ResponseTime is how long the service takes at present for a request that is sent now.
	ResponseTime time.Duration

	waiting []*Ticket[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Contains reports whether the ticket waits.
func (q *Queue[T]) Contains(t *Ticket[T]) bool { return slices.Contains(q.waiting, t) }

// Join adds a ticket; ok is false if the queue is full.
func (q *Queue[T]) Join(t *Ticket[T]) (ok bool) {
	if len(q.waiting) >= MaxWaiting {
		return false
	}
	q.waiting = append(q.waiting, t)
	return true
}

// Leave removes a ticket.
func (q *Queue[T]) Leave(t *Ticket[T]) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// First returns the ticket to be served next, or nil.
func (q *Queue[T]) First(now time.Time) (first *Ticket[T]) {
	for _, t := range q.waiting {
		if first == nil || q.isBefore(now, t, first) {
			first = t
		}
	}
	return first
}

// Ahead returns the number of tickets to be served before one that waits or may join.
func (q *Queue[T]) Ahead(now time.Time, t *Ticket[T]) (n int) {
	for _, other := range q.waiting {
		if other != t && q.isBefore(now, other, t) {
			n++
		}
	}
	return n
}

// Class returns the class of a ticket at present.
func (q *Queue[T]) Class(now time.Time, t *Ticket[T]) int { return t.class(now, q.ResponseTime) }

// Counts returns the number of waiting requests by class.
func (q *Queue[T]) Counts(now time.Time) (counts [Classes]int) {
	for _, t := range q.waiting {
		counts[q.Class(now, t)]++
	}
	return counts
}

// isBefore orders tickets by class, then by the earlier deadline.
func (q *Queue[T]) isBefore(now time.Time, a, b *Ticket[T]) bool {
	if x, y := q.Class(now, a), q.Class(now, b); x != y {
		return x < y
	}
	return a.Deadline.Before(b.Deadline)
}

// Room is what a service can serve.
type Room struct {
	PerSecond   float64       // requests that end per second while all slots are in use; 0 if unknown
	InFlight    float64       // requests at its endpoints
	Slots       float64       // of its endpoints
	ServiceTime time.Duration // of a request in a slot
}

// IsTooLate reports whether a request can't end by its deadline, with a number of requests ahead of it at all routers.
func (r Room) IsTooLate(now, deadline time.Time, ahead float64) bool {
	if deadline.IsZero() {
		return false
	}
	if now.Add(r.ServiceTime).After(deadline) {
		return true
	}
	if r.PerSecond <= 0 {
		return false
	}
	wait := (ahead + r.InFlight) / r.PerSecond
	return now.Add(time.Duration(min(certainFraction*wait, 3600) * float64(time.Second))).After(deadline)
}
