package server

import "sync/atomic"

const (
	// ordinaryBytes is what one holder may have of the part of a budget that is kept for ordinary callers.
	ordinaryBytes = 16 << 10

	// reserveDivisor is the part of a budget that is kept for ordinary callers.
	reserveDivisor = 4
)

// Budget bounds bytes that are held at the same time. The zero value has no limit.
type Budget struct {
	Limit int64   // 0 means none
	Whole *Budget // that this one is a part of; nil means none
	// OnRefused is called when bytes don't fit; it may be nil.
	OnRefused func()

	used atomic.Int64
}

// Take reserves n bytes for a holder that has total bytes with them, and reports whether they fit. A holder above
// ordinaryBytes must leave free what it has and the reserve, so that the largest holders are refused first.
func (b *Budget) Take(n, total int64) bool {
	limit := b.Limit
	if total > ordinaryBytes {
		limit -= limit/reserveDivisor + total
	}
	isFull := b.used.Add(n) > limit && b.Limit > 0
	if isFull || b.Whole != nil && !b.Whole.Take(n, total) {
		b.used.Add(-n)
		if b.OnRefused != nil {
			b.OnRefused()
		}
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
	if b.Whole != nil {
		b.Whole.Release(n)
	}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is what one holder has of a budget; it is not safe for concurrent use.
type Reservation struct {
	Budget *Budget
	held   int64 // bytes
}

// Take reserves n more bytes and reports whether they fit.
func (r *Reservation) Take(n int64) bool {
	if !r.Budget.Take(n, r.held+n) {
		return false
	}
	r.held += n
	return true
}

// Release returns all that is reserved.
func (r *Reservation) Release() {
	r.Budget.Release(r.held)
	r.held = 0
}
