package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cactusroute.dev/adapters/exchanger"
)

const (
	// subscribeTimeout bounds an attempt to subscribe, up to the first heartbeat. Instances that are short of processor
	// time take seconds, and giving up earlier wastes what they have done.
	subscribeTimeout = 3 * time.Second

	// hedgeDelay is the time after which a further instance is tried beside those that have not answered yet.
	hedgeDelay = 500 * time.Millisecond

	// maxAttempts bounds the attempts to subscribe that run at the same time.
	maxAttempts = 3

	// staleTimeout is how long an instance may send nothing, or report no quorum, before another one is tried.
	staleTimeout = time.Second

	// maxAttemptDelay bounds the delay between attempts to replace a subscription, which doubles from hedgeDelay on.
	maxAttemptDelay = 4 * time.Second

	// subscriptionCheckInterval is how often the subscription of a router is compared with the alternatives, and
	// attemptCheckInterval while it has none or attempts run.
	subscriptionCheckInterval = 300 * time.Millisecond
	attemptCheckInterval      = 100 * time.Millisecond
)

var (
	errSubscribeTimeout = errors.New("no heartbeat in time")
	errNoQuorum         = errors.New("control instance has no quorum")
	errReplaced         = errors.New("another control instance serves better")
)

// routerSubscription is a subscription of a router, or an attempt that may become one.
type routerSubscription struct {
	instance  exchanger.Contact
	receiver  *receiver
	startedAt time.Time
	cancel    context.CancelCauseFunc
	ended     chan struct{}
	err       error // valid once ended is closed
	isRefused bool  // has been cancelled as an attempt
}

func (s *routerSubscription) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// refuse ends an attempt, which must not become the subscription in the time until it has ended.
func (s *routerSubscription) refuse(cause error) {
	s.isRefused = true
	s.cancel(cause)
}

// routerSubscriber keeps a router subscribed. It holds a subscription until another instance has answered, also if its
// instance has no quorum or is slow: what it sends is newer than nothing, and when many routers leave at once, the
// instances spend on their attempts the time that they need to regain the quorum.
type routerSubscriber struct {
	fleet         *fleet
	current       *routerSubscription // nil while there is none
	attempts      []*routerSubscription
	nextAttemptAt time.Time
	attemptDelay  time.Duration // until the attempt after the next one to replace a subscription
	changed       chan struct{} // capacity 1
}

// subscribe keeps this router subscribed to a control instance until ctx ends.
func (f *fleet) subscribe(ctx context.Context) error {
	s := &routerSubscriber{fleet: f, attemptDelay: hedgeDelay, changed: make(chan struct{}, 1)}
	for ctx.Err() == nil {
		now := time.Now()
		s.removeEnded(ctx, now)
		s.promoteAttempt()
		s.startAttempt(ctx, now)
		interval := subscriptionCheckInterval
		if s.current == nil || len(s.attempts) > 0 {
			interval = attemptCheckInterval
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-s.changed:
		case <-t.C:
		}
		t.Stop()
	}
	return ctx.Err()
}

// removeEnded removes subscriptions that have ended, and ends attempts that take too long or found no quorum.
func (s *routerSubscriber) removeEnded(ctx context.Context, now time.Time) {
	if s.current != nil && s.current.hasEnded() {
		s.fleet.setSubscribedTo("")
		s.recordFailure(ctx, now, s.current)
		s.current = nil
	}
	for _, a := range s.attempts {
		hasAnswered, isQuorate := a.receiver.status()
		switch {
		case a.hasEnded():
			s.recordFailure(ctx, now, a)
			if s.current == nil {
				s.nextAttemptAt = time.Time{} // selectInstance leaves out those that have just failed
			}
		case hasAnswered && !isQuorate && s.current != nil:
			a.refuse(errNoQuorum)
		case now.Sub(a.startedAt) > subscribeTimeout:
			a.refuse(errSubscribeTimeout)
		}
	}
	s.attempts = slices.DeleteFunc(s.attempts, (*routerSubscription).hasEnded)
}

