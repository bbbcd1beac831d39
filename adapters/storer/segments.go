package storer

import (
	"errors"
	"fmt"
	iofs "io/fs"
	"os"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/replicator"
)

func (s *Store) segmentPath(n uint64) string { return s.path(logFolder, fmt.Sprintf("%016d.seg", n)) }

// startSegment creates a new last segment that begins with the hard state, so that older segments can be removed.
// The segment is part of the log only once the manifest lists it.
func (s *Store) startSegment(n uint64) error {
	f, err := s.fs.OpenFile(s.segmentPath(n), os.O_CREATE|os.O_TRUNC|os.O_RDWR)
	if err != nil {
		return err
	}
	if s.segmentFile != nil {
		if err := s.segmentFile.Close(); err != nil {
			return err
		}
	}
	s.segmentFile, s.segmentSize = f, 0
	s.segments = append(s.segments, segment{number: n, firstFrame: s.lastSeq + 1})
	state := s.hardState
	if err := s.writeFrame(record{State: &state}); err != nil {
		return err
	}
	return s.fs.SyncDir(s.path(logFolder))
}

func (s *Store) rotate() error {
	m := s.manifest
	m.LastSegment++
	if err := s.startSegment(m.LastSegment); err != nil {
		return s.fail(err)
	}
	return s.commitManifest(m)
}

// commitManifest replaces the manifest. Files that it no longer lists may be removed only afterwards.
func (s *Store) commitManifest(m manifest) error {
	if err := writeManifest(s.fs, s.cfg.Folder, m); err != nil {
		return s.fail(err)
	}
	s.manifest = m
	return nil
}

// Compact removes the segments that contain only entries up to base.
func (s *Store) Compact(base replicator.Position) error {
	if s.failed != nil {
		return s.failed
	}
	if base.Index <= s.manifest.Base.Index {
		return nil
	}
	removed := 0
	for removed < len(s.segments)-1 && s.segments[removed].maxIndex <= base.Index {
		removed++
	}
	m := s.manifest
	m.Base = base
	m.FirstSegment, m.FirstFrame = s.segments[removed].number, s.segments[removed].firstFrame
	return s.removeSegments(m, removed)
}

func (s *Store) removeSegments(m manifest, count int) error {
	if err := s.commitManifest(m); err != nil {
		return err
	}
	for _, seg := range s.segments[:count] {
		if err := s.fs.Remove(s.segmentPath(seg.number)); err != nil {
			return s.fail(err)
		}
	}
	s.segments = append([]segment(nil), s.segments[count:]...)
	return nil
}

// loadLog verifies the newest snapshot and reads all segments that the manifest lists.
func (s *Store) loadLog() error {
	if err := s.removeUnlistedFiles(); err != nil {
		return err
	}
	if err := s.verifyNewestSnapshot(); err != nil {
		return err
	}
	s.lastSeq = s.manifest.FirstFrame - 1
	s.loaded.Base = s.manifest.Base
	for n := s.manifest.FirstSegment; n <= s.manifest.LastSegment; n++ {
		if err := s.loadSegment(n, n == s.manifest.LastSegment); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) loadSegment(n uint64, last bool) error {
	name := s.segmentPath(n)
	data, err := s.fs.ReadFile(name)
	if errors.Is(err, iofs.ErrNotExist) {
		return &CorruptError{File: name, Reason: "file is missing"}
	}
	if err != nil {
		return err
	}
	s.segments = append(s.segments, segment{number: n, firstFrame: s.lastSeq + 1})
	validSize, cleanShutdown := 0, false
	for validSize < len(data) {
		seq, payload, size, ok := parseFrame(data[validSize:])
		if !ok || seq != s.lastSeq+1 {
			break
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return &CorruptError{File: name, Offset: int64(validSize), Reason: err.Error()}
		}
		if err := s.replay(r); err != nil {
			return &CorruptError{File: name, Offset: int64(validSize), Reason: err.Error()}
		}
		cleanShutdown = r.CleanShutdown
		s.lastSeq = seq
		validSize += size
	}
	rest := data[validSize:]
	switch {
	case len(rest) > 0 && (!last || cleanShutdown || validSize == 0 || hasLaterFrame(rest, s.lastSeq)):
		return &CorruptError{File: name, Offset: int64(validSize), Reason: "checksum or sequence number mismatch"}
	case len(data) == 0:
		return &CorruptError{File: name, Reason: "file is empty"}
	case !last:
		return nil
	}
	return s.reopenLastSegment(name, data[:validSize], cleanShutdown)
}

// reopenLastSegment opens the last segment for appending. After a crash it is rewritten, which truncates a torn frame
// and makes data durable that may be only in the page cache because a sync failed.
func (s *Store) reopenLastSegment(name string, data []byte, cleanShutdown bool) (err error) {
	if !cleanShutdown {
		if err := replaceFile(s.fs, name, data); err != nil {
			return err
		}
	}
	s.segmentSize = int64(len(data))
	s.segmentFile, err = s.fs.OpenFile(name, os.O_RDWR)
	return err
}

func (s *Store) replay(r record) error {
	if r.State != nil {
		s.hardState = *r.State
	}
	seg := &s.segments[len(s.segments)-1]
	base := s.manifest.Base.Index
	for _, e := range r.Entries {
		seg.maxIndex = max(seg.maxIndex, e.Index)
		if e.Index <= base {
			s.loaded.Entries = s.loaded.Entries[:0]
			continue
		}
		n := e.Index - base - 1
		if n > uint64(len(s.loaded.Entries)) {
			return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, base+uint64(len(s.loaded.Entries)))
		}
		s.loaded.Entries = append(s.loaded.Entries[:n], e)
	}
	return nil
}

// removeUnlistedFiles removes segments and snapshots that the manifest does not list, which a crash before or after the
// write of the manifest leaves behind.
func (s *Store) removeUnlistedFiles() error {
	listed := map[string]bool{}
	for n := s.manifest.FirstSegment; n <= s.manifest.LastSegment; n++ {
		listed[s.segmentPath(n)] = true
	}
	for _, m := range s.manifest.Snapshots {
		listed[s.snapshotPath(m)] = true
	}
	for _, folder := range []string{logFolder, snapshotFolder} {
		names, err := s.fs.ReadDir(s.path(folder))
		if errors.Is(err, iofs.ErrNotExist) {
			return &CorruptError{File: s.path(folder), Reason: "folder is missing"}
		}
		if err != nil {
			return err
		}
		for _, n := range names {
			if p := s.path(folder, n); !listed[p] {
				if err := s.fs.Remove(p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
