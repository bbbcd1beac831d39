package archivist

import (
	"fmt"
	"iter"
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Plan    *Document `cbor:"1,keyasint,omitempty"`
	TakeOut string    `cbor:"2,keyasint,omitempty"` // failure domain that gets no requests from now on
	Restore string    `cbor:"3,keyasint,omitempty"` // failure domain that gets requests again
}

// Document is a plan as the operator sent it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// State is what the log has established; it isn't changed once it is published.
type State struct {
	Index    uint64          `cbor:"1,keyasint"` // of the last entry
	Plan     Document        `cbor:"2,keyasint"` // version 0 until there is one
	TakenOut map[string]bool `cbor:"3,keyasint"`
}

// Archivist applies the log; Apply and Restore are called by one goroutine, State by any.
type Archivist struct {
	mu      sync.Mutex
	state   State
	changed func(State)
}

// New returns an empty state; changed is called with each new one.
func New(changed func(State)) *Archivist {
	return &Archivist{state: State{TakenOut: map[string]bool{}}, changed: changed}
}

// State returns the latest state.
func (a *Archivist) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Encode returns the log entry of a command.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// Apply applies one entry. Of two plans the one with the higher version is in force, whichever was committed first;
// an entry that can't be read changes nothing.
func (a *Archivist) Apply(index uint64, entry []byte) any {
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
	case c.TakeOut != "":
		s.TakenOut = maps.Clone(s.TakenOut)
		s.TakenOut[c.TakeOut] = true
	case c.Restore != "":
		s.TakenOut = maps.Clone(s.TakenOut)
		delete(s.TakenOut, c.Restore)
	}
	a.publish(s)
	return nil
}

func (a *Archivist) publish(s State) {
	a.mu.Lock()
	a.state = s
	a.mu.Unlock()
	a.changed(s)
}

// Snapshot returns the state after the last applied entry.
func (a *Archivist) Snapshot() iter.Seq2[[]byte, error] {
	s := a.State()
	return func(yield func([]byte, error) bool) { yield(cbor.Marshal(s)) }
}

// Restore replaces the state by a snapshot.
func (a *Archivist) Restore(chunks iter.Seq2[[]byte, error]) (err error) {
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
