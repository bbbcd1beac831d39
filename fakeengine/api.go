package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// HeaderChat carries the chat name of a request, for cache events and exports.
const HeaderChat = "X-Chat-Key"

// headerLeaving is 1 in the responses of an engine that leaves.
const headerLeaving = "Cactus-Leaving"

const maxBodyBytes = 4 << 20

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// Priority orders waiting requests; lower values are admitted first.
	Priority int `json:"priority"`
	// ResumeTokens is the position of the first response token to return.
	ResumeTokens int `json:"resumeTokens"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Message: message}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func promptTokens(messages []chatMessage) (tokens []string) {
	for _, m := range messages {
		tokens = append(tokens, "<"+m.Role+">")
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	if err != nil || len(req.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "invalid body or no messages")
		return
	}
	e.mu.Lock()
	st := e.state
	e.mu.Unlock()
	if st.Model == "" && e.cfg.Model != "" || st.Loading {
		writeError(w, http.StatusServiceUnavailable, "no model loaded")
		return
	}
	if !e.hasRoom() {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.cfg.RetryAfter.Seconds(), 'f', 3, 64))
		writeError(w, http.StatusServiceUnavailable, "too many requests in flight")
		return
	}
	release, err := e.acquireSlot(r.Context(), req.Priority)
	if err != nil {
		return
	}
	completed := false
	defer func() { release(completed) }()
	prompt := req.Messages[len(req.Messages)-1].Content
	tokens := promptTokens(req.Messages)
	resp := &response{prompt: strings.Fields(prompt), from: req.ResumeTokens, to: e.cfg.Tokens, model: st.Model}
	resp.quotedModel = appendJSON(nil, st.Model)
	contextTokens := slices.Concat(tokens, []string{"<assistant>"}, strings.Fields(Text(prompt, 0, resp.from)))
	wait, cached := e.prefill(blockHashes(contextTokens), len(contextTokens))
	resp.usage = usage{
		PromptTokens: len(contextTokens), CompletionTokens: max(0, resp.to-resp.from),
		TotalTokens:   len(contextTokens) + max(0, resp.to-resp.from),
		PromptDetails: promptDetails{CachedTokens: cached},
	}
	if !e.sleep(r.Context(), wait) {
		return
	}
	if strings.Contains(prompt, e.cfg.CrashMarker) {
		e.Crash()
		return
	}
	if req.Stream {
		completed = e.writeStream(w, r, resp)
	} else {
		completed = e.writeCompletion(w, r, resp)
	}
	if completed {
		cachedContext := slices.Concat(tokens, []string{"<assistant>"}, strings.Fields(Text(prompt, 0, resp.to)))
		e.mu.Lock()
		e.cache.store(time.Now(), r.Header.Get(HeaderChat), blockHashes(cachedContext))
		e.mu.Unlock()
	}
}

// response is the token range [from, to) of the response to a prompt.
type response struct {
	prompt   []string
	from, to int
	model    string
	usage    usage
	// quotedModel is the model name as a JSON string.
	quotedModel []byte
}

// writeCompletion writes the response as one completion; it returns whether the request has completed.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, resp *response) bool {
	var b strings.Builder
	for n := resp.from; n < resp.to; n++ {
		b.WriteString(token(resp.prompt, n))
		if n+1 < resp.to && !e.sleep(r.Context(), e.tokenGap()) {
			return false
		}
	}
	stop := "stop"
	writeJSON(w, completion{
		Object: "chat.completion", Model: resp.model, Usage: &resp.usage,
		Choices: []choice{{Message: &chatMessage{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
	})
	return true
}

// writeStream writes the response as a stream of events; it returns whether the request has completed.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, resp *response) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	t := time.NewTimer(time.Hour) // reused for all tokens, since load tests stream many
	defer t.Stop()
	var line []byte
	for n := resp.from; n+1 < resp.to; n++ {
		line = append(line[:0], `data: {"object":"chat.completion.chunk","model":`...)
		line = append(line, resp.quotedModel...)
		line = append(line, `,"choices":[{"index":0,"delta":{"content":`...)
		line = appendJSON(line, token(resp.prompt, n))
		line = append(line, `},"finish_reason":null}]}`+"\n\n"...)
		if _, err := w.Write(line); err != nil {
			return false
		}
		_ = rc.Flush()
		t.Reset(e.tokenGap())
		if !e.waitTimer(r.Context(), t) {
			return false
		}
	}
	stop := "stop"
	last := choice{Delta: &chatMessage{}, FinishReason: &stop}
	if resp.from < resp.to {
		last.Delta.Content = token(resp.prompt, resp.to-1)
	}
	c := completion{Object: "chat.completion.chunk", Model: resp.model, Choices: []choice{last}, Usage: &resp.usage}
	end, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", end)
	return err == nil
}

// appendJSON appends text as a JSON string.
func appendJSON(dst []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // encoding a string does not fail
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	st := e.state
	e.mu.Unlock()
	writeJSON(w, st)
}

type loadReport struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"ageMillis"`
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.laggedSample(time.Now())
	e.mu.Unlock()
	writeJSON(w, loadReport{Running: s.running, Waiting: s.waiting, AgeMillis: e.cfg.LoadLag.Milliseconds()})
}

