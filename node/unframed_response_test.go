package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawResponse is a response as a caller's connection shows it.
type rawResponse struct {
	header   http.Header
	framed   bool // has a length, chunks or no body by definition
	complete bool // ended as its framing says, or without a reset if it has none
	body     string
	closed   bool // the connection was closed after it
}

// rawCall sends a request in the given protocol version on a new connection that the caller keeps open.
func (p *testProxy) rawCall(t *testing.T, proto, method, path, body string) rawResponse {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	const format = "%s %s %s\r\nHost: h.example\r\nReq-Id: id-1\r\nApi-Key: key\r\nContent-Length: %d\r\n\r\n%s"
	_, err = fmt.Fprintf(conn, format, method, path, proto, len(body), body)
	assert.NilError(t, err)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return rawResponse{closed: true}
	}
	defer func() { _ = resp.Body.Close() }()
	got := rawResponse{header: resp.Header, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
	data, err := io.ReadAll(resp.Body)
	got.body, got.complete = string(data), err == nil
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = br.ReadByte()
	}
	got.closed = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	return got
}

// responseEnd is how an endpoint ends a response.
type responseEnd uint8

const (
	endClose responseEnd = iota // FIN
	endReset                    // RST
	endStall                    // nothing until the deadline or the stall timeout
)

// unframedEndpoint sends a response without a length or chunks.
func unframedEndpoint(t *testing.T, proto, status, header, body string, end responseEnd) *fakeEndpoint {
	return newFakeEndpoint(t, func(req *receivedRequest) {
		_, _ = io.WriteString(req.conn, proto+" "+status+"\r\nReq-Id: id-1\r\n"+header+"\r\n"+body)
		switch end {
		case endReset:
			time.Sleep(50 * time.Millisecond) // the proxy reads the body first
			if c, ok := req.conn.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
		case endStall:
			time.Sleep(2 * time.Second)
		case endClose:
		}
		_ = req.conn.Close()
	})
}

const (
	plainType  = "Content-Type: text/plain\r\n"
	streamType = "Content-Type: text/event-stream\r\n"
	twoEvents  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// Guards against a response whose end is only the end of the endpoint's connection, so that a failure of the endpoint
// looks the same, and that reaches its caller with a length or a last chunk, as if its end were known.
func TestUnframedResponseIsNotFramedAsComplete(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	for _, c := range []struct{ name, path, proto, status, header, body string }{
		{"plain, once", "/once/", "HTTP/1.1", "200 OK", plainType, "12345678"},
		{"plain, repeatable", "/safe/", "HTTP/1.1", "200 OK", plainType, "12345678"},
		{"empty", "/once/", "HTTP/1.1", "200 OK", plainType, ""},
		{"above the buffer", "/once/", "HTTP/1.1", "200 OK", plainType, large},
		{"HTTP/1.0", "/once/", "HTTP/1.0", "200 OK", plainType, "12345678"},
		{"stream between events", "/stream/", "HTTP/1.1", "200 OK", streamType, twoEvents},
		{"resumable stream between events", "/resume/", "HTTP/1.1", "200 OK", streamType, twoEvents},
		{"JSON on a stream route", "/stream/", "HTTP/1.1", "200 OK", "Content-Type: application/json\r\n", `{"a":1}`},
		{"client error", "/once/", "HTTP/1.1", "404 Not Found", plainType, "none"},
		{"kept server error", "/safe/", "HTTP/1.1", "500 Internal Server Error", plainType, "failed"},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(c.name+" to "+proto, func(t *testing.T) {
				p := newTestProxy(t, testPlan(1), unframedEndpoint(t, c.proto, c.status, c.header, c.body, endClose))
				got := p.rawCall(t, proto, http.MethodPost, c.path, "b")
				assert.Assert(t, !got.framed, "%v", got.header)
				assert.Assert(t, got.complete && got.closed)
				assert.Equal(t, got.body, c.body)
			})
		}
	}
}

