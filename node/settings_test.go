package node

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a setting that is missing in the configuration reference.
func TestSettingsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../docs/configuration.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(doc), "## node\n")
	assert.Assert(t, found)
	for _, v := range []any{Settings{}, Listen{}, RetryBudget{}, LoadLimits{}} {
		for f := range reflect.TypeOf(v).Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			assert.Assert(t, strings.Contains(section, "`"+name+"`"), name)
		}
	}
}

// Guards against invalid settings that are accepted.
func TestSettingsCheck(t *testing.T) {
	for _, c := range []struct {
		modify func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.Place.Name = "" }, "place/name"},
		{func(s *Settings) { s.Listen.Exchange = "" }, "listen/exchange"},
		{func(s *Settings) { s.MinVoters = -1 }, "minVoters"},
		{func(s *Settings) { s.GraceMillis = -1 }, "graceMillis"},
		{func(s *Settings) { s.RetryBudget = RetryBudget{Ratio: -1, Slack: 1, WindowMillis: 1} }, "retryBudget"},
		{func(s *Settings) { s.Load = LoadLimits{ColdSlack: 1} }, "load/coldOver"},
	} {
		s := testSettings("n")
		c.modify(&s)
		assert.ErrorContains(t, s.Check(), c.want)
	}
	s := testSettings("n")
	assert.NilError(t, s.Check())
	assert.Equal(t, s.Listen.Advertise, s.Listen.Exchange)
}
