package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cactusroute.dev/adapters/socket"
)

const (
	// headLineBytes is what one header line takes besides its text: its entry in the header of the request and in the
	// copy that is forwarded.
	headLineBytes = 192

	// headTextCopies is how often the text of a head is held: by the reader, as parsed, and encoded again.
	headTextCopies = 4

	// headSlackBytes is what net/http accepts above MaxHeaderBytes.
	headSlackBytes = 4 << 10

	// readerBytes is the size of the buffer from which net/http parses.
	readerBytes = 4 << 10
)

// The answers to heads that are not parsed. Their requests have not run and never will.
const (
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errHeadRefused ends a connection whose head was refused; net/http writes no answer to a *net.OpError of a read.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request refused")}

// ErrBodyMemory means that the bodies of all requests together need more than their memory.
var ErrBodyMemory = errors.New("the bodies of all requests exceed their memory")

// Guard bounds what the connections of one address hold. A head reaches net/http when it is whole and its cost as
// parsed has been reserved. Until then only its bytes are held.
type Guard struct {
	resources *Resources
	maxConns  int

	// whole is the budget of what callers hold together, of which each connection takes requestBytes; nil means none.
	whole *Budget

	// receiveBytes is the size of the receive buffer of a connection, 0 for that of the system.
	receiveBytes int

	isClosing atomic.Bool // connections are to end instead of waiting for a request

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
}

// Listen returns a listener for a DrainingListener, whose connections have the receive buffers of the guard. A nil
// guard sets none.
func (g *Guard) Listen(ctx context.Context, address string) (net.Listener, error) {
	cfg := net.ListenConfig{}
	cfg.SetMultipathTCP(false) // it can't ignore new connections
	if g != nil && g.receiveBytes > 0 {
		cfg.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.receiveBytes) // else that of the system
			})
		}
	}
	return cfg.Listen(ctx, "tcp", address)
}

// Install makes a server with its final limits serve connections of the guard. A nil guard has no bounds.
func (g *Guard) Install(hs *http.Server, count *ConnCount) {
	if hs.ConnState = count.Track; g == nil {
		return
	}
	g.isClosing.Store(false)
	maxHead, timeout, next := hs.MaxHeaderBytes, hs.ReadHeaderTimeout, hs.Handler
	if maxHead <= 0 {
		maxHead = http.DefaultMaxHeaderBytes
	}
	hs.ConnState = func(c net.Conn, state http.ConnState) {
		count.Track(c, state)
		gc := guarded(c)
		if gc == nil {
			return
		}
		if state == http.StateNew {
			gc.maxHead, gc.headerTimeout = maxHead+headSlackBytes, timeout
		}
		gc.setState(state)
	}
	hs.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := guardedConnOf(r.Context()); c != nil && !c.admitParsed(r) {
			refuseParsed(w, r)
			return
		}
		r.Trailer = nil // the names that the head announces; no handler uses trailers
		serveBody(next, w, r)
	})
}

// serveBody handles a request whose connection waits for the body until that has been read: by the handler through a
// Body, or by net/http, which reads up to 256 KB that the handler has left. It does so before it sends a short
// response, and would wait for as long as the caller takes.
func serveBody(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c := guardedConnOf(r.Context())
	if c == nil || r.ContentLength == 0 {
		next.ServeHTTP(w, r)
		return
	}
	c.awaitBody(true)
	next.ServeHTTP(w, r)
	if c.readsBody.Load() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(closeGrace))
	}
}

