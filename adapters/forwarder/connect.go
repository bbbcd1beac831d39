package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minConnectWait bounds the wait for a connection from below: a router that is short of processor time sees a
	// connection some tens of milliseconds after it was established.
	minConnectWait = 40 * time.Millisecond

	// connectDeviations is the number of mean deviations above the mean connect time from which a connect is slow, and
	// connectWeight the weight of the last one in both averages, as in the retransmission timer of TCP.
	connectDeviations = 4
	connectWeight     = 0.125

	// connectTick is the unit of the wait for a connection. Only ticks count, not the time in between: while a process
	// that is short of processor time does not run, it sees neither ticks nor connections.
	connectTick = 10 * time.Millisecond

	// minConnects is the number of measured connects from which their mean is used.
	minConnects = 4
)

// ErrSlowConnect means that a connection was not established in the time that connects to endpoints of the same
// ConnectGroup take. It may still be, and is kept then for later requests.
var ErrSlowConnect = errors.New("no connection in the usual time")

// connectTimes measures the connects of one group of endpoints.
type connectTimes struct {
	count           int
	mean, deviation time.Duration
}

func (t *connectTimes) add(d time.Duration) {
	if t.count++; t.count == 1 {
		t.mean, t.deviation = d, d/2
		return
	}
	off := d - t.mean
	t.deviation += time.Duration(connectWeight * float64(max(off, -off)-t.deviation))
	t.mean += time.Duration(connectWeight * float64(off))
}

// wait returns how long to wait for a connection.
func (t *connectTimes) wait() time.Duration {
	if t.count < minConnects {
		return dialTimeout
	}
	return min(dialTimeout, max(minConnectWait, t.mean+connectDeviations*t.deviation))
}

// connects is what a pool knows of its connects by groups of endpoints.
type connects struct {
	mu      sync.Mutex
	times   map[string]*connectTimes // by group
	pending map[string]int           // slow connects that go on, by address
}

func (c *connects) begin(group, address string) (wait time.Duration, isPending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.times[group]; t != nil {
		return t.wait(), c.pending[address] > 0
	}
	return dialTimeout, c.pending[address] > 0
}

func (c *connects) add(group string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.times[group]
	if t == nil {
		t = &connectTimes{}
		c.times[group] = t
	}
	t.add(d)
}

func (c *connects) addPending(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[address] += n; c.pending[address] <= 0 {
		delete(c.pending, address)
	}
}

type dialResult struct {
	conn *conn
	err  error
}

// dialWithin opens a connection, and returns ErrSlowConnect if that takes longer than usual. The connect goes on then
// and is reported to r.OnConnect; meanwhile no further one to the same address is begun.
func (p *Pool) dialWithin(ctx context.Context, r *Request) (*conn, error) {
	if r.ConnectGroup == "" {
		return p.dial(ctx, r.Address)
	}
	wait, isPending := p.connects.begin(r.ConnectGroup, r.Address)
	if isPending {
		return nil, ErrSlowConnect
	}
	done := make(chan dialResult, 1)
	go func() {
		begun := time.Now()
		c, err := p.dial(context.WithoutCancel(ctx), r.Address)
		if err == nil {
			p.connects.add(r.ConnectGroup, time.Since(begun))
		}
		done <- dialResult{c, err}
	}()
	res, err := awaitDial(ctx, done, wait)
	if err == nil {
		return res.conn, res.err
	}
	p.connects.addPending(r.Address, 1)
	go func() {
		res := <-done
		p.connects.addPending(r.Address, -1)
		if res.err == nil {
			p.putIdle(res.conn, defaultIdleTimeout)
		}
		if r.OnConnect != nil {
			r.OnConnect(res.err)
		}
	}()
	return nil, err
}

// awaitDial waits for the result of a dial, for a time in which this process runs.
func awaitDial(ctx context.Context, done <-chan dialResult, wait time.Duration) (dialResult, error) {
	ticker := time.NewTicker(connectTick)
	defer ticker.Stop()
	for waited := time.Duration(0); waited < wait; waited += connectTick {
		select {
		case res := <-done:
			return res, nil
		case <-ctx.Done():
			return dialResult{}, ctx.Err()
		case <-ticker.C:
		}
	}
	select {
	case res := <-done:
		return res, nil
	default:
		return dialResult{}, ErrSlowConnect
	}
}
