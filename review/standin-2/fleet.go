package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes the lines of record.txt with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// node is one process of the deploy file's role.
type node struct {
	name, ip, zone        string
	front, ready, control string
	settings              string
	disk                  string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
	logFile               string
}

// fleetOptions describes a small deployment.
type fleetOptions struct {
	disklessFirst, disks, diskless int // in the order of their addresses
	machines                       int // faultTolerance
	memoryMb                       int
	maxFds                         int
	heartbeatMs                    int
	zones                          []string
}

// startedProcesses are the processes that run.
type startedProcesses struct {
	mu   sync.Mutex
	list map[*os.Process]bool
}

var started = startedProcesses{list: map[*os.Process]bool{}}

func (s *startedProcesses) set(p *os.Process, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if runs {
		s.list[p] = true
	} else {
		delete(s.list, p)
	}
}

func (s *startedProcesses) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.list {
		_ = p.Kill()
	}
}

// fleet holds the processes and the platform's part of their life.
type fleet struct {
	rec   *record
	root  string // of the repository
	dir   string // temporary
	opts  fleetOptions
	nodes []*node
	net   string // first three bytes of the addresses
}

// metricsPort is fixed in the deploy file, so that each process needs an address of its own.
const metricsPort = 9464

// freeNet returns the first three bytes of loopback addresses on which the metrics port is free.
func freeNet() string {
	for {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", n+".1:"+strconv.Itoa(metricsPort))
		if err == nil {
			_ = l.Close()
			return n
		}
	}
}

func freePorts(ip string, n int) (ports []int, err error) {
	var ls []net.Listener
	defer func() {
		for _, l := range ls {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newFleet(rec *record, root string, o fleetOptions) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	if o.heartbeatMs == 0 {
		o.heartbeatMs = 1200
	}
	if len(o.zones) == 0 {
		o.zones = []string{"z1", "z2", "z3"}
	}
	f := &fleet{rec: rec, root: root, dir: dir, opts: o, net: freeNet()}
	ports, err := freePorts(f.net+".1", 4)
	if err != nil {
		return nil, err
	}
	for i := range o.disklessFirst + o.disks + o.diskless {
		ip := fmt.Sprintf("%s.%d", f.net, i+1)
		n := &node{name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: o.zones[i%len(o.zones)],
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			control: fmt.Sprintf("%s:%d", ip, ports[2])}
		if i >= o.disklessFirst && i < o.disklessFirst+o.disks {
			n.disk = filepath.Join(dir, "disk-"+n.name)
			if err := os.MkdirAll(n.disk, 0o700); err != nil {
				return nil, err
			}
		}
		n.settings = filepath.Join(dir, n.name+".toml")
		n.logFile = filepath.Join(dir, n.name+".log")
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := f.writeSettings(n, ports[3], true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) writeSettings(n *node, internal int, bootstrap bool) error {
	var seeds []string
	for i := range min(3, len(f.nodes)) {
		seeds = append(seeds, strconv.Quote(f.nodes[i].control))
	}
	o := f.opts
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = \"router\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"r1\"\n",
		n.name, n.ip, n.zone)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = %v\ntoleranceMember = %v\n", internal, internal,
		strings.Join(seeds, ","), bootstrap, n.disk != "")
	if n.disk != "" {
		fmt.Fprintf(&b, "dataDir = %q\n", n.disk)
	}
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = %d\n", o.heartbeatMs)
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\"]\nconfigMode = \"highest\"\n[zones]\n")
	for _, z := range o.zones {
		fmt.Fprintf(&b, "%s = \"r1\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ncontrol = %q\n", n.front, n.ready, n.control)
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.72\ncores = 1\nmemoryMb = %d\nmaxFds = %d\nlinkMbps = 1000.0\ndiskMb = 64\n", o.memoryMb, o.maxFds)
	fmt.Fprintf(&b, "[faultTolerance]\nmachines = %d\nzones = 1\nregions = 0\n", o.machines)
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrollbackSlackMs = 250\nouterMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 116\ncoldOver = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 10\ncapX = 2\n")
	return os.WriteFile(n.settings, []byte(b.String()), 0o600)
}

func (f *fleet) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target/cactusroute"))
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSROUTE_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	started.set(cmd.Process, true)
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	f.rec.printf("platform: %s started, pid %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		started.set(cmd.Process, false)
		f.rec.printf("platform: %s ended: %v", n.name, err)
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

func (n *node) hasEnded() bool {
	n.mu.Lock()
	ch := n.exited
	n.mu.Unlock()
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ch := n.exited
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" { // KEEP=1 leaves the logs of the processes
		_ = os.RemoveAll(f.dir)
	}
}

// rssMb returns the resident memory of the process in MB.
func (n *node) rssMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// awaitReady waits until all nodes answer readiness checks with 200.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
			if n.isReady() {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var checker = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (n *node) isReady() bool {
	resp, err := checker.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call is one call of the operator or a replica to a control address; it follows a 307 twice.
func call(timeout time.Duration, method, address, path string, body []byte) (status int, answer []byte, err error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	target := "http://" + address + path
	for range 3 {
		req, err := http.NewRequest(method, target, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if len(body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil, err
		}
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		status = resp.StatusCode
		if status != http.StatusTemporaryRedirect {
			return status, answer, nil
		}
		target = resp.Header.Get("Location")
	}
	return status, answer, nil
}

// order sends an order to one node after the other until it is acknowledged.
func (f *fleet) order(ctx context.Context, method, path string, body []byte) error {
	for i := 0; ctx.Err() == nil; i++ {
		n := f.nodes[i%len(f.nodes)]
		status, answer, err := call(time.Second, method, n.control, path, body)
		if err == nil && status/100 == 2 {
			f.rec.printf("operator: %s %s acknowledged by %s", method, path, n.name)
			return nil
		}
		if status == 400 {
			return fmt.Errorf("%s %s: %s", method, path, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not acknowledged: " + method + " " + path)
}

// obj is a JSON object.
type obj map[string]any

func asJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// plan returns the body of PUT /config.
func plan(version int, routes, services, tenants []obj) []byte {
	p := obj{"version": version, "routes": routes, "services": services,
		"limits": obj{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	if tenants != nil {
		p["tenants"] = tenants
	}
	return asJSON(p)
}