type eventPage struct {
	StartTime int64   `json:"startTime"`
	Events    []Event `json:"events"`
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	p := eventPage{StartTime: e.state.StartTime, Events: e.cache.eventsAfter(after, time.Now().Add(-e.cfg.EventDelay))}
	e.mu.Unlock()
	writeJSON(w, p)
}

type command struct {
	Fence        uint64   `json:"fence"`
	Role         string   `json:"role"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters"`
}

func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var c command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "invalid command")
		return
	}
	e.mu.Lock()
	if e.cfg.Fence == FenceRefuse && c.Fence < e.state.Fence {
		e.stats.CommandsRefused++
		fence := e.state.Fence
		e.mu.Unlock()
		writeError(w, http.StatusConflict, fmt.Sprintf("fencing number %d is older than %d", c.Fence, fence))
		return
	}
	e.stats.Commands++
	e.state.Fence, e.state.Role = c.Fence, c.Role
	loadsModel := c.Model != e.state.Model || c.ModelVersion != e.state.ModelVersion ||
		!slices.Equal(c.Adapters, e.state.Adapters)
	e.state.Loading = loadsModel
	e.mu.Unlock()
	if loadsModel && !e.sleep(r.Context(), e.cfg.LoadTime) {
		return
	}
	e.mu.Lock()
	if loadsModel && r.Context().Err() == nil {
		e.state.Model, e.state.ModelVersion, e.state.Adapters = c.Model, c.ModelVersion, c.Adapters
		e.state.Loading, e.completionsSinceCold = false, 0
		e.cache.clear(time.Now())
	}
	st := e.state
	e.mu.Unlock()
	writeJSON(w, st)
}

// cacheExport is the exported cache of a chat: the hashes of its blocks and the size of their values, not the values.
type cacheExport struct {
	Chat   string   `json:"chat"`
	Tokens int      `json:"tokens"`
	Bytes  int64    `json:"bytes"`
	Blocks []uint64 `json:"blocks,omitempty"`
	// PrefillMicrosPerToken is the time to compute the values of a token again.
	PrefillMicrosPerToken int64 `json:"prefillMicrosPerToken"`
}

func (e *Engine) newCacheExport(chat string, hashes []uint64) cacheExport {
	n := len(hashes) * BlockTokens
	return cacheExport{
		Chat: chat, Tokens: n, Bytes: int64(n) * int64(e.cfg.KVBytesPerToken),
		PrefillMicrosPerToken: e.cfg.PrefillPerToken.Microseconds(),
	}
}

func (e *Engine) handleCacheList(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := make([]cacheExport, 0, len(e.cache.chats))
	for chat, hashes := range e.cache.chats {
		list = append(list, e.newCacheExport(chat, hashes))
	}
	e.mu.Unlock()
	writeJSON(w, list)
}

func (e *Engine) handleCacheExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	hashes, ok := e.cache.chats[r.PathValue("chat")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "chat not cached")
		return
	}
	c := e.newCacheExport(r.PathValue("chat"), hashes)
	c.Blocks = hashes
	writeJSON(w, c)
}

func (e *Engine) handleCacheImport(w http.ResponseWriter, r *http.Request) {
	var c cacheExport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "invalid cache export")
		return
	}
	e.mu.Lock()
	e.cache.store(time.Now(), r.PathValue("chat"), c.Blocks)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
