package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/socket"
)

// guardedServer serves connections with a guard, if that is not nil.
type guardedServer struct {
	resources *Resources
	guard     *Guard
	address   string
	count     ConnCount
	held      chan struct{} // ends the requests for /hold
}

func startGuarded(tb testing.TB, machine *configurer.Machine, config *tls.Config) *guardedServer {
	tb.Helper()
	s := &guardedServer{held: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	s.address = l.Addr().String()
	hs := &http.Server{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: testTimeout, ConnContext: WithConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-s.held
			}
			body := NewBoundedBody(r)
			data, err := io.ReadAll(body)
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprintf(w, "%d headers, %d bytes, TLS %t", len(r.Header), len(data), r.TLS != nil)
		})}
	if machine != nil {
		s.resources = NewResources(*machine, observer.New(io.Discard, "test"))
		s.guard = s.resources.Guard(ShareCallers)
		l = &guardedListener{Listener: l, guard: s.guard, tls: config}
	}
	s.guard.Install(hs, &s.count)
	go func() { _ = hs.Serve(l) }()
	tb.Cleanup(func() { _ = hs.Close() })
	return s
}

// shortLines returns n different header lines.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

const getHead = "GET / HTTP/1.1\r\nHost: h\r\n"

// Guards against a guard that changes what a caller sends or when its request is answered, however its bytes are split,
// and against one that keeps reservations.
func TestGuardPassesRequestsOn(t *testing.T) {
	s := startGuarded(t, &configurer.Machine{}, nil)
	for _, c := range []struct{ name, sent, want string }{
		{"plain", getHead + "\r\n", "200 0 headers, 0 bytes"},
		{"line ends without CR", "GET / HTTP/1.1\nHost: h\nA: b\n\n", "200 1 headers, 0 bytes"},
		{"many lines", getHead + shortLines(2000) + "\r\n", "200 2000 headers, 0 bytes"},
		{"continued line", getHead + "A: b\r\n \r\nC: d\r\n\r\n", "200 2 headers, 0 bytes"},
		{"length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n\n\n\n", "200 1 headers, 3 bytes"},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n\r\n\r\n0\r\nT: v\r\n\r\n",
			"200 0 headers, 2 bytes"},
		{"malformed", "\r\n" + getHead + "\r\n", "400 "},
		{"too large", getHead + "A: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", "431 "},
	} {
		for _, split := range []int{1, 7, 1 << 20} {
			if split == 1 && len(c.sent) > 1<<10 {
				continue
			}
			conn, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			go func() {
				sent := c.sent + c.sent // the second one is pipelined
				for len(sent) > 0 {
					n := min(split, len(sent))
					if _, err := io.WriteString(conn, sent[:n]); err != nil {
						return
					}
					sent = sent[n:]
				}
			}()
			br := bufio.NewReader(conn)
			for range 2 {
				resp, err := http.ReadResponse(br, nil)
				assert.NilError(t, err, "%s in parts of %d", c.name, split)
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				got := fmt.Sprintf("%d %s", resp.StatusCode, body)
				assert.Assert(t, strings.HasPrefix(got, c.want), "%s in parts of %d: %s", c.name, split, got)
				if resp.Close {
					break
				}
			}
			_ = conn.Close()
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.resources.Heads.Used() != 0 || s.resources.Bodies.Used() != 0 || s.count.Open() != 0 {
			return poll.Continue("%d and %d bytes", s.resources.Heads.Used(), s.resources.Bodies.Used())
		}
		return poll.Success()
	})
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	assert.Equal(t, len(s.guard.conns), 0)
}

// Guards against costly heads that take the memory of ordinary ones, and against refusals that are no promise.
func TestGuardRefusesCostlyHeadsFirst(t *testing.T) {
	costly := getHead + shortLines(2000) + "\r\n"
	for _, c := range []struct {
		name   string
		before string // sent and answered on the same connection
		sent   string
		want   int
	}{
		{"costly", "", costly, http.StatusServiceUnavailable},
		{"costly on a kept connection", getHead + "\r\n", costly, http.StatusServiceUnavailable},
		{"costly in the buffer", "", getHead + "\r\n" + getHead + shortLines(500) + "\r\n", http.StatusServiceUnavailable},
		{"costly in a body's read", "", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + costly,
			http.StatusServiceUnavailable},
		{"costly behind an empty line", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
			"\r\n" + getHead + shortLines(500) + "\r\n", http.StatusServiceUnavailable},
		{"ordinary", "", getHead + shortLines(20) + "\r\n", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startGuarded(t, &configurer.Machine{}, nil)
			s.resources.Heads.used.Store(s.resources.Heads.Limit * 3 / 4) // as others hold
			conn, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			br := bufio.NewReader(conn)
			if c.before != "" {
				_, err = io.WriteString(conn, c.before)
				assert.NilError(t, err)
				_, err := http.ReadResponse(br, nil) //nolint:bodyclose // the body is read with the next response
				assert.NilError(t, err)
				_, err = br.Discard(len("0 headers, 0 bytes, TLS false"))
				assert.NilError(t, err)
			}
			_, err = io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			last := 0
			for isLast := false; !isLast; {
				resp, err := http.ReadResponse(br, nil)
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				last = resp.StatusCode
				isLast = resp.Close || c.want == http.StatusOK
			}
			assert.Equal(t, last, c.want)
		})
	}
}

