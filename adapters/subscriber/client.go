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
	reconnectPause = 100 * time.Millisecond
	// noQuorumLimit is how long a call is tried again without a quorum; an election takes less than 1 s.
	noQuorumLimit = 3 * time.Second
	noQuorumPause = 100 * time.Millisecond
	// replyLimit is how long a call waits for its reply before it is sent again over another connection.
	replyLimit     = 5 * time.Second
	demandInterval = time.Second
	// minDemandInterval bounds the reports of new demand.
	minDemandInterval = 250 * time.Millisecond
	// firstReport is the interval of load reports until control has given another.
	firstReport = 50 * time.Millisecond
	writeLimit  = 2 * time.Second
)

// ClientConfig configures a client.
type ClientConfig struct {
	Identity Identity
	// Controls are the host:port addresses of the control instances.
	Controls []string
	TLS      *tls.Config
	// TLSFunc returns the settings for each new connection and is used in place of TLS; nil settings mean plain TCP.
	TLSFunc  func() *tls.Config
	Observer *observer.Observer
}

// Client keeps one connection to some control instance and the view that comes over it.
type Client struct {
	cfg     ClientConfig
	counter messenger.Counter

	view        atomic.Pointer[viewer.View]
	pools       atomic.Pointer[map[string]PoolLoad]
	incarnation atomic.Uint64
	lease       lease
	load        atomic.Pointer[Load]
	loadChanged chan struct{}
	book        *shareBook

	mu       sync.Mutex
	conn     *messenger.Conn
	attached chan struct{} // closed while a connection is there
	next     uint64
	calls    map[uint64]chan replyMessage
	changed  chan struct{}
}

// NewClient returns a client that is not connected yet.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Identity.Session == "" {
		cfg.Identity.Session = rand.Text()
	}
	c := &Client{
		cfg: cfg, calls: map[uint64]chan replyMessage{}, attached: make(chan struct{}), changed: make(chan struct{}),
		loadChanged: make(chan struct{}, 1), book: newShareBook(),
	}
	c.view.Store(viewer.NewView())
	c.pools.Store(&map[string]PoolLoad{})
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
	}{{"in", &c.counter.In}, {"out", &c.counter.Out}} {
		// A registry may already hold the counter of an earlier client of the same process.
		_ = c.cfg.Observer.Registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cactusroute_control_connection_bytes_total", Help: "Bytes on connections to control, at the socket.",
			ConstLabels: prometheus.Labels{"direction": m.direction},
		}, func() float64 { return float64(m.n.Load()) }))
	}
}

// View returns the newest view; it is empty before the first connection.
func (c *Client) View() *viewer.View { return c.view.Load() }

// IsFresh reports whether the view covers everything that was committed up to 2 s ago. With onQuorumLoss serve it
// is also true while some control instance answers, once a quorum has confirmed a view of this process.
func (c *Client) IsFresh(now time.Time) bool {
	return c.lease.isFresh(now, c.View().Freshness.OnQuorumLoss == bundler.QuorumLossServe)
}

// IsAttached reports whether there is a connection to some control instance.
func (c *Client) IsConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// PoolLoad returns the last known load of a pool.
func (c *Client) PoolLoad(pool string) PoolLoad { return (*c.pools.Load())[pool] }

// Incarnation returns the number that control issued for the agent's announcement; 0 before that.
func (c *Client) Incarnation() uint64 { return c.incarnation.Load() }

// SetLoad stores the load that the next report carries.
func (c *Client) SetLoad(l Load) {
	if old := c.load.Swap(&l); *old == l {
		return
	}
	select {
	case c.loadChanged <- struct{}{}:
	default:
	}
}

// ControlBytes returns the bytes received and sent on connections to control, counted at the socket.
func (c *Client) ControlBytes() (in, out uint64) { return c.counter.In.Load(), c.counter.Out.Load() }

// Changed returns a channel that is closed when the view changes.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Serve keeps the client connected until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	if len(c.cfg.Controls) == 0 {
		return errors.New("no control instance is configured")
	}
	// A start at different instances spreads the clients over the control group.
	first := 0
	for _, b := range []byte(c.cfg.Identity.Name) {
		first = (first*31 + int(b)) % len(c.cfg.Controls)
	}
	for i := first; ; i++ {
		addr := c.cfg.Controls[i%len(c.cfg.Controls)]
		attached, err := c.attach(ctx, addr)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		// Attempts that fail while no instance can be reached are not changes of state.
		if attached {
			c.cfg.Observer.Event("control connection ended", "control", addr, "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reconnectPause):
		}
	}
}

// attach ends with an error when the connection does, or when no confirmed answer came for answerLimit.
func (c *Client) attach(ctx context.Context, addr string) (attached bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dial, done := context.WithTimeout(ctx, answerLimit)
	conn, err := messenger.Dial(dial, addr, Path, messenger.Options{
		TLS: c.cfg.TLS, TLSFunc: c.cfg.TLSFunc, Counter: &c.counter, MaxBytes: maxClientBytes,
	})
	done()
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
	l := &link{client: c, conn: conn, sent: map[uint64]time.Time{}, last: time.Now(), report: firstReport}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(l.probe(ctx)) })
	wg.Go(func() { cancel(l.reportDemand(ctx)) })
	if c.cfg.Identity.Role == RoleAgent {
		wg.Go(func() { cancel(l.reportLoad(ctx)) })
	}
	for {
		e, err := conn.Receive(ctx)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return true, cause
			}
			return true, err
		}
		if err := l.dispatch(e); err != nil {
			return true, err
		}
	}
}

