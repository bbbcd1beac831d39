package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/relayer"
)

// stoppingAgents are agents over real connections; the one that receives the first request stops within its response.
type stoppingAgents struct {
	tokens  int
	started atomic.Bool
	stop    map[string]context.CancelFunc
}

type stoppingAgent struct {
	name   string
	shared *stoppingAgents
}

func (a *stoppingAgent) Handle(
	ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer,
) (relayer.End, error) {
	w.Start(relayer.Head{Status: http.StatusOK, ContentType: "text/event-stream"})
	body := streamBody(req.ResumeTokens, a.shared.tokens)
	if a.shared.started.CompareAndSwap(false, true) {
		_, _ = w.Write([]byte(body[:len(body)/2]))
		time.AfterFunc(50*time.Millisecond, a.shared.stop[a.name])
		<-ctx.Done()
		return relayer.End{}, ctx.Err()
	}
	_, err := w.Write([]byte(body))
	return relayer.End{Outcome: relayer.OutcomeRan}, err
}

// Guards against a stream that is resumed at another agent only with fakes: over real connections the relay client
// first tries to reconnect to the lost agent.
func TestStreamResumesAfterAgentStops(t *testing.T) {
	agents := &stoppingAgents{tokens: 50, stop: map[string]context.CancelFunc{}}
	view := testView(2)
	for _, name := range []string{"models-0", "models-1"} {
		ctx, cancel := context.WithCancel(t.Context())
		mux := http.NewServeMux()
		mux.Handle(relayer.Path, relayer.NewServer(ctx, &stoppingAgent{name: name, shared: agents}, messenger.Options{}))
		srv := httptest.NewServer(mux)
		agents.stop[name] = func() {
			_ = srv.Listener.Close()
			cancel()
		}
		defer srv.Close()
		defer cancel()
		e := view.Endpoints[name]
		e.Address = strings.TrimPrefix(srv.URL, "http://")
		view.Endpoints[name] = e
	}
	rt := testRouter(&fakeControl{view: view}, nil)
	rt.relay = relayClient{client: relayer.NewClient(t.Context(), messenger.Options{})}
	w := call{}.do(t, rt)
	want, _ := streamContent(t, streamBody(0, agents.tokens))
	got, done := streamContent(t, w.Body.String())
	assert.Equal(t, got, want)
	assert.Assert(t, done)
	assert.Equal(t, strings.Count(w.Body.String(), "assistant"), 1)
}
