package relayer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
)

// errAgentRestarted means that another process than the one that received the request serves the agent's address.
var errAgentRestarted = errors.New("agent process restarted")

// Stats are the counters of a client since its start.
type Stats struct {
	Dials             uint64 // connection attempts
	FailedDials       uint64
	HeartbeatTimeouts uint64 // connections that were closed because of inactivity
	Resumed           uint64 // responses that were resumed over another connection
	Lost              uint64 // requests that may have been sent and whose agent was lost
}

// counters are the counters behind Stats.
type counters struct {
	dials, failedDials, heartbeatTimeouts, resumed, lost atomic.Uint64
}

// Client is the router's side of the protocol; it shares one connection per agent among all requests.
type Client struct {
	counters counters

	opts         messenger.Options
	ctx          context.Context
	lastStreamID atomic.Uint64

	mu    sync.Mutex
	conns map[string]*agentConn // by address, the newest connection to each agent
	dials map[string]*dial      // by address, the dials in progress
}

// dial is a connection attempt that is shared by all requests to its address.
type dial struct {
	done chan struct{}
	conn *agentConn
	err  error
}

// NewClient returns a client whose connections are closed when ctx ends.
func NewClient(ctx context.Context, opts messenger.Options) *Client {
	return &Client{opts: opts, ctx: ctx, conns: map[string]*agentConn{}, dials: map[string]*dial{}}
}

// Start sends a request to the agent at addr and waits for the head of the response until the request's deadline. It
// returns a *RefusalError if the request did not run, an *IncompleteError if the agent ended the response before its
// head, and otherwise an *AgentLostError whose Sent is true if the request may have been sent.
func (c *Client) Start(ctx context.Context, addr string, req Request) (*Stream, error) {
	if err := checkRequestID(req.ID); err != nil {
		return nil, &AgentLostError{Address: addr, Sent: false, Cause: err}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := newStream(c, addr, &req)
	sent, err := s.sendRun(ctx)
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

// NotifyMoved notifies the agent at addr, whose endpoint is the primary of a chat, of the endpoint that served it. This
// is a hint for the next turn of the chat, so it is dropped if no connection is open.
func (c *Client) NotifyMoved(addr string, chat uint64, endpoint string) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil && !conn.isClosed() {
		conn.send(kindMoved, 0, &movedMessage{Chat: chat, Endpoint: endpoint})
	}
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	n := &c.counters
	return Stats{
		Dials: n.dials.Load(), FailedDials: n.failedDials.Load(), HeartbeatTimeouts: n.heartbeatTimeouts.Load(),
		Resumed: n.resumed.Load(), Lost: n.lost.Load(),
	}
}

// connect returns a connection to addr that was opened at after or later, and opens one if necessary.
func (c *Client) connect(ctx context.Context, addr string, after time.Time) (*agentConn, error) {
	c.mu.Lock()
	if conn := c.conns[addr]; conn != nil && !conn.isClosed() && !conn.heartbeat.opened.Before(after) {
		c.mu.Unlock()
		return conn, nil
	}
	d := c.dial(addr)
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// dial starts to open a connection, or joins the dial in progress. The caller must hold c.mu.
func (c *Client) dial(addr string) *dial {
	if d := c.dials[addr]; d != nil {
		return d
	}
	d := &dial{done: make(chan struct{})}
	c.dials[addr] = d
	c.counters.dials.Add(1)
	go func() {
		defer close(d.done)
		transport, err := messenger.Dial(c.ctx, addr, Path, c.opts)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.dials, addr)
		if d.err = err; err != nil {
			c.counters.failedDials.Add(1)
			return
		}
		d.conn = newAgentConn(addr, transport)
		c.conns[addr] = d.conn
		go d.conn.read()
		go c.watch(d.conn)
	}()
	return d
}

// watch closes a connection that is inactive or idle. It dials a new connection as soon as a keepalive is overdue, so
// that detecting a lost agent doesn't take the heartbeat timeout and the dial timeout one after the other.
func (c *Client) watch(conn *agentConn) {
	defer context.AfterFunc(c.ctx, func() { conn.fail(context.Cause(c.ctx)) })()
	for {
		err := conn.heartbeat.watch(conn.closed, idleTimeout, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.conns[conn.addr] == conn {
				c.dial(conn.addr)
			}
		})
		if errors.Is(err, errHeartbeatTimeout) {
			c.counters.heartbeatTimeouts.Add(1)
		}
		if err == nil || conn.fail(err) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
}
