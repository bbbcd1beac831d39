package viewer

import (
	"fmt"
	"maps"
	"time"

	"cactusroute.dev/core/bundler"
)

// Endpoint is an endpoint that its agent has announced. The field names are part of the stored state and of deltas.
type Endpoint struct {
	Name          string
	Address       string // host:port of the agent
	Pool          string
	FailureDomain string
	Region        string
	// Incarnation is issued by the control group to each new agent process, and to one that returns after it was
	// declared gone; it is also the fencing number of commands to the engine.
	Incarnation uint64
	// OutOfService is set while an operator has taken the endpoint out of service.
	OutOfService bool
	// Leaving is set from a graceful leave until the endpoint gets a new incarnation.
	Leaving bool
	// Lost is set when no control instance receives heartbeats from the agent.
	Lost bool
	// Damped is set for a limited time after the endpoint was lost several times within a minute.
	Damped bool
}

// FailureDomain is the service state of a failure domain.
type FailureDomain struct {
	Name         string
	Region       string
	OutOfService bool
}

// Verdict records that requests with a fingerprint crashed engines.
type Verdict struct {
	Fingerprint string
	Crashes     int
	// Convicted is set after the second crash and makes the fleet refuse such requests; until then the fingerprint is
	// a suspect.
	Convicted bool
	Until     time.Time
}

// Change sets or removes one item of a view; exactly one field is set.
type Change struct {
	Workspace     *bundler.Workspace `cbor:"1,keyasint,omitempty"`
	Pool          *bundler.Pool      `cbor:"2,keyasint,omitempty"`
	FailureDomain *FailureDomain     `cbor:"3,keyasint,omitempty"`
	Endpoint      *Endpoint          `cbor:"4,keyasint,omitempty"`
	Verdict       *Verdict           `cbor:"5,keyasint,omitempty"`
	Freshness     *bundler.Freshness `cbor:"6,keyasint,omitempty"`
	Removal       *Removal           `cbor:"7,keyasint,omitempty"`
}

// Kind is the type of an item of a view.
type Kind string

// Types of items; each has a map in View.
const (
	KindWorkspace     Kind = "workspace"
	KindPool          Kind = "pool"
	KindFailureDomain Kind = "failureDomain"
	KindEndpoint      Kind = "endpoint"
	KindVerdict       Kind = "verdict"
)

