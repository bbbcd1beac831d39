package applier

import (
	"cactusroute.dev/core/detector"
	"cactusroute.dev/core/viewer"
)

// EndpointRecord is an endpoint with what routers do not need.
type EndpointRecord struct {
	viewer.Endpoint
	// Session names the agent process that announced; the same process announces again after a reconnection.
	Session string
	// Gone is set when the endpoint is lost for good, which ends its running claims.
	Gone   bool
	GoneAt int64
	Flaps  detector.Flaps
}

// SetService takes a failure domain or an endpoint out of service or back in.
type SetServiceState struct {
	FailureDomain string `cbor:"1,keyasint,omitempty"`
	Endpoint      string `cbor:"2,keyasint,omitempty"`
	Out           bool   `cbor:"3,keyasint,omitempty"`
}

// Announce makes an endpoint known; the result carries its incarnation.
type Announce struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"`
	Pool          string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Region        string `cbor:"5,keyasint"`
	Session       string `cbor:"6,keyasint"`
}

// Lost says that no control instance hears the agent of an incarnation.
type MarkLost struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone means for good: running claims get an unknown outcome, and a return gets a new incarnation.
	Gone bool `cbor:"3,keyasint,omitempty"`
}

// Leave says that the endpoint takes no new work until it announces itself again.
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
			return refuse(CodeNotFound, "no failure domain %q", c.FailureDomain)
		}
		if f.OutOfService == c.Out {
			return nil
		}
		f.OutOfService = c.Out
		a.recordChange(viewer.Change{FailureDomain: f})
		if err := put(a.w, tableDomains, f.Name, f); err != nil {
			return err
		}
		return a.appendAudit(action, "failure domain "+f.Name, "")
	}
	e, err := get[EndpointRecord](a.w, tableEndpoints, c.Endpoint)
	if err != nil {
		return err
	}
	if e == nil {
		return refuse(CodeNotFound, "no endpoint %q", c.Endpoint)
	}
	if e.OutOfService == c.Out {
		return nil
	}
	e.OutOfService = c.Out
	if err := a.putEndpoint(e); err != nil {
		return err
	}
	return a.appendAudit(action, "endpoint "+e.Name, "")
}

func (a *Applier) putEndpoint(e *EndpointRecord) error {
	seen := e.Endpoint
	a.recordChange(viewer.Change{Endpoint: &seen})
	return put(a.w, tableEndpoints, e.Name, e)
}

// announce issues a new incarnation to a new process. The same process keeps its own, so that an announcement
// sent again after a lost reply or a reconnection does not end its running claims.
func (a *Applier) announce(c *Announce) error {
	if c.Name == "" || c.Address == "" || c.Session == "" {
		return refuse(CodeInvalid, "announcement without name, address or session")
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

// countLoss damps a flapping endpoint, but never more than a quarter of its pool and never all of it, because a
// fault of the network makes many endpoints flap at once.
func (a *Applier) recordLoss(e *EndpointRecord) error {
	if !e.Flaps.Add(a.meta.Time) || e.Damped {
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

func (a *Applier) expireEndpoints() error {
	list, err := getAll[EndpointRecord](a.w, tableEndpoints, "")
	if err != nil {
		return err
	}
	for i := range list {
		e := &list[i]
		if e.Gone && !e.OutOfService && a.meta.Time >= e.GoneAt+retentionMillis {
			a.recordChange(viewer.Change{Removed: &viewer.Removed{Kind: viewer.KindEndpoint, Key: e.Name}})
			if err := a.w.Delete(tableEndpoints, e.Name); err != nil {
				return err
			}
			continue
		}
		if e.Damped && e.Flaps.End(a.meta.Time) {
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
