package server

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

// scriptedConn is a connection whose caller sends parts, one for each read, and then ends its side.
type scriptedConn struct{ parts [][]byte }

func (c *scriptedConn) Read(p []byte) (int, error) {
	for len(c.parts) > 0 && len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts[0] = c.parts[0][n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedListener accepts one connection.
type scriptedListener struct{ conns chan net.Conn }

func (l *scriptedListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *scriptedListener) Close() error   { return nil }
func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// readRequests returns the requests that a server reads from parts, one line each, and calls onRequest with each of
// them.
func readRequests(g *Guard, parts [][]byte, onRequest func(r *http.Request)) (requests []string) {
	hs := &http.Server{MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: time.Minute, ConnContext: WithConn,
		ErrorLog: log.New(io.Discard, "", 0)}
	hs.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onRequest(r)
		body, err := io.ReadAll(NewBody(r))
		requests = append(requests, fmt.Sprintf("%s %q %q %v %x %v", r.Method, r.Host, r.RequestURI, r.Header, body, err))
		w.Header()["Date"] = nil
	})
	g.Install(hs, &ConnCount{})
	track, done := hs.ConnState, make(chan struct{})
	hs.ConnState = func(c net.Conn, state http.ConnState) {
		if track(c, state); state == http.StateClosed {
			close(done)
		}
	}
	l := &scriptedListener{conns: make(chan net.Conn, 1)}
	l.conns <- g.Wrap(&scriptedConn{parts: parts})
	go func() { _ = hs.Serve(l) }()
	<-done
	close(l.conns)
	_ = hs.Close()
	return requests
}

// Guards against heads that the guard and net/http end at different places, so that net/http parses lines for which
// no memory is reserved, or takes a part of a body for a request.
func FuzzGuard(f *testing.F) {
	const post, get = "POST / HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.1\r\nHost: h\r\n"
	many := shortLines(500)
	for _, s := range []string{
		get + "\r\n" + get + "\r\n",
		get + many + "\r\n",
		post + "Content-Length: 3\r\n\r\nabc" + get + many + "\r\n",
		post + "Content-Length: 3\r\n\r\nabc\r\n" + get + many + "\r\n",
		post + "Content-Length: 3\r\n\r\nabc\n\n\n\n" + get + many + "\n",
		post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n" + many + "\r\n" + get + many + "\r\n",
		post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + get + "\r\n",
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + get + "\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get + many + "\r\n",
		post + "Trailer: a,b,c\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: 1\r\n\r\n" + get + "\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get + "\r\n",
		"\r\n" + get + "\r\n",
		get + " folded: x\r\n\r\n",
		get + "a:\r\r\n\r\n" + get + "\n\r\n",
	} {
		f.Add([]byte(s), uint16(len(s)), uint16(len(s)))
		f.Add([]byte(s), uint16(len(s)/2), uint16(len(s)-1))
	}
	f.Fuzz(func(t *testing.T, data []byte, first, second uint16) {
		a := min(int(first), len(data))
		b := max(a, min(int(second), len(data)))
		parts := func() [][]byte { return [][]byte{data[:a:a], data[a:b:b], data[b:]} }
		res := NewResources(configurer.Machine{}, observer.New(io.Discard, "test"))
		guarded := readRequests(res.Guard(ShareCallers), parts(), func(r *http.Request) {
			n := 0
			for _, values := range r.Header {
				n += len(values)
			}
			assert.Check(t, res.Heads.Used() >= int64(n*headLineBytes), "%d bytes for %d lines", res.Heads.Used(), n)
		})
		plain := readRequests(nil, parts(), func(*http.Request) {})
		assert.DeepEqual(t, guarded, plain)
		assert.Equal(t, res.Heads.Used()+res.Bodies.Used(), int64(0))
	})
}
