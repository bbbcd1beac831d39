package planchecker

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"cactusroute.dev/core/planner"
)

// Result is what an operator should know before a plan is sent.
type Result struct {
	Errors      []string // the plan would be rejected
	Findings    []string // entries that can't have an effect, or that contradict each other
	Differences []string // from the plan in force
}

// The exit codes of a check.
const (
	ExitClean    = 0
	ExitErrors   = 1
	ExitFindings = 2
)

// ExitCode returns the exit code of a command that shows the result; differences are no fault.
func (r *Result) ExitCode() int {
	switch {
	case len(r.Errors) > 0:
		return ExitErrors
	case len(r.Findings) > 0:
		return ExitFindings
	}
	return ExitClean
}

// Write writes one line for each element of the result, and a summary.
func (r *Result) Write(w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write the result of a check: %w", err)
		}
	}()
	var b strings.Builder
	for _, list := range []struct {
		prefix string
		lines  []string
	}{{"error: ", r.Errors}, {"finding: ", r.Findings}, {"difference: ", r.Differences}} {
		for _, line := range list.lines {
			b.WriteString(list.prefix + line + "\n")
		}
	}
	fmt.Fprintf(&b, "%d errors, %d findings, %d differences\n", len(r.Errors), len(r.Findings), len(r.Differences))
	_, err = io.WriteString(w, b.String())
	return err
}

// Decode decodes the content of a plan.
type Decode func(content []byte) (*planner.Plan, error)

// Check checks a plan; inForce is the content of the plan in force, or nil if it is not known.
func Check(content, inForce []byte, decode Decode) (r Result) {
	p, err := decode(content)
	if err != nil {
		var invalid *planner.InvalidError
		if errors.As(err, &invalid) {
			err = errors.New(invalid.Reason)
		}
		r.Errors = append(r.Errors, err.Error())
		return r
	}
	r.Findings = Find(p)
	if inForce == nil {
		return r
	}
	old, err := decode(inForce)
	if err != nil {
		r.Errors = append(r.Errors, "plan in force: "+err.Error())
		return r
	}
	r.Differences = Compare(old, p)
	switch {
	case p.Version < old.Version:
		r.Errors = append(r.Errors, fmt.Sprintf("version %d is lower than %d, which is in force", p.Version, old.Version))
	case p.Version == old.Version && len(r.Differences) > 0:
		r.Errors = append(r.Errors, fmt.Sprintf("version %d is in force with other content", p.Version))
	}
	return r
}

// finder collects findings about one entry at a time.
type finder struct {
	entry string
	found []string
}

func (f *finder) addIf(condition bool, format string, args ...any) {
	if condition {
		f.found = append(f.found, f.entry+": "+fmt.Sprintf(format, args...))
	}
}

// Find returns the entries of a valid plan that can't have an effect, and limits that contradict each other.
func Find(p *planner.Plan) []string {
	f := &finder{}
	f.entry = "limits"
	l := &p.Limits
	f.addIf(l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeoutMillis < 0 || l.IdleTimeoutMillis < 0,
		"a negative number limits nothing")
	receives := map[string]bool{}
	needsKey := false
	for i := range p.Routes {
		r := &p.Routes[i]
		f.findInRoute(r)
		needsKey = needsKey || !r.Public
		for _, s := range r.Shares {
			f.addIf(s.Weight == 0, "service %q has weight 0 and gets no request", s.Service)
			receives[s.Service] = receives[s.Service] || s.Weight > 0
		}
	}
	for i := range p.Services {
		s := &p.Services[i]
		f.findInService(s)
		f.addIf(!receives[s.Name], "no route sends it requests")
	}
	f.entry = "workspaces"
	f.addIf(p.HasWorkspaces() && !needsKey, "every route is public, so that no request needs a key")
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		f.entry = fmt.Sprintf("workspace %q", w.Name)
		f.addIf(len(w.Keys) == 0, "has no key, so that no request belongs to it")
		seen := map[string]bool{}
		for _, key := range w.Keys {
			f.addIf(key == "" || strings.TrimSpace(key) != key, "a key is empty or has outer spaces, which no header carries")
			f.addIf(seen[key], "has the same key twice")
			seen[key] = true
		}
		f.addIf(w.Weight > 0 && !p.LoadPolicy().Shares, "its weight has no effect with scheduling by count")
	}
	return f.found
}

func (f *finder) findInRoute(r *planner.Route) {
	f.entry = routeName(r)
	f.addIf(strings.ContainsAny(r.Prefix, "?# "), "the prefix has a character that no path contains")
	f.addIf(strings.ContainsAny(r.Host, ":/ ") && !strings.HasPrefix(r.Host, "["),
		"the host has a port or another part that is not compared, so that it never matches")
	f.addIf(r.TargetMillis > r.TimeoutMillis, "its target of %d ms is after its timeout of %d ms", r.TargetMillis,
		r.TimeoutMillis)
	if r.Kind != planner.KindStream {
		f.addIf(r.Resumable || r.GapTargetMillis > 0 || r.StallMillis > 0,
			"kind %s has no events, so that resumption, gap target and stall timeout have no effect", r.Kind)
		return
	}
	f.addIf(r.StallMillis > 0 && r.StallMillis >= r.TimeoutMillis, "its stall timeout of %d ms is not before its timeout",
		r.StallMillis)
	f.addIf(r.StallMillis > 0 && r.StallMillis < max(r.TargetMillis, r.GapTargetMillis),
		"its stall timeout of %d ms ends streams that are on time", r.StallMillis)
	f.addIf(r.GapTargetMillis > r.TimeoutMillis, "its gap target of %d ms is longer than its timeout", r.GapTargetMillis)
	f.addIf(r.Resumable && r.MaxAttempts == 1, "it is resumable, but 1 attempt allows no resumption by the fleet")
}

func (f *finder) findInService(s *planner.Service) {
	f.entry = fmt.Sprintf("service %q", s.Name)
	f.addIf(s.MaxConnections < 0 || s.ColdPerSecond < 0 || s.Slots < 0 || s.CacheTokens < 0,
		"a negative number limits nothing")
	f.addIf(s.MaxConnections > 0 && s.Slots > s.MaxConnections, "%d connections can't fill %d slots", s.MaxConnections,
		s.Slots)
	f.addIf(s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/"), "health path %q has no leading slash",
		s.HealthPath)
	if !s.Engine {
		f.addIf(s.CacheTokens > 0 || s.CacheTokenBytes > 0 || s.LinkBitsPerSecond > 0,
			"it is not an engine, so that its cache has no effect")
		return
	}
	f.addIf(s.LinkBitsPerSecond > 0 && s.CacheTokenBytes <= 0, "its link has no effect without the size of a cached token")
}

func routeName(r *planner.Route) string {
	return fmt.Sprintf("route %q (%s%s)", r.Name, r.Host, r.Prefix)
}
