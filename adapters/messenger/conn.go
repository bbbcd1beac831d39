package messenger

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/timestamper"
)

// ProtocolVersion is the major version of the envelope; messages of any other version are rejected.
const ProtocolVersion = 1

// DefaultMaxMessageBytes limits the size of a message, so that a peer can't make this process allocate more.
const DefaultMaxMessageBytes = 4 << 20

const (
	dialTimeout = 2 * time.Second
	// defaultWriteTimeout is longer than the pauses of a busy peer, and short enough that a peer that stopped reading
	// doesn't block its senders for the duration of a request.
	defaultWriteTimeout = 5 * time.Second
	// maxMessageTime bounds the time of one message whose bytes keep moving; the largest one takes it at 2 Mbit/s.
	maxMessageTime = 30 * time.Second
	// pieceBytes is the size of the pieces by which the progress of a large message is noticed.
	pieceBytes = 16 << 10
	// compressedBytes is the size from which compression saves more time on the link than it takes.
	compressedBytes = 8 << 10
	// maxRetainedBufferBytes limits the buffers that a connection reuses for the next message; most are smaller.
	maxRetainedBufferBytes = 64 << 10
)

// Envelope is one message: its kind, the stream it belongs to, and its encoded body.
type Envelope struct {
	Kind    uint8           `cbor:"1,keyasint"`
	Stream  uint64          `cbor:"2,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Version uint8           `cbor:"4,keyasint"`
}

// outgoingEnvelope is an Envelope whose body is encoded in the same pass.
type outgoingEnvelope struct {
	Kind    uint8  `cbor:"1,keyasint"`
	Stream  uint64 `cbor:"2,keyasint,omitempty"`
	Body    any    `cbor:"3,keyasint,omitempty"`
	Version uint8  `cbor:"4,keyasint"`
}

// Decode decodes the body into v. It ignores unknown fields, so that versions can be mixed during an upgrade.
func (e *Envelope) Decode(v any) error {
	if err := decMode.Unmarshal(e.Body, v); err != nil {
		return fmt.Errorf("decode message of kind %d: %w", e.Kind, err)
	}
	return nil
}

// VersionError means that a peer uses another major version of the envelope.
type VersionError struct{ Got, Want uint8 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer sent protocol version %d; this process needs version %d", e.Got, e.Want)
}

// SizeError means that a message was not sent because it exceeds the size limit.
type SizeError struct{ Bytes, Limit int64 }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

var (
	decMode = mustDecMode()
	encMode = mustEncMode()
)

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustEncMode() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func decodeEnvelope(msg []byte, e *Envelope) error {
	*e = Envelope{Body: e.Body[:0]}
	if err := decMode.Unmarshal(msg, e); err != nil {
		return fmt.Errorf("decode envelope: %w", err)
	}
	if e.Version != ProtocolVersion {
		return &VersionError{Got: e.Version, Want: ProtocolVersion}
	}
	return nil
}

// ByteCounter counts the bytes of connections at the TCP socket, including the TLS overhead.
type ByteCounter struct {
	In  atomic.Uint64
	Out atomic.Uint64
}

// Clock provides the timestamps of messages, which put the events of several processes in causal order.
type Clock interface {
	Tick() timestamper.Timestamp
	Merge(remote timestamper.Timestamp)
}

// Options configures a connection.
type Options struct {
	MaxMessageBytes int64
	TLS             *tls.Config
	// TLSFunc returns the settings for each new connection and is used in place of TLS; nil settings mean plain TCP.
	TLSFunc func() *tls.Config
	Counter *ByteCounter
	Header  http.Header
	// Compress compresses messages from compressedBytes on if the peer does the same.
	Compress bool
	// ConnectTimeout limits the TCP connect; 0 leaves only the limit of the whole dial.
	ConnectTimeout time.Duration
	// WriteTimeout limits the time in which no part of a message can be written, after which the connection is closed; 0
	// means 5 s.
	WriteTimeout time.Duration
	// OnMessage is called for each message with its size, without the framing; it may be nil.
	OnMessage func(kind uint8, bytes int, isSent bool)
	// Clock is used by the protocols on top of this package; nil means that their messages have no timestamps.
	Clock Clock
}

func (o *Options) compressionMode() websocket.CompressionMode {
	if o.Compress {
		return websocket.CompressionNoContextTakeover
	}
	return websocket.CompressionDisabled
}

// Conn is a connection that carries envelopes. Send is safe for concurrent use; Receive is not.
type Conn struct {
	ws              *websocket.Conn
	tcp             *net.TCPConn // nil on the accepting side
	header          http.Header
	maxMessageBytes int64
	writeTimeout    time.Duration
	onMessage       func(kind uint8, bytes int, isSent bool)
	readBuffer      bytes.Buffer
	openedAt        time.Time
	heardNanos      atomic.Int64 // from openedAt to the last bytes of a message

	mu          sync.Mutex // held while a message is encoded and written
	writeBuffer bytes.Buffer
	message     outgoingEnvelope
	writeTimer  *time.Timer
}

// Dial opens a connection to path at addr, which is host:port.
func Dial(ctx context.Context, addr, path string, opts Options) (c *Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer func() {
		if err != nil {
			err = fmt.Errorf("connect to %s%s: %w", addr, path, err)
		}
	}()
	if opts.TLSFunc != nil {
		opts.TLS = opts.TLSFunc()
	}
	var tcp *net.TCPConn
	d := net.Dialer{Timeout: opts.ConnectTimeout}
	transport := &http.Transport{
		TLSClientConfig: opts.TLS,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			tcp, _ = c.(*net.TCPConn)
			if opts.Counter == nil {
				return c, nil
			}
			return &countingConn{Conn: c, counter: opts.Counter}, nil
		},
	}
	scheme := "ws"
	if opts.TLS != nil {
		scheme = "wss"
	}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+addr+path, &websocket.DialOptions{
		HTTPClient:           &http.Client{Transport: transport},
		HTTPHeader:           opts.Header,
		CompressionMode:      opts.compressionMode(),
		CompressionThreshold: compressedBytes,
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		transport.CloseIdleConnections()
		return nil, err
	}
	c = newConn(ws, opts)
	c.tcp, c.header = tcp, resp.Header
	return c, nil
}

// Accept upgrades an HTTP request of the peer; headers that are already set in w are sent with the response.
func Accept(w http.ResponseWriter, r *http.Request, opts Options) (*Conn, error) {
	ws, err := websocket.Accept(w, r,
		&websocket.AcceptOptions{CompressionMode: opts.compressionMode(), CompressionThreshold: compressedBytes})
	if err != nil {
		return nil, fmt.Errorf("accept connection from %s: %w", r.RemoteAddr, err)
	}
	c := newConn(ws, opts)
	c.header = r.Header
	return c, nil
}

func newConn(ws *websocket.Conn, opts Options) *Conn {
	c := &Conn{ws: ws, openedAt: time.Now(), maxMessageBytes: opts.MaxMessageBytes, writeTimeout: opts.WriteTimeout,
		onMessage: opts.OnMessage}
	if c.onMessage == nil {
		c.onMessage = func(uint8, int, bool) {}
	}
	if c.maxMessageBytes == 0 {
		c.maxMessageBytes = DefaultMaxMessageBytes
	}
	if c.writeTimeout == 0 {
		c.writeTimeout = defaultWriteTimeout
	}
	ws.SetReadLimit(c.maxMessageBytes)
	c.writeTimer = time.AfterFunc(c.writeTimeout, func() { _ = c.Abort() })
	c.writeTimer.Stop()
	return c
}

// HeardAt returns when the last bytes of a message arrived, or when the connection was opened.
func (c *Conn) HeardAt() time.Time { return c.openedAt.Add(time.Duration(c.heardNanos.Load())) }

// Header returns the HTTP header that the peer sent when the connection was opened.
func (c *Conn) Header() http.Header { return c.header }

// Send encodes and writes one message. ctx is only checked before the write, because a partial write would break the
// connection for all its users; the write itself is limited by Options.WriteTimeout. A *SizeError means that nothing
// was written; any other write error closes the connection.
func (c *Conn) Send(ctx context.Context, kind uint8, stream uint64, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	c.writeBuffer.Reset()
	c.message = outgoingEnvelope{Kind: kind, Stream: stream, Body: body, Version: ProtocolVersion}
	err := encMode.MarshalToBuffer(&c.message, &c.writeBuffer)
	c.message.Body = nil
	if err != nil {
		return fmt.Errorf("encode message of kind %d: %w", kind, err)
	}
	if n := int64(c.writeBuffer.Len()); n > c.maxMessageBytes {
		c.writeBuffer = bytes.Buffer{}
		return &SizeError{Bytes: n, Limit: c.maxMessageBytes}
	}
	err = c.write(c.writeBuffer.Bytes())
	c.onMessage(kind, c.writeBuffer.Len(), true)
	if c.writeBuffer.Cap() > maxRetainedBufferBytes {
		c.writeBuffer = bytes.Buffer{}
	}
	return err
}

// write writes one message in pieces, so that a slow link is told apart from a peer that has stopped reading.
func (c *Conn) write(message []byte) (err error) {
	deadline := time.Now().Add(maxMessageTime)
	defer c.writeTimer.Stop()
	if len(message) <= pieceBytes {
		c.writeTimer.Reset(c.writeTimeout)
		return c.ws.Write(context.Background(), websocket.MessageBinary, message)
	}
	w, err := c.ws.Writer(context.Background(), websocket.MessageBinary)
	if err != nil {
		return err
	}
	for rest := message; len(rest) > 0; {
		c.writeTimer.Reset(min(c.writeTimeout, time.Until(deadline)))
		n := min(len(rest), pieceBytes)
		if _, err := w.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return w.Close()
}

// Receive reads the next message; any error closes the connection.
func (c *Conn) Receive(ctx context.Context) (e Envelope, err error) {
	err = c.ReceiveInto(ctx, &e)
	return e, err
}

// ReceiveWithTimeout is Receive with a limit on the time in which nothing arrives, after which the connection is
// closed.
func (c *Conn) ReceiveWithTimeout(ctx context.Context, timeout time.Duration) (e Envelope, err error) {
	err = c.ReceiveIntoWithTimeout(ctx, &e, timeout)
	return e, err
}

// ReceiveIntoWithTimeout is ReceiveInto with the limit of ReceiveWithTimeout.
func (c *Conn) ReceiveIntoWithTimeout(ctx context.Context, e *Envelope, timeout time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(timeout, func() { cancel(errSilent) })
	defer silence.Stop()
	var deadline time.Time // of a message that has begun
	err := c.receive(ctx, e, func() {
		if deadline.IsZero() {
			deadline = time.Now().Add(maxMessageTime)
		}
		silence.Reset(min(timeout, time.Until(deadline)))
	})
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// errSilent means that nothing has arrived for the timeout of a receiver, or a message took longer than maxMessageTime.
var errSilent = errors.New("peer is silent")

// ReceiveInto reads the next message into e and reuses the memory of its body; any error closes the connection.
func (c *Conn) ReceiveInto(ctx context.Context, e *Envelope) error {
	return c.receive(ctx, e, func() {})
}

// receive reads the next message and calls onProgress whenever a part of it has arrived.
func (c *Conn) receive(ctx context.Context, e *Envelope, onProgress func()) error {
	_, r, err := c.ws.Reader(ctx)
	if err != nil {
		return err
	}
	heard := func() {
		c.heardNanos.Store(int64(time.Since(c.openedAt)))
		onProgress()
	}
	heard()
	c.readBuffer.Reset()
	if _, err := c.readBuffer.ReadFrom(&progressReader{r: r, onProgress: heard}); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	err = decodeEnvelope(c.readBuffer.Bytes(), e)
	c.onMessage(e.Kind, c.readBuffer.Len(), false)
	if c.readBuffer.Cap() > maxRetainedBufferBytes {
		c.readBuffer = bytes.Buffer{}
	}
	return err
}

// progressReader calls onProgress after each read that has returned bytes.
type progressReader struct {
	r          io.Reader
	onProgress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.onProgress()
	}
	return n, err
}

// Close closes the connection without waiting for the peer.
func (c *Conn) Close() error {
	if err := c.ws.CloseNow(); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// Abort closes a failed connection and makes the kernel drop unsent data, so that a message can't reach the peer
// minutes later.
func (c *Conn) Abort() error {
	if c.tcp != nil {
		_ = c.tcp.SetLinger(0)
	}
	return c.Close()
}

type countingConn struct {
	net.Conn
	counter *ByteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.In.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Out.Add(uint64(n))
	return n, err
}

// NetConn returns the connection below, as that of tls.Conn.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// CountingListener counts the bytes of all accepted connections.
type CountingListener struct {
	net.Listener
	Counter *ByteCounter
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counter: l.Counter}, nil
}
