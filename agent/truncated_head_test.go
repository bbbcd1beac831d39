package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
)

// Guards against a response of an endpoint that ends inside its head and is sent to the router, or recorded as the
// outcome of an operation, as complete.
func TestResponseThatEndsInsideItsHeadIsNoResponse(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		for _, resets := range []bool{false, true} {
			for cut := range c.head {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				go func() {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, c.head[:cut])
					if tc, ok := conn.(*net.TCPConn); ok && resets {
						_ = tc.SetLinger(0)
					}
				}()
				url := "http://" + ln.Addr().String()
				a := &Agent{settings: Settings{Endpoint: url}, endpoint: newEndpoint(url)}
				req := &relayer.Request{Method: http.MethodPost, Path: "/", Operation: &relayer.Operation{ID: "op"}}
				stats, err := a.forward(t.Context(), req, bundler.PoolService, relayer.NewRecorder())
				assert.Assert(t, err != nil, "%s cut at byte %d", c.name, cut)
				assert.Assert(t, stats.mayHaveRun)
				assert.NilError(t, ln.Close())
			}
		}
	}
}
