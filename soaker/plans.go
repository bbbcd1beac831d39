package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/planner"
)

const (
	plansHost = "plans.example"

	// routeLifetime is the number of versions that a route of its own version stays in later plans.
	routeLifetime = 8

	// operatorTimeout is how long an operator sends one plan again before it gives up.
	operatorTimeout = 15 * time.Second

	// minStall and maxStall are about the silence after which a subscription ends.
	minStall = 600 * time.Millisecond
	maxStall = 1500 * time.Millisecond

	plansOperatorCount = 2
	plansEndpointCount = 8
	plansEndpointSlots = 64

	// The timeouts of the routes; slowTimeout is the longest of those that the versions alternate between.
	loadTimeout = 2 * time.Second
	slowTimeout = time.Second
)

// PlansConfig is the configuration of a run that changes the plan all the time.
type PlansConfig struct {
	Config

	Instances, Routers         int
	InstanceShare, RouterShare float64       // of a core for each process; 0 is unlimited
	Interval                   time.Duration // mean time between two plans of an operator
	Routes                     int           // of a plan, beside those that the checker needs
	LoadedNodes, LoadConns     int           // nodes that get traffic, and connections to each of them
	LinkBytes                  float64       // per second and control instance; 0 is unlimited
	Faults                     string        // "none", "stalls" or "emptyDisk" (of control instances), "routers" or "all"
}

// PlansResult holds the outcome of a run.
type PlansResult struct {
	Injected, Findings []string
	Counts             map[string]int
	Report             []string
}

// plansRun is a run in progress.
type plansRun struct {
	*soakRun

	cfg     PlansConfig
	checker *planChecker
	next    atomic.Uint64
	serial  atomic.Uint64
}

func (n *Node) name() string { return n.settings.Place.Name }

// RunPlans starts a fleet, changes its plan beside traffic and faults, and checks which plan each node obeys.
func RunPlans(ctx context.Context, cfg PlansConfig) (result PlansResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ip := fmt.Sprintf("127.1.%d.1", 1+cfg.Seed%250)
	f, err := NewFleet(ctx, cfg.Binary, cfg.Folder, ip, cfg.Instances, cfg.Routers, NewChecker())
	if err != nil {
		return result, err
	}
	defer f.Stop()
	f.env = []string{"GOMAXPROCS=1"}
	r := &plansRun{cfg: cfg, checker: newPlanChecker(), soakRun: &soakRun{cfg: cfg.Config, fleet: f, checker: f.checker,
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), faultyNodes: map[*Node]bool{}, startTime: time.Now()}}
	if err := r.start(ctx); err != nil {
		return result, err
	}
	var wg sync.WaitGroup
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range plansOperatorCount {
		wg.Go(func() { r.operate(loadCtx, cfg.Seed+uint64(i)) })
	}
	for i, n := range f.Nodes {
		wg.Go(func() { r.probe(loadCtx, n, cfg.Seed+uint64(i)) })
		if i < cfg.LoadedNodes {
			for range cfg.LoadConns {
				wg.Go(func() { r.load(loadCtx, n) })
			}
		}
	}
	r.disturb(loadCtx)
	stop()
	wg.Wait()
	sleeper.Pause(ctx, stabilityWindow)
	r.checkFinalReads(ctx)
	return PlansResult{Injected: r.injected, Findings: append(r.checker.Findings, f.checker.Findings...),
		Counts: r.checker.Counts, Report: r.report()}, nil
}

