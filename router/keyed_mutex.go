package router

import (
	"context"
	"sync"
)

// keyedMutex is a mutex for each key. It serializes requests with the same fingerprint: copies of a request that
// crashes engines would otherwise crash several at once, before any agent suspects the request.
type keyedMutex struct {
	mu    sync.Mutex
	locks map[string]*keyLock
}

// keyLock is the lock of one key; it is removed when refs is 0.
type keyLock struct {
	refs  int
	token chan struct{} // contains a token while unlocked
}

func newKeyedMutex() *keyedMutex { return &keyedMutex{locks: map[string]*keyLock{}} }

// lock locks the key; ok is false if the context ended first.
func (m *keyedMutex) lock(ctx context.Context, key string) (unlock func(), ok bool) {
	m.mu.Lock()
	l := m.locks[key]
	if l == nil {
		l = &keyLock{token: make(chan struct{}, 1)}
		l.token <- struct{}{}
		m.locks[key] = l
	}
	l.refs++
	m.mu.Unlock()
	release := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if l.refs--; l.refs == 0 {
			delete(m.locks, key)
		}
	}
	select {
	case <-l.token:
		return func() { l.token <- struct{}{}; release() }, true
	case <-ctx.Done():
		release()
		return nil, false
	}
}
