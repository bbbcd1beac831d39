package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cactusroute.dev/core/retrier"
)

// Response headers and their values.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Cactusroute-Outcome"
	headerRetryAfter = "Retry-After"
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
)

// httpError is an error response to a caller. Code is also a metric label and must be one of a fixed set of values.
type httpError struct {
	Status  int
	Type    string
	Code    string
	Message string
	// NotRun sets the outcome header to not-run; the package comment lists the cases.
	NotRun bool
	// RetryAfter is 0 if a retry would not succeed.
	RetryAfter time.Duration
	// EndsStream is set for an error that was sent as the last event of a stream. The connection is closed without the
	// regular end of the response, so that the stream does not look complete.
	EndsStream bool
}

// Error types of the OpenAI API.
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
	return &httpError{
		Status: http.StatusBadRequest, Type: errorTypeInvalidRequest, Code: code, Message: message, NotRun: true,
	}
}

func (e *httpError) body() errorBody {
	return errorBody{Error: errorDetail{Message: e.Message, Type: e.Type, Code: e.Code}}
}

func (e *httpError) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(headerOutcome, outcomeUnknown)
	if e.NotRun {
		h.Set(headerOutcome, outcomeNotRun)
	}
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(e.body())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(e.Status)
	_, _ = w.Write(append(body, '\n'))
}

// defaultRetryAfter is the base of Retry-After if no agent returned a time.
const defaultRetryAfter = 2 * time.Second

// retryAfter returns base, or defaultRetryAfter if base is 0, with random jitter.
func (rt *Router) retryAfter(base time.Duration) time.Duration {
	if base <= 0 {
		base = defaultRetryAfter
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return retrier.RetryAfter(rt.rng, base)
}

// decisionError returns the error response for the decision that ended a request.
func (rt *Router) decisionError(d retrier.Decision, base time.Duration) *httpError {
	e := &httpError{Status: http.StatusServiceUnavailable, Type: errorTypeServer, NotRun: d.NotRun}
	switch d.Code {
	case retrier.CodeOverloaded:
		e.Code, e.Message = "overloaded", "all endpoints that were tried are at their limit"
	case retrier.CodePoison:
		e.Status, e.Type = http.StatusUnprocessableEntity, errorTypeInvalidRequest
		e.Code, e.Message = "poison_request", "the request crashes engines and is refused until its verdict expires"
		return e
	case retrier.CodeSuspect:
		e.Code, e.Message = "suspect_request", "the request is suspected of crashing an engine and must wait"
	case retrier.CodeDeadlineExceeded:
		e.Status, e.Code, e.Message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline cannot be met"
		return e
	case retrier.CodeBudgetExhausted:
		e.Code, e.Message = "retry_budget_exhausted", "an endpoint failed and the retry budget is exhausted"
	case retrier.CodeInterrupted:
		e.Status, e.Code = http.StatusBadGateway, "answer_interrupted"
		e.Message = "the response ended early and cannot be resumed"
	case retrier.CodeUnknownOutcome:
		e.Status, e.Code = http.StatusConflict, "unknown_outcome"
		e.Message = "the request may have run and is not retried"
		return e
	default:
		e.Code, e.Message = "no_endpoint", "no endpoint of the pool is in service and reachable"
	}
	e.RetryAfter = rt.retryAfter(base)
	return e
}
