package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/planner"
)

func engineTestPlan(version uint64) *planner.Plan {
	p := testPlan(version)
	p.Services = []planner.Service{{Name: "s", Engine: true, Slots: 32}}
	return p
}

func convict(n *testNode, id string) attributor.Part {
	part := attributor.NewPart("s", id)
	now := time.Now()
	n.fleet.evidence.update(func(a *attributor.Attributor) []attributor.Conviction {
		c := attributor.Conviction{Part: part, Revision: 1, Crashes: 2, At: now, RefusedAt: now}
		a.MergeConviction(c)
		return []attributor.Conviction{c}
	})
	return part
}

func (f *testFleet) awaitConvicted(part attributor.Part, want bool, nodes []*testNode) {
	f.t.Helper()
	for _, n := range nodes {
		eventually(f.t, fmt.Sprintf("convicted %v at %s", want, n.settings.Place.Name), func() bool {
			ev := n.fleet.evidence
			ev.mu.Lock()
			defer ev.mu.Unlock()
			return ev.attributor.IsConvicted(part) == want
		})
	}
}

// Guards against nodes that forget a convicted part when all nodes start again, or start later, and against a
// conviction that an operator can't end everywhere.
func TestConvictionHoldsThroughRestartsUntilLifted(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	part := convict(f.nodes[3], "bad")
	f.awaitConvicted(part, true, f.nodes)
	time.Sleep(2 * stateCacheInterval)
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		f.start(n, f.seeds, false)
	}
	f.awaitPlan(1, f.nodes)
	late := f.add("late", false)
	f.start(late, f.seeds, false)
	f.awaitPlan(1, []*testNode{late})
	for _, n := range f.nodes[3:] {
		// A router that has the plan serves; it must know the part before.
		_, ok := n.fleet.evidence.check([]attributor.Part{part})
		assert.Check(t, !ok, n.settings.Place.Name)
	}
	f.awaitConvicted(part, true, f.nodes)

	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	call := func(n *testNode, method, path string) (status int, body string) {
		control := httptest.NewServer(newNativeControl(n.fleet))
		defer control.Close()
		r, err := http.NewRequest(method, control.URL+path, nil)
		assert.NilError(t, err)
		resp, err := client.Do(r)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
		assert.NilError(t, err)
		return resp.StatusCode, string(data)
	}
	status, body := call(late, http.MethodGet, "/v1/convictions")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"part":"`+part.String()+`","lifted":false,"crashes":2`), body)
	eventually(t, "a quorate instance", func() bool {
		_, isKnown := late.fleet.preferredInstance("", "")
		return isKnown && f.nodes[0].fleet.control.isQuorate()
	})
	for _, c := range []struct {
		node   *testNode
		path   string
		status int
	}{
		{late, "zz", http.StatusBadRequest},
		{late, part.String(), http.StatusTemporaryRedirect},
		{f.nodes[0], "zz", http.StatusBadRequest},
		{f.nodes[0], "1", http.StatusNotFound},
		{f.nodes[0], part.String(), http.StatusOK},
	} {
		status, _ := call(c.node, http.MethodDelete, "/v1/convictions/"+c.path)
		assert.Equal(t, status, c.status, "%s at %s", c.path, c.node.settings.Place.Name)
	}
	f.awaitConvicted(part, false, f.nodes)
}

// newEngineTestProxy returns a proxy before engines that all handle requests the same way.
func newEngineTestProxy(t *testing.T, engines int, handle func(e *fakeEndpoint, req *receivedRequest)) *testProxy {
	list := make([]*fakeEndpoint, engines)
	for i := range list {
		list[i] = newFakeEndpoint(t, func(req *receivedRequest) { handle(list[i], req) })
	}
	return newTestProxy(t, engineTestPlan(1), list...)
}

// suspects returns the number of requests with a part that are known to have awaited an answer at a crash.
func (p *testProxy) suspects(id string) (n int) {
	for _, s := range p.fleet.evidence.all().Suspects {
		for _, part := range s.Parts {
			if part == attributor.NewPart("s", id) {
				n++
			}
		}
	}
	return n
}

// Guards against parts that are suspected because an answer was lost while the endpoint is up, because the crash came
// after the answer had begun, or because it is the part of a single request; and against crashes that are not noticed
// since the head of the answer or the first event had arrived.
func TestSuspectsOfACrash(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for _, c := range []struct {
		name     string
		sent     string
		ends     bool // the endpoint stops to listen
		path     string
		parts    string
		suspects int
	}{
		{"no answer", "", true, "/stream/", "first:10,bad:20,tail:5", 1},
		{"head only", head, true, "/stream/", "first:10,bad:20,tail:5", 1},
		{"inside the first event", head + chunk("id: 1\ndata"), true, "/stream/", "first:10,bad:20,tail:5", 1},
		{"after the first event", head + chunk("id: 1\ndata: a\n\n"), true, "/stream/", "first:10,bad:20,tail:5", 1},
		{"after the second event", head + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), true, "/stream/",
			"first:10,bad:20,tail:5", 0},
		{"without framing", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n\r\n", true, "/stream/", "first:10,bad:20,tail:5", 1},
		{"endpoint is up", "", false, "/stream/", "first:10,bad:20,tail:5", 0},
		{"inside a body", "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 9\r\n\r\nx", true, "/once/",
			"first:10,bad:20,tail:5", 1},
		{"last part", "", true, "/stream/", "first:10,bad:20", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newEngineTestProxy(t, 1, func(e *fakeEndpoint, req *receivedRequest) {
				_, _ = req.conn.Write([]byte(c.sent))
				if c.ends {
					_ = e.listener.Close()
				}
				_ = req.conn.Close()
			})
			p.call(t, http.MethodPost, c.path, "", "Parts", c.parts)
			if c.suspects > 0 {
				eventually(t, "a suspect", func() bool { return p.suspects("bad") > 0 })
			} else {
				time.Sleep(crashCheckTimeout)
			}
			assert.Equal(t, p.suspects("bad"), c.suspects)
		})
	}
}

// Guards against a crash that is not recorded because the node was short of processor time and checked it late.
func TestCrashIsCheckedLate(t *testing.T) {
	p := newEngineTestProxy(t, 1, func(*fakeEndpoint, *receivedRequest) {})
	e := p.fleet.Endpoints()[0]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.Address = ln.Addr().String()
	assert.NilError(t, ln.Close())
	at := time.Now().Add(-2 * crashCheckTimeout)
	p.reportCrash(&request{id: "id-1", sharedParts: []attributor.Part{attributor.NewPart("s", "bad")}}, e, at)
	assert.Equal(t, p.suspects("bad"), 1)
	assert.Assert(t, p.fleet.evidence.all().Suspects[0].At.Equal(at))
}

// Guards against a request with a convicted part that is sent, also as the repeat of an attempt that broke off, and
// against a caller that is told that its request has not run although it may have.
func TestRequestWithConvictedPartIsRefused(t *testing.T) {
	part := attributor.NewPart("s", "bad")
	var p *testProxy
	now := time.Now()
	convictNow := func() {
		p.fleet.evidence.merge(exchanger.Evidence{Convictions: []attributor.Conviction{
			{Part: part, Revision: 1, Crashes: 2, At: now, RefusedAt: now}}}, "control")
	}
	requests := 0
	p = newEngineTestProxy(t, 3, func(_ *fakeEndpoint, req *receivedRequest) {
		requests++
		convictNow()
		_ = req.conn.Close()
	})
	got := p.call(t, http.MethodPost, "/resume/", "", "Parts", "first:10,bad:20,tail:5")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Retry-After"), "")
	assert.Equal(t, requests, 1)
	got = p.call(t, http.MethodPost, "/resume/", "", "Parts", "first:10,bad:20,tail:6")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, requests, 1)
}

// Guards against a sound part that is refused for ever after it was convicted wrongly, and against more than one
// request that tries a convicted part.
func TestConvictedPartIsTriedByOneNode(t *testing.T) {
	log := newRateLimitedLog(newTestProxy(t, nil).obs, newTestProxy(t, nil).queue)
	control, router := newEvidence("control", true, log), newEvidence("router", false, log)
	control.publish = func(e exchanger.Evidence) { router.merge(e, "control") }
	report := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*evidenceReportDelay)
		defer cancel()
		router.report(ctx, func(_ context.Context, e exchanger.Evidence) error {
			control.merge(e, "router")
			return nil
		})
	}
	parts := []attributor.Part{attributor.NewPart("s", "a")}
	now := time.Now()
	control.update(func(a *attributor.Attributor) []attributor.Conviction {
		c := attributor.Conviction{Part: parts[0], Revision: 1, Crashes: 2, At: now.Add(-time.Minute), RefusedAt: now}
		a.MergeConviction(c)
		return []attributor.Conviction{c}
	})
	_, ok := router.check(parts)
	assert.Assert(t, !ok)
	report()
	_, ok = control.check(parts)
	assert.Assert(t, !ok)
	control.grantTrials(time.Now())
	granted := control.all().Convictions[0]
	assert.Equal(t, granted.Trials, 1)
	tried := 0
	for range 5 {
		for _, ev := range []*evidence{control, router} {
			if _, ok := ev.check(parts); ok {
				assert.Equal(t, granted.TrialBy, ev.node)
				tried++
			}
		}
	}
	assert.Equal(t, tried, 1)
	router.recordAnswers(parts)
	report()
	for _, ev := range []*evidence{control, router} {
		_, ok := ev.check(parts)
		assert.Assert(t, ok, ev.node)
	}
}
