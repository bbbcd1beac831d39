package rollouter

import (
	"fmt"
	"slices"
	"time"
)

// Phase is the progress of a rollout; it never decreases.
type Phase uint8

// The phases of a rollout.
const (
	Trying     Phase = iota + 1 // the target gets a bounded share of the requests
	Moving                      // the target is sound and gets all new requests
	Completed                   // the former versions have no requests any more
	RolledBack                  // the target gets no requests
)

// String returns the phase in camel case.
func (p Phase) String() string {
	names := [...]string{"unknown", "trying", "moving", "completed", "rolledBack"}
	if int(p) >= len(names) {
		return names[0]
	}
	return names[p]
}

// HasEnded reports whether the phase is final.
func (p Phase) HasEnded() bool { return p == Completed || p == RolledBack }

const (
	// resendWindow is how long after its deadline a rollout's order counts as sent again. Orders are resent for some
	// seconds, and the clocks of control instances may differ by as much.
	resendWindow = 10 * time.Second

	// MaxDuration bounds the time until the deadline.
	MaxDuration = 24 * time.Hour

	// maxNameBytes bounds the names in an order, as those of endpoints.
	maxNameBytes = 200

	// maxRollouts bounds the services whose last rollout is kept; the oldest one that has ended is forgotten.
	maxRollouts = 1000
)

// Rollout is the order to move the requests of a service to one software version of its endpoints, and its progress.
type Rollout struct {
	Service    string `cbor:"1,keyasint"`
	Target     string `cbor:"2,keyasint"` // software version
	OrderedAt  int64  `cbor:"3,keyasint"` // Unix milliseconds, by the clock of the instance that took the order
	DeadlineAt int64  `cbor:"4,keyasint"` // by the same clock
	Phase      Phase  `cbor:"5,keyasint"`
	Reason     string `cbor:"6,keyasint,omitempty"` // of the last change of phase
	// Former are the versions that the target replaces; none before Moving.
	Former []string `cbor:"7,keyasint,omitempty"`
	Index  uint64   `cbor:"8,keyasint"` // of the log entry with the last change
	// Delays are the milliseconds by which routes move later than the change to Moving; the others move at once.
	// They count from MovedAt, in Unix milliseconds by the clock of the instance that decided.
	Delays  map[string]int64 `cbor:"9,keyasint,omitempty"`
	MovedAt int64            `cbor:"10,keyasint,omitempty"`
}

// Change is the content of a log entry about a rollout: a new one in phase Trying, or its next phase. The fields of a
// Rollout identify it; Index is not used.
type Change struct {
	Rollout Rollout `cbor:"1,keyasint"`
}

// ConflictError reports an order for a service while another rollout of it is running.
type ConflictError struct{ Running Rollout }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a rollout of service %s to version %s is in progress", e.Running.Service, e.Running.Target)
}

// maxDelay returns the time after which all routes move.
func (r *Rollout) maxDelay() (longest time.Duration) {
	for _, ms := range r.Delays {
		longest = max(longest, time.Duration(ms)*time.Millisecond)
	}
	return longest
}

// duration returns the time from the order to the deadline.
func (r *Rollout) duration() time.Duration {
	return time.Duration(r.DeadlineAt-r.OrderedAt) * time.Millisecond
}

// Find returns the last rollout of a service.
func Find(list []Rollout, service string) (r Rollout, ok bool) {
	i := indexOf(list, service)
	if i < 0 {
		return r, false
	}
	return list[i], true
}

// Last returns the last rollout of a service, or an *UnknownError.
func Last(list []Rollout, service string) (Rollout, error) {
	r, ok := Find(list, service)
	if !ok {
		return r, &UnknownError{Service: service}
	}
	return r, nil
}

func indexOf(list []Rollout, service string) int {
	return slices.IndexFunc(list, func(r Rollout) bool { return r.Service == service })
}

