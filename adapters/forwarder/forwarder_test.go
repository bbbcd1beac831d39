package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTimeout = 20 * time.Second

// serve runs handle for each accepted connection; n numbers the connections from 1.
func serve(t *testing.T, handle func(n int, c net.Conn, br *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func newRequest(address, id string, body []byte) *Request {
	return &Request{Address: address, Method: http.MethodPost, Target: "/a/b?c=%2F&d", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Body: body, Deadline: time.Now().Add(testTimeout), IDHeader: "X-Id", ID: id}
}

func formatResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// readRequest reads a request with its body; it returns nil at the end of the connection.
func readRequest(br *bufio.Reader) (*http.Request, []byte) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, nil
	}
	return r, body
}

func sendAndRead(t *testing.T, p *Pool, r *Request) string {
	t.Helper()
	resp, err := p.Send(context.Background(), r)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(body)
}

// Guards against requests that are changed on the way to the endpoint.
func TestRequestIsSentUnchanged(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, got := readRequest(br)
			if r == nil {
				return
			}
			ok := r.RequestURI == "/a/b?c=%2F&d" && r.Host == "h.example" && bytes.Equal(got, body)
			_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), strconv.FormatBool(ok)))
		}
	})
	p := NewPool(DefaultLimits())
	for _, id := range []string{"1", "2", "3"} {
		assert.Equal(t, sendAndRead(t, p, newRequest(address, id, body)), "true")
	}
	assert.Equal(t, p.DialCount(), uint64(1))
}

// Guards against a response that reaches another request's caller: an endpoint may send a second response, at once or
// before that to the next request.
func TestExtraResponsesAreSkipped(t *testing.T) {
	for _, late := range []bool{false, true} {
		address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for n := 0; ; n++ {
				r, _ := readRequest(br)
				if r == nil {
					return
				}
				id := r.Header.Get("X-Id")
				if late && n > 0 {
					_, _ = io.WriteString(c, formatResponse("before", "other"))
				}
				_, _ = io.WriteString(c, formatResponse(id, "response "+id))
				if !late {
					_, _ = io.WriteString(c, formatResponse(id, "again "+id))
				}
			}
		})
		p := NewPool(DefaultLimits())
		for _, id := range []string{"1", "2", "3"} {
			assert.Equal(t, sendAndRead(t, p, newRequest(address, id, nil)), "response "+id, "late %v", late)
			time.Sleep(5 * time.Millisecond) // lets an extra response arrive
		}
	}
}

// Guards against bytes of another request where the endpoint expects the rest of a body: an endpoint may respond before
// it has read the whole request and continue reading later.
func TestEarlyResponseDoesNotMixBodies(t *testing.T) {
	// More than the socket buffers of both ends hold, so that the request is still unfinished when the response ends.
	body := bytes.Repeat([]byte("x"), 64<<20)
	mixed := atomic.Bool{}
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		rest, _ := io.ReadAll(r.Body)
		if strings.Trim(string(rest), "x") != "" {
			mixed.Store(true)
		}
	})
	p := NewPool(DefaultLimits())
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", body)), "early")
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "2", body)), "early")
	assert.Assert(t, !mixed.Load())
	assert.Equal(t, p.DialCount(), uint64(2))
}

// Guards against a request that is sent although it was withdrawn, and against one that counts as sent.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	var received atomic.Int64
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for r, _ := readRequest(br); r != nil; r, _ = readRequest(br) {
			received.Add(1)
			_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), ""))
		}
	})
	p := NewPool(DefaultLimits())
	for i, maySend := range []bool{false, true, false} { // on a new, a new and a kept connection
		r := newRequest(address, strconv.Itoa(i), nil)
		r.MaySend = func() bool { return maySend }
		if maySend {
			sendAndRead(t, p, r)
			continue
		}
		_, err := p.Send(t.Context(), r)
		var sendErr *Error
		assert.Assert(t, errors.As(err, &sendErr) && errors.Is(err, ErrWithdrawn), "%v", err)
		assert.Equal(t, sendErr.Outcome, NotSent)
		assert.Equal(t, openCount(p, address), 0)
	}
	assert.Equal(t, received.Load(), int64(1))
}

