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
)

// Source is what a control instance hands to its subscribers; its methods may be called by any goroutine.
type Source interface {
	State() fleetapplier.State
	Endpoints() []registrar.Endpoint
	Heartbeat() Heartbeat
	// Attached and Detached tell of subscribers.
	SubscriberConnected(Contact)
	SubscriberDisconnected(Contact)
	// EndpointsReceived takes the endpoints that a subscriber knows.
	EndpointsReceived([]registrar.Endpoint)
	// Suspects takes what a subscriber reports.
	SuspectsReceived([]Suspect)
	// LoadsReceived takes the requests in flight of a subscriber.
	LoadsReceived(from Contact, loads Loads)
	// Loads returns what a subscriber is told: for another control instance the requests of this one and of its
	// subscribers, for a router those of all routers.
	Loads(to Contact) Loads
	// MayServe reports whether routers may subscribe: an instance without a majority and without a state has nothing to
	// tell them, while others may.
	AcceptsRouters() bool
	// AllSuspects returns what new subscribers must know.
	AllSuspects() []Suspect
}

// Server hands the state of a control instance to subscribers.
type Server struct {
	opts       messenger.Options
	source     Source
	compressor planCompressor

	mu          sync.Mutex
	subscribers map[*subscriber]bool
}

type subscriber struct {
	conn    *messenger.Conn
	contact Contact
	wake    chan struct{} // with room for one

	mu       sync.Mutex
	pending  map[string]registrar.Endpoint // the newest record of each
	suspects []Suspect
	index    uint64
	version  uint64
}

// NewServer returns a server without subscribers.
func NewServer(opts messenger.Options, source Source) *Server {
	opts.MaxMessageBytes = maxMessageBytes
	opts.WriteTimeout = silenceTimeout
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
	e, err := conn.ReceiveWithTimeout(ctx, silenceTimeout)
	if err != nil || e.Kind != kindHello {
		return
	}
	var h helloMessage
	if e.Decode(&h) != nil || !h.Contact.Eligible && !s.source.AcceptsRouters() {
		return
	}
	sub := &subscriber{conn: conn, contact: h.Contact, wake: make(chan struct{}, 1), index: h.Index, version: h.Version,
		pending: map[string]registrar.Endpoint{}}
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
	_ = s.sendUpdates(ctx, sub)
}

// receive takes what the subscriber reports; it ends when the subscriber is silent.
func (s *Server) receive(ctx context.Context, sub *subscriber) {
	var known loadDecoder
	for {
		e, err := sub.conn.ReceiveWithTimeout(ctx, 2*silenceTimeout)
		if err != nil {
			return
		}
		switch e.Kind {
		case kindSuspects:
			var list []Suspect
			if e.Decode(&list) != nil {
				return
			}
			s.source.SuspectsReceived(list)
		case kindEndpoints:
			var m endpointsMessage
			if e.Decode(&m) != nil {
				return
			}
			s.source.EndpointsReceived(decodeEndpoints(time.Now(), m.Records))
		case kindLoads:
			var m loadsMessage
			if e.Decode(&m) != nil {
				return
			}
			loads, err := known.decode(&m)
			if err != nil {
				return
			}
			s.source.LoadsReceived(sub.contact, loads)
		}
	}
}

// feed sends the whole state, then what changes; a slow subscriber gets the newest state only.
func (s *Server) sendUpdates(ctx context.Context, sub *subscriber) error {
	all := endpointsMessage{Full: true, Records: encodeEndpoints(time.Now(), s.source.Endpoints())}
	if err := sub.conn.Send(ctx, kindEndpoints, 0, all); err != nil {
		return err
	}
	sub.addSuspects(s.source.AllSuspects())
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	load := time.NewTicker(loadInterval)
	defer load.Stop()
	var teller loadSender
	if err := s.sendPending(ctx, sub); err != nil {
		return err
	}
	var beats heartbeatEncoder
	if err := sub.conn.Send(ctx, kindHeartbeat, 0, beats.encode(s.source.Heartbeat())); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.wake:
			err = s.sendPending(ctx, sub)
		case <-beat.C:
			err = sub.conn.Send(ctx, kindHeartbeat, 0, beats.encode(s.source.Heartbeat()))
		case <-load.C:
			if !teller.isDue() {
				continue
			}
			loads := s.source.Loads(sub.contact)
			if !teller.hasChanged(loads) && !teller.needsRefresh() {
				continue
			}
			err = sub.conn.Send(ctx, kindLoads, 0, teller.newMessage(loads))
		}
		if err != nil {
			return err
		}
	}
}

func (s *Server) sendPending(ctx context.Context, sub *subscriber) error {
	sub.mu.Lock()
	changed := slices.Collect(maps.Values(sub.pending))
	clear(sub.pending)
	suspects := sub.suspects
	sub.suspects = nil
	sub.mu.Unlock()
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
	st := s.source.State()
	if st.Index <= sub.index {
		return nil
	}
	m := stateMessage{Index: st.Index, Version: st.Plan.Version, TakenOut: slices.Sorted(maps.Keys(st.TakenOut))}
	if st.Plan.Version != sub.version {
		packed, err := s.compressor.compress(&st.Plan)
		if err != nil {
			return err
		}
		m.Plan = packed
	}
	if err := sub.conn.Send(ctx, kindState, 0, m); err != nil {
		return err
	}
	sub.index, sub.version = st.Index, st.Plan.Version
	return nil
}

// StateChanged sends the new state to all subscribers.
func (s *Server) PublishState() {
	s.forEachSubscriber(func(*subscriber) {})
}

// EndpointsChanged sends records to all subscribers.
func (s *Server) PublishEndpoints(changed []registrar.Endpoint) {
	s.forEachSubscriber(func(sub *subscriber) {
		sub.mu.Lock()
		defer sub.mu.Unlock()
		for _, e := range changed {
			sub.pending[e.ID] = e
		}
	})
}

// SuspectsChanged sends new suspects to all subscribers.
func (s *Server) PublishSuspects(list []Suspect) {
	s.forEachSubscriber(func(sub *subscriber) { sub.addSuspects(list) })
}

func (sub *subscriber) addSuspects(list []Suspect) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.suspects = append(sub.suspects, list...)
}

func (s *Server) forEachSubscriber(update func(*subscriber)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		update(sub)
		select {
		case sub.wake <- struct{}{}:
		default:
		}
	}
}
