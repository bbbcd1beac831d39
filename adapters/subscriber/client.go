package subscriber

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	reconnectInterval = 100 * time.Millisecond
	// noQuorumRetryTimeout bounds the retries of a call without a quorum; an election takes less than 1 s.
	noQuorumRetryTimeout = 3 * time.Second
	callRetryInterval    = 100 * time.Millisecond
	// replyTimeout is how long a call waits for its reply before it is sent again.
	replyTimeout         = 5 * time.Second
	demandReportInterval = time.Second
	// minDemandReportInterval limits the rate of reports that new demand triggers.
	minDemandReportInterval = 250 * time.Millisecond
	// initialLoadReportInterval applies until the control instance sends another interval.
	initialLoadReportInterval = 50 * time.Millisecond
	writeTimeout              = 2 * time.Second
)

// ClientConfig configures a client.
type ClientConfig struct {
	Identity Identity
	// Controls are the host:port addresses of the control instances.
	Controls []string
	TLS      *tls.Config
	// TLSFunc, if set, replaces TLS and returns the configuration of each new connection; nil means plain TCP.
	TLSFunc  func() *tls.Config
	Observer *observer.Observer
}

// Client maintains a connection to one of the control instances and the view received over it.
type Client struct {
	cfg         ClientConfig
	byteCounter messenger.ByteCounter

	view        atomic.Pointer[viewer.View]
	poolLoads   atomic.Pointer[map[string]PoolLoad]
	incarnation atomic.Uint64
	lease       lease
	load        atomic.Pointer[Load]
	loadChanged chan struct{}
	shares      *shareHolder

	mu           sync.Mutex
	conn         *messenger.Conn
	connected    chan struct{} // closed while conn is set
	lastCallID   uint64
	pendingCalls map[uint64]chan callReplyMessage
	viewChanged  chan struct{}
}

// NewClient returns a client; Serve connects it.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Identity.Session == "" {
		cfg.Identity.Session = rand.Text()
	}
	c := &Client{
		cfg: cfg, pendingCalls: map[uint64]chan callReplyMessage{}, connected: make(chan struct{}),
		viewChanged: make(chan struct{}),
		loadChanged: make(chan struct{}, 1), shares: newShareHolder(),
	}
	c.view.Store(viewer.NewView())
	c.poolLoads.Store(&map[string]PoolLoad{})
	c.load.Store(&Load{})
	c.registerMetrics()
	return c
}

func (c *Client) registerMetrics() {
	if c.cfg.Observer == nil {
		return
	}
	for _, m := range []struct {
		direction string
		n         *atomic.Uint64
	}{{"in", &c.byteCounter.In}, {"out", &c.byteCounter.Out}} {
		// Register fails if an earlier client of the process has already registered the counter.
		_ = c.cfg.Observer.Registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cactusroute_control_connection_bytes_total", Help: "Bytes on connections to control, counted at the socket.",
			ConstLabels: prometheus.Labels{"direction": m.direction},
		}, func() float64 { return float64(m.n.Load()) }))
	}
}

// View returns the current view; it is empty until the first delta has been applied.
func (c *Client) View() *viewer.View { return c.view.Load() }

// IsFresh reports whether the view includes every change committed up to 2 s ago. With onQuorumLoss set to serve, it is
// also true while a control instance replies to probes, once a quorum has confirmed a view of this process.
func (c *Client) IsFresh(now time.Time) bool {
	return c.lease.isFresh(now, c.View().Freshness.OnQuorumLoss == bundler.QuorumLossServe)
}

// IsConnected reports whether the client is connected to a control instance.
func (c *Client) IsConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// PoolLoad returns the last received load of a pool.
func (c *Client) PoolLoad(pool string) PoolLoad { return (*c.poolLoads.Load())[pool] }

// Incarnation returns the number that control assigned to the agent's announcement, or 0 before that.
func (c *Client) Incarnation() uint64 { return c.incarnation.Load() }

// SetLoad sets the load for the next report.
func (c *Client) SetLoad(l Load) {
	if old := c.load.Swap(&l); *old == l {
		return
	}
	select {
	case c.loadChanged <- struct{}{}:
	default:
	}
}

// ControlBytes returns the bytes received from and sent to control instances, counted at the socket.
func (c *Client) ControlBytes() (in, out uint64) {
	return c.byteCounter.In.Load(), c.byteCounter.Out.Load()
}

// Changed returns a channel that is closed at the next change of the view.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewChanged
}