// Guards against a response without framing that breaks off and whose connection to the caller ends without an error,
// which is how complete ones end.
func TestBrokenUnframedResponseResetsTheCaller(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name, path, header, body string
		end                      responseEnd
	}{
		{"plain above the buffer, reset", "/once/", plainType, large, endReset},
		{"plain above the buffer, deadline", "/short/", plainType, large, endStall},
		{"stream, reset between events", "/stream/", streamType, twoEvents, endReset},
		{"stream, closed inside an event", "/stream/", streamType, twoEvents + "id: 3\nda", endClose},
		{"stream, stalled", "/stall/", streamType, twoEvents, endStall},
		{"resumable stream without another endpoint, reset", "/resume/", streamType, twoEvents, endReset},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(c.name+" to "+proto, func(t *testing.T) {
				plan := testPlan(1)
				stall := plan.Routes[3]
				stall.Name, stall.Prefix, stall.StallMillis = "stall", "/stall/", 300
				plan.Routes = append(plan.Routes, stall)
				p := newTestProxy(t, plan, unframedEndpoint(t, "HTTP/1.1", "200 OK", c.header, c.body, c.end))
				got := p.rawCall(t, proto, http.MethodPost, c.path, "b")
				assert.Assert(t, !got.complete, "%d bytes, framed %v", len(got.body), got.framed)
			})
		}
	}
}

// Guards against callers without chunks (HTTP/1.0) that take a framed response of unknown length for complete although
// its framing shows that it broke off.
func TestBrokenChunksResetCallersWithoutChunks(t *testing.T) {
	for _, c := range []struct{ name, path, header, body string }{
		{"plain above the buffer", "/once/", plainType, strings.Repeat("x", 2<<20)},
		{"stream", "/stream/", streamType, twoEvents},
		{"resumable stream", "/resume/", streamType, twoEvents},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := newFakeEndpoint(t, func(req *receivedRequest) {
				_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
					c.header, len(c.body), c.body)
				_ = req.conn.Close()
			})
			got := newTestProxy(t, testPlan(1), broken).rawCall(t, "HTTP/1.0", http.MethodPost, c.path, "b")
			assert.Assert(t, !got.complete, "%d bytes", len(got.body))
		})
	}
}

// Guards against a stream that began with chunks, was resumed by a response without framing, and ends with the last
// chunk although only the connection of the second endpoint ended.
func TestChunkedStreamResumedWithoutFraming(t *testing.T) {
	for _, hasThird := range []bool{false, true} {
		t.Run(fmt.Sprint("third endpoint ", hasThird), func(t *testing.T) {
			plan := testPlan(1)
			plan.Routes[4].MaxAttempts = 3
			respond := func(req *receivedRequest) {
				switch req.r.Header.Get("Last-Event-Id") {
				case "":
					_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n"+streamType+
						"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
				case "1":
					_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n"+streamType+"\r\nid: 2\ndata: b\n\n")
				default:
					req.respond("200 OK", streamType, "")
					return
				}
				_ = req.conn.Close()
			}
			endpoints := []*fakeEndpoint{newFakeEndpoint(t, respond), newFakeEndpoint(t, respond)}
			if hasThird {
				endpoints = append(endpoints, newFakeEndpoint(t, respond))
			}
			got := newTestProxy(t, plan, endpoints...).rawCall(t, "HTTP/1.1", http.MethodPost, "/resume/", "b")
			assert.Equal(t, got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
			assert.Equal(t, got.complete, hasThird)
		})
	}
}

// Guards against a node that stops in the middle of a response without framing and ends the caller's connection as if
// the response were complete.
func TestStoppedNodeResetsUnframedResponses(t *testing.T) {
	p := newTestProxy(t, testPlan(1), unframedEndpoint(t, "HTTP/1.1", "200 OK", streamType, twoEvents, endStall))
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /stream/ HTTP/1.1\r\nHost: h.example\r\nReq-Id: id-1\r\nApi-Key: key\r\n"+
		"Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, len(twoEvents))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	p.server.CloseClientConnections()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
}

// Guards against responses that have no body by definition, or a known end, and lose their connection or framing.
func TestFramedResponsesKeepTheirFraming(t *testing.T) {
	for _, c := range []struct{ name, method, path, response, body string }{
		{"length", http.MethodPost, "/once/", "200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"chunks", http.MethodPost, "/stream/", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"no content", http.MethodPost, "/once/", "204 No Content\r\n\r\n", ""},
		{"not modified", http.MethodGet, "/once/", "304 Not Modified\r\n\r\n", ""},
		{"HEAD", http.MethodHead, "/once/", "200 OK\r\nContent-Length: 7\r\n\r\n", ""},
		{"HEAD without a length", http.MethodHead, "/once/", "200 OK\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(req *receivedRequest) {
				status, rest, _ := strings.Cut(c.response, "\r\n")
				_, _ = io.WriteString(req.conn, "HTTP/1.1 "+status+"\r\nReq-Id: id-1\r\n"+rest)
			})
			got := newTestProxy(t, testPlan(1), e).rawCall(t, "HTTP/1.1", c.method, c.path, "")
			assert.Assert(t, got.complete && !got.closed)
			assert.Equal(t, got.body, c.body)
		})
	}
}
