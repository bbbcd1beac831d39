package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// statusLinePrefix begins every response; other bytes end the exchange before a line of them is complete.
var statusLinePrefix = []byte("HTTP/")

// maxRetainedHeadBytes is the size up to which a connection keeps its buffer for the next head.
const maxRetainedHeadBytes = 4 << 10

// headParsers holds the readers that parse complete heads.
var headParsers = sync.Pool{New: func() any { return &headParser{} }}

// headParser passes a complete head to the HTTP parser.
type headParser struct {
	data    bytes.Reader
	reader  *bufio.Reader
	request http.Request
}

func (p *headParser) parse(head []byte, method string) (*http.Response, error) {
	p.request.Method = method
	p.data.Reset(head)
	if p.reader == nil {
		p.reader = bufio.NewReader(&p.data)
	} else {
		p.reader.Reset(&p.data)
	}
	return http.ReadResponse(p.reader, &p.request)
}

// readFinalHead reads heads until that of a final response, and parses it. The body of the result must not be read.
func (x *exchange) readFinalHead(method string) (resp *http.Response, err error) {
	limits, c := &x.pool.limits, x.conn
	var seen int64
	for informational := int64(0); ; informational++ {
		if err := checkLimit(BoundInformationalResponses, limits.InformationalResponses, informational); err != nil {
			return nil, err
		}
		if err := c.readHead(limits, &seen); err != nil {
			return nil, err
		}
		p, _ := headParsers.Get().(*headParser)
		resp, err = p.parse(c.head, method) //nolint:bodyclose // has the head only
		headParsers.Put(p)
		if cap(c.head) > maxRetainedHeadBytes {
			c.head = nil
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("invalid response status %d", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readHead reads a status line and header with the empty line after it into c.head. seen counts the bytes of all heads
// of the exchange.
func (c *conn) readHead(limits *Limits, seen *int64) (err error) {
	prefix, err := c.br.Peek(len(statusLinePrefix))
	if err != nil {
		return unexpectedEnd(err)
	}
	if !bytes.Equal(prefix, statusLinePrefix) {
		return fmt.Errorf("malformed response: starts with %q", prefix)
	}
	c.head = c.head[:0]
	endsInCRLF := false
	for fields := int64(0); ; fields++ {
		line, err := c.readHeadLine(limits, seen)
		if err != nil {
			return err
		}
		isCRLF := bytes.HasSuffix(line, []byte("\r\n"))
		if fields > 0 && isCRLF != endsInCRLF {
			return errMixedLineEnds
		}
		endsInCRLF = isCRLF
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if err := checkLimit(BoundHeaderFields, limits.HeaderFields, fields); err != nil {
			return err
		}
		if fields == 0 {
			line = line[len(statusLinePrefix):]
		}
		if containsStatusLine(line) {
			return errors.New("malformed response: the head contains the start of another one")
		}
	}
}

// errMixedLineEnds means that a head was probably cut off, and that lines of the body followed.
var errMixedLineEnds = errors.New("malformed response: the lines of the head end differently")

// containsStatusLine reports whether a line of a head contains the start of a response: the rest of the head that it
// began in was cut off.
func containsStatusLine(line []byte) bool {
	for {
		i := bytes.Index(line, statusLinePrefix)
		if i < 0 {
			return false
		}
		line = line[i+len(statusLinePrefix):]
		// 1.x, a space and three digits follow.
		if len(line) >= 7 && line[0] == '1' && line[1] == '.' && line[3] == ' ' && isDigits(line[4:7]) {
			return true
		}
	}
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// readHeadLine appends one line to c.head and returns it.
func (c *conn) readHeadLine(limits *Limits, seen *int64) (line []byte, err error) {
	start := len(c.head)
	for {
		part, err := c.br.ReadSlice('\n')
		*seen += int64(len(part))
		if limitErr := checkLimit(BoundHeadBytes, limits.HeadBytes, *seen); limitErr != nil {
			return nil, limitErr
		}
		c.head = append(c.head, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return c.head[start:], unexpectedEnd(err)
	}
}

// unexpectedEnd replaces the end of the connection by an error.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
