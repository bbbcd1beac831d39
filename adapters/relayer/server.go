package relayer

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
)

// Handler runs one attempt; it returns a *RefusalError if it forwarded nothing, and otherwise writes the
// answer to w and returns how it ended. The context ends at the deadline of the request, when the router cancels
// it, and when no router takes the answer.
type Handler interface {
	Handle(ctx context.Context, req Request, w *ResponseBuffer) (End, error)
}

// MoveHandler is a Handler that remembers where other endpoints served chats.
type MoveHandler interface {
	Moved(chat uint64, endpoint string)
}

// maxNameBytes bounds the name of an endpoint, which an agent remembers.
const maxNameBytes = 256

// Server is the agent's end of the protocol.
type Server struct {
	handler  Handler
	opts     messenger.Options
	ctx      context.Context
	instance string

	mu      sync.Mutex
	runs    map[runKey]*ResponseBuffer
	memory  *memory
	stopped bool
	wg      sync.WaitGroup
}

// NewServer returns a server whose runs end at the latest with ctx.
func NewServer(ctx context.Context, handler Handler, opts messenger.Options) *Server {
	return &Server{
		handler: handler, opts: opts, ctx: ctx, instance: rand.Text(),
		runs: map[runKey]*ResponseBuffer{}, memory: newMemory(),
	}
}

// Stop refuses new runs with ReasonLeaving from now on; runs in progress continue.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Wait calls Stop and returns when no run is left and every answer was acknowledged or given up by its router.
func (s *Server) Wait() {
	s.Stop()
	s.wg.Wait()
}

// ServeHTTP accepts a router's connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerInstance, s.instance)
	conn, err := messenger.Accept(w, r, s.opts)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	ses := &session{server: s, conn: conn, ctx: ctx, streams: map[uint64]*attached{}, beat: newHeartbeat(conn)}
	go func() {
		// The router closes idle connections; the agent does so later, for routers that are gone.
		if ses.beat.watch(ctx.Done(), 2*idleLimit, func() {}) != nil {
			cancel()
		}
	}()
	var e messenger.Envelope
	for conn.ReceiveInto(context.Background(), &e) == nil {
		ses.beat.hear()
		if ses.dispatch(&e) != nil {
			return
		}
	}
}

// run returns the answer of an attempt, which it starts unless the agent knows it already; a is nil if it must not
// run.
func (s *Server) run(req *Request) (a *ResponseBuffer, no part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := runKey{id: req.ID, attempt: req.Attempt}
	if a := s.runs[k]; a != nil {
		return a, part{}
	}
	now := time.Now()
	switch {
	case s.memory.fates[k] == fateFenced:
		return nil, part{refusal: &RefusalError{Reason: ReasonDuplicate}}
	case s.memory.fates[k] == fateRan:
		return nil, part{end: &End{Problem: "the attempt has already run and its answer is no longer held"}}
	case s.stopped:
		s.memory.add(k, fateFenced, now)
		return nil, part{refusal: &RefusalError{Reason: ReasonLeaving}}
	case !req.Deadline.After(now):
		s.memory.add(k, fateFenced, now)
		return nil, part{refusal: &RefusalError{Reason: ReasonDeadline}}
	}
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline)
	a = newAnswer(ctx, cancel)
	s.runs[k] = a
	s.wg.Go(func() { a.supervise(s.ctx.Done()); s.forget(k, a) })
	s.wg.Go(func() {
		defer cancel()
		end, err := s.handler.Handle(ctx, *req, a)
		a.finish(end, err)
	})
	return a, part{}
}

func (s *Server) forget(k runKey, a *ResponseBuffer) {
	f := fateRan
	if a.isRefused() {
		f = fateFenced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, k)
	s.memory.add(k, f, time.Now())
}

// resume returns the answer of an attempt that was sent some time ago over another connection. If the agent has
// never received the attempt, it refuses it from now on, which makes "not run" true for a delayed run message.
func (s *Server) resume(m *resumeMessage) (a *ResponseBuffer, no part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := runKey{id: m.ID, attempt: m.Attempt}
	if a := s.runs[k]; a != nil {
		return a, part{}
	}
	now := time.Now()
	f, ok := s.memory.fates[k]
	if !ok {
		f = s.memory.missing(time.Duration(m.AgeMillis)*time.Millisecond, now)
	}
	if f == fateFenced {
		s.memory.add(k, fateFenced, now)
		return nil, part{refusal: &RefusalError{Reason: ReasonNotReceived}}
	}
	return nil, part{end: &End{Problem: "the agent no longer holds the answer of this attempt"}}
}

// cancel stops an attempt, or refuses it from now on if its run message has not arrived yet.
func (s *Server) cancel(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.runs[k]; a != nil {
		a.cancel()
		a.release()
		return
	}
	s.memory.add(k, fateFenced, time.Now())
}

