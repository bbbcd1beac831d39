package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
)

// Guards against a panic, a blocked connection, or buffering more than the window when a peer sends arbitrary messages
// to a router or an agent.
func FuzzMessages(f *testing.F) {
	for kind, body := range map[uint8]any{
		kindRun:     &runMessage{ID: "a", Attempt: 1, TimeoutMillis: 1000, Limit: windowBytes, Body: []byte("x")},
		kindResume:  &resumeMessage{ID: "a", Attempt: 1, Offset: 3, Limit: -1, HasHead: true},
		kindCancel:  &attemptMessage{ID: "a", Attempt: 1},
		kindRefused: &refusedMessage{Reason: ReasonPoison},
		kindHead:    &headMessage{Head: Head{Status: 200}},
		kindData:    &dataMessage{Attempt: 1, Offset: 0, Data: []byte("heel")},
		kindEnd:     &endMessage{End: End{Outcome: OutcomeRan, Bytes: 4}},
		kindMoved:   &movedMessage{Chat: 5, Endpoint: "e2"},
		kindCredit:  &creditMessage{Consumed: 1 << 40, Limit: 1 << 40},
	} {
		raw, err := cbor.Marshal(body)
		assert.NilError(f, err)
		f.Add(kind, raw)
	}
	server := NewServer(f.Context(), handlerFunc(func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
		w.Start(Head{Status: 200})
		_, err := w.Write([]byte("heel"))
		return End{Outcome: OutcomeRan}, err
	}), messenger.Options{})
	c, addr := startPair(f, server.handler)
	conn, err := c.connect(f.Context(), addr, time.Time{})
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		s := newStream(c, addr, &Request{ID: "a", Attempt: 1, Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, s.attachTo(conn))
		for range 2 {
			_ = s.handleMessage(conn, &messenger.Envelope{Kind: kind, Stream: s.id, Body: raw})
		}
		pending := 0
		for _, p := range s.pending {
			pending += len(p)
		}
		assert.Assert(t, pending <= windowBytes)
		s.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ses := &session{
			server: server, transport: conn.transport, ctx: ctx, streams: map[uint64]*attachment{},
			heartbeat: newHeartbeat(conn.transport),
		}
		for range 2 {
			_ = ses.dispatch(&messenger.Envelope{Kind: kind, Stream: 1, Body: raw})
			ses.detach(1)
		}
	})
}
