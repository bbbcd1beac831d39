package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
)

// Guards against a response that an endpoint writes once more and that is taken for the response to the next request:
// its caller would get the answer to another one, or a request that runs would be sent to a second endpoint as refused.
func TestRepeatedResponseIsNotTakenForTheNextOne(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	for _, c := range []struct {
		name, first string
		kind        bundler.PoolKind
	}{
		{"refusal of an engine", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", bundler.PoolModel},
		{"answer of an engine", answer + "[]", bundler.PoolModel},
		{"refusal of a service", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", bundler.PoolService},
		{"answer of a service", answer + "[]", bundler.PoolService},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/first" {
						_, _ = io.WriteString(conn, c.first)
						continue
					}
					if n > 1 {
						_, _ = io.WriteString(conn, c.first)
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, answer+"{}")
				}
			}
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go serve(conn)
				}
			}()
			url := "http://" + ln.Addr().String()
			a := &Agent{settings: Settings{Endpoint: url}, endpoint: newEndpoint(url)}
			send := func(path string) (responseStats, string, error) {
				w := relayer.NewRecorder()
				stats, err := a.forward(t.Context(), &relayer.Request{Method: http.MethodPost, Path: path}, c.kind, w)
				_, body := w.Recorded()
				return stats, string(body), err
			}
			_, _, _ = send("/first")
			time.Sleep(5 * time.Millisecond) // lets the connection become idle
			stats, body, err := send("/second")
			assert.Assert(t, stats.mayHaveRun)
			assert.NilError(t, err)
			assert.Equal(t, stats.status, http.StatusOK)
			assert.Equal(t, body, "{}")
		})
	}
}
