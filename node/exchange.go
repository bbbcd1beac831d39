package node

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
	"cactusroute.dev/core/rollouter"
)

// State implements exchanger.Source.
func (f *fleet) State() fleetapplier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleetapplier.State{Index: f.released.index, Plan: f.released.plan, TakenOut: f.released.takenOut,
		Rollouts: f.released.rollouts}
}

// AcceptsRouters implements exchanger.Source.
func (f *fleet) AcceptsRouters() bool { return f.State().Index > 0 || f.control.isQuorate() }

// Endpoints implements exchanger.Source.
func (f *fleet) Endpoints() []registrar.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints.All()
}

// Heartbeat implements exchanger.Source.
func (f *fleet) Heartbeat() exchanger.Heartbeat {
	hb := exchanger.Heartbeat{Quorate: f.control.isQuorate(), QuorateInstances: f.heardInstances()}
	hb.SubscribedRouters, hb.Routers = f.connectedRouters(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	if hb.Quorate {
		hb.Index, hb.ConfirmedAt = f.confirmer.Confirmed()
	}
	if time.Since(f.started) < routerCountWindow {
		// The other nodes may have restarted at the same time and not be connected yet.
		hb.Routers = max(hb.Routers, f.cachedRouters)
	}
	return hb
}

// connectedRouters returns the number of routers subscribed here and of all known nodes that route requests.
func (f *fleet) connectedRouters(now time.Time) (local, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, sub := range f.subscribers {
		if _, isInstance := f.instances[name]; sub.subscriptions > 0 && !isInstance {
			local++
		}
	}
	total = local + 1
	for name, inst := range f.instances {
		if name != f.self.Name && now.Sub(inst.quorateAt) <= quorateTimeout {
			total += inst.routers + 1
		}
	}
	return local, total
}

// SubscriberConnected implements exchanger.Source.
func (f *fleet) SubscriberConnected(c exchanger.Contact) {
	f.mu.Lock()
	sub := f.subscribers[c.Name]
	if sub == nil || sub.Address != c.Address {
		sub = &subscriber{Contact: c}
		f.subscribers[c.Name] = sub
	}
	sub.subscriptions++
	sub.changedAt = time.Now()
	if c.Eligible {
		f.recordInstance(c, false)
	}
	f.mu.Unlock()
	f.log.event("subscriber attached", "subscriber", c.Name, "address", c.Address)
}

// SubscriberDisconnected implements exchanger.Source.
func (f *fleet) SubscriberDisconnected(c exchanger.Contact) {
	f.mu.Lock()
	if sub := f.subscribers[c.Name]; sub != nil && sub.Address == c.Address {
		sub.subscriptions--
		sub.reported = reported{}
		sub.changedAt = time.Now()
	}
	f.mu.Unlock()
	f.log.event("subscriber lost", "subscriber", c.Name, "address", c.Address)
}

// LoadsReceived implements exchanger.Source.
func (f *fleet) LoadsReceived(from exchanger.Contact, loads exchanger.Loads) {
	f.recordReported(from, func(r *reported) { r.loads = loads })
}

// recordReported updates what a subscriber has reported.
func (f *fleet) recordReported(from exchanger.Contact, update func(*reported)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sub := f.subscribers[from.Name]; sub != nil {
		update(&sub.reported)
	}
}

// eachReported visits what this instance's routers have reported and, unless isOwn, what other instances have.
func (f *fleet) eachReported(isOwn bool, visit func(*reported)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, sub := range f.subscribers {
		if f.instances[name] == nil && sub.subscriptions > 0 {
			visit(&sub.reported)
		}
	}
	for name, inst := range f.instances {
		if !isOwn && name != f.self.Name {
			visit(&inst.reported)
		}
	}
}

// Loads implements exchanger.Source.
func (f *fleet) Loads(to exchanger.Contact) exchanger.Loads {
	return f.totalLoads.Get(to.Eligible, f.mergeLoads)
}

func (f *fleet) mergeLoads(isOwn bool) exchanger.Loads {
	total := f.routing.ownLoads()
	f.eachReported(isOwn, func(r *reported) { total.Add(r.loads) })
	return total
}

// SuspectsReceived implements exchanger.Source.
func (f *fleet) SuspectsReceived(list []exchanger.Suspect) {
	isNew := f.addSuspects(list)
	for _, s := range list {
		starts, _ := f.isConvicted(s.Fingerprint)
		f.log.failure("msg", "suspect received", "fingerprint", strconv.FormatUint(s.Fingerprint, 16), "endpoint", s.Endpoint,
			"starts", starts, "new", isNew)
	}
}

// AllSuspects implements exchanger.Source.
func (f *fleet) AllSuspects() (list []exchanger.Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fp, s := range f.suspects {
		for start := range s.starts {
			list = append(list, exchanger.Suspect{Fingerprint: fp, Endpoint: start})
		}
	}
	return list
}

// EvidenceReceived implements exchanger.Source.
func (f *fleet) EvidenceReceived(from exchanger.Contact, e exchanger.Evidence) {
	f.evidence.merge(e, from.Name)
}

// AllEvidence implements exchanger.Source.
func (f *fleet) AllEvidence() exchanger.Evidence { return f.evidence.all() }

// StreamsReceived implements exchanger.Source.
func (f *fleet) StreamsReceived(list []resumer.Stream) { f.streams.record(list) }

// AllStreams implements exchanger.Source.
func (f *fleet) AllStreams() []resumer.Stream { return f.streams.all() }

// StreamOrigin implements exchanger.Source. A router is answered once this instance knows what a majority knows, which
// in turn is asked with confirmationKey.
func (f *fleet) StreamOrigin(
	ctx context.Context, from exchanger.Contact, key resumer.Key,
) (o resumer.Origin, ok bool, err error) {
	if !from.Eligible {
		if err := f.streams.confirm(ctx); err != nil {
			return o, false, err
		}
	}
	if key == confirmationKey {
		return o, false, nil
	}
	o, _, err = f.streams.origin(ctx, key)
	return o, err == nil, nil
}

// Outcomes implements exchanger.Source.
func (f *fleet) Outcomes() *exchanger.OutcomeTable { return &f.outcomes }

// EndpointsReceived implements exchanger.Source.
func (f *fleet) EndpointsReceived(list []registrar.Endpoint) { f.mergeEndpoints(list, "subscriber") }

// EndpointsRejected implements exchanger.Source.
func (f *fleet) EndpointsRejected(from exchanger.Contact, n int, err error) {
	f.logRejectedEndpoints(from.Name, n, err)
}

// LastReceived implements exchanger.Receiver.
func (r *receiver) LastReceived() (index, version uint64) {
	if r.isPeer {
		return ^uint64(0), 0
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.received.index, r.fleet.received.plan.Version
}

// StateReceived implements exchanger.Receiver.
func (r *receiver) StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string,
	rollouts []rollouter.Rollout) {
	set := map[string]bool{}
	for _, d := range takenOut {
		set[d] = true
	}
	r.fleet.receiveState(index, plan, set, rollouts, r.instance.Name)
}

// EndpointsReceived implements exchanger.Receiver.
func (r *receiver) EndpointsReceived(list []registrar.Endpoint, _ bool) {
	r.fleet.mergeEndpoints(list, r.instance.Name)
}

// EndpointsRejected implements exchanger.Receiver.
func (r *receiver) EndpointsRejected(n int, err error) {
	r.fleet.logRejectedEndpoints(r.instance.Name, n, err)
}

// SuspectsReceived implements exchanger.Receiver.
func (r *receiver) SuspectsReceived(list []exchanger.Suspect) { r.fleet.addSuspects(list) }

// EvidenceReceived implements exchanger.Receiver.
func (r *receiver) EvidenceReceived(e exchanger.Evidence) { r.fleet.evidence.merge(e, r.instance.Name) }

// StreamsReceived implements exchanger.Receiver.
func (r *receiver) StreamsReceived(list []resumer.Stream) { r.fleet.streams.merge(list) }

// StreamOriginReceived implements exchanger.Receiver.
func (r *receiver) StreamOriginReceived(number uint64, o resumer.Origin, ok bool) {
	r.fleet.streams.answerReceived(number, streamAnswer{origin: o, ok: ok})
}

// Loads implements exchanger.Receiver.
func (r *receiver) Loads() exchanger.Loads {
	if r.isPeer || !r.isActive() {
		return nil
	}
	return r.fleet.routing.ownLoads()
}

// Outcomes implements exchanger.Receiver.
func (r *receiver) Outcomes() (table *exchanger.OutcomeTable, name string, isReported bool) {
	return &r.fleet.outcomes, r.instance.Name, !r.isPeer && r.isActive()
}

// LoadsReceived implements exchanger.Receiver.
func (r *receiver) LoadsReceived(loads exchanger.Loads) {
	r.record(func() { r.fleet.routing.setTotalLoads(loads) }, func(r *reported) { r.loads = loads })
}

// record applies totals to the routing of a router, or updates what a peer instance has reported.
func (r *receiver) record(apply func(), update func(*reported)) {
	switch {
	case r.isPeer:
		f := r.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		if inst := f.instances[r.instance.Name]; inst != nil {
			update(&inst.reported)
		}
	case r.isActive():
		apply()
	}
}

// aggregateLoads periodically applies the total loads, as routers receive them, to a control instance's own routing,
// until ctx ends.
func (f *fleet) aggregateLoads(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		f.routing.setTotalLoads(f.Loads(exchanger.Contact{}))
		if i%sumAggregations == 0 {
			if sums := f.Sums(exchanger.Contact{}); sums != nil {
				f.routing.setTotalSums(sums)
			}
		}
		sleeper.Pause(ctx, loadAggregationInterval)
	}
	return ctx.Err()
}

