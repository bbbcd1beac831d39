package subscriber

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/allocator"
)

// permitResource is the resource name of the load permits; the zero byte excludes a workspace of the same name.
const permitResource = "\x00loadPermit"

// IsLoadPermit reports whether a resource stands for the load permits instead of a workspace.
func IsLoadPermit(resource string) bool { return resource == permitResource }

// shareHolder stores the demand and the leased shares of one client.
type shareHolder struct {
	mu             sync.Mutex
	desired        map[string]int
	desiredPermits int
	shares         map[string]int
	expires        time.Time
	grantEpoch     uint64
	grantSequence  uint64
	lastReport     uint64
	reportsSent    map[uint64]time.Time
	granted        chan struct{}
	reportNow      chan struct{} // triggers a report before the next interval
}

func newShareHolder() *shareHolder {
	return &shareHolder{
		desired: map[string]int{}, shares: map[string]int{}, reportsSent: map[uint64]time.Time{},
		granted: make(chan struct{}), reportNow: make(chan struct{}, 1),
	}
}

func (h *shareHolder) setDemand(list []Demand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.desired
	h.desired = make(map[string]int, len(list))
	for _, d := range list {
		h.desired[d.Workspace] = d.Desired
		if d.Desired > 0 && old[d.Workspace] == 0 {
			h.requestReport()
		}
	}
}

func (h *shareHolder) requestReport() {
	select {
	case h.reportNow <- struct{}{}:
	default:
	}
}

func (h *shareHolder) addDesiredPermits(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.desiredPermits += n
	h.requestReport()
}

func (h *shareHolder) share(resource string, now time.Time) (n int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.expires) {
		return 0, false
	}
	n, ok = h.shares[resource]
	return n, ok
}

// nextReport returns the next report, or ok=false without demand and without shares to release. It lists the maxDemands
// largest demands, which bounds its size.
func (h *shareHolder) nextReport(now time.Time) (r allocator.Report, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	valid := now.Before(h.expires)
	for w, n := range h.desired {
		r.Demands = append(r.Demands, allocator.Demand{Resource: w, Desired: n})
	}
	if h.desiredPermits > 0 {
		r.Demands = append(r.Demands, allocator.Demand{Resource: permitResource, Desired: h.desiredPermits})
	}
	slices.SortFunc(r.Demands, func(x, y allocator.Demand) int {
		return cmp.Or(cmp.Compare(y.Desired, x.Desired), cmp.Compare(x.Resource, y.Resource))
	})
	r.Demands = r.Demands[:min(len(r.Demands), maxDemands)]
	hasShares := false
	for i := range r.Demands {
		if valid {
			r.Demands[i].Current = h.shares[r.Demands[i].Resource]
		}
	}
	for _, n := range h.shares {
		hasShares = hasShares || (valid && n > 0)
	}
	if len(r.Demands) == 0 && !hasShares {
		return r, false
	}
	h.lastReport++
	r.Number, r.GrantEpoch, r.GrantSequence = h.lastReport, h.grantEpoch, h.grantSequence
	h.reportsSent[r.Number] = now
	for n, at := range h.reportsSent {
		if now.Sub(at) >= allocator.LeaseDuration {
			delete(h.reportsSent, n)
		}
	}
	return r, true
}

func (h *shareHolder) applyGrant(g allocator.Grant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sentAt, ok := h.reportsSent[g.ReportNumber]
	if !ok || !g.Supersedes(h.grantEpoch, h.grantSequence) {
		return
	}
	valid := now.Before(h.expires)
	shares := make(map[string]int, len(g.Shares))
	for _, s := range g.Shares {
		n := s.Amount
		if g.NoIncrease {
			current := 0
			if valid {
				current = h.shares[s.Resource]
			}
			n = min(n, current)
		}
		shares[s.Resource] = n
	}
	h.grantEpoch, h.grantSequence, h.shares, h.expires = g.Epoch, g.Sequence, shares, sentAt.Add(allocator.LeaseDuration)
	close(h.granted)
	h.granted = make(chan struct{})
}

// hasPermits reports whether all desired permits are granted, and returns a channel that the next grant closes.
func (h *shareHolder) hasPermits(now time.Time) (ok bool, granted <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.expires) && h.shares[permitResource] >= h.desiredPermits, h.granted
}
