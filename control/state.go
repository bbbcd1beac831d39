package control

import (
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/viewer"
)

const (
	// minRetainedDeltas is the minimum number of deltas retained for clients that reconnect; the maximum is twice that,
	// unless maxRetainedChanges requires fewer.
	minRetainedDeltas = 1024
	// maxRetainedChanges limits the memory of the deltas; a rollout of 3,800 workspaces has 3,800 changes.
	maxRetainedChanges = 500_000
)

// state runs the applier and retains its deltas for clients.
type state struct {
	store applier.Store
	sm    *applier.Applier // used only by the committer's goroutine

	mu              sync.Mutex
	view            *viewer.View
	deltas          []viewer.Delta
	retainedChanges int // number of changes in deltas
	changed         chan struct{}
	claims          int64
	nowMillis       int64
	applyErr        error
	applyFailed     chan struct{}
	logEvent        func(msg string, keyvals ...any) // logs a change of the state
}

func newState(store applier.Store) *state {
	return &state{
		store: store, sm: applier.New(store), view: viewer.NewView(), changed: make(chan struct{}),
		applyFailed: make(chan struct{}), logEvent: func(string, ...any) {},
	}
}

// Apply applies a committed entry. After a store failure it applies no more entries, because the tables may be
// inconsistent, and Serve returns the error.
func (s *state) Apply(index uint64, entry []byte) any {
	if err := s.err(); err != nil {
		return err
	}
	r, err := s.sm.Apply(index, entry)
	if err != nil {
		s.recordFailure(err)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims, s.nowMillis = s.sm.ClaimCount(), s.sm.NowMillis()
	if r.Delta == nil {
		return r
	}
	s.logServiceChanges(r.Delta)
	s.view = s.sm.View()
	s.deltas = append(s.deltas, *r.Delta)
	s.retainedChanges += len(r.Delta.Changes)
	if len(s.deltas) >= 2*minRetainedDeltas {
		s.dropDeltas(len(s.deltas) - minRetainedDeltas)
	}
	for s.retainedChanges > maxRetainedChanges && len(s.deltas) > 1 {
		s.dropDeltas(1)
	}
	s.notifyChanged()
	return r
}

// logServiceChanges logs rollouts and changes of service state, which operators read beside the timelines of other
// processes.
func (s *state) logServiceChanges(d *viewer.Delta) {
	if d.BundleVersion != s.view.BundleVersion {
		s.logEvent("bundle in force", "version", d.BundleVersion, "index", d.To)
	}
	for _, c := range d.Changes {
		if f := c.FailureDomain; f != nil && s.view.FailureDomains[f.Name].OutOfService != f.OutOfService {
			s.logEvent("service state of failure domain changed", "failureDomain", f.Name, "out", f.OutOfService, "index", d.To)
		}
		if e := c.Endpoint; e != nil && s.view.Endpoints[e.Name].OutOfService != e.OutOfService {
			s.logEvent("service state of endpoint changed", "endpoint", e.Name, "out", e.OutOfService, "index", d.To)
		}
	}
}

func (s *state) dropDeltas(n int) {
	for i := range n {
		s.retainedChanges -= len(s.deltas[i].Changes)
	}
	s.deltas = slices.Clone(s.deltas[n:])
}

func (s *state) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applyErr == nil {
		s.applyErr = err
		close(s.applyFailed)
	}
}

func (s *state) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyErr
}

// Snapshot returns the state in bounded chunks.
func (s *state) Snapshot() iter.Seq2[[]byte, error] {
	chunks, err := s.sm.Snapshot()
	if err != nil {
		return func(yield func([]byte, error) bool) { yield(nil, err) }
	}
	return chunks
}

// Restore replaces the state with a snapshot and drops the deltas, so that clients get a snapshot of the view next.
func (s *state) Restore(chunks iter.Seq2[[]byte, error]) error {
	if err := s.sm.Restore(chunks); err != nil {
		return fmt.Errorf("state machine: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.deltas, s.retainedChanges = s.sm.View(), nil, 0
	s.claims, s.nowMillis = s.sm.ClaimCount(), s.sm.NowMillis()
	s.notifyChanged()
	return nil
}

// View returns the current view.
func (s *state) View() *viewer.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Changed returns a channel that is closed at the next change of the view.
func (s *state) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Delta returns the changes after index, or a snapshot of the view if they are no longer retained.
func (s *state) Delta(index uint64) (viewer.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index >= s.view.Index {
		return viewer.Delta{}, false
	}
	i, _ := slices.BinarySearchFunc(s.deltas, index+1, func(d viewer.Delta, to uint64) int {
		return compare(d.To, to)
	})
	if i == len(s.deltas) || s.deltas[i].From > index || index == 0 {
		return s.view.Snapshot(), true
	}
	d := s.deltas[i]
	if d.From == 0 {
		// From 0 marks a snapshot on the wire, and the first delta starts at 0 as well.
		return s.view.Snapshot(), true
	}
	// Merges several deltas for a client that is behind, because each message costs the receiver a copy of the tables
	// that it changes.
	changes := slices.Clone(d.Changes)
	for _, next := range s.deltas[i+1:] {
		if next.From == 0 || len(changes)+len(next.Changes) > maxMergedChanges {
			break
		}
		changes = append(changes, next.Changes...)
		d.To, d.BundleVersion = next.To, next.BundleVersion
	}
	d.Changes = changes
	return d, true
}

// maxMergedChanges limits the number of changes in a merged delta.
const maxMergedChanges = 4096

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// viewIndex returns the index of the last view change up to a log index. Entries such as claims advance the log but not
// the view, so a client is fresh if and only if its view has this index.
func (s *state) viewIndex(index uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index >= s.view.Index || len(s.deltas) == 0 {
		return s.view.Index
	}
	i, found := slices.BinarySearchFunc(s.deltas, index, func(d viewer.Delta, to uint64) int {
		return compare(d.To, to)
	})
	switch {
	case found:
		return index
	case i == 0:
		return s.deltas[0].From
	default:
		return s.deltas[i-1].To
	}
}

func (s *state) query() (*applier.Query, error) { return applier.NewQuery(s.store) }

func (s *state) gauges() (claims int64, index uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims, s.view.Index, time.UnixMilli(s.nowMillis)
}
