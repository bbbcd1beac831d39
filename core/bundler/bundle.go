package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"cactusroute.dev/core/planner"
)

// PoolKind says what the endpoints of a pool are.
type PoolKind string

const (
	// PoolModel is a pool of model engines.
	PoolModel PoolKind = "model"
	// PoolService is a pool of endpoints of a plain service.
	PoolService PoolKind = "service"
)

// Priority is the class of a workspace's requests.
type Priority string

const (
	// PriorityInteractive is served before batch.
	PriorityInteractive Priority = "interactive"
	// PriorityBatch takes the capacity that interactive requests leave, and a small guaranteed share.
	PriorityBatch Priority = "batch"
)

// QuorumLoss says what agents do while the control group has no quorum.
type QuorumLossPolicy string

const (
	// QuorumLossRefuse makes agents refuse new work, so that no failure domain taken out gets any.
	QuorumLossRefuse QuorumLossPolicy = "refuse"
	// QuorumLossServe makes agents that reach any control instance go on with their last view.
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

// FailureDomain names a set of instances that may fail together.
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
	// MaxConcurrency is the highest number of requests in flight at one endpoint.
	MaxConcurrency int `json:"maxConcurrency"`
	// FirstTokenTargetMillis is the time to the first token above which the concurrency limit stops growing.
	FirstTokenTargetMillis int `json:"firstTokenTargetMillis,omitempty"`
	// TokenGapTargetMillis is the time between tokens above which the concurrency limit stops growing.
	TokenGapTargetMillis int `json:"tokenGapTargetMillis,omitempty"`
	// TimeoutMillis bounds a request whose caller gave no deadline.
	TimeoutMillis int `json:"timeoutMillis"`
	// NonIdempotentPaths are path prefixes of a service whose calls need an idempotency key.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty"`
	// RepeatablePaths are paths of a service, each with all paths below it, whose calls the fleet may run again on its
	// own; any other call runs at most once.
	RepeatablePaths []string `json:"repeatablePaths,omitempty"`
}

// NeedsKey reports whether a call of the service's path needs an idempotency key; it ignores case, as some services do.
func (p *Pool) NeedsIdempotencyKey(path string) bool {
	return slices.ContainsFunc(p.NonIdempotentPaths, func(prefix string) bool {
		return len(path) >= len(prefix) && strings.EqualFold(path[:len(prefix)], prefix)
	})
}

// KindOf returns the kind of a call of the service's path.
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

// Workspace is one customer of the fleet.
type Workspace struct {
	Name string `json:"name"`
	// Team owns the workspace; operators of other teams can neither read nor change it.
	Team string `json:"team"`
	// KeyHashes are hexadecimal SHA-256 digests of the workspace's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	Priority  Priority `json:"priority"`
	Pools     []string `json:"pools"`
	// Weight is the workspace's share under contention, relative to other workspaces.
	Weight int `json:"weight"`
	// MaxInFlight bounds the workspace's requests in flight over the whole fleet; 0 means no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Freshness sets what happens when the control group has no quorum.
type Freshness struct {
	OnQuorumLoss QuorumLossPolicy `json:"onQuorumLoss"`
}

// HashKey returns the digest under which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
