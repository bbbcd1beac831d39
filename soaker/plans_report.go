package soaker

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// logEvent is a start of a node, with version 0, or a plan that it has put in force.
type logEvent struct {
	at      time.Time
	version uint64
}

// readLog returns the starts of a node and its plans in force.
func readLog(file string) (events []logEvent) {
	f, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		isStart := strings.Contains(line, `msg="node started"`)
		_, version, isState := strings.Cut(line, `msg="state in force" version=`)
		if !isStart && !isState {
			continue
		}
		var e logEvent
		stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "ts="), " ")
		if e.at, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
			continue
		}
		if _, err := fmt.Sscan(version, &e.version); isState && (err != nil || e.version == 0) {
			continue
		}
		events = append(events, e)
	}
	return events
}

// report returns the times from acknowledgements until plans were in force, and how long nodes that had started again
// obeyed plans that were older than an acknowledged one.
func (r *plansRun) report() (lines []string) {
	logs := make([][]logEvent, len(r.fleet.Nodes))
	for i, n := range r.fleet.Nodes {
		logs[i] = readLog(filepath.Join(n.folder, "log"))
		lines = append(lines, r.reportStarts(n, logs[i])...)
	}
	peaks := map[bool]int{} // in MB, by whether the nodes are control instances
	for i, n := range r.fleet.Nodes {
		isInstance := i < r.cfg.Instances
		peaks[isInstance] = max(peaks[isInstance], n.peakMemory())
	}
	lines = append(lines, fmt.Sprintf("peak memory: %d MB of a control instance, %d MB of a router", peaks[true],
		peaks[false]))
	if r.cfg.Faults != "none" && r.cfg.Faults != "stalls" {
		return lines
	}
	var medians, lasts []time.Duration
	for _, p := range r.checker.acked {
		var times []time.Duration
		for _, events := range logs {
			i := slices.IndexFunc(events, func(e logEvent) bool { return e.version >= p.version })
			if i >= 0 {
				times = append(times, events[i].at.Sub(p.at))
			}
		}
		if len(times) == len(logs) {
			slices.Sort(times)
			medians, lasts = append(medians, times[len(times)/2]), append(lasts, times[len(times)-1])
		}
	}
	if len(lasts) == 0 {
		return append(lines, "no plan was in force at all nodes")
	}
	slices.Sort(medians)
	slices.Sort(lasts)
	at := func(list []time.Duration, q float64) time.Duration {
		return list[int(q*float64(len(list)-1))].Round(time.Millisecond)
	}
	return append(lines, fmt.Sprintf("acknowledged to in force, %d of %d plans at all nodes: "+
		"median node %v (worst plan %v), last node %v (p90 %v, worst plan %v)", len(lasts),
		len(r.checker.acked), at(medians, 0.5), at(medians, 1),
		at(lasts, 0.5), at(lasts, 0.9), at(lasts, 1)))
}

// reportStarts describes the starts after which a node obeyed plans that were older than an acknowledged one.
func (r *plansRun) reportStarts(n *Node, events []logEvent) (lines []string) {
	for i, start := range events {
		if start.version > 0 {
			continue
		}
		acked := newestBefore(r.checker.acked, start.at)
		old := 0
		var since, until time.Time
		for _, e := range events[i+1:] {
			if e.version == 0 || e.version >= acked {
				until = e.at
				break
			}
			if old++; old == 1 {
				since = e.at
			}
		}
		if acked > 0 && old > 0 {
			lines = append(lines, fmt.Sprintf("%s started at %s with version %d acknowledged: %d older plans in force, "+
				"from %v to %v after the start", n.name(), start.at.Format("15:04:05.000"), acked, old,
				since.Sub(start.at).Round(time.Millisecond), until.Sub(start.at).Round(time.Millisecond)))
		}
	}
	return lines
}

// peakMemory returns the highest resident memory in MB that the current process of the node has had.
func (n *Node) peakMemory() (megabytes int) {
	pid, _ := n.processorTime()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscan(after, &megabytes); err != nil {
		return 0
	}
	return megabytes >> 10
}
