package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/thejerf/suture/v4"

	"cactusroute.dev/adapters/courier"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/planner"
)

// MetricsPath is where the metrics are served on their own address.
const MetricsPath = "/metrics"

// restartPause is the time between the restarts of a service that keeps failing, for example because another process
// holds its port; it is about an election, the shortest outage that callers notice.
const restartPause = 500 * time.Millisecond

// Node is one process of an open fleet.
type Node struct {
	settings Settings
	obs      *observer.Observer
	queue    *observer.AsyncWriter
	fleet    *fleet
	front    *front
	ready    server.Readiness
}

// New returns a node that serves when it is run; the settings have been checked.
func New(s Settings, d Dialect, obs *observer.Observer, queue *observer.AsyncWriter) *Node {
	log := newDecisionLog(obs, queue)
	f := newFleet(s, d, log)
	if s.DataFolder != "" {
		f.hub = &hub{settings: s, obs: obs, met: f.metPeers}
		f.hub.archive = fleetapplier.New(func(st fleetapplier.State) {
			f.stateChanged(st.Index, &st.Plan, st.TakenOut)
			f.hub.server.StateChanged()
		})
		f.hub.server = exchanger.NewServer(messenger.Options{}, f)
	}
	pool := forwarder.NewPool()
	n := &Node{settings: s, obs: obs, queue: queue, fleet: f}
	n.front = &front{dialect: d, fleet: f, pool: pool, log: log, metrics: newMetrics(obs, f, pool, queue)}
	n.ready.Check = func() error {
		if !f.isReady() {
			return errors.New("no plan is known")
		}
		return nil
	}
	return n
}

// Serve runs a node that logs to standard output and takes new seeds from the settings file, which load reads.
func Serve(
	ctx context.Context, s Settings, d Dialect, file string, load func(file string) (Settings, error),
) error {
	queue := observer.NewAsyncWriter(os.Stdout)
	n := New(s, d, observer.New(queue, s.Place.Name), queue)
	n.Watch(ctx, file, load)
	return n.Run(ctx)
}

// Run serves until ctx ends and returns after the requests in progress have ended.
func (n *Node) Run(ctx context.Context) error {
	n.obs.Event("node started", "settings", fmt.Sprintf("%+v", n.settings), "cpus", runtime.NumCPU())
	// The rest of the node outlives the service of callers, because their last requests still need it.
	rest, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if n.fleet.hub != nil {
		n.fleet.recall()
	}
	sup := suture.New(n.settings.Place.Name, suture.Spec{
		Timeout: time.Second, FailureBackoff: restartPause, EventHook: n.logSupervision,
	})
	n.addServices(sup)
	done := sup.ServeBackground(rest)
	err := n.serveFront(ctx)
	n.obs.Event("node stopped", "cause", context.Cause(ctx))
	cancel()
	if supErr := <-done; supErr != nil && !errors.Is(supErr, context.Canceled) {
		n.obs.Event("services ended with an error", "err", supErr)
	}
	n.queue.Flush()
	return err
}

// logSupervision logs why a service ended, and what the supervisor does about it.
func (n *Node) logSupervision(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		n.obs.Event("service failed", "service", e.ServiceName, "err", e.Err)
	case suture.EventServicePanic:
		n.obs.Event("service panicked", "service", e.ServiceName, "cause", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventBackoff, suture.EventResume: // the failures before it are logged
	default:
		n.obs.Event("supervisor", "event", e.String())
	}
}

func (n *Node) serveFront(ctx context.Context) error {
	if n.settings.Listen.Front == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	fs := &frontServer{addr: n.settings.Listen.Front, handler: n.front,
		grace: time.Duration(n.settings.GraceMillis) * time.Millisecond,
		limits: func() planner.Limits {
			if p := n.fleet.view.Load().plan; p != nil {
				return p.Limits
			}
			return planner.Limits{}
		},
		onStop: func() {
			n.ready.SetNotReady()
			n.front.stopping.Store(true)
			n.obs.Event("node is stopping", "graceMs", n.settings.GraceMillis)
		}}
	return fs.Serve(ctx)
}

// addServices adds all services but the one for callers.
func (n *Node) addServices(sup *suture.Supervisor) {
	f, l := n.fleet, n.settings.Listen
	sup.Add(n.queue)
	sup.Add(service{"views", f.publishViews})
	sup.Add(service{"seek", f.seek})
	sup.Add(service{"tick", n.tick})
	exchange := http.NewServeMux()
	exchange.Handle(exchanger.MeetPath, f.meeting)
	exchange.Handle(recorder.Path, n.obs.TimelineHandler())
	if f.hub != nil {
		sup.Add(f.hub)
		sup.Add(service{"peers", f.followPeers})
		sup.Add(service{"loads", f.shareLoads})
		sup.Add(service{"memory", f.remember})
		exchange.Handle(courier.Path, f.hub)
		exchange.Handle(exchanger.Path, f.hub.server)
	} else {
		sup.Add(service{"subscription", f.subscribe})
	}
	sup.Add(&server.Server{Addr: l.Exchange, Handler: exchange})
	if l.Control != "" {
		sup.Add(&server.Server{Addr: l.Control, Handler: f.dialect.Control(f)})
	}
	if l.Ready != "" {
		sup.Add(&server.Server{Addr: l.Ready, Handler: &n.ready})
	}
	if l.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle(MetricsPath, n.obs.MetricsHandler())
		sup.Add(&server.Server{Addr: l.Metrics, Handler: mux})
	}
}

// tick runs the periodic work of a node until ctx ends.
func (n *Node) tick(ctx context.Context) error {
	for last := time.Now(); ctx.Err() == nil; {
		now := time.Now()
		ran, wall := elapsed(last, now)
		last = now
		suspended, stepped := clockFaults(ran, wall, expireInterval)
		if suspended > 0 {
			n.fleet.log.belief("process was suspended", "ms", suspended.Milliseconds())
		}
		if stepped != 0 {
			n.fleet.log.belief("clock stepped", "ms", stepped.Milliseconds())
		}
		n.fleet.tick(now)
		n.front.pool.Expire(time.Now(), func(string) bool { return true })
		pauser.Pause(ctx, expireInterval)
	}
	return ctx.Err()
}

// service is a function with a name for the supervisor.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// String returns the name.
func (s service) String() string { return s.name }

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }
