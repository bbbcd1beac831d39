package exchanger

import (
	"sync"
	"time"
)

// mergeFactor is how long a merged value is used relative to the time that the merge took, which bounds the part of the
// time that merges take, and maxMergedAge its bound.
const (
	mergeFactor  = 32
	maxMergedAge = 50 * time.Millisecond
)

// shared is a value merged from those of many, for as many that ask for it; the zero value is ready for use. Without
// it, the work of an instance for its subscribers grows with the square of their number.
type shared[T any] struct {
	mu    sync.Mutex
	value T
	until time.Time
}

// get returns the value, which the callers share and must not change. It is merged anew if it is old.
func (s *shared[T]) get(merge func() T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := time.Now()
	if start.Before(s.until) {
		return s.value
	}
	s.value = merge()
	end := time.Now()
	s.until = end.Add(min(maxMergedAge, mergeFactor*end.Sub(start)))
	return s.value
}

// Totals are the sums that an instance sends: those of all routers to routers, and those of itself and its own routers
// to other instances.
type Totals[T any] struct{ ofAll, ofOwn shared[T] }

// Get returns a total, which the callers share and must not change.
func (t *Totals[T]) Get(isOwn bool, merge func(isOwn bool) T) T {
	s := &t.ofAll
	if isOwn {
		s = &t.ofOwn
	}
	return s.get(func() T { return merge(isOwn) })
}
