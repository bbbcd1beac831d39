package exchanger

import (
	"context"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
	"cactusroute.dev/core/rollouter"
)

// Receiver handles the messages of a control instance. One goroutine of the subscription calls the methods for received
// messages, another one calls Loads.
type Receiver interface {
	// LastReceived returns the index of the newest state and the version of the newest plan received so far.
	LastReceived() (index, version uint64)
	// StateReceived handles a newer state; plan is nil if its version is the one last received.
	StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string, rollouts []rollouter.Rollout)
	// EndpointsReceived handles endpoint records; full is set if the list has all endpoints.
	EndpointsReceived(list []registrar.Endpoint, full bool)
	// EndpointsRejected reports that n invalid records were dropped; err is the reason for the first one.
	EndpointsRejected(n int, err error)
	SuspectsReceived([]Suspect)
	EvidenceReceived(Evidence)
	HeartbeatReceived(Heartbeat)
	LoadsReceived(Loads)
	// StreamsReceived handles streams that began at the instance or its subscribers.
	StreamsReceived([]resumer.Stream)
	// StreamOriginReceived handles the answer to a query of the given number; ok is false if the origin is not known.
	StreamOriginReceived(number uint64, o resumer.Origin, ok bool)
	// Loads returns the requests in flight of this process, or nil if they are not reported to the instance.
	Loads() Loads
	// SumsReceived and Sums are LoadsReceived and Loads for named sums; nil sums are not sent.
	SumsReceived(Sums)
	Sums() Sums
	// Outcomes returns the table of what this process has counted of rollouts. It is reported to the instance if
	// isReported is set; what other control instances send is added to the table under a name.
	Outcomes() (table *OutcomeTable, name string, isReported bool)
}

// Subscription is one connection to a control instance.
type Subscription struct {
	conn  *messenger.Conn
	pings sentPings
	known []registrar.Endpoint // when it began; nil once the instance has been told what it lacks of them
}

// Subscribe connects to a control instance and sends it the evidence known here, and after its list the endpoints that
// it lacks, because an instance that has just started knows none.
func Subscribe(ctx context.Context, instance, self Contact, opts messenger.Options, r Receiver,
	endpoints []registrar.Endpoint, evidence Evidence) (*Subscription, error) {
	opts.MaxMessageBytes = maxMessageBytes
	opts.WriteTimeout = lostTimeout
	opts.ConnectTimeout = connectTimeout
	conn, err := messenger.Dial(ctx, instance.Address, SubscriptionPath, opts)
	if err != nil {
		return nil, err
	}
	s := &Subscription{conn: conn, known: endpoints}
	h := helloMessage{Contact: self, AcksStates: true, TakesGroups: true}
	if len(endpoints) > 0 {
		digests := registrar.DigestsOf(endpoints)
		h.Digests = encodeDigests(&digests)
	}
	h.Index, h.Version = r.LastReceived()
	err = conn.Send(ctx, kindHello, s.pings.add(time.Now()), h)
	if err == nil && evidence.Len() > 0 {
		err = conn.Send(ctx, kindEvidence, 0, encodeEvidence(time.Now(), evidence))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// ReportEndpoints sends endpoint records to the control instance.
func (s *Subscription) ReportEndpoints(ctx context.Context, list []registrar.Endpoint) error {
	return s.conn.Send(ctx, kindEndpoints, 0, endpointsMessage{Records: encodeEndpoints(time.Now(), list)})
}

// ReportSuspects sends suspects to the control instance.
func (s *Subscription) ReportSuspects(ctx context.Context, list []Suspect) error {
	return s.conn.Send(ctx, kindSuspects, 0, list)
}

// ReportEvidence sends evidence to the control instance.
func (s *Subscription) ReportEvidence(ctx context.Context, e Evidence) error {
	return s.conn.Send(ctx, kindEvidence, 0, encodeEvidence(time.Now(), e))
}

// ReportStreams sends streams that began here to the control instance.
func (s *Subscription) ReportStreams(ctx context.Context, list []resumer.Stream) error {
	for _, m := range encodeStreams(time.Now(), list) {
		if err := s.conn.Send(ctx, kindStreams, 0, m); err != nil {
			return err
		}
	}
	return nil
}

// QueryStream asks the control instance for the origin of a stream. The receiver gets the answer with the same number.
func (s *Subscription) QueryStream(ctx context.Context, number uint64, key resumer.Key) error {
	return s.conn.Send(ctx, kindStreamQuery, number, streamQueryMessage{Key: uint64(key)})
}

// Close ends the subscription.
func (s *Subscription) Close() { _ = s.conn.Close() }

// HeardAt returns when the last bytes of the instance arrived.
func (s *Subscription) HeardAt() time.Time { return s.conn.HeardAt() }

// Receive passes messages to r until the connection ends, or nothing arrives within lostTimeout.
func (s *Subscription) Receive(ctx context.Context, r Receiver) error {
	defer s.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.ping(ctx)
	go s.reportLoads(ctx, r)
	var e messenger.Envelope
	dec := decoders{heartbeats: heartbeatDecoder{pings: &s.pings},
		onList: func(m *receivedEndpointsMessage, sent []registrar.Endpoint) error {
			return s.reportUnknown(ctx, m, sent)
		}}
	for {
		if err := s.conn.ReceiveIntoWithTimeout(ctx, &e, lostTimeout); err != nil {
			return err
		}
		if err := dispatch(&e, r, &dec); err != nil {
			return err
		}
		if e.Kind == kindState && e.Stream != 0 { // instances of earlier releases don't number states
			if err := s.conn.Send(ctx, kindStateAck, e.Stream, nil); err != nil {
				return err
			}
		}
	}
}

// ping sends periodic messages, so that the instance detects a lost subscriber by its silence, and the subscriber
// learns how old the confirmations of the instance are.
func (s *Subscription) ping(ctx context.Context) {
	t := time.NewTicker(2 * heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.conn.Send(ctx, kindPing, s.pings.add(time.Now()), nil) != nil {
				s.Close()
				return
			}
		}
	}
}

// reportLoads sends the instance the requests in flight and the named sums of this process when they have changed.
func (s *Subscription) reportLoads(ctx context.Context, r Receiver) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	var sender loadSender
	var sums sumSender
	var outcomes outcomeSender
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var err error
		if sender.isDue() {
			if loads := r.Loads(); loads != nil && sender.hasChanged(loads) {
				err = s.conn.Send(ctx, kindLoads, 0, sender.newMessage(loads))
			}
		}
		if now := time.Now(); err == nil && sums.isDue(now) {
			if m, ok := sums.next(now, r.Sums()); ok {
				err = s.conn.Send(ctx, kindSums, 0, m)
			}
		}
		if err == nil {
			err = s.reportOutcomes(ctx, r, &outcomes)
		}
		if err != nil {
			s.Close()
			return
		}
	}
}

