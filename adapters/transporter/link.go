package transporter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
)

type outgoingMessage struct {
	kind uint8
	body any
}

// link is the outgoing connection to one peer; the peer sends only pongs on it.
type link struct {
	transporter *Transporter
	address     string
	queue       chan outgoingMessage
	connected   atomic.Bool
	stopped     chan struct{}
}

func newLink(t *Transporter, address string) *link {
	return &link{transporter: t, address: address, queue: make(chan outgoingMessage, maxQueuedMessages),
		stopped: make(chan struct{})}
}

func (l *link) stop() { close(l.stopped) }

func (l *link) runContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-l.stopped:
		case <-ctx.Done():
		}
		cancel()
	}()
	return ctx
}

// enqueue drops the message while the connection is down, because stale consensus messages are useless.
func (l *link) enqueue(m outgoingMessage) {
	if !l.connected.Load() {
		return
	}
	select {
	case l.queue <- m:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := messenger.Dial(ctx, l.address, Path, l.transporter.opts)
		if err == nil {
			l.sendMessages(ctx, conn)
			delay = minRedialDelay
		}
		timer := time.NewTimer(delay/2 + rand.N(delay))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (l *link) sendMessages(ctx context.Context, conn *messenger.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.Close() }()
	hello := helloMessage{Version: messenger.ProtocolVersion, Name: l.transporter.name}
	if sendWithTimeout(ctx, conn, outgoingMessage{kindHello, hello}) != nil {
		return
	}
	go func() {
		defer cancel()
		for {
			if _, err := conn.ReceiveWithTimeout(ctx, silenceTimeout); err != nil {
				return
			}
		}
	}()
	l.clearQueue()
	l.connected.Store(true)
	defer l.connected.Store(false)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		m := outgoingMessage{kindPing, nil}
		select {
		case <-ctx.Done():
			return
		case <-ping.C:
		case m = <-l.queue:
		}
		if sendWithTimeout(ctx, conn, m) != nil {
			return
		}
	}
}

func (l *link) clearQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}
