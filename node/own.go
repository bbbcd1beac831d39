package node

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// maxPlanBytes is some ten times the largest plan that is known.
	maxPlanBytes = 6 << 20

	// maxBeatBytes is some hundred times a usual heartbeat.
	maxBeatBytes = 64 << 10
)

// OwnDialect returns the project's own way to speak to a node.
func OwnDialect() Dialect {
	return Dialect{
		Headers: Headers{RequestID: "Cactus-Request-Id", DeadlineMillis: "Cactus-Left-Ms", Key: "Cactus-Key",
			Workspace: "Cactus-Workspace", Expected: "Cactus-Endpoint", Signature: "Cactus-Signature",
			NotRun: "Cactus-Not-Run", Load: "Cactus-Load", PromptParts: "Cactus-Prompt-Parts",
			FetchFrom: "Cactus-Fetch-From", EventID: "Last-Event-Id", Priority: "Cactus-Priority"},
		DecodePlan: planner.Parse,
		Control:    newOwnControl,
	}
}

// heartbeat is the body of PUT /v1/endpoints/ID.
type heartbeat struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	Draining      bool   `json:"draining,omitempty"`
	BornMillis    int64  `json:"bornMillis"` // start in Unix milliseconds
	Sequence      uint64 `json:"sequence"`
	ColdMillis    int64  `json:"coldMillis,omitempty"`
}

type heartbeatAnswer struct {
	Next string `json:"next"` // host:port for the next heartbeats
}

type ownControl struct{ Control }

func newOwnControl(c Control) http.Handler {
	h := &ownControl{c}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/plan", h.putPlan)
	mux.HandleFunc("GET /v1/plan", h.plan)
	mux.HandleFunc("POST /v1/failureDomains/{name}/takeOut", func(w http.ResponseWriter, r *http.Request) {
		Answer(w, r, h.TakeOut(r.Context(), r.PathValue("name")))
	})
	mux.HandleFunc("POST /v1/failureDomains/{name}/restore", func(w http.ResponseWriter, r *http.Request) {
		Answer(w, r, h.Restore(r.Context(), r.PathValue("name")))
	})
	mux.HandleFunc("PUT /v1/endpoints/{id}", h.register)
	mux.HandleFunc("DELETE /v1/endpoints/{id}", func(w http.ResponseWriter, r *http.Request) {
		Answer(w, r, h.Deregister(r.Context(), r.PathValue("id")))
	})
	return mux
}

func (h *ownControl) putPlan(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlanBytes))
	if err == nil {
		err = h.PutPlan(r.Context(), content)
	}
	Answer(w, r, err)
}

func (h *ownControl) plan(w http.ResponseWriter, r *http.Request) {
	doc, err := h.Plan(r.Context())
	if err != nil {
		Answer(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(doc.Content)
}

func (h *ownControl) register(w http.ResponseWriter, r *http.Request) {
	var b heartbeat
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBeatBytes))
	if err := d.Decode(&b); err != nil {
		Answer(w, r, &CallError{Reason: err.Error()})
		return
	}
	if b.Service == "" || b.Address == "" || b.Sequence == 0 {
		Answer(w, r, &CallError{Reason: "service, address or sequence is missing"})
		return
	}
	e := registrar.Endpoint{ID: r.PathValue("id"), Service: b.Service, Address: b.Address, Domain: b.FailureDomain,
		Slots: b.Slots, State: registrar.Ready, Born: b.BornMillis, Sequence: b.Sequence}
	if b.Draining {
		e.State = registrar.Draining
	}
	if b.ColdMillis > 0 {
		e.ColdUntil = time.Now().Add(time.Duration(b.ColdMillis) * time.Millisecond)
	}
	next, err := h.Register(r.Context(), e)
	if err != nil {
		Answer(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(heartbeatAnswer{Next: next})
}
