package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

const (
	// seekInterval is the pause between two attempts to find a control instance.
	discoveryInterval = 200 * time.Millisecond

	// expireInterval is how often heartbeats, connections and subscriptions are checked.
	expiryInterval = 500 * time.Millisecond

	// shareInterval is how often a control instance adds up the requests of all routers.
	loadAggregationInterval = 50 * time.Millisecond

	// hubFor is how long a control instance counts as having a majority after its last beat that said so.
	quorateTimeout = 1500 * time.Millisecond

	// forgetHubAfter is how long a control instance is tried that no other one names.
	instanceRetention = time.Minute

	// routersFor is how long the highest number of routers counts, because those that are cut off still send.
	routerCountWindow = 15 * time.Second

	// inviteFor is how long a router is looked for that was attached once: its own list of others may be useless.
	lostSubscriberRetention = 5 * time.Minute

	// homeAfter is how long a subscription in another failure domain is kept when one in the own domain is possible.
	failbackDelay = 5 * time.Second

	// convictAt is the number of endpoint starts that broke off under the same request after which it is refused.
	convictionThreshold = 3

	// suspectFor is how long a broken-off request counts.
	suspectRetention = 5 * time.Minute

	// maxSuspects bounds the requests that are remembered because an endpoint broke off.
	maxSuspects = 20_000
)

// knownHub is a control instance.
type knownInstance struct {
	exchanger.Contact
	seenAt     time.Time       // when anybody named it
	quorateAt  time.Time       // when it was last said to have a majority
	routers    int             // routers attached to it
	loads      exchanger.Loads // requests of it and of its routers
	failedAt   time.Time       // when it was last not reachable
	subscribed bool            // a hub's own subscription runs
}

// suspect is a request that endpoints broke off under.
type suspect struct {
	starts   map[string]bool
	lastSeen time.Time
}

// fleet is the control state of a node: what it knows of the others, of the plan and of the endpoints.
type fleet struct {
	settings       Settings
	dialect        Dialect
	self           exchanger.Contact
	log            *decisionLog
	control        *controlInstance // nil without a disk
	meeting        *exchanger.Meeting
	routing        *routingState
	view           atomic.Pointer[view]
	decodeSignal   chan struct{} // with room for one: a new state waits to be decoded
	cacheDirty     chan struct{} // with room for one: the memory on disk is out of date
	suspectReports chan exchanger.Suspect

	confirmedNanos atomic.Int64 // nanoseconds from the start to the last beat of a control instance with a majority

	planKnown chan struct{} // closed when the first plan is in force
	planOnce  sync.Once

	routingUpdateMu sync.Mutex // taken before mu

	mu           sync.Mutex
	seeds        []string
	endpoints    *registrar.Registrar
	received     receivedState
	instances    map[string]*knownInstance
	subscribedTo string                 // name of the hub that this router is subscribed to
	subscribers  map[string]*subscriber // routers that are or were subscribed here
	routerCounts []routerCount
	suspects     map[uint64]*suspect
	started      time.Time
}

// heldState is the newest replicated state that was received.
type receivedState struct {
	index    uint64
	plan     fleetapplier.EncodedPlan
	takenOut map[string]bool
}

type subscriber struct {
	exchanger.Contact
	loads         exchanger.Loads // requests in flight
	subscriptions int
	changedAt     time.Time // of the last change of count
}

type routerCount struct {
	n  int
	at time.Time
}

func newFleet(s Settings, d Dialect, log *decisionLog) *fleet {
	f := &fleet{settings: s, dialect: d, log: log, routing: newRouting(&s), decodeSignal: make(chan struct{}, 1),
		cacheDirty:     make(chan struct{}, 1),
		suspectReports: make(chan exchanger.Suspect, 256), planKnown: make(chan struct{}),
		self: exchanger.Contact{Name: s.Place.Name, Address: s.Listen.Advertise, Control: s.Listen.Control,
			Domain: s.Place.FailureDomain, Eligible: s.DataFolder != ""},
		seeds: s.Seeds, endpoints: registrar.New(time.Duration(s.HeartbeatMillis) * time.Millisecond),
		instances: map[string]*knownInstance{}, subscribers: map[string]*subscriber{}, suspects: map[uint64]*suspect{},
		started: time.Now()}
	f.view.Store(&view{})
	founding := s.FirstStart && len(s.Seeds) > 0 && slices.Min(s.Seeds) == s.Listen.Advertise
	f.meeting = exchanger.NewMeeting(f.self, founding, f.quorateInstances, f.recordContacts)
	return f
}

