package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
)

// newBody returns the body of the response whose head was read last from the connection.
func (c *conn) newBody(resp *http.Response, limits *Limits) (io.Reader, error) {
	switch {
	case resp.Body == http.NoBody:
		return http.NoBody, nil
	case slices.Equal(resp.TransferEncoding, []string{"chunked"}):
		return &chunkedBody{br: c.br, limits: limits}, nil
	case len(resp.TransferEncoding) > 0:
		return nil, fmt.Errorf("unsupported transfer encoding %q", resp.TransferEncoding)
	case resp.ContentLength >= 0:
		if err := checkLimit(BoundBodyBytes, limits.BodyBytes, resp.ContentLength); err != nil {
			return nil, err
		}
		return &fixedBody{br: c.br, left: resp.ContentLength}, nil
	}
	return &closeDelimitedBody{br: c.br, limits: limits}, nil
}

// fixedBody is a body with a Content-Length.
type fixedBody struct {
	br   *bufio.Reader
	left int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (n int, err error) {
	if b.left > 0 {
		n, err = b.br.Read(p[:min(int64(len(p)), b.left)])
		b.left -= int64(n)
	}
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEnd(err)
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	br     *bufio.Reader
	limits *Limits
	seen   int64
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (n int, err error) {
	n, err = b.br.Read(p)
	b.seen += int64(n)
	if limitErr := checkLimit(BoundBodyBytes, b.limits.BodyBytes, b.seen); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// chunkedBody is a body in chunks; its chunk extensions are discarded.
type chunkedBody struct {
	br     *bufio.Reader
	limits *Limits
	seen   int64 // data and framing
	left   int64 // of the current chunk
	// inChunk is set after a chunk size until the line end after the chunk's data.
	inChunk bool
	trailer http.Header // nil without one
	err     error
}

// Read implements io.Reader. It returns the data of several chunks together if they have arrived.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for b.err == nil && n < len(p) {
		if b.left == 0 {
			if n > 0 && !b.isNextSizeBuffered() {
				break
			}
			b.err = b.nextChunk()
			continue
		}
		if n > 0 && b.br.Buffered() == 0 {
			break
		}
		m, err := b.br.Read(p[n : n+int(min(int64(len(p)-n), b.left))])
		n += m
		b.left -= int64(m)
		b.seen += int64(m)
		b.err = unexpectedEnd(err)
	}
	return n, b.err
}

// isNextSizeBuffered reports whether nextChunk would not wait.
func (b *chunkedBody) isNextSizeBuffered() bool {
	buffered, err := b.br.Peek(b.br.Buffered())
	if err != nil {
		return false
	}
	rest, ok := bytes.CutPrefix(buffered, []byte("\r\n"))
	if !ok || len(rest) == 0 {
		return false
	}
	if rest[0] == '0' {
		return bytes.HasPrefix(rest, []byte("0\r\n\r\n"))
	}
	return bytes.IndexByte(rest, '\n') > 0
}

// nextChunk reads the size of the next chunk. It returns io.EOF after the last chunk and the trailer.
func (b *chunkedBody) nextChunk() error {
	if b.inChunk {
		end, err := b.readLine(BoundChunkLineBytes, b.limits.ChunkLineBytes, 0)
		if err != nil {
			return err
		}
		if len(end) > 0 {
			return errors.New("malformed chunk: its data is longer than its size")
		}
	}
	line, err := b.readLine(BoundChunkLineBytes, b.limits.ChunkLineBytes, 0)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if b.left, err = parseChunkSize(bytes.TrimRight(size, " \t")); err != nil {
		return err
	}
	b.inChunk = true
	if b.left == 0 {
		return b.readTrailer()
	}
	return checkLimit(BoundBodyBytes, b.limits.BodyBytes, b.seen+min(b.left, math.MaxInt64-b.seen))
}

func parseChunkSize(digits []byte) (int64, error) {
	for _, c := range digits {
		isDigit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !isDigit {
			return 0, fmt.Errorf("malformed chunk size %q", digits)
		}
	}
	n, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("malformed chunk size %q", digits)
	}
	return n, nil
}

// readTrailer reads the fields up to an empty line and returns io.EOF. Lines that are no fields are ignored.
func (b *chunkedBody) readTrailer() error {
	for seen := int64(0); ; {
		line, err := b.readLine(BoundTrailerBytes, b.limits.TrailerBytes, seen)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		seen += int64(len(line))
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			if b.trailer == nil {
				b.trailer = http.Header{}
			}
			b.trailer.Add(string(name), string(bytes.TrimSpace(value)))
		}
	}
}

// readLine returns a line without its end; the line is valid until the next read. seen counts earlier lines for the
// bound.
func (b *chunkedBody) readLine(bound string, limit, seen int64) ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	b.seen += int64(len(line))
	seen += int64(len(line))
	if limitErr := checkLimit(bound, limit, seen); limitErr != nil {
		return nil, limitErr
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, &LimitError{Bound: bound, Limit: limit, Seen: seen}
	}
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
