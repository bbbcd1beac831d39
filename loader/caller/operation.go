package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// Operation is one call of a plain service that may not be repeated.
type Operation struct {
	Key            string
	Service        string
	Path           string
	IdempotencyKey string
	Body           string
}

// OperationResult is what the caller knows of an operation after its retries.
type OperationResult struct {
	Status   int
	Answer   string
	Attempts int
	// NotRun is set when the last answer said that nothing ran.
	NotRun bool
}

// IsDone reports whether the operation's own answer came back.
func (r *OperationResult) IsDone() bool { return r.Status == http.StatusOK }

// Operate sends an operation and retries at once, at the next target, under the same key, until it is done, its
// outcome is unknown for good, or the attempts are used up.
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