// start starts the nodes and endpoints and puts the first plan.
func (r *plansRun) start(ctx context.Context) error {
	for i, n := range r.fleet.Nodes {
		n.settings.Place.FailureDomain = fmt.Sprintf("d%d", i%max(1, r.cfg.Instances))
		share := r.cfg.RouterShare
		if i < r.cfg.Instances {
			share = r.cfg.InstanceShare
			n.proxy.SetRate(r.cfg.LinkBytes)
		}
		r.startProcess(n)
		if share > 0 {
			go throttle(ctx, n, share)
		}
	}
	for deadline := time.Now().Add(firstPlanTimeout); ; {
		if acked, _ := r.checker.Newest(); acked > 0 {
			break
		}
		if time.Now().After(deadline) {
			return errNotReady
		}
		r.putPlan(ctx, rand.New(rand.NewPCG(r.cfg.Seed, 4)))
	}
	for i := range plansEndpointCount {
		if err := r.startEndpoint(ctx, fmt.Sprintf("endpoint%d", i)); err != nil {
			return err
		}
	}
	for _, n := range r.fleet.Nodes {
		n.isFirstStart = false
	}
	return nil
}

func (r *plansRun) startProcess(n *Node) {
	r.checker.RecordStarted(n, time.Now())
	r.startNode(n)
}

// startEndpoint starts an endpoint that tells in each response which workspace the request belongs to.
func (r *plansRun) startEndpoint(ctx context.Context, id string) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &Endpoint{id: id, service: "s", version: versionOf(id), bornMillis: time.Now().UnixMilli(), fleet: r.fleet,
		slots: plansEndpointSlots, ln: ln}
	go e.sendHeartbeats(ctx)
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, q *http.Request) {
			if strings.HasPrefix(q.URL.Path, "/slow/") {
				sleeper.Pause(q.Context(), 2*operatorTimeout)
			}
			w.Header().Set("Cactus-Request-Id", q.Header.Get("Cactus-Request-Id"))
			w.Header().Set("Cactus-Signature", id)
			_, _ = io.WriteString(w, q.Header.Get("Cactus-Workspace"))
		})}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(ln) }()
	return nil
}

// planText returns a plan whose workspace is named marker and whose routes are those of the versions up to version.
func planText(version uint64, marker string, routes int) ([]byte, error) {
	p := planner.Plan{Version: version, Services: []planner.Service{{Name: "s"}}, Workspaces: []planner.Workspace{
		{Name: marker, Keys: []string{"key", fmt.Sprintf("key%d", version)}}}}
	add := func(prefix string, timeout time.Duration) {
		p.Routes = append(p.Routes, planner.Route{Name: "r" + strings.Trim(prefix, "/"), Host: plansHost, Prefix: prefix,
			Kind: planner.KindRepeatable, TimeoutMillis: int(timeout.Milliseconds()), MaxAttempts: 2,
			Shares: []planner.Share{{Service: "s", Weight: 1}}})
	}
	add("/load/", loadTimeout)
	add("/slow/", slowTimeout-time.Duration(version%3)*200*time.Millisecond)
	for v := version - min(version-1, routeLifetime); v <= version; v++ {
		add(fmt.Sprintf("/v/%d/", v), loadTimeout)
	}
	for i := range routes {
		add(fmt.Sprintf("/x/%x/", uint64(i+1)*0x9e3779b97f4a7c15), loadTimeout)
	}
	return json.Marshal(p)
}

// operate puts plans until ctx ends: valid and invalid ones, also two under one version.
func (r *plansRun) operate(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		if rng.IntN(10) == 0 {
			r.putInvalidPlan(ctx, rng)
		} else {
			r.putPlan(ctx, rng)
		}
		sleeper.Pause(ctx, time.Duration(rng.ExpFloat64()*float64(r.cfg.Interval)))
	}
}

func (r *plansRun) putPlan(ctx context.Context, rng *rand.Rand) {
	version := r.next.Add(1 + rng.Uint64N(2))
	if version > 1 && rng.IntN(10) == 0 {
		version-- // another operator may be sending other content under this version
	}
	marker := fmt.Sprintf("v%d.%d", version, r.serial.Add(1))
	content, err := planText(version, marker, r.cfg.Routes)
	if err != nil {
		r.checker.AddFinding("encode plan: %v", err)
		return
	}
	r.checker.RecordSent(version, marker)
	began := time.Now()
	status := r.put(ctx, rng, content)
	if status == http.StatusOK {
		r.checker.RecordAcked(version, time.Now())
		r.recordPlan("acked", version, len(content), began)
	}
	if status == http.StatusOK && rng.IntN(5) == 0 {
		status = r.put(ctx, rng, content) // as if the acknowledgement had been lost
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		r.checker.AddFinding("plan %d was rejected with status %d", version, status)
	}
}

