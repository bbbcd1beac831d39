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
	"cactusroute.dev/node"
)

const (
	// graceMillis is the grace of the nodes, shorter than in production so that restarts come in series.
	gracePeriodMillis = 5000

	// orderTimeout is how long a call to a node may take.
	controlCallTimeout = 3 * time.Second

	// firstPort is the first port of the nodes; it is below those that the system hands out.
	firstPort = 17000

	// startTimeout bounds the first plan.
	firstPlanTimeout = 30 * time.Second
)

// Node is one process of the program under test.
type Node struct {
	settings node.Settings
	folder   string
	proxy    *Proxy

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	isFirstStart bool
}

// Fleet is a set of nodes; the first ones have disks.
type Fleet struct {
	binary    string
	folder    string
	ip        string // loopback address of this run alone
	Nodes     []*Node
	DiskNodes int
	checker   *Checker
	client    *http.Client
}

// NewFleet prepares nodes in a folder, on a loopback address of their own, so that several runs don't meet.
func NewFleet(ctx context.Context, binary, folder, ip string, disks, routers int, c *Checker) (*Fleet, error) {
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

func (f *Fleet) prepareNode(ctx context.Context, i int, disk bool) (n *Node, err error) {
	var addresses [5]string
	for j := range addresses {
		addresses[j] = net.JoinHostPort(f.ip, strconv.Itoa(firstPort+len(addresses)*i+j))
	}
	name := fmt.Sprintf("node%02d", i)
	n = &Node{folder: filepath.Join(f.folder, name), isFirstStart: true, settings: node.Settings{
		Place: configurer.Place{Name: name, Region: "r", FailureDomain: "d"},
		Listen: node.Listen{Front: addresses[0], Ready: addresses[1], Control: addresses[2],
			Exchange: addresses[3]},
		MinVoters: f.DiskNodes, HeartbeatMillis: int(heartbeatInterval.Milliseconds()), GraceMillis: gracePeriodMillis}}
	if disk {
		n.settings.DataFolder = filepath.Join(n.folder, "data")
	}
	if n.proxy, err = NewProxy(ctx, addresses[4], addresses[3]); err != nil {
		return nil, err
	}
	n.settings.Listen.Advertise = n.proxy.Address()
	return n, os.MkdirAll(n.folder, 0o700)
}

// Start starts the process of a node; its output is appended to a file.
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
	cmd := exec.Command(f.binary, "--config", file) //nolint:noctx // it is ended by its ID
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.process, n.exited = cmd, ended
	return nil
}

// Signal sends a signal to the process of a node, if it runs.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// Await waits until the process has ended, and kills it after the limit.
func (n *Node) WaitExit(limit time.Duration) {
	n.mu.Lock()
	ended := n.exited
	n.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(limit):
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.WaitExit(time.Second)
		n.proxy.Close()
	}
}

// Call sends an order to one node and returns the status, 0 without an answer.
func (f *Fleet) Call(ctx context.Context, n *Node, method, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// Order tries an order at all nodes, beginning anywhere, until one doesn't fail.
func (f *Fleet) CallAny(ctx context.Context, method, path string, body []byte) (status int) {
	begin := int(time.Now().UnixNano() % int64(len(f.Nodes)))
	for i := range f.Nodes {
		n := f.Nodes[(begin+i)%len(f.Nodes)]
		if status, _ = f.Call(ctx, n, method, path, body); status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	return status
}

var errNotReady = errors.New("the fleet didn't accept its first plan in time")
