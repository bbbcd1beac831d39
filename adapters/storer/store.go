package storer

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	iofs "io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/replicator"
)

const (
	manifestName   = "replica.json"
	lockFileName   = "LOCK"
	logFolder      = "log"
	snapshotFolder = "snapshot"
	tmpSuffix      = ".tmp"

	// defaultSegmentBytes is the size from which the log continues in a new segment. It bounds the rewrite of the last
	// segment after a crash.
	defaultSegmentBytes = 16 << 20

	// IDRandomBytes is the length of the random part of a replica ID, which consists of the instance name, a hyphen and
	// the random part in hexadecimal.
	IDRandomBytes = 8
)

// Config configures a store.
type Config struct {
	Folder       string
	Name         string
	FS           FS    // nil means DiskFS
	SegmentBytes int64 // 0 means 16 MiB
}

// Store is the storage of one replica. It is not safe for concurrent use.
type Store struct {
	cfg         Config
	fs          FS
	lock        *os.File
	manifest    manifest
	loaded      replicator.PersistentState
	hardState   replicator.HardState
	segments    []segment
	segmentFile File // of the last segment
	segmentSize int64
	lastSeq     uint64 // of the last frame
	incoming    incomingSnapshot
	failed      error
	buf         []byte
}

type segment struct {
	number     uint64
	firstFrame uint64
	maxIndex   uint64
}

// record is the payload of one frame of the log.
type record struct {
	State         *replicator.HardState `cbor:"1,keyasint,omitempty"`
	Entries       []replicator.Entry    `cbor:"2,keyasint,omitempty"`
	CleanShutdown bool                  `cbor:"3,keyasint,omitempty"` // last frame; no torn frame can follow it
}

// Open locks a data folder and loads its content. An empty folder gets a new replica ID that belongs to no group yet.
// A torn last frame is truncated; any other damage returns a *CorruptError.
func Open(cfg Config) (s *Store, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open data folder %s: %w", cfg.Folder, err)
		}
	}()
	if cfg.FS == nil {
		cfg.FS = DiskFS{}
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	s = &Store{cfg: cfg, fs: cfg.FS}
	if err := s.fs.MkdirAll(cfg.Folder); err != nil {
		return nil, err
	}
	if s.lock, err = lockFolder(cfg.Folder); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		_ = s.lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	m, err := readManifest(s.fs, s.cfg.Folder)
	if errors.Is(err, iofs.ErrNotExist) {
		return s.createManifest()
	}
	if err != nil {
		return err
	}
	if m.Name != s.cfg.Name {
		return fmt.Errorf("%s belongs to instance %q, but the configured name of this instance is %q",
			s.path(manifestName), m.Name, s.cfg.Name)
	}
	s.manifest = m
	if m.FirstSegment == 0 {
		return nil
	}
	return s.loadLog()
}

// createManifest assigns a replica ID to an empty folder: the name is for operators, the random part makes it unique.
func (s *Store) createManifest() error {
	names, err := s.fs.ReadDir(s.cfg.Folder)
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != lockFileName && !strings.HasSuffix(n, tmpSuffix) && n != "lost+found" {
			return &CorruptError{File: s.path(manifestName), Reason: "file is missing, but " + n + " exists"}
		}
	}
	var id [IDRandomBytes]byte
	_, _ = rand.Read(id[:]) // never fails
	s.manifest = manifest{ID: s.cfg.Name + "-" + hex.EncodeToString(id[:]), Name: s.cfg.Name}
	return writeManifest(s.fs, s.cfg.Folder, s.manifest)
}

func (s *Store) path(parts ...string) string {
	return filepath.Join(append([]string{s.cfg.Folder}, parts...)...)
}

// ID returns the replica ID.
func (s *Store) ID() string { return s.manifest.ID }

// GroupConfig returns the group that the replica belongs to, or false if it belongs to none.
func (s *Store) GroupConfig() (GroupConfig, bool) {
	return s.manifest.Group, s.manifest.FirstSegment != 0
}

// JoinGroup stores the group that the replica belongs to, which can't be changed afterwards, and creates its log.
func (s *Store) JoinGroup(group GroupConfig) error {
	if s.failed != nil {
		return s.failed
	}
	if s.manifest.FirstSegment != 0 {
		return fmt.Errorf("replica %s already belongs to group %s", s.ID(), s.manifest.Group.Cluster)
	}
	for _, folder := range []string{logFolder, snapshotFolder} {
		if err := s.fs.MkdirAll(s.path(folder)); err != nil {
			return s.fail(err)
		}
	}
	if err := s.fs.SyncDir(s.cfg.Folder); err != nil {
		return s.fail(err)
	}
	m := s.manifest
	m.Group = group
	m.FirstFrame = 1
	if err := s.startSegment(1); err != nil {
		return s.fail(err)
	}
	m.FirstSegment, m.LastSegment = 1, 1
	return s.commitManifest(m)
}

// TakeState returns the loaded state for a replicator and releases the store's copy of the entries.
func (s *Store) TakeState() replicator.PersistentState {
	st := s.loaded
	s.loaded = replicator.PersistentState{}
	st.State = s.hardState
	st.Base = s.manifest.Base
	st.Snapshot = replicator.SnapshotMeta{Members: s.manifest.Group.Members}
	if n := len(s.manifest.Snapshots); n > 0 {
		st.Snapshot = s.manifest.Snapshots[n-1]
	}
	return st
}

// Append stores hard state and entries with one sync; either may be empty. The entries replace all stored entries from
// the first index on.
func (s *Store) Append(state *replicator.HardState, entries []replicator.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if state == nil && len(entries) == 0 {
		return nil
	}
	if s.segmentSize >= s.cfg.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if state != nil {
		s.hardState = *state
	}
	if err := s.writeFrame(record{State: state, Entries: entries}); err != nil {
		return s.fail(err)
	}
	if n := len(entries); n > 0 {
		last := &s.segments[len(s.segments)-1]
		last.maxIndex = max(last.maxIndex, entries[n-1].Index)
	}
	return nil
}

func (s *Store) writeFrame(r record) error {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	s.buf = appendFrame(s.buf[:0], s.lastSeq+1, payload)
	if _, err := s.segmentFile.WriteAt(s.buf, s.segmentSize); err != nil {
		return err
	}
	if err := s.segmentFile.Sync(); err != nil {
		return err
	}
	s.lastSeq++
	s.segmentSize += int64(len(s.buf))
	return nil
}

// fail rejects all further writes, because it is unknown after a failed write or sync which data is durable.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = &FailedError{Folder: s.cfg.Folder, Cause: err}
	}
	return s.failed
}

// Close appends a record of the clean shutdown, unless the store has failed, and unlocks the folder.
func (s *Store) Close() (err error) {
	if s.segmentFile != nil {
		if s.failed == nil {
			err = s.writeFrame(record{CleanShutdown: true})
		}
		err = errors.Join(err, s.segmentFile.Close())
	}
	s.failed = errors.Join(s.failed, iofs.ErrClosed)
	return errors.Join(err, s.lock.Close())
}
