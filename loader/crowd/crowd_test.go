//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/loader/spawner"
)

// machineLimits are the limits of the machine that the settings of a program under test state. Its process must keep
// to them.
type machineLimits struct{ memoryBytes, descriptors int }

func (m machineLimits) settings() map[string]any {
	return map[string]any{"memoryBytes": m.memoryBytes, "descriptors": m.descriptors}
}

var (
	// smallMachine has descriptors for 160 callers.
	smallMachine = machineLimits{memoryBytes: 64 << 20, descriptors: 512}

	// manyDescriptors has descriptors for more callers than its memory bears without a bound on each thing that they hold.
	manyDescriptors = machineLimits{memoryBytes: 64 << 20, descriptors: 2870}
)

const (
	callers     = 300 // of a crowd
	manyCallers = 600 // of a crowd at a machine with manyDescriptors

	headBytes      = 16 << 10 // the limit of the plan
	bodyBytes      = 4 << 20  // the limit of the plan
	idleConns      = 700
	waitTimeout    = 20 * time.Second // ends a test that hangs; nothing is measured against it
	trickleSteps   = 8
	trickleWait    = 50 * time.Millisecond
	pipelinedHeads = 6
	chunkedBytes   = 1 << 20 // of one caller's body in small chunks
	answerBytes    = 250_000 // of one large answer that has not ended
	laterTime      = 500 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
)

// lines returns header lines with up to n bytes together.
func lines(n int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l) > n {
			return b.String()
		}
		b.WriteString(l)
	}
}

func shortLine(i int) string { return strconv.FormatInt(int64(i+36), 36) + ":\r\n" }

// head returns the head of a request of n bytes without the empty line at its end.
func head(request string, n int, line func(i int) string) string {
	start := request + " HTTP/1.1\r\nHost: h.example\r\n"
	return start + lines(n-len(start)-2, line)
}

// crowdConn is what one caller does with its connection; it returns when it has sent all.
type crowdConn func(c net.Conn)

func send(parts ...string) crowdConn {
	return func(c net.Conn) {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
		}
	}
}

// sendSlowly sends text in several parts with pauses.
func sendSlowly(text string) crowdConn {
	return func(c net.Conn) {
		for n := range trickleSteps {
			if _, err := io.WriteString(c, text[len(text)*n/trickleSteps:len(text)*(n+1)/trickleSteps]); err != nil {
				return
			}
			time.Sleep(trickleWait)
		}
	}
}

// sendAndReceive waits for the first byte after a request and leaves the connection idle.
func sendAndReceive(text string) crowdConn {
	return func(c net.Conn) {
		send(text)(c)
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		_, _ = c.Read(make([]byte, 1))
	}
}

// program is a process under test.
type program struct {
	process *spawner.Process
	machine machineLimits
	log     string
	// ordinary sends an ordinary request and returns its status, 0 without an answer.
	ordinary func() int
	want     int
}

func (p *program) isAlive() bool { return p.process != nil && syscall.Kill(p.process.Pid(), 0) == nil }

// peakMemory returns the largest resident set of the process so far.
func (p *program) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid()))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kb), " kB"))
			assert.NilError(t, err)
			return n << 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

func (p *program) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.Pid()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unreadBytes returns the bytes that have arrived on the connections to an address and that its process has not read.
// They count toward the memory of its machine.
func unreadBytes(address string) (n int) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	sockets, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listens = "0A" // a state whose queue is not in bytes
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(sockets)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listens {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		if bytes, err := strconv.ParseInt(unread, 16, 64); err == nil {
			n += int(bytes)
		}
	}
	return n
}

// awaitOrdinary sends ordinary requests until one is answered as expected.
func (p *program) awaitOrdinary(t *testing.T, when string) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(trickleWait) {
		assert.Assert(t, p.isAlive(), "the process has ended %s", when)
		if status = p.ordinary(); status == p.want {
			return
		}
	}
	t.Fatalf("an ordinary request %s got status %d", when, status)
}

