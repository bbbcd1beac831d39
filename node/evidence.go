package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/attributor"
)

const (
	// maxRecentAnswers bounds the parts of prompts whose last answers are remembered, in each of two generations.
	maxRecentAnswers = 8192

	// maxPendingEvidence bounds the records that wait for a subscription.
	maxPendingEvidence = 4096

	// evidenceReportDelay collects evidence into one message to the control instance.
	evidenceReportDelay = 20 * time.Millisecond

	// crashCheckDelay is the time between the end of a connection and the check whether its endpoint has ended: the
	// sockets of a process that ends are not closed at the same time.
	crashCheckDelay = 20 * time.Millisecond

	// crashCheckTimeout bounds the check, also of a node that is short of processor time and begins it late. Without a
	// refusal, the endpoint may be alive and cut off.
	crashCheckTimeout = 500 * time.Millisecond

	// soundEvents is the number of events from which a stream counts as an answer; an endpoint may crash with the first.
	soundEvents = 2
)

// recentAnswers remembers when prompts with a part were last answered. It forgets the parts that were answered longest
// ago.
type recentAnswers struct{ current, previous map[attributor.Part]time.Time }

func (r *recentAnswers) record(part attributor.Part, at time.Time) {
	if r.current == nil || len(r.current) >= maxRecentAnswers {
		r.current, r.previous = map[attributor.Part]time.Time{}, r.current
	}
	r.current[part] = at
}

func (r *recentAnswers) last(part attributor.Part) (at time.Time, ok bool) {
	if at, ok = r.current[part]; !ok {
		at, ok = r.previous[part]
	}
	return at, ok
}

// evidence is what this node knows of prompt parts and crashes of endpoints, and of the parts that are convicted.
type evidence struct {
	node      string // name of this node
	log       *rateLimitedLog
	isControl bool
	publish   func(exchanger.Evidence) // to the subscribers of a control instance

	convictions atomic.Int64  // in force
	crashed     chan struct{} // capacity 1: there are crashes to evaluate
	unreported  chan struct{} // capacity 1: pending is not empty

	mu         sync.Mutex
	attributor *attributor.Attributor
	answers    recentAnswers
	pending    exchanger.Evidence // for the control instance
}

func newEvidence(node string, isControl bool, log *rateLimitedLog) *evidence {
	return &evidence{node: node, log: log, isControl: isControl, publish: func(exchanger.Evidence) {},
		crashed: make(chan struct{}, 1), unreported: make(chan struct{}, 1), attributor: attributor.New()}
}

// merge records evidence and passes on what is new: a control instance to its subscribers, another node to its control
// instance unless it comes from there.
func (ev *evidence) merge(e exchanger.Evidence, source string) {
	var news, replies exchanger.Evidence
	ev.mu.Lock()
	for _, s := range e.Suspects {
		if !ev.attributor.RecordSuspect(s) {
			continue
		}
		news.Suspects = append(news.Suspects, s)
		for _, part := range s.Parts {
			if at, ok := ev.answers.last(part); ok {
				ev.recordAnswer(&replies, attributor.Answer{Part: part, At: at})
			}
		}
	}
	for _, a := range e.Answers {
		ev.recordAnswer(&news, a)
	}
	for _, c := range e.Convictions {
		known, _ := ev.attributor.Conviction(c.Part)
		if !ev.attributor.MergeConviction(c) {
			continue
		}
		if known.Revision != c.Revision || known.Lifted != c.Lifted {
			ev.logConviction(c, source)
		}
		news.Convictions = append(news.Convictions, c)
	}
	ev.countConvictions()
	ev.mu.Unlock()
	ev.share(news, source == ev.node)
	ev.share(replies, true)
	if len(news.Suspects) > 0 {
		notify(ev.crashed)
	}
}

// recordAnswer records an answer and adds it to news if it is new evidence; the caller holds mu.
func (ev *evidence) recordAnswer(news *exchanger.Evidence, a attributor.Answer) {
	isNew, lifted := ev.attributor.RecordAnswer(a)
	if isNew {
		news.Answers = append(news.Answers, a)
	}
	if lifted != nil {
		ev.logConviction(*lifted, "answer")
		news.Convictions = append(news.Convictions, *lifted)
	}
}

// countConvictions updates convictions; the caller holds mu.
func (ev *evidence) countConvictions() {
	n := int64(0)
	for _, c := range ev.attributor.Convictions() {
		if !c.Lifted {
			n++
		}
	}
	ev.convictions.Store(n)
}

// share publishes new evidence to subscribers, or queues own evidence for the control instance.
func (ev *evidence) share(e exchanger.Evidence, isOwn bool) {
	if e.Len() == 0 {
		return
	}
	if ev.isControl {
		ev.publish(e)
		return
	}
	if !isOwn {
		return
	}
	ev.mu.Lock()
	if ev.pending.Len()+e.Len() > maxPendingEvidence {
		ev.pending = exchanger.Evidence{} // the next subscription starts with all evidence
	}
	ev.pending.Add(e)
	ev.mu.Unlock()
	notify(ev.unreported)
}

