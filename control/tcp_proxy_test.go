package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const frozenPollInterval = 5 * time.Millisecond

// tcpProxy forwards TCP connections to an address that may change. While it is frozen, connections stay open and
// forward nothing, as in a network partition without resets; data sent meanwhile arrives afterwards.
type tcpProxy struct {
	net.Listener
	t      *testing.T
	mu     sync.Mutex
	target string
	frozen bool
	conns  map[net.Conn]bool
}

func newTCPProxy(t *testing.T) *tcpProxy {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &tcpProxy{Listener: l, t: t, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.closeConns() })
	return p
}

func (p *tcpProxy) addr() string { return p.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		c, err := p.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *tcpProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	p.waitWhileFrozen()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	upstream, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	copyAll := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			p.waitWhileFrozen()
			if err != nil {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
	}
	go copyAll(client, upstream)
	go copyAll(upstream, client)
	<-done
	_, _ = client.Close(), upstream.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

func (p *tcpProxy) waitWhileFrozen() {
	for p.t.Context().Err() == nil {
		p.mu.Lock()
		frozen := p.frozen
		p.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(frozenPollInterval)
	}
}

func (p *tcpProxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *tcpProxy) setFrozen(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

// closeConns closes all connections.
func (p *tcpProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
