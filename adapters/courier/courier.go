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

// Path is the HTTP path of the handler.
const Path = "/courier/v1"

// The kinds of messages in an envelope.
const (
	kindHello uint8 = iota + 1
	kindPing
	kindPong
	kindConsensus
	kindProposal
	kindRefusal
	kindAnnouncement
	kindSoftState
)

const (
	// maxMessageBytes fits an append of one entry of the maximum size: a recorded response of 8 MiB and its framing.
	maxMessageBytes = 16 << 20

	// maxQueuedMessages limits the send queue of a connection; the consensus protocol resends dropped messages.
	maxQueuedMessages = 1024

	pingInterval = 400 * time.Millisecond

	// silenceTimeout is below the lease of 2 s, so that a silent connection is replaced before the lease expires.
	silenceTimeout = 1500 * time.Millisecond
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond

	// maxIncomingConnections allows for 7 instances with one connection each, and twice as many during reconnects.
	maxIncomingConnections = 16
)

// Proposal is a command or membership change that is forwarded to the leader.
type Proposal struct {
	Cluster string             `cbor:"1,keyasint"`
	Tag     replicator.Tag     `cbor:"2,keyasint"`
	Data    []byte             `cbor:"3,keyasint,omitempty"`
	Change  *replicator.Change `cbor:"4,keyasint,omitempty"`
}

// Refusal tells the proposer why its proposal was not appended.
type Refusal struct {
	Tag    replicator.Tag           `cbor:"1,keyasint"`
	Reason replicator.RefusalReason `cbor:"2,keyasint"`
}

// Announcement describes an instance and its group; an instance sends it to the instances that it knows.
type Announcement struct {
	ID       string              `cbor:"1,keyasint"`
	Name     string              `cbor:"2,keyasint"`
	Address  string              `cbor:"3,keyasint"`
	Region   string              `cbor:"4,keyasint"`
	Peers    []string            `cbor:"5,keyasint"` // sorted names of the configured peers
	Group    *storer.GroupConfig `cbor:"6,keyasint,omitempty"`
	IsMember bool                `cbor:"7,keyasint"`
}

// Message is a message from another instance. Exactly one pointer is set; none for an unknown kind.
type Message struct {
	From         string // name of the sender
	Cluster      string // cluster ID of a consensus message
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

// Courier exchanges messages between one control instance and its peers.
type Courier struct {
	name                string
	opts                messenger.Options
	receive             func(Message)
	incomingConnections atomic.Int64

	mu       sync.Mutex
	serveCtx context.Context // context of Serve, nil before the call
	links    map[string]*link
}

// New returns a courier that calls receive for each message on the goroutine of its connection.
func New(name string, opts messenger.Options, receive func(Message)) *Courier {
	opts.MaxMessageBytes = maxMessageBytes
	return &Courier{name: name, opts: opts, receive: receive, links: map[string]*link{}}
}

// Serve maintains a connection to every peer until ctx ends.
func (c *Courier) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.serveCtx = ctx
	for _, l := range c.links {
		go l.run(l.runContext(ctx))
	}
	c.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Connect adds a peer or changes its address, which replaces the connection.
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
	if c.serveCtx != nil {
		go l.run(l.runContext(c.serveCtx))
	}
}

// SendConsensus sends a consensus message to a peer, or drops it if the connection is down or its queue is full.
func (c *Courier) SendConsensus(name, cluster string, m replicator.Message) {
	c.send(name, outgoingMessage{kindConsensus, consensusMessage{cluster, m}})
}

// SendProposal forwards a proposal to a peer, which should be the leader.
func (c *Courier) SendProposal(name string, p Proposal) {
	c.send(name, outgoingMessage{kindProposal, p})
}

// SendRefusal tells a peer why the proposal that it forwarded was not appended.
func (c *Courier) SendRefusal(name string, r Refusal) { c.send(name, outgoingMessage{kindRefusal, r}) }

// SendAnnouncement sends an announcement to one peer.
func (c *Courier) SendAnnouncement(name string, a Announcement) {
	c.send(name, outgoingMessage{kindAnnouncement, a})
}

// Broadcast sends soft state to all peers.
func (c *Courier) Broadcast(soft []byte) {
	for _, name := range c.PeerNames() {
		c.send(name, outgoingMessage{kindSoftState, soft})
	}
}

// PeerNames returns the names of the peers in no particular order.
func (c *Courier) PeerNames() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.links {
		names = append(names, n)
	}
	return names
}

func (c *Courier) send(name string, m outgoingMessage) {
	c.mu.Lock()
	l := c.links[name]
	c.mu.Unlock()
	if l != nil {
		l.enqueue(m)
	}
}

// Handler accepts connections from the peers.
func (c *Courier) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		serveCtx := c.serveCtx
		c.mu.Unlock()
		if c.incomingConnections.Add(1) > maxIncomingConnections || serveCtx == nil || serveCtx.Err() != nil {
			c.incomingConnections.Add(-1)
			http.Error(w, "too many connections, or the replica is not running", http.StatusServiceUnavailable)
			return
		}
		defer c.incomingConnections.Add(-1)
		conn, err := messenger.Accept(w, r, c.opts)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// A server does not close hijacked connections on shutdown, so they are closed when Serve ends.
		defer context.AfterFunc(serveCtx, cancel)()
		c.read(ctx, conn)
	})
}

// read passes the messages of one connection to receive until the connection fails or is silent for too long.
func (c *Courier) read(ctx context.Context, conn *messenger.Conn) {
	from := ""
	for {
		e, err := conn.ReceiveWithTimeout(ctx, 2*silenceTimeout)
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
			if sendWithTimeout(ctx, conn, outgoingMessage{kindPong, nil}) != nil {
				return
			}
		default:
			m, ok := decodeMessage(e)
			if from == "" || !ok {
				return
			}
			m.From = from
			c.receive(m)
		}
	}
}

// decodeMessage returns false if the body can't be decoded. A message of an unknown kind is empty rather than an error,
// so that later versions can add kinds.
func decodeMessage(e messenger.Envelope) (m Message, ok bool) {
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
	case kindAnnouncement:
		m.Announcement = &Announcement{}
		err = e.Decode(m.Announcement)
	case kindSoftState:
		m.SoftState = new([]byte)
		err = e.Decode(m.SoftState)
	}
	return m, err == nil
}

func sendWithTimeout(ctx context.Context, conn *messenger.Conn, m outgoingMessage) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return conn.Send(ctx, m.kind, 0, m.body)
}
