package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LeaseDuration is how long a holder may use a grant, counted from when it sent the report for the grant. The
// allocator counts from when it received the report, which is later, so a share is never granted twice.
const LeaseDuration = 5 * time.Second

// maxDesired is above any sound demand. It keeps products of the limit, which has 31 bits, and the sum of the demands
// of a thousand holders within 63 bits.
const maxDesired = 1 << 20

// Demand is the desired and the current share of one resource.
type Demand struct {
	Resource string `cbor:"1,keyasint"`
	Desired  int    `cbor:"2,keyasint,omitempty"`
	Current  int    `cbor:"3,keyasint,omitempty"`
}

// Report lists the demands of a holder, which sends one about once a second.
type Report struct {
	Number uint64 `cbor:"1,keyasint"`
	// GrantEpoch and GrantSequence identify the grant in use.
	GrantEpoch    uint64   `cbor:"2,keyasint,omitempty"`
	GrantSequence uint64   `cbor:"3,keyasint,omitempty"`
	Demands       []Demand `cbor:"4,keyasint,omitempty"`
}

// Share is the amount of one resource that is granted.
type Share struct {
	Resource string `cbor:"1,keyasint"`
	Amount   int    `cbor:"2,keyasint"`
}

// Grant is the response to a report; it supersedes all grants with a lower epoch and sequence.
type Grant struct {
	ReportNumber uint64  `cbor:"1,keyasint"`
	Epoch        uint64  `cbor:"2,keyasint"`
	Sequence     uint64  `cbor:"3,keyasint"`
	Shares       []Share `cbor:"4,keyasint,omitempty"`
	// NoIncrease means that a share must not rise, because a new allocator does not know which shares its predecessor
	// reduced after a delayed report was sent.
	NoIncrease bool `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether the grant replaces the one with the given epoch and sequence.
func (g *Grant) Supersedes(epoch, sequence uint64) bool {
	return g.Epoch > epoch || (g.Epoch == epoch && g.Sequence > sequence)
}

type sentGrant struct {
	sequence uint64
	expires  time.Time
	shares   map[string]int
}

type holder struct {
	reportNumber uint64
	lastReport   time.Time
	desired      map[string]int
	desiredSince map[string]time.Time // since when the desired share is above 0
	pending      []sentGrant          // unexpired grants that the holder may use now or later
}

// outstanding returns the largest share that the holder may be using.
func (h *holder) outstanding(resource string, now time.Time) (n int) {
	for _, g := range h.pending {
		if now.Before(g.expires) {
			n = max(n, g.shares[resource])
		}
	}
	return n
}

// LimitFunc returns the limit of a resource and whether it is allocated first come, first served, as for permits,
// instead of in proportion to demand.
type LimitFunc func(resource string) (limit int, isFIFO bool)

// Allocator grants shares of resources to holders; only one control instance at a time runs one.
type Allocator struct {
	epoch    uint64
	sequence uint64
	// noIncreaseUntil is when all grants of a former allocator have expired; until then, no share is increased.
	noIncreaseUntil time.Time
	holders         map[string]*holder
}

// NewAllocator returns the allocator of an epoch, which must be higher than that of every former allocator. The
// former one must have stopped after at most grace.
func NewAllocator(epoch uint64, now time.Time, grace time.Duration) *Allocator {
	return &Allocator{epoch: epoch, noIncreaseUntil: now.Add(LeaseDuration + grace), holders: map[string]*holder{}}
}

// HandleReport records a report and returns its grant; ok is false for a late or duplicate report.
func (a *Allocator) HandleReport(name string, r Report, now time.Time, limitOf LimitFunc) (g Grant, ok bool) {
	a.expire(now)
	h := a.holders[name]
	if h == nil {
		h = &holder{desiredSince: map[string]time.Time{}}
		a.holders[name] = h
	} else if r.Number <= h.reportNumber && len(h.pending) > 0 {
		return Grant{}, false
	}
	h.reportNumber, h.lastReport, h.desired = r.Number, now, make(map[string]int, len(r.Demands))
	for _, d := range r.Demands {
		h.desired[d.Resource] = min(maxDesired, h.desired[d.Resource]+min(maxDesired, max(0, d.Desired)))
		if d.Desired <= 0 {
			delete(h.desiredSince, d.Resource)
		} else if h.desiredSince[d.Resource].IsZero() {
			h.desiredSince[d.Resource] = now
		}
	}
	maps.DeleteFunc(h.desiredSince, func(resource string, _ time.Time) bool { return h.desired[resource] == 0 })
	if r.GrantEpoch == a.epoch {
		h.pending = slices.DeleteFunc(h.pending, func(g sentGrant) bool { return g.sequence < r.GrantSequence })
	}
	a.sequence++
	sent := sentGrant{sequence: a.sequence, expires: now.Add(LeaseDuration), shares: map[string]int{}}
	g = Grant{ReportNumber: r.Number, Epoch: a.epoch, Sequence: a.sequence, NoIncrease: now.Before(a.noIncreaseUntil)}
	for _, d := range r.Demands {
		n := a.shareOf(name, d, now, limitOf)
		sent.shares[d.Resource] = n
		g.Shares = append(g.Shares, Share{Resource: d.Resource, Amount: n})
	}
	h.pending = append(h.pending, sent)
	return g, true
}

func (a *Allocator) shareOf(name string, d Demand, now time.Time, limitOf LimitFunc) int {
	limit, isFIFO := limitOf(d.Resource)
	free := limit
	for otherName, h := range a.holders {
		if otherName != name {
			free -= h.outstanding(d.Resource, now)
		}
	}
	n := min(a.targetShare(name, d.Resource, limit, isFIFO), max(0, free))
	if now.Before(a.noIncreaseUntil) {
		n = min(n, max(0, d.Current))
	}
	return n
}

// targetShare returns the share according to demand, regardless of the outstanding shares of other holders.
func (a *Allocator) targetShare(name, resource string, limit int, isFIFO bool) int {
	names := slices.Sorted(maps.Keys(a.holders))
	if isFIFO {
		slices.SortStableFunc(names, func(x, y string) int {
			return cmp.Or(
				a.holders[x].desiredSince[resource].Compare(a.holders[y].desiredSince[resource]), cmp.Compare(x, y))
		})
	}
	total, own := 0, 0
	for _, n := range names {
		desired := a.holders[n].desired[resource]
		if isFIFO {
			share := min(desired, limit)
			limit -= share
			if n == name {
				return share
			}
		}
		total += desired
		if n == name {
			own = desired
		}
	}
	if isFIFO || len(names) == 0 {
		return 0
	}
	if total <= limit {
		spare := limit - total
		i, _ := slices.BinarySearch(names, name)
		return own + spare*(i+1)/len(names) - spare*i/len(names)
	}
	// Cumulative rounding yields integer shares whose sum is the limit.
	before := 0
	for _, n := range names {
		if n == name {
			break
		}
		before += a.holders[n].desired[resource]
	}
	return limit*(before+own)/total - limit*before/total
}

// expire removes expired grants and holders that no longer report.
func (a *Allocator) expire(now time.Time) {
	for name, h := range a.holders {
		h.pending = slices.DeleteFunc(h.pending, func(g sentGrant) bool { return !now.Before(g.expires) })
		if len(h.pending) == 0 && now.Sub(h.lastReport) >= LeaseDuration {
			delete(a.holders, name)
		}
	}
}
