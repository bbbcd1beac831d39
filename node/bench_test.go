package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// benchEvents is the number of events of a stream in BenchmarkEvent.
const eventsPerStream = 1000

// post sends a request with the usual headers and drops its answer.
func post(b *testing.B, url string, body io.Reader) {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, url, body)
	assert.NilError(b, err)
	r.Host = "h.example"
	r.Header.Set("Req-Id", "id-1")
	r.Header.Set("Api-Key", "key")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// BenchmarkRequest gives the cost of a request with a body of 2 KB, with that of the caller and the endpoint in the
// same process.
func BenchmarkRequest(b *testing.B) {
	f := newTestProxy(b, testPlan(1), newFakeEndpoint(b, respondOK))
	body := strings.Repeat("x", 2<<10)
	b.ReportAllocs()
	for b.Loop() {
		post(b, f.url+"/safe/", strings.NewReader(body))
	}
}

// BenchmarkEvent gives the cost of an event of a stream that may be resumed, one read and one write each.
func BenchmarkEvent(b *testing.B) {
	var chunks strings.Builder
	for n := range eventsPerStream {
		_, _ = fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(testEvent(n)), testEvent(n))
	}
	e := newFakeEndpoint(b, func(s *receivedRequest) {
		startStream(s)
		for chunk := range strings.SplitAfterSeq(chunks.String(), "\n\n\r\n") {
			_, _ = io.WriteString(s.conn, chunk)
		}
		endStream(s)
	})
	f := newTestProxy(b, testPlan(1), e)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%eventsPerStream != 0 {
			continue
		}
		post(b, f.url+"/resume/", nil)
	}
}

// BenchmarkEventCutter gives the cost of finding the end of an event.
func BenchmarkEventSplitter(b *testing.B) {
	var c eventSplitter
	data := []byte(testEvent(123456))
	b.ReportAllocs()
	for b.Loop() {
		c.split(data)
	}
}
