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

// Guards against files that grow without bound, and against origins that are lost when a new file is begun.
func TestStreamLogBeginsNewFiles(t *testing.T) {
	now := time.Unix(1000, 0)
	folder := t.TempDir()
	log := &streamLog{fs: storer.DiskFS{}, folder: folder}
	for i := range 40 {
		now = now.Add(4 * time.Second)
		assert.NilError(t, log.append(now, testStreams(now, 1000*i, 1000*i+1000)))
	}
	known := map[resumer.Key]bool{}
	list, err := (&streamLog{fs: storer.DiskFS{}, folder: folder}).load(now)
	assert.NilError(t, err)
	for _, s := range list {
		known[s.Key] = true
	}
	for key := resumer.Key(40*1000 - 1000*int(maxStreamRetention/(4*time.Second))); key < 40*1000; key++ {
		assert.Assert(t, known[key], "stream %d", key)
	}
	for _, name := range []string{streamLogFile, oldStreamLogFile} {
		info, err := os.Stat(filepath.Join(folder, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() < 2*maxStreamLogBytes, "%s has %d bytes", name, info.Size())
	}
}

// Guards against a disk without space that stops the origins from being written once it has space again.
func TestStreamLogOnAFullDisk(t *testing.T) {
	now := time.Unix(1000, 0)
	full := &atomic.Bool{}
	log := &streamLog{fs: faultyDisk{full: full}, folder: t.TempDir()}
	assert.NilError(t, log.append(now, testStreams(now, 0, 10)))
	full.Store(true)
	assert.Assert(t, errors.Is(log.append(now, testStreams(now, 10, 20)), errNoSpace))
	now = now.Add(2 * maxStreamRetention)
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