// viewAge returns the time since an instance with a majority confirmed what this node knows; a node that never heard of
// one counts from its start.
func (f *fleet) viewAge(now time.Time) time.Duration {
	if f.control != nil {
		if c := f.control.replica.Load(); c != nil {
			if _, at, ok := c.Confirmed(); ok {
				return now.Sub(at)
			}
		}
		return now.Sub(f.started)
	}
	return now.Sub(f.started) - time.Duration(f.confirmedNanos.Load())
}

// quorateHubs returns the control instances that have a majority, with this one if it is one.
func (f *fleet) quorateInstances() []exchanger.Contact {
	own := f.control != nil && f.control.isQuorate()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []exchanger.Contact
	if own {
		list = append(list, f.self)
	}
	for _, name := range slices.Sorted(maps.Keys(f.instances)) {
		if h := f.instances[name]; name != f.self.Name && now.Sub(h.quorateAt) <= quorateTimeout {
			list = append(list, h.Contact)
		}
	}
	return list
}

// learned takes what another process knows.
func (f *fleet) recordContacts(hubs, peers []exchanger.Contact) {
	f.mu.Lock()
	for _, c := range hubs {
		f.recordInstance(c, true)
	}
	if f.control == nil {
		// Without a majority anywhere an eligible instance still knows what was in force.
		for _, c := range peers {
			f.recordInstance(c, false)
		}
	}
	f.mu.Unlock()
	if f.control == nil {
		return
	}
	if c := f.control.replica.Load(); c != nil {
		for _, p := range append(slices.Clone(peers), hubs...) {
			if p.Name != f.self.Name {
				c.Meet(p.Name, p.Address)
			}
		}
	}
}

// seeHub notes a control instance; the caller holds mu.
func (f *fleet) recordInstance(c exchanger.Contact, quorate bool) *knownInstance {
	h := f.instances[c.Name]
	if h == nil || h.Address != c.Address {
		h = &knownInstance{Contact: c}
		f.instances[c.Name] = h
	}
	if c.Control != "" {
		h.Contact = c
	}
	h.seenAt = time.Now()
	if quorate {
		h.quorateAt = h.seenAt
	}
	return h
}

// metPeers returns the eligible instances that are known.
func (f *fleet) eligibleInstances() []exchanger.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]exchanger.Contact, 0, len(f.instances))
	for _, h := range f.instances {
		list = append(list, h.Contact)
	}
	return list
}

// reload takes new seeds.
func (f *fleet) setSeeds(seeds []string) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.log.belief("settings reloaded", "seeds", strings.Join(seeds, ","))
}

// rebuild publishes the endpoints that may get requests. Only one rebuild runs at a time, so that one that began
// earlier can't replace the list of a later one.
func (f *fleet) updateRouting() {
	f.routingUpdateMu.Lock()
	defer f.routingUpdateMu.Unlock()
	v := f.view.Load()
	f.mu.Lock()
	list := f.endpoints.RegisteredEndpoints()
	routers := f.maxRecentRouters()
	f.mu.Unlock()
	var serving, others []registrar.Endpoint
	for _, e := range list {
		if e.AcceptsRequests() && !v.takenOut[e.Domain] {
			serving = append(serving, e)
		} else {
			others = append(others, e)
		}
	}
	f.routing.update(serving, others, routers)
}

// routersNow returns the highest number of routers within the last seconds; the caller holds mu.
func (f *fleet) maxRecentRouters() int {
	n := 1
	for _, c := range f.routerCounts {
		if time.Since(c.at) <= routerCountWindow {
			n = max(n, c.n)
		}
	}
	return n
}

// countRouters notes a number of routers.
func (f *fleet) recordRouterCount(n int) {
	f.mu.Lock()
	before := f.maxRecentRouters()
	f.routerCounts = slices.DeleteFunc(f.routerCounts, func(c routerCount) bool {
		return time.Since(c.at) > routerCountWindow || c.n <= n
	})
	f.routerCounts = append(f.routerCounts, routerCount{n, time.Now()})
	after := f.maxRecentRouters()
	f.mu.Unlock()
	if before != after {
		f.updateRouting()
	}
}

// endpointsChanged publishes records that changed here, to this node's requests and to all subscribers.
func (f *fleet) publishEndpoints(changed []registrar.Endpoint, source string) {
	f.updateRouting()
	f.markCacheDirty()
	if f.control != nil {
		f.control.server.EndpointsChanged(changed)
	}
	for i := range changed {
		e := &changed[i]
		f.log.belief("endpoint changed", "endpoint", describeEndpoint(e), "service", e.Service, "state", e.State,
			"failureDomain", e.Domain, "coldMs", max(0, time.Until(e.ColdUntil).Milliseconds()), "source", source)
	}
}

