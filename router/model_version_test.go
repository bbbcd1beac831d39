package router

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
)

// Guards against a stream that is continued by another version of the model than the one that began it, because a
// bundle with another version came into force in between.
func TestStreamEndsWhenItsModelVersionHasChanged(t *testing.T) {
	for _, c := range []struct {
		name      string
		delivered int // bytes of the first attempt
		changed   bool
		attempts  int
		done      bool
	}{
		{"same version", 300, false, 2, true},
		{"changed after the first event", 300, true, 1, false},
		{"changed before the first event", 0, true, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := &fakeControl{view: testView(3)}
			f := &fakeRelay{}
			f.respond = func(_ context.Context, n int, addr string, req relayer.Request) (Response, error) {
				if n > 1 {
					return streamResponse(streamBody(req.ResumeTokens, 20), nil), nil
				}
				if c.changed {
					next := testView(3)
					pool := next.Pools["models"]
					pool.ModelVersion = "next"
					next.Pools["models"] = pool
					control.view = next
				}
				return streamResponse(streamBody(0, 20)[:c.delivered], agentLostError(addr, true)), nil
			}
			w := call{}.do(t, testRouter(control, f))
			assert.Equal(t, len(f.requests), c.attempts)
			assert.Equal(t, strings.Contains(w.Body.String(), "[DONE]"), c.done, w.Body.String())
			if !c.done {
				assert.Assert(t, strings.Contains(w.Body.String(), `"code":"answer_interrupted"`), w.Body.String())
			}
		})
	}
}
