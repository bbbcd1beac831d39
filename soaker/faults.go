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
	name   string
	inject func(ctx context.Context, s *soakRun, n *Node, d time.Duration)
}

func faults() []fault {
	return []fault{
		{"kill", func(ctx context.Context, s *soakRun, n *Node, d time.Duration) {
			n.Signal(syscall.SIGKILL)
			n.WaitExit(time.Second)
			sleeper.Pause(ctx, d/2)
			s.startNode(n)
		}},
		{"terminate", func(_ context.Context, s *soakRun, n *Node, _ time.Duration) {
			n.Signal(syscall.SIGTERM)
			n.WaitExit(gracePeriodMillis*time.Millisecond + time.Second)
			s.startNode(n)
		}},
		{"pause", func(ctx context.Context, _ *soakRun, n *Node, d time.Duration) {
			n.Signal(syscall.SIGSTOP)
			sleeper.Pause(ctx, d)
			n.Signal(syscall.SIGCONT)
		}},
		{"silence", proxyFault(ModeStall)},
		{"oneWay", proxyFault(ModeStallInbound)},
		{"delay", proxyFault(ModeDelay)},
		{"reset", func(_ context.Context, _ *soakRun, n *Node, _ time.Duration) { n.proxy.ResetConnections() }},
		{"hangup", func(_ context.Context, _ *soakRun, n *Node, _ time.Duration) { n.Signal(syscall.SIGHUP) }},
		{"tornLog", func(ctx context.Context, s *soakRun, n *Node, _ time.Duration) {
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

// randomDuration draws a duration from [low, high).
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
