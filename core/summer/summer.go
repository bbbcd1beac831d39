package summer

import (
	"math"
	"strings"
	"time"
)

const (
	// quantum is the smallest difference between two values that the other routers see.
	quantum = 1.0 / 8

	// MaxKeys bounds the keys that one process publishes.
	MaxKeys = 4096

	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 200

	// MaxCount bounds a value in quanta, so that the sum of many does not overflow.
	MaxCount = 1 << 40
)

// Sums holds values in quanta by key.
type Sums map[string]uint64

// Add adds other values.
func (s Sums) Add(other Sums) {
	for key, n := range other {
		s[key] = min(MaxCount, s[key]+min(MaxCount, n))
	}
}

// Ledger holds the values of one router and the totals of all; it is not safe for concurrent use.
type Ledger struct {
	own       map[string]float64
	published Sums
	total     Sums
	totalAt   time.Time
}

// Set sets this router's value of a key; values that are not positive remove it.
func (l *Ledger) Set(key string, value float64) {
	if !(value > 0) || len(key) > MaxKeyBytes {
		delete(l.own, key)
		return
	}
	if l.own == nil {
		l.own = map[string]float64{}
	}
	if _, known := l.own[key]; known || len(l.own) < MaxKeys {
		l.own[key] = value
	}
}

// Clear removes this router's values.
func (l *Ledger) Clear() { clear(l.own) }

// Own returns this router's value of a key.
func (l *Ledger) Own(key string) float64 { return l.own[key] }

// Publish returns this router's values, which the next total is expected to include; nil if there are none and there
// were none before.
func (l *Ledger) Publish() Sums {
	if len(l.own) == 0 && len(l.published) == 0 {
		return nil
	}
	l.published = make(Sums, len(l.own))
	for key, value := range l.own {
		if n := uint64(math.Round(min(value/quantum, MaxCount))); n > 0 {
			l.published[key] = n
		}
	}
	return l.published
}

// SetTotal sets the sums over all routers; they include the last result of Publish.
func (l *Ledger) SetTotal(now time.Time, total Sums) { l.total, l.totalAt = total, now }

// Others returns the sum of the other routers' values of a key.
func (l *Ledger) Others(key string) float64 {
	n, own := l.total[key], l.published[key]
	if n <= own {
		return 0
	}
	return float64(n-own) * quantum
}

// EachOther calls visit with the other routers' values of the keys with a prefix.
func (l *Ledger) EachOther(prefix string, visit func(key string, value float64)) {
	for key := range l.total {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if value := l.Others(key); value > 0 {
			visit(key, value)
		}
	}
}

// Total returns the sum of this router's present value and the last known values of the others.
func (l *Ledger) Total(key string) float64 { return l.own[key] + l.Others(key) }

// Keys returns the keys with the prefix in the last total.
func (l *Ledger) Keys(prefix string) (keys []string) {
	for key := range l.total {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Age returns the time since totals were received; ok is false if none were.
func (l *Ledger) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(l.totalAt), !l.totalAt.IsZero()
}
