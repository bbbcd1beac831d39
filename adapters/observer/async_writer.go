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
	// maxBufferedBytes limits the memory for lines that have not been written.
	maxBufferedBytes = 256 << 10

	// flushInterval batches lines into one write.
	flushInterval = 200 * time.Millisecond
)

// AsyncWriter buffers log lines and never blocks its callers; if the output is too slow, it drops and counts lines.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Uint64

	mu  sync.Mutex
	buf bytes.Buffer
}

// NewAsyncWriter returns an asynchronous writer to w; Serve writes the buffered lines.
func NewAsyncWriter(w io.Writer) *AsyncWriter { return &AsyncWriter{out: w} }

// Write buffers or drops one line; it returns no error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buf.Len()+len(line) > maxBufferedBytes {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.buf.Write(line)
	return len(line), nil
}

// CountDropped counts a line that the caller dropped without formatting it.
func (a *AsyncWriter) CountDropped() { a.dropped.Add(1) }

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Serve flushes the buffer at every flushInterval, and a last time when ctx ends.
func (a *AsyncWriter) Serve(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			a.Flush()
			return ctx.Err()
		case <-t.C:
			if n := a.Dropped(); n != reported {
				_, _ = fmt.Fprintf(a, "msg=\"log lines dropped\" total=%d\n", n)
				reported = n
			}
			a.Flush()
		}
	}
}

// Flush writes the buffered lines. It ignores write errors, because they concern the log itself.
func (a *AsyncWriter) Flush() {
	a.mu.Lock()
	data := bytes.Clone(a.buf.Bytes())
	a.buf.Reset()
	a.mu.Unlock()
	if len(data) > 0 {
		_, _ = a.out.Write(data)
	}
}
