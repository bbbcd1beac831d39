package fakeengine

import (
	"cmp"
	"time"
)

// Defaults of a configuration.
const (
	defaultMaxBatch        = 64
	defaultCacheBlocks     = 4096
	defaultColdFactor      = 3
	defaultCrashMarker     = "<crash>"
	defaultKVBytesPerToken = 128 << 10 // of a 7B model with grouped-query attention
)

// collapseFactor slows every request down while a cold engine holds more than it bears.
const coldOverloadFactor = 10

// FenceMode says what the engine does with commands that carry an old fencing number.
type FenceMode string

// Modes of fencing.
const (
	FenceRefuse FenceMode = "refuse"
	FenceIgnore FenceMode = "ignore"
)

// Config sets the timing and the limits of an engine; zero values mean the defaults, and no cold state.
type Config struct {
	Model        string
	ModelVersion string
	// NeedsCommand starts the engine without a model, as after a crash, until a command loads one.
	NeedsCommand bool
	// FirstToken and TokenGap are the times to the first token and between tokens of a request that runs alone.
	FirstToken time.Duration
	TokenGap   time.Duration
	// PrefillPerToken is added to FirstToken for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// BatchSlope is the growth of TokenGap for each further request in the batch, for example 0.02.
	BatchSlope float64
	// Tokens is the length of an answer.
	Tokens   int
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens.
	CacheBlocks int
	// KVBytesPerToken is the size of exported cache as the engine states it.
	KVBytesPerToken int
	// ColdCompletions is how many completions end the cold state; 0 means that the engine is never cold.
	ColdCompletions int
	// ColdCapacity plus the completions so far is what a cold engine bears; 0 means 1.
	ColdCapacity int
	// ColdFactor multiplies all times while cold.
	ColdFactor float64
	// EventDelay is the lag of cache events; each EventGap-th one is lost.
	EventDelay time.Duration
	EventGap   int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// RestartTime is how long connections are refused after a crash; LoadTime is the time to load a model.
	RestartTime time.Duration
	LoadTime    time.Duration
	Fence       FenceMode
	// CrashMarker in a prompt crashes the engine.
	CrashMarker string
}

func (c Config) withDefaults() Config {
	c.MaxBatch = cmp.Or(c.MaxBatch, defaultMaxBatch)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, defaultCacheBlocks)
	c.ColdFactor = cmp.Or(c.ColdFactor, defaultColdFactor)
	c.ColdCapacity = cmp.Or(c.ColdCapacity, 1)
	c.CrashMarker = cmp.Or(c.CrashMarker, defaultCrashMarker)
	c.Fence = cmp.Or(c.Fence, FenceRefuse)
	c.KVBytesPerToken = cmp.Or(c.KVBytesPerToken, defaultKVBytesPerToken)
	return c
}