// HeartbeatReceived implements exchanger.Receiver.
func (r *receiver) HeartbeatReceived(hb exchanger.Heartbeat) {
	f := r.fleet
	switch {
	case hb.Quorate && hb.ConfirmedAt.IsZero() && !r.isPeer:
		// The instance is of an earlier release, or its messages are too old.
		f.expectNoConfirmation()
	case len(hb.QuorateInstances) > 0:
		f.expectConfirmation()
	}
	if !r.isPeer && !hb.ConfirmedAt.IsZero() {
		f.confirm(hb.Index, hb.ConfirmedAt)
	}
	f.mu.Lock()
	for _, c := range hb.QuorateInstances {
		// Control instances receive heartbeats from each other; what a peer reports about a third instance is older.
		isFirstHand := c.Name == r.instance.Name || !r.isPeer
		inst := f.recordInstance(c, isFirstHand)
		if isFirstHand {
			inst.heardAt = inst.quorateAt
		}
		if c.Name == r.instance.Name {
			inst.routers = hb.SubscribedRouters
		}
	}
	f.mu.Unlock()
	f.recordRouterCount(hb.Routers)
	r.observe(time.Now(), hb)
}

// The costs by which control instances are compared, by descending weight: a recent failure, a missing quorum, another
// failure domain.
const (
	costFailed       = 1000
	costNoQuorum     = 100
	costRemoteDomain = 1

	// failureCostDecay is the time over which the cost of a failure falls to 0; restarts take less.
	failureCostDecay = 10 * time.Second

	// maxRetryCost is the cost of a failure after 1 s; an instance that failed more recently is not tried.
	maxRetryCost = 900

	// minLoggedSubscription is the minimum duration of a subscription between control instances whose end is logged.
	minLoggedSubscription = time.Second
)

