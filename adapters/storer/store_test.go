package storer

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cactusroute.dev/core/replicator"
)

// faultyFS fails every write or sync while the error is set; a failed write stores half of its data.
type faultyFS struct {
	DiskFS
	writeErr, syncErr error
}

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFS) OpenFile(name string, flag int) (File, error) {
	file, err := f.DiskFS.OpenFile(name, flag)
	return &faultyFile{file, f}, err
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if f.fs.writeErr != nil {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, f.fs.writeErr
	}
	return f.File.WriteAt(p, off)
}

func (f *faultyFile) Sync() error { return errors.Join(f.fs.syncErr, f.File.Sync()) }

var testGroup = GroupConfig{Cluster: "c", Members: []replicator.Member{{ID: "x", Voter: true}}}

func openStore(t *testing.T, cfg Config) *Store {
	t.Helper()
	cfg.Name = "control-1"
	s, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.lock.Close() })
	if _, ok := s.GroupConfig(); !ok {
		must(t, s.JoinGroup(testGroup))
	}
	return s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func appendEntries(t *testing.T, s *Store, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		e := replicator.Entry{Index: i, Term: 1, Data: bytes.Repeat([]byte{7}, 100)}
		must(t, s.Append(&replicator.HardState{Term: i}, []replicator.Entry{e}))
	}
}

// crash releases the lock without a clean shutdown, as a killed process does.
func crash(s *Store) { _ = s.lock.Close() }

func lastSegment(s *Store) string { return s.segmentPath(s.manifest.LastSegment) }

func chunks(list ...string) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for _, c := range list {
			if !yield([]byte(c), nil) {
				return
			}
		}
	}
}

// Guards against a restart that loses or alters entries, hard state or the replica ID, with several segments, a
// truncated log and a compaction.
func TestRestartRestoresState(t *testing.T) {
	for _, clean := range []bool{true, false} {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 500}
		s := openStore(t, cfg)
		id := s.ID()
		appendEntries(t, s, 1, 20)
		must(t, s.Append(nil, []replicator.Entry{{Index: 15, Term: 2}}))
		must(t, s.WriteSnapshot(replicator.SnapshotMeta{Index: 12, Term: 1}, chunks("a", "b")))
		must(t, s.Compact(replicator.Position{Index: 8, Term: 1}))
		if clean {
			must(t, s.Close())
		} else {
			crash(s)
		}
		s = openStore(t, cfg)
		got := s.TakeState()
		n := len(got.Entries)
		if s.ID() != id || got.State.Term != 20 || got.Base.Index != 8 || got.Snapshot.Index != 12 || n != 7 ||
			got.Entries[0].Index != 9 || got.Entries[n-1].Term != 2 {
			t.Errorf("clean shutdown %v: got ID %s, want %s, and state %+v", clean, s.ID(), id, got)
		}
		appendEntries(t, s, 16, 17)
	}
}

// Guards against rejecting a log whose last frame is torn by a crash at any byte, and against loading a part of that
// frame.
func TestTornTailIsTruncated(t *testing.T) {
	cfg := Config{Folder: t.TempDir()}
	s := openStore(t, cfg)
	appendEntries(t, s, 1, 3)
	validSize, name := s.segmentSize, lastSegment(s)
	appendEntries(t, s, 4, 4)
	crash(s)
	data, err := os.ReadFile(name)
	must(t, err)
	for cut := validSize; cut < int64(len(data)); cut += 7 {
		for _, zeros := range []int{0, 64} {
			must(t, os.WriteFile(name, append(data[:cut:cut], make([]byte, zeros)...), 0o600))
			s = openStore(t, cfg)
			if got := s.TakeState(); len(got.Entries) != 3 || got.State.Term != 3 {
				t.Fatalf("truncated to %d bytes: got %d entries, term %d, want 3 and 3", cut, len(got.Entries), got.State.Term)
			}
			appendEntries(t, s, 4, 4)
			crash(s)
			s = openStore(t, cfg)
			if got := s.TakeState(); len(got.Entries) != 4 {
				t.Fatalf("truncated to %d bytes: got %d entries after the next write, want 4", cut, len(got.Entries))
			}
			crash(s)
		}
	}
}

