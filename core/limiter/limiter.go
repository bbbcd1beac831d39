package limiter

import (
	"math"
	"slices"
	"time"

	"cactusroute.dev/core/bundler"
)

// LoadFactor bounds the in-flight count of an endpoint relative to the mean of its pool.
const LoadBoundFactor = 1.25

const (
	// hintLife is how long a mean seen by a router counts; control refreshes its own mean well within it.
	hintLife = 250 * time.Millisecond
	// batchShare is the part of starts guaranteed to batch while interactive requests wait.
	batchShare = 0.05
	// reserveDivisor: a workspace above its fair share leaves one slot in 8 to the others, so that their
	// requests start without waiting for one of its requests to end.
	reserveDivisor = 8
	// recentUse is how long a workspace counts as active after its last arrival.
	recentUse = 30 * time.Second
	// reportLife is how long a load report counts after the engine has stopped sending any.
	reportLife = 5 * time.Second
	// serviceWeight smooths the service time over about 10 completions.
	serviceWeight  = 0.1
	initialService = 200 * time.Millisecond
)

// Config bounds one endpoint; zero targets are not checked.
type Config struct {
	MaxConcurrency   int
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// QueueLength bounds the requests that wait, batch to a quarter of it.
	MaxQueued int
	// Wait and BatchWait bound the time in the queue.
	MaxWait      time.Duration
	MaxBatchWait time.Duration
	// BoundWait bounds the time that a request above the load bound waits for a newer mean.
	MaxLoadBoundWait time.Duration
}

// DefaultConfig returns the bounds of a pool. 40 ms is less than a new search by the router costs a caller
// when the mean is about to rise; 1 s keeps a waiting request within the time in which callers retry.
func DefaultConfig(p *bundler.Pool) Config {
	return Config{
		MaxConcurrency:   max(1, p.MaxConcurrency),
		FirstTokenTarget: time.Duration(p.FirstTokenTargetMillis) * time.Millisecond,
		TokenGapTarget:   time.Duration(p.TokenGapTargetMillis) * time.Millisecond,
		MaxQueued:        256, MaxWait: time.Second, MaxBatchWait: 30 * time.Second, MaxLoadBoundWait: 40 * time.Millisecond,
	}
}

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonOverLoadBound Reason = "over-load-bound"
	ReasonColdLimit     Reason = "cold-limit"
	ReasonQueueTime     Reason = "queue-time"
	ReasonQueueFull     Reason = "queue-full"
	ReasonDeadline      Reason = "deadline"
)

// Arrival is a request that asks to start.
type Request struct {
	ID        uint64
	Workspace string
	Weight    int
	Priority  bundler.Priority
	Deadline  time.Time
	// Hint is the mean in-flight count of the pool that the router has seen; 0 if unknown.
	MeanHint float64
}

// Ending says how an admitted request ended.
type Outcome uint8

// Endings of admitted requests.
const (
	OutcomeCancelled Outcome = iota // says nothing about the engine
	OutcomeSuccess
	OutcomeTimeout
	OutcomeEngineCrash
)

// Finish is the end of an admitted request; latencies that were not seen are 0.
type Result struct {
	ID         uint64
	Outcome    Outcome
	FirstToken time.Duration
	// TokenGap is the mean time between tokens.
	TokenGap time.Duration
}

// Report is a load report of the engine that holds for the time At.
type LoadReport struct {
	Running int
	At      time.Time
}

// Refusal is a request that will not start, and the expected wait at this endpoint; 0 if unknown.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Step lists what a call decided; its slices are valid until the next call.
type Decisions struct {
	Admitted []uint64
	Refused  []Refusal
}

// Status is the state that load reports and metrics show.
type Status struct {
	InFlight int
	Queued   int
	Limit    int
	Cold     bool
	PoolMean float64
}

type running struct {
	workspace string
	started   time.Time
}

// Limiter holds the admission state of one endpoint; it is not safe for concurrent use.
type Limiter struct {
	cfg        Config
	ramp       ramp
	mean       float64
	members    int
	inFlight   map[uint64]running
	workspaces map[string]*workspace
	classes    [2]class // interactive, batch
	queued     int
	credit     float64 // starts owed to batch
	service    time.Duration
	boundSince time.Time // since when the load bound holds requests back
	report     LoadReport
	starts     []time.Time // since the report
	ends       []time.Time // since the report
	weight     float64     // sum over the active workspaces
	step       Decisions
	swept      time.Time
}

