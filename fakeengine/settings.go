package fakeengine

import (
	"errors"
	"time"

	"cactusroute.dev/adapters/configurer"
)

// Settings holds the settings of an engine process; Config describes the fields.
type Settings struct {
	Listen                string    `json:"listen"`
	Model                 string    `json:"model"`
	ModelVersion          string    `json:"modelVersion,omitempty"`
	NeedsCommand          bool      `json:"needsCommand,omitempty"`
	FirstTokenMillis      int       `json:"firstTokenMillis"`
	TokenGapMillis        int       `json:"tokenGapMillis"`
	Tokens                int       `json:"tokens"`
	PrefillMicrosPerToken int       `json:"prefillMicrosPerToken,omitempty"`
	BatchSlope            float64   `json:"batchSlope,omitempty"`
	MaxBatch              int       `json:"maxBatch,omitempty"`
	CacheBlocks           int       `json:"cacheBlocks,omitempty"`
	ColdCompletions       int       `json:"coldCompletions,omitempty"`
	ColdCapacity          int       `json:"coldCapacity,omitempty"`
	ColdFactor            float64   `json:"coldFactor,omitempty"`
	EventDelayMillis      int       `json:"eventDelayMillis,omitempty"`
	EventGap              int       `json:"eventGap,omitempty"`
	LoadLagMillis         int       `json:"loadLagMillis,omitempty"`
	RestartMillis         int       `json:"restartMillis,omitempty"`
	LoadMillis            int       `json:"loadMillis,omitempty"`
	Fence                 FenceMode `json:"fence,omitempty"`
	MaxInFlight           int       `json:"maxInFlight,omitempty"`
	RetryAfterMillis      int       `json:"retryAfterMillis,omitempty"`
}

// Check returns an error for each missing or invalid value.
func (s *Settings) Check() error {
	var errs []error
	for _, f := range []struct {
		field   string
		ok      bool
		allowed string
	}{
		{"listen", s.Listen != "", "host:port"},
		{"firstTokenMillis", s.FirstTokenMillis >= 0, "0 or more ms"},
		{"tokenGapMillis", s.TokenGapMillis >= 0, "0 or more ms"},
		{"tokens", s.Tokens >= 0, "0 or more"},
		{"maxInFlight", s.MaxInFlight >= 0, "0 or more"},
		{"retryAfterMillis", s.RetryAfterMillis >= 0, "0 or more ms"},
		{"fence", s.Fence == "" || s.Fence == FenceRefuse || s.Fence == FenceIgnore, "refuse, ignore"},
	} {
		if !f.ok {
			errs = append(errs, &configurer.SettingError{Field: f.field, Problem: "missing or invalid", Allowed: f.allowed})
		}
	}
	return errors.Join(errs...)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Config returns the engine's configuration.
func (s *Settings) Config() Config {
	return Config{
		Model: s.Model, ModelVersion: s.ModelVersion, NeedsCommand: s.NeedsCommand, Tokens: s.Tokens,
		FirstToken: millis(s.FirstTokenMillis), TokenGap: millis(s.TokenGapMillis),
		PrefillPerToken: time.Duration(s.PrefillMicrosPerToken) * time.Microsecond,
		BatchSlope:      s.BatchSlope, MaxBatch: s.MaxBatch, CacheBlocks: s.CacheBlocks,
		ColdCompletions: s.ColdCompletions, ColdCapacity: s.ColdCapacity, ColdFactor: s.ColdFactor,
		EventDelay: millis(s.EventDelayMillis), EventGap: s.EventGap, LoadLag: millis(s.LoadLagMillis),
		RestartTime: millis(s.RestartMillis), LoadTime: millis(s.LoadMillis), Fence: s.Fence,
		MaxInFlight: s.MaxInFlight, RetryAfter: millis(s.RetryAfterMillis),
	}
}