// Guards against starting a replica that has lost acknowledged entries, votes or files to a damaged disk.
func TestCorruptFilesAreRejected(t *testing.T) {
	flip := func(at int64) func(*testing.T, string) {
		return func(t *testing.T, name string) {
			data, err := os.ReadFile(name)
			must(t, err)
			if at < 0 {
				at += int64(len(data))
			}
			data[at] ^= 1
			must(t, os.WriteFile(name, data, 0o600))
		}
	}
	remove := func(t *testing.T, name string) { must(t, os.Remove(name)) }
	tests := []struct {
		name, file string
		damage     func(*testing.T, string)
		clean      bool
	}{
		{"payload in an early segment", "log/0000000000000002.seg", flip(200), false},
		{"end of an early segment", "log/0000000000000002.seg", flip(-1), false},
		{"length field in the last segment", "log/0000000000000004.seg", flip(7), false},
		{"last entry after a clean stop", "log/0000000000000004.seg", flip(-40), true},
		{"missing early segment", "log/0000000000000002.seg", remove, false},
		{"missing last segment", "log/0000000000000004.seg", remove, false},
		{"snapshot", "snapshot/0000000000000003-0000000000000001.snap", flip(-30), false},
		{"missing snapshot", "snapshot/0000000000000003-0000000000000001.snap", remove, false},
		{"manifest", manifestName, flip(40), false},
		{"missing manifest", manifestName, remove, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := Config{Folder: t.TempDir(), SegmentBytes: 500, Name: "control-1"}
			s := openStore(t, cfg)
			appendEntries(t, s, 1, 14)
			must(t, s.WriteSnapshot(replicator.SnapshotMeta{Index: 3, Term: 1}, chunks("state")))
			if tt.clean {
				must(t, s.Close())
			}
			crash(s)
			name := filepath.Join(cfg.Folder, tt.file)
			tt.damage(t, name)
			_, err := Open(cfg)
			var damage *CorruptError
			if !errors.As(err, &damage) || damage.File != name || !strings.Contains(err.Error(), "joins again as a learner") {
				t.Fatalf("got %v, want a CorruptError with the file %s and how to recover", err, name)
			}
		})
	}
}

// Guards against acknowledging writes after a full disk or a failed sync, in the log and in snapshots.
func TestWriteFailureStopsStore(t *testing.T) {
	for _, fault := range []faultyFS{{writeErr: syscall.ENOSPC}, {syncErr: syscall.EIO}} {
		cause := fault.writeErr
		if cause == nil {
			cause = fault.syncErr
		}
		for _, op := range []string{"append", "snapshot"} {
			fs := &faultyFS{}
			cfg := Config{Folder: t.TempDir(), FS: fs}
			s := openStore(t, cfg)
			appendEntries(t, s, 1, 3)
			write := func() error {
				if op == "append" {
					return s.Append(nil, []replicator.Entry{{Index: 4, Term: 1}})
				}
				return s.WriteSnapshot(replicator.SnapshotMeta{Index: 2, Term: 1}, chunks("state"))
			}
			*fs = fault
			first := write()
			*fs = faultyFS{}
			second := s.Append(nil, []replicator.Entry{{Index: 4, Term: 1}})
			var failed *FailedError
			if !errors.As(first, &failed) || !errors.As(second, &failed) || !errors.Is(first, cause) {
				t.Fatalf("%s: got errors %v, then %v, want a FailedError twice", op, first, second)
			}
			_ = s.Close()
			if got := openStore(t, cfg).TakeState(); len(got.Entries) < 3 || got.Snapshot.Index != 0 {
				t.Fatalf("%s: got state %+v after the restart, want at least 3 entries and no snapshot", op, got)
			}
		}
	}
}

// Guards against a received snapshot that differs from the sent one, and against old entries that remain after its
// installation.
func TestSnapshotTransfer(t *testing.T) {
	from, to := openStore(t, Config{Folder: t.TempDir()}), openStore(t, Config{Folder: t.TempDir()})
	meta := replicator.SnapshotMeta{Index: 50, Term: 3}
	must(t, from.WriteSnapshot(meta, chunks("first", strings.Repeat("x", 1000), "last")))
	appendEntries(t, to, 1, 9)
	for offset, last := uint64(0), false; !last; {
		var data []byte
		var err error
		data, last, err = from.ReadPiece(meta, offset, 100)
		must(t, err)
		must(t, to.ReceivePiece(replicator.Piece{Meta: meta, Offset: offset, Data: data, Last: last}))
		offset += uint64(len(data))
	}
	must(t, to.InstallSnapshot(meta))
	appendEntries(t, to, 51, 52)
	folder := to.cfg.Folder
	crash(to)
	to = openStore(t, Config{Folder: folder})
	var got bytes.Buffer
	for c, err := range to.SnapshotChunks() {
		must(t, err)
		got.Write(c)
	}
	if st := to.TakeState(); got.Len() != 1009 || st.Base.Index != 50 || len(st.Entries) != 2 {
		t.Fatalf("got a snapshot of %d bytes, want 1009, and state %+v", got.Len(), st)
	}
}

// Guards against two processes that use one folder, and against a start with the folder of another instance.
func TestFolderLock(t *testing.T) {
	cfg := Config{Folder: t.TempDir(), Name: "control-1"}
	s := openStore(t, cfg)
	if _, err := Open(cfg); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second open of a locked folder: got %v", err)
	}
	must(t, s.Close())
	cfg.Name = "control-2"
	if _, err := Open(cfg); err == nil || !strings.Contains(err.Error(), `belongs to instance "control-1"`) {
		t.Errorf("open under another name: got %v", err)
	}
}

// BenchmarkAppend measures one synced frame with 1 and with 64 entries of 256 bytes.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries%d", size), func(b *testing.B) {
			s, err := Open(Config{Folder: b.TempDir(), Name: "bench"})
			if err == nil {
				err = s.JoinGroup(testGroup)
			}
			if err != nil {
				b.Fatal(err)
			}
			entries := make([]replicator.Entry, size)
			for i := 0; i < b.N; i++ {
				for j := range entries {
					entries[j] = replicator.Entry{Index: uint64(i*size + j + 1), Term: 1, Data: make([]byte, 256)}
				}
				if err := s.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			_ = s.Close()
		})
	}
}
