package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/socket"
)

const (
	// acceptDrainTime bounds the time for which a listener that closes passes on what it has accepted, which is longer on
	// a busy machine. Without a call of Accept, only acceptStartTime passes.
	acceptDrainTime = 3 * time.Second
	acceptStartTime = 200 * time.Millisecond

	// connPollInterval is how often a server that stops checks whether connections are open.
	connPollInterval = 20 * time.Millisecond
)

// DrainingListener is a listener that loses no connection when it closes: a connection that is not accepted is reset,
// with the request that its caller has sent.
type DrainingListener struct {
	net.Listener

	isUsed atomic.Bool // Accept has been called
	once   sync.Once
	ended  chan struct{} // closed when Accept has failed

	hasStopped bool       // of Accept, whose calls don't overlap
	rest       []net.Conn // accepted when the listener stopped
	stopErr    error      // valid once ended is closed

	closeOnce sync.Once
	closeErr  error // of the first Close
}

// NewDrainingListener returns a listener whose Accept is called in a loop.
func NewDrainingListener(l net.Listener) *DrainingListener {
	return &DrainingListener{Listener: l, ended: make(chan struct{})}
}

// Accept implements net.Listener; it returns net.ErrClosed after Drain.
func (l *DrainingListener) Accept() (net.Conn, error) {
	l.isUsed.Store(true)
	var c net.Conn
	err := net.ErrClosed
	if !l.hasStopped {
		c, err = l.Listener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.hasStopped, err = true, net.ErrClosed
		l.rest, l.stopErr = socket.StopListening(l.Listener)
	}
	if len(l.rest) > 0 {
		c, l.rest = l.rest[0], l.rest[1:]
		return c, nil
	}
	if errors.Is(err, net.ErrClosed) {
		l.once.Do(func() { close(l.ended) })
	}
	return c, err
}

// Close closes the listener; further calls return the same error. Both Drain and http.Server close it, in any order.
func (l *DrainingListener) Close() error {
	l.closeOnce.Do(func() {
		if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
			l.closeErr = err
		}
	})
	return l.closeErr
}

// Drain accepts the connections that are established and closes the listener.
func (l *DrainingListener) Drain() error {
	var stopErr error
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if ok && d.SetDeadline(time.Now()) == nil && (l.hasEndedWithin(acceptStartTime) ||
		l.isUsed.Load() && l.hasEndedWithin(acceptDrainTime)) {
		stopErr = l.stopErr
	}
	return errors.Join(stopErr, l.Close())
}

func (l *DrainingListener) hasEndedWithin(d time.Duration) bool {
	select {
	case <-l.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// ConnCount counts the open connections of an http.Server, whose ConnState is Track.
type ConnCount struct{ n atomic.Int64 }

// Track is a ConnState function of an http.Server.
func (c *ConnCount) Track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.n.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.n.Add(-1)
	}
}

// Open returns the number of open connections that are not hijacked.
func (c *ConnCount) Open() int64 { return c.n.Load() }

// AwaitClosed waits until open returns 0 or ctx ends.
func AwaitClosed(ctx context.Context, open func() int64) {
	for open() > 0 && ctx.Err() == nil {
		sleeper.Pause(ctx, connPollInterval)
	}
}
