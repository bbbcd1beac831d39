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
	manifestName = "replica.json"
	lockName     = "LOCK"
	logFolder    = "log"
	snapFolder   = "snapshot"
	tmpSuffix    = ".tmp"

	// segmentBytes is the size after which the log continues in a new file; the last file is rewritten after a crash.
	segmentBytes = 16 << 20

	// IdentityBytes is the length of the random part of a replica identity, which is the name, a hyphen and the
	// random part in hexadecimal.
	IDRandomBytes = 8
)

// Config names the data folder and the instance.
type Config struct {
	Folder       string
	Name         string
	FS           FS    // DiskFS when nil
	SegmentBytes int64 // 16 MiB when 0
}

// Store holds the files of one replica; one goroutine uses it.
type Store struct {
	cfg      Config
	fs       FS
	lock     *os.File
	manifest manifest
	stored   replicator.PersistentState
	state    replicator.HardState
	segments []segment
	file     File // the last segment
	size     int64
	seq      uint64 // of the last frame
	incoming incoming
	failed   error
	buf      []byte
}

type segment struct {
	number     uint64
	firstFrame uint64
	maxIndex   uint64
}

// batch is the payload of one frame of the log.
type batch struct {
	State   *replicator.HardState `cbor:"1,keyasint,omitempty"`
	Entries []replicator.Entry    `cbor:"2,keyasint,omitempty"`
	Closed  bool                  `cbor:"3,keyasint,omitempty"` // clean shutdown: nothing after it can be torn
}

// Open locks and reads a data folder. An empty folder gets a new identity that belongs to no group yet.
// A damaged one is refused with a *CorruptError; a torn last frame is cut.
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
		cfg.SegmentBytes = segmentBytes
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
		return s.create()
	}
	if err != nil {
		return err
	}
	if m.Name != s.cfg.Name {
		return fmt.Errorf("%s belongs to instance %q, but the settings name this instance %q",
			s.path(manifestName), m.Name, s.cfg.Name)
	}
	s.manifest = m
	if m.FirstSegment == 0 {
		return nil
	}
	return s.loadLog()
}

// create makes the identity of an empty folder; the name helps the operator, the random part makes it new.
func (s *Store) create() error {
	names, err := s.fs.ReadDir(s.cfg.Folder)
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != lockName && !strings.HasSuffix(n, tmpSuffix) && n != "lost+found" {
			return &CorruptError{File: s.path(manifestName), Reason: "it is missing, but " + n + " exists"}
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

// ID returns the identity of the replica.
func (s *Store) ID() string { return s.manifest.ID }

// Formation returns the group that the replica belongs to; false while it belongs to none.
func (s *Store) GroupConfig() (GroupConfig, bool) {
	return s.manifest.Group, s.manifest.FirstSegment != 0
}

// Form makes the replica belong to a group, once.
func (s *Store) JoinGroup(f GroupConfig) error {
	if s.failed != nil {
		return s.failed
	}
	if s.manifest.FirstSegment != 0 {
		return fmt.Errorf("replica %s belongs to group %s already", s.ID(), s.manifest.Group.Cluster)
	}
	for _, d := range []string{logFolder, snapFolder} {
		if err := s.fs.MkdirAll(s.path(d)); err != nil {
			return s.fail(err)
		}
	}
	if err := s.fs.SyncDir(s.cfg.Folder); err != nil {
		return s.fail(err)
	}
	m := s.manifest
	m.Group = f
	m.FirstFrame = 1
	if err := s.startSegment(1); err != nil {
		return s.fail(err)
	}
	m.FirstSegment, m.LastSegment = 1, 1
	return s.commitManifest(m)
}

// Stored returns what a replicator starts from; the store does not keep it.
func (s *Store) TakeState() replicator.PersistentState {
	st := s.stored
	s.stored = replicator.PersistentState{}
	st.State = s.state
	st.Base = s.manifest.Base
	st.Snapshot = replicator.SnapshotMeta{Members: s.manifest.Group.Members}
	if n := len(s.manifest.Snapshots); n > 0 {
		st.Snapshot = s.manifest.Snapshots[n-1]
	}
	return st
}

// Append stores state and entries with one sync; either may be empty. The first entry replaces all stored ones
// from its index on.
func (s *Store) Append(state *replicator.HardState, entries []replicator.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if state == nil && len(entries) == 0 {
		return nil
	}
	if s.size >= s.cfg.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if state != nil {
		s.state = *state
	}
	if err := s.writeFrame(batch{State: state, Entries: entries}); err != nil {
		return s.fail(err)
	}
	if n := len(entries); n > 0 {
		last := &s.segments[len(s.segments)-1]
		last.maxIndex = max(last.maxIndex, entries[n-1].Index)
	}
	return nil
}

func (s *Store) writeFrame(b batch) error {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return err
	}
	s.buf = appendFrame(s.buf[:0], s.seq+1, payload)
	if _, err := s.file.WriteAt(s.buf, s.size); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.seq++
	s.size += int64(len(s.buf))
	return nil
}

// fail stops the store: after a failed write or sync it is not known what is durable.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = &FailedError{Folder: s.cfg.Folder, Cause: err}
	}
	return s.failed
}

// Close marks a clean shutdown, unless the store has failed, and releases the folder.
func (s *Store) Close() (err error) {
	if s.file != nil {
		if s.failed == nil {
			err = s.writeFrame(batch{Closed: true})
		}
		err = errors.Join(err, s.file.Close())
	}
	s.failed = errors.Join(s.failed, iofs.ErrClosed)
	return errors.Join(err, s.lock.Close())
}
