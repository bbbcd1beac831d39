package observer

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/recorder"
)

// Guards against events that are logged but not recorded in the timeline, or recorded without their fields.
func TestEventIsLoggedAndRecorded(t *testing.T) {
	var out strings.Builder
	o := New(&out, "router-1")
	o.Event("endpoint lost", "endpoint", "e1", "err", errors.New("silent"), "version", 7, "load", 3, "odd")
	p, _ := o.Recorder.Read(recorder.Cursor{}, 10, recorder.Filter{Endpoint: "e1", Version: 7})
	assert.Equal(t, len(p.Events), 1)
	assert.Equal(t, p.Events[0].Kind, "endpoint lost")
	assert.Equal(t, p.Events[0].Cause, "silent")
	want := []recorder.Detail{{Name: "load", Value: "3"}, {Name: "odd", Value: "(missing)"}}
	assert.DeepEqual(t, p.Events[0].Details, want)
	assert.Assert(t, strings.Contains(out.String(), `msg="endpoint lost" endpoint=e1`), out.String())
	w := httptest.NewRecorder()
	o.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, text := range []string{"cactusroute_build_info{", o.Recorder.Incarnation(), "cactusroute_uptime_seconds "} {
		assert.Assert(t, strings.Contains(w.Body.String(), text), text)
	}
}
