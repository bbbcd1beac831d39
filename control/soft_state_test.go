package control

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

// Guards against one odd load report that moves the load bound of all endpoints of its pool.
func TestOddLoadReportCostsItselfAlone(t *testing.T) {
	v := viewer.NewView()
	v.Pools = map[string]bundler.Pool{"p": {}}
	v.Endpoints = map[string]viewer.Endpoint{"sound": {Name: "sound", Pool: "p"}, "odd": {Name: "odd", Pool: "p"}}
	for _, n := range []int{-1, math.MinInt, 1<<20 + 1, math.MaxInt} {
		s := newSoftState("self", func() *viewer.View { return v }, 1)
		s.reportLoad("sound", subscriber.Load{InFlight: 4})
		s.reportLoad("odd", subscriber.Load{InFlight: n})
		b, err := cbor.Marshal(softMessage{Loads: []softLoad{{Name: "odd", InFlight: n}}})
		assert.NilError(t, err)
		s.handleMessage("peer", b)
		s.updatePoolLoads()
		loads, _ := s.poolLoads("p")
		assert.Equal(t, loads[0].Mean, 2.0, "%d", n)
	}
}

// Guards against an agent that counts as present for good because of the time of its last message that a peer reports.
func TestOddSilenceIsBounded(t *testing.T) {
	for _, millis := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000 * 3} {
		s := newSoftState("self", viewer.NewView, 1)
		b, err := cbor.Marshal(softMessage{Processes: []softProcess{{SilentMillis: millis, Process: subscriber.Process{
			Identity: subscriber.Identity{Name: "a", Role: subscriber.RoleAgent}}}}})
		assert.NilError(t, err)
		s.handleMessage("peer", b)
		silent := time.Since(s.lastMessageAt("a"))
		assert.Check(t, silent >= 0 && silent < goneAfter+time.Minute, "%d: %s", millis, silent)
	}
}
