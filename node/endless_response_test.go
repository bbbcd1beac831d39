package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/forwarder"
)

// respondEndlessly writes a prefix and then a repeated part until the router closes the connection.
func respondEndlessly(prefix, part string) func(req *receivedRequest) {
	block := []byte(strings.Repeat(part, 1+(32<<10)/len(part)))
	return func(req *receivedRequest) {
		_, err := io.WriteString(req.conn, strings.ReplaceAll(prefix, "ID", req.r.Header.Get("Req-Id")))
		for err == nil {
			_, err = req.conn.Write(block)
		}
	}
}

// Guards against an endpoint that sends bytes without end: requests to it were held until their deadline while its
// bytes filled the memory. The request ends at once, its caller is not told that it was not executed, and the endpoint
// is avoided.
func TestEndlessResponsesEndTheAttempt(t *testing.T) {
	const avoidance = 250 * time.Millisecond // after the first failure
	const ok = "HTTP/1.1 200 OK\r\nReq-Id: ID\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	line := "400\r\n" + strings.Repeat("data: x\n", 128) + "\r\n"
	for _, c := range []struct{ name, path, prefix, part, bound string }{
		{"header line", "/once/", ok + "X-Long: ", "x", forwarder.BoundHeadBytes},
		{"header fields", "/once/", ok, "X-More: 1\r\n", forwarder.BoundHeaderFields},
		{"informational responses", "/once/", "", "HTTP/1.1 103 Early Hints\r\n\r\n", forwarder.BoundInformationalResponses},
		{"no status line", "/once/", "", "x", ""},
		{"body", "/once/", chunked, line, forwarder.BoundBodyBytes},
		{"body of a server error", "/safe/", "HTTP/1.1 500 Error\r\nReq-Id: ID\r\n\r\n", "x", boundBufferedBytes},
		{"body of a rejection", "/safe/", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nReq-Id: ID\r\n\r\n", "x", boundBufferedBytes},
		{"event of a resumable stream", "/resume/", chunked, line, boundEventBytes},
		{"header line of a resumable stream", "/resume/", ok + "X-Long: ", "x", forwarder.BoundHeadBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			endless := newFakeEndpoint(t, respondEndlessly(c.prefix, c.part))
			sound := newFakeEndpoint(t, func(req *receivedRequest) {
				if req.r.URL.Path == "/resume/" {
					startStream(req, testEvent(1))
					endStream(req)
					return
				}
				respondOK(req)
			})
			var log bytes.Buffer
			p := newLoggingTestProxy(t, &log, testPlan(1), endless, sound)
			start := time.Now()
			for endless.count() == 0 {
				got := p.call(t, http.MethodPost, c.path, "x")
				if c.path != "/once/" {
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					continue
				}
				if endless.count() > 0 {
					assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d", got.status)
				}
			}
			assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
			failures := float64(endless.count())
			assert.Equal(t, failures, 1.0)
			for range 3 {
				status := p.call(t, http.MethodPost, "/once/", "x").status
				// On a slow machine, the endpoint is tried again when it is no longer avoided.
				if n := float64(endless.count()); n > failures {
					assert.Assert(t, time.Since(start) >= avoidance, "after %v", time.Since(start))
					assert.Assert(t, n == failures+1)
					failures = n
					continue
				}
				assert.Equal(t, status, http.StatusOK)
			}
			p.queue.Flush()
			if c.bound != "" {
				assert.Equal(t, testutil.ToFloat64(p.metrics.limits.WithLabelValues(c.bound)), failures)
				assert.Assert(t, strings.Contains(log.String(), "exceeds the bound "+c.bound), "%s", log.String())
			}
		})
	}
}
