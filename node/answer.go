package node

import (
	"errors"
	"net/http"

	"cactusroute.dev/core/planner"
)

// CallError is a call of an operator or an endpoint that can't be read.
type CallError struct{ Reason string }

// Error returns the reason.
func (e *CallError) Error() string { return "call can't be read: " + e.Reason }

// Answer turns the result of a call to Control into a status; nil is 200.
func Answer(w http.ResponseWriter, r *http.Request, err error) {
	var (
		elsewhere   *ElsewhereError
		unavailable *UnavailableError
		invalid     *planner.InvalidError
		call        *CallError
		tooLarge    *http.MaxBytesError
	)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.As(err, &elsewhere):
		w.Header().Set("Location", "http://"+elsewhere.Address+r.URL.EscapedPath())
		w.WriteHeader(http.StatusTemporaryRedirect)
	case errors.As(err, &invalid), errors.As(err, &call):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.As(err, &unavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
