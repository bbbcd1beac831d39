package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/assembler"
	"cactusroute.dev/core/detector"
)

// errGap means that a connection lost bytes or exceeded the flow-control window. TCP does not lose bytes, so the
// connection is replaced and the response is resumed from its offset.
var errGap = errors.New("response bytes are missing or exceed the flow-control window")

// maxConsecutiveGaps limits how often a connection is replaced because of errGap without progress in between.
const maxConsecutiveGaps = 3

// maxCombinedBytes is the size up to which pending data is combined.
const maxCombinedBytes = 4 << 10

// Stream is the router's side of one response.
type Stream struct {
	Head Head
	// End is set when Next has returned io.EOF or an *IncompleteError.
	End End

	client      *Client
	addr        string
	req         *Request
	id          uint64 // unique within the client, so that frames of one stream are never taken as those of another
	sentAt      time.Time
	timer       *time.Timer // fires at the deadline
	wake        chan struct{}
	hasActivity atomic.Bool // something was received on the current connection

	mu        sync.Mutex
	conn      *agentConn
	instance  string
	peer      detector.Peer
	assembler *assembler.Assembler
	data      dataMessage // reused for each data message
	pending   [][]byte    // data that Next has not returned yet
	consumed  int64       // number of bytes that Next has returned
	limit     int64       // offset up to which the agent may send
	head      *Head
	end       *End
	refusal   *RefusalError
	finalErr  error
	gapCount  int
	gapOffset int64
}

func newStream(c *Client, addr string, req *Request) *Stream {
	n := c.lastStreamID.Add(1)
	return &Stream{
		client: c, addr: addr, req: req, id: n, wake: make(chan struct{}, 1), limit: windowBytes,
		assembler: assembler.New(assembler.Key{Request: n, Attempt: req.Attempt}),
		timer:     time.NewTimer(time.Until(req.Deadline)),
	}
}

// sendRun sends the run message; the channel receives the result of the write.
func (s *Stream) sendRun(ctx context.Context) (sent chan error, err error) {
	for range 2 { // retries if the connection was closed before the stream was attached
		conn, err := s.client.connect(ctx, s.addr, time.Time{})
		if err != nil {
			return nil, err
		}
		if err = s.attachTo(conn); err != nil {
			continue
		}
		s.instance, s.sentAt = conn.instance, time.Now()
		m := s.req.message(s.sentAt)
		m.Limit, m.Timestamp = windowBytes, newTimestamp(s.client.opts.Clock)
		sent = make(chan error, 1)
		go func() { sent <- conn.transport.Send(s.client.ctx, kindRun, s.id, &m) }()
		return sent, nil
	}
	return nil, fmt.Errorf("connection to %s closed before the request was sent", s.addr)
}

func (s *Stream) attachTo(conn *agentConn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := conn.attach(s); err != nil {
		return err
	}
	if s.conn != nil {
		s.conn.detach(s)
	}
	s.conn = conn
	s.hasActivity.Store(false)
	return nil
}

func (s *Stream) waitHead(ctx context.Context, sent chan error) error {
	for {
		s.mu.Lock()
		head, end, refusal, conn := s.head, s.end, s.refusal, s.conn
		s.mu.Unlock()
		switch {
		case head != nil: // Next returns what followed it, also a refusal: the request may have run
			s.Head = *head
			return nil
		case refusal != nil:
			return refusal
		case end != nil:
			return &IncompleteError{End: *end}
		}
		select {
		case <-s.wake:
		case err := <-sent:
			sent = nil
			if size := (*messenger.SizeError)(nil); errors.As(err, &size) {
				return &AgentLostError{Address: s.addr, Sent: false, Cause: err}
			}
			if err != nil {
				conn.fail(err)
			}
		case <-conn.closed:
			if err := s.reconnect(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return &AgentLostError{Address: s.addr, Sent: true, Cause: context.Cause(ctx)}
		}
	}
}

// handleMessage handles a message that was received on conn; an error closes the connection.
func (s *Stream) handleMessage(conn *agentConn, e *messenger.Envelope) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn || s.end != nil || s.refusal != nil {
		return nil
	}
	s.hasActivity.Store(true)
	clock := s.client.opts.Clock
	switch e.Kind {
	case kindHead:
		var m headMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		s.head = &m.Head
	case kindData:
		if err := s.handleData(e); err != nil {
			return err
		}
	case kindEnd:
		var m endMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		key := assembler.Key{Request: e.Stream, Attempt: s.req.Attempt}
		result := s.assembler.Finish(key, m.End.Bytes)
		if result == assembler.Gap || result != assembler.Accepted && m.End.Outcome == OutcomeRan {
			return errGap
		}
		s.end = &m.End
		conn.detach(s)
		conn.send(kindAck, s.id, &attemptMessage{ID: s.req.ID, Attempt: s.req.Attempt})
	case kindRefused:
		var m refusedMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		mergeTimestamp(clock, m.Timestamp)
		s.refusal = &RefusalError{
			Reason: m.Reason, RetryAfterMillis: m.RetryAfterMillis, Load: m.Load, Generation: m.Generation,
			HasPrefix: m.HasPrefix, HasRoom: m.HasRoom, MovedTo: m.MovedTo,
		}
		conn.detach(s)
	}
	signal(s.wake)
	return nil
}

