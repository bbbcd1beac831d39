package control

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"cactusroute.dev/adapters/certifier"
	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	// tickInterval is how often the leader advances the state clock, which moves by at most 10 s per tick.
	tickInterval   = 5 * time.Second
	proposeTimeout = 3 * time.Second
	// shutdownGracePeriod is how long operators' requests may still run during a shutdown.
	shutdownGracePeriod = 5 * time.Second
	// idleGracePeriod is how long idle connections of operators stay open in it: their next requests are answered that
	// the instance stops.
	idleGracePeriod = 2 * time.Second
)

// Options are the dependencies of a control instance.
type Options struct {
	// Store holds the applied tables; nil means an in-memory store.
	Store applier.Store
	// NewCommitter returns the committer that drives the state machine; nil means a StandaloneCommitter.
	NewCommitter func(sm StateMachine) (Committer, error)
	// Certifier provides the TLS configuration and checks peer certificates; nil means plain TCP.
	Certifier *certifier.Certifier
}

// Control is one control instance.
type Control struct {
	settings     Settings
	obs          *observer.Observer
	callers      *server.Resources
	state        *state
	committer    Committer
	softState    *softState
	metrics      *metrics
	counter      messenger.ByteCounter
	leadership   leadership
	stopping     atomic.Bool
	bootstrapped atomic.Bool
	caughtUp     atomic.Bool // set once a quorum has confirmed a read index since the start
	close        func() error
	certifier    *certifier.Certifier
}

// New returns a control instance; Serve runs it.
func New(s Settings, obs *observer.Observer, opts Options) (c *Control, err error) {
	if s.LoadPermits == 0 {
		s.LoadPermits = defaultLoadPermits
	}
	if opts.Store == nil {
		opts.Store = applier.NewMemoryStore()
	}
	c = &Control{settings: s, obs: obs, callers: server.NewResources(s.Machine, obs), state: newState(opts.Store),
		close:     func() error { return nil },
		certifier: opts.Certifier}
	c.softState = newSoftState(s.Place.Name, c.state.View, s.LoadPermits)
	if opts.NewCommitter == nil {
		opts.NewCommitter = func(sm StateMachine) (Committer, error) { return NewStandaloneCommitter(s.Place.Name, sm), nil }
	}
	if c.committer, err = opts.NewCommitter(c.state); err != nil {
		return nil, fmt.Errorf("start committer: %w", err)
	}
	c.state.logEvent = func(msg string, keyvals ...any) {
		// Entries that are replayed after a restart were logged before.
		if c.caughtUp.Load() {
			obs.Event(msg, keyvals...)
		}
	}
	c.committer.OnSoftState(c.softState.handleMessage)
	c.metrics = newMetrics(c)
	return c, nil
}

// Handler returns the handler of requests from routers, agents, operators and the other control instances.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(subscriber.Path, c.certifier.RequirePeer(&subscriber.Server{Backend: c}))
	if p := c.committer.Path(); p != "" {
		mux.Handle(p, c.certifier.RequirePeer(c.committer.Handler()))
	}
	mux.Handle("GET /metrics", c.obs.MetricsHandler())
	mux.Handle("GET "+recorder.Path, c.certifier.RequirePeer(c.obs.TimelineHandler()))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		if err := c.state.err(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if _, at, ok := c.committer.Confirmed(); c.stopping.Load() || !ok || time.Since(at) > maxConfirmationAge {
			http.Error(w, "no recent quorum confirmation, or stopping", http.StatusServiceUnavailable)
		}
	})
	(&adminAPI{control: c}).routes(mux)
	return mux
}

// WrapListener returns a listener that counts the bytes of all connections at the socket.
func (c *Control) WrapListener(l net.Listener) net.Listener {
	return &messenger.CountingListener{Listener: l, Counter: &c.counter}
}

// Serve runs the replica and the periodic tasks until ctx ends or the store fails.
func (c *Control) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New("control "+c.settings.Place.Name, suture.Spec{
		EventHook: func(e suture.Event) { c.obs.Event("supervisor", "event", e.String()) },
	})
	sup.Add(&committerService{c.committer})
	done := sup.ServeBackground(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	// The committer closes the log store when the supervisor ends; only then may another process open the data folder.
	supervised := make(chan struct{})
	var supervisorErr error
	wg.Go(func() {
		supervisorErr = <-done
		close(supervised)
	})
	defer cancel()
	wg.Go(func() { c.runPeriodically(ctx, broadcastInterval, c.broadcastSoftState) })
	wg.Go(func() { c.runPeriodically(ctx, presenceInterval, c.refreshPresence) })
	wg.Go(func() { c.runPeriodically(ctx, tickInterval, c.proposeTick) })
	select {
	case <-c.state.applyFailed:
		c.obs.Event("state machine failed", "err", c.state.err())
		return fmt.Errorf("state machine: %w", c.state.err())
	case <-supervised:
		return supervisorErr
	case <-ctx.Done():
		c.stopping.Store(true)
		c.softState.closeConnections()
		return ctx.Err()
	}
}

