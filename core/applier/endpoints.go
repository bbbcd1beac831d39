package applier

import (
	"cactusroute.dev/core/detector"
	"cactusroute.dev/core/viewer"
)

// EndpointRecord is an endpoint with the state that is not published to routers.
type EndpointRecord struct {
	viewer.Endpoint
	// Session identifies the agent process that announced the endpoint; it is the same after a reconnection.
	Session string
	// Gone is set when the endpoint is permanently lost; the outcome of its running claims is then unknown.
	Gone   bool
	GoneAt int64
	Flaps  detector.FlapHistory
}

// SetServiceState takes a failure domain or an endpoint out of service, or back into service.
type SetServiceState struct {
	FailureDomain string `cbor:"1,keyasint,omitempty"`
	Endpoint      string `cbor:"2,keyasint,omitempty"`
	Out           bool   `cbor:"3,keyasint,omitempty"`
	// After is the index of the last entry that the proposer had applied. If there is a newer order about the same failure
	// domain or endpoint, the command is a late one that must not undo it. It is nil in entries of earlier releases.
	After *uint64 `cbor:"4,keyasint,omitempty"`
}

// target returns the key of what the command is about.
func (c *SetServiceState) target() string {
	if c.FailureDomain != "" {
		return "failure domain " + c.FailureDomain
	}
	return "endpoint " + c.Endpoint
}

// orderKeyPrefix precedes the target of an order in the keys of the meta table whose values are the indexes of the last
// orders.
const orderKeyPrefix = "order/"

// checkOrder refuses a command that was committed after a newer order about its target, and records its index
// otherwise.
func (a *Applier) checkOrder(c *SetServiceState) error {
	key := orderKeyPrefix + c.target()
	last, err := get[uint64](a.w, tableMeta, key)
	if err != nil {
		return err
	}
	if c.After != nil && last != nil && *c.After < *last {
		return refuse(CodeConflict, "a newer order about %s was committed while this one waited", c.target())
	}
	return put(a.w, tableMeta, key, &a.meta.Index)
}

// Announce registers an endpoint; the result carries its incarnation.
type Announce struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"`
	Pool          string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Region        string `cbor:"5,keyasint"`
	Session       string `cbor:"6,keyasint"`
}

// MarkLost reports that no control instance is in contact with the agent of an incarnation.
type MarkLost struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone marks the loss as permanent: running claims get an unknown outcome, and the next announcement gets a
	// new incarnation.
	Gone bool `cbor:"3,keyasint,omitempty"`
}

// Leave reports that the endpoint accepts no new work until its next announcement.
type Leave struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

func (a *Applier) setServiceState(c *SetServiceState) error {
	if err := a.authorizeFleet(RoleOperator); err != nil {
		return err
	}
	action := "take into service"
	if c.Out {
		action = "take out of service"
	}
	if c.FailureDomain != "" {
		f, err := get[viewer.FailureDomain](a.w, tableDomains, c.FailureDomain)
		if err != nil {
			return err
		}
		if f == nil {
			return refuse(CodeNotFound, "failure domain %q not found", c.FailureDomain)
		}
		if err := a.checkOrder(c); err != nil || f.OutOfService == c.Out {
			return err
		}
		f.OutOfService = c.Out
		a.recordChange(viewer.Change{FailureDomain: f})
		if err := put(a.w, tableDomains, f.Name, f); err != nil {
			return err
		}
		return a.appendAudit(action, c.target(), "")
	}
	e, err := get[EndpointRecord](a.w, tableEndpoints, c.Endpoint)
	if err != nil {
		return err
	}
	if e == nil {
		return refuse(CodeNotFound, "endpoint %q not found", c.Endpoint)
	}
	if err := a.checkOrder(c); err != nil || e.OutOfService == c.Out {
		return err
	}
	e.OutOfService = c.Out
	if err := a.putEndpoint(e); err != nil {
		return err
	}
	return a.appendAudit(action, c.target(), "")
}

func (a *Applier) putEndpoint(e *EndpointRecord) error {
	published := e.Endpoint
	a.recordChange(viewer.Change{Endpoint: &published})
	return put(a.w, tableEndpoints, e.Name, e)
}