// Guards against a trailer that is lost, that is read before the end of the body, or that a malformed line spoils.
func TestTrailer(t *testing.T) {
	for _, c := range []struct {
		name, trailer string
		want          http.Header
	}{
		{"none", "", nil},
		{"fields", "x-a: 1\r\nX-A:2\r\nX-B: \r\n", http.Header{"X-A": {"1", "2"}, "X-B": {""}}},
		{"line without a colon", "x-a\r\nX-B: 3\r\n", http.Header{"X-B": {"3"}}},
	} {
		address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if r, _ := readRequest(br); r != nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+
					c.trailer+"\r\n")
			}
		})
		resp, err := NewPool(DefaultLimits()).Send(t.Context(), newRequest(address, "1", nil))
		assert.NilError(t, err)
		assert.Equal(t, len(resp.Trailer()), 0)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		assert.DeepEqual(t, resp.Trailer(), c.want)
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against truncated responses that look complete, and against a request that may have been executed but is
// reported as not sent.
func TestMalformedResponses(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for _, c := range []struct {
		name, response string
		reset          bool
		sendFails      bool
	}{
		{name: "no data", sendFails: true},
		{name: "not HTTP", response: "\x00\x01garbage\r\n\r\n", sendFails: true},
		{name: "truncated header", response: "HTTP/1.1 200 OK\r\nX-", sendFails: true},
		{name: "only a response to another request", response: formatResponse("other", "x"), sendFails: true},
		{name: "success without an ID", response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status 000", response: "HTTP/1.1 000 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status 099", response: "HTTP/1.1 099 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status with a sign", response: "HTTP/1.1 +20 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status -99", response: "HTTP/1.1 -99 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status of two digits", response: "HTTP/1.1 20 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", sendFails: true},
		{name: "status of four digits", response: "HTTP/1.1 2000 X\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx",
			sendFails: true},
		{name: "short body", response: header + "Content-Length: 10\r\n\r\nfour"},
		{name: "no last chunk", response: header + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n"},
		{name: "close-delimited and reset", response: header + "Connection: close\r\n\r\nfour", reset: true},
	} {
		address := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if r, _ := readRequest(br); r == nil {
				return
			}
			_, _ = io.WriteString(conn, c.response)
			if c.reset {
				time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		resp, err := NewPool(DefaultLimits()).Send(context.Background(), newRequest(address, "1", []byte("body")))
		var sendErr *Error
		if c.sendFails {
			assert.Assert(t, errors.As(err, &sendErr), c.name)
			assert.Equal(t, sendErr.Outcome, Unknown, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, c.name)
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against an error for a complete response whose body is delimited by the end of the connection.
func TestCloseDelimitedResponseEndsWithConnection(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if r, _ := readRequest(br); r != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
		}
	})
	p := NewPool(DefaultLimits())
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "whole")
	assert.Equal(t, openCount(p, address), 0)
}

// Guards against a request that is lost on an idle connection which the endpoint has closed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			r, _ := readRequest(br)
			if r == nil {
				return
			}
			_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), strconv.Itoa(n)))
			if n == 1 {
				_ = c.Close()
				close(closed)
				return
			}
		}
	})
	p := NewPool(DefaultLimits())
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "1")
	<-closed
	time.Sleep(10 * time.Millisecond) // lets the end of the connection arrive
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "2", nil)), "2")
}

