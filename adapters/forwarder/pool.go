package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is some hundred times the round trip inside a region; an endpoint that takes longer is down or cut
	// off, and another one can still answer in time.
	dialTimeout = 500 * time.Millisecond

	// userTimeout ends a connection whose peer doesn't acknowledge bytes, for example behind a partition.
	tcpUserTimeout = 1500 * time.Millisecond

	// keepAliveIdle and keepAliveInterval end a connection that went silent while it waits for an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// idleLimit is how long a connection is kept for which the endpoint stated no time.
	defaultIdleTimeout = 4 * time.Second

	// idleMargin is subtracted from the time that the endpoint stated, so that both don't use the last moment.
	idleTimeoutMargin = time.Second

	// freshLimit is how long a connection may have been idle that carries a request which can't be repeated: an
	// endpoint that closes an idle connection would leave unknown whether the request has run.
	maxFreshIdleTime = 250 * time.Millisecond

	// readBufferBytes holds the head and first events of most answers.
	readBufferBytes = 4 << 10
)

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	address   string
	idleSince time.Time
	idleUntil time.Time
}

// writeNow writes what the buffers of the connection take without waiting, and returns its length.
func (c *conn) writeNonBlocking(b []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	for n < len(b) {
		var m int
		var werr error
		if err := raw.Write(func(fd uintptr) bool {
			m, werr = unix.Write(int(fd), b[n:])
			return true
		}); err != nil {
			return n, err
		}
		switch {
		case errors.Is(werr, unix.EAGAIN):
			return n, nil
		case errors.Is(werr, unix.EINTR):
		case werr != nil:
			return n, os.NewSyscallError("write", werr)
		default:
			n += m
		}
	}
	return n, nil
}

// Pool keeps idle connections to endpoints.
type Pool struct {
	dialer net.Dialer

	mu        sync.Mutex
	idle      map[string][]*conn
	openCount map[string]int // with those in use
	dialCount uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveInterval, Count: keepAliveCount}, Control: setUserTimeout},
		idle: map[string][]*conn{}, openCount: map[string]int{},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) (err error) {
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

// get returns a connection to the address; fresh ones were used just now or are new.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(address, now)
		if c == nil {
			break
		}
		if !fresh || now.Sub(c.idleSince) <= maxFreshIdleTime {
			if c.isReusable() {
				return c, nil
			}
		}
		p.close(c)
		if fresh {
			break // the new connection takes the place of this one, so that their number doesn't grow
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.openCount[address]++
	p.dialCount++
	p.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), address: address}, nil
}

// takeIdle takes the connection that was used last, so that the others can be closed.
func (p *Pool) popIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.After(c.idleUntil) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection that is in step with its endpoint for a while.
func (p *Pool) putIdle(c *conn, keep time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) close(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[c.address]--; p.openCount[c.address] <= 0 {
		delete(p.openCount, c.address)
	}
}

// Dialed returns the number of connections that were opened so far.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// Expire closes the connections that were idle for too long, and all idle ones to addresses that keep refuses.
func (p *Pool) CloseExpired(now time.Time, keep func(address string) bool) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		wanted := keep(address)
		for _, c := range list {
			if wanted && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

// isQuiet reports whether an idle connection is open and nothing has arrived on it: bytes that nobody asked for
// belong to no request.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
