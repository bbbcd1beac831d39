package logreader

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"

	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/core/stamper"
)

// maxLineBytes bounds a line; the longest ones name the settings of a process or a stack.
const maxLineBytes = 1 << 20

// Read calls each for every line that has a time and a message, in the order of the lines, and returns the number of
// other lines. Words without a value, which collectors of logs put before a line, are left out. The events are ordered
// by the clocks of the machines, because a log has no other time. The error is that of r.
func Read(r io.Reader, each func(e recorder.Event)) (skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log: %w", err)
		}
	}()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for sequence := uint64(1); lines.Scan(); sequence++ {
		e, ok := parse(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		e.Sequence = sequence
		each(e)
	}
	return skipped, lines.Err()
}

func parse(line []byte) (e recorder.Event, ok bool) {
	var at time.Time
	var process, kind string
	var keyvals []any
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			value := string(d.Value())
			switch key := string(d.Key()); {
			case d.Value() == nil:
			case key == "ts":
				at, _ = time.Parse(time.RFC3339Nano, value) // zero if it can't be read
			case key == "process":
				process = value
			case key == "msg":
				kind = value
			default:
				keyvals = append(keyvals, key, value)
			}
		}
	}
	if d.Err() != nil || at.IsZero() || kind == "" {
		return e, false
	}
	e = recorder.NewEvent(kind, keyvals)
	e.Process, e.Incarnation = process, process
	e.Stamp = stamper.Timestamp{Millis: at.UnixMilli(), Count: uint32(at.Nanosecond() % int(time.Millisecond))}
	return e, true
}
