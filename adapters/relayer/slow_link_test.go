package relayer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
)

const (
	slowLinkBytesPerSecond = 200_000
	slowLinkBufferBytes    = 16 << 10
)

// slowLink returns the address of a proxy that passes at most slowLinkBytesPerSecond on to an agent, and counts its
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

// Guards against an agent that closes a connection on which a large request is arriving over a slow link, because the
// keepalives wait behind it, so that the request is sent again from its first byte.
func TestLargeRequestKeepsItsConnectionOverASlowLink(t *testing.T) {
	t.Parallel()
	duration := 2 * heartbeatLimits.FailAfter
	var runs, conns atomic.Int64
	end := make(chan struct{})
	_, proxy, _ := setup(t, func(ctx context.Context, req Request, w *ResponseBuffer) (End, error) {
		runs.Add(1)
		w.Start(Head{Status: http.StatusOK})
		if req.ID == "long" {
			select {
			case <-end:
			case <-ctx.Done():
			}
		}
		return End{Outcome: OutcomeRan}, nil
	}, modeForward)
	c := NewClient(t.Context(), messenger.Options{})
	addr := slowLink(t, proxy.addr(), &conns)
	start := func(id string, body []byte) *Stream {
		req := request(id)
		req.Deadline, req.Body = time.Now().Add(time.Minute), body
		s, err := c.Start(t.Context(), addr, req)
		assert.NilError(t, err)
		return s
	}
	long := start("long", nil)
	body := make([]byte, slowLinkBytesPerSecond*int(duration/time.Millisecond)/1000)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	large := start("large", body)
	_, err := readAll(large)
	assert.NilError(t, err)
	close(end)
	_, err = readAll(long)
	assert.NilError(t, err)
	assert.Equal(t, runs.Load(), int64(2))
	assert.Equal(t, conns.Load(), int64(1))
}
