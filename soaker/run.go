package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/planner"
)

const (
	diskNodeCount   = 3
	routerNodeCount = 2
	callerCount     = 8

	// recoveryTimeout limits the time after the last fault until all nodes return the plan again.
	recoveryTimeout = 15 * time.Second

	// finalReadTimeout limits the retries of the final read of the plan from a node.
	finalReadTimeout = 3 * time.Second

	// decliningPeriod is how long an endpoint leaves or turns requests away; it is longer than drainDeadline.
	decliningPeriod = 4 * time.Second

	// minServedRatio is the fraction of requests that must be served once the fleet has recovered.
	minServedRatio = 0.9
)

// Config is the configuration of a run.
type Config struct {
	Binary        string // path of the node program
	Folder        string // for settings, logs and data of the nodes
	Seed          uint64
	FaultDuration time.Duration // of the phase in which faults are injected
}

// Result holds the injected faults, the findings and the request counts of a run.
type Result struct {
	Seed     uint64
	Injected []string
	Findings []string
	Rollout  string // how the rollout ended
	Served   int
	Refused  int
	Failed   int
}

// soakRun is a soak test in progress.
type soakRun struct {
	cfg       Config
	rng       *rand.Rand
	fleet     *Fleet
	checker   *Checker
	startTime time.Time

	mu          sync.Mutex
	injected    []string
	faultyNodes map[*Node]bool // nodes with an active fault; at most one fault per node
	planVersion uint64
	rollout     string // how it ended
}

// Run starts a fleet, injects the faults that the seed determines, and checks the fleet's guarantees.
func Run(ctx context.Context, cfg Config) (r Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	checker := NewChecker()
	ip := fmt.Sprintf("127.%d.%d.1", 100+cfg.Seed/200%100, 1+cfg.Seed%200)
	f, err := NewFleet(ctx, cfg.Binary, cfg.Folder, ip, diskNodeCount, routerNodeCount, checker)
	if err != nil {
		return r, err
	}
	defer f.Stop()
	s := &soakRun{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), fleet: f, checker: checker,
		faultyNodes: map[*Node]bool{}, startTime: time.Now()}
	if err := s.startFleet(ctx); err != nil {
		return r, err
	}
	var wg sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i := range callerCount {
		wg.Go(func() { runCaller(callersCtx, f, fmt.Sprintf("caller%d", i), cfg.Seed+uint64(i)) })
	}
	wg.Go(func() { s.runOperator(callersCtx) })
	wg.Go(func() { s.runDecliningEndpoints(callersCtx) })
	wg.Go(func() { s.runRollout(callersCtx, ctx) })
	s.injectFaults(ctx)
	s.checkRecovery(ctx)
	s.checkRollout(ctx)
	stopCallers()
	wg.Wait()
	s.checkFinalPlan(ctx)
	r = Result{Seed: cfg.Seed, Injected: s.injected, Findings: checker.Findings, Rollout: s.rollout}
	r.Served, r.Refused, r.Failed = checker.Counts()
	return r, nil
}

