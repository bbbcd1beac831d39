package node

import (
	"encoding/json"
	"net/http"
	"time"

	"cactusroute.dev/adapters/orderer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// NativeDialect returns the project's own protocol.
func NativeDialect() Dialect {
	return Dialect{
		Headers: Headers{RequestID: "Cactus-Request-Id", RemainingMillis: "Cactus-Left-Ms", Key: "Cactus-Key",
			Workspace: "Cactus-Workspace", ExpectedEndpoint: "Cactus-Endpoint",
			NotRun: "Cactus-Not-Run", Load: "Cactus-Load", RateLimit: "Cactus-Rate-Limit", Leaving: "Cactus-Leaving",
			PromptParts: "Cactus-Prompt-Parts", TokenCounts: "Cactus-Token-Counts",
			CacheSource: "Cactus-Fetch-From", LastEventID: "Last-Event-Id", Resumes: "Cactus-Resumes",
			Priority: "Cactus-Priority"},
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
	BornMillis    int64  `json:"bornMillis"` // process start in Unix milliseconds
	Sequence      uint64 `json:"sequence"`
	ColdMillis    int64  `json:"coldMillis,omitempty"`
	Version       string `json:"version,omitempty"` // of the endpoint's software
}

type heartbeatResponse struct {
	Next string `json:"next"` // host:port to send the next heartbeats to
}

func newNativeControl(c Control) http.Handler {
	handlers := NewControlHandlers(c)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/plan", handlers.PutPlan)
	mux.HandleFunc("GET /v1/plan", handlers.GetPlan)
	mux.HandleFunc("POST /v1/failureDomains/{name}/takeOut", handlers.TakeOut)
	mux.HandleFunc("POST /v1/failureDomains/{name}/restore", handlers.Restore)
	(&orderer.Orderer{Control: c, WriteResult: WriteResult}).Register(mux)
	mux.HandleFunc("PUT /v1/endpoints/{id}", handlers.Register(decodeHeartbeat, func(next string) any {
		return heartbeatResponse{Next: next}
	}))
	mux.HandleFunc("DELETE /v1/endpoints/{id}", handlers.Deregister)
	mux.HandleFunc("GET /v1/convictions", handlers.GetConvictions)
	mux.HandleFunc("DELETE /v1/convictions/{part}", handlers.LiftConviction)
	return mux
}

func decodeHeartbeat(id string, data []byte, now time.Time) (e registrar.Endpoint, err error) {
	var hb heartbeat
	if err := json.Unmarshal(data, &hb); err != nil {
		return e, &BadRequestError{Reason: err.Error()}
	}
	if hb.Sequence == 0 {
		return e, &BadRequestError{Reason: "sequence is required"}
	}
	e = registrar.Endpoint{ID: id, Service: hb.Service, Address: hb.Address, Domain: hb.FailureDomain,
		Version: hb.Version, Slots: hb.Slots, State: registrar.Ready, Born: hb.BornMillis, Sequence: hb.Sequence}
	if hb.Draining {
		e.State = registrar.Draining
	}
	if e.ColdUntil, err = registrar.ColdUntil(now, float64(hb.ColdMillis)); err == nil {
		err = e.Check()
	}
	if err != nil {
		return registrar.Endpoint{}, &BadRequestError{Reason: err.Error()}
	}
	return e, nil
}
