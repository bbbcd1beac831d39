package node

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/resumer"
)

func testStreams(now time.Time, from, to int) (list []resumer.Stream) {
	for i := from; i < to; i++ {
		list = append(list, resumer.Stream{Key: resumer.Key(i), Origin: resumer.Origin{Service: "s", Version: "v1"},
			Until: now.Add(10 * time.Second)})
	}
	return list
}

// Guards against origins that are lost with a torn write, a damaged batch or a full disk, beyond those in it.
func TestStreamLogAfterAPowerLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		damage func(data []byte) []byte
		want   int // of 30 streams in three batches
	}{
		{"intact", func(data []byte) []byte { return data }, 30},
		{"last batch torn", func(data []byte) []byte { return data[:len(data)-1] }, 20},
		{"last batch lost", func(data []byte) []byte { return data[:2*len(data)/3] }, 20},
		{"zeros after the last batch", func(data []byte) []byte { return append(data, make([]byte, 4096)...) }, 30},
		{"last batch damaged", func(data []byte) []byte { data[len(data)-5] ^= 1; return data }, 20},
		{"length damaged", func(data []byte) []byte { data[0] = 0xff; return data }, 0},
		{"empty", func([]byte) []byte { return nil }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			log := &streamLog{fs: storer.DiskFS{}, folder: folder}
			for i := range 3 {
				assert.NilError(t, log.append(now, testStreams(now, 10*i, 10*i+10)))
			}
			name := filepath.Join(folder, streamLogFile)
			data, err := os.ReadFile(name)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(name, c.damage(data), 0o600))
			log = &streamLog{fs: storer.DiskFS{}, folder: folder}
			list, err := log.load(now)
			assert.NilError(t, err)
			assert.Equal(t, len(list), c.want)
			assert.NilError(t, log.append(now, testStreams(now, 100, 110)))
			list, err = (&streamLog{fs: storer.DiskFS{}, folder: folder}).load(now)
			assert.NilError(t, err)
			assert.Equal(t, len(list), c.want+10)
		})
	}
}

// Guards against files that grow without bound, and against origins that are lost with a file that is replaced although
// the streams go on, or that were in the second file of earlier versions.
func TestStreamLogKeepsStreamsThatGoOn(t *testing.T) {
	const batch, long = 1000, 100 // streams; each long-th one lasts for an hour, the others for ten seconds
	now := time.Unix(1000, 0)
	folder := t.TempDir()
	table := resumer.New(now, maxKnownStreams)
	newLog := func() *streamLog {
		return &streamLog{fs: storer.DiskFS{}, folder: folder, known: func() []resumer.Stream { return table.All(now) }}
	}
	log := newLog()
	for i := range 400 {
		now = now.Add(4 * time.Second)
		list := testStreams(now, batch*i, batch*i+batch)
		for j := 0; j < batch; j += long {
			list[j].Until = now.Add(time.Hour)
		}
		for _, s := range list {
			table.Record(now, s)
		}
		assert.NilError(t, log.append(now, list))
		info, err := os.Stat(filepath.Join(folder, streamLogFile))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() < 2*maxStreamLogGrowth, "%d bytes", info.Size())
		switch i {
		case 100: // the state after an upgrade
			assert.NilError(t, os.Rename(filepath.Join(folder, streamLogFile), filepath.Join(folder, oldStreamLogFile)))
			log = newLog()
			_, err := log.load(now)
			assert.NilError(t, err)
		case 200:
			log = newLog()
			_, err := log.load(now)
			assert.NilError(t, err)
		}
	}
	loaded := resumer.New(now, maxKnownStreams)
	list, err := newLog().load(now)
	assert.NilError(t, err)
	for _, s := range list {
		loaded.Record(now, s)
	}
	for _, s := range table.All(now) {
		_, known := loaded.Origin(now, s.Key)
		assert.Assert(t, known, "stream %d", s.Key)
	}
	assert.Assert(t, table.Len() > 400*batch/long, "%d streams", table.Len())
	entries, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
}

