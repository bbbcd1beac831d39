package logreader

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"

	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/core/timestamper"
)

// maxLineBytes limits the length of a line; the longest ones contain the settings of a process or a stack trace.
const maxLineBytes = 1 << 20

// Read calls handle with the event of each line that has a time and a message, and returns the number of other lines.
// It ignores words without a value, which log collectors prepend to lines. The stamps of the events come from the wall
// clocks of the machines, because log lines have no logical timestamps.
func Read(r io.Reader, handle func(e recorder.Event)) (skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log: %w", err)
		}
	}()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for sequence := uint64(1); lines.Scan(); sequence++ {
		e, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		e.Sequence = sequence
		handle(e)
	}
	return skipped, lines.Err()
}

func parseLine(line []byte) (e recorder.Event, ok bool) {
	var ts time.Time
	var process, kind string
	var keyvals []any
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			value := string(d.Value())
			switch key := string(d.Key()); {
			case d.Value() == nil:
			case key == "ts":
				ts, _ = time.Parse(time.RFC3339Nano, value) // zero if it is invalid
			case key == "process":
				process = value
			case key == "msg":
				kind = value
			default:
				keyvals = append(keyvals, key, value)
			}
		}
	}
	if d.Err() != nil || ts.IsZero() || kind == "" {
		return e, false
	}
	e = recorder.NewEvent(kind, keyvals)
	e.Process, e.Incarnation = process, process
	e.Stamp = timestamper.Timestamp{Millis: ts.UnixMilli(), Count: uint32(ts.Nanosecond() % int(time.Millisecond))}
	return e, true
}
