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

// hung is an output that takes nothing until it is released.
type hung struct {
	released chan struct{}
	bytes.Buffer
}

func (h *hung) Write(p []byte) (int, error) {
	<-h.released
	return h.Buffer.Write(p)
}

// Guards against an output that takes nothing, as a full pipe does, and holds up requests or fills the memory.
func TestQueueNeverBlocksAndSaysWhatItDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &hung{released: make(chan struct{})}
		q := NewAsyncWriter(out)
		done := make(chan error, 1)
		go func() { done <- q.Serve(t.Context()) }()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		_, _ = q.Write(line)
		time.Sleep(2 * flushInterval) // the writer hangs in its first write
		began := time.Now()
		const lines = 10_000
		for range lines {
			n, err := q.Write(line)
			assert.NilError(t, err)
			assert.Equal(t, n, len(line))
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, q.buf.Len() <= queueBytes)
		assert.Equal(t, q.Dropped(), uint64(lines-queueBytes/len(line)))
		close(out.released)
		time.Sleep(3 * flushInterval)
		q.mu.Lock()
		waiting := q.buf.Len()
		q.mu.Unlock()
		assert.Equal(t, waiting, 0)
		assert.Assert(t, strings.Contains(out.String(), `msg="log lines dropped"`))
	})
}

// Guards against lines that are lost when a process stops.
func TestQueueWritesWhatIsLeft(t *testing.T) {
	var out strings.Builder
	q := NewAsyncWriter(&out)
	_, _ = io.WriteString(q, "msg=last\n")
	q.Flush()
	assert.Equal(t, out.String(), "msg=last\n")
}
