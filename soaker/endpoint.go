package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/adapters/sleeper"
)

const (
	heartbeatInterval = 300 * time.Millisecond

	streamEventCount = 8

	// drainPeriod is how long an endpoint serves after its draining was acknowledged.
	drainPeriod = 3 * time.Second
)

// Endpoint is a test endpoint that registers itself and records the requests that it runs.
type Endpoint struct {
	id         string
	service    string
	version    string // of its software
	bornMillis int64
	slots      int
	ln         net.Listener
	checker    *Checker
	fleet      *Fleet
	rng        *rand.Rand

	mu           sync.Mutex
	faulty       bool // fails a part of its requests, before or after it has run them
	busy         bool // turns a part of its requests away, most of them with a time for which it wants no others
	leaving      bool // tells so in its responses, but not in its heartbeats
	drainStarted time.Time
	bad          bool      // fails badShare of its requests
	exposure     *exposure // nil unless its service has a rollout
}

// StartEndpoint starts an endpoint that serves requests and sends heartbeats until ctx ends.
func StartEndpoint(ctx context.Context, f *Fleet, id, service string, seed uint64) (*Endpoint, error) {
	return startVersion(ctx, f, id, service, versionOf(id), seed)
}

// startVersion starts an endpoint with a software version.
func startVersion(ctx context.Context, f *Fleet, id, service, version string, seed uint64) (*Endpoint, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{id: id, service: service, version: version, bornMillis: time.Now().UnixMilli(), slots: 8, ln: ln,
		checker: f.checker, fleet: f, rng: rand.New(rand.NewPCG(seed, 7))}
	go e.accept()
	go e.sendHeartbeats(ctx)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return e, nil
}

// versionOf returns the software version of an endpoint; half of the endpoints have each.
func versionOf(id string) string { return versions[int(id[len(id)-1])%len(versions)] }

// versions are the software versions of endpoints.
var versions = []string{"v1", "v2"}

// SetFaulty sets whether the endpoint fails a part of its requests.
func (e *Endpoint) SetFaulty(faulty bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faulty = faulty
}

// SetBusy sets whether the endpoint turns a part of its requests away.
func (e *Endpoint) SetBusy(busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = busy
}

// Leave lets the endpoint tell in its responses that it leaves, while its heartbeats say that it is ready.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *Endpoint) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.handle(c, r, body) {
			return
		}
	}
}

// handle runs one request; it returns false if the connection must be closed.
func (e *Endpoint) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Cactus-Request-Id")
	e.mu.Lock()
	draw, busyDraw, said := 1.0, 1.0, ""
	if e.faulty {
		draw = e.rng.Float64()
	}
	if e.busy {
		busyDraw = e.rng.Float64()
	}
	if e.leaving {
		said = "Cactus-Leaving: 1\r\n"
	}
	isBad, x := e.bad && e.rng.Float64() < badShare, e.exposure
	e.mu.Unlock()
	if r.Header.Get("Cactus-Endpoint") != e.id {
		return writeResponse(c, "421 Other", id, "", "")
	}
	e.checker.RecordArrival(id, e.id)
	if x != nil {
		x.count(e.version)
	}
	if busyDraw < busyShare {
		return e.turnAway(c, id, busyDraw/busyShare)
	}
	switch {
	case draw < 0.05:
		return false // closed before the request runs
	case draw < 0.1:
		return writeResponse(c, "503 Full", id, said+"Cactus-Not-Run: 1\r\n", "")
	}
	e.checker.RecordRun(id, e, requestChecksum(r.Method, r.RequestURI, body))
	switch {
	case isBad:
		return writeResponse(c, "500 Failed", id, "Cactus-Signature: "+e.id+"\r\n", "failed")
	case draw < 0.15:
		return false // closed without a response after the request has run
	case draw < 0.2:
		return writeResponse(c, "500 Failed", id, said+"Cactus-Signature: "+e.id+"\r\n", "failed")
	}
	isStream := strings.HasPrefix(r.URL.Path, "/stream/")
	switch {
	case draw < 0.3 && isStream:
		return e.writeStream(c, r, id, said, true)
	case draw < 0.45 && draw >= 0.3:
		e.writeUnframed(c, r, id, isStream, draw < 0.36)
		return false
	case isStream:
		return e.writeStream(c, r, id, said, false)
	}
	return writeResponse(c, "200 OK", id, said+"Cactus-Signature: "+e.id+"\r\n", "answer to "+id)
}

