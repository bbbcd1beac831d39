package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadBytes is more than the buffers of a connection take.
const uploadBytes = 16 << 20

// Guards against a part of a response that is taken for the whole because the endpoint resets the connection while the
// request is still being written: the kernel reports the reset to the write or to the read, and to the other an end.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
		for _, isReset := range []bool{true, false} {
			address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\npart")
				time.Sleep(delay)
				if tc, ok := c.(*net.TCPConn); ok && isReset {
					_ = tc.SetLinger(0)
				}
			})
			complete := 0
			for n := range 50 {
				r := newRequest(address, strconv.Itoa(n), make([]byte, uploadBytes))
				resp, err := NewPool(DefaultLimits()).Send(t.Context(), r)
				if err != nil {
					continue
				}
				if _, err = io.ReadAll(resp.Body); err == nil {
					complete++
				}
				assert.NilError(t, resp.Body.Close())
			}
			assert.Check(t, complete == 0, "%d of 50 after %s, reset %t", complete, delay, isReset)
		}
	}
}
