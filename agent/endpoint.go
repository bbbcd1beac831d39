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
	"strings"
	"sync"
	"time"
)

// callTimeout limits calls to the endpoint other than the requests of callers.
const callTimeout = time.Second

// maxCallResponseBytes limits the responses to these calls; a list of 15,000 cached chats takes about 2 MB.
const maxCallResponseBytes = 16 << 20

// endpoint is an HTTP client for the engine or service of the agent.
type endpoint struct {
	baseURL string
	// pooledClient sends the agent's own calls. singleUseClient sends the requests of callers and opens a connection for
	// each: responses carry no ID, so that one which the endpoint writes once more could be taken for the response to the
	// next request, and net/http resends a request when a reused connection breaks.
	pooledClient    *http.Client
	singleUseClient *http.Client
	// onResponse is called with each response to a call, if it is set.
	onResponse func(path string, resp *http.Response)
}

func newEndpoint(base string) *endpoint {
	// A redirect would send an operation a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	dial := (&net.Dialer{Timeout: callTimeout}).DialContext
	return &endpoint{
		baseURL: base,
		pooledClient: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: time.Minute,
		}},
		singleUseClient: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &endpointConn{Conn: c}, nil
			}, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// endpointConn is a connection that reports no end after a failed write. If the endpoint resets a connection while a
// request is written, the kernel may report that to the write, and an end to the read, which could be taken for that of
// the response.
type endpointConn struct {
	net.Conn

	mu       sync.Mutex // held during a write
	writeErr error
}

// Write implements net.Conn.
func (c *endpointConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, err = c.Conn.Write(p); err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (n int, err error) {
	if n, err = c.Conn.Read(p); errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr != nil {
			return n, c.writeErr
		}
	}
	return n, err
}

// statusError is a response of the endpoint with an unsuccessful status.
type statusError struct {
	status int
	path   string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("endpoint responded with status %d to %s", e.status, e.path)
}

func hasStatus(err error, status int) bool {
	var s *statusError
	return errors.As(err, &s) && s.status == status
}

// call sends v as JSON if it is not nil, and decodes the response into out if that is not nil.
func (e *endpoint) call(ctx context.Context, method, path string, v, out any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	var body io.Reader = http.NoBody
	if v != nil {
		data, err := json.Marshal(v)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, body)
	if err != nil {
		return err
	}
	resp, err := e.pooledClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if e.onResponse != nil {
		e.onResponse(path, resp)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &statusError{status: resp.StatusCode, path: path}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxCallResponseBytes)).Decode(out)
}

type healthResponse struct {
	StartTime    int64    `json:"startTime"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters"`
	Loading      bool     `json:"loading"`
}

func (e *endpoint) health(ctx context.Context) (h healthResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = e.call(ctx, http.MethodGet, "/health", nil, &h)
	if hasStatus(err, http.StatusNotFound) {
		return h, nil // a service without a health check counts as up; its restarts are not detected
	}
	return h, err
}

type loadResponse struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"ageMillis"`
}

type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	Chat string `json:"chat"`
}

type eventsResponse struct {
	StartTime int64        `json:"startTime"`
	Events    []cacheEvent `json:"events"`
}

// engineCommand sets the model that the engine serves. Fence is the incarnation of the agent, by which the engine
// rejects commands of superseded agent processes.
type engineCommand struct {
	Fence        uint64   `json:"fence"`
	Role         string   `json:"role"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters"`
}

type chatCache struct {
	Chat                  string   `json:"chat"`
	Tokens                int      `json:"tokens"`
	Bytes                 int64    `json:"bytes"`
	Blocks                []uint64 `json:"blocks,omitempty"`
	PrefillMicrosPerToken int64    `json:"prefillMicrosPerToken"`
}

func formatChatKey(key uint64) string { return strconv.FormatUint(key, 10) }

// appendEngineFields appends fields to a JSON object; the last of several fields of one name takes precedence, so the
// caller cannot set them.
func appendEngineFields(body []byte, priority, resumeTokens int, resumeText string) []byte {
	end := bytes.LastIndexByte(body, '}')
	if end < 0 {
		return body
	}
	var b strings.Builder
	b.Grow(len(body) + len(resumeText) + 80)
	b.Write(body[:end])
	if !isEmptyObject(body[:end]) {
		b.WriteByte(',')
	}
	fmt.Fprintf(&b, `"priority":%d,"resumeTokens":%d`, priority, resumeTokens)
	if text, err := json.Marshal(resumeText); err == nil && resumeTokens > 0 {
		fmt.Fprintf(&b, `,"resumeText":%s`, text)
	}
	b.WriteByte('}')
	return []byte(b.String())
}

func isEmptyObject(prefix []byte) bool { return string(bytes.TrimSpace(prefix)) == "{" }
