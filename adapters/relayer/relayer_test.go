package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/core/timestamper"
)

// setup returns an agent's server, a proxy in front of it, and a router's client.
func setup(tb testing.TB, h handlerFunc, mode proxyMode) (*Server, *faultyProxy, *Client) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := NewServer(ctx, h, messenger.Options{})
	hs := httptest.NewServer(s)
	tb.Cleanup(func() { cancel(); hs.Close() })
	proxy := newFaultyProxy(tb, strings.TrimPrefix(hs.URL, "http://"), mode)
	return s, proxy, NewClient(ctx, messenger.Options{})
}

func agentLostError(t *testing.T, err error) *AgentLostError {
	t.Helper()
	var lost *AgentLostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	return lost
}

func refusalReason(t *testing.T, err error) Reason {
	t.Helper()
	var refusal *RefusalError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	return refusal.Reason
}

// Guards against requests and refusals that lose their fields about the shared prompt prefix in transit.
func TestPrefixFieldsAreTransmitted(t *testing.T) {
	t.Parallel()
	want := &RefusalError{Reason: ReasonNotCached, HasPrefix: true, HasRoom: true, MovedTo: "e2"}
	_, proxy, c := setup(t, func(_ context.Context, req Request, _ *ResponseBuffer) (End, error) {
		assert.Check(t, req.PrefixKey == 5 && req.OnlyIfPrefixCached)
		return End{}, want
	}, modeForward)
	req := request("new chat")
	req.PrefixKey, req.OnlyIfPrefixCached = 5, true
	_, err := c.Start(t.Context(), proxy.addr(), req)
	var got *RefusalError
	assert.Assert(t, errors.As(err, &got), "%v", err)
	assert.DeepEqual(t, got, want)
}

type moveHandler struct {
	handlerFunc
	moved chan string
}

func (h moveHandler) Moved(chat uint64, endpoint string) { h.moved <- fmt.Sprint(chat, " ", endpoint) }

// Guards against a lost or unbounded hint, and against a hint that opens or breaks a connection.
func TestNotifyMovedUsesOnlyOpenConnections(t *testing.T) {
	t.Parallel()
	refuse := func(context.Context, Request, *ResponseBuffer) (End, error) {
		return End{}, &RefusalError{Reason: ReasonNotCached}
	}
	h := moveHandler{handlerFunc: refuse, moved: make(chan string, 2)}
	server := NewServer(t.Context(), h, messenger.Options{})
	hs := httptest.NewServer(server)
	defer hs.Close()
	c, addr := NewClient(t.Context(), messenger.Options{}), strings.TrimPrefix(hs.URL, "http://")
	c.NotifyMoved(addr, 5, "e2")
	assert.Equal(t, c.Stats().Dials, uint64(0))
	_, err := c.Start(t.Context(), addr, request("a"))
	assert.Equal(t, refusalReason(t, err), ReasonNotCached)
	c.NotifyMoved(addr, 6, strings.Repeat("e", maxEndpointNameBytes+1))
	c.NotifyMoved(addr, 7, "e3")
	assert.Equal(t, <-h.moved, "7 e3")
}

// runUntilCancelled starts a response and ends it when its context ends.
func runUntilCancelled(ended chan error) handlerFunc {
	return func(ctx context.Context, _ Request, w *ResponseBuffer) (End, error) {
		w.Start(Head{Status: http.StatusOK})
		<-ctx.Done()
		ended <- ctx.Err()
		return End{}, ctx.Err()
	}
}

func request(id string) Request {
	return Request{ID: id, Attempt: 1, Deadline: time.Now().Add(time.Minute)}
}

// distinctText returns text made of increasing numbers, so that misplaced bytes are detected.
func distinctText(size int) []byte {
	var b bytes.Buffer
	for b.Len() < size {
		_, _ = fmt.Fprintf(&b, "%d,", b.Len())
	}
	return b.Bytes()[:size]
}

