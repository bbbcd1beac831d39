package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"cactusroute.dev/core/planner"
)

// PoolKind is the type of the endpoints of a pool.
type PoolKind string

const (
	// PoolModel is a pool of model engines.
	PoolModel PoolKind = "model"
	// PoolService is a pool of endpoints of a plain service.
	PoolService PoolKind = "service"
)

// Priority is the scheduling class of a workspace's requests.
type Priority string

const (
	// PriorityInteractive requests are served before batch requests.
	PriorityInteractive Priority = "interactive"
	// PriorityBatch requests get the capacity left by interactive requests, and a small guaranteed share.
	PriorityBatch Priority = "batch"
)

// QuorumLossPolicy determines whether new requests are accepted while the control group has no quorum.
type QuorumLossPolicy string

const (
	// QuorumLossRefuse makes agents refuse new requests, so that no failure domain taken out of service gets any.
	QuorumLossRefuse QuorumLossPolicy = "refuse"
	// QuorumLossServe makes agents that can reach any control instance continue with their last view.
	QuorumLossServe QuorumLossPolicy = "serve"
)

// Bundle is one version of the fleet's configuration.
type Bundle struct {
	Version        uint64          `json:"version"`
	FailureDomains []FailureDomain `json:"failureDomains"`
	Pools          []Pool          `json:"pools"`
	Workspaces     []Workspace     `json:"workspaces"`
	Freshness      Freshness       `json:"freshness"`
}

// FailureDomain is a set of instances that may fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Pool is a set of endpoints that serve one model or one service.
type Pool struct {
	Name         string   `json:"name"`
	Kind         PoolKind `json:"kind"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"modelVersion,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	// MaxConcurrency bounds the requests in flight at one endpoint.
	MaxConcurrency int `json:"maxConcurrency"`
	// FirstTokenTargetMillis is the time to the first token above which the concurrency limit stops growing.
	FirstTokenTargetMillis int `json:"firstTokenTargetMillis,omitempty"`
	// TokenGapTargetMillis is the time between tokens above which the concurrency limit stops growing.
	TokenGapTargetMillis int `json:"tokenGapTargetMillis,omitempty"`
	// TimeoutMillis is the timeout of a request without a deadline from the caller.
	TimeoutMillis int `json:"timeoutMillis"`
	// NonIdempotentPaths are path prefixes of a service whose requests need an idempotency key.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty"`
	// RepeatablePaths are paths of a service, including all paths below each, whose requests the fleet may retry by
	// itself; any other request runs at most once.
	RepeatablePaths []string `json:"repeatablePaths,omitempty"`
}

// NeedsIdempotencyKey reports whether requests for the path of a service need an idempotency key. It ignores case, as
// some services do.
func (p *Pool) NeedsIdempotencyKey(path string) bool {
	return slices.ContainsFunc(p.NonIdempotentPaths, func(prefix string) bool {
		return len(path) >= len(prefix) && strings.EqualFold(path[:len(prefix)], prefix)
	})
}

// RequestKind returns the kind of requests for the path of a service.
func (p *Pool) RequestKind(path string) planner.Kind {
	isAtOrBelow := func(parent string) bool {
		rest, ok := strings.CutPrefix(path, strings.TrimSuffix(parent, "/"))
		return ok && (rest == "" || rest[0] == '/')
	}
	if !p.NeedsIdempotencyKey(path) && slices.ContainsFunc(p.RepeatablePaths, isAtOrBelow) {
		return planner.KindRepeatable
	}
	return planner.KindOnce
}

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name string `json:"name"`
	// Team owns the workspace; operators of other teams can neither read nor change it.
	Team string `json:"team"`
	// KeyHashes are hexadecimal SHA-256 digests of the workspace's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	Priority  Priority `json:"priority"`
	Pools     []string `json:"pools"`
	// Weight is the workspace's share of capacity under contention, relative to other workspaces.
	Weight int `json:"weight"`
	// MaxInFlight bounds the workspace's requests in flight in the entire fleet; 0 means no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Freshness configures how the fleet operates while the control group has no quorum.
type Freshness struct {
	OnQuorumLoss QuorumLossPolicy `json:"onQuorumLoss"`
}

// HashKey returns the hexadecimal SHA-256 digest under which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
