package applier

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/viewer"
)

const (
	snapshotVersion = 1
	// snapshotChunkBytes is the target size of a snapshot chunk. A chunk with a single larger row, such as a claim
	// with a recorded answer of up to about 1 MB, exceeds it.
	snapshotChunkBytes = 512 << 10
)

type snapshotRow struct {
	Table Table  `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint"`
}

type snapshotChunk struct {
	Version int           `cbor:"1,keyasint"`
	Rows    []snapshotRow `cbor:"2,keyasint,omitempty"`
	// Last marks the final chunk, which carries the count and checksum of all rows.
	Last     bool   `cbor:"3,keyasint,omitempty"`
	Count    uint64 `cbor:"4,keyasint,omitempty"`
	Checksum uint64 `cbor:"5,keyasint,omitempty"`
}

type rowChecksum struct {
	digest *xxhash.Digest
	count  uint64
}

func (s *rowChecksum) add(r *snapshotRow) {
	s.count++
	for _, b := range [][]byte{[]byte(r.Table), []byte(r.Key), r.Value} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = s.digest.Write(n[:])
		_, _ = s.digest.Write(b)
	}
}

// Snapshot returns the state after the last applied entry in bounded chunks. The caller must iterate the sequence
// exactly once; any goroutine may do so while later entries are applied.
func (a *Applier) Snapshot() (iter.Seq2[[]byte, error], error) {
	tx, err := a.store.BeginRead()
	if err != nil {
		return nil, fmt.Errorf("begin read of tables: %w", err)
	}
	return func(yield func([]byte, error) bool) {
		defer func() { _ = tx.Close() }()
		e := &snapshotEncoder{sum: rowChecksum{digest: xxhash.New()}, yield: yield}
		for _, t := range Tables() {
			if err := tx.Range(t, "", func(k string, v []byte) bool { return e.addRow(t, k, v) }); err != nil {
				yield(nil, fmt.Errorf("read table %s: %w", t, err))
				return
			}
			if e.stopped {
				return
			}
		}
		e.chunk.Last, e.chunk.Count, e.chunk.Checksum = true, e.sum.count, e.sum.digest.Sum64()
		e.flush()
	}, nil
}

type snapshotEncoder struct {
	sum     rowChecksum
	chunk   snapshotChunk
	size    int
	stopped bool
	yield   func([]byte, error) bool
}

func (e *snapshotEncoder) addRow(t Table, key string, value []byte) bool {
	if e.size > 0 && e.size+len(value) > snapshotChunkBytes && !e.flush() {
		return false
	}
	r := snapshotRow{Table: t, Key: key, Value: value}
	e.sum.add(&r)
	e.chunk.Rows = append(e.chunk.Rows, r)
	e.size += len(t) + len(key) + len(value)
	return true
}

func (e *snapshotEncoder) flush() bool {
	e.chunk.Version = snapshotVersion
	b, err := cbor.Marshal(&e.chunk)
	e.stopped = !e.yield(b, err) || err != nil
	e.chunk, e.size = snapshotChunk{Rows: e.chunk.Rows[:0]}, 0
	return !e.stopped
}

// Restore replaces the state with a snapshot; after an error the state must not be used.
func (a *Applier) Restore(chunks iter.Seq2[[]byte, error]) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("restore snapshot: %w", err)
		}
	}()
	if err := a.store.Reset(); err != nil {
		return err
	}
	sum, complete := rowChecksum{digest: xxhash.New()}, false
	for b, err := range chunks {
		if err != nil {
			return err
		}
		if complete {
			return errors.New("unexpected chunk after the final chunk")
		}
		var c snapshotChunk
		if err := snapshotDecMode.Unmarshal(b, &c); err != nil {
			return err
		}
		if c.Version != snapshotVersion {
			return fmt.Errorf("unsupported format version %d; supported: %d", c.Version, snapshotVersion)
		}
		if err := a.restoreRows(c.Rows, &sum); err != nil {
			return err
		}
		if complete = c.Last; complete && (c.Count != sum.count || c.Checksum != sum.digest.Sum64()) {
			return fmt.Errorf("row count or checksum mismatch: read %d rows, final chunk has count %d", sum.count, c.Count)
		}
	}
	if !complete {
		return errors.New("final chunk is missing")
	}
	return a.loadFromStore()
}

func (a *Applier) restoreRows(rows []snapshotRow, sum *rowChecksum) error {
	return a.store.Update(func(w Writer) error {
		for i := range rows {
			sum.add(&rows[i])
			if err := w.Put(rows[i].Table, rows[i].Key, rows[i].Value); err != nil {
				return err
			}
		}
		return nil
	})
}

var snapshotDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// loadFromStore rebuilds the in-memory state from the tables.
func (a *Applier) loadFromStore() (err error) {
	tx, err := a.store.BeginRead()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, tx.Close()) }()
	m, err := get[meta](tx, tableMeta, metaKey)
	if err != nil {
		return err
	}
	a.meta, a.inForce = meta{}, nil
	if m != nil {
		a.meta = *m
	}
	d := viewer.Delta{To: a.meta.ViewIndex, BundleVersion: a.meta.BundleVersion}
	if a.meta.BundleVersion > 0 {
		if _, a.inForce, err = getBundle(tx, a.meta.BundleVersion); err != nil {
			return err
		}
		d.Changes = append(d.Changes, viewer.Change{Freshness: &a.inForce.Freshness})
		for i := range a.inForce.Pools {
			d.Changes = append(d.Changes, viewer.Change{Pool: &a.inForce.Pools[i]})
		}
		for i := range a.inForce.Workspaces {
			d.Changes = append(d.Changes, viewer.Change{Workspace: &a.inForce.Workspaces[i]})
		}
	}
	domains, err := getAll[viewer.FailureDomain](tx, tableDomains, "")
	if err != nil {
		return err
	}
	for i := range domains {
		d.Changes = append(d.Changes, viewer.Change{FailureDomain: &domains[i]})
	}
	endpoints, err := getAll[EndpointRecord](tx, tableEndpoints, "")
	if err != nil {
		return err
	}
	for i := range endpoints {
		d.Changes = append(d.Changes, viewer.Change{Endpoint: &endpoints[i].Endpoint})
	}
	verdicts, err := getAll[VerdictRecord](tx, tableVerdicts, "")
	if err != nil {
		return err
	}
	for i := range verdicts {
		v := &verdicts[i]
		d.Changes = append(d.Changes, viewer.Change{Verdict: &viewer.Verdict{
			Fingerprint: v.Fingerprint, Crashes: v.Crashes, Convicted: v.Convicted, Until: time.UnixMilli(v.Until).UTC(),
		}})
	}
	a.view, err = viewer.NewView().Apply(d)
	return err
}
