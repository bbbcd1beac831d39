package relayer

import (
	"context"
	"sync"

	"cactusroute.dev/adapters/messenger"
)

// agentConn is one connection to an agent.
type agentConn struct {
	addr      string
	transport *messenger.Conn
	instance  string // identifies the agent process
	heartbeat *heartbeat

	mu      sync.Mutex
	streams map[uint64]*Stream
	err     error
	closed  chan struct{}
}

func newAgentConn(addr string, transport *messenger.Conn) *agentConn {
	return &agentConn{
		addr: addr, transport: transport, instance: transport.Header().Get(headerInstance),
		heartbeat: newHeartbeat(transport), streams: map[uint64]*Stream{}, closed: make(chan struct{}),
	}
}

func (a *agentConn) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

// fail closes the connection and reports whether it did. errIdleTimeout has no effect if a stream is attached.
func (a *agentConn) fail(err error) bool {
	a.mu.Lock()
	if a.err != nil || err == errIdleTimeout && len(a.streams) > 0 { //nolint:errorlint // errIdleTimeout is never wrapped
		a.mu.Unlock()
		return false
	}
	a.err = err
	close(a.closed)
	a.mu.Unlock()
	if err == errIdleTimeout { //nolint:errorlint // errIdleTimeout is never wrapped
		_ = a.transport.Close()
	} else {
		_ = a.transport.Abort()
	}
	return true
}

func (a *agentConn) cause() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

func (a *agentConn) attach(s *Stream) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return a.err
	}
	a.streams[s.id] = s
	a.heartbeat.startRequest()
	return nil
}

func (a *agentConn) detach(s *Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams[s.id] == s {
		delete(a.streams, s.id)
		a.heartbeat.endRequest()
	}
}

func (a *agentConn) read() {
	var e messenger.Envelope
	for {
		if err := a.transport.ReceiveInto(context.Background(), &e); err != nil {
			a.fail(err)
			return
		}
		a.heartbeat.recordActivity()
		if e.Kind == kindKeepalive {
			a.mu.Lock()
			for _, s := range a.streams {
				s.hasActivity.Store(true)
			}
			a.mu.Unlock()
			continue
		}
		a.mu.Lock()
		s := a.streams[e.Stream]
		a.mu.Unlock()
		if s == nil {
			continue
		}
		if err := s.handleMessage(a, &e); err != nil {
			a.fail(err)
			return
		}
	}
}

// send writes a message in the background and ignores errors.
func (a *agentConn) send(kind uint8, stream uint64, body any) {
	go func() { _ = a.transport.Send(context.Background(), kind, stream, body) }()
}
