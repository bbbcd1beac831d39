package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	// stallTime is how long an endpoint has sent nothing when a passed deadline counts against it; callers with
	// short deadlines would otherwise lower the limit for all.
	stallThreshold = 2 * time.Second
	// tailBytes holds the last events of a stream, which carry the usage.
	tailBytes = 1 << 10
	// Headers to the endpoint.
	headerTimeout        = "X-Request-Timeout-Millis"
	headerChatKey        = "X-Chat-Key"
	headerIdempotencyKey = "Idempotency-Key"
)

// errTruncated says that a stream ended without its end mark.
var errTruncated = errors.New("the endpoint's stream ended without its end mark")

// errNotServed says that an engine answered that it cannot serve now, so the request has not run.
var errEngineUnavailable = errors.New("the engine answered 503")

// answer is where forwarding writes; *relayer.ResponseBuffer implements it.
type responseWriter interface {
	Start(h relayer.Head)
	Write(p []byte) (int, error)
}

// observation is what forwarding has seen of an answer.
type responseStats struct {
	sentAt      time.Time
	firstByteAt time.Time
	lastByteAt  time.Time
	events      int
	status      int
	isStream    bool
	tail        []byte
	mayHaveRun  bool // false if the endpoint has certainly not run the request
}

func (o *responseStats) record(p []byte, now time.Time) {
	if o.firstByteAt.IsZero() {
		o.firstByteAt = now
	}
	o.lastByteAt = now
	if o.isStream {
		o.events += bytes.Count(p, []byte("data: "))
	}
	if len(p) >= tailBytes {
		o.tail = append(o.tail[:0], p[len(p)-tailBytes:]...)
		return
	}
	if over := len(o.tail) + len(p) - tailBytes; over > 0 {
		o.tail = append(o.tail[:0], o.tail[over:]...)
	}
	o.tail = append(o.tail, p...)
}

// idle returns the time since the endpoint has last sent something.
func (o *responseStats) idleTime() time.Duration {
	if o.lastByteAt.IsZero() {
		return time.Since(o.sentAt)
	}
	return time.Since(o.lastByteAt)
}

// finish returns the limiter's view of the request.
func (o *responseStats) limiterResult(id uint64, err error) limiter.Result {
	f := limiter.Result{ID: id}
	switch {
	case err == nil && o.status < http.StatusBadRequest:
		f.Outcome = limiter.OutcomeSuccess
	case errors.Is(err, context.DeadlineExceeded) && o.idleTime() >= stallThreshold:
		f.Outcome = limiter.OutcomeTimeout
	}
	if !o.firstByteAt.IsZero() {
		f.FirstToken = o.firstByteAt.Sub(o.sentAt)
	}
	if o.events > 2 { // the end mark is an event, too
		f.TokenGap = o.lastByteAt.Sub(o.firstByteAt) / time.Duration(o.events-2)
	}
	return f
}

type tokenUsage struct {
	PromptTokens  int `json:"prompt_tokens"`
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage returns the token counts of the final event; ok is false if it has none.
func (o *responseStats) usage() (u tokenUsage, ok bool) {
	i := bytes.LastIndex(o.tail, []byte(`"usage":{`))
	if i < 0 {
		return u, false
	}
	err := json.NewDecoder(bytes.NewReader(o.tail[i+len(`"usage":`):])).Decode(&u)
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

// forward sends the request to the endpoint and writes the answer to w as it arrives.
func (a *Agent) forward(
	ctx context.Context, req *relayer.Request, kind bundler.PoolKind, w responseWriter,
) (o responseStats, err error) {
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		if err != nil {
			err = fmt.Errorf("forward to the endpoint: %w", err)
		}
	}()
	r, err := a.endpointRequest(ctx, req, kind)
	if err != nil {
		return o, err
	}
	client := a.endpoint.pooledClient
	if req.Operation != nil {
		client = a.endpoint.singleUseClient
	}
	o.sentAt = time.Now()
	resp, err := client.Do(r)
	if err != nil {
		o.mayHaveRun = !isDialError(err)
		return o, err
	}
	defer func() { _ = resp.Body.Close() }()
	if kind == bundler.PoolModel && resp.StatusCode == http.StatusServiceUnavailable {
		return o, errEngineUnavailable // the router tries another endpoint
	}
	o.mayHaveRun, o.status = true, resp.StatusCode
	h := relayer.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	o.isStream = h.ContentType == "text/event-stream"
	w.Start(h)
	if h.Status < http.StatusBadRequest && req.ChatKey != 0 {
		// Other chats with this prefix may come before the answer is complete.
		a.directory.touch(req.ChatKey, req.PrefixKey, time.Now())
	}
	err = copyResponse(resp.Body, w, &o)
	if err == nil && o.isStream && !bytes.Contains(o.tail, []byte("[DONE]")) {
		return o, errTruncated
	}
	return o, err
}

func copyResponse(from io.Reader, to io.Writer, o *responseStats) error {
	buf, _ := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := from.Read(buf[:])
		if n > 0 {
			o.record(buf[:n], time.Now())
			if _, err := to.Write(buf[:n]); err != nil {
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

// isDialError reports whether no connection was made, so that the endpoint cannot have got the request.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
