package fakeengine

import (
	"cmp"
	"time"
)

// Default values of Config.
const (
	defaultMaxBatch        = 64
	defaultCacheBlocks     = 4096
	defaultColdFactor      = 3
	defaultCrashMarker     = "<crash>"
	defaultKVBytesPerToken = 128 << 10 // of a 7B model with grouped-query attention
)

// coldOverloadFactor multiplies all times while a cold engine has more requests in flight than its cold capacity.
const coldOverloadFactor = 10

// FenceMode selects how the engine handles commands with an old fencing number.
type FenceMode string

// Fencing modes.
const (
	FenceRefuse FenceMode = "refuse" // commands with an old number fail
	FenceIgnore FenceMode = "ignore" // the number is not checked
)

// Config sets the timing and the limits of an engine; a zero value selects the default.
type Config struct {
	Model        string
	ModelVersion string
	// NeedsCommand starts the engine without a model, as after a crash, until a command loads one.
	NeedsCommand bool
	// FirstToken and TokenGap are the times to the first token and between tokens for a batch of one request.
	FirstToken time.Duration
	TokenGap   time.Duration
	// PrefillPerToken is added to FirstToken for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// BatchSlope is the relative growth of TokenGap per additional request in the batch, for example 0.02.
	BatchSlope float64
	// Tokens is the number of tokens in a full response.
	Tokens   int
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens.
	CacheBlocks int
	// KVBytesPerToken is the size that the engine reports per token of an exported cache.
	KVBytesPerToken int
	// ColdCompletions is the number of completions that end the cold state; at 0 the engine is never cold.
	ColdCompletions int
	// ColdCapacity plus the completions in the cold state is the number of requests in flight that do not overload a
	// cold engine; the default is 1.
	ColdCapacity int
	// ColdFactor multiplies all times while cold.
	ColdFactor float64
	// EventDelay is the lag of cache events. One of every EventGap events is lost; at 0 none is.
	EventDelay time.Duration
	EventGap   int
	// LoadLag is the minimum age of the sample in a load report.
	LoadLag time.Duration
	// RestartTime is how long connections are reset after a crash; LoadTime is the time to load a model.
	RestartTime time.Duration
	LoadTime    time.Duration
	Fence       FenceMode
	// MaxInFlight is the number of requests above which others are turned away with status 503 and Retry-After; at 0 none
	// are. RetryAfter is the time that it names.
	MaxInFlight int
	RetryAfter  time.Duration
	// CrashMarker is a text that crashes the engine if the last message contains it.
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
