package relayer

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// segmentMemory permits a number of segments.
type segmentMemory struct{ left int64 }

func (m *segmentMemory) Take(n, _ int64) bool {
	if m.left < n {
		return false
	}
	m.left -= n
	return true
}

func (m *segmentMemory) Release(n int64) { m.left += n }

// Guards against an agent that is killed for its memory because routers take its responses slowly, against a response
// that is stuck because its buffer can't grow, and against memory that stays reserved.
func TestBuffersOfResponsesAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const segments = 4
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &segmentMemory{left: segments * segmentBytes}
		b := newResponseBuffer(ctx, cancel, m)
		body := bytes.Repeat([]byte("0123456789"), maxBufferedBytes/20)
		go func() {
			_, err := b.Write(body)
			b.finish(End{}, err)
		}()
		r := &reader{limit: windowBytes, wake: make(chan struct{}, 1)}
		b.attach(r)
		synctest.Wait()
		assert.Equal(t, b.total, int64(windowBytes+segments*segmentBytes))
		assert.Equal(t, m.left, int64(0))
		var got []byte
		for out, ok := b.next(r); out.end == nil; out, ok = b.next(r) {
			assert.Assert(t, ok, "stuck after %d bytes", len(got))
			got = append(got, out.data...)
			b.credit(r, creditMessage{Consumed: int64(len(got)), Limit: int64(len(got)) + windowBytes})
			synctest.Wait()
		}
		assert.Assert(t, bytes.Equal(got, body))
		b.discard()
		assert.Equal(t, m.left, int64(segments*segmentBytes))
	})
}
