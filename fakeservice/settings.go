package fakeservice

import "cactusroute.dev/adapters/configurer"

// Settings holds the settings of a service process.
type Settings struct {
	Listen      string `json:"listen"`
	DelayMillis int    `json:"delayMillis"`
}

// Check returns an error if the listen address is missing or the delay is negative.
func (s *Settings) Check() error {
	if s.Listen == "" {
		return &configurer.SettingError{Field: "listen", Problem: "missing", Allowed: "host:port"}
	}
	if s.DelayMillis < 0 {
		return &configurer.SettingError{Field: "delayMillis", Problem: "negative", Allowed: "0 or more ms"}
	}
	return nil
}