func readAll(s *Stream) ([]byte, error) {
	var got []byte
	for {
		p, err := s.Next(context.Background())
		got = append(got, p...)
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
}

// writeInSteps writes one part of the response for each value received from step.
func writeInSteps(text []byte, parts int, step chan struct{}, runs *atomic.Int64) handlerFunc {
	return func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
		runs.Add(1)
		w.Start(Head{Status: http.StatusOK})
		for part := range parts {
			<-step
			if _, err := w.Write(text[part*len(text)/parts : (part+1)*len(text)/parts]); err != nil {
				return End{}, err
			}
		}
		return End{Outcome: OutcomeRan}, nil
	}
}

// Guards against missing or duplicate bytes, a second run and a false loss of the agent when two connections drop all
// bytes during one response, and against detecting that late.
func TestResponseResumesAfterHeartbeatTimeouts(t *testing.T) {
	t.Parallel()
	text, step := distinctText(300_000), make(chan struct{}, 3)
	var runs atomic.Int64
	_, proxy, c := setup(t, writeInSteps(text, 3, step, &runs), modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("silent"))
	assert.NilError(t, err)
	var got []byte
	for part := 1; part <= 3; part++ {
		if part > 1 {
			proxy.setMode(modeDrop)
		}
		step <- struct{}{}
		for len(got) < part*len(text)/3 {
			p, err := s.Next(t.Context())
			assert.NilError(t, err)
			got = append(got, p...)
		}
	}
	_, err = s.Next(t.Context())
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, bytes.Equal(got, text))
	assert.Equal(t, runs.Load(), int64(1))
	stats := c.Stats()
	// Either side may detect the inactivity and close the connection first.
	assert.Assert(t, stats.Dials >= 3 && stats.Resumed >= 2 && stats.Lost == 0, "%+v", stats)
}

// Guards against mistaking a restarted agent for the process that ran the request, and against old and new clients
// that can't reach an agent after a restart.
func TestRestartedAgentIsLostAndServesNewRequests(t *testing.T) {
	t.Parallel()
	text, step := distinctText(1000), make(chan struct{}, 6) // two for each run
	var runs atomic.Int64
	h := writeInSteps(text, 2, step, &runs)
	_, proxy, c := setup(t, h, modeForward)
	_, restarted, newClient := setup(t, h, modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("restart"))
	assert.NilError(t, err)
	proxy.mu.Lock()
	proxy.target = restarted.target
	proxy.mu.Unlock()
	proxy.closeAll()
	_, err = readAll(s)
	assert.Assert(t, agentLostError(t, err).Sent)
	assert.ErrorIs(t, err, errAgentRestarted)
	assert.Equal(t, runs.Load(), int64(1))
	for range cap(step) {
		step <- struct{}{}
	}
	for i, c := range []*Client{c, newClient} {
		s, err = c.Start(t.Context(), proxy.addr(), request(fmt.Sprint("after ", i)))
		assert.NilError(t, err)
		got, err := readAll(s)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, text))
	}
}

// Guards against detecting a killed agent late, and against reporting that its request was not sent.
func TestKilledAgentIsLostAndTheRequestMayHaveRun(t *testing.T) {
	t.Parallel()
	started := make(chan struct{})
	_, proxy, c := setup(t, func(ctx context.Context, _ Request, _ *ResponseBuffer) (End, error) {
		close(started)
		<-ctx.Done()
		return End{}, ctx.Err()
	}, modeForward)
	go func() {
		<-started
		_ = proxy.listener.Close()
		proxy.closeAll()
	}()
	_, err := c.Start(t.Context(), proxy.addr(), request("killed"))
	assert.Assert(t, agentLostError(t, err).Sent)
	_, err = c.Start(t.Context(), proxy.addr(), request("unreachable"))
	assert.Assert(t, !agentLostError(t, err).Sent)
}

