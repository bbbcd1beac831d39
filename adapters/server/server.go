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
	// leaveTimeout is the freshness lease: after it the fleet sends no new work even if it could not be told.
	leaveTimeout = 2 * time.Second
)

// Readiness answers readiness checks; it reports not ready from the moment a stop was asked for.
type Readiness struct {
	// Check returns why the process is not ready; nil means that it always is.
	Check   func() error
	leaving atomic.Bool
}

// Leave makes the process report not ready from now on.
func (r *Readiness) SetNotReady() { r.leaving.Store(true) }

// ServeHTTP answers 200 when ready, else 503 with the reason.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() {
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

// Server is an HTTP server that runs until its context ends. It then stops in this order: readiness falls; the
// Leave hooks run; ReadyDelay passes; the listener closes; requests in flight and the Drain hooks end within Grace;
// what is left is cut.
type Server struct {
	Addr    string
	Handler http.Handler
	TLS     *tls.Config
	// Listener wraps the listener below TLS, for example in a messenger.CountingListener; nil leaves it as it is.
	WrapListener func(net.Listener) net.Listener
	// Readiness is told first that the server stops.
	Readiness *Readiness
	// Leave announces the stop to others, for example to control; the hooks run side by side.
	PreStop []func(ctx context.Context)
	// ReadyDelay is how long new connections are still accepted, so that a balancer notices.
	ShutdownDelay time.Duration
	// Drain waits for work on connections that have left HTTP (WebSocket); the hooks run side by side.
	Drain []func(ctx context.Context) error
	// DrainListening keeps the listener open until the Drain hooks have ended. An agent needs it, so that a router
	// whose connection goes silent during the stop can continue its answers over a new one.
	ListenWhileDraining bool
	// Grace is how long the Drain hooks and requests in flight may take together.
	GracePeriod time.Duration
}

// String returns the address, which names the server in the log of a supervisor.
func (s *Server) String() string { return "server " + s.Addr }

// Serve listens and serves until ctx ends, then stops.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, context.Canceled) {
			err = fmt.Errorf("serve %s: %w", s.Addr, err)
		}
	}()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return err
	}
	return s.serve(ctx, l)
}

func (s *Server) serve(ctx context.Context, l net.Listener) error {
	if s.WrapListener != nil {
		l = s.WrapListener(l)
	}
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	hs := &http.Server{Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan error, 1)
	go func() { done <- hs.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := s.stop(context.WithoutCancel(ctx), hs); err != nil {
		return errors.Join(err, hs.Close())
	}
	return ctx.Err()
}

func (s *Server) stop(ctx context.Context, hs *http.Server) error {
	if s.Readiness != nil {
		s.Readiness.SetNotReady()
	}
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	var leave sync.WaitGroup
	for _, hook := range s.PreStop {
		leave.Go(func() { hook(leaveCtx) })
	}
	time.Sleep(s.ShutdownDelay)
	leave.Wait()
	ctx, cancel := context.WithTimeout(ctx, s.GracePeriod)
	defer cancel()
	if s.ListenWhileDraining {
		return errors.Join(s.drain(ctx), hs.Shutdown(ctx))
	}
	shutdown := make(chan error, 1)
	go func() { shutdown <- hs.Shutdown(ctx) }()
	return errors.Join(s.drain(ctx), <-shutdown)
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

// WaitFor makes a Drain hook of a function that waits without a context, such as relayer.Server.Wait.
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
