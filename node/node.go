package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/thejerf/suture/v4"

	"cactusroute.dev/adapters/advancer"
	"cactusroute.dev/adapters/clockwatcher"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/transporter"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/planner"
)

// MetricsPath is the path of the metrics on their own address.
const MetricsPath = "/metrics"

// restartBackoff is the pause before a service that keeps failing is restarted, for example because another process
// uses its port; it is about the time of an election, the shortest outage that callers notice.
const restartBackoff = 500 * time.Millisecond

// Node is one process of a fleet without agents.
type Node struct {
	settings Settings
	obs      *observer.Observer
	queue    *observer.AsyncWriter
	fleet    *fleet
	front    *proxy
	ready    server.Readiness
	callers  *server.Resources

	controlStopping chan struct{} // closed by stopControl
	controlStopped  chan struct{} // closed when the server of operators and endpoints has stopped
}

// New returns a node that serves once Run is called; the settings must have been checked.
func New(s Settings, d Dialect, obs *observer.Observer, queue *observer.AsyncWriter) *Node {
	log := newRateLimitedLog(obs, queue)
	f := newFleet(s, d, log)
	f.exchangeOptions = messenger.Options{OnMessage: newExchangeMetrics(obs).count}
	if s.DataFolder != "" {
		f.control = &controlInstance{settings: s, obs: obs, eligibleInstances: f.eligibleInstances,
			suspensions: clockwatcher.NewSuspensionDetector(clockwatcher.SuspendedTime)}
		f.control.stateMachine = fleetapplier.New(func(st fleetapplier.State) {
			f.receiveState(st.Index, &st.Plan, st.TakenOut, st.Rollouts, stateFromLog)
		})
		f.control.stateMachine.OnDepartures = f.recordDepartures
		f.control.stateMachine.OnLifts = f.evidence.applyLifts
		f.control.server = exchanger.NewServer(f.exchangeOptions, f)
		f.streams.publish = f.control.server.PublishStreams
		f.evidence.publish = func(e exchanger.Evidence) {
			f.control.server.PublishEvidence(e)
			f.markCacheDirty()
		}
	}
	pool := forwarder.NewPool(s.EndpointLimits.Limits)
	n := &Node{settings: s, obs: obs, queue: queue, fleet: f, controlStopping: make(chan struct{}),
		controlStopped: make(chan struct{})}
	n.front = &proxy{dialect: d, fleet: f, pool: pool, log: log, metrics: newMetrics(obs, f, pool, queue)}
	pool.OnEnd = n.front.recordIdleEnd
	n.callers = server.NewResources(s.Machine, obs)
	pool.MaxConns = n.callers.Descriptors(server.ShareEndpoints)
	n.front.bodies, n.front.answers = &n.callers.Bodies, &n.callers.Answers
	n.callers.SetBodyMemory(s.BodyMemoryBytes)
	n.ready.Check = func() error {
		if !f.isReady() {
			return errors.New("no plan received yet")
		}
		return nil
	}
	return n
}

// Serve runs a node that logs to standard output and reloads its seeds from the settings file, which load reads.
func Serve(
	ctx context.Context, s Settings, d Dialect, file string, load func(file string) (Settings, error),
) error {
	queue := observer.NewAsyncWriter(os.Stdout)
	n := New(s, d, observer.New(queue, s.Place.Name), queue)
	n.WatchSettings(ctx, file, load)
	return n.Run(ctx)
}

// Run serves until ctx ends and returns after the requests in progress have ended.
func (n *Node) Run(ctx context.Context) error {
	n.obs.Event("node started", "settings", fmt.Sprintf("%+v", n.settings), "cpus", runtime.NumCPU())
	// The other services run until the front server has stopped, because requests in progress need them.
	servicesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if n.fleet.control != nil {
		n.fleet.control.openFirst()
		n.fleet.loadStateCache()
		n.fleet.streamLog = &streamLog{fs: n.fleet.control.disk(), folder: n.settings.DataFolder, known: n.fleet.streams.all}
		n.fleet.loadStreams()
	}
	sup := suture.New(n.settings.Place.Name, suture.Spec{
		Timeout: time.Second, FailureBackoff: restartBackoff, EventHook: n.logSupervisorEvent,
	})
	n.addServices(sup)
	done := sup.ServeBackground(servicesCtx)
	err := n.serveFront(ctx)
	n.stopControl()
	n.obs.Event("node stopped", "cause", context.Cause(ctx))
	cancel()
	if supErr := <-done; supErr != nil && !errors.Is(supErr, context.Canceled) {
		n.obs.Event("supervisor stopped with an error", "err", supErr)
	}
	if n.fleet.control != nil {
		n.fleet.control.server.Close()
	}
	n.queue.Flush()
	return err
}

// logSupervisorEvent logs the failure of a service and the reaction of the supervisor.
func (n *Node) logSupervisorEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		n.obs.Event("service failed", "service", e.ServiceName, "err", e.Err)
	case suture.EventServicePanic:
		n.obs.Event("service panicked", "service", e.ServiceName, "cause", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventBackoff, suture.EventResume: // the failures that cause them are logged
	default:
		n.obs.Event("supervisor", "event", e.String())
	}
}

