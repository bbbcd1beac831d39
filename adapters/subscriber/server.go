package subscriber

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/sharer"
	"cactusroute.dev/core/viewer"
)

// Backend is what a control instance offers to its clients.
type Backend interface {
	// Announce commits an announcement of an agent and returns its incarnation.
	Announce(ctx context.Context, id Identity) (incarnation uint64, err error)
	// Attached is called when a client has connected, and Detached when its connection has ended.
	Connected(s *Connection)
	Disconnected(s *Connection)
	// Delta returns the changes after index, or ok=false if the instance has none; a client behind the
	// retained changes gets a snapshot with From 0.
	Delta(index uint64) (d viewer.Delta, ok bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// Confirmed returns the index of the last view change that the last quorum confirmation covers, and when the
	// confirmation's round started.
	Confirmed() (index uint64, at time.Time, ok bool)
	ReportLoad(id Identity, l Load)
	ReportDemand(id Identity, r sharer.Report)
	// PoolLoads returns the loads of one pool, or of all with an empty name; the channel is closed when one changes.
	PoolLoads(pool string) (loads []PoolLoad, changed <-chan struct{})
	Claim(ctx context.Context, m Claim) (ClaimReply, error)
	RecordOutcome(ctx context.Context, m OperationOutcome) error
	ReportCrash(ctx context.Context, m CrashReport) error
	Leave(ctx context.Context, id Identity, incarnation uint64) error
}

const (
	// An endpoint's reports and its pool's mean cost about 60 bytes a round, so the interval grows with the pool:
	// 50 ms up to 10 endpoints, 500 ms from 100.
	intervalPerMember = 5 * time.Millisecond
	minPoolInterval   = 50 * time.Millisecond
	maxPoolInterval   = 500 * time.Millisecond
	routerInterval    = time.Second
	// silenceLimit ends a connection whose client sends no probes.
	silenceLimit = 3 * time.Second
	// maxCalls bounds the calls of one client in progress; further messages wait in its connection.
	maxCalls  = 512
	callLimit = 10 * time.Second
	// minMeanChange is the smallest change of a mean that is sent.
	minMeanChange = 0.01
)

func poolInterval(members int) time.Duration {
	return min(max(time.Duration(members)*intervalPerMember, minPoolInterval), maxPoolInterval)
}

// Server is a control instance's end of the protocol.
type Server struct {
	Backend Backend
	Options messenger.Options
}

// Session is one connected client.
type Connection struct {
	id          Identity
	backend     Backend
	conn        *messenger.Conn
	ctx         context.Context
	cancel      context.CancelFunc
	heard       atomic.Int64 // Unix nanoseconds
	index       atomic.Uint64
	bundle      atomic.Uint64
	incarnation atomic.Uint64
	grants      chan sharer.Grant
	calls       chan struct{}
}

// Identity returns who is connected.
func (s *Connection) Identity() Identity { return s.id }

// Process returns what the client has in force.
func (s *Connection) Process() Process {
	return Process{
		Identity: s.id, Index: s.index.Load(), BundleVersion: s.bundle.Load(), Incarnation: s.incarnation.Load(),
	}
}

// Heard returns when the client's last message came.
func (s *Connection) LastMessageAt() time.Time { return time.Unix(0, s.heard.Load()) }

// Close ends the connection.
func (s *Connection) Close() { s.cancel() }

// Grant sends a grant; one that does not fit is dropped, because the next report gets another.
func (s *Connection) SendGrant(g sharer.Grant) {
	select {
	case s.grants <- g:
	default:
	}
}

// ServeHTTP serves one client until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	opts := s.Options
	if opts.MaxBytes == 0 {
		opts.MaxBytes = maxServerBytes
	}
	conn, err := messenger.Accept(w, r, opts)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	first, stop := context.WithTimeout(ctx, silenceLimit)
	defer stop()
	e, err := conn.Receive(first)
	var hello helloMessage
	if err != nil || e.Kind != kindHello || e.Decode(&hello) != nil || hello.Identity.Name == "" {
		return
	}
	ses := &Connection{
		id: hello.Identity, backend: s.Backend, conn: conn, ctx: ctx, cancel: cancel,
		grants: make(chan sharer.Grant, 4), calls: make(chan struct{}, maxCalls),
	}
	ses.index.Store(hello.Index)
	ses.bundle.Store(hello.Bundle)
	ses.heard.Store(time.Now().UnixNano())
	s.Backend.Connected(ses)
	defer s.Backend.Disconnected(ses)
	index := hello.Index
	if hello.Resync {
		index = 0
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, run := range []func(){
		func() { ses.push(index) }, ses.pushPools, ses.pushGrants, ses.announce, ses.watch,
	} {
		wg.Go(run)
	}
	for {
		e, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		ses.heard.Store(time.Now().UnixNano())
		if ses.dispatch(e) != nil {
			return
		}
	}
}

// send ends the connection of a client that does not read.
func (s *Connection) send(kind uint8, stream uint64, body any) error {
	ctx, cancel := context.WithTimeout(s.ctx, silenceLimit)
	defer cancel()
	err := s.conn.Send(ctx, kind, stream, body)
	if err != nil {
		s.cancel()
	}
	return err
}

// watch ends the connection of a silent client.
func (s *Connection) watch() {
	t := time.NewTicker(silenceLimit / 6)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			if time.Since(s.LastMessageAt()) > silenceLimit {
				s.cancel()
				return
			}
		}
	}
}