// Serve connects to the control instances in turn until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	if len(c.cfg.Controls) == 0 {
		return errors.New("no address of a control instance is configured")
	}
	// The first instance is selected by name, which distributes the clients over the control instances.
	first := 0
	for _, b := range []byte(c.cfg.Identity.Name) {
		first = (first*31 + int(b)) % len(c.cfg.Controls)
	}
	for i := first; ; i++ {
		addr := c.cfg.Controls[i%len(c.cfg.Controls)]
		connected, err := c.connectOnce(ctx, addr)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		// Failed dials are not logged, because one follows every reconnectInterval while no instance is reachable.
		if connected {
			c.cfg.Observer.Event("connection to control instance ended", "control", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reconnectInterval):
		}
	}
}

// connectOnce serves one connection until it fails or no quorum-confirmed probe reply has arrived for probeTimeout.
func (c *Client) connectOnce(ctx context.Context, addr string) (connected bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dialCtx, cancelDial := context.WithTimeout(ctx, probeTimeout)
	conn, err := messenger.Dial(dialCtx, addr, Path, messenger.Options{
		TLS: c.cfg.TLS, TLSFunc: c.cfg.TLSFunc, Counter: &c.byteCounter, MaxMessageBytes: maxClientMessageBytes,
	})
	cancelDial()
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	v := c.View()
	hello := helloMessage{Identity: c.cfg.Identity, Index: v.Index, Bundle: v.BundleVersion}
	if err := conn.Send(ctx, kindHello, 0, hello); err != nil {
		return false, err
	}
	c.setConn(conn)
	defer c.setConn(nil)
	cc := &clientConnection{
		client: c, conn: conn, probesSent: map[uint64]time.Time{}, lastConfirmation: time.Now(), lastReply: time.Now(),
		loadReportInterval: initialLoadReportInterval,
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(cc.probeLoop(ctx)) })
	wg.Go(func() { cancel(cc.reportDemand(ctx)) })
	if c.cfg.Identity.Role == RoleAgent {
		wg.Go(func() { cancel(cc.reportLoad(ctx)) })
	}
	for {
		e, err := conn.Receive(ctx)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return true, cause
			}
			return true, err
		}
		if err := cc.dispatch(e); err != nil {
			return true, err
		}
	}
}

func (c *Client) setConn(conn *messenger.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if conn != nil {
		close(c.connected)
		return
	}
	c.connected = make(chan struct{})
	for id, ch := range c.pendingCalls {
		close(ch)
		delete(c.pendingCalls, id)
	}
}

// applyDelta rejects a delta that does not continue the current view, and ignores or rejects an older snapshot, so that
// the view never regresses.
func (c *Client) applyDelta(d viewer.Delta) error {
	v := c.View()
	base := v
	if d.From == 0 {
		if d.To <= v.Index && v.Index > 0 {
			return nil
		}
		if d.BundleVersion < v.BundleVersion {
			return &viewer.RegressionError{Current: v.BundleVersion, Received: d.BundleVersion}
		}
		base = viewer.NewView()
	}
	next, err := base.Apply(d)
	if err != nil {
		return err
	}
	if next == v {
		return nil
	}
	c.view.Store(next)
	c.lease.setViewIndex(next.Index)
	c.mu.Lock()
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
	c.mu.Unlock()
	return nil
}

func (c *Client) deliverReply(id uint64, m callReplyMessage) {
	c.mu.Lock()
	ch := c.pendingCalls[id]
	delete(c.pendingCalls, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
		close(ch)
	}
}

// ErrNoReply means that no reply arrived, because the connection failed or replyTimeout passed.
var ErrNoReply = errors.New("no reply from control; the call may have been committed")

// ErrNotSent means that the call was not sent to any control instance.
var ErrNotSent = errors.New("no connection to a control instance; call not sent")

// call sends a message until a reply arrives or ctx ends. Sending it to several instances is safe, because the command
// of every call is idempotent.
func (c *Client) call(ctx context.Context, m callMessage) (r callReplyMessage, err error) {
	var deadline time.Time
	isSent := false
	for {
		r, err = c.callOnce(ctx, m)
		// An earlier attempt may have been committed although its reply was lost or reported no quorum.
		if !errors.Is(err, ErrNotSent) {
			isSent = true
		} else if isSent {
			err = ErrNoReply
		}
		var callErr *CallError
		switch {
		case err == nil, ctx.Err() != nil:
			return r, err
		case errors.As(err, &callErr):
			now := time.Now()
			if deadline.IsZero() {
				deadline = now.Add(noQuorumRetryTimeout)
			}
			if callErr.Code != CodeNoQuorum || now.After(deadline) {
				return r, err
			}
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(callRetryInterval):
		}
	}
}