// recordPlan appends to the log of the run, from which times are compared with those in the logs of the nodes.
func (r *plansRun) recordPlan(what string, version uint64, size int, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.OpenFile(r.cfg.Folder+"/plans.log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return // the log is only evidence
	}
	defer func() { _ = file.Close() }()
	now := time.Now()
	_, _ = fmt.Fprintf(file, "%s %s version=%d bytes=%d ms=%d\n", now.UTC().Format(time.RFC3339Nano), what, version, size,
		now.Sub(began).Milliseconds())
}

func (r *plansRun) putInvalidPlan(ctx context.Context, rng *rand.Rand) {
	version := r.next.Load() + rng.Uint64N(3)
	content, err := planText(max(1, version), "invalid", r.cfg.Routes)
	if err != nil {
		r.checker.AddFinding("encode plan: %v", err)
		return
	}
	text := string(content)
	switch rng.IntN(3) {
	case 0:
		text = strings.Replace(text, `"weight":1`, `"weight":0`, 1)
	case 1:
		text = strings.Replace(text, `"/load/"`, `"/slow/"`, 1)
	default:
		text = text[:len(text)/2]
	}
	if status := r.put(ctx, rng, []byte(text)); status == http.StatusOK {
		r.checker.AddFinding("invalid plan %d was acknowledged", version)
	}
}

// put sends a plan to one node after the other until a response is clear; it follows redirects.
func (r *plansRun) put(ctx context.Context, rng *rand.Rand, content []byte) (status int) {
	for deadline := time.Now().Add(operatorTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		n := r.fleet.Nodes[rng.IntN(len(r.fleet.Nodes))]
		status, _ = r.fleet.Call(ctx, n, http.MethodPut, "/v1/plan", content)
		if status == http.StatusOK || status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			return status
		}
		sleeper.Pause(ctx, randomDuration(rng, 50*time.Millisecond, 200*time.Millisecond))
	}
	return 0
}

// probe sends requests to one node that show which plan it obeys, and reads the plan there, until ctx ends.
func (r *plansRun) probe(ctx context.Context, n *Node, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for ctx.Err() == nil {
		acked, newest := r.checker.Newest()
		switch rng.IntN(10) {
		case 0:
			r.read(ctx, n)
		case 1:
			go r.request(ctx, n, "/slow/")
		case 2:
			go r.upload(ctx, n)
		case 3:
			r.requestRoute(ctx, n, newest+100)
		case 4, 5:
			r.requestRoute(ctx, n, acked-min(acked-1, routeLifetime+2))
		default:
			r.requestRoute(ctx, n, acked)
		}
		sleeper.Pause(ctx, randomDuration(rng, 100*time.Millisecond, 500*time.Millisecond))
	}
}

// requestRoute requests the route that the given version has added.
func (r *plansRun) requestRoute(ctx context.Context, n *Node, version uint64) {
	sent := time.Now()
	status, marker := r.request(ctx, n, fmt.Sprintf("/v/%d/", version))
	switch status {
	case http.StatusOK:
		var inForce, serial uint64
		if _, err := fmt.Sscanf(marker, "v%d.%d", &inForce, &serial); err != nil {
			r.checker.AddFinding("%s obeys a plan with the marker %q", n.name(), marker)
			return
		}
		if inForce < version || inForce > version+routeLifetime {
			r.checker.AddFinding("%s serves route %d under version %d", n.name(), version, inForce)
		}
		r.checker.CheckServed(n, sent, inForce, marker)
	case http.StatusNotFound:
		r.checker.CheckUnknown(n, sent, version, version+routeLifetime)
	case http.StatusUnauthorized, http.StatusForbidden:
		r.checker.AddFinding("%s refuses a key of all plans with status %d", n.name(), status)
	}
}

