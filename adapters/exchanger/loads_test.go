package exchanger

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests that are counted for the wrong endpoint when endpoints are added and removed.
func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e loadEncoder
		var d loadDecoder
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			first := rapid.IntRange(0, 2000).Draw(t, "first")
			loads := Loads{}
			for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
				loads[fmt.Sprintf("i-%d", first+i*rapid.IntRange(1, 3).Draw(t, "step"))] = rapid.IntRange(0, 500).Draw(t, "n")
			}
			m := e.encode(loads)
			got, err := d.decode(&m)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, loads)
			assert.Assert(t, len(e.numbers) <= 2*len(loads)+maxUnusedNumbers+len(loads))
			assert.Equal(t, len(d.ids), len(e.numbers))
		}
	})
}

// Guards against a corrupt or hostile message that crashes the process or counts requests for the wrong endpoint.
func TestInvalidLoadsAreRejected(t *testing.T) {
	for _, counts := range [][]byte{
		{0}, {5, 1}, {0, 1, 7, 1}, {0xff},
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1}, // delta
		{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, // requests
	} {
		d := loadDecoder{ids: []string{"a", "b"}}
		_, err := d.decode(&loadsMessage{Counts: counts})
		assert.ErrorIs(t, err, errInvalidLoads)
	}
	rapid.Check(t, func(t *rapid.T) {
		d := loadDecoder{ids: []string{"a", "b"}}
		_, _ = d.decode(&loadsMessage{Counts: rapid.SliceOf(rapid.Byte()).Draw(t, "counts")}) // must not panic
	})
}

// Guards against load messages that exceed a router's bandwidth limit at the design size, and against loads that expire
// before the next message.
func TestLoadBandwidthIsBounded(t *testing.T) {
	const limit = 4 << 10 // bytes per second of a router, see docs/CAPACITY.md
	for _, entries := range []int{1, 12, 63, 64, 200, 920} {
		loads := Loads{}
		for i := range entries {
			loads[fmt.Sprintf("endpoint-%04d", i)] = 3 + i%40
		}
		var e loadEncoder
		_ = e.encode(loads)
		for id := range loads {
			loads[id]++
		}
		data, err := cbor.Marshal(e.encode(loads))
		assert.NilError(t, err)
		pause := max(loadInterval, minLoadInterval(entries))
		perSecond := float64(len(data)) / pause.Seconds()
		assert.Assert(t, perSecond <= limit, "%d entries: %.0f bytes per second", entries, perSecond)
		assert.Assert(t, pause+loadInterval < time.Second, "%d entries: %v", entries, pause)
	}
}