// Removal identifies an item that was removed from a view.
type Removal struct {
	Kind Kind   `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
}

// Delta advances a view from one index to a later one.
type Delta struct {
	From          uint64   `cbor:"1,keyasint"`
	To            uint64   `cbor:"2,keyasint"`
	BundleVersion uint64   `cbor:"3,keyasint"`
	Changes       []Change `cbor:"4,keyasint"`
}

// View is an immutable snapshot; Apply returns the next one.
type View struct {
	Index          uint64
	BundleVersion  uint64
	Freshness      bundler.Freshness
	Workspaces     map[string]bundler.Workspace
	Pools          map[string]bundler.Pool
	FailureDomains map[string]FailureDomain
	Endpoints      map[string]Endpoint
	Verdicts       map[string]Verdict
	// WorkspaceByKey maps the digest of a bearer key to its workspace.
	WorkspaceByKey map[string]string
	// PoolByModel maps a model name to its pool.
	PoolByModel map[string]string
}

// NewView returns an empty view at index 0.
func NewView() *View {
	return &View{
		Workspaces:     map[string]bundler.Workspace{},
		Pools:          map[string]bundler.Pool{},
		FailureDomains: map[string]FailureDomain{},
		Endpoints:      map[string]Endpoint{},
		Verdicts:       map[string]Verdict{},
		WorkspaceByKey: map[string]string{},
		PoolByModel:    map[string]string{},
	}
}

// GapError reports a delta that starts after the view's index.
type GapError struct {
	ViewIndex uint64
	DeltaFrom uint64
}

// Error formats the error with both indexes.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta starts at index %d, but the view is at index %d", e.DeltaFrom, e.ViewIndex)
}

// RegressionError reports a delta that would lower the bundle version.
type RegressionError struct {
	Current  uint64
	Received uint64
}

// Error formats the error with both versions.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("delta has bundle version %d, but the view already has version %d", e.Received, e.Current)
}

// Apply returns the view with the delta applied, or v itself if it already includes the delta.
func (v *View) Apply(d Delta) (next *View, err error) {
	if d.To <= v.Index && v.Index > 0 {
		return v, nil
	}
	if d.From > v.Index {
		return v, &GapError{ViewIndex: v.Index, DeltaFrom: d.From}
	}
	if d.BundleVersion < v.BundleVersion {
		return v, &RegressionError{Current: v.BundleVersion, Received: d.BundleVersion}
	}
	n := *v
	n.Index, n.BundleVersion = d.To, d.BundleVersion
	n.cloneChangedMaps(d.Changes)
	for i := range d.Changes {
		n.applyChange(&d.Changes[i])
	}
	return &n, nil
}

// cloneChangedMaps clones only the maps that the changes write, because a view may hold thousands of workspaces.
func (v *View) cloneChangedMaps(changes []Change) {
	changed := map[Kind]bool{}
	for i := range changes {
		changed[changes[i].kind()] = true
	}
	if changed[KindWorkspace] {
		v.Workspaces, v.WorkspaceByKey = maps.Clone(v.Workspaces), maps.Clone(v.WorkspaceByKey)
	}
	if changed[KindPool] {
		v.Pools, v.PoolByModel = maps.Clone(v.Pools), maps.Clone(v.PoolByModel)
	}
	if changed[KindFailureDomain] {
		v.FailureDomains = maps.Clone(v.FailureDomains)
	}
	if changed[KindEndpoint] {
		v.Endpoints = maps.Clone(v.Endpoints)
	}
	if changed[KindVerdict] {
		v.Verdicts = maps.Clone(v.Verdicts)
	}
}

func (c *Change) kind() Kind {
	switch {
	case c.Workspace != nil:
		return KindWorkspace
	case c.Pool != nil:
		return KindPool
	case c.FailureDomain != nil:
		return KindFailureDomain
	case c.Endpoint != nil:
		return KindEndpoint
	case c.Verdict != nil:
		return KindVerdict
	case c.Removal != nil:
		return c.Removal.Kind
	default:
		return ""
	}
}

func (v *View) applyChange(c *Change) {
	switch {
	case c.Workspace != nil:
		v.removeWorkspace(c.Workspace.Name)
		v.Workspaces[c.Workspace.Name] = *c.Workspace
		for _, h := range c.Workspace.KeyHashes {
			v.WorkspaceByKey[h] = c.Workspace.Name
		}
	case c.Pool != nil:
		v.removePool(c.Pool.Name)
		v.Pools[c.Pool.Name] = *c.Pool
		if c.Pool.Model != "" {
			v.PoolByModel[c.Pool.Model] = c.Pool.Name
		}
	case c.FailureDomain != nil:
		v.FailureDomains[c.FailureDomain.Name] = *c.FailureDomain
	case c.Endpoint != nil:
		v.Endpoints[c.Endpoint.Name] = *c.Endpoint
	case c.Verdict != nil:
		v.Verdicts[c.Verdict.Fingerprint] = *c.Verdict
	case c.Freshness != nil:
		v.Freshness = *c.Freshness
	case c.Removal != nil:
		v.remove(c.Removal)
	}
}

func (v *View) remove(r *Removal) {
	switch r.Kind {
	case KindWorkspace:
		v.removeWorkspace(r.Key)
	case KindPool:
		v.removePool(r.Key)
	case KindFailureDomain:
		delete(v.FailureDomains, r.Key)
	case KindEndpoint:
		delete(v.Endpoints, r.Key)
	case KindVerdict:
		delete(v.Verdicts, r.Key)
	}
}

// removeWorkspace deletes only the key digests that still map to the workspace, because a delta that moves a key to
// another workspace may contain the two workspaces in either order.
func (v *View) removeWorkspace(name string) {
	for _, h := range v.Workspaces[name].KeyHashes {
		if v.WorkspaceByKey[h] == name {
			delete(v.WorkspaceByKey, h)
		}
	}
	delete(v.Workspaces, name)
}

func (v *View) removePool(name string) {
	if m := v.Pools[name].Model; v.PoolByModel[m] == name {
		delete(v.PoolByModel, m)
	}
	delete(v.Pools, name)
}

// IsInService reports whether the endpoint may get new requests, regardless of whether it is lost.
func (v *View) IsInService(e *Endpoint) bool {
	return !e.OutOfService && !e.Leaving && !e.Damped && !v.FailureDomains[e.FailureDomain].OutOfService
}

// Snapshot returns a delta that recreates the view from an empty one.
func (v *View) Snapshot() Delta {
	d := Delta{To: v.Index, BundleVersion: v.BundleVersion}
	d.Changes = append(d.Changes, Change{Freshness: &v.Freshness})
	for _, w := range v.Workspaces {
		d.Changes = append(d.Changes, Change{Workspace: &w})
	}
	for _, p := range v.Pools {
		d.Changes = append(d.Changes, Change{Pool: &p})
	}
	for _, f := range v.FailureDomains {
		d.Changes = append(d.Changes, Change{FailureDomain: &f})
	}
	for _, e := range v.Endpoints {
		d.Changes = append(d.Changes, Change{Endpoint: &e})
	}
	for _, verdict := range v.Verdicts {
		d.Changes = append(d.Changes, Change{Verdict: &verdict})
	}
	return d
}
