package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// run is a request that a replica has begun to work on.
type run struct {
	replica *replica
	conn    net.Conn
	request *http.Request
	id      string // X-Cactusroute-Request-Id
	body    []byte
	number  int // of the run at this replica, from 1
}

// write sends bytes to the caller and reports whether that succeeded.
func (r *run) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(r.conn, format, args...)
	return err == nil
}

// signature is the replica's signature of the response to the run.
func (r *run) signature() string { return r.replica.id + "." + r.id }

// head sends the head of a response; extra are further header lines, each with its line end.
func (r *run) head(status, extra string) bool {
	return r.write("HTTP/1.1 %s\r\nX-Cactusroute-Request-Id: %s\r\nX-Cactusroute-Response-Signature: %s\r\n%s\r\n",
		status, r.id, r.signature(), extra)
}

// respond sends a whole response with a length.
func (r *run) respond(status, body string) bool {
	return r.head(status, fmt.Sprintf("Content-Length: %d\r\n", len(body))) && r.write("%s", body)
}

// streamHead sends the head of a stream in chunks.
func (r *run) streamHead() bool {
	return r.head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
}

// chunk sends one chunk.
func (r *run) chunk(data string) bool { return r.write("%x\r\n%s\r\n", len(data), data) }

// endChunks sends the last chunk.
func (r *run) endChunks() bool { return r.write("0\r\n\r\n") }

// event returns a stream's event with an ID.
func event(id int, by string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d by %s\n\n", id, id, by)
}

// reset ends the connection with a reset.
func (r *run) reset() { _ = r.conn.(*net.TCPConn).SetLinger(0); _ = r.conn.Close() }

// replica is a stand-in for a replica of a service.
type replica struct {
	id, service, zone, version string
	born                       int64
	fleet                      *fleet
	ln                         net.Listener
	// handle answers a run; it returns false if the connection must be closed.
	handle   func(r *run) bool
	sequence atomic.Int64
	runs     atomic.Int64
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
	state string
}

// startReplica starts a replica at a free address and registers it.
func startReplica(f *fleet, id, service, zone, version string, handle func(r *run) bool) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, service: service, zone: zone, version: version, fleet: f, ln: ln, handle: handle}
	p.serveAndRegister(0)
	return p, nil
}

// restart starts a replica that has ended again, under its ID and at its address, with a software version. Its first
// heartbeat is sent late by the given time.
func (p *replica) restart(version string, late time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", p.ln.Addr().String())
	if err != nil {
		return nil, err
	}
	n := &replica{id: p.id, service: p.service, zone: p.zone, version: version, fleet: p.fleet, ln: ln, handle: p.handle}
	n.serveAndRegister(late)
	return n, nil
}

func (p *replica) serveAndRegister(late time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.born, p.conns, p.state = cancel, time.Now().UnixMilli(), map[net.Conn]bool{}, "ready"
	p.fleet.rec.printf("replica %s of %s, version %s, started at %s", p.id, p.service, p.version, p.ln.Addr())
	go p.accept()
	go func() {
		time.Sleep(late)
		p.sendHeartbeats(ctx)
	}()
}

// crash ends the replica as a crash of its process does: its connections are reset and it sends nothing more.
func (p *replica) crash() {
	p.fleet.rec.printf("replica %s crashes", p.id)
	p.cancel()
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// heartbeat returns the body of a heartbeat.
func (p *replica) heartbeat() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":%q,"coldRemainingMs":0,`+
		`"born":%d,"sequence":%d}`, p.service, p.ln.Addr(), p.zone, p.version, p.state, p.born, p.sequence.Add(1))
}

// sendHeartbeats sends heartbeats to one machine until it fails, then to the next one.
func (p *replica) sendHeartbeats(ctx context.Context) {
	for i := rand.IntN(len(p.fleet.machines)); ctx.Err() == nil; {
		m := p.fleet.machines[i%len(p.fleet.machines)]
		status, err := p.fleet.call(m, http.MethodPut, "/replicas/"+p.id, p.heartbeat())
		if err != nil || status != http.StatusOK {
			i++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (p *replica) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.serve(c)
	}
}

func (p *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := &run{replica: p, conn: c, request: req, id: req.Header.Get("X-Cactusroute-Request-Id"), body: body}
		if expected := req.Header.Get("X-Cactusroute-Expected-Replica"); expected != "" && expected != p.id {
			p.fleet.rec.printf("replica %s rejects request %s, which is for %s", p.id, r.id, expected)
			if !r.write("HTTP/1.1 421 Misdirected Request\r\nX-Cactusroute-Request-Id: %s\r\n"+
				"X-Cactusroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id) {
				return
			}
			continue
		}
		r.number = int(p.runs.Add(1))
		p.fleet.rec.printf("replica %s runs request %s: %s %s Last-Event-Id %q", p.id, r.id, req.Method, req.RequestURI,
			req.Header.Get("Last-Event-Id"))
		if !p.handle(r) {
			return
		}
	}
}