// announce issues a new incarnation to a new agent process. The same process keeps its incarnation, so that a
// retried announcement after a lost response or a reconnection does not end its running claims.
func (a *Applier) announce(c *Announce) error {
	if c.Name == "" || c.Address == "" || c.Session == "" {
		return refuse(CodeInvalid, "announcement must have a name, an address and a session")
	}
	old, err := get[EndpointRecord](a.w, tableEndpoints, c.Name)
	if err != nil {
		return err
	}
	e := EndpointRecord{Session: c.Session, Endpoint: viewer.Endpoint{
		Name: c.Name, Address: c.Address, Pool: c.Pool, FailureDomain: c.FailureDomain, Region: c.Region,
	}}
	if old != nil {
		e.OutOfService, e.Flaps, e.Damped = old.OutOfService, old.Flaps, old.Damped
	}
	if old != nil && old.Session == c.Session && !old.Gone {
		e.Incarnation, e.Leaving = old.Incarnation, old.Leaving
		a.result.Incarnation = e.Incarnation
		if e.Endpoint == old.Endpoint {
			return nil
		}
		return a.putEndpoint(&e)
	}
	if old != nil {
		if err := a.markClaimsUnknown(old.Name); err != nil {
			return err
		}
		if !old.Lost && !old.Leaving && old.Session != c.Session {
			if err := a.recordLoss(&e); err != nil {
				return err
			}
		}
	}
	a.meta.Incarnation++
	e.Incarnation = a.meta.Incarnation
	a.result.Incarnation = e.Incarnation
	return a.putEndpoint(&e)
}

func (a *Applier) markLost(c *MarkLost) error {
	e, err := get[EndpointRecord](a.w, tableEndpoints, c.Endpoint)
	if err != nil {
		return err
	}
	if e == nil || e.Incarnation != c.Incarnation {
		return nil
	}
	if c.Gone && !e.Gone {
		e.Gone, e.GoneAt = true, a.meta.Time
		if err := a.markClaimsUnknown(e.Name); err != nil {
			return err
		}
		if e.Lost {
			return put(a.w, tableEndpoints, e.Name, e)
		}
	}
	if e.Lost {
		return nil
	}
	e.Lost = true
	if !e.Leaving {
		if err := a.recordLoss(e); err != nil {
			return err
		}
	}
	return a.putEndpoint(e)
}

// recordLoss damps a flapping endpoint, but at most a quarter of its pool and never all of it, because a network
// fault makes many endpoints flap at once.
func (a *Applier) recordLoss(e *EndpointRecord) error {
	if !e.Flaps.RecordLoss(a.meta.Time) || e.Damped {
		return nil
	}
	list, err := getAll[EndpointRecord](a.w, tableEndpoints, "")
	if err != nil {
		return err
	}
	members, damped := 0, 0
	for i := range list {
		if list[i].Pool == e.Pool && !list[i].Gone {
			members++
			if list[i].Damped {
				damped++
			}
		}
	}
	if members < 2 || damped+1 > max(1, members/4) {
		e.Flaps.Until = 0
		return nil
	}
	e.Damped = true
	return nil
}

// expireEndpoints ends flap damping and deletes permanently lost endpoints after the retention period, unless an
// operator has taken them out of service.
func (a *Applier) expireEndpoints() error {
	list, err := getAll[EndpointRecord](a.w, tableEndpoints, "")
	if err != nil {
		return err
	}
	for i := range list {
		e := &list[i]
		if e.Gone && !e.OutOfService && a.meta.Time >= e.GoneAt+retentionMillis {
			a.recordChange(viewer.Change{Removal: &viewer.Removal{Kind: viewer.KindEndpoint, Key: e.Name}})
			if err := a.w.Delete(tableEndpoints, e.Name); err != nil {
				return err
			}
			order := SetServiceState{Endpoint: e.Name}
			if err := a.w.Delete(tableMeta, orderKeyPrefix+order.target()); err != nil {
				return err
			}
			continue
		}
		if e.Damped && e.Flaps.ExpireDamping(a.meta.Time) {
			e.Damped = false
			if err := a.putEndpoint(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Applier) leave(c *Leave) error {
	e, err := get[EndpointRecord](a.w, tableEndpoints, c.Endpoint)
	if err != nil || e == nil || e.Leaving || (c.Incarnation != 0 && e.Incarnation != c.Incarnation) {
		return err
	}
	e.Leaving = true
	return a.putEndpoint(e)
}
