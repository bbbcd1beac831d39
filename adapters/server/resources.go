package server

import (
	"cmp"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

// The bounds on callers, as they appear in the log and the metrics.
const (
	BoundConnections = "connections"
	BoundHeadBytes   = "headBytes"
	BoundHeadMemory  = "headMemory"
	BoundBodyMemory  = "bodyMemory"

	// BoundAnswerMemory ends the buffering of answers, which are then passed on as they arrive.
	BoundAnswerMemory = "answerMemory"
)

var bounds = []string{BoundConnections, BoundHeadBytes, BoundHeadMemory, BoundBodyMemory, BoundAnswerMemory}

const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1 << 10

	// The parts of the memory for heads, bodies, buffered answers and connections of callers and for what has arrived on
	// these and was not read, and that above which the garbage collector works without pause.
	headMemoryDivisor   = 8
	bodyMemoryDivisor   = 4
	answerMemoryDivisor = 8
	connMemoryDivisor   = 4
	unreadMemoryDivisor = 8
	memoryLimitShare    = 0.7

	// wholeMemoryDivisor is the part of the memory for heads, bodies, buffered answers and connections together. The rest
	// is for the state of the fleet, the program itself and unread bytes.
	wholeMemoryDivisor = 2

	// connBytes is what net/http holds for a connection: two buffers, its state and the stack of a goroutine.
	connBytes = 16 << 10

	// minReceiveBytes is enough for an ordinary request, and maxReceiveBytes for a body at 50 Mbit/s and 10 ms. The kernel
	// doubles them, for its own data, which a connection on loopback hardly has.
	minReceiveBytes = 8 << 10
	maxReceiveBytes = 64 << 10
	kernelFactor    = 2

	// requestBytes is what a connection with a small request in progress takes: goroutines, buffers, and the connection to
	// an endpoint.
	requestBytes = 32 << 10

	// descriptorShares is the number of parts of the descriptors.
	descriptorShares = 32

	// reportInterval is the least time between two log lines of one bound.
	reportInterval = time.Second
)

// Share is a number of parts of the descriptors, of which there are descriptorShares.
type Share int

// The shares of connections. Each caller has at most one request at an endpoint. What is left is for files and for
// connections between processes, which leave the share of their address once they are established.
const (
	ShareCallers   Share = 10
	ShareEndpoints Share = 10
	ShareControl   Share = 4
	ShareExchange  Share = 4 // calls of other processes
	ShareChecks    Share = 1 // readiness checks, or metrics
)

// Resources is what the callers of all addresses of a process may hold.
type Resources struct {
	Heads   Budget
	Bodies  Budget
	Answers Budget // of endpoints, buffered before they are passed on

	whole       Budget // of Heads, Bodies, Answers and callers' connections, if the settings state the memory
	descriptors int
	maxConns    int   // by memory
	unread      int64 // what may arrive on callers' connections without being read; 0 means no bound
	obs         *observer.Observer
	refused     *prometheus.CounterVec // bound

	mu      sync.Mutex
	reports map[string]*boundReport
}

// boundReport is what is to be logged of a bound.
type boundReport struct {
	refused int
	next    time.Time
}

// NewResources divides what a process may use of its machine. If the settings state the memory, the garbage collector
// keeps to it.
func NewResources(m configurer.Machine, obs *observer.Observer) *Resources {
	memory := cmp.Or(m.MemoryBytes, defaultMemoryBytes)
	r := &Resources{descriptors: cmp.Or(m.Descriptors, processDescriptors()),
		maxConns: int(memory / connMemoryDivisor / connBytes), obs: obs, reports: map[string]*boundReport{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cactusroute_caller_limits_total",
			Help: "Requests refused, connections closed and answers not buffered because callers hold too much, by bound."},
			[]string{"bound"})}
	if m.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
		r.unread = memory / unreadMemoryDivisor
		r.whole.Limit = memory / wholeMemoryDivisor
		r.Heads.Whole, r.Bodies.Whole, r.Answers.Whole = &r.whole, &r.whole, &r.whole
	}
	r.Heads.Limit, r.Bodies.Limit = memory/headMemoryDivisor, memory/bodyMemoryDivisor
	r.Bodies.OnRefused = func() { r.Report(BoundBodyMemory) }
	r.Answers.Limit, r.Answers.OnRefused = memory/answerMemoryDivisor, func() { r.Report(BoundAnswerMemory) }
	for _, bound := range bounds {
		r.refused.WithLabelValues(bound)
		r.reports[bound] = &boundReport{}
	}
	obs.Registry.MustRegister(r.refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cactusroute_caller_head_bytes",
			Help: "Memory reserved for the heads of callers' requests."}, func() float64 { return float64(r.Heads.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cactusroute_caller_body_bytes",
			Help: "Memory reserved for the bodies of callers' requests."}, func() float64 { return float64(r.Bodies.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cactusroute_caller_answer_bytes",
			Help: "Memory reserved for buffered answers to callers."}, func() float64 { return float64(r.Answers.Used()) }))
	return r
}

func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// Guard returns the guard of one address; nil for a nil r.
func (r *Resources) Guard(share Share) *Guard {
	if r == nil {
		return nil
	}
	return &Guard{resources: r, conns: map[*guardedConn]struct{}{},
		maxConns: max(1, min(r.maxConns, r.Descriptors(share)))}
}

// CallerGuard returns the guard of the address of callers that are not processes of the fleet: what arrives on its
// connections is bounded together, also while it is not read.
func (r *Resources) CallerGuard() *Guard {
	g := r.Guard(ShareCallers)
	if g != nil && r.unread > 0 {
		g.whole = &r.whole
		g.receiveBytes = min(max(int(r.unread)/g.maxConns/kernelFactor, minReceiveBytes), maxReceiveBytes)
	}
	return g
}

// SetBodyMemory replaces the limit on the bodies of all requests, unless n is 0. What is more than before is added to
// what callers may hold together.
func (r *Resources) SetBodyMemory(n int64) {
	if n == 0 {
		return
	}
	if more := n - r.Bodies.Limit; more > 0 && r.whole.Limit > 0 {
		r.whole.Limit += more
	}
	r.Bodies.Limit = n
}

// Descriptors returns the number of descriptors in a share.
func (r *Resources) Descriptors(share Share) int {
	return r.descriptors * int(share) / descriptorShares
}

// Report counts a refusal and logs it together with others of the same bound.
func (r *Resources) Report(bound string) {
	r.refused.WithLabelValues(bound).Inc()
	now := time.Now()
	r.mu.Lock()
	report := r.reports[bound]
	report.refused++
	n := report.refused
	if now.Before(report.next) {
		r.mu.Unlock()
		return
	}
	report.refused, report.next = 0, now.Add(reportInterval)
	r.mu.Unlock()
	_ = r.obs.Logger.Log("msg", "callers exceed a bound", "bound", bound, "refused", n,
		"headBytes", r.Heads.Used(), "bodyBytes", r.Bodies.Used(), "answerBytes", r.Answers.Used(),
		"callerBytes", r.whole.Used())
}
