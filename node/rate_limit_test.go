package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a value that is taken for a limit, or for the end of one, although it is no number of requests.
func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		values    []string
		perSecond float64
		isLimited bool
		valid     bool
	}{
		{"none", nil, 0, false, true},
		{"decimal", []string{" 7.5 "}, 7.5, true, true},
		{"takes none", []string{"0"}, 0, true, true},
		{"huge", []string{"1e300"}, 1e300, true, true},
		{"two values", []string{"9", "4"}, 4, true, true},
		{"negative", []string{"-1"}, 0, false, false},
		{"not a number", []string{"NaN"}, 0, false, false},
		{"infinite", []string{"+Inf"}, 0, false, false},
		{"text", []string{"8 a second"}, 0, false, false},
		{"empty", []string{""}, 0, false, false},
		{"one of two is invalid", []string{"8", "x"}, 0, false, false},
	} {
		perSecond, isLimited, valid := parseRateLimit(c.values)
		assert.Equal(t, perSecond, c.perSecond, c.name)
		assert.Equal(t, isLimited, c.isLimited, c.name)
		assert.Equal(t, valid, c.valid, c.name)
	}
}

// Guards against a limit that is missed because it is named on an error or a rejection, and against one that is taken
// from an informational response, from a trailer or from the response to another request.
func TestRateLimitIsReadFromFinalResponses(t *testing.T) {
	const limit = "Rate-Limit: 7\r\n"
	for _, c := range []struct {
		name     string
		response string
		want     float64 // -1 for none
	}{
		{"success", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"error", "HTTP/1.1 500 Error\r\nReq-Id: id-1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"rejection", "HTTP/1.1 503 Full\r\nReq-Id: id-1\r\nNot-Run: 1\r\n" + limit + "Content-Length: 0\r\n\r\n", 7},
		{"informational", "HTTP/1.1 103 Early Hints\r\n" + limit +
			"\r\nHTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 0\r\n\r\n", -1},
		{"trailer", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + limit + "\r\n", -1},
		{"other request", "HTTP/1.1 200 OK\r\nReq-Id: id-0\r\n" + limit +
			"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 0\r\n\r\n", -1},
	} {
		p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, func(req *receivedRequest) {
			_, _ = req.conn.Write([]byte(c.response))
		}))
		p.call(t, http.MethodPost, "/once/", "")
		loads, _ := p.fleet.routing.snapshot(time.Now())
		assert.Equal(t, loads[0].RateLimit, c.want, c.name)
	}
}
