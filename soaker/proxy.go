package soaker

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode uint8

// The modes of a proxy.
const (
	ModeForward      Mode = iota
	ModeDelay             // each piece waits
	ModeStall             // nothing passes either way, connections stay open
	ModeStallInbound      // nothing passes towards the target
)

// delayed is how long each piece waits in Delay.
const chunkDelay = 60 * time.Millisecond

// Proxy stands between nodes and one of them.
type Proxy struct {
	target string
	ln     net.Listener

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed when the mode changes
	conns       map[net.Conn]bool
}

// NewProxy listens at an address.
func NewProxy(ctx context.Context, address, target string) (*Proxy, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept(ctx)
	return p, nil
}

// Address returns the host:port of the proxy.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Set changes the mode.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// Reset resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.ResetConnections()
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.serve(ctx, c)
	}
}

func (p *Proxy) serve(ctx context.Context, in net.Conn) {
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in, true) })
	wg.Go(func() { p.copy(in, out, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *Proxy) copy(to, from net.Conn, inward bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.applyMode(inward)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as the mode says.
func (p *Proxy) applyMode(inward bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch {
		case mode == ModeDelay:
			time.Sleep(chunkDelay)
			return
		case mode == ModeStall, mode == ModeStallInbound && inward:
			<-changed
		default:
			return
		}
	}
}
