package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"time"

	"cactusroute.dev/adapters/socket"
)

// stallChecks is the number of checks for progress in the stall timeout of a connection.
const stallChecks = 5

// ErrCallerStalled means that a caller has read nothing for the stall timeout of its connection.
var ErrCallerStalled = errors.New("the caller reads nothing")

// CallerConn is the connection of a caller. A write fails if the caller reads nothing for the stall timeout. The write
// to a caller that reads slowly goes on, however long it takes.
type CallerConn struct {
	net.Conn
	stallTimeout time.Duration
	onStall      func(c net.Conn)
}

// NewCallerConn returns a connection that calls onStall once if its caller stalls. Its writes set the write deadline.
func NewCallerConn(c net.Conn, stallTimeout time.Duration, onStall func(c net.Conn)) *CallerConn {
	return &CallerConn{Conn: c, stallTimeout: stallTimeout, onStall: onStall}
}

// Write implements net.Conn.
func (c *CallerConn) Write(b []byte) (n int, err error) {
	n, err = socket.WriteAvailable(c.Conn, b)
	if err != nil || n == len(b) {
		return n, err
	}
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	before, _ := socket.UnacknowledgedBytes(c.Conn)
	for stalled := 0; stalled < stallChecks; {
		_ = c.SetWriteDeadline(time.Now().Add(c.stallTimeout / stallChecks))
		m, err := c.Conn.Write(b[n:])
		if n += m; !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// A socket accepts bytes again only when a large part of its buffer is free, but acknowledgements show that the
		// caller reads.
		after, isKnown := socket.UnacknowledgedBytes(c.Conn)
		if stalled++; m > 0 || isKnown && after < before {
			stalled = 0
		}
		before = after
	}
	_ = c.SetLinger(0) // discards what the caller has not read
	c.onStall(c.Conn)
	return n, ErrCallerStalled
}

// HasLeft reports whether the caller has closed the connection after what was read of it.
func (c *CallerConn) HasLeft() bool { return socket.HasEnded(c.Conn) }

// connKey is the context key of the connection that a request arrived on.
type connKey struct{}

// WithConn is a ConnContext function of an http.Server for HasCallerLeft.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HasCallerLeft reports whether the caller of a request has closed its CallerConn, also before net/http has noticed it:
// that looks at the connection in another goroutine, which may run only when the handler waits.
func HasCallerLeft(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if gc := guarded(c); gc != nil {
		c = gc.Conn
	}
	if tc, ok := c.(*tls.Conn); ok {
		c = tc.NetConn()
	}
	cc, ok := c.(*CallerConn)
	return ok && cc.HasLeft()
}

// NetConn returns the connection below, as that of tls.Conn.
func (c *CallerConn) NetConn() net.Conn { return c.Conn }

// socketOf returns the lowest connection.
func socketOf(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// SetLinger sets what a close does with unsent data, as that of net.TCPConn.
func (c *CallerConn) SetLinger(sec int) error {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tc.SetLinger(sec)
}

// CloseWrite closes the writing side, as that of net.TCPConn.
func (c *CallerConn) CloseWrite() error {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tc.CloseWrite()
}

// CallerListener accepts connections of callers.
type CallerListener struct {
	net.Listener

	StallTimeout time.Duration
	OnStall      func(c net.Conn)
}

// Accept implements net.Listener.
func (l *CallerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewCallerConn(c, l.StallTimeout, l.OnStall), nil
}