// Guards against a request that can't be retried on a connection that the endpoint may be about to close.
func TestFreshRequestsAvoidIdleConnections(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			r, _ := readRequest(br)
			if r == nil {
				return
			}
			_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), strconv.Itoa(n)))
		}
	})
	p := NewPool(DefaultLimits())
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "1")
	p.mu.Lock()
	p.idle[address][0].idleSince = time.Now().Add(-2 * maxFreshIdleTime)
	p.mu.Unlock()
	r := newRequest(address, "2", nil)
	r.FreshConn = true
	assert.Equal(t, sendAndRead(t, p, r), "2")
	// The endpoint limits its connections, so the new connection replaces the old one.
	assert.Equal(t, openCount(p, address), 1)
}

// Guards against a request that was never sent but is reported as possibly executed.
func TestDialFailureIsReportedAsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = NewPool(DefaultLimits()).Send(context.Background(), newRequest(address, "1", nil))
	var sendErr *Error
	assert.Assert(t, errors.As(err, &sendErr))
	assert.Equal(t, sendErr.Outcome, NotSent)
}

// Guards against an endpoint that continues to work on a request that the caller has cancelled.
func TestCancelClosesConnection(t *testing.T) {
	closedAt := make(chan time.Time, 1)
	arrived := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		close(arrived)
		_, _ = br.ReadByte()
		closedAt <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := NewPool(DefaultLimits()).Send(ctx, newRequest(address, "1", nil))
		done <- err
	}()
	<-arrived
	cancelledAt := time.Now()
	cancel()
	assert.Assert(t, errors.Is(<-done, context.Canceled))
	assert.Assert(t, (<-closedAt).Sub(cancelledAt) < 500*time.Millisecond)
}

// Guards against an idle connection that is kept longer than the endpoint keeps it.
func TestParseIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		header string
		want   time.Duration
	}{
		{"", defaultIdleTimeout},
		{"timeout=5, max=100", 4 * time.Second},
		{"max=1, timeout=2", time.Second},
		{"timeout=1", 0},
		{"timeout=x", defaultIdleTimeout},
		{"timeout=100000", 10 * defaultIdleTimeout},
	} {
		assert.Equal(t, parseIdleTimeout(c.header), c.want, c.header)
	}
}

func BenchmarkSend(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					r, _ := readRequest(br)
					if r == nil {
						return
					}
					_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), "answer"))
				}
			}()
		}
	}()
	p := NewPool(DefaultLimits())
	r := newRequest(ln.Addr().String(), "1", make([]byte, 2<<10))
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r.ID = strconv.Itoa(n)
		r.Header["X-Id"][0] = r.ID
		resp, err := p.Send(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// openCount returns the number of open connections to an address.
func openCount(p *Pool, address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount[address]
}

// Guards against a new connection for every large request: the response often arrived before the writing goroutine had
// ended, so that the connection was not reused.
func TestConnectionIsReusedAfterLargeRequest(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, _ := readRequest(br)
			if r == nil {
				return
			}
			_, _ = io.WriteString(c, formatResponse(r.Header.Get("X-Id"), "answer"))
		}
	})
	p := NewPool(DefaultLimits())
	body := bytes.Repeat([]byte("x"), 100<<10)
	for n := range 500 {
		assert.Equal(t, sendAndRead(t, p, newRequest(address, strconv.Itoa(n), body)), "answer")
	}
	assert.Equal(t, p.DialCount(), uint64(1))
}

