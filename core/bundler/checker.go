package bundler

import (
	"fmt"
	"slices"
	"strings"
)

const (
	maxConcurrencyLimit = 4096
	maxWeight           = 1000
	maxTimeoutMillis    = 3_600_000
	maxInFlightLimit    = 1_000_000
	maxTextBytes        = 256

	allowedName = "1 to 63 of a-z, 0-9, '-' and '.'"
)

type checker struct {
	file  string
	lines Lines
	errs  []error
}

func (c *checker) refuse(path, problem, allowed string) {
	c.errs = append(c.errs, &FieldError{
		File: c.file, Line: c.line(path), Field: path, Problem: problem, Allowed: allowed,
	})
}

// line falls back to the enclosing value, because a missing field has no line of its own.
func (c *checker) line(path string) int {
	for {
		if n, ok := c.lines[path]; ok {
			return n
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return 1
		}
		path = path[:i]
	}
}

func check(b *Bundle, file string, lines Lines) []error {
	c := &checker{file: file, lines: lines}
	if b.Version == 0 {
		c.refuse("/version", "missing or zero", "a whole number from 1 up")
	}
	if len(b.FailureDomains) == 0 {
		c.refuse("/failureDomains", "empty", "at least one failure domain")
	}
	c.names("/failureDomains", len(b.FailureDomains), func(i int) string { return b.FailureDomains[i].Name })
	c.names("/pools", len(b.Pools), func(i int) string { return b.Pools[i].Name })
	c.names("/workspaces", len(b.Workspaces), func(i int) string { return b.Workspaces[i].Name })
	for i := range b.FailureDomains {
		if f := &b.FailureDomains[i]; !isName(f.Region) {
			c.refuse(fmt.Sprintf("/failureDomains/%d/region", i), fmt.Sprintf("bad name %q", f.Region), allowedName)
		}
	}
	models := map[string]bool{}
	for i := range b.Pools {
		p := &b.Pools[i]
		c.pool(fmt.Sprintf("/pools/%d", i), p)
		if p.Model != "" && models[p.Model] {
			c.refuse(fmt.Sprintf("/pools/%d/model", i), fmt.Sprintf("%q is served by another pool", p.Model),
				"one pool for each model")
		}
		models[p.Model] = true
	}
	pools := make([]string, 0, len(b.Pools))
	for i := range b.Pools {
		pools = append(pools, b.Pools[i].Name)
	}
	hashes := map[string]string{}
	for i := range b.Workspaces {
		c.workspace(fmt.Sprintf("/workspaces/%d", i), &b.Workspaces[i], pools, hashes)
	}
	switch b.Freshness.OnQuorumLoss {
	case "":
		b.Freshness.OnQuorumLoss = QuorumLossRefuse
	case QuorumLossRefuse, QuorumLossServe:
	default:
		c.refuse("/freshness/onQuorumLoss", "unknown value", "refuse, serve")
	}
	return c.errs
}

func (c *checker) names(path string, n int, name func(int) string) {
	seen := map[string]bool{}
	for i := range n {
		s := name(i)
		field := fmt.Sprintf("%s/%d/name", path, i)
		switch {
		case !isName(s):
			c.refuse(field, fmt.Sprintf("bad name %q", s), allowedName)
		case seen[s]:
			c.refuse(field, fmt.Sprintf("%q is given twice", s), "unique names")
		}
		seen[s] = true
	}
}

