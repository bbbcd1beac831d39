package node

import (
	"cmp"
	"errors"
	"strings"
	"time"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/rollouter"
)

// Default values of the settings.
const (
	defaultHeartbeatMillis    = 1000
	defaultGraceMillis        = 8000
	defaultBudgetRatio        = 0.2
	defaultBudgetSlack        = 100
	defaultBudgetWindowMillis = 10_000
	defaultColdOver           = 1.5
	defaultColdSlack          = 5
	defaultLoadOver           = 2
	defaultLoadSlack          = 3
	defaultMinVoters          = 1
	defaultEventBytes         = 256 << 10
	defaultRoundTripMillis    = 3
	defaultMegabyteMillis     = 100
)

// Settings are the settings of a node.
type Settings struct {
	Place  configurer.Place `json:"place"`
	Listen Listen           `json:"listen"`
	// Machine bounds what the process holds for its callers.
	Machine configurer.Machine `json:"machine,omitzero"`
	// Seeds are the host:port of the exchange of some other nodes; they may be outdated.
	Seeds []string `json:"seeds"`
	// FirstStart is true while the whole fleet starts for the first time, with empty disks.
	FirstStart bool `json:"firstStart,omitempty"`
	// DataFolder holds the consensus log; a node without one does not vote.
	DataFolder string `json:"dataFolder,omitempty"`
	// MinVoters is the number of voters required to tolerate the intended failures; with fewer, no command is accepted.
	MinVoters int `json:"minVoters,omitempty"`
	// HeartbeatMillis is the interval at which endpoints send heartbeats.
	HeartbeatMillis int `json:"heartbeatMillis,omitempty"`
	// GraceMillis is the time between the signal to stop and the forced end of the process.
	GraceMillis int `json:"graceMillis,omitempty"`
	// RetryBudget bounds the retries of all nodes together.
	RetryBudget RetryBudget `json:"retryBudget,omitzero"`
	// Load bounds the requests in flight at one endpoint, summed over all nodes.
	Load LoadLimits `json:"load,omitzero"`
	// Domains states what a request costs that leaves its failure domain; 0 means the default.
	Domains chooser.DomainPrices `json:"domains,omitzero"`
	// Rollouts bound what endpoints of a new software version get before it is judged.
	Rollouts rollouter.Limits `json:"rollouts,omitzero"`
	// BodyMemoryBytes bounds the bodies of all requests in progress together.
	BodyMemoryBytes int64 `json:"bodyMemoryBytes,omitempty"`
	// EndpointLimits bound what an endpoint may send in one exchange.
	EndpointLimits EndpointLimits `json:"endpointLimits,omitzero"`
	// SchedulingOff names decisions of planner.LoadPolicy that this node does not take, whatever the plan calls for.
	SchedulingOff []string `json:"schedulingOff,omitempty"`
}

// Listen holds the host:port of each interface; an empty one disables the interface. The exchange is required.
type Listen struct {
	Front    string `json:"front,omitempty"`   // callers
	Ready    string `json:"ready,omitempty"`   // readiness checks
	Control  string `json:"control,omitempty"` // operators and endpoints
	Exchange string `json:"exchange"`          // other nodes
	// Advertise is the host:port at which other nodes reach the exchange; it defaults to Exchange.
	Advertise string `json:"advertise,omitempty"`
	Metrics   string `json:"metrics,omitempty"`
}

// RetryBudget allows Ratio times the first attempts for a service plus Slack retries in each window.
type RetryBudget struct {
	Ratio        float64 `json:"ratio"`
	Slack        float64 `json:"slack"`
	WindowMillis int     `json:"windowMillis"`
}

// LoadLimits are the settings of chooser.Limits.
type LoadLimits struct {
	ColdOver  float64 `json:"coldOver"`
	ColdSlack float64 `json:"coldSlack"`
	LoadOver  float64 `json:"loadOver"`
	LoadSlack float64 `json:"loadSlack"`
}

// EndpointLimits bound the responses of endpoints; an exchange beyond a bound ends.
type EndpointLimits struct {
	forwarder.Limits

	// EventBytes bounds one event of a stream.
	EventBytes int64 `json:"eventBytes,omitempty"`
}

// ProcessName returns the process name in log lines.
func (s *Settings) ProcessName() string { return s.Place.Name }

