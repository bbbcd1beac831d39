package courier

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/replicator"
)

// Path is where the handler is mounted.
const Path = "/courier/v1"

// The kinds of envelopes.
const (
	kindHello uint8 = iota + 1
	kindPing
	kindPong
	kindConsensus
	kindProposal
	kindRefusal
	kindAnnounce
	kindSoft
)

const (
	// maxMessageBytes holds an append of one entry of the largest size, which is an answer of 8 MiB with its framing.
	maxMessageBytes = 16 << 20

	// queueMessages bounds what waits for one connection; consensus repeats what is dropped.
	queueMessages = 1024

	pingInterval = 400 * time.Millisecond

	// silenceLimit is below the lease of 2 s, so that a silent connection is replaced before leases end.
	silenceLimit = 1500 * time.Millisecond
	shortRedial  = 50 * time.Millisecond
	longRedial   = 500 * time.Millisecond

	// maxIncoming bounds the accepted connections: 7 instances with one each, twice during reconnects.
	maxIncoming = 16
)

// Proposal is an entry or membership change for the leader.
type Proposal struct {
	Cluster string             `cbor:"1,keyasint"`
	Tag     replicator.Tag     `cbor:"2,keyasint"`
	Data    []byte             `cbor:"3,keyasint,omitempty"`
	Change  *replicator.Change `cbor:"4,keyasint,omitempty"`
}

// Refusal tells the proposer that nothing was appended.
type Refusal struct {
	Tag    replicator.Tag           `cbor:"1,keyasint"`
	Reason replicator.RefusalReason `cbor:"2,keyasint"`
}

// Announce tells who an instance is while it belongs to no group or is not a member of it.
type Announcement struct {
	ID       string              `cbor:"1,keyasint"`
	Name     string              `cbor:"2,keyasint"`
	Address  string              `cbor:"3,keyasint"`
	Region   string              `cbor:"4,keyasint"`
	Peers    []string            `cbor:"5,keyasint"` // sorted names of the settings
	Group    *storer.GroupConfig `cbor:"6,keyasint,omitempty"`
	IsMember bool                `cbor:"7,keyasint"`
}

// Received is one message of another instance; exactly one of the pointers is set.
type Message struct {
	From         string // name of the instance
	Cluster      string // of a consensus message
	Consensus    *replicator.Message
	Proposal     *Proposal
	Refusal      *Refusal
	Announcement *Announcement
	SoftState    *[]byte
}

type helloMessage struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
}

type consensusMessage struct {
	Cluster string             `cbor:"1,keyasint"`
	Message replicator.Message `cbor:"2,keyasint"`
}

// Courier connects one control instance with the others.
type Courier struct {
	name     string
	opts     messenger.Options
	receive  func(Message)
	incoming atomic.Int64

	mu    sync.Mutex
	ctx   context.Context // of Serve, nil before
	links map[string]*link
}

// New returns a courier that hands what it receives to receive, on the goroutine of the connection.
func New(name string, opts messenger.Options, receive func(Message)) *Courier {
	opts.MaxMessageBytes = maxMessageBytes
	return &Courier{name: name, opts: opts, receive: receive, links: map[string]*link{}}
}

// Serve keeps a connection to every instance until ctx ends.
func (c *Courier) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	for _, l := range c.links {
		go l.run(l.context(ctx))
	}
	c.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Connect sets the address of another instance; a changed address replaces the connection.
func (c *Courier) Connect(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.links[name]
	if name == c.name || address == "" || old != nil && old.address == address {
		return
	}
	if old != nil {
		old.stop()
	}
	l := newLink(c, address)
	c.links[name] = l
	if c.ctx != nil {
		go l.run(l.context(c.ctx))
	}
}

// SendConsensus sends a consensus message to an instance, or drops it when the connection is down or behind.
func (c *Courier) SendConsensus(name, cluster string, m replicator.Message) {
	c.send(name, outgoing{kindConsensus, consensusMessage{cluster, m}})
}

// SendProposal forwards a proposal.
func (c *Courier) SendProposal(name string, p Proposal) { c.send(name, outgoing{kindProposal, p}) }

// SendRefusal answers a forwarded proposal that was not appended.
func (c *Courier) SendRefusal(name string, r Refusal) { c.send(name, outgoing{kindRefusal, r}) }

// SendAnnounce sends an announcement to one instance.
func (c *Courier) SendAnnouncement(name string, a Announcement) {
	c.send(name, outgoing{kindAnnounce, a})
}

// Broadcast sends soft state to all instances.
func (c *Courier) Broadcast(soft []byte) {
	for _, name := range c.PeerNames() {
		c.send(name, outgoing{kindSoft, soft})
	}
}

// Names returns the instances that the courier connects to.
func (c *Courier) PeerNames() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.links {
		names = append(names, n)
	}
	return names
}

func (c *Courier) send(name string, o outgoing) {
	c.mu.Lock()
	l := c.links[name]
	c.mu.Unlock()
	if l != nil {
		l.enqueue(o)
	}
}

// Handler accepts the connections of the other instances.
func (c *Courier) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		served := c.ctx
		c.mu.Unlock()
		if c.incoming.Add(1) > maxIncoming || served == nil || served.Err() != nil {
			c.incoming.Add(-1)
			http.Error(w, "too many connections or not started", http.StatusServiceUnavailable)
			return
		}
		defer c.incoming.Add(-1)
		conn, err := messenger.Accept(w, r, c.opts)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// A server does not end connections that were taken over, so they end with Serve.
		defer context.AfterFunc(served, cancel)()
		c.read(ctx, conn)
	})
}

// read hands over the messages of one connection; one that is silent beyond the limit is closed.
func (c *Courier) read(ctx context.Context, conn *messenger.Conn) {
	from := ""
	for {
		e, err := conn.ReceiveWithTimeout(ctx, 2*silenceLimit)
		if err != nil {
			return
		}
		switch e.Kind {
		case kindHello:
			var hello helloMessage
			if e.Decode(&hello) != nil || hello.Version != messenger.ProtocolVersion {
				return
			}
			from = hello.Name
		case kindPing:
			if sendWithin(ctx, conn, outgoing{kindPong, nil}) != nil {
				return
			}
		default:
			m, ok := decode(e)
			if from == "" || !ok {
				return
			}
			m.From = from
			c.receive(m)
		}
	}
}

// decode returns false for a message that cannot be read; one of an unknown kind is empty, for later versions.
func decode(e messenger.Envelope) (m Message, ok bool) {
	var err error
	switch e.Kind {
	case kindConsensus:
		var cm consensusMessage
		err = e.Decode(&cm)
		m.Cluster, m.Consensus = cm.Cluster, &cm.Message
	case kindProposal:
		m.Proposal = &Proposal{}
		err = e.Decode(m.Proposal)
	case kindRefusal:
		m.Refusal = &Refusal{}
		err = e.Decode(m.Refusal)
	case kindAnnounce:
		m.Announcement = &Announcement{}
		err = e.Decode(m.Announcement)
	case kindSoft:
		m.SoftState = new([]byte)
		err = e.Decode(m.SoftState)
	}
	return m, err == nil
}

func sendWithin(ctx context.Context, conn *messenger.Conn, o outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return conn.Send(ctx, o.kind, 0, o.body)
}
