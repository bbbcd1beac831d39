package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"cactusroute.dev/adapters/server"
)

// bufferedResponse reads a response from the agent as fast as it arrives. The responses of one agent share a
// connection, and a slow caller must not block the others. Agents limit a response to 8 MiB. While the buffers of all
// responses are at their limit, it holds one chunk, and the agent the rest.
type bufferedResponse struct {
	Response
	answers    *server.Budget
	cancelRead context.CancelFunc
	readDone   chan struct{}
	dataReady  chan struct{}
	consumed   chan struct{} // signalled when a chunk was taken out

	mu       sync.Mutex
	queue    []bufferedChunk
	size     int
	reserved int64 // by the chunks in queue
	err      error
}

// bufferedChunk is a chunk of a response, and what is reserved for it.
type bufferedChunk struct {
	data     []byte
	reserved int64
}

func newBufferedResponse(ctx context.Context, r Response, answers *server.Budget) *bufferedResponse {
	ctx, cancel := context.WithCancel(ctx)
	b := &bufferedResponse{Response: r, answers: answers, cancelRead: cancel, readDone: make(chan struct{}),
		dataReady: make(chan struct{}, 1), consumed: make(chan struct{}, 1)}
	go b.read(ctx)
	return b
}

func (b *bufferedResponse) read(ctx context.Context) {
	defer close(b.readDone)
	for {
		p, err := b.Response.Next(ctx)
		reserved := int64(0)
		if err == nil {
			reserved, err = b.reserve(ctx, int64(len(p)))
		}
		b.mu.Lock()
		b.size += len(p)
		if err == nil && b.size > maxBufferedBytes {
			err = errResponseTooLarge
		}
		b.reserved += reserved
		if err == nil {
			b.queue = append(b.queue, bufferedChunk{data: p, reserved: reserved})
		}
		b.err = err
		b.mu.Unlock()
		signal(b.dataReady)
		if err != nil {
			return
		}
	}
}

// reserve reserves n bytes, or waits until the caller has taken out all chunks before; the next one needs no
// reservation then.
func (b *bufferedResponse) reserve(ctx context.Context, n int64) (reserved int64, err error) {
	for {
		b.mu.Lock()
		isEmpty, total := len(b.queue) == 0, b.reserved+n
		b.mu.Unlock()
		if b.answers.Take(n, total) {
			return n, nil
		}
		if isEmpty {
			return 0, nil
		}
		select {
		case <-b.consumed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Next returns the next buffered chunk, or the read error after the last one.
func (b *bufferedResponse) Next(ctx context.Context) ([]byte, error) {
	for {
		b.mu.Lock()
		if len(b.queue) > 0 {
			c := b.queue[0]
			b.queue[0] = bufferedChunk{}
			b.queue = b.queue[1:]
			b.size -= len(c.data)
			b.reserved -= c.reserved
			b.mu.Unlock()
			b.answers.Release(c.reserved)
			signal(b.consumed)
			return c.data, nil
		}
		err := b.err
		b.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-b.dataReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Cancel stops the run after reading has stopped, because a Response is not safe for concurrent use.
func (b *bufferedResponse) Cancel() {
	b.cancelRead()
	<-b.readDone
	b.Response.Cancel()
}

// close stops reading and returns what is reserved.
func (b *bufferedResponse) close() {
	b.cancelRead()
	<-b.readDone
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers.Release(b.reserved)
	b.reserved, b.queue = 0, nil
}

// errNoMemory means that a response can't be buffered any further because the buffers of all responses are at their
// limit.
var errNoMemory = errors.New("the buffers of all responses exceed their memory limit")

// errResponseBroken means that a response ended early of which the caller has a part.
var errResponseBroken = errors.New("response ended early")

// deliverWhole buffers a response that is not a stream until it is complete, so that it can be retried, and sends it.
// Without memory for more it sends what it has buffered, and the rest as it arrives.
func (t *transfer) deliverWhole(ctx context.Context, resp Response) error {
	memory := server.Reservation{Budget: &t.rt.callers.Answers}
	defer memory.Release()
	body, err := readResponse(ctx, resp, memory.Take)
	if err != nil && !errors.Is(err, errNoMemory) {
		return err
	}
	t.rt.metrics.firstToken.Observe(time.Since(t.receivedAt).Seconds())
	if err == nil {
		return writeResponse(t.w, resp.Head(), body)
	}
	t.w.Header().Set("Content-Type", resp.Head().ContentType)
	t.w.WriteHeader(resp.Head().Status)
	for err = nil; err == nil; body, err = resp.Next(ctx) {
		if _, err := t.w.Write(body); err != nil {
			return errCallerDisconnected
		}
		memory.Release()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	t.streamError = &httpError{Status: http.StatusBadGateway, Code: "response_broken", EndsStream: true}
	return errors.Join(errResponseBroken, err)
}
