package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/planner"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the plan sets no timeouts.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second

	// drainNotice is how long a stopping node still accepts connections: a load balancer removes it after two failed
	// readiness checks at an interval of 1 s.
	drainNotice = 3200 * time.Millisecond

	// lateNotice is how long after the start of a shutdown requests are accepted that may last longer than the node: a
	// load balancer has moved most callers by then. It is below drainNotice, because a busy node notices a signal late.
	lateNotice = 2800 * time.Millisecond

	// lateMargin is the time for the last response of a request at its deadline.
	lateMargin = 100 * time.Millisecond

	// minServeTime is the time before connections in use are closed within which requests are accepted only if they end
	// in time.
	minServeTime = 4600 * time.Millisecond

	// shutdownMargin is the part of the grace period reserved for closing the remaining connections, at most the share
	// maxShutdownMargin of it.
	shutdownMargin    = 600 * time.Millisecond
	maxShutdownMargin = 0.25

	// closeNotice is the least time between the close of the listener and that of idle connections, in which new
	// connections bring their requests.
	closeNotice = 200 * time.Millisecond

	// closeGrace is how long the responses to the last requests may take.
	closeGrace = 100 * time.Millisecond

	// callerStallTimeout is how long a caller may read nothing while a response waits for it. It is longer than the pauses
	// of callers that go on, and bounds how long such a caller holds an endpoint.
	callerStallTimeout = 5 * time.Second

	// limitsCheckInterval is how often the server's limits are compared with the plan's.
	limitsCheckInterval = time.Second
)

// frontServer serves callers with the limits of the plan. Changed limits apply to new connections.
type frontServer struct {
	addr    string
	handler http.Handler
	limits  func() planner.Limits
	grace   time.Duration
	onStop  func(stop stopTimes)

	// stoppedSince returns the earliest time at which a signal that is noticed now may have been sent; nil means now.
	stoppedSince func(now time.Time) time.Time

	// onAcceptError is called after a failed accept, for example for lack of file descriptors.
	onAcceptError func(err error)

	// onStall is called when a response ends because its caller reads nothing.
	onStall func(c net.Conn)

	// guard bounds what connections hold; it may be nil.
	guard *server.Guard

	mu            sync.Mutex
	servers       []*limitedServer
	listener      *connListener
	currentLimits planner.Limits
}

// limitedServer is a server with the limits of one plan.
type limitedServer struct {
	*http.Server

	conns server.ConnCount
}

// connListener is a net.Listener that accepts connections from a channel.
type connListener struct {
	conns chan net.Conn
	addr  net.Addr
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

// String returns the service name for the supervisor.
func (s *frontServer) String() string { return "front " + s.addr }

// Serve serves callers until ctx ends, then shuts down: it reports not ready, accepts connections for drainNotice, and
// answers what the open ones bring until they are closed or the grace period ends.
func (s *frontServer) Serve(ctx context.Context) error {
	plain, err := s.guard.Listen(ctx, s.addr)
	if err != nil {
		return err
	}
	ln := server.NewDrainingListener(plain)
	s.updateLimits(ln.Addr())
	go s.acceptLoop(ln)
	t := time.NewTicker(limitsCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.updateLimits(ln.Addr())
		case <-ctx.Done():
			s.shutdown(ln)
			return ctx.Err()
		}
	}
}