func (s *Stream) handleData(e *messenger.Envelope) error {
	m := &s.data
	*m = dataMessage{}
	if err := e.Decode(m); err != nil {
		return err
	}
	if m.Offset+int64(len(m.Data)) > s.limit {
		return errGap
	}
	p, result := s.assembler.Accept(assembler.Frame{
		Key: assembler.Key{Request: e.Stream, Attempt: m.Attempt}, Offset: m.Offset, Data: m.Data,
	})
	if result == assembler.Gap || result == assembler.Overrun {
		return errGap
	}
	if result != assembler.Accepted {
		return nil
	}
	// Decoding has allocated p, so it need not be copied. Small chunks are combined, so that a caller that is slower
	// than the engine gets many tokens in one write.
	if last := len(s.pending) - 1; last >= 0 && len(s.pending[last])+len(p) <= maxCombinedBytes {
		s.pending[last] = append(s.pending[last], p...)
	} else {
		s.pending = append(s.pending, p)
	}
	return nil
}

// reconnect resumes the response over a new connection, or returns an *AgentLostError.
func (s *Stream) reconnect(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.req.Deadline)
	defer cancel()
	s.mu.Lock()
	if s.hasActivity.Load() {
		s.peer.RecordActivity()
	}
	action, old, offset := s.peer.RecordFailure(), s.conn, s.assembler.Offset()
	cause := old.cause()
	if errors.Is(cause, errGap) {
		if offset != s.gapOffset {
			s.gapCount, s.gapOffset = 0, offset
		}
		s.gapCount++
	}
	gaps := s.gapCount
	s.mu.Unlock()
	if action == detector.GiveUp || gaps > maxConsecutiveGaps {
		s.client.counters.lost.Add(1)
		return &AgentLostError{Address: s.addr, Sent: true, Cause: cause}
	}
	conn, err := s.client.connect(ctx, s.addr, old.heartbeat.lastActivity())
	if err == nil && conn.instance != s.instance {
		err = errAgentRestarted
	}
	if err == nil {
		err = s.attachTo(conn)
	}
	if err != nil {
		s.client.counters.lost.Add(1)
		return &AgentLostError{Address: s.addr, Sent: true, Cause: err}
	}
	s.client.counters.resumed.Add(1)
	s.mu.Lock()
	m := resumeMessage{
		ID: s.req.ID, Attempt: s.req.Attempt, Offset: s.assembler.Offset(), Limit: s.limit,
		AgeMillis: time.Since(s.sentAt).Milliseconds(), HasHead: s.head != nil,
		Timestamp: newTimestamp(s.client.opts.Clock),
	}
	s.mu.Unlock()
	conn.send(kindResume, s.id, &m)
	return nil
}

// Next returns the next bytes of the response, which the caller may keep. The error is io.EOF when the response is
// complete, an *IncompleteError if the agent ended it early, an *AgentLostError if the agent is lost, or that of ctx.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		p, conn, err := s.nextPending()
		if len(p) > 0 || err != nil {
			return p, err
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-s.timer.C:
			return nil, s.fail(context.DeadlineExceeded)
		case <-conn.closed:
			if err := s.reconnect(ctx); err != nil {
				if ctx.Err() != nil {
					return nil, context.Cause(ctx)
				}
				return nil, s.fail(err)
			}
		}
	}
}

func (s *Stream) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finalErr = err
	return err
}

// nextPending returns pending data, and extends the window of the agent when half of it was consumed.
func (s *Stream) nextPending() ([]byte, *agentConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		p := s.pending[0]
		s.pending = slices.Delete(s.pending, 0, 1)
		s.consumed += int64(len(p))
		if s.end == nil && s.limit-s.consumed <= windowBytes/2 {
			s.limit = s.consumed + windowBytes
			s.conn.send(kindCredit, s.id, &creditMessage{Consumed: s.consumed, Limit: s.limit})
		}
		return p, s.conn, nil
	}
	switch {
	case s.finalErr != nil:
	case s.refusal != nil:
		// The request may have run, because its head was received before the agent refused to resume it.
		s.finalErr = &IncompleteError{End: End{Problem: s.refusal.Error(), Load: s.refusal.Load}}
	case s.end != nil:
		s.End = *s.end
		s.finalErr = &IncompleteError{End: s.End}
		if s.End.Outcome == OutcomeRan && s.assembler.IsComplete() {
			s.finalErr = io.EOF
		}
		s.timer.Stop()
	}
	return nil, s.conn, s.finalErr
}

// Cancel sends a cancel message to the agent and closes the stream. If the agent has not received the run message, it
// refuses it from then on.
func (s *Stream) Cancel() {
	s.mu.Lock()
	conn, isOpen := s.conn, s.end == nil && s.refusal == nil
	s.mu.Unlock()
	if isOpen && conn != nil {
		if conn.isClosed() {
			s.client.mu.Lock()
			conn = s.client.conns[s.addr]
			s.client.mu.Unlock()
		}
		if conn != nil {
			m := attemptMessage{ID: s.req.ID, Attempt: s.req.Attempt, Timestamp: newTimestamp(s.client.opts.Clock)}
			conn.send(kindCancel, s.id, &m)
		}
	}
	s.close()
}

func (s *Stream) close() {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assembler.Close()
	s.pending = nil
	if s.finalErr == nil {
		s.finalErr = context.Canceled
	}
	if s.conn != nil {
		s.conn.detach(s)
	}
}
