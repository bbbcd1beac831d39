package forwarder

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cactusroute.dev/adapters/socket"
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
	openedAt  time.Time
	sentIDs   idHistory
	idleSince time.Time
	idleUntil time.Time
	openAt    time.Time     // when an idle connection was last seen open
	keptFor   time.Duration // how long it was idle before the last request
	heardAt   atomic.Int64  // when the endpoint last sent something in the present exchange, in Unix nanoseconds, or 0
	// readsUntil is until when what has arrived is read in spite of an earlier read deadline, in Unix nanoseconds, or 0.
	readsUntil atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().UnixNano() < c.readsUntil.Load() {
		n, err = socket.ReadArrived(c.Conn, p)
	}
	if n > 0 {
		c.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
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

	connects connects

	// OnEnd is called after an endpoint has ended an idle connection, which was last seen open at a given time, unless it
	// may have done so because the connection was idle. It may be nil and must be set before the first request.
	OnEnd func(address string, openAt time.Time)

	// MaxConns bounds idle connections: one is closed for each new connection above it. 0 means none. It must be set
	// before the first request.
	MaxConns int

	mu        sync.Mutex
	idle      map[string][]*conn
	open      map[string]map[*conn]bool // idle connections and those in use
	openCount map[string]int            // of open
	total     int                       // of openCount
	dialCount uint64
	// keptFor is the longest time that an endpoint has kept an idle connection, by address, since it last ended one for
	// another reason.
	keptFor map[string]time.Duration
}

// NewPool returns a pool without connections.
func NewPool(limits Limits) *Pool {
	return &Pool{limits: limits,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveInterval, Count: keepAliveCount}, Control: setUserTimeout},
		idle: map[string][]*conn{}, open: map[string]map[*conn]bool{}, openCount: map[string]int{},
		keptFor:  map[string]time.Duration{},
		connects: connects{times: map[string]*connectTimes{}, pending: map[string]int{}},
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
		if r.NewConn {
			p.close(c)
			continue
		}
		state := c.idleState()
		// A response to an earlier request with the same ID could be taken for the one to this request.
		isRepeated := c.sentIDs.contains(r.ID)
		if state == idleUsable && !isRepeated && (!r.FreshConn || now.Sub(c.idleSince) <= maxFreshIdleTime) {
			c.reused, c.keptFor = true, now.Sub(c.idleSince)
			return c, nil
		}
		p.close(c)
		if p.recordEnd(now, c, state) && r.SameProcess {
			return nil, ErrProcessMayHaveEnded
		}
		if r.FreshConn || isRepeated {
			break // a new connection replaces the closed one, so that their number doesn't grow
		}
	}
	return p.dialWithin(ctx, r)
}

// dial opens a connection, which counts as in use.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if c := p.popExcess(); c != nil {
		p.close(c)
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, address: address, openedAt: time.Now()}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[address]++
	p.total++
	p.dialCount++
	if p.open[address] == nil {
		p.open[address] = map[*conn]bool{}
	}
	p.open[address][c] = true
	return c, nil
}

// popExcess removes and returns the least recently used connection to one of the endpoints, if there are too many.
func (p *Pool) popExcess() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxConns == 0 || p.total < p.MaxConns {
		return nil
	}
	for address, list := range p.idle {
		if len(list) > 0 {
			c := list[0]
			p.idle[address] = slices.Delete(list, 0, 1)
			return c
		}
	}
	return nil
}

// ErrProcessMayHaveEnded means that a request with SameProcess was not sent because the endpoint has ended a kept
// connection.
var ErrProcessMayHaveEnded = errors.New("the endpoint has ended a kept connection")

// recordEnd reports whether the state of an idle connection, which has been closed, tells that the endpoint's process
// may have ended, and calls OnEnd then. An endpoint that closes a connection after it was idle for longer than the
// endpoint has kept one before may do so because it was idle.
func (p *Pool) recordEnd(now time.Time, c *conn, state idleState) bool {
	p.mu.Lock()
	isEnd := state == idleReset || state == idleClosed && now.Sub(c.idleSince) <= p.keptFor[c.address]
	if isEnd {
		delete(p.keptFor, c.address)
	}
	p.mu.Unlock()
	if isEnd && p.OnEnd != nil {
		p.OnEnd(c.address, c.openAt)
	}
	return isEnd
}

// HasOpen reports whether a connection to an address that was opened before a given time is still open, so that the
// process that listened then is still there.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open[address] {
		if c.openedAt.Before(before) && c.isOpen() {
			return true
		}
	}
	return false
}

// Open opens a connection to an address and keeps it for later requests.
func (p *Pool) Open(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.putIdle(c, defaultIdleTimeout)
	}
	return err
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.reused {
		p.keptFor[c.address] = max(p.keptFor[c.address], c.keptFor)
	}
	c.idleSince, c.idleUntil, c.openAt = now, now.Add(idleTimeout), now
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
	delete(p.open[c.address], c)
	p.total--
	if p.openCount[c.address]--; p.openCount[c.address] <= 0 {
		delete(p.openCount, c.address)
		delete(p.open, c.address)
	}
}

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// CloseExpired closes connections whose idle timeout has passed or that the endpoint has ended, and all idle ones to
// addresses that isKnown rejects.
func (p *Pool) CloseExpired(now time.Time, isKnown func(address string) bool) {
	var expired []*conn
	ended := map[*conn]idleState{}
	p.mu.Lock()
	for address, list := range p.idle {
		remaining := list[:0]
		addressKnown := isKnown(address)
		for _, c := range list {
			state := c.idleState()
			switch {
			case state == idleReset, state == idleClosed:
				ended[c] = state
			case addressKnown && now.Before(c.idleUntil):
				c.openAt = now
				remaining = append(remaining, c)
			default:
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
	for c, state := range ended {
		p.close(c)
		p.recordEnd(now, c, state)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.keptFor {
		if p.openCount[address] == 0 {
			delete(p.keptFor, address)
		}
	}
}

// idleState is the state of an idle connection.
type idleState uint8

const (
	idleUsable idleState = iota
	idleDirty            // has unread data, which belongs to no pending request
	idleClosed           // the endpoint has closed it
	idleReset            // the endpoint has reset it, or it has failed
)

func (c *conn) idleState() idleState {
	if c.br.Buffered() > 0 {
		return idleDirty
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return idleDirty
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return idleDirty
	}
	state := idleReset
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = idleDirty
		case err == nil:
			state = idleClosed
		case err == unix.EAGAIN || err == unix.EWOULDBLOCK:
			state = idleUsable
		}
		return true
	})
	if err != nil {
		return idleDirty
	}
	return state
}

// isOpen reports whether neither side has ended a connection, which may be in use.
func (c *conn) isOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		open = err == nil && (n == 0 || fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) == 0)
	})
	return err == nil && open
}