func (s *Connection) announce() {
	if s.id.Role != RoleAgent {
		return
	}
	for s.ctx.Err() == nil {
		if s.Announce(s.ctx) == nil {
			return
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// Announce commits the agent's announcement and tells it its incarnation.
func (s *Connection) Announce(ctx context.Context) error {
	n, err := s.backend.Announce(ctx, s.id)
	if err != nil {
		return err
	}
	s.incarnation.Store(n)
	return s.send(kindIncarnation, 0, incarnationMessage{Incarnation: n})
}

// pushInterval separates two deltas to a client, so that changes that come close together travel as one. When all
// endpoints of a large fleet announce themselves at once, each client would otherwise get a message for each of them.
const pushInterval = 50 * time.Millisecond

// push sends deltas as they are applied, in pieces.
func (s *Connection) push(index uint64) {
	for {
		changed := s.backend.Changed()
		if d, ok := s.backend.Delta(index); ok {
			if s.sendDelta(d) != nil {
				return
			}
			index = d.To
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(pushInterval):
			}
			continue
		}
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Connection) sendDelta(d viewer.Delta) error {
	changes := d.Changes
	for {
		n := min(len(changes), pieceChanges)
		d.Changes, changes = changes[:n], changes[n:]
		if err := s.send(kindDelta, 0, deltaMessage{Delta: d, More: len(changes) > 0}); err != nil {
			return err
		}
		if len(changes) == 0 {
			return nil
		}
	}
}

// pushPools sends an agent its own pool's mean and a router all means, when they change and no faster than the
// interval of the pool.
func (s *Connection) pushPools() {
	sent := map[string]PoolLoad{}
	var told int64
	for {
		loads, changed := s.backend.PoolLoads(s.id.Pool)
		interval := routerInterval
		m := poolsMessage{}
		if s.id.Role == RoleAgent && len(loads) > 0 {
			interval = poolInterval(loads[0].Members)
			if n := interval.Milliseconds(); n != told {
				m.ReportMillis, told = n, n
			}
		}
		m.Pools = slices.DeleteFunc(loads, func(p PoolLoad) bool {
			old, ok := sent[p.Pool]
			return ok && old.Members == p.Members && math.Abs(old.Mean-p.Mean) < minMeanChange
		})
		if len(m.Pools) > 0 || m.ReportMillis > 0 {
			if s.send(kindPools, 0, m) != nil {
				return
			}
			for _, p := range m.Pools {
				sent[p.Pool] = p
			}
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(interval):
			}
		}
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Connection) pushGrants() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case g := <-s.grants:
			if s.send(kindGrant, 0, g) != nil {
				return
			}
		}
	}
}

func (s *Connection) dispatch(e messenger.Envelope) error {
	switch e.Kind {
	case kindProbe:
		return receive(e, func(m probeMessage) error {
			s.index.Store(m.Index)
			s.bundle.Store(m.Bundle)
			return s.send(kindFresh, 0, s.fresh(m.Number))
		})
	case kindLoad:
		return receive(e, func(m Load) error {
			s.backend.ReportLoad(s.id, m)
			return nil
		})
	case kindDemand:
		return receive(e, func(m sharer.Report) error {
			if len(m.Demands) > maxDemands+1 {
				return errors.New("too many demands in one report")
			}
			s.backend.ReportDemand(s.id, m)
			return nil
		})
	case kindCall:
		return receive(e, func(m callMessage) error { return s.start(e.Stream, m) })
	}
	return nil
}

func (s *Connection) start(stream uint64, m callMessage) error {
	select {
	case s.calls <- struct{}{}:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	go func() {
		defer func() { <-s.calls }()
		// A call that has begun goes on when the connection ends; the client sends it again elsewhere.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), callLimit)
		defer cancel()
		_ = s.send(kindReply, stream, s.serve(ctx, m))
	}()
	return nil
}

func (s *Connection) fresh(n uint64) freshMessage {
	index, at, ok := s.backend.Confirmed()
	if !ok {
		return freshMessage{Number: n, AgeMillis: -1}
	}
	return freshMessage{Number: n, Index: index, AgeMillis: max(0, time.Since(at).Milliseconds()) + 1}
}

func (s *Connection) serve(ctx context.Context, m callMessage) (r replyMessage) {
	var err error
	switch {
	case m.Claim != nil:
		var c ClaimReply
		c, err = s.backend.Claim(ctx, *m.Claim)
		r.Claim = &c
	case m.Outcome != nil:
		err = s.backend.RecordOutcome(ctx, *m.Outcome)
	case m.Crash != nil:
		err = s.backend.ReportCrash(ctx, *m.Crash)
	case m.Leave:
		err = s.backend.Leave(ctx, s.id, s.incarnation.Load())
	default:
		err = &CallError{Code: CodeInvalid, Message: "unknown call"}
	}
	if err != nil {
		var refusal *CallError
		if !errors.As(err, &refusal) {
			refusal = &CallError{Code: CodeInternal, Message: err.Error()}
		}
		return replyMessage{Err: refusal}
	}
	return r
}
