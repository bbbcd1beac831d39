package transporter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/replicator"
)

const (
	slowLinkBytesPerSecond = 200_000
	slowLinkBufferBytes    = 16 << 10
)

// slowLink returns the address of a proxy that passes at most slowLinkBytesPerSecond on to a target, and counts its
// connections.
func slowLink(t *testing.T, target string, conns *atomic.Int64) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go relaySlowly(client, target)
		}
	}()
	return ln.Addr().String()
}

func relaySlowly(client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	_ = client.(*net.TCPConn).SetReadBuffer(slowLinkBufferBytes)
	go func() { _, _ = io.Copy(client, server) }()
	const piece = slowLinkBytesPerSecond / 50
	for {
		if _, err := io.CopyN(server, client, piece); err != nil {
			return
		}
		time.Sleep(time.Second / 50)
	}
}

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
	var conns atomic.Int64
	a.Connect("b", slowLink(t, strings.TrimPrefix(hs.URL, "http://"), &conns))
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
			assert.Equal(t, conns.Load(), int64(1))
			return
		case <-resend.C:
		case <-deadline:
			t.Fatal("the append has not arrived")
		}
	}
}