// meet lets a crowd act on an address and checks the process meanwhile and afterwards.
func (p *program) meet(t *testing.T, address string, n int, act crowdConn) {
	p.awaitOrdinary(t, "before the crowd")
	before := p.peakMemory(t)
	peakDescriptors, peakUnread := 0, 0 // valid once sampled is closed
	sampled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			peakDescriptors = max(peakDescriptors, p.descriptors())
			peakUnread = max(peakUnread, unreadBytes(address))
			time.Sleep(sampleInterval)
		}
	}()
	conns := make([]net.Conn, n)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			c, err := (&net.Dialer{Timeout: waitTimeout / 4}).Dial("tcp", address)
			if err != nil {
				return
			}
			conns[i] = c
			_ = c.SetDeadline(time.Now().Add(waitTimeout / 4))
			act(c)
		})
	}
	wg.Wait()
	p.awaitOrdinary(t, "beside the crowd")
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	p.awaitOrdinary(t, "after the crowd")
	cancel()
	<-sampled
	peak := p.peakMemory(t)
	t.Logf("peak %d MB (%d MB before), %d MB unread, %d descriptors", peak>>20, before>>20, peakUnread>>20,
		peakDescriptors)
	limits := p.machine
	assert.Check(t, peak+peakUnread <= limits.memoryBytes, "%d MB and %d MB unread of %d MB", peak>>20, peakUnread>>20,
		limits.memoryBytes>>20)
	assert.Check(t, peakDescriptors <= limits.descriptors, "%d descriptors of %d", peakDescriptors, limits.descriptors)
}

// build builds the programs into a folder and returns it.
func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", folder+"/", "cactusroute.dev/node/cmd/node",
		"cactusroute.dev/router/cmd/router", "cactusroute.dev/agent/cmd/agent",
		"cactusroute.dev/control/cmd/control").CombinedOutput()
	assert.NilError(t, err, string(out))
	return folder
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// call sends a request on a connection of its own and returns the status, 0 without a complete answer.
func call(method, address, path string, body any) int {
	content, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(content))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	client := &http.Client{Timeout: waitTimeout / 8, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// start starts a program on a machine, which is stopped at the end of the test.
func start(t *testing.T, binaries, name string, machine machineLimits, settings map[string]any) *program {
	t.Helper()
	settings["machine"] = machine.settings()
	s := &spawner.Spawner{BinDir: binaries, WorkDir: t.TempDir()}
	process, err := s.Start(name, name, settings)
	assert.NilError(t, err)
	log := filepath.Join(s.WorkDir, name+".log")
	t.Cleanup(func() {
		_ = process.Kill()
		if content, err := os.ReadFile(log); t.Failed() && err == nil {
			t.Logf("%s", content[max(0, len(content)-2000):])
		}
	})
	return &program{process: process, machine: machine, log: log}
}

// route returns a route of a plan to one service.
func route(name, prefix, service string) map[string]any {
	return map[string]any{"name": name, "host": "h.example", "prefix": prefix, "kind": "repeatable",
		"timeoutMillis": 60000, "maxAttempts": 1, "shares": []any{map[string]any{"service": service, "weight": 1}}}
}

// nodeUnderTest is a node with an endpoint of each service, which holds the requests of the crowd until the test has
// ended.
type nodeUnderTest struct {
	*program
	front, ready, control, metrics, exchange string
}

func startNode(t *testing.T, binaries string, machine machineLimits, moreRoutes ...any) *nodeUnderTest {
	t.Helper()
	held := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cactus-Request-Id", r.Header.Get("Cactus-Request-Id"))
		path := strings.TrimPrefix(r.URL.Path, "/engines")
		switch path {
		case "/large/":
			_, _ = io.CopyN(w, zeros{}, bodyBytes)
			return
		case "/announced/":
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes+1))
			_, _ = io.CopyN(w, zeros{}, answerBytes)
		case "/unfinished/":
			_, _ = io.CopyN(w, zeros{}, answerBytes)
		case "/later/":
			time.Sleep(laterTime)
			return
		case "/hold/":
		default:
			return
		}
		if path != "/hold/" {
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-held:
		case <-r.Context().Done():
		}
	})
	// The endpoints by service.
	endpoints := map[string]*httptest.Server{"s": httptest.NewServer(handler), "engines": httptest.NewServer(handler)}
	t.Cleanup(func() {
		close(held)
		for _, e := range endpoints {
			e.Close()
		}
	})
	n := &nodeUnderTest{front: freeAddress(t), ready: freeAddress(t), control: freeAddress(t), metrics: freeAddress(t),
		exchange: freeAddress(t)}
	n.program = start(t, binaries, "node", machine, map[string]any{
		"place": map[string]any{"name": "n", "region": "r", "failureDomain": "d"}, "firstStart": true,
		"listen": map[string]any{"front": n.front, "ready": n.ready, "control": n.control, "metrics": n.metrics,
			"exchange": n.exchange},
		"dataFolder": t.TempDir(), "seeds": []string{n.exchange},
	})
	plan := map[string]any{"version": 1, "services": []any{map[string]any{"name": "s"},
		map[string]any{"name": "engines", "engine": true, "slots": 10 * callers, "cacheTokens": 1 << 20}},
		"routes": append([]any{route("all", "/", "s"), route("engines", "/engines/", "engines")}, moreRoutes...),
		"limits": map[string]any{"headerBytes": headBytes, "bodyBytes": bodyBytes, "headerTimeoutMillis": 3000,
			"idleTimeoutMillis": 15000}}
	isPlanned := false
	n.ordinary, n.want = func() int {
		isPlanned = isPlanned || call(http.MethodPut, n.control, "/v1/plan", plan) == http.StatusOK
		return call(http.MethodPost, n.front, "/ordinary/", "text")
	}, http.StatusOK
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			for service, e := range endpoints {
				n.register("of-"+service, service, strings.TrimPrefix(e.URL, "http://"), sequence)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	return n
}

