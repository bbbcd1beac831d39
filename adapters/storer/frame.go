package storer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the unit of one sync: magic, payload length, sequence number, checksum of these and the payload, payload.
// The next frame is written only after the sync, so a valid frame after an invalid one proves that the invalid one was
// durable and has been damaged since, rather than torn by a crash.
const (
	frameMagic       = 0x43525331
	frameHeaderBytes = 4 + 4 + 8 + 4
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage to a stored file that a crash can't have caused.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset, the reason and how to recover.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; if a majority of the other control instances is healthy, "+
		"stop this instance, move its entire data folder away and start it again: it joins again as a learner",
		e.File, e.Offset, e.Reason)
}

// FailedError reports a failed write or sync, after which the store rejects further writes.
type FailedError struct {
	Folder string
	Cause  error
}

// Error returns the folder, the cause and how to recover.
func (e *FailedError) Error() string {
	return fmt.Sprintf("storage in data folder %s failed and the replica has stopped: %v; free space on the disk or "+
		"replace it, then restart this instance", e.Folder, e.Cause)
}

// Unwrap returns the file system's error.
func (e *FailedError) Unwrap() error { return e.Cause }

func appendFrame(buf []byte, seq uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, frameMagic)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint64(buf, seq)
	sum := crc32.Update(crc32.Checksum(buf[start:], castagnoliTable), castagnoliTable, payload)
	buf = binary.BigEndian.AppendUint32(buf, sum)
	return append(buf, payload...)
}

// parseFrame decodes the frame at the start of data; size includes the header, and ok is false if the frame is invalid.
func parseFrame(data []byte) (seq uint64, payload []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, false
	}
	n := int64(binary.BigEndian.Uint32(data[4:]))
	if n > int64(len(data)-frameHeaderBytes) {
		return 0, nil, 0, false
	}
	size = frameHeaderBytes + int(n)
	payload = data[frameHeaderBytes:size]
	sum := crc32.Update(crc32.Checksum(data[:16], castagnoliTable), castagnoliTable, payload)
	if sum != binary.BigEndian.Uint32(data[16:]) {
		return 0, nil, 0, false
	}
	return binary.BigEndian.Uint64(data[8:]), payload, size, true
}

// hasLaterFrame reports whether a valid frame with a higher sequence number starts anywhere in data.
func hasLaterFrame(data []byte, seq uint64) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		data = data[i:]
		if s, _, _, ok := parseFrame(data); ok && s > seq {
			return true
		}
		data = data[1:]
	}
}
