package devfleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/agent"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
	"cactusroute.dev/router"
)

const (
	uploadBytes  = 1 << 20 // what a router takes
	receiveBytes = 4 << 10
)

// earlyEndpoint answers uploads without reading their bodies, and other requests with an empty object. Its receive
// buffer is small, so that uploads are still being written.
func earlyEndpoint(t *testing.T, answer string, isReset bool) (url string) {
	t.Helper()
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(controlErr, err)
	}}
	ln, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if r.ContentLength < uploadBytes {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
					return
				}
				_, _ = io.WriteString(c, answer)
				if tc, ok := c.(*net.TCPConn); ok && isReset {
					_ = tc.SetLinger(0)
				} else if ok {
					_ = tc.CloseWrite()
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// Guards against a part of a response, or a response without a valid status, that a caller of a router gets as a
// complete one: at one endpoint or at both, whatever the framing of the response and the upload.
func TestEarlyAnswersAreNotComplete(t *testing.T) {
	const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	type answerCase struct {
		name, text string
		isReset    bool
	}
	cases := []answerCase{ //nolint:prealloc // a table
		{"no length, reset", jsonHead + "\r\n{\"order\":12}", true},
		{"no length, end", jsonHead + "\r\n{\"order\":", false},
		{"length, reset", jsonHead + "Content-Length: 99\r\n\r\n{\"order\":12}", true},
		{"length, end", jsonHead + "Content-Length: 99\r\n\r\n{\"order\":12}", false},
		{"chunks, reset", jsonHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n{\"order\":12}\r\n", true},
		{"chunks, end", jsonHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n{\"order\":12}\r\n", false},
	}
	for _, status := range []string{"000", "099", "-01", "+20", "20", "2000", ""} {
		cases = append(cases, answerCase{fmt.Sprintf("status %q", status),
			"HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", false})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := startServiceRouter(t, earlyEndpoint(t, c.text, c.isReset), earlyEndpoint(t, c.text, c.isReset))
			post := func(header, body string) (status int, text string, err error) {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return 0, "", err
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(poolTimeout * 2))
				go func() {
					_, _ = io.WriteString(conn, "POST /services/orders/lookup HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+
						"Content-Type: application/json\r\n"+header+"\r\n"+body)
				}()
				br := bufio.NewReader(conn)
				resp, err := http.ReadResponse(br, nil)
				for err == nil && resp.StatusCode == http.StatusContinue {
					resp, err = http.ReadResponse(br, nil)
				}
				if err != nil {
					return 0, "", err
				}
				defer func() { _ = resp.Body.Close() }()
				content, err := io.ReadAll(resp.Body)
				return resp.StatusCode, string(content), err
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if status, _, err := post("Content-Length: 2\r\n", "{}"); err != nil || status != http.StatusOK {
					return poll.Continue("%d %v", status, err)
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute))
			upload := strings.Repeat("x", uploadBytes)
			length := fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
			for _, u := range []struct{ name, header, body string }{
				{"length", length, upload},
				{"expects 100", length + "Expect: 100-continue\r\n", upload},
				{"chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", uploadBytes, upload)},
			} {
				for range 2 {
					status, text, err := post(u.header, u.body)
					assert.NilError(t, err, u.name)
					assert.Assert(t, status >= http.StatusBadRequest, "%s: %d %q", u.name, status, text)
				}
			}
		})
	}
}

// startServiceRouter starts a router and an agent for each endpoint of a service, and returns the router's address.
func startServiceRouter(t *testing.T, endpoints ...string) (address string) {
	t.Helper()
	c := &fakeControl{view: viewer.NewView(), logChanged: make(chan struct{}), loadsChanged: make(chan struct{}),
		loads: map[string]subscriber.Load{}, verdicts: map[string]*viewer.Verdict{}}
	c.commit(
		viewer.Change{Pool: &bundler.Pool{Name: "orders", Kind: bundler.PoolService, MaxConcurrency: 16,
			TimeoutMillis: int(poolTimeout.Milliseconds())}},
		viewer.Change{Workspace: &bundler.Workspace{Name: "shop", KeyHashes: []string{bundler.HashKey("key")},
			Pools: []string{"orders"}, Priority: bundler.PriorityInteractive, Weight: 1}})
	controlServer := httptest.NewServer(&subscriber.Server{Backend: c})
	controls := []string{strings.TrimPrefix(controlServer.URL, "http://")}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); wg.Wait(); controlServer.CloseClientConnections(); controlServer.Close() })
	for n, url := range endpoints {
		s := agent.Settings{Listen: freeAddr(t), Endpoint: url, Pool: "orders", Controls: controls}
		s.Place = configurer.Place{Name: fmt.Sprintf("orders-%d", n), Region: "r", FailureDomain: "a"}
		wg.Go(func() { _ = agent.Run(ctx, s, observer.New(io.Discard, s.Place.Name)) })
	}
	s := router.Settings{Listen: freeAddr(t), Controls: controls, DrainNoticeMillis: 1}
	s.Place = configurer.Place{Name: s.Listen, Region: "r", FailureDomain: "a"}
	wg.Go(func() { _ = router.Run(ctx, s, observer.New(io.Discard, s.Listen)) })
	return s.Listen
}