type workspace struct {
	inFlight int
	weight   float64
	seen     time.Time
}

// New returns a limiter of a cold endpoint.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, ramp: newRamp(), inFlight: map[uint64]running{}, workspaces: map[string]*workspace{},
		service: initialService,
	}
	for i := range l.classes {
		l.classes[i].flows = map[string]*flow{}
	}
	return l
}

// Configure changes the bounds, for example after a new bundle.
func (l *Limiter) Configure(now time.Time, cfg Config) Decisions {
	l.cfg = cfg
	return l.Advance(now)
}

// Cool makes the endpoint cold: engine start, model or adapter change, or cache cleared.
func (l *Limiter) MarkCold() { l.ramp.cool() }

// Status returns the current state.
func (l *Limiter) Status() Status {
	return Status{
		InFlight: len(l.inFlight), Queued: l.queued, Limit: l.limit(), Cold: l.ramp.cold, PoolMean: l.mean,
	}
}

func (l *Limiter) limit() int { return l.ramp.whole(l.cfg.MaxConcurrency) }

// Bound returns the highest in-flight count that one more request may lead to.
func (l *Limiter) LoadBound(hint float64) int {
	return max(1, int(math.Ceil(LoadBoundFactor*l.meanWith(hint)-1e-9)))
}

// HasRoom reports whether one more request leaves the endpoint at or below the mean of its pool, rounded up.
func (l *Limiter) HasRoom(hint float64) bool {
	mean := max(1, int(math.Ceil(l.meanWith(hint)-1e-9)))
	return len(l.inFlight)+l.queued < min(mean, l.limit())
}

// meanWith returns the mean of the pool with one more request.
func (l *Limiter) meanWith(hint float64) float64 {
	mean := max(l.mean, hint)
	if l.members == 1 {
		mean = max(mean, float64(len(l.inFlight)))
	}
	if l.members > 0 {
		mean += 1 / float64(l.members)
	}
	return mean
}

// occupied is the number of requests that the engine may hold: a report lags, so starts and ends since the
// time for which it holds are applied to it, and it never hides requests that the agent has sent.
func (l *Limiter) occupied() int {
	if l.report.At.IsZero() {
		return len(l.inFlight)
	}
	return max(len(l.inFlight), l.report.Running+len(l.starts)-len(l.ends))
}

// SetReport applies a load report of the engine.
func (l *Limiter) SetLoadReport(now time.Time, r LoadReport) Decisions {
	if r.At.Before(l.report.At) {
		return l.Advance(now)
	}
	l.starts, l.ends, l.report = after(l.starts, r.At), after(l.ends, r.At), r
	return l.Advance(now)
}

func after(list []time.Time, at time.Time) []time.Time {
	return slices.DeleteFunc(list, func(t time.Time) bool { return !t.After(at) })
}

// SetPool applies the mean in-flight count of the pool and its number of endpoints.
func (l *Limiter) SetPoolLoad(now time.Time, mean float64, members int) Decisions {
	l.mean, l.members = mean, members
	return l.Advance(now)
}

// Arrive admits, queues or refuses a request; a request in neither list of the step waits.
func (l *Limiter) Submit(now time.Time, a Request) Decisions {
	l.step.Admitted, l.step.Refused = l.step.Admitted[:0], l.step.Refused[:0]
	l.expire(now)
	l.touch(now, &a)
	if !now.Before(a.Deadline) {
		l.step.Refused = append(l.step.Refused, Refusal{ID: a.ID, Reason: ReasonDeadline})
		l.dispatch(now)
		return l.step
	}
	w := l.enqueue(now, &a)
	l.dispatch(now)
	if w.state == waiting {
		l.bar(now, w)
	}
	return l.step
}

// Finish frees the slot of an admitted request.
func (l *Limiter) Finish(now time.Time, f Result) Decisions {
	r, ok := l.inFlight[f.ID]
	if ok {
		used := len(l.inFlight)
		delete(l.inFlight, f.ID)
		l.workspaces[r.workspace].inFlight--
		if !l.report.At.IsZero() {
			l.ends = append(l.ends, now)
		}
		switch f.Outcome {
		case OutcomeSuccess:
			l.service += time.Duration(serviceWeight * float64(now.Sub(r.started)-l.service))
			l.ramp.complete(&l.cfg, f, used)
		case OutcomeTimeout:
			l.ramp.sinceCut++
			l.ramp.cut(timeoutBackoff)
		case OutcomeEngineCrash:
			l.ramp.cool()
		case OutcomeCancelled:
		}
	}
	return l.Advance(now)
}

