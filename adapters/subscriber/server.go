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
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/viewer"
)

// Backend is the control instance behind a Server.
type Backend interface {
	// Announce commits the announcement of an agent and returns its incarnation.
	Announce(ctx context.Context, id Identity) (incarnation uint64, err error)
	// Connected is called when a client has connected, and Disconnected when its connection has ended.
	Connected(c *Connection)
	Disconnected(c *Connection)
	// Delta returns the changes after index, or ok=false if there are none. It returns a snapshot with From 0 if
	// changes after index are no longer retained.
	Delta(index uint64) (d viewer.Delta, ok bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// Confirmed returns the index of the last view change that the last quorum confirmation covers, and the start of
	// the confirming round.
	Confirmed() (index uint64, at time.Time, ok bool)
	ReportLoad(id Identity, l Load)
	ReportDemand(id Identity, r allocator.Report)
	// PoolLoads returns the load of one pool, or of all if pool is empty; the channel is closed at the next change.
	PoolLoads(pool string) (loads []PoolLoad, changed <-chan struct{})
	Claim(ctx context.Context, m Claim) (ClaimReply, error)
	RecordOutcome(ctx context.Context, m OperationOutcome) error
	ReportCrash(ctx context.Context, m CrashReport) error
	Leave(ctx context.Context, id Identity, incarnation uint64) error
}

const (
	// The load report of an endpoint and the mean load sent to it take about 60 bytes per interval, so the interval
	// grows with the pool: 50 ms up to 10 endpoints, 500 ms from 100.
	poolLoadIntervalPerMember = 5 * time.Millisecond
	minPoolLoadInterval       = 50 * time.Millisecond
	maxPoolLoadInterval       = 500 * time.Millisecond
	routerPoolLoadInterval    = time.Second
	// silenceTimeout closes a connection whose client sends or reads nothing.
	silenceTimeout = 3 * time.Second
	// maxConcurrentCalls applies per client; at the limit, its connection is not read.
	maxConcurrentCalls = 512
	callTimeout        = 10 * time.Second
	// minMeanChange is the smallest change of a mean load that is sent.
	minMeanChange = 0.01
)

func poolLoadInterval(members int) time.Duration {
	return min(max(time.Duration(members)*poolLoadIntervalPerMember, minPoolLoadInterval), maxPoolLoadInterval)
}

// Server accepts routers and agents at a control instance.
type Server struct {
	Backend Backend
	Options messenger.Options
}

// Connection is the connection of one router or agent.
type Connection struct {
	id               Identity
	backend          Backend
	conn             *messenger.Conn
	ctx              context.Context
	cancel           context.CancelFunc
	lastMessageNanos atomic.Int64 // Unix nanoseconds
	viewIndex        atomic.Uint64
	bundleVersion    atomic.Uint64
	incarnation      atomic.Uint64
	grants           chan allocator.Grant
	callSlots        chan struct{}
}

// Identity returns the identity of the client.
func (c *Connection) Identity() Identity { return c.id }

// Process returns the last reported state of the client.
func (c *Connection) Process() Process {
	return Process{
		Identity: c.id, Index: c.viewIndex.Load(), BundleVersion: c.bundleVersion.Load(), Incarnation: c.incarnation.Load(),
	}
}

// LastMessageAt returns when the last message of the client was received.
func (c *Connection) LastMessageAt() time.Time { return time.Unix(0, c.lastMessageNanos.Load()) }

// Close closes the connection.
func (c *Connection) Close() { c.cancel() }

// SendGrant queues a grant; if the queue is full, it is dropped, because the next report gets a new one.
func (c *Connection) SendGrant(g allocator.Grant) {
	select {
	case c.grants <- g:
	default:
	}
}

// ServeHTTP serves one client until its connection closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	opts := s.Options
	if opts.MaxMessageBytes == 0 {
		opts.MaxMessageBytes = maxServerMessageBytes
	}
	conn, err := messenger.Accept(w, r, opts)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	helloCtx, cancelHello := context.WithTimeout(ctx, silenceTimeout)
	defer cancelHello()
	e, err := conn.Receive(helloCtx)
	var hello helloMessage
	if err != nil || e.Kind != kindHello || e.Decode(&hello) != nil || hello.Identity.check() != nil {
		return
	}
	c := &Connection{
		id: hello.Identity, backend: s.Backend, conn: conn, ctx: ctx, cancel: cancel,
		grants: make(chan allocator.Grant, 4), callSlots: make(chan struct{}, maxConcurrentCalls),
	}
	c.viewIndex.Store(hello.Index)
	c.bundleVersion.Store(hello.Bundle)
	c.lastMessageNanos.Store(time.Now().UnixNano())
	s.Backend.Connected(c)
	defer s.Backend.Disconnected(c)
	index := hello.Index
	if hello.Resync {
		index = 0
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, run := range []func(){
		func() { c.pushDeltas(index) }, c.pushPoolLoads, c.pushGrants, c.announceWithRetry, c.closeWhenSilent,
	} {
		wg.Go(run)
	}
	for {
		e, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		c.lastMessageNanos.Store(time.Now().UnixNano())
		if c.dispatch(e) != nil {
			return
		}
	}
}

// send writes a message, and closes the connection if the write fails or takes longer than silenceTimeout.
func (c *Connection) send(kind uint8, stream uint64, body any) error {
	ctx, cancel := context.WithTimeout(c.ctx, silenceTimeout)
	defer cancel()
	err := c.conn.Send(ctx, kind, stream, body)
	if err != nil {
		c.cancel()
	}
	return err
}

// closeWhenSilent closes the connection when nothing has been received for silenceTimeout.
func (c *Connection) closeWhenSilent() {
	t := time.NewTicker(silenceTimeout / 6)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			if time.Since(c.LastMessageAt()) > silenceTimeout {
				c.cancel()
				return
			}
		}
	}
}

