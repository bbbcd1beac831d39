package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the program that the deploy file builds and runs, relative to the root of the repository.
const program = "target/cactusroute"

// settingsText has the fields of DEPLOY.md with the bounds of the deployment kilima-labels.
const settingsText = `nodeName = "%[1]s"
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "dar-coast"
internalPorts = [%[4]d,%[4]d]
seeds = [%[5]s]
bootstrap = %[6]t
toleranceMember = %[7]t
dataDir = "%[8]s"
discovery = "registry"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places"]
configMode = "highest"
[zones]
kurasini = "dar-coast"
ubungo = "dar-coast"
mikocheni = "dar-coast"
[listen]
front = "%[2]s:%[9]d"
ready = "%[2]s:%[10]d"
control = "%[2]s:%[11]d"
[limits]
cpuShare = 0.72
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 116
coldOver = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 10
capX = 2
`

// zones are the zones of the machines, in turn.
var zones = []string{"kurasini", "ubungo", "mikocheni"}

// machine is one process of the system with its own loopback address.
type machine struct {
	name, ip, zone, dir string
	hasDisk             bool
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// fleet is a small deployment in a temporary folder.
type fleet struct {
	rec                             *record
	folder                          string
	machines                        []*machine
	exchange, front, ready, control int // ports, the same ones on all machines
	version                         int // of the last configuration
}

// startFleet starts machines with and without a disk at the same time.
func startFleet(rec *record, withDisk, withoutDisk int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "cactusroute-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder}
	base := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	for i := range withDisk + withoutDisk {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s%d", base, i+1), zone: zones[i%len(zones)],
			hasDisk: i < withDisk}
		m.dir = filepath.Join(folder, m.name)
		f.machines = append(f.machines, m)
	}
	for _, port := range []*int{&f.exchange, &f.front, &f.ready, &f.control} {
		if *port, err = freePort(f.machines[0].ip); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// start writes the settings of a machine and starts its process.
func (f *fleet) start(m *machine, isFirst bool) error {
	data := ""
	if m.hasDisk {
		data = filepath.Join(m.dir, "data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	} else if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(s, f.control)))
	}
	settings := filepath.Join(m.dir, "boot.toml")
	text := fmt.Sprintf(settingsText, m.name, m.ip, m.zone, f.exchange, strings.Join(seeds, ","), isFirst, m.hasDisk, data,
		f.front, f.ready, f.control)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(program)
	m.cmd.Env = append(os.Environ(), "CACTUSROUTE_BOOT="+settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this program
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd, m.exited)
	f.rec.printf("machine %s started at %s, process %d", m.name, m.ip, m.cmd.Process.Pid)
	return nil
}

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, sig syscall.Signal) {
	f.rec.printf("machine %s gets %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// stop ends all processes that the fleet started and removes the folder.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	for _, m := range f.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// call sends a request of an operator or a replica to the control address of a machine, and follows redirects twice.
func (f *fleet) call(m *machine, method, path, body string) (status int, err error) {
	url := "http://" + f.address(m, f.control) + path
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 3 {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, nil
		}
		url = resp.Header.Get("Location")
	}
	return 0, fmt.Errorf("too many redirects")
}

// order sends an order to one machine after the other until it is acknowledged.
func (f *fleet) order(ctx context.Context, method, path, body string) error {
	for i := rand.IntN(len(f.machines)); ctx.Err() == nil; i++ {
		m := f.machines[i%len(f.machines)]
		status, err := f.call(m, method, path, body)
		if err == nil && status == http.StatusOK {
			f.rec.printf("order %s %s acknowledged, sent to %s", method, path, m.name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("order %s %s refused with status %d", method, path, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// configure puts a configuration, without its version, in force.
func (f *fleet) configure(ctx context.Context, rest string) error {
	f.version++
	return f.order(ctx, http.MethodPut, "/config", fmt.Sprintf(`{"version":%d,%s}`, f.version, rest))
}

// awaitReady waits until all machines say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range f.machines {
		for {
			resp, err := client.Get("http://" + f.address(m, f.ready) + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("machine %s does not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.printf("all machines are ready")
	return nil
}
