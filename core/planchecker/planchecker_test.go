package planchecker

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

const cleanPlan = `{"version": 3,
	"services": [{"name": "llm", "engine": true, "slots": 64, "maxConnections": 480}, {"name": "ledger"}],
	"routes": [
		{"name": "chat", "host": "api.example", "prefix": "/chat/", "kind": "stream", "resumable": true, "maxAttempts": 2,
		 "timeoutMillis": 4000, "targetMillis": 300, "shares": [{"service": "llm", "weight": 1}]},
		{"name": "book", "host": "api.example", "prefix": "/book/", "timeoutMillis": 800,
		 "shares": [{"service": "ledger", "weight": 1}]}],
	"workspaces": [{"name": "acme", "keys": ["secret-1"]}]}`

// Guards operators against sending a plan whose entries don't do what they say; each case changes one part of a clean
// plan.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		before, after string // replaced in the clean plan
		code          int
		want          string // part of the output
	}{
		{"", "", ExitClean, "0 errors, 0 findings, 0 differences"},
		{`"version": 3`, `"version": 4`, ExitClean, "difference: version: 3 -> 4"},
		{`"version": 3`, `"version": 2`, ExitErrors, "error: version 2 is lower than 3"},
		{`"slots": 64`, `"slots": 32`, ExitErrors, "error: version 3 is in force with other content"},
		{`"slots": 64`, `"slots": 32`, ExitErrors, `difference: service "llm": slots 64 -> 32`},
		{`{"service": "ledger", "weight": 1}`, `{"service": "x", "weight": 1}`, ExitErrors, "unknown service"},
		{`{"name": "ledger"}`, `{"name": "ledger"}, {"name": "spare"}`, ExitErrors, `"spare": no route sends it requests`},
		{`"version": 3`, `"version": 4, "unknown": 1`, ExitErrors, "unknown field"},
		{`"keys": ["secret-1"]`, `"keys": ["secret-2"]`, ExitErrors, `workspace "acme": 1 keys added, 1 keys removed` + "\n"},
		{`"prefix": "/book/"`, `"prefix": "/book?x/"`, ExitErrors, "a character that no path contains"},
		{`"host": "api.example", "prefix": "/book/"`, `"host": "api.example:80", "prefix": "/book/"`, ExitErrors,
			"never matches"},
		{`"targetMillis": 300`, `"targetMillis": 5000`, ExitErrors, "is after its timeout"},
		{`"targetMillis": 300`, `"targetMillis": 300, "stallMillis": 200`, ExitErrors, "ends streams that are on time"},
		{`"maxAttempts": 2`, `"maxAttempts": 1`, ExitErrors, "allows no resumption"},
		{`"maxConnections": 480`, `"maxConnections": 48`, ExitErrors, "48 connections can't fill 64 slots"},
		{`"timeoutMillis": 800`, `"timeoutMillis": 800, "stallMillis": 9`, ExitErrors, "kind once has no events"},
		{`["secret-1"]`, `["secret-1", "secret-1"]`, ExitFindings, "has the same key twice"},
		{`"keys": ["secret-1"]`, `"keys": ["secret-1"], "weight": 2`, ExitErrors, "its weight has no effect"},
	} {
		content := strings.Replace(cleanPlan, c.before, c.after, 1)
		r := Check([]byte(content), []byte(cleanPlan), planner.Parse)
		var b strings.Builder
		assert.NilError(t, r.Write(&b))
		assert.Assert(t, strings.Contains(b.String(), c.want), "%s: %s", c.after, b.String())
		assert.Equal(t, r.ExitCode(), c.code, c.after)
		assert.Assert(t, !strings.Contains(b.String(), "secret"), b.String())
		// A plan that is valid by itself has findings only.
		if alone := Check([]byte(content), nil, planner.Parse); len(r.Findings) > 0 {
			assert.Equal(t, alone.ExitCode(), ExitFindings, c.after)
		}
	}
}
