package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/clockwatcher"
	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/confirmer"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

const (
	// discoveryInterval is the pause between two attempts to find a control instance.
	discoveryInterval = 200 * time.Millisecond

	// maxDiscoveryInterval is the pause that discoveryInterval grows to while no control instance is found, after
	// fastDiscoveryRounds attempts.
	maxDiscoveryInterval = time.Second
	fastDiscoveryRounds  = 10

	// expiryInterval is how often heartbeats, idle connections, suspects and known instances are checked for expiry.
	expiryInterval = 500 * time.Millisecond

	// loadAggregationInterval is how often a control instance sums up the requests in flight of all routers.
	loadAggregationInterval = 50 * time.Millisecond

	// confirmationPollInterval is how often the confirmations of a control instance and states that wait for one are
	// checked.
	confirmationPollInterval = 50 * time.Millisecond

	// quorateTimeout is how long a control instance counts as quorate after it was last reported to be so.
	quorateTimeout = 1500 * time.Millisecond

	// instanceRetention is how long a control instance is kept after any node last reported it.
	instanceRetention = time.Minute

	// routerCountWindow is the window over which the maximum router count is used: routers that are partitioned from
	// the control instances still send requests.
	routerCountWindow = 15 * time.Second

	// lostSubscriberRetention is how long a former subscriber is contacted: the addresses that it knows may all be stale.
	lostSubscriberRetention = 5 * time.Minute

	// seedInformInterval is how often a quorate control instance tells each seed of the control instances. Until a seed
	// has been told, it is contacted every discoveryInterval.
	seedInformInterval = 2 * time.Second

	// failbackDelay is how long a subscription to another failure domain is kept while an instance in the router's own
	// domain is available.
	failbackDelay = 5 * time.Second

	// routingPauseFactor is the pause between two updates of routing relative to the time that one takes, and
	// maxRoutingPause its bound. When a third of 1,000 endpoints registers again after a power loss, an update for each
	// record would take all the time of a small processor.
	routingPauseFactor = 8
	maxRoutingPause    = time.Second

	// convictionThreshold is the number of endpoint starts that failed during the same request before it is refused.
	convictionThreshold = 3

	// suspectRetention is how long a suspect is kept after the last report.
	suspectRetention = 5 * time.Minute

	// maxSuspects bounds the number of suspect requests in memory.
	maxSuspects = 20_000
)

// knownInstance is a control instance as known to this node.
type knownInstance struct {
	exchanger.Contact
	seenAt     time.Time // when any node last reported it
	quorateAt  time.Time // when it was last reported to be quorate
	heardAt    time.Time // when a heartbeat last reported it to be quorate
	routers    int       // routers subscribed to it
	reported   reported  // of it and of its routers
	failedAt   time.Time // when a subscription to it last failed
	subscribed bool      // a control instance's subscription to this peer is running
}

// reported is what another process has last reported.
type reported struct {
	loads exchanger.Loads // requests in flight
	sums  exchanger.Sums
}

// suspect is a request during which endpoints failed; starts holds the starts of these endpoints.
type suspect struct {
	starts   map[string]bool
	lastSeen time.Time
}

