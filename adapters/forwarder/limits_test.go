package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxExchangeBytes is the documented bound on the memory of one exchange in this package (docs/security.md).
const maxExchangeBytes = 512 << 10

// sendEndless writes a prefix and then a repeated part until the peer closes the connection.
func sendEndless(c net.Conn, prefix, part string) {
	if _, err := io.WriteString(c, prefix); err != nil {
		return
	}
	block := []byte(strings.Repeat(part, 1+(32<<10)/len(part)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// allocatedDuring returns the bytes that f allocates; other goroutines must be idle.
func allocatedDuring(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an endpoint that sends bytes without end: they filled the memory of the router until the deadline of
// the request.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	other := "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
	for _, c := range []struct {
		name, prefix, part, bound string
		inBody                    bool
	}{
		{name: "bytes without a status line", part: "x"},
		{name: "empty lines", part: "\r\n"},
		{name: "status line", prefix: "HTTP/1.1 200 ", part: "x", bound: BoundHeadBytes},
		{name: "header line", prefix: ok + "X-Long: ", part: "x", bound: BoundHeadBytes},
		{name: "header fields", prefix: ok, part: "X-More: 1\r\n", bound: BoundHeaderFields},
		{name: "long header fields", prefix: ok, part: "X-More: " + strings.Repeat("x", 1<<10) + "\r\n",
			bound: BoundHeadBytes},
		{name: "informational responses", part: "HTTP/1.1 103 Early Hints\r\n\r\n", bound: BoundInformationalResponses},
		{name: "responses to other requests", part: other + "Content-Length: 1\r\n\r\nx", bound: BoundSkippedResponses},
		{name: "body of another response", prefix: other + "Transfer-Encoding: chunked\r\n\r\n",
			part: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", bound: BoundSkippedBodyBytes},
		{name: "close-delimited response to another request", prefix: other + "\r\n", part: "x"},
		{name: "length above the bound", prefix: ok + "Content-Length: 99999999999\r\n\r\n", part: "x",
			bound: BoundBodyBytes},
		{name: "close-delimited body", prefix: ok + "\r\n", part: "x", bound: BoundBodyBytes, inBody: true},
		{name: "chunks", prefix: chunked, part: "1\r\nx\r\n", bound: BoundBodyBytes, inBody: true},
		{name: "chunk size above the bound", prefix: chunked + "fffffffff\r\n", part: "x", bound: BoundBodyBytes,
			inBody: true},
		{name: "chunk size of the largest integer", prefix: chunked + "1\r\nx\r\n7fffffffffffffff\r\n", part: "x",
			bound: BoundBodyBytes, inBody: true},
		{name: "chunk size line", prefix: chunked, part: "0", bound: BoundChunkLineBytes, inBody: true},
		{name: "chunk extension", prefix: chunked + "1;", part: "x", bound: BoundChunkLineBytes, inBody: true},
		{name: "chunk extensions", prefix: chunked, part: "1;" + strings.Repeat("x", 900) + "\r\nx\r\n",
			bound: BoundBodyBytes, inBody: true},
		{name: "trailer line", prefix: chunked + "0\r\n", part: "x", bound: BoundTrailerBytes, inBody: true},
		{name: "trailer fields", prefix: chunked + "0\r\n", part: "X-T: 1\r\n", bound: BoundTrailerBytes, inBody: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				if r, _ := readRequest(br); r != nil {
					sendEndless(conn, c.prefix, c.part)
				}
			})
			limits := DefaultLimits()
			limits.BodyBytes = 2 << 20
			p := NewPool(limits)
			var err, readErr error
			start := time.Now()
			allocated := allocatedDuring(func() {
				var resp *Response
				if resp, err = p.Send(context.Background(), newRequest(address, "1", nil)); err == nil {
					_, readErr = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
			var limitErr *LimitError
			if c.inBody {
				assert.NilError(t, err)
				err = readErr
			} else {
				var sendErr *Error
				assert.Assert(t, errors.As(err, &sendErr))
				assert.Equal(t, sendErr.Outcome, Unknown)
			}
			assert.Assert(t, err != nil)
			if c.bound != "" {
				assert.Assert(t, errors.As(err, &limitErr), "%v", err)
				assert.Equal(t, limitErr.Bound, c.bound)
				assert.Assert(t, limitErr.Seen > limitErr.Limit, "%v", limitErr)
			}
			assert.Assert(t, time.Since(start) < testTimeout/4, "%v", time.Since(start))
			assert.Assert(t, allocated < maxExchangeBytes, "%d bytes", allocated)
			assert.Equal(t, openCount(p, address), 0)
		})
	}
}

// Guards against bounds that reject sound responses: large heads, informational responses, chunk extensions and
// trailers within the bounds.
func TestResponsesWithinBoundsAreRead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	hint := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, c := range []struct{ name, response, want string }{
		{"large head", ok + "X-Long: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 4\r\n\r\nbody", "body"},
		{"many fields", ok + strings.Repeat("X-F: 1\r\n", 200) + "Content-Length: 4\r\n\r\nbody", "body"},
		{"informational", strings.Repeat(hint, 3) + formatResponse("1", "body"), "body"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n002\r\ndy\r\n0\r\nX-T: 1\r\n\r\n", "body"},
		{"line feeds only", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 4\n\nbody", "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				for {
					r, _ := readRequest(br)
					if r == nil {
						return
					}
					_, _ = io.WriteString(conn, strings.ReplaceAll(c.response, "X-Id: 1", "X-Id: "+r.Header.Get("X-Id")))
				}
			})
			p := NewPool(DefaultLimits())
			for _, id := range []string{"1", "2", "3"} {
				assert.Equal(t, sendAndRead(t, p, newRequest(address, id, nil)), c.want)
			}
			assert.Equal(t, p.DialCount(), uint64(1))
		})
	}
}

// Guards against a late second answer that is taken for the answer to the next request on the connection: one without
// an ID, and one whose head was cut off and continues with the next answer.
func TestLateAnswersOnReusedConnections(t *testing.T) {
	for _, c := range []struct{ name, late string }{
		{"failure without an ID", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"success without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"},
		{"half of a head", "HTTP/1.1 500 Internal Server Error\r\nX-Half: "},
		{"half of a status line", "HTTP/1.1 5"},
		{"status without a reason", "HTTP/1.1 421 "},
		{"half of a reason", "HTTP/1.1 503 Serv"},
		{"half of a head with an ID", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Half: "},
		{"half of a body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 500\r\n\r\nhalf"},
		{"a second ID", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nother"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				for {
					r, _ := readRequest(br)
					if r == nil {
						return
					}
					id := r.Header.Get("X-Id")
					// Arrives after the check of the idle connection.
					if id != "1" {
						_, _ = io.WriteString(conn, c.late)
					}
					_, _ = io.WriteString(conn, formatResponse(id, "answer "+id))
					if id != "1" {
						return
					}
				}
			})
			p := NewPool(DefaultLimits())
			assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "answer 1")
			resp, err := p.Send(context.Background(), newRequest(address, "2", nil))
			if err == nil {
				body, readErr := io.ReadAll(resp.Body)
				assert.Assert(t, readErr != nil || resp.Status == 200 && string(body) == "answer 2", "%d %q", resp.Status, body)
				assert.NilError(t, resp.Body.Close())
				return
			}
			var sendErr *Error
			assert.Assert(t, errors.As(err, &sendErr))
			assert.Equal(t, sendErr.Outcome, Unknown)
		})
	}
}

// Guards against a request without an ID on a connection on which a late answer may arrive.
func TestRequestsWithoutAnIDUseNewConnections(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			if r, _ := readRequest(br); r == nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+strconv.Itoa(n))
		}
	})
	p := NewPool(DefaultLimits())
	for _, want := range []string{"1", "2"} {
		assert.Equal(t, sendAndRead(t, p, newRequest(address, "", nil)), want)
	}
}