// notify signals a channel of capacity 1.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// all returns everything known, for a node that may know nothing.
func (ev *evidence) all() exchanger.Evidence {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return exchanger.Evidence{Suspects: ev.attributor.Suspects(), Answers: ev.attributor.Answers(),
		Convictions: ev.attributor.Convictions()}
}

// report sends own evidence to a control instance until ctx ends or the connection fails. What was lost with a
// connection is sent at the start of the next subscription.
func (ev *evidence) report(ctx context.Context, send func(context.Context, exchanger.Evidence) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ev.unreported:
		}
		sleeper.Pause(ctx, evidenceReportDelay)
		ev.mu.Lock()
		e := ev.pending
		ev.pending = exchanger.Evidence{}
		ev.mu.Unlock()
		if e.Len() > 0 && send(ctx, e) != nil {
			return
		}
	}
}

// recordAnswers records that prompts with the parts were answered.
func (ev *evidence) recordAnswers(parts []attributor.Part) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	var news exchanger.Evidence
	ev.mu.Lock()
	for _, part := range parts {
		ev.answers.record(part, now)
		ev.recordAnswer(&news, attributor.Answer{Part: part, At: now})
	}
	if len(news.Answers) > 0 {
		ev.countConvictions()
	}
	ev.mu.Unlock()
	ev.share(news, true)
}

// check returns the conviction for which a request is refused; ok is true if it may be sent.
func (ev *evidence) check(parts []attributor.Part) (c attributor.Conviction, ok bool) {
	if ev.convictions.Load() == 0 {
		return c, true
	}
	now := time.Now()
	var refused []attributor.Part
	var news exchanger.Evidence
	ev.mu.Lock()
	for _, part := range parts {
		if ev.attributor.IsConvicted(part) {
			refused = append(refused, part)
		}
	}
	ok = len(refused) == 0 || len(refused) == 1 && ev.attributor.TakeTrial(ev.node, refused[0])
	if !ok {
		for _, part := range refused {
			changed, report := ev.attributor.RecordRefusal(now, ev.node, part)
			if c = changed; report {
				news.Convictions = append(news.Convictions, c)
			}
		}
	}
	ev.mu.Unlock()
	ev.share(news, true)
	if ok && len(refused) == 1 {
		ev.log.event("convicted prompt part is tried", "part", refused[0])
	}
	return c, ok
}

// evaluate convicts the parts to which crashes point, until ctx ends.
func (ev *evidence) evaluate(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ev.crashed:
		}
		sleeper.Pause(ctx, attributor.Grace)
		ev.update(func(a *attributor.Attributor) []attributor.Conviction { return a.Evaluate(time.Now()) })
	}
}

// grantTrials lets nodes try whether convicted parts are sound. Only one node of the fleet may call it.
func (ev *evidence) grantTrials(now time.Time) {
	ev.update(func(a *attributor.Attributor) []attributor.Conviction { return a.GrantTrials(now) })
}

// update changes convictions and publishes them.
func (ev *evidence) update(change func(a *attributor.Attributor) []attributor.Conviction) {
	ev.mu.Lock()
	changed := change(ev.attributor)
	for _, c := range changed {
		ev.logConviction(c, ev.node)
	}
	ev.countConvictions()
	ev.mu.Unlock()
	ev.share(exchanger.Evidence{Convictions: changed}, true)
}

// applyLifts carries out orders of operators from the log.
func (ev *evidence) applyLifts(list []attributor.Lift) {
	ev.update(func(a *attributor.Attributor) (changed []attributor.Conviction) {
		for _, l := range list {
			if c, ok := a.ApplyLift(time.Now(), l); ok {
				changed = append(changed, c)
			}
		}
		return changed
	})
}

// conviction returns the last conviction of a part; ok is false if there is none.
func (ev *evidence) conviction(part attributor.Part) (c attributor.Conviction, ok bool) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.attributor.Conviction(part)
}

// expire drops evidence and convictions that are past their retention.
func (ev *evidence) expire(now time.Time) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	for _, c := range ev.attributor.Expire(now) {
		if !c.Lifted {
			ev.log.event("conviction of a prompt part has expired", "part", c.Part,
				"refusedAgeMs", now.Sub(c.RefusedAt).Milliseconds())
		}
	}
	ev.countConvictions()
}

// logConviction logs a changed conviction.
func (ev *evidence) logConviction(c attributor.Conviction, source string) {
	msg := "prompt part convicted"
	switch {
	case c.Lifted:
		msg = "conviction of a prompt part lifted"
	case c.Trials > 0:
		msg = "convicted prompt part may be tried"
	}
	now := time.Now()
	ev.log.event(msg, "part", c.Part, "revision", c.Revision, "crashes", c.Crashes, "ageMs", now.Sub(c.At).Milliseconds(),
		"refusedAgeMs", now.Sub(c.RefusedAt).Milliseconds(), "trials", c.Trials, "trialBy", c.TrialBy, "source", source)
}
