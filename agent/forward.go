package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/limiter"
)

const (
	copyBufferBytes = 16 << 10
	// stallThreshold is how long an endpoint must have sent nothing for an exceeded deadline to count as its timeout.
	// Otherwise, callers with short deadlines would lower the concurrency limit for all callers.
	stallThreshold = 2 * time.Second
	// tailBytes is enough for the last events of a stream, which contain the usage.
	tailBytes = 1 << 10
	// maxUnframedBytes bounds a response without a length or chunks that is not a stream.
	maxUnframedBytes = 8 << 20
	// Headers of requests to the endpoint.
	headerTimeout        = "X-Request-Timeout-Millis"
	headerChatKey        = "X-Chat-Key"
	headerIdempotencyKey = "Idempotency-Key"
)

// errMissingDone means that a stream ended without the [DONE] event.
var errMissingDone = errors.New("endpoint stream ended without the [DONE] event")

// errUnframedResponse means that only the end of the connection followed a response that may be incomplete.
var errUnframedResponse = errors.New("endpoint response without a length or chunks may be incomplete")

// errEngineUnavailable means that an engine cannot serve requests now, so the request has not run.
var errEngineUnavailable = errors.New("engine responded with status 503")

// responseWriter receives the response of the endpoint; *relayer.ResponseBuffer implements it.
type responseWriter interface {
	Start(h relayer.Head)
	Write(p []byte) (int, error)
}

// responseStats records the progress of a request and its response.
type responseStats struct {
	sentAt      time.Time
	firstByteAt time.Time
	lastByteAt  time.Time
	events      int
	status      int
	isStream    bool
	tail        []byte
	said        statement
	mayHaveRun  bool // false if the endpoint certainly has not run the request
}

func (s *responseStats) record(p []byte, now time.Time) {
	if s.firstByteAt.IsZero() {
		s.firstByteAt = now
	}
	s.lastByteAt = now
	if s.isStream {
		s.events += bytes.Count(p, []byte("data: "))
	}
	if len(p) >= tailBytes {
		s.tail = append(s.tail[:0], p[len(p)-tailBytes:]...)
		return
	}
	if excess := len(s.tail) + len(p) - tailBytes; excess > 0 {
		s.tail = append(s.tail[:0], s.tail[excess:]...)
	}
	s.tail = append(s.tail, p...)
}

// idleTime returns the time since the endpoint last sent data, or since the request was sent.
func (s *responseStats) idleTime() time.Duration {
	if s.lastByteAt.IsZero() {
		return time.Since(s.sentAt)
	}
	return time.Since(s.lastByteAt)
}

// limiterResult returns the result of the request for the limiter.
func (s *responseStats) limiterResult(id uint64, err error) limiter.Result {
	result := limiter.Result{ID: id}
	switch {
	case err == nil && s.status < http.StatusBadRequest:
		result.Outcome = limiter.OutcomeSuccess
	case errors.Is(err, context.DeadlineExceeded) && s.idleTime() >= stallThreshold:
		result.Outcome = limiter.OutcomeTimeout
	}
	if !s.firstByteAt.IsZero() {
		result.FirstToken = s.firstByteAt.Sub(s.sentAt)
	}
	if s.events > 2 { // [DONE] is also an event
		result.TokenGap = s.lastByteAt.Sub(s.firstByteAt) / time.Duration(s.events-2)
	}
	return result
}

type tokenUsage struct {
	PromptTokens  int `json:"prompt_tokens"`
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage returns the token counts of the last event; ok is false if it has none.
func (s *responseStats) usage() (u tokenUsage, ok bool) {
	i := bytes.LastIndex(s.tail, []byte(`"usage":{`))
	if i < 0 {
		return u, false
	}
	err := json.NewDecoder(bytes.NewReader(s.tail[i+len(`"usage":`):])).Decode(&u)
	return u, err == nil
}

func (a *Agent) endpointRequest(
	ctx context.Context, req *relayer.Request, kind bundler.PoolKind,
) (*http.Request, error) {
	body := req.Body
	if kind == bundler.PoolModel {
		priority := 0
		if req.Priority == bundler.PriorityBatch {
			priority = 1
		}
		body = appendEngineFields(body, priority, req.ResumeTokens, req.ResumeText)
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, a.settings.Endpoint+req.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", req.ContentType)
	r.Header.Set(headerChatKey, formatChatKey(req.ChatKey))
	if d, ok := ctx.Deadline(); ok {
		r.Header.Set(headerTimeout, strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	if req.Operation != nil {
		r.Header.Set(headerIdempotencyKey, req.Operation.ID)
	}
	return r, nil
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// forward sends the request to the endpoint and copies the response to w as it arrives.
func (a *Agent) forward(
	ctx context.Context, req *relayer.Request, kind bundler.PoolKind, w responseWriter,
) (stats responseStats, err error) {
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		if err != nil {
			err = fmt.Errorf("forward to endpoint: %w", err)
		}
	}()
	r, err := a.endpointRequest(ctx, req, kind)
	if err != nil {
		return stats, err
	}
	stats.sentAt = time.Now()
	resp, err := a.endpoint.singleUseClient.Do(r)
	if err != nil {
		stats.mayHaveRun = !isDialError(err)
		return stats, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK { // net/http accepts any number as a status
		stats.mayHaveRun = true
		return stats, fmt.Errorf("invalid response status %d", resp.StatusCode)
	}
	stats.said.read(resp.StatusCode, resp.Header)
	if kind == bundler.PoolModel && resp.StatusCode == http.StatusServiceUnavailable {
		return stats, errEngineUnavailable // the router tries another endpoint
	}
	stats.mayHaveRun, stats.status = true, resp.StatusCode
	h := relayer.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	stats.isStream = h.ContentType == "text/event-stream"
	w.Start(h)
	if h.Status < http.StatusBadRequest && req.ChatKey != 0 {
		// Requests of other chats with this prefix may arrive before the response is complete.
		a.directory.touch(req.ChatKey, req.PrefixKey, time.Now())
	}
	src := io.Reader(resp.Body)
	var unframed *bytes.Buffer // the body, if its end is only the end of the connection
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !stats.isStream {
		unframed = &bytes.Buffer{}
		src = io.TeeReader(io.LimitReader(src, maxUnframedBytes), unframed)
	}
	err = copyResponse(src, w, &stats)
	stats.said.read(http.StatusOK, resp.Trailer)
	if err == nil && unframed != nil && !isWholeJSON(h.ContentType, unframed.Bytes()) {
		return stats, errUnframedResponse
	}
	if err == nil && stats.isStream && !bytes.Contains(stats.tail, []byte("[DONE]")) {
		return stats, errMissingDone
	}
	return stats, err
}

// isWholeJSON reports whether a body is a JSON object or array, the ends of which show that it is complete.
func isWholeJSON(contentType string, body []byte) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "application/json" {
		return false
	}
	body = bytes.TrimSpace(body)
	return (bytes.HasPrefix(body, []byte("{")) || bytes.HasPrefix(body, []byte("["))) && json.Valid(body)
}

func copyResponse(src io.Reader, dst io.Writer, stats *responseStats) error {
	buf, _ := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			stats.record(buf[:n], time.Now())
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// isDialError reports whether no connection was established, so that the endpoint cannot have received the request.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
