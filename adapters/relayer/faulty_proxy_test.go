package relayer

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type proxyMode int

const (
	modeForward proxyMode = iota
	modeDrop              // bytes are lost and the connection stays open
	modeDelay             // bytes of the dialing side are kept until release
	modeDuplicate
)

// forwarder passes TCP connections on to a target, and fails them as a test needs.
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
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &faultyProxy{target: target, listener: l, mode: mode}
	t.Cleanup(func() { _ = l.Close(); f.closeAll() })
	go f.accept()
	return f
}

func (f *faultyProxy) addr() string { return f.listener.Addr().String() }

func (f *faultyProxy) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		p := &proxiedConn{proxy: f, client: c, mode: f.mode}
		p.server, err = net.Dial("tcp", f.target)
		if err != nil {
			_ = c.Close()
		} else {
			f.conns = append(f.conns, p)
			if p.mode == modeDuplicate {
				if second, err := net.Dial("tcp", f.target); err == nil {
					p.duplicates = []net.Conn{second}
				}
			}
			go p.copy(p.server, c, true)
			go p.copy(c, p.server, false)
		}
		f.mu.Unlock()
	}
}

func (p *proxiedConn) copy(dst, src net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			if p.currentMode() != modeDelay {
				_ = dst.Close()
			}
			return
		}
		p.mu.Lock()
		switch {
		case p.mode == modeDrop:
		case p.mode == modeDelay && fromClient:
			p.delayed = append(p.delayed, buf[:n]...)
		default:
			_, _ = dst.Write(buf[:n])
			if fromClient {
				for _, c := range p.duplicates {
					_, _ = c.Write(buf[:n])
				}
			}
		}
		p.mu.Unlock()
	}
}

func (p *proxiedConn) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (f *faultyProxy) each(do func(p *proxiedConn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.conns {
		p.mu.Lock()
		do(p)
		p.mu.Unlock()
	}
}

func (f *faultyProxy) setMode(m proxyMode) { f.each(func(p *proxiedConn) { p.mode = m }) }

// release sends what was kept, and ends those connections.
func (f *faultyProxy) flushDelayed() {
	f.each(func(p *proxiedConn) {
		if p.mode == modeDelay {
			_, _ = p.server.Write(p.delayed)
			_ = p.server.Close()
		}
	})
}

func (f *faultyProxy) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *faultyProxy) closeAll() {
	f.each(func(p *proxiedConn) {
		_ = p.client.Close()
		_ = p.server.Close()
		for _, c := range p.duplicates {
			_ = c.Close()
		}
	})
}
