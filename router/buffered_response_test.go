package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
)

// Guards against a router that is killed for its memory because many callers read large answers slowly, against answers
// that are cut for it, and against memory that stays reserved after a request.
func TestAnswersOfSlowCallersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, limit = 8, 64 << 10
		body := streamBody(0, 2000)
		var mu sync.Mutex
		var responses []*fakeResponse
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
			resp := streamResponse("", nil)
			resp.chunks = nil
			for line := range strings.Lines(body) {
				resp.chunks = append(resp.chunks, line)
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, resp)
			return resp, nil
		}}
		rt := testRouter(&fakeControl{}, f)
		rt.admission.maxInFlight = 100
		rt.callers.Answers.Limit = limit
		release := make(chan struct{})
		writers := make([]*blockedWriter, callers)
		for i := range writers {
			writers[i] = &blockedWriter{ResponseRecorder: httptest.NewRecorder(), released: release}
			chat := strings.Replace(chatBody, "wool", strconv.Itoa(i), 1) // equal chats wait for each other
			go rt.Handler().ServeHTTP(writers[i], call{path: "/v1/chat/completions", body: chat}.request(t.Context()))
		}
		synctest.Wait()
		assert.Equal(t, len(responses), callers)
		assert.Assert(t, rt.callers.Answers.Used() <= limit, "%d", rt.callers.Answers.Used())
		held := 0 // by the router, reserved or not
		for _, resp := range responses {
			held += len(body) - len(strings.Join(resp.chunks, ""))
		}
		assert.Assert(t, held < 2*limit, "%d of %d bytes", held, callers*len(body))
		close(release)
		synctest.Wait()
		for _, w := range writers {
			assert.Equal(t, w.Body.String(), body)
		}
		assert.Equal(t, rt.callers.Answers.Used(), int64(0))
	})
}

// Guards against whole answers that are refused or reserved for ever, and against parts of answers that look complete,
// because they could not be buffered.
func TestAnswerWithoutMemoryIsPassedOn(t *testing.T) {
	part := strings.Repeat("x", 40<<10)
	for _, c := range []struct {
		name string
		end  error
	}{{"whole", nil}, {"broken off", io.ErrUnexpectedEOF}} {
		f := &fakeRelay{respond: func(context.Context, int, string, relayer.Request) (Response, error) {
			resp := jsonResponse("", c.end)
			resp.chunks = []string{part, part, part}
			return resp, nil
		}}
		rt := testRouter(&fakeControl{}, f)
		rt.callers.Answers.Limit = 64 << 10
		srv := httptest.NewServer(rt.Handler())
		r, err := http.NewRequest(http.MethodPost, srv.URL+"/services/orders/stock", strings.NewReader("{}"))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK, c.name)
		assert.Equal(t, err != nil, c.end != nil, "%s: %v", c.name, err)
		assert.Assert(t, strings.HasPrefix(part+part+part, string(body)))
		assert.Equal(t, len(f.requests), 1, c.name)
		srv.Close()
		assert.Equal(t, rt.callers.Answers.Used(), int64(0))
	}
}
