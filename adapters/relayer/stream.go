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

// errGap says that a connection lost or exceeded what it was to carry. TCP does not do that, so the connection is
// replaced and the answer continues from its offset.
var errGap = errors.New("connection lost bytes of an answer")

// maxGaps bounds the replacements of connections that lose bytes without progress in between.
const maxGaps = 3

// combineBytes bounds the size up to which what a caller has not taken is combined.
const combineBytes = 4 << 10

// Stream is an answer as a router receives it.
type Stream struct {
	Head Head
	// End is set when Next has returned io.EOF or a *IncompleteError.
	End End

	client *Client
	addr   string
	req    *Request
	number uint64 // unique within the client, so that frames of one stream never count for another
	sentAt time.Time
	timer  *time.Timer // fires at the deadline
	wake   chan struct{}
	heard  atomic.Bool // the current connection has carried something

	mu       sync.Mutex
	link     *link
	instance string
	peer     detector.Peer
	parts    *assembler.Assembler
	data     dataMessage // memory for the message that is being delivered
	pending  [][]byte    // what Next has not returned
	taken    int64       // bytes that Next has returned
	limit    int64       // offset up to which the agent may send
	head     *Head
	end      *End
	refusal  *RefusalError
	final    error
	gaps     int
	gapAt    int64
}

func newStream(c *Client, addr string, req *Request) *Stream {
	n := c.number.Add(1)
	return &Stream{
		client: c, addr: addr, req: req, number: n, wake: make(chan struct{}, 1), limit: windowBytes,
		parts: assembler.New(assembler.Key{Request: n, Attempt: req.Attempt}),
		timer: time.NewTimer(time.Until(req.Deadline)),
	}
}

// run sends the run message; the channel receives the error of its write.
func (s *Stream) run(ctx context.Context) (sent chan error, err error) {
	for range 2 { // the second time if the connection was closed between its choice and its use
		l, err := s.client.connected(ctx, s.addr, time.Time{})
		if err != nil {
			return nil, err
		}
		if err = s.use(l); err != nil {
			continue
		}
		s.instance, s.sentAt = l.instance, time.Now()
		m := s.req.message(s.sentAt)
		m.Limit, m.Stamp = windowBytes, tick(s.client.opts.Clock)
		sent = make(chan error, 1)
		go func() { sent <- l.conn.Send(s.client.ctx, kindRun, s.number, &m) }()
		return sent, nil
	}
	return nil, fmt.Errorf("connection to %s closed before its use", s.addr)
}

func (s *Stream) use(l *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := l.attach(s); err != nil {
		return err
	}
	if s.link != nil {
		s.link.detach(s)
	}
	s.link = l
	s.heard.Store(false)
	return nil
}

func (s *Stream) waitHead(ctx context.Context, sent chan error) error {
	for {
		s.mu.Lock()
		head, end, refusal, l := s.head, s.end, s.refusal, s.link
		s.mu.Unlock()
		switch {
		case refusal != nil:
			return refusal
		case head != nil:
			s.Head = *head
			return nil
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
				l.fail(err)
			}
		case <-l.broken:
			if err := s.reconnect(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return &AgentLostError{Address: s.addr, Sent: true, Cause: context.Cause(ctx)}
		}
	}
}

// deliver takes a message from a connection; an error ends the connection.
func (s *Stream) deliver(l *link, e *messenger.Envelope) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != l || s.end != nil || s.refusal != nil {
		return nil
	}
	s.heard.Store(true)
	clock := s.client.opts.Clock
	switch e.Kind {
	case kindHead:
		var m headMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		s.head = &m.Head
	case kindData:
		if err := s.deliverData(e); err != nil {
			return err
		}
	case kindEnd:
		var m endMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		key := assembler.Key{Request: e.Stream, Attempt: s.req.Attempt}
		v := s.parts.Finish(key, m.End.Bytes)
		if v == assembler.Gap || v != assembler.Accepted && m.End.Outcome == OutcomeRan {
			return errGap
		}
		s.end = &m.End
		l.detach(s)
		l.send(kindAck, s.number, &attemptMessage{ID: s.req.ID, Attempt: s.req.Attempt})
	case kindRefused:
		var m refusedMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		merge(clock, m.Stamp)
		s.refusal = &RefusalError{
			Reason: m.Reason, RetryAfterMillis: m.RetryAfterMillis, Load: m.Load, Generation: m.Generation,
			HasPrefix: m.HasPrefix, HasRoom: m.HasRoom, MovedTo: m.MovedTo,
		}
		l.detach(s)
	}
	signal(s.wake)
	return nil
}

