package loader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const maxResponseBytes = 1 << 20

// Chat sends one streaming chat request to a router and returns the response body, also with a StatusError.
func Chat(ctx context.Context, router, key string) (text string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("chat request to router %s: %w", router, err)
		}
	}()
	const body = `{"model":"darn-7b","stream":true,"messages":[{"role":"user","content":"which wool for a heel"}]}`
	url := "http://" + router + "/v1/chat/completions"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return string(data), &StatusError{Status: resp.StatusCode}
	}
	return string(data), nil
}

// StatusError reports a response with a status other than 200.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
