package relayer

import (
	"fmt"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/detector"
	"cactusroute.dev/core/timestamper"
)

// Path is the URL path at which an agent accepts connections from routers.
const Path = "/relay/v1"

// headerInstance identifies the agent process, so that a router detects that an agent was restarted and has lost the
// history of its attempts.
const headerInstance = "X-Cactusroute-Instance"

const (
	keepaliveInterval = 1 * time.Second
	// minCheckInterval limits how often the inactivity of a connection is checked.
	minCheckInterval = 20 * time.Millisecond
	// reattachTimeout is how long an agent keeps a run without an attached router. It is longer than the 4.5 s that a
	// router takes at most to detect inactivity and to open a new connection.
	reattachTimeout = 5 * time.Second
	idleTimeout     = 30 * time.Second
	// maxChunkBytes keeps a data message within the size of the buffers that a connection reuses.
	maxChunkBytes = 24 << 10
	// windowBytes is the flow-control window, which limits the unconsumed bytes of one response at the router.
	windowBytes = 256 << 10
)

// heartbeatLimits allow one missed keepalive and some delay before a new connection is opened in advance, and two
// missed keepalives and some delay before the connection is replaced.
var heartbeatLimits = detector.Limits{
	SuspectAfter:     1500 * time.Millisecond,
	FailAfter:        2500 * time.Millisecond,
	MaxCheckInterval: 1500 * time.Millisecond,
}

// Outcome is whether a request has run.
type Outcome uint8

const (
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means the request was not forwarded to the endpoint.
	OutcomeNotRun
	// OutcomeRan means the request ran and its response is complete.
	OutcomeRan
)

// Reason is why an agent refused a request without forwarding it.
type Reason string

// Reasons of a refusal.
const (
	ReasonStaleView        Reason = "stale-view"
	ReasonOutOfService     Reason = "out-of-service"
	ReasonLeaving          Reason = "leaving"
	ReasonOverLoadBound    Reason = "over-load-bound"
	ReasonColdLimit        Reason = "cold-limit"
	ReasonQueueTime        Reason = "queue-time"
	ReasonQuiet            Reason = "quiet" // the endpoint wants no requests for some time
	ReasonDeadline         Reason = "deadline"
	ReasonPoison           Reason = "poison"
	ReasonSuspect          Reason = "suspect" // this request or an equal one may have crashed an engine
	ReasonNotCached        Reason = "not-cached"
	ReasonOtherIncarnation Reason = "incarnation"
	ReasonDuplicate        Reason = "duplicate"
	ReasonWrongPool        Reason = "wrong-pool"
	// ReasonNotReceived means that the agent had not received the request when the router tried to resume it, and that
	// the agent refuses it from then on.
	ReasonNotReceived Reason = "not-received"
	// ReasonEndpointUnavailable means that the endpoint is down or has not loaded its model yet.
	ReasonEndpointUnavailable Reason = "endpoint-unavailable"
)

// Operation identifies the run of an operation that must not run twice.
type Operation struct {
	ID          string `cbor:"1,keyasint"`
	Generation  uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Request is one attempt to run a caller's request at one endpoint.
type Request struct {
	ID          string
	Attempt     uint32
	Workspace   string
	Pool        string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	ChatKey     uint64
	Priority    bundler.Priority
	Weight      int
	Deadline    time.Time
	// OnlyIfCached makes the agent refuse the request unless the chat is in its directory.
	OnlyIfCached bool
	// PrefixKey identifies the prompt prefix that the chat shares with others; 0 if unknown.
	PrefixKey uint64
	// OnlyIfPrefixCached makes the agent refuse the request unless a chat with this prefix is in its directory and its
	// load is below the mean.
	OnlyIfPrefixCached bool
	// MeanHint is the mean in-flight count of the pool that the router has seen; 0 if unknown.
	MeanHint float64
	// Crashes is the number of engines that crashed during earlier attempts of this request.
	Crashes int
	// ResumeTokens is the number of response tokens that the caller already has from another endpoint.
	ResumeTokens int
	// ResumeText is the text of those tokens.
	ResumeText string
	// Successor is the endpoint that becomes the primary of the chat when this one leaves; empty if none.
	Successor string
	Operation *Operation
	// ViewIndex and BundleVersion are the versions of the router's view.
	ViewIndex     uint64
	BundleVersion uint64
}

// Load is the state that an agent reports with every response.
type Load struct {
	InFlight      int    `cbor:"1,keyasint"`
	Limit         int    `cbor:"2,keyasint"`
	Cold          bool   `cbor:"3,keyasint,omitempty"`
	ViewIndex     uint64 `cbor:"4,keyasint,omitempty"`
	BundleVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// Head is the status and content type of a response.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	// Recorded is set if this is the recorded response of an operation that has run before.
	Recorded bool `cbor:"3,keyasint,omitempty"`
}

// End is the end of a response.
type End struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Bytes is the length of the complete response, by which the receiver detects missing bytes.
	Bytes   int64  `cbor:"2,keyasint"`
	Problem string `cbor:"3,keyasint,omitempty"`
	// Crashed is set if the engine crashed while it ran the request.
	Crashed bool `cbor:"4,keyasint,omitempty"`
	Load    Load `cbor:"5,keyasint"`
}

