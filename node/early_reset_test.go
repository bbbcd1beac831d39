package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/forwarder"
)

// Guards against a part of a response that a caller gets as a complete one because the endpoint resets or ends the
// connection while the upload is still being written, at one attempt or at both.
func TestResetDuringUploadIsNotACompleteResponse(t *testing.T) {
	const uploadBytes = 16 << 20
	for _, c := range []struct {
		name, path, header string
		isChunked, isReset bool
	}{
		{"once", "/once/", "", false, true},
		{"repeatable, both attempts", "/safe/", "", false, true},
		{"chunks", "/safe/", "", true, true},
		{"expects 100", "/once/", "Expect: 100-continue\r\n", false, true},
		{"end", "/once/", "", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go answerEarly(ln, c.isReset)
			plan := testPlan(1)
			plan.Limits.BodyBytes = 2 * uploadBytes
			p := newTestProxy(t, plan, &fakeEndpoint{address: ln.Addr().String(), listener: ln})
			p.pool = forwarder.NewPool(forwarder.DefaultLimits())
			address := p.serveFront(t)
			for range 10 {
				conn, err := net.Dial("tcp", address)
				assert.NilError(t, err)
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				go func() {
					framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadBytes)
					if c.isChunked {
						framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", uploadBytes)
					}
					_, _ = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h.example\r\nReq-Id: id-1\r\nApi-Key: key\r\n"+
						c.header+framing+strings.Repeat("x", uploadBytes)+"\r\n0\r\n\r\n")
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					var body []byte
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					assert.Check(t, err != nil || resp.StatusCode != http.StatusOK, "%d bytes are complete", len(body))
				}
				assert.NilError(t, conn.Close())
			}
		})
	}
}

// answerEarly answers each request after its head with a part of a response without a length.
func answerEarly(ln net.Listener, isReset bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\n\r\npart", r.Header.Get("Req-Id"))
			}
			if tc, ok := c.(*net.TCPConn); ok && isReset {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}()
	}
}
