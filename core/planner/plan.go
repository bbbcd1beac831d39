package planner

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// The bounds of the numbers in a plan. Larger ones are lowered to them: they mean the same, but would overflow.
const (
	// MaxMillis is one day, longer than any request or connection lasts.
	MaxMillis = 24 * 60 * 60 * 1000

	maxHeaderBytes   = 1 << 30
	maxColdPerSecond = 1e9
	maxWeight        = 1e6
)

// Kind states whether the fleet may retry a request on its own.
type Kind uint8

// The kinds of requests; the zero value is the most restrictive.
const (
	KindOnce       Kind = iota // must run at most once
	KindRepeatable             // may be retried
	KindStream                 // streams events; retried only on a resumable route
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(kindNames[k]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[:], string(text))
	if i < 0 {
		return invalidf("unknown kind %q; must be one of %s", text, strings.Join(kindNames[:], ", "))
	}
	*k = Kind(i)
	return nil
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

var kindNames = [...]string{"once", "repeatable", "stream"}

// Plan is one version of the routing plan; it is immutable after Index.
type Plan struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits,omitzero"`
	Scheduling Scheduling  `json:"scheduling,omitempty"`

	priorities      priorityLevels
	routesByHost    map[string][]*Route
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
}

// Route maps the requests of a host under a path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // starts and ends with a slash
	Kind   Kind   `json:"kind,omitempty"`
	// Resumable states that a stream may be resumed at another endpoint after the last event received.
	Resumable       bool    `json:"resumable,omitempty"`
	TimeoutMillis   int     `json:"timeoutMillis"`             // until the complete response
	TargetMillis    int     `json:"targetMillis,omitempty"`    // until the response or the first event of a stream
	GapTargetMillis int     `json:"gapTargetMillis,omitempty"` // between two events of a stream
	StallMillis     int     `json:"stallMillis,omitempty"`     // see StallTimeout
	Priority        int     `json:"priority,omitempty"`        // 0 is served first
	MaxAttempts     int     `json:"maxAttempts,omitempty"`     // per request, over all endpoints
	Public          bool    `json:"public,omitempty"`
	Shares          []Share `json:"shares"`
}

// The default StallTimeout is the longest of minStallTimeout and these multiples of the targets; callers that wait for
// an event give up after about as long.
const (
	minStallTimeout   = 2 * time.Second
	stallTargetFactor = 4
	stallGapFactor    = 8
)

// StallTimeout returns how long a stream of the route may go without a complete event before it counts as stalled; 0
// means until the route's timeout. It is StallMillis or, for a route with a gap target, a multiple of its targets.
func (r *Route) StallTimeout() time.Duration {
	if r.StallMillis > 0 {
		return time.Duration(r.StallMillis) * time.Millisecond
	}
	if r.GapTargetMillis <= 0 {
		return 0
	}
	return max(minStallTimeout, stallTargetFactor*time.Duration(r.TargetMillis)*time.Millisecond,
		stallGapFactor*time.Duration(r.GapTargetMillis)*time.Millisecond)
}

// Share is the fraction of a route's requests that a service receives, relative to the sum of the weights.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a named pool of endpoints.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath,omitempty"`
	MaxConnections int     `json:"maxConnections,omitempty"` // per endpoint, over all routers
	ColdPerSecond  float64 `json:"coldPerSecond,omitempty"`
	Engine         bool    `json:"engine,omitempty"`      // the endpoints are model engines, which cache prompt parts
	Slots          int     `json:"slots,omitempty"`       // concurrent requests per engine
	CacheTokens    int     `json:"cacheTokens,omitempty"` // capacity per engine for cached and running tokens
	// CacheTokenBytes is the size of one cached token, and LinkBitsPerSecond the rate at which one engine fetches cached
	// tokens from another; 0 means unknown.
	CacheTokenBytes   int     `json:"cacheTokenBytes,omitempty"`
	LinkBitsPerSecond float64 `json:"linkBitsPerSecond,omitempty"`
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority,omitempty"` // compared before that of the route if HasPriority
	// HasPriority distinguishes priority 0 from no priority.
	HasPriority bool `json:"hasPriority,omitempty"`
	// Weight is the share of the workspace under overload, relative to the others; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// ShareWeight returns the weight of the workspace; a request without one has the usual weight.
func (w *Workspace) ShareWeight() float64 {
	if w == nil || w.Weight == 0 {
		return 1
	}
	return w.Weight
}

// Limits bound the requests of callers; 0 means unlimited.
type Limits struct {
	HeaderBytes         int   `json:"headerBytes,omitempty"`
	BodyBytes           int64 `json:"bodyBytes,omitempty"`
	HeaderTimeoutMillis int   `json:"headerTimeoutMillis,omitempty"`
	IdleTimeoutMillis   int   `json:"idleTimeoutMillis,omitempty"`
}