// RefusalError means that an agent refused a request and did not forward it.
type RefusalError struct {
	Reason Reason
	// RetryAfterMillis is the time after which the agent expects to have capacity; 0 if unknown.
	RetryAfterMillis int64
	Load             Load
	// Generation is the generation of an operation that the agent will not run for any router; 0 if only this attempt is
	// refused, and the attempt of another router may run.
	Generation uint64
	// HasPrefix and HasRoom are set with ReasonNotCached if the prefix of the request is cached, and if the load is below
	// the mean.
	HasPrefix bool
	HasRoom   bool
	// MovedTo is the other endpoint that served the chat last; empty if unknown.
	MovedTo string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("agent refused the request without running it: %s", e.Reason)
}

// AgentLostError means that the agent was unreachable or became so; Sent is true if the request may have run.
type AgentLostError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *AgentLostError) Error() string {
	return fmt.Sprintf("request to agent %s failed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AgentLostError) Unwrap() error { return e.Cause }

// IncompleteError means that the agent ended the response before it was complete.
type IncompleteError struct{ End End }

// Error returns the problem that the agent reported.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response is incomplete: %s", e.End.Problem)
}

// Message kinds.
const (
	kindRun uint8 = iota + 1
	kindResume
	kindCancel
	kindRefused
	kindHead
	kindData
	kindEnd
	kindKeepalive
	kindCredit
	kindAck
	kindMoved
)

// wireTimestamp is the hybrid logical timestamp of a message; nil if the sender has no clock.
type wireTimestamp struct {
	Millis int64  `cbor:"1,keyasint"`
	Count  uint32 `cbor:"2,keyasint,omitempty"`
}

func newTimestamp(c messenger.Clock) *wireTimestamp {
	if c == nil {
		return nil
	}
	ts := c.Tick()
	return &wireTimestamp{Millis: ts.Millis, Count: ts.Count}
}

func mergeTimestamp(c messenger.Clock, ts *wireTimestamp) {
	if c != nil && ts != nil {
		c.Merge(timestamper.Timestamp{Millis: ts.Millis, Count: ts.Count})
	}
}

type runMessage struct {
	ID                 string           `cbor:"1,keyasint"`
	Attempt            uint32           `cbor:"2,keyasint"`
	Workspace          string           `cbor:"3,keyasint"`
	Pool               string           `cbor:"4,keyasint"`
	Method             string           `cbor:"5,keyasint"`
	Path               string           `cbor:"6,keyasint"`
	ContentType        string           `cbor:"7,keyasint"`
	Body               []byte           `cbor:"8,keyasint"`
	ChatKey            uint64           `cbor:"9,keyasint"`
	Priority           bundler.Priority `cbor:"10,keyasint"`
	Weight             int              `cbor:"11,keyasint"`
	TimeoutMillis      int64            `cbor:"12,keyasint"` // time left until the deadline
	OnlyIfCached       bool             `cbor:"13,keyasint,omitempty"`
	MeanHint           float64          `cbor:"14,keyasint,omitempty"`
	Crashes            int              `cbor:"15,keyasint,omitempty"`
	ResumeTokens       int              `cbor:"16,keyasint,omitempty"`
	ResumeText         string           `cbor:"17,keyasint,omitempty"`
	Operation          *Operation       `cbor:"18,keyasint,omitempty"`
	ViewIndex          uint64           `cbor:"19,keyasint,omitempty"`
	BundleVersion      uint64           `cbor:"20,keyasint,omitempty"`
	Timestamp          *wireTimestamp   `cbor:"21,keyasint,omitempty"`
	Limit              int64            `cbor:"22,keyasint"` // offset up to which the agent may send
	Successor          string           `cbor:"23,keyasint,omitempty"`
	PrefixKey          uint64           `cbor:"24,keyasint,omitempty"`
	OnlyIfPrefixCached bool             `cbor:"25,keyasint,omitempty"`
}

type resumeMessage struct {
	ID        string         `cbor:"1,keyasint"`
	Attempt   uint32         `cbor:"2,keyasint"`
	Offset    int64          `cbor:"3,keyasint"`
	Limit     int64          `cbor:"4,keyasint"`
	AgeMillis int64          `cbor:"5,keyasint"` // time since the run message was sent
	HasHead   bool           `cbor:"6,keyasint,omitempty"`
	Timestamp *wireTimestamp `cbor:"7,keyasint,omitempty"`
}

// attemptMessage is the body of cancel and ack messages.
type attemptMessage struct {
	ID        string         `cbor:"1,keyasint"`
	Attempt   uint32         `cbor:"2,keyasint"`
	Timestamp *wireTimestamp `cbor:"3,keyasint,omitempty"`
}

// creditMessage extends the flow-control window to an offset, and lets the agent drop consumed bytes.
type creditMessage struct {
	Consumed int64 `cbor:"1,keyasint"`
	Limit    int64 `cbor:"2,keyasint"`
}

type refusedMessage struct {
	Reason           Reason         `cbor:"1,keyasint"`
	RetryAfterMillis int64          `cbor:"2,keyasint,omitempty"`
	Load             Load           `cbor:"3,keyasint"`
	Timestamp        *wireTimestamp `cbor:"4,keyasint,omitempty"`
	Generation       uint64         `cbor:"5,keyasint,omitempty"`
	HasPrefix        bool           `cbor:"6,keyasint,omitempty"`
	HasRoom          bool           `cbor:"7,keyasint,omitempty"`
	MovedTo          string         `cbor:"8,keyasint,omitempty"`
}

// movedMessage notifies the agent of a chat's primary of the other endpoint that served the chat.
type movedMessage struct {
	Chat     uint64 `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
}

type headMessage struct {
	Head      Head           `cbor:"1,keyasint"`
	Timestamp *wireTimestamp `cbor:"2,keyasint,omitempty"`
}

type endMessage struct {
	End       End            `cbor:"1,keyasint"`
	Timestamp *wireTimestamp `cbor:"2,keyasint,omitempty"`
}

type dataMessage struct {
	Attempt uint32 `cbor:"3,keyasint"`
	Offset  int64  `cbor:"1,keyasint,omitempty"`
	Data    []byte `cbor:"2,keyasint"`
}

func (r *Request) message(now time.Time) runMessage {
	return runMessage{
		ID: r.ID, Attempt: r.Attempt, Workspace: r.Workspace, Pool: r.Pool, Method: r.Method, Path: r.Path,
		ContentType: r.ContentType, Body: r.Body, ChatKey: r.ChatKey, Priority: r.Priority, Weight: r.Weight,
		TimeoutMillis: r.Deadline.Sub(now).Milliseconds(), OnlyIfCached: r.OnlyIfCached, MeanHint: r.MeanHint,
		Crashes: r.Crashes, ResumeTokens: r.ResumeTokens, ResumeText: r.ResumeText, Operation: r.Operation,
		ViewIndex: r.ViewIndex, BundleVersion: r.BundleVersion, Successor: r.Successor, PrefixKey: r.PrefixKey,
		OnlyIfPrefixCached: r.OnlyIfPrefixCached,
	}
}

func (m *runMessage) request(now time.Time) Request {
	return Request{
		ID: m.ID, Attempt: m.Attempt, Workspace: m.Workspace, Pool: m.Pool, Method: m.Method, Path: m.Path,
		ContentType: m.ContentType, Body: m.Body, ChatKey: m.ChatKey, Priority: m.Priority, Weight: m.Weight,
		Deadline:     now.Add(time.Duration(m.TimeoutMillis) * time.Millisecond),
		OnlyIfCached: m.OnlyIfCached, MeanHint: m.MeanHint, Crashes: m.Crashes, ResumeTokens: m.ResumeTokens,
		ResumeText: m.ResumeText, Operation: m.Operation, ViewIndex: m.ViewIndex, BundleVersion: m.BundleVersion,
		Successor: m.Successor, PrefixKey: m.PrefixKey, OnlyIfPrefixCached: m.OnlyIfPrefixCached,
	}
}
