package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
)

// Guards against bytes that are no part of an answer, such as the text of an error or the head of another response, in
// a stream that another endpoint continues.
func TestOtherContentIsNotWrittenIntoAStream(t *testing.T) {
	const tokens = 20
	whole := streamBody(0, tokens)
	wantText, _ := streamContent(t, whole)
	for _, c := range []struct{ name, body string }{
		{"text", "upstream unavailable\n\n"},
		{"text as data", "data: upstream unavailable\n\n"},
		{"head of another response", "HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\n\r\nbusy"},
		{"JSON of another kind", `data: {"message":"overloaded"}` + "\n\n"},
		{"JSON that is no object", "data: 17\n\n"},
	} {
		for _, recovers := range []bool{true, false} {
			f := &fakeRelay{respond: func(_ context.Context, n int, addr string, req relayer.Request) (Response, error) {
				switch {
				case n == 1:
					return streamResponse(whole[:300], agentLostError(addr, true)), nil
				case n == 2 || !recovers:
					return streamResponse(c.body+"data: [DONE]\n\n", nil), nil
				}
				return streamResponse(streamBody(req.ResumeTokens, tokens), nil), nil
			}}
			body := call{}.do(t, testRouter(&fakeControl{}, f)).Body.String()
			for _, foreign := range []string{"unavailable", "HTTP/", "overloaded", "17\n"} {
				assert.Assert(t, !strings.Contains(body, foreign), "%s: %q", c.name, body)
			}
			text, done := streamContent(t, body)
			assert.Equal(t, done, recovers, c.name)
			if recovers {
				assert.Equal(t, text, wantText, c.name)
			}
		}
	}
}

// Guards against a stream that ends early with an error event and with the regular end of its framing, so that it looks
// complete to callers that know only the framing.
func TestStreamThatEndsEarlyHasNoRegularEnd(t *testing.T) {
	f := &fakeRelay{respond: func(_ context.Context, _ int, addr string, req relayer.Request) (Response, error) {
		return streamResponse(streamBody(req.ResumeTokens, 20)[:300], agentLostError(addr, true)), nil
	}}
	rt := testRouter(&fakeControl{}, f)
	srv := httptest.NewServer(rt.Handler())
	defer srv.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/chat/completions",
		strings.NewReader(chatBody))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(body), `"code":"answer_interrupted"`), "%q", body)
	assert.Assert(t, !strings.Contains(string(body), "[DONE]"), "%q", body)
}
