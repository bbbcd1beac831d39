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

// Guards against settings errors without file, line and field, and against exit codes that do not distinguish invalid
// settings from a failed program.
func TestExitCodesAndErrors(t *testing.T) {
	const validSettings = `{"place": {"name": "a", "region": "b", "failureDomain": "c"}}`
	for _, c := range []struct {
		name, settings string
		flags          []string
		serveErr       error
		wantCode       int
		wantOutput     string
	}{
		{name: "serves", settings: validSettings},
		{
			name: "fails", settings: validSettings, serveErr: errors.New("port in use"),
			wantCode: exitFailed, wantOutput: "port in use",
		},
		{name: "check", settings: validSettings, flags: []string{"--check"}, serveErr: errors.New("not called")},
		{name: "version", flags: []string{"--version"}, settings: validSettings, wantOutput: "go1."},
		{name: "flag", settings: validSettings, flags: []string{"--wrong"}, wantCode: exitUsage, wantOutput: "wrong"},
		{
			name: "missing field", settings: "{\n\"place\": {\"name\": \"a\",\n\"region\": \"\", \"failureDomain\": \"c\"}}",
			wantCode: exitUsage, wantOutput: `settings.json:3: field "/place/region": missing; allowed: a name`,
		},
		{
			name: "missing object", settings: "// nothing\n{}", wantCode: exitUsage,
			wantOutput: `settings.json:2: field "/place/name": missing`,
		},
		{
			name: "unknown field", settings: "{\n\"plaice\": 1}",
			wantCode: exitUsage, wantOutput: `settings.json:2: field "/plaice"`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			assert.NilError(t, os.WriteFile(file, []byte(c.settings), 0o600))
			var out strings.Builder
			serve := func(context.Context, *observer.Observer) error { return c.serveErr }
			args := append([]string{"prog", "--config", file}, c.flags...)
			code := run(t.Context(), "prog", "", &testSettings{}, serve, args, &out, &out)
			assert.Equal(t, code, c.wantCode, out.String())
			assert.Assert(t, strings.Contains(out.String(), c.wantOutput), out.String())
		})
	}
}

// Guards against a program that reloads its settings from a wrong path.
func TestServeContextCarriesTheSettingsFile(t *testing.T) {
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
