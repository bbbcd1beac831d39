package exchanger

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
)

// Source provides the state that a control instance sends to its subscribers, and handles what they report. Its methods
// are safe for concurrent use.
type Source interface {
	State() fleetapplier.State
	Endpoints() []registrar.Endpoint
	Heartbeat() Heartbeat
	// SubscriberConnected and SubscriberDisconnected report the start and the end of a subscription.
	SubscriberConnected(Contact)
	SubscriberDisconnected(Contact)
	// EndpointsReceived handles the endpoint records that a subscriber knows.
	EndpointsReceived([]registrar.Endpoint)
	// EndpointsRejected reports that n invalid records of a subscriber were dropped; err is the reason for the first one.
	EndpointsRejected(from Contact, n int, err error)
	// SuspectsReceived handles the suspects that a subscriber reports.
	SuspectsReceived([]Suspect)
	// EvidenceReceived handles the evidence that a subscriber reports.
	EvidenceReceived(from Contact, e Evidence)
	// LoadsReceived handles the requests in flight of a subscriber.
	LoadsReceived(from Contact, loads Loads)
	// Loads returns the requests in flight that a subscriber is sent: those of this instance and its subscribers to
	// another control instance, those of all routers to a router.
	Loads(to Contact) Loads
	// SumsReceived and Sums are LoadsReceived and Loads for named sums; nil sums are not sent.
	SumsReceived(from Contact, sums Sums)
	Sums(to Contact) Sums
	// SumsDropped reports that n keys were left out of the sums sent in one message; at most one call in
	// dropReportInterval for each connection.
	SumsDropped(n int)
	// AcceptsRouters reports whether routers may subscribe. An instance without a quorum and without a state has nothing
	// to send them, while other instances may.
	AcceptsRouters() bool
	// Outcomes returns the table of what this instance and its routers have counted of rollouts.
	Outcomes() *OutcomeTable
	// AllSuspects returns the suspects to send to a new subscriber.
	AllSuspects() []Suspect
	// AllEvidence returns the evidence to send to a new subscriber.
	AllEvidence() Evidence
	// StreamsReceived handles the streams that began at a subscriber.
	StreamsReceived([]resumer.Stream)
	// AllStreams returns the streams to send to another control instance that has just subscribed.
	AllStreams() []resumer.Stream
	// StreamOrigin returns where a stream began, for a subscriber; ok is false if that is not known. It returns an error
	// if this instance can't be sure that it knows what the others know.
	StreamOrigin(ctx context.Context, from Contact, key resumer.Key) (o resumer.Origin, ok bool, err error)
}

// Server sends the state of a control instance to its subscribers.
type Server struct {
	opts       messenger.Options
	source     Source
	compressor planCompressor
	lists      listPacker

	mu          sync.Mutex
	subscribers map[*subscriber]bool
}

type subscriber struct {
	conn    *messenger.Conn
	contact Contact
	updated chan struct{} // capacity 1: there may be unsent changes

	mu       sync.Mutex
	pending  map[string]registrar.Endpoint // newest unsent record by endpoint ID
	isUrgent bool                          // pending has a departure
	pauseEnd time.Time                     // before which only urgent records are sent
	suspects []Suspect                     // unsent
	evidence Evidence                      // unsent
	resync   bool                          // all evidence is to be sent
	streams  []resumer.Stream              // unsent, for a control instance
	answers  []streamAnswer                // unsent
	// resyncStreams is set if all streams are to be sent.
	resyncStreams bool
	index         uint64 // of the last state sent
	version       uint64 // of the last plan sent
	lastPing      receivedPing
	acksStates    bool
	unackedIndex  uint64 // of the state that is on its way to a subscriber that acknowledges states; 0 if none is
}

// mayGetState reports whether a state may be sent. While one is on its way, later ones would wait behind it in the
// buffers of the connection; the subscriber gets the newest one once it has acknowledged.
func (sub *subscriber) mayGetState() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.unackedIndex == 0
}

func (sub *subscriber) recordStateSent(index uint64) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.acksStates {
		sub.unackedIndex = index
	}
}

func (sub *subscriber) recordStateAck(index uint64) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if index >= sub.unackedIndex {
		sub.unackedIndex = 0
	}
}

// encodeHeartbeat encodes a heartbeat with the confirmation relative to the subscriber's last ping.
func (sub *subscriber) encodeHeartbeat(e *heartbeatEncoder, h Heartbeat) heartbeatMessage {
	sub.mu.Lock()
	last := sub.lastPing
	sub.mu.Unlock()
	return e.encode(h, last)
}