// fleet is what a node knows of its fleet: the other nodes, the plan and the endpoints.
type fleet struct {
	settings       Settings
	dialect        Dialect
	self           exchanger.Contact
	log            *rateLimitedLog
	control        *controlInstance // nil without a data folder
	discovery      *exchanger.Discovery
	routing        *routingState
	view           atomic.Pointer[view]
	decodeSignal   chan struct{} // capacity 1: a released state is not yet decoded
	heldSignal     chan struct{} // capacity 1: a received state is held back
	cacheDirty     chan struct{} // capacity 1: the state cache on disk is out of date
	suspectReports chan exchanger.Suspect
	leavingReports chan registrar.Endpoint // for the control instance
	departures     departures
	outcomes       exchanger.OutcomeTable
	evidence       *evidence
	streams        *streams
	pauses         *clockwatcher.PauseDetector
	streamLog      *streamLog // of a control instance, while it runs

	exchangeOptions messenger.Options // of connections to other nodes

	planKnown chan struct{} // closed when the first plan is in force
	planOnce  sync.Once

	routingRequests atomic.Uint64 // calls of updateRouting
	routingUpdateMu sync.Mutex    // locked before mu
	routingUpdated  uint64        // calls whose changes routing has; guarded by routingUpdateMu
	routingPause    atomic.Int64  // end of the pause after the last update, in nanoseconds since started
	routingPending  atomic.Bool   // an update follows that pause

	totalLoads exchanger.Totals[exchanger.Loads]
	totalSums  exchanger.Totals[exchanger.Sums]

	mu    sync.Mutex
	seeds []string
	// seedsInformedAt is when this control instance, while quorate, last exchanged contacts with an address.
	seedsInformedAt map[string]time.Time
	exchanging      map[string]bool // addresses with which an exchange of contacts runs
	endpoints       *registrar.Registrar
	servicesOf      *planner.Plan // whose services endpoints knows
	received        receivedState // the newest one
	released        receivedState // the newest one that may be put in force
	confirmer       *confirmer.Confirmer
	instances       map[string]*knownInstance
	subscribedTo    string                 // name of the control instance that this router is subscribed to
	subscribers     map[string]*subscriber // current and former subscribers of this instance
	routerCounts    []routerCount
	cachedRouters   int // routers before this instance has restarted
	suspects        map[uint64]*suspect
	started         time.Time
}

// receivedState is a replicated state as received.
type receivedState struct {
	index    uint64
	plan     fleetapplier.EncodedPlan
	takenOut map[string]bool
	rollouts []rollouter.Rollout
	source   string // the instance that sent it, or one of the sources below
	at       time.Time
}

// The sources of a state other than control instances, for logs.
const (
	stateFromCache = "cache"
	stateFromLog   = "log"
)

type subscriber struct {
	exchanger.Contact
	reported      reported
	subscriptions int
	changedAt     time.Time // of the number of subscriptions
}

type routerCount struct {
	n  int
	at time.Time
}

func newFleet(s Settings, d Dialect, log *rateLimitedLog) *fleet {
	f := &fleet{settings: s, dialect: d, log: log, routing: newRoutingState(&s), decodeSignal: make(chan struct{}, 1),
		heldSignal: make(chan struct{}, 1), cacheDirty: make(chan struct{}, 1),
		suspectReports: make(chan exchanger.Suspect, 256),
		leavingReports: make(chan registrar.Endpoint, maxLeavingReports), planKnown: make(chan struct{}),
		self: exchanger.Contact{Name: s.Place.Name, Address: s.Listen.Advertise, Control: s.Listen.Control,
			Domain: s.Place.FailureDomain, Eligible: s.DataFolder != ""},
		seeds: s.Seeds, endpoints: registrar.New(time.Duration(s.HeartbeatMillis) * time.Millisecond),
		instances: map[string]*knownInstance{}, subscribers: map[string]*subscriber{},
		seedsInformedAt: map[string]time.Time{}, exchanging: map[string]bool{}, suspects: map[uint64]*suspect{},
		evidence: newEvidence(s.Place.Name, s.DataFolder != "", log), started: time.Now()}
	f.confirmer = confirmer.New(f.started)
	f.departures.commit, f.outcomes.Own = f.proposeDepartures, f.routing.outcomes
	f.streams = newStreams(s.DataFolder != "", f.started)
	f.pauses = clockwatcher.NewPauseDetector(f.started)
	f.streams.self, f.streams.voters = f.self.Name, f.voters
	f.view.Store(&view{})
	choosesBootstrapper := s.FirstStart && len(s.Seeds) > 0 && slices.Min(s.Seeds) == s.Listen.Advertise
	f.discovery = exchanger.NewDiscovery(f.self, choosesBootstrapper, f.heardInstances, f.recordContacts)
	return f
}

// voters returns the names of the voting members of the control group as this control instance knows them.
func (f *fleet) voters() (names []string) {
	if f.control == nil {
		return nil
	}
	if c := f.control.replica.Load(); c != nil {
		for _, m := range c.Status().Members {
			if m.Voter {
				names = append(names, m.Name)
			}
		}
	}
	return names
}

// viewAge returns the time since a quorum confirmed this node's view, or since the start if none ever did.
func (f *fleet) viewAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmer.Age(now)
}

// mayDeny reports whether a request may be denied for what the plan lacks. The plan must be read after the call.
func (f *fleet) mayDeny(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmer.MayDeny(now)
}

