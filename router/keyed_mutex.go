package router

import (
	"context"
	"sync"
)

// copies lets equal requests run one at a time. A caller that resends a request which crashes engines would
// otherwise crash several at once, before any agent knows the request.
type keyedMutex struct {
	mu    sync.Mutex
	locks map[string]*keyLock
}

type keyLock struct {
	refs  int
	token chan struct{} // holds a token while nobody has the turn
}

func newKeyedMutex() *keyedMutex { return &keyedMutex{locks: map[string]*keyLock{}} }

// enter waits for the turn of a fingerprint; ok is false if the context ended first.
func (c *keyedMutex) lock(ctx context.Context, fingerprint string) (leave func(), ok bool) {
	c.mu.Lock()
	t := c.locks[fingerprint]
	if t == nil {
		t = &keyLock{token: make(chan struct{}, 1)}
		t.token <- struct{}{}
		c.locks[fingerprint] = t
	}
	t.refs++
	c.mu.Unlock()
	drop := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.refs--; t.refs == 0 {
			delete(c.locks, fingerprint)
		}
	}
	select {
	case <-t.token:
		return func() { t.token <- struct{}{}; drop() }, true
	case <-ctx.Done():
		drop()
		return nil, false
	}
}
