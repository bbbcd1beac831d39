package node

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// MaxPlanBytes bounds the plan in a call, in bytes: some ten times the largest plan that is known.
	MaxPlanBytes = 6 << 20

	// maxBeatBytes is some hundred times a usual heartbeat.
	maxHeartbeatBytes = 64 << 10
)

// Calls serves the calls to Control; a dialect gives them their paths, in which {name} is a failure domain and {id} an
// endpoint.
type ControlHandlers struct{ control Control }

// NewCalls returns the handlers of the calls to c.
func NewControlHandlers(c Control) *ControlHandlers { return &ControlHandlers{control: c} }

// PutPlan takes a plan as the body.
func (c *ControlHandlers) PutPlan(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxPlanBytes))
	if err == nil {
		err = c.control.PutPlan(r.Context(), content)
	}
	writeResult(w, r, err)
}

// GetPlan answers with the newest plan as it was sent.
func (c *ControlHandlers) GetPlan(w http.ResponseWriter, r *http.Request) {
	doc, err := c.control.Plan(r.Context())
	if err != nil {
		writeResult(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(doc.Content)
}

// TakeOut takes a failure domain out of service.
func (c *ControlHandlers) TakeOut(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r, c.control.TakeOut(r.Context(), r.PathValue("name")))
}

// Restore brings a failure domain back into service.
func (c *ControlHandlers) Restore(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r, c.control.Restore(r.Context(), r.PathValue("name")))
}

// Deregister records that an endpoint has left.
func (c *ControlHandlers) Deregister(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r, c.control.Deregister(r.Context(), r.PathValue("id")))
}

// Register returns the handler of heartbeats, of which decode reads the body. The answer that encode makes names where
// the next ones are best sent.
func (c *ControlHandlers) Register(
	decode func(id string, data []byte, now time.Time) (registrar.Endpoint, error), encode func(next string) any,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
		if err != nil {
			writeResult(w, r, err)
			return
		}
		e, err := decode(r.PathValue("id"), data, time.Now())
		if err != nil {
			writeResult(w, r, err)
			return
		}
		next, err := c.control.Register(r.Context(), e)
		if err != nil {
			writeResult(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(encode(next))
	}
}

// CallError is a call of an operator or an endpoint that can't be read.
type BadRequestError struct{ Reason string }

// Error returns the reason.
func (e *BadRequestError) Error() string { return "call can't be read: " + e.Reason }

// answer turns the result of a call to Control into a status; nil is 200.
func writeResult(w http.ResponseWriter, r *http.Request, err error) {
	var (
		elsewhere   *RedirectError
		unavailable *UnavailableError
		invalid     *planner.InvalidError
		call        *BadRequestError
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