func (c *checker) pool(path string, p *Pool) {
	switch p.Kind {
	case PoolModel:
		if p.Model == "" {
			c.refuse(path+"/model", "missing", "the model's name")
		}
		if len(p.NonIdempotentPaths) > 0 {
			c.refuse(path+"/nonIdempotentPaths", "not valid for a model pool", "only with kind service")
		}
		if len(p.RepeatablePaths) > 0 {
			c.refuse(path+"/repeatablePaths", "not valid for a model pool", "only with kind service")
		}
		c.texts(path+"/adapters", p.Adapters)
	case PoolService:
		for _, f := range []struct {
			name  string
			isSet bool
		}{
			{"model", p.Model != ""}, {"modelVersion", p.ModelVersion != ""}, {"adapters", len(p.Adapters) > 0},
		} {
			if f.isSet {
				c.refuse(path+"/"+f.name, "not valid for a service pool", "only with kind model")
			}
		}
		c.paths(path+"/nonIdempotentPaths", p.NonIdempotentPaths)
		c.paths(path+"/repeatablePaths", p.RepeatablePaths)
		for i, s := range p.RepeatablePaths {
			if p.NeedsIdempotencyKey(s) {
				c.refuse(fmt.Sprintf("%s/repeatablePaths/%d", path, i), fmt.Sprintf("%q needs an idempotency key", s),
					"a path that nonIdempotentPaths does not cover")
			}
		}
	default:
		c.refuse(path+"/kind", fmt.Sprintf("unknown value %q", p.Kind), "model, service")
	}
	c.within(path+"/maxConcurrency", p.MaxConcurrency, 1, maxConcurrencyLimit)
	c.within(path+"/timeoutMillis", p.TimeoutMillis, 1, maxTimeoutMillis)
	c.within(path+"/firstTokenTargetMillis", p.FirstTokenTargetMillis, 0, maxTimeoutMillis)
	c.within(path+"/tokenGapTargetMillis", p.TokenGapTargetMillis, 0, maxTimeoutMillis)
}

// paths checks prefixes of paths.
func (c *checker) paths(path string, prefixes []string) {
	c.texts(path, prefixes)
	for i, s := range prefixes {
		if !strings.HasPrefix(s, "/") {
			c.refuse(fmt.Sprintf("%s/%d", path, i), "bad path", "a path that starts with '/'")
		}
	}
}

func (c *checker) workspace(path string, w *Workspace, pools []string, hashes map[string]string) {
	if !isName(w.Team) {
		c.refuse(path+"/team", fmt.Sprintf("bad name %q", w.Team), allowedName)
	}
	if w.Priority != PriorityInteractive && w.Priority != PriorityBatch {
		c.refuse(path+"/priority", fmt.Sprintf("unknown value %q", w.Priority), "interactive, batch")
	}
	c.within(path+"/weight", w.Weight, 1, maxWeight)
	c.within(path+"/maxInFlight", w.MaxInFlight, 0, maxInFlightLimit)
	c.texts(path+"/pools", w.Pools)
	for i, p := range w.Pools {
		if !slices.Contains(pools, p) {
			c.refuse(fmt.Sprintf("%s/pools/%d", path, i), fmt.Sprintf("no pool %q", p), strings.Join(pools, ", "))
		}
	}
	for i, h := range w.KeyHashes {
		field := fmt.Sprintf("%s/keyHashes/%d", path, i)
		if len(h) != 64 || strings.Trim(h, "0123456789abcdef") != "" {
			c.refuse(field, "bad digest", "64 hexadecimal digits (SHA-256 of the key)")
		} else if other, ok := hashes[h]; ok {
			c.refuse(field, "key is also held by workspace "+other, "a key names one workspace")
		}
		hashes[h] = w.Name
	}
}

// texts refuses empty, long and repeated items of a list.
func (c *checker) texts(path string, list []string) {
	for i, s := range list {
		switch {
		case s == "" || len(s) > maxTextBytes:
			c.refuse(fmt.Sprintf("%s/%d", path, i), "empty or too long", fmt.Sprintf("1 to %d bytes", maxTextBytes))
		case slices.Contains(list[:i], s):
			c.refuse(fmt.Sprintf("%s/%d", path, i), fmt.Sprintf("%q is given twice", s), "unique items")
		}
	}
}

func (c *checker) within(path string, n, low, high int) {
	if n < low || n > high {
		c.refuse(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

func isName(s string) bool {
	return len(s) >= 1 && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == ""
}