func (s *Stream) deliverData(e *messenger.Envelope) error {
	m := &s.data
	*m = dataMessage{}
	if err := e.Decode(m); err != nil {
		return err
	}
	if m.Offset+int64(len(m.Data)) > s.limit {
		return errGap
	}
	p, v := s.parts.Accept(assembler.Frame{
		Key: assembler.Key{Request: e.Stream, Attempt: m.Attempt}, Offset: m.Offset, Data: m.Data,
	})
	if v == assembler.Gap || v == assembler.Overrun {
		return errGap
	}
	if v != assembler.Accepted {
		return nil
	}
	// Decoding has allocated p, so it can be handed on. Small ones are combined, so that a caller that is slower
	// than the engine gets many tokens with one write.
	if last := len(s.pending) - 1; last >= 0 && len(s.pending[last])+len(p) <= combineBytes {
		s.pending[last] = append(s.pending[last], p...)
	} else {
		s.pending = append(s.pending, p)
	}
	return nil
}

// reconnect continues the answer over a new connection, or returns why the agent is lost.
func (s *Stream) reconnect(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.req.Deadline)
	defer cancel()
	s.mu.Lock()
	if s.heard.Load() {
		s.peer.RecordActivity()
	}
	action, old, offset := s.peer.RecordFailure(), s.link, s.parts.Offset()
	cause := old.cause()
	if errors.Is(cause, errGap) {
		if offset != s.gapAt {
			s.gaps, s.gapAt = 0, offset
		}
		s.gaps++
	}
	gaps := s.gaps
	s.mu.Unlock()
	if action == detector.GiveUp || gaps > maxGaps {
		s.client.counters.lost.Add(1)
		return &AgentLostError{Address: s.addr, Sent: true, Cause: cause}
	}
	l, err := s.client.connected(ctx, s.addr, old.beat.lastHeard())
	if err == nil && l.instance != s.instance {
		err = errRestarted
	}
	if err == nil {
		err = s.use(l)
	}
	if err != nil {
		s.client.counters.lost.Add(1)
		return &AgentLostError{Address: s.addr, Sent: true, Cause: err}
	}
	s.client.counters.resumed.Add(1)
	s.mu.Lock()
	m := resumeMessage{
		ID: s.req.ID, Attempt: s.req.Attempt, Offset: s.parts.Offset(), Limit: s.limit,
		AgeMillis: time.Since(s.sentAt).Milliseconds(), HasHead: s.head != nil, Stamp: tick(s.client.opts.Clock),
	}
	s.mu.Unlock()
	l.send(kindResume, s.number, &m)
	return nil
}

// Next returns the next bytes of the answer, which the caller may keep, io.EOF when it is whole, a *IncompleteError if
// the agent ended it early, a *AgentLostError if the agent is lost, or the error of the context.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		p, l, err := s.take()
		if len(p) > 0 || err != nil {
			return p, err
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-s.timer.C:
			return nil, s.finish(context.DeadlineExceeded)
		case <-l.broken:
			if err := s.reconnect(ctx); err != nil {
				if ctx.Err() != nil {
					return nil, context.Cause(ctx)
				}
				return nil, s.finish(err)
			}
		}
	}
}

func (s *Stream) finish(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final = err
	return err
}

// take returns what has arrived, and allows the agent to send more when half of the window was taken.
func (s *Stream) take() ([]byte, *link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		p := s.pending[0]
		s.pending = slices.Delete(s.pending, 0, 1)
		s.taken += int64(len(p))
		if s.end == nil && s.limit-s.taken <= windowBytes/2 {
			s.limit = s.taken + windowBytes
			s.link.send(kindCredit, s.number, &creditMessage{Taken: s.taken, Limit: s.limit})
		}
		return p, s.link, nil
	}
	switch {
	case s.final != nil:
	case s.refusal != nil:
		// The agent held the attempt before, so it has run; what is missing can't be told apart from what is lost.
		s.final = &IncompleteError{End: End{Problem: s.refusal.Error(), Load: s.refusal.Load}}
	case s.end != nil:
		s.End = *s.end
		s.final = &IncompleteError{End: s.End}
		if s.End.Outcome == OutcomeRan && s.parts.IsComplete() {
			s.final = io.EOF
		}
		s.timer.Stop()
	}
	return nil, s.link, s.final
}

// Cancel tells the agent to stop the run, and releases the stream. If the run message has not arrived, the agent
// refuses it from then on.
func (s *Stream) Cancel() {
	s.mu.Lock()
	l, isOpen := s.link, s.end == nil && s.refusal == nil
	s.mu.Unlock()
	if isOpen && l != nil {
		if l.isBroken() {
			s.client.mu.Lock()
			l = s.client.links[s.addr]
			s.client.mu.Unlock()
		}
		if l != nil {
			m := attemptMessage{ID: s.req.ID, Attempt: s.req.Attempt, Stamp: tick(s.client.opts.Clock)}
			l.send(kindCancel, s.number, &m)
		}
	}
	s.close()
}

func (s *Stream) close() {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.Close()
	s.pending = nil
	if s.final == nil {
		s.final = context.Canceled
	}
	if s.link != nil {
		s.link.detach(s)
	}
}
