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

// HeaderChat names the chat of a request, for cache events and export.
const HeaderChat = "X-Chat-Key"

const maxBodyBytes = 4 << 20

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// Priority orders waiting requests; lower values go first.
	Priority int `json:"priority"`
	// ResumeTokens is the position from which the answer is wanted.
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
		writeError(w, http.StatusBadRequest, "bad request")
		return
	}
	e.mu.Lock()
	st := e.state
	e.mu.Unlock()
	if st.Model == "" && e.cfg.Model != "" || st.Loading {
		writeError(w, http.StatusServiceUnavailable, "no model is loaded")
		return
	}
	leave, err := e.acquireSlot(r.Context(), req.Priority)
	if err != nil {
		return
	}
	completed := false
	defer func() { leave(completed) }()
	prompt := req.Messages[len(req.Messages)-1].Content
	tokens := promptTokens(req.Messages)
	a := &response{prompt: strings.Fields(prompt), from: req.ResumeTokens, to: e.cfg.Tokens, model: st.Model}
	a.quotedModel = appendJSON(nil, st.Model)
	full := slices.Concat(tokens, []string{"<assistant>"}, strings.Fields(Text(prompt, 0, a.from)))
	wait, cached := e.prefill(blockHashes(full), len(full))
	a.usage = usage{
		PromptTokens: len(full), CompletionTokens: max(0, a.to-a.from), TotalTokens: len(full) + max(0, a.to-a.from),
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
		completed = e.writeStream(w, r, a)
	} else {
		completed = e.writeCompletion(w, r, a)
	}
	if completed {
		all := slices.Concat(tokens, []string{"<assistant>"}, strings.Fields(Text(prompt, 0, a.to)))
		e.mu.Lock()
		e.cache.store(time.Now(), r.Header.Get(HeaderChat), blockHashes(all))
		e.mu.Unlock()
	}
}

// answer is the text between two positions.
type response struct {
	prompt   []string
	from, to int
	model    string
	usage    usage
	// quotedModel is the model as a JSON string.
	quotedModel []byte
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, a *response) bool {
	var b strings.Builder
	for n := a.from; n < a.to; n++ {
		b.WriteString(token(a.prompt, n))
		if n+1 < a.to && !e.sleep(r.Context(), e.tokenGap()) {
			return false
		}
	}
	stop := "stop"
	writeJSON(w, completion{
		Object: "chat.completion", Model: a.model, Usage: &a.usage,
		Choices: []choice{{Message: &chatMessage{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
	})
	return true
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, a *response) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	t := time.NewTimer(time.Hour) // one for all tokens, as a load test streams many
	defer t.Stop()
	var line []byte
	for n := a.from; n+1 < a.to; n++ {
		line = append(line[:0], `data: {"object":"chat.completion.chunk","model":`...)
		line = append(line, a.quotedModel...)
		line = append(line, `,"choices":[{"index":0,"delta":{"content":`...)
		line = appendJSON(line, token(a.prompt, n))
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
	if a.from < a.to {
		last.Delta.Content = token(a.prompt, a.to-1)
	}
	c := completion{Object: "chat.completion.chunk", Model: a.model, Choices: []choice{last}, Usage: &a.usage}
	end, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", end)
	return err == nil
}

// appendJSON appends a text as a JSON string.
func appendJSON(to []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // a string cannot fail
			return append(to, quoted...)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
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
		writeError(w, http.StatusBadRequest, "bad command")
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
	isNew := c.Model != e.state.Model || c.ModelVersion != e.state.ModelVersion ||
		!slices.Equal(c.Adapters, e.state.Adapters)
	e.state.Loading = isNew
	e.mu.Unlock()
	if isNew && !e.sleep(r.Context(), e.cfg.LoadTime) {
		return
	}
	e.mu.Lock()
	if isNew && r.Context().Err() == nil {
		e.state.Model, e.state.ModelVersion, e.state.Adapters = c.Model, c.ModelVersion, c.Adapters
		e.state.Loading, e.completionsSinceCold = false, 0
		e.cache.clear(time.Now())
	}
	st := e.state
	e.mu.Unlock()
	writeJSON(w, st)
}

// chatCache is the exported cache of a chat; the fake moves block names and states the size of the values.
type cacheExport struct {
	Chat   string   `json:"chat"`
	Tokens int      `json:"tokens"`
	Bytes  int64    `json:"bytes"`
	Blocks []uint64 `json:"blocks,omitempty"`
	// PrefillMicrosPerToken is what computing the values again costs.
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
		writeError(w, http.StatusNotFound, "the chat is not cached")
		return
	}
	c := e.newCacheExport(r.PathValue("chat"), hashes)
	c.Blocks = hashes
	writeJSON(w, c)
}

func (e *Engine) handleCacheImport(w http.ResponseWriter, r *http.Request) {
	var c cacheExport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad cache export")
		return
	}
	e.mu.Lock()
	e.cache.store(time.Now(), r.PathValue("chat"), c.Blocks)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
