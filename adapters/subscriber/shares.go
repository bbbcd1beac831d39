package subscriber

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/sharer"
)

// permitResource is the resource whose shares are permits to read from the rate-limited weight store.
const permitResource = "\x00loadPermit"

// IsPermit reports whether a resource is the load permits and not a workspace.
func IsLoadPermit(resource string) bool { return resource == permitResource }

// shareBook holds the leased shares of one client.
type shareBook struct {
	mu      sync.Mutex
	wanted  map[string]int
	permits int
	shares  map[string]int
	expires time.Time
	epoch   uint64
	grant   uint64
	number  uint64
	sent    map[uint64]time.Time
	changed chan struct{}
	wake    chan struct{} // a demand that should not wait for the next regular report
}

func newShareBook() *shareBook {
	return &shareBook{
		wanted: map[string]int{}, shares: map[string]int{}, sent: map[uint64]time.Time{}, changed: make(chan struct{}),
		wake: make(chan struct{}, 1),
	}
}

func (b *shareBook) setDemand(list []Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.wanted
	b.wanted = make(map[string]int, len(list))
	for _, d := range list {
		b.wanted[d.Workspace] = d.Desired
		if d.Desired > 0 && old[d.Workspace] == 0 {
			b.hurry()
		}
	}
}

func (b *shareBook) hurry() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *shareBook) addPermit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.permits += n
	b.hurry()
}

func (b *shareBook) share(resource string, now time.Time) (n int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.expires) {
		return 0, false
	}
	n, ok = b.shares[resource]
	return n, ok
}

// report returns the next report, or ok=false if there is nothing to ask for or to give back. Only the largest
// demands are named, because a report has to stay small.
func (b *shareBook) report(now time.Time) (r sharer.Report, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	alive := now.Before(b.expires)
	for w, n := range b.wanted {
		r.Demands = append(r.Demands, sharer.Demand{Resource: w, Desired: n})
	}
	if b.permits > 0 {
		r.Demands = append(r.Demands, sharer.Demand{Resource: permitResource, Desired: b.permits})
	}
	slices.SortFunc(r.Demands, func(x, y sharer.Demand) int {
		return cmp.Or(cmp.Compare(y.Desired, x.Desired), cmp.Compare(x.Resource, y.Resource))
	})
	r.Demands = r.Demands[:min(len(r.Demands), maxDemands)]
	held := false
	for i := range r.Demands {
		if alive {
			r.Demands[i].Current = b.shares[r.Demands[i].Resource]
		}
	}
	for _, n := range b.shares {
		held = held || (alive && n > 0)
	}
	if len(r.Demands) == 0 && !held {
		return r, false
	}
	b.number++
	r.Number, r.GrantEpoch, r.GrantSequence = b.number, b.epoch, b.grant
	b.sent[r.Number] = now
	for n, at := range b.sent {
		if now.Sub(at) >= sharer.LeaseDuration {
			delete(b.sent, n)
		}
	}
	return r, true
}

func (b *shareBook) apply(g sharer.Grant, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent, ok := b.sent[g.ReportNumber]
	if !ok || !g.Supersedes(b.epoch, b.grant) {
		return
	}
	alive := now.Before(b.expires)
	shares := make(map[string]int, len(g.Shares))
	for _, s := range g.Shares {
		n := s.Amount
		if g.NoIncrease {
			held := 0
			if alive {
				held = b.shares[s.Resource]
			}
			n = min(n, held)
		}
		shares[s.Resource] = n
	}
	b.epoch, b.grant, b.shares, b.expires = g.Epoch, g.Sequence, shares, sent.Add(sharer.LeaseDuration)
	close(b.changed)
	b.changed = make(chan struct{})
}

// permitted reports whether all wanted permits are held, and returns a channel that is closed by the next grant.
func (b *shareBook) permitted(now time.Time) (ok bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.expires) && b.shares[permitResource] >= b.permits, b.changed
}