// selectInstance returns the allowed control instance with the lowest cost; ok is false if that cost exceeds
// maxRetryCost or there is none.
func (f *fleet) selectInstance(isAllowed func(*knownInstance) bool) (best exchanger.Contact, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	bestCost := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.instances)) {
		inst := f.instances[name]
		if !isAllowed(inst) {
			continue
		}
		cost := 0.0
		if now.Sub(inst.quorateAt) > quorateTimeout {
			cost += costNoQuorum
		}
		if d := now.Sub(inst.failedAt); !inst.failedAt.IsZero() && d < failureCostDecay {
			cost += costFailed * float64(failureCostDecay-d) / float64(failureCostDecay)
		}
		if inst.Domain != f.self.Domain {
			cost += costRemoteDomain
		}
		if !ok || cost < bestCost {
			best, bestCost, ok = inst.Contact, cost, true
		}
	}
	if ok && bestCost > maxRetryCost {
		return exchanger.Contact{}, false
	}
	return best, ok
}

// subscribeToPeers keeps a control instance subscribed to all known peers until ctx ends.
func (f *fleet) subscribeToPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		var members []committer.Member
		if c := f.control.replica.Load(); c != nil {
			members = c.Status().Members
		}
		f.mu.Lock()
		for _, m := range members {
			f.recordInstance(exchanger.Contact{Name: m.Name, Address: m.Address, Eligible: true}, false)
		}
		for name, inst := range f.instances {
			if name == f.self.Name || inst.subscribed {
				continue
			}
			inst.subscribed = true
			go f.maintainPeerSubscription(ctx, inst)
		}
		f.mu.Unlock()
		sleeper.Pause(ctx, discoveryInterval)
	}
	return ctx.Err()
}

