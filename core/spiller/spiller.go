package spiller

import (
	"math"
	"time"
)

const (
	// stepsPerDomain is the number of equal parts of a domain's demand that are placed one after the other.
	stepsPerDomain = 32

	// maxUse is the fraction of the slots in use up to which the waiting time of a queue in balance applies.
	maxUse = 0.98

	// overloadHolds is the waiting time, in durations of a request, that each further multiple of the slots adds.
	overloadHolds = 100

	// boundSeconds and noRoomSeconds are the waiting times in a domain above its load bound and without endpoints. They
	// are finite, so that domains can be compared while none has room.
	boundSeconds  = 1e3
	noRoomSeconds = 1e6

	// deadBand is the difference from the applied share below which a new one is not applied. Samples of a second differ
	// by this much in calm.
	deadBand = 0.06

	// risePerSecond and fallPerSecond bound the change of a share. A share falls slower, because the surplus that was
	// sent away is no longer seen at home.
	risePerSecond = 1.0
	fallPerSecond = 0.4

	// maxElapsed bounds the time that counts between two steps.
	maxElapsed = 500 * time.Millisecond
)

// Domain is the demand and the room of one service in a failure domain.
type Domain struct {
	Name string
	// Work is the number of requests that the callers of the domain keep in progress while none of them waits.
	Work float64
	// Slots is the number of requests that the endpoints of the domain run at once, at the usual speed.
	Slots     float64
	Endpoints int
	Backlog   float64 // requests above the slots of their endpoints
	MaxWork   float64 // highest demand that keeps the endpoints within the load bound
	// Delay is the extra time in seconds of a request to each domain, by index, beyond the usual time between domains.
	Delay []float64
}

// wait returns the expected waiting time in seconds at the endpoints of a domain that get the given work.
func (d *Domain) wait(work, holdSeconds float64) float64 {
	if d.Slots <= 0 || d.Endpoints <= 0 {
		return noRoomSeconds
	}
	slots := d.Slots / float64(d.Endpoints)
	use := work / d.Slots
	// The approximation of Sakasegawa for a queue with several servers.
	balanced := min(use, maxUse)
	w := math.Pow(balanced, math.Sqrt(2*(slots+1))-1) / (slots * (1 - balanced))
	w = holdSeconds * (w + overloadHolds*max(0, use-maxUse) + d.Backlog/d.Slots)
	if work > d.MaxWork {
		w += boundSeconds * work / max(d.MaxWork, 1)
	}
	return w
}

// Service is what the requests of a service have in common.
type Service struct {
	HoldSeconds  float64 // duration of a request that doesn't wait
	PriceSeconds float64 // waiting time to which leaving the domain is equivalent
}

// Solve returns the share of the requests of each domain (first index) that goes to each other domain. Parts of the
// demand move one after the other, each where it saves the most waiting, so that domains with a surplus share the room
// of the others.
func Solve(domains []Domain, s Service) [][]float64 {
	shares := make([][]float64, len(domains))
	work := make([]float64, len(domains))
	left := make([]int, len(domains))
	for i := range domains {
		shares[i] = make([]float64, len(domains))
		work[i], left[i] = domains[i].Work, stepsPerDomain
	}
	for {
		bestGain, bestFrom, bestTo := 0.0, -1, -1
		for from := range domains {
			step := domains[from].Work / stepsPerDomain
			if left[from] == 0 || step <= 0 {
				continue
			}
			home := domains[from].wait(work[from], s.HoldSeconds)
			for to := range domains {
				if to == from {
					continue
				}
				cost := s.PriceSeconds
				if to < len(domains[from].Delay) {
					cost += domains[from].Delay[to]
				}
				if gain := home - domains[to].wait(work[to]+step, s.HoldSeconds) - cost; gain > bestGain {
					bestGain, bestFrom, bestTo = gain, from, to
				}
			}
		}
		if bestFrom < 0 {
			return shares
		}
		step := domains[bestFrom].Work / stepsPerDomain
		left[bestFrom]--
		work[bestFrom] -= step
		work[bestTo] += step
		shares[bestFrom][bestTo] += 1.0 / stepsPerDomain
	}
}

// Pair is an ordered pair of failure domains.
type Pair struct{ From, To string }

// Decider holds the shares that are applied to one service. They follow those of Solve at a limited rate, so that
// routers that received the same sums at different times apply nearly the same.
type Decider struct {
	Shares map[Pair]float64 // positive ones only
	at     time.Time
}

// Step moves the applied shares towards those for the present state of the domains. initial holds the shares of an
// earlier process or of other routers, for the first step.
func (d *Decider) Step(now time.Time, domains []Domain, s Service, initial map[Pair]float64) {
	if d.at.IsZero() {
		d.Shares, d.at = initial, now
	}
	elapsed := min(maxElapsed, max(0, now.Sub(d.at))).Seconds()
	d.at = now
	applied := make(map[Pair]float64, len(d.Shares))
	for from, row := range Solve(domains, s) {
		for to, wanted := range row {
			pair := Pair{domains[from].Name, domains[to].Name}
			share := d.Shares[pair]
			switch {
			case domains[from].Slots <= 0 || domains[to].Slots <= 0:
				share = wanted // endpoints out of service take nothing
			case wanted > 0 && math.Abs(wanted-share) < deadBand:
			default:
				share = max(share-fallPerSecond*elapsed, min(share+risePerSecond*elapsed, wanted))
			}
			if share > 0 {
				applied[pair] = share
			}
		}
	}
	d.Shares = applied
}

// Destination returns the domain to which a request of a domain goes; random is uniform in [0, 1), and weight scales
// the share for requests that leave more or less readily than the mean.
func (d *Decider) Destination(from string, domains []Domain, random, weight float64) string {
	total := 0.0
	for i := range domains {
		total += d.Shares[Pair{from, domains[i].Name}]
	}
	if total <= 0 {
		return from
	}
	// A domain that everything leaves keeps no request, whatever its weight.
	scale := min(weight, 1/total)
	if total >= 1 {
		scale = 1
	}
	for i := range domains {
		if random -= scale * d.Shares[Pair{from, domains[i].Name}]; random < 0 {
			return domains[i].Name
		}
	}
	return from
}

// Inflow returns the part of all requests that goes to a domain.
func (d *Decider) Inflow(to string, domains []Domain) float64 {
	total, inflow := 0.0, 0.0
	for i := range domains {
		from := &domains[i]
		total += from.Work
		stays := 1.0
		for j := range domains {
			stays -= d.Shares[Pair{from.Name, domains[j].Name}]
		}
		if from.Name == to {
			inflow += max(0, stays) * from.Work
		} else {
			inflow += d.Shares[Pair{from.Name, to}] * from.Work
		}
	}
	if total <= 0 {
		return 1
	}
	return inflow / total
}
