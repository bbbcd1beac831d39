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

// dyingAgents are two agents over real connections; the one that gets the first request dies midway.
type dyingAgents struct {
	tokens int
	first  atomic.Bool
	kill   map[string]context.CancelFunc
}

type dyingAgent struct {
	name string
	all  *dyingAgents
}

func (a *dyingAgent) Handle(ctx context.Context, req relayer.Request, w *relayer.ResponseBuffer) (relayer.End, error) {
	w.Start(relayer.Head{Status: http.StatusOK, ContentType: "text/event-stream"})
	answer := answerFrom(req.ResumeTokens, a.all.tokens)
	if a.all.first.CompareAndSwap(false, true) {
		_, _ = w.Write([]byte(answer[:len(answer)/2]))
		time.AfterFunc(50*time.Millisecond, a.all.kill[a.name])
		<-ctx.Done()
		return relayer.End{}, ctx.Err()
	}
	_, err := w.Write([]byte(answer))
	return relayer.End{Outcome: relayer.OutcomeRan}, err
}

// Guards against a continuation that works only with fakes: over real connections the loss of an agent takes the
// path through the relayer's own resumption first.
func TestStreamContinuesWhenARealAgentDies(t *testing.T) {
	all := &dyingAgents{tokens: 50, kill: map[string]context.CancelFunc{}}
	view := testView(2)
	for _, name := range []string{"models-0", "models-1"} {
		ctx, cancel := context.WithCancel(t.Context())
		mux := http.NewServeMux()
		mux.Handle(relayer.Path, relayer.NewServer(ctx, &dyingAgent{name: name, all: all}, messenger.Options{}))
		srv := httptest.NewServer(mux)
		all.kill[name] = func() {
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
	rt.relay = agentRelay{client: relayer.NewClient(t.Context(), messenger.Options{})}
	w := call{}.do(t, rt)
	want, _ := tokensOf(t, answerFrom(0, all.tokens))
	got, done := tokensOf(t, w.Body.String())
	assert.Equal(t, got, want)
	assert.Assert(t, done)
	assert.Equal(t, strings.Count(w.Body.String(), "assistant"), 1)
}
