package soaker

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Mode selects how a proxy forwards the bytes of its connections.
type Mode uint8

// Modes of a proxy.
const (
	ModeForward      Mode = iota
	ModeDelay             // each chunk is delayed by chunkDelay
	ModeStall             // no bytes are forwarded, connections stay open
	ModeStallInbound      // no bytes are forwarded to the target
)

const chunkDelay = 60 * time.Millisecond

// Proxy forwards connections from other nodes to the exchange address of one node.
type Proxy struct {
	target string
	ln     net.Listener

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed when the mode changes
	conns       map[net.Conn]bool
	rate        float64      // bytes per second of all connections together, in each direction; 0 is unlimited
	freeAt      [2]time.Time // when the bytes of a direction that were accepted so far have been sent
}

// NewProxy starts a proxy that listens at address and forwards to target.
func NewProxy(ctx context.Context, address, target string) (*Proxy, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept(ctx)
	return p, nil
}

// Address returns the host:port at which the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetMode sets the mode of all connections, including those that are open.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// SetRate limits the bytes per second of all connections together, in each direction.
func (p *Proxy) SetRate(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = bytesPerSecond
}

// pace waits until n bytes of a direction have been sent at the rate of the proxy.
func (p *Proxy) pace(n, direction int) {
	p.mu.Lock()
	if p.rate <= 0 {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	if p.freeAt[direction].Before(now) {
		p.freeAt[direction] = now
	}
	p.freeAt[direction] = p.freeAt[direction].Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	until := p.freeAt[direction]
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// ResetConnections closes all connections with a TCP reset.
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

// Close stops the proxy and resets its connections.
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

func (p *Proxy) copy(dst, src net.Conn, inbound bool) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 32<<10)
	direction := 0
	if inbound {
		direction = 1
	}
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.applyMode(inbound)
			p.pace(n, direction)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode blocks a chunk for as long as the mode requires.
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