// register sends a heartbeat of an endpoint and returns the status.
func (n *nodeUnderTest) register(id, service, address string, sequence int) int {
	return call(http.MethodPut, n.control, "/v1/endpoints/"+id, map[string]any{"service": service, "sequence": sequence,
		"address": address, "failureDomain": "d", "slots": 10 * callers, "bornMillis": 1})
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against crowds of callers that stay within the limits of the plan and exhaust the memory or the descriptors of
// a node.
func TestCrowdAtNode(t *testing.T) {
	binaries := build(t)
	const post = "POST /hold/"
	whole := head("GET /hold/", headBytes, shortLine) + "\r\n"
	chunked := head(post, 1<<10, shortLine) + "Transfer-Encoding: chunked\r\n\r\n"
	front := func(n *nodeUnderTest) string { return n.front }
	for _, c := range []struct {
		name    string
		address func(n *nodeUnderTest) string
		callers int
		act     crowdConn
	}{
		{"short names", front, callers, send(whole)},
		{"one name repeated", front, callers,
			send(head("GET /hold/", headBytes, func(int) string { return "a1:\r\n" }) + "\r\n")},
		{"odd lines", front, callers,
			send(head("GET /hold/", headBytes, func(i int) string { return shortLine(i) + " \r\n" }) + "\r\n")},
		{"end held back", front, callers, send(head("GET /hold/", headBytes, shortLine))},
		{"trickled", front, callers, sendSlowly(whole)},
		{"trickled and held back", front, callers, sendSlowly(head("GET /hold/", headBytes, shortLine))},
		{"pipelined", front, callers,
			send(strings.Repeat(head("GET /ordinary/", headBytes/4, shortLine)+"\r\n", pipelinedHeads) + whole)},
		{"pipelined, end held back", front, callers,
			send(head("GET /ordinary/", 1<<10, shortLine) + "\r\n" + head("GET /hold/", headBytes, shortLine))},
		{"after a body", front, callers, send(head("POST /ordinary/", 1<<10, shortLine)+"Content-Length: 1\r\n\r\nx", whole)},
		{"chunk extensions", front, callers, send(chunked,
			strings.Repeat("1;"+strings.Repeat("x", 4000)+"\r\nx\r\n", 200))},
		{"trailers", front, callers, send(chunked, "1\r\nx\r\n0\r\n"+lines(4000, shortLine)+"\r\n")},
		{"trailers, end held back", front, callers, send(chunked, "1\r\nx\r\n0\r\n"+lines(4000, shortLine))},
		{"idle after short names", front, callers,
			sendAndReceive(head("GET /ordinary/", headBytes, shortLine) + "\r\n")},
		{"largest bodies, unfinished", front, callers,
			send("POST /hold/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n",
				strings.Repeat("x", bodyBytes/4))},
		{"largest bodies, not begun", front, callers,
			send("POST /hold/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n")},
		{"bodies in small chunks", front, callers, send(chunked, strings.Repeat("1\r\nx\r\n", chunkedBytes/6))},
		{"read nothing", front, callers, send("GET /large/ HTTP/1.1\r\nHost: h.example\r\n\r\n")},
		{"idle connections", front, idleConns, send()},
		{"idle connections, ready", func(n *nodeUnderTest) string { return n.ready }, idleConns, send()},
		{"idle connections, control", func(n *nodeUnderTest) string { return n.control }, idleConns, send()},
		{"short names, ready", func(n *nodeUnderTest) string { return n.ready }, callers, send(whole)},
		{"end held back, control", func(n *nodeUnderTest) string { return n.control }, callers,
			send(head("GET /hold/", headBytes, shortLine))},
		{"larger heads, control", func(n *nodeUnderTest) string { return n.control }, callers,
			send(head("GET /hold/", 8*headBytes, shortLine))},
		{"largest bodies, control", func(n *nodeUnderTest) string { return n.control }, callers,
			send("PUT /v1/plan HTTP/1.1\r\nHost: h.example\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n",
				strings.Repeat("x", bodyBytes/4))},
		{"larger heads, metrics", func(n *nodeUnderTest) string { return n.metrics }, callers,
			send(head("GET /hold/", 8*headBytes, shortLine))},
		{"larger heads, exchange", func(n *nodeUnderTest) string { return n.exchange }, callers,
			send(head("GET /hold/", 8*headBytes, shortLine))},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binaries, smallMachine)
			n.meet(t, c.address(n), c.callers, c.act)
		})
	}
}

