package subscriber

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/sharer"
	"cactusroute.dev/core/viewer"
)

// errUnconfirmed ends a connection to an instance that does not reach a quorum.
var errUnconfirmed = errors.New("no confirmed answer from control")

// link is one connection of a client.
type link struct {
	client *Client
	conn   *messenger.Conn
	pieces []viewer.Change // of a delta whose last piece has not come yet

	mu     sync.Mutex
	next   uint64
	sent   map[uint64]time.Time
	last   time.Time // when the last answer with a quorum confirmation came
	report time.Duration
}

func (l *link) dispatch(e messenger.Envelope) error {
	switch e.Kind {
	case kindDelta:
		return receive(e, l.piece)
	case kindFresh:
		return receive(e, l.answered)
	case kindPools:
		return receive(e, l.poolLoads)
	case kindIncarnation:
		return receive(e, func(m incarnationMessage) error {
			l.client.incarnation.Store(m.Incarnation)
			return nil
		})
	case kindReply:
		return receive(e, func(m replyMessage) error {
			l.client.reply(e.Stream, m)
			return nil
		})
	case kindGrant:
		return receive(e, func(m sharer.Grant) error {
			l.client.book.apply(m, time.Now())
			return nil
		})
	}
	return nil
}

func receive[T any](e messenger.Envelope, use func(T) error) error {
	var m T
	if err := e.Decode(&m); err != nil {
		return err
	}
	return use(m)
}

func (l *link) piece(d deltaMessage) error {
	if len(l.pieces)+len(d.Changes) > maxViewChanges {
		return fmt.Errorf("delta has more than %d changes", maxViewChanges)
	}
	if d.More {
		l.pieces = append(l.pieces, d.Changes...)
		return nil
	}
	d.Changes = append(l.pieces, d.Changes...)
	l.pieces = nil
	return l.client.apply(d.Delta)
}

func (l *link) poolLoads(m poolsMessage) error {
	old := *l.client.pools.Load()
	pools := make(map[string]PoolLoad, len(old)+len(m.Pools))
	for name, p := range old {
		pools[name] = p
	}
	for _, p := range m.Pools {
		pools[p.Pool] = p
	}
	l.client.pools.Store(&pools)
	if m.ReportMillis > 0 {
		l.mu.Lock()
		l.report = time.Duration(m.ReportMillis) * time.Millisecond
		l.mu.Unlock()
	}
	return nil
}

// probe sends probes until the connection ends or no confirmed answer comes.
func (l *link) probe(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	// The check runs more often than probes, so that the client changes instances after answerLimit.
	check := time.NewTicker(probeInterval / 5)
	defer check.Stop()
	if err := l.sendProbe(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if err := l.sendProbe(ctx); err != nil {
				return err
			}
		case <-check.C:
			l.mu.Lock()
			silent := time.Since(l.last) > answerLimit
			l.mu.Unlock()
			if silent {
				return errUnconfirmed
			}
		}
	}
}

// reportDemand asks for shares once a second, and sooner for a workspace or permit that is wanted for the first time.
func (l *link) reportDemand(ctx context.Context) error {
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for {
		if r, ok := l.client.book.report(time.Now()); ok {
			if err := l.conn.Send(ctx, kindDemand, 0, r); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minDemandInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-l.client.book.wake:
		}
	}
}

func (l *link) sendProbe(ctx context.Context) error {
	now := time.Now()
	l.mu.Lock()
	l.next++
	n := l.next
	l.sent[n] = now
	l.mu.Unlock()
	v := l.client.View()
	return l.conn.Send(ctx, kindProbe, 0, probeMessage{Number: n, Index: v.Index, Bundle: v.BundleVersion})
}

func (l *link) answered(m freshMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.sent[m.Number]
	if !ok {
		return nil
	}
	for n := range l.sent {
		if n <= m.Number {
			delete(l.sent, n)
		}
	}
	l.client.lease.reached(sent.Add(leaseTime))
	age := time.Duration(m.AgeMillis) * time.Millisecond
	if m.AgeMillis < 0 || age >= leaseTime {
		return nil
	}
	// An old confirmation still extends the lease a little, but does not keep the client at this instance.
	if age < answerLimit {
		l.last = time.Now()
	}
	l.client.lease.confirm(m.Index, sent.Add(leaseTime-age))
	return nil
}

// reportLoad sends a changed load at the interval that control gives, and an unchanged one not at all.
func (l *link) reportLoad(ctx context.Context) error {
	for first := true; ; first = false {
		if !first {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-l.client.loadChanged:
			}
		}
		if err := l.conn.Send(ctx, kindLoad, 0, *l.client.load.Load()); err != nil {
			return err
		}
		l.mu.Lock()
		pause := l.report
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}
