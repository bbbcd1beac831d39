package storer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	iofs "io/fs"
	"iter"
	"os"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/replicator"
)

// maxSnapshots is 2, so that a transfer of the previous snapshot can complete after a new one has been written.
const maxSnapshots = 2

// maxChunkBytes limits a chunk, so that a damaged length field can't cause a huge allocation.
const maxChunkBytes = 64 << 20

// errTruncated reports that a snapshot file ends before its last frame.
var errTruncated = errors.New("file is truncated")

// incomingSnapshot is a snapshot that is being received from another replica.
type incomingSnapshot struct {
	file File
	meta replicator.SnapshotMeta
}

func (s *Store) snapshotPath(m replicator.SnapshotMeta) string {
	return s.path(snapshotFolder, fmt.Sprintf("%016d-%016d.snap", m.Index, m.Term))
}

func (s *Store) incomingPath() string { return s.path(snapshotFolder, "incoming"+tmpSuffix) }

// WriteSnapshot stores a snapshot of this replica's state: one frame with the metadata, one for each chunk, and an
// empty frame as the end mark.
func (s *Store) WriteSnapshot(meta replicator.SnapshotMeta, chunks iter.Seq2[[]byte, error]) (err error) {
	if s.failed != nil {
		return s.failed
	}
	name := s.snapshotPath(meta)
	f, err := s.fs.OpenFile(name+tmpSuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
	if err != nil {
		return s.fail(err)
	}
	err = writeChunks(f, meta, chunks)
	if err = errors.Join(err, f.Close()); err != nil {
		return s.fail(err)
	}
	if err := s.fs.Rename(name+tmpSuffix, name); err != nil {
		return s.fail(err)
	}
	return s.addSnapshot(meta)
}

func writeChunks(f File, meta replicator.SnapshotMeta, chunks iter.Seq2[[]byte, error]) error {
	encodedMeta, err := cbor.Marshal(meta)
	if err != nil {
		return err
	}
	seq, size := uint64(1), int64(0)
	var buf []byte
	write := func(payload []byte) error {
		buf = appendFrame(buf[:0], seq, payload)
		_, err := f.WriteAt(buf, size)
		seq++
		size += int64(len(buf))
		return err
	}
	if err := write(encodedMeta); err != nil {
		return err
	}
	for c, err := range chunks {
		if err != nil {
			return err
		}
		if len(c) == 0 {
			continue
		}
		if err := write(c); err != nil {
			return err
		}
	}
	if err := write(nil); err != nil {
		return err
	}
	return f.Sync()
}

// addSnapshot adds a durable snapshot file to the manifest and removes the oldest ones beyond maxSnapshots.
func (s *Store) addSnapshot(meta replicator.SnapshotMeta) error {
	if err := s.fs.SyncDir(s.path(snapshotFolder)); err != nil {
		return s.fail(err)
	}
	m := s.manifest
	snapshots := append(append([]replicator.SnapshotMeta(nil), m.Snapshots...), meta)
	removed := max(0, len(snapshots)-maxSnapshots)
	m.Snapshots = snapshots[removed:]
	if err := s.commitManifest(m); err != nil {
		return err
	}
	return s.removeSnapshots(snapshots[:removed])
}

func (s *Store) removeSnapshots(list []replicator.SnapshotMeta) error {
	for _, old := range list {
		if err := s.fs.Remove(s.snapshotPath(old)); err != nil {
			return s.fail(err)
		}
	}
	return nil
}

// ReadPiece returns up to limit bytes of a snapshot file from offset on, and whether they reach its end.
func (s *Store) ReadPiece(meta replicator.SnapshotMeta, offset uint64, limit int) (data []byte, last bool, err error) {
	f, err := s.fs.OpenFile(s.snapshotPath(meta), os.O_RDONLY)
	if err != nil {
		return nil, false, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	data = make([]byte, limit+1)
	n, err := f.ReadAt(data, int64(offset))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, false, err
	}
	return data[:min(n, limit)], n <= limit, nil
}

// ReceivePiece stores a piece of a snapshot that another replica sends; pieces must arrive in order.
func (s *Store) ReceivePiece(p replicator.Piece) (err error) {
	if s.failed != nil {
		return s.failed
	}
	if p.Offset == 0 {
		s.discardIncoming()
		s.incoming.meta = p.Meta
		s.incoming.file, err = s.fs.OpenFile(s.incomingPath(), os.O_CREATE|os.O_TRUNC|os.O_RDWR)
		if err != nil {
			return s.fail(err)
		}
	}
	if s.incoming.file == nil {
		return s.fail(errors.New("first received piece of a snapshot does not start at offset 0"))
	}
	if _, err := s.incoming.file.WriteAt(p.Data, int64(p.Offset)); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) discardIncoming() {
	if s.incoming.file != nil {
		_ = s.incoming.file.Close()
	}
	s.incoming = incomingSnapshot{}
}

// InstallSnapshot verifies the received snapshot and replaces the log and all snapshots with it.
func (s *Store) InstallSnapshot(meta replicator.SnapshotMeta) error {
	if s.failed != nil {
		return s.failed
	}
	if s.incoming.file == nil || s.incoming.meta.Index != meta.Index {
		return s.fail(fmt.Errorf("no snapshot at index %d has been received", meta.Index))
	}
	err := s.incoming.file.Sync()
	s.discardIncoming()
	if err != nil {
		return s.fail(err)
	}
	if err := verifySnapshot(s.fs, s.incomingPath()); err != nil {
		return s.fail(err)
	}
	if err := s.fs.Rename(s.incomingPath(), s.snapshotPath(meta)); err != nil {
		return s.fail(err)
	}
	if err := s.fs.SyncDir(s.path(snapshotFolder)); err != nil {
		return s.fail(err)
	}
	m := s.manifest
	old := m.Snapshots
	m.LastSegment++
	if err := s.startSegment(m.LastSegment); err != nil {
		return s.fail(err)
	}
	last := s.segments[len(s.segments)-1]
	m.FirstSegment, m.FirstFrame = last.number, last.firstFrame
	m.Snapshots = []replicator.SnapshotMeta{meta}
	m.Base = replicator.Position{Index: meta.Index, Term: meta.Term}
	if err := s.removeSegments(m, len(s.segments)-1); err != nil {
		return err
	}
	return s.removeSnapshots(old)
}

// SnapshotChunks returns the chunks of the newest snapshot, none if there is no snapshot. It yields a *CorruptError for
// a damaged file.
func (s *Store) SnapshotChunks() iter.Seq2[[]byte, error] {
	n := len(s.manifest.Snapshots)
	if n == 0 {
		return func(func([]byte, error) bool) {}
	}
	return readChunks(s.fs, s.snapshotPath(s.manifest.Snapshots[n-1]))
}

// verifyNewestSnapshot reads the newest snapshot, so that damage is detected before the replica joins the consensus.
func (s *Store) verifyNewestSnapshot() error {
	if n := len(s.manifest.Snapshots); n > 0 {
		return verifySnapshot(s.fs, s.snapshotPath(s.manifest.Snapshots[n-1]))
	}
	return nil
}

func verifySnapshot(fs FS, name string) error {
	for _, err := range readChunks(fs, name) {
		if err != nil {
			return err
		}
	}
	return nil
}

func readChunks(fs FS, name string) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		f, err := fs.OpenFile(name, os.O_RDONLY)
		if errors.Is(err, iofs.ErrNotExist) {
			err = &CorruptError{File: name, Reason: "file is missing"}
		}
		if err != nil {
			yield(nil, err)
			return
		}
		defer func() { _ = f.Close() }()
		r := bufio.NewReaderSize(f, 1<<16)
		offset := int64(0)
		for seq := uint64(1); ; seq++ {
			payload, err := readChunk(r, seq)
			if err != nil {
				yield(nil, &CorruptError{File: name, Offset: offset, Reason: err.Error()})
				return
			}
			offset += int64(frameHeaderBytes + len(payload))
			switch {
			case len(payload) == 0:
				return
			case seq == 1: // the metadata
			case !yield(payload, nil):
				return
			}
		}
	}
}

func readChunk(r io.Reader, seq uint64) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errTruncated
	}
	n := binary.BigEndian.Uint32(header[4:])
	if n > maxChunkBytes {
		return nil, fmt.Errorf("frame %d has a length of %d bytes, limit is %d", seq, n, maxChunkBytes)
	}
	frame := make([]byte, frameHeaderBytes+int(n))
	copy(frame, header[:])
	if _, err := io.ReadFull(r, frame[frameHeaderBytes:]); err != nil {
		return nil, errTruncated
	}
	got, payload, _, ok := parseFrame(frame)
	if !ok || got != seq {
		return nil, errors.New("checksum or sequence number mismatch")
	}
	return payload, nil
}
