package logreader

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
)

// Guards against log lines of an Observer that Read cannot parse.
func TestReadParsesLinesOfAnObserver(t *testing.T) {
	var out strings.Builder
	o := observer.New(&out, "edge-a-1")
	o.Event("endpoint changed", "endpoint", "e1@10.0.0.1:80#7.1", "state", "gone", "cause", "no \"heartbeat\"")
	_ = o.Logger.Log("msg", "request refused", "request", "r1", "status", 503, "version", 4)
	log := "  34.0231 edge-a-1 " + out.String() + "panic: no log line\nts=yesterday msg=x\n"
	var got []recorder.Event
	skipped, err := Read(strings.NewReader(log), func(e recorder.Event) { got = append(got, e) })
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Process, "edge-a-1")
	assert.Equal(t, got[0].Kind, "endpoint changed")
	assert.Equal(t, got[0].Cause, `no "heartbeat"`)
	assert.DeepEqual(t, got[0].Details, []recorder.Detail{{Name: "state", Value: "gone"}})
	assert.Equal(t, got[1].Request, "r1")
	assert.Equal(t, got[1].Version, uint64(4))
	assert.Assert(t, got[0].Stamp.Compare(got[1].Stamp) <= 0)
	filter := recorder.Filter{Endpoint: "e1"}
	assert.Assert(t, filter.Matches(&got[0]) && !filter.Matches(&got[1]))
}

// Guards against a line of unlimited length that exhausts memory, and against a read error treated as the end of input.
func TestTooLongLineIsAnError(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x", 2*maxLineBytes)), func(recorder.Event) {})
	assert.ErrorContains(t, err, "read log")
}
