package router

import (
	"errors"

	"cactusroute.dev/adapters/configurer"
)

// Defaults and limits of the settings.
const (
	// defaultMaxConcurrent is 250 times the mean of 16 requests in flight at each of 400 routers with 6,400 requests/s
	// of 1 s each.
	defaultMaxConcurrent = 4000
	// defaultDrainNoticeMillis is longer than the usual health check interval of load balancers.
	defaultDrainNoticeMillis = 2000
	maxDrainNoticeMillis     = 60_000
	maxMaxConcurrent         = 100_000
)

// Settings are the settings of a router process.
type Settings struct {
	Place configurer.Place `json:"place"`
	// Listen is the host:port for callers, health checks and metrics.
	Listen   string         `json:"listen"`
	Controls []string       `json:"controls"`
	TLS      configurer.TLS `json:"tls"`
	// Machine bounds what the process holds for its callers.
	Machine configurer.Machine `json:"machine,omitzero"`
	// MaxConcurrent limits the requests in flight at this router; 0 means 4000.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// DrainNoticeMillis is the time at shutdown between reporting not ready and closing the listener; 0 means 2000.
	DrainNoticeMillis int `json:"drainNoticeMillis,omitempty"`
}

// ProcessName returns the process name used in log lines.
func (s *Settings) ProcessName() string { return s.Place.Name }

// Check returns an error that lists the missing and invalid settings.
func (s *Settings) Check() error {
	errs := []error{s.Place.Check(), s.Machine.Check()}
	if s.Listen == "" {
		errs = append(errs, &configurer.SettingError{Field: "listen", Problem: "missing", Allowed: "host:port"})
	}
	if len(s.Controls) == 0 {
		errs = append(errs, &configurer.SettingError{Field: "controls", Problem: "missing", Allowed: "a list of host:port"})
	}
	if s.MaxConcurrent < 0 || s.MaxConcurrent > maxMaxConcurrent {
		errs = append(errs, &configurer.SettingError{Field: "maxConcurrent", Problem: "out of range", Allowed: "0 to 100000"})
	}
	if s.DrainNoticeMillis < 0 || s.DrainNoticeMillis > maxDrainNoticeMillis {
		errs = append(errs,
			&configurer.SettingError{Field: "drainNoticeMillis", Problem: "out of range", Allowed: "0 to 60000"})
	}
	return errors.Join(errs...)
}

func (s *Settings) setDefaults() {
	if s.MaxConcurrent == 0 {
		s.MaxConcurrent = defaultMaxConcurrent
	}
	if s.DrainNoticeMillis == 0 {
		s.DrainNoticeMillis = defaultDrainNoticeMillis
	}
}
