package node

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusingEndpoints are endpoints that refuse the first request and run all others. On the connection of the refusal
// they write it once more before the answer.
type refusingEndpoints struct {
	status, copiedIDs string
	delay             time.Duration // between the copy and the answer

	mu      sync.Mutex
	refused map[net.Conn]bool
	runs    map[string]int // by ID
}

func (e *refusingEndpoints) handle(req *receivedRequest) {
	id := req.r.Header.Get("Req-Id")
	if req.n == 1 {
		e.mu.Lock()
		e.refused[req.conn] = true
		e.mu.Unlock()
		req.respond(e.status, "Not-Run: 1\r\n", "full")
		return
	}
	e.mu.Lock()
	e.runs[id]++
	isCopied := e.refused[req.conn]
	e.mu.Unlock()
	if isCopied {
		_, _ = io.WriteString(req.conn, "HTTP/1.1 "+e.status+"\r\nNot-Run: 1\r\n"+e.copiedIDs+"Content-Length: 4\r\n\r\nfull")
	}
	time.Sleep(e.delay)
	respondOK(req)
}

// notRunStatuses are the statuses that tell a caller that its request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
	http.StatusServiceUnavailable}

// Guards against callers that are told to try again, and against a second endpoint that runs a request, after an
// endpoint that runs it has written an earlier refusal once more.
func TestRequestThatRunsIsNotTakenForRefused(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		for _, c := range []struct{ name, copiedIDs, second string }{
			{"same ID as before", "Req-Id: id-1\r\n", "id-2"},
			{"ID used again", "Req-Id: id-1\r\n", "id-1"},
			{"another ID", "Req-Id: id-9\r\n", "id-2"},
			{"no ID", "", "id-2"},
			{"two IDs", "Req-Id: id-1\r\nReq-Id: id-2\r\n", "id-2"},
		} {
			for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
				t.Run(status[:3]+" "+c.name+" "+delay.String(), func(t *testing.T) {
					t.Parallel()
					e := &refusingEndpoints{status: status, copiedIDs: c.copiedIDs, delay: delay,
						refused: map[net.Conn]bool{}, runs: map[string]int{}}
					p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, e.handle), newFakeEndpoint(t, e.handle))
					first := p.call(t, http.MethodPost, "/once/a", "body")
					assert.Equal(t, first.status, http.StatusServiceUnavailable)
					second := p.call(t, http.MethodPost, "/once/a", "body", "Req-Id", c.second)
					assert.NilError(t, second.err)
					assert.Assert(t, !slices.Contains(notRunStatuses, second.status), "%d", second.status)
					e.mu.Lock()
					defer e.mu.Unlock()
					assert.Equal(t, e.runs[c.second], 1)
				})
			}
		}
	}
}

// Guards against a promise to the caller that its request has not run, or a second run, where the only response is a
// refusal without the ID of the request.
func TestRefusalWithoutAnIDProvesNothing(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request",
		"400 Bad Request"} {
		t.Run(status, func(t *testing.T) {
			refuse := func(req *receivedRequest) {
				_, _ = io.WriteString(req.conn, "HTTP/1.1 "+status+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
			a, b := newFakeEndpoint(t, refuse), newFakeEndpoint(t, refuse)
			p := newTestProxy(t, testPlan(1), a, b)
			got := p.call(t, http.MethodPost, "/once/a", "body")
			assert.NilError(t, got.err)
			assert.Assert(t, !slices.Contains(notRunStatuses, got.status), "%d", got.status)
			assert.Equal(t, got.header.Get("Not-Run"), "")
			assert.Equal(t, a.count()+b.count(), 1)
		})
	}
}