// expectConfirmation records a sign of a quorum.
func (f *fleet) expectConfirmation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmer.Expect(time.Now())
}

// expectNoConfirmation records the word of another process that no confirmation is to be expected.
func (f *fleet) expectNoConfirmation() {
	f.mu.Lock()
	f.confirmer.ExpectNone()
	f.mu.Unlock()
	f.releaseState()
}

// confirm records that a state of at least this index has all changes that were acknowledged before a point in time.
func (f *fleet) confirm(index uint64, at time.Time) {
	f.mu.Lock()
	f.confirmer.Confirm(index, at)
	isHeld := f.received.index > f.released.index
	f.mu.Unlock()
	if isHeld {
		f.releaseState()
	}
}

// quorateInstances returns the quorate control instances, including this one.
func (f *fleet) quorateInstances() []exchanger.Contact {
	return f.instancesSeen(func(inst *knownInstance) time.Time { return inst.quorateAt })
}

// heardInstances returns the quorate control instances to tell other nodes about: this one and those that heartbeats
// report. If nodes passed on what they know from each other by discovery, they would keep it alive for ever.
func (f *fleet) heardInstances() []exchanger.Contact {
	return f.instancesSeen(func(inst *knownInstance) time.Time { return inst.heardAt })
}

// instancesSeen returns this instance if it is quorate, and those that were quorate at a recent time.
func (f *fleet) instancesSeen(at func(*knownInstance) time.Time) []exchanger.Contact {
	selfQuorate := f.control != nil && f.control.isQuorate()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []exchanger.Contact
	if selfQuorate {
		list = append(list, f.self)
	}
	for _, name := range slices.Sorted(maps.Keys(f.instances)) {
		if inst := f.instances[name]; name != f.self.Name && now.Sub(at(inst)) <= quorateTimeout {
			list = append(list, inst.Contact)
		}
	}
	return list
}

// recordContacts records the quorate and the eligible instances that another process reported.
func (f *fleet) recordContacts(instances, peers []exchanger.Contact) {
	if len(instances) > 0 {
		f.expectConfirmation()
	} else {
		f.expectNoConfirmation()
	}
	f.mu.Lock()
	for _, c := range instances {
		f.recordInstance(c, true)
	}
	if f.control == nil {
		// If no instance is quorate, an eligible one still knows the state that was in force.
		for _, c := range peers {
			f.recordInstance(c, false)
		}
	}
	f.mu.Unlock()
	if f.control == nil {
		return
	}
	if c := f.control.replica.Load(); c != nil {
		for _, p := range append(slices.Clone(peers), instances...) {
			if p.Name != f.self.Name {
				c.ConnectPeer(p.Name, p.Address)
			}
		}
	}
}

// recordInstance adds or refreshes a known control instance; the caller holds mu.
func (f *fleet) recordInstance(c exchanger.Contact, quorate bool) *knownInstance {
	inst := f.instances[c.Name]
	if inst == nil || inst.Address != c.Address {
		inst = &knownInstance{Contact: c}
		f.instances[c.Name] = inst
	}
	if c.Control != "" {
		inst.Contact = c
	}
	inst.seenAt = time.Now()
	if quorate {
		inst.quorateAt = inst.seenAt
	}
	return inst
}

// eligibleInstances returns the known eligible instances.
func (f *fleet) eligibleInstances() []exchanger.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]exchanger.Contact, 0, len(f.instances))
	for _, inst := range f.instances {
		list = append(list, inst.Contact)
	}
	return list
}

// setSeeds replaces the seeds.
func (f *fleet) setSeeds(seeds []string) {
	f.mu.Lock()
	f.seeds = seeds
	maps.DeleteFunc(f.seedsInformedAt, func(s string, _ time.Time) bool { return !slices.Contains(seeds, s) })
	f.mu.Unlock()
	f.log.event("settings reloaded", "seeds", strings.Join(seeds, ","))
}

