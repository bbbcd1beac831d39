package exchanger

import (
	"slices"
	"time"

	"cactusroute.dev/core/registrar"
)

const (
	// Path is where Server is mounted.
	SubscriptionPath = "/exchange/v2"

	// MeetPath is where a Meeting is mounted.
	DiscoveryPath = "/meet/v1"

	// beatInterval keeps a subscriber within silenceLimit after one lost beat and one late one.
	heartbeatInterval = 300 * time.Millisecond

	// silenceLimit is well below the 3 s after which a process counts as connected again, so that a subscriber of an
	// instance that went silent has moved to another one before.
	silenceTimeout = time.Second

	// dialLimit bounds the attempt to reach a control instance, so that two of them fit into the same 3 s.
	dialTimeout = 500 * time.Millisecond

	// loadInterval is how often routers exchange the numbers of their requests at each endpoint. They pass three links
	// at most, and within 150 ms some two requests reach the endpoint of a key that gets a tenth of the traffic.
	loadInterval = 50 * time.Millisecond

	// loadEntries is the number of endpoints for each of which the pause between two exchanges grows by one interval, so
	// that the bytes a second stay bounded in large fleets.
	loadEntriesPerInterval = 64

	// loadRefresh is how often numbers that don't change are repeated; they count for a second.
	loadRefreshInterval = 600 * time.Millisecond

	// maxMessageBytes holds a plan of the largest accepted size with its framing.
	maxMessageBytes = 8 << 20
)

// The kinds of envelopes.
const (
	kindHello uint8 = iota + 1
	kindPing
	kindState
	kindEndpoints
	kindHeartbeat
	kindSuspects
	kindLoads
)

// Contact tells who a process is and where it is reached.
type Contact struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host:port of the exchange
	Control string `cbor:"3,keyasint"` // host:port of the control interface
	Domain  string `cbor:"4,keyasint"`
	// Eligible instances have a disk and may vote.
	Eligible bool `cbor:"5,keyasint,omitempty"`
}

// Beat is the periodic message of a control instance.
type Heartbeat struct {
	// Quorate is whether a majority of the control group confirmed this instance lately.
	Quorate          bool
	Routers          int       // processes that route requests, as far as known
	QuorateInstances []Contact // control instances that are quorate
	// Attached is the number of subscribers of this instance that are no control instances.
	SubscribedRouters int
}

// beatMessage leaves the control instances out while they are those of the beat before.
type heartbeatMessage struct {
	Quorate           bool      `cbor:"1,keyasint"`
	Routers           int       `cbor:"2,keyasint"`
	QuorateInstances  []Contact `cbor:"3,keyasint,omitempty"`
	SubscribedRouters int       `cbor:"4,keyasint"`
	SameInstances     bool      `cbor:"5,keyasint,omitempty"`
}

// beatEncoder and beatDecoder hold the control instances of the last beat of a connection.
type heartbeatEncoder struct {
	instances []Contact
	sent      bool
}

func (e *heartbeatEncoder) encode(b Heartbeat) heartbeatMessage {
	m := heartbeatMessage{Quorate: b.Quorate, Routers: b.Routers, QuorateInstances: b.QuorateInstances,
		SubscribedRouters: b.SubscribedRouters}
	if e.sent && slices.Equal(e.instances, b.QuorateInstances) {
		m.QuorateInstances, m.SameInstances = nil, true
	}
	e.instances, e.sent = b.QuorateInstances, true
	return m
}

type heartbeatDecoder struct{ instances []Contact }

func (d *heartbeatDecoder) decode(m *heartbeatMessage) Heartbeat {
	if !m.SameInstances {
		d.instances = m.QuorateInstances
	}
	return Heartbeat{Quorate: m.Quorate, Routers: m.Routers, QuorateInstances: d.instances,
		SubscribedRouters: m.SubscribedRouters}
}

// loadPause returns the least time between two exchanges of so many entries.
func minLoadInterval(entries int) time.Duration {
	return loadInterval * time.Duration(entries/loadEntriesPerInterval)
}

// Suspect is a request that ran at an endpoint when that one broke off.
type Suspect struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Endpoint    string `cbor:"2,keyasint"` // with its start, so that a restarted one counts anew
}

type helloMessage struct {
	Contact Contact `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"` // of the plan that the subscriber holds
	Index   uint64  `cbor:"3,keyasint"` // of the state that the subscriber holds
}

// stateMessage leaves the plan out when the subscriber holds its version.
type stateMessage struct {
	Index    uint64   `cbor:"1,keyasint"`
	Plan     []byte   `cbor:"2,keyasint,omitempty"` // packed content of the version
	TakenOut []string `cbor:"3,keyasint,omitempty"`
	Version  uint64   `cbor:"4,keyasint"`
}

type endpointsMessage struct {
	// Whole messages list all endpoints.
	Full    bool             `cbor:"1,keyasint,omitempty"`
	Records []endpointRecord `cbor:"2,keyasint"`
}

// record is an endpoint with its remaining cold time, because clocks of processes are not compared.
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
}

func encodeEndpoints(now time.Time, list []registrar.Endpoint) []endpointRecord {
	records := make([]endpointRecord, 0, len(list))
	for _, e := range list {
		r := endpointRecord{ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
			State: e.State, Born: e.Born, Sequence: e.Sequence}
		if e.ColdUntil.After(now) {
			r.ColdMillis = e.ColdUntil.Sub(now).Milliseconds()
		}
		records = append(records, r)
	}
	return records
}

func decodeEndpoints(now time.Time, records []endpointRecord) []registrar.Endpoint {
	list := make([]registrar.Endpoint, 0, len(records))
	for _, r := range records {
		e := registrar.Endpoint{ID: r.ID, Service: r.Service, Address: r.Address, Domain: r.Domain, Slots: r.Slots,
			State: r.State, Born: r.Born, Sequence: r.Sequence}
		if r.ColdMillis > 0 {
			e.ColdUntil = now.Add(time.Duration(r.ColdMillis) * time.Millisecond)
		}
		list = append(list, e)
	}
	return list
}
