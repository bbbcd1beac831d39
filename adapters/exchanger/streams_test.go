package exchanger

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
)

// Guards against streams that arrive with another origin than they were sent with, or not at all.
func TestStreamsArriveWithTheirOrigins(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := make([]resumer.Stream, 0, 3*maxStreamRecords)
	for i := range 3 * maxStreamRecords {
		o := resumer.Origin{Service: "llm", Version: "v" + string(rune('a'+i%26)) + string(rune('a'+i/26%26))}
		sent = append(sent, resumer.Stream{Key: resumer.Key(i), Origin: o,
			Until: now.Add(time.Duration(1+i) * time.Second), Renewal: uint16(i % 3 / 2)})
	}
	got := make([]resumer.Stream, 0, len(sent))
	for _, m := range encodeStreams(now, sent) {
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		var received streamsMessage
		assert.NilError(t, cbor.Unmarshal(data, &received))
		list, err := decodeStreams(now, &received)
		assert.NilError(t, err)
		got = append(got, list...)
	}
	assert.DeepEqual(t, got, sent)
}

// Guards against records that take more of the exchange than 20 bytes for each stream.
func TestStreamRecordsAreSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	list := make([]resumer.Stream, 0, 100)
	for i := range 100 {
		list = append(list, resumer.Stream{Key: resumer.NewKey("w", "h", "/", string(rune(i))),
			Origin: resumer.Origin{Service: "service", Version: "v1"}, Until: now.Add(12 * time.Second)})
	}
	data, err := cbor.Marshal(encodeStreams(now, list)[0])
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 20*len(list), "%d bytes", len(data))
}

// Guards against messages of a faulty peer that are taken for streams.
func TestInvalidStreamsMessagesAreRejected(t *testing.T) {
	long := strings.Repeat("v", maxOriginNameBytes+1)
	for _, c := range []struct {
		name string
		m    streamsMessage
	}{
		{"unknown origin", streamsMessage{Streams: []streamRecord{{Key: 1}}}},
		{"too many streams", streamsMessage{Origins: make([]originRecord, 1),
			Streams: make([]streamRecord, maxStreamRecords+1)}},
		{"too many origins", streamsMessage{Origins: make([]originRecord, maxStreamOrigins+1)}},
		{"renewals of other streams", streamsMessage{Origins: make([]originRecord, 1), Streams: make([]streamRecord, 2),
			Renewals: make([]uint16, 1)}},
		{"long name", streamsMessage{Origins: []originRecord{{Version: long}}}},
	} {
		_, err := decodeStreams(time.Now(), &c.m)
		assert.Assert(t, err != nil, c.name)
	}
}

// Guards against a subscriber that takes the answer for a stream as a confirmation of the versions of endpoints, but is
// sent a change that the instance knew before only after it, and against an answer of an instance that can't be sure.
func TestStreamAnswerFollowsTheEndpoints(t *testing.T) {
	const rounds = 50
	s, r := &fakeSource{quorate: true}, &fakeReceiver{}
	var server *Server
	var queries atomic.Int64
	s.onStreamQuery = func() {
		server.PublishEndpoints([]registrar.Endpoint{{ID: fmt.Sprint("new", queries.Add(1)), Service: "s",
			Address: "127.0.0.1:1", State: registrar.Ready}})
	}
	server = NewServer(messenger.Options{}, s)
	hs := httptest.NewServer(server)
	t.Cleanup(hs.Close)
	sub, err := Subscribe(t.Context(), Contact{Address: strings.TrimPrefix(hs.URL, "http://")}, Contact{Name: "router"},
		messenger.Options{}, r, nil, Evidence{})
	assert.NilError(t, err)
	go func() { _ = sub.Receive(t.Context(), r) }()
	assert.NilError(t, sub.QueryStream(t.Context(), 1000, unconfirmedKey))
	waitFor(t, "the first query", func() bool { return r.hasRecorded("new1 ready") })
	for n := uint64(2); n <= rounds; n++ {
		assert.NilError(t, sub.QueryStream(t.Context(), n, 5))
		answer := fmt.Sprintf("answer %d v5 true", n)
		waitFor(t, answer, func() bool { return r.hasRecorded(answer) })
		r.mu.Lock()
		recorded := strings.Join(r.recorded, "\n")
		r.mu.Unlock()
		assert.Assert(t, strings.Index(recorded, fmt.Sprintf("new%d ready", n)) < strings.Index(recorded, answer), recorded)
	}
	assert.Assert(t, !r.hasRecorded("answer 1000"))
}
