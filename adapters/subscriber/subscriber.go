package subscriber

import (
	"fmt"
	"time"

	"cactusroute.dev/core/viewer"
)

// Path is the URL path at which a control instance accepts routers and agents.
const Path = "/subscribe/v1"

const (
	probeInterval = 500 * time.Millisecond
	// leaseTime is the time for which a view stays fresh after a quorum confirmed it.
	leaseTime = 2 * time.Second
	// answerLimit is how long a client waits for a probe's answer before it connects elsewhere.
	answerLimit = 1200 * time.Millisecond
)

// Role says what a client is.
type Role string

// Roles of clients.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Identity names a client.
type Identity struct {
	Name          string `cbor:"1,keyasint"`
	Role          Role   `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// Address is the host:port at which routers reach an agent, and the time line reaches any process.
	Address string `cbor:"5,keyasint"`
	// Pool is the pool of an agent's endpoint.
	Pool string `cbor:"6,keyasint,omitempty"`
	// Session names one run of the process; the client sets it, so that an announcement sent again is recognised.
	Session string `cbor:"7,keyasint,omitempty"`
}

// Load is an agent's report about its endpoint.
type Load struct {
	InFlight int  `cbor:"1,keyasint"`
	Limit    int  `cbor:"2,keyasint"`
	Cold     bool `cbor:"3,keyasint,omitempty"`
}

// PoolLoad is the load of a pool as control instances relay it.
type PoolLoad struct {
	Pool    string  `cbor:"1,keyasint"`
	Mean    float64 `cbor:"2,keyasint"`
	Members int     `cbor:"3,keyasint"`
}

// ClaimState is the state of an operation that may not be repeated.
type ClaimState string

// States of a claim.
const (
	ClaimGranted  ClaimState = "granted"
	ClaimRunning  ClaimState = "running"
	ClaimDone     ClaimState = "done"
	ClaimConflict ClaimState = "conflict"
	ClaimUnknown  ClaimState = "unknown"
	// ClaimReleased answers a claim without an endpoint: no generation has run or may still run.
	ClaimReleased ClaimState = "released"
)

// Claim asks for the right to run an operation at an endpoint. With an empty endpoint it only reads the claim, after
// it has released the generation in NotRun.
type Claim struct {
	Operation   string `cbor:"1,keyasint"`
	Digest      string `cbor:"2,keyasint"`
	Endpoint    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// NotRun is the generation that the caller saw refused as not run; 0 if none.
	NotRun    uint64 `cbor:"5,keyasint,omitempty"`
	Workspace string `cbor:"6,keyasint,omitempty"`
}

// RecordedAnswer is the answer of an operation as the control group keeps it.
type RecordedAnswer struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// ClaimReply is the committed state of an operation after a claim.
type ClaimReply struct {
	State       ClaimState      `cbor:"1,keyasint"`
	Endpoint    string          `cbor:"2,keyasint,omitempty"`
	Incarnation uint64          `cbor:"3,keyasint,omitempty"`
	Generation  uint64          `cbor:"4,keyasint,omitempty"`
	Answer      *RecordedAnswer `cbor:"5,keyasint,omitempty"`
}

// Settlement commits how a run of an operation ended.
type OperationOutcome struct {
	Operation  string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// Answer is nil if the outcome is unknown.
	Answer *RecordedAnswer `cbor:"3,keyasint,omitempty"`
	// NotRun is set when the agent will never run this generation.
	NotRun bool `cbor:"4,keyasint,omitempty"`
}

// CrashReport names the requests in flight when an engine crashed, or one that completed.
type CrashReport struct {
	Endpoint string `cbor:"1,keyasint"`
	// Report identifies the report, so that one sent again counts once; the client sets it if it is empty.
	ReportID string `cbor:"4,keyasint,omitempty"`
	// Suspects are the fingerprints that were in flight.
	Suspects []string `cbor:"2,keyasint,omitempty"`
	// Cleared are suspects that have since completed.
	Cleared []string `cbor:"3,keyasint,omitempty"`
}

// CallError is a refusal by control.
type CallError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error gives control's description.
func (e *CallError) Error() string { return fmt.Sprintf("control: %s: %s", e.Code, e.Message) }

// Codes of a CallError.
const (
	CodeNoQuorum = "no-quorum"
	CodeInvalid  = "invalid"
	CodeInternal = "internal"
	// CodeStale means that the endpoint of a claim has another incarnation.
	CodeStaleIncarnation = "stale-incarnation"
	CodeConflict         = "conflict"
	CodeNotFound         = "not-found"
)

// Process is what a client has in force.
type Process struct {
	Identity      Identity `cbor:"1,keyasint"`
	Index         uint64   `cbor:"2,keyasint"`
	BundleVersion uint64   `cbor:"3,keyasint"`
	// Incarnation is what an agent was told; 0 for routers.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// Kinds of messages.
const (
	kindHello uint8 = iota + 1
	kindDelta
	kindProbe
	kindFresh
	kindLoad
	kindPools
	kindIncarnation
	kindCall
	kindReply
	kindDemand
	kindGrant
)

// Limits of message sizes. A view piece is split so that it stays below maxClientBytes; the largest message of a
// client is a settlement with a recorded answer of 1 MB.
const (
	maxServerBytes = 2 << 20
	maxClientBytes = 2 << 20
	pieceChanges   = 256
	maxViewChanges = 200_000
	maxDemands     = 128
)

type helloMessage struct {
	Identity Identity `cbor:"1,keyasint"`
	Index    uint64   `cbor:"2,keyasint"`
	Bundle   uint64   `cbor:"3,keyasint"`
	Resync   bool     `cbor:"4,keyasint,omitempty"`
}

type probeMessage struct {
	Number uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Bundle uint64 `cbor:"3,keyasint"`
}

// freshMessage carries the index of the last view change that the confirmation covers, not the log index, because
// claims advance the log without changing the view.
type freshMessage struct {
	Number uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	// AgeMillis is the age of the last quorum confirmation; it is negative if there was none.
	AgeMillis int64 `cbor:"3,keyasint"`
}

type poolsMessage struct {
	Pools []PoolLoad `cbor:"1,keyasint"`
	// ReportMillis is the shortest interval at which an agent reports a changed load.
	ReportMillis int64 `cbor:"2,keyasint,omitempty"`
}

type incarnationMessage struct {
	Incarnation uint64 `cbor:"1,keyasint"`
}

type callMessage struct {
	Claim   *Claim            `cbor:"1,keyasint,omitempty"`
	Outcome *OperationOutcome `cbor:"2,keyasint,omitempty"`
	Crash   *CrashReport      `cbor:"3,keyasint,omitempty"`
	Leave   bool              `cbor:"4,keyasint,omitempty"`
}

type replyMessage struct {
	Err   *CallError  `cbor:"1,keyasint,omitempty"`
	Claim *ClaimReply `cbor:"2,keyasint,omitempty"`
}

// deltaMessage is one piece of a delta; the client applies it once the last piece has come. From 0 replaces the
// whole view.
type deltaMessage struct {
	viewer.Delta
	More bool `cbor:"5,keyasint,omitempty"`
}
