package node

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

// Guards against routers without a plan and endpoints after a power loss of all nodes: until the control group has a
// leader again, an instance must serve the state from its state cache.
func TestInstanceServesFromItsStateCacheWithoutQuorum(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(5, f.nodes[:3])
	e := registrar.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:1", Domain: "d", State: registrar.Ready, Born: 1,
		Sequence: 1}
	f.retryCommand("ready", f.nodes[:1], func(c Control) error {
		_, err := c.Register(t.Context(), e)
		return err
	})
	f.awaitPlan(5, f.nodes)
	for _, n := range f.nodes[:3] {
		eventually(t, "state cache of "+n.settings.Place.Name, func() bool {
			cache, err := readStateCache(filepath.Join(n.settings.DataFolder, stateCacheFile))
			return err == nil && cache.State.Plan.Version == 5 && len(cache.Endpoints) == 1
		})
	}
	for _, n := range f.nodes {
		n.stop()
	}
	survivors := []*testNode{f.nodes[0], f.nodes[3]}
	for _, n := range survivors {
		f.start(n, f.seeds, false)
	}
	f.awaitPlan(5, survivors)
	for _, n := range survivors {
		eventually(t, "endpoint at "+n.settings.Place.Name, func() bool { return len(n.fleet.Endpoints()) == 1 })
	}
	assert.Assert(t, !f.nodes[0].fleet.control.isQuorate())
	// A read by an operator must not be served from the state cache.
	_, err := f.nodes[0].fleet.Plan(t.Context())
	assert.Assert(t, err != nil)
}

// Guards against a damaged state cache that prevents an instance from starting.
func TestDamagedStateCacheIsIgnored(t *testing.T) {
	name := filepath.Join(t.TempDir(), stateCacheFile)
	e := testEndpoint("e", "127.0.0.1:1")
	e.Born = 7
	assert.NilError(t, writeStateCache(storer.DiskFS{}, name, stateCache{Endpoints: []registrar.Endpoint{e}}))
	cache, err := readStateCache(name)
	assert.NilError(t, err)
	assert.Equal(t, cache.Endpoints[0].Born, int64(7))
	assert.Assert(t, cache.Endpoints[0].ColdUntil.Equal(time.Time{}))
	assert.NilError(t, os.WriteFile(name, []byte{0xff, 0x01}, 0o600))
	_, err = readStateCache(name)
	assert.Assert(t, err != nil)

	f := newTestFleet(t, 1, 0)
	assert.NilError(t, os.MkdirAll(f.nodes[0].settings.DataFolder, 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(f.nodes[0].settings.DataFolder, stateCacheFile), []byte{0xff}, 0o600))
	f.startAll()
	f.putPlan(1, f.nodes)
}

// Guards against a state cache in which one odd entry costs the plan and the other endpoints.
func TestOddEntryOfStateCacheCostsItselfAlone(t *testing.T) {
	f := newTestFleet(t, 1, 0)
	n := f.nodes[0]
	assert.NilError(t, os.MkdirAll(n.settings.DataFolder, 0o700))
	changes := []func(e map[string]any){
		func(e map[string]any) { e["ID"] = cbor.RawMessage{0x62, 'x', 0xff} },
		func(e map[string]any) { e["State"] = 9 },
		func(e map[string]any) { e["State"] = 300 },
		func(e map[string]any) { e["Address"] = "127.0.0.1:70000" },
		func(e map[string]any) { e["Slots"] = 1e300 },
		func(e map[string]any) { e["Born"] = "long ago" },
		func(e map[string]any) { e["Sequence"] = uint64(math.MaxUint64) },
		func(e map[string]any) { e["ColdUntil"] = []any{[]any{}} },
		func(e map[string]any) { e["ID"] = "frozen" },
		func(e map[string]any) { e["ID"] = "sound" },
	}
	endpoints := append(make([]any, 0, 4+len(changes)), nil, "text", 7, []any{})
	for _, change := range changes {
		e := map[string]any{"ID": "odd", "Service": "s", "Address": "127.0.0.1:1", "Slots": 8, "State": 1, "Born": 5,
			"Sequence": 3}
		change(e)
		endpoints = append(endpoints, e)
	}
	data, err := cbor.Marshal(map[int]any{
		1: fleetapplier.State{Index: 3, Plan: encodedTestPlan(t, 7)}, 2: endpoints,
		4: map[string]int64{"frozen": math.MaxInt64, "sound": 60_000}})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(n.settings.DataFolder, stateCacheFile), data, 0o600))
	f.start(n, f.seeds, false)
	f.awaitPlan(7, f.nodes)
	list := n.fleet.Endpoints()
	assert.Equal(t, len(list), 1, "%+v", list)
	assert.Equal(t, list[0].ID, "sound")
	assert.Assert(t, time.Until(list[0].ColdUntil) > 0)
}

