package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 32 << 10

	// minIdleGrace is the least time for which connections that have just been accepted bring their requests, at most half
	// of the grace period.
	minIdleGrace = time.Second

	// preStopTimeout is the freshness lease: after it, routers send no new requests even if PreStop hooks have failed.
	preStopTimeout = 2 * time.Second
)

// Readiness serves readiness checks; it reports not ready from the start of the shutdown.
type Readiness struct {
	// Check returns an error if the process is not ready; nil means always ready.
	Check    func() error
	notReady atomic.Bool
}

// SetNotReady makes all further checks report not ready.
func (r *Readiness) SetNotReady() { r.notReady.Store(true) }

// ServeHTTP responds with status 200 if ready, or 503 and the reason.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.notReady.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if r.Check == nil {
		return
	}
	if err := r.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Server is an HTTP server that runs until its context ends. Its shutdown reports not ready, runs the PreStop hooks
// during ShutdownDelay, closes the listener, waits up to GracePeriod for requests in flight and Drain hooks, within it
// up to IdleGrace for idle connections, and then closes the remaining connections.
type Server struct {
	Addr    string
	Handler http.Handler
	TLS     *tls.Config
	// WrapListener wraps the listener below TLS, for example in a messenger.CountingListener; it may be nil.
	WrapListener func(net.Listener) net.Listener
	// Readiness is set to not ready first in a shutdown; it may be nil.
	Readiness *Readiness
	// PreStop hooks announce the shutdown, for example to control; they run concurrently.
	PreStop []func(ctx context.Context)
	// ShutdownDelay is how long connections are accepted after SetNotReady, so that load balancers notice it.
	ShutdownDelay time.Duration
	// Drain hooks wait for work on hijacked connections (WebSocket); they run concurrently.
	Drain []func(ctx context.Context) error
	// ListenWhileDraining keeps the listener open until the Drain hooks have ended, so that a router whose connection
	// to an agent fails during the shutdown can resume its responses over a new one.
	ListenWhileDraining bool
	// GracePeriod limits the total duration of the Drain hooks and the requests in flight.
	GracePeriod time.Duration
	// IdleGrace is how long idle connections stay open within GracePeriod after the listener is closed. Until then they
	// are answered, and closed after the answer: a request may be on its way when an idle connection is closed. It is
	// minIdleGrace at least.
	IdleGrace time.Duration

	// Guard bounds what connections hold; it may be nil.
	Guard *Guard

	conns    ConnCount
	stopping atomic.Bool
}

// String identifies the server in the log of a supervisor.
func (s *Server) String() string { return "server " + s.Addr }

// Serve listens and serves until ctx ends, then shuts down.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, context.Canceled) {
			err = fmt.Errorf("serve %s: %w", s.Addr, err)
		}
	}()
	l, err := s.Guard.Listen(ctx, s.Addr)
	if err != nil {
		return err
	}
	return s.serve(ctx, l)
}

func (s *Server) serve(ctx context.Context, l net.Listener) error {
	draining := NewDrainingListener(l)
	l = draining
	if s.WrapListener != nil {
		l = s.WrapListener(l)
	}
	s.stopping.Store(false)
	hs := &http.Server{Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: WithConn}
	s.Guard.Install(hs, &s.conns)
	switch {
	case s.Guard != nil:
		l = &guardedListener{Listener: l, guard: s.Guard, tls: s.TLS}
	case s.TLS != nil:
		l = tls.NewListener(l, s.TLS)
	}
	done := make(chan error, 1)
	go func() { done <- hs.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := s.shutdown(context.WithoutCancel(ctx), hs, draining); err != nil {
		return errors.Join(err, hs.Close())
	}
	return ctx.Err()
}

// serveHTTP closes connections after their responses during a shutdown.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

func (s *Server) shutdown(ctx context.Context, hs *http.Server, l *DrainingListener) error {
	s.stopping.Store(true)
	if s.Readiness != nil {
		s.Readiness.SetNotReady()
	}
	preStopCtx, cancelPreStop := context.WithTimeout(ctx, preStopTimeout)
	defer cancelPreStop()
	var preStop sync.WaitGroup
	for _, hook := range s.PreStop {
		preStop.Go(func() { hook(preStopCtx) })
	}
	time.Sleep(s.ShutdownDelay)
	preStop.Wait()
	ctx, cancel := context.WithTimeout(ctx, s.GracePeriod)
	defer cancel()
	if s.ListenWhileDraining {
		return errors.Join(s.drain(ctx), s.closeConns(ctx, hs, l))
	}
	closeErr := make(chan error, 1)
	go func() { closeErr <- s.closeConns(ctx, hs, l) }()
	return errors.Join(s.drain(ctx), <-closeErr)
}

// closeConns closes the listener and idle connections, and waits for requests in flight.
func (s *Server) closeConns(ctx context.Context, hs *http.Server, l *DrainingListener) error {
	drainErr := l.Drain()
	// net/http drops a request that it reads after the start of its shutdown, also on a new connection.
	idleCtx, cancel := context.WithTimeout(ctx, max(s.IdleGrace, min(minIdleGrace, s.GracePeriod/2)))
	defer cancel()
	AwaitClosed(idleCtx, s.conns.Open)
	s.Guard.CloseIdle()
	lastCtx, cancelLast := context.WithTimeout(ctx, closeGrace)
	defer cancelLast()
	AwaitClosed(lastCtx, s.conns.Open)
	return errors.Join(drainErr, hs.Shutdown(ctx))
}

func (s *Server) drain(ctx context.Context) error {
	errs := make([]error, len(s.Drain))
	var wg sync.WaitGroup
	for i, hook := range s.Drain {
		wg.Go(func() { errs[i] = hook(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// DrainHook converts a wait function without a context, such as relayer.Server.Wait, to a Drain hook.
func DrainHook(wait func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		done := make(chan struct{})
		go func() {
			defer close(done)
			wait()
		}()
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
