package transporter

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

// Transporter exchanges messages between one control instance and its peers.
type Transporter struct {
	name                string
	opts                messenger.Options
	receive             func(Message)
	incomingConnections atomic.Int64

	mu       sync.Mutex
	serveCtx context.Context // context of Serve, nil before the call
	links    map[string]*link
}

// New returns a transporter that calls receive for each message on the goroutine of its connection.
func New(name string, opts messenger.Options, receive func(Message)) *Transporter {
	opts.MaxMessageBytes = maxMessageBytes
	opts.Compress = true // entries with a plan are text and shrink to a tenth
	return &Transporter{name: name, opts: opts, receive: receive, links: map[string]*link{}}
}

// Serve maintains a connection to every peer until ctx ends.
func (t *Transporter) Serve(ctx context.Context) error {
	t.mu.Lock()
	t.serveCtx = ctx
	for _, l := range t.links {
		go l.run(l.runContext(ctx))
	}
	t.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Connect adds a peer or changes its address, which replaces the connection.
func (t *Transporter) Connect(name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[name]
	if name == t.name || address == "" || old != nil && old.address == address {
		return
	}
	if old != nil {
		old.stop()
	}
	l := newLink(t, address)
	t.links[name] = l
	if t.serveCtx != nil {
		go l.run(l.runContext(t.serveCtx))
	}
}

// SendConsensus sends a consensus message to a peer, or drops it if the connection is down or its queue is full.
func (t *Transporter) SendConsensus(name, cluster string, m replicator.Message) {
	t.send(name, outgoingMessage{kindConsensus, consensusMessage{cluster, m}})
}

// SendProposal forwards a proposal to a peer, which should be the leader.
func (t *Transporter) SendProposal(name string, p Proposal) {
	t.send(name, outgoingMessage{kindProposal, p})
}

// SendRefusal tells a peer why the proposal that it forwarded was not appended.
func (t *Transporter) SendRefusal(name string, r Refusal) {
	t.send(name, outgoingMessage{kindRefusal, r})
}

// SendAnnouncement sends an announcement to one peer.
func (t *Transporter) SendAnnouncement(name string, a Announcement) {
	t.send(name, outgoingMessage{kindAnnouncement, a})
}

// Broadcast sends soft state to all peers.
func (t *Transporter) Broadcast(soft []byte) {
	for _, name := range t.PeerNames() {
		t.send(name, outgoingMessage{kindSoftState, soft})
	}
}

// PeerNames returns the names of the peers in no particular order.
func (t *Transporter) PeerNames() (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.links {
		names = append(names, n)
	}
	return names
}

func (t *Transporter) send(name string, m outgoingMessage) {
	t.mu.Lock()
	l := t.links[name]
	t.mu.Unlock()
	if l != nil {
		l.enqueue(m)
	}
}

// Handler accepts connections from the peers.
func (t *Transporter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		serveCtx := t.serveCtx
		t.mu.Unlock()
		if t.incomingConnections.Add(1) > maxIncomingConnections || serveCtx == nil || serveCtx.Err() != nil {
			t.incomingConnections.Add(-1)
			http.Error(w, "too many connections, or the replica is not running", http.StatusServiceUnavailable)
			return
		}
		defer t.incomingConnections.Add(-1)
		conn, err := messenger.Accept(w, r, t.opts)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// A server does not close hijacked connections on shutdown, so they are closed when Serve ends.
		defer context.AfterFunc(serveCtx, cancel)()
		t.read(ctx, conn)
	})
}

// read passes the messages of one connection to receive until the connection fails or is silent for too long.
func (t *Transporter) read(ctx context.Context, conn *messenger.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go reportProgress(ctx, conn)
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
			t.receive(m)
		}
	}
}

// reportProgress sends a pong whenever bytes have arrived in a pingInterval, because the pings behind a large message
// on a slow link are received only after its end.
func reportProgress(ctx context.Context, conn *messenger.Conn) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for last := conn.HeardAt(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		heardAt := conn.HeardAt()
		if heardAt.Equal(last) {
			continue
		}
		last = heardAt
		if sendWithTimeout(ctx, conn, outgoingMessage{kindPong, nil}) != nil {
			return
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