// NewServer returns a server without subscribers.
func NewServer(opts messenger.Options, source Source) *Server {
	opts.MaxMessageBytes = maxMessageBytes
	opts.WriteTimeout = lostTimeout
	return &Server{opts: opts, source: source, subscribers: map[*subscriber]bool{}}
}

// ServeHTTP serves one subscriber until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := messenger.Accept(w, r, s.opts)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e, err := conn.ReceiveWithTimeout(ctx, lostTimeout)
	if err != nil || e.Kind != kindHello {
		return
	}
	var h helloMessage
	if e.Decode(&h) != nil || !h.Contact.Eligible && !s.source.AcceptsRouters() {
		return
	}
	sub := &subscriber{conn: conn, contact: h.Contact, updated: make(chan struct{}, 1), index: h.Index, version: h.Version,
		pending: map[string]registrar.Endpoint{}, lastPing: receivedPing{at: time.Now()}, acksStates: h.AcksStates}
	s.mu.Lock()
	s.subscribers[sub] = true
	s.mu.Unlock()
	s.source.SubscriberConnected(h.Contact)
	defer func() {
		s.mu.Lock()
		delete(s.subscribers, sub)
		s.mu.Unlock()
		s.source.SubscriberDisconnected(h.Contact)
	}()
	go func() {
		defer cancel()
		s.receive(ctx, sub)
	}()
	_ = s.sendUpdates(ctx, sub, &h)
}

// receive passes the subscriber's messages to the source until the connection ends or the subscriber is silent for
// lostTimeout.
func (s *Server) receive(ctx context.Context, sub *subscriber) {
	var dec loadDecoder
	var sumDec sumDecoder
	queries := make(chan struct{}, maxStreamQueries)
	for {
		e, err := sub.conn.ReceiveWithTimeout(ctx, lostTimeout)
		if err != nil {
			return
		}
		switch e.Kind {
		case kindPing:
			sub.mu.Lock()
			sub.lastPing = receivedPing{number: e.Stream, at: time.Now()}
			sub.mu.Unlock()
		case kindStateAck:
			sub.recordStateAck(e.Stream)
			sub.notify()
		case kindSuspects:
			var list []Suspect
			if e.Decode(&list) != nil {
				return
			}
			s.source.SuspectsReceived(list)
		case kindEvidence:
			var m evidenceMessage
			if e.Decode(&m) != nil {
				return
			}
			evidence, err := decodeEvidence(time.Now(), &m)
			if err != nil {
				return
			}
			s.source.EvidenceReceived(sub.contact, evidence)
		case kindEndpoints:
			if s.receiveEndpoints(sub, &e) != nil {
				return
			}
		case kindLoads:
			var m loadsMessage
			if e.Decode(&m) != nil {
				return
			}
			loads, err := dec.decode(time.Now(), &m)
			if err != nil {
				return
			}
			s.source.LoadsReceived(sub.contact, loads)
		case kindSums:
			sums, err := sumDec.decodeEnvelope(&e)
			if err != nil {
				return
			}
			s.source.SumsReceived(sub.contact, sums)
		case kindOutcomes:
			if s.source.Outcomes().receive(&e, sub.contact.Name, false) != nil {
				return
			}
		case kindStreams:
			var m streamsMessage
			if e.Decode(&m) != nil {
				return
			}
			list, err := decodeStreams(time.Now(), &m)
			if err != nil {
				return
			}
			s.source.StreamsReceived(list)
		case kindStreamQuery:
			var m streamQueryMessage
			if e.Decode(&m) != nil {
				return
			}
			select {
			case queries <- struct{}{}:
				go func(number uint64) {
					s.answerStreamQuery(ctx, sub, number, resumer.Key(m.Key))
					<-queries
				}(e.Stream)
			default: // the subscriber takes a missing answer for an unknown stream
			}
		}
	}
}

func (s *Server) receiveEndpoints(sub *subscriber, e *messenger.Envelope) error {
	var m receivedEndpointsMessage
	if err := e.Decode(&m); err != nil {
		return err
	}
	list, rejected, err := decodeEndpoints(time.Now(), m.Records)
	if rejected > 0 {
		s.source.EndpointsRejected(sub.contact, rejected, err)
	}
	s.source.EndpointsReceived(list)
	return nil
}

// answerStreamQuery sends the answer after all endpoints that this instance knows by then: the subscriber chooses the
// endpoint for the stream by their versions. Without an answer the subscriber takes the origin for not known.
func (s *Server) answerStreamQuery(ctx context.Context, sub *subscriber, number uint64, key resumer.Key) {
	o, ok, err := s.source.StreamOrigin(ctx, sub.contact, key)
	if err != nil {
		return
	}
	a := streamAnswer{number, streamAnswerMessage{Known: ok, Service: o.Service, Version: o.Version}}
	sub.mu.Lock()
	if len(sub.answers) < maxStreamQueries {
		sub.answers = append(sub.answers, a)
	}
	sub.mu.Unlock()
	sub.notify()
}

