package measurer

import (
	"fmt"
	"time"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/loader/generator"
)

// Timing of the engine stand-ins: an answer takes about half a second.
const (
	answerTokens   = 40
	firstTokenTime = 50 * time.Millisecond
	tokenGap       = 10 * time.Millisecond
	prefillMicros  = 40
	cacheBlocks    = 6144 // of 16 tokens
	maxConcurrency = 24
)

// poisonText crashes an engine that runs it.
const poisonText = "<crash>"

// Firm is one user's fleet.
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
	// OperationPath is a call that may not be repeated.
	OperationPath string
	Workspaces    []generator.Workspace
	// BatchWorkspace is the index of the workspace whose requests may wait.
	BatchWorkspace int
}

// FirmA returns the first user's fleet: long multilingual chats of shops.
func FirmA() Scenario {
	return Scenario{
		Name: "firmA", Region: "sk-west", FailureDomains: 3, Routers: 3, Engines: 10, Services: 3, Controls: 3,
		Model: "darn-7b", Pool: "darning", Service: "orders", OperationPath: "/refunds",
		Workspaces:     workspaces("shop", generator.Slovak, generator.Czech, generator.Hungarian),
		BatchWorkspace: 9,
	}
}

// FirmB returns the second user's fleet: translations, with archive batches that may wait.
func FirmB() Scenario {
	return Scenario{
		Name: "firmB", Region: "dar-coast", FailureDomains: 4, Routers: 3, Engines: 10, Services: 4, Controls: 3,
		Model: "label-7b", Pool: "translation", Service: "printing", OperationPath: "/orders",
		Workspaces:     workspaces("client", generator.Swahili, generator.English, generator.French),
		BatchWorkspace: 9,
	}
}

// workspaces returns ten workspaces of which a few are large.
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

func (f *Scenario) failureDomain(n int) string {
	return fmt.Sprintf("%s-%c", f.Region, 'a'+n%f.FailureDomains)
}

// bundle returns the firm's configuration.
func (f *Scenario) bundle(version uint64) *bundler.Bundle {
	b := &bundler.Bundle{
		Version: version,
		Pools: []bundler.Pool{
			{
				Name: f.Pool, Kind: bundler.PoolModel, Model: f.Model, ModelVersion: "1", MaxConcurrency: maxConcurrency,
				FirstTokenTargetMillis: 550, TokenGapTargetMillis: 29, TimeoutMillis: 30_000,
			},
			{
				Name: f.Service, Kind: bundler.PoolService, MaxConcurrency: 64, TimeoutMillis: 10_000,
				NonIdempotentPaths: []string{f.OperationPath},
			},
		},
		Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse},
	}
	for n := range f.FailureDomains {
		b.FailureDomains = append(b.FailureDomains, bundler.FailureDomain{Name: f.failureDomain(n), Region: f.Region})
	}
	for i, w := range f.Workspaces {
		priority := bundler.PriorityInteractive
		if i == f.BatchWorkspace {
			priority = bundler.PriorityBatch
		}
		b.Workspaces = append(b.Workspaces, bundler.Workspace{
			Name: w.Name, Team: "ops", KeyHashes: []string{bundler.HashKey(w.Key)}, Priority: priority,
			Pools: []string{f.Pool, f.Service}, Weight: 1,
		})
	}
	return b
}
