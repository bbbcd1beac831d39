package applier

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/viewer"
)

// CommandVersion is the newest command format that this package applies. Newer commands are refused, so the fleet
// must use a new version only after all instances run a program that supports it.
const CommandVersion = 1

// Command is one entry of the log; exactly one pointer is set.
type Command struct {
	Version int `cbor:"1,keyasint"`
	// Time is the proposer's wall-clock time in Unix milliseconds.
	Time int64 `cbor:"2,keyasint"`
	// Actor is the name of the operator key that issued an administration command.
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

// Encode returns the log entry of a command; it sets Version to CommandVersion if it is 0.
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

// Tick advances the state clock, expires claims, verdicts and permanently lost endpoints, and ends flap damping.
type Tick struct{}

// RecordAuditEvent audits a change made outside the state machine, such as a membership change of the control group.
type RecordAuditEvent struct {
	Action string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// Code classifies a refusal.
type Code string

// Refusal codes.
const (
	CodeInvalid          Code = "invalid"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not-found"
	CodeConflict         Code = "conflict"
	CodeStaleIncarnation Code = "stale-incarnation"
)

// RefusalError is the reason why a command was refused; a refused command changes nothing.
type RefusalError struct {
	Code    Code
	Message string
}

// Error returns the reason.
func (e *RefusalError) Error() string { return e.Message }

func refuse(code Code, format string, args ...any) error {
	return &RefusalError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Result is the result of a command, identical at all instances.
type Result struct {
	Err         *RefusalError
	Index       uint64
	Delta       *viewer.Delta // nil if nothing changed for routers and agents
	Bundle      *BundleRecord
	Incarnation uint64
	Claim       *ClaimRecord
	Granted     bool // this command was granted the claim
	Conflict    bool // the operation is claimed with a different request digest
}
