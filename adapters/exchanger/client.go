package exchanger

import (
	"context"
	"errors"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

// Receiver takes what a control instance sends; its methods are called by one goroutine of the subscription.
type Receiver interface {
	// Held returns the index of the state and the version of the plan that are held already.
	LastReceived() (index, version uint64)
	// StateReceived takes a newer state; plan is nil when the held version is in force.
	StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string)
	EndpointsReceived(list []registrar.Endpoint, whole bool)
	SuspectsReceived([]Suspect)
	HeartbeatReceived(Heartbeat)
	LoadsReceived(Loads)
	// Loads returns the requests in flight of this process, nil if the instance needn't know.
	Loads() Loads
}

// Subscription is one connection to a control instance.
type Subscription struct {
	conn *messenger.Conn
}

// errNotQuorate ends a subscription to an instance that the control group doesn't confirm.
var errNotQuorate = errors.New("the control instance is not confirmed by a majority")

// Subscribe connects to a control instance and tells it the endpoints that are known here, because an instance that
// has just started knows none.
func Subscribe(ctx context.Context, hub, self Contact, opts messenger.Options, r Receiver,
	known []registrar.Endpoint) (*Subscription, error) {
	opts.MaxMessageBytes = maxMessageBytes
	opts.WriteTimeout = silenceTimeout
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := messenger.Dial(dialCtx, hub.Address, SubscriptionPath, opts)
	if err != nil {
		return nil, err
	}
	h := helloMessage{Contact: self}
	h.Index, h.Version = r.LastReceived()
	err = conn.Send(ctx, kindHello, 0, h)
	if err == nil && len(known) > 0 {
		m := endpointsMessage{Records: encodeEndpoints(time.Now(), known)}
		err = conn.Send(ctx, kindEndpoints, 0, m)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Subscription{conn: conn}, nil
}

// Report sends suspects to the control instance.
func (s *Subscription) ReportSuspects(ctx context.Context, list []Suspect) error {
	return s.conn.Send(ctx, kindSuspects, 0, list)
}

// Close ends the subscription.
func (s *Subscription) Close() { _ = s.conn.Close() }

// Receive hands messages to r until the connection ends or is silent, or, if needQuorum, until the instance has lost
// its majority for the length of the silence limit.
func (s *Subscription) Receive(ctx context.Context, r Receiver, needQuorum bool) error {
	defer s.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.ping(ctx)
	go s.reportLoads(ctx, r)
	quorateAt := time.Now()
	var e messenger.Envelope
	var known decoders
	for {
		if err := s.receiveWithTimeout(ctx, &e); err != nil {
			return err
		}
		if err := dispatch(&e, r, &known, &quorateAt); err != nil {
			return err
		}
		if needQuorum && time.Since(quorateAt) > silenceTimeout {
			return errNotQuorate
		}
	}
}

func (s *Subscription) receiveWithTimeout(ctx context.Context, e *messenger.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return s.conn.ReceiveInto(ctx, e)
}

// ping lets the instance notice that this subscriber is gone.
func (s *Subscription) ping(ctx context.Context) {
	t := time.NewTicker(2 * heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.conn.Send(ctx, kindPing, 0, nil) != nil {
				s.Close()
				return
			}
		}
	}
}

// reportLoads tells the instance the requests in flight here whenever they have changed.
func (s *Subscription) reportLoads(ctx context.Context, r Receiver) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	var teller loadSender
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !teller.isDue() {
			continue
		}
		loads := r.Loads()
		if loads == nil || !teller.hasChanged(loads) {
			continue
		}
		if s.conn.Send(ctx, kindLoads, 0, teller.newMessage(loads)) != nil {
			s.Close()
			return
		}
	}
}

// decoders hold what a subscription was told once.
type decoders struct {
	loads      loadDecoder
	heartbeats heartbeatDecoder
}

func dispatch(e *messenger.Envelope, r Receiver, known *decoders, quorateAt *time.Time) error {
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
		r.StateReceived(m.Index, plan, m.TakenOut)
	case kindEndpoints:
		var m endpointsMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		r.EndpointsReceived(decodeEndpoints(time.Now(), m.Records), m.Full)
	case kindSuspects:
		var list []Suspect
		if err := e.Decode(&list); err != nil {
			return err
		}
		r.SuspectsReceived(list)
	case kindLoads:
		var m loadsMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		loads, err := known.loads.decode(&m)
		if err != nil {
			return err
		}
		r.LoadsReceived(loads)
	case kindHeartbeat:
		var m heartbeatMessage
		if err := e.Decode(&m); err != nil {
			return err
		}
		b := known.heartbeats.decode(&m)
		if b.Quorate {
			*quorateAt = time.Now()
		}
		r.HeartbeatReceived(b)
	}
	return nil
}
