package limiter

import (
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/bundler"
)

// LoadBoundFactor is the ratio of an endpoint's load bound to the mean in-flight count of its pool.
const LoadBoundFactor = 1.25

const (
	// meanHintTTL is how long the pool mean sent by a router is used; control instances send the mean more often.
	meanHintTTL = 250 * time.Millisecond
	// batchShare is the fraction of starts guaranteed to batch requests while interactive requests wait.
	batchShare = 0.05
	// reserveDivisor reserves one slot in 8 for workspaces within their fair share, so that their requests start
	// without waiting for a request of a workspace above its share to end.
	reserveDivisor = 8
	// workspaceTTL is how long a workspace counts as active after its last request.
	workspaceTTL = 30 * time.Second
	// loadReportTTL is how long the last load report is used when the engine sends no further one.
	loadReportTTL = 5 * time.Second
	// serviceTimeWeight averages the service time over about 10 completions.
	serviceTimeWeight  = 0.1
	initialServiceTime = 200 * time.Millisecond
)

// Config holds the limits of one endpoint; a target of 0 is not checked.
type Config struct {
	MaxConcurrency   int
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// MaxQueued bounds the queued requests, and a quarter of it the queued batch requests.
	MaxQueued int
	// MaxWait and MaxBatchWait bound the time in the queue.
	MaxWait      time.Duration
	MaxBatchWait time.Duration
	// MaxLoadBoundWait bounds how long a request above the load bound waits for an update of the pool mean.
	MaxLoadBoundWait time.Duration
}

// DefaultConfig returns the limits for an endpoint of a pool. When the mean is about to rise, a wait of 40 ms costs a
// caller less than another candidate search by the router; a wait of 1 s ends before callers retry.
func DefaultConfig(p *bundler.Pool) Config {
	return Config{
		MaxConcurrency:   max(1, p.MaxConcurrency),
		FirstTokenTarget: time.Duration(p.FirstTokenTargetMillis) * time.Millisecond,
		TokenGapTarget:   time.Duration(p.TokenGapTargetMillis) * time.Millisecond,
		MaxQueued:        256, MaxWait: time.Second, MaxBatchWait: 30 * time.Second, MaxLoadBoundWait: 40 * time.Millisecond,
	}
}

// Reason is the reason of a refusal.
type Reason string

// Reasons of a refusal.
const (
	ReasonOverLoadBound Reason = "over-load-bound"
	ReasonColdLimit     Reason = "cold-limit"
	ReasonQueueTime     Reason = "queue-time"
	ReasonQueueFull     Reason = "queue-full"
	ReasonDeadline      Reason = "deadline"
)

// Request describes a request to admit.
type Request struct {
	ID        uint64
	Workspace string
	Weight    int
	Priority  bundler.Priority
	Deadline  time.Time
	// MeanHint is the mean in-flight count of the pool as known to the router; 0 if unknown.
	MeanHint float64
}

// Outcome is the way in which an admitted request ended.
type Outcome uint8

// Outcomes of admitted requests.
const (
	OutcomeCancelled Outcome = iota // does not show the state of the engine, so the limit stays
	OutcomeSuccess
	OutcomeTimeout
	OutcomeEngineCrash
)

// Result is the result of an admitted request; latencies that were not measured are 0.
type Result struct {
	ID      uint64
	Outcome Outcome
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens.
	TokenGap time.Duration
}

// LoadReport is the number of requests that the engine had, running or waiting, at the time At.
type LoadReport struct {
	InFlight int
	At       time.Time
}

// Refusal is a refused request. RetryAfter is the expected wait at this endpoint; 0 if unknown.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Decisions lists the requests that a call admitted and refused; the slices are valid until the next call.
type Decisions struct {
	Admitted []uint64
	Refused  []Refusal
}

// Status is the state exposed in load reports and metrics.
type Status struct {
	InFlight int
	Queued   int
	Limit    int
	Cold     bool
	PoolMean float64
}

type admittedRequest struct {
	workspace string
	started   time.Time
}

// Limiter holds the admission state of one endpoint; it is not safe for concurrent use.
type Limiter struct {
	cfg              Config
	concurrency      concurrencyLimit
	poolMean         float64
	poolEndpoints    int
	inFlight         map[uint64]admittedRequest
	workspaces       map[string]*workspace
	classes          [2]class // interactive, batch
	queued           int
	batchCredit      float64 // starts guaranteed to batch requests and not used yet
	serviceTime      time.Duration
	atLoadBoundSince time.Time // zero while the in-flight count is below the load bound
	loadReport       LoadReport
	startTimes       []time.Time // since the load report
	endTimes         []time.Time // since the load report
	totalWeight      float64     // sum over the active workspaces
	decisions        Decisions
	lastSweep        time.Time
}

