package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/adapters/socket"
)

// maxJoinedBytes is the size up to which the header and the body are copied into one buffer, to save a system call.
const maxJoinedBytes = 32 << 10

// Request is one request to an endpoint.
type Request struct {
	Address  string
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// FreshConn requires a new or recently used connection, for requests that can't be retried.
	FreshConn bool
	// NewConn requires a new connection, and closes the idle ones.
	NewConn bool
	// ConnectGroup names the endpoints to which connects take as long as to this one. If it is set, a connect that takes
	// considerably longer fails with ErrSlowConnect, and OnConnect is called once it has ended, unless it is nil.
	ConnectGroup string
	OnConnect    func(err error)
	// IsLost is asked at intervals, if it is set, whether the response will not come; heardAt is when the endpoint last
	// sent something, or zero. The exchange fails with ErrLost then.
	IsLost func(heardAt time.Time) bool
	// SameProcess forbids a new connection after the endpoint has ended a kept one: another process may listen by now.
	SameProcess bool
	// IDHeader is the response header in which the endpoint returns ID. A response with another value belongs to
	// another request.
	IDHeader string
	ID       string
	// MaySend is asked once a connection is open, if it is set. Nothing is sent if it returns false.
	MaySend func() bool
}

// ErrWithdrawn is the cause of an *Error if MaySend has returned false.
var ErrWithdrawn = errors.New("request withdrawn before it was sent")

// ErrLost means that an exchange was given up because Request.IsLost has said so.
var ErrLost = errors.New("the endpoint will not respond")

// lostCheckInterval is the time between two questions to Request.IsLost; the answers change with the reports of other
// routers, which arrive a few times a second.
const lostCheckInterval = 100 * time.Millisecond

// Response is the response of an endpoint. The caller must close its body.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// EndsWithConn is set if the body has no framing: it is complete when the endpoint closes the connection, also if it
	// does so because it fails.
	EndsWithConn bool
	// NamesRequest is set if the response carries the ID of the request, or if the request has none. A refusal without it
	// does not prove that the request was not executed.
	NamesRequest bool
	Body         io.ReadCloser
	// Trailer returns the fields after the last chunk, once the body has been read to its end.
	Trailer func() http.Header
	// SetReadDeadline limits the waits of reads of the body, up to the deadline of the request. What has arrived is read
	// also after it: the reader may have been late.
	SetReadDeadline func(t time.Time)
}

// Send sends a request and returns its response once the header has arrived, or an *Error. The end of ctx aborts the
// exchange, also while the body is read.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	dialCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	c, err := p.get(dialCtx, r)
	cancel()
	if err != nil {
		return nil, &Error{Outcome: NotSent, Cause: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		p.close(c)
		return nil, &Error{Outcome: NotSent, Cause: ErrWithdrawn}
	}
	c.sentIDs.add(r.ID)
	x := &exchange{pool: p, conn: c, written: make(chan struct{}), deadline: r.Deadline}
	_ = c.SetDeadline(r.Deadline)
	x.stopCancelHook = context.AfterFunc(ctx, x.cancel)
	c.heardAt.Store(0)
	c.readsUntil.Store(0)
	x.watch(r.IsLost)
	resp, err := x.send(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		err = x.cause(err)
		return nil, &Error{Outcome: x.outcome, Cause: err}
	}
	return resp, nil
}

// exchange is a request on a connection and the body of its response.
type exchange struct {
	pool           *Pool
	conn           *conn
	stopCancelHook func() bool
	written        chan struct{} // closed when the write has returned
	writeErr       error         // valid once written is closed
	outcome        Outcome
	idleTimeout    time.Duration
	body           io.Reader
	bodyRead       bool
	hasSkipped     bool // the connection had a response to another request
	closed         bool

	mu         sync.Mutex
	deadline   time.Time // of the request
	isCanceled bool
	isLost     bool
	isEnded    bool        // the connection is no longer the exchange's
	lostCheck  *time.Timer // nil if there is nothing to ask
}

// cancel makes all reads and writes fail.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isCanceled = true
	x.endReads()
}

// endReads makes all reads and writes fail; the caller holds mu.
func (x *exchange) endReads() {
	x.conn.readsUntil.Store(0)
	_ = x.conn.SetDeadline(time.Unix(1, 0))
}

// watch asks at intervals whether the exchange is lost, until it is closed.
func (x *exchange) watch(isLost func(heardAt time.Time) bool) {
	if isLost == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lostCheck = time.AfterFunc(lostCheckInterval, func() {
		var heardAt time.Time
		if n := x.conn.heardAt.Load(); n != 0 {
			heardAt = time.Unix(0, n)
		}
		is := isLost(heardAt)
		x.mu.Lock()
		defer x.mu.Unlock()
		switch {
		case x.isEnded:
		case is:
			x.isCanceled, x.isLost = true, true
			x.endReads()
		default:
			x.lostCheck.Reset(lostCheckInterval)
		}
	})
}

// stopWatch must be called before the connection is used again.
func (x *exchange) stopWatch() (isLost bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isEnded = true
	if x.lostCheck != nil {
		x.lostCheck.Stop()
	}
	return x.isLost
}

// cause returns ErrLost in place of the error that giving up has caused.
func (x *exchange) cause(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isLost {
		return ErrLost
	}
	return err
}

