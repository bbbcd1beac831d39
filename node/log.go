package node

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/observer"
)

const (
	// routineLines and failureLines are the lines in a second of one node for requests that were served and for what
	// went wrong. A node at the design size serves 16 requests a second.
	maxInfoLinesPerSecond    = 60
	maxFailureLinesPerSecond = 300
)

// decisionLog writes one line for each decision, within a budget for each second.
type rateLimitedLog struct {
	obs   *observer.Observer
	queue *observer.Queue

	mu           sync.Mutex
	second       int64
	infoLines    int
	failureLines int
}

func newRateLimitedLog(obs *observer.Observer, queue *observer.Queue) *rateLimitedLog {
	return &rateLimitedLog{obs: obs, queue: queue}
}

// spend takes a line from the budget of the current second.
func (l *rateLimitedLog) allow(isFailure bool) bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second, l.infoLines, l.failureLines = now, 0, 0
	}
	used, limit := &l.infoLines, maxInfoLinesPerSecond
	if isFailure {
		used, limit = &l.failureLines, maxFailureLinesPerSecond
	}
	*used++
	return *used <= limit
}

// routine logs a request that went as planned.
func (l *rateLimitedLog) info(keyvals ...any) { l.write(false, keyvals) }

// failure logs a refusal, a repeat or an error.
func (l *rateLimitedLog) failure(keyvals ...any) { l.write(true, keyvals) }

func (l *rateLimitedLog) write(isFailure bool, keyvals []any) {
	if !l.allow(isFailure) {
		l.queue.Drop()
		return
	}
	_ = l.obs.Logger.Log(keyvals...)
}

// belief logs a change of what this node takes to be true.
func (l *rateLimitedLog) event(msg string, keyvals ...any) {
	if !l.allow(true) {
		l.queue.Drop()
		return
	}
	l.obs.Event(msg, keyvals...)
}

// debug logs a detail at the cost of routine lines.
func (l *rateLimitedLog) debug(keyvals ...any) {
	l.write(false, append([]any{"level", "debug"}, keyvals...))
}
