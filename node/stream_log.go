package node

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/resumer"
)

const (
	// streamLogFile and oldStreamLogFile hold the origins of streams in a data folder; the latter has those from before
	// the former was begun.
	streamLogFile    = "streams.log"
	oldStreamLogFile = "streams.old"

	// streamSaveInterval is the time between two synced writes: a power loss costs the origins of the streams that began
	// within it.
	streamSaveInterval = 200 * time.Millisecond

	// maxStreamLogBytes is the size at which a new file is begun; each holds more than maxKnownStreams/2 streams.
	maxStreamLogBytes = 1 << 20

	// streamFrameHeaderBytes is the length and the checksum before each batch.
	streamFrameHeaderBytes = 8
)

// streamLog keeps the origins of streams on disk, as batches with checksums.
type streamLog struct {
	fs      storer.FS
	folder  string
	file    storer.File // nil until the first batch
	offset  int64       // of the next batch
	begunAt time.Time   // of the file
}

func (l *streamLog) path(name string) string { return filepath.Join(l.folder, name) }

// load returns the streams on disk. Batches after a torn one are lost.
func (l *streamLog) load(now time.Time) (list []resumer.Stream, err error) {
	for _, name := range []string{oldStreamLogFile, streamLogFile} {
		data, readErr := l.fs.ReadFile(l.path(name))
		if errors.Is(readErr, fs.ErrNotExist) {
			continue
		}
		err = errors.Join(err, readErr)
		streams, valid := decodeStreamLog(now, data)
		list = append(list, streams...)
		if name == streamLogFile {
			l.offset = valid
		}
	}
	return list, err
}

// decodeStreamLog returns the streams in a file and the length of its valid part.
func decodeStreamLog(now time.Time, data []byte) (list []resumer.Stream, valid int64) {
	for len(data) >= streamFrameHeaderBytes {
		size := int64(binary.BigEndian.Uint32(data))
		sum := binary.BigEndian.Uint32(data[4:])
		if size == 0 || size > int64(len(data)-streamFrameHeaderBytes) {
			break
		}
		payload := data[streamFrameHeaderBytes : streamFrameHeaderBytes+size]
		if crc32.ChecksumIEEE(payload) != sum {
			break
		}
		streams, err := exchanger.UnmarshalStreams(now, payload)
		if err != nil {
			break
		}
		list = append(list, streams...)
		data = data[streamFrameHeaderBytes+size:]
		valid += streamFrameHeaderBytes + size
	}
	return list, valid
}

// append writes streams and syncs the file. After an error, the next batch overwrites this one, which is lost.
func (l *streamLog) append(now time.Time, list []resumer.Stream) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", l.path(streamLogFile), err)
		}
	}()
	parts, err := exchanger.MarshalStreams(now, list)
	if err != nil {
		return err
	}
	var data []byte
	for _, p := range parts {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p)))
		data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(p))
		data = append(data, p...)
	}
	if err := l.open(now); err != nil {
		return err
	}
	_, err = l.file.WriteAt(data, l.offset)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return err
	}
	l.offset += int64(len(data))
	return nil
}

// open opens the file, and begins a new one if it is large or old enough that the one before it is not needed.
func (l *streamLog) open(now time.Time) error {
	isDue := l.file != nil && (l.offset >= maxStreamLogBytes || now.Sub(l.begunAt) >= maxStreamRetention)
	if l.file != nil && !isDue {
		return nil
	}
	if isDue {
		err := errors.Join(l.file.Close(), l.fs.Rename(l.path(streamLogFile), l.path(oldStreamLogFile)))
		l.file = nil
		if err != nil {
			return err
		}
		l.offset = 0
	}
	file, err := l.fs.OpenFile(l.path(streamLogFile), os.O_CREATE|os.O_WRONLY)
	if err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return errors.Join(err, file.Close())
	}
	l.file, l.begunAt = file, now
	return nil
}

// loadStreams loads the origins of streams that an earlier process of this instance saved.
func (f *fleet) loadStreams() {
	list, err := f.streamLog.load(time.Now())
	if err != nil {
		f.log.failure("msg", "origins of streams not read", "folder", f.settings.DataFolder, "err", err)
	}
	f.streams.merge(list)
	f.streams.takeUnsaved() // they are on disk
	f.log.event("origins of streams read", "streams", len(list))
}

// persistStreams writes the origins of streams to disk until ctx ends.
func (f *fleet) persistStreams(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.streams.unsavedSet:
		}
		if list := f.streams.takeUnsaved(); len(list) > 0 {
			if err := f.streamLog.append(time.Now(), list); err != nil {
				f.log.failure("msg", "origins of streams not written", "streams", len(list), "err", err)
			}
		}
		sleeper.Pause(ctx, streamSaveInterval)
	}
}
