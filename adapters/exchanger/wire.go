package exchanger

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

const (
	// SubscriptionPath is the HTTP path of a Server.
	SubscriptionPath = "/exchange/v2"

	// DiscoveryPath is the HTTP path of a Discovery.
	DiscoveryPath = "/meet/v1"

	heartbeatInterval = 300 * time.Millisecond

	// lostTimeout is how long a peer may send nothing, or take nothing, before the connection is closed. A process that is
	// short of processor time is silent for a second or two, and a new connection would cost it even more. Subscribers of
	// an instance look for another one earlier.
	lostTimeout = 3 * time.Second

	// connectTimeout bounds a TCP connect, which the kernel of a running machine answers even if the process is busy.
	connectTimeout = 500 * time.Millisecond

	// loadInterval is how often routers exchange their requests in flight at each endpoint. A load report takes at most
	// three hops, and within these 150 ms about two requests reach the primary of a key with a tenth of the traffic.
	loadInterval = 50 * time.Millisecond

	// loadEntriesPerInterval is the number of endpoints that lengthen the time between two load messages by one
	// loadInterval, so that the bytes per second stay bounded in large fleets.
	loadEntriesPerInterval = 64

	// loadRefreshInterval is how often unchanged loads are sent again, because receivers use them for 1 s only.
	loadRefreshInterval = 600 * time.Millisecond

	// endpointPause is the time between two messages with changed endpoints for each subscriber of a server, and
	// maxEndpointPause its bound. A message takes the server some 20 us for each subscriber.
	endpointPause    = time.Millisecond
	maxEndpointPause = 100 * time.Millisecond

	// maxMessageBytes is enough for a plan of the largest accepted size and its framing.
	maxMessageBytes = 8 << 20

	// maxEndpointRecords is twenty times the endpoints of the largest fleets.
	maxEndpointRecords = 1 << 16

	// maxRouters is far above the nodes of any fleet.
	maxRouters = 1 << 16
)

// The kinds of messages.
const (
	kindHello uint8 = iota + 1
	kindPing
	kindState
	kindEndpoints
	kindHeartbeat
	kindSuspects
	kindLoads
	kindEvidence
	kindStreams
	kindStreamQuery
	kindStreamAnswer
	kindStateAck // of a subscriber, with the index of the state as its number
	kindSums
	kindOutcomes
)

// KindNames are the names of the kinds of messages, by kind, for metrics.
func KindNames() map[uint8]string {
	return map[uint8]string{kindHello: "hello", kindPing: "ping", kindState: "state", kindEndpoints: "endpoints",
		kindHeartbeat: "heartbeat", kindSuspects: "suspects", kindLoads: "loads", kindEvidence: "evidence",
		kindStreams: "streams", kindStreamQuery: "streamQuery", kindStreamAnswer: "streamAnswer",
		kindStateAck: "stateAck", kindSums: "sums", kindOutcomes: "outcomes"}
}