// notify wakes the sender of updates.
func (sub *subscriber) notify() {
	select {
	case sub.updated <- struct{}{}:
	default:
	}
}

// sendUpdates sends the full state and then the changes. Changes are coalesced, so that a slow subscriber gets only the
// newest state.
func (s *Server) sendUpdates(ctx context.Context, sub *subscriber, h *helloMessage) error {
	// Sent before the endpoints, because rates to cold endpoints are divided by the number of routers.
	var heartbeats heartbeatEncoder
	if err := sub.conn.Send(ctx, kindHeartbeat, 0, sub.encodeHeartbeat(&heartbeats, s.source.Heartbeat())); err != nil {
		return err
	}
	list, err := s.newList(time.Now(), sub, h)
	if err != nil {
		return err
	}
	if err := sub.conn.Send(ctx, kindEndpoints, 0, list); err != nil {
		return err
	}
	sub.addSuspects(s.source.AllSuspects())
	sub.addEvidence(s.source.AllEvidence())
	sub.mu.Lock()
	sub.resyncStreams = sub.contact.Eligible
	sub.mu.Unlock()
	heartbeatTicker := time.NewTicker(heartbeatInterval)
	defer heartbeatTicker.Stop()
	loadTicker := time.NewTicker(loadInterval)
	defer loadTicker.Stop()
	var sender loadSender
	var sums sumSender
	var outcomes outcomeSender
	if err := s.sendPending(ctx, sub); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.updated:
			err = s.sendPending(ctx, sub)
		case <-heartbeatTicker.C:
			err = sub.conn.Send(ctx, kindHeartbeat, 0, sub.encodeHeartbeat(&heartbeats, s.source.Heartbeat()))
		case <-loadTicker.C:
			if err = s.sendOutcomes(ctx, sub, &outcomes); err == nil {
				err = s.sendLoads(ctx, sub, &sender)
			}
			if err == nil {
				err = s.sendSums(ctx, sub, &sums)
			}
		}
		if err != nil {
			return err
		}
	}
}

// sendLoads sends the loads if they are due.
func (s *Server) sendLoads(ctx context.Context, sub *subscriber, sender *loadSender) error {
	if !sender.isDue() {
		return nil
	}
	loads := s.source.Loads(sub.contact)
	if !sender.hasChanged(loads) && !sender.needsRefresh() {
		return nil
	}
	return sub.conn.Send(ctx, kindLoads, 0, sender.newMessage(loads))
}

// sendSums sends the named sums if they are due.
func (s *Server) sendSums(ctx context.Context, sub *subscriber, sender *sumSender) error {
	now := time.Now()
	if !sender.isDue(now) {
		return nil
	}
	m, ok := sender.next(now, s.source.Sums(sub.contact))
	if n := sender.takeDropped(now); n > 0 {
		s.source.SumsDropped(n)
	}
	if !ok {
		return nil
	}
	return sub.conn.Send(ctx, kindSums, 0, m)
}

// takeEndpoints returns the records to be sent now, and the time until others are to be sent. After each message there
// is a pause in proportion to the number of subscribers, because a domain that returns brings hundreds of endpoints one
// after the other. Departures don't wait, nor does what an answer about a stream relies on. The caller holds mu.
func (sub *subscriber) takeEndpoints(now time.Time, subscribers int) (list []registrar.Endpoint, wait time.Duration) {
	wait = sub.pauseEnd.Sub(now)
	if len(sub.pending) == 0 || wait > 0 && !sub.isUrgent && len(sub.answers) == 0 {
		if len(sub.pending) == 0 {
			wait = 0
		}
		return nil, wait
	}
	list = slices.Collect(maps.Values(sub.pending))
	clear(sub.pending)
	sub.isUrgent, sub.pauseEnd = false, now.Add(min(maxEndpointPause, time.Duration(subscribers)*endpointPause))
	return list, 0
}

