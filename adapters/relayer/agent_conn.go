package relayer

import (
	"context"
	"sync"

	"cactusroute.dev/adapters/messenger"
)

// link is one connection to an agent.
type link struct {
	addr     string
	conn     *messenger.Conn
	instance string // of the agent process
	beat     *heartbeat

	mu      sync.Mutex
	streams map[uint64]*Stream
	err     error
	broken  chan struct{}
}

func newLink(addr string, conn *messenger.Conn) *link {
	return &link{
		addr: addr, conn: conn, instance: conn.Header().Get(headerInstance), beat: newHeartbeat(conn),
		streams: map[uint64]*Stream{}, broken: make(chan struct{}),
	}
}

func (l *link) isBroken() bool {
	select {
	case <-l.broken:
		return true
	default:
		return false
	}
}

// fail ends the connection; with errIdle only if no stream was attached meanwhile.
func (l *link) fail(err error) bool {
	l.mu.Lock()
	if l.err != nil || err == errIdle && len(l.streams) > 0 { //nolint:errorlint // errIdle is never wrapped
		l.mu.Unlock()
		return false
	}
	l.err = err
	close(l.broken)
	l.mu.Unlock()
	if err == errIdle { //nolint:errorlint // errIdle is never wrapped
		_ = l.conn.Close()
	} else {
		_ = l.conn.Abort()
	}
	return true
}

func (l *link) cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *link) attach(s *Stream) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	l.streams[s.number] = s
	l.beat.begin()
	return nil
}

func (l *link) detach(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.number] == s {
		delete(l.streams, s.number)
		l.beat.end()
	}
}

func (l *link) read() {
	var e messenger.Envelope
	for {
		if err := l.conn.ReceiveInto(context.Background(), &e); err != nil {
			l.fail(err)
			return
		}
		l.beat.hear()
		if e.Kind == kindKeepalive {
			l.mu.Lock()
			for _, s := range l.streams {
				s.heard.Store(true)
			}
			l.mu.Unlock()
			continue
		}
		l.mu.Lock()
		s := l.streams[e.Stream]
		l.mu.Unlock()
		if s == nil {
			continue
		}
		if err := s.deliver(l, &e); err != nil {
			l.fail(err)
			return
		}
	}
}

// send writes a message that nobody waits for.
func (l *link) send(kind uint8, stream uint64, body any) {
	go func() { _ = l.conn.Send(context.Background(), kind, stream, body) }()
}