// Guards against origins that are lost because a step of the replacement of the file fails.
func TestStreamLogReplacementThatFails(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := testStreams(now, 0, 10), testStreams(now, 0, 20)
	for step := range 6 {
		disk := &failingSteps{folder: t.TempDir(), left: step}
		log := &streamLog{fs: disk, folder: disk.folder, known: func() []resumer.Stream { return after }}
		disk.isActive = false
		assert.NilError(t, log.append(now, before))
		disk.isActive = true
		log.replaceAt = 0
		err := log.append(now, after[10:])
		list, loadErr := (&streamLog{fs: storer.DiskFS{}, folder: disk.folder}).load(now)
		assert.NilError(t, loadErr)
		isKept := len(list) == len(after) || err != nil && len(list) == len(before)
		assert.Assert(t, isKept, "step %d: %d streams, %v", step, len(list), err)
		disk.isActive = false
		assert.NilError(t, log.append(now, testStreams(now, 20, 30)))
		list, loadErr = (&streamLog{fs: storer.DiskFS{}, folder: disk.folder}).load(now)
		assert.NilError(t, loadErr)
		assert.Assert(t, len(list) >= 20, "step %d: %d streams", step, len(list))
	}
}

// Guards against a disk without space that stops the origins from being written once it has space again.
func TestStreamLogOnAFullDisk(t *testing.T) {
	now := time.Unix(1000, 0)
	full := &atomic.Bool{}
	log := &streamLog{fs: faultyDisk{full: full}, folder: t.TempDir(), known: func() []resumer.Stream { return nil }}
	assert.NilError(t, log.append(now, testStreams(now, 0, 10)))
	full.Store(true)
	assert.Assert(t, errors.Is(log.append(now, testStreams(now, 10, 20)), errNoSpace))
	log.replaceAt = 0
	assert.Assert(t, errors.Is(log.append(now, testStreams(now, 20, 30)), errNoSpace))
	full.Store(false)
	assert.NilError(t, log.append(now, testStreams(now, 30, 40)))
	list, err := log.load(now)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 20)
}

// silentQuerier is a subscription to a control instance that does not answer, or to one that is gone.
type silentQuerier struct{ err error }

func (q silentQuerier) QueryStream(context.Context, uint64, resumer.Key) error { return q.err }

// Guards against callers that wait long for a control instance that does not answer, and against a missing answer that
// is taken for an unknown stream.
func TestStreamQueryWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		querier streamQuerier
	}{
		{"not subscribed", nil},
		{"silent", silentQuerier{}},
		{"connection lost", silentQuerier{err: errors.New("closed")}},
	} {
		s := newStreams(false, time.Now().Add(-time.Hour))
		s.querier = c.querier
		start := time.Now()
		_, _, err := s.origin(t.Context(), 1)
		assert.Assert(t, errors.Is(err, errNoStreamQuery), "%s: %v", c.name, err)
		assert.Assert(t, time.Since(start) < 3*streamQueryTimeout, "%s took %v", c.name, time.Since(start))
		assert.Equal(t, len(s.queries), 0, c.name)
	}
}

// failingSteps is a disk on which the step after a number of them fails, once it is active.
type failingSteps struct {
	storer.DiskFS
	folder   string
	isActive bool
	left     int // steps before the one that fails
}

func (d *failingSteps) step() error {
	if !d.isActive {
		return nil
	}
	if d.left--; d.left == -1 {
		return errNoSpace
	}
	return nil
}

func (d *failingSteps) OpenFile(name string, flag int) (storer.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	file, err := d.DiskFS.OpenFile(name, flag)
	return failingStepsFile{file, d}, err
}

func (d *failingSteps) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	return d.DiskFS.Rename(from, to)
}

func (d *failingSteps) SyncDir(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	return d.DiskFS.SyncDir(name)
}

type failingStepsFile struct {
	storer.File
	disk *failingSteps
}

func (f failingStepsFile) WriteAt(p []byte, at int64) (int, error) {
	if err := f.disk.step(); err != nil {
		return 0, err
	}
	return f.File.WriteAt(p, at)
}

func (f failingStepsFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	return f.File.Sync()
}
