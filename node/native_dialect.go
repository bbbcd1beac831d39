package node

import (
	"encoding/json"
	"net/http"
	"time"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// OwnDialect returns the project's own way to speak to a node.
func NativeDialect() Dialect {
	return Dialect{
		Headers: Headers{RequestID: "Cactus-Request-Id", RemainingMillis: "Cactus-Left-Ms", Key: "Cactus-Key",
			Workspace: "Cactus-Workspace", ExpectedEndpoint: "Cactus-Endpoint",
			NotRun: "Cactus-Not-Run", Load: "Cactus-Load", PromptParts: "Cactus-Prompt-Parts",
			CacheSource: "Cactus-Fetch-From", LastEventID: "Last-Event-Id", Priority: "Cactus-Priority"},
		DecodePlan: planner.Parse,
		Control:    newNativeControl,
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

type heartbeatResponse struct {
	Next string `json:"next"` // host:port for the next heartbeats
}

func newNativeControl(c Control) http.Handler {
	calls := NewControlHandlers(c)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/plan", calls.PutPlan)
	mux.HandleFunc("GET /v1/plan", calls.GetPlan)
	mux.HandleFunc("POST /v1/failureDomains/{name}/takeOut", calls.TakeOut)
	mux.HandleFunc("POST /v1/failureDomains/{name}/restore", calls.Restore)
	mux.HandleFunc("PUT /v1/endpoints/{id}", calls.Register(decodeHeartbeat, func(next string) any {
		return heartbeatResponse{Next: next}
	}))
	mux.HandleFunc("DELETE /v1/endpoints/{id}", calls.Deregister)
	return mux
}

func decodeHeartbeat(id string, data []byte, now time.Time) (e registrar.Endpoint, err error) {
	var b heartbeat
	if err := json.Unmarshal(data, &b); err != nil {
		return e, &BadRequestError{Reason: err.Error()}
	}
	if b.Service == "" || b.Address == "" || b.Sequence == 0 {
		return e, &BadRequestError{Reason: "service, address or sequence is missing"}
	}
	e = registrar.Endpoint{ID: id, Service: b.Service, Address: b.Address, Domain: b.FailureDomain,
		Slots: b.Slots, State: registrar.Ready, Born: b.BornMillis, Sequence: b.Sequence}
	if b.Draining {
		e.State = registrar.Draining
	}
	if b.ColdMillis > 0 {
		e.ColdUntil = now.Add(time.Duration(b.ColdMillis) * time.Millisecond)
	}
	return e, nil
}
