package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	testKey  = "key-of-shop"
	chatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"wool"}]}`
	seed     = 7
)

// fakeControl implements Control with a fixed view and a scripted claim function.
type fakeControl struct {
	view                *viewer.View
	shares              map[string]int
	claim               func(n int, c subscriber.Claim) (subscriber.ClaimReply, error)
	stale, disconnected bool

	mu     sync.Mutex
	claims []subscriber.Claim
	demand []subscriber.Demand
}

func (c *fakeControl) Serve(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
func (c *fakeControl) View() *viewer.View              { return c.view }
func (c *fakeControl) IsFresh(time.Time) bool          { return !c.stale }
func (c *fakeControl) IsConnected() bool               { return !c.disconnected }
func (c *fakeControl) ControlBytes() (in, out uint64)  { return 0, 0 }

func (c *fakeControl) Share(ws string) (n int, ok bool) { n, ok = c.shares[ws]; return n, ok }

func (c *fakeControl) SetDemand(d []subscriber.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand = append(c.demand, d...)
}

func (c *fakeControl) Claim(_ context.Context, m subscriber.Claim) (subscriber.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims = append(c.claims, m)
	return c.claim(len(c.claims), m)
}

// fakeRelay implements Relay with a function that responds to the n-th attempt, counted from 1.
type fakeRelay struct {
	respond func(ctx context.Context, n int, addr string, req relayer.Request) (Response, error)

	mu       sync.Mutex
	requests []relayer.Request
	addrs    []string
	moved    []string
}

func (f *fakeRelay) NotifyMoved(addr string, _ uint64, endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved = append(f.moved, addr+">"+endpoint)
}

func (f *fakeRelay) Start(ctx context.Context, addr string, req relayer.Request) (Response, error) {
	f.mu.Lock()
	f.requests, f.addrs = append(f.requests, req), append(f.addrs, addr)
	n := len(f.requests)
	f.mu.Unlock()
	return f.respond(ctx, n, addr, req)
}

// fakeResponse yields chunks and then err, or io.EOF if err is nil.
type fakeResponse struct {
	head      relayer.Head
	chunks    []string
	err       error
	wait      <-chan struct{} // received from before each chunk, if set
	cancelled chan struct{}
	once      sync.Once
}

func streamResponse(text string, err error) *fakeResponse {
	return &fakeResponse{
		head: relayer.Head{Status: http.StatusOK, ContentType: "text/event-stream"}, chunks: []string{text}, err: err,
		cancelled: make(chan struct{}),
	}
}

func jsonResponse(text string, err error) *fakeResponse {
	r := streamResponse(text, err)
	r.head.ContentType = "application/json"
	return r
}

func (r *fakeResponse) Head() relayer.Head { return r.head }
func (r *fakeResponse) End() relayer.End   { return relayer.End{Outcome: relayer.OutcomeRan} }
func (r *fakeResponse) Cancel()            { r.once.Do(func() { close(r.cancelled) }) }

func (r *fakeResponse) Next(ctx context.Context) ([]byte, error) {
	if r.wait != nil {
		select {
		case <-r.wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if len(r.chunks) > 0 {
		p := r.chunks[0]
		r.chunks = r.chunks[1:]
		return []byte(p), nil
	}
	if r.err != nil {
		return nil, r.err
	}
	return nil, io.EOF
}

// streamBody returns the events of an engine for a request that already has the tokens before from.
func streamBody(from, tokens int) string {
	var b strings.Builder
	b.WriteString(`data: {"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}` + "\n\n")
	for n := from; n < tokens; n++ {
		fmt.Fprintf(&b, `data: {"choices":[{"index":0,"delta":{"content":"žltá-%d "}}]}`+"\r\n\r\n", n)
	}
	b.WriteString(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n")
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func refusalError(r relayer.Reason) error { return &relayer.RefusalError{Reason: r} }

func agentLostError(addr string, sent bool) error {
	return &relayer.AgentLostError{Address: addr, Sent: sent, Cause: io.ErrUnexpectedEOF}
}

func testView(endpoints int) *viewer.View {
	v := viewer.NewView()
	d := viewer.Delta{To: 1, BundleVersion: 1, Changes: []viewer.Change{
		{Pool: &bundler.Pool{
			Name: "models", Kind: bundler.PoolModel, Model: "m", Adapters: []string{"cs"}, TimeoutMillis: 5000,
		}},
		{Pool: &bundler.Pool{
			Name: "orders", Kind: bundler.PoolService, TimeoutMillis: 5000, NonIdempotentPaths: []string{"/refunds"},
			RepeatablePaths: []string{"/stock"},
		}},
		{Workspace: &bundler.Workspace{
			Name: "shop", KeyHashes: []string{bundler.HashKey(testKey)}, Pools: []string{"models", "orders"},
			Priority: bundler.PriorityInteractive, Weight: 1,
		}},
	}}
	for n := range endpoints {
		for _, pool := range []string{"models", "orders"} {
			name := fmt.Sprintf("%s-%d", pool, n)
			d.Changes = append(d.Changes, viewer.Change{Endpoint: &viewer.Endpoint{
				Name: name, Address: name, Pool: pool, FailureDomain: "a", Incarnation: uint64(n + 1),
			}})
		}
	}
	v, err := v.Apply(d)
	if err != nil {
		panic(err)
	}
	return v
}

func testRouter(c *fakeControl, f *fakeRelay) *Router {
	if c.view == nil {
		c.view = testView(4)
	}
	s := Settings{Place: configurer.Place{Name: "r"}, Listen: "127.0.0.1:0", MaxConcurrent: 10, DrainNoticeMillis: 1}
	return newRouter(s, c, f, observer.New(io.Discard, "router"), seed)
}

type call struct {
	method, path, body string
	headers            map[string]string
}

func (c call) request(ctx context.Context) *http.Request {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path, c.body = "/v1/chat/completions", chatBody
	}
	r := httptest.NewRequestWithContext(ctx, c.method, c.path, strings.NewReader(c.body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range c.headers {
		r.Header.Set(k, v)
	}
	return r
}

func (c call) do(t testing.TB, rt *Router) (w *httptest.ResponseRecorder) {
	t.Helper()
	w = httptest.NewRecorder()
	defer func() {
		// The connection of a stream that ends early is aborted after the error event.
		cause := recover()
		err, _ := cause.(error)
		isAbort := errors.Is(err, http.ErrAbortHandler) && strings.Contains(w.Body.String(), `"error"`)
		if cause != nil && !isAbort {
			panic(cause)
		}
	}()
	rt.Handler().ServeHTTP(w, c.request(t.Context()))
	return w
}
