package relayer

import (
	"fmt"
	"time"
)

const (
	// historyRetention is how long an agent keeps the state of an ended attempt. A run message with a longer delay can
	// only come from a connection that its router closed that long ago, and routers drop unsent bytes on closing.
	historyRetention = 2 * time.Minute
	// maxHistoryEntries allows 546 requests/s over historyRetention, and takes about 10 MB with ids of usual length.
	maxHistoryEntries = 1 << 16
	// maxRequestIDBytes limits the memory of one history entry.
	maxRequestIDBytes = 256
	// maxTransitTime is longer than a resume message takes on a connection that has not timed out.
	maxTransitTime = 10 * time.Second
)

// attemptKey identifies one attempt of one request.
type attemptKey struct {
	id      string
	attempt uint32
}

func checkRequestID(id string) error {
	if id == "" || len(id) > maxRequestIDBytes {
		return fmt.Errorf("request id has %d bytes; the allowed length is 1 to %d", len(id), maxRequestIDBytes)
	}
	return nil
}

// attemptState is the state of an attempt whose response is no longer buffered.
type attemptState uint8

const (
	stateUnknown attemptState = iota
	// stateFenced means that the attempt did not run and will be refused.
	stateFenced
	// stateRan means that the attempt was started.
	stateRan
)

type historyEntry struct {
	key attemptKey
	at  time.Time // when the entry was added
}

// attemptHistory keeps the states of recent attempts, so that a duplicate or late run message doesn't run twice.
type attemptHistory struct {
	newestEvicted time.Time // when the newest evicted entry was added; zero if none was evicted
	states        map[attemptKey]attemptState
	queue         []historyEntry // oldest first
}

func newAttemptHistory() *attemptHistory {
	return &attemptHistory{states: map[attemptKey]attemptState{}}
}

// add records the state of an attempt; stateRan is never replaced.
func (h *attemptHistory) add(k attemptKey, state attemptState, now time.Time) {
	h.evict(now)
	if old, ok := h.states[k]; ok {
		h.states[k] = max(old, state)
		return
	}
	h.states[k] = state
	h.queue = append(h.queue, historyEntry{key: k, at: now})
}

func (h *attemptHistory) evict(now time.Time) {
	n := 0
	for n < len(h.queue) && (len(h.queue)-n >= maxHistoryEntries || now.Sub(h.queue[n].at) > historyRetention) {
		delete(h.states, h.queue[n].key)
		h.newestEvicted = h.queue[n].at
		n++
	}
	h.queue = h.queue[n:]
}

// stateOfMissing returns the state of an attempt that was sent to this process age ago and has no entry. It was never
// received if an entry for it could not have been evicted yet.
func (h *attemptHistory) stateOfMissing(age time.Duration, now time.Time) attemptState {
	if now.Add(-age - maxTransitTime).After(h.newestEvicted) {
		return stateFenced
	}
	return stateUnknown
}
