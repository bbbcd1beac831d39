package forwarder

import "fmt"

// Ran tells what is known of a request that got no complete answer.
type Outcome uint8

// What is known of a request.
const (
	NotSent  Outcome = iota // no byte of it was written
	Unknown                 // the endpoint may have run it
	Rejected                // the endpoint says that it did not run it
)

// String returns the text for logs.
func (r Outcome) String() string { return [...]string{"notSent", "unknown", "rejected"}[r] }

// Error is a request without an answer.
type Error struct {
	Outcome Outcome
	Cause   error
}

// Error names what is known and the cause.
func (e *Error) Error() string { return fmt.Sprintf("request %s: %v", e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
