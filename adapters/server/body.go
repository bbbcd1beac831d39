package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// bodyGrace is how long an early response waits for the rest of a short body, so that its connection can be kept.
	bodyGrace = 50 * time.Millisecond

	// closeGrace is how long a connection stays open after an early response that ends it. A close with unread bytes is a
	// reset, which can destroy the response before the caller has read it.
	closeGrace = 500 * time.Millisecond

	// maxDiscardedBytes bounds what is read of a body that nobody needs.
	maxDiscardedBytes = 256 << 10
)

// Body is the body of a request of an HTTP/1 server. A response that is sent before the body has been read calls Leave,
// because net/http reads the rest of the body first, for as long as the caller takes.
type Body struct {
	request    *http.Request
	isComplete bool
	hasFailed  bool
	conn       *guardedConn // nil without a guard
	isBounded  bool         // memory is reserved for what is read
}

// NewBody returns the body of a request.
func NewBody(r *http.Request) *Body {
	return &Body{request: r, isComplete: r.ContentLength == 0, conn: guardedConnOf(r.Context())}
}

// NewBoundedBody returns a body that reserves memory for what is read of it, until the request has been answered.
func NewBoundedBody(r *http.Request) *Body {
	b := NewBody(r)
	b.isBounded = b.conn != nil
	return b
}

// BoundBodies makes a handler read bodies with NewBoundedBody.
func BoundBodies(next http.Handler) http.Handler { return readBodies(next, NewBoundedBody) }

func readBodies(next http.Handler, newBody func(r *http.Request) *Body) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			body := newBody(r)
			r = r.WithContext(r.Context()) // net/http needs the body of the original request
			r.Body = body
		}
		next.ServeHTTP(w, r)
	})
}

// TrackBodies makes a handler read bodies with NewBody.
func TrackBodies(next http.Handler) http.Handler { return readBodies(next, NewBody) }

// bodyCopies is how often what is read of a body is held while a buffer for it grows.
const bodyCopies = 2

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.request.Body.Read(p)
	if b.isBounded && n > 0 && !b.conn.reserveBody(int64(bodyCopies*n)) {
		n, err = 0, ErrBodyMemory
	}
	switch {
	case errors.Is(err, io.EOF):
		b.isComplete = true
		b.request.Trailer = nil // not reserved, and not used
		if b.conn != nil {
			b.conn.awaitBody(false)
		}
	case err != nil:
		b.hasFailed = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.request.Body.Close() }

// Leave prepares a response without waiting for the rest of the body: unless that arrives at once, the connection
// closes after the response. The caller must call finish after it has written the response, which needs a
// Content-Length.
func (b *Body) Leave(w http.ResponseWriter) (finish func()) {
	if b.isComplete {
		return func() {}
	}
	rc := http.NewResponseController(w)
	isShort := b.request.ContentLength <= maxDiscardedBytes
	if isShort && !b.hasFailed && b.request.Header.Get("Expect") == "" { // a read would ask the caller for the body
		_ = rc.SetReadDeadline(time.Now().Add(bodyGrace))
		if _, _ = io.CopyN(io.Discard, b, maxDiscardedBytes); b.isComplete {
			_ = rc.SetReadDeadline(time.Time{})
			return func() {}
		}
	}
	w.Header().Set("Connection", "close")
	return func() {
		_ = rc.Flush()
		_ = rc.SetReadDeadline(time.Now().Add(closeGrace)) // also bounds net/http, which reads on before it closes
		_, _ = io.CopyN(io.Discard, b, maxDiscardedBytes)
	}
}
