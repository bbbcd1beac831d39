package control

import (
	"context"
	"errors"
	"iter"
	"net/http"
	"sync"
	"time"
)

const roleLeader = "leader"

// StateMachine applies the committed entries; all calls come from one goroutine.
type StateMachine interface {
	Apply(index uint64, entry []byte) (result any)
	Snapshot() (chunks iter.Seq2[[]byte, error])
	Restore(chunks iter.Seq2[[]byte, error]) error
}

// Member is one member of the control group.
type Member struct {
	Name    string `json:"name"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address,omitempty"`
	Learner bool   `json:"learner,omitempty"`
}

// Status is the state of this replica and its view of the group.
type Status struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	IsLeader bool   `json:"isLeader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Snapshot uint64 `json:"snapshot"`
	// Failure is the reason why the replica has stopped.
	Failure string   `json:"failure,omitempty"`
	Members []Member `json:"members"`
	// Announced are the instances that announced themselves and are not members, for example after a disk loss.
	Announced []Member `json:"announced,omitempty"`
}

// Committer replicates log entries and applies them to a StateMachine.
type Committer interface {
	Serve(ctx context.Context) error
	// Propose commits an entry and returns the result of StateMachine.Apply at this instance. After an error the entry
	// may still commit.
	Propose(ctx context.Context, entry []byte) (result any, err error)
	// Confirmed returns the newest confirmed read index that is applied here, and the time of its request.
	Confirmed() (index uint64, at time.Time, ok bool)
	Status() Status
	AddLearner(ctx context.Context, name string) error
	Promote(ctx context.Context, name string) error
	Remove(ctx context.Context, name string) error
	// Broadcast sends soft state to the other instances, best effort.
	Broadcast(soft []byte)
	// OnSoftState sets the handler of soft state from other instances.
	OnSoftState(receive func(from string, soft []byte))
	// Handler accepts connections from the other instances; it must be mounted at Path.
	Handler() http.Handler
	// Path returns the URL path of Handler, or an empty string if it is not to be mounted.
	Path() string
}

// StandaloneCommitter is the committer of a single instance without a disk, for a fleet in one process and for tests.
type StandaloneCommitter struct {
	name string
	sm   StateMachine
	term uint64

	mu    sync.Mutex
	index uint64
}

// NewStandaloneCommitter returns a committer that applies each entry immediately.
func NewStandaloneCommitter(name string, sm StateMachine) *StandaloneCommitter {
	// The term must increase with each start, as in a replicated group.
	return &StandaloneCommitter{name: name, sm: sm, term: uint64(time.Now().UnixMilli())}
}

// Serve blocks until ctx ends.
func (s *StandaloneCommitter) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Propose applies an entry and returns its result.
func (s *StandaloneCommitter) Propose(ctx context.Context, entry []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.sm.Apply(s.index, entry), nil
}

// Confirmed returns the index of the last entry and the current time.
func (s *StandaloneCommitter) Confirmed() (uint64, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, time.Now(), true
}

// Status reports this instance as the leader and the only member.
func (s *StandaloneCommitter) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Name: s.name, Role: roleLeader, Leader: s.name, IsLeader: true, Term: s.term, Commit: s.index, Applied: s.index,
		Members: []Member{{Name: s.name}},
	}
}

var errStandalone = errors.New("membership changes need a replicated group; this instance is standalone")

// AddLearner returns an error.
func (s *StandaloneCommitter) AddLearner(context.Context, string) error { return errStandalone }

// Promote returns an error.
func (s *StandaloneCommitter) Promote(context.Context, string) error { return errStandalone }

// Remove returns an error.
func (s *StandaloneCommitter) Remove(context.Context, string) error { return errStandalone }

// Broadcast does nothing.
func (s *StandaloneCommitter) Broadcast([]byte) {}

// OnSoftState does nothing, because there is no other instance.
func (s *StandaloneCommitter) OnSoftState(func(string, []byte)) {}

// Handler returns a handler that is not mounted.
func (s *StandaloneCommitter) Handler() http.Handler { return http.NotFoundHandler() }

// Path returns an empty string.
func (s *StandaloneCommitter) Path() string { return "" }
