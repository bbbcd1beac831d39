package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/relayer"
)

func canDial(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// Guards against a shutdown that closes the listener before readiness checks fail, cancels a request in flight, or does
// not wait for hijacked connections.
func TestStopRunsInOrderAndCompletesRequests(t *testing.T) {
	for _, listenWhileDraining := range []bool{false, true} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addr := l.Addr().String()
		started, release := make(chan struct{}), make(chan struct{})
		ready := &Readiness{}
		var steps []string
		s := &Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-release
				_, _ = io.WriteString(w, "whole")
			}),
			Readiness: ready, GracePeriod: time.Minute, ListenWhileDraining: listenWhileDraining,
			PreStop: []func(context.Context){func(context.Context) {
				w := httptest.NewRecorder()
				ready.ServeHTTP(w, nil)
				assert.Check(t, w.Code == http.StatusServiceUnavailable)
				assert.Check(t, canDial(addr))
				steps = append(steps, "leave")
			}},
			Drain: []func(context.Context) error{DrainHook(func() {
				if listenWhileDraining {
					assert.Check(t, canDial(addr))
				} else {
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if canDial(addr) {
							return poll.Continue("the listener is still open")
						}
						return poll.Success()
					})
				}
				steps = append(steps, "drain")
				close(release)
			})},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.serve(ctx, l) }()
		body := make(chan string, 1)
		go func() {
			resp, err := http.Get("http://" + addr)
			if !assert.Check(t, err) {
				body <- ""
				return
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			body <- string(text)
		}()
		<-started
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.Equal(t, <-body, "whole")
		assert.DeepEqual(t, steps, []string{"leave", "drain"})
	}
}

// Guards against a shutdown that never completes because a request or a Drain hook does not.
func TestStopEndsAfterTheGracePeriod(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		GracePeriod: 20 * time.Millisecond,
		Drain:       []func(context.Context) error{DrainHook(func() { select {} })},
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(s.serve(ctx, l), context.DeadlineExceeded))
}

type handlerFunc func(ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error)

func (f handlerFunc) Handle(ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error) {
	return f(ctx, req, w)
}

// capturingListener passes its accepted connections to the test, which closes them.
type capturingListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *capturingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

// Guards against a response that is lost when its connection fails during the shutdown of the agent.
func TestResponseResumesOverANewConnectionDuringAStop(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release := make(chan struct{})
	relay := relayer.NewServer(t.Context(), handlerFunc(
		func(_ context.Context, _ relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error) {
			w.Start(relayer.Head{Status: http.StatusOK})
			<-release
			_, err := io.WriteString(w, "whole")
			return relayer.End{Outcome: relayer.OutcomeRan}, err
		}), messenger.Options{})
	listener := &capturingListener{conns: make(chan net.Conn, 8)}
	connClosed := make(chan struct{})
	s := &Server{
		Handler: relay, GracePeriod: time.Minute, ListenWhileDraining: true,
		WrapListener: func(l net.Listener) net.Listener { listener.Listener = l; return listener },
		PreStop: []func(context.Context){
			func(context.Context) { relay.Stop(); _ = (<-listener.conns).Close(); close(connClosed) },
		},
		Drain: []func(context.Context) error{DrainHook(relay.Wait)},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.serve(ctx, l) }()
	c := relayer.NewClient(t.Context(), messenger.Options{})
	req := relayer.Request{ID: "a", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	stream, err := c.Start(t.Context(), l.Addr().String(), req)
	assert.NilError(t, err)
	cancel()
	<-connClosed
	close(release)
	p, err := stream.Next(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(p), "whole")
	_, err = stream.Next(t.Context())
	assert.ErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, c.Stats().Resumed, uint64(1))
}