// startFleet starts the nodes in random order, waits for the first plan and starts the endpoints.
func (s *soakRun) startFleet(ctx context.Context) error {
	for _, i := range s.rng.Perm(len(s.fleet.Nodes)) {
		if err := s.fleet.Start(s.fleet.Nodes[i]); err != nil {
			return err
		}
		sleeper.Pause(ctx, randomDuration(s.rng, 0, 60*time.Millisecond))
	}
	for deadline := time.Now().Add(firstPlanTimeout); s.checker.AckedVersion() == 0; {
		if time.Now().After(deadline) {
			return errNotReady
		}
		s.putPlan(ctx)
	}
	for _, n := range s.fleet.Nodes {
		n.isFirstStart = false
	}
	for i := range 4 {
		if _, err := StartEndpoint(ctx, s.fleet, fmt.Sprintf("endpoint%d", i), "s", s.cfg.Seed+uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *soakRun) startNode(n *Node) {
	if err := s.fleet.Start(n); err != nil {
		s.checker.AddFinding("start %s: %v", n.settings.Place.Name, err)
	}
}

func encodePlan(version uint64) ([]byte, error) {
	shares := []planner.Share{{Service: "s", Weight: 1}}
	return json.Marshal(planner.Plan{Version: version, Services: []planner.Service{{Name: "s"}, {Name: rolloutService}},
		Workspaces: []planner.Workspace{{Name: "w", Keys: []string{"key"}}},
		Routes: []planner.Route{
			{Name: "rolled", Host: "soak.example", Prefix: "/rolled/", Kind: planner.KindRepeatable, TimeoutMillis: 2000,
				MaxAttempts: 2, Shares: []planner.Share{{Service: rolloutService, Weight: 1}}},
			{Name: "once", Host: "soak.example", Prefix: "/once/", Kind: planner.KindOnce, TimeoutMillis: 2000,
				Shares: shares},
			{Name: "safe", Host: "soak.example", Prefix: "/safe/", Kind: planner.KindRepeatable, TimeoutMillis: 2000,
				MaxAttempts: 2, Shares: shares},
			{Name: "stream", Host: "soak.example", Prefix: "/stream/", Kind: planner.KindStream, Resumable: true,
				TimeoutMillis: 4000, MaxAttempts: 2, Shares: shares},
		}})
}

// putPlan sends the next plan version to any node.
func (s *soakRun) putPlan(ctx context.Context) {
	s.mu.Lock()
	s.planVersion++
	version := s.planVersion
	s.mu.Unlock()
	content, err := encodePlan(version)
	if err != nil {
		s.checker.AddFinding("encode plan: %v", err)
		return
	}
	status := s.fleet.CallAny(ctx, http.MethodPut, "/v1/plan", content)
	switch {
	case status == http.StatusOK:
		s.checker.RecordAcked(version)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		s.checker.AddFinding("plan %d was rejected with status %d", version, status)
	}
}

// runOperator updates and reads the plan until ctx ends.
func (s *soakRun) runOperator(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 3))
	for ctx.Err() == nil {
		if rng.IntN(3) == 0 {
			s.putPlan(ctx)
		} else {
			s.readPlan(ctx, s.fleet.Nodes[rng.IntN(len(s.fleet.Nodes))])
		}
		sleeper.Pause(ctx, randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
	}
}

// readPlan reads the plan from a node and checks its version; it returns false if the read failed.
func (s *soakRun) readPlan(ctx context.Context, n *Node) bool {
	ackedBefore := s.checker.AckedVersion()
	status, body := s.fleet.Call(ctx, n, http.MethodGet, "/v1/plan", nil)
	if status != http.StatusOK {
		return false
	}
	var p planner.Plan
	if err := json.Unmarshal(body, &p); err != nil {
		s.checker.AddFinding("%s returned an invalid plan: %v", n.settings.Place.Name, err)
		return false
	}
	s.checker.CheckRead(n.settings.Place.Name, p.Version, ackedBefore)
	return true
}

// injectFaults starts a sequence of faults that may overlap, then waits until all have ended.
func (s *soakRun) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	end := time.Now().Add(s.cfg.FaultDuration)
	wiped := false
	for time.Now().Before(end) {
		n := s.fleet.Nodes[s.rng.IntN(len(s.fleet.Nodes))]
		d := randomDuration(s.rng, 200*time.Millisecond, 2*time.Second)
		kinds := faults()
		switch pick := s.rng.IntN(len(kinds) + 4); {
		case pick < len(kinds):
			s.startFault(ctx, &wg, n, kinds[pick], d)
		case pick == len(kinds) && !wiped && len(s.injected) > 2:
			wiped = true
			wg.Wait() // the group tolerates one loss, so no other fault may be active
			n = s.fleet.Nodes[s.rng.IntN(diskNodeCount)]
			s.recordInjected("wipe " + n.settings.Place.Name)
			s.checker.RecordFaultUntil(time.Now().Add(faultFreePeriod))
			s.wipeDisk(ctx, n)
			sleeper.Pause(ctx, 2*faultFreePeriod)
		case pick == len(kinds)+1:
			wg.Wait()
			s.recordInjected("kill all")
			s.checker.RecordFaultUntil(time.Now().Add(faultFreePeriod))
			s.killAll(ctx)
		case pick == len(kinds)+2:
			s.drainEndpoint(ctx, d)
		default:
			s.addFaultyEndpoint(ctx, &wg, d)
		}
		sleeper.Pause(ctx, randomDuration(s.rng, 100*time.Millisecond, 1200*time.Millisecond))
	}
	wg.Wait()
}

func (s *soakRun) recordInjected(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf("%v %s", time.Since(s.startTime).Round(time.Millisecond), text))
}

// startFault injects a fault concurrently with others, unless the node already has an active fault.
func (s *soakRun) startFault(ctx context.Context, wg *sync.WaitGroup, n *Node, f fault, d time.Duration) {
	s.mu.Lock()
	hasFault := s.faultyNodes[n]
	s.faultyNodes[n] = true
	s.mu.Unlock()
	if hasFault {
		return
	}
	s.recordInjected(fmt.Sprintf("%s %s for %v", f.name, n.settings.Place.Name, d.Round(time.Millisecond)))
	s.checker.RecordFaultUntil(time.Now().Add(d + gracePeriodMillis*time.Millisecond))
	wg.Go(func() {
		if f.interrupts {
			defer s.interrupt(n)()
		}
		f.inject(ctx, s, n, d)
		s.checker.RecordFaultUntil(time.Now())
		s.mu.Lock()
		delete(s.faultyNodes, n)
		s.mu.Unlock()
	})
}