// updateRouting passes the registered endpoints and the router count to the routing state. Updates are serialized, so
// that an older list cannot replace a newer one. Calls that wait for a running update share the next one.
func (f *fleet) updateRouting() {
	request := f.routingRequests.Add(1)
	f.routingUpdateMu.Lock()
	defer f.routingUpdateMu.Unlock()
	if f.routingUpdated >= request {
		return
	}
	f.routingUpdated = f.routingRequests.Load()
	start := time.Now()
	defer func() {
		now := time.Now()
		pause := min(maxRoutingPause, routingPauseFactor*now.Sub(start))
		f.routingPause.Store(int64(now.Add(pause).Sub(f.started)))
	}()
	v := f.view.Load()
	f.mu.Lock()
	f.addServices(v.plan)
	list := f.endpoints.RegisteredEndpoints()
	routers := f.maxRecentRouters()
	f.mu.Unlock()
	inService, outOfService := make([]registrar.Endpoint, 0, len(list)), []registrar.Endpoint(nil)
	for _, e := range list {
		if e.AcceptsRequests() && !v.takenOut[e.Domain] {
			inService = append(inService, e)
		} else {
			outOfService = append(outOfService, e)
		}
	}
	f.routing.update(inService, outOfService, routers, v, f.settings.loadPolicy(v.plan).For(len(list)))
}

// updateRoutingFor updates routing for changed records after a pause in proportion to the time that the last update
// took. Departures are in force at once.
func (f *fleet) updateRoutingFor(changed []registrar.Endpoint) {
	if slices.ContainsFunc(changed, func(e registrar.Endpoint) bool { return !e.AcceptsRequests() }) {
		f.routingUpdateMu.Lock() // a running update may not know them
		f.routing.withChooser(func(c *chooser.Chooser) { c.Withdraw(changed) })
		f.routingUpdateMu.Unlock()
	}
	wait := time.Until(f.started.Add(time.Duration(f.routingPause.Load())))
	switch {
	case wait <= 0:
		f.updateRouting()
	case f.routingPending.CompareAndSwap(false, true):
		time.AfterFunc(wait, func() {
			f.routingPending.Store(false)
			f.updateRouting()
		})
	}
}

// addServices passes the services of a plan to the endpoints; the caller holds mu.
func (f *fleet) addServices(p *planner.Plan) {
	if p == nil || p == f.servicesOf {
		return
	}
	f.servicesOf = p
	names := make([]string, 0, len(p.Services))
	for i := range p.Services {
		names = append(names, p.Services[i].Name)
	}
	f.endpoints.AddServices(names)
}

// maxRecentRouters returns the highest router count within routerCountWindow; the caller holds mu.
func (f *fleet) maxRecentRouters() int {
	n := 1
	for _, c := range f.routerCounts {
		if time.Since(c.at) <= routerCountWindow {
			n = max(n, c.n)
		}
	}
	return n
}

// recordRouterCount records a router count and sets that of routing if the maximum changed.
func (f *fleet) recordRouterCount(n int) {
	f.mu.Lock()
	f.routerCounts = slices.DeleteFunc(f.routerCounts, func(c routerCount) bool {
		return time.Since(c.at) > routerCountWindow || c.n <= n
	})
	f.routerCounts = append(f.routerCounts, routerCount{n, time.Now()})
	after := f.maxRecentRouters()
	f.mu.Unlock()
	if f.routing.routerCount() == after {
		return
	}
	f.routingUpdateMu.Lock()
	defer f.routingUpdateMu.Unlock()
	f.mu.Lock()
	after = f.maxRecentRouters()
	f.mu.Unlock()
	f.routing.setRouters(after)
	f.markCacheDirty()
}

// publishEndpoints publishes changed records to this node's routing and to all subscribers.
func (f *fleet) publishEndpoints(changed []registrar.Endpoint, source string) {
	f.updateRoutingFor(changed)
	f.markCacheDirty()
	if f.control != nil {
		f.control.server.PublishEndpoints(changed)
	}
	for i := range changed {
		e := &changed[i]
		f.log.event("endpoint changed", "endpoint", describeEndpoint(e), "service", e.Service, "software", e.Version,
			"state", e.State,
			"failureDomain", e.Domain, "coldMs", max(0, time.Until(e.ColdUntil).Milliseconds()), "source", source)
	}
}

