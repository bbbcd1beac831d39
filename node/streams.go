package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/resumer"
)

const (
	// maxKnownStreams bounds the streams whose origin a node keeps: 2,000 a second for half a minute, after which those
	// that go on are renewed.
	maxKnownStreams = 65_536

	// resumeGrace is how long after the caller's deadline the origin of a stream is kept.
	resumeGrace = 2 * time.Second

	// streamRenewInterval is how often the node that forwards a stream reports that it goes on. Tables that are full drop
	// the streams that were reported longest ago.
	streamRenewInterval = 30 * time.Second

	// streamPublishDelay collects the streams of a control instance and its routers into one message.
	streamPublishDelay = 10 * time.Millisecond

	// streamSettleTime is how long after a query a stream counts as unknown at a control instance: callers of a node that
	// has just failed return within milliseconds, and its last streams may be on their way.
	streamSettleTime = 50 * time.Millisecond

	// maxPendingStreams bounds the streams of a router that wait to be reported; of more, all known streams are reported.
	maxPendingStreams = 4096

	// streamQueryTimeout bounds one query of a control instance, which answers from memory.
	streamQueryTimeout = 300 * time.Millisecond

	// streamPollInterval is how often a request checks for a subscription or, after a start, for a stream.
	streamPollInterval = 10 * time.Millisecond

	// versionsTTL is how long the known versions of endpoints may be relied on after a confirmation was requested. It is
	// shorter than an endpoint takes to start and to begin a stream.
	versionsTTL = 100 * time.Millisecond
)

// confirmationKey is the key of a query that asks for no stream: its answer follows all known endpoints.
const confirmationKey resumer.Key = 0

var (
	errUnknownStream = errors.New("no control instance knows the stream")
	errNoStreamQuery = errors.New("no control instance has answered for the stream")
	errNotConfirmed  = errors.New("no majority of the control instances has confirmed the versions of endpoints")
)

// streamQuerier is a subscription to a control instance.
type streamQuerier interface {
	QueryStream(ctx context.Context, number uint64, key resumer.Key) error
}

// streamAnswer is the answer of a control instance to a query.
type streamAnswer struct {
	origin resumer.Origin
	ok     bool
}

// streams is what this node knows of the origins of streams: a router knows those that began there, a control instance
// all of them.
type streams struct {
	isControl  bool
	started    time.Time
	publish    func([]resumer.Stream) // to the other control instances
	self       string                 // name of this node
	voters     func() []string        // names of the voting control instances, of a control instance
	unreported chan struct{}          // capacity 1: pending is not empty
	unsavedSet chan struct{}          // capacity 1: unsaved is not empty

	mu        sync.Mutex
	table     *resumer.Table
	pending   []resumer.Stream         // to be reported to the control instance, or published by it
	reportAll bool                     // more than maxPendingStreams of a router are to be reported
	unsaved   []resumer.Stream         // of a control instance, to be written to disk
	querier   streamQuerier            // nil without a subscription
	peers     map[string]streamQuerier // other control instances, of a control instance
	queries   map[uint64]chan streamAnswer
	lastQuery uint64

	// confirmedAt is when the last confirmation was requested that was given; confirming is closed at the end of the one
	// that is being requested, nil if none is.
	confirmedAt time.Time
	confirming  chan struct{}
}

func newStreams(isControl bool, started time.Time) *streams {
	return &streams{isControl: isControl, started: started, publish: func([]resumer.Stream) {},
		unreported: make(chan struct{}, 1), unsavedSet: make(chan struct{}, 1),
		table: resumer.New(started, maxKnownStreams), peers: map[string]streamQuerier{},
		queries: map[uint64]chan streamAnswer{}}
}

// record adds streams that began at this node or at a subscriber.
func (s *streams) record(list []resumer.Stream) {
	if added := s.add(list, true); added > 0 {
		notify(s.unreported)
	}
}