// InvalidError is the reason why a plan was rejected.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid plan: " + e.Reason }

func invalidf(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Parse decodes a plan from the project's own JSON format and indexes it; it rejects unknown fields.
func Parse(content []byte) (*Plan, error) {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	p := &Plan{}
	if err := d.Decode(p); err != nil {
		return nil, invalidf("%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidf("unexpected data after the JSON object")
	}
	if p.Version == 0 {
		return nil, invalidf("version is missing")
	}
	return p, p.Index()
}

// Index validates the plan and builds its lookup tables; it returns an *InvalidError if the plan is invalid.
func (p *Plan) Index() error {
	if !slices.Contains([]Scheduling{SchedulingDerived, SchedulingCount, SchedulingDemand}, p.Scheduling) {
		return invalidf("unknown scheduling %q; must be %s or %s", p.Scheduling, SchedulingCount, SchedulingDemand)
	}
	p.servicesByName = make(map[string]*Service, len(p.Services))
	for i := range p.Services {
		s := &p.Services[i]
		if s.Name == "" || p.servicesByName[s.Name] != nil {
			return invalidf("service %q has no name or is a duplicate", s.Name)
		}
		s.ColdPerSecond = min(s.ColdPerSecond, maxColdPerSecond)
		p.servicesByName[s.Name] = s
	}
	p.routesByHost = map[string][]*Route{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := p.validateRoute(r); err != nil {
			return err
		}
		host := strings.ToLower(r.Host)
		p.routesByHost[host] = append(p.routesByHost[host], r)
	}
	for host, routes := range p.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		seen := map[string]bool{}
		for _, r := range routes {
			if seen[r.Prefix] {
				return invalidf("more than one route for host %q and prefix %q", host, r.Prefix)
			}
			seen[r.Prefix] = true
		}
	}
	l := &p.Limits
	l.HeaderBytes = min(l.HeaderBytes, maxHeaderBytes)
	l.HeaderTimeoutMillis, l.IdleTimeoutMillis = min(l.HeaderTimeoutMillis, MaxMillis), min(l.IdleTimeoutMillis, MaxMillis)
	p.priorities = newPriorityLevels(p)
	p.workspacesByKey = map[string]*Workspace{}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if !(w.Weight >= 0) || w.Weight > maxWeight {
			return invalidf("workspace %q has weight %v; must be from 0 to %v", w.Name, w.Weight, float64(maxWeight))
		}
		for _, k := range w.Keys {
			if other := p.workspacesByKey[k]; other != nil && other != w {
				return invalidf("workspaces %q and %q have the same key", other.Name, w.Name)
			}
			p.workspacesByKey[k] = w
		}
	}
	return nil
}

func (p *Plan) validateRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalidf("route %q must have a host and a prefix that starts and ends with a slash", r.Name)
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	if r.TimeoutMillis <= 0 {
		return invalidf("timeout of route %q is %d ms; must be positive", r.Name, r.TimeoutMillis)
	}
	if r.StallMillis < 0 {
		return invalidf("stall timeout of route %q is %d ms; must be 0 or more", r.Name, r.StallMillis)
	}
	for _, millis := range []*int{&r.TimeoutMillis, &r.TargetMillis, &r.GapTargetMillis, &r.StallMillis} {
		*millis = min(*millis, MaxMillis)
	}
	hasWeight := false
	for _, s := range r.Shares {
		if p.servicesByName[s.Service] == nil {
			return invalidf("route %q refers to unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalidf("route %q has negative weight %d for service %q", r.Name, s.Weight, s.Service)
		}
		hasWeight = hasWeight || s.Weight > 0
	}
	if !hasWeight {
		return invalidf("sum of the weights of route %q is 0", r.Name)
	}
	return nil
}

// Match returns the route of the host with the longest matching path prefix, or nil. The path is compared as sent,
// without percent-decoding.
func (p *Plan) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range p.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (p *Plan) Service(name string) *Service { return p.servicesByName[name] }

// Workspace returns the workspace with the key, or nil.
func (p *Plan) Workspace(key string) *Workspace { return p.workspacesByKey[key] }

// HasWorkspaces reports whether requests to non-public routes require a key.
func (p *Plan) HasWorkspaces() bool { return len(p.Workspaces) > 0 }

// PickService selects a service in proportion to the weights; random is uniform in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0 // the sum of large integers would overflow
	for _, s := range r.Shares {
		total += float64(s.Weight)
	}
	point := random * total
	service := ""
	for _, s := range r.Shares {
		if s.Weight > 0 {
			service = s.Service
		}
		if point < float64(s.Weight) {
			break
		}
		point -= float64(s.Weight)
	}
	return service
}

// CanRetry reports whether a request of the route may be retried after its response was lost.
func (r *Route) CanRetry() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}