// Apply returns the list after a change that was committed at an index of the log. Elements of the list are not
// changed. It returns a *ConflictError for an order that conflicts with a running rollout. A change of phase has no
// effect unless it is about the last rollout of its service and the phase is later.
func Apply(list []Rollout, c Change, index uint64) ([]Rollout, error) {
	next := c.Rollout
	next.Index = index
	i := indexOf(list, next.Service)
	if next.Phase > Trying {
		if i < 0 || !list[i].isSame(&next) || list[i].Phase.HasEnded() || list[i].Phase >= next.Phase {
			return list, nil
		}
		list = slices.Clone(list)
		list[i] = next
		return list, nil
	}
	if i >= 0 {
		switch known := &list[i]; {
		case known.isRepeatedBy(&next):
			return list, nil
		case !known.Phase.HasEnded():
			return list, &ConflictError{Running: *known}
		}
		list = slices.Concat(list[:i], list[i+1:])
	}
	if len(list) >= maxRollouts {
		if i := slices.IndexFunc(list, func(r Rollout) bool { return r.Phase.HasEnded() }); i >= 0 {
			list = slices.Concat(list[:i], list[i+1:])
		}
	}
	return append(slices.Clip(list), next), nil
}

// isSame reports whether both are the same rollout.
func (r *Rollout) isSame(other *Rollout) bool {
	return r.Target == other.Target && r.OrderedAt == other.OrderedAt && r.DeadlineAt == other.DeadlineAt
}

// isRepeatedBy reports whether an order asks for what this one has already asked for: its sender may not have got the
// acknowledgement, and resends it to another instance. A target that is reached need not be ordered again.
func (r *Rollout) isRepeatedBy(order *Rollout) bool {
	if r.Target != order.Target {
		return false
	}
	isSameOrder := r.DeadlineAt-r.OrderedAt == order.DeadlineAt-order.OrderedAt
	if r.Phase.HasEnded() {
		return r.Phase == Completed || isSameOrder && order.OrderedAt-r.DeadlineAt < resendWindow.Milliseconds()
	}
	return isSameOrder
}

// UnknownError reports a service that has had no rollout.
type UnknownError struct{ Service string }

// Error implements error.
func (e *UnknownError) Error() string { return "no rollout of service " + e.Service + " is known" }

// InvalidError reports an order that can't be a rollout.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid rollout: " + e.Reason }

// New returns the rollout that an order asks for, or an *InvalidError. The target may be a version that no endpoint has
// yet, or one that all have: the endpoints may start after the order.
func New(now time.Time, service, target string, duration time.Duration) (Rollout, error) {
	switch {
	case service == "" || len(service) > maxNameBytes:
		return Rollout{}, &InvalidError{Reason: fmt.Sprintf("service of %d bytes, not 1 to %d", len(service), maxNameBytes)}
	case target == "" || len(target) > maxNameBytes:
		return Rollout{}, &InvalidError{Reason: fmt.Sprintf("target of %d bytes, not 1 to %d", len(target), maxNameBytes)}
	case duration <= 0 || duration > MaxDuration:
		return Rollout{}, &InvalidError{Reason: fmt.Sprintf("duration %s, not above 0 and at most %s", duration, MaxDuration)}
	}
	return Rollout{Service: service, Target: target, OrderedAt: now.UnixMilli(),
		DeadlineAt: now.Add(duration).UnixMilli(), Phase: Trying}, nil
}

// Seconds returns the duration of an order in seconds; one that is no number, or too long, becomes invalid.
func Seconds(s float64) time.Duration {
	if !(s > 0 && s <= MaxDuration.Seconds()) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Limits bound what a software version gets before it is judged.
type Limits struct {
	ExposeShare float64 `json:"exposeShare"` // part of the requests to its service; 0 in deployments without rollouts
	ExposeSlack float64 `json:"exposeSlack"` // requests in addition
}

// IsValid reports whether the limits can be kept.
func (l *Limits) IsValid() bool {
	return l.ExposeShare >= 0 && l.ExposeShare <= 1 && l.ExposeSlack >= 0
}
