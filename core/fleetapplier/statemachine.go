package fleetapplier

import (
	"fmt"
	"iter"
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Command is the content of a log entry; exactly one of the first three fields is set.
type Command struct {
	Plan          *EncodedPlan `cbor:"1,keyasint,omitempty"`
	TakeOutDomain string       `cbor:"2,keyasint,omitempty"` // failure domain to take out of service
	RestoreDomain string       `cbor:"3,keyasint,omitempty"` // failure domain to return to service
	// After is the index of the last order about the failure domain that the sender has seen. If there is a newer one, the
	// command is a late copy that must not undo it. It is nil in entries of earlier releases.
	After *uint64 `cbor:"4,keyasint,omitempty"`
}

// OvertakenError reports a command about a failure domain that was committed after a newer order.
type OvertakenError struct{ Domain string }

// Error implements error.
func (e *OvertakenError) Error() string {
	return "another order about failure domain " + e.Domain + " was committed meanwhile"
}

// EncodedPlan is a plan in the encoding in which the operator sent it.
type EncodedPlan struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// State is the replicated state. A published State is immutable.
type State struct {
	Index    uint64          `cbor:"1,keyasint"` // of the last applied entry
	Plan     EncodedPlan     `cbor:"2,keyasint"` // version 0 before the first plan
	TakenOut map[string]bool `cbor:"3,keyasint"` // failure domains out of service
	// Orders holds the index of the last order about each failure domain, also of one that has changed nothing.
	Orders map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// StateMachine applies log entries to the state. Apply and Restore must be called by one goroutine, State by any.
type StateMachine struct {
	mu       sync.Mutex
	state    State
	onChange func(State)
}

// New returns a state machine with an empty state; onChange is called with each new state.
func New(onChange func(State)) *StateMachine {
	return &StateMachine{state: State{TakenOut: map[string]bool{}, Orders: map[string]uint64{}}, onChange: onChange}
}

// State returns the latest state.
func (m *StateMachine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// EncodeCommand returns the content of the log entry for a command.
func EncodeCommand(c Command) ([]byte, error) { return cbor.Marshal(c) }

// Apply applies one log entry and returns an error for one that can't be decoded or was overtaken, which leaves the
// state unchanged. The plan with the highest version is in force, regardless of the commit order.
func (m *StateMachine) Apply(index uint64, entry []byte) any {
	var c Command
	if err := cbor.Unmarshal(entry, &c); err != nil {
		return fmt.Errorf("decode log entry %d: %w", index, err)
	}
	s := m.State()
	s.Index = index
	switch {
	case c.Plan != nil:
		if c.Plan.Version <= s.Plan.Version {
			return nil
		}
		s.Plan = *c.Plan
	case c.TakeOutDomain != "":
		if isLate(&s, &c, c.TakeOutDomain) {
			return overtaken(c.TakeOutDomain, s.TakenOut[c.TakeOutDomain])
		}
		s.TakenOut = maps.Clone(s.TakenOut)
		s.TakenOut[c.TakeOutDomain] = true
		s.Orders = withOrder(s.Orders, c.TakeOutDomain, index)
	case c.RestoreDomain != "":
		if isLate(&s, &c, c.RestoreDomain) {
			return overtaken(c.RestoreDomain, !s.TakenOut[c.RestoreDomain])
		}
		s.TakenOut = maps.Clone(s.TakenOut)
		delete(s.TakenOut, c.RestoreDomain)
		s.Orders = withOrder(s.Orders, c.RestoreDomain, index)
	}
	m.publish(s)
	return nil
}

func isLate(s *State, c *Command, domain string) bool {
	return c.After != nil && *c.After != s.Orders[domain]
}

// overtaken returns the result of a late order: none if what it asks for is the case anyway.
func overtaken(domain string, isTheCase bool) any {
	if isTheCase {
		return nil
	}
	return &OvertakenError{Domain: domain}
}

func withOrder(orders map[string]uint64, domain string, index uint64) map[string]uint64 {
	orders = maps.Clone(orders)
	orders[domain] = index
	return orders
}

func (m *StateMachine) publish(s State) {
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	m.onChange(s)
}

// Snapshot returns the encoded state after the last applied entry.
func (m *StateMachine) Snapshot() iter.Seq2[[]byte, error] {
	s := m.State()
	return func(yield func([]byte, error) bool) { yield(cbor.Marshal(s)) }
}

// Restore replaces the state with a snapshot.
func (m *StateMachine) Restore(chunks iter.Seq2[[]byte, error]) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("restore state: %w", err)
		}
	}()
	for chunk, err := range chunks {
		if err != nil {
			return err
		}
		var s State
		if err := cbor.Unmarshal(chunk, &s); err != nil {
			return err
		}
		if s.TakenOut == nil {
			s.TakenOut = map[string]bool{}
		}
		if s.Orders == nil {
			s.Orders = map[string]uint64{}
		}
		m.publish(s)
	}
	return nil
}
