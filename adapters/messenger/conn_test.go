package messenger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

func serve(t testing.TB, opts Options, h func(c *Conn)) string {
	t.Helper()
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept(w, r, opts)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		h(c)
	}))
	t.Cleanup(hs.Close)
	return strings.TrimPrefix(hs.URL, "http://")
}

func receiveOne(t testing.TB, opts Options) (addr string, errs chan error) {
	errs = make(chan error, 1)
	return serve(t, opts, func(c *Conn) {
		_, err := c.Receive(context.Background())
		errs <- err
	}), errs
}

// Guards against sending and receiving messages beyond the size limit, which would let a peer exhaust memory.
func TestOversizedMessageIsRefusedAtBothEnds(t *testing.T) {
	addr, errs := receiveOne(t, Options{MaxMessageBytes: 1000})
	c, err := Dial(t.Context(), addr, "/", Options{MaxMessageBytes: 2000})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	var size *SizeError
	err = c.Send(t.Context(), 1, 1, &textMessage{Text: strings.Repeat("x", 2000)})
	assert.Assert(t, errors.As(err, &size), "%v", err)
	assert.NilError(t, c.Send(t.Context(), 1, 1, &textMessage{Text: strings.Repeat("x", 1500)}))
	assert.ErrorIs(t, <-errs, websocket.ErrMessageTooBig)
}

// Guards against accepting messages of another major version, and against rejecting messages of this version that have
// additional fields.
func TestOtherVersionIsRefusedAndUnknownFieldsAreIgnored(t *testing.T) {
	type newer struct {
		outgoingEnvelope
		Extra string `cbor:"9,keyasint"`
	}
	msg, err := cbor.Marshal(newer{outgoingEnvelope: outgoingEnvelope{Kind: 1, Version: ProtocolVersion}, Extra: "x"})
	assert.NilError(t, err)
	var e Envelope
	assert.NilError(t, decodeEnvelope(msg, &e))
	msg, err = cbor.Marshal(outgoingEnvelope{Kind: 1, Version: 2})
	assert.NilError(t, err)
	assert.Error(t, decodeEnvelope(msg, &e), "peer sent protocol version 2; this process needs version 1")
}

// Guards against a peer that stops reading and thereby blocks every goroutine that sends to it.
func TestSendEndsWhenPeerStopsReading(t *testing.T) {
	stop := make(chan struct{})
	addr := serve(t, Options{}, func(*Conn) { <-stop })
	defer close(stop)
	c, err := Dial(t.Context(), addr, "/", Options{WriteTimeout: 50 * time.Millisecond})
	assert.NilError(t, err)
	body := &textMessage{Text: strings.Repeat("x", 1<<20)}
	for err == nil {
		err = c.Send(t.Context(), 1, 1, body)
	}
	assert.Assert(t, c.Send(t.Context(), 1, 1, body) != nil)
}

// Guards against bytes that only one side counts.
func TestBytesAreCountedAtBothEnds(t *testing.T) {
	var in, out ByteCounter
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	hs := &httptest.Server{
		Listener: &CountingListener{Listener: l, Counter: &in},
		Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := Accept(w, r, Options{})
			if err == nil {
				_, err = c.Receive(context.Background())
			}
			done <- err
		})},
	}
	hs.StartTLS()
	defer hs.Close()
	tlsConfig := hs.Client().Transport.(*http.Transport).TLSClientConfig
	c, err := Dial(t.Context(), l.Addr().String(), "/", Options{Counter: &out, TLS: tlsConfig})
	assert.NilError(t, err)
	assert.NilError(t, c.Send(t.Context(), 1, 1, &textMessage{Text: strings.Repeat("x", 5000)}))
	assert.NilError(t, <-done)
	assert.Assert(t, in.In.Load() > 5000)
	assert.Equal(t, in.In.Load(), out.Out.Load())
	assert.NilError(t, c.Close())
}

// Guards against a panic or an unbounded allocation on input that is not an envelope.
func FuzzDecodeEnvelope(f *testing.F) {
	msg, _ := cbor.Marshal(outgoingEnvelope{
		Kind: 6, Stream: 9, Body: &textMessage{Text: "wool"}, Version: ProtocolVersion,
	})
	f.Add(msg)
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, msg []byte) {
		var e Envelope
		if decodeEnvelope(msg, &e) != nil {
			return
		}
		var m textMessage
		_ = e.Decode(&m)
		assert.Assert(t, len(e.Body) <= len(msg))
	})
}

// Measures messages of the size of a token, encoded, sent and decoded.
func BenchmarkCodec(b *testing.B) {
	addr := serve(b, Options{}, func(c *Conn) {
		var e Envelope
		for c.ReceiveInto(context.Background(), &e) == nil {
		}
	})
	c, err := Dial(b.Context(), addr, "/", Options{})
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	body := &textMessage{Text: strings.Repeat("x", 100)}
	b.ReportAllocs()
	for b.Loop() {
		if err := c.Send(b.Context(), 1, 1, body); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against large messages that are not compressed, which fill a slow link, and against a peer of an earlier
// release, which does not compress.
func TestLargeMessagesAreCompressedIfBothEndsDo(t *testing.T) {
	text := strings.Repeat(`{"host":"h.example","prefix":"/route/","service":"s"},`, 20_000)
	for _, c := range []struct {
		dialer, acceptor bool
		minBytes         int
		maxBytes         int
	}{
		{true, true, 0, len(text) / 10},
		{true, false, len(text), 2 * len(text)},
		{false, true, len(text), 2 * len(text)},
	} {
		received := make(chan string, 1)
		addr := serve(t, Options{Compress: c.acceptor}, func(conn *Conn) {
			e, err := conn.Receive(context.Background())
			var m textMessage
			if err == nil && e.Decode(&m) == nil {
				received <- m.Text
			}
		})
		counter := &ByteCounter{}
		conn, err := Dial(t.Context(), addr, "/", Options{Compress: c.dialer, Counter: counter})
		assert.NilError(t, err)
		assert.NilError(t, conn.Send(t.Context(), 1, 1, &textMessage{Text: text}))
		assert.Equal(t, <-received, text)
		n := int(counter.Out.Load())
		assert.Assert(t, n >= c.minBytes && n <= c.maxBytes, "%+v: %d of %d bytes", c, n, len(text))
		_ = conn.Close()
	}
}