func (c *Connection) announceWithRetry() {
	if c.id.Role != RoleAgent {
		return
	}
	for c.ctx.Err() == nil {
		if c.Announce(c.ctx) == nil {
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// Announce commits the agent's announcement and sends it the assigned incarnation.
func (c *Connection) Announce(ctx context.Context) error {
	n, err := c.backend.Announce(ctx, c.id)
	if err != nil {
		return err
	}
	c.incarnation.Store(n)
	return c.send(kindIncarnation, 0, incarnationMessage{Incarnation: n})
}

// deltaInterval is the minimum interval between deltas to a client; it batches changes. Without it, each client would
// get a message per endpoint when all endpoints of a large fleet announce themselves at once.
const deltaInterval = 50 * time.Millisecond

// pushDeltas sends the deltas of the view after index.
func (c *Connection) pushDeltas(index uint64) {
	for {
		changed := c.backend.Changed()
		if d, ok := c.backend.Delta(index); ok {
			if c.sendDelta(d) != nil {
				return
			}
			index = d.To
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(deltaInterval):
			}
			continue
		}
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Connection) sendDelta(d viewer.Delta) error {
	changes := d.Changes
	for {
		n := min(len(changes), maxChunkChanges)
		d.Changes, changes = changes[:n], changes[n:]
		if err := c.send(kindDelta, 0, deltaMessage{Delta: d, More: len(changes) > 0}); err != nil {
			return err
		}
		if len(changes) == 0 {
			return nil
		}
	}
}

// pushPoolLoads sends an agent the load of its own pool and a router the loads of all pools when they change, at most
// once per interval.
func (c *Connection) pushPoolLoads() {
	sent := map[string]PoolLoad{}
	var sentMillis int64
	for {
		loads, changed := c.backend.PoolLoads(c.id.Pool)
		interval := routerPoolLoadInterval
		m := poolLoadsMessage{}
		if c.id.Role == RoleAgent && len(loads) > 0 {
			interval = poolLoadInterval(loads[0].Members)
			if n := interval.Milliseconds(); n != sentMillis {
				m.ReportIntervalMillis, sentMillis = n, n
			}
		}
		m.Pools = slices.DeleteFunc(loads, func(p PoolLoad) bool {
			old, ok := sent[p.Pool]
			return ok && old.Members == p.Members && math.Abs(old.Mean-p.Mean) < minMeanChange
		})
		if len(m.Pools) > 0 || m.ReportIntervalMillis > 0 {
			if c.send(kindPoolLoads, 0, m) != nil {
				return
			}
			for _, p := range m.Pools {
				sent[p.Pool] = p
			}
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(interval):
			}
		}
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Connection) pushGrants() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case g := <-c.grants:
			if c.send(kindGrant, 0, g) != nil {
				return
			}
		}
	}
}

func (c *Connection) dispatch(e messenger.Envelope) error {
	switch e.Kind {
	case kindProbe:
		return handleAs(e, func(m probeMessage) error {
			c.viewIndex.Store(m.Index)
			c.bundleVersion.Store(m.Bundle)
			return c.send(kindProbeReply, 0, c.probeReply(m.Number))
		})
	case kindLoad:
		return handleAs(e, func(m Load) error {
			c.backend.ReportLoad(c.id, m)
			return nil
		})
	case kindDemand:
		return handleAs(e, func(m allocator.Report) error {
			if len(m.Demands) > maxDemands+1 {
				return errors.New("demand report has too many demands")
			}
			c.backend.ReportDemand(c.id, m)
			return nil
		})
	case kindCall:
		return handleAs(e, func(m callMessage) error { return c.startCall(e.Stream, m) })
	}
	return nil
}

func (c *Connection) startCall(stream uint64, m callMessage) error {
	select {
	case c.callSlots <- struct{}{}:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	go func() {
		defer func() { <-c.callSlots }()
		// A started call continues after the connection closes; the client sends it again to another instance.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), callTimeout)
		defer cancel()
		_ = c.send(kindCallReply, stream, c.handleCall(ctx, m))
	}()
	return nil
}

func (c *Connection) probeReply(n uint64) probeReplyMessage {
	index, at, ok := c.backend.Confirmed()
	if !ok {
		return probeReplyMessage{Number: n, AgeMillis: -1}
	}
	return probeReplyMessage{Number: n, Index: index, AgeMillis: max(0, time.Since(at).Milliseconds()) + 1}
}

func (c *Connection) handleCall(ctx context.Context, m callMessage) (r callReplyMessage) {
	var err error
	switch {
	case m.Claim != nil:
		var reply ClaimReply
		reply, err = c.backend.Claim(ctx, *m.Claim)
		r.Claim = &reply
	case m.Outcome != nil:
		err = c.backend.RecordOutcome(ctx, *m.Outcome)
	case m.Crash != nil:
		err = c.backend.ReportCrash(ctx, *m.Crash)
	case m.Leave:
		err = c.backend.Leave(ctx, c.id, c.incarnation.Load())
	default:
		err = &CallError{Code: CodeInvalid, Message: "call of unknown type"}
	}
	if err != nil {
		var callErr *CallError
		if !errors.As(err, &callErr) {
			callErr = &CallError{Code: CodeInternal, Message: err.Error()}
		}
		return callReplyMessage{Err: callErr}
	}
	return r
}
