package courier

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
)

type outgoing struct {
	kind uint8
	body any
}

// link is the connection to one other instance; it carries messages in one direction only.
type link struct {
	courier *Courier
	address string
	queue   chan outgoing
	up      atomic.Bool
	stopped chan struct{}
}

func newLink(c *Courier, address string) *link {
	return &link{courier: c, address: address, queue: make(chan outgoing, queueMessages), stopped: make(chan struct{})}
}

func (l *link) stop() { close(l.stopped) }

func (l *link) context(ctx context.Context) context.Context {
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

// enqueue drops the message while the connection is down: what waits for long is of no use to consensus.
func (l *link) enqueue(o outgoing) {
	if !l.up.Load() {
		return
	}
	select {
	case l.queue <- o:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	wait := shortRedial
	for ctx.Err() == nil {
		conn, err := messenger.Dial(ctx, l.address, Path, l.courier.opts)
		if err == nil {
			l.carry(ctx, conn)
			wait = shortRedial
		}
		pause := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
		wait = min(2*wait, longRedial)
	}
}

func (l *link) carry(ctx context.Context, conn *messenger.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.Close() }()
	hello := helloMessage{Version: messenger.ProtocolVersion, Name: l.courier.name}
	if sendWithin(ctx, conn, outgoing{kindHello, hello}) != nil {
		return
	}
	go func() {
		defer cancel()
		for {
			if _, err := conn.ReceiveWithTimeout(ctx, silenceLimit); err != nil {
				return
			}
		}
	}()
	l.drain()
	l.up.Store(true)
	defer l.up.Store(false)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		o := outgoing{kindPing, nil}
		select {
		case <-ctx.Done():
			return
		case <-ping.C:
		case o = <-l.queue:
		}
		if sendWithin(ctx, conn, o) != nil {
			return
		}
	}
}

func (l *link) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}
