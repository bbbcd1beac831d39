package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func beat(id string, born int64, seq uint64, s State) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 8, State: s, Born: born,
		Sequence: seq}
}

func usable(r *Registrar) (n int) {
	for _, e := range r.RegisteredEndpoints() {
		if e.AcceptsRequests() {
			n++
		}
	}
	return n
}

// Guards against instances that disagree for good after they have heard the same records in another order.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
			e := beat(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"),
				rapid.Uint64Range(1, 4).Draw(t, "seq"), Ready)
			// A start says Ready up to some heartbeat and Draining from then on.
			if e.Sequence > 2 {
				e.State = Draining
			}
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
				e.State, e.Sequence = Gone, lastSequence
			}
			return e
		}), 1, 12).Draw(t, "records")
		shuffled := slices.Clone(records)
		for i := range shuffled {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		}
		a, b := New(time.Second), New(time.Second)
		for i := range records {
			a.Merge(start, records[i])
			b.Merge(start, shuffled[i])
		}
		if got, want := fmt.Sprint(sorted(b)), fmt.Sprint(sorted(a)); got != want {
			t.Fatalf("%s\n%s", got, want)
		}
	})
}

func sorted(r *Registrar) []Endpoint {
	all := r.All()
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Guards against requests to an endpoint that has said it leaves, through a heartbeat that arrives late.
func TestLateHeartbeatsDoNotBringAnEndpointBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		after []Endpoint
		want  int // usable endpoints
	}{
		{"draining", []Endpoint{beat("a", 5, 4, Draining), beat("a", 5, 3, Ready)}, 0},
		{"draining, crossed", []Endpoint{beat("a", 5, 4, Draining), beat("a", 5, 6, Ready)}, 0},
		{"of an earlier start", []Endpoint{beat("a", 5, 1, Draining), beat("a", 4, 9, Ready)}, 0},
		{"a new start", []Endpoint{beat("a", 5, 4, Draining), beat("a", 6, 1, Ready)}, 1},
	} {
		r := New(time.Second)
		for _, e := range c.after {
			r.RecordHeartbeat(start, e)
		}
		assert.Equal(t, usable(r), c.want, c.name)
	}
}

// Guards against a deregistered endpoint that comes back with a heartbeat that was on its way.
func TestLeaveIsFinalForAStart(t *testing.T) {
	r := New(time.Second)
	r.RecordHeartbeat(start, beat("a", 5, 4, Ready))
	_, known := r.Deregister(start, "a")
	assert.Assert(t, known)
	assert.Equal(t, r.RecordHeartbeat(start, beat("a", 5, 9, Ready)), Outdated)
	assert.Equal(t, usable(r), 0)
	_, known = r.Deregister(start, "b")
	assert.Assert(t, !known)
}

// Guards against requests to the former endpoint of an address that another one has now.
func TestOnlyTheLatestStartAtAnAddressIsUsable(t *testing.T) {
	r := New(time.Second)
	r.RecordHeartbeat(start, beat("new", 9, 1, Ready))
	r.RecordHeartbeat(start, beat("old", 5, 7, Ready))
	assert.Equal(t, r.RegisteredEndpoints()[0].ID, "new")
	assert.Equal(t, usable(r), 1)
	r.RecordHeartbeat(start, beat("new", 9, 2, Draining))
	assert.Equal(t, usable(r), 0)
}

// Guards against an endpoint that is given up by an instance whose heartbeats it left for those of another one.
func TestSilenceIsOverruledByALaterHeartbeatElsewhere(t *testing.T) {
	a, b := New(time.Second), New(time.Second)
	a.RecordHeartbeat(start, beat("e", 5, 1, Ready))
	b.RecordHeartbeat(start, beat("e", 5, 7, Ready))
	silent := a.Expire(start.Add(silentAfter * time.Second))
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].State, Silent)
	assert.Equal(t, b.Merge(start, silent[0]), Outdated)
	assert.Equal(t, a.Merge(start, b.Get("e")), Changed)
	assert.Equal(t, a.Get("e").State, Ready)
	// A silent endpoint may still serve those who reach it.
	assert.Equal(t, usable(a), 1)
}

// Guards against routers that are told of every heartbeat.
func TestHeartbeatsWithoutNewsChangeNothing(t *testing.T) {
	r := New(time.Second)
	assert.Equal(t, r.RecordHeartbeat(start, beat("a", 5, 1, Ready)), Changed)
	assert.Equal(t, r.RecordHeartbeat(start, beat("a", 5, 2, Ready)), Unchanged)
	cold := beat("a", 5, 3, Ready)
	cold.ColdUntil = start.Add(3 * time.Second)
	assert.Equal(t, r.RecordHeartbeat(start, cold), Changed)
	cold.Sequence, cold.ColdUntil = 4, cold.ColdUntil.Add(100*time.Millisecond)
	assert.Equal(t, r.RecordHeartbeat(start, cold), Unchanged)
}
