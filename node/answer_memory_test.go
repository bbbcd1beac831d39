package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// get sends a request and returns the status and the body, as far as it has arrived without an error.
func (p *testProxy) get(t *testing.T, path string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodGet, p.url+path, nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Api-Key", "key")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// Guards against a router that is killed for its memory because many callers ask for large answers, against answers
// that are refused or cut for it, and against memory that stays reserved after a request.
func TestAnswersOfAllRequestsAreBounded(t *testing.T) {
	const answerBytes, requests, limit = 200 << 10, 8, 600 << 10
	answer := strings.Repeat("x", answerBytes)
	for _, head := range []string{"Content-Length: " + strconv.Itoa(answerBytes) + "\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(answerBytes, 16) + "\r\n"} {
		release := make(chan struct{})
		e := newFakeEndpoint(t, func(req *receivedRequest) {
			_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: "+req.r.Header.Get("Req-Id")+"\r\n"+head+
				answer[:answerBytes-1])
			<-release
			_, _ = io.WriteString(req.conn, answer[:1])
			if strings.Contains(head, "chunked") {
				_, _ = io.WriteString(req.conn, "\r\n0\r\n\r\n")
			}
		})
		p := newTestProxy(t, testPlan(1), e)
		p.answers.Limit = limit
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() {
				status, body, err := p.get(t, "/safe/")
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK && body == answer, "%d bytes", len(body))
			})
		}
		eventually(t, "requests at the endpoint", func() bool {
			assert.Assert(t, p.answers.Used() <= limit)
			return e.count() == requests
		})
		close(release)
		wg.Wait()
		eventually(t, "release of the memory", func() bool { return p.answers.Used() == 0 })
	}
}

// Guards against a part of an answer that looks complete because it could not be buffered.
func TestAnswerWithoutMemoryIsBrokenOff(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"} {
		e := newFakeEndpoint(t, func(req *receivedRequest) {
			_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: "+req.r.Header.Get("Req-Id")+"\r\n"+head+
				strings.Repeat("x", 50_000))
			_ = req.conn.Close()
		})
		p := newTestProxy(t, testPlan(1), e)
		p.answers.Limit = 1 << 10
		_, _, err := p.get(t, "/safe/")
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		assert.Equal(t, e.count(), 1)
	}
}

// Guards against failed attempts that are not retried, or whose bodies stay in memory, while memory is short.
func TestErrorWithoutMemoryIsRetried(t *testing.T) {
	const limit = 64 << 10
	failure := strings.Repeat("x", 2*limit)
	for _, c := range []struct {
		name   string
		second string // status at the second endpoint
		status int
	}{
		{"success", "200 OK", http.StatusOK},
		{"failure", "500 Internal Server Error", http.StatusInternalServerError},
	} {
		first := make(chan struct{}, 1)
		first <- struct{}{}
		handle := func(req *receivedRequest) {
			select {
			case <-first:
				req.respond("500 Internal Server Error", "", failure)
			default:
				req.respond(c.second, "", "ok")
			}
		}
		a, b := newFakeEndpoint(t, handle), newFakeEndpoint(t, handle)
		p := newTestProxy(t, testPlan(1), a, b)
		p.answers.Limit = limit
		status, body, err := p.get(t, "/safe/")
		assert.NilError(t, err)
		assert.Equal(t, status, c.status, c.name)
		assert.Equal(t, body, "ok", c.name)
		assert.Equal(t, a.count()+b.count(), 2)
		eventually(t, "release of the memory", func() bool { return p.answers.Used() == 0 })
	}
}
