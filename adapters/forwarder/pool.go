package forwarder

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is some hundred times the round-trip time inside a region. An endpoint that takes longer is down or
	// unreachable, and another one can still respond in time.
	dialTimeout = 500 * time.Millisecond

	// tcpUserTimeout closes a connection whose peer doesn't acknowledge data, for example in a network partition.
	tcpUserTimeout = 1500 * time.Millisecond

	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead peer while a request waits for its response.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second

	// idleTimeoutMargin is subtracted from the endpoint's timeout, so that no request is sent while the endpoint closes
	// the connection.
	idleTimeoutMargin = time.Second

	// maxFreshIdleTime bounds the idle time of a connection for a request that can't be retried. If the endpoint closes
	// the connection meanwhile, it is unknown whether it has executed the request.
	maxFreshIdleTime = 250 * time.Millisecond

	// readBufferBytes is enough for the header and the first events of most responses, and for a chunk size of the
	// longest allowed length.
	readBufferBytes = 4 << 10

	// maxSentIDs is the number of requests back to which a connection knows their IDs. Endpoints write a response once
	// more at the next requests, if at all.
	maxSentIDs = 32
)

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	head      []byte // buffer of the head that is being read
	address   string
	reused    bool // an earlier request was sent on the connection
	sentIDs   idHistory
	idleSince time.Time
	idleUntil time.Time
}

// idHistory knows the IDs of the last requests on a connection, by their hashes.
type idHistory struct {
	hashes [maxSentIDs]uint64
	next   int
}

var idSeed = maphash.MakeSeed()

func (h *idHistory) add(id string) {
	h.hashes[h.next%maxSentIDs] = maphash.String(idSeed, id)
	h.next++
}

func (h *idHistory) contains(id string) bool {
	return slices.Contains(h.hashes[:min(h.next, maxSentIDs)], maphash.String(idSeed, id))
}

// Pool keeps idle connections to endpoints for reuse.
type Pool struct {
	dialer net.Dialer
	limits Limits

	mu        sync.Mutex
	idle      map[string][]*conn
	openCount map[string]int // idle connections and those in use
	dialCount uint64
}

// NewPool returns a pool without connections.
func NewPool(limits Limits) *Pool {
	return &Pool{limits: limits,
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

// get returns an idle or new connection for a request.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	now := time.Now()
	for r.ID != "" { // without an ID, only a new connection can't have the response to another request
		c := p.popIdle(r.Address, now)
		if c == nil {
			break
		}
		// A response to an earlier request with the same ID could be taken for the one to this request.
		isRepeated := c.sentIDs.contains(r.ID)
		if !isRepeated && (!r.FreshConn || now.Sub(c.idleSince) <= maxFreshIdleTime) {
			if c.isReusable() {
				c.reused = true
				return c, nil
			}
		}
		p.close(c)
		if r.FreshConn || isRepeated {
			break // a new connection replaces the closed one, so that their number doesn't grow
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.openCount[r.Address]++
	p.dialCount++
	p.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), address: r.Address}, nil
}

// Refuses reports whether an address refuses connections: the process that listened there has ended.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialCount++
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// popIdle removes and returns the most recently used idle connection, so that the least recently used ones expire.
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

// putIdle adds a connection without pending data to the idle ones for the duration of idleTimeout.
func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// reset closes a connection whose exchange is given up. It discards what the network holds up: the endpoint must not
// get the request later.
func (p *Pool) reset(c *conn) {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails on a connection that has ended only
	}
	p.close(c)
}

func (p *Pool) close(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[c.address]--; p.openCount[c.address] <= 0 {
		delete(p.openCount, c.address)
	}
}

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// CloseExpired closes connections whose idle timeout has passed, and all idle ones to addresses that isKnown rejects.
func (p *Pool) CloseExpired(now time.Time, isKnown func(address string) bool) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		remaining := list[:0]
		addressKnown := isKnown(address)
		for _, c := range list {
			if addressKnown && now.Before(c.idleUntil) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(remaining):])
		if p.idle[address] = remaining; len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.close(c)
	}
}

// isReusable reports whether an idle connection is open and has no unread data. Unread data belongs to no pending
// request.
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && reusable
}
