package relayer

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type forwardMode int

const (
	forwardAll  forwardMode = iota
	forwardNone             // bytes are lost and the connection stays open
	forwardLate             // bytes of the dialing side are kept until release
	forwardTwice
)

// forwarder passes TCP connections on to a target, and fails them as a test needs.
type forwarder struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	mode  forwardMode // of new connections
	pipes []*pipe
}

type pipe struct {
	f              *forwarder
	client, server net.Conn
	copies         []net.Conn

	mu   sync.Mutex
	mode forwardMode
	late []byte
}

func newForwarder(t testing.TB, target string, mode forwardMode) *forwarder {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{target: target, l: l, mode: mode}
	t.Cleanup(func() { _ = l.Close(); f.cut() })
	go f.accept()
	return f
}

func (f *forwarder) addr() string { return f.l.Addr().String() }

func (f *forwarder) accept() {
	for {
		c, err := f.l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		p := &pipe{f: f, client: c, mode: f.mode}
		p.server, err = net.Dial("tcp", f.target)
		if err != nil {
			_ = c.Close()
		} else {
			f.pipes = append(f.pipes, p)
			if p.mode == forwardTwice {
				if second, err := net.Dial("tcp", f.target); err == nil {
					p.copies = []net.Conn{second}
				}
			}
			go p.copy(p.server, c, true)
			go p.copy(c, p.server, false)
		}
		f.mu.Unlock()
	}
}

func (p *pipe) copy(dst, src net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			if p.current() != forwardLate {
				_ = dst.Close()
			}
			return
		}
		p.mu.Lock()
		switch {
		case p.mode == forwardNone:
		case p.mode == forwardLate && fromClient:
			p.late = append(p.late, buf[:n]...)
		default:
			_, _ = dst.Write(buf[:n])
			if fromClient {
				for _, c := range p.copies {
					_, _ = c.Write(buf[:n])
				}
			}
		}
		p.mu.Unlock()
	}
}

func (p *pipe) current() forwardMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (f *forwarder) each(do func(p *pipe)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.mu.Lock()
		do(p)
		p.mu.Unlock()
	}
}

func (f *forwarder) setOpen(m forwardMode) { f.each(func(p *pipe) { p.mode = m }) }

// release sends what was kept, and ends those connections.
func (f *forwarder) release() {
	f.each(func(p *pipe) {
		if p.mode == forwardLate {
			_, _ = p.server.Write(p.late)
			_ = p.server.Close()
		}
	})
}

func (f *forwarder) accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pipes)
}

func (f *forwarder) cut() {
	f.each(func(p *pipe) {
		_ = p.client.Close()
		_ = p.server.Close()
		for _, c := range p.copies {
			_ = c.Close()
		}
	})
}