// Contact is the identity of a process and its addresses.
type Contact struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host:port of the exchange listener
	Control string `cbor:"3,keyasint"` // host:port of the control interface
	Domain  string `cbor:"4,keyasint"`
	// Eligible is set for instances that have a data folder and may vote.
	Eligible bool `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is the periodic message of a control instance to its subscribers.
type Heartbeat struct {
	// Quorate is set if a quorum of the control group confirmed this instance recently.
	Quorate          bool
	Routers          int       // known processes that route requests
	QuorateInstances []Contact // known quorate control instances
	// SubscribedRouters is the number of subscribers of this instance, without other control instances.
	SubscribedRouters int
	// A state of at least Index has all changes that were acknowledged before ConfirmedAt, by the clock of this process;
	// zero if the instance is not quorate or does not report it.
	Index       uint64
	ConfirmedAt time.Time
}

// heartbeatMessage is an encoded Heartbeat. It omits the control instances if they have not changed since the last one.
type heartbeatMessage struct {
	Quorate           bool      `cbor:"1,keyasint"`
	Routers           int       `cbor:"2,keyasint"`
	QuorateInstances  []Contact `cbor:"3,keyasint,omitempty"`
	SubscribedRouters int       `cbor:"4,keyasint"`
	SameInstances     bool      `cbor:"5,keyasint,omitempty"`
	// Confirmation is absent without a quorum.
	Confirmation *confirmationMessage `cbor:"6,keyasint,omitempty"`
}

// confirmationMessage has the time of a confirmation relative to a ping of the subscriber, so that neither the clocks
// nor the time that a message waits in a buffer make the confirmation look younger than it is.
type confirmationMessage struct {
	Index     uint64 `cbor:"1,keyasint"`
	Ping      uint64 `cbor:"2,keyasint"` // number of the last ping received
	AfterPing int64  `cbor:"3,keyasint"` // milliseconds from the receipt of the ping to the confirmation; may be negative
}

// heartbeatEncoder and heartbeatDecoder keep the control instances of the last heartbeat of a connection.
type heartbeatEncoder struct {
	instances []Contact
	sent      bool
}

func (e *heartbeatEncoder) encode(h Heartbeat, last receivedPing) heartbeatMessage {
	m := heartbeatMessage{Quorate: h.Quorate, Routers: h.Routers, QuorateInstances: h.QuorateInstances,
		SubscribedRouters: h.SubscribedRouters}
	if !h.ConfirmedAt.IsZero() {
		m.Confirmation = &confirmationMessage{Index: h.Index, Ping: last.number,
			AfterPing: h.ConfirmedAt.Sub(last.at).Milliseconds()}
	}
	if e.sent && slices.Equal(e.instances, h.QuorateInstances) {
		m.QuorateInstances, m.SameInstances = nil, true
	}
	e.instances, e.sent = h.QuorateInstances, true
	return m
}

type heartbeatDecoder struct {
	instances []Contact
	pings     *sentPings
}

func (d *heartbeatDecoder) decode(m *heartbeatMessage) Heartbeat {
	if !m.SameInstances {
		d.instances = m.QuorateInstances
	}
	h := Heartbeat{Quorate: m.Quorate, Routers: min(max(0, m.Routers), maxRouters), QuorateInstances: d.instances,
		SubscribedRouters: min(max(0, m.SubscribedRouters), maxRouters)}
	const limit = int64(maxAfterPing / time.Millisecond)
	if c := m.Confirmation; c != nil && c.AfterPing >= -limit && c.AfterPing <= limit {
		if sentAt, ok := d.pings.sentAt(c.Ping); ok {
			h.Index, h.ConfirmedAt = c.Index, sentAt.Add(time.Duration(c.AfterPing)*time.Millisecond)
		}
	}
	return h
}

// minLoadInterval returns the minimum time between two load messages with this number of entries.
func minLoadInterval(entries int) time.Duration {
	return loadInterval * time.Duration(entries/loadEntriesPerInterval)
}

// Suspect is a request that was running at an endpoint when the endpoint failed.
type Suspect struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Endpoint    string `cbor:"2,keyasint"` // ID and start time, so that each start of an endpoint counts separately
}

type helloMessage struct {
	Contact Contact `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"` // of the last plan that the subscriber received
	Index   uint64  `cbor:"3,keyasint"` // of the last state that the subscriber received
	// AcksStates is set by subscribers that acknowledge each state.
	AcksStates bool `cbor:"4,keyasint,omitempty"`
	// TakesGroups is set by subscribers that take lists by groups, report what the instance lacks after the first one, and
	// state the registrar.Digests of their records unless they have none.
	TakesGroups bool   `cbor:"5,keyasint,omitempty"`
	Digests     []byte `cbor:"6,keyasint,omitempty"`
}