func (c *Client) setConn(conn *messenger.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if conn != nil {
		close(c.attached)
		return
	}
	c.attached = make(chan struct{})
	for id, ch := range c.calls {
		close(ch)
		delete(c.calls, id)
	}
}

// apply never goes back: a whole view must be as new as the present one, and a delta must follow it.
func (c *Client) apply(d viewer.Delta) error {
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
	c.lease.viewed(next.Index)
	c.mu.Lock()
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	return nil
}

func (c *Client) reply(id uint64, m replyMessage) {
	c.mu.Lock()
	ch := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
		close(ch)
	}
}

// ErrDetached says that the connection to control ended before the reply, which may be lost.
var ErrNoReply = errors.New("control connection ended before the reply")

// ErrNotSent says that no control instance was reached, so that the call was not sent.
var ErrNotSent = errors.New("control not reached, call not sent")

// call sends a message until a reply comes or ctx ends. It may be sent to several instances, which every message
// allows, because its command has the same result when it is applied twice.
func (c *Client) call(ctx context.Context, m callMessage) (r replyMessage, err error) {
	var deadline time.Time
	isSent := false
	for {
		r, err = c.callOnce(ctx, m)
		// An earlier try may have been committed although its reply was lost or said that there was no quorum.
		if !errors.Is(err, ErrNotSent) {
			isSent = true
		} else if isSent {
			err = ErrNoReply
		}
		var refusal *CallError
		switch {
		case err == nil, ctx.Err() != nil:
			return r, err
		case errors.As(err, &refusal):
			now := time.Now()
			if deadline.IsZero() {
				deadline = now.Add(noQuorumLimit)
			}
			if refusal.Code != CodeNoQuorum || now.After(deadline) {
				return r, err
			}
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(noQuorumPause):
		}
	}
}

func (c *Client) callOnce(ctx context.Context, m callMessage) (r replyMessage, err error) {
	var conn *messenger.Conn
	for {
		c.mu.Lock()
		attached := c.attached
		if conn = c.conn; conn != nil {
			break
		}
		c.mu.Unlock()
		select {
		case <-attached:
		case <-ctx.Done():
			return r, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
	}
	c.next++
	id, ch := c.next, make(chan replyMessage, 1)
	c.calls[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, id)
		c.mu.Unlock()
	}()
	// A write that is interrupted ends the connection, so it does not use the caller's context.
	write, done := context.WithTimeout(context.WithoutCancel(ctx), writeLimit)
	defer done()
	if err := conn.Send(write, kindCall, id, m); err != nil {
		return r, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	t := time.NewTimer(replyLimit)
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

// Claim commits a claim and returns the operation's state; it may be sent again after a lost reply.
func (c *Client) Claim(ctx context.Context, m Claim) (ClaimReply, error) {
	r, err := c.call(ctx, callMessage{Claim: &m})
	if err != nil {
		return ClaimReply{}, err
	}
	if r.Claim == nil {
		return ClaimReply{}, &CallError{Code: CodeInternal, Message: "reply without a claim"}
	}
	return *r.Claim, nil
}

// Settle commits how a run ended; it may be sent again after a lost reply.
func (c *Client) RecordOutcome(ctx context.Context, m OperationOutcome) error {
	_, err := c.call(ctx, callMessage{Outcome: &m})
	return err
}

// ReportCrash commits suspects or clears them.
func (c *Client) ReportCrash(ctx context.Context, m CrashReport) error {
	if m.ReportID == "" {
		m.ReportID = rand.Text()
	}
	_, err := c.call(ctx, callMessage{Crash: &m})
	return err
}

// Leave commits that the agent's endpoint is leaving.
func (c *Client) Leave(ctx context.Context) error {
	_, err := c.call(ctx, callMessage{Leave: true})
	return err
}

// Demand is how many requests of a workspace a router wants in flight at once.
type Demand struct {
	Workspace string `cbor:"1,keyasint"`
	Desired   int    `cbor:"2,keyasint"`
}

// SetDemand stores the demand that the next report carries; only workspaces with a limit need to be given.
func (c *Client) SetDemand(d []Demand) { c.book.setDemand(d) }

// Share returns how many requests of a limited workspace this router may have in flight; ok is false while
// control has assigned none.
func (c *Client) Share(workspace string) (n int, ok bool) { return c.book.share(workspace, time.Now()) }

// LoadPermit waits for the right to read weights from the store and returns its release. The permit is renewed in
// the background until it is released; it ends after 5 s without control.
func (c *Client) AcquireLoadPermit(ctx context.Context) (release func(), err error) {
	c.book.addPermit(1)
	release = sync.OnceFunc(func() { c.book.addPermit(-1) })
	for {
		ok, changed := c.book.permitted(time.Now())
		if ok {
			return release, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			release()
			return nil, ctx.Err()
		}
	}
}

// lease is the freshness of a client's view.
type lease struct {
	mu        sync.Mutex
	index     uint64
	until     time.Time
	confirmed bool      // a quorum has confirmed a view of this process
	reachable time.Time // until when an instance that answered counts as reachable
	// waiting is a confirmation that covers a change which has not come yet.
	waiting      time.Time
	waitingIndex uint64
}

func (l *lease) isFresh(now time.Time, serve bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until) || (serve && l.confirmed && now.Before(l.reachable))
}

func (l *lease) reached(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachable = later(l.reachable, until)
}

// confirm extends the lease if the view covers index, or else once it does.
func (l *lease) confirm(index uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index > l.index {
		l.waitingIndex, l.waiting = index, until
		return
	}
	l.until, l.confirmed = later(l.until, until), true
}

func (l *lease) viewed(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	if !l.waiting.IsZero() && l.waitingIndex <= index {
		l.until, l.confirmed, l.waiting = later(l.until, l.waiting), true, time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
