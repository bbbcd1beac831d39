package router

import (
	"context"
	"sync"
)

// bufferedResponse reads a response from the agent as fast as it arrives. The responses of one agent share a
// connection, and a slow caller must not block the others. Agents limit a response to 8 MiB.
type bufferedResponse struct {
	Response
	cancelRead context.CancelFunc
	readDone   chan struct{}
	dataReady  chan struct{}

	mu    sync.Mutex
	queue [][]byte
	size  int
	err   error
}

func newBufferedResponse(ctx context.Context, r Response) *bufferedResponse {
	ctx, cancel := context.WithCancel(ctx)
	b := &bufferedResponse{
		Response: r, cancelRead: cancel, readDone: make(chan struct{}), dataReady: make(chan struct{}, 1),
	}
	go b.read(ctx)
	return b
}

func (b *bufferedResponse) read(ctx context.Context) {
	defer close(b.readDone)
	for {
		p, err := b.Response.Next(ctx)
		b.mu.Lock()
		b.size += len(p)
		if err == nil && b.size > maxBufferedBytes {
			err = errResponseTooLarge
		}
		if err == nil {
			b.queue = append(b.queue, p)
		}
		b.err = err
		b.mu.Unlock()
		select {
		case b.dataReady <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// Next returns the next buffered chunk, or the read error after the last one.
func (b *bufferedResponse) Next(ctx context.Context) ([]byte, error) {
	for {
		b.mu.Lock()
		if len(b.queue) > 0 {
			p := b.queue[0]
			b.queue[0] = nil
			b.queue = b.queue[1:]
			b.size -= len(p)
			b.mu.Unlock()
			return p, nil
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