func (s *Server) release(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.runs[k]; a != nil {
		a.release()
	}
}

// session is one connection of a router.
type session struct {
	server *Server
	conn   *messenger.Conn
	ctx    context.Context
	beat   *heartbeat

	mu      sync.Mutex
	streams map[uint64]*attached
}

// attached is an answer that is sent over a connection.
type attached struct {
	answer *ResponseBuffer
	reader *reader
}

func (ses *session) dispatch(e *messenger.Envelope) error {
	clock := ses.server.opts.Clock
	switch e.Kind {
	case kindRun:
		var m runMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkID(m.ID); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		req := m.request(time.Now())
		a, no := ses.server.run(&req)
		ses.attach(e.Stream, a, no, &reader{attempt: m.Attempt, limit: m.Limit})
	case kindResume:
		var m resumeMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkID(m.ID); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		a, no := ses.server.resume(&m)
		r := &reader{attempt: m.Attempt, offset: m.Offset, limit: m.Limit, headSent: m.HasHead}
		ses.attach(e.Stream, a, no, r)
	case kindCancel, kindAck:
		var m attemptMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if err := checkID(m.ID); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		k := runKey{id: m.ID, attempt: m.Attempt}
		if e.Kind == kindAck {
			ses.server.release(k)
			return nil
		}
		ses.server.cancel(k)
		ses.drop(e.Stream)
	case kindMoved:
		var m movedMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		if h, ok := ses.server.handler.(MoveHandler); ok && len(m.Endpoint) <= maxNameBytes {
			h.Moved(m.Chat, m.Endpoint)
		}
	case kindCredit:
		var m creditMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		ses.mu.Lock()
		at := ses.streams[e.Stream]
		ses.mu.Unlock()
		if at != nil {
			at.answer.credit(at.reader, m)
		}
	}
	return nil
}

// attach sends an answer, or why there is none, on a goroutine of its own, so that a connection whose peer reads
// slowly still receives.
func (ses *session) attach(stream uint64, a *ResponseBuffer, no part, r *reader) {
	if a == nil {
		go func() { _ = ses.write(stream, r, &no, &dataMessage{}) }()
		return
	}
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if ses.streams[stream] != nil {
		return // a message that was received twice
	}
	r.wake = make(chan struct{}, 1)
	at := &attached{answer: a, reader: r}
	ses.streams[stream] = at
	ses.beat.begin()
	a.attach(r)
	go ses.pump(stream, at)
}

func (ses *session) drop(stream uint64) {
	ses.mu.Lock()
	at := ses.streams[stream]
	delete(ses.streams, stream)
	ses.mu.Unlock()
	if at != nil {
		ses.beat.end()
		at.answer.detach(at.reader)
		signal(at.reader.wake)
	}
}

func (ses *session) isAttached(stream uint64) bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.streams[stream] != nil
}

// pump sends the answer from the offset of its reader on, until it is complete or the connection ends.
func (ses *session) pump(stream uint64, at *attached) {
	defer ses.drop(stream)
	var data dataMessage
	for ses.isAttached(stream) {
		p, ok := at.answer.next(at.reader)
		if !ok {
			select {
			case <-at.reader.wake:
			case <-ses.ctx.Done():
				return
			}
			continue
		}
		if ses.write(stream, at.reader, &p, &data) != nil || p.refusal != nil || p.end != nil || p.lost {
			return
		}
	}
}

// write sends one part; data is memory for a message, which is used again for the next part.
func (ses *session) write(stream uint64, r *reader, p *part, data *dataMessage) error {
	clock := ses.server.opts.Clock
	switch {
	case p.refusal != nil:
		m := refusedMessage{
			Reason: p.refusal.Reason, RetryAfterMillis: p.refusal.RetryAfterMillis, Load: p.refusal.Load,
			HasPrefix: p.refusal.HasPrefix, HasRoom: p.refusal.HasRoom, MovedTo: p.refusal.MovedTo,
			Stamp: tick(clock), Generation: p.refusal.Generation,
		}
		return ses.conn.Send(ses.ctx, kindRefused, stream, &m)
	case p.head != nil:
		return ses.conn.Send(ses.ctx, kindHead, stream, &headMessage{Head: *p.head, Stamp: tick(clock)})
	case len(p.data) > 0:
		*data = dataMessage{Attempt: r.attempt, Offset: p.offset, Data: p.data}
		return ses.conn.Send(ses.ctx, kindData, stream, data)
	case p.lost:
		p.end = &End{Problem: "the agent no longer holds the answer from this offset"}
	}
	return ses.conn.Send(ses.ctx, kindEnd, stream, &endMessage{End: *p.end, Stamp: tick(clock)})
}
