package relayer

import (
	"fmt"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/detector"
	"cactusroute.dev/core/stamper"
)

// Path is the URL path at which an agent accepts connections of routers.
const Path = "/relay/v1"

// headerInstance tells a router which process it is connected to, so that it doesn't take a restarted agent for
// one that remembers what it ran.
const headerInstance = "X-Cactusroute-Instance"

const (
	keepaliveInterval = 1 * time.Second
	// minStep bounds how often the silence of a connection is checked.
	minStep = 20 * time.Millisecond
	// reattachWindow is how long an agent keeps an answer whose router is gone. It is longer than the 4.5 s that
	// a router takes at most to notice silence and to open a new connection.
	reattachWindow = 5 * time.Second
	idleLimit      = 30 * time.Second
	// maxChunkBytes keeps the message of one chunk within the buffers that a connection reuses.
	maxChunkBytes = 24 << 10
	// windowBytes bounds what a router holds of one answer that its caller has not taken yet.
	windowBytes = 256 << 10
)

// limits are one missed keepalive and some delay, after which a new connection is prepared, and two missed
// keepalives and some delay, after which the connection is replaced.
var limits = detector.Limits{
	SuspectAfter:     1500 * time.Millisecond,
	FailAfter:        2500 * time.Millisecond,
	MaxCheckInterval: 1500 * time.Millisecond,
}

// Outcome says whether a request has run.
type Outcome uint8

const (
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means the request was not forwarded to the endpoint.
	OutcomeNotRun
	// OutcomeRan means the request ran and its answer is complete.
	OutcomeRan
)

// Reason says why an agent refused a request before it forwarded anything.
type Reason string

// Reasons of a refusal.
const (
	ReasonStaleView        Reason = "stale-view"
	ReasonOutOfService     Reason = "out-of-service"
	ReasonLeaving          Reason = "leaving"
	ReasonOverLoadBound    Reason = "over-load-bound"
	ReasonColdLimit        Reason = "cold-limit"
	ReasonQueueTime        Reason = "queue-time"
	ReasonDeadline         Reason = "deadline"
	ReasonPoison           Reason = "poison"
	ReasonSuspect          Reason = "suspect"
	ReasonNotCached        Reason = "not-cached"
	ReasonOtherIncarnation Reason = "incarnation"
	ReasonDuplicate        Reason = "duplicate"
	ReasonWrongPool        Reason = "wrong-pool"
	// ReasonNotReceived means that the connection broke before the agent got the request, and that the agent
	// refuses it from now on.
	ReasonNotReceived Reason = "not-received"
	// ReasonUnavailable means that the endpoint is down or does not have its model yet.
	ReasonEndpointUnavailable Reason = "endpoint-unavailable"
)

// Operation identifies a run of an operation that may not be repeated.
type Operation struct {
	ID          string `cbor:"1,keyasint"`
	Generation  uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Request is one attempt of a caller's request at one endpoint.
type Request struct {
	ID          string
	Attempt     uint32
	Workspace   string
	Pool        string
	Method      string
	Path        string
	ContentType string // content type of the body
	Body        []byte
	ChatKey     uint64
	Priority    bundler.Priority
	Weight      int
	Deadline    time.Time
	// OnlyIfCached asks the agent to refuse unless its directory holds the chat.
	OnlyIfCached bool
	// PrefixKey identifies the prompt prefix that the chat shares with others; 0 if unknown.
	PrefixKey uint64
	// OnlyIfPrefixCached asks the agent to refuse unless some chat with this prefix is in its directory and its load is
	// below the mean.
	OnlyIfPrefixCached bool
	// MeanHint is the mean number of requests in flight that the router has seen in the pool; 0 if unknown.
	MeanHint float64
	// Crashes counts the engines that earlier attempts of this request crashed.
	Crashes int
	// ResumeTokens is how many tokens of the answer the caller already has from another endpoint.
	ResumeTokens int
	// ResumeText is the text of those tokens.
	ResumeText string
	// Successor is the endpoint that the router asks first for the chat when this one has left; empty if none.
	Successor string
	Operation *Operation
	// ViewIndex and BundleVersion are those of the router's view.
	ViewIndex     uint64
	BundleVersion uint64
}

// Load is what an agent tells about itself with every answer.
type Load struct {
	InFlight      int    `cbor:"1,keyasint"`
	Limit         int    `cbor:"2,keyasint"`
	Cold          bool   `cbor:"3,keyasint,omitempty"`
	ViewIndex     uint64 `cbor:"4,keyasint,omitempty"`
	BundleVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// Head is the start of an answer.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	// Recorded is set when the answer of an operation was recorded by an earlier run.
	Recorded bool `cbor:"3,keyasint,omitempty"`
}

// End closes an answer.
type End struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Bytes is the length of the whole answer; a receiver that has fewer bytes has lost some.
	Bytes   int64  `cbor:"2,keyasint"`
	Problem string `cbor:"3,keyasint,omitempty"`
	// Crashed is set when the engine crashed under the request.
	Crashed bool `cbor:"4,keyasint,omitempty"`
	Load    Load `cbor:"5,keyasint"`
}

