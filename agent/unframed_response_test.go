package agent

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
)

// forwardOnce returns the result of a forwarded operation to which an endpoint responds on a connection that it closes.
func forwardOnce(t *testing.T, respond func(conn net.Conn)) (responseStats, error) {
	t.Helper()
	return forwardTo(t, relayer.NewRecorder(), respond)
}

// forwardTo is forwardOnce with the writer of the response.
func forwardTo(t *testing.T, w responseWriter, respond func(conn net.Conn)) (responseStats, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
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
		respond(conn)
	}()
	url := "http://" + ln.Addr().String()
	a := &Agent{settings: Settings{Endpoint: url}, endpoint: newEndpoint(url)}
	req := &relayer.Request{Method: http.MethodPost, Path: "/", Operation: &relayer.Operation{ID: "op"}}
	return a.forward(t.Context(), req, bundler.PoolService, w)
}

// Guards against a response with neither a length nor chunks that broke off and is recorded as the outcome of an
// operation, or sent to the router as complete: a failing endpoint closes its connection, too.
func TestUnframedResponseIsNotTakenForComplete(t *testing.T) {
	for _, c := range []struct {
		name, header, body string
		complete           bool
	}{
		{"text", "Content-Type: text/plain\r\n", "done", false},
		{"no type", "", "done", false},
		{"empty", "Content-Type: application/json\r\n", "", false},
		{"JSON cut off", "Content-Type: application/json\r\n", `{"order":12`, false},
		{"whole JSON object", "Content-Type: application/json; charset=utf-8\r\n", `{"order":12}`, true},
		{"JSON number, which may go on", "Content-Type: application/json\r\n", "12", false},
		{"stream with [DONE]", "Content-Type: text/event-stream\r\n", "data: {}\n\ndata: [DONE]\n\n", true},
		{"stream without [DONE]", "Content-Type: text/event-stream\r\n", "data: {}\n\n", false},
		{"text with a length", "Content-Type: text/plain\r\nContent-Length: 4\r\n", "done", true},
		{"text in chunks", "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := forwardOnce(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.header+"\r\n"+c.body)
			})
			assert.Equal(t, err == nil, c.complete, "%v", err)
			if !c.complete {
				assert.Assert(t, errors.Is(err, errUnframedResponse) || errors.Is(err, errMissingDone), "%v", err)
			}
		})
	}
}
