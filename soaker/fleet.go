package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/core/rollouter"
	"cactusroute.dev/node"
)

const (
	// gracePeriodMillis is shorter than in production, so that a run has time for several restarts.
	gracePeriodMillis = 5000

	// controlCallTimeout limits one call to the control address of a node.
	controlCallTimeout = 3 * time.Second

	// firstPort is the first port of the nodes; the ports are below the ephemeral port range.
	firstPort = 17000

	// firstPlanTimeout limits the time until the first plan is accepted.
	firstPlanTimeout = 30 * time.Second
)

// Node is a node process under test, with a proxy in front of its exchange address.
type Node struct {
	settings node.Settings
	folder   string
	proxy    *Proxy

	mu           sync.Mutex
	process      *exec.Cmd
	paused       bool // by a fault
	exited       chan struct{}
	isFirstStart bool
}

// Fleet is a set of nodes, of which the first DiskNodes have disks and vote.
type Fleet struct {
	binary    string
	folder    string
	ip        string // loopback address of the nodes
	Nodes     []*Node
	DiskNodes int
	checker   *Checker
	client    *http.Client
	env       []string // added to the environment of the processes
}

var errNoFolder = errors.New("no folder for the logs and data of nodes")

// NewFleet prepares nodes in a folder, on a separate loopback address, so that concurrent runs do not interfere.
func NewFleet(ctx context.Context, binary, folder, ip string, disks, routers int, c *Checker) (*Fleet, error) {
	if folder == "" {
		return nil, errNoFolder // the nodes would write into the working folder
	}
	f := &Fleet{binary: binary, folder: folder, ip: ip, DiskNodes: disks, checker: c, client: &http.Client{
		Timeout: controlCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	var seeds []string
	for i := range disks + routers {
		n, err := f.prepareNode(ctx, i, i < disks)
		if err != nil {
			return nil, err
		}
		f.Nodes = append(f.Nodes, n)
		if i < min(3, disks) {
			seeds = append(seeds, n.settings.Listen.Advertise)
		}
	}
	for _, n := range f.Nodes {
		n.settings.Seeds = seeds
	}
	return f, nil
}

func (f *Fleet) prepareNode(ctx context.Context, i int, hasDisk bool) (n *Node, err error) {
	var addresses [5]string
	for j := range addresses {
		addresses[j] = net.JoinHostPort(f.ip, strconv.Itoa(firstPort+len(addresses)*i+j))
	}
	name := fmt.Sprintf("node%02d", i)
	n = &Node{folder: filepath.Join(f.folder, name), isFirstStart: true, settings: node.Settings{
		Place: configurer.Place{Name: name, Region: "r", FailureDomain: "d"},
		Listen: node.Listen{Front: addresses[0], Ready: addresses[1], Control: addresses[2],
			Exchange: addresses[3]},
		MinVoters: f.DiskNodes, HeartbeatMillis: int(heartbeatInterval.Milliseconds()), GraceMillis: gracePeriodMillis,
		Rollouts: rollouter.Limits{ExposeShare: exposeShare, ExposeSlack: exposeSlack}}}
	if hasDisk {
		n.settings.DataFolder = filepath.Join(n.folder, "data")
	}
	if n.proxy, err = NewProxy(ctx, addresses[4], addresses[3]); err != nil {
		return nil, err
	}
	n.settings.Listen.Advertise = n.proxy.Address()
	return n, os.MkdirAll(n.folder, 0o700)
}

// Start starts the process of a node and appends its output to a log file.
func (f *Fleet) Start(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings.FirstStart = n.isFirstStart
	settings, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(n.folder, "settings.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(f.binary, "--config", file) //nolint:noctx // it is stopped by a signal
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), f.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.process, n.exited = cmd, exited
	return nil
}

// Signal sends a signal to the process of a node, if it was started.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// WaitExit waits until the process has exited, and kills it after the timeout.
func (n *Node) WaitExit(timeout time.Duration) {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Stop kills all processes and closes the proxies.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.WaitExit(time.Second)
		n.proxy.Close()
	}
}

// Call sends a request to the control address of a node and returns the status, which is 0 without a response.
func (f *Fleet) Call(ctx context.Context, n *Node, method, path string, body []byte) (status int, response []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	response, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, response
}

// CallAny calls the nodes in turn, from an arbitrary first one, until one responds with a status below 500.
func (f *Fleet) CallAny(ctx context.Context, method, path string, body []byte) (status int) {
	first := int(time.Now().UnixNano() % int64(len(f.Nodes)))
	for i := range f.Nodes {
		n := f.Nodes[(first+i)%len(f.Nodes)]
		if status, _ = f.Call(ctx, n, method, path, body); status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	return status
}

var errNotReady = errors.New("fleet did not accept its first plan before the timeout")
