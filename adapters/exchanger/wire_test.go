package exchanger

import (
	"fmt"
	"testing"
	"time"

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
		m := e.encode(want, receivedPing{})
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

// Guards against a confirmation that looks younger than it is: the clocks of the processes differ, and a heartbeat may
// have waited in a buffer while its receiver stood still.
func TestConfirmationIsDatedByTheSubscribersClock(t *testing.T) {
	const clockOffset, transit = time.Hour, 20 * time.Millisecond
	var pings sentPings
	d := heartbeatDecoder{pings: &pings}
	start := time.Unix(1000, 0)
	for i, c := range []struct{ ping, confirmed time.Duration }{
		{0, -300 * time.Millisecond},
		{600 * time.Millisecond, 700 * time.Millisecond},
		{1200 * time.Millisecond, 1100 * time.Millisecond},
	} {
		number := pings.add(start.Add(c.ping))
		assert.Equal(t, number, uint64(i))
		last := receivedPing{number: number, at: start.Add(c.ping + transit + clockOffset)}
		var e heartbeatEncoder
		m := e.encode(Heartbeat{Quorate: true, Index: 7, ConfirmedAt: start.Add(c.confirmed + clockOffset)}, last)
		got := d.decode(&m)
		assert.Equal(t, got.Index, uint64(7))
		assert.Equal(t, got.ConfirmedAt.Sub(start), c.confirmed-transit)
	}
	for _, c := range []confirmationMessage{
		{Index: 7, Ping: 3}, {Index: 7, Ping: 1 << 63}, {Index: 7, Ping: 2, AfterPing: 1 << 62},
		{Index: 7, Ping: 2, AfterPing: -1 << 63},
	} {
		assert.Assert(t, d.decode(&heartbeatMessage{Quorate: true, Confirmation: &c}).ConfirmedAt.IsZero(), "%+v", c)
	}
	for range maxSentPings {
		pings.add(start)
	}
	forgotten := heartbeatMessage{Quorate: true, Confirmation: &confirmationMessage{Index: 7, Ping: 2}}
	assert.Assert(t, d.decode(&forgotten).ConfirmedAt.IsZero())
}
