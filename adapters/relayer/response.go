package relayer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"
)

// maxBufferedBytes limits the buffer of one response; 1 MiB is more than 100,000 tokens of text with framing.
const maxBufferedBytes = 8 << 20

// segmentBytes is the size of the segments of a buffer. Segments avoid copying a long response when it grows or its
// start is dropped.
const segmentBytes = 32 << 10

// ErrResponseTooLarge means that a recorded response exceeds the buffer limit.
var ErrResponseTooLarge = errors.New("recorded response exceeds 8 MiB")

// Memory bounds what the buffers of all responses hold beyond the flow-control window, without which a router would not
// extend the window. It is safe for concurrent use.
type Memory interface {
	// Take reserves n bytes for a buffer that has total bytes with them, and reports whether they fit.
	Take(n, total int64) bool
	// Release returns n bytes.
	Release(n int64)
}

// ResponseBuffer buffers the response to one attempt at the agent, so that it can be resent from any offset that the
// router has not consumed yet.
type ResponseBuffer struct {
	ctx    context.Context // of the run; nil for a recorder
	cancel context.CancelFunc
	memory Memory // nil means no bound but maxBufferedBytes

	mu           sync.Mutex
	reserved     int64 // bytes of memory
	head         *Head
	base         int64    // offset of the first byte of the first segment
	total        int64    // bytes written
	segments     [][]byte // each but the last has segmentBytes; written bytes are immutable
	end          *End
	refusal      *RefusalError
	readers      []*reader
	spaceFreed   chan struct{} // signalled when bytes were dropped
	stateChanged chan struct{} // signalled when readers changed, the run ended or acknowledged was set
	acknowledged bool          // the router has the complete response or cancelled it
}

// reader is the position of one connection that a response is sent over.
type reader struct {
	attempt  uint32
	offset   int64 // of the next byte to send
	limit    int64 // offset up to which the router accepts bytes
	headSent bool
	wake     chan struct{}
}

// outgoingPart is the next part of a response to send to a router; exactly one of head, data, end, refusal and
// outOfRange is set.
type outgoingPart struct {
	head       *Head
	offset     int64 // of data
	data       []byte
	end        *End
	refusal    *RefusalError
	outOfRange bool // the buffer does not contain the offset of the reader
}

func newResponseBuffer(ctx context.Context, cancel context.CancelFunc, memory Memory) *ResponseBuffer {
	return &ResponseBuffer{
		ctx: ctx, cancel: cancel, memory: memory, spaceFreed: make(chan struct{}, 1), stateChanged: make(chan struct{}, 1),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start sets the status and content type of the response.
func (b *ResponseBuffer) Start(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.wakeReaders()
}

// Write appends to the response. It blocks while the buffer holds 8 MiB that the router has not consumed, or the window
// and all that the memory permits, and fails if the run is cancelled meanwhile.
func (b *ResponseBuffer) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		k := b.append(p)
		n, p = n+k, p[k:]
		if k > 0 {
			continue
		}
		if b.ctx == nil { // a recorder, which has no readers
			return n, ErrResponseTooLarge
		}
		select {
		case <-b.spaceFreed:
		case <-b.ctx.Done():
			return n, context.Cause(b.ctx)
		}
	}
	return n, nil
}

func (b *ResponseBuffer) append(p []byte) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(p) > 0 && b.total-b.base < maxBufferedBytes {
		last := len(b.segments) - 1
		if last < 0 || len(b.segments[last]) == segmentBytes {
			if !b.reserveSegment() {
				break
			}
			b.segments = append(b.segments, nil)
			last++
			if last > 0 {
				b.segments[last] = make([]byte, 0, segmentBytes)
			}
		}
		k := min(len(p), segmentBytes-len(b.segments[last]))
		b.segments[last] = append(b.segments[last], p[:k]...)
		b.total += int64(k)
		n, p = n+k, p[k:]
	}
	if n > 0 {
		b.wakeReaders()
	}
	return n
}

// reserveSegment reserves memory for one more segment; the caller holds mu.
func (b *ResponseBuffer) reserveSegment() bool {
	if b.memory == nil || b.total-b.base < windowBytes {
		return true
	}
	if !b.memory.Take(segmentBytes, b.reserved+segmentBytes) {
		return false
	}
	b.reserved += segmentBytes
	return true
}

