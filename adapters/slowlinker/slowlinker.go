package slowlinker

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// piecesPerSecond is the number of pieces by which the bytes of a second are passed on.
	piecesPerSecond = 50

	// bufferBytes is the size of the receive buffers, small enough for writers to notice the rate.
	bufferBytes = 16 << 10
)

// Link is a relay to a target that passes bytes on at a limited rate, in each direction of each connection.
type Link struct {
	Address string // host:port of the relay

	target         string
	bytesPerSecond int
	conns          atomic.Int64
}

// New starts a relay to target that ends with the test.
func New(t testing.TB, target string, bytesPerSecond int) *Link {
	ctx := t.Context()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	l := &Link{Address: ln.Addr().String(), target: target, bytesPerSecond: bytesPerSecond}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.conns.Add(1)
			go l.relay(ctx, c)
		}
	}()
	return l
}

// Conns returns the number of connections so far.
func (l *Link) Conns() int64 { return l.conns.Load() }

func (l *Link) relay(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	for _, d := range []struct{ to, from net.Conn }{{server, client}, {client, server}} {
		go func() {
			l.copySlowly(d.to, d.from)
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *Link) copySlowly(to, from net.Conn) {
	if tcp, ok := from.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bufferBytes)
	}
	buf := make([]byte, l.bytesPerSecond/piecesPerSecond)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
		time.Sleep(time.Second / piecesPerSecond * time.Duration(n) / time.Duration(len(buf)))
	}
}