func (n *Node) serveFront(ctx context.Context) error {
	if n.settings.Listen.Front == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	fs := &frontServer{addr: n.settings.Listen.Front, handler: n.front, guard: n.callers.CallerGuard(),
		grace: time.Duration(n.settings.GraceMillis) * time.Millisecond,
		limits: func() planner.Limits {
			if p := n.fleet.view.Load().plan; p != nil {
				return p.Limits
			}
			return planner.Limits{}
		},
		onAcceptError: func(err error) { n.fleet.log.failure("msg", "connection of a caller not accepted", "err", err) },
		onStall: func(c net.Conn) {
			n.fleet.log.failure("msg", "caller reads nothing", "caller", c.RemoteAddr().String(),
				"ms", callerStallTimeout.Milliseconds())
		},
		stoppedSince: n.fleet.pauses.Since,
		onStop: func(stop stopTimes) {
			n.ready.SetNotReady()
			n.front.stop(stop)
			n.obs.Event("node is stopping", "graceMs", n.settings.GraceMillis,
				"lateMs", time.Until(stop.lateAt).Milliseconds(), "closeMs", time.Until(stop.closeAt).Milliseconds())
		}}
	return fs.Serve(ctx)
}

// addServices adds all services but the front server.
func (n *Node) addServices(sup *suture.Supervisor) {
	f, l := n.fleet, n.settings.Listen
	sup.Add(n.queue)
	sup.Add(service{"views", f.publishViews})
	sup.Add(service{"heldStates", f.releaseHeldStates})
	sup.Add(service{"seek", f.discover})
	sup.Add(service{"tick", n.runMaintenance})
	sup.Add(service{"pauses", f.pauses.Watch})
	exchange := http.NewServeMux()
	exchange.Handle(exchanger.DiscoveryPath, f.discovery)
	exchange.Handle(recorder.Path, n.obs.TimelineHandler())
	if f.control != nil {
		sup.Add(f.control)
		sup.Add(service{"confirmations", f.trackConfirmations})
		sup.Add(service{"peers", f.subscribeToPeers})
		sup.Add(service{"loads", f.aggregateLoads})
		sup.Add(service{"memory", f.persistStateCache})
		sup.Add(service{"rollouts", func(ctx context.Context) error { return advancer.Serve(ctx, f, f.routing.routerCount) }})
		sup.Add(service{"crashes", f.evidence.evaluate})
		sup.Add(service{"streams", f.streams.publishPending})
		sup.Add(service{"streamLog", f.persistStreams})
		exchange.Handle(transporter.Path, f.control)
		exchange.Handle(exchanger.SubscriptionPath, f.control.server)
	} else {
		sup.Add(service{"subscription", f.subscribe})
	}
	sup.Add(&server.Server{Addr: l.Exchange, Handler: server.TrackBodies(exchange),
		Guard: n.callers.Guard(server.ShareExchange)})
	if l.Control != "" {
		sup.Add(service{"control", n.serveControl})
	}
	if l.Ready != "" {
		sup.Add(&server.Server{Addr: l.Ready, Handler: &n.ready, Guard: n.callers.Guard(server.ShareChecks)})
	}
	if l.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle(MetricsPath, n.obs.MetricsHandler())
		sup.Add(&server.Server{Addr: l.Metrics, Handler: mux, Guard: n.callers.Guard(server.ShareChecks)})
	}
}

// controlGrace is how long calls of operators and endpoints may still take when the node stops. It fits into
// shutdownMargin.
const controlGrace = 250 * time.Millisecond

// serveControl serves operators and endpoints until ctx ends or stopControl is called.
func (n *Node) serveControl(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.controlStopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	srv := &server.Server{Addr: n.settings.Listen.Control, GracePeriod: controlGrace,
		Handler: server.BoundBodies(n.fleet.dialect.Control(n.fleet)), Guard: n.callers.Guard(server.ShareControl)}
	err := srv.Serve(ctx)
	select {
	case <-n.controlStopping:
		close(n.controlStopped)
		return suture.ErrDoNotRestart
	default:
		return err
	}
}

// stopControl completes the calls of operators and endpoints, which need the other services.
func (n *Node) stopControl() {
	if n.settings.Listen.Control == "" {
		return
	}
	close(n.controlStopping)
	select {
	case <-n.controlStopped:
	case <-time.After(controlGrace + closeGrace):
	}
}

// runMaintenance checks the clocks and expires stale state periodically until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; {
		now := time.Now()
		monotonic, wall := clockwatcher.Elapsed(last, now)
		last = now
		suspended, stepped := clockwatcher.Anomalies(monotonic, wall, expiryInterval)
		if suspended > 0 {
			n.fleet.log.event("process was suspended", "ms", suspended.Milliseconds())
		}
		if stepped != 0 {
			n.fleet.log.event("clock stepped", "ms", stepped.Milliseconds())
		}
		n.fleet.expire(now)
		n.fleet.logDecisions()
		n.front.pool.CloseExpired(time.Now(), func(string) bool { return true })
		sleeper.Pause(ctx, expiryInterval)
	}
	return ctx.Err()
}

// service is a named function run by the supervisor.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// String implements fmt.Stringer.
func (s service) String() string { return s.name }

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }
