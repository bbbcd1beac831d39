package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

// State implements exchanger.Source.
func (f *fleet) State() fleetapplier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleetapplier.State{Index: f.received.index, Plan: f.received.plan, TakenOut: f.received.takenOut}
}

// MayServe implements exchanger.Source.
func (f *fleet) MayServe() bool { return f.State().Index > 0 || f.control.isQuorate() }

// Endpoints implements exchanger.Source.
func (f *fleet) Endpoints() []registrar.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints.All()
}

// Beat implements exchanger.Source.
func (f *fleet) Beat() exchanger.Beat {
	b := exchanger.Beat{Quorate: f.control.isQuorate(), Hubs: f.quorateInstances()}
	b.Attached, b.Routers = f.connectedRouters(time.Now())
	return b
}

// attachedRouters returns the routers that are subscribed here, and all nodes that route requests, as far as known.
func (f *fleet) connectedRouters(now time.Time) (here, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, a := range f.subscribers {
		if _, isHub := f.instances[name]; a.subscriptions > 0 && !isHub {
			here++
		}
	}
	all = here + 1
	for name, h := range f.instances {
		if name != f.self.Name && now.Sub(h.quorateAt) <= quorateTimeout {
			all += h.routers + 1
		}
	}
	return here, all
}

// Attached implements exchanger.Source.
func (f *fleet) Attached(c exchanger.Contact) {
	f.mu.Lock()
	a := f.subscribers[c.Name]
	if a == nil || a.Address != c.Address {
		a = &subscriber{Contact: c}
		f.subscribers[c.Name] = a
	}
	a.subscriptions++
	a.changedAt = time.Now()
	if c.Eligible {
		f.recordInstance(c, false)
	}
	f.mu.Unlock()
	f.log.belief("subscriber attached", "subscriber", c.Name, "address", c.Address)
}

// Detached implements exchanger.Source.
func (f *fleet) Detached(c exchanger.Contact) {
	f.mu.Lock()
	if a := f.subscribers[c.Name]; a != nil && a.Address == c.Address {
		a.subscriptions--
		a.loads = nil
		a.changedAt = time.Now()
	}
	f.mu.Unlock()
	f.log.belief("subscriber lost", "subscriber", c.Name, "address", c.Address)
}

// LoadsReceived implements exchanger.Source.
func (f *fleet) LoadsReceived(from exchanger.Contact, loads exchanger.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.subscribers[from.Name]; a != nil {
		a.loads = loads
	}
}

// Loads implements exchanger.Source.
func (f *fleet) Loads(to exchanger.Contact) exchanger.Loads {
	sum := f.routing.inFlight()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, a := range f.subscribers {
		if f.instances[name] == nil && a.subscriptions > 0 {
			addLoads(sum, a.loads)
		}
	}
	if to.Eligible {
		return sum
	}
	for name, h := range f.instances {
		if name != f.self.Name {
			addLoads(sum, h.loads)
		}
	}
	return sum
}

func addLoads(sum, more exchanger.Loads) {
	for id, n := range more {
		sum[id] += n
	}
}

// Suspects implements exchanger.Source.
func (f *fleet) Suspects(list []exchanger.Suspect) { f.addSuspects(list) }

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

// EndpointsReceived implements exchanger.Source.
func (f *fleet) EndpointsReceived(list []registrar.Endpoint) { f.mergeEndpoints(list, "subscriber") }

// receiver is the subscription to one control instance.
type receiver struct {
	fleet    *fleet
	instance exchanger.Contact
	// peer is set on the subscriptions between control instances, which have the replicated state from their logs.
	isPeer      bool
	failBack    func() // called when a nearer control instance is to be preferred
	remoteSince time.Time
}

// Held implements exchanger.Receiver.
func (r *receiver) Held() (index, version uint64) {
	if r.isPeer {
		return ^uint64(0), 0
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.received.index, r.fleet.received.plan.Version
}

// StateReceived implements exchanger.Receiver.
func (r *receiver) StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string) {
	set := map[string]bool{}
	for _, d := range takenOut {
		set[d] = true
	}
	r.fleet.receiveState(index, plan, set)
}

// EndpointsReceived implements exchanger.Receiver.
func (r *receiver) EndpointsReceived(list []registrar.Endpoint, _ bool) {
	r.fleet.mergeEndpoints(list, r.instance.Name)
}

// SuspectsReceived implements exchanger.Receiver.
func (r *receiver) SuspectsReceived(list []exchanger.Suspect) { r.fleet.addSuspects(list) }

// Loads implements exchanger.Receiver.
func (r *receiver) Loads() exchanger.Loads {
	if r.isPeer {
		return nil
	}
	return r.fleet.routing.inFlight()
}

// LoadsReceived implements exchanger.Receiver.
func (r *receiver) LoadsReceived(loads exchanger.Loads) {
	f := r.fleet
	if !r.isPeer {
		f.routing.setTotalInFlight(loads)
		return
	}
	f.mu.Lock()
	if h := f.instances[r.instance.Name]; h != nil {
		h.loads = loads
	}
	f.mu.Unlock()
}

// shareLoads lets a control instance use the numbers that it hands out, until ctx ends.
func (f *fleet) aggregateLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		f.routing.setTotalInFlight(f.Loads(exchanger.Contact{}))
		pauser.Pause(ctx, loadAggregationInterval)
	}
	return ctx.Err()
}

// BeatReceived implements exchanger.Receiver.
func (r *receiver) BeatReceived(b exchanger.Beat) {
	f := r.fleet
	if b.Quorate && !r.isPeer {
		f.confirmedNanos.Store(int64(time.Since(f.started)))
	}
	f.mu.Lock()
	for _, c := range b.Hubs {
		// What other instances say of one that this node hears itself is older.
		h := f.recordInstance(c, c.Name == r.instance.Name || !r.isPeer)
		if c.Name == r.instance.Name {
			h.routers = b.Attached
		}
	}
	f.mu.Unlock()
	nearer := r.instance.Domain != f.self.Domain &&
		slices.ContainsFunc(b.Hubs, func(c exchanger.Contact) bool { return c.Domain == f.self.Domain })
	if !r.isPeer {
		f.recordRouterCount(b.Routers)
	}
	switch {
	case r.isPeer || !nearer:
		r.remoteSince = time.Time{}
	case r.remoteSince.IsZero():
		r.remoteSince = time.Now()
	case time.Since(r.remoteSince) > failbackDelay:
		r.failBack()
	}
}

// subscribe keeps this router subscribed to a control instance until ctx ends.
func (f *fleet) subscribe(ctx context.Context) error {
	for ctx.Err() == nil {
		c, ok := f.selectInstance()
		if !ok {
			pauser.Pause(ctx, discoveryInterval/2)
			continue
		}
		err := f.runSubscription(ctx, c, false)
		f.mu.Lock()
		if h := f.instances[c.Name]; h != nil {
			h.failedAt = time.Now()
		}
		f.subscribedTo = ""
		f.mu.Unlock()
		if ctx.Err() == nil {
			f.log.belief("control instance lost", "instance", c.Name, "address", c.Address, "err", err)
		}
	}
	return ctx.Err()
}

// follow runs one subscription.
func (f *fleet) runSubscription(ctx context.Context, c exchanger.Contact, peer bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &receiver{fleet: f, instance: c, isPeer: peer, failBack: cancel}
	sub, err := exchanger.Subscribe(ctx, c, f.self, messenger.Options{}, r, f.Endpoints())
	if err != nil {
		return err
	}
	f.log.belief("control instance found", "instance", c.Name, "address", c.Address)
	if !peer {
		f.mu.Lock()
		f.subscribedTo = c.Name
		f.mu.Unlock()
		go f.sendSuspectReports(ctx, sub)
	}
	return sub.Receive(ctx, r, !peer)
}

func (f *fleet) sendSuspectReports(ctx context.Context, sub *exchanger.Subscription) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-f.suspectReports:
			if sub.Report(ctx, []exchanger.Suspect{s}) != nil {
				return
			}
		}
	}
}

