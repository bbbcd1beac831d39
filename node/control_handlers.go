package node

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// MaxPlanBytes is the maximum size of a plan in a request, about ten times the largest known plan.
	MaxPlanBytes = 6 << 20

	// maxHeartbeatBytes is about a hundred times the usual size of a heartbeat.
	maxHeartbeatBytes = 64 << 10
)

// ControlHandlers are the HTTP handlers of the Control operations. A dialect registers them with patterns in which
// {name} is a failure domain and {id} an endpoint.
type ControlHandlers struct{ control Control }

// NewControlHandlers returns handlers that call c.
func NewControlHandlers(c Control) *ControlHandlers { return &ControlHandlers{control: c} }

// PutPlan replaces the plan by the one in the request body.
func (c *ControlHandlers) PutPlan(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxPlanBytes))
	if err == nil {
		err = c.control.PutPlan(r.Context(), content)
	}
	WriteResult(w, r, err)
}

// GetPlan responds with the newest plan, byte for byte as it was put.
func (c *ControlHandlers) GetPlan(w http.ResponseWriter, r *http.Request) {
	plan, err := c.control.Plan(r.Context())
	if err != nil {
		WriteResult(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(plan.Content)
}

// TakeOut takes a failure domain out of service.
func (c *ControlHandlers) TakeOut(w http.ResponseWriter, r *http.Request) {
	WriteResult(w, r, c.control.TakeOut(r.Context(), r.PathValue("name")))
}

// Restore returns a failure domain to service.
func (c *ControlHandlers) Restore(w http.ResponseWriter, r *http.Request) {
	WriteResult(w, r, c.control.Restore(r.Context(), r.PathValue("name")))
}

// Deregister removes an endpoint.
func (c *ControlHandlers) Deregister(w http.ResponseWriter, r *http.Request) {
	WriteResult(w, r, c.control.Deregister(r.Context(), r.PathValue("id")))
}

// convictionBody is one element of the response to GetConvictions.
type convictionBody struct {
	Part             string `json:"part"`
	Lifted           bool   `json:"lifted"`
	Crashes          int    `json:"crashes"` // that pointed to the part at its conviction
	AgeMillis        int64  `json:"ageMillis"`
	RefusedAgeMillis int64  `json:"refusedAgeMillis"` // since a request was last refused for it
	RefusedBy        string `json:"refusedBy,omitempty"`
	Trials           int    `json:"trials"`
	TrialBy          string `json:"trialBy,omitempty"`
}

// GetConvictions responds with the convictions of prompt parts that the node knows.
func (c *ControlHandlers) GetConvictions(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	convictions := c.control.Convictions()
	list := make([]convictionBody, 0, len(convictions))
	for _, conv := range convictions {
		list = append(list, convictionBody{Part: conv.Part.String(), Lifted: conv.Lifted, Crashes: conv.Crashes,
			AgeMillis: now.Sub(conv.At).Milliseconds(), RefusedAgeMillis: now.Sub(conv.RefusedAt).Milliseconds(),
			RefusedBy: conv.RefusedBy, Trials: conv.Trials, TrialBy: conv.TrialBy})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// LiftConviction ends the conviction of a prompt part.
func (c *ControlHandlers) LiftConviction(w http.ResponseWriter, r *http.Request) {
	part, err := attributor.ParsePart(r.PathValue("part"))
	if err != nil {
		WriteResult(w, r, &BadRequestError{Reason: err.Error()})
		return
	}
	WriteResult(w, r, c.control.LiftConviction(r.Context(), part))
}

// Register returns the handler of heartbeats, which decode parses. It responds with the result of encode for next, the
// address to which the next heartbeats should be sent.
func (c *ControlHandlers) Register(
	decode func(id string, data []byte, now time.Time) (registrar.Endpoint, error), encode func(next string) any,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
		if err != nil {
			WriteResult(w, r, err)
			return
		}
		e, err := decode(r.PathValue("id"), data, time.Now())
		if err != nil {
			WriteResult(w, r, err)
			return
		}
		next, err := c.control.Register(r.Context(), e)
		if err != nil {
			WriteResult(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(encode(next))
	}
}

// BadRequestError reports a malformed request of an operator or an endpoint.
type BadRequestError struct{ Reason string }

// Error implements error.
func (e *BadRequestError) Error() string { return "invalid request: " + e.Reason }

// WriteResult responds with the status that corresponds to the result of a Control operation, 200 for nil.
func WriteResult(w http.ResponseWriter, r *http.Request, err error) {
	var (
		redirect    *RedirectError
		unavailable *UnavailableError
		invalid     *planner.InvalidError
		badRequest  *BadRequestError
		tooLarge    *http.MaxBytesError
		unknown     *NotConvictedError
	)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.As(err, &redirect):
		w.Header().Set("Location", "http://"+redirect.Address+r.URL.EscapedPath())
		w.WriteHeader(http.StatusTemporaryRedirect)
	case errors.As(err, &invalid), errors.As(err, &badRequest):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.As(err, &unavailable), errors.Is(err, server.ErrBodyMemory):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
