package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Lease is how long a holder may use a grant, counted from when it sent the report that the grant answers. The
// allocator counts it from the report's arrival, which is later, so a share is never given out twice.
const LeaseDuration = 5 * time.Second

// Demand is what a holder wants and has of one resource.
type Demand struct {
	Resource string `cbor:"1,keyasint"`
	Desired  int    `cbor:"2,keyasint,omitempty"`
	Current  int    `cbor:"3,keyasint,omitempty"`
}

// Report is sent by a holder about once a second.
type Report struct {
	Number uint64 `cbor:"1,keyasint"`
	// Epoch and Grant name the last grant that the holder uses.
	GrantEpoch    uint64   `cbor:"2,keyasint,omitempty"`
	GrantSequence uint64   `cbor:"3,keyasint,omitempty"`
	Demands       []Demand `cbor:"4,keyasint,omitempty"`
}

// Share is a part of one resource.
type Share struct {
	Resource string `cbor:"1,keyasint"`
	Amount   int    `cbor:"2,keyasint"`
}

// Grant answers a report; it replaces the shares of every grant with a lower epoch and sequence.
type Grant struct {
	ReportNumber uint64  `cbor:"1,keyasint"`
	Epoch        uint64  `cbor:"2,keyasint"`
	Sequence     uint64  `cbor:"3,keyasint"`
	Shares       []Share `cbor:"4,keyasint,omitempty"`
	// Keep means that a share must not rise: a new allocator does not know what a former one took away after a
	// delayed report was sent.
	NoIncrease bool `cbor:"5,keyasint,omitempty"`
}

// IsAfter reports whether the grant replaces one with the given epoch and sequence.
func (g *Grant) Supersedes(epoch, sequence uint64) bool {
	return g.Epoch > epoch || (g.Epoch == epoch && g.Sequence > sequence)
}

type sentGrant struct {
	sequence uint64
	expires  time.Time
	shares   map[string]int
}

type holder struct {
	number  uint64
	heard   time.Time
	wanted  map[string]int
	since   map[string]time.Time // when the holder began to want a resource
	pending []sentGrant          // grants that the holder may use now or later
}

// outstanding is the most that the holder may believe it has.
func (h *holder) outstanding(resource string, now time.Time) (n int) {
	for _, g := range h.pending {
		if now.Before(g.expires) {
			n = max(n, g.shares[resource])
		}
	}
	return n
}

// Limits returns the limit of a resource and whether it is given in the order of arrival, which suits permits,
// instead of in proportion to demand.
type LimitFunc func(resource string) (limit int, inOrder bool)

// Allocator runs at one control instance at a time.
type Allocator struct {
	epoch    uint64
	sequence uint64
	// until ends the time in which grants of a former allocator may be in use; before it, holders only keep what
	// they have.
	until   time.Time
	holders map[string]*holder
}

// NewAllocator returns the allocator of an epoch, which must be higher than that of every former allocator. The
// former one must have stopped after at most grace.
func NewAllocator(epoch uint64, now time.Time, grace time.Duration) *Allocator {
	return &Allocator{epoch: epoch, until: now.Add(LeaseDuration + grace), holders: map[string]*holder{}}
}

// Report records a report and returns its grant; ok is false for a report that came late or twice.
func (a *Allocator) HandleReport(name string, r Report, now time.Time, limits LimitFunc) (g Grant, ok bool) {
	a.forget(now)
	h := a.holders[name]
	if h == nil {
		h = &holder{since: map[string]time.Time{}}
		a.holders[name] = h
	} else if r.Number <= h.number && len(h.pending) > 0 {
		return Grant{}, false
	}
	h.number, h.heard, h.wanted = r.Number, now, make(map[string]int, len(r.Demands))
	for _, d := range r.Demands {
		h.wanted[d.Resource] += max(0, d.Desired)
		if d.Desired <= 0 {
			delete(h.since, d.Resource)
		} else if h.since[d.Resource].IsZero() {
			h.since[d.Resource] = now
		}
	}
	maps.DeleteFunc(h.since, func(resource string, _ time.Time) bool { return h.wanted[resource] == 0 })
	if r.GrantEpoch == a.epoch {
		h.pending = slices.DeleteFunc(h.pending, func(g sentGrant) bool { return g.sequence < r.GrantSequence })
	}
	a.sequence++
	sent := sentGrant{sequence: a.sequence, expires: now.Add(LeaseDuration), shares: map[string]int{}}
	g = Grant{ReportNumber: r.Number, Epoch: a.epoch, Sequence: a.sequence, NoIncrease: now.Before(a.until)}
	for _, d := range r.Demands {
		n := a.amount(name, d, now, limits)
		sent.shares[d.Resource] = n
		g.Shares = append(g.Shares, Share{Resource: d.Resource, Amount: n})
	}
	h.pending = append(h.pending, sent)
	return g, true
}

func (a *Allocator) amount(name string, d Demand, now time.Time, limits LimitFunc) int {
	limit, inOrder := limits(d.Resource)
	free := limit
	for other, h := range a.holders {
		if other != name {
			free -= h.outstanding(d.Resource, now)
		}
	}
	n := min(a.target(name, d.Resource, limit, inOrder), max(0, free))
	if now.Before(a.until) {
		n = min(n, max(0, d.Current))
	}
	return n
}

// target is the share that demand gives, before what others still hold is subtracted.
func (a *Allocator) target(name, resource string, limit int, inOrder bool) int {
	names := slices.Sorted(maps.Keys(a.holders))
	if inOrder {
		slices.SortStableFunc(names, func(x, y string) int {
			return cmp.Or(
				a.holders[x].since[resource].Compare(a.holders[y].since[resource]), cmp.Compare(x, y))
		})
	}
	wanted, mine := 0, 0
	for _, n := range names {
		w := a.holders[n].wanted[resource]
		if inOrder {
			given := min(w, limit)
			limit -= given
			if n == name {
				return given
			}
		}
		wanted += w
		if n == name {
			mine = w
		}
	}
	if inOrder || len(names) == 0 {
		return 0
	}
	if wanted <= limit {
		rest := limit - wanted
		i, _ := slices.BinarySearch(names, name)
		return mine + rest*(i+1)/len(names) - rest*i/len(names)
	}
	// Cumulative rounding gives whole shares whose sum is the limit.
	before := 0
	for _, n := range names {
		if n == name {
			break
		}
		before += a.holders[n].wanted[resource]
	}
	return limit*(before+mine)/wanted - limit*before/wanted
}

// forget drops expired grants and holders that no longer report.
func (a *Allocator) forget(now time.Time) {
	for name, h := range a.holders {
		h.pending = slices.DeleteFunc(h.pending, func(g sentGrant) bool { return !now.Before(g.expires) })
		if len(h.pending) == 0 && now.Sub(h.heard) >= LeaseDuration {
			delete(a.holders, name)
		}
	}
}