// recordFailure makes other instances be preferred for some seconds.
func (s *routerSubscriber) recordFailure(ctx context.Context, now time.Time, sub *routerSubscription) {
	f := s.fleet
	f.mu.Lock()
	if inst := f.instances[sub.instance.Name]; inst != nil {
		inst.failedAt = now
	}
	f.mu.Unlock()
	if ctx.Err() == nil {
		f.log.event("control instance lost", "instance", sub.instance.Name, "address", sub.instance.Address,
			"ms", now.Sub(sub.startedAt).Milliseconds(), "attempts", len(s.attempts), "err", sub.err)
	}
}

// promoteAttempt makes an attempt whose instance has answered the subscription. Only an instance with a quorum replaces
// another one.
func (s *routerSubscriber) promoteAttempt() {
	best := -1
	for i, a := range s.attempts {
		answered, quorate := a.receiver.status()
		if a.isRefused || a.hasEnded() {
			continue
		}
		if quorate {
			best = i
			break
		}
		if answered && s.current == nil {
			best = i
		}
	}
	if best < 0 {
		return
	}
	promoted := s.attempts[best]
	if s.current != nil {
		s.current.cancel(errReplaced)
	}
	for i, a := range s.attempts {
		if i != best {
			a.cancel(errReplaced)
		}
	}
	s.current, s.attempts = promoted, nil
	s.attemptDelay, s.nextAttemptAt = hedgeDelay, time.Time{}
	s.fleet.setSubscribedTo(promoted.instance.Name)
	promoted.receiver.activate()
	s.fleet.log.event("control instance found", "instance", promoted.instance.Name, "address", promoted.instance.Address,
		"ms", time.Since(promoted.startedAt).Milliseconds())
}

// startAttempt tries another instance if there is no subscription or a better one is likely.
func (s *routerSubscriber) startAttempt(ctx context.Context, now time.Time) {
	f := s.fleet
	isAllowed := func(*knownInstance) bool { return true }
	if s.current != nil {
		isStale, isRemote := s.current.receiver.shortcomings(now)
		switch {
		case isStale:
		case isRemote:
			isAllowed = func(inst *knownInstance) bool {
				return inst.Domain == f.self.Domain && now.Sub(inst.quorateAt) <= quorateTimeout
			}
		default:
			s.attemptDelay = hedgeDelay
			return
		}
	}
	if len(s.attempts) >= maxAttempts || now.Before(s.nextAttemptAt) {
		return
	}
	excluded := []string{f.self.Name}
	for _, sub := range append(slices.Clone(s.attempts), s.current) {
		if sub != nil {
			excluded = append(excluded, sub.instance.Name)
		}
	}
	c, ok := f.selectInstance(func(inst *knownInstance) bool {
		return !slices.Contains(excluded, inst.Name) && isAllowed(inst)
	})
	if !ok {
		return
	}
	s.nextAttemptAt = now.Add(hedgeDelay)
	if s.current != nil {
		// Spread over time, because the routers of an instance find out about its state together.
		s.nextAttemptAt = now.Add(s.attemptDelay/2 + rand.N(s.attemptDelay))
		s.attemptDelay = min(2*s.attemptDelay, maxAttemptDelay)
	}
	s.attempts = append(s.attempts, s.start(ctx, c, now))
}

func (s *routerSubscriber) start(ctx context.Context, c exchanger.Contact, now time.Time) *routerSubscription {
	ctx, cancel := context.WithCancelCause(ctx)
	sub := &routerSubscription{instance: c, startedAt: now, cancel: cancel, ended: make(chan struct{}),
		receiver: newReceiver(s.fleet, c, func() { notify(s.changed) })}
	go func() {
		defer cancel(nil)
		err := s.fleet.runSubscription(ctx, sub.receiver)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		sub.err = err
		close(sub.ended)
		notify(s.changed)
	}()
	return sub
}

// setSubscribedTo records the control instance that this router is subscribed to, "" for none.
func (f *fleet) setSubscribedTo(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribedTo = name
}