// refuseParsed refuses a request whose head net/http has taken from its buffer.
func refuseParsed(w http.ResponseWriter, r *http.Request) {
	defer NewBody(r).Leave(w)()
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Wrap returns the connection to pass to the server. If there are too many, it closes the one that costs most among
// those without a whole request, or c, and then returns nil.
func (g *Guard) Wrap(c net.Conn) net.Conn {
	if g == nil {
		return c
	}
	gc := &guardedConn{Conn: c, guard: g, isHead: true}
	gc.waitsSince.Store(time.Now().UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.add(gc) {
		g.resources.Report(BoundConnections)
		victim := g.victim()
		if victim != nil {
			g.drop(victim)
			_ = victim.Close()
		}
		if victim == nil || !g.add(gc) {
			_ = c.Close()
			return nil
		}
	}
	if _, ok := c.(*tls.Conn); ok {
		return &guardedTLSConn{guardedConn: gc}
	}
	return gc
}

// CloseIdle ends the connections that wait for a request, unless a part of one has arrived that was not read yet. The
// shutdown of net/http closes them nevertheless, and drops what it reads later. A nil guard ends none.
func (g *Guard) CloseIdle() {
	if g == nil {
		return
	}
	g.isClosing.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.interrupt()
	}
}

// victim returns the connection to close for a new one, the longest waiting of those that cost most; nil if all have
// requests that may run. The caller holds mu.
func (g *Guard) victim() (victim *guardedConn) {
	var cost waitCost
	for c := range g.conns {
		if k := c.waitCost(); k.since != 0 && (victim == nil || k.isAbove(cost)) {
			victim, cost = c, k
		}
	}
	return victim
}

// add counts a connection and reports whether there is room for it; the caller holds mu.
func (g *Guard) add(c *guardedConn) bool {
	if len(g.conns) >= g.maxConns || g.whole != nil && !g.whole.Take(requestBytes, 0) {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// drop counts a connection no more; the caller holds mu.
func (g *Guard) drop(c *guardedConn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.whole != nil {
		g.whole.Release(requestBytes)
	}
}

func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(c)
}

// guardedListener wraps the connections that it accepts, after TLS if that is set.
type guardedListener struct {
	net.Listener

	guard *Guard
	tls   *tls.Config
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.tls != nil {
			c = tls.Server(c, l.tls)
		}
		if wrapped := l.guard.Wrap(c); wrapped != nil {
			return wrapped, nil
		}
	}
}

// guardedConn is a connection whose heads are held until they are whole. Its reads never overlap, and the calls of
// setState are ordered with them, except for its last one: net/http may look for the caller's end then.
type guardedConn struct {
	net.Conn
	guard         *Guard
	maxHead       int
	headerTimeout time.Duration

	waitsSince atomic.Int64 // Unix nanoseconds since when the caller is waited for, 0 while there is a whole request
	head, body atomic.Int64 // bytes reserved
	isKept     atomic.Bool  // a request has been answered
	readsBody  atomic.Bool  // the body of the request has not been read to its end

	isHead    bool // the next bytes belong to a head
	scanner   headScanner
	held      []byte // read and not passed on
	parsed    int    // lines of this head that net/http had in its buffer before the rest was read
	buffered  int    // lines of the last read that net/http may have left in its buffer
	deadlines int    // read deadlines set since the last answer

	mu            sync.Mutex
	isWaiting     bool // for the first bytes of a head
	isInterrupted bool
}

func guarded(c net.Conn) *guardedConn {
	switch c := c.(type) {
	case *guardedConn:
		return c
	case *guardedTLSConn:
		return c.guardedConn
	}
	return nil
}

func guardedConnOf(ctx context.Context) *guardedConn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return guarded(c)
}

func (c *guardedConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.isHead = false
		c.waitsSince.Store(0)
	case http.StateIdle:
		c.release()
		c.readsBody.Store(false)
		c.isHead, c.deadlines, c.parsed, c.scanner = true, 0, 0, headScanner{}
		c.isKept.Store(true)
		c.waitsSince.Store(time.Now().UnixNano())
	case http.StateHijacked, http.StateClosed: // a read may be in progress
		c.waitsSince.Store(0)
		c.release()
		c.guard.remove(c)
	}
}

// waitKind tells what a connection waits for, from what is given up last.
type waitKind int

const (
	waitsForBody waitKind = iota
	waitsForNextRequest
	waitsForFirstRequest
	waitsForRestOfHead
)

// waitCost tells which connection to close first.
type waitCost struct {
	kind  waitKind
	held  int64 // bytes
	since int64 // Unix nanoseconds, 0 for a connection that waits for nothing of its caller
}

