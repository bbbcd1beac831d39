package requester

import (
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

// List is a response with a list of items.
type List[T any] struct {
	Items []T `json:"items"`
}

// Bundle is a response about one bundle version.
type Bundle struct {
	Bundle      *applier.BundleRecord `json:"bundle,omitempty"`
	Content     *bundler.Bundle       `json:"content,omitempty"`
	Differences []bundler.Difference  `json:"differences,omitempty"`
	Digest      string                `json:"digest,omitempty"`
	Index       uint64                `json:"index,omitempty"`
}

// ServiceChange is the response to a change of a service state.
type ServiceChange struct {
	Index    uint64 `json:"index"`
	InFlight int    `json:"inFlight"`
}

// Status is the state of the fleet as one control instance sees it.
type Status struct {
	Control        Membership      `json:"control"`
	Index          uint64          `json:"index"`
	BundleVersion  uint64          `json:"bundleVersion"`
	FailureDomains []FailureDomain `json:"failureDomains"`
	Endpoints      []Endpoint      `json:"endpoints"`
	Processes      ProcessVersions `json:"processes"`
}

// Membership is the Raft group of the control instances as one of them sees it.
type Membership struct {
	Name    string   `json:"name"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []Member `json:"members"`
}

// Member is one control instance.
type Member struct {
	Name    string `json:"name"`
	Learner bool   `json:"learner,omitempty"`
	Match   uint64 `json:"match,omitempty"`
}

// FailureDomain is the service state of a failure domain and its number of requests in flight.
type FailureDomain struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"outOfService"`
	InFlight     int    `json:"inFlight"`
}

// Endpoint is the state of an endpoint and its number of requests in flight.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	OutOfService  bool   `json:"outOfService"`
	Leaving       bool   `json:"leaving"`
	Lost          bool   `json:"lost"`
	Damped        bool   `json:"damped"`
	InFlight      int    `json:"inFlight"`
}

// ProcessVersions counts the connected processes by bundle version.
type ProcessVersions struct {
	InForce  map[uint64]int `json:"inForce"`
	Laggards []string       `json:"laggards"`
}

// Process is a connected router or agent.
type Process struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Control       string `json:"control"`
	Index         uint64 `json:"index"`
	BundleVersion uint64 `json:"bundleVersion"`
}