// tlsFiles returns the settings of TLS with a new certificate.
func tlsFiles(t *testing.T) map[string]any {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	folder := t.TempDir()
	write := func(name, kind string, content []byte) string {
		file := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
		return file
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return map[string]any{"certFile": certFile, "keyFile": write("key.pem", "PRIVATE KEY", der), "caFile": certFile}
}

var tlsConfig = &tls.Config{InsecureSkipVerify: true}

// overTLS lets a caller act after a handshake.
func overTLS(act crowdConn) crowdConn {
	return func(c net.Conn) {
		if tc := tls.Client(c, tlsConfig); tc.Handshake() == nil {
			act(tc)
		}
	}
}

// Guards against the same at a router with TLS, in and after the handshake.
func TestCrowdAtRouterWithTLS(t *testing.T) {
	binaries := build(t)
	for _, c := range []struct {
		name    string
		callers int
		act     crowdConn
	}{
		{"no handshake", idleConns, send()},
		{"half a handshake", idleConns, send("\x16\x03\x01\x02\x00\x01\x00\x01\xfc")},
		{"idle after the handshake", callers, overTLS(send())},
		{"short names", callers, overTLS(send(head("GET /none", 2*headBytes, shortLine) + "\r\n"))},
		{"end held back", callers, overTLS(send(head("GET /none", 2*headBytes, shortLine)))},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := freeAddress(t)
			p := start(t, binaries, "router", smallMachine, map[string]any{"listen": address, "tls": tlsFiles(t),
				"place":    map[string]any{"name": "n", "region": "r", "failureDomain": "d"},
				"controls": []string{"127.0.0.1:1"}})
			client := &http.Client{Timeout: waitTimeout / 8,
				Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: tlsConfig}}
			p.ordinary, p.want = func() int {
				resp, err := client.Get("https://" + address + "/livez")
				if err != nil {
					return 0
				}
				defer func() { _ = resp.Body.Close() }()
				return resp.StatusCode
			}, http.StatusOK
			p.meet(t, address, c.callers, c.act)
		})
	}
}

