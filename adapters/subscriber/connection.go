package subscriber

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/viewer"
)

// errNoConfirmation closes a connection to an instance that cannot reach a quorum, so that the client tries another.
var errNoConfirmation = errors.New("no quorum-confirmed probe reply from control instance")

// clientConnection is the state of a client that lasts for one connection.
type clientConnection struct {
	client         *Client
	conn           *messenger.Conn
	pendingChanges []viewer.Change // chunks of an incomplete delta

	mu                 sync.Mutex
	lastProbe          uint64
	probesSent         map[uint64]time.Time
	lastConfirmation   time.Time // receipt of the last recent quorum confirmation
	lastReply          time.Time // receipt of the last probe reply
	loadReportInterval time.Duration
}

func (c *clientConnection) dispatch(e messenger.Envelope) error {
	switch e.Kind {
	case kindDelta:
		return handleAs(e, c.addDeltaChunk)
	case kindProbeReply:
		return handleAs(e, c.handleProbeReply)
	case kindPoolLoads:
		return handleAs(e, c.setPoolLoads)
	case kindIncarnation:
		return handleAs(e, func(m incarnationMessage) error {
			c.client.incarnation.Store(m.Incarnation)
			return nil
		})
	case kindCallReply:
		return handleAs(e, func(m callReplyMessage) error {
			c.client.deliverReply(e.Stream, m)
			return nil
		})
	case kindGrant:
		return handleAs(e, func(m allocator.Grant) error {
			c.client.shares.applyGrant(m, time.Now())
			return nil
		})
	}
	return nil
}

func handleAs[T any](e messenger.Envelope, handle func(T) error) error {
	var m T
	if err := e.Decode(&m); err != nil {
		return err
	}
	return handle(m)
}

func (c *clientConnection) addDeltaChunk(d deltaMessage) error {
	if len(c.pendingChanges)+len(d.Changes) > maxViewChanges {
		return fmt.Errorf("delta exceeds the limit of %d changes", maxViewChanges)
	}
	if d.More {
		c.pendingChanges = append(c.pendingChanges, d.Changes...)
		return nil
	}
	d.Changes = append(c.pendingChanges, d.Changes...)
	c.pendingChanges = nil
	return c.client.applyDelta(d.Delta)
}

func (c *clientConnection) setPoolLoads(m poolLoadsMessage) error {
	old := *c.client.poolLoads.Load()
	pools := make(map[string]PoolLoad, len(old)+len(m.Pools))
	for name, p := range old {
		pools[name] = p
	}
	for _, p := range m.Pools {
		pools[p.Pool] = p
	}
	c.client.poolLoads.Store(&pools)
	if m.ReportIntervalMillis > 0 {
		c.mu.Lock()
		c.loadReportInterval = time.Duration(m.ReportIntervalMillis) * time.Millisecond
		c.mu.Unlock()
	}
	return nil
}

// probeLoop sends probes until the connection ends or quorum confirmations have been missing for probeTimeout.
func (c *clientConnection) probeLoop(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	// The check runs more often than probes, so that the client changes instances soon after probeTimeout.
	check := time.NewTicker(probeInterval / 5)
	defer check.Stop()
	if err := c.sendProbe(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if err := c.sendProbe(ctx); err != nil {
				return err
			}
		case <-check.C:
			if c.isUnconfirmed(time.Now()) {
				return errNoConfirmation
			}
		}
	}
}

// isUnconfirmed reports whether another instance is to be tried. Replies wait behind a large view on a slow link, and
// the next instance would begin to send it anew.
func (c *clientConnection) isUnconfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastConfirmation) <= probeTimeout {
		return false
	}
	noReply := now.Sub(c.lastReply)
	isDelayed := noReply > probeTimeout && noReply <= maxReplyDelay && now.Sub(c.conn.HeardAt()) <= probeTimeout
	return !isDelayed
}

// reportDemand reports demand every demandReportInterval, and earlier for a newly demanded workspace or permit.
func (c *clientConnection) reportDemand(ctx context.Context) error {
	t := time.NewTicker(demandReportInterval)
	defer t.Stop()
	for {
		if r, ok := c.client.shares.nextReport(time.Now()); ok {
			if err := c.conn.Send(ctx, kindDemand, 0, r); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minDemandReportInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-c.client.shares.reportNow:
		}
	}
}

func (c *clientConnection) sendProbe(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	c.lastProbe++
	n := c.lastProbe
	c.probesSent[n] = now
	c.mu.Unlock()
	v := c.client.View()
	return c.conn.Send(ctx, kindProbe, 0, probeMessage{Number: n, Index: v.Index, Bundle: v.BundleVersion})
}

func (c *clientConnection) handleProbeReply(m probeReplyMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAt, ok := c.probesSent[m.Number]
	if !ok {
		return nil
	}
	c.lastReply = time.Now()
	for n := range c.probesSent {
		if n <= m.Number {
			delete(c.probesSent, n)
		}
	}
	c.client.lease.extendReachable(sentAt.Add(leaseDuration))
	age := time.Duration(m.AgeMillis) * time.Millisecond
	if m.AgeMillis < 0 || age >= leaseDuration {
		return nil
	}
	// An old confirmation still extends the lease, but does not postpone errNoConfirmation.
	if age < probeTimeout {
		c.lastConfirmation = time.Now()
	}
	c.client.lease.confirm(m.Index, sentAt.Add(leaseDuration-age))
	return nil
}

// reportLoad sends the load when it changes, at most once per interval given by the control instance.
func (c *clientConnection) reportLoad(ctx context.Context) error {
	for first := true; ; first = false {
		if !first {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.client.loadChanged:
			}
		}
		if err := c.conn.Send(ctx, kindLoad, 0, *c.client.load.Load()); err != nil {
			return err
		}
		c.mu.Lock()
		interval := c.loadReportInterval
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}
