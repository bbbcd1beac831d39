package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/cactusctl/requester"
)

const (
	statusPath    = "/admin/v1/status"
	processesPath = "/admin/v1/processes"
)

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is complete and print progress to standard error"},
		&cli.DurationFlag{Name: "deadline", Value: 5 * time.Minute, Usage: "maximum `TIME` to wait"},
	}
}

// serviceCommand returns the commands that take a failure domain or an endpoint out of service and back in.
func (a *app) serviceCommand(kind string) *cli.Command {
	path := map[string]string{"failure-domain": "failureDomains", "endpoint": "endpoints"}[kind]
	label := strings.ReplaceAll(kind, "-", " ")
	set := func(state string) action {
		return func(ctx context.Context, c *invocation) error { return a.setServiceState(ctx, c, kind, path, state) }
	}
	return commandGroup(kind, "change the service state of one "+label,
		a.controlCommand("out", "take one "+label+" out of service", "NAME", set("out"), waitFlags()...),
		a.controlCommand("in", "return one "+label+" to service", "NAME", set("in")),
	)
}

func (c *invocation) readStatus(ctx context.Context) (*requester.Status, json.RawMessage, error) {
	raw, err := c.client.Read(ctx, statusPath)
	if err != nil {
		return nil, nil, err
	}
	v := &requester.Status{}
	return v, raw, json.Unmarshal(raw, v)
}

// serviceState is the part of the fleet status that a drain depends on.
type serviceState struct {
	out      bool
	inFlight int
	// lostEndpoints names endpoints without a connection to control whose last report had requests in flight, which
	// inFlight still counts.
	lostEndpoints []string
}

func findServiceState(s *requester.Status, kind, name string) (st serviceState, ok bool) {
	if kind == "endpoint" {
		for _, e := range s.Endpoints {
			if e.Name == name {
				st, ok = serviceState{out: e.OutOfService, inFlight: e.InFlight}, true
			}
		}
	} else {
		for _, f := range s.FailureDomains {
			if f.Name == name {
				st, ok = serviceState{out: f.OutOfService, inFlight: f.InFlight}, true
			}
		}
	}
	for _, e := range s.Endpoints {
		if e.Lost && e.InFlight > 0 && (e.Name == name || kind == "failure-domain" && e.FailureDomain == name) {
			st.lostEndpoints = append(st.lostEndpoints, e.Name)
		}
	}
	return st, ok
}

func (a *app) setServiceState(ctx context.Context, c *invocation, kind, path, state string) error {
	name := c.Args().First()
	check := func(ctx context.Context) (json.RawMessage, bool, error) {
		s, _, err := c.readStatus(ctx)
		if err != nil {
			return nil, false, err
		}
		st, ok := findServiceState(s, kind, name)
		raw, err := json.Marshal(requester.ServiceChange{Index: s.Index, InFlight: st.inFlight})
		return raw, ok && st.out == (state == "out"), err
	}
	target := fmt.Sprintf("/admin/v1/%s/%s/%s", path, url.PathEscape(name), state)
	raw, err := c.client.Write(ctx, http.MethodPost, target, nil, check)
	if err != nil {
		return err
	}
	if c.Bool("wait") {
		if raw, err = a.waitDrain(ctx, c, kind, name); err != nil {
			return err
		}
	}
	return printResponse(a, c, raw, func(v *requester.ServiceChange) []*table {
		t := &table{}
		t.addRow(strings.ToUpper(strings.ReplaceAll(kind, "-", " ")), "STATE", "IN FLIGHT", "INDEX")
		t.addRow(name, state, v.InFlight, v.Index)
		return []*table{t}
	})
}

// pollUntilDone calls poll at each interval until it is done, gets an error response, or the deadline passes. Other
// errors are printed as progress, so that an election does not end the wait.
func (a *app) pollUntilDone(
	ctx context.Context, c *invocation, poll func(ctx context.Context) (done bool, state string, err error),
) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("deadline"))
	defer cancel()
	t := time.NewTicker(a.pollInterval)
	defer t.Stop()
	lastState := "no response yet"
	for {
		done, state, err := poll(ctx)
		var apiErr *requester.APIError
		switch {
		case err == nil && done:
			return nil
		case errors.As(err, &apiErr):
			return err
		case err != nil && ctx.Err() == nil:
			state = err.Error()
		}
		if ctx.Err() == nil && state != lastState {
			lastState = state
			a.printProgress("waiting: %s", state)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return ctx.Err()
			}
			return &waitTimeoutError{lastState: lastState}
		}
	}
}

