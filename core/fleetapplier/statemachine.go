package fleetapplier

import (
	"fmt"
	"iter"
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Plan          *EncodedPlan `cbor:"1,keyasint,omitempty"`
	TakeOutDomain string       `cbor:"2,keyasint,omitempty"` // failure domain that gets no requests from now on
	RestoreDomain string       `cbor:"3,keyasint,omitempty"` // failure domain that gets requests again
}

// EncodedPlan is a plan as the operator sent it.
type EncodedPlan struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// State is what the log has established; it isn't changed once it is published.
type State struct {
	Index    uint64          `cbor:"1,keyasint"` // of the last entry
	Plan     EncodedPlan     `cbor:"2,keyasint"` // version 0 until there is one
	TakenOut map[string]bool `cbor:"3,keyasint"`
}

// StateMachine applies the log; Apply and Restore are called by one goroutine, State by any.
type StateMachine struct {
	mu      sync.Mutex
	state   State
	changed func(State)
}

// New returns an empty state; changed is called with each new one.
func New(changed func(State)) *StateMachine {
	return &StateMachine{state: State{TakenOut: map[string]bool{}}, changed: changed}
}

// State returns the latest state.
func (a *StateMachine) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(c Command) ([]byte, error) { return cbor.Marshal(c) }

// Apply applies one entry. Of two plans the one with the higher version is in force, whichever was committed first;
// an entry that can't be read changes nothing.
func (a *StateMachine) Apply(index uint64, entry []byte) any {
	var c Command
	if err := cbor.Unmarshal(entry, &c); err != nil {
		return fmt.Errorf("apply entry %d: %w", index, err)
	}
	s := a.State()
	s.Index = index
	switch {
	case c.Plan != nil:
		if c.Plan.Version <= s.Plan.Version {
			return nil
		}
		s.Plan = *c.Plan
	case c.TakeOutDomain != "":
		s.TakenOut = maps.Clone(s.TakenOut)
		s.TakenOut[c.TakeOutDomain] = true
	case c.RestoreDomain != "":
		s.TakenOut = maps.Clone(s.TakenOut)
		delete(s.TakenOut, c.RestoreDomain)
	}
	a.publish(s)
	return nil
}

func (a *StateMachine) publish(s State) {
	a.mu.Lock()
	a.state = s
	a.mu.Unlock()
	a.changed(s)
}

// Snapshot returns the state after the last applied entry.
func (a *StateMachine) Snapshot() iter.Seq2[[]byte, error] {
	s := a.State()
	return func(yield func([]byte, error) bool) { yield(cbor.Marshal(s)) }
}

// Restore replaces the state by a snapshot.
func (a *StateMachine) Restore(chunks iter.Seq2[[]byte, error]) (err error) {
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
		a.publish(s)
	}
	return nil
}
