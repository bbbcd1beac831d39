package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
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

// Guards against a sound endpoint that loses its address to a record of a service that no plan names, and against a
// former endpoint that keeps its address when a plan names the service of the later one.
func TestOnlyKnownServicesTakeAddresses(t *testing.T) {
	r := New(time.Second)
	usable := func() string {
		list := r.RegisteredEndpoints()
		ids := make([]string, 0, len(list))
		for _, e := range list {
			ids = append(ids, e.ID)
		}
		return strings.Join(ids, ",")
	}
	r.RecordHeartbeat(start, heartbeat("sound", 5, 1, Ready))
	other := heartbeat("other", 9, 1, Ready)
	other.Service = "later"
	r.RecordHeartbeat(start, other)
	assert.Equal(t, usable(), "other") // before the first plan
	r.AddServices([]string{"s"})
	assert.Equal(t, usable(), "sound")
	r.AddServices([]string{"s", "later"})
	assert.Equal(t, usable(), "other")
	r.AddServices([]string{"s"})
	assert.Equal(t, usable(), "other")
	r.AddServices(make([]string, maxServices)) // the names of earlier plans are forgotten
	r.AddServices([]string{"s"})
	assert.Equal(t, usable(), "sound")
}

// Guards against records of another writer that are kept for good, and against those of endpoints of a known service
// that are dropped while they are silent.
func TestSilentEndpointsOfUnknownServicesExpire(t *testing.T) {
	r := New(time.Second)
	r.AddServices([]string{"s"})
	other := heartbeat("other", 9, 1, Ready)
	other.Service = "unknown"
	for _, e := range []Endpoint{heartbeat("sound", 5, 1, Ready), other} {
		r.RecordHeartbeat(start, e)
	}
	silentAt := start.Add(silentAfterIntervals * time.Second)
	assert.Equal(t, len(r.Expire(silentAt)), 2)
	r.Expire(silentAt.Add(unknownRetention))
	assert.Equal(t, len(r.All()), 2)
	r.Expire(silentAt.Add(unknownRetention + 1))
	assert.Equal(t, len(r.All()), 1)
	assert.Equal(t, r.Get("sound").State, Silent)
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

// Guards against an endpoint that counts as silent, at all routers and again and again, because it sends its heartbeats
// to another instance: at 3,000 endpoints, a busy instance lost hundreds to its neighbour, and told all others so.
func TestEndpointMovesToAnotherInstance(t *testing.T) {
	a, b, sequence := New(time.Second), New(time.Second), uint64(0)
	now := start
	beat := func(r *Registrar) MergeResult {
		now, sequence = now.Add(time.Second), sequence+1
		return r.RecordHeartbeat(now, heartbeat("e", 1, sequence, Ready))
	}
	assert.Equal(t, beat(a), Changed)
	assert.Equal(t, b.Merge(now, a.Get("e")), Changed)
	for range 5 {
		assert.Equal(t, beat(a), Unchanged)
	}
	assert.Equal(t, beat(b), TakenOver)
	assert.Equal(t, a.Merge(now, b.Get("e")), Unchanged)
	for range silentAfterIntervals + 1 {
		assert.Equal(t, beat(b), Unchanged)
		assert.Equal(t, len(a.Expire(now)), 0)
	}
	assert.Equal(t, beat(a), TakenOver)
	now = now.Add(silentAfterIntervals * time.Second)
	assert.Equal(t, len(a.Expire(now)), 1, "it is silent at the instance that it went back to")
}
