package node

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const testLimit = 30 * time.Second

var testHeaders = Headers{RequestID: "Req-Id", DeadlineMillis: "Left-Ms", Key: "Api-Key", Workspace: "Workspace",
	Expected: "Expected-Endpoint", NotRun: "Not-Run", Load: "Load", PromptParts: "Parts",
	FetchFrom: "Fetch", EventID: "Last-Event-Id", Priority: "Urgency", Reserved: []string{"Hold"}}

// testDialect has short headers, one of them reserved.
func testDialect() Dialect {
	return Dialect{Headers: testHeaders, DecodePlan: planner.Parse,
		Control: func(Control) http.Handler { return http.NotFoundHandler() }}
}

func testPlan(version uint64) *planner.Plan {
	share := []planner.Share{{Service: "s", Weight: 1}}
	return &planner.Plan{
		Version:  version,
		Services: []planner.Service{{Name: "s"}},
		Routes: []planner.Route{
			{Name: "once", Host: "h.example", Prefix: "/once/", Kind: planner.KindOnce, TimeoutMillis: 5000, MaxAttempts: 2,
				Shares: share},
			{Name: "safe", Host: "h.example", Prefix: "/safe/", Kind: planner.KindRepeatable, TimeoutMillis: 5000,
				MaxAttempts: 2, Shares: share},
			{Name: "short", Host: "h.example", Prefix: "/short/", Kind: planner.KindRepeatable, TimeoutMillis: 200,
				MaxAttempts: 2, Shares: share},
			{Name: "stream", Host: "h.example", Prefix: "/stream/", Kind: planner.KindStream, TimeoutMillis: 5000,
				MaxAttempts: 2, Shares: share},
			{Name: "resume", Host: "h.example", Prefix: "/resume/", Kind: planner.KindStream, Resumable: true,
				TimeoutMillis: 5000, MaxAttempts: 2, Shares: share},
			{Name: "open", Host: "h.example", Prefix: "/open/", Kind: planner.KindRepeatable, TimeoutMillis: 5000,
				MaxAttempts: 2, Public: true, Shares: share},
		},
		Workspaces: []planner.Workspace{{Name: "w", Keys: []string{"key"}}},
		Limits:     planner.Limits{BodyBytes: 1 << 20},
	}
}

func encodePlan(t testing.TB, p *planner.Plan) []byte {
	content, err := json.Marshal(p)
	assert.NilError(t, err)
	return content
}

// fakeEndpoint records the requests that it gets and answers them with handle.
type fakeEndpoint struct {
	address string
	mu      sync.Mutex
	got     []*http.Request
	bodies  []string
}

// seen is one request at a fake endpoint.
type seen struct {
	conn net.Conn
	r    *http.Request
	body string
	n    int // 1 for the first request at this endpoint
}

// answer writes a whole answer with the ID of the request.
func (s *seen) answer(status, headers, body string) {
	_, _ = io.WriteString(s.conn, "HTTP/1.1 "+status+"\r\nReq-Id: "+s.r.Header.Get("Req-Id")+"\r\n"+headers+
		"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

func newFakeEndpoint(t testing.TB, handle func(s *seen)) *fakeEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &fakeEndpoint{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c, handle)
		}
	}()
	return e
}

func (e *fakeEndpoint) serve(c net.Conn, handle func(s *seen)) {
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
		e.mu.Lock()
		e.got = append(e.got, r)
		e.bodies = append(e.bodies, string(body))
		n := len(e.got)
		e.mu.Unlock()
		handle(&seen{conn: c, r: r, body: string(body), n: n})
	}
}

func (e *fakeEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.got)
}

func ok(s *seen) { s.answer("200 OK", "Signed: yes\r\n", "answer") }

// testFront is a router without a control group, in front of fake endpoints in the order of their first letters.
type testFront struct {
	*front
	url   string
	queue *observer.AsyncWriter
	obs   *observer.Observer
}

func testSettings(name string) Settings {
	s := Settings{Place: configurer.Place{Name: name, Region: "r", FailureDomain: "d"},
		Listen: Listen{Exchange: "127.0.0.1:0"}}
	s.setDefaults()
	return s
}

func newTestFront(t testing.TB, plan *planner.Plan, ends ...*fakeEndpoint) *testFront {
	return newLoggedFront(t, io.Discard, plan, ends...)
}

// newLoggedFront returns a front whose lines are written to log when its queue is flushed.
func newLoggedFront(t testing.TB, out io.Writer, plan *planner.Plan, ends ...*fakeEndpoint) *testFront {
	queue := observer.NewAsyncWriter(out)
	obs := observer.New(queue, "test")
	log := newDecisionLog(obs, queue)
	f := newFleet(testSettings("router"), testDialect(), log)
	pool := forwarder.NewPool()
	fr := &front{dialect: testDialect(), fleet: f, pool: pool, log: log, metrics: newMetrics(obs, f, pool, queue)}
	if plan != nil {
		assert.NilError(t, plan.Index())
		f.view.Store(&view{plan: plan})
	}
	list := make([]registrar.Endpoint, 0, len(ends))
	for i, e := range ends {
		list = append(list, registrar.Endpoint{ID: string(rune('a' + i)), Service: "s", Address: e.address, Domain: "d",
			State: registrar.Ready, Born: 1, Sequence: 1})
	}
	f.mergeEndpoints(list, "test")
	srv := httptest.NewServer(fr)
	t.Cleanup(srv.Close)
	return &testFront{front: fr, url: srv.URL, queue: queue, obs: obs}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the body
}

// call sends a request with the usual headers; more are pairs of names and values.
func (f *testFront) call(t testing.TB, method, path, body string, more ...string) reply {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Req-Id", "id-1")
	r.Header.Set("Api-Key", "key")
	for i := 0; i < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testLimit, what)
		}
	}
}

func document(t testing.TB, version uint64) fleetapplier.EncodedPlan {
	return fleetapplier.EncodedPlan{Version: version, Content: encodePlan(t, testPlan(version))}
}

func testPlanIndexed(t testing.TB) *planner.Plan {
	p := testPlan(1)
	assert.NilError(t, p.Index())
	return p
}

func queryFor(f *testFront) chooser.Query {
	return chooser.Query{Service: f.fleet.view.Load().plan.Service("s")}
}