// waitDrain waits until no requests are in flight and none can start.
func (a *app) waitDrain(ctx context.Context, c *invocation, kind, name string) (response json.RawMessage, err error) {
	earliestEnd := time.Now().Add(a.minDrainTime)
	err = a.pollUntilDone(ctx, c, func(ctx context.Context) (bool, string, error) {
		s, _, err := c.readStatus(ctx)
		if err != nil {
			return false, "", err
		}
		st, ok := findServiceState(s, kind, name)
		state := fmt.Sprintf("%d requests in flight", st.inFlight)
		switch {
		case !ok || !st.out:
			state += "; still in service at this control instance, or returned to service by another operator"
		case len(st.lostEndpoints) > 0:
			state += "; lost endpoints: " + strings.Join(st.lostEndpoints, ", ")
		case st.inFlight == 0:
			state += "; agents without a connection to control may accept requests until their leases expire"
		}
		response, err = json.Marshal(requester.ServiceChange{Index: s.Index, InFlight: st.inFlight})
		return ok && st.out && st.inFlight == 0 && time.Now().After(earliestEnd), state, err
	})
	return response, err
}

func (c *invocation) readProcesses(ctx context.Context) ([]requester.Process, json.RawMessage, error) {
	raw, err := c.client.Read(ctx, processesPath)
	if err != nil {
		return nil, nil, err
	}
	var list requester.List[requester.Process]
	err = json.Unmarshal(raw, &list)
	return list.Items, raw, err
}

// waitRollout waits until every connected process has applied the version or a higher one.
func (a *app) waitRollout(ctx context.Context, c *invocation, version uint64) error {
	return a.pollUntilDone(ctx, c, func(ctx context.Context) (bool, string, error) {
		list, _, err := c.readProcesses(ctx)
		if err != nil {
			return false, "", err
		}
		var laggards []string
		for i := range list {
			if list[i].BundleVersion < version {
				laggards = append(laggards, list[i].Name)
			}
		}
		state := fmt.Sprintf("version %d in force at %d of %d processes", version, len(list)-len(laggards), len(list))
		if len(laggards) > 0 {
			slices.Sort(laggards)
			state += "; laggards: " + strings.Join(laggards, ", ")
		}
		return len(laggards) == 0, state, nil
	})
}

func (a *app) showStatus(ctx context.Context, c *invocation) error {
	_, raw, err := c.readStatus(ctx)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(s *requester.Status) []*table {
		fleet, domains, endpoints := &table{}, &table{}, &table{}
		fleet.addRow("BUNDLE", "INDEX", "LEADER", "TERM", "LAGGARDS")
		fleet.addRow(s.BundleVersion, s.Index, s.Control.Leader, s.Control.Term, strings.Join(s.Processes.Laggards, ","))
		domains.addRow("FAILURE DOMAIN", "REGION", "STATE", "IN FLIGHT")
		for _, f := range s.FailureDomains {
			domains.addRow(f.Name, f.Region, serviceStateName(f.OutOfService), f.InFlight)
		}
		endpoints.addRow("ENDPOINT", "POOL", "FAILURE DOMAIN", "ADDRESS", "INCARNATION", "STATE", "IN FLIGHT")
		for i := range s.Endpoints {
			e := &s.Endpoints[i]
			endpoints.addRow(e.Name, e.Pool, e.FailureDomain, e.Address, e.Incarnation, endpointState(e), e.InFlight)
		}
		return []*table{fleet, memberTable(&s.Control), domains, endpoints}
	})
}

func serviceStateName(isOut bool) string {
	if isOut {
		return "out"
	}
	return "in"
}

func endpointState(e *requester.Endpoint) string {
	state := serviceStateName(e.OutOfService)
	for _, f := range []struct {
		set  bool
		name string
	}{{e.Leaving, "leaving"}, {e.Lost, "lost"}, {e.Damped, "damped"}} {
		if f.set {
			state += "," + f.name
		}
	}
	return state
}

func (a *app) listProcesses(ctx context.Context, c *invocation) error {
	_, raw, err := c.readProcesses(ctx)
	if err != nil {
		return err
	}
	return printResponse(a, c, raw, func(v *requester.List[requester.Process]) []*table {
		t := &table{}
		t.addRow("NAME", "ROLE", "ADDRESS", "FAILURE DOMAIN", "CONTROL", "INDEX", "BUNDLE")
		for _, p := range v.Items {
			t.addRow(p.Name, p.Role, p.Address, p.FailureDomain, p.Control, p.Index, p.BundleVersion)
		}
		return []*table{t}
	})
}
