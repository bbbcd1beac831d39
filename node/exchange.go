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
	return fleetapplier.State{Index: f.held.index, Plan: f.held.plan, TakenOut: f.held.takenOut}
}

// MayServe implements exchanger.Source.
func (f *fleet) MayServe() bool { return f.State().Index > 0 || f.hub.isQuorate() }

// Endpoints implements exchanger.Source.
func (f *fleet) Endpoints() []registrar.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints.All()
}

// Beat implements exchanger.Source.
func (f *fleet) Beat() exchanger.Beat {
	b := exchanger.Beat{Quorate: f.hub.isQuorate(), Hubs: f.quorateHubs()}
	b.Attached, b.Routers = f.attachedRouters(time.Now())
	return b
}

// attachedRouters returns the routers that are subscribed here, and all nodes that route requests, as far as known.
func (f *fleet) attachedRouters(now time.Time) (here, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, a := range f.attached {
		if _, isHub := f.hubs[name]; a.count > 0 && !isHub {
			here++
		}
	}
	all = here + 1
	for name, h := range f.hubs {
		if name != f.self.Name && now.Sub(h.quorate) <= hubFor {
			all += h.attached + 1
		}
	}
	return here, all
}

// Attached implements exchanger.Source.
func (f *fleet) Attached(c exchanger.Contact) {
	f.mu.Lock()
	a := f.attached[c.Name]
	if a == nil || a.Address != c.Address {
		a = &attached{Contact: c}
		f.attached[c.Name] = a
	}
	a.count++
	a.since = time.Now()
	if c.Eligible {
		f.seeHub(c, false)
	}
	f.mu.Unlock()
	f.log.event("subscriber attached", "subscriber", c.Name, "address", c.Address)
}

// Detached implements exchanger.Source.
func (f *fleet) Detached(c exchanger.Contact) {
	f.mu.Lock()
	if a := f.attached[c.Name]; a != nil && a.Address == c.Address {
		a.count--
		a.loads = nil
		a.since = time.Now()
	}
	f.mu.Unlock()
	f.log.event("subscriber lost", "subscriber", c.Name, "address", c.Address)
}

// LoadsReceived implements exchanger.Source.
func (f *fleet) LoadsReceived(from exchanger.Contact, loads exchanger.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.attached[from.Name]; a != nil {
		a.loads = loads
	}
}

// Loads implements exchanger.Source.
func (f *fleet) Loads(to exchanger.Contact) exchanger.Loads {
	sum := f.routing.inFlight()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, a := range f.attached {
		if f.hubs[name] == nil && a.count > 0 {
			addLoads(sum, a.loads)
		}
	}
	if to.Eligible {
		return sum
	}
	for name, h := range f.hubs {
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
	fleet *fleet
	hub   exchanger.Contact
	// peer is set on the subscriptions between control instances, which have the replicated state from their logs.
	peer bool
	home func() // called when a nearer control instance is to be preferred
	away time.Time
}

// Held implements exchanger.Receiver.
func (r *receiver) Held() (index, version uint64) {
	if r.peer {
		return ^uint64(0), 0
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.held.index, r.fleet.held.plan.Version
}

// StateReceived implements exchanger.Receiver.
func (r *receiver) StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string) {
	set := map[string]bool{}
	for _, d := range takenOut {
		set[d] = true
	}
	r.fleet.stateChanged(index, plan, set)
}

// EndpointsReceived implements exchanger.Receiver.
func (r *receiver) EndpointsReceived(list []registrar.Endpoint, _ bool) {
	r.fleet.mergeEndpoints(list, r.hub.Name)
}

// SuspectsReceived implements exchanger.Receiver.
func (r *receiver) SuspectsReceived(list []exchanger.Suspect) { r.fleet.addSuspects(list) }

// Loads implements exchanger.Receiver.
func (r *receiver) Loads() exchanger.Loads {
	if r.peer {
		return nil
	}
	return r.fleet.routing.inFlight()
}

// LoadsReceived implements exchanger.Receiver.
func (r *receiver) LoadsReceived(loads exchanger.Loads) {
	f := r.fleet
	if !r.peer {
		f.routing.total(loads)
		return
	}
	f.mu.Lock()
	if h := f.hubs[r.hub.Name]; h != nil {
		h.loads = loads
	}
	f.mu.Unlock()
}

// shareLoads lets a control instance use the numbers that it hands out, until ctx ends.
func (f *fleet) shareLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		f.routing.total(f.Loads(exchanger.Contact{}))
		pauser.Pause(ctx, shareInterval)
	}
	return ctx.Err()
}

// BeatReceived implements exchanger.Receiver.
func (r *receiver) BeatReceived(b exchanger.Beat) {
	f := r.fleet
	if b.Quorate && !r.peer {
		f.confirmed.Store(int64(time.Since(f.started)))
	}
	f.mu.Lock()
	for _, c := range b.Hubs {
		// What other instances say of one that this node hears itself is older.
		h := f.seeHub(c, c.Name == r.hub.Name || !r.peer)
		if c.Name == r.hub.Name {
			h.attached = b.Attached
		}
	}
	f.mu.Unlock()
	nearer := r.hub.Domain != f.self.Domain &&
		slices.ContainsFunc(b.Hubs, func(c exchanger.Contact) bool { return c.Domain == f.self.Domain })
	if !r.peer {
		f.countRouters(b.Routers)
	}
	switch {
	case r.peer || !nearer:
		r.away = time.Time{}
	case r.away.IsZero():
		r.away = time.Now()
	case time.Since(r.away) > homeAfter:
		r.home()
	}
}

// subscribe keeps this router subscribed to a control instance until ctx ends.
func (f *fleet) subscribe(ctx context.Context) error {
	for ctx.Err() == nil {
		c, ok := f.nextHub()
		if !ok {
			pauser.Pause(ctx, seekInterval/2)
			continue
		}
		err := f.follow(ctx, c, false)
		f.mu.Lock()
		if h := f.hubs[c.Name]; h != nil {
			h.failed = time.Now()
		}
		f.current = ""
		f.mu.Unlock()
		if ctx.Err() == nil {
			f.log.event("control instance lost", "instance", c.Name, "address", c.Address, "err", err)
		}
	}
	return ctx.Err()
}

// follow runs one subscription.
func (f *fleet) follow(ctx context.Context, c exchanger.Contact, peer bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &receiver{fleet: f, hub: c, peer: peer, home: cancel}
	sub, err := exchanger.Subscribe(ctx, c, f.self, messenger.Options{}, r, f.Endpoints())
	if err != nil {
		return err
	}
	f.log.event("control instance found", "instance", c.Name, "address", c.Address)
	if !peer {
		f.mu.Lock()
		f.current = c.Name
		f.mu.Unlock()
		go f.reportSuspects(ctx, sub)
	}
	return sub.Receive(ctx, r, !peer)
}

func (f *fleet) reportSuspects(ctx context.Context, sub *exchanger.Subscription) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-f.report:
			if sub.Report(ctx, []exchanger.Suspect{s}) != nil {
				return
			}
		}
	}
}

// The costs by which control instances are compared, in that order of weight: one that failed just now, one without a
// majority, one in another failure domain.
const (
	costFailed     = 1000
	costNotQuorate = 100
	costAway       = 1

	// failedFor is the time over which the cost of a failure falls to nothing; restarts are shorter.
	failedFor = 10 * time.Second

	// costTooSoon is what a failure costs after a second: before that, none is tried again.
	costTooSoon = 900

	// steadyAfter is how long a subscription has lasted whose end is worth a line.
	steadyAfter = time.Second
)

// nextHub returns the control instance to try next: one that is said to have a majority, that didn't fail lately, in
// the own failure domain.
func (f *fleet) nextHub() (best exchanger.Contact, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	bestCost := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.hubs)) {
		h := f.hubs[name]
		if name == f.self.Name {
			continue
		}
		cost := 0.0
		if now.Sub(h.quorate) > hubFor {
			cost += costNotQuorate
		}
		if d := now.Sub(h.failed); !h.failed.IsZero() && d < failedFor {
			cost += costFailed * float64(failedFor-d) / float64(failedFor)
		}
		if h.Domain != f.self.Domain {
			cost += costAway
		}
		if !ok || cost < bestCost {
			best, bestCost, ok = h.Contact, cost, true
		}
	}
	if ok && bestCost > costTooSoon {
		return exchanger.Contact{}, false
	}
	return best, ok
}

// followPeers keeps a control instance subscribed to all others until ctx ends.
func (f *fleet) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		var members []committer.Member
		if c := f.hub.replica.Load(); c != nil {
			members = c.Status().Members
		}
		f.mu.Lock()
		for _, m := range members {
			f.seeHub(exchanger.Contact{Name: m.Name, Address: m.Address, Eligible: true}, false)
		}
		for name, h := range f.hubs {
			if name == f.self.Name || h.subscribed {
				continue
			}
			h.subscribed = true
			go f.followPeer(ctx, h)
		}
		f.mu.Unlock()
		pauser.Pause(ctx, seekInterval)
	}
	return ctx.Err()
}

// followPeer runs until the other instance is forgotten.
func (f *fleet) followPeer(ctx context.Context, h *knownHub) {
	for ctx.Err() == nil {
		began := time.Now()
		f.mu.Lock()
		c := h.Contact
		f.mu.Unlock()
		err := f.follow(ctx, c, true)
		f.mu.Lock()
		gone := f.hubs[c.Name] != h || time.Since(h.seen) > forgetHubAfter
		h.subscribed = !gone
		h.loads, h.attached = nil, 0
		f.mu.Unlock()
		if gone {
			return
		}
		if time.Since(began) > steadyAfter && ctx.Err() == nil {
			f.log.event("peer instance lost", "instance", c.Name, "address", c.Address, "err", err)
		}
		pauser.Pause(ctx, seekInterval)
	}
}

// seek introduces this node to others while it knows no control instance, or belongs to no group, and looks for
// routers that were attached here.
func (f *fleet) seek(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range f.seekTargets() {
			go func() {
				if err := f.meeting.Meet(ctx, address); err != nil {
					f.log.debug("msg", "node not met", "address", address, "err", err)
				}
			}()
		}
		if f.hub != nil && f.settings.FirstStart && f.meeting.Founder() == f.self.Name {
			if c := f.hub.replica.Load(); c != nil {
				c.Bootstrap()
			}
		}
		pauser.Pause(ctx, seekInterval)
	}
	return ctx.Err()
}

// seekTargets returns the addresses to introduce this node to.
func (f *fleet) seekTargets() []string {
	lost := f.hub != nil && !f.hub.isQuorate()
	// The seeds may be routers that look for a control instance themselves.
	peers := f.meeting.Peers()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	set := map[string]bool{}
	if lost || f.hub == nil && f.current == "" {
		for _, s := range append(peers, f.seeds...) {
			set[s] = true
		}
		for _, h := range f.hubs {
			set[h.Address] = true
		}
	}
	for name, a := range f.attached {
		switch {
		case a.count > 0:
		case now.Sub(a.since) > inviteFor:
			delete(f.attached, name)
		case int(now.Sub(a.since)/seekInterval)%inviteEvery == 0:
			set[a.Address] = true
		}
	}
	delete(set, f.self.Address)
	return slices.Sorted(maps.Keys(set))
}

// inviteEvery is the number of rounds between two introductions to a router that was attached here.
const inviteEvery = 10