// Guards against waiting for the deadline when nothing is received on the old and the new connection, and against
// reporting that the request was not sent.
func TestInactiveAgentIsLostAfterHeartbeatTimeoutAndOneDial(t *testing.T) {
	t.Parallel()
	step := make(chan struct{})
	defer close(step)
	var runs atomic.Int64
	_, proxy, c := setup(t, writeInSteps([]byte("heel"), 1, step, &runs), modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("silent agent"))
	assert.NilError(t, err)
	proxy.mu.Lock()
	proxy.mode = modeDrop
	proxy.mu.Unlock()
	proxy.setMode(modeDrop)
	_, err = readAll(s)
	assert.Assert(t, agentLostError(t, err).Sent)
}

// Guards against running a request whose run message arrives over an old connection after the agent has refused the
// request as not received.
func TestDelayedRunMessageIsRefused(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	server, proxy, c := setup(t, writeInSteps(nil, 0, nil, &runs), modeForward)
	ended := make(chan struct{}, 2)
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r)
		ended <- struct{}{}
	}))
	defer hs.Close()
	proxy.mu.Lock()
	proxy.target = strings.TrimPrefix(hs.URL, "http://")
	proxy.mu.Unlock()
	s, err := c.Start(t.Context(), proxy.addr(), request("first"))
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.NilError(t, err)
	proxy.setMode(modeDelay)
	_, err = c.Start(t.Context(), proxy.addr(), request("late"))
	assert.Equal(t, refusalReason(t, err), ReasonNotReceived)
	proxy.flushDelayed()
	<-ended // the server has read all messages of the first connection
	server.Wait()
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a second run when the network duplicates all messages of a connection.
func TestDuplicatedConnectionRunsRequestOnce(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	text, step := distinctText(50_000), make(chan struct{}, 2)
	server, proxy, c := setup(t, writeInSteps(text, 2, step, &runs), modeDuplicate)
	s, err := c.Start(t.Context(), proxy.addr(), request("twice"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		server.mu.Lock()
		defer server.mu.Unlock()
		b := server.runs[attemptKey{id: "twice", attempt: 1}]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.readers) < 2 {
			return poll.Continue("the duplicate connection is not attached")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	step <- struct{}{}
	step <- struct{}{}
	got, err := readAll(s)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, text))
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a slow caller that blocks the other responses of its connection or fills the memory of the router.
func TestSlowReaderDoesNotBlockOtherReaders(t *testing.T) {
	t.Parallel()
	text := distinctText(12 << 20) // exceeds the agent's buffer, so that Write blocks, too
	_, proxy, c := setup(t, func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
		w.Start(Head{Status: http.StatusOK})
		_, err := w.Write(text)
		return End{Outcome: OutcomeRan}, err
	}, modeForward)
	slow, err := c.Start(t.Context(), proxy.addr(), request("slow"))
	assert.NilError(t, err)
	fast, err := c.Start(t.Context(), proxy.addr(), request("fast"))
	assert.NilError(t, err)
	got, err := readAll(fast)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, text))
	slow.mu.Lock()
	pending := 0
	for _, p := range slow.pending {
		pending += len(p)
	}
	slow.mu.Unlock()
	assert.Assert(t, pending <= windowBytes)
	got, err = readAll(slow)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, text))
}

// Guards against accepting data of a replaced connection, of another attempt, or beyond the window as part of the
// response.
func TestFramesOfAnotherConnectionOrAttemptAreDropped(t *testing.T) {
	t.Parallel()
	step := make(chan struct{})
	var runs atomic.Int64
	_, proxy, c := setup(t, writeInSteps([]byte("heel"), 1, step, &runs), modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("frames"))
	assert.NilError(t, err)
	frame := func(attempt uint32, offset int64) *messenger.Envelope {
		body, err := cbor.Marshal(&dataMessage{Attempt: attempt, Offset: offset, Data: []byte("xx")})
		assert.NilError(t, err)
		return &messenger.Envelope{Kind: kindData, Stream: s.id, Body: body}
	}
	assert.NilError(t, s.handleMessage(&agentConn{}, frame(1, 0)))
	assert.NilError(t, s.handleMessage(s.conn, frame(2, 0)))
	assert.ErrorIs(t, s.handleMessage(s.conn, frame(1, 1)), errGap)
	assert.ErrorIs(t, s.handleMessage(s.conn, frame(1, windowBytes)), errGap)
	step <- struct{}{}
	got, err := readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "heel")
}

