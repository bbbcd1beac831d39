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
	// streamLogFile holds the origins of streams in a data folder, and newStreamLogFile its replacement while it is
	// written. Earlier versions left streams from before the former was begun in oldStreamLogFile.
	streamLogFile    = "streams.log"
	newStreamLogFile = "streams.new"
	oldStreamLogFile = "streams.old"

	// streamSaveInterval is the time between two synced writes: a power loss costs the origins of the streams that began
	// within it.
	streamSaveInterval = 200 * time.Millisecond

	// maxStreamLogGrowth is the size of the batches after which the file is replaced by one that begins with the streams
	// which are still known: those of more than maxKnownStreams/2 streams.
	maxStreamLogGrowth = 1 << 20

	// streamFrameHeaderBytes is the length and the checksum before each batch.
	streamFrameHeaderBytes = 8
)

// streamLog keeps the origins of streams on disk, as batches with checksums.
type streamLog struct {
	fs     storer.FS
	folder string
	// known returns the streams that are to be kept, with those of the batch that is being written.
	known func() []resumer.Stream

	file      storer.File // nil until the first batch
	offset    int64       // of the next batch
	replaceAt int64       // offset at which the file is replaced; 0 until the first batch
	hasOld    bool        // there is an oldStreamLogFile
	isRenamed bool        // the file has its name only once the folder is synced
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
		} else {
			l.hasOld = true
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
	if err := l.open(); err != nil {
		return err
	}
	if err := l.completeReplacement(); err != nil {
		return err
	}
	if l.offset >= l.replaceAt || l.hasOld {
		if err := l.replace(now); err == nil {
			return l.completeReplacement() // the batch is among the known streams
		}
		l.replaceAt = l.offset + maxStreamLogGrowth
	}
	size, err := writeStreams(l.file, l.offset, now, list)
	l.offset += size
	return err
}

// open opens the file if it is not open.
func (l *streamLog) open() (err error) {
	if l.file != nil {
		return nil
	}
	file, err := l.fs.OpenFile(l.path(streamLogFile), os.O_CREATE|os.O_WRONLY)
	if err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return errors.Join(err, file.Close())
	}
	l.file, l.replaceAt = file, l.offset+maxStreamLogGrowth
	return nil
}

// replace replaces the file by one with the streams that are still known. After a power loss, one of the two is whole.
func (l *streamLog) replace(now time.Time) (err error) {
	file, err := l.fs.OpenFile(l.path(newStreamLogFile), os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	size, err := writeStreams(file, 0, now, l.known())
	if err == nil {
		err = l.fs.Rename(l.path(newStreamLogFile), l.path(streamLogFile))
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	_ = l.file.Close() // it has no name any more
	l.file, l.offset, l.replaceAt, l.isRenamed = file, size, size+maxStreamLogGrowth, true
	return nil
}

// completeReplacement makes the name of a file durable that has replaced another one, and removes the second one of
// earlier versions.
func (l *streamLog) completeReplacement() (err error) {
	if !l.isRenamed {
		return nil
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return err
	}
	if l.hasOld {
		err = l.fs.Remove(l.path(oldStreamLogFile))
		l.hasOld = err != nil
	}
	l.isRenamed = l.hasOld
	return err
}

// writeStreams writes one batch at an offset of a file and syncs it. It returns the size of the batch, 0 on failure.
func writeStreams(file storer.File, offset int64, now time.Time, list []resumer.Stream) (size int64, err error) {
	parts, err := exchanger.MarshalStreams(now, list)
	if err != nil {
		return 0, err
	}
	var data []byte
	for _, p := range parts {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p)))
		data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(p))
		data = append(data, p...)
	}
	if _, err = file.WriteAt(data, offset); err == nil {
		err = file.Sync()
	}
	if err != nil {
		return 0, err
	}
	return int64(len(data)), nil
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
