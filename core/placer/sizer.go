package placer

import (
	"math"
	"time"
)

const (
	// loadHalfLife smooths the load, so that a burst of a few seconds does not move chats.
	loadHalfLife = 60 * time.Second
	// overprovisionFactor is the size of a subset relative to the workspace's share of the load, because subsets of
	// different workspaces overlap. A smaller one makes chats overflow; a larger one copies shared prefixes to more
	// endpoints, where they evict chats.
	overprovisionFactor = 2
	// minSubsetSize leaves a second endpoint that caches the shared prefix when the first one fails.
	minSubsetSize = 2
	// shrinkThreshold is the fraction of its size below which a subset shrinks. Without this hysteresis a share near
	// a size step would move the same chats back and forth.
	shrinkThreshold = 0.7
)

// Sizer estimates the share of each workspace in the load of a pool and sizes the workspaces' subsets.
type Sizer struct {
	total      float64
	updatedAt  time.Time
	workspaces map[string]*workspaceLoad
}

type workspaceLoad struct {
	load      float64
	updatedAt time.Time
	size      int
}

// NewSizer returns a sizer without observations.
func NewSizer() *Sizer { return &Sizer{workspaces: map[string]*workspaceLoad{}} }

func decay(v float64, updatedAt, now time.Time) float64 {
	if v == 0 || !now.After(updatedAt) {
		return v
	}
	return v * math.Exp2(-float64(now.Sub(updatedAt))/float64(loadHalfLife))
}

// Observe adds the cost of one request of the workspace; the unit is arbitrary, such as body bytes.
func (z *Sizer) Observe(now time.Time, workspace string, cost float64) {
	e := z.workspaces[workspace]
	if e == nil {
		e = &workspaceLoad{updatedAt: now}
		z.workspaces[workspace] = e
	}
	e.load, e.updatedAt = decay(e.load, e.updatedAt, now)+cost, now
	z.total, z.updatedAt = decay(z.total, z.updatedAt, now)+cost, now
}

// Size returns the size of the workspace's subset in a pool of n members. Consecutive sizes differ by a third or a
// half, so that routers with slightly different estimates mostly agree.
func (z *Sizer) Size(now time.Time, workspace string, n int) int {
	e := z.workspaces[workspace]
	if e == nil || z.total == 0 {
		return min(n, minSubsetSize)
	}
	share := decay(e.load, e.updatedAt, now) / decay(z.total, z.updatedAt, now)
	target := share * float64(n) * overprovisionFactor
	if step := roundUpSize(target); step > e.size || target < float64(e.size)*shrinkThreshold {
		e.size = step
	}
	return min(n, e.size)
}

func roundUpSize(target float64) int {
	for lower := 2; ; lower *= 2 {
		if target <= float64(lower) {
			return max(minSubsetSize, lower)
		}
		if target <= float64(lower)*1.5 {
			return lower + lower/2
		}
	}
}

// Prune removes workspaces without a request for 10 half-lives, which bounds the table.
func (z *Sizer) Prune(now time.Time) {
	for name, e := range z.workspaces {
		if now.Sub(e.updatedAt) > 10*loadHalfLife {
			delete(z.workspaces, name)
		}
	}
}
