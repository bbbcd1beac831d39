package soaker

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cactusroute.dev/adapters/sleeper"
)

const (
	// throttleInterval is how often the processor time of a process is compared with its share.
	throttleInterval = 5 * time.Millisecond

	// maxThrottleCredit is the time for which a process may save the share that it does not use.
	maxThrottleCredit = 100 * time.Millisecond
)

// throttle keeps the process of a node at a share of a core until ctx ends: it stops the process while it has used
// more. A process that uses less is never stopped.
func throttle(ctx context.Context, n *Node, share float64) {
	var credit, used time.Duration
	pid, stopped := 0, false
	for last := time.Now(); ctx.Err() == nil; sleeper.Pause(ctx, throttleInterval) {
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		current, total := n.processorTime()
		if current != pid {
			pid, used, credit, stopped = current, total, 0, false
		}
		credit += time.Duration(share * float64(elapsed))
		credit = min(credit, time.Duration(share*float64(maxThrottleCredit))) - (total - used)
		used = total
		switch {
		case credit < 0 && !stopped:
			stopped = n.hold(true)
		case credit >= 0 && stopped:
			stopped = n.hold(false)
		}
	}
	n.hold(false)
}

// hold stops or continues the process of a node for its throttle, unless a fault has paused it; it returns whether the
// throttle has stopped it.
func (n *Node) hold(stop bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.paused {
		return stop
	}
	if stop {
		return n.process.Process.Signal(syscall.SIGSTOP) == nil
	}
	_ = n.process.Process.Signal(syscall.SIGCONT)
	return false
}

// pause stops the process of a node, whatever its share, until resume.
func (n *Node) pause() {
	n.mu.Lock()
	n.paused = true
	n.mu.Unlock()
	n.Signal(syscall.SIGSTOP)
}

func (n *Node) resume() {
	n.mu.Lock()
	n.paused = false
	n.mu.Unlock()
	n.Signal(syscall.SIGCONT)
}

// processorTime returns the ID of the process of a node and the processor time that it has used.
func (n *Node) processorTime() (pid int, used time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0, 0
	}
	pid = n.process.Process.Pid
	var t unix.Timespec
	// The clock of a process that has ended cannot be read; its time no longer matters.
	if unix.ClockGettime(int32(^pid)<<3|cpuClockOfProcess, &t) != nil {
		return pid, 0
	}
	return pid, time.Duration(t.Nano())
}

// cpuClockOfProcess selects the scheduler's clock in the clock ID that clock_getcpuclockid(3) derives from a process
// ID.
const cpuClockOfProcess = 2
