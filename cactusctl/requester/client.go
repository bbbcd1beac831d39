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
	// tryTimeout is longer than the 3 s that control waits for a quorum.
	attemptTimeout = 5 * time.Second
	// callTimeout bounds all tries of one call when instances accept connections but do not answer.
	callTimeout = 30 * time.Second
	// defaultRounds and defaultPause together outlast an election, which takes less than 1 s.
	defaultRounds     = 3
	defaultRoundDelay = 500 * time.Millisecond
	// maxAnswerBytes holds a bundle of 3 MiB or a page of 1000 audit records with much room.
	maxResponseBytes = 16 << 20
)

// Config says which control instances are called and how.
type Config struct {
	// Controls are addresses as host:port or URLs.
	Controls []string
	// Key is the operator's bearer key.
	Key string
	// TLS is nil for plain TCP; it selects the scheme of addresses without one.
	TLS *tls.Config
	// Rounds is how often all addresses are tried, and Pause the time between rounds; 0 means the defaults.
	Rounds     int
	RoundDelay time.Duration
}

// Client calls the control instances in turn, beginning with the one that answered last.
type Client struct {
	cfg     Config
	http    *http.Client
	current int
}

// New returns a client; it opens no connection yet.
func New(cfg Config) *Client {
	if cfg.Rounds == 0 {
		cfg.Rounds = defaultRounds
	}
	if cfg.RoundDelay == 0 {
		cfg.RoundDelay = defaultRoundDelay
	}
	return &Client{cfg: cfg, http: NewHTTPClient(cfg.TLS)}
}

// NewHTTP returns a client that follows no redirect, so that a key is sent only to addresses of the settings.
func NewHTTPClient(tlsConfig *tls.Config) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// URL returns the URL of a path at an address that may lack its scheme.
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

// ReadBack looks for the effect of a write whose answer was lost; done is true if the write has been made, and
// answer then takes the place of the lost one.
type OutcomeCheck func(ctx context.Context) (answer json.RawMessage, done bool, err error)

// Read returns the answer of the first instance that has one.
func (c *Client) Read(ctx context.Context, path string) (json.RawMessage, error) {
	return c.do(ctx, http.MethodGet, path, nil, nil)
}

// Write sends a write until an instance answers. Every write of the API may be sent again. After an answer was lost,
// back is asked before each repetition, and before a refusal is reported, because the refusal may be the effect of
// the first sending.
func (c *Client) Write(
	ctx context.Context, method, path string, body []byte, back OutcomeCheck,
) (json.RawMessage, error) {
	return c.do(ctx, method, path, body, back)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, back OutcomeCheck) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	failed := &UnreachableError{Causes: make([]string, len(c.cfg.Controls))}
	for n := range c.cfg.Rounds * len(c.cfg.Controls) {
		if n > 0 && n%len(c.cfg.Controls) == 0 && sleep(ctx, c.cfg.RoundDelay) != nil {
			break
		}
		if answer, done := c.checkOutcome(ctx, failed, back); done {
			return answer, nil
		}
		at := c.current
		answer, sent, err := c.attempt(ctx, method, path, body)
		if err == nil {
			return answer, nil
		}
		var refusal *APIError
		if errors.As(err, &refusal) && refusal.Status < http.StatusInternalServerError {
			if answer, done := c.checkOutcome(ctx, failed, back); done {
				return answer, nil
			}
			return nil, err
		}
		failed.OutcomeUnknown = failed.OutcomeUnknown || (sent && method != http.MethodGet)
		failed.Causes[at] = fmt.Sprintf("%s: %v", c.cfg.Controls[at], err)
		if ctx.Err() != nil {
			break
		}
		c.current = (at + 1) % len(c.cfg.Controls)
	}
	if answer, done := c.checkOutcome(ctx, failed, back); done {
		return answer, nil
	}
	failed.Causes = slices.DeleteFunc(failed.Causes, func(s string) bool { return s == "" })
	return nil, failed
}

// settled reads back, in one round, if a write may have been made; a read that fails leaves the outcome open.
func (c *Client) checkOutcome(ctx context.Context, failed *UnreachableError, back OutcomeCheck) (json.RawMessage, bool) {
	if !failed.OutcomeUnknown || back == nil {
		return nil, false
	}
	rounds := c.cfg.Rounds
	c.cfg.Rounds = 1
	defer func() { c.cfg.Rounds = rounds }()
	answer, done, err := back(ctx)
	return answer, err == nil && done
}

// try makes one call; sent is false only if the request surely did not reach the instance.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (_ json.RawMessage, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, URL(c.cfg.Controls[c.current], path, c.cfg.TLS), bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		var op *net.OpError
		return nil, !errors.As(err, &op) || op.Op != "dial", errors.Unwrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, true, fmt.Errorf("answer broke off: %w", err)
	case len(data) > maxResponseBytes:
		return nil, true, fmt.Errorf("answer exceeds %d bytes", maxResponseBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, true, parseAPIError(resp.StatusCode, data)
	case !json.Valid(data):
		return nil, true, errors.New("answer is not JSON")
	}
	return data, true, nil
}

func parseAPIError(status int, data []byte) error {
	var body struct {
		Error *APIError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		body.Error = &APIError{Code: "unexpected", Message: fmt.Sprintf("status %d without an error in JSON", status)}
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
