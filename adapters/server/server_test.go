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

func dials(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// Guards against a stop that closes the listener before balancers were told, cuts a request in flight, or does not
// wait for connections that have left HTTP.
func TestStopKeepsItsOrderAndCutsNothing(t *testing.T) {
	for _, drainListening := range []bool{false, true} {
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
			Readiness: ready, GracePeriod: time.Minute, ListenWhileDraining: drainListening,
			PreStop: []func(context.Context){func(context.Context) {
				w := httptest.NewRecorder()
				ready.ServeHTTP(w, nil)
				assert.Check(t, w.Code == http.StatusServiceUnavailable)
				assert.Check(t, dials(addr))
				steps = append(steps, "leave")
			}},
			Drain: []func(context.Context) error{DrainHook(func() {
				if drainListening {
					assert.Check(t, dials(addr))
				} else {
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if dials(addr) {
							return poll.Continue("the listener is open")
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

// Guards against a stop that never ends because one request does not.
func TestStopEndsAfterTheGraceTime(t *testing.T) {
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

type handlerFunc func(ctx context.Context, req relayer.Request, w *relayer.Answer) (relayer.End, error)

func (f handlerFunc) Handle(ctx context.Context, req relayer.Request, w *relayer.Answer) (relayer.End, error) {
	return f(ctx, req, w)
}

// capture keeps the accepted connections, so that a test can cut them.
type capture struct {
	net.Listener
	conns chan net.Conn
}

func (c *capture) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.conns <- conn
	}
	return conn, err
}

// Guards against an answer that is lost because its connection breaks while the agent stops.
func TestAnswerContinuesOverANewConnectionDuringAStop(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release := make(chan struct{})
	relay := relayer.NewServer(t.Context(), handlerFunc(
		func(_ context.Context, _ relayer.Request, w *relayer.Answer) (relayer.End, error) {
			w.Start(relayer.Head{Status: http.StatusOK})
			<-release
			_, err := io.WriteString(w, "whole")
			return relayer.End{Outcome: relayer.OutcomeRan}, err
		}), messenger.Options{})
	captured := &capture{conns: make(chan net.Conn, 8)}
	cut := make(chan struct{})
	s := &Server{
		Handler: relay, GracePeriod: time.Minute, ListenWhileDraining: true,
		WrapListener: func(l net.Listener) net.Listener { captured.Listener = l; return captured },
		PreStop:      []func(context.Context){func(context.Context) { relay.Stop(); _ = (<-captured.conns).Close(); close(cut) }},
		Drain:        []func(context.Context) error{DrainHook(relay.Wait)},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.serve(ctx, l) }()
	c := relayer.NewClient(t.Context(), messenger.Options{})
	req := relayer.Request{ID: "a", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	stream, err := c.Start(t.Context(), l.Addr().String(), req)
	assert.NilError(t, err)
	cancel()
	<-cut
	close(release)
	p, err := stream.Next(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(p), "whole")
	_, err = stream.Next(t.Context())
	assert.ErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, c.Stats().Resumed, uint64(1))
}
