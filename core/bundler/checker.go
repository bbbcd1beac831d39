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
	maxItemBytes        = 256

	nameFormat = "1 to 63 characters of a-z, 0-9, '-' and '.'"
)

type checker struct {
	file  string
	lines Lines
	errs  []error
}

func (c *checker) addError(path, problem, allowed string) {
	c.errs = append(c.errs, &FieldError{
		File: c.file, Line: c.lineOf(path), Field: path, Problem: problem, Allowed: allowed,
	})
}

// lineOf falls back to the line of the enclosing value, because a missing field has no line.
func (c *checker) lineOf(path string) int {
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

// check returns an error for each invalid field of b and sets the default of freshness.onQuorumLoss.
func check(b *Bundle, file string, lines Lines) []error {
	c := &checker{file: file, lines: lines}
	if b.Version == 0 {
		c.addError("/version", "missing or zero", "an integer of at least 1")
	}
	if len(b.FailureDomains) == 0 {
		c.addError("/failureDomains", "empty", "at least one failure domain")
	}
	c.checkNames("/failureDomains", len(b.FailureDomains), func(i int) string { return b.FailureDomains[i].Name })
	c.checkNames("/pools", len(b.Pools), func(i int) string { return b.Pools[i].Name })
	c.checkNames("/workspaces", len(b.Workspaces), func(i int) string { return b.Workspaces[i].Name })
	for i := range b.FailureDomains {
		if f := &b.FailureDomains[i]; !isValidName(f.Region) {
			c.addError(fmt.Sprintf("/failureDomains/%d/region", i), fmt.Sprintf("invalid name %q", f.Region), nameFormat)
		}
	}
	models := map[string]bool{}
	for i := range b.Pools {
		p := &b.Pools[i]
		c.checkPool(fmt.Sprintf("/pools/%d", i), p)
		if p.Model != "" && models[p.Model] {
			c.addError(fmt.Sprintf("/pools/%d/model", i), fmt.Sprintf("model %q is already served by another pool", p.Model),
				"one pool per model")
		}
		models[p.Model] = true
	}
	poolNames := make([]string, 0, len(b.Pools))
	for i := range b.Pools {
		poolNames = append(poolNames, b.Pools[i].Name)
	}
	workspaceByHash := map[string]string{}
	for i := range b.Workspaces {
		c.checkWorkspace(fmt.Sprintf("/workspaces/%d", i), &b.Workspaces[i], poolNames, workspaceByHash)
	}
	switch b.Freshness.OnQuorumLoss {
	case "":
		b.Freshness.OnQuorumLoss = QuorumLossRefuse
	case QuorumLossRefuse, QuorumLossServe:
	default:
		c.addError("/freshness/onQuorumLoss", "unknown value", "refuse, serve")
	}
	return c.errs
}

func (c *checker) checkNames(path string, n int, name func(int) string) {
	seen := map[string]bool{}
	for i := range n {
		s := name(i)
		field := fmt.Sprintf("%s/%d/name", path, i)
		switch {
		case !isValidName(s):
			c.addError(field, fmt.Sprintf("invalid name %q", s), nameFormat)
		case seen[s]:
			c.addError(field, fmt.Sprintf("duplicate name %q", s), "unique names")
		}
		seen[s] = true
	}
}

func (c *checker) checkPool(path string, p *Pool) {
	switch p.Kind {
	case PoolModel:
		if p.Model == "" {
			c.addError(path+"/model", "missing", "a model name")
		}
		if len(p.NonIdempotentPaths) > 0 {
			c.addError(path+"/nonIdempotentPaths", "not valid for a model pool", "only with kind service")
		}
		if len(p.RepeatablePaths) > 0 {
			c.addError(path+"/repeatablePaths", "not valid for a model pool", "only with kind service")
		}
		c.checkItems(path+"/adapters", p.Adapters)
	case PoolService:
		for _, f := range []struct {
			name  string
			isSet bool
		}{
			{"model", p.Model != ""}, {"modelVersion", p.ModelVersion != ""}, {"adapters", len(p.Adapters) > 0},
		} {
			if f.isSet {
				c.addError(path+"/"+f.name, "not valid for a service pool", "only with kind model")
			}
		}
		c.checkPathPrefixes(path+"/nonIdempotentPaths", p.NonIdempotentPaths)
		c.checkPathPrefixes(path+"/repeatablePaths", p.RepeatablePaths)
		for i, s := range p.RepeatablePaths {
			if p.NeedsIdempotencyKey(s) {
				c.addError(fmt.Sprintf("%s/repeatablePaths/%d", path, i), fmt.Sprintf("path %q needs an idempotency key", s),
					"a path that nonIdempotentPaths does not cover")
			}
		}
	default:
		c.addError(path+"/kind", fmt.Sprintf("unknown value %q", p.Kind), "model, service")
	}
	c.checkRange(path+"/maxConcurrency", p.MaxConcurrency, 1, maxConcurrencyLimit)
	c.checkRange(path+"/timeoutMillis", p.TimeoutMillis, 1, maxTimeoutMillis)
	c.checkRange(path+"/firstTokenTargetMillis", p.FirstTokenTargetMillis, 0, maxTimeoutMillis)
	c.checkRange(path+"/tokenGapTargetMillis", p.TokenGapTargetMillis, 0, maxTimeoutMillis)
}

// checkPathPrefixes rejects invalid path prefixes.
func (c *checker) checkPathPrefixes(path string, prefixes []string) {
	c.checkItems(path, prefixes)
	for i, s := range prefixes {
		if !strings.HasPrefix(s, "/") {
			c.addError(fmt.Sprintf("%s/%d", path, i), "invalid path", "a path that starts with '/'")
		}
	}
}

func (c *checker) checkWorkspace(path string, w *Workspace, poolNames []string, workspaceByHash map[string]string) {
	if !isValidName(w.Team) {
		c.addError(path+"/team", fmt.Sprintf("invalid name %q", w.Team), nameFormat)
	}
	if w.Priority != PriorityInteractive && w.Priority != PriorityBatch {
		c.addError(path+"/priority", fmt.Sprintf("unknown value %q", w.Priority), "interactive, batch")
	}
	c.checkRange(path+"/weight", w.Weight, 1, maxWeight)
	c.checkRange(path+"/maxInFlight", w.MaxInFlight, 0, maxInFlightLimit)
	c.checkItems(path+"/pools", w.Pools)
	for i, p := range w.Pools {
		if !slices.Contains(poolNames, p) {
			c.addError(fmt.Sprintf("%s/pools/%d", path, i), fmt.Sprintf("unknown pool %q", p), strings.Join(poolNames, ", "))
		}
	}
	for i, h := range w.KeyHashes {
		field := fmt.Sprintf("%s/keyHashes/%d", path, i)
		if len(h) != 64 || strings.Trim(h, "0123456789abcdef") != "" {
			c.addError(field, "invalid digest", "64 hexadecimal digits (SHA-256 of the key)")
		} else if owner, ok := workspaceByHash[h]; ok {
			c.addError(field, "key already belongs to workspace "+owner, "one workspace per key")
		}
		workspaceByHash[h] = w.Name
	}
}

// checkItems rejects empty, long and duplicate items of a list.
func (c *checker) checkItems(path string, list []string) {
	for i, s := range list {
		switch {
		case s == "" || len(s) > maxItemBytes:
			c.addError(fmt.Sprintf("%s/%d", path, i), "empty or too long", fmt.Sprintf("1 to %d bytes", maxItemBytes))
		case slices.Contains(list[:i], s):
			c.addError(fmt.Sprintf("%s/%d", path, i), fmt.Sprintf("duplicate item %q", s), "unique items")
		}
	}
}

func (c *checker) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		c.addError(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

func isValidName(s string) bool {
	return len(s) >= 1 && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == ""
}