// releaseMemory returns up to n reserved bytes; the caller holds mu.
func (b *ResponseBuffer) releaseMemory(n int64) {
	if n = min(n, b.reserved); n > 0 {
		b.memory.Release(n)
		b.reserved -= n
	}
}

// discard returns all memory once the response is no longer sent.
func (b *ResponseBuffer) discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseMemory(b.reserved)
	b.memory = nil
}

func (b *ResponseBuffer) wakeReaders() {
	for _, r := range b.readers {
		signal(r.wake)
	}
}

func (b *ResponseBuffer) finish(end End, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		b.refusal = refusal
	default:
		if err != nil && end.Problem == "" {
			end.Problem = err.Error()
		}
		end.Bytes = b.total
		b.end = &end
	}
	b.wakeReaders()
	signal(b.stateChanged)
}

func (b *ResponseBuffer) isRefused() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal != nil
}

// next returns what the reader has to send, up to maxChunkBytes of data at once; ok is false if it has to wait. It
// advances the reader before the data is sent, because a failed send ends the connection.
func (b *ResponseBuffer) next(r *reader) (out outgoingPart, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.refusal != nil:
		return outgoingPart{refusal: b.refusal}, true
	case r.offset < b.base || r.offset > b.total:
		return outgoingPart{outOfRange: true}, true
	case b.head != nil && !r.headSent:
		r.headSent = true
		return outgoingPart{head: b.head}, true
	case r.offset < b.total:
		i, start := (r.offset-b.base)/segmentBytes, (r.offset-b.base)%segmentBytes
		segment := b.segments[i][start:]
		n := min(int64(len(segment)), maxChunkBytes, r.limit-r.offset)
		if n <= 0 {
			return outgoingPart{}, false
		}
		out = outgoingPart{data: segment[:n:n], offset: r.offset}
		r.offset += n
		return out, true
	case b.end != nil:
		return outgoingPart{end: b.end}, true
	default:
		return outgoingPart{}, false
	}
}

func (b *ResponseBuffer) attach(r *reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = append(b.readers, r)
	signal(r.wake)
	signal(b.stateChanged)
}

func (b *ResponseBuffer) detach(r *reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.readers {
		if other == r {
			b.readers = append(b.readers[:i:i], b.readers[i+1:]...)
			break
		}
	}
	signal(b.stateChanged)
}

// credit raises the limit of a reader and drops the segments that the router has consumed.
func (b *ResponseBuffer) credit(r *reader, m creditMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.limit = max(r.limit, m.Limit)
	signal(r.wake)
	for consumed := min(m.Consumed, r.offset); consumed-b.base >= segmentBytes; b.base += segmentBytes {
		b.segments[0] = nil
		b.segments = b.segments[1:]
		b.releaseMemory(segmentBytes)
		signal(b.spaceFreed)
	}
}

// acknowledge records that the router needs no more of the response.
func (b *ResponseBuffer) acknowledge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acknowledged = true
	signal(b.stateChanged)
}

// cancelWhenAbandoned cancels the run if no router is attached for reattachTimeout. It returns when the run has ended
// and its response was acknowledged or abandoned, or when stop is closed.
func (b *ResponseBuffer) cancelWhenAbandoned(stop <-chan struct{}) {
	t := time.NewTimer(reattachTimeout)
	defer t.Stop()
	abandoned := false
	for {
		b.mu.Lock()
		finished := b.end != nil || b.refusal != nil
		isAttached := len(b.readers) > 0
		done := finished && (b.acknowledged || !isAttached && (abandoned || b.refusal != nil))
		b.mu.Unlock()
		if done {
			return
		}
		if isAttached {
			t.Stop()
		} else {
			t.Reset(reattachTimeout)
		}
		select {
		case <-b.stateChanged:
		case <-t.C:
			abandoned = true
			b.cancel()
		case <-stop:
			return
		}
	}
}

// NewRecorder returns a buffer without a router, which holds the response of an endpoint until it has been committed.
func NewRecorder() *ResponseBuffer { return &ResponseBuffer{} }

// Recorded returns the head and the body written so far.
func (b *ResponseBuffer) Recorded() (Head, []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := bytes.Join(b.segments, nil)
	if b.head == nil {
		return Head{}, body
	}
	return *b.head, body
}