// runSubscription runs one subscription until it fails or ctx ends.
func (f *fleet) runSubscription(ctx context.Context, r *receiver) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub, err := exchanger.Subscribe(ctx, r.instance, f.self, f.exchangeOptions, r, f.Endpoints(), f.AllEvidence())
	if err != nil {
		return err
	}
	r.setSubscription(sub)
	if r.isPeer {
		f.streams.addPeer(r.instance.Name, sub)
		defer f.streams.removePeer(r.instance.Name, sub)
	}
	go r.report(ctx, sub)
	return sub.Receive(ctx, r)
}

// receiver handles the messages of a subscription to one control instance.
type receiver struct {
	fleet            *fleet
	instance         exchanger.Contact
	isPeer           bool          // of a control instance, which gets the replicated state from its own log
	onFirstHeartbeat func()        // of a router
	activated        chan struct{} // closed when the subscription of a router is no longer an attempt

	mu            sync.Mutex
	subscription  *exchanger.Subscription // nil until it is connected
	hasAnswered   bool                    // with a heartbeat
	isQuorate     bool                    // by the last heartbeat
	noQuorumSince time.Time               // zero while the instance has a quorum
	// localAvailableSince is when an instance in the router's failure domain became available; zero if none is.
	localAvailableSince time.Time
}

func newReceiver(f *fleet, instance exchanger.Contact, onFirstHeartbeat func()) *receiver {
	return &receiver{fleet: f, instance: instance, onFirstHeartbeat: onFirstHeartbeat, activated: make(chan struct{})}
}

func (r *receiver) setSubscription(sub *exchanger.Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscription = sub
}

// status reports whether the instance has sent a heartbeat, and whether it has a quorum.
func (r *receiver) status() (hasAnswered, isQuorate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasAnswered, r.isQuorate
}

// shortcomings reports whether the instance has sent nothing or has had no quorum for staleTimeout, and whether one in
// the router's own failure domain could take its place.
func (r *receiver) shortcomings(now time.Time) (isStale, isRemote bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isStale = now.Sub(r.subscription.HeardAt()) > staleTimeout ||
		!r.noQuorumSince.IsZero() && now.Sub(r.noQuorumSince) > staleTimeout
	isRemote = !r.localAvailableSince.IsZero() && now.Sub(r.localAvailableSince) > failbackDelay
	return isStale, isRemote
}

// activate starts the reports to the instance.
func (r *receiver) activate() { close(r.activated) }

// isActive reports whether the node is subscribed to the instance, and does not only try to be.
func (r *receiver) isActive() bool {
	select {
	case <-r.activated:
		return true
	default:
		return false
	}
}

// report sends the instance of a subscription that is active what this node has observed, until ctx ends.
func (r *receiver) report(ctx context.Context, sub *exchanger.Subscription) {
	select {
	case <-ctx.Done():
		return
	case <-r.activated:
	}
	go r.fleet.sendSuspectReports(ctx, sub)
	go r.fleet.sendLeavingReports(ctx, sub)
	go r.fleet.evidence.report(ctx, sub.ReportEvidence)
	r.fleet.streams.report(ctx, sub)
}

func (f *fleet) sendSuspectReports(ctx context.Context, sub *exchanger.Subscription) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-f.suspectReports:
			if sub.ReportSuspects(ctx, []exchanger.Suspect{s}) != nil {
				return
			}
		}
	}
}

// observe records what a heartbeat tells about the instance.
func (r *receiver) observe(now time.Time, hb exchanger.Heartbeat) {
	domain := r.fleet.self.Domain
	isLocalAvailable := r.instance.Domain != domain &&
		slices.ContainsFunc(hb.QuorateInstances, func(c exchanger.Contact) bool { return c.Domain == domain })
	r.mu.Lock()
	isFirst := !r.hasAnswered
	r.hasAnswered, r.isQuorate = true, hb.Quorate
	r.noQuorumSince = sinceIf(!hb.Quorate, r.noQuorumSince, now)
	r.localAvailableSince = sinceIf(isLocalAvailable, r.localAvailableSince, now)
	r.mu.Unlock()
	if isFirst && r.onFirstHeartbeat != nil {
		r.onFirstHeartbeat()
	}
}

// sinceIf returns when a condition began to hold, given when it did at its last check; zero if it does not hold.
func sinceIf(holds bool, since, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}
