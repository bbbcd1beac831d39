package transporter

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/slowlinker"
	"cactusroute.dev/core/replicator"
)

// slowLinkBytesPerSecond is the rate that remains for one of many connections that share a link.
const slowLinkBytesPerSecond = 200_000

// Guards against a large entry that never reaches a replica over a slow link: no pong came while it was on its way, so
// that its sender closed the connection, and the next one began with its first byte.
func TestLargeAppendReachesAReplicaOverASlowLink(t *testing.T) {
	const duration = 2 * silenceTimeout
	data := make([]byte, slowLinkBytesPerSecond*int(duration/time.Millisecond)/1000)
	for i := range data {
		data[i] = byte(rand.Uint32()) // can't be compressed
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	received := make(chan int, 1)
	b := New("b", messenger.Options{}, func(m Message) {
		if m.Consensus != nil && len(m.Consensus.Data) > 0 {
			received <- len(m.Consensus.Data)
		}
	})
	go func() { _ = b.Serve(ctx) }()
	hs := httptest.NewServer(b.Handler())
	t.Cleanup(hs.Close)
	a := New("a", messenger.Options{}, func(Message) {})
	link := slowlinker.New(t, strings.TrimPrefix(hs.URL, "http://"), slowLinkBytesPerSecond)
	a.Connect("b", link.Address)
	go func() { _ = a.Serve(ctx) }()
	l := a.links["b"]
	deadline := time.After(10 * duration)
	resend := time.NewTicker(2 * duration) // as the consensus protocol does
	defer resend.Stop()
	for !l.connected.Load() {
		time.Sleep(time.Millisecond)
	}
	for {
		a.SendConsensus("b", "cluster", replicator.Message{Kind: replicator.MsgAppend, Data: data})
		select {
		case n := <-received:
			assert.Equal(t, n, len(data))
			assert.Equal(t, link.Conns(), int64(1))
			return
		case <-resend.C:
		case <-deadline:
			t.Fatal("the append has not arrived")
		}
	}
}