// Check sets the defaults and returns an error for missing and invalid values.
func (s *Settings) Check() error {
	s.setDefaults()
	errs := []error{s.Place.Check(), s.Machine.Check()}
	if s.Listen.Exchange == "" {
		errs = append(errs, &configurer.SettingError{Field: "listen/exchange", Problem: "missing", Allowed: "host:port"})
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"minVoters", float64(s.MinVoters)}, {"heartbeatMillis", float64(s.HeartbeatMillis)},
		{"graceMillis", float64(s.GraceMillis)}, {"retryBudget/windowMillis", float64(s.RetryBudget.WindowMillis)},
		{"load/coldOver", s.Load.ColdOver}, {"load/loadOver", s.Load.LoadOver},
		{"domains/roundTripMillis", s.Domains.RoundTripMillis}, {"domains/megabyteMillis", s.Domains.MegabyteMillis},
		{"endpointLimits/headBytes", float64(s.EndpointLimits.HeadBytes)},
		{"endpointLimits/headerFields", float64(s.EndpointLimits.HeaderFields)},
		{"endpointLimits/informationalResponses", float64(s.EndpointLimits.InformationalResponses)},
		{"endpointLimits/skippedResponses", float64(s.EndpointLimits.SkippedResponses)},
		{"endpointLimits/skippedBodyBytes", float64(s.EndpointLimits.SkippedBodyBytes)},
		{"endpointLimits/bodyBytes", float64(s.EndpointLimits.BodyBytes)},
		{"endpointLimits/chunkLineBytes", float64(s.EndpointLimits.ChunkLineBytes)},
		{"endpointLimits/trailerBytes", float64(s.EndpointLimits.TrailerBytes)},
		{"endpointLimits/eventBytes", float64(s.EndpointLimits.EventBytes)},
	} {
		if f.value <= 0 {
			errs = append(errs, &configurer.SettingError{Field: f.field, Problem: "out of range", Allowed: "above 0"})
		}
	}
	if !s.Rollouts.IsValid() {
		errs = append(errs, &configurer.SettingError{Field: "rollouts", Problem: "out of range", Allowed: "share up to 1"})
	}
	if s.RetryBudget.Ratio < 0 || s.RetryBudget.Slack < 0 || s.Load.ColdSlack < 0 || s.Load.LoadSlack < 0 ||
		s.BodyMemoryBytes < 0 {
		errs = append(errs, &configurer.SettingError{Field: "retryBudget", Problem: "negative", Allowed: "0 or more"})
	}
	for _, name := range s.SchedulingOff {
		if _, ok := (planner.LoadPolicy{}).Without(name); !ok {
			errs = append(errs, &configurer.SettingError{Field: "schedulingOff", Problem: "unknown name " + name,
				Allowed: strings.Join(planner.LoadPolicyNames(), ", ")})
		}
	}
	return errors.Join(errs...)
}

// loadPolicy returns the decisions under load that the plan calls for and the settings leave on.
func (s *Settings) loadPolicy(plan *planner.Plan) (policy planner.LoadPolicy) {
	if plan != nil {
		policy = plan.LoadPolicy()
	}
	for _, name := range s.SchedulingOff {
		policy, _ = policy.Without(name)
	}
	return policy
}

func (s *Settings) setDefaults() {
	s.Listen.Advertise = cmp.Or(s.Listen.Advertise, s.Listen.Exchange)
	s.MinVoters = cmp.Or(s.MinVoters, defaultMinVoters)
	s.HeartbeatMillis = cmp.Or(s.HeartbeatMillis, defaultHeartbeatMillis)
	s.GraceMillis = cmp.Or(s.GraceMillis, defaultGraceMillis)
	s.RetryBudget = cmp.Or(s.RetryBudget,
		RetryBudget{Ratio: defaultBudgetRatio, Slack: defaultBudgetSlack, WindowMillis: defaultBudgetWindowMillis})
	s.Load = cmp.Or(s.Load, LoadLimits{
		ColdOver: defaultColdOver, ColdSlack: defaultColdSlack, LoadOver: defaultLoadOver, LoadSlack: defaultLoadSlack,
	})
	s.Domains.RoundTripMillis = cmp.Or(s.Domains.RoundTripMillis, defaultRoundTripMillis)
	s.Domains.MegabyteMillis = cmp.Or(s.Domains.MegabyteMillis, defaultMegabyteMillis)
	s.EndpointLimits.Limits = s.EndpointLimits.WithDefaults()
	s.EndpointLimits.EventBytes = cmp.Or(s.EndpointLimits.EventBytes, defaultEventBytes)
}

func (s *Settings) chooserLimits() chooser.Limits {
	l := &s.Load
	return chooser.Limits{ColdFactor: l.ColdOver, ColdSlack: l.ColdSlack, LoadFactor: l.LoadOver, LoadSlack: l.LoadSlack,
		HeartbeatInterval: time.Duration(s.HeartbeatMillis) * time.Millisecond, Domains: s.Domains, Rollouts: s.Rollouts}
}