func (k waitCost) isAbove(other waitCost) bool {
	switch {
	case k.kind != other.kind:
		return k.kind > other.kind
	case k.held != other.held:
		return k.held > other.held
	}
	return k.since < other.since
}

func (c *guardedConn) waitCost() waitCost {
	k := waitCost{held: c.head.Load() + c.body.Load(), since: c.waitsSince.Load()}
	switch {
	case c.readsBody.Load():
		k.kind = waitsForBody
	case k.held > 0:
		k.kind = waitsForRestOfHead
	case c.isKept.Load():
		k.kind = waitsForNextRequest
	default:
		k.kind = waitsForFirstRequest
	}
	return k
}

// awaitBody notes that the body of the request has not been read yet, or that it is complete.
func (c *guardedConn) awaitBody(isAwaited bool) {
	c.readsBody.Store(isAwaited)
	if isAwaited {
		c.waitsSince.Store(time.Now().UnixNano())
	} else {
		c.waitsSince.Store(0)
	}
}

func (c *guardedConn) release() {
	r := c.guard.resources
	r.Heads.Release(c.head.Swap(0))
	r.Bodies.Release(c.body.Swap(0))
}

// reserveHead raises what is reserved for the head to n bytes.
func (c *guardedConn) reserveHead(n int64) bool {
	more := n - c.head.Load()
	if more > 0 && !c.guard.resources.Heads.Take(more, n) {
		return false
	}
	if more < 0 {
		c.guard.resources.Heads.Release(-more)
	}
	c.head.Store(n)
	return true
}

// reserveBody reserves n more bytes of the body.
func (c *guardedConn) reserveBody(n int64) bool {
	if !c.guard.resources.Bodies.Take(n, c.body.Load()+n) {
		return false
	}
	c.body.Add(n)
	return true
}

// admitParsed reserves the cost of a head as net/http has parsed it, where that is more than the scanner has found: a
// head that was in the buffer before, or one behind empty lines, which net/http skips.
func (c *guardedConn) admitParsed(r *http.Request) bool {
	s := headScanner{bytes: len(r.RequestURI)}
	for name, values := range r.Header {
		for _, v := range values {
			s.lines++
			s.bytes += len(name) + len(v)
		}
	}
	if cost := s.cost(); cost > c.head.Load() && !c.reserveHead(cost) {
		c.guard.resources.Report(BoundHeadMemory)
		return false
	}
	return true
}

// SetReadDeadline implements net.Conn.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.deadlines++
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (n int, err error) {
	switch {
	case len(c.held) > 0:
		n = copy(p, c.held)
		if c.held = c.held[n:]; len(c.held) == 0 {
			c.held = nil
		}
	case c.isHead:
		return c.readHead(p)
	default:
		n, err = c.Conn.Read(p)
	}
	ends := bytes.Count(p[:n], []byte("\n"))
	switch {
	case len(p) == 1: // of net/http beside a request, to learn of the caller's end; what is in the buffer stays there
		c.buffered += ends
	case len(p) <= readerBytes:
		c.buffered = ends
	default: // bypasses the buffer
		c.buffered = 0
	}
	return n, err
}

// readHead reads a head and reserves its cost. A head that arrives at once is read into p.
func (c *guardedConn) readHead(p []byte) (int, error) {
	// net/http sets a second deadline only when it has the start of the head in its buffer.
	if c.deadlines > 1 {
		c.parsed += c.buffered
	}
	c.buffered = 0
	if !c.reserveHead(int64(c.parsed * headLineBytes)) {
		return c.refuse(BoundHeadMemory, headRefusal)
	}
	n, err := c.readFirst(p)
	if n == 0 {
		return 0, err
	}
	end := c.scanner.scan(p[:n])
	if end > 0 {
		c.buffered = bytes.Count(p[end:n], []byte("\n"))
		return n, c.reserveWhole()
	}
	if c.isKept.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout))
	}
	held := append(make([]byte, 0, max(readerBytes, 2*n)), p[:n]...)
	for {
		if !c.reserveHead(int64(c.parsed*headLineBytes + cap(held))) {
			return c.refuse(BoundHeadMemory, headRefusal)
		}
		n, err := c.Conn.Read(held[len(held):cap(held)])
		if n == 0 && err != nil {
			return 0, err
		}
		read := held[len(held) : len(held)+n]
		held = held[:len(held)+n]
		if c.scanner.scan(read) > 0 {
			break
		}
		if c.scanner.bytes >= c.maxHead {
			return c.refuse(BoundHeadBytes, headTooLong)
		}
		if len(held) == cap(held) {
			held = append(make([]byte, 0, min(2*cap(held), c.maxHead+readerBytes)), held...)
		}
	}
	if err := c.reserveWhole(); err != nil {
		return 0, err
	}
	c.held = held
	return c.Read(p)
}

