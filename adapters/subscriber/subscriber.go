package subscriber

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cactusroute.dev/core/viewer"
)

// Path is the URL path at which a control instance accepts connections of routers and agents.
const Path = "/subscribe/v1"

const (
	probeInterval = 500 * time.Millisecond
	// leaseDuration is how long a view counts as fresh after a quorum has confirmed it.
	leaseDuration = 2 * time.Second
	// probeTimeout is how long a client waits for a quorum-confirmed probe reply before it connects to another instance.
	probeTimeout = 1200 * time.Millisecond
	// maxReplyDelay bounds the wait for a reply while other bytes of the instance arrive.
	maxReplyDelay = 30 * time.Second
)

// Role is the kind of a client.
type Role string

// Roles of clients.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Identity describes a client.
type Identity struct {
	Name          string `cbor:"1,keyasint"`
	Role          Role   `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// Address is the host:port of the process, which routers dial for an agent, and at which any process serves its
	// timeline.
	Address string `cbor:"5,keyasint"`
	// Pool is the pool of an agent's endpoint; empty for routers.
	Pool string `cbor:"6,keyasint,omitempty"`
	// Session identifies the process across reconnections, so that retried announcements are recognized; the
	// client sets it if it is empty.
	Session string `cbor:"7,keyasint,omitempty"`
}

// maxIdentityBytes bounds each field of an Identity.
const maxIdentityBytes = 200

// check returns an error unless the identity may be announced to all processes.
func (id *Identity) check() error {
	for _, value := range []string{id.Name, id.Region, id.FailureDomain, id.Address, id.Pool, id.Session} {
		if len(value) > maxIdentityBytes || !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl) {
			return fmt.Errorf("identity has an invalid field: %.40q", value)
		}
	}
	if id.Name == "" || id.Role != RoleRouter && id.Role != RoleAgent {
		return fmt.Errorf("identity has no name or the unknown role %.40q", id.Role)
	}
	if id.Role == RoleRouter {
		return nil
	}
	host, port, err := net.SplitHostPort(id.Address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || portErr != nil || n == 0 {
		return fmt.Errorf("agent has an invalid address: %.40q", id.Address)
	}
	return nil
}

// Load is the load report of an agent for its endpoint.
type Load struct {
	InFlight int  `cbor:"1,keyasint"`
	Limit    int  `cbor:"2,keyasint"`
	Cold     bool `cbor:"3,keyasint,omitempty"`
}

// PoolLoad is the mean load of the members of a pool; the admin API encodes it in JSON under its Go field names.
type PoolLoad struct {
	Pool    string  `cbor:"1,keyasint"`
	Mean    float64 `cbor:"2,keyasint"`
	Members int     `cbor:"3,keyasint"`
}

// ClaimState is the state of a non-idempotent operation.
type ClaimState string

// States of a claim.
const (
	ClaimGranted  ClaimState = "granted"
	ClaimRunning  ClaimState = "running"
	ClaimDone     ClaimState = "done"
	ClaimConflict ClaimState = "conflict"
	ClaimUnknown  ClaimState = "unknown"
	// ClaimReleased is returned for a claim without an endpoint: no generation has run or can still run.
	ClaimReleased ClaimState = "released"
)

// Claim requests the exclusive right to run an operation at an endpoint. With an empty endpoint, it releases the
// generation in NotRun and returns the state of the claim.
type Claim struct {
	Operation   string `cbor:"1,keyasint"`
	Digest      string `cbor:"2,keyasint"`
	Endpoint    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// NotRun is the generation that was refused to the caller as not run; 0 if none.
	NotRun    uint64 `cbor:"5,keyasint,omitempty"`
	Workspace string `cbor:"6,keyasint,omitempty"`
}

// RecordedAnswer is the HTTP response to an operation that the control instances store.
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

// OperationOutcome is the outcome of one generation of an operation.
type OperationOutcome struct {
	Operation  string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// Answer is nil if the operation did not run or its outcome is unknown.
	Answer *RecordedAnswer `cbor:"3,keyasint,omitempty"`
	// NotRun means that the agent has not run this generation and never will.
	NotRun bool `cbor:"4,keyasint,omitempty"`
}

// CrashReport reports suspects, which were in flight when an engine crashed, or clears suspects.
type CrashReport struct {
	Endpoint string `cbor:"1,keyasint"`
	// ReportID deduplicates retried reports; the client sets it if it is empty.
	ReportID string `cbor:"4,keyasint,omitempty"`
	// Suspects are the fingerprints of the requests in flight at the crash.
	Suspects []string `cbor:"2,keyasint,omitempty"`
	// Cleared are the fingerprints of suspects that have completed since.
	Cleared []string `cbor:"3,keyasint,omitempty"`
}

// CallError is the error of a call that a control instance refused.
type CallError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error formats the code and the message.
func (e *CallError) Error() string { return fmt.Sprintf("control: %s: %s", e.Code, e.Message) }

// Codes of a CallError.
const (
	CodeNoQuorum = "no-quorum"
	CodeInvalid  = "invalid"
	CodeInternal = "internal"
	// CodeStaleIncarnation means that the endpoint of a claim has a different incarnation.
	CodeStaleIncarnation = "stale-incarnation"
	CodeConflict         = "conflict"
	CodeNotFound         = "not-found"
)

// Process is the state that a client has applied.
type Process struct {
	Identity      Identity `cbor:"1,keyasint"`
	Index         uint64   `cbor:"2,keyasint"`
	BundleVersion uint64   `cbor:"3,keyasint"`
	// Incarnation is the incarnation sent to an agent; 0 for routers.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// Kinds of messages.
const (
	kindHello uint8 = iota + 1
	kindDelta
	kindProbe
	kindProbeReply
	kindLoad
	kindPoolLoads
	kindIncarnation
	kindCall
	kindCallReply
	kindDemand
	kindGrant
)

// Limits of received messages. maxChunkChanges keeps the chunks of a delta below maxClientMessageBytes; the largest
// message to a server is an outcome with a recorded answer of 1 MB.
const (
	maxServerMessageBytes = 2 << 20
	maxClientMessageBytes = 2 << 20
	maxChunkChanges       = 256
	maxViewChanges        = 200_000
	maxDemands            = 128
)

type helloMessage struct {
	Identity Identity `cbor:"1,keyasint"`
	Index    uint64   `cbor:"2,keyasint"`
	Bundle   uint64   `cbor:"3,keyasint"`
	// Resync requests a snapshot instead of a delta from Index.
	Resync bool `cbor:"4,keyasint,omitempty"`
}

type probeMessage struct {
	Number uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Bundle uint64 `cbor:"3,keyasint"`
}

// probeReplyMessage has the index of the last view change that the confirmation covers, not the log index, because
// claims advance the log without changing the view.
type probeReplyMessage struct {
	Number uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	// AgeMillis is the age of the last quorum confirmation, or negative without one.
	AgeMillis int64 `cbor:"3,keyasint"`
}

type poolLoadsMessage struct {
	Pools []PoolLoad `cbor:"1,keyasint"`
	// ReportIntervalMillis is the minimum interval between load reports of an agent; 0 leaves it unchanged.
	ReportIntervalMillis int64 `cbor:"2,keyasint,omitempty"`
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

type callReplyMessage struct {
	Err   *CallError  `cbor:"1,keyasint,omitempty"`
	Claim *ClaimReply `cbor:"2,keyasint,omitempty"`
}

// deltaMessage is one chunk of a delta; the client applies the delta with its last chunk, which has More unset. A delta
// with From 0 is a snapshot that replaces the view.
type deltaMessage struct {
	viewer.Delta
	More bool `cbor:"5,keyasint,omitempty"`
}
