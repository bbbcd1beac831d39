package node

import (
	"net/http"

	"cactusroute.dev/core/planner"
)

// Dialect is how callers, endpoints and operators speak to a node.
type Dialect struct {
	Headers Headers
	// DecodePlan reads a plan; it returns a *planner.InvalidError for one that can't be in force.
	DecodePlan func(content []byte) (*planner.Plan, error)
	// Control serves operators and endpoints.
	Control func(Control) http.Handler
}

// Headers are the canonical names of headers on requests and answers.
type Headers struct {
	RequestID        string // of each request; endpoints return it
	RemainingMillis  string // time that is left
	Key              string // of the workspace; never passed on
	Workspace        string // name of the workspace, for the endpoint
	ExpectedEndpoint string // ID of the endpoint that a request is meant for
	NotRun           string // set by endpoints that rejected a request without running it
	Load             string // requests running, requests waiting and slots of the endpoint
	PromptParts      string // ID:tokens of each part of the prompt, separated by commas
	CacheSource      string // address of the endpoint from which cached parts of the prompt are fetched
	LastEventID      string // of the last event received, to resume a stream
	Priority         string // 0 to 9, 0 is served first
	// Reserved headers are set by the fleet only; callers' values are dropped.
	Reserved []string
}
