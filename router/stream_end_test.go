package router

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/relayer"
)

// Guards against bytes that are no part of an answer, such as the text of an error or the head of another response, in a
// stream that another endpoint continues.
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
