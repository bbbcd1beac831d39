package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/rollouter"
)

const (
	// rolloutSeconds is the time until the deadline of a rollout.
	rolloutSeconds = 8

	// rolloutOvertime is how long after its deadline a rollout may run that faults have held up.
	rolloutOvertime = 15 * time.Second

	// rolloutCallers is the number of callers of the service with the rollout.
	rolloutCallers = 6

	// badShare is the share of its requests that a bad version fails: enough to tell from few answers.
	badShare = 0.6

	exposeShare = 0.1
	exposeSlack = 50

	rolloutService = "u"
)

// exposure counts the requests that reach the endpoints of a service from the order of a rollout on.
type exposure struct {
	mu               sync.Mutex
	isCounting       bool
	target           string
	requests, toward int
}

func (x *exposure) count(version string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isCounting {
		return
	}
	x.requests++
	if version == x.target {
		x.toward++
	}
}

// begin starts the count, and end returns it.
func (x *exposure) begin(target string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isCounting, x.target = true, target
}

func (x *exposure) end() (requests, toward int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isCounting = false
	return x.requests, x.toward
}

// runRollout orders a rollout to a version that is bad for half of the seeds, beside the faults, and checks that a bad
// one gets no more requests than allowed until the deadline. Callers send requests until ctx ends.
func (s *soakRun) runRollout(ctx, endpointsCtx context.Context) {
	isBad := rolloutIsBad(s.cfg.Seed)
	x := &exposure{}
	start := func(version string, isBad bool) {
		for i := range 4 {
			id := fmt.Sprintf("%s%s%d", rolloutService, version, i)
			e, err := startVersion(endpointsCtx, s.fleet, id, rolloutService, version, s.cfg.Seed+uint64(i))
			if err != nil {
				s.checker.AddFinding("start endpoint: %v", err)
				return
			}
			e.mu.Lock()
			e.exposure, e.bad = x, isBad
			e.mu.Unlock()
		}
	}
	start("v1", false)
	var wg sync.WaitGroup
	defer wg.Wait()
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i := range rolloutCallers {
		wg.Go(func() { s.runRolloutCaller(callersCtx, i) })
	}
	sleeper.Pause(ctx, time.Second)
	body := fmt.Appendf(nil, `{"service":%q,"target":"v2","durationSeconds":%d}`, rolloutService, rolloutSeconds)
	x.begin("v2")
	for status := 0; status != http.StatusOK && ctx.Err() == nil; {
		if status = s.fleet.CallAny(ctx, http.MethodPost, "/v1/rollouts", body); status/100 == 4 {
			s.checker.AddFinding("rollout was refused with status %d", status)
			return
		}
	}
	start("v2", isBad)
	sleeper.Pause(ctx, rolloutSeconds*time.Second)
	requests, toward := x.end()
	if isBad && float64(toward) > exposeShare*float64(requests)+exposeSlack {
		s.checker.AddFinding("bad version got %d of %d requests", toward, requests)
	}
	s.mu.Lock()
	s.rollout = fmt.Sprintf("bad %v, %d of %d requests to the target", isBad, toward, requests)
	s.mu.Unlock()
	<-ctx.Done()
}

// checkRollout checks how the rollout has ended. It must be called once the fleet has recovered, while its callers run.
func (s *soakRun) checkRollout(ctx context.Context) {
	phase := ""
	for end := time.Now().Add(rolloutOvertime); time.Now().Before(end) && !isFinal(phase); {
		phase = s.readPhase(ctx, phase)
		sleeper.Pause(ctx, time.Second/2)
	}
	isBad := rolloutIsBad(s.cfg.Seed)
	s.mu.Lock()
	s.rollout = fmt.Sprintf("%s, %s after %v", s.rollout, phase, time.Since(s.startTime).Round(time.Second))
	s.mu.Unlock()
	if !isFinal(phase) || isBad && phase != rollouter.RolledBack.String() {
		s.checker.AddFinding("rollout, bad %v, ends as %q", isBad, phase)
	}
}

// rolloutIsBad reports whether the target of a run is bad.
func rolloutIsBad(seed uint64) bool { return seed%2 == 0 }

// readPhase returns the phase of the rollout, or the one known before if no node tells it.
func (s *soakRun) readPhase(ctx context.Context, before string) string {
	for _, n := range s.fleet.Nodes {
		status, response := s.fleet.Call(ctx, n, http.MethodGet, "/v1/rollouts/"+rolloutService, nil)
		var b struct{ Phase, Target string }
		switch {
		case status == http.StatusNotFound:
			s.checker.AddFinding("%s has lost an acknowledged rollout", n.settings.Place.Name)
		case status == http.StatusOK && json.Unmarshal(response, &b) == nil:
			if b.Target != "v2" || isFinal(before) && b.Phase != before {
				s.checker.AddFinding("rollout is %s to %s after %s", b.Phase, b.Target, before)
			}
			return b.Phase
		}
	}
	return before
}

func isFinal(phase string) bool {
	return phase == rollouter.Completed.String() || phase == rollouter.RolledBack.String()
}

func (s *soakRun) runRolloutCaller(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed+uint64(i), 17))
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("rolled%d-%d", i, n)
		to := s.fleet.Nodes[rng.IntN(len(s.fleet.Nodes))]
		sendRequest(s.fleet, client, to, attempt{id: id, path: "/rolled/" + id})
		sleeper.Pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanRequestInterval)))
	}
}
