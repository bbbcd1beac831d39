package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8^lastID.Add(1)) }

// attempt is one client attempt on a connection of its own and what came back.
type attempt struct {
	id, method, target, host string
	header                   map[string]string
	body                     []byte
	timeout                  time.Duration

	sentAt     time.Time
	status     int
	answerHead http.Header
	answer     []byte
	complete   bool
	err        error
	firstAt    time.Time // of the first byte of the answer's body
	endAt      time.Time
}

func (a *attempt) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Cactusroute-Request-Id: %s\r\nX-Cactusroute-Request-Deadline-Ms: %d\r\n",
		a.method, a.target, a.host, a.id, a.timeout.Milliseconds())
	names := make([]string, 0, len(a.header))
	for k := range a.header {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", k, a.header[k])
	}
	if len(a.body) > 0 || a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// send sends the attempt to a front address and reads the answer.
func (a *attempt) send(front string) {
	a.sentAt = time.Now()
	defer func() { a.endAt = time.Now() }()
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", front)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = c.Close() }()
	a.sendOn(c, bufio.NewReader(c))
}

func (a *attempt) sendOn(c net.Conn, br *bufio.Reader) {
	if a.sentAt.IsZero() {
		a.sentAt = time.Now()
	}
	_ = c.SetDeadline(time.Now().Add(a.timeout))
	if _, err := c.Write(a.encode()); err != nil {
		a.err = err
		return
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.answerHead = resp.StatusCode, resp.Header
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && a.firstAt.IsZero() {
			a.firstAt = time.Now()
		}
		a.answer = append(a.answer, buf[:n]...)
		if err == io.EOF {
			a.complete = true
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
}

func (a *attempt) signature() string { return a.answerHead.Get("X-Cactusroute-Response-Signature") }

func (a *attempt) reason() string {
	if a.signature() != "" {
		return ""
	}
	return strings.TrimSpace(string(a.answer))
}