// stateMessage is the replicated state. It omits the plan if the subscriber has received its version.
type stateMessage struct {
	Index    uint64   `cbor:"1,keyasint"`
	Plan     []byte   `cbor:"2,keyasint,omitempty"` // compressed content
	TakenOut []string `cbor:"3,keyasint,omitempty"`
	Version  uint64   `cbor:"4,keyasint"`
	// Rollouts has the last rollout of each service.
	Rollouts []rollouter.Rollout `cbor:"5,keyasint,omitempty"`
}

type endpointsMessage struct {
	// Full is set if the message has all endpoints, or all of some groups, and not only those that changed.
	Full    bool             `cbor:"1,keyasint,omitempty"`
	Records []endpointRecord `cbor:"2,keyasint"`
	Packed  []byte           `cbor:"3,keyasint,omitempty"` // compressed records, in place of Records
	Groups  []byte           `cbor:"4,keyasint,omitempty"` // bitmap of the groups that differ from the subscriber's
}

// receivedEndpointsMessage is an endpointsMessage whose records are decoded one by one.
type receivedEndpointsMessage struct {
	Full    bool              `cbor:"1,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"2,keyasint"`
	Packed  []byte            `cbor:"3,keyasint,omitempty"`
	Groups  []byte            `cbor:"4,keyasint,omitempty"`
}

// endpointRecord is the record of an endpoint. It has the remaining warm-up time in place of a point in time, because
// the clocks of processes may differ.
type endpointRecord struct {
	ID         string          `cbor:"1,keyasint"`
	Service    string          `cbor:"2,keyasint"`
	Address    string          `cbor:"3,keyasint"`
	Domain     string          `cbor:"4,keyasint,omitempty"`
	Slots      int             `cbor:"5,keyasint,omitempty"`
	State      registrar.State `cbor:"6,keyasint"`
	Born       int64           `cbor:"7,keyasint,omitempty"`
	Sequence   uint64          `cbor:"8,keyasint"`
	ColdMillis int64           `cbor:"9,keyasint,omitempty"`
	Version    string          `cbor:"10,keyasint,omitempty"`
}

func encodeEndpoints(now time.Time, list []registrar.Endpoint) []endpointRecord {
	records := make([]endpointRecord, 0, len(list))
	for _, e := range list {
		r := endpointRecord{ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
			State: e.State, Born: e.Born, Sequence: e.Sequence, Version: e.Version}
		if e.ColdUntil.After(now) {
			r.ColdMillis = e.ColdUntil.Sub(now).Milliseconds()
		}
		records = append(records, r)
	}
	return records
}

// decodeEndpoints returns the valid records, so that an invalid one does not cost the others. err is the reason for the
// first of the rejected ones.
func decodeEndpoints(now time.Time, records []cbor.RawMessage) (list []registrar.Endpoint, rejected int, err error) {
	list = make([]registrar.Endpoint, 0, min(len(records), maxEndpointRecords))
	for i, raw := range records {
		if i == maxEndpointRecords {
			return list, rejected + len(records) - i, cmp.Or(err, errTooManyEndpoints)
		}
		e, recordErr := decodeEndpoint(now, raw)
		if recordErr != nil {
			rejected++
			err = cmp.Or(err, recordErr)
			continue
		}
		list = append(list, e)
	}
	return list, rejected, err
}

var errTooManyEndpoints = errors.New("too many endpoints in one message")

func decodeEndpoint(now time.Time, raw cbor.RawMessage) (e registrar.Endpoint, err error) {
	var r endpointRecord
	if err := (&messenger.Envelope{Kind: kindEndpoints, Body: raw}).Decode(&r); err != nil {
		return e, err
	}
	e = registrar.Endpoint{ID: r.ID, Service: r.Service, Address: r.Address, Domain: r.Domain, Slots: r.Slots,
		State: r.State, Born: r.Born, Sequence: r.Sequence, Version: r.Version}
	if e.ColdUntil, err = registrar.ColdUntil(now, float64(r.ColdMillis)); err != nil {
		return e, err
	}
	return e, e.Check()
}
