package relayer

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
)

// Handler runs one attempt. It returns a *RefusalError if it did not forward the request, and otherwise writes the
// response to w and returns its outcome. ctx ends at the deadline of the request, when the router cancels it, and when
// no router is attached for reattachTimeout.
type Handler interface {
	Handle(ctx context.Context, req Request, w *ResponseBuffer) (End, error)
}

// MoveHandler is a Handler that records which other endpoint has served a chat.
type MoveHandler interface {
	Moved(chat uint64, endpoint string)
}

// maxEndpointNameBytes limits the endpoint names in moved messages, which the agent keeps in memory.
const maxEndpointNameBytes = 256

// Server is the agent's side of the protocol.
type Server struct {
	handler  Handler
	opts     messenger.Options
	ctx      context.Context
	instance string // identifies this process

	// Memory bounds the buffers of responses together; nil means that each has its own bound only. It must be set before
	// the first connection.
	Memory Memory

	mu      sync.Mutex
	runs    map[attemptKey]*ResponseBuffer
	history *attemptHistory
	stopped bool
	wg      sync.WaitGroup
}

// NewServer returns a server whose runs are cancelled when ctx ends.
func NewServer(ctx context.Context, handler Handler, opts messenger.Options) *Server {
	return &Server{
		handler: handler, opts: opts, ctx: ctx, instance: rand.Text(),
		runs: map[attemptKey]*ResponseBuffer{}, history: newAttemptHistory(),
	}
}

// Stop makes the server refuse new runs with ReasonLeaving; runs in progress continue.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Wait calls Stop and returns when every run has ended and its response was acknowledged or abandoned.
func (s *Server) Wait() {
	s.Stop()
	s.wg.Wait()
}

// ServeHTTP accepts the connection of a router and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerInstance, s.instance)
	transport, err := messenger.Accept(w, r, s.opts)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = transport.Close() })()
	defer func() { _ = transport.Close() }()
	ses := &session{
		server: s, transport: transport, ctx: ctx, streams: map[uint64]*attachment{}, heartbeat: newHeartbeat(transport),
	}
	go func() {
		// Routers close idle connections. The agent closes them after twice that time, in case the router is gone.
		if ses.heartbeat.watch(ctx.Done(), 2*idleTimeout, func() {}) != nil {
			cancel()
		}
	}()
	var e messenger.Envelope
	for transport.ReceiveInto(context.Background(), &e) == nil {
		ses.heartbeat.recordActivity()
		if ses.dispatch(&e) != nil {
			return
		}
	}
}

// startOrJoin starts an attempt if it is new, and returns its response buffer. It returns no buffer and the failure to
// send if the attempt must not run.
func (s *Server) startOrJoin(req *Request) (b *ResponseBuffer, failure outgoingPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := attemptKey{id: req.ID, attempt: req.Attempt}
	if b := s.runs[k]; b != nil {
		return b, outgoingPart{}
	}
	now := time.Now()
	switch {
	case s.history.states[k] == stateFenced:
		return nil, outgoingPart{refusal: &RefusalError{Reason: ReasonDuplicate}}
	case s.history.states[k] == stateRan:
		return nil, outgoingPart{end: &End{Problem: "attempt has already run; the response is no longer buffered"}}
	case s.stopped:
		s.history.add(k, stateFenced, now)
		return nil, outgoingPart{refusal: &RefusalError{Reason: ReasonLeaving}}
	case !req.Deadline.After(now):
		s.history.add(k, stateFenced, now)
		return nil, outgoingPart{refusal: &RefusalError{Reason: ReasonDeadline}}
	}
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline)
	b = newResponseBuffer(ctx, cancel, s.Memory)
	s.runs[k] = b
	s.wg.Go(func() { b.cancelWhenAbandoned(s.ctx.Done()); s.moveToHistory(k, b) })
	s.wg.Go(func() {
		defer cancel()
		end, err := s.handler.Handle(ctx, *req, b)
		b.finish(end, err)
	})
	return b, outgoingPart{}
}

func (s *Server) moveToHistory(k attemptKey, b *ResponseBuffer) {
	b.discard()
	state := stateRan
	if b.isRefused() {
		state = stateFenced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, k)
	s.history.add(k, state, time.Now())
}

// resume returns the response buffer of an attempt that was sent over an earlier connection. An attempt that was never
// received is fenced, so that a delayed run message can't run after the refusal as not received.
func (s *Server) resume(m *resumeMessage) (b *ResponseBuffer, failure outgoingPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := attemptKey{id: m.ID, attempt: m.Attempt}
	if b := s.runs[k]; b != nil {
		return b, outgoingPart{}
	}
	now := time.Now()
	state, ok := s.history.states[k]
	if !ok {
		state = s.history.stateOfMissing(time.Duration(m.AgeMillis)*time.Millisecond, now)
	}
	if state == stateFenced {
		s.history.add(k, stateFenced, now)
		return nil, outgoingPart{refusal: &RefusalError{Reason: ReasonNotReceived}}
	}
	return nil, outgoingPart{end: &End{Problem: "response to this attempt is no longer buffered"}}
}