// Guards against a run that continues after its caller cancelled it or its deadline passed, and against a cancelled
// attempt that starts when its run message arrives.
func TestCancelAndDeadlineReachTheHandler(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 2)
	server, proxy, c := setup(t, runUntilCancelled(ended), modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("cancel"))
	assert.NilError(t, err)
	s.Cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	req := request("deadline")
	req.Deadline = time.Now().Add(200 * time.Millisecond)
	s, err = c.Start(t.Context(), proxy.addr(), req)
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, <-ended, context.DeadlineExceeded)
	req = request("early")
	server.cancel(attemptKey{id: req.ID, attempt: req.Attempt})
	_, err = c.Start(t.Context(), proxy.addr(), req)
	assert.Equal(t, refusalReason(t, err), ReasonDuplicate)
}

// Guards against confusing the refusal of one attempt with that of a generation, which would move a claim while the
// attempt of another router runs.
func TestRefusalCarriesItsGeneration(t *testing.T) {
	t.Parallel()
	want := RefusalError{Reason: ReasonStaleView, RetryAfterMillis: 7, Load: Load{InFlight: 2}, Generation: 3}
	server, proxy, c := setup(t, func(context.Context, Request, *ResponseBuffer) (End, error) {
		return End{}, &want
	}, modeForward)
	var got *RefusalError
	_, err := c.Start(t.Context(), proxy.addr(), request("refused"))
	assert.Assert(t, errors.As(err, &got))
	assert.DeepEqual(t, *got, want)
	server.Stop()
	_, err = c.Start(t.Context(), proxy.addr(), request("after the stop"))
	assert.Assert(t, errors.As(err, &got))
	assert.Equal(t, got.Generation, uint64(0))
}

// Guards against a shutdown that cancels a run in progress, accepts new ones, or never ends.
func TestStopRefusesNewRunsAndWaitsForRunsInProgress(t *testing.T) {
	t.Parallel()
	step := make(chan struct{})
	var runs atomic.Int64
	server, proxy, c := setup(t, writeInSteps([]byte("heel"), 1, step, &runs), modeForward)
	s, err := c.Start(t.Context(), proxy.addr(), request("in flight"))
	assert.NilError(t, err)
	server.Stop()
	_, err = c.Start(t.Context(), proxy.addr(), request("new"))
	assert.Equal(t, refusalReason(t, err), ReasonLeaving)
	close(step)
	got, err := readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "heel")
	server.Wait()
	server.mu.Lock()
	defer server.mu.Unlock()
	assert.Equal(t, len(server.runs), 0)
}

// Guards against a run that continues until its deadline after its router disconnected.
func TestRunIsCancelledWhenRouterDisconnects(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	server, proxy, _ := setup(t, runUntilCancelled(ended), modeForward)
	ctx, cancel := context.WithCancel(context.Background())
	_, err := NewClient(ctx, messenger.Options{}).Start(t.Context(), proxy.addr(), request("vanished"))
	assert.NilError(t, err)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	server.Wait()
}