// Guards against lines that net/http has parsed before the rest of their head is read, and that nobody has reserved
// because the server looked for a disconnect of the caller meanwhile.
func TestGuardCountsLinesBehindARequestInProgress(t *testing.T) {
	const lines = 400
	s := startGuarded(t, &configurer.Machine{}, nil)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"+getHead+shortLines(lines))
	assert.NilError(t, err)
	isRead := func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		for c := range s.guard.conns {
			return c.waitsSince.Load() == 0 && !socket.HasUnread(socketOf(c))
		}
		return false
	}
	await := func(what string, condition func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !condition() {
				return poll.Continue("%s: %d bytes", what, s.resources.Heads.Used())
			}
			return poll.Success()
		})
	}
	await("the first request is read", isRead)
	_, err = io.WriteString(conn, "b")
	assert.NilError(t, err)
	await("the next byte is read", isRead)
	close(s.held)
	await("the parsed lines are reserved", func() bool { return s.resources.Heads.Used() >= lines*headLineBytes })
}

// Guards against idle connections that keep others out, and against a new connection that is preferred to a request.
func TestGuardClosesTheLongestWaitingConnection(t *testing.T) {
	s := startGuarded(t, &configurer.Machine{Descriptors: 128}, nil)
	n := s.guard.maxConns
	conns := make([]net.Conn, 0, 3*n)
	for range 3 * n {
		c, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	c := conns[len(conns)-1]
	_, err := io.WriteString(c, getHead+"\r\n")
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	s.guard.mu.Lock()
	open := len(s.guard.conns)
	s.guard.mu.Unlock()
	assert.Assert(t, open <= n, "%d", open)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	AwaitClosed(ctx, func() int64 { return max(0, s.count.Open()-int64(n)) }) // the server learns of a close later
	assert.Assert(t, s.count.Open() <= int64(n), "%d", s.count.Open())
}

// Guards against a guard above TLS that hides the certificate of a caller from the handler.
func TestGuardKeepsTheStateOfTLS(t *testing.T) {
	ts := httptest.NewUnstartedServer(nil)
	ts.StartTLS()
	defer ts.Close()
	s := startGuarded(t, &configurer.Machine{}, ts.TLS)
	resp, err := ts.Client().Get("https://" + s.address)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(body), "2 headers, 0 bytes, TLS true")
}

// BenchmarkGuard measures an ordinary request on a kept connection with and without a guard.
func BenchmarkGuard(b *testing.B) {
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(12) + "\r\n")
	for _, c := range []struct {
		name    string
		machine *configurer.Machine
	}{{"without", nil}, {"with", &configurer.Machine{}}} {
		b.Run(c.name, func(b *testing.B) {
			s := startGuarded(b, c.machine, nil)
			conn, err := net.Dial("tcp", s.address)
			assert.NilError(b, err)
			defer func() { _ = conn.Close() }()
			answer := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, err := conn.Write(head)
				assert.NilError(b, err)
				_, err = conn.Read(answer)
				assert.NilError(b, err)
			}
		})
	}
}

// Guards against callers that hold back the end of a body that no handler reads: net/http waits for it before it sends
// the response, and the connection was kept for them for ever.
func TestUnfinishedBodiesHoldNoConnection(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"short answer", "short"},
		{"long answer", strings.Repeat("long", 10<<10)}, // written before the handler returns
	} {
		res := NewResources(configurer.Machine{Descriptors: 128}, observer.New(io.Discard, "test"))
		g := res.Guard(ShareCallers)
		s := &Server{Guard: g, Handler: TrackBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, c.answer)
		}))}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.serve(ctx, l) }()
		conns := make([]net.Conn, 0, g.maxConns)
		for range g.maxConns {
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			conns = append(conns, conn)
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
			assert.NilError(t, err)
		}
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			resp, err := client.Get("http://" + l.Addr().String())
			if err != nil {
				return poll.Continue("%s: %v", c.name, err)
			}
			_ = resp.Body.Close()
			return poll.Success()
		})
		for _, conn := range conns {
			_ = conn.Close()
		}
		cancel()
		assert.Check(t, errors.Is(<-done, context.Canceled))
	}
}