func (s *Server) sendPending(ctx context.Context, sub *subscriber) error {
	s.mu.Lock()
	subscribers := len(s.subscribers)
	s.mu.Unlock()
	sub.mu.Lock()
	changed, wait := sub.takeEndpoints(time.Now(), subscribers)
	suspects := sub.suspects
	sub.suspects = nil
	evidence, resync := sub.evidence, sub.resync
	sub.evidence, sub.resync = Evidence{}, false
	streams, resyncStreams := sub.streams, sub.resyncStreams
	sub.streams, sub.resyncStreams = nil, false
	answers := sub.answers
	sub.answers = nil
	sub.mu.Unlock()
	if resyncStreams {
		streams = s.source.AllStreams()
	}
	if resync {
		evidence = s.source.AllEvidence()
	}
	if wait > 0 {
		time.AfterFunc(wait, sub.notify)
	}
	if len(changed) > 0 {
		m := endpointsMessage{Records: encodeEndpoints(time.Now(), changed)}
		if err := sub.conn.Send(ctx, kindEndpoints, 0, m); err != nil {
			return err
		}
	}
	if len(suspects) > 0 {
		if err := sub.conn.Send(ctx, kindSuspects, 0, suspects); err != nil {
			return err
		}
	}
	for _, a := range answers {
		if err := sub.conn.Send(ctx, kindStreamAnswer, a.number, a.message); err != nil {
			return err
		}
	}
	if evidence.Len() > 0 {
		// Sent before the state, with which a router becomes ready.
		if err := sub.conn.Send(ctx, kindEvidence, 0, encodeEvidence(time.Now(), evidence)); err != nil {
			return err
		}
	}
	for _, m := range encodeStreams(time.Now(), streams) {
		if err := sub.conn.Send(ctx, kindStreams, 0, m); err != nil {
			return err
		}
	}
	st := s.source.State()
	if st.Index <= sub.index || !sub.mayGetState() {
		return nil
	}
	m := stateMessage{Index: st.Index, Version: st.Plan.Version, TakenOut: slices.Sorted(maps.Keys(st.TakenOut)),
		Rollouts: st.Rollouts}
	if st.Plan.Version != sub.version {
		compressed, err := s.compressor.compress(&st.Plan)
		if err != nil {
			return err
		}
		m.Plan = compressed
	}
	sub.recordStateSent(st.Index)
	if err := sub.conn.Send(ctx, kindState, st.Index, m); err != nil {
		return err
	}
	sub.index, sub.version = st.Index, st.Plan.Version
	return nil
}

// Close ends all subscriptions, as the end of the process does.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		_ = sub.conn.Close()
	}
}

// PublishState sends the new state to all subscribers.
func (s *Server) PublishState() {
	s.forEachSubscriber(func(*subscriber) {})
}

// PublishEndpoints sends records to all subscribers.
func (s *Server) PublishEndpoints(changed []registrar.Endpoint) {
	s.lists.record(changed)
	s.forEachSubscriber(func(sub *subscriber) {
		sub.mu.Lock()
		defer sub.mu.Unlock()
		for _, e := range changed {
			sub.addPending(e)
		}
	})
}

// PublishTakeover sends records to the other control instances, to which an endpoint may have sent its heartbeats.
func (s *Server) PublishTakeover(list []registrar.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		if !sub.contact.Eligible {
			continue
		}
		sub.mu.Lock()
		for _, e := range list {
			sub.addPending(e)
		}
		sub.mu.Unlock()
		sub.notify()
	}
}

// addPending adds a record to be sent; the caller holds mu.
func (sub *subscriber) addPending(e registrar.Endpoint) {
	sub.pending[e.ID] = e
	sub.isUrgent = sub.isUrgent || e.State == registrar.Draining || e.State == registrar.Gone
}

// PublishSuspects sends new suspects to all subscribers.
func (s *Server) PublishSuspects(list []Suspect) {
	s.forEachSubscriber(func(sub *subscriber) { sub.addSuspects(list) })
}

func (sub *subscriber) addSuspects(list []Suspect) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.suspects = append(sub.suspects, list...)
}

// PublishEvidence sends new evidence to all subscribers.
func (s *Server) PublishEvidence(e Evidence) {
	s.forEachSubscriber(func(sub *subscriber) { sub.addEvidence(e) })
}

func (sub *subscriber) addEvidence(e Evidence) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.resync || sub.evidence.Len()+e.Len() > maxPendingEvidence {
		sub.evidence, sub.resync = Evidence{}, true
		return
	}
	sub.evidence.Add(e)
}

// PublishStreams sends streams that began here or at a subscriber to the other control instances.
func (s *Server) PublishStreams(list []resumer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		if !sub.contact.Eligible {
			continue
		}
		sub.addStreams(list)
		sub.notify()
	}
}

func (sub *subscriber) addStreams(list []resumer.Stream) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.resyncStreams || len(sub.streams)+len(list) > maxPendingStreams {
		sub.streams, sub.resyncStreams = nil, true
		return
	}
	sub.streams = append(sub.streams, list...)
}

func (s *Server) forEachSubscriber(update func(*subscriber)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		update(sub)
		sub.notify()
	}
}
