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
)

// Kind tells what the fleet may do again on its own.
type Kind uint8

// The kinds of requests; the zero value is the strictest.
const (
	KindOnce       Kind = iota // runs at most once
	KindRepeatable             // may run again
	KindStream                 // a stream of events
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(kindNames[k]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[:], string(text))
	if i < 0 {
		return invalid("unknown kind %q; allowed: %s", text, strings.Join(kindNames[:], ", "))
	}
	*k = Kind(i)
	return nil
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

var kindNames = [...]string{"once", "repeatable", "stream"}

// Plan is one version of the routing plan; it is not changed after New.
type Plan struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits,omitzero"`

	ranks    urgency
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	Kind   Kind   `json:"kind,omitempty"`
	// Resumable streams may go on at another endpoint after the last event that was received.
	Resumable       bool    `json:"resumable,omitempty"`
	TimeoutMillis   int     `json:"timeoutMillis"`             // the longest time until the final answer
	TargetMillis    int     `json:"targetMillis,omitempty"`    // until the answer or the first event of a stream
	GapTargetMillis int     `json:"gapTargetMillis,omitempty"` // the longest pause between events that is on time
	Priority        int     `json:"priority,omitempty"`        // 0 is served first
	MaxAttempts     int     `json:"maxAttempts,omitempty"`     // endpoints that one request may be sent to
	Public          bool    `json:"public,omitempty"`
	Shares          []Share `json:"shares"`
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a pool of endpoints.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath,omitempty"`
	MaxConnections int     `json:"maxConnections,omitempty"` // of one endpoint, from all callers together
	ColdPerSecond  float64 `json:"coldPerSecond,omitempty"`
	Engine         bool    `json:"engine,omitempty"`      // serves prompts and caches their parts
	Slots          int     `json:"slots,omitempty"`       // requests that an engine runs at once
	CacheTokens    int     `json:"cacheTokens,omitempty"` // memory of an engine for cached and running tokens
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority,omitempty"` // takes precedence over the route's when HasPriority is set
	// HasPriority tells whether the workspace has a priority of its own.
	HasPriority bool `json:"hasPriority,omitempty"`
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	HeaderBytes         int   `json:"headerBytes,omitempty"`
	BodyBytes           int64 `json:"bodyBytes,omitempty"`
	HeaderTimeoutMillis int   `json:"headerTimeoutMillis,omitempty"`
	IdleTimeoutMillis   int   `json:"idleTimeoutMillis,omitempty"`
}

// InvalidError says why a plan was refused.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return "invalid plan: " + e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Parse reads a plan in the project's own JSON format and indexes it; it refuses unknown fields.
func Parse(content []byte) (*Plan, error) {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	p := &Plan{}
	if err := d.Decode(p); err != nil {
		return nil, invalid("%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("there is more after the end")
	}
	if p.Version == 0 {
		return nil, invalid("version is missing")
	}
	return p, p.Index()
}

// Index checks the plan and prepares it for lookups; it returns an *InvalidError for a plan that can't be in force.
func (p *Plan) Index() error {
	p.services = make(map[string]*Service, len(p.Services))
	for i := range p.Services {
		s := &p.Services[i]
		if s.Name == "" || p.services[s.Name] != nil {
			return invalid("service %q is unnamed or listed twice", s.Name)
		}
		p.services[s.Name] = s
	}
	p.hosts = map[string][]*Route{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := p.checkRoute(r); err != nil {
			return err
		}
		host := strings.ToLower(r.Host)
		p.hosts[host] = append(p.hosts[host], r)
	}
	for host, routes := range p.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		seen := map[string]bool{}
		for _, r := range routes {
			if seen[r.Prefix] {
				return invalid("two routes share host %q and prefix %q", host, r.Prefix)
			}
			seen[r.Prefix] = true
		}
	}
	p.ranks = newUrgency(p)
	p.keys = map[string]*Workspace{}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		for _, k := range w.Keys {
			if other := p.keys[k]; other != nil && other != w {
				return invalid("workspaces %q and %q share a key", other.Name, w.Name)
			}
			p.keys[k] = w
		}
	}
	return nil
}

func (p *Plan) checkRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host and a prefix that begins and ends with a slash", r.Name)
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	if r.TimeoutMillis <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	total := 0
	for _, s := range r.Shares {
		if p.services[s.Service] == nil {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

// Match returns the route with the longest prefix of the path, nil when there is none. The path is compared as it
// was sent, without decoding.
func (p *Plan) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil when it is unknown.
func (p *Plan) Service(name string) *Service { return p.services[name] }

// Workspace returns the workspace that holds a key, nil when none does.
func (p *Plan) Workspace(key string) *Workspace { return p.keys[key] }

// HasWorkspaces reports whether requests to routes that aren't public need a key.
func (p *Plan) HasWorkspaces() bool { return len(p.Workspaces) > 0 }

// Pick returns the service of a request; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// CanRepeat reports whether a request of the route may run again after its answer was lost.
func (r *Route) CanRetry() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}
