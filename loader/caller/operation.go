package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// Operation is a non-idempotent request to a service.
type Operation struct {
	Key            string
	Service        string
	Path           string
	IdempotencyKey string
	Body           string
}

// OperationResult is the result of the last attempt of an operation. Progress lines print its Go field names.
type OperationResult struct {
	Status int
	// Answer is the response body, or the error if there is no response.
	Answer   string
	Attempts int
	// NotRun is set if the last response says that the operation was not executed.
	NotRun bool
}

// IsDone reports whether the response of the executed operation was received.
func (r *OperationResult) IsDone() bool { return r.Status == http.StatusOK }

// SendOperation sends an operation and retries it without delay at the next target under the same idempotency key,
// until it is done, its outcome is final (status 409 or 422), or the attempts are used up.
func (c *Caller) SendOperation(ctx context.Context, op *Operation) (r OperationResult) {
	for n := range max(1, c.MaxAttempts) {
		target := c.Targets[c.nextTarget.Add(1)%uint64(len(c.Targets))]
		r = c.attemptOperation(ctx, target, op)
		r.Attempts = n + 1
		isFinal := r.IsDone() || r.Status == http.StatusConflict || r.Status == http.StatusUnprocessableEntity
		if isFinal || ctx.Err() != nil {
			break
		}
	}
	return r
}

func (c *Caller) attemptOperation(ctx context.Context, target string, op *Operation) OperationResult {
	url := "http://" + target + "/services/" + op.Service + op.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(op.Body))
	if err != nil {
		return OperationResult{Answer: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+op.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", op.IdempotencyKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return OperationResult{Answer: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return OperationResult{Answer: err.Error()}
	}
	return OperationResult{
		Status: resp.StatusCode, Answer: string(text), NotRun: resp.Header.Get("X-Cactusroute-Outcome") == "not-run",
	}
}
