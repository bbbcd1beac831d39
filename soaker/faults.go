package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"cactusroute.dev/adapters/sleeper"
)

// restartDelay is the time between the end of a killed process and its restart.
const restartDelay = 300 * time.Millisecond

// fault is a kind of fault; inject starts it at a node and returns once it has ended. Lasting faults take at most d.
type fault struct {
	name string
	// interrupts is set if the process of the node does not run all the time.
	interrupts bool
	inject     func(ctx context.Context, s *soakRun, n *Node, d time.Duration)
}

func faults() []fault {
	return []fault{
		{"kill", true, func(ctx context.Context, s *soakRun, n *Node, d time.Duration) {
			n.Signal(syscall.SIGKILL)
			n.WaitExit(time.Second)
			sleeper.Pause(ctx, d/2)
			s.startNode(n)
		}},
		{"terminate", true, func(_ context.Context, s *soakRun, n *Node, _ time.Duration) {
			n.Signal(syscall.SIGTERM)
			n.WaitExit(gracePeriodMillis*time.Millisecond + time.Second)
			s.startNode(n)
		}},
		{"pause", true, func(ctx context.Context, _ *soakRun, n *Node, d time.Duration) {
			n.Signal(syscall.SIGSTOP)
			sleeper.Pause(ctx, d)
			n.Signal(syscall.SIGCONT)
		}},
		{"silence", false, proxyFault(ModeStall)},
		{"oneWay", false, proxyFault(ModeStallInbound)},
		{"delay", false, proxyFault(ModeDelay)},
		{"reset", false, func(_ context.Context, _ *soakRun, n *Node, _ time.Duration) { n.proxy.ResetConnections() }},
		{"hangup", false, func(_ context.Context, _ *soakRun, n *Node, _ time.Duration) { n.Signal(syscall.SIGHUP) }},
		{"tornLog", true, func(ctx context.Context, s *soakRun, n *Node, _ time.Duration) {
			n.Signal(syscall.SIGKILL)
			n.WaitExit(time.Second)
			s.appendTornWrite(n)
			sleeper.Pause(ctx, restartDelay)
			s.startNode(n)
		}},
	}
}

// proxyFault returns an inject function that sets the mode of the node's proxy for d.
func proxyFault(m Mode) func(ctx context.Context, s *soakRun, n *Node, d time.Duration) {
	return func(ctx context.Context, _ *soakRun, n *Node, d time.Duration) {
		n.proxy.SetMode(m)
		sleeper.Pause(ctx, d)
		n.proxy.SetMode(ModeForward)
	}
}

// appendTornWrite appends an incomplete record to the log, as a power loss during a write does.
func (s *soakRun) appendTornWrite(n *Node) {
	files, err := filepath.Glob(filepath.Join(n.settings.DataFolder, "replica", "log", "*.seg"))
	if err != nil || len(files) == 0 {
		return
	}
	file, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.checker.AddFinding("open log of %s: %v", n.settings.Place.Name, err)
		return
	}
	_, _ = fmt.Fprintf(file, "torn%032d", 7)
	_ = file.Close()
}

// wipeDisk kills a node, removes its data and restarts it; only one at a time, because the group tolerates one loss.
func (s *soakRun) wipeDisk(ctx context.Context, n *Node) {
	defer s.interrupt(n)()
	n.Signal(syscall.SIGKILL)
	n.WaitExit(time.Second)
	if err := os.RemoveAll(n.settings.DataFolder); err != nil {
		s.checker.AddFinding("remove data of %s: %v", n.settings.Place.Name, err)
	}
	sleeper.Pause(ctx, restartDelay)
	s.startNode(n)
}

// killAll kills all nodes at once and restarts them.
func (s *soakRun) killAll(ctx context.Context) {
	for _, n := range s.fleet.Nodes {
		defer s.interrupt(n)()
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range s.fleet.Nodes {
		n.WaitExit(time.Second)
	}
	sleeper.Pause(ctx, restartDelay)
	for _, n := range s.fleet.Nodes {
		s.startNode(n)
	}
}

// interrupt records that the process of a node does not run all the time until the returned function is called.
func (s *soakRun) interrupt(n *Node) (end func()) {
	name := n.settings.Place.Name
	s.checker.RecordInterruption(name, time.Now().Add(time.Hour))
	return func() { s.checker.RecordInterruption(name, time.Now()) }
}

// randomDuration draws a duration from [low, high).
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
