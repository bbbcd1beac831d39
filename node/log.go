package node

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/observer"
)

const (
	// maxInfoLinesPerSecond and maxFailureLinesPerSecond are separate limits, so that served requests do not suppress
	// failures. At the design load a node serves 16 requests per second.
	maxInfoLinesPerSecond    = 60
	maxFailureLinesPerSecond = 300
)

// rateLimitedLog drops log lines above a limit per second.
type rateLimitedLog struct {
	obs   *observer.Observer
	queue *observer.AsyncWriter

	mu           sync.Mutex
	second       int64
	infoLines    int
	failureLines int
}

func newRateLimitedLog(obs *observer.Observer, queue *observer.AsyncWriter) *rateLimitedLog {
	return &rateLimitedLog{obs: obs, queue: queue}
}

// allow counts a line and reports whether it is within the limit of the current second.
func (l *rateLimitedLog) allow(isFailure bool) bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second, l.infoLines, l.failureLines = now, 0, 0
	}
	lines, limit := &l.infoLines, maxInfoLinesPerSecond
	if isFailure {
		lines, limit = &l.failureLines, maxFailureLinesPerSecond
	}
	*lines++
	return *lines <= limit
}

// info logs a request that was served.
func (l *rateLimitedLog) info(keyvals ...any) { l.write(false, keyvals) }

// failure logs a refusal, a retry or an error.
func (l *rateLimitedLog) failure(keyvals ...any) { l.write(true, keyvals) }

func (l *rateLimitedLog) write(isFailure bool, keyvals []any) {
	if !l.allow(isFailure) {
		l.queue.CountDropped()
		return
	}
	_ = l.obs.Logger.Log(keyvals...)
}

// event logs a state change and adds it to the timeline, within the limit of failures.
func (l *rateLimitedLog) event(msg string, keyvals ...any) {
	if !l.allow(true) {
		l.queue.CountDropped()
		return
	}
	l.obs.Event(msg, keyvals...)
}

// debug logs at level debug, within the limit of info lines.
func (l *rateLimitedLog) debug(keyvals ...any) {
	l.write(false, append([]any{"level", "debug"}, keyvals...))
}