// drainEndpoint adds an endpoint that drains after d and stops drainPeriod later.
func (s *soakRun) drainEndpoint(ctx context.Context, d time.Duration) {
	id := fmt.Sprintf("leaving%d", len(s.injected))
	s.recordInjected("drain " + id)
	endCtx, cancel := context.WithCancel(ctx)
	e, err := StartEndpoint(endCtx, s.fleet, id, "s", s.cfg.Seed)
	if err != nil {
		cancel()
		s.checker.AddFinding("start endpoint: %v", err)
		return
	}
	go func() {
		defer cancel()
		sleeper.Pause(ctx, d)
		e.Drain(endCtx)
		sleeper.Pause(ctx, drainPeriod)
	}()
}

// runDecliningEndpoints adds endpoints that turn requests away, and ones that leave and tell so in their responses
// only, until ctx ends. They are drawn apart from the faults, so that a seed has the same faults as without them.
func (s *soakRun) runDecliningEndpoints(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		d := randomDuration(rng, 300*time.Millisecond, 1500*time.Millisecond)
		for _, kind := range []string{"busy", "ending"} {
			id := fmt.Sprintf("%s%d", kind, i)
			endCtx, cancel := context.WithCancel(ctx)
			e, err := StartEndpoint(endCtx, s.fleet, id, "s", s.cfg.Seed+uint64(i))
			if err != nil {
				cancel()
				s.checker.AddFinding("start endpoint: %v", err)
				return
			}
			wg.Go(func() {
				defer cancel()
				if kind == "busy" {
					e.SetBusy(true)
					sleeper.Pause(endCtx, decliningPeriod+d)
					e.Drain(endCtx)
					sleeper.Pause(endCtx, drainPeriod)
					return
				}
				sleeper.Pause(endCtx, d)
				e.Leave()
				sleeper.Pause(endCtx, decliningPeriod)
			})
		}
		sleeper.Pause(ctx, decliningPeriod/2)
	}
}

// addFaultyEndpoint adds an endpoint that fails a part of its requests and stops without draining after d.
func (s *soakRun) addFaultyEndpoint(ctx context.Context, wg *sync.WaitGroup, d time.Duration) {
	id := fmt.Sprintf("faulty%d", len(s.injected))
	s.recordInjected("faulty " + id)
	endCtx, cancel := context.WithCancel(ctx)
	e, err := StartEndpoint(endCtx, s.fleet, id, "s", s.cfg.Seed+uint64(len(s.injected)))
	if err != nil {
		cancel()
		s.checker.AddFinding("start endpoint: %v", err)
		return
	}
	e.SetFaulty(true)
	wg.Go(func() {
		defer cancel()
		sleeper.Pause(ctx, d)
	})
}

// checkRecovery waits until all nodes return the plan, then checks that requests are served.
func (s *soakRun) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, n := range s.fleet.Nodes {
		for !s.readPlan(ctx, n) {
			if time.Now().After(deadline) {
				s.checker.AddFinding("%s did not return the plan within %v after the last fault; logs in %s",
					n.settings.Place.Name, recoveryTimeout, filepath.Join(n.folder, "log"))
				return
			}
			sleeper.Pause(ctx, 50*time.Millisecond)
		}
	}
	sleeper.Pause(ctx, time.Second)
	served, refused, failed := s.checker.Counts()
	sleeper.Pause(ctx, time.Second)
	servedAfter, refusedAfter, failedAfter := s.checker.Counts()
	total := servedAfter - served + refusedAfter - refused + failedAfter - failed
	if servedSince := servedAfter - served; total == 0 || float64(servedSince) < minServedRatio*float64(total) {
		s.checker.AddFinding("only %d of %d requests were served after the last fault", servedSince, total)
	}
}

// checkFinalPlan checks that all nodes return the highest acknowledged plan version. A single read may fail, so it is
// retried for as long as operators retry.
func (s *soakRun) checkFinalPlan(ctx context.Context) {
	for _, n := range s.fleet.Nodes {
		deadline := time.Now().Add(finalReadTimeout)
		for !s.readPlan(ctx, n) {
			if time.Now().After(deadline) {
				s.checker.AddFinding("%s did not return the plan at the end of the run", n.settings.Place.Name)
				break
			}
			sleeper.Pause(ctx, 50*time.Millisecond)
		}
	}
}