// mergeEndpoints merges records of another process; subscribers receive the newer record where that process lags.
func (f *fleet) mergeEndpoints(list []registrar.Endpoint, source string) {
	now := time.Now()
	var changed, newer []registrar.Endpoint
	f.mu.Lock()
	for _, e := range list {
		switch f.endpoints.Merge(now, e) {
		case registrar.Changed:
			changed = append(changed, f.endpoints.Get(e.ID))
		case registrar.Outdated:
			newer = append(newer, f.endpoints.Get(e.ID))
		}
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.publishEndpoints(changed, source)
	}
	if len(newer) > 0 && f.control != nil {
		f.control.server.PublishEndpoints(newer)
	}
}

// logRejectedEndpoints logs that invalid records were dropped; err is the reason for the first one.
func (f *fleet) logRejectedEndpoints(source string, n int, err error) {
	f.log.failure("msg", "endpoint records rejected", "records", n, "source", source, "err", err)
}

// receiveState stores a newer replicated state, and releases it unless it has to wait for a confirmation.
func (f *fleet) receiveState(index uint64, plan *fleetapplier.EncodedPlan, takenOut map[string]bool,
	rollouts []rollouter.Rollout, source string) {
	f.mu.Lock()
	if index <= f.received.index {
		f.mu.Unlock()
		return
	}
	f.received.index, f.received.takenOut, f.received.rollouts = index, takenOut, rollouts
	f.received.source, f.received.at = source, time.Now()
	if plan != nil && plan.Version > f.received.plan.Version {
		f.received.plan = *plan
	}
	f.mu.Unlock()
	f.markCacheDirty()
	if !f.releaseState() {
		notify(f.heldSignal)
	}
}

// releaseState passes the newest received state on to publishViews and to subscribers; it returns false if that state
// has to wait for a confirmation.
func (f *fleet) releaseState() bool {
	f.mu.Lock()
	if f.received.index <= f.released.index {
		f.mu.Unlock()
		return true
	}
	if !f.confirmer.MayPutInForce(time.Now(), f.received.index) {
		f.mu.Unlock()
		return false
	}
	f.released = f.received
	f.mu.Unlock()
	notify(f.decodeSignal)
	if f.control != nil {
		f.control.server.PublishState()
	}
	return true
}

// releaseHeldStates releases states that were held back once they may be put in force, until ctx ends.
func (f *fleet) releaseHeldStates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.heldSignal:
		}
		for ctx.Err() == nil && !f.releaseState() {
			sleeper.Pause(ctx, confirmationPollInterval)
		}
	}
}

// trackConfirmations records the confirmations of a control instance by the quorum until ctx ends.
func (f *fleet) trackConfirmations(ctx context.Context) error {
	wasQuorate := false
	for ctx.Err() == nil {
		c := f.control.replica.Load()
		isQuorate := false
		if c != nil {
			_, at, ok := c.Confirmed()
			if isQuorate = ok && f.control.isCurrent(at, time.Now()); isQuorate {
				// Read after the confirmation, so that it includes what the confirmation is about.
				f.mu.Lock()
				index := f.received.index
				f.mu.Unlock()
				f.confirm(index, at)
			}
			if c.Status().Leader != "" {
				f.expectConfirmation()
			}
		}
		if isQuorate != wasQuorate {
			wasQuorate = isQuorate
			f.logQuorum(c, isQuorate)
		}
		sleeper.Pause(ctx, confirmationPollInterval)
	}
	return ctx.Err()
}

// logQuorum logs that this instance has gained or lost the confirmation by a quorum; c is nil without an open replica.
func (f *fleet) logQuorum(c *committer.Committer, isQuorate bool) {
	msg := "quorum lost"
	if isQuorate {
		msg = "quorum confirmed"
	}
	keyvals := []any{"confirmedMs", f.viewAge(time.Now()).Milliseconds(), "isOpen", c != nil}
	if c != nil {
		s := c.Status()
		keyvals = append(keyvals, "role", s.Role, "term", s.Term, "leader", s.Leader, "commit", s.Commit,
			"applied", s.Applied)
	}
	local, _ := f.connectedRouters(time.Now())
	f.log.event(msg, append(keyvals, "subscribers", local)...)
}

