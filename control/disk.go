package control

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"cactusroute.dev/core/applier"
)

const (
	tablesFile        = "tables.db"
	tablesLockTimeout = time.Second
	// tablesMapBytes reserves address space, not memory. A write that has to remap the file waits for all read
	// transactions, so beyond this file size reading a snapshot delays the application of entries.
	tablesMapBytes = 4 << 30
)

// DiskStore stores the applied tables in a file, so that recorded operations use disk instead of memory. The file is a
// cache of the log and snapshots and is never synced: it is emptied at each start and rebuilt by Restore and Apply.
type DiskStore struct {
	dir  string
	open func() (*bbolt.DB, error)
}

// NewDiskStore returns a store in a folder. It creates the file at the first use, because the folder of a new replica
// must be empty, and because the replica's lock on the folder keeps a second process from removing the file.
func NewDiskStore(dir string) *DiskStore {
	d := &DiskStore{dir: dir}
	d.open = sync.OnceValues(d.createFile)
	return d
}

func (d *DiskStore) createFile() (db *bbolt.DB, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open applied tables in %s: %w", d.dir, err)
		}
	}()
	if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return nil, err
	}
	file := filepath.Join(d.dir, tablesFile)
	if err := os.Remove(file); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	db, err = bbolt.Open(file, 0o600, &bbolt.Options{
		Timeout: tablesLockTimeout, NoSync: true, NoGrowSync: true, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType, InitialMmapSize: tablesMapBytes,
	})
	if err != nil {
		return nil, err
	}
	if err := db.Update(resetTables); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

// Close closes the file; the store can't be used afterwards.
func (d *DiskStore) Close() error {
	db, err := d.open()
	if err != nil {
		return err
	}
	return db.Close()
}

// Update runs fn in a transaction, which is rolled back if fn returns an error.
func (d *DiskStore) Update(fn func(applier.Writer) error) error {
	db, err := d.open()
	if err != nil {
		return err
	}
	return db.Update(func(tx *bbolt.Tx) error { return fn(&diskTx{tx: tx}) })
}

// BeginRead starts a read-only transaction.
func (d *DiskStore) BeginRead() (applier.ReadTx, error) {
	db, err := d.open()
	if err != nil {
		return nil, err
	}
	tx, err := db.Begin(false)
	if err != nil {
		return nil, err
	}
	return &diskTx{tx: tx}, nil
}

// Reset deletes all rows.
func (d *DiskStore) Reset() error {
	db, err := d.open()
	if err != nil {
		return err
	}
	return db.Update(resetTables)
}

func resetTables(tx *bbolt.Tx) error {
	for _, t := range applier.Tables() {
		if tx.Bucket([]byte(t)) != nil {
			if err := tx.DeleteBucket([]byte(t)); err != nil {
				return err
			}
		}
		if _, err := tx.CreateBucket([]byte(t)); err != nil {
			return err
		}
	}
	return nil
}

type diskTx struct{ tx *bbolt.Tx }

// Get returns the value of a key.
func (d *diskTx) Get(t applier.Table, key string) ([]byte, error) {
	return d.tx.Bucket([]byte(t)).Get([]byte(key)), nil
}

// Range visits keys in ascending order.
func (d *diskTx) Range(t applier.Table, from string, fn func(string, []byte) bool) error {
	c := d.tx.Bucket([]byte(t)).Cursor()
	for k, v := c.Seek([]byte(from)); k != nil && fn(string(k), v); k, v = c.Next() {
	}
	return nil
}

// Put sets a value.
func (d *diskTx) Put(t applier.Table, key string, value []byte) error {
	return d.tx.Bucket([]byte(t)).Put([]byte(key), value)
}

// Delete deletes a key.
func (d *diskTx) Delete(t applier.Table, key string) error {
	return d.tx.Bucket([]byte(t)).Delete([]byte(key))
}

// Close ends a read transaction.
func (d *diskTx) Close() error { return d.tx.Rollback() }