func (c *Client) callOnce(ctx context.Context, m callMessage) (r callReplyMessage, err error) {
	var conn *messenger.Conn
	for {
		c.mu.Lock()
		connected := c.connected
		if conn = c.conn; conn != nil {
			break
		}
		c.mu.Unlock()
		select {
		case <-connected:
		case <-ctx.Done():
			return r, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
	}
	c.lastCallID++
	id, ch := c.lastCallID, make(chan callReplyMessage, 1)
	c.pendingCalls[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, id)
		c.mu.Unlock()
	}()
	// An interrupted write closes the connection, so the write is not cancelled with ctx.
	writeCtx, cancelWrite := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancelWrite()
	if err := conn.Send(writeCtx, kindCall, id, m); err != nil {
		return r, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	t := time.NewTimer(replyTimeout)
	defer t.Stop()
	select {
	case r, ok := <-ch:
		if !ok {
			return r, ErrNoReply
		}
		if r.Err != nil {
			return r, r.Err
		}
		return r, nil
	case <-t.C:
		return r, ErrNoReply
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// Claim commits a claim and returns the operation's state; it may be retried after a lost reply.
func (c *Client) Claim(ctx context.Context, m Claim) (ClaimReply, error) {
	r, err := c.call(ctx, callMessage{Claim: &m})
	if err != nil {
		return ClaimReply{}, err
	}
	if r.Claim == nil {
		return ClaimReply{}, &CallError{Code: CodeInternal, Message: "reply to a claim has no claim state"}
	}
	return *r.Claim, nil
}

// RecordOutcome commits the outcome of an operation; it may be retried after a lost reply.
func (c *Client) RecordOutcome(ctx context.Context, m OperationOutcome) error {
	_, err := c.call(ctx, callMessage{Outcome: &m})
	return err
}

// ReportCrash commits the suspects of an engine crash, or clears suspects.
func (c *Client) ReportCrash(ctx context.Context, m CrashReport) error {
	if m.ReportID == "" {
		m.ReportID = rand.Text()
	}
	_, err := c.call(ctx, callMessage{Crash: &m})
	return err
}

// Leave marks the agent's endpoint as leaving.
func (c *Client) Leave(ctx context.Context) error {
	_, err := c.call(ctx, callMessage{Leave: true})
	return err
}

// Demand is the number of concurrent requests that a router requests for a workspace.
type Demand struct {
	Workspace string `cbor:"1,keyasint"`
	Desired   int    `cbor:"2,keyasint"`
}

// SetDemand sets the demand for the next report; workspaces without a limit may be omitted.
func (c *Client) SetDemand(d []Demand) { c.shares.setDemand(d) }

// Share returns the limit on this router's in-flight requests of a workspace; ok is false without a valid grant for it.
func (c *Client) Share(workspace string) (n int, ok bool) {
	return c.shares.share(workspace, time.Now())
}

// AcquireLoadPermit waits for a permit to read weights from the rate-limited store and returns the function that
// releases it. The permit is renewed in the background; it expires after 5 s without contact to control.
func (c *Client) AcquireLoadPermit(ctx context.Context) (release func(), err error) {
	c.shares.addDesiredPermits(1)
	release = sync.OnceFunc(func() { c.shares.addDesiredPermits(-1) })
	for {
		ok, granted := c.shares.hasPermits(time.Now())
		if ok {
			return release, nil
		}
		select {
		case <-granted:
		case <-ctx.Done():
			release()
			return nil, ctx.Err()
		}
	}
}

// lease tracks until when the view of a client counts as fresh.
type lease struct {
	mu             sync.Mutex
	viewIndex      uint64
	expires        time.Time
	confirmed      bool      // a quorum has confirmed a view of this process
	reachableUntil time.Time // end of the lease from the last probe reply, even without a quorum
	// pendingExpires is the expiry of a confirmation whose change, pendingIndex, has not been received yet.
	pendingExpires time.Time
	pendingIndex   uint64
}

func (l *lease) isFresh(now time.Time, servesWithoutQuorum bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.expires) || (servesWithoutQuorum && l.confirmed && now.Before(l.reachableUntil))
}

func (l *lease) extendReachable(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachableUntil = maxTime(l.reachableUntil, until)
}

// confirm extends the lease once the view includes the change with the given index.
func (l *lease) confirm(index uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index > l.viewIndex {
		l.pendingIndex, l.pendingExpires = index, until
		return
	}
	l.expires, l.confirmed = maxTime(l.expires, until), true
}

func (l *lease) setViewIndex(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.viewIndex = index
	if !l.pendingExpires.IsZero() && l.pendingIndex <= index {
		l.expires, l.confirmed, l.pendingExpires = maxTime(l.expires, l.pendingExpires), true, time.Time{}
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
