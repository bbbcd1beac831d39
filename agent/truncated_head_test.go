package agent

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
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
				stats, err := forwardOnce(t, func(conn net.Conn) {
					_, _ = io.WriteString(conn, c.head[:cut])
					if tc, ok := conn.(*net.TCPConn); ok && resets {
						_ = tc.SetLinger(0)
					}
				})
				assert.Assert(t, err != nil, "%s cut at byte %d", c.name, cut)
				assert.Assert(t, stats.mayHaveRun)
			}
		}
	}
}
