package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sendRequest(t *testing.T, srv *httptest.Server, method, path, body string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, srv.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(HeaderChat, "7")
	resp, err := srv.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func chatBody(prompt string, extra string) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]%s}`, prompt, extra)
}

func parseStream(t *testing.T, stream string) (text string, u usage) {
	t.Helper()
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var c completion
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &c))
		text += c.Choices[0].Delta.Content
		if c.Usage != nil {
			u = *c.Usage
		}
	}
	return text, u
}

// Guards against response tokens that differ from Text, a resumed response that repeats tokens, and a wrong count of
// cached prompt tokens.
func TestAnswerResumeAndCache(t *testing.T) {
	e := New(Config{Model: "m", Tokens: 20, CacheBlocks: 8})
	srv := httptest.NewServer(e)
	defer srv.Close()
	prompt := strings.Repeat("wool for a heel ", 10)
	_, stream, err := sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody(prompt, ""))
	assert.NilError(t, err)
	text, u := parseStream(t, stream)
	assert.Equal(t, text, Text(prompt, 0, 20))
	assert.Equal(t, u, usage{PromptTokens: 42, CompletionTokens: 20, TotalTokens: 62})
	_, stream, err = sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody(prompt, `,"resumeTokens":15`))
	assert.NilError(t, err)
	text, u = parseStream(t, stream)
	assert.Equal(t, text, Text(prompt, 15, 20))
	assert.Equal(t, u.PromptDetails.CachedTokens, 48)
	for i := range 3 { // other prompts evict the blocks of the first one
		_, _, err = sendRequest(t, srv, "POST", "/v1/chat/completions",
			chatBody(strings.Repeat(fmt.Sprintf("x%d ", i), 80), ""))
		assert.NilError(t, err)
	}
	_, stream, err = sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody(prompt, ""))
	assert.NilError(t, err)
	_, u = parseStream(t, stream)
	assert.Equal(t, u.PromptDetails.CachedTokens, 0)
}

// Guards against a crash that ends a response without an error or preserves state of the process.
func TestCrash(t *testing.T) {
	e := New(Config{Model: "m", ModelVersion: "2", NeedsCommand: true, Tokens: 50, TokenGap: 5 * time.Millisecond})
	srv := httptest.NewServer(e)
	defer srv.Close()
	status, _, err := sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	_, _, err = sendRequest(t, srv, "POST", "/engine/v1/commands", `{"fence":4,"model":"m","modelVersion":"2"}`)
	assert.NilError(t, err)
	_, before, err := sendRequest(t, srv, "GET", "/health", "")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _, err := sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
		assert.Check(t, err != nil, "the response in flight must end with an error")
	})
	time.Sleep(30 * time.Millisecond)
	_, _, err = sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool <crash>", ""))
	assert.Assert(t, err != nil)
	wg.Wait()
	_, after, err := sendRequest(t, srv, "GET", "/health", "")
	assert.NilError(t, err)
	assert.Assert(t, before != after)
	assert.Equal(t, e.Stats().Crashes, 1)
	status, _, err = sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable, "the model must be loaded again")
}

// Guards against a command with an old fencing number that is accepted with FenceRefuse or rejected with
// FenceIgnore.
func TestFence(t *testing.T) {
	for _, tt := range []struct {
		mode FenceMode
		want int
	}{{FenceRefuse, http.StatusConflict}, {FenceIgnore, http.StatusOK}} {
		srv := httptest.NewServer(New(Config{Model: "m", Fence: tt.mode}))
		_, _, err := sendRequest(t, srv, "POST", "/engine/v1/commands", `{"fence":9,"model":"m"}`)
		assert.NilError(t, err)
		status, _, err := sendRequest(t, srv, "POST", "/engine/v1/commands", `{"fence":8,"model":"m"}`)
		assert.NilError(t, err)
		assert.Equal(t, status, tt.want)
		srv.Close()
	}
}

// Guards against uncounted overload of a cold engine, and a frozen engine that responds.
func TestColdOverloadAndFreeze(t *testing.T) {
	// A response takes much longer than three requests need to arrive, so they overlap also on a busy machine.
	e := New(Config{Model: "m", Tokens: 2, FirstToken: 50 * time.Millisecond, ColdCompletions: 10, ColdFactor: 2})
	srv := httptest.NewServer(e)
	defer srv.Close()
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			_, _, err := sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, e.Stats().Overloads, 2)
	e.Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+"/health", nil)
	assert.NilError(t, err)
	resp, err := srv.Client().Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil)
	e.Thaw()
	status, _, err := sendRequest(t, srv, "GET", "/health", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a test API that fails while the engine is down or frozen, and counts that differ from Stats.
func TestTestAPI(t *testing.T) {
	e := New(Config{Model: "m", Tokens: 2, RestartTime: time.Hour})
	srv := httptest.NewServer(e)
	defer srv.Close()
	_, _, err := sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
	assert.NilError(t, err)
	for _, hook := range []string{"freeze", "clearCache", "thaw", "crash"} {
		status, _, err := sendRequest(t, srv, "POST", "/fake/v1/"+hook, "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNoContent)
		var s Stats
		_, text, err := sendRequest(t, srv, "GET", "/fake/v1/stats", "")
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal([]byte(text), &s))
		assert.Equal(t, s, e.Stats())
		assert.Equal(t, s.Started, 1)
	}
	_, _, err = sendRequest(t, srv, "POST", "/v1/chat/completions", chatBody("wool", ""))
	assert.Assert(t, err != nil, "the engine is down")
}