// unsyncedRenames simulates a disk on which a power loss undoes renames whose folder was not synced.
type unsyncedRenames struct {
	storer.DiskFS
	previous map[string][]byte // content before the rename, by file name
}

func (u *unsyncedRenames) Rename(from, to string) error {
	if data, err := os.ReadFile(to); err == nil && u.previous[to] == nil {
		u.previous[to] = data
	}
	return u.DiskFS.Rename(from, to)
}

func (u *unsyncedRenames) SyncDir(name string) error {
	clear(u.previous)
	return u.DiskFS.SyncDir(name)
}

func (u *unsyncedRenames) simulatePowerLoss(t *testing.T) {
	for name, data := range u.previous {
		assert.NilError(t, os.WriteFile(name, data, 0o600))
	}
}

// Guards against an outdated or empty state cache after a power loss.
func TestStateCacheSurvivesPowerLoss(t *testing.T) {
	fsys := &unsyncedRenames{previous: map[string][]byte{}}
	name := filepath.Join(t.TempDir(), stateCacheFile)
	for index := range uint64(3) {
		assert.NilError(t, writeStateCache(fsys, name, stateCache{State: fleetapplier.State{Index: index}}))
	}
	fsys.simulatePowerLoss(t)
	cache, err := readStateCache(name)
	assert.NilError(t, err)
	assert.Equal(t, cache.State.Index, uint64(2))
}

// Guards against too many requests to a cold endpoint right after all nodes have restarted: its warm-up time and the
// number of routers by which its rate is divided must be known with the first endpoints, before the heartbeats of the
// endpoint and the subscriptions of the other routers.
func TestColdRateHoldsAfterAllNodesHaveRestarted(t *testing.T) {
	const instances, routers = 3, 4
	f := newTestFleet(t, instances, routers)
	f.startAll()
	f.putPlan(1, f.nodes[:instances])
	f.awaitPlan(1, f.nodes)
	f.retryCommand("cold endpoint", f.nodes[:1], func(c Control) error {
		_, err := c.Register(t.Context(), registrar.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:1", Domain: "d",
			State: registrar.Ready, Born: 1, Sequence: 1, ColdUntil: time.Now().Add(time.Hour)})
		return err
	})
	for _, n := range f.nodes[:instances] {
		eventually(t, "state cache of "+n.settings.Place.Name, func() bool {
			cache, err := readStateCache(filepath.Join(n.settings.DataFolder, stateCacheFile))
			return err == nil && len(cache.Endpoints) == 1 && n.fleet.routing.routerCount() == instances+routers
		})
	}
	time.Sleep(2 * stateCacheInterval)
	for _, n := range f.nodes {
		n.stop()
	}
	survivors := []*testNode{f.nodes[0], f.nodes[instances]}
	for _, n := range survivors {
		f.start(n, f.seeds, false)
	}
	for _, n := range survivors {
		var loads []chooser.EndpointLoad
		eventually(t, "endpoint at "+n.settings.Place.Name, func() bool {
			loads, _ = n.fleet.routing.snapshot(time.Now())
			return len(loads) == 1
		})
		assert.Assert(t, loads[0].IsCold, "%s takes the endpoint for warm", n.settings.Place.Name)
		assert.Equal(t, n.fleet.routing.routerCount(), instances+routers, n.settings.Place.Name)
	}
}
