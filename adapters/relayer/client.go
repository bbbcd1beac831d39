package relayer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
)

// errRestarted says that the process that ran the request is gone, although its address answers.
var errRestarted = errors.New("the agent has restarted")

// Stats counts what happened to the connections of a client since its start.
type Stats struct {
	Dials             uint64 // connection attempts
	FailedDials       uint64
	HeartbeatTimeouts uint64 // connections that were replaced because of silence
	Resumed           uint64 // answers that were continued over another connection
	Lost              uint64 // requests whose agent was lost after they may have been sent
}

// counters are the source of Stats.
type counters struct {
	dials, dialsFailed, silent, resumed, lost atomic.Uint64
}

// Client is the router's end of the protocol; it holds one connection for each agent in use.
type Client struct {
	counters counters

	opts   messenger.Options
	ctx    context.Context
	number atomic.Uint64 // of the last stream

	mu    sync.Mutex
	links map[string]*link // the newest of each agent
	dials map[string]*dial
}

// dial is a connection attempt that all requests to its address share.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// NewClient returns a client whose connections end with ctx.
func NewClient(ctx context.Context, opts messenger.Options) *Client {
	return &Client{opts: opts, ctx: ctx, links: map[string]*link{}, dials: map[string]*dial{}}
}

// Start sends a request to the agent at addr and waits for the head of its answer, at most until the deadline of
// the request. It returns a *RefusalError if the request did not run, a *IncompleteError if the agent ended the answer
// before its head, and otherwise a *AgentLostError whose Sent is true if the request may have left.
func (c *Client) Start(ctx context.Context, addr string, req Request) (*Stream, error) {
	if err := checkID(req.ID); err != nil {
		return nil, &AgentLostError{Address: addr, Sent: false, Cause: err}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := newStream(c, addr, &req)
	sent, err := s.run(ctx)
	if err != nil {
		s.close()
		return nil, &AgentLostError{Address: addr, Sent: false, Cause: err}
	}
	if err := s.waitHead(ctx, sent); err != nil {
		s.Cancel()
		return nil, err
	}
	return s, nil
}

// NotifyMoved tells the agent at addr which endpoint served a chat whose first candidate the agent's endpoint is. It is a
// hint for the chat's next turn, so it is dropped if no connection is open.
func (c *Client) NotifyMoved(addr string, chat uint64, endpoint string) {
	c.mu.Lock()
	l := c.links[addr]
	c.mu.Unlock()
	if l != nil && !l.isBroken() {
		l.send(kindMoved, 0, &movedMessage{Chat: chat, Endpoint: endpoint})
	}
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	n := &c.counters
	return Stats{
		Dials: n.dials.Load(), FailedDials: n.dialsFailed.Load(), HeartbeatTimeouts: n.silent.Load(),
		Resumed: n.resumed.Load(), Lost: n.lost.Load(),
	}
}

// connected returns a connection to addr that was opened after a time, and opens one if need be.
func (c *Client) connected(ctx context.Context, addr string, after time.Time) (*link, error) {
	c.mu.Lock()
	if l := c.links[addr]; l != nil && !l.isBroken() && !l.beat.opened.Before(after) {
		c.mu.Unlock()
		return l, nil
	}
	d := c.dial(addr)
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// dial opens a connection, or joins the attempt in progress; c.mu is held.
func (c *Client) dial(addr string) *dial {
	if d := c.dials[addr]; d != nil {
		return d
	}
	d := &dial{done: make(chan struct{})}
	c.dials[addr] = d
	c.counters.dials.Add(1)
	go func() {
		defer close(d.done)
		conn, err := messenger.Dial(c.ctx, addr, Path, c.opts)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.dials, addr)
		if d.err = err; err != nil {
			c.counters.dialsFailed.Add(1)
			return
		}
		d.link = newLink(addr, conn)
		c.links[addr] = d.link
		go d.link.read()
		go c.watch(d.link)
	}()
	return d
}

// watch ends a connection that is silent or not used. When a keepalive is overdue it prepares a new connection, so
// that the verdict on the agent doesn't take the time of silence and of a connection attempt one after the other.
func (c *Client) watch(l *link) {
	defer context.AfterFunc(c.ctx, func() { l.fail(context.Cause(c.ctx)) })()
	for {
		err := l.beat.watch(l.broken, idleLimit, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.links[l.addr] == l {
				c.dial(l.addr)
			}
		})
		if errors.Is(err, errSilent) {
			c.counters.silent.Add(1)
		}
		if err == nil || l.fail(err) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.addr] == l {
		delete(c.links, l.addr)
	}
}
