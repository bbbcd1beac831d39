package registrar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an endpoint that accepts requests after its departure was recorded, because a record from before it
// arrives before or after, and against a later start that is taken out with it.
func TestDepartureHoldsForItsStart(t *testing.T) {
	drains, leaves := Departure{ID: "a", Born: 5, Sequence: 7}, Departure{ID: "a", Born: 5, IsGone: true}
	for _, c := range []struct {
		name      string
		departure Departure
		record    Endpoint
		want      State
	}{
		{"ready before draining", drains, heartbeat("a", 5, 6, Ready), Draining},
		{"reordered", drains, heartbeat("a", 5, 9, Ready), Draining},
		{"silent", drains, heartbeat("a", 5, 6, Silent), Draining},
		{"gone", drains, heartbeat("a", 5, finalSequence, Gone), Gone},
		{"an earlier start", drains, heartbeat("a", 4, 9, Ready), Gone},
		{"a later start", drains, heartbeat("a", 6, 1, Ready), Ready},
		{"deregistered", leaves, heartbeat("a", 5, 9, Draining), Gone},
		{"an earlier start deregistered", leaves, heartbeat("a", 4, 9, Ready), Gone},
		{"a later start deregistered", leaves, heartbeat("a", 6, 1, Ready), Ready},
		{"another endpoint", leaves, heartbeat("b", 5, 1, Ready), Ready},
	} {
		before, after := New(time.Second), New(time.Second)
		_, changed := before.RecordDeparture(start, c.departure)
		assert.Assert(t, !changed, c.name)
		before.Merge(start, c.record)
		assert.Equal(t, before.Get(c.record.ID).State, c.want, c.name)

		after.Merge(start, c.record)
		e, changed := after.RecordDeparture(start, c.departure)
		assert.Equal(t, changed, c.want != c.record.State, c.name)
		if changed {
			assert.Equal(t, e, after.Get("a"), c.name)
		}
		assert.Equal(t, after.Get(c.record.ID).State, c.want, c.name)
		merged := after.Get(c.record.ID)
		assert.NilError(t, merged.Check(), c.name)
		_, changed = after.RecordDeparture(start, c.departure)
		assert.Assert(t, !changed, c.name)
	}
}

// Guards against a node that is not told that the endpoint which it knows as ready has departed: the record that it
// gets must replace its own.
func TestDepartureReachesNodesWithOtherSequenceNumbers(t *testing.T) {
	instance, router := New(time.Second), New(time.Second)
	instance.Merge(start, heartbeat("a", 5, 1, Ready))
	router.Merge(start, heartbeat("a", 5, 6, Ready))
	e, changed := instance.RecordDeparture(start, Departure{ID: "a", Born: 5, Sequence: 7})
	assert.Assert(t, changed)
	assert.Equal(t, router.Merge(start, e), Changed)
	assert.Equal(t, countAccepting(router), 0)

	late := New(time.Second)
	late.Merge(start, heartbeat("a", 5, 6, Ready))
	assert.Equal(t, instance.Merge(start, late.Get("a")), Outdated)
	assert.Equal(t, late.Merge(start, instance.Get("a")), Changed)
	assert.Equal(t, countAccepting(late), 0)
}

// Guards against instances that differ after the same records and departures in another order.
func TestDeparturesAreOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		born := rapid.Int64Range(1, 3)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
			return heartbeat("a", born.Draw(t, "born"), rapid.Uint64Range(1, 4).Draw(t, "seq"), Ready)
		}), 1, 6).Draw(t, "records")
		departures := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Departure {
			return Departure{ID: "a", Born: born.Draw(t, "born"), IsGone: rapid.Bool().Draw(t, "gone"), Sequence: 5}
		}), 1, 4).Draw(t, "departures")
		first, last := New(time.Second), New(time.Second)
		for _, d := range departures {
			first.RecordDeparture(start, d)
		}
		for _, e := range records {
			first.Merge(start, e)
			last.Merge(start, e)
		}
		for _, d := range departures {
			last.RecordDeparture(start, d)
		}
		a, b := first.Get("a"), last.Get("a")
		if a.Born != b.Born || a.State != b.State {
			t.Fatalf("departures first: %+v, last: %+v", a, b)
		}
	})
}

// Guards against departures that fill the memory.
func TestOldestDeparturesAreForgotten(t *testing.T) {
	r := New(time.Second)
	for i := range MaxDepartures + 5 {
		r.RecordDeparture(start, Departure{ID: fmt.Sprint(i), Born: 5, IsGone: true})
	}
	assert.Equal(t, len(r.departures), MaxDepartures)
	assert.Equal(t, len(r.departureOrder), MaxDepartures)
	r.Merge(start, heartbeat("5", 5, 1, Ready))
	assert.Equal(t, r.Get("5").State, Gone)
}