// readFirst reads the first bytes of a head. Once idle connections are to end, it waits for none.
func (c *guardedConn) readFirst(p []byte) (n int, err error) {
	c.mu.Lock()
	c.isWaiting = true
	c.mu.Unlock()
	if c.guard.isClosing.Load() {
		c.interrupt()
	}
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	c.isWaiting = false
	isInterrupted := c.isInterrupted
	c.isInterrupted = false
	c.mu.Unlock()
	if !isInterrupted {
		return n, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout))
	switch {
	case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
		return n, err
	case !socket.HasUnread(socketOf(c.Conn)): // a read past its deadline returns nothing
		return 0, io.EOF
	}
	return c.Conn.Read(p)
}

// interrupt ends the wait for the first bytes of a head, but no other read.
func (c *guardedConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWaiting {
		c.isInterrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// reserveWhole reserves the cost of the head that has been read, or refuses it.
func (c *guardedConn) reserveWhole() error {
	if c.reserveHead(c.scanner.cost() + int64(c.parsed*headLineBytes)) {
		c.waitsSince.Store(0)
		return nil
	}
	_, err := c.refuse(BoundHeadMemory, headRefusal)
	return err
}

// refuse answers a head that has not been passed on, and waits for the caller to read the answer. It doesn't wait while
// net/http holds lines of the head that it had in its buffer: nothing is reserved for them any more.
func (c *guardedConn) refuse(bound, answer string) (int, error) {
	c.release()
	c.guard.resources.Report(bound)
	deadline := time.Now().Add(closeGrace)
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil && c.parsed == 0 {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	}
	return 0, errHeadRefused
}

// SetLinger sets what a close does with unsent data, as that of net.TCPConn.
func (c *guardedConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the writing side, as that of net.TCPConn.
func (c *guardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// guardedTLSConn is a guardedConn of a tls.Conn.
type guardedTLSConn struct{ *guardedConn }

// ConnectionState completes the handshake; net/http calls it before it reads.
func (c *guardedTLSConn) ConnectionState() tls.ConnectionState {
	tc, _ := c.Conn.(*tls.Conn)
	ctx, cancel := context.WithTimeout(context.Background(), c.headerTimeout)
	defer cancel()
	if tc.HandshakeContext(ctx) != nil {
		_ = c.Close()
	}
	return tc.ConnectionState()
}

// headScanner finds the end of a head and counts what its cost depends on.
type headScanner struct {
	lines, bytes int
	inLine       bool // the current line has bytes other than its end
}

// scan reads the next bytes of a head, and returns the length of those that belong to it once it is whole, else 0.
func (s *headScanner) scan(p []byte) (end int) {
	start := s.bytes
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		line := p[:i+1]
		if i < 0 {
			line = p
		}
		s.bytes += len(line)
		p = p[len(line):]
		isBlank := !s.inLine && (len(line) == 1 || len(line) == 2 && line[0] == '\r')
		if i < 0 {
			s.inLine = s.inLine || len(line) > 1 || line[0] != '\r'
			return 0
		}
		if isBlank {
			return s.bytes - start
		}
		s.inLine = false
		s.lines++
	}
	return 0
}

// cost returns what a whole head takes until its request has been answered.
func (s *headScanner) cost() int64 { return int64(s.bytes*headTextCopies + s.lines*headLineBytes) }
