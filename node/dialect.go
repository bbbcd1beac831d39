package node

import (
	"net/http"

	"cactusroute.dev/core/planner"
)

// Dialect is the protocol between a node and its callers, endpoints and operators.
type Dialect struct {
	Headers Headers
	// DecodePlan parses a plan; it returns a *planner.InvalidError if the plan can't be put in force.
	DecodePlan func(content []byte) (*planner.Plan, error)
	// Control returns the handler of requests of operators and endpoints.
	Control func(Control) http.Handler
}

// Headers are the canonical names of request and response headers.
type Headers struct {
	RequestID        string // echoed by endpoints
	RemainingMillis  string // time until the deadline
	Key              string // API key of the workspace; never forwarded
	Workspace        string // name of the workspace, set for endpoints
	ExpectedEndpoint string // ID of the endpoint that the request is sent to
	NotRun           string // set by endpoints that rejected a request without executing it
	Load             string // running and waiting requests, slots and pace in percent of the endpoint, separated by commas
	RateLimit        string // requests per second that the endpoint takes from all nodes together
	Leaving          string // 1 in the responses of an endpoint that takes no more requests
	TokenCounts      string // tokens of the prompt and the maximum of the output, separated by a comma
	PromptParts      string // ID:tokens of each part of the prompt, separated by commas
	CacheSource      string // address of the endpoint from which to fetch cached parts of the prompt
	LastEventID      string // of the last event received, to resume a stream
	Resumes          string // ID of the request that brought the first event of a stream that is resumed
	Priority         string // 0 to 9, 0 is served first
	// Reserved headers are removed from the requests of callers.
	Reserved []string
}
