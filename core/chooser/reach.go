package chooser

import (
	"hash/fnv"
	"io"
	"iter"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/summer"
	"cactusroute.dev/core/suspector"
)

// The keys of named sums: the weight of failed connects to a start of an endpoint by the routers of a failure domain,
// and the number of those routers that have reached it since.
const (
	failedPrefix  = "reach/f/"
	reachedPrefix = "reach/r/"
)

// reachSuffix is the part of the keys that names this router's failure domain and a start of an endpoint.
func (c *Chooser) reachSuffix(e *endpoint) string {
	return domainHash(c.domain) + "/" + e.ID + "#" + strconv.FormatInt(e.Born, 10)
}

// domainHash returns a short name of a failure domain without a slash.
func domainHash(domain string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, domain)
	return strconv.FormatUint(uint64(h.Sum32()), 16)
}

// RecordUnreachable records that a connect to an endpoint got no answer, or was refused by its machine.
func (c *Chooser) RecordUnreachable(now time.Time, target registrar.Endpoint, isRefused bool) {
	if e := c.lookup(target); e != nil && c.policy.Reachable {
		e.reach.RecordFailure(now, isRefused)
		c.publishReach(now)
	}
}

// RecordContact records that an endpoint has accepted a connection or sent something at a time.
func (c *Chooser) RecordContact(now, at time.Time, target registrar.Endpoint) {
	if e := c.lookup(target); e != nil && c.policy.Reachable && e.reach.RecordContact(now, at) {
		c.publishReach(now)
	}
}

// IsLost reports whether a request in flight at the endpoint will not be answered: the endpoint is unreachable, or has
// started again at the same address, where the process before has ended. The request was sent at sentAt, and the
// endpoint last sent something at heardAt, which is zero if it has sent nothing yet.
func (c *Chooser) IsLost(now, sentAt, heardAt time.Time, target registrar.Endpoint, canRepeat bool) bool {
	e := c.byID[target.ID]
	if e == nil || !c.policy.Reachable {
		return false
	}
	if heardAt.IsZero() {
		heardAt = sentAt
	} else {
		c.RecordContact(now, heardAt, target)
	}
	if e.Born != target.Born {
		return e.Born > target.Born && e.Address == target.Address
	}
	return e.reach.IsLost(now, heardAt, canRepeat)
}

// SharesReach reports whether routers tell each other of endpoints that they could not reach.
func (c *Chooser) SharesReach() bool { return c.policy.Reachable }

// resetReach forgets what is known of the reachability of endpoints.
func (c *Chooser) resetReach() {
	for _, e := range c.byID {
		e.reach = suspector.Record{}
	}
	c.withdrawReach()
}

// records yields what is known of the reachability of each endpoint.
func (c *Chooser) records() iter.Seq[*suspector.Record] {
	return func(yield func(*suspector.Record) bool) {
		for _, e := range c.byID {
			if !yield(&e.reach) {
				return
			}
		}
	}
}

// publishReach sets this router's part of the sums.
func (c *Chooser) publishReach(now time.Time) {
	c.withdrawReach()
	isCutOff := suspector.IsCutOff(now, c.records())
	for _, e := range c.byID {
		failed := e.reach.Failed(now)
		if isCutOff {
			failed = 0
		}
		reached := e.reach.Reached(now)
		if failed == 0 && !reached {
			continue
		}
		key, value := failedPrefix+c.reachSuffix(e), failed
		if reached {
			key, value = reachedPrefix+c.reachSuffix(e), 1
		}
		c.ledger.Set(key, value)
		c.reachKeys[key] = true
	}
}

// withdrawReach removes this router's part of the sums.
func (c *Chooser) withdrawReach() {
	for key := range c.reachKeys {
		c.ledger.Set(key, 0)
	}
	clear(c.reachKeys)
}

// updateReach applies the sums over all routers.
func (c *Chooser) updateReach(now time.Time, total summer.Sums) {
	if !c.policy.Reachable {
		return
	}
	type others struct{ near, far suspector.Counts }
	heard := map[string]others{} // by ID and start
	own := domainHash(c.domain)
	for key := range total {
		rest, isFailure := strings.CutPrefix(key, failedPrefix)
		if !isFailure {
			var ok bool
			if rest, ok = strings.CutPrefix(key, reachedPrefix); !ok {
				continue
			}
		}
		domain, start, _ := strings.Cut(rest, "/")
		counts := suspector.Counts{Reached: c.ledger.Others(key)}
		if isFailure {
			counts = suspector.Counts{Failed: c.ledger.Others(key)}
		}
		o := heard[start]
		if domain == own {
			o.near.Add(counts)
		} else {
			o.far.Add(counts)
		}
		heard[start] = o
	}
	for _, e := range c.byID {
		var o others
		if len(heard) > 0 {
			o = heard[e.ID+"#"+strconv.FormatInt(e.Born, 10)]
		}
		before := e.reach.IsUnreachable()
		e.reach.Turn = suspector.Turn{Key: uint64(placer.KeyOf(c.name, e.ID)), Routers: c.routers}
		e.reach.RecordOthers(now, o.near, o.far, e.State == registrar.Silent)
		if is := e.reach.IsUnreachable(); is != before {
			c.addEvent("reachability of endpoint changed", "endpoint", e.ID, "service", e.Service, "unreachable", is,
				"nearFailed", o.near.Failed, "farFailed", o.far.Failed, "nearReached", o.near.Reached,
				"farReached", o.far.Reached, "ownFailed", e.reach.Failed(now), "state", e.State.String())
		}
	}
	c.publishReach(now)
}

// reachGauges returns the number of endpoints of each service that no router reaches.
func (c *Chooser) reachGauges() (list []Gauge) {
	if !c.policy.Reachable {
		return nil
	}
	for service, p := range c.pools {
		n := 0
		for _, e := range p.endpoints {
			if e.reach.IsUnreachable() {
				n++
			}
		}
		list = append(list, Gauge{Decision: "reachable", Name: "unreachable", Subject: service, Value: float64(n)})
	}
	return list
}
