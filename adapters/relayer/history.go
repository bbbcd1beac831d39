package relayer

import (
	"fmt"
	"time"
)

const (
	// memoryTime is how long an agent remembers how an attempt ended. A run message that is delayed beyond it can
	// only come from a connection that its router closed that long ago, and routers drop unsent bytes on closing.
	memoryTime = 2 * time.Minute
	// memoryEntries is enough for 546 requests/s over memoryTime, and takes about 10 MB with ids of usual length.
	memoryEntries = 1 << 16
	// maxIDBytes bounds the request ids that are remembered.
	maxIDBytes = 256
	// transitTime is more than a resume message may take on a connection that isn't silent.
	transitTime = 10 * time.Second
)

type runKey struct {
	id      string
	attempt uint32
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return fmt.Errorf("request id of %d bytes; allowed: 1 to %d", len(id), maxIDBytes)
	}
	return nil
}

// fate is what became of an attempt that an agent no longer holds.
type fate uint8

const (
	fateUnknown fate = iota
	// fateFenced means that the attempt did not run, and is refused from now on.
	fateFenced
	// fateRan means that the attempt was started.
	fateRan
)

type memoryEntry struct {
	key runKey
	at  time.Time
}

// memory keeps the fates of recent attempts, the oldest first.
type memory struct {
	since time.Time // when the newest forgotten attempt ended; zero if none was forgotten
	fates map[runKey]fate
	queue []memoryEntry
}

func newMemory() *memory { return &memory{fates: map[runKey]fate{}} }

// add remembers the fate of an attempt; an attempt that ran stays so.
func (m *memory) add(k runKey, f fate, now time.Time) {
	m.prune(now)
	if old, ok := m.fates[k]; ok {
		m.fates[k] = max(old, f)
		return
	}
	m.fates[k] = f
	m.queue = append(m.queue, memoryEntry{key: k, at: now})
}

func (m *memory) prune(now time.Time) {
	n := 0
	for n < len(m.queue) && (len(m.queue)-n >= memoryEntries || now.Sub(m.queue[n].at) > memoryTime) {
		delete(m.fates, m.queue[n].key)
		m.since = m.queue[n].at
		n++
	}
	m.queue = m.queue[n:]
}

// missing returns the fate of an attempt that was sent to this process some time ago and is not remembered.
func (m *memory) missing(age time.Duration, now time.Time) fate {
	if now.Add(-age - transitTime).After(m.since) {
		return fateFenced
	}
	return fateUnknown
}