type workspace struct {
	inFlight int
	weight   float64
	lastSeen time.Time
}

// New returns a limiter for a cold endpoint.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, concurrency: newConcurrencyLimit(), inFlight: map[uint64]admittedRequest{},
		workspaces: map[string]*workspace{}, serviceTime: initialServiceTime,
	}
	for i := range l.classes {
		l.classes[i].flows = map[string]*flow{}
	}
	return l
}

// Configure replaces the limits, for example after a bundle change.
func (l *Limiter) Configure(now time.Time, cfg Config) Decisions {
	l.cfg = cfg
	return l.Advance(now)
}

// MarkCold marks the endpoint as cold after an engine start, a model or adapter change, or a cleared cache.
func (l *Limiter) MarkCold() { l.concurrency.reset() }

// Status returns the current state.
func (l *Limiter) Status() Status {
	return Status{
		InFlight: len(l.inFlight), Queued: l.queued, Limit: l.limit(), Cold: l.concurrency.cold, PoolMean: l.poolMean,
	}
}

func (l *Limiter) limit() int { return l.concurrency.value(l.cfg.MaxConcurrency) }

// LoadBound returns the highest in-flight count that admitting one more request may lead to.
func (l *Limiter) LoadBound(hint float64) int {
	return max(1, int(math.Ceil(LoadBoundFactor*l.projectedMean(hint)-1e-9)))
}

// HasRoom reports whether one more request keeps the endpoint within its limit and the pool mean, rounded up.
func (l *Limiter) HasRoom(hint float64) bool {
	mean := max(1, int(math.Ceil(l.projectedMean(hint)-1e-9)))
	return len(l.inFlight)+l.queued < min(mean, l.limit())
}

// projectedMean returns the mean in-flight count of the pool with one more request.
func (l *Limiter) projectedMean(hint float64) float64 {
	mean := max(l.poolMean, hint)
	if l.poolEndpoints == 1 {
		mean = max(mean, float64(len(l.inFlight)))
	}
	if l.poolEndpoints > 0 {
		mean += 1 / float64(l.poolEndpoints)
	}
	return mean
}

// engineInFlight estimates the requests at the engine. A load report lags, so later starts and ends are applied to it,
// and the result is never below the number of requests in flight at the agent.
func (l *Limiter) engineInFlight() int {
	if l.loadReport.At.IsZero() {
		return len(l.inFlight)
	}
	return max(len(l.inFlight), l.loadReport.InFlight+len(l.startTimes)-len(l.endTimes))
}

// SetLoadReport applies a load report of the engine, unless a newer one has been applied.
func (l *Limiter) SetLoadReport(now time.Time, r LoadReport) Decisions {
	if r.At.Before(l.loadReport.At) {
		return l.Advance(now)
	}
	l.startTimes, l.endTimes, l.loadReport = timesAfter(l.startTimes, r.At), timesAfter(l.endTimes, r.At), r
	return l.Advance(now)
}

func timesAfter(times []time.Time, at time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(at) })
}

// SetPoolLoad applies the mean in-flight count of the pool and its number of endpoints.
func (l *Limiter) SetPoolLoad(now time.Time, mean float64, endpoints int) Decisions {
	l.poolMean, l.poolEndpoints = mean, endpoints
	return l.Advance(now)
}

// Submit admits, queues or refuses a request; a request in neither list of the decisions is queued.
func (l *Limiter) Submit(now time.Time, r Request) Decisions {
	l.decisions.Admitted, l.decisions.Refused = l.decisions.Admitted[:0], l.decisions.Refused[:0]
	l.expire(now)
	l.trackWorkspace(now, &r)
	if !now.Before(r.Deadline) {
		l.decisions.Refused = append(l.decisions.Refused, Refusal{ID: r.ID, Reason: ReasonDeadline})
		l.dispatch(now)
		return l.decisions
	}
	w := l.enqueue(now, &r)
	l.dispatch(now)
	if w.state == waiting {
		l.enforceQueueLimits(now, w)
	}
	return l.decisions
}

// Finish releases the slot of an admitted request and adjusts the concurrency limit to its result.
func (l *Limiter) Finish(now time.Time, result Result) Decisions {
	r, ok := l.inFlight[result.ID]
	if ok {
		used := len(l.inFlight)
		delete(l.inFlight, result.ID)
		l.workspaces[r.workspace].inFlight--
		if !l.loadReport.At.IsZero() {
			l.endTimes = append(l.endTimes, now)
		}
		switch result.Outcome {
		case OutcomeSuccess:
			l.serviceTime += time.Duration(serviceTimeWeight * float64(now.Sub(r.started)-l.serviceTime))
			l.concurrency.recordSuccess(&l.cfg, result, used)
		case OutcomeTimeout:
			l.concurrency.completionsSinceReduction++
			l.concurrency.reduce(timeoutBackoff)
		case OutcomeEngineCrash:
			l.concurrency.reset()
		case OutcomeCancelled:
		}
	}
	return l.Advance(now)
}