// committerService names the committer in the supervisor's events. Without a name the supervisor formats the committer,
// which reads all its fields without their locks.
type committerService struct{ Committer }

// String returns the service name for the supervisor.
func (*committerService) String() string { return "committer" }

func (c *Control) runPeriodically(ctx context.Context, interval time.Duration, run func(ctx context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		run(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Control) broadcastSoftState(context.Context) {
	for _, b := range c.softState.takeMessages() {
		c.committer.Broadcast(b)
	}
}

func (c *Control) proposeTick(ctx context.Context) {
	if c.committer.Status().IsLeader {
		if _, err := c.propose(ctx, applier.Command{Tick: &applier.Tick{}}); err != nil {
			c.metrics.proposalFailures.Inc()
		}
	}
}

// refreshPresence marks agents as lost if this instance leads, and announces connected agents that were marked as
// lost again.
func (c *Control) refreshPresence(ctx context.Context) {
	now := time.Now()
	st := c.committer.Status()
	_, at, ok := c.committer.Confirmed()
	if ok {
		c.caughtUp.Store(true)
	}
	c.softState.updateAllocator(st, at, ok, now)
	c.softState.refreshProcesses(now)
	v := c.state.View()
	c.leadership.update(st.IsLeader, now)
	if st.IsLeader {
		c.bootstrap(ctx)
		c.markLostAgents(ctx, v, now)
	}
	for _, conn := range c.softState.agentConnections() {
		p := conn.Process()
		e, known := v.Endpoints[p.Identity.Name]
		switch {
		case !known || p.Incarnation == 0 || now.Sub(conn.LastMessageAt()) > lostAfter/2:
		case e.Incarnation > p.Incarnation:
			c.obs.Event("agent connection closed: replaced by a newer incarnation",
				"agent", e.Name, "incarnation", e.Incarnation)
			conn.Close()
		case e.Lost && e.Incarnation == p.Incarnation:
			_ = conn.Announce(ctx)
		}
	}
}

func (c *Control) bootstrap(ctx context.Context) {
	if c.bootstrapped.Load() || len(c.settings.BootstrapKeys) == 0 {
		return
	}
	b := &applier.Bootstrap{}
	for i := range c.settings.BootstrapKeys {
		b.Keys = append(b.Keys, c.settings.BootstrapKeys[i].key())
	}
	if _, err := c.propose(ctx, applier.Command{Actor: "settings", Bootstrap: b}); err == nil {
		c.bootstrapped.Store(true)
	}
}

// markLostAgents marks agents as lost after a silence of lostAfter and as gone after goneAfter. It counts silence from
// the start of the leadership at the earliest, because a new leader has no earlier reports of other instances.
func (c *Control) markLostAgents(ctx context.Context, v *viewer.View, now time.Time) {
	leaderSince := c.leadership.startedAt()
	for _, e := range v.Endpoints {
		silence := now.Sub(latest(c.softState.lastMessageAt(e.Name), leaderSince))
		var loss *applier.MarkLost
		switch {
		case !e.Lost && silence > lostAfter:
			loss = &applier.MarkLost{Endpoint: e.Name, Incarnation: e.Incarnation}
		case e.Lost && silence > goneAfter && !c.leadership.isMarkedGone(&e):
			loss = &applier.MarkLost{Endpoint: e.Name, Incarnation: e.Incarnation, Gone: true}
		default:
			continue
		}
		if _, err := c.propose(ctx, applier.Command{MarkLost: loss}); err != nil {
			return
		}
		if loss.Gone {
			c.leadership.markGone(&e)
		}
		c.obs.Event("agent marked as lost", "agent", e.Name, "incarnation", e.Incarnation, "gone", loss.Gone)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

var errNoQuorum = &subscriber.CallError{
	Code: subscriber.CodeNoQuorum, Message: "no quorum before the timeout; the command may still commit",
}

// errSenderLeft is the result of an administration command that nobody waits for.
var errSenderLeft = &subscriber.CallError{
	Code: subscriber.CodeNoQuorum, Message: "the sender of the command has left; it was not carried out",
}

// propose commits a command and returns its result. It returns a *subscriber.CallError without a quorum, or an
// *applier.RefusalError.
func (c *Control) propose(ctx context.Context, cmd applier.Command) (r applier.Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd.Time = time.Now().UnixMilli()
	entry, err := cmd.Encode()
	if err != nil {
		return r, err
	}
	start := time.Now()
	applied, err := c.committer.Propose(ctx, entry)
	c.metrics.proposalSeconds.Observe(time.Since(start).Seconds())
	if err != nil {
		c.metrics.proposalFailures.Inc()
		return r, fmt.Errorf("%w: %w", errNoQuorum, err)
	}
	switch result := applied.(type) {
	case applier.Result:
		if result.Err != nil {
			c.metrics.refusals.WithLabelValues(string(result.Err.Code)).Inc()
			return result, result.Err
		}
		return result, nil
	case error:
		return r, result
	}
	// The entry was applied here as part of a snapshot, which does not include its result.
	return r, errNoQuorum
}

// proposeForClient is like propose, but returns a refusal as a *subscriber.CallError.
func (c *Control) proposeForClient(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	r, err := c.propose(ctx, cmd)
	var refusal *applier.RefusalError
	if errors.As(err, &refusal) {
		return r, &subscriber.CallError{Code: string(refusal.Code), Message: refusal.Message}
	}
	return r, err
}

// Announce commits the announcement of an agent and returns its incarnation.
func (c *Control) Announce(ctx context.Context, id subscriber.Identity) (uint64, error) {
	r, err := c.proposeForClient(ctx, applier.Command{Announce: &applier.Announce{
		Name: id.Name, Address: id.Address, Pool: id.Pool, FailureDomain: id.FailureDomain, Region: id.Region,
		Session: id.Session,
	}})
	return r.Incarnation, err
}

// Connected registers the connection of a client.
func (c *Control) Connected(conn *subscriber.Connection) { c.softState.addConnection(conn) }

// Disconnected removes the closed connection of a client.
func (c *Control) Disconnected(conn *subscriber.Connection) { c.softState.removeConnection(conn) }

// Delta returns the view changes after index, or false if there are none.
func (c *Control) Delta(index uint64) (viewer.Delta, bool) { return c.state.Delta(index) }

// Changed returns a channel that is closed at the next change of the view.
func (c *Control) Changed() <-chan struct{} { return c.state.Changed() }

// Confirmed returns the view index that the last quorum confirmation covers, and the start of that confirmation.
func (c *Control) Confirmed() (uint64, time.Time, bool) {
	index, at, ok := c.committer.Confirmed()
	if !ok || c.state.err() != nil {
		return 0, time.Time{}, false
	}
	return c.state.viewIndex(index), at, true
}

// ReportLoad stores the load of an agent's endpoint.
func (c *Control) ReportLoad(id subscriber.Identity, l subscriber.Load) {
	c.softState.reportLoad(id.Name, l)
}

// ReportDemand requests shares and load permits for a client.
func (c *Control) ReportDemand(id subscriber.Identity, r allocator.Report) {
	c.softState.reportDemand(processKey(&id), r)
}

// PoolLoads returns the mean load of one pool, or of all if pool is empty; the channel is closed at the next change.
func (c *Control) PoolLoads(pool string) ([]subscriber.PoolLoad, <-chan struct{}) {
	return c.softState.poolLoads(pool)
}

// BundleVersion returns the bundle version in force at this instance, or 0 before the first rollout.
func (c *Control) BundleVersion() uint64 { return c.state.View().BundleVersion }

// Claim commits a claim and returns the state of the operation.
func (c *Control) Claim(ctx context.Context, m subscriber.Claim) (reply subscriber.ClaimReply, err error) {
	r, err := c.proposeForClient(ctx, applier.Command{Claim: &applier.Claim{
		Operation: m.Operation, Digest: m.Digest, Workspace: m.Workspace, Endpoint: m.Endpoint,
		Incarnation: m.Incarnation, NotRun: m.NotRun,
	}})
	if err != nil {
		return reply, err
	}
	return claimReply(&r), nil
}

func claimReply(r *applier.Result) subscriber.ClaimReply {
	if r.Conflict {
		return subscriber.ClaimReply{State: subscriber.ClaimConflict}
	}
	reply := subscriber.ClaimReply{
		State: subscriber.ClaimState(r.Claim.State), Endpoint: r.Claim.Endpoint, Incarnation: r.Claim.Incarnation,
		Generation: r.Claim.Generation,
	}
	if r.Granted {
		reply.State = subscriber.ClaimGranted
	}
	if a := r.Claim.Answer; a != nil {
		reply.Answer = &subscriber.RecordedAnswer{Status: a.Status, Type: a.Type, Body: a.Body}
	}
	return reply
}

// RecordOutcome commits the outcome of an operation.
func (c *Control) RecordOutcome(ctx context.Context, m subscriber.OperationOutcome) error {
	outcome := &applier.RecordOutcome{Operation: m.Operation, Generation: m.Generation, NotRun: m.NotRun}
	if m.Answer != nil {
		outcome.Answer = &applier.Answer{Status: m.Answer.Status, Type: m.Answer.Type, Body: m.Answer.Body}
	}
	_, err := c.proposeForClient(ctx, applier.Command{RecordOutcome: outcome})
	return err
}

// ReportCrash commits the suspects of an engine crash, or clears suspects.
func (c *Control) ReportCrash(ctx context.Context, m subscriber.CrashReport) error {
	_, err := c.proposeForClient(ctx, applier.Command{ReportCrash: &applier.ReportCrash{
		ReportID: m.ReportID, Endpoint: m.Endpoint, Suspects: m.Suspects, Cleared: m.Cleared,
	}})
	return err
}

// Leave marks an endpoint as leaving.
func (c *Control) Leave(ctx context.Context, id subscriber.Identity, incarnation uint64) error {
	_, err := c.proposeForClient(ctx, applier.Command{Leave: &applier.Leave{Endpoint: id.Name, Incarnation: incarnation}})
	return err
}

// InstallBundle stores, signs and rolls out a bundle with bootstrap keys, for a fleet in one process.
func (c *Control) InstallBundle(
	ctx context.Context, b *bundler.Bundle, operator, signer string, privateKey ed25519.PrivateKey,
) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("install bundle %d: %w", b.Version, err)
		}
	}()
	c.bootstrap(ctx)
	content, err := bundler.EncodeCanonical(b)
	if err != nil {
		return err
	}
	sig := ed25519.Sign(privateKey, applier.SignedMessage(bundler.Digest(content)))
	for _, cmd := range []applier.Command{
		{Actor: operator, PutBundle: &applier.PutBundle{Content: content}},
		{Actor: signer, SignBundle: &applier.SignBundle{Version: b.Version, Signature: sig}},
		{Actor: operator, RollOutBundle: &applier.RollOutBundle{Version: b.Version}},
	} {
		if _, err := c.propose(ctx, cmd); err != nil {
			return err
		}
	}
	return nil
}

// Open returns a control instance with the given settings; Run runs it. Without a data folder it is a standalone
// instance in memory.
func Open(s Settings, obs *observer.Observer) (*Control, error) {
	return open(s, obs, &committer.Config{Observer: obs})
}

func open(s Settings, obs *observer.Observer, cfg *committer.Config) (c *Control, err error) {
	cert, err := certifier.New(s.TLS, obs.Event)
	if err != nil {
		return nil, err
	}
	if s.DataDir == "" {
		return New(s, obs, Options{Certifier: cert})
	}
	cfg.Messenger.TLSFunc = cert.ClientConfig
	store := NewDiskStore(s.DataDir)
	c, err = New(s, obs, Options{
		Store: store, Certifier: cert,
		NewCommitter: func(sm StateMachine) (Committer, error) { return newReplicatedCommitter(cfg, &s, sm) },
	})
	if err != nil {
		return nil, err
	}
	c.close = store.Close
	return c, nil
}

// Run opens a control instance and runs it until ctx ends.
func Run(ctx context.Context, s Settings, obs *observer.Observer) error {
	c, err := Open(s, obs)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

// Run serves at the configured address until ctx ends, and then closes the instance.
func (c *Control) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Join(err, c.close()) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(c.Serve(ctx)) })
	srv := &server.Server{
		Addr: c.settings.Listen, Handler: server.BoundBodies(c.Handler()), TLS: c.certifier.PublicConfig(),
		GracePeriod:  shutdownGracePeriod,
		IdleGrace:    idleGracePeriod,
		Guard:        c.callers.Guard(server.ShareCallers),
		WrapListener: c.WrapListener,
	}
	if err := srv.Serve(ctx); err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	return nil
}