// decoders holds the state of the message encodings that depend on earlier messages of the connection.
type decoders struct {
	loads      loadDecoder
	heartbeats heartbeatDecoder
	sums       sumDecoder
	onList     func(m *receivedEndpointsMessage, sent []registrar.Endpoint) error // for full lists; may be nil
}

func dispatch(e *messenger.Envelope, r Receiver, dec *decoders) error {
	switch e.Kind {
	case kindState:
		var m stateMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		plan, err := decompressPlan(&m)
		if err != nil {
			return err
		}
		r.StateReceived(m.Index, plan, m.TakenOut, m.Rollouts)
	case kindEndpoints:
		return dec.receiveEndpoints(e, r)
	case kindSuspects:
		var list []Suspect
		if err := e.Decode(&list); err != nil {
			return err
		}
		r.SuspectsReceived(list)
	case kindEvidence:
		var m evidenceMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		evidence, err := decodeEvidence(time.Now(), &m)
		if err != nil {
			return err
		}
		r.EvidenceReceived(evidence)
	case kindLoads:
		var m loadsMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		loads, err := dec.loads.decode(time.Now(), &m)
		if err != nil {
			return err
		}
		r.LoadsReceived(loads)
	case kindSums:
		sums, err := dec.sums.decodeEnvelope(e)
		if err != nil {
			return err
		}
		r.SumsReceived(sums)
	case kindOutcomes:
		table, name, _ := r.Outcomes()
		return table.receive(e, name, true)
	case kindStreams:
		var m streamsMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		list, err := decodeStreams(time.Now(), &m)
		if err != nil {
			return err
		}
		r.StreamsReceived(list)
	case kindStreamAnswer:
		var m streamAnswerMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		r.StreamOriginReceived(e.Stream, resumer.Origin{Service: m.Service, Version: m.Version}, m.Known)
	case kindHeartbeat:
		var m heartbeatMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		r.HeartbeatReceived(dec.heartbeats.decode(&m))
	}
	return nil
}

func (d *decoders) receiveEndpoints(e *messenger.Envelope, r Receiver) error {
	var m receivedEndpointsMessage
	if err := e.Decode(&m); err != nil {
		return err
	}
	if err := m.unpack(); err != nil {
		return err
	}
	list, rejected, err := decodeEndpoints(time.Now(), m.Records)
	if rejected > 0 {
		r.EndpointsRejected(rejected, err)
	}
	r.EndpointsReceived(list, m.Full)
	if !m.Full || d.onList == nil {
		return nil
	}
	return d.onList(&m, list)
}
