package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Outcome is the outcome of a chat request; that of the last attempt counts.
type Outcome string

const (
	// OutcomeComplete is a complete response with the expected text.
	OutcomeComplete Outcome = "whole"
	// OutcomeWrong is a response that ended with [DONE] but whose text differs from the expected one.
	OutcomeWrong Outcome = "wrong"
	// OutcomeTruncated is a stream that ended with an error event or without [DONE].
	OutcomeTruncated Outcome = "truncated"
	// OutcomeRefused is a response with an error status.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is an attempt that got no response, such as after a connection error.
	OutcomeFailed Outcome = "failed"
)

// Caller sends requests to its targets in round-robin order, as a load balancer does.
type Caller struct {
	// Targets are the host:port addresses of routers, or of engines.
	Targets []string
	// MaxAttempts is the maximum number of attempts for a request.
	MaxAttempts int
	// ExpectedText returns the complete response text for the last message of a request.
	ExpectedText func(prompt string) string

	client     http.Client
	nextTarget atomic.Uint64
}

// New returns a caller with its own connection pool.
func New(targets []string, attempts int, expectedText func(prompt string) string) *Caller {
	return &Caller{
		Targets: targets, MaxAttempts: attempts, ExpectedText: expectedText,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is one request for a chat completion.
type ChatRequest struct {
	Key      string
	ChatID   string
	Model    string
	Messages []Message
}

// ChatResult is the result of a chat request.
type ChatResult struct {
	Outcome Outcome
	Status  int
	// Attempts is the number of attempts made.
	Attempts int
	Text     string
	// FirstToken is the time from the first attempt to the first token.
	FirstToken   time.Duration
	Total        time.Duration
	PromptTokens int
	CachedTokens int
	RequestID    string
	ErrorText    string
}

type chatBody struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []Message `json:"messages"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens  int `json:"prompt_tokens"`
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// SendChat sends a chat request and retries it without delay at the next target, until the response is complete or the
// attempts are used up. A complete response with a wrong text is not retried.
func (c *Caller) SendChat(ctx context.Context, chat *ChatRequest) (r ChatResult) {
	start := time.Now()
	for n := range max(1, c.MaxAttempts) {
		target := c.Targets[c.nextTarget.Add(1)%uint64(len(c.Targets))]
		r = c.attemptChat(ctx, target, chat, start)
		r.Attempts = n + 1
		if r.Outcome == OutcomeComplete || r.Outcome == OutcomeWrong || ctx.Err() != nil {
			break
		}
	}
	r.Total = time.Since(start)
	return r
}

func (c *Caller) attemptChat(ctx context.Context, target string, chat *ChatRequest, start time.Time) (r ChatResult) {
	body, err := json.Marshal(chatBody{Model: chat.Model, Stream: true, Messages: chat.Messages})
	if err != nil {
		return ChatResult{Outcome: OutcomeFailed, ErrorText: err.Error()}
	}
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return ChatResult{Outcome: OutcomeFailed, ErrorText: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+chat.Key)
	req.Header.Set("Content-Type", "application/json")
	if chat.ChatID != "" {
		req.Header.Set("X-Conversation-Id", chat.ChatID)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ChatResult{Outcome: OutcomeFailed, ErrorText: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	r = ChatResult{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<12))
		r.Outcome, r.ErrorText = OutcomeRefused, string(text)
		return r
	}
	isComplete, err := r.readEvents(resp.Body, start)
	switch {
	case !isComplete:
		r.Outcome, r.ErrorText = OutcomeTruncated, fmt.Sprint(err)
	case r.Text != c.ExpectedText(chat.Messages[len(chat.Messages)-1].Content):
		r.Outcome = OutcomeWrong
	default:
		r.Outcome = OutcomeComplete
	}
	return r
}

var errMissingDone = errors.New("stream ended without [DONE]")

func (r *ChatResult) readEvents(body io.Reader, start time.Time) (isComplete bool, err error) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return true, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return false, fmt.Errorf("decode event %q: %w", data, err)
		}
		if c.Error != nil {
			return false, fmt.Errorf("received error event %s", c.Error)
		}
		if c.Usage != nil {
			r.PromptTokens, r.CachedTokens = c.Usage.PromptTokens, c.Usage.PromptDetails.CachedTokens
		}
		for _, choice := range c.Choices {
			if r.FirstToken == 0 && choice.Delta.Content != "" {
				r.FirstToken = time.Since(start)
			}
			text.WriteString(choice.Delta.Content)
		}
	}
	return false, errors.Join(errMissingDone, lines.Err())
}
