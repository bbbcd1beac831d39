package agent

import (
	"errors"
	"net/url"

	"cactusroute.dev/adapters/configurer"
)

// Settings are the settings of an agent process.
type Settings struct {
	Place configurer.Place `json:"place"`
	// Listen is the host:port for routers, health checks and metrics.
	Listen string `json:"listen"`
	// Advertise is the host:port that routers use; empty means Listen.
	Advertise string `json:"advertise,omitempty"`
	// Endpoint is the base URL of the engine or service.
	Endpoint string         `json:"endpoint"`
	Pool     string         `json:"pool"`
	Controls []string       `json:"controls"`
	TLS      configurer.TLS `json:"tls"`
	// Machine bounds what the process holds for its callers.
	Machine configurer.Machine `json:"machine,omitzero"`
}

// ProcessName returns the process name used in log lines.
func (s *Settings) ProcessName() string { return s.Place.Name }

// Check returns an error for missing or invalid values.
func (s *Settings) Check() error {
	errs := []error{s.Place.Check(), s.Machine.Check()}
	for _, f := range []struct {
		field string
		ok    bool
	}{
		{"listen", s.Listen != ""}, {"endpoint", s.Endpoint != ""}, {"pool", s.Pool != ""},
		{"controls", len(s.Controls) > 0},
	} {
		if !f.ok {
			errs = append(errs, &configurer.SettingError{Field: f.field, Problem: "missing", Allowed: "a value"})
		}
	}
	if u, err := url.Parse(s.Endpoint); s.Endpoint != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		errs = append(errs, &configurer.SettingError{
			Field: "endpoint", Problem: "not a base URL", Allowed: "http://host:port",
		})
	}
	return errors.Join(errs...)
}
