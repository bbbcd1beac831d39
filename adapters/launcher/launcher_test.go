package launcher

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

type testSettings struct {
	Place configurer.Place `json:"place"`
}

func (s *testSettings) Check() error { return s.Place.Check() }

// Guards against refusals that don't name file, line and field, and against exit codes that don't tell wrong
// settings from a failed program.
func TestExitCodesAndErrors(t *testing.T) {
	const good = `{"place": {"name": "a", "region": "b", "failureDomain": "c"}}`
	for _, c := range []struct {
		name, settings string
		flags          []string
		failure        error
		code           int
		text           string
	}{
		{name: "serves", settings: good},
		{name: "fails", settings: good, failure: errors.New("port in use"), code: exitFailed, text: "port in use"},
		{name: "check", settings: good, flags: []string{"--check"}, failure: errors.New("not called")},
		{name: "version", flags: []string{"--version"}, settings: good, text: "go1."},
		{name: "flag", settings: good, flags: []string{"--wrong"}, code: exitUsage, text: "wrong"},
		{
			name: "missing field", settings: "{\n\"place\": {\"name\": \"a\",\n\"region\": \"\", \"failureDomain\": \"c\"}}",
			code: exitUsage, text: `settings.json:3: field "/place/region": missing; allowed: a name`,
		},
		{
			name: "missing object", settings: "// nothing\n{}", code: exitUsage,
			text: `settings.json:2: field "/place/name": missing`,
		},
		{name: "unknown field", settings: "{\n\"plaice\": 1}", code: exitUsage, text: `settings.json:2: field "/plaice"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			assert.NilError(t, os.WriteFile(file, []byte(c.settings), 0o600))
			var out strings.Builder
			serve := func(context.Context, *observer.Observer) error { return c.failure }
			args := append([]string{"prog", "--config", file}, c.flags...)
			code := run(t.Context(), "prog", "", &testSettings{}, serve, args, &out, &out)
			assert.Equal(t, code, c.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), c.text), out.String())
		})
	}
}

// Guards against a program that looks for its settings elsewhere when it reads them again.
func TestServeLearnsTheSettingsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"place": {"name": "a", "region": "b", "failureDomain": "c"}}`), 0o600))
	for _, args := range [][]string{{"prog", "--config", file}, {"prog", "-config=" + file}} {
		var out strings.Builder
		got := ""
		serve := func(ctx context.Context, _ *observer.Observer) error {
			got = SettingsFile(ctx)
			return nil
		}
		assert.Equal(t, run(t.Context(), "prog", "", &testSettings{}, serve, args, &out, &out), 0, out.String())
		assert.Equal(t, got, file)
	}
}
