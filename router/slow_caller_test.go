package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
)

// listen runs a router until the test ends and returns its address.
func listen(t *testing.T, rt *Router) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rt.settings.Listen = l.Addr().String()
	assert.NilError(t, l.Close())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = rt.run(ctx, t.Context()) }()
	t.Cleanup(func() { stop(); <-done })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", rt.settings.Listen)
		if err != nil {
			return poll.Continue("not listening: %v", err)
		}
		_ = c.Close()
		return poll.Success()
	})
	return rt.settings.Listen
}

// Guards against callers that get no response when their upload stalls, although their deadline has passed or the
// request was refused before.
func TestStalledUploadIsRefusedAtItsDeadline(t *testing.T) {
	f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
		return jsonResponse("{}", nil), nil
	}}
	rt := testRouter(&fakeControl{}, f)
	address := listen(t, rt)
	body := "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 500)
	key := "Authorization: Bearer " + testKey + "\r\n"
	for _, c := range []struct {
		name, path, header string
		status             int
		after              time.Duration
	}{
		{"chat, deadline of the caller", "/v1/chat/completions", key + "X-Request-Timeout-Millis: 300\r\n" + body, 408,
			300 * time.Millisecond},
		{"chat, timeout of the pool", "/v1/chat/completions", key + body, 408, 5 * time.Second},
		{"service, deadline of the caller", "/services/orders/stock", key + "X-Request-Timeout-Millis: 300\r\n" + body, 408,
			300 * time.Millisecond},
		{"service, timeout of the pool", "/services/orders/stock", key + body, 408, 5 * time.Second},
		{"unknown key", "/v1/chat/completions", body, 401, 0},
		{"no route", "/none", key + body, 404, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			start := time.Now()
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h.example\r\n"+c.header)
			assert.NilError(t, err)
			_ = conn.SetReadDeadline(start.Add(8 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			waited := time.Since(start)
			assert.Equal(t, resp.StatusCode, c.status, "%s", text)
			assert.Equal(t, resp.Header.Get(headerOutcome), outcomeNotRun)
			assert.Assert(t, resp.Close)
			assert.Assert(t, waited >= c.after && waited < c.after+time.Second, "%v", waited)
		})
	}
}

// Guards against callers that read nothing and keep their request in progress.
func TestCallerThatReadsNothingIsDisconnected(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/services/orders/stock"} {
		resp := jsonResponse(strings.Repeat("x", 1<<20), nil)
		if path == "/v1/chat/completions" {
			resp = streamResponse("", nil)
			resp.chunks = nil
		}
		event := `data: {"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 1<<16) + `"}}]}` + "\n\n"
		for len(resp.chunks) < 200 && resp.head.ContentType == "text/event-stream" {
			resp.chunks = append(resp.chunks, event)
		}
		for len(resp.chunks) < 8 {
			resp.chunks = append(resp.chunks, resp.chunks[0])
		}
		rt := testRouter(&fakeControl{}, &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response,
			error,
		) {
			return resp, nil
		}})
		rt.callerStallTimeout = 500 * time.Millisecond
		conn, err := net.Dial("tcp", listen(t, rt))
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n"+
			"Content-Length: %d\r\n\r\n%s", path, testKey, len(chatBody), chatBody)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if rt.admission.requestsInFlight() == 0 {
				return poll.Continue("not started")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if rt.admission.requestsInFlight() > 0 {
				return poll.Continue("%s is in progress", path)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
		_, err = io.Copy(io.Discard, conn)
		assert.ErrorContains(t, err, "reset")
		assert.NilError(t, conn.Close())
	}
}

// Guards against requests that are sent to an agent although their callers gave up before the router could read them.
// On one processor, the handler runs before net/http looks at the connection again.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, path := range []string{"/v1/chat/completions", "/services/orders/stock"} {
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
			return jsonResponse("{}", nil), nil
		}}
		rt := testRouter(&fakeControl{}, f)
		for range 10 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			handled := make(chan struct{})
			s := &http.Server{ReadHeaderTimeout: time.Second, ConnContext: server.WithConn,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer close(handled)
					rt.Handler().ServeHTTP(w, r)
				})}
			conn, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n"+
				"Content-Length: %d\r\n\r\n%s", path, testKey, len(chatBody), chatBody)
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			go func() {
				_ = s.Serve(&server.CallerListener{Listener: ln, StallTimeout: time.Second, OnStall: func(net.Conn) {}})
			}()
			<-handled
			assert.NilError(t, s.Close())
		}
		assert.Equal(t, len(f.requests), 0, path)
	}
}
