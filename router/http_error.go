package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cactusroute.dev/core/retrier"
)

// Headers of answers.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Cactusroute-Outcome"
	headerRetryAfter = "Retry-After"
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
)

// failure is an answer without a result. Its code is also the label of the metric, so codes are constants.
type httpError struct {
	Status  int
	Type    string
	Code    string
	Message string
	// NotRun is set only on the paths that the package comment lists.
	NotRun bool
	// RetryAfter is 0 when a retry does not help.
	RetryAfter time.Duration
}

// Types of errors, as OpenAI clients know them.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeAuthentication = "authentication_error"
	errorTypeRateLimit      = "rate_limit_error"
	errorTypeServer         = "server_error"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func badRequest(code, message string) *httpError {
	return &httpError{Status: http.StatusBadRequest, Type: errorTypeInvalidRequest, Code: code, Message: message, NotRun: true}
}

func (f *httpError) body() errorBody {
	return errorBody{Error: errorDetail{Message: f.Message, Type: f.Type, Code: f.Code}}
}

func (f *httpError) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(headerOutcome, outcomeUnknown)
	if f.NotRun {
		h.Set(headerOutcome, outcomeNotRun)
	}
	if f.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(f.body())
}

// retryBase is the base of Retry-After when no agent named a time.
const defaultRetryAfter = 2 * time.Second

func (rt *Router) retryAfter(base time.Duration) time.Duration {
	if base <= 0 {
		base = defaultRetryAfter
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return retrier.RetryAfter(rt.rng, base)
}

// stopped turns the decision that ended a request into its answer.
func (rt *Router) decisionError(d retrier.Decision, base time.Duration) *httpError {
	f := &httpError{Status: http.StatusServiceUnavailable, Type: errorTypeServer, NotRun: d.NotRun}
	switch d.Code {
	case retrier.CodeOverloaded:
		f.Code, f.Message = "overloaded", "every endpoint asked is at its limit"
	case retrier.CodePoison:
		f.Status, f.Type = http.StatusUnprocessableEntity, errorTypeInvalidRequest
		f.Code, f.Message = "poison_request", "the request crashes engines; it is refused until its verdict expires"
		return f
	case retrier.CodeSuspect:
		f.Code, f.Message = "suspect_request", "the request is suspected of crashing an engine and has to wait"
	case retrier.CodeDeadlineExceeded:
		f.Status, f.Code, f.Message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline cannot be met"
		return f
	case retrier.CodeBudgetExhausted:
		f.Code, f.Message = "retry_budget_exhausted", "an endpoint failed and the retry budget is exhausted"
	case retrier.CodeInterrupted:
		f.Status, f.Code = http.StatusBadGateway, "answer_interrupted"
		f.Message = "the answer ended early and cannot be continued"
	case retrier.CodeUnknownOutcome:
		f.Status, f.Code = http.StatusConflict, "unknown_outcome"
		f.Message = "the request may have run; it is not run again"
		return f
	default:
		f.Code, f.Message = "no_endpoint", "no endpoint of the pool is in service and reachable"
	}
	f.RetryAfter = rt.retryAfter(base)
	return f
}
