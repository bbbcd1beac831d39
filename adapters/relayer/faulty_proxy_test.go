package relayer

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type proxyMode int

const (
	modeForward   proxyMode = iota
	modeDrop                // drops all bytes and keeps the connection open
	modeDelay               // buffers the bytes of the client until flushDelayed
	modeDuplicate           // sends the bytes of the client over a second connection, too
)

// faultyProxy forwards TCP connections to a target and injects network faults.
type faultyProxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode // of new connections
	conns []*proxiedConn
}

type proxiedConn struct {
	proxy          *faultyProxy
	client, server net.Conn
	duplicates     []net.Conn

	mu      sync.Mutex
	mode    proxyMode
	delayed []byte
}

func newFaultyProxy(t testing.TB, target string, mode proxyMode) *faultyProxy {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &faultyProxy{target: target, listener: listener, mode: mode}
	t.Cleanup(func() { _ = listener.Close(); p.closeAll() })
	go p.accept()
	return p
}

func (p *faultyProxy) addr() string { return p.listener.Addr().String() }

func (p *faultyProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		conn := &proxiedConn{proxy: p, client: client, mode: p.mode}
		conn.server, err = net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
		} else {
			p.conns = append(p.conns, conn)
			if conn.mode == modeDuplicate {
				if duplicate, err := net.Dial("tcp", p.target); err == nil {
					conn.duplicates = []net.Conn{duplicate}
				}
			}
			go conn.copy(conn.server, client, true)
			go conn.copy(client, conn.server, false)
		}
		p.mu.Unlock()
	}
}

func (c *proxiedConn) copy(dst, src net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			if c.currentMode() != modeDelay {
				_ = dst.Close()
			}
			return
		}
		c.mu.Lock()
		switch {
		case c.mode == modeDrop:
		case c.mode == modeDelay && fromClient:
			c.delayed = append(c.delayed, buf[:n]...)
		default:
			_, _ = dst.Write(buf[:n])
			if fromClient {
				for _, dup := range c.duplicates {
					_, _ = dup.Write(buf[:n])
				}
			}
		}
		c.mu.Unlock()
	}
}

func (c *proxiedConn) currentMode() proxyMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (p *faultyProxy) each(do func(c *proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		do(c)
		c.mu.Unlock()
	}
}

func (p *faultyProxy) setMode(m proxyMode) { p.each(func(c *proxiedConn) { c.mode = m }) }

// flushDelayed sends the delayed bytes to the target and closes those connections.
func (p *faultyProxy) flushDelayed() {
	p.each(func(c *proxiedConn) {
		if c.mode == modeDelay {
			_, _ = c.server.Write(c.delayed)
			_ = c.server.Close()
		}
	})
}

func (p *faultyProxy) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *faultyProxy) closeAll() {
	p.each(func(c *proxiedConn) {
		_ = c.client.Close()
		_ = c.server.Close()
		for _, dup := range c.duplicates {
			_ = dup.Close()
		}
	})
}
