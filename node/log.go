package node

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/observer"
)

const (
	// routineLines and failureLines are the lines in a second of one node for requests that were served and for what
	// went wrong. A node at the design size serves 16 requests a second.
	routineLines = 60
	failureLines = 300
)

// decisionLog writes one line for each decision, within a budget for each second.
type decisionLog struct {
	obs   *observer.Observer
	queue *observer.AsyncWriter

	mu       sync.Mutex
	second   int64
	routines int
	failures int
}

func newDecisionLog(obs *observer.Observer, queue *observer.AsyncWriter) *decisionLog {
	return &decisionLog{obs: obs, queue: queue}
}

// spend takes a line from the budget of the current second.
func (l *decisionLog) spend(isFailure bool) bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second, l.routines, l.failures = now, 0, 0
	}
	used, limit := &l.routines, routineLines
	if isFailure {
		used, limit = &l.failures, failureLines
	}
	*used++
	return *used <= limit
}

// routine logs a request that went as planned.
func (l *decisionLog) routine(keyvals ...any) { l.write(false, keyvals) }

// failure logs a refusal, a repeat or an error.
func (l *decisionLog) failure(keyvals ...any) { l.write(true, keyvals) }

func (l *decisionLog) write(isFailure bool, keyvals []any) {
	if !l.spend(isFailure) {
		l.queue.CountDropped()
		return
	}
	_ = l.obs.Logger.Log(keyvals...)
}

// belief logs a change of what this node takes to be true.
func (l *decisionLog) belief(msg string, keyvals ...any) {
	if !l.spend(true) {
		l.queue.CountDropped()
		return
	}
	l.obs.Event(msg, keyvals...)
}

// debug logs a detail at the cost of routine lines.
func (l *decisionLog) debug(keyvals ...any) {
	l.write(false, append([]any{"level", "debug"}, keyvals...))
}
