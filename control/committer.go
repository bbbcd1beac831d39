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

// StateMachine is what a committer drives; all calls come from one goroutine.
type StateMachine interface {
	Apply(index uint64, entry []byte) (result any)
	Snapshot() (chunks iter.Seq2[[]byte, error])
	Restore(chunks iter.Seq2[[]byte, error]) error
}

// Member is one instance of the control group.
type Member struct {
	Name    string `json:"name"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address,omitempty"`
	Learner bool   `json:"learner,omitempty"`
}

// Status is the state of the replica of this instance.
type Status struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	IsLeader bool   `json:"isLeader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Snapshot uint64 `json:"snapshot"`
	// Failure says why the replica has stopped.
	Failure string   `json:"failure,omitempty"`
	Members []Member `json:"members"`
	// Announced are instances that are not members, for example with an emptied disk.
	Announced []Member `json:"announced,omitempty"`
}

// Committer replicates entries; its errors of Propose mean that there was no quorum in time, so that the entry may
// or may not commit.
type Committer interface {
	Serve(ctx context.Context) error
	// Propose returns the result of StateMachine.Apply at this instance.
	Propose(ctx context.Context, entry []byte) (result any, err error)
	// Confirmed returns the last read index round that is applied here.
	Confirmed() (index uint64, at time.Time, ok bool)
	Status() Status
	AddLearner(ctx context.Context, name string) error
	Promote(ctx context.Context, name string) error
	Remove(ctx context.Context, name string) error
	// Broadcast sends soft state to the other instances without a quorum; it may be lost.
	Broadcast(soft []byte)
	OnSoft(receive func(from string, soft []byte))
	// Handler serves the other instances at Path.
	Handler() http.Handler
	Path() string
}

// Solo is a committer of one instance without a disk, for a fleet in one process and for tests.
type StandaloneCommitter struct {
	name string
	sm   StateMachine
	term uint64

	mu    sync.Mutex
	index uint64
}

// NewSolo returns a committer that commits at once.
func NewStandaloneCommitter(name string, sm StateMachine) *StandaloneCommitter {
	// The term rises with each start, as that of a real group does.
	return &StandaloneCommitter{name: name, sm: sm, term: uint64(time.Now().UnixMilli())}
}

// Serve waits for the end.
func (s *StandaloneCommitter) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Propose applies the entry.
func (s *StandaloneCommitter) Propose(ctx context.Context, entry []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.sm.Apply(s.index, entry), nil
}

// Confirmed returns the last index.
func (s *StandaloneCommitter) Confirmed() (uint64, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, time.Now(), true
}

// Status names the instance as leader.
func (s *StandaloneCommitter) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Name: s.name, Role: roleLeader, Leader: s.name, IsLeader: true, Term: s.term, Commit: s.index, Applied: s.index,
		Members: []Member{{Name: s.name}},
	}
}

var errStandalone = errors.New("a single instance has no other members")

// AddLearner is not possible.
func (s *StandaloneCommitter) AddLearner(context.Context, string) error { return errStandalone }

// Promote is not possible.
func (s *StandaloneCommitter) Promote(context.Context, string) error { return errStandalone }

// Remove is not possible.
func (s *StandaloneCommitter) Remove(context.Context, string) error { return errStandalone }

// Broadcast reaches nobody.
func (s *StandaloneCommitter) Broadcast([]byte) {}

// OnSoft is never called back.
func (s *StandaloneCommitter) OnSoft(func(string, []byte)) {}

// Handler serves nobody.
func (s *StandaloneCommitter) Handler() http.Handler { return http.NotFoundHandler() }

// Path is empty, which means that nothing is mounted.
func (s *StandaloneCommitter) Path() string { return "" }
