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

func heartbeat(id string, born int64, seq uint64, s State) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 8, State: s, Born: born,
		Sequence: seq}
}

func countAccepting(r *Registrar) (n int) {
	for _, e := range r.RegisteredEndpoints() {
		if e.AcceptsRequests() {
			n++
		}
	}
	return n
}

// Guards against instances that stay inconsistent after they have merged the same records in a different order.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
			e := heartbeat(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"),
				rapid.Uint64Range(1, 4).Draw(t, "seq"), Ready)
			// A start may tell that it drains with any heartbeat, and in a response between two of them.
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				e.State = Draining
			case 1:
				e.State = Silent
			}
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
				e.State, e.Sequence = Gone, finalSequence
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
		if got, want := fmt.Sprint(sortedRecords(b)), fmt.Sprint(sortedRecords(a)); got != want {
			t.Fatalf("shuffled merge returned %s, want %s", got, want)
		}
	})
}

func sortedRecords(r *Registrar) []Endpoint {
	all := r.All()
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Guards against requests to a draining endpoint after a delayed heartbeat has marked it as ready again.
func TestLateHeartbeatsDoNotBringAnEndpointBack(t *testing.T) {
	for _, c := range []struct {
		name       string
		heartbeats []Endpoint
		want       int // endpoints that accept requests
	}{
		{"draining", []Endpoint{heartbeat("a", 5, 4, Draining), heartbeat("a", 5, 3, Ready)}, 0},
		{"draining, reordered", []Endpoint{heartbeat("a", 5, 4, Draining), heartbeat("a", 5, 6, Ready)}, 0},
		{"draining by an older record", []Endpoint{heartbeat("a", 5, 6, Ready), heartbeat("a", 5, 4, Draining)}, 0},
		{"draining under the same number", []Endpoint{heartbeat("a", 5, 4, Ready), heartbeat("a", 5, 4, Draining)}, 0},
		{"silent after draining", []Endpoint{heartbeat("a", 5, 4, Draining), heartbeat("a", 5, 6, Silent)}, 0},
		{"ready from an earlier start", []Endpoint{heartbeat("a", 5, 1, Draining), heartbeat("a", 4, 9, Ready)}, 0},
		{"a new start", []Endpoint{heartbeat("a", 5, 4, Draining), heartbeat("a", 6, 1, Ready)}, 1},
	} {
		r := New(time.Second)
		for _, e := range c.heartbeats {
			r.RecordHeartbeat(start, e)
		}
		assert.Equal(t, countAccepting(r), c.want, c.name)
	}
}

// Guards against a deregistered endpoint that is registered again by a delayed heartbeat.
func TestDeregisterIsFinalForAStart(t *testing.T) {
	r := New(time.Second)
	r.RecordHeartbeat(start, heartbeat("a", 5, 4, Ready))
	_, known := r.Deregister(start, "a")
	assert.Assert(t, known)
	assert.Equal(t, r.RecordHeartbeat(start, heartbeat("a", 5, 9, Ready)), Outdated)
	assert.Equal(t, countAccepting(r), 0)
	_, known = r.Deregister(start, "b")
	assert.Assert(t, !known)
}

// Guards against requests to an endpoint whose address another endpoint has taken over.
func TestOnlyTheLatestStartAtAnAddressIsUsable(t *testing.T) {
	r := New(time.Second)
	r.RecordHeartbeat(start, heartbeat("new", 9, 1, Ready))
	r.RecordHeartbeat(start, heartbeat("old", 5, 7, Ready))
	assert.Equal(t, r.RegisteredEndpoints()[0].ID, "new")
	assert.Equal(t, countAccepting(r), 1)
	r.RecordHeartbeat(start, heartbeat("new", 9, 2, Draining))
	assert.Equal(t, countAccepting(r), 0)
}

// Guards against an endpoint that stays silent at one instance although it sends its heartbeats to another one.
func TestNewerHeartbeatElsewhereOverridesSilent(t *testing.T) {
	a, b := New(time.Second), New(time.Second)
	a.RecordHeartbeat(start, heartbeat("e", 5, 1, Ready))
	b.RecordHeartbeat(start, heartbeat("e", 5, 7, Ready))
	silent := a.Expire(start.Add(silentAfterIntervals * time.Second))
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].State, Silent)
	assert.Equal(t, b.Merge(start, silent[0]), Outdated)
	assert.Equal(t, a.Merge(start, b.Get("e")), Changed)
	assert.Equal(t, a.Get("e").State, Ready)
	// Silent endpoints accept requests, because routers may still reach them.
	assert.Equal(t, countAccepting(a), 1)
}

// Guards against updates to routers on heartbeats without a change that affects routing.
func TestRepeatedHeartbeatIsUnchanged(t *testing.T) {
	r := New(time.Second)
	assert.Equal(t, r.RecordHeartbeat(start, heartbeat("a", 5, 1, Ready)), Changed)
	assert.Equal(t, r.RecordHeartbeat(start, heartbeat("a", 5, 2, Ready)), Unchanged)
	cold := heartbeat("a", 5, 3, Ready)
	cold.ColdUntil = start.Add(3 * time.Second)
	assert.Equal(t, r.RecordHeartbeat(start, cold), Changed)
	cold.Sequence, cold.ColdUntil = 4, cold.ColdUntil.Add(100*time.Millisecond)
	assert.Equal(t, r.RecordHeartbeat(start, cold), Unchanged)
}

// Guards against a version that is forgotten while streams that began at it may still be resumed, and against one that
// counts long after its last endpoint has left or fallen silent.
func TestVersions(t *testing.T) {
	r := New(time.Second)
	add := func(id, service, version string, born int64, s State) {
		e := heartbeat(id, born, 1, s)
		e.Service, e.Version = service, version
		r.Merge(start, e)
	}
	add("a", "s", "v1", 1, Ready)
	add("b", "s", "v1", 1, Ready)
	add("c", "other", "v7", 1, Ready)
	versions := func(at time.Time) []string {
		list := r.Versions(at, []string{"s"})
		slices.Sort(list)
		return list
	}
	assert.DeepEqual(t, versions(start), []string{"v1"})
	add("f", "s", "v4", 1, Silent)
	assert.DeepEqual(t, versions(start.Add(goneRetention)), []string{"v1", "v4"})
	assert.DeepEqual(t, versions(start.Add(goneRetention+1)), []string{"v1"})
	add("d", "s", "v2", 1, Draining)
	assert.DeepEqual(t, versions(start.Add(time.Hour)), []string{"v1", "v2"})
	r.Deregister(start.Add(time.Hour), "d")
	assert.DeepEqual(t, versions(start.Add(time.Hour+goneRetention)), []string{"v1", "v2"})
	assert.DeepEqual(t, versions(start.Add(time.Hour+goneRetention+1)), []string{"v1"})
	add("e", "s", "v3", 1, Silent) // recorded at start
	assert.DeepEqual(t, versions(start.Add(time.Hour+goneRetention+1)), []string{"v1"})
	add("b", "s", "v2", 2, Ready) // starts again with another version
	assert.DeepEqual(t, versions(start.Add(time.Hour+goneRetention+1)), []string{"v1", "v2"})
}
