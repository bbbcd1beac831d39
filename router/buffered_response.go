package router

import (
	"context"
	"sync"
)

// spool takes an answer from the agent as fast as it comes. Answers of one agent share a connection, and a caller
// that reads slowly must not hold up the others; the agent bounds an answer to 8 MiB.
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

func newBufferedResponse(ctx context.Context, a Response) *bufferedResponse {
	ctx, stop := context.WithCancel(ctx)
	s := &bufferedResponse{Response: a, cancelRead: stop, readDone: make(chan struct{}), dataReady: make(chan struct{}, 1)}
	go s.read(ctx)
	return s
}

func (s *bufferedResponse) read(ctx context.Context) {
	defer close(s.readDone)
	for {
		p, err := s.Response.Next(ctx)
		s.mu.Lock()
		s.size += len(p)
		if err == nil && s.size > maxBufferedBytes {
			err = errResponseTooLarge
		}
		if err == nil {
			s.queue = append(s.queue, p)
		}
		s.err = err
		s.mu.Unlock()
		select {
		case s.dataReady <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// Next returns the bytes that came since the last call, or the error that followed them.
func (s *bufferedResponse) Next(ctx context.Context) ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			p := s.queue[0]
			s.queue[0] = nil
			s.queue = s.queue[1:]
			s.size -= len(p)
			s.mu.Unlock()
			return p, nil
		}
		err := s.err
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-s.dataReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Cancel stops the run after the pump has ended, because an answer is not safe for concurrent use.
func (s *bufferedResponse) Cancel() {
	s.cancelRead()
	<-s.readDone
	s.Response.Cancel()
}