// The costs by which control instances are compared, in that order of weight: one that failed just now, one without a
// majority, one in another failure domain.
const (
	costFailed       = 1000
	costNoQuorum     = 100
	costRemoteDomain = 1

	// failedFor is the time over which the cost of a failure falls to nothing; restarts are shorter.
	failureCostDecay = 10 * time.Second

	// costTooSoon is what a failure costs after a second: before that, none is tried again.
	maxRetryCost = 900

	// steadyAfter is how long a subscription has lasted whose end is worth a line.
	minLoggedSubscription = time.Second
)

// nextHub returns the control instance to try next: one that is said to have a majority, that didn't fail lately, in
// the own failure domain.
func (f *fleet) selectInstance() (best exchanger.Contact, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	bestCost := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.instances)) {
		h := f.instances[name]
		if name == f.self.Name {
			continue
		}
		cost := 0.0
		if now.Sub(h.quorateAt) > quorateTimeout {
			cost += costNoQuorum
		}
		if d := now.Sub(h.failedAt); !h.failedAt.IsZero() && d < failureCostDecay {
			cost += costFailed * float64(failureCostDecay-d) / float64(failureCostDecay)
		}
		if h.Domain != f.self.Domain {
			cost += costRemoteDomain
		}
		if !ok || cost < bestCost {
			best, bestCost, ok = h.Contact, cost, true
		}
	}
	if ok && bestCost > maxRetryCost {
		return exchanger.Contact{}, false
	}
	return best, ok
}

// followPeers keeps a control instance subscribed to all others until ctx ends.
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
		for name, h := range f.instances {
			if name == f.self.Name || h.subscribed {
				continue
			}
			h.subscribed = true
			go f.maintainPeerSubscription(ctx, h)
		}
		f.mu.Unlock()
		pauser.Pause(ctx, discoveryInterval)
	}
	return ctx.Err()
}

// followPeer runs until the other instance is forgotten.
func (f *fleet) maintainPeerSubscription(ctx context.Context, h *knownInstance) {
	for ctx.Err() == nil {
		began := time.Now()
		f.mu.Lock()
		c := h.Contact
		f.mu.Unlock()
		err := f.runSubscription(ctx, c, true)
		f.mu.Lock()
		gone := f.instances[c.Name] != h || time.Since(h.seenAt) > instanceRetention
		h.subscribed = !gone
		h.loads, h.routers = nil, 0
		f.mu.Unlock()
		if gone {
			return
		}
		if time.Since(began) > minLoggedSubscription && ctx.Err() == nil {
			f.log.belief("peer instance lost", "instance", c.Name, "address", c.Address, "err", err)
		}
		pauser.Pause(ctx, discoveryInterval)
	}
}

// seek introduces this node to others while it knows no control instance, or belongs to no group, and looks for
// routers that were attached here.
func (f *fleet) discover(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range f.discoveryTargets() {
			go func() {
				if err := f.meeting.Meet(ctx, address); err != nil {
					f.log.debug("msg", "node not met", "address", address, "err", err)
				}
			}()
		}
		if f.control != nil && f.settings.FirstStart && f.meeting.Founder() == f.self.Name {
			if c := f.control.replica.Load(); c != nil {
				c.Found()
			}
		}
		pauser.Pause(ctx, discoveryInterval)
	}
	return ctx.Err()
}

// seekTargets returns the addresses to introduce this node to.
func (f *fleet) discoveryTargets() []string {
	lost := f.control != nil && !f.control.isQuorate()
	// The seeds may be routers that look for a control instance themselves.
	peers := f.meeting.Peers()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	set := map[string]bool{}
	if lost || f.control == nil && f.subscribedTo == "" {
		for _, s := range append(peers, f.seeds...) {
			set[s] = true
		}
		for _, h := range f.instances {
			set[h.Address] = true
		}
	}
	for name, a := range f.subscribers {
		switch {
		case a.subscriptions > 0:
		case now.Sub(a.changedAt) > lostSubscriberRetention:
			delete(f.subscribers, name)
		case int(now.Sub(a.changedAt)/discoveryInterval)%lostSubscriberRounds == 0:
			set[a.Address] = true
		}
	}
	delete(set, f.self.Address)
	return slices.Sorted(maps.Keys(set))
}

// inviteEvery is the number of rounds between two introductions to a router that was attached here.
const lostSubscriberRounds = 10