// mergeEndpoints takes records of another process.
func (f *fleet) mergeEndpoints(list []registrar.Endpoint, source string) {
	now := time.Now()
	var changed, newer []registrar.Endpoint
	f.mu.Lock()
	for _, e := range list {
		switch f.endpoints.Merge(now, e) {
		case registrar.Changed:
			changed = append(changed, e)
		case registrar.Outdated:
			newer = append(newer, f.endpoints.Get(e.ID))
		}
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.publishEndpoints(changed, source)
	}
	if len(newer) > 0 && f.control != nil {
		f.control.server.EndpointsChanged(newer)
	}
}

// stateChanged takes a newer replicated state and has it decoded off the goroutine of the caller.
func (f *fleet) receiveState(index uint64, plan *fleetapplier.EncodedPlan, takenOut map[string]bool) {
	f.mu.Lock()
	if index <= f.received.index {
		f.mu.Unlock()
		return
	}
	f.received.index, f.received.takenOut = index, takenOut
	if plan != nil && plan.Version > f.received.plan.Version {
		f.received.plan = *plan
	}
	f.mu.Unlock()
	f.markCacheDirty()
	select {
	case f.decodeSignal <- struct{}{}:
	default:
	}
}

// publishViews puts received states in force until ctx ends.
func (f *fleet) publishViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.decodeSignal:
		}
		f.mu.Lock()
		held := f.received
		f.mu.Unlock()
		old := f.view.Load()
		v := &view{plan: old.plan, index: held.index, takenOut: held.takenOut}
		if held.plan.Version > 0 && (old.plan == nil || held.plan.Version > old.plan.Version) {
			plan, err := f.dialect.DecodePlan(held.plan.Content)
			if err != nil {
				f.log.failure("msg", "received plan can't be read", "version", held.plan.Version, "err", err)
				continue
			}
			v.plan = plan
		}
		f.view.Store(v)
		if v.plan != nil {
			f.planOnce.Do(func() { close(f.planKnown) })
		}
		f.updateRouting()
		f.logView(old, v)
	}
}

func (f *fleet) logView(old, v *view) {
	var version uint64
	if v.plan != nil {
		version = v.plan.Version
	}
	f.log.belief("state in force", "version", version, "index", v.index, "before", old.index,
		"takenOut", strings.Join(slices.Sorted(maps.Keys(v.takenOut)), ","))
}

// fingerprintConvicted reports whether a request has broken off too many endpoints.
func (f *fleet) isConvicted(fingerprint uint64) (starts int, convicted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.suspects[fingerprint]
	if s == nil {
		return 0, false
	}
	return len(s.starts), len(s.starts) >= convictionThreshold
}

// suspected notes that an endpoint broke off under a request, and tells the control group.
func (f *fleet) reportSuspect(s exchanger.Suspect) {
	if !f.addSuspects([]exchanger.Suspect{s}) {
		return
	}
	select {
	case f.suspectReports <- s:
	default: // the reports are an estimate; a later one makes up for a lost one
	}
}

// addSuspects takes suspects, tells the subscribers of a control instance, and returns whether anything was new.
func (f *fleet) addSuspects(list []exchanger.Suspect) (isNew bool) {
	isNew = f.recordSuspects(list)
	if isNew && f.control != nil {
		f.control.server.SuspectsChanged(list)
	}
	return isNew
}

func (f *fleet) recordSuspects(list []exchanger.Suspect) (isNew bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range list {
		sus := f.suspects[s.Fingerprint]
		if sus == nil {
			if len(f.suspects) >= maxSuspects {
				continue
			}
			sus = &suspect{starts: map[string]bool{}}
			f.suspects[s.Fingerprint] = sus
		}
		sus.lastSeen = now
		isNew = isNew || !sus.starts[s.Endpoint]
		sus.starts[s.Endpoint] = true
	}
	return isNew
}

// tick expires what is too old.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	changed := f.endpoints.Expire(now)
	for fp, s := range f.suspects {
		if now.Sub(s.lastSeen) > suspectRetention {
			delete(f.suspects, fp)
		}
	}
	for name, h := range f.instances {
		if now.Sub(h.seenAt) > instanceRetention && !h.subscribed {
			delete(f.instances, name)
		}
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.publishEndpoints(changed, "noHeartbeat")
	}
	if f.control != nil {
		_, all := f.connectedRouters(now)
		f.recordRouterCount(all)
	}
}

// awaitPlan returns the state in force, with a plan if there is one by then.
func (f *fleet) awaitPlan(ctx context.Context, until time.Time) *view {
	limit := time.Until(until)
	if v := f.view.Load(); v.plan != nil || limit <= 0 {
		return v
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-f.planKnown:
	case <-t.C:
	case <-ctx.Done():
	}
	return f.view.Load()
}

// isReady reports whether requests can be served.
func (f *fleet) isReady() bool { return f.view.Load().plan != nil }
