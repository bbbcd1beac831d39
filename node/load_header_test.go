package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/chooser"
)

// Guards against figures of a load header that are taken for a load or a pace though they are none.
func TestParseLoad(t *testing.T) {
	for _, tc := range []struct {
		value string
		want  chooser.LoadReport
		ok    bool
	}{
		{"3, 2, 64, 130", chooser.LoadReport{Running: 3, Waiting: 2, Pace: 1.3}, true},
		{"3,2,64,70,9", chooser.LoadReport{Running: 3, Waiting: 2, Pace: 0.7}, true},
		{"3,2", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,0", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,-100", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,NaN", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,+Inf", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,1e300", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3,2,64,quick", chooser.LoadReport{Running: 3, Waiting: 2}, true},
		{"3", chooser.LoadReport{}, false},
		{"", chooser.LoadReport{}, false},
	} {
		got, ok := parseLoad(tc.value)
		assert.Equal(t, ok, tc.ok, "%q", tc.value)
		assert.Equal(t, got, tc.want, "%q", tc.value)
	}
}
