package node

import (
	"maps"
	"sync"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/retrier"
	"cactusroute.dev/core/rollouter"
)

// view is the state in force at this node; it is immutable once published.
type view struct {
	plan     *planner.Plan // nil until the first plan is received
	index    uint64        // of the replicated state
	takenOut map[string]bool
	rollouts []rollouter.Rollout // the last one of each service
}

// routingState is the state shared by the requests of this node: the endpoints and the retry budgets.
type routingState struct {
	budgetSettings RetryBudget

	// restartedAt is when this process started, if its fleet ran before.
	restartedAt time.Time

	mu      sync.Mutex
	chooser *chooser.Chooser
	routers int
	budgets map[string]*retrier.WindowBudget // by service
}

func newRoutingState(s *Settings) *routingState {
	r := &routingState{budgetSettings: s.RetryBudget,
		chooser: chooser.New(s.chooserLimits(), s.Place.Name, s.Place.FailureDomain),
		routers: 1, budgets: map[string]*retrier.WindowBudget{}}
	if !s.FirstStart {
		r.restartedAt = time.Now()
		r.chooser.RecordRestart(r.restartedAt)
	}
	return r
}

// update replaces the endpoints in and out of service and the router count.
func (r *routingState) update(
	inService, outOfService []registrar.Endpoint, routers int, v *view, policy planner.LoadPolicy,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.SetPolicy(policy)
	r.routers = max(1, routers)
	r.chooser.Update(time.Now(), inService, outOfService, routers)
	r.chooser.SetRollouts(time.Now(), v.rollouts, v.index)
}

// setRouters replaces the router count.
func (r *routingState) setRouters(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = max(1, n)
	r.chooser.SetRouters(n)
}

func (r *routingState) serviceBudget(service string) *retrier.WindowBudget {
	b := r.budgets[service]
	if b == nil {
		s, window := &r.budgetSettings, time.Duration(r.budgetSettings.WindowMillis)*time.Millisecond
		if b = (&retrier.WindowBudget{Ratio: s.Ratio, Slack: s.Slack, Window: window}); !r.restartedAt.IsZero() {
			b = retrier.NewRestartedWindowBudget(r.restartedAt, s.Ratio, s.Slack, window)
		}
		r.budgets[service] = b
	}
	return b
}

// countFirstAttempt adds the first attempt of a request to the retry budget of the service.
func (r *routingState) countFirstAttempt(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceBudget(service).CountFirstAttempt(now)
}

// takeRetry takes one retry from the budget of the service; ok is false if the budget is exhausted.
func (r *routingState) takeRetry(now time.Time, service string) (left float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.serviceBudget(service)
	ok = b.Take(now, r.routers)
	return b.Remaining(now, r.routers), ok
}

func (r *routingState) choose(now time.Time, q chooser.Query) (chooser.Choice, chooser.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Choose(now, q)
}

// accepts reports whether an endpoint has neither told that it leaves nor asked for a quiet time that lasts.
func (r *routingState) accepts(e registrar.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Accepts(time.Now(), e)
}

// sharesReach reports whether routers tell each other of endpoints that they could not reach.
func (r *routingState) sharesReach() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.SharesReach()
}

// ownLoads returns the load of each endpoint by this router.
func (r *routingState) ownLoads() exchanger.Loads {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.chooser.OwnLoads(time.Now()))
}

// setTotalLoads sets the load of each endpoint by all routers.
func (r *routingState) setTotalLoads(loads exchanger.Loads) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.SetTotalLoads(time.Now(), loads)
}

// routerCount returns the number of routers by which rates and budgets are divided.
func (r *routingState) routerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers
}

// statements returns what endpoints have told this node about themselves.
func (r *routingState) statements(now time.Time) []chooser.Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Statements(now)
}

// withChooser calls f with the chooser while the lock is held.
func (r *routingState) withChooser(f func(c *chooser.Chooser)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.chooser)
}

// snapshot returns the load of each endpoint and the remaining retries by service.
func (r *routingState) snapshot(now time.Time) ([]chooser.EndpointLoad, map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := make(map[string]float64, len(r.budgets))
	for service, b := range r.budgets {
		left[service] = b.Remaining(now, r.routers)
	}
	return r.chooser.Loads(now), left
}
