package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/rollouter"
)

var testOutcomeKey = rollouter.Key{Service: "s", Route: "r", Version: "v2", Endpoint: "e"}

// Guards against counts that change on their way, and against invalid ones that end the process.
func TestOutcomesKeepTheirCounts(t *testing.T) {
	c := rollouter.Counts{Answers: 900, Failed: 7}
	c.First[0], c.First[3], c.Pace[rollouter.Buckets-1] = 1, 70_000, 2
	o := Outcomes{Index: 5, Routers: 2, Counts: rollouter.Outcomes{testOutcomeKey: c, {Service: "s", Version: "v1"}: {}}}
	m := encodeOutcomes(&o)
	decoded, err := m.decode()
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, o)
	for _, invalid := range [][]byte{{0}, {0x80}, {rollouter.Buckets, 1}, {rollouter.Buckets - 1, 1, 1, 1}} {
		m := outcomesMessage{Records: []outcomeRecord{{Key: testOutcomeKey, First: invalid}}}
		_, err := m.decode()
		assert.Assert(t, err != nil, "%v", invalid)
	}
}

// Guards against a router whose counts do not reach its control instance, and against a subscriber that gets no
// rollouts with the state. Without a rollout nothing may be sent.
func TestRolloutsAndOutcomesAreExchanged(t *testing.T) {
	s := &fakeSource{quorate: true}
	s.state.Index, s.state.Rollouts = 4, []rollouter.Rollout{{Service: "s", Target: "v2", Phase: rollouter.Moving}}
	r := &fakeReceiver{}
	s.outcomes.Own = func() Outcomes { return Outcomes{} }
	o := Outcomes{Index: 4, Routers: 1, Counts: rollouter.Outcomes{testOutcomeKey: {Answers: 9, Failed: 3}}}
	r.outcomes.Own = func() Outcomes { return o }
	subscribe(t, s, r)
	waitFor(t, "outcomes", func() bool { return s.outcomes.Sum(false).Counts[testOutcomeKey].Failed == 3 })
	waitFor(t, "rollout", func() bool { return r.hasRecorded("rollout s moving") })
	var sender outcomeSender
	assert.Assert(t, !sender.isDue(time.Now(), &Outcomes{}))
}

// Guards against sums that miss a sender, count one twice, or hold the index of the newest state in place of the
// oldest.
func TestOutcomeTableSums(t *testing.T) {
	var own Outcomes
	table := OutcomeTable{Own: func() Outcomes { return own }}
	counts := func(n uint32) rollouter.Outcomes { return rollouter.Outcomes{testOutcomeKey: {Answers: n}} }
	table.Set("router", false, Outcomes{Index: 9, Routers: 1, Counts: counts(50)})
	table.Set("router", false, Outcomes{Index: 7, Routers: 1, Counts: counts(2)})
	table.Set("peer", true, Outcomes{Index: 6, Routers: 3, Counts: counts(4)})
	table.Set("idle", false, Outcomes{})
	own = Outcomes{Index: 8, Routers: 1, Counts: counts(1)}
	assert.DeepEqual(t, table.Sum(false), Outcomes{Index: 7, Routers: 2, Counts: counts(3)})
	assert.DeepEqual(t, table.Sum(true), Outcomes{Index: 6, Routers: 5, Counts: counts(7)})
	own = Outcomes{}
	assert.Equal(t, table.Sum(false).Routers, 1)
}
