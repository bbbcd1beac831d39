package fleetapplier

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

// Command is the content of a log entry; exactly one of the fields but After is set.
type Command struct {
	Plan          *EncodedPlan `cbor:"1,keyasint,omitempty"`
	TakeOutDomain string       `cbor:"2,keyasint,omitempty"` // failure domain to take out of service
	RestoreDomain string       `cbor:"3,keyasint,omitempty"` // failure domain to return to service
	// After is the index of the last entry that the sender has seen. If there is a newer order about the failure domain,
	// the command is a late copy that must not undo it. It is nil in entries of earlier releases. It is not the index of
	// the last order about the failure domain, because snapshots of earlier releases lack that.
	After *uint64 `cbor:"4,keyasint,omitempty"`
	// Departures are starts of endpoints that accept no new requests any more.
	Departures []registrar.Departure `cbor:"10,keyasint,omitempty"`
	// Lift ends the conviction of a prompt part.
	Lift *attributor.Lift `cbor:"11,keyasint,omitempty"`
	// Rollout begins a rollout or changes its phase.
	Rollout *rollouter.Change `cbor:"12,keyasint,omitempty"`
}

// maxLifts bounds the orders to lift convictions that are kept, the newest ones.
const maxLifts = 256

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
	// Departures has one departure of each endpoint, the oldest ones first, at most registrar.MaxDepartures.
	Departures []registrar.Departure `cbor:"10,keyasint,omitempty"`
	// Lifts has the last order to lift the conviction of each prompt part, the oldest ones first, at most maxLifts.
	Lifts []attributor.Lift `cbor:"11,keyasint,omitempty"`
	// Rollouts has the last rollout of each service.
	Rollouts []rollouter.Rollout `cbor:"12,keyasint,omitempty"`
}

// After returns what a command about a failure domain refers to if its sender has seen this state.
func (s *State) After(domain string) uint64 { return max(s.Index, s.Orders[domain]) }

// StateMachine applies log entries to the state. Apply and Restore must be called by one goroutine, State by any.
type StateMachine struct {
	// OnDepartures is called with departures before the call of Apply, Restore or Preview returns. They may not be
	// committed yet. It must be set before these methods are called; it may be nil.
	OnDepartures func([]registrar.Departure)

	// OnLifts is called with orders to lift convictions before the call of Apply or Restore returns. It must be set before
	// these methods are called; it may be nil.
	OnLifts func([]attributor.Lift)

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

// Apply applies one log entry and returns an error for one that can't be decoded, was overtaken or conflicts with a
// running rollout, which leaves the state unchanged. The plan with the highest version is in force, regardless of the
// commit order.
func (m *StateMachine) Apply(index uint64, entry []byte) any {
	var c Command
	if err := cbor.Unmarshal(entry, &c); err != nil {
		return fmt.Errorf("decode log entry %d: %w", index, err)
	}
	s := m.State()
	s.Index = index
	switch {
	case len(c.Departures) > 0:
		// Endpoints are sent as records, so that this change is not published.
		s.Departures = addDepartures(s.Departures, c.Departures)
		m.set(s)
		m.reportDepartures(c.Departures)
		return nil
	case c.Lift != nil:
		s.Lifts = addLift(s.Lifts, *c.Lift)
		m.set(s)
		m.reportLifts([]attributor.Lift{*c.Lift})
		return nil
	case c.Rollout != nil:
		rollouts, err := rollouter.Apply(s.Rollouts, *c.Rollout, index)
		if err != nil {
			return err
		}
		s.Rollouts = rollouts
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
	return c.After != nil && *c.After < s.Orders[domain]
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

func (m *StateMachine) set(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
}

func (m *StateMachine) publish(s State) {
	m.set(s)
	m.onChange(s)
}

func (m *StateMachine) reportDepartures(list []registrar.Departure) {
	if m.OnDepartures != nil && len(list) > 0 {
		m.OnDepartures(list)
	}
}

func (m *StateMachine) reportLifts(list []attributor.Lift) {
	if m.OnLifts != nil && len(list) > 0 {
		m.OnLifts(list)
	}
}

// addLift returns the list with an order in place of an earlier one about the part. Elements of the list are not
// changed.
func addLift(list []attributor.Lift, l attributor.Lift) []attributor.Lift {
	if i := slices.IndexFunc(list, func(known attributor.Lift) bool { return known.Part == l.Part }); i >= 0 {
		list = slices.Concat(list[:i], list[i+1:])
	}
	list = append(slices.Clip(list), l)
	return list[max(0, len(list)-maxLifts):]
}

// addDepartures returns the list with those added that say more. Elements of the list are not changed.
func addDepartures(list, added []registrar.Departure) []registrar.Departure {
	for _, d := range added {
		i := indexOfDeparture(list, d.ID)
		switch {
		case i >= 0 && !d.Supersedes(&list[i]):
			continue
		case i >= 0:
			list = slices.Concat(list[:i], list[i+1:])
		}
		list = append(list, d)
	}
	return list[max(0, len(list)-registrar.MaxDepartures):]
}

func indexOfDeparture(list []registrar.Departure, id string) int {
	return slices.IndexFunc(list, func(d registrar.Departure) bool { return d.ID == id })
}

// HasDeparted reports whether the state includes a departure, or one that says more.
func (m *StateMachine) HasDeparted(d registrar.Departure) bool {
	list := m.State().Departures
	i := indexOfDeparture(list, d.ID)
	return i >= 0 && !d.Supersedes(&list[i])
}

// Preview reports the departures in a log entry that may not be committed. No endpoint takes back its departure.
func (m *StateMachine) Preview(entry []byte) {
	var c struct {
		Departures []registrar.Departure `cbor:"10,keyasint"`
	}
	if err := cbor.Unmarshal(entry, &c); err != nil {
		return // Apply reports it
	}
	m.reportDepartures(c.Departures)
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
		m.reportDepartures(s.Departures)
		m.reportLifts(s.Lifts)
		m.publish(s)
	}
	return nil
}
