package bundler

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

const validBundle = `// the first bundle
{
  "version": 1,
  "failureDomains": [{"name": "a", "region": "r"}],
  "pools": [
    {"name": "p", "kind": "model", "model": "m", "maxConcurrency": 4, "timeoutMillis": 1000},
    {"name": "s", "kind": "service", "maxConcurrency": 4, "timeoutMillis": 1000, "nonIdempotentPaths": ["/x"]},
  ],
  "workspaces": [
    {"name": "w", "team": "t", "keyHashes": [], "priority": "batch", "pools": ["p"], "weight": 1},
  ],
  "freshness": {"onQuorumLoss": "refuse"},
}
`

// Guards against invalid fields that are accepted, or reported without the line, the path and the allowed values.
func TestParseRejectsInvalidFields(t *testing.T) {
	_, errs := Parse("b.json", []byte(validBundle))
	assert.Equal(t, len(errs), 0, "%v", errs)
	hash := strings.Repeat("a", 64)
	for _, tc := range []struct {
		old, new string
		line     int
		field    string
	}{
		{`"version": 1`, `"version": 0`, 3, "/version"},
		{`"version": 1`, `"version": "1"`, 3, "/version"},
		{`"version": 1`, `"version": 1, "version": 1`, 3, "/version"},
		{`"version": 1`, `"verzion": 1`, 3, "/verzion"},
		{`"version": 1,`, `"version": 1`, 4, ""},
		{`"region": "r"`, `"region": ""`, 4, "/failureDomains/0/region"},
		{`[{"name": "a", "region": "r"}]`, `null`, 4, "/failureDomains"},
		{`"kind": "model"`, `"kind": "engine"`, 6, "/pools/0/kind"},
		{`"model": "m"`, `"model": ""`, 6, "/pools/0/model"},
		{`"model": "m"`, `"model": "m", "adapters": ["x", "x"]`, 6, "/pools/0/adapters/1"},
		{`"kind": "service"`, `"kind": "service", "model": "z"`, 7, "/pools/1/model"},
		{`"kind": "service"`, `"kind": "model", "model": "m"`, 7, "/pools/1/model"},
		{`["/x"]`, `["x"]`, 7, "/pools/1/nonIdempotentPaths/0"},
		{`["/x"]`, `["/x"], "repeatablePaths": ["y"]`, 7, "/pools/1/repeatablePaths/0"},
		{`["/x"]`, `["/x"], "repeatablePaths": ["/y", "/y"]`, 7, "/pools/1/repeatablePaths/1"},
		{`["/x"]`, `["/x"], "repeatablePaths": ["/X/y"]`, 7, "/pools/1/repeatablePaths/0"},
		{`"model": "m"`, `"model": "m", "repeatablePaths": ["/y"]`, 6, "/pools/0/repeatablePaths"},
		{`"maxConcurrency": 4`, `"maxConcurrency": 0`, 6, "/pools/0/maxConcurrency"},
		{`"timeoutMillis": 1000`, `"timeoutMillis": 0`, 6, "/pools/0/timeoutMillis"},
		{`"team": "t"`, `"team": "T"`, 10, "/workspaces/0/team"},
		{`"priority": "batch"`, `"priority": "high"`, 10, "/workspaces/0/priority"},
		{`"weight": 1`, `"weight": 1001`, 10, "/workspaces/0/weight"},
		{`"weight": 1`, `"weight": 1, "maxInFlight": -1`, 10, "/workspaces/0/maxInFlight"},
		{`"pools": ["p"]`, `"pools": ["z"]`, 10, "/workspaces/0/pools/0"},
		{`"pools": ["p"]`, `"pools": ["p", "p"]`, 10, "/workspaces/0/pools/1"},
		{`"keyHashes": []`, `"keyHashes": ["x"]`, 10, "/workspaces/0/keyHashes/0"},
		{`"keyHashes": []`, fmt.Sprintf(`"keyHashes": [%q, %q]`, hash, hash), 10, "/workspaces/0/keyHashes/1"},
		{`"onQuorumLoss": "refuse"`, `"onQuorumLoss": "maybe"`, 12, "/freshness/onQuorumLoss"},
	} {
		text := strings.Replace(validBundle, tc.old, tc.new, 1)
		assert.Assert(t, text != validBundle, tc.new)
		_, errs := Parse("b.json", []byte(text))
		assert.Assert(t, len(errs) > 0, tc.new)
		var e *FieldError
		for _, err := range errs {
			assert.Assert(t, errors.As(err, &e), tc.new)
			if e.Field == tc.field {
				break
			}
		}
		assert.Equal(t, e.File, "b.json")
		assert.Equal(t, e.Line, tc.line, tc.new)
		assert.Equal(t, e.Field, tc.field, tc.new)
		assert.Assert(t, e.Allowed != "" && e.Problem != "", tc.new)
	}
}

// Guards against panics of the parser, errors without a line, and canonical content that changes when it is reparsed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte(`{"version":1e400,"pools":{},"workspaces":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, errs := Parse("f", data)
		for _, err := range errs {
			var e *FieldError
			assert.Assert(t, errors.As(err, &e) && e.Line > 0, "%v", err)
		}
		if b == nil {
			assert.Assert(t, len(errs) > 0)
			return
		}
		content, err := EncodeCanonical(b)
		assert.NilError(t, err)
		reparsed, errs := Parse("f", content)
		assert.Equal(t, len(errs), 0, "%v", errs)
		assert.Equal(t, len(Diff(b, reparsed)), 0)
		stored, err := EncodeCanonical(reparsed)
		assert.NilError(t, err)
		assert.Equal(t, Digest(stored), Digest(content))
	})
}

// Guards against requests that are retried because their path resembles one of the repeatable paths.
func TestOnlyListedPathsAreRepeatable(t *testing.T) {
	p := Pool{NonIdempotentPaths: []string{"/refunds", "/stock/orders"}, RepeatablePaths: []string{"/stock", "/search/"}}
	for _, tt := range []struct {
		path     string
		needsKey bool
		want     planner.Kind
	}{
		{"/stock", false, planner.KindRepeatable},
		{"/stock/12", false, planner.KindRepeatable},
		{"/search", false, planner.KindRepeatable},
		{"/stocks", false, planner.KindOnce},
		{"/Stock", false, planner.KindOnce},
		{"/stock/orders", true, planner.KindOnce},
		{"/stock/ORDERS/1", true, planner.KindOnce},
		{"/refund", false, planner.KindOnce},
		{"/refunds", true, planner.KindOnce},
		{"/", false, planner.KindOnce},
	} {
		assert.Equal(t, p.NeedsIdempotencyKey(tt.path), tt.needsKey, tt.path)
		assert.Equal(t, p.RequestKind(tt.path), tt.want, tt.path)
	}
}