// Guards against one connection per request, requests that wait for a dial to another address, and oversized requests
// that are reported as sent.
func TestConnectionsAreSharedAndDialsAreIndependent(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	_, proxy, c := setup(t, writeInSteps(nil, 0, nil, &runs), modeForward)
	unresponsive, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0") // accepts and never responds
	assert.NilError(t, err)
	defer func() { _ = unresponsive.Close() }()
	stuckErr := make(chan error, 1)
	go func() {
		_, err := c.Start(context.Background(), unresponsive.Addr().String(), request("stuck"))
		stuckErr <- err
	}()
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			_, err := c.Start(context.Background(), proxy.addr(), request(fmt.Sprint(i)))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, proxy.connCount(), 1)
	assert.Equal(t, len(stuckErr), 0)
	assert.Assert(t, !agentLostError(t, <-stuckErr).Sent)
	req := request("large")
	req.Body = make([]byte, messenger.DefaultMaxMessageBytes)
	_, err = c.Start(t.Context(), proxy.addr(), req)
	assert.Assert(t, !agentLostError(t, err).Sent)
}

// Guards against reporting an evicted attempt as not run, and against a history that grows without bound.
func TestEvictedAttemptIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	m, now := newAttemptHistory(), time.Unix(1000, 0)
	for i := range maxHistoryEntries + 10 {
		m.add(attemptKey{id: fmt.Sprint(i)}, stateRan, now)
	}
	assert.Assert(t, len(m.states) <= maxHistoryEntries)
	assert.Equal(t, m.stateOfMissing(time.Second, now), stateUnknown)
	assert.Equal(t, m.stateOfMissing(time.Second, now.Add(maxTransitTime+2*time.Second)), stateFenced)
	m.add(attemptKey{id: "fenced"}, stateFenced, now)
	m.add(attemptKey{id: "fenced"}, stateRan, now)
	assert.Equal(t, m.states[attemptKey{id: "fenced"}], stateRan)
	m.add(attemptKey{id: "new"}, stateRan, now.Add(historyRetention+time.Second))
	assert.Equal(t, len(m.states), 1)
}

// Guards against a merged timeline that shows a response before its request, or a run before its run message, when the
// clocks of the processes differ.
func TestTimestampsOnMessagesKeepCausalOrder(t *testing.T) {
	t.Parallel()
	router, endpoint := recorder.New("router", 8), recorder.New("agent", 8)
	ahead := endpoint.Tick()
	ahead.Millis += 20_000
	router.Merge(ahead) // the clock of the router is 20 s ahead
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ran timestamper.Timestamp
	hs := httptest.NewServer(NewServer(ctx, handlerFunc(
		func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
			ran = endpoint.Tick()
			w.Start(Head{Status: http.StatusOK})
			return End{Outcome: OutcomeRan}, nil
		}), messenger.Options{Clock: endpoint}))
	defer hs.Close()
	before := router.Tick()
	s, err := NewClient(ctx, messenger.Options{Clock: router}).
		Start(t.Context(), strings.TrimPrefix(hs.URL, "http://"), request("stamps"))
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, ran.Compare(before), 1)
	assert.Equal(t, router.Tick().Compare(ran), 1)
}

// Guards against a request that runs and counts as refused, because a refusal under its ID arrives after the head of
// its response and before the router has read that.
func TestRefusalAfterTheHeadIsNotARefusal(t *testing.T) {
	t.Parallel()
	_, proxy, c := setup(t, runUntilCancelled(make(chan error, 2)), modeForward)
	req := request("refused late")
	s := newStream(c, proxy.addr(), &req)
	defer s.close()
	s.conn = &agentConn{}
	receive := func(kind uint8, m any) {
		body, err := cbor.Marshal(m)
		assert.NilError(t, err)
		assert.NilError(t, s.handleMessage(s.conn, &messenger.Envelope{Kind: kind, Stream: s.id, Body: body}))
	}
	receive(kindHead, &headMessage{Head: Head{Status: http.StatusOK}})
	receive(kindRefused, &refusedMessage{Reason: ReasonDuplicate})
	assert.NilError(t, s.waitHead(t.Context(), nil))
	_, err := s.Next(t.Context())
	var incomplete *IncompleteError
	assert.Assert(t, errors.As(err, &incomplete), "%v", err)
	assert.Equal(t, incomplete.End.Outcome, OutcomeUnknown)
}
