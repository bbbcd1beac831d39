package node

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

const (
	// replicaFolder and memoryFile are the parts of a data folder.
	replicaFolder  = "replica"
	stateCacheFile = "memory.cbor"

	// rememberInterval bounds the writes of the memory; what is lost with it comes again with heartbeats.
	stateCacheInterval = 500 * time.Millisecond
)

// memory is what an instance knew when it last wrote it. After a restart it serves with that until the control group
// has a leader again. It is never the source of an acknowledgement or of a read by an operator.
type stateCache struct {
	State     fleetapplier.State   `cbor:"1,keyasint"`
	Endpoints []registrar.Endpoint `cbor:"2,keyasint"`
}

// remember writes the memory whenever something has changed, until ctx ends.
func (f *fleet) persistStateCache(ctx context.Context) error {
	name := filepath.Join(f.settings.DataFolder, stateCacheFile)
	var fsys storer.FS = storer.DiskFS{}
	if f.control.fs != nil {
		fsys = f.control.fs
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.cacheDirty:
			if err := writeStateCache(fsys, name, f.buildStateCache()); err != nil {
				f.log.failure("msg", "memory not written", "file", name, "err", err)
			}
			pauser.Pause(ctx, stateCacheInterval)
		}
	}
	return ctx.Err()
}

// changedMemory notes that the memory is out of date.
func (f *fleet) markCacheDirty() {
	select {
	case f.cacheDirty <- struct{}{}:
	default:
	}
}

func (f *fleet) buildStateCache() stateCache {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := stateCache{State: fleetapplier.State{Index: f.received.index, Plan: f.received.plan, TakenOut: f.received.takenOut}}
	for _, e := range f.endpoints.All() {
		// Times of this process mean nothing to the next one.
		e.ColdUntil, e.Changed = time.Time{}, time.Time{}
		m.Endpoints = append(m.Endpoints, e)
	}
	return m
}

// recall takes what an earlier process of this instance knew.
func (f *fleet) loadStateCache() {
	name := filepath.Join(f.settings.DataFolder, stateCacheFile)
	m, err := readStateCache(name)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		f.log.failure("msg", "memory not read", "file", name, "err", err)
		return
	}
	f.log.belief("memory read", "index", m.State.Index, "version", m.State.Plan.Version,
		"endpoints", len(m.Endpoints))
	f.mergeEndpoints(m.Endpoints, "memory")
	f.receiveState(m.State.Index, &m.State.Plan, m.State.TakenOut)
}

func readStateCache(name string) (m stateCache, err error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return m, err
	}
	return m, cbor.Unmarshal(data, &m)
}

// writeMemory replaces the file, so that a crash or the loss of power leaves the old one or the new one whole.
func writeStateCache(fsys storer.FS, name string, m stateCache) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", name, err)
		}
	}()
	data, err := cbor.Marshal(m)
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
	return fsys.SyncDir(filepath.Dir(name)) // without it the loss of power undoes the rename
}
