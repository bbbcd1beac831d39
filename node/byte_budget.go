package node

import "sync/atomic"

// byteBudget bounds the bytes that all requests buffer together.
type byteBudget struct {
	limit int64 // 0 means none
	used  atomic.Int64
}

// take reserves n bytes; it returns false if they exceed the limit.
func (b *byteBudget) take(n int64) bool {
	if used := b.used.Add(n); b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }
