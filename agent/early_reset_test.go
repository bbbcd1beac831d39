package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
)

// uploadBytes is more than the buffers of a connection take.
const uploadBytes = 16 << 20

// Guards against a part of a response that is recorded or passed on as the whole because the endpoint resets the
// connection while the request is still being written.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	for _, c := range []struct{ name, contentType, part string }{
		{"JSON", "application/json", `{"order":12}`},
		{"stream", "text/event-stream", "data: [DONE]\n\n"},
	} {
		complete := 0
		for range 50 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", c.contentType, c.part)
				}
				if tc, ok := conn.(*net.TCPConn); ok {
					_ = tc.SetLinger(0)
				}
				_ = conn.Close()
			}()
			url := "http://" + ln.Addr().String()
			a := &Agent{settings: Settings{Endpoint: url}, endpoint: newEndpoint(url)}
			req := &relayer.Request{Method: http.MethodPost, Path: "/", Operation: &relayer.Operation{ID: "op"},
				Body: make([]byte, uploadBytes)}
			if _, err := a.forward(t.Context(), req, bundler.PoolService, relayer.NewRecorder()); err == nil {
				complete++
			}
			_ = ln.Close()
		}
		assert.Check(t, complete == 0, "%s: %d of 50", c.name, complete)
	}
}

// Guards against a response without a valid status that is recorded as the outcome of an operation, or passed on.
func TestResponseWithoutAStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-01", "+20", "20", "2000", "101", "abc", ""} {
		recorder := relayer.NewRecorder()
		_, err := forwardTo(t, recorder, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
		})
		head, body := recorder.Recorded()
		assert.Check(t, err != nil && head.Status == 0 && len(body) == 0, "%q: %v, %d %q", status, err, head.Status, body)
	}
}