// request sends a request and returns the status, 0 without a response, and the body. It checks when the response of a
// slow endpoint comes.
func (r *plansRun) request(ctx context.Context, n *Node, path string) (status int, body string) {
	sent := time.Now()
	client := &http.Client{Timeout: 2 * loadTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Listen.Front+path, nil)
	if err != nil {
		return 0, ""
	}
	req.Host = plansHost
	req.Header.Set("Cactus-Request-Id", fmt.Sprintf("probe%d", r.serial.Add(1)))
	req.Header.Set("Cactus-Key", "key")
	resp, err := client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		content, _ := io.ReadAll(resp.Body) // a body that breaks off is no marker
		status, body = resp.StatusCode, string(content)
	}
	if path == "/slow/" && ctx.Err() == nil {
		r.checker.CheckTime(n, sent, "slow", slowTimeout, status)
	}
	return status, body
}

// upload sends a request whose body stops, and checks when the response comes.
func (r *plansRun) upload(ctx context.Context, n *Node) {
	sent := time.Now()
	status := 0
	if c, err := (&net.Dialer{Timeout: loadTimeout}).DialContext(ctx, "tcp", n.settings.Listen.Front); err == nil {
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(sent.Add(2 * loadTimeout))
		_, _ = fmt.Fprintf(c, "POST /load/ HTTP/1.1\r\nHost: %s\r\nCactus-Key: key\r\nContent-Length: 1000\r\n\r\nhalf",
			plansHost)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
	}
	if ctx.Err() == nil {
		r.checker.CheckTime(n, sent, "upload", loadTimeout, status)
	}
}