// publishViews decodes released states and puts them in force until ctx ends.
func (f *fleet) publishViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.decodeSignal:
		}
		f.mu.Lock()
		released := f.released
		f.mu.Unlock()
		old := f.view.Load()
		v := &view{plan: old.plan, index: released.index, takenOut: released.takenOut, rollouts: released.rollouts}
		if released.plan.Version > 0 && (old.plan == nil || released.plan.Version > old.plan.Version) {
			plan, err := f.dialect.DecodePlan(released.plan.Content)
			if err != nil {
				// The former plan stays in force; the rest of the state does not depend on it.
				f.log.failure("msg", "received plan cannot be decoded", "version", released.plan.Version, "err", err)
			} else {
				v.plan = plan
			}
		}
		f.view.Store(v)
		hasPlan := released.plan.Version == 0 || v.plan != nil && v.plan.Version >= released.plan.Version
		f.mu.Lock()
		if hasPlan {
			f.confirmer.SetInForce(v.index)
		}
		age := f.confirmer.Age(time.Now())
		f.mu.Unlock()
		if v.plan != nil {
			f.planOnce.Do(func() { close(f.planKnown) })
		}
		f.updateRouting()
		f.logView(old, v, &released, age)
	}
}

func (f *fleet) logView(old, v *view, s *receivedState, age time.Duration) {
	var version uint64
	if v.plan != nil {
		version = v.plan.Version
	}
	f.log.event("state in force", "version", version, "index", v.index, "before", old.index, "source", s.source,
		"receivedMs", time.Since(s.at).Milliseconds(), "confirmedMs", age.Milliseconds(),
		"takenOut", strings.Join(slices.Sorted(maps.Keys(v.takenOut)), ","))
}

// isConvicted reports whether convictionThreshold endpoint starts have failed during a request.
func (f *fleet) isConvicted(fingerprint uint64) (starts int, convicted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.suspects[fingerprint]
	if s == nil {
		return 0, false
	}
	return len(s.starts), len(s.starts) >= convictionThreshold
}

// reportSuspect records that an endpoint failed during a request, and reports it to the control instance.
func (f *fleet) reportSuspect(s exchanger.Suspect) {
	if !f.addSuspects([]exchanger.Suspect{s}) {
		return
	}
	select {
	case f.suspectReports <- s:
	default: // reports are best effort; a later one compensates for a dropped one
	}
}

// addSuspects records suspects, publishes new ones to subscribers, and reports whether any was new.
func (f *fleet) addSuspects(list []exchanger.Suspect) (isNew bool) {
	isNew = f.recordSuspects(list)
	if isNew {
		f.recordReportedEnds(list)
	}
	if isNew && f.control != nil {
		f.control.server.PublishSuspects(list)
	}
	return isNew
}

func (f *fleet) recordSuspects(list []exchanger.Suspect) (isNew bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range list {
		known := f.suspects[s.Fingerprint]
		if known == nil {
			if len(f.suspects) >= maxSuspects {
				continue
			}
			known = &suspect{starts: map[string]bool{}}
			f.suspects[s.Fingerprint] = known
		}
		known.lastSeen = now
		isNew = isNew || !known.starts[s.Endpoint]
		known.starts[s.Endpoint] = true
	}
	return isNew
}

// expire expires endpoints, suspects, evidence and known instances. A control instance also updates the router count,
// and the leader grants trials.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	changed := f.endpoints.Expire(now)
	for fp, s := range f.suspects {
		if now.Sub(s.lastSeen) > suspectRetention {
			delete(f.suspects, fp)
		}
	}
	for name, inst := range f.instances {
		if now.Sub(inst.seenAt) > instanceRetention && !inst.subscribed {
			delete(f.instances, name)
		}
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.publishEndpoints(changed, "noHeartbeat")
	}
	f.logEndedStatements(now)
	f.evidence.expire(now)
	f.streams.expire(now)
	if f.control != nil {
		_, total := f.connectedRouters(now)
		f.recordRouterCount(total)
		if f.control.isLeader() {
			f.evidence.grantTrials(now)
		}
	}
}

// awaitPlan waits for a first plan up to a deadline.
func (f *fleet) awaitPlan(ctx context.Context, until time.Time) {
	limit := time.Until(until)
	if f.view.Load().plan != nil || limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-f.planKnown:
	case <-t.C:
	case <-ctx.Done():
	}
}

// isReady reports whether a plan is in force, so that requests can be served.
func (f *fleet) isReady() bool { return f.view.Load().plan != nil }
