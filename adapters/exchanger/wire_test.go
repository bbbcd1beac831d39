package exchanger

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Guards against heartbeats that repeat an unchanged list of control instances, which was most of the traffic between
// thirty of them, and against a subscriber that forgets the instances that a heartbeat omits.
func TestHeartbeatsOmitUnchangedInstances(t *testing.T) {
	list := make([]Contact, 30)
	for i := range list {
		list[i] = Contact{
			Name: fmt.Sprintf("edge-zone-%d", i), Address: "10.0.0.1:7240", Control: "10.0.0.1:7241", Domain: "zone",
			Eligible: true,
		}
	}
	var e heartbeatEncoder
	var d heartbeatDecoder
	for i, instances := range [][]Contact{nil, list, list, list[1:], list[1:], nil, nil, list} {
		want := Heartbeat{Quorate: i%2 == 0, Routers: 300 + i, QuorateInstances: instances, SubscribedRouters: i}
		m := e.encode(want)
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		var received heartbeatMessage
		assert.NilError(t, cbor.Unmarshal(data, &received))
		got := d.decode(&received)
		assert.Equal(t, len(got.QuorateInstances), len(instances))
		assert.Equal(t, got.Routers, want.Routers)
		if m.SameInstances {
			assert.Assert(t, len(data) <= 32, "%d bytes", len(data))
		}
	}
}
