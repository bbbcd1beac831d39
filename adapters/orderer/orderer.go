package orderer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusroute.dev/core/rollouter"
)

// maxOrderBytes is about a hundred times the usual size of an order.
const maxOrderBytes = 64 << 10

// Control takes orders of rollouts and tells their progress.
type Control interface {
	// StartRollout begins a rollout, or acknowledges again one that has been ordered before. It returns a
	// *rollouter.ConflictError while another one of the service is running.
	StartRollout(ctx context.Context, r rollouter.Rollout) error
	// Rollouts returns the last rollout of each service that had one.
	Rollouts(ctx context.Context) ([]rollouter.Rollout, error)
}

// Orderer handles the requests of operators.
type Orderer struct {
	Control Control
	// WriteResult responds with the status that corresponds to an error that no rollout has caused, 200 for nil.
	WriteResult func(w http.ResponseWriter, r *http.Request, err error)
}

// Start returns the handler of orders, which decode parses.
func (o *Orderer) Start(
	decode func(data []byte) (service, target string, d time.Duration, err error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
		if err != nil {
			o.writeResult(w, r, err)
			return
		}
		service, target, d, err := decode(data)
		if err != nil {
			o.writeResult(w, r, &rollouter.InvalidError{Reason: err.Error()})
			return
		}
		rollout, err := rollouter.New(time.Now(), service, target, d)
		if err == nil {
			err = o.Control.StartRollout(r.Context(), rollout)
		}
		o.writeResult(w, r, err)
	}
}

// Get returns the handler that responds with the result of encode for the last rollout of the service in the path.
func (o *Orderer) Get(encode func(r rollouter.Rollout) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		list, err := o.Control.Rollouts(r.Context())
		var rollout rollouter.Rollout
		if err == nil {
			rollout, err = rollouter.Last(list, r.PathValue("service"))
		}
		if err != nil {
			o.writeResult(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(encode(rollout))
	}
}

// writeResult responds with the status that corresponds to the result of an order or a read.
func (o *Orderer) writeResult(w http.ResponseWriter, r *http.Request, err error) {
	var (
		conflict *rollouter.ConflictError
		unknown  *rollouter.UnknownError
		invalid  *rollouter.InvalidError
	)
	switch {
	case errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		o.WriteResult(w, r, err)
	}
}

// orderBody is the body of POST /v1/rollouts.
type orderBody struct {
	Service         string  `json:"service"`
	Target          string  `json:"target"` // software version
	DurationSeconds float64 `json:"durationSeconds"`
}

// Progress is the body of the response to GET /v1/rollouts/SERVICE, and an element of that to GET /v1/rollouts.
type Progress struct {
	Service string   `json:"service"`
	Target  string   `json:"target"` // software version
	Phase   string   `json:"phase"`
	Reason  string   `json:"reason,omitempty"` // of the last change of phase
	Former  []string `json:"former,omitempty"` // versions that the target replaces; none before the move
	// DeadlineMillis is the time until the deadline, by the clock of the instance that answers; negative after it.
	DeadlineMillis int64 `json:"deadlineMillis"`
}

func newProgress(r rollouter.Rollout) Progress {
	return Progress{Service: r.Service, Target: r.Target, Phase: r.Phase.String(), Reason: r.Reason, Former: r.Former,
		DeadlineMillis: r.DeadlineAt - time.Now().UnixMilli()}
}

// list responds with the last rollouts of all services.
func (o *Orderer) list(w http.ResponseWriter, r *http.Request) {
	rollouts, err := o.Control.Rollouts(r.Context())
	if err != nil {
		o.writeResult(w, r, err)
		return
	}
	body := make([]Progress, 0, len(rollouts))
	for _, rollout := range rollouts {
		body = append(body, newProgress(rollout))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// Register adds the handlers of the project's own protocol.
func (o *Orderer) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/rollouts", o.Start(
		func(data []byte) (service, target string, d time.Duration, err error) {
			var b orderBody
			err = json.Unmarshal(data, &b)
			return b.Service, b.Target, rollouter.Seconds(b.DurationSeconds), err
		}))
	mux.HandleFunc("GET /v1/rollouts", o.list)
	mux.HandleFunc("GET /v1/rollouts/{service}", o.Get(func(r rollouter.Rollout) any { return newProgress(r) }))
}
