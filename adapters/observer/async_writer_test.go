package observer

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks in Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.Buffer.Write(p)
}

// Guards against a blocked log output, such as a full pipe, that blocks requests or makes memory grow without limit.
func TestAsyncWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{released: make(chan struct{})}
		w := NewAsyncWriter(out)
		done := make(chan error, 1)
		go func() { done <- w.Serve(t.Context()) }()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		_, _ = w.Write(line)
		time.Sleep(2 * flushInterval) // Serve blocks in its first write
		start := time.Now()
		const lines = 10_000
		for range lines {
			n, err := w.Write(line)
			assert.NilError(t, err)
			assert.Equal(t, n, len(line))
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, w.buf.Len() <= maxBufferedBytes)
		assert.Equal(t, w.Dropped(), uint64(lines-maxBufferedBytes/len(line)))
		close(out.released)
		time.Sleep(3 * flushInterval)
		w.mu.Lock()
		buffered := w.buf.Len()
		w.mu.Unlock()
		assert.Equal(t, buffered, 0)
		assert.Assert(t, strings.Contains(out.String(), `msg="log lines dropped"`))
	})
}

// Guards against buffered lines that are lost when a process stops.
func TestFlushWritesBufferedLines(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out)
	_, _ = io.WriteString(w, "msg=last\n")
	w.Flush()
	assert.Equal(t, out.String(), "msg=last\n")
}
