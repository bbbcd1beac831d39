package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

// Guards against callers that send without an end behind a request in progress, which nobody reads, and against a bound
// on it that applies to programs whose settings state no memory.
func TestUnreadBytesOfAConnectionAreBounded(t *testing.T) {
	const descriptors = 2870
	for _, c := range []struct {
		name     string
		machine  configurer.Machine
		maxBytes int // 0 means no bound
	}{
		{"stated", configurer.Machine{MemoryBytes: 64 << 20, Descriptors: descriptors}, 64 << 10},
		{"not stated", configurer.Machine{}, 0},
	} {
		res := NewResources(c.machine, observer.New(io.Discard, "test"))
		held := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		g := res.CallerGuard()
		l, err := g.Listen(ctx, "127.0.0.1:0")
		assert.NilError(t, err)
		hs := &http.Server{ReadHeaderTimeout: testTimeout, ConnContext: WithConn,
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-held })}
		g.Install(hs, &ConnCount{})
		go func() { _ = hs.Serve(&guardedListener{Listener: l, guard: g}) }()
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		tc, ok := conn.(*net.TCPConn)
		assert.Assert(t, ok)
		assert.NilError(t, tc.SetWriteBuffer(4<<10))
		_, err = io.WriteString(conn, getHead+"\r\n")
		assert.NilError(t, err)
		sent := 0
		for err == nil {
			var n int
			_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err = io.WriteString(conn, strings.Repeat("x", 1<<10))
			sent += n
		}
		assert.Assert(t, os.IsTimeout(err), "%v", err)
		assert.Check(t, c.maxBytes == 0 || sent <= c.maxBytes, "%s: %d bytes", c.name, sent)
		assert.Equal(t, g.receiveBytes > 0, c.maxBytes > 0, c.name)
		close(held)
		_ = conn.Close()
		_ = hs.Close()
		cancel()
	}
}