// Guards against the same at the programs of a fleet with agents.
func TestCrowdAtOtherPrograms(t *testing.T) {
	binaries := build(t)
	const largeHead = 32 << 10 // what a router takes
	post := func(header string) string { return request("POST /v1/chat/completions", header) }
	for _, p := range []struct {
		name     string
		settings map[string]any
	}{
		{"router", map[string]any{"controls": []string{"127.0.0.1:1"}}},
		{"agent", map[string]any{"controls": []string{"127.0.0.1:1"}, "endpoint": "http://127.0.0.1:1", "pool": "p"}},
		{"control", map[string]any{"dataDir": ""}},
	} {
		for _, c := range []struct {
			name    string
			callers int
			act     crowdConn
		}{
			{"short names", callers, send(head("GET /none", largeHead, shortLine) + "\r\n")},
			{"end held back", callers, send(head("GET /none", largeHead, shortLine))},
			{"larger heads", callers, send(head("GET /none", 8*largeHead, shortLine))},
			{"largest bodies", callers, send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n",
				strings.Repeat("x", 1<<19))},
			{"idle connections", idleConns, send()},
			{"trickled", callers, sendSlowly(head("GET /none", largeHead, shortLine) + "\r\n")},
			{"pipelined", callers, send(strings.Repeat(head("GET /livez", 4<<10, shortLine)+"\r\n", pipelinedHeads))},
			{"after a body", callers, send(
				post("Content-Length: 1\r\n"), "x", "\r\n"+head("GET /none", 3900, shortLine)+"\r\n")},
			{"chunk extensions", callers, send(
				post(chunkedLine), strings.Repeat("1;"+strings.Repeat("x", 4000)+"\r\nx\r\n", 200))},
			{"trailers", callers, send(post(chunkedLine), "1\r\nx\r\n0\r\n"+lines(4000, shortLine)+"\r\n")},
			{"trailers, end held back", callers, send(post(chunkedLine), "1\r\nx\r\n0\r\n"+lines(4000, shortLine))},
			{"announced trailers", callers, send(
				post(chunkedLine+"Trailer: "+strings.Join(names(headBytes), ",")+"\r\n"), "1\r\nx\r\n")},
			{"bodies in small chunks", callers, send(post(chunkedLine), strings.Repeat("1\r\nx\r\n", chunkedBytes/6))},
			{"tokens of Connection", callers, send(
				request("GET /none", "Connection: "+strings.Join(names(headBytes), ",")+"\r\n"))},
			{"bytes behind a request", callers, send(request("GET /livez", ""), strings.Repeat("x", chunkedBytes))},
		} {
			t.Run(p.name+"/"+c.name, func(t *testing.T) {
				address := freeAddress(t)
				settings := map[string]any{"place": map[string]any{"name": "n", "region": "r", "failureDomain": "d"},
					"listen": address}
				for key, value := range p.settings {
					settings[key] = value
				}
				process := start(t, binaries, p.name, smallMachine, settings)
				process.ordinary, process.want = func() int { return call(http.MethodGet, address, "/livez", nil) }, http.StatusOK
				process.meet(t, address, c.callers, c.act)
			})
		}
	}
}