// Cancel removes a request from the queue; it reports whether the request was still queued.
func (l *Limiter) Cancel(id uint64) bool {
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for _, w := range f.queue {
				if w.ID == id {
					l.remove(w)
					f.refund(w)
					return true
				}
			}
		}
	}
	return false
}

// updateLoadBoundState records since when the in-flight count has been at the load bound.
func (l *Limiter) updateLoadBoundState(now time.Time) {
	switch isAtLoadBound := len(l.inFlight) >= l.LoadBound(0); {
	case !isAtLoadBound:
		l.atLoadBoundSince = time.Time{}
	case l.atLoadBoundSince.IsZero():
		l.atLoadBoundSince = now
	}
}

// Advance refuses requests whose wait has expired and starts those that the limits allow.
func (l *Limiter) Advance(now time.Time) Decisions {
	l.decisions.Admitted, l.decisions.Refused = l.decisions.Admitted[:0], l.decisions.Refused[:0]
	l.expire(now)
	l.dispatch(now)
	return l.decisions
}

// NextAdvance returns when Advance is due; it is zero while the queue is empty.
func (l *Limiter) NextAdvance() (at time.Time) {
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for _, w := range f.queue {
				if t := l.waitDeadline(w); at.IsZero() || t.Before(at) {
					at = t
				}
			}
		}
	}
	return at
}

func (l *Limiter) trackWorkspace(now time.Time, r *Request) {
	w := l.workspaces[r.Workspace]
	if w == nil {
		w = &workspace{}
		l.workspaces[r.Workspace] = w
	}
	l.totalWeight += float64(max(1, r.Weight)) - w.weight
	w.weight, w.lastSeen = float64(max(1, r.Weight)), now
	if now.Sub(l.lastSweep) < workspaceTTL {
		return
	}
	l.lastSweep = now
	for name, w := range l.workspaces {
		if w.inFlight == 0 && now.Sub(w.lastSeen) > workspaceTTL {
			l.totalWeight -= w.weight
			delete(l.workspaces, name)
			for i := range l.classes {
				l.classes[i].removeEmptyFlow(name)
			}
		}
	}
}

// workspaceLimit returns the in-flight count of the endpoint below which the workspace may start a request.
func (l *Limiter) workspaceLimit(name string, loadBound int) int {
	limit := min(l.limit(), loadBound)
	reserve := limit / reserveDivisor
	if reserve == 0 || len(l.workspaces) < 2 {
		return limit
	}
	w := l.workspaces[name]
	if float64(w.inFlight+1) <= max(1, w.weight/l.totalWeight*float64(limit)) {
		return limit
	}
	return limit - reserve
}

func (l *Limiter) isBlocked(now time.Time, w *waiter) (byLoadBound, byLimit bool) {
	hint := w.MeanHint
	if now.Sub(w.arrived) > meanHintTTL {
		hint = 0
	}
	loadBound := l.LoadBound(hint)
	return len(l.inFlight) >= loadBound, l.engineInFlight() >= l.workspaceLimit(w.Workspace, loadBound)
}

// dispatch starts queued requests while slots are free, interactive before batch unless batchCredit covers a start.
func (l *Limiter) dispatch(now time.Time) {
	for l.queued > 0 {
		first, second := 0, 1
		if l.batchCredit >= 1 {
			first, second = 1, 0
		}
		w := l.classes[first].earliest(func(w *waiter) bool { return l.canStart(now, w) })
		if w == nil {
			w = l.classes[second].earliest(func(w *waiter) bool { return l.canStart(now, w) })
		}
		if w == nil {
			break
		}
		l.start(now, w)
	}
	l.updateLoadBoundState(now)
}

func (l *Limiter) canStart(now time.Time, w *waiter) bool {
	byLoadBound, byLimit := l.isBlocked(now, w)
	return !byLoadBound && !byLimit
}

func (l *Limiter) start(now time.Time, w *waiter) {
	c := &l.classes[w.class]
	c.virtualTime = max(c.virtualTime, w.virtualStart)
	l.remove(w)
	w.state = admitted
	if w.class == 1 {
		l.batchCredit = max(0, l.batchCredit-1)
	} else {
		l.batchCredit = min(1, l.batchCredit+batchShare)
	}
	l.inFlight[w.ID] = admittedRequest{workspace: w.Workspace, started: now}
	l.workspaces[w.Workspace].inFlight++
	if !l.loadReport.At.IsZero() {
		l.startTimes = append(l.startTimes, now)
	}
	l.decisions.Admitted = append(l.decisions.Admitted, w.ID)
}