// cancel cancels a run, or fences the attempt if its run message has not been received.
func (s *Server) cancel(k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.runs[k]; b != nil {
		b.cancel()
		b.acknowledge()
		return
	}
	s.history.add(k, stateFenced, time.Now())
}

func (s *Server) acknowledge(k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.runs[k]; b != nil {
		b.acknowledge()
	}
}

// session is the connection of one router.
type session struct {
	server    *Server
	transport *messenger.Conn
	ctx       context.Context
	heartbeat *heartbeat

	mu      sync.Mutex
	streams map[uint64]*attachment
}

// attachment is a response that is being sent over a connection.
type attachment struct {
	response *ResponseBuffer
	reader   *reader
}

func (ses *session) dispatch(e *messenger.Envelope) error {
	clock := ses.server.opts.Clock
	switch e.Kind {
	case kindRun:
		var m runMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkRequestID(m.ID); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		req := m.request(time.Now())
		b, failure := ses.server.startOrJoin(&req)
		ses.attach(e.Stream, b, failure, &reader{attempt: m.Attempt, limit: m.Limit})
	case kindResume:
		var m resumeMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkRequestID(m.ID); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		b, failure := ses.server.resume(&m)
		r := &reader{attempt: m.Attempt, offset: m.Offset, limit: m.Limit, headSent: m.HasHead}
		ses.attach(e.Stream, b, failure, r)
	case kindCancel, kindAck:
		var m attemptMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkRequestID(m.ID); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		k := attemptKey{id: m.ID, attempt: m.Attempt}
		if e.Kind == kindAck {
			ses.server.acknowledge(k)
			return nil
		}
		ses.server.cancel(k)
		ses.detach(e.Stream)
	case kindMoved:
		var m movedMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if h, ok := ses.server.handler.(MoveHandler); ok && len(m.Endpoint) <= maxEndpointNameBytes {
			h.Moved(m.Chat, m.Endpoint)
		}
	case kindCredit:
		var m creditMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		ses.mu.Lock()
		att := ses.streams[e.Stream]
		ses.mu.Unlock()
		if att != nil {
			att.response.credit(att.reader, m)
		}
	}
	return nil
}

// attach sends a response, or the failure if b is nil, in a separate goroutine, so that a peer that reads slowly
// doesn't block receiving.
func (ses *session) attach(stream uint64, b *ResponseBuffer, failure outgoingPart, r *reader) {
	if b == nil {
		go func() { _ = ses.send(stream, r, &failure, &dataMessage{}) }()
		return
	}
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if ses.streams[stream] != nil {
		return // duplicate message
	}
	r.wake = make(chan struct{}, 1)
	att := &attachment{response: b, reader: r}
	ses.streams[stream] = att
	ses.heartbeat.startRequest()
	b.attach(r)
	go ses.sendResponse(stream, att)
}

func (ses *session) detach(stream uint64) {
	ses.mu.Lock()
	att := ses.streams[stream]
	delete(ses.streams, stream)
	ses.mu.Unlock()
	if att != nil {
		ses.heartbeat.endRequest()
		att.response.detach(att.reader)
		signal(att.reader.wake)
	}
}

func (ses *session) isAttached(stream uint64) bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.streams[stream] != nil
}

// sendResponse sends the response from the reader's offset until it is complete or the connection is closed.
func (ses *session) sendResponse(stream uint64, att *attachment) {
	defer ses.detach(stream)
	var data dataMessage
	for ses.isAttached(stream) {
		out, ok := att.response.next(att.reader)
		if !ok {
			select {
			case <-att.reader.wake:
			case <-ses.ctx.Done():
				return
			}
			continue
		}
		if ses.send(stream, att.reader, &out, &data) != nil || out.refusal != nil || out.end != nil || out.outOfRange {
			return
		}
	}
}

// send sends one message; data is reused between calls to avoid an allocation per message.
func (ses *session) send(stream uint64, r *reader, out *outgoingPart, data *dataMessage) error {
	clock := ses.server.opts.Clock
	switch {
	case out.refusal != nil:
		m := refusedMessage{
			Reason: out.refusal.Reason, RetryAfterMillis: out.refusal.RetryAfterMillis, Load: out.refusal.Load,
			HasPrefix: out.refusal.HasPrefix, HasRoom: out.refusal.HasRoom, MovedTo: out.refusal.MovedTo,
			Timestamp: newTimestamp(clock), Generation: out.refusal.Generation,
		}
		return ses.transport.Send(ses.ctx, kindRefused, stream, &m)
	case out.head != nil:
		return ses.transport.Send(ses.ctx, kindHead, stream, &headMessage{Head: *out.head, Timestamp: newTimestamp(clock)})
	case len(out.data) > 0:
		*data = dataMessage{Attempt: r.attempt, Offset: out.offset, Data: out.data}
		return ses.transport.Send(ses.ctx, kindData, stream, data)
	case out.outOfRange:
		out.end = &End{Problem: "response is not buffered from the requested offset"}
	}
	return ses.transport.Send(ses.ctx, kindEnd, stream, &endMessage{End: *out.end, Timestamp: newTimestamp(clock)})
}
