package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"cactusroute.dev/adapters/pauser"
)

// restartPause is how long a killed process stays down.
const restartPause = 300 * time.Millisecond

// fault is one kind of trouble; it ends by itself within its time.
type fault struct {
	name string
	run  func(ctx context.Context, s *run, n *Node, d time.Duration)
}

func faults() []fault {
	return []fault{
		{"kill", func(ctx context.Context, s *run, n *Node, d time.Duration) {
			n.Signal(syscall.SIGKILL)
			n.Await(time.Second)
			pauser.Pause(ctx, d/2)
			s.start(n)
		}},
		{"terminate", func(_ context.Context, s *run, n *Node, _ time.Duration) {
			n.Signal(syscall.SIGTERM)
			n.Await(graceMillis*time.Millisecond + time.Second)
			s.start(n)
		}},
		{"pause", func(ctx context.Context, _ *run, n *Node, d time.Duration) {
			n.Signal(syscall.SIGSTOP)
			pauser.Pause(ctx, d)
			n.Signal(syscall.SIGCONT)
		}},
		{"silence", proxied(Silence)},
		{"oneWay", proxied(OneWay)},
		{"delay", proxied(Delay)},
		{"reset", func(_ context.Context, _ *run, n *Node, _ time.Duration) { n.proxy.Reset() }},
		{"hangup", func(_ context.Context, _ *run, n *Node, _ time.Duration) { n.Signal(syscall.SIGHUP) }},
		{"tornLog", func(ctx context.Context, s *run, n *Node, _ time.Duration) {
			n.Signal(syscall.SIGKILL)
			n.Await(time.Second)
			s.tearLog(n)
			pauser.Pause(ctx, restartPause)
			s.start(n)
		}},
	}
}

func proxied(m Mode) func(ctx context.Context, s *run, n *Node, d time.Duration) {
	return func(ctx context.Context, _ *run, n *Node, d time.Duration) {
		n.proxy.Set(m)
		pauser.Pause(ctx, d)
		n.proxy.Set(Pass)
	}
}

// tearLog appends the beginning of a write that the loss of power cut off.
func (s *run) tearLog(n *Node) {
	files, err := filepath.Glob(filepath.Join(n.settings.DataFolder, "replica", "log", "*.seg"))
	if err != nil || len(files) == 0 {
		return
	}
	file, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.checker.Find("log of %s can't be opened: %v", n.settings.Place.Name, err)
		return
	}
	_, _ = fmt.Fprintf(file, "torn%032d", 7)
	_ = file.Close()
}

// wipe takes the disk of a node away while it is down; only one at a time, because the group tolerates one loss.
func (s *run) wipe(ctx context.Context, n *Node) {
	n.Signal(syscall.SIGKILL)
	n.Await(time.Second)
	if err := os.RemoveAll(n.settings.DataFolder); err != nil {
		s.checker.Find("disk of %s can't be removed: %v", n.settings.Place.Name, err)
	}
	pauser.Pause(ctx, restartPause)
	s.start(n)
}

// killAll kills all nodes at once.
func (s *run) killAll(ctx context.Context) {
	for _, n := range s.fleet.Nodes {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range s.fleet.Nodes {
		n.Await(time.Second)
	}
	pauser.Pause(ctx, restartPause)
	for _, n := range s.fleet.Nodes {
		s.start(n)
	}
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
