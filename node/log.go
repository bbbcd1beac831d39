package node

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/observer"
)

const (
	// Separate limits by kind of line, so that served requests do not suppress failures, nor the failures of an overload
	// the changes of state that explain them. At the design load a node serves 16 requests per second.
	maxInfoLinesPerSecond    = 60
	maxFailureLinesPerSecond = 300
	maxEventLinesPerSecond   = 300
)

// lineKind is the kind of a log line, which has a limit of its own.
type lineKind uint8

const (
	infoLine lineKind = iota
	failureLine
	eventLine
)

var maxLinesPerSecond = [...]int{
	infoLine: maxInfoLinesPerSecond, failureLine: maxFailureLinesPerSecond, eventLine: maxEventLinesPerSecond,
}

// rateLimitedLog drops log lines above a limit per second.
type rateLimitedLog struct {
	obs   *observer.Observer
	queue *observer.AsyncWriter

	mu     sync.Mutex
	second int64
	lines  [len(maxLinesPerSecond)]int // in the current second
}

func newRateLimitedLog(obs *observer.Observer, queue *observer.AsyncWriter) *rateLimitedLog {
	return &rateLimitedLog{obs: obs, queue: queue}
}

// allow counts a line and reports whether it is within the limit of the current second.
func (l *rateLimitedLog) allow(kind lineKind) bool {
	now := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now != l.second {
		l.second, l.lines = now, [len(maxLinesPerSecond)]int{}
	}
	l.lines[kind]++
	return l.lines[kind] <= maxLinesPerSecond[kind]
}

// info logs a request that was served.
func (l *rateLimitedLog) info(keyvals ...any) { l.write(infoLine, keyvals) }

// failure logs a refusal, a retry or an error.
func (l *rateLimitedLog) failure(keyvals ...any) { l.write(failureLine, keyvals) }

func (l *rateLimitedLog) write(kind lineKind, keyvals []any) {
	if !l.allow(kind) {
		l.queue.CountDropped()
		return
	}
	_ = l.obs.Logger.Log(keyvals...)
}

// event logs a state change and adds it to the timeline.
func (l *rateLimitedLog) event(msg string, keyvals ...any) {
	if !l.allow(eventLine) {
		l.queue.CountDropped()
		return
	}
	l.obs.Event(msg, keyvals...)
}

// debug logs at level debug, within the limit of info lines.
func (l *rateLimitedLog) debug(keyvals ...any) {
	l.write(infoLine, append([]any{"level", "debug"}, keyvals...))
}
