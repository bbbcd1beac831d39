package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// attemptTimeout bounds a request to one instance. An order takes a commit, which may wait for a new leader.
	attemptTimeout = 3 * time.Second

	// maxResponseBytes is enough for a thousand rollouts.
	maxResponseBytes = 4 << 20
)

// StatusError reports a response that is not about the state of the instance, so that no other instance is asked.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Client speaks to the control interfaces of a fleet.
type Client struct {
	Addresses []string // host:port, tried in turn until one answers
}

// Start orders a rollout. The same order may be sent again.
func (c *Client) Start(ctx context.Context, service, target string, d time.Duration) error {
	body, err := json.Marshal(orderBody{Service: service, Target: target, DurationSeconds: d.Seconds()})
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "/v1/rollouts", body, nil)
}

// Progress returns the last rollout of a service.
func (c *Client) Progress(ctx context.Context, service string) (p Progress, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), nil, &p)
	return p, err
}

// List returns the last rollout of each service that had one.
func (c *Client) List(ctx context.Context) (list []Progress, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/rollouts", nil, &list)
	return list, err
}

// call asks one instance after the other and decodes the response into result, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	var errs []error
	for _, address := range c.Addresses {
		content, err := c.attempt(ctx, address, method, path, body)
		status := (*StatusError)(nil)
		switch {
		case errors.As(err, &status) && status.Status/100 == 4:
			return err
		case err != nil:
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
		case result == nil:
			return nil
		default:
			return json.Unmarshal(content, result)
		}
	}
	return errors.Join(errs...)
}

func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte) (content []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	content, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &StatusError{Status: resp.StatusCode, Message: strings.TrimSpace(string(content))}
	}
	return content, err
}
