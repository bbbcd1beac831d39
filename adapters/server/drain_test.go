package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a listener that resets connections which are established and not yet accepted when it closes, with the
// requests on them.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	const callers = 50
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewDrainingListener(plain)
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", plain.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
	}
	var count ConnCount
	hs := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.NotFoundHandler(), ConnState: count.Track}
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, hs.Serve(l) != nil) })
	assert.NilError(t, l.Drain())
	wg.Wait()
	_, err = net.Dial("tcp", plain.Addr().String())
	assert.Assert(t, err != nil)
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, count.Open(), int64(callers))
	for _, c := range conns {
		assert.NilError(t, c.Close())
	}
	AwaitClosed(t.Context(), count.Open)
	assert.Equal(t, count.Open(), int64(0))
}

// Guards against a drain that waits for ever for a listener of which nobody accepts.
func TestDrainOfAnUnusedListenerEnds(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	start := time.Now()
	assert.NilError(t, NewDrainingListener(plain).Drain())
	assert.Assert(t, time.Since(start) < testTimeout)
}
