package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// Guards against bytes of an endpoint that crash the router, exceed a bound, or are taken for the response to another
// request.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 E\r\nX-Half: HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n7fffffffffffffff\r\nxxx",
		"HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n",
	} {
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		limits := Limits{HeadBytes: 512, HeaderFields: 8, InformationalResponses: 2, SkippedResponses: 1,
			SkippedBodyBytes: 64, BodyBytes: 256, ChunkLineBytes: 32, TrailerBytes: 32}
		c := &conn{br: bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes), reused: reused}
		x := &exchange{pool: &Pool{limits: limits}, conn: c}
		resp, err := x.readResponse(&Request{Method: "GET", IDHeader: "X-Id", ID: "1"})
		if err != nil {
			return
		}
		if id := resp.Header["X-Id"]; len(id) != 1 || id[0] != "1" {
			if reused || resp.Status < 400 {
				t.Fatalf("status %d with ID %q is taken for the response", resp.Status, id)
			}
		}
		n, _ := io.Copy(io.Discard, x.body)
		if n > limits.BodyBytes {
			t.Fatalf("body of %d bytes", n)
		}
	})
}
