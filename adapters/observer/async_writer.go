package observer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds the lines that wait to be written.
	queueBytes = 256 << 10

	// flushInterval gathers lines, so that one write serves many of them.
	flushInterval = 200 * time.Millisecond
)

// Queue is a writer for log lines that never blocks its callers: what the output doesn't take in time is dropped and
// counted.
type AsyncWriter struct {
	w       io.Writer
	dropped atomic.Uint64

	mu  sync.Mutex
	buf bytes.Buffer
}

// NewQueue returns a queue in front of w; lines are written while Serve runs.
func NewAsyncWriter(w io.Writer) *AsyncWriter { return &AsyncWriter{w: w} }

// Write takes one line; it never fails.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.buf.Len()+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.buf.Write(line)
	return len(line), nil
}

// Drop counts a line that was left out before it was made.
func (q *AsyncWriter) CountDropped() { q.dropped.Add(1) }

// Dropped returns the number of lines that were lost so far.
func (q *AsyncWriter) Dropped() uint64 { return q.dropped.Load() }

// Serve writes the lines until ctx ends, then what is left.
func (q *AsyncWriter) Serve(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var told uint64
	for {
		select {
		case <-ctx.Done():
			q.Flush()
			return ctx.Err()
		case <-t.C:
			if n := q.Dropped(); n != told {
				_, _ = fmt.Fprintf(q, "msg=\"log lines dropped\" total=%d\n", n)
				told = n
			}
			q.Flush()
		}
	}
}

// Flush writes what waits; an error of the output is not reported, because there is nowhere to report it.
func (q *AsyncWriter) Flush() {
	q.mu.Lock()
	data := bytes.Clone(q.buf.Bytes())
	q.buf.Reset()
	q.mu.Unlock()
	if len(data) > 0 {
		_, _ = q.w.Write(data)
	}
}