// Guards against a request that is given up and that reaches its endpoint later: bytes that the network holds up are
// delivered after a usual close, and only a reset discards them.
func TestAbandonedRequestIsReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	for _, c := range []struct {
		name     string
		response string // of the endpoint, which then waits
		deadline time.Duration
		want     error // at the endpoint
	}{
		{"canceled before the response", "", time.Minute, syscall.ECONNRESET},
		{"canceled within the response", head + "part", time.Minute, syscall.ECONNRESET},
		{"deadline before the response", "", 50 * time.Millisecond, syscall.ECONNRESET},
		{"closed within the response", head + "part", time.Minute, syscall.ECONNRESET},
		{"malformed response", "nonsense", time.Minute, syscall.ECONNRESET},
		{"complete response, not kept", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", time.Minute,
			io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			ended := make(chan error, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				if _, err := http.ReadRequest(br); err != nil {
					ended <- err
					return
				}
				_, _ = io.WriteString(conn, c.response)
				_, err = br.ReadByte()
				ended <- err
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if strings.HasPrefix(c.name, "canceled before") {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			resp, err := NewPool(DefaultLimits()).Send(ctx, &Request{Address: ln.Addr().String(), Method: http.MethodGet,
				Target: "/", Host: "h", Deadline: time.Now().Add(c.deadline)})
			if err == nil {
				if strings.HasPrefix(c.name, "canceled within") {
					cancel()
				}
				if errors.Is(c.want, io.EOF) {
					_, err = io.ReadAll(resp.Body)
					assert.NilError(t, err)
				}
				assert.NilError(t, resp.Body.Close())
			}
			assert.Assert(t, errors.Is(<-ended, c.want))
		})
	}
}

// Guards against an endpoint's end that goes unnoticed while its connections are idle, against one that is taken for an
// end because the endpoint closes idle connections, and against a request that then reaches another process.
func TestEndOfKeptConnectionsIsReported(t *testing.T) {
	for _, c := range []struct {
		name        string
		reset       bool          // instead of closed
		keptBefore  time.Duration // idle time after which the connection was used again; 0 means that it was not
		idle        time.Duration // until it ends
		isReported  bool
		isCollected bool // found by CloseExpired instead of the next request
	}{
		{"reset", true, 0, 10 * time.Millisecond, true, false},
		{"reset, found later", true, 0, 10 * time.Millisecond, true, true},
		{"closed", false, 0, 10 * time.Millisecond, false, false},
		{"closed sooner than before", false, 200 * time.Millisecond, 10 * time.Millisecond, true, false},
		{"closed sooner than before, found later", false, 200 * time.Millisecond, 10 * time.Millisecond, true, true},
		{"closed later than before", false, 20 * time.Millisecond, 100 * time.Millisecond, false, true},
	} {
		end := make(chan struct{})
		address := serve(t, func(n int, conn net.Conn, br *bufio.Reader) {
			go func() {
				<-end
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			for {
				r, _ := readRequest(br)
				if r == nil {
					return
				}
				_, _ = io.WriteString(conn, formatResponse(r.Header.Get("X-Id"), strconv.Itoa(n)))
			}
		})
		p := NewPool(DefaultLimits())
		var ends []time.Time
		p.OnEnd = func(_ string, openAt time.Time) { ends = append(ends, openAt) }
		opened := time.Now()
		assert.Equal(t, sendAndRead(t, p, newRequest(address, "1", nil)), "1", c.name)
		if c.keptBefore > 0 {
			time.Sleep(c.keptBefore)
			assert.Equal(t, sendAndRead(t, p, newRequest(address, "2", nil)), "1", c.name)
		}
		used := time.Now()
		assert.Assert(t, p.HasOpen(address, used), c.name)
		assert.Assert(t, !p.HasOpen(address, opened), c.name)
		time.Sleep(c.idle)
		close(end)
		time.Sleep(10 * time.Millisecond) // lets the end arrive
		assert.Assert(t, !p.HasOpen(address, used), c.name)
		if c.isCollected {
			p.CloseExpired(time.Now(), func(string) bool { return true })
			assert.Equal(t, openCount(p, address), 0, c.name)
		} else {
			r := newRequest(address, "3", nil)
			r.SameProcess = true
			_, err := p.Send(context.Background(), r) //nolint:bodyclose // not read
			assert.Equal(t, errors.Is(err, ErrProcessMayHaveEnded), c.isReported, "%s: %v", c.name, err)
		}
		assert.Equal(t, len(ends) > 0, c.isReported, c.name)
		for _, openAt := range ends {
			assert.Assert(t, !openAt.After(used), c.name)
		}
	}
}