// RefusalError says that an agent refused a request and did not forward it.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the time in milliseconds after which the agent expects to have capacity; 0 if unknown.
	RetryAfterMillis int64
	Load             Load
	// Generation is the generation of an operation that the agent will never run, whichever router asks; 0 if the
	// refusal holds for this attempt only, while another router's attempt may run.
	Generation uint64
	// HasPrefix and HasRoom come with ReasonNotCached: the prefix of the request is cached; the load is below the
	// mean.
	HasPrefix bool
	HasRoom   bool
	// MovedTo is the endpoint that served the chat last, if the agent knows another one.
	MovedTo string
}

// Error names the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused by the agent, not run: %s", e.Reason)
}

// AgentLostError says that the agent could not be reached, or no longer; Sent tells whether the request may have run.
type AgentLostError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error names the agent and the cause.
func (e *AgentLostError) Error() string {
	return fmt.Sprintf("agent %s lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AgentLostError) Unwrap() error { return e.Cause }

// IncompleteError says that the answer ended early.
type IncompleteError struct{ End End }

// Error gives the agent's description.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("answer ended early: %s", e.End.Problem)
}

// Kinds of messages.
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

// wireStamp is a stamp of the timeline on a message; nil if the sender has no clock.
type wireStamp struct {
	Millis int64  `cbor:"1,keyasint"`
	Count  uint32 `cbor:"2,keyasint,omitempty"`
}

func tick(c messenger.Clock) *wireStamp {
	if c == nil {
		return nil
	}
	s := c.Tick()
	return &wireStamp{Millis: s.Millis, Count: s.Count}
}

func merge(c messenger.Clock, s *wireStamp) {
	if c != nil && s != nil {
		c.Merge(stamper.Timestamp{Millis: s.Millis, Count: s.Count})
	}
}

type runMessage struct {
	ID            string           `cbor:"1,keyasint"`
	Attempt       uint32           `cbor:"2,keyasint"`
	Workspace     string           `cbor:"3,keyasint"`
	Pool          string           `cbor:"4,keyasint"`
	Method        string           `cbor:"5,keyasint"`
	Path          string           `cbor:"6,keyasint"`
	Type          string           `cbor:"7,keyasint"`
	Body          []byte           `cbor:"8,keyasint"`
	ChatKey       uint64           `cbor:"9,keyasint"`
	Priority      bundler.Priority `cbor:"10,keyasint"`
	Weight        int              `cbor:"11,keyasint"`
	LeftMillis    int64            `cbor:"12,keyasint"` // time left until the deadline
	OnlyIfCached  bool             `cbor:"13,keyasint,omitempty"`
	LoadHint      float64          `cbor:"14,keyasint,omitempty"`
	Crashes       int              `cbor:"15,keyasint,omitempty"`
	ResumeTokens  int              `cbor:"16,keyasint,omitempty"`
	ResumeText    string           `cbor:"17,keyasint,omitempty"`
	Operation     *Operation       `cbor:"18,keyasint,omitempty"`
	Index         uint64           `cbor:"19,keyasint,omitempty"`
	BundleVersion uint64           `cbor:"20,keyasint,omitempty"`
	Stamp         *wireStamp       `cbor:"21,keyasint,omitempty"`
	Limit         int64            `cbor:"22,keyasint"` // offset up to which the agent may send
	Successor     string           `cbor:"23,keyasint,omitempty"`
	PrefixKey     uint64           `cbor:"24,keyasint,omitempty"`
	OnlyIfPrefix  bool             `cbor:"25,keyasint,omitempty"`
}

type resumeMessage struct {
	ID        string     `cbor:"1,keyasint"`
	Attempt   uint32     `cbor:"2,keyasint"`
	Offset    int64      `cbor:"3,keyasint"`
	Limit     int64      `cbor:"4,keyasint"`
	AgeMillis int64      `cbor:"5,keyasint"` // time since the run message was sent
	HasHead   bool       `cbor:"6,keyasint,omitempty"`
	Stamp     *wireStamp `cbor:"7,keyasint,omitempty"`
}

// attemptMessage is the body of cancel and of ack.
type attemptMessage struct {
	ID      string     `cbor:"1,keyasint"`
	Attempt uint32     `cbor:"2,keyasint"`
	Stamp   *wireStamp `cbor:"3,keyasint,omitempty"`
}

// creditMessage lets the agent send up to an offset, and drop what the router has passed on.
type creditMessage struct {
	Taken int64 `cbor:"1,keyasint"`
	Limit int64 `cbor:"2,keyasint"`
}

type refusedMessage struct {
	Reason           Reason     `cbor:"1,keyasint"`
	RetryAfterMillis int64      `cbor:"2,keyasint,omitempty"`
	Load             Load       `cbor:"3,keyasint"`
	Stamp            *wireStamp `cbor:"4,keyasint,omitempty"`
	Generation       uint64     `cbor:"5,keyasint,omitempty"`
	HasPrefix        bool       `cbor:"6,keyasint,omitempty"`
	HasRoom          bool       `cbor:"7,keyasint,omitempty"`
	MovedTo          string     `cbor:"8,keyasint,omitempty"`
}

// movedMessage tells the agent of a chat's first candidate which endpoint served the chat.
type movedMessage struct {
	Chat     uint64 `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
}

type headMessage struct {
	Head  Head       `cbor:"1,keyasint"`
	Stamp *wireStamp `cbor:"2,keyasint,omitempty"`
}

type endMessage struct {
	End   End        `cbor:"1,keyasint"`
	Stamp *wireStamp `cbor:"2,keyasint,omitempty"`
}

type dataMessage struct {
	Attempt uint32 `cbor:"3,keyasint"`
	Offset  int64  `cbor:"1,keyasint,omitempty"`
	Data    []byte `cbor:"2,keyasint"`
}

func (r *Request) message(now time.Time) runMessage {
	return runMessage{
		ID: r.ID, Attempt: r.Attempt, Workspace: r.Workspace, Pool: r.Pool, Method: r.Method, Path: r.Path,
		Type: r.ContentType, Body: r.Body, ChatKey: r.ChatKey, Priority: r.Priority, Weight: r.Weight,
		LeftMillis: r.Deadline.Sub(now).Milliseconds(), OnlyIfCached: r.OnlyIfCached, LoadHint: r.MeanHint,
		Crashes: r.Crashes, ResumeTokens: r.ResumeTokens, ResumeText: r.ResumeText, Operation: r.Operation,
		Index: r.ViewIndex, BundleVersion: r.BundleVersion, Successor: r.Successor, PrefixKey: r.PrefixKey,
		OnlyIfPrefix: r.OnlyIfPrefixCached,
	}
}

func (m *runMessage) request(now time.Time) Request {
	return Request{
		ID: m.ID, Attempt: m.Attempt, Workspace: m.Workspace, Pool: m.Pool, Method: m.Method, Path: m.Path,
		ContentType: m.Type, Body: m.Body, ChatKey: m.ChatKey, Priority: m.Priority, Weight: m.Weight,
		Deadline:     now.Add(time.Duration(m.LeftMillis) * time.Millisecond),
		OnlyIfCached: m.OnlyIfCached, MeanHint: m.LoadHint, Crashes: m.Crashes, ResumeTokens: m.ResumeTokens,
		ResumeText: m.ResumeText, Operation: m.Operation, ViewIndex: m.Index, BundleVersion: m.BundleVersion,
		Successor: m.Successor, PrefixKey: m.PrefixKey, OnlyIfPrefixCached: m.OnlyIfPrefix,
	}
}
