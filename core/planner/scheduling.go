package planner

// heavyCacheTokenBytes is the size of a cached token from which the engines of a service count as heavy: the prompts of
// such models are slow to compute and their caches dear to move, so that it matters where each request goes.
const heavyCacheTokenBytes = 64 << 10

// Scheduling selects how requests are weighed under load.
type Scheduling string

// The values of Scheduling.
const (
	// SchedulingDerived is SchedulingDemand without Queues for a plan with heavy engines, else SchedulingCount.
	SchedulingDerived Scheduling = ""
	// SchedulingCount compares endpoints by their numbers of requests.
	SchedulingCount Scheduling = "count"
	// SchedulingDemand adds the decisions of LoadPolicy.
	SchedulingDemand Scheduling = "demand"
)

// LoadPolicy holds the decisions under load that are in force beyond the load bound.
type LoadPolicy struct {
	Shares    bool // fair shares of workspaces, and the order of refusals
	Pace      bool // work and speed of endpoints in place of numbers of requests
	Queues    bool // an order of waiting shared by the routers before a small service
	Domains   bool // the price of leaving the failure domain
	Copies    bool // copies of prompt parts that many requests share
	Reachable bool // endpoints that another router could not reach
}

// LoadPolicy returns the decisions under load that the plan calls for.
func (p *Plan) LoadPolicy() LoadPolicy {
	isOn := p.Scheduling == SchedulingDemand
	for i := range p.Services {
		s := &p.Services[i]
		isOn = isOn || p.Scheduling == SchedulingDerived && s.Engine && s.CacheTokenBytes >= heavyCacheTokenBytes
	}
	return LoadPolicy{Shares: isOn, Pace: isOn, Queues: isOn && p.Scheduling == SchedulingDemand, Domains: isOn,
		Copies: isOn, Reachable: isOn}
}

// MaxScheduledEndpoints is the number of endpoints up to which the decisions of LoadPolicy are in force. Their cost
// grows with it: with 3,000 endpoints, routers with a tenth of a core had no time left for requests.
const MaxScheduledEndpoints = 1500

// For returns the decisions that are in force with a number of endpoints.
func (p LoadPolicy) For(endpoints int) LoadPolicy {
	if endpoints > MaxScheduledEndpoints {
		return LoadPolicy{}
	}
	return p
}

// LoadPolicyNames are the names of the decisions of LoadPolicy in settings.
func LoadPolicyNames() []string {
	return []string{"shares", "pace", "queues", "domains", "copies", "reachable"}
}

// Without returns the policy without a named decision; ok is false if there is no decision of that name.
func (p LoadPolicy) Without(name string) (_ LoadPolicy, ok bool) {
	switch name {
	case "shares":
		p.Shares = false
	case "pace":
		p.Pace = false
	case "queues":
		p.Queues = false
	case "domains":
		p.Domains = false
	case "copies":
		p.Copies = false
	case "reachable":
		p.Reachable = false
	default:
		return p, false
	}
	return p, true
}
