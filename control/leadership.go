package control

import (
	"sync"
	"time"

	"cactusroute.dev/core/viewer"
)

// leadership is the state of an instance while it leads.
type leadership struct {
	mu               sync.Mutex
	since            time.Time         // start of the current leadership; zero for a follower
	goneIncarnations map[string]uint64 // incarnation by agent that this leader has marked as gone
}

func (l *leadership) update(isLeader bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !isLeader:
		l.since = time.Time{}
		l.goneIncarnations = map[string]uint64{}
	case l.since.IsZero():
		l.since, l.goneIncarnations = now, map[string]uint64{}
	}
}

func (l *leadership) startedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

func (l *leadership) isMarkedGone(e *viewer.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.goneIncarnations[e.Name] == e.Incarnation
}

func (l *leadership) markGone(e *viewer.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.goneIncarnations[e.Name] = e.Incarnation
}