// updateLimits starts a new server if the limits have changed; the previous one keeps its connections.
func (s *frontServer) updateLimits(addr net.Addr) {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnusedServers()
	if s.listener != nil && limits == s.currentLimits {
		return
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.currentLimits = limits
	s.listener = &connListener{conns: make(chan net.Conn), addr: addr, done: make(chan struct{})}
	hs := &limitedServer{Server: &http.Server{Handler: s.handler, ConnContext: withCallerConn,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}}
	if limits.HeaderTimeoutMillis > 0 {
		hs.ReadHeaderTimeout = time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond
	}
	if limits.IdleTimeoutMillis > 0 {
		hs.IdleTimeout = time.Duration(limits.IdleTimeoutMillis) * time.Millisecond
	}
	if limits.HeaderBytes > 0 {
		hs.MaxHeaderBytes = limits.HeaderBytes
	}
	s.guard.Install(hs.Server, &hs.conns)
	s.servers = append(s.servers, hs)
	go func(l net.Listener) { _ = hs.Serve(l) }(s.listener)
}

// removeUnusedServers removes former servers without connections; the caller holds mu.
func (s *frontServer) removeUnusedServers() {
	if len(s.servers) == 0 {
		return
	}
	current := s.servers[len(s.servers)-1]
	s.servers = slices.DeleteFunc(s.servers, func(hs *limitedServer) bool { return hs != current && hs.conns.Open() == 0 })
}

func (s *frontServer) acceptLoop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.onAcceptError(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c = s.guard.Wrap(server.NewCallerConn(c, callerStallTimeout, s.onStall)); c != nil {
			s.dispatch(c)
		}
	}
}

// acceptRetryDelay is the pause after a failed accept, for example for lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *frontServer) dispatch(c net.Conn) {
	for {
		s.mu.Lock()
		l := s.listener
		s.mu.Unlock()
		select {
		case l.conns <- c:
			return
		case <-l.done:
		}
		s.mu.Lock()
		closed := s.listener == l
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
	}
}

// shutdown drains the servers as described at Serve. An idle connection is closed by its caller, after a response that
// says so, or at the end: a request may be on its way at any time before.
func (s *frontServer) shutdown(ln *server.DrainingListener) {
	now := time.Now()
	startedAt := now
	if s.stoppedSince != nil {
		startedAt = s.stoppedSince(now)
	}
	margin := min(shutdownMargin, time.Duration(maxShutdownMargin*float64(s.grace)))
	closeAt := now.Add(s.grace - margin)
	s.onStop(newStopTimes(startedAt, startedAt.Add(s.grace-margin)))
	lastAccept := now.Add(drainNotice)
	if latest := closeAt.Add(-closeNotice); latest.Before(lastAccept) {
		lastAccept = latest
	}
	time.Sleep(time.Until(lastAccept))
	_ = ln.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	server.AwaitClosed(ctx, s.openConns)
	s.closeConns(closeAt.Add(closeGrace))
}

func (s *frontServer) openConns() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hs := range s.servers {
		n += hs.conns.Open()
	}
	return n
}

// closeConns closes idle connections, and at a deadline those in use.
func (s *frontServer) closeConns(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.guard.CloseIdle()
	server.AwaitClosed(ctx, s.openConns)
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, hs := range servers {
		wg.Go(func() {
			if hs.Shutdown(ctx) != nil {
				_ = hs.Close()
			}
		})
	}
	wg.Wait()
}

// stopTimes are the times of a shutdown.
type stopTimes struct {
	lateAt  time.Time // from when requests must end in time
	closeAt time.Time // when connections in use are closed
}

// newStopTimes returns the times of a shutdown. With a short grace period, requests must end in time from its start.
func newStopTimes(startedAt, closeAt time.Time) stopTimes {
	s := stopTimes{lateAt: startedAt.Add(lateNotice), closeAt: closeAt}
	if latest := closeAt.Add(-minServeTime); latest.Before(s.lateAt) {
		s.lateAt = latest
	}
	return s
}

// stop begins a shutdown.
func (p *proxy) stop(s stopTimes) {
	p.stopTimes.Store(&s)
	p.stopping.Store(true)
}

// refuseLate refuses a request that has arrived late in a shutdown and may last longer than its connection.
func (p *proxy) refuseLate(q *request) *refusal {
	s := p.stopTimes.Load()
	if s == nil || time.Now().Before(s.lateAt) || q.deadline.Before(s.closeAt.Add(-lateMargin)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryAfter(),
		logFields: []any{"closeMs", time.Until(s.closeAt).Milliseconds()}}
}