// merge adds streams that another control instance or the disk knows.
func (s *streams) merge(list []resumer.Stream) { s.add(list, false) }

func (s *streams) add(list []resumer.Stream, isNews bool) (added int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range list {
		if !s.table.Record(now, stream) {
			continue
		}
		added++
		if isNews {
			s.pending = append(s.pending, stream)
		}
		if s.isControl {
			s.unsaved = append(s.unsaved, stream)
		}
	}
	s.boundPending()
	if len(s.unsaved) > 0 {
		notify(s.unsavedSet)
	}
	return added
}

// boundPending replaces too many pending streams of a router by a report of all streams; the caller holds mu.
func (s *streams) boundPending() {
	if len(s.pending) > maxPendingStreams && !s.isControl {
		s.pending, s.reportAll = nil, true
	}
}

// all returns all known streams.
func (s *streams) all() []resumer.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All(time.Now())
}

// count returns the number of known streams.
func (s *streams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// expire removes streams that can't be resumed any more.
func (s *streams) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
}

func (s *streams) takePending() []resumer.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.pending
	if s.reportAll {
		list = s.table.All(time.Now())
	}
	s.pending, s.reportAll = nil, false
	return list
}

func (s *streams) takeUnsaved() []resumer.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.unsaved
	s.unsaved = nil
	return list
}

// publishPending sends the streams of a control instance and its routers to the other control instances until ctx ends.
func (s *streams) publishPending(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.unreported:
		}
		sleeper.Pause(ctx, streamPublishDelay)
		if list := s.takePending(); len(list) > 0 {
			s.publish(list)
		}
	}
}

// report sends the streams of a router to its control instance, and answers queries by it, until ctx ends or the
// connection fails. It begins with all streams, because the control instance may be another one.
func (s *streams) report(ctx context.Context, sub *exchanger.Subscription) {
	s.mu.Lock()
	s.pending, s.reportAll, s.querier = nil, false, sub
	list := s.table.All(time.Now())
	s.mu.Unlock()
	defer s.removeQuerier(sub)
	if sub.ReportStreams(ctx, list) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.unreported:
		}
		if list := s.takePending(); len(list) > 0 && sub.ReportStreams(ctx, list) != nil {
			s.requeue(list) // the next subscription may have begun already
			return
		}
	}
}

// requeue puts streams back that were not reported.
func (s *streams) requeue(list []resumer.Stream) {
	s.mu.Lock()
	s.pending = append(list, s.pending...)
	s.boundPending()
	s.mu.Unlock()
	notify(s.unreported)
}

// removeQuerier ends queries by a subscription unless another one has begun.
func (s *streams) removeQuerier(q streamQuerier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.querier == q {
		s.querier = nil
	}
}

// addPeer and removePeer begin and end queries of another control instance.
func (s *streams) addPeer(name string, q streamQuerier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[name] = q
}

func (s *streams) removePeer(name string, q streamQuerier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[name] == q {
		delete(s.peers, name)
	}
}

// confirm returns nil once this node knows the endpoints that a majority of the control instances knew at most
// versionsTTL ago, and errNotConfirmed if it can't know them. A process that stood still or was cut off does not notice
// that by itself, so that only an answer to a question asked since then counts.
func (s *streams) confirm(ctx context.Context) error {
	until := time.Now().Add(streamQueryTimeout)
	if first := s.started.Add(firstPlanTimeout); until.Before(first) {
		until = first
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		s.mu.Lock()
		if !s.confirmedAt.IsZero() && time.Since(s.confirmedAt) <= versionsTTL {
			s.mu.Unlock()
			return nil
		}
		other := s.confirming
		done := make(chan struct{})
		if other == nil {
			s.confirming = done
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			s.endConfirmation(other == nil, done, time.Time{})
			return errNotConfirmed
		}
		if other != nil {
			select {
			case <-other:
			case <-ctx.Done():
			}
			continue
		}
		requestedAt := time.Now()
		isConfirmed := s.requestConfirmation(ctx)
		if !isConfirmed {
			requestedAt = time.Time{}
		}
		s.endConfirmation(true, done, requestedAt)
		if !isConfirmed {
			sleeper.Pause(ctx, streamPollInterval)
		}
	}
}

