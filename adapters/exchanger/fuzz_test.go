package exchanger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
)

// Guards against a message of another node that crashes the process.
func FuzzMessages(f *testing.F) {
	var loads loadEncoder
	for kind, m := range map[uint8]any{
		kindLoads: loads.encode(time.Now(), Loads{"a": {Requests: 3, Wanted: 9}, "b": {Requests: 1,
			Rate: chooser.RateLoad{PerSecond: 8, IsNamed: true, ObservedAt: time.Now(), Sent: 3}}}),
		kindEndpoints: endpointsMessage{Full: true, Records: []endpointRecord{{ID: "a", Service: "s", Address: "10.0.0.1:80",
			State: registrar.Ready, Slots: 8, Sequence: 1, ColdMillis: 5}, {ID: "b", State: 9}}},
		kindHeartbeat: heartbeatMessage{Quorate: true, QuorateInstances: []Contact{{Name: "n"}}},
		kindState:     stateMessage{Index: 3, Version: 2, Plan: []byte{1, 2}},
		kindSuspects:  []Suspect{{Fingerprint: 1, Endpoint: "a#1"}},
		kindStreams: streamsMessage{Origins: []originRecord{{Service: "s", Version: "v1"}},
			Streams: []streamRecord{{Key: 1, LeftMillis: 5}}},
		kindStreamQuery:  streamQueryMessage{Key: 1},
		kindStreamAnswer: streamAnswerMessage{Known: true, Service: "s", Version: "v1"},
		kindEvidence: evidenceMessage{Suspects: []suspectRecord{{Start: "a#1", Parts: []attributor.Part{1}}},
			Answers: []answerRecord{{Part: 1, AgeMillis: 5}}, Convictions: []convictionRecord{{Part: 1, Revision: 1}}},
	} {
		body, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(kind, body)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		dec := decoders{heartbeats: heartbeatDecoder{pings: &sentPings{}}}
		dec.loads.ids = []string{"a", "b"}
		switch e := (messenger.Envelope{Kind: kind, Body: body}); kind {
		case kindLoads:
			var m loadsMessage
			if e.Decode(&m) == nil {
				_, _ = dec.loads.decode(time.Now(), &m)
			}
		case kindHeartbeat:
			var m heartbeatMessage
			if e.Decode(&m) == nil {
				_ = dec.heartbeats.decode(&m)
			}
		case kindState:
			var m stateMessage
			if e.Decode(&m) == nil {
				_, _ = decompressPlan(&m)
			}
		case kindEndpoints:
			var m receivedEndpointsMessage
			if e.Decode(&m) == nil {
				useRecords(t, m.Records)
			}
		case kindSuspects:
			var list []Suspect
			_ = e.Decode(&list)
		case kindEvidence:
			var m evidenceMessage
			if e.Decode(&m) == nil {
				_, _ = decodeEvidence(time.Now(), &m)
			}
		case kindStreams:
			var m streamsMessage
			if e.Decode(&m) == nil {
				_, _ = decodeStreams(time.Now(), &m)
			}
		case kindStreamQuery:
			var m streamQueryMessage
			_ = e.Decode(&m)
		case kindStreamAnswer:
			var m streamAnswerMessage
			_ = e.Decode(&m)
		}
	})
}

// useRecords does with received records what a node does: it merges, logs and sends them.
func useRecords(t *testing.T, records []cbor.RawMessage) {
	now := time.Unix(1000, 0)
	list, rejected, err := decodeEndpoints(now, records)
	if len(list)+rejected != len(records) || (rejected > 0) != (err != nil) {
		t.Fatalf("%d of %d records accepted, %d rejected: %v", len(list), len(records), rejected, err)
	}
	table := registrar.New(time.Second)
	for _, e := range list {
		if table.Merge(now, e) == registrar.Invalid {
			t.Fatalf("invalid record %+v accepted", e)
		}
		_ = e.State.String()
	}
	table.Expire(now)
	_ = table.RegisteredEndpoints()
	body, err := cbor.Marshal(endpointsMessage{Full: true, Records: encodeEndpoints(now, table.All())})
	if err != nil {
		t.Fatal(err)
	}
	var m receivedEndpointsMessage
	if err := (&messenger.Envelope{Kind: kindEndpoints, Body: body}).Decode(&m); err != nil {
		t.Fatal(err)
	}
	if sent, rejected, err := decodeEndpoints(now, m.Records); rejected > 0 || len(sent) != len(table.All()) {
		t.Fatalf("%d of %d records accepted after they were sent on: %v", len(sent), len(table.All()), err)
	}
}
