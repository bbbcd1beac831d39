package node

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventsPerStream is the number of events of a stream in BenchmarkEvent.
const eventsPerStream = 1000

// post sends a request with the usual headers and discards the response.
func post(b *testing.B, url string, body io.Reader) {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, url, body)
	assert.NilError(b, err)
	r.Host = "h.example"
	r.Header.Set("Req-Id", rand.Text())
	r.Header.Set("Api-Key", "key")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// BenchmarkRequest measures a request with a body of 2 KB, including the caller and the endpoint in the same process.
func BenchmarkRequest(b *testing.B) {
	p := newTestProxy(b, testPlan(1), newFakeEndpoint(b, respondOK))
	body := strings.Repeat("x", 2<<10)
	b.ReportAllocs()
	for b.Loop() {
		post(b, p.url+"/safe/", strings.NewReader(body))
	}
}

// BenchmarkEvent measures the forwarding of one event of a resumable stream, with one read and one write per event.
func BenchmarkEvent(b *testing.B) {
	var chunks strings.Builder
	for n := range eventsPerStream {
		_, _ = fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(testEvent(n)), testEvent(n))
	}
	e := newFakeEndpoint(b, func(req *receivedRequest) {
		startStream(req)
		for chunk := range strings.SplitAfterSeq(chunks.String(), "\n\n\r\n") {
			_, _ = io.WriteString(req.conn, chunk)
		}
		endStream(req)
	})
	p := newTestProxy(b, testPlan(1), e)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%eventsPerStream != 0 {
			continue
		}
		post(b, p.url+"/resume/", nil)
	}
}

// BenchmarkEventSplitter measures the splitting of one event.
func BenchmarkEventSplitter(b *testing.B) {
	splitter := eventSplitter{maxEventBytes: defaultEventBytes}
	data := []byte(testEvent(123456))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := splitter.split(data); err != nil {
			b.Fatal(err)
		}
	}
}