// maintainPeerSubscription renews a subscription to a peer until the peer's record is removed or expires.
func (f *fleet) maintainPeerSubscription(ctx context.Context, inst *knownInstance) {
	for ctx.Err() == nil {
		start := time.Now()
		f.mu.Lock()
		c := inst.Contact
		f.mu.Unlock()
		r := newReceiver(f, c, nil)
		r.isPeer = true
		err := f.runSubscription(ctx, r)
		f.mu.Lock()
		expired := f.instances[c.Name] != inst || time.Since(inst.seenAt) > instanceRetention
		inst.subscribed = !expired
		inst.reported, inst.routers = reported{}, 0
		f.mu.Unlock()
		if expired {
			return
		}
		if time.Since(start) > minLoggedSubscription && ctx.Err() == nil {
			f.log.event("peer instance lost", "instance", c.Name, "address", c.Address, "err", err)
		}
		sleeper.Pause(ctx, discoveryInterval)
	}
}

// discover exchanges contacts with other nodes while this one is not subscribed to a control instance or has no quorum,
// and contacts lost subscribers, until ctx ends. The bootstrapper of a first start creates the control group.
func (f *fleet) discover(ctx context.Context) error {
	delay, lostRounds := discoveryInterval, 0
	for ctx.Err() == nil {
		targets, isLost := f.discoveryTargets()
		for _, address := range targets {
			go f.exchangeContacts(ctx, address)
		}
		if f.control != nil && f.settings.FirstStart && f.discovery.Bootstrapper() == f.self.Name {
			if c := f.control.replica.Load(); c != nil {
				c.Bootstrap()
			}
		}
		// Nodes that find nobody look less often after some rounds, so that many of them don't load the few that could
		// answer. The first rounds find each other after a failure of all.
		if lostRounds++; !isLost {
			delay, lostRounds = discoveryInterval, 0
		} else if lostRounds > fastDiscoveryRounds {
			delay = min(delay*3/2, maxDiscoveryInterval)
		}
		sleeper.Pause(ctx, delay)
	}
	return ctx.Err()
}

// exchangeContacts exchanges contacts with the node at an address.
func (f *fleet) exchangeContacts(ctx context.Context, address string) {
	isQuorate := f.control != nil && f.control.isQuorate()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.exchanging, address)
	}()
	if err := f.discovery.ExchangeContacts(ctx, address); err != nil {
		f.log.debug("msg", "contacts not exchanged with node", "address", address, "err", err)
		return
	}
	if !isQuorate {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(f.seeds, address) {
		f.seedsInformedAt[address] = time.Now()
	}
}

// discoveryTargets returns the addresses of the nodes to exchange contacts with, without those with which an exchange
// runs; isLost is set if this node knows no control instance with a quorum that serves it.
func (f *fleet) discoveryTargets() (addresses []string, isLost bool) {
	withoutQuorum := f.control != nil && !f.control.isQuorate()
	// The seeds may all be routers that are not subscribed to a control instance themselves.
	peers := f.discovery.EligibleAddresses()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := map[string]bool{}
	if isLost = withoutQuorum || f.control == nil && f.subscribedTo == ""; isLost {
		for _, s := range append(peers, f.seeds...) {
			targets[s] = true
		}
		for _, inst := range f.instances {
			targets[inst.Address] = true
		}
	}
	if f.control != nil {
		// Routers may know no other node than seeds that are routers, too.
		for _, s := range f.seeds {
			if now.Sub(f.seedsInformedAt[s]) > seedInformInterval {
				targets[s] = true
			}
		}
	}
	for name, sub := range f.subscribers {
		switch {
		case sub.subscriptions > 0:
		case now.Sub(sub.changedAt) > lostSubscriberRetention:
			delete(f.subscribers, name)
		case int(now.Sub(sub.changedAt)/discoveryInterval)%lostSubscriberRounds == 0:
			targets[sub.Address] = true
		}
	}
	delete(targets, f.self.Address)
	maps.DeleteFunc(targets, func(address string, _ bool) bool { return f.exchanging[address] })
	for address := range targets {
		f.exchanging[address] = true
	}
	return slices.Sorted(maps.Keys(targets)), isLost
}

// lostSubscriberRounds is the number of discovery rounds between two attempts to contact a lost subscriber.
const lostSubscriberRounds = 10
