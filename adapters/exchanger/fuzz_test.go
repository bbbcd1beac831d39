package exchanger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/chooser"
)

// Guards against a message of another node that crashes the process.
func FuzzMessages(f *testing.F) {
	var loads loadEncoder
	for kind, m := range map[uint8]any{
		kindLoads: loads.encode(time.Now(), Loads{"a": {Requests: 3, Wanted: 9}, "b": {Requests: 1,
			Rate: chooser.RateLoad{PerSecond: 8, IsNamed: true, ObservedAt: time.Now(), Sent: 3}}}),
		kindEndpoints: endpointsMessage{Full: true, Records: []endpointRecord{{ID: "a", Service: "s", Sequence: 1}}},
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
	f.Fuzz(func(_ *testing.T, kind uint8, body []byte) {
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
			var m endpointsMessage
			_ = e.Decode(&m)
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
