package node

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against control traffic whose cause nobody can see: each kind of message must be counted under its name, in
// both directions.
func TestExchangeIsCountedByKind(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.startAll()
	f.putPlan(1, f.nodes)
	f.awaitPlan(1, f.nodes)
	counted := func(n *testNode, direction string) (kinds string) {
		families, err := n.obs.Registry.Gather()
		assert.NilError(t, err)
		for _, family := range families {
			if family.GetName() != "cactusroute_exchange_bytes_total" {
				continue
			}
			for _, m := range family.GetMetric() {
				labels := m.GetLabel() // by name: direction, kind
				if m.GetCounter().GetValue() > 0 && labels[0].GetValue() == direction {
					kinds += labels[1].GetValue() + " "
				}
			}
		}
		return kinds
	}
	for _, kind := range []string{"endpoints", "heartbeat", "state"} {
		eventually(t, "received "+kind, func() bool {
			return strings.Contains(counted(f.nodes[1], directionReceived), kind) &&
				strings.Contains(counted(f.nodes[0], directionSent), kind)
		})
	}
	assert.Assert(t, strings.Contains(counted(f.nodes[0], directionReceived), "hello"))
	assert.Assert(t, !strings.Contains(counted(f.nodes[0], directionReceived), "unknown"))
}
