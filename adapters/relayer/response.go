package relayer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"
)

// maxAnswerBytes bounds what an agent holds of one answer; 1 MiB is more than 100,000 tokens of text with framing.
const maxAnswerBytes = 8 << 20

// pieceBytes is the size of the pieces that an answer is kept in, so that a long one is neither moved when it grows
// nor when its start is dropped.
const pieceBytes = 32 << 10

// ErrResponseTooLarge says that a recorded answer exceeds its buffer.
var ErrResponseTooLarge = errors.New("answer exceeds 8 MiB")

// ResponseBuffer buffers the answer of one attempt at the agent, so that it can be sent again from any offset that the
// router has not passed on yet.
type ResponseBuffer struct {
	ctx    context.Context // of the run; nil for a recorder
	cancel context.CancelFunc

	mu      sync.Mutex
	head    *Head
	base    int64    // offset of the first byte of the first piece
	total   int64    // length so far
	pieces  [][]byte // each but the last has pieceBytes; bytes are never changed once written
	end     *End
	refusal *RefusalError
	readers []*reader
	space   chan struct{} // a token when bytes were dropped
	changed chan struct{} // a token when readers or acked changed
	acked   bool          // the router needs nothing more
}

// reader is one connection that an answer is sent over.
type reader struct {
	attempt  uint32
	offset   int64
	limit    int64
	headSent bool
	wake     chan struct{}
}

// part is what a reader has to send next.
type part struct {
	head    *Head
	offset  int64 // of data
	data    []byte
	end     *End
	refusal *RefusalError
	lost    bool // the offset of the reader is no longer held
}

func newAnswer(ctx context.Context, cancel context.CancelFunc) *ResponseBuffer {
	return &ResponseBuffer{ctx: ctx, cancel: cancel, space: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start sets the status and content type of the answer.
func (a *ResponseBuffer) Start(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &h
	a.notify()
}

// Write appends to the answer. It waits while 8 MiB of it have not been taken by the router, and fails when the
// run is cancelled meanwhile.
func (a *ResponseBuffer) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		k := a.append(p)
		n, p = n+k, p[k:]
		if k > 0 {
			continue
		}
		if a.ctx == nil { // a recorder, which nobody reads meanwhile
			return n, ErrResponseTooLarge
		}
		select {
		case <-a.space:
		case <-a.ctx.Done():
			return n, context.Cause(a.ctx)
		}
	}
	return n, nil
}

func (a *ResponseBuffer) append(p []byte) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(p) > 0 && a.total-a.base < maxAnswerBytes {
		last := len(a.pieces) - 1
		if last < 0 || len(a.pieces[last]) == pieceBytes {
			a.pieces = append(a.pieces, nil)
			last++
			if last > 0 {
				a.pieces[last] = make([]byte, 0, pieceBytes)
			}
		}
		k := min(len(p), pieceBytes-len(a.pieces[last]))
		a.pieces[last] = append(a.pieces[last], p[:k]...)
		a.total += int64(k)
		n, p = n+k, p[k:]
	}
	if n > 0 {
		a.notify()
	}
	return n
}

func (a *ResponseBuffer) notify() {
	for _, r := range a.readers {
		signal(r.wake)
	}
}

func (a *ResponseBuffer) finish(end End, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		a.refusal = refusal
	default:
		if err != nil && end.Problem == "" {
			end.Problem = err.Error()
		}
		end.Bytes = a.total
		a.end = &end
	}
	a.notify()
	signal(a.changed)
}

func (a *ResponseBuffer) isRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusal != nil
}

// next returns what the reader has to send, all pending bytes at once, or nothing if it has to wait. The reader
// advances, because a part that can't be sent ends its connection.
func (a *ResponseBuffer) next(r *reader) (p part, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.refusal != nil:
		return part{refusal: a.refusal}, true
	case r.offset < a.base || r.offset > a.total:
		return part{lost: true}, true
	case a.head != nil && !r.headSent:
		r.headSent = true
		return part{head: a.head}, true
	case r.offset < a.total:
		i, at := (r.offset-a.base)/pieceBytes, (r.offset-a.base)%pieceBytes
		piece := a.pieces[i][at:]
		n := min(int64(len(piece)), maxChunkBytes, r.limit-r.offset)
		if n <= 0 {
			return part{}, false
		}
		p = part{data: piece[:n:n], offset: r.offset}
		r.offset += n
		return p, true
	case a.end != nil:
		return part{end: a.end}, true
	default:
		return part{}, false
	}
}

func (a *ResponseBuffer) attach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers = append(a.readers, r)
	signal(r.wake)
	signal(a.changed)
}

func (a *ResponseBuffer) detach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.readers {
		if other == r {
			a.readers = append(a.readers[:i:i], a.readers[i+1:]...)
			break
		}
	}
	signal(a.changed)
}

// credit lets a reader send more, and drops the pieces that the router has passed on.
func (a *ResponseBuffer) credit(r *reader, m creditMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.limit = max(r.limit, m.Limit)
	signal(r.wake)
	for taken := min(m.Taken, r.offset); taken-a.base >= pieceBytes; a.base += pieceBytes {
		a.pieces[0] = nil
		a.pieces = a.pieces[1:]
		signal(a.space)
	}
}

// release says that the router needs nothing more of the answer.
func (a *ResponseBuffer) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = true
	signal(a.changed)
}

// supervise cancels a run that no router takes for the reattach window. It returns when the run has ended and its
// answer was acknowledged or was not taken for that window.
func (a *ResponseBuffer) supervise(stop <-chan struct{}) {
	t := time.NewTimer(reattachWindow)
	defer t.Stop()
	isGivenUp := false
	for {
		a.mu.Lock()
		finished := a.end != nil || a.refusal != nil
		isAttached := len(a.readers) > 0
		done := finished && (a.acked || !isAttached && (isGivenUp || a.refusal != nil))
		a.mu.Unlock()
		if done {
			return
		}
		if isAttached {
			t.Stop()
		} else {
			t.Reset(reattachWindow)
		}
		select {
		case <-a.changed:
		case <-t.C:
			isGivenUp = true
			a.cancel()
		case <-stop:
			return
		}
	}
}

// NewRecorder returns an answer that is not attached to any router, to hold an endpoint's answer until it
// has been committed.
func NewRecorder() *ResponseBuffer { return &ResponseBuffer{} }

// Recorded returns the head and the bytes written so far.
func (a *ResponseBuffer) Recorded() (Head, []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body := bytes.Join(a.pieces, nil)
	if a.head == nil {
		return Head{}, body
	}
	return *a.head, body
}