// endConfirmation ends the confirmation that the caller of confirm has requested; requestedAt is zero if it was not
// given.
func (s *streams) endConfirmation(isOwn bool, done chan struct{}, requestedAt time.Time) {
	if !isOwn {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirming = nil
	if requestedAt.After(s.confirmedAt) {
		s.confirmedAt = requestedAt
	}
	close(done)
}

// requestConfirmation asks the control instance of a router, or a majority of the control instances.
func (s *streams) requestConfirmation(ctx context.Context) bool {
	if !s.isControl {
		s.mu.Lock()
		q := s.querier
		s.mu.Unlock()
		_, answered := s.query(ctx, q, confirmationKey)
		return answered
	}
	voters := s.voters()
	missing := len(voters)/2 + 1
	if slices.Contains(voters, s.self) {
		missing--
	}
	s.mu.Lock()
	var peers []streamQuerier
	for name, q := range s.peers {
		if slices.Contains(voters, name) {
			peers = append(peers, q)
		}
	}
	s.mu.Unlock()
	if len(voters) == 0 || len(peers) < missing {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, q := range peers {
		go func() {
			_, answered := s.query(ctx, q, confirmationKey)
			answers <- answered
		}()
	}
	for range peers {
		if missing <= 0 {
			break
		}
		if <-answers {
			missing--
		}
	}
	return missing <= 0
}

// lookup returns the origin of a stream that this node knows.
func (s *streams) lookup(key resumer.Key) (o resumer.Origin, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Origin(time.Now(), key)
}

// The sources of the origin of a stream, for logs.
const (
	streamKnownHere    = "here"
	streamKnownControl = "control"
)

// origin returns where a stream began and who knows it, or errUnknownStream or errNoStreamQuery. A node that has just
// started waits until the control instances have told it.
func (s *streams) origin(ctx context.Context, key resumer.Key) (o resumer.Origin, source string, err error) {
	until := time.Now().Add(streamQueryTimeout)
	if s.isControl {
		until = time.Now().Add(streamSettleTime)
	}
	if first := s.started.Add(firstPlanTimeout); until.Before(first) {
		until = first
	}
	for {
		if o, ok := s.lookup(key); ok {
			return o, streamKnownHere, nil
		}
		isLate := ctx.Err() != nil || !time.Now().Before(until)
		if s.isControl && isLate {
			return o, "", errUnknownStream
		}
		if !s.isControl {
			s.mu.Lock()
			q := s.querier
			s.mu.Unlock()
			answer, answered := s.query(ctx, q, key)
			switch {
			case answered && answer.ok:
				return answer.origin, streamKnownControl, nil
			case answered:
				return o, "", errUnknownStream
			}
		}
		if isLate {
			return o, "", errNoStreamQuery
		}
		sleeper.Pause(ctx, streamPollInterval)
	}
}

// query asks a control instance for the origin of a stream; q is nil without a subscription.
func (s *streams) query(ctx context.Context, q streamQuerier, key resumer.Key) (a streamAnswer, answered bool) {
	if q == nil {
		return a, false
	}
	s.mu.Lock()
	s.lastQuery++
	number, answer := s.lastQuery, make(chan streamAnswer, 1)
	s.queries[number] = answer
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.queries, number)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	if q.QueryStream(ctx, number, key) != nil {
		return a, false
	}
	select {
	case a = <-answer:
		return a, true
	case <-ctx.Done():
		return a, false
	}
}

// answerReceived passes the answer of the control instance to the query.
func (s *streams) answerReceived(number uint64, a streamAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer := s.queries[number]; answer != nil {
		answer <- a
		delete(s.queries, number)
	}
}
