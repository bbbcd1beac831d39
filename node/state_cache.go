package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

const (
	// replicaFolder and stateCacheFile are the contents of a data folder.
	replicaFolder  = "replica"
	stateCacheFile = "memory.cbor"

	// stateCacheInterval is the minimum interval between writes of the state cache; heartbeats and departures in the log
	// restore changes that were lost in a crash.
	stateCacheInterval = 500 * time.Millisecond

	// maxOpenWait bounds how long the start waits for the replica; opening it reads some MB.
	maxOpenWait = time.Second
)

// stateCache is a copy of an instance's state on disk, with which it serves after a restart until the control group has
// a leader again. Acknowledgements and reads by operators never depend on it.
type stateCache struct {
	State     fleetapplier.State   `cbor:"1,keyasint"`
	Endpoints []registrar.Endpoint `cbor:"2,keyasint"`
	// Convictions hold through a restart of the whole fleet.
	Convictions []attributor.Conviction `cbor:"3,keyasint,omitempty"`
	// ColdMillis is the remaining warm-up time of cold endpoints by ID. It counts from the start of the process that
	// reads it, because the time in between is not known.
	ColdMillis map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Routers is the number of nodes that route requests.
	Routers int `cbor:"5,keyasint,omitempty"`

	rejected     int   // invalid endpoints in the file
	rejectReason error // for the first one
}

// storedStateCache is a stateCache whose endpoints are decoded one by one.
type storedStateCache struct {
	State       fleetapplier.State      `cbor:"1,keyasint"`
	Endpoints   []cbor.RawMessage       `cbor:"2,keyasint"`
	Convictions []attributor.Conviction `cbor:"3,keyasint,omitempty"`
	ColdMillis  map[string]int64        `cbor:"4,keyasint,omitempty"`
	Routers     int                     `cbor:"5,keyasint,omitempty"`
}

// decode returns the state cache with the valid endpoints.
func (s *storedStateCache) decode() stateCache {
	cache := stateCache{State: s.State, Convictions: s.Convictions, ColdMillis: s.ColdMillis, Routers: s.Routers}
	for _, raw := range s.Endpoints {
		var e registrar.Endpoint
		err := cbor.Unmarshal(raw, &e)
		if err == nil {
			err = e.Check()
		}
		if err != nil {
			cache.reject(err)
			continue
		}
		cache.Endpoints = append(cache.Endpoints, e)
	}
	return cache
}

func (c *stateCache) reject(err error) {
	c.rejected++
	c.rejectReason = cmp.Or(c.rejectReason, err)
}

// warmUp sets the end of the warm-up of the endpoints, and drops those for which it is invalid.
func (c *stateCache) warmUp(now time.Time) {
	valid := c.Endpoints[:0]
	for _, e := range c.Endpoints {
		var err error
		if e.ColdUntil, err = registrar.ColdUntil(now, float64(c.ColdMillis[e.ID])); err != nil {
			c.reject(err)
			continue
		}
		valid = append(valid, e)
	}
	c.Endpoints = valid
}

// persistStateCache writes the state cache after changes until ctx ends.
func (f *fleet) persistStateCache(ctx context.Context) error {
	name := filepath.Join(f.settings.DataFolder, stateCacheFile)
	fsys := f.control.disk()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.cacheDirty:
			if err := writeStateCache(fsys, name, f.buildStateCache()); err != nil {
				f.log.failure("msg", "state cache not written", "file", name, "err", err)
			}
			sleeper.Pause(ctx, stateCacheInterval)
		}
	}
	return ctx.Err()
}

// markCacheDirty records that the state cache on disk is out of date.
func (f *fleet) markCacheDirty() {
	select {
	case f.cacheDirty <- struct{}{}:
	default:
	}
}

func (f *fleet) buildStateCache() stateCache {
	f.mu.Lock()
	defer f.mu.Unlock()
	cache := stateCache{State: fleetapplier.State{Index: f.received.index, Plan: f.received.plan,
		TakenOut: f.received.takenOut, Rollouts: f.received.rollouts}, Convictions: f.evidence.all().Convictions,
		ColdMillis: map[string]int64{}, Routers: f.maxRecentRouters()}
	for _, e := range f.endpoints.All() {
		if left := time.Until(e.ColdUntil); !e.ColdUntil.IsZero() && left > 0 {
			cache.ColdMillis[e.ID] = left.Milliseconds()
		}
		// These times are meaningless after a restart.
		e.ColdUntil, e.Changed = time.Time{}, time.Time{}
		cache.Endpoints = append(cache.Endpoints, e)
	}
	return cache
}

// loadStateCache loads the state that an earlier process of this instance saved.
func (f *fleet) loadStateCache() {
	name := filepath.Join(f.settings.DataFolder, stateCacheFile)
	cache, err := readStateCache(name)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		f.log.failure("msg", "state cache not read", "file", name, "err", err)
		return
	}
	f.log.event("memory read", "index", cache.State.Index, "version", cache.State.Plan.Version,
		"endpoints", len(cache.Endpoints))
	now := time.Now()
	cache.warmUp(now)
	if cache.rejected > 0 {
		f.logRejectedEndpoints(name, cache.rejected, cache.rejectReason)
	}
	if cache.Routers > 0 {
		f.mu.Lock()
		f.cachedRouters = cache.Routers
		f.mu.Unlock()
		f.recordRouterCount(cache.Routers)
	}
	f.mergeCachedEndpoints(cache.Endpoints)
	for i := range cache.Convictions {
		// The clock may have been stepped.
		c := &cache.Convictions[i]
		c.At, c.RefusedAt, c.TrialAt = now, now, now
	}
	f.evidence.merge(exchanger.Evidence{Convictions: cache.Convictions}, "memory")
	f.receiveState(cache.State.Index, &cache.State.Plan, cache.State.TakenOut, cache.State.Rollouts, stateFromCache)
}

// mergeCachedEndpoints merges endpoints from the state cache once the replica is open, because its log may hold
// departures that the cache lacks. With a disk that is slower than maxOpenWait, the node starts without them.
func (f *fleet) mergeCachedEndpoints(list []registrar.Endpoint) {
	first := f.control.first
	merge := func() {
		if first.err != nil {
			f.log.failure("msg", "cached endpoints are used without the log", "err", first.err)
		}
		f.mergeEndpoints(list, "memory")
	}
	t := time.NewTimer(maxOpenWait)
	defer t.Stop()
	select {
	case <-first.opened:
		merge()
	case <-t.C:
		go func() {
			<-first.opened
			merge()
		}()
	}
}

func readStateCache(name string) (cache stateCache, err error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return cache, err
	}
	var stored storedStateCache
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return cache, err
	}
	return stored.decode(), nil
}

// writeStateCache replaces the file atomically: after a crash or power loss the old or the new content is complete.
func writeStateCache(fsys storer.FS, name string, cache stateCache) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", name, err)
		}
	}()
	data, err := cbor.Marshal(cache)
	if err != nil {
		return err
	}
	tmp := name + ".tmp"
	file, err := fsys.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, 0)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := fsys.Rename(tmp, name); err != nil {
		return err
	}
	return fsys.SyncDir(filepath.Dir(name)) // otherwise a power loss may undo the rename
}
