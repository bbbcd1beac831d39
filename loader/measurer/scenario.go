package measurer

import (
	"fmt"
	"time"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/loader/generator"
)

// Settings of the fake engines, with which a response takes about half a second.
const (
	responseTokens        = 40
	firstTokenDelay       = 50 * time.Millisecond
	tokenGap              = 10 * time.Millisecond
	prefillMicrosPerToken = 40
	cacheBlocks           = 6144 // of 16 tokens each
	maxConcurrency        = 24
)

// poisonText in a message crashes the engine that processes it.
const poisonText = "<crash>"

// Scenario is the fleet and the workload of one user firm.
type Scenario struct {
	Name           string
	Region         string
	FailureDomains int
	Routers        int
	Engines        int
	Services       int
	Controls       int
	Model          string
	Pool           string
	Service        string
	// OperationPath is the path of a non-idempotent operation of the service.
	OperationPath string
	Workspaces    []generator.Workspace
	// BatchWorkspace is the index of the workspace with batch priority.
	BatchWorkspace int
}

// FirmA returns the scenario of the first firm: long multilingual chats of shops.
func FirmA() Scenario {
	return Scenario{
		Name: "firmA", Region: "sk-west", FailureDomains: 3, Routers: 3, Engines: 10, Services: 3, Controls: 3,
		Model: "darn-7b", Pool: "darning", Service: "orders", OperationPath: "/refunds",
		Workspaces:     workspaces("shop", generator.Slovak, generator.Czech, generator.Hungarian),
		BatchWorkspace: 9,
	}
}

// FirmB returns the scenario of the second firm: translations, with batches from an archive that may be queued.
func FirmB() Scenario {
	return Scenario{
		Name: "firmB", Region: "dar-coast", FailureDomains: 4, Routers: 3, Engines: 10, Services: 4, Controls: 3,
		Model: "label-7b", Pool: "translation", Service: "printing", OperationPath: "/orders",
		Workspaces:     workspaces("client", generator.Swahili, generator.English, generator.French),
		BatchWorkspace: 9,
	}
}

// workspaces returns ten workspaces with unequal shares of the chats.
func workspaces(prefix string, languages ...generator.Language) []generator.Workspace {
	shares := []float64{0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}
	list := make([]generator.Workspace, 0, len(shares))
	for i, share := range shares {
		name := fmt.Sprintf("%s-%d", prefix, i)
		list = append(list, generator.Workspace{
			Name: name, Key: "key-" + name, Language: languages[i%len(languages)], Share: share,
		})
	}
	return list
}

func (s *Scenario) failureDomain(n int) string {
	return fmt.Sprintf("%s-%c", s.Region, 'a'+n%s.FailureDomains)
}

// bundle returns the configuration of the scenario's fleet.
func (s *Scenario) bundle(version uint64) *bundler.Bundle {
	b := &bundler.Bundle{
		Version: version,
		Pools: []bundler.Pool{
			{
				Name: s.Pool, Kind: bundler.PoolModel, Model: s.Model, ModelVersion: "1", MaxConcurrency: maxConcurrency,
				FirstTokenTargetMillis: 550, TokenGapTargetMillis: 29, TimeoutMillis: 30_000,
			},
			{
				Name: s.Service, Kind: bundler.PoolService, MaxConcurrency: 64, TimeoutMillis: 10_000,
				NonIdempotentPaths: []string{s.OperationPath},
			},
		},
		Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse},
	}
	for n := range s.FailureDomains {
		b.FailureDomains = append(b.FailureDomains, bundler.FailureDomain{Name: s.failureDomain(n), Region: s.Region})
	}
	for i, w := range s.Workspaces {
		priority := bundler.PriorityInteractive
		if i == s.BatchWorkspace {
			priority = bundler.PriorityBatch
		}
		b.Workspaces = append(b.Workspaces, bundler.Workspace{
			Name: w.Name, Team: "ops", KeyHashes: []string{bundler.HashKey(w.Key)}, Priority: priority,
			Pools: []string{s.Pool, s.Service}, Weight: 1,
		})
	}
	return b
}
