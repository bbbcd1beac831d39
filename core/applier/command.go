package applier

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/viewer"
)

// CommandVersion is the newest command format that this package applies. A newer one is refused by every
// instance alike, so the fleet raises it only after all instances run the new program.
const CommandVersion = 1

// Command is one entry of the log; exactly one pointer is set.
type Command struct {
	Version int `cbor:"1,keyasint"`
	// Time is the proposer's wall clock in Unix milliseconds.
	Time int64 `cbor:"2,keyasint"`
	// Actor is the name of the operator key behind an administration command.
	Actor string `cbor:"3,keyasint,omitempty"`

	Bootstrap        *Bootstrap        `cbor:"10,keyasint,omitempty"`
	PutBundle        *PutBundle        `cbor:"11,keyasint,omitempty"`
	SignBundle       *SignBundle       `cbor:"12,keyasint,omitempty"`
	RollOutBundle    *RollOutBundle    `cbor:"13,keyasint,omitempty"`
	RestoreBundle    *RestoreBundle    `cbor:"14,keyasint,omitempty"`
	PutKey           *PutKey           `cbor:"15,keyasint,omitempty"`
	RevokeKey        *RevokeKey        `cbor:"16,keyasint,omitempty"`
	SetServiceState  *SetServiceState  `cbor:"17,keyasint,omitempty"`
	Announce         *Announce         `cbor:"18,keyasint,omitempty"`
	MarkLost         *MarkLost         `cbor:"19,keyasint,omitempty"`
	Leave            *Leave            `cbor:"20,keyasint,omitempty"`
	Claim            *Claim            `cbor:"21,keyasint,omitempty"`
	RecordOutcome    *RecordOutcome    `cbor:"22,keyasint,omitempty"`
	ResolveOperation *ResolveOperation `cbor:"23,keyasint,omitempty"`
	ReportCrash      *ReportCrash      `cbor:"24,keyasint,omitempty"`
	RemoveVerdict    *RemoveVerdict    `cbor:"25,keyasint,omitempty"`
	Tick             *Tick             `cbor:"26,keyasint,omitempty"`
	RecordAuditEvent *RecordAuditEvent `cbor:"27,keyasint,omitempty"`
}

// Encode returns the log entry of a command.
func (c *Command) Encode() ([]byte, error) {
	if c.Version == 0 {
		c.Version = CommandVersion
	}
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}

// Tick advances the clock of the state, expires claims and verdicts, and ends flap damping.
type Tick struct{}

// Note records a change that happened outside the state machine, such as of the control group's members.
type RecordAuditEvent struct {
	Action string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// Code classifies a refusal.
type Code string

// Codes of refusals.
const (
	CodeInvalid          Code = "invalid"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not-found"
	CodeConflict         Code = "conflict"
	CodeStaleIncarnation Code = "stale-incarnation"
)

// RefusalError says why a command changed nothing.
type RefusalError struct {
	Code    Code
	Message string
}

// Error gives the reason.
func (e *RefusalError) Error() string { return e.Message }

func refuse(code Code, format string, args ...any) error {
	return &RefusalError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Result is what a command led to at every instance alike.
type Result struct {
	Err         *RefusalError
	Index       uint64
	Delta       *viewer.Delta // nil if routers and agents need nothing
	Bundle      *BundleRecord
	Incarnation uint64
	Claim       *ClaimRecord
	Granted     bool // the claim was granted by this command
	Conflict    bool // the operation is claimed with another body
}
