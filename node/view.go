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
)

// view is the state in force at this node; it isn't changed once it is published.
type view struct {
	plan     *planner.Plan // nil until one is known
	index    uint64        // of the replicated state
	takenOut map[string]bool
}

// routing is what the requests of this node share: endpoints as this node sees them and the retry budget.
type routingState struct {
	budgetSettings RetryBudget

	mu      sync.Mutex
	chooser *chooser.Chooser
	routers int
	budgets map[string]*retrier.WindowBudget // by service
}

func newRouting(s *Settings) *routingState {
	return &routingState{budgetSettings: s.RetryBudget, chooser: chooser.New(s.Load.chooserLimits(), s.Place.Name, s.Place.FailureDomain),
		routers: 1, budgets: map[string]*retrier.WindowBudget{}}
}

// update takes the endpoints that may get requests, those that are present beside them, and the number of routers.
func (r *routingState) update(serving, others []registrar.Endpoint, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = max(1, routers)
	r.chooser.Update(time.Now(), serving, others, routers)
}

func (r *routingState) serviceBudget(service string) *retrier.WindowBudget {
	b := r.budgets[service]
	if b == nil {
		b = &retrier.WindowBudget{Ratio: r.budgetSettings.Ratio, Slack: r.budgetSettings.Slack,
			Window: time.Duration(r.budgetSettings.WindowMillis) * time.Millisecond}
		r.budgets[service] = b
	}
	return b
}

// first counts the first attempt of a request.
func (r *routingState) countFirstAttempt(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceBudget(service).CountFirstAttempt(now)
}

// takeRepeat takes one repeat from the budget of the service.
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

// inFlight returns the requests of this router by endpoint.
func (r *routingState) inFlight() exchanger.Loads {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.chooser.InFlight())
}

// total takes the requests of all routers by endpoint.
func (r *routingState) setTotalInFlight(loads exchanger.Loads) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.SetTotalInFlight(time.Now(), loads)
}

// with calls f with the chooser.
func (r *routingState) withChooser(f func(c *chooser.Chooser)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.chooser)
}

// snapshot returns what is known of each endpoint and the repeats left for each service.
func (r *routingState) snapshot(now time.Time) ([]chooser.EndpointLoad, map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := make(map[string]float64, len(r.budgets))
	for service, b := range r.budgets {
		left[service] = b.Remaining(now, r.routers)
	}
	return r.chooser.Loads(now), left
}
