package forwarder

import "fmt"

// Outcome is what is known about the execution of a request that failed.
type Outcome uint8

// The outcomes of a failed request.
const (
	NotSent  Outcome = iota // no byte was written
	Unknown                 // the endpoint may have executed it
	Rejected                // the endpoint reports that it did not execute it
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string { return [...]string{"notSent", "unknown", "rejected"}[o] }

// Error is the failure of a request before the header of its response arrived.
type Error struct {
	Outcome Outcome
	Cause   error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string { return fmt.Sprintf("request %s: %v", e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