// Abandon removes a request whose caller no longer waits; it reports whether the request was still queued.
func (l *Limiter) Cancel(id uint64) bool {
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for _, w := range f.queue {
				if w.ID == id {
					l.remove(w)
					f.giveBack(w)
					return true
				}
			}
		}
	}
	return false
}

// noteBound keeps the time since when the load bound holds requests back.
func (l *Limiter) noteBound(now time.Time) {
	switch isBound := len(l.inFlight) >= l.LoadBound(0); {
	case !isBound:
		l.boundSince = time.Time{}
	case l.boundSince.IsZero():
		l.boundSince = now
	}
}

// Advance starts and refuses what the time allows.
func (l *Limiter) Advance(now time.Time) Decisions {
	l.step.Admitted, l.step.Refused = l.step.Admitted[:0], l.step.Refused[:0]
	l.expire(now)
	l.dispatch(now)
	return l.step
}

// Next returns when Advance is due; it is zero while nothing waits.
func (l *Limiter) NextAdvance() (at time.Time) {
	for i := range l.classes {
		for _, f := range l.classes[i].flows {
			for _, w := range f.queue {
				if t := l.until(w); at.IsZero() || t.Before(at) {
					at = t
				}
			}
		}
	}
	return at
}

func (l *Limiter) touch(now time.Time, a *Request) {
	w := l.workspaces[a.Workspace]
	if w == nil {
		w = &workspace{}
		l.workspaces[a.Workspace] = w
	}
	l.weight += float64(max(1, a.Weight)) - w.weight
	w.weight, w.seen = float64(max(1, a.Weight)), now
	if now.Sub(l.swept) < recentUse {
		return
	}
	l.swept = now
	for name, w := range l.workspaces {
		if w.inFlight == 0 && now.Sub(w.seen) > recentUse {
			l.weight -= w.weight
			delete(l.workspaces, name)
			for i := range l.classes {
				l.classes[i].drop(name)
			}
		}
	}
}

// slots returns how many requests may be in flight for a workspace to start one more.
func (l *Limiter) slots(name string, bound int) int {
	limit := min(l.limit(), bound)
	reserve := limit / reserveDivisor
	if reserve == 0 || len(l.workspaces) < 2 {
		return limit
	}
	w := l.workspaces[name]
	if float64(w.inFlight+1) <= max(1, w.weight/l.weight*float64(limit)) {
		return limit
	}
	return limit - reserve
}

func (l *Limiter) isBlocked(now time.Time, w *waiter) (byBound, byLimit bool) {
	hint := w.MeanHint
	if now.Sub(w.arrived) > hintLife {
		hint = 0
	}
	bound := l.LoadBound(hint)
	return len(l.inFlight) >= bound, l.occupied() >= l.slots(w.Workspace, bound)
}

// dispatch starts waiting requests while slots are free: interactive first, batch when it is owed a start.
func (l *Limiter) dispatch(now time.Time) {
	for l.queued > 0 {
		first, second := 0, 1
		if l.credit >= 1 {
			first, second = 1, 0
		}
		w := l.classes[first].head(func(w *waiter) bool { return l.fits(now, w) })
		if w == nil {
			w = l.classes[second].head(func(w *waiter) bool { return l.fits(now, w) })
		}
		if w == nil {
			break
		}
		l.start(now, w)
	}
	l.noteBound(now)
}

func (l *Limiter) fits(now time.Time, w *waiter) bool {
	byBound, byLimit := l.isBlocked(now, w)
	return !byBound && !byLimit
}

func (l *Limiter) start(now time.Time, w *waiter) {
	c := &l.classes[w.class]
	c.virtual = max(c.virtual, w.tag)
	l.remove(w)
	w.state = admitted
	if w.class == 1 {
		l.credit = max(0, l.credit-1)
	} else {
		l.credit = min(1, l.credit+batchShare)
	}
	l.inFlight[w.ID] = running{workspace: w.Workspace, started: now}
	l.workspaces[w.Workspace].inFlight++
	if !l.report.At.IsZero() {
		l.starts = append(l.starts, now)
	}
	l.step.Admitted = append(l.step.Admitted, w.ID)
}
