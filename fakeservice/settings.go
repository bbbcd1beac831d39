package fakeservice

import "cactusroute.dev/adapters/configurer"

// Settings holds the settings of a service process.
type Settings struct {
	Listen      string `json:"listen"`
	DelayMillis int    `json:"delayMillis"`
	// MaxInFlight is the number of calls above which others are turned away with status 503 and RetryAfterMillis; at 0
	// none are.
	MaxInFlight      int `json:"maxInFlight,omitempty"`
	RetryAfterMillis int `json:"retryAfterMillis,omitempty"`
}

// Check returns an error if the listen address is missing or the delay is negative.
func (s *Settings) Check() error {
	if s.Listen == "" {
		return &configurer.SettingError{Field: "listen", Problem: "missing", Allowed: "host:port"}
	}
	if s.DelayMillis < 0 {
		return &configurer.SettingError{Field: "delayMillis", Problem: "negative", Allowed: "0 or more ms"}
	}
	if s.MaxInFlight < 0 || s.RetryAfterMillis < 0 {
		return &configurer.SettingError{Field: "maxInFlight, retryAfterMillis", Problem: "negative", Allowed: "0 or more"}
	}
	return nil
}
