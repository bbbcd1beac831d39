package requester

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// attemptTimeout is longer than the 3 s that a control instance waits for a quorum.
	attemptTimeout = 5 * time.Second
	// callTimeout bounds all attempts of one call when instances accept connections but do not respond.
	callTimeout = 30 * time.Second
	// defaultRounds and defaultRoundDelay together outlast an election, which takes less than 1 s.
	defaultRounds     = 3
	defaultRoundDelay = 500 * time.Millisecond
	// maxResponseBytes leaves ample room for a bundle of 3 MiB or a page of 1000 audit records.
	maxResponseBytes = 16 << 20
)

// Config configures a Client.
type Config struct {
	// Controls are the host:port addresses or URLs of the control instances.
	Controls []string
	// Key is the operator's bearer key.
	Key string
	// TLS is nil for plain TCP; it decides between http and https for addresses without a scheme.
	TLS *tls.Config
	// Rounds limits the passes over all addresses, and RoundDelay is the time between two passes; 0 means the default.
	Rounds     int
	RoundDelay time.Duration
}

// Client calls the control instances in turn, starting with the one that responded last.
type Client struct {
	cfg        Config
	httpClient *http.Client
	current    int
}

// New returns a client without opening a connection.
func New(cfg Config) *Client {
	if cfg.Rounds == 0 {
		cfg.Rounds = defaultRounds
	}
	if cfg.RoundDelay == 0 {
		cfg.RoundDelay = defaultRoundDelay
	}
	return &Client{cfg: cfg, httpClient: NewHTTPClient(cfg.TLS)}
}

// NewHTTPClient returns a client that follows no redirects, so that the key goes only to the configured addresses.
func NewHTTPClient(tlsConfig *tls.Config) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// URL joins an address, which may lack a scheme, and a path.
func URL(address, path string, tlsConfig *tls.Config) string {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if tlsConfig != nil {
			scheme = "https://"
		}
		address = scheme + address
	}
	return strings.TrimSuffix(address, "/") + path
}

// OutcomeCheck reads whether a write whose response was lost has been applied. If so, response replaces the lost one.
type OutcomeCheck func(ctx context.Context) (response json.RawMessage, applied bool, err error)

// Read returns the response of the first instance that serves the path.
func (c *Client) Read(ctx context.Context, path string) (json.RawMessage, error) {
	return c.do(ctx, http.MethodGet, path, nil, nil)
}

// Write sends a write until an instance responds; all writes of the API can be retried safely. After a lost response,
// it calls check before each retry, and before it returns an API error, because the lost attempt may be what caused a
// conflict.
func (c *Client) Write(
	ctx context.Context, method, path string, body []byte, check OutcomeCheck,
) (json.RawMessage, error) {
	return c.do(ctx, method, path, body, check)
}

func (c *Client) do(
	ctx context.Context, method, path string, body []byte, check OutcomeCheck,
) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	unreachable := &UnreachableError{Causes: make([]string, len(c.cfg.Controls))}
	for n := range c.cfg.Rounds * len(c.cfg.Controls) {
		if n > 0 && n%len(c.cfg.Controls) == 0 && sleep(ctx, c.cfg.RoundDelay) != nil {
			break
		}
		if response, applied := c.checkOutcome(ctx, unreachable, check); applied {
			return response, nil
		}
		current := c.current
		response, sent, err := c.attempt(ctx, method, path, body)
		if err == nil {
			return response, nil
		}
		var apiErr *APIError
		if errors.As(err, &apiErr) && apiErr.Status < http.StatusInternalServerError {
			if response, applied := c.checkOutcome(ctx, unreachable, check); applied {
				return response, nil
			}
			return nil, err
		}
		unreachable.OutcomeUnknown = unreachable.OutcomeUnknown || (sent && method != http.MethodGet)
		unreachable.Causes[current] = fmt.Sprintf("%s: %v", c.cfg.Controls[current], err)
		if ctx.Err() != nil {
			break
		}
		c.current = (current + 1) % len(c.cfg.Controls)
	}
	if response, applied := c.checkOutcome(ctx, unreachable, check); applied {
		return response, nil
	}
	unreachable.Causes = slices.DeleteFunc(unreachable.Causes, func(s string) bool { return s == "" })
	return nil, unreachable
}

// checkOutcome reports whether a write with an unknown outcome has been applied. It reads in a single round; after a
// failed read the outcome remains unknown.
func (c *Client) checkOutcome(
	ctx context.Context, unreachable *UnreachableError, check OutcomeCheck,
) (json.RawMessage, bool) {
	if !unreachable.OutcomeUnknown || check == nil {
		return nil, false
	}
	rounds := c.cfg.Rounds
	c.cfg.Rounds = 1
	defer func() { c.cfg.Rounds = rounds }()
	response, applied, err := check(ctx)
	return response, err == nil && applied
}

// attempt sends the request to the current instance; sent is false only if the request cannot have reached it.
func (c *Client) attempt(
	ctx context.Context, method, path string, body []byte,
) (_ json.RawMessage, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(
		ctx, method, URL(c.cfg.Controls[c.current], path, c.cfg.TLS), bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(r)
	if err != nil {
		var opErr *net.OpError
		return nil, !errors.As(err, &opErr) || opErr.Op != "dial", errors.Unwrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, true, fmt.Errorf("read response body: %w", err)
	case len(data) > maxResponseBytes:
		return nil, true, fmt.Errorf("response body exceeds the limit of %d bytes", maxResponseBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, true, parseAPIError(resp.StatusCode, data)
	case !json.Valid(data):
		return nil, true, errors.New("response body is not JSON")
	}
	return data, true, nil
}

func parseAPIError(status int, data []byte) error {
	var body struct {
		Error *APIError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		body.Error = &APIError{Code: "unexpected", Message: fmt.Sprintf("HTTP status %d without a JSON error body", status)}
	}
	body.Error.Status = status
	return body.Error
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