func (x *exchange) setReadDeadline(t time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isCanceled {
		return
	}
	if t.After(x.deadline) {
		t = x.deadline
	}
	x.conn.readsUntil.Store(x.deadline.UnixNano())
	_ = x.conn.SetReadDeadline(t)
}

func (x *exchange) send(r *Request) (*Response, error) {
	header, body := encodeHeader(r), r.Body
	if len(header)+len(body) <= maxJoinedBytes {
		header, body = append(header, body...), nil
	}
	// Most requests fit into the socket buffer. The rest of a larger one is written by a goroutine, because an endpoint
	// may respond before it has read the whole request.
	n, err := socket.WriteAvailable(x.conn.Conn, header)
	if err == nil && n == len(header) && len(body) > 0 {
		var m int
		m, err = socket.WriteAvailable(x.conn.Conn, body)
		body = body[m:]
	}
	if n > 0 {
		x.outcome = Unknown
	}
	if err != nil {
		close(x.written)
		return nil, err
	}
	if header = header[n:]; len(header)+len(body) == 0 {
		close(x.written)
	} else {
		x.outcome = Unknown
		go x.write(header, body)
	}
	return x.readResponse(r)
}

func (x *exchange) write(header, body []byte) {
	defer close(x.written)
	if _, x.writeErr = x.conn.Write(header); x.writeErr == nil {
		_, x.writeErr = x.conn.Write(body)
	}
}

func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the header of the response to r. It skips late responses to earlier requests; the connection is
// not used again after one, because further ones may follow.
func (x *exchange) readResponse(r *Request) (*Response, error) {
	limits := &x.pool.limits
	for skipped := int64(0); ; {
		resp, err := x.readFinalHead(r.Method) //nolint:bodyclose // has the head only
		if err != nil {
			return nil, err
		}
		body, err := x.conn.newBody(resp, limits)
		if err != nil {
			return nil, err
		}
		if x.isResponseTo(r, resp) {
			return x.newResponse(r, resp, body), nil
		}
		skipped++
		x.hasSkipped = true
		if err := checkLimit(BoundSkippedResponses, limits.SkippedResponses, skipped); err != nil {
			return nil, err
		}
		if _, ok := body.(*closeDelimitedBody); ok {
			return nil, errors.New("response to another request is delimited by the end of the connection")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(body, limits.SkippedBodyBytes+1))
		if err != nil {
			return nil, err
		}
		if err := checkLimit(BoundSkippedBodyBytes, limits.SkippedBodyBytes, n); err != nil {
			return nil, err
		}
	}
}

// isResponseTo reports whether a response belongs to r. A failure without an ID is accepted on a new connection only:
// on a reused one it may be a late response to an earlier request.
func (x *exchange) isResponseTo(r *Request, resp *http.Response) bool {
	if id, ok := resp.Header[r.IDHeader]; ok {
		return len(id) == 1 && id[0] == r.ID
	}
	return !x.conn.reused && (resp.StatusCode >= http.StatusBadRequest || r.ID == "")
}

func (x *exchange) newResponse(r *Request, resp *http.Response, body io.Reader) *Response {
	x.body = body
	_, isCloseDelimited := body.(*closeDelimitedBody)
	if !resp.Close && !isCloseDelimited && !x.hasSkipped && resp.ProtoAtLeast(1, 1) {
		x.idleTimeout = parseIdleTimeout(resp.Header.Get("Keep-Alive"))
	}
	_, hasID := resp.Header[r.IDHeader]
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		EndsWithConn: isCloseDelimited, NamesRequest: hasID || r.ID == "", Body: x, Trailer: x.trailer,
		SetReadDeadline: x.setReadDeadline}
}

// parseIdleTimeout returns how long a connection may be idle, from the endpoint's Keep-Alive header in whole seconds.
func parseIdleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(n)*time.Second-idleTimeoutMargin, 10*defaultIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// Read reads the response body. An error other than io.EOF means that the body is incomplete.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if _, ok := x.body.(*closeDelimitedBody); ok {
			// If the endpoint resets the connection while the request is written, the kernel may report that to the write, and
			// an end to the read.
			if <-x.written; x.writeErr != nil {
				return n, x.writeErr
			}
		}
		x.bodyRead = true
	case err != nil:
		err = x.cause(err)
	}
	return n, err
}

func (x *exchange) trailer() http.Header {
	if b, ok := x.body.(*chunkedBody); ok && x.bodyRead {
		return b.trailer
	}
	return nil
}

// Close returns the connection to the pool if the request was written and the response read completely, with nothing
// left in the read buffer. It closes the connection otherwise.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	isLost := x.stopWatch()
	reusable := x.stopCancelHook() && !isLost
	isComplete := x.bodyRead
	select {
	case <-x.written:
		isComplete = isComplete && x.writeErr == nil
	default:
		// The endpoint still expects the rest of the request body on this connection.
		reusable = false
	}
	if !isComplete {
		x.pool.reset(x.conn)
		return nil
	}
	if !reusable || x.idleTimeout <= 0 || x.conn.br.Buffered() > 0 {
		x.pool.close(x.conn)
		return nil
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.putIdle(x.conn, x.idleTimeout)
	return nil
}

func (x *exchange) abort() {
	x.closed = true
	x.stopWatch()
	x.stopCancelHook()
	x.pool.reset(x.conn)
}