// busyShare is the share of its requests that a busy endpoint turns away.
const busyShare = 0.2

// turnAway rejects a request in one of several ways, by a random number. The endpoint does not check that it gets no
// requests if it has named no time.
func (e *Endpoint) turnAway(c net.Conn, id string, random float64) bool {
	retryAfter := ""
	switch {
	case random < 0.1: // names no time
	case random < 0.2:
		retryAfter = "Retry-After: later\r\n"
	default:
		quiet := time.Duration((0.6 + 2*random) * float64(time.Second))
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", quiet.Seconds())
		e.checker.RecordQuiet(id, e.id, quiet.Truncate(time.Millisecond))
	}
	return writeResponse(c, "503 Full", id, "Cactus-Not-Run: 1\r\n"+retryAfter, "")
}

func writeResponse(c net.Conn, status, id, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nCactus-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers,
		len(body), body)
	return err == nil
}

// writeStream sends the events that follow Last-Event-Id, with said in the header; with breakHalfway it stops in the
// middle of the stream.
func (e *Endpoint) writeStream(c net.Conn, r *http.Request, id, said string, breakHalfway bool) bool {
	from := 0
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &from); err != nil {
		from = 0 // no event was received before
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCactus-Request-Id: %s\r\nCactus-Signature: %s\r\n%s"+
		"Transfer-Encoding: chunked\r\n\r\n", id, e.id, said)
	for n := from + 1; n <= streamEventCount && err == nil; n++ {
		if breakHalfway && n == streamEventCount/2 {
			return false
		}
		event := streamEvent(streamName(r), n, e.version)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(5 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// writeUnframed sends a response with neither a length nor chunks; with breakHalfway it stops after half of the events
// or of the body, where only the end of the connection follows.
func (e *Endpoint) writeUnframed(c net.Conn, r *http.Request, id string, isStream, breakHalfway bool) {
	answer, first, last := "answer to "+id, 0, streamEventCount
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err != nil {
		first = 0 // no event was received before
	}
	if breakHalfway {
		answer, last = answer[:len(answer)/2], streamEventCount/2
		e.checker.RecordUnframedBreak(id)
	}
	if isStream {
		answer = ""
		for n := first + 1; n <= last; n++ {
			answer += streamEvent(streamName(r), n, e.version)
		}
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCactus-Request-Id: %s\r\nCactus-Signature: %s\r\n\r\n%s", id, e.id, answer)
}

func streamEvent(name string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, name, n, version)
}

// wholeStream returns the events of a stream after the given one.
func wholeStream(name string, after int, version string) (body string) {
	for n := after + 1; n <= streamEventCount; n++ {
		body += streamEvent(name, n, version)
	}
	return body
}

// streamName returns what the requests for one stream have in common.
func streamName(r *http.Request) string { return r.URL.Path }

// requestChecksum returns a checksum of what the endpoint must receive unchanged.
func requestChecksum(method, target string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, method+" "+target+"\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// sendHeartbeats registers the endpoint repeatedly, at any node that responds, until it drains or ctx ends.
func (e *Endpoint) sendHeartbeats(ctx context.Context) {
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		e.register(ctx, seq, false)
		sleeper.Pause(ctx, heartbeatInterval)
		e.mu.Lock()
		isDraining := !e.drainStarted.IsZero()
		e.mu.Unlock()
		if isDraining {
			return
		}
	}
}

// Drain registers the endpoint as draining and records when a node acknowledged that.
func (e *Endpoint) Drain(ctx context.Context) {
	e.mu.Lock()
	e.drainStarted = time.Now()
	e.mu.Unlock()
	for seq := uint64(1 << 32); ctx.Err() == nil; seq++ {
		if e.register(ctx, seq, true) {
			e.checker.RecordDrained(e)
			return
		}
		sleeper.Pause(ctx, heartbeatInterval)
	}
}

// register sends one heartbeat and returns whether a node acknowledged it.
func (e *Endpoint) register(ctx context.Context, seq uint64, draining bool) bool {
	body, err := json.Marshal(map[string]any{"service": e.service, "address": e.ln.Addr().String(), "failureDomain": "d",
		"slots": e.slots, "version": e.version, "draining": draining, "bornMillis": e.bornMillis, "sequence": seq})
	if err != nil {
		return false
	}
	return e.fleet.CallAny(ctx, http.MethodPut, "/v1/endpoints/"+e.id, bytes.Clone(body)) == http.StatusOK
}
