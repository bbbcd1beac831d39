package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// joinedBytes is the size up to which head and body are copied together, which saves a system call.
	maxJoinedBytes = 32 << 10

	// maxStrays is how many answers to other requests are skipped on one connection.
	maxSkippedResponses = 2

	// maxStrayBytes bounds the body of an answer that is skipped.
	maxSkippedBodyBytes = 1 << 20
)

// Request is one request to an endpoint.
type Request struct {
	Address  string
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Fresh avoids connections that were idle for a while; for requests that can't be repeated.
	FreshConn bool
	// IDHeader is the header that the endpoint returns with ID; an answer with another value belongs to another
	// request.
	IDHeader string
	ID       string
}

// Answer is the answer of an endpoint; its body must be read to the end or closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when it isn't known.
	Length int64
	Body   io.ReadCloser
}

// Send sends a request and returns the head of its answer, or an *Error. The connection ends with ctx.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	dialCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	c, err := p.get(dialCtx, r.Address, r.FreshConn)
	cancel()
	if err != nil {
		return nil, &Error{Outcome: NotSent, Cause: err}
	}
	x := &exchange{pool: p, conn: c, written: make(chan struct{})}
	_ = c.SetDeadline(r.Deadline)
	x.stopCancelHook = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a, err := x.send(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Outcome: x.outcome, Cause: err}
	}
	return a, nil
}

// exchange is one request on a connection.
type exchange struct {
	pool           *Pool
	conn           *conn
	stopCancelHook func() bool
	written        chan struct{} // closed when the write has ended
	writeErr       error         // of the write, valid once written is closed
	outcome        Outcome
	idleTimeout    time.Duration
	body           io.ReadCloser
	bodyRead       bool
	closed         bool
}

func (x *exchange) send(r *Request) (*Response, error) {
	head, body := encodeHead(r), r.Body
	if len(head)+len(body) <= maxJoinedBytes {
		head, body = append(head, body...), nil
	}
	// Most requests fit the buffers of the connection whole. Only the rest of others needs a goroutine, because an
	// endpoint may answer before it has read everything.
	n, err := x.conn.writeNonBlocking(head)
	if err == nil && n == len(head) && len(body) > 0 {
		var m int
		m, err = x.conn.writeNonBlocking(body)
		body = body[m:]
	}
	if n > 0 {
		x.outcome = Unknown
	}
	if err != nil {
		close(x.written)
		return nil, err
	}
	if head = head[n:]; len(head)+len(body) == 0 {
		close(x.written)
	} else {
		x.outcome = Unknown
		go x.write(head, body)
	}
	return x.readResponse(r)
}

func (x *exchange) write(head, body []byte) {
	defer close(x.written)
	if _, x.writeErr = x.conn.Write(head); x.writeErr == nil {
		_, x.writeErr = x.conn.Write(body)
	}
}

func encodeHead(r *Request) []byte {
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

// readAnswer skips answers to earlier requests, which an endpoint may send late.
func (x *exchange) readResponse(r *Request) (*Response, error) {
	for range maxSkippedResponses + 1 {
		resp, err := readFinalResponse(x.conn.br, r.Method) //nolint:bodyclose // read to its end here, or by the caller
		if err != nil {
			return nil, err
		}
		if id, ok := resp.Header[r.IDHeader]; ok && len(id) > 0 && id[0] == r.ID ||
			!ok && resp.StatusCode >= http.StatusBadRequest {
			return x.newResponse(resp), nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("an answer to another request ends with the connection")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests arrived")
}

func readFinalResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("status %d is no answer", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (x *exchange) newResponse(resp *http.Response) *Response {
	x.body = resp.Body
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if !resp.Close && !unframed && resp.ProtoAtLeast(1, 1) {
		x.idleTimeout = parseIdleTimeout(resp.Header.Get("Keep-Alive"))
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: x}
}

// keepFor returns how long a connection may be idle, from the endpoint's Keep-Alive header in whole seconds.
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

// Read reads the body; an error other than io.EOF means that the answer is incomplete.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if errors.Is(err, io.EOF) {
		x.bodyRead = true
	}
	return n, err
}

// Close keeps the connection if the answer was read whole and the connection is in step, and ends it otherwise.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	inTime := x.stopCancelHook()
	select {
	case <-x.written:
	default:
		// The rest of the body is due on this connection, so nothing else may be sent there.
		inTime = false
	}
	if !inTime || !x.bodyRead || x.idleTimeout <= 0 || x.writeErr != nil || x.conn.br.Buffered() > 0 {
		x.pool.close(x.conn)
		return nil
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.putIdle(x.conn, x.idleTimeout)
	return nil
}

func (x *exchange) abort() {
	x.closed = true
	x.stopCancelHook()
	x.pool.close(x.conn)
}