// load sends requests to a node, one after the other on connections of 20 requests, until ctx ends.
func (r *plansRun) load(ctx context.Context, n *Node) {
	text := fmt.Sprintf("POST /load/ HTTP/1.1\r\nHost: %s\r\nCactus-Key: key\r\nCactus-Request-Id: %%d\r\n"+
		"Content-Length: 500\r\n\r\n%s", plansHost, strings.Repeat("x", 500))
	for ctx.Err() == nil {
		c, err := (&net.Dialer{Timeout: loadTimeout}).DialContext(ctx, "tcp", n.settings.Listen.Front)
		if err != nil {
			sleeper.Pause(ctx, 100*time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(5 * loadTimeout))
		br := bufio.NewReader(c)
		for range 20 {
			if _, err := fmt.Fprintf(c, text, r.serial.Add(1)); err != nil {
				break
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			r.checker.count(fmt.Sprintf("load%d", resp.StatusCode))
			if err != nil || resp.Close {
				break
			}
		}
		_ = c.Close()
	}
}

// read reads the plan from a node.
func (r *plansRun) read(ctx context.Context, n *Node) bool {
	atLeast, _ := r.checker.Newest()
	status, content := r.fleet.Call(ctx, n, http.MethodGet, "/v1/plan", nil)
	if status != http.StatusOK {
		return false
	}
	p, err := planner.Parse(content)
	if err != nil {
		r.checker.AddFinding("%s returned an invalid plan: %v", n.name(), err)
		return false
	}
	r.checker.CheckRead(n, p.Version, atLeast, string(content))
	return true
}

func (r *plansRun) checkFinalReads(ctx context.Context) {
	for _, n := range r.fleet.Nodes {
		for deadline := time.Now().Add(recoveryTimeout); !r.read(ctx, n); sleeper.Pause(ctx, 50*time.Millisecond) {
			if time.Now().After(deadline) {
				r.checker.AddFinding("%s did not return the plan at the end of the run", n.name())
				break
			}
		}
	}
}

// disturb injects one fault after the other for the duration of the run.
func (r *plansRun) disturb(ctx context.Context) {
	if r.cfg.Faults == "none" {
		sleeper.Pause(ctx, r.cfg.FaultDuration)
		return
	}
	for end := time.Now().Add(r.cfg.FaultDuration); time.Now().Before(end); {
		if r.cfg.Faults == "stalls" {
			r.stall(ctx)
			continue
		}
		i := r.cfg.Instances + r.rng.IntN(max(1, r.cfg.Routers))
		if r.cfg.Faults == "all" && r.rng.IntN(2) == 0 || r.cfg.Faults == "emptyDisk" || r.cfg.Routers == 0 {
			i = r.rng.IntN(r.cfg.Instances)
		}
		r.disturbNode(ctx, r.fleet.Nodes[i], i < r.cfg.Instances, randomDuration(r.rng, 100*time.Millisecond, 3*time.Second))
		sleeper.Pause(ctx, randomDuration(r.rng, time.Second, 2*stabilityWindow))
	}
}

// stall holds up some control instances for a moment, as processor time that they lack does. Callers and operators
// don't know of it, so that all bounds hold.
func (r *plansRun) stall(ctx context.Context) {
	picked := r.rng.Perm(r.cfg.Instances)[:1+r.rng.IntN(r.cfg.Instances)]
	stalled := make([]*Node, 0, len(picked))
	for _, i := range picked {
		stalled = append(stalled, r.fleet.Nodes[i])
	}
	d := randomDuration(r.rng, minStall, maxStall)
	for _, n := range stalled {
		r.recordInjected(fmt.Sprintf("%s stall %s for %v", time.Now().UTC().Format("15:04:05.000"), n.name(),
			d.Round(time.Millisecond)))
		n.pause()
	}
	sleeper.Pause(ctx, d)
	for _, n := range stalled {
		n.resume()
	}
	sleeper.Pause(ctx, randomDuration(r.rng, time.Second, 4*time.Second))
}

// disturbNode injects one fault into a node, or kills all of them.
func (r *plansRun) disturbNode(ctx context.Context, n *Node, isCore bool, d time.Duration) {
	kind := []string{"kill", "terminate", "pause", "silence", "emptyDisk", "killAll"}[r.rng.IntN(6)]
	if r.cfg.Faults == "emptyDisk" {
		kind = r.cfg.Faults
	}
	if kind == "emptyDisk" && !isCore || kind == "killAll" && r.cfg.Faults != "all" {
		kind = "kill"
	}
	r.recordInjected(fmt.Sprintf("%s %s %s for %v", time.Now().UTC().Format("15:04:05.000"), kind, n.name(),
		d.Round(time.Millisecond)))
	nodes := []*Node{n}
	if kind == "killAll" {
		nodes = r.fleet.Nodes
	}
	for i, node := range nodes {
		r.checker.RecordDisturbed(node, isCore || kind == "killAll" && i < r.cfg.Instances, time.Now().Add(time.Hour))
	}
	switch kind {
	case "pause":
		n.pause()
		sleeper.Pause(ctx, d)
		n.resume()
	case "silence":
		n.proxy.SetMode(ModeStall)
		sleeper.Pause(ctx, d)
		n.proxy.SetMode(ModeForward)
	case "terminate":
		n.Signal(syscall.SIGTERM)
		n.WaitExit(gracePeriodMillis*time.Millisecond + time.Second)
	default:
		for _, node := range nodes {
			node.Signal(syscall.SIGKILL)
			node.WaitExit(time.Second)
		}
		sleeper.Pause(ctx, restartDelay)
	}
	if kind == "emptyDisk" {
		if err := os.RemoveAll(n.settings.DataFolder); err != nil {
			r.checker.AddFinding("remove data of %s: %v", n.name(), err)
		}
	}
	for i, node := range nodes {
		if kind != "pause" && kind != "silence" {
			r.startProcess(node)
		}
		r.checker.RecordDisturbed(node, isCore || kind == "killAll" && i < r.cfg.Instances, time.Now())
	}
}
