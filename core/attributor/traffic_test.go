package attributor

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scenario is a load of prompts on endpoints, some of which crash.
type scenario struct {
	name         string
	endpoints    int
	rate         float64 // sound requests per second
	instructions int     // different first parts
	subjects     int     // different second parts
	prefill      time.Duration
	badRate      float64       // requests per second with a part that crashes endpoints
	badParts     int           // of them at a time
	renewEvery   time.Duration // after which other bad parts come; 0 means never
	badFrom      time.Duration // before it, prompts with the first bad parts are answered
	sameFirst    bool          // all bad requests have the same first part
	otherCrash   func(at time.Duration, endpoint int, r *rand.Rand) bool
	routerDelay  time.Duration // until what one router records is known to all
}

const (
	scenarioTime  = 30 * time.Second
	scenarioStep  = 10 * time.Millisecond // of crashes that have another cause
	endpointDown  = 4 * time.Second
	settleTime    = 3 * time.Second
	allowedLate   = 3 // requests with a bad part later than settleTime after the fifth crash
	crashesToLate = 5
)

type simRequest struct {
	fingerprint uint64
	parts       []string // first and second part
	isBad       bool
	endpoint    int
	start       int // of the endpoint, counted from 0
	attempts    int
	done        bool
}

type simEndpoint struct {
	start    int
	downTill time.Duration
	waiting  []*simRequest
}

// simEvent is an action at a time; order keeps the sequence of events at the same time.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simulation plays a scenario against one attributor, which receives the evidence of all routers with a delay.
type simulation struct {
	scenario

	random     *rand.Rand
	queue      eventQueue
	order      int
	now        time.Duration
	endpoints  []simEndpoint
	requests   uint64
	attributor *Attributor
	names      map[Part]string
	answered   map[Part]time.Duration // the memories of all routers
	bad        []string
	badCrashes map[string][]time.Duration
	badSends   map[string][]time.Duration
	convicted  map[string]time.Duration // from when it is known everywhere
	wrong      []string                 // convicted, but sound

	firstSent, firstServed int // sound requests that share the first part of bad ones, later than 2*settleTime
}

func simTime(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now + d, order: s.order, run: run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *simulation) part(id string) Part {
	p := NewPart("s", id)
	s.names[p] = id
	return p
}

func (s *simulation) isBad(id string) bool { return slices.Contains(s.bad, id) && s.now >= s.badFrom }

func (s *simulation) run() {
	s.endpoints = make([]simEndpoint, s.scenario.endpoints)
	s.renewBad(0)
	s.after(0, s.nextSound)
	s.after(0, s.nextBad)
	s.after(0, s.crashOthers)
	s.after(0, s.grantTrials)
	for s.queue.Len() > 0 && s.queue[0].at < scenarioTime {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) renewBad(generation int) {
	s.bad = nil
	for i := range s.badParts {
		s.bad = append(s.bad, fmt.Sprintf("bad%d-%d", generation, i))
	}
	if s.renewEvery > 0 {
		s.after(s.renewEvery, func() { s.renewBad(generation + 1) })
	}
}

func (s *simulation) firstPart() string {
	return fmt.Sprintf("instructions%d", s.random.IntN(s.instructions))
}

func (s *simulation) nextSound() {
	s.after(s.exponential(time.Duration(float64(time.Second)/s.rate)), s.nextSound)
	s.send([]string{s.firstPart(), fmt.Sprintf("subject%d", s.random.IntN(s.subjects))})
}

func (s *simulation) nextBad() {
	if s.badRate == 0 {
		return
	}
	s.after(s.exponential(time.Duration(float64(time.Second)/s.badRate)), s.nextBad)
	first := "instructions0"
	if !s.sameFirst {
		first = s.firstPart()
	}
	s.send([]string{first, s.bad[s.random.IntN(len(s.bad))]})
}

func (s *simulation) send(ids []string) {
	s.requests++
	r := &simRequest{fingerprint: s.requests, parts: ids, isBad: s.isBad(ids[1])}
	isCompared := !r.isBad && ids[0] == "instructions0" && s.isPastFifthCrash(2*settleTime)
	if isCompared {
		s.firstSent++
	}
	if s.attempt(r) && isCompared {
		s.firstServed++ // crashes under sound requests end before then
	}
}

func (s *simulation) isPastFifthCrash(d time.Duration) bool {
	for _, crashes := range s.badCrashes {
		if len(crashes) > 0 && s.now > crashes[min(len(crashes), crashesToLate)-1]+d {
			return true
		}
	}
	return false
}

// attempt sends the request to an endpoint that is up; it prefers one by the second part, as routers do.
func (s *simulation) attempt(r *simRequest) bool {
	for _, id := range r.parts {
		if at, ok := s.convicted[id]; ok && s.now >= at && !s.attributor.TakeTrial("router", s.part(id)) {
			s.attributor.RecordRefusal(simTime(s.now), "router", s.part(id))
			return false
		}
	}
	preferred := int(uint64(s.part(r.parts[1])) % uint64(len(s.endpoints)))
	if s.random.Float64() < 0.2 || s.now < s.endpoints[preferred].downTill {
		preferred = s.random.IntN(len(s.endpoints))
	}
	e := &s.endpoints[preferred]
	if s.now < e.downTill {
		return false
	}
	r.endpoint, r.start = preferred, e.start
	r.attempts++
	e.waiting = append(e.waiting, r)
	if r.isBad {
		s.badSends[r.parts[1]] = append(s.badSends[r.parts[1]], s.now)
	}
	s.after(s.prefill/2+s.exponential(s.prefill/2), func() { s.answer(r) })
	return true
}

// answer begins the answer of a request, which crashes the endpoint of a bad one.
func (s *simulation) answer(r *simRequest) {
	e := &s.endpoints[r.endpoint]
	if r.done || r.start != e.start {
		return
	}
	if r.isBad {
		s.badCrashes[r.parts[1]] = append(s.badCrashes[r.parts[1]], s.now)
		s.crash(r.endpoint)
		return
	}
	r.done = true
	e.waiting = slices.DeleteFunc(e.waiting, func(other *simRequest) bool { return other == r })
	for _, id := range r.parts {
		part := s.part(id)
		s.answered[part] = s.now
		s.report(Answer{Part: part, At: simTime(s.now)})
	}
}

func (s *simulation) report(a Answer) {
	s.after(s.routerDelay, func() {
		if _, lifted := s.attributor.RecordAnswer(a); lifted != nil {
			delete(s.convicted, s.names[a.Part])
		}
	})
}

// crash ends an endpoint; routers report the requests that awaited their answers, and retry them once.
func (s *simulation) crash(i int) {
	e := &s.endpoints[i]
	lost := e.waiting
	start := fmt.Sprintf("e%d#%d", i, e.start)
	e.start, e.downTill, e.waiting = e.start+1, s.now+endpointDown, nil
	at := simTime(s.now)
	for _, r := range lost {
		parts := []Part{s.part(r.parts[0]), s.part(r.parts[1])}
		s.after(s.routerDelay, func() {
			s.attributor.RecordSuspect(Suspect{Start: start, At: at, Fingerprint: r.fingerprint, Parts: parts})
			for _, part := range parts {
				if answered, ok := s.answered[part]; ok {
					s.report(Answer{Part: part, At: simTime(answered)})
				}
			}
			s.after(Grace, s.evaluate)
		})
		if r.attempts < 2 {
			s.after(time.Millisecond, func() { s.attempt(r) })
		}
	}
}

func (s *simulation) evaluate() {
	for _, c := range s.attributor.Evaluate(simTime(s.now)) {
		id := s.names[c.Part]
		if c.Lifted {
			delete(s.convicted, id)
			continue
		}
		s.convicted[id] = s.now + s.routerDelay
		if id[:3] != "bad" {
			s.wrong = append(s.wrong, fmt.Sprintf("%s at %v after %d crashes", id, s.now, c.Crashes))
		}
	}
}

func (s *simulation) grantTrials() {
	s.after(100*time.Millisecond, s.grantTrials)
	s.attributor.GrantTrials(simTime(s.now))
}

func (s *simulation) crashOthers() {
	if s.otherCrash == nil {
		return
	}
	s.after(scenarioStep, s.crashOthers)
	for i := range s.endpoints {
		if s.now >= s.endpoints[i].downTill && s.otherCrash(s.now, i, s.random) {
			s.crash(i)
		}
	}
}

// lateSends returns the highest number of requests with one bad part later than settleTime after its fifth crash.
func (s *simulation) lateSends() (late int) {
	for id, crashes := range s.badCrashes {
		if len(crashes) < crashesToLate {
			continue
		}
		n := 0
		for _, at := range s.badSends[id] {
			if at > crashes[crashesToLate-1]+settleTime {
				n++
			}
		}
		late = max(late, n)
	}
	return late
}

// crashTogether crashes a quarter of the endpoints at two moments.
func crashTogether(at time.Duration, endpoint int, _ *rand.Rand) bool {
	return endpoint%4 == 0 && (at == 10*time.Second || at == 20*time.Second)
}

// crashAtRandom crashes each endpoint every 15 s on average.
func crashAtRandom(_ time.Duration, _ int, r *rand.Rand) bool {
	return r.Float64() < float64(scenarioStep)/float64(15*time.Second)
}

// crashInTurn crashes one endpoint after the other, as a release with endpoints that do not drain.
func crashInTurn(at time.Duration, endpoint int, _ *rand.Rand) bool {
	return at > 5*time.Second && at%time.Second == 0 && int(at/time.Second)%9 == endpoint
}

// Guards against requests with a prompt part that crashes endpoints, of which no two are alike, that go on crashing
// endpoints, against sound parts that are refused because their requests waited beside them, and against popular parts
// that are refused because endpoints crash for another reason.
func TestCrashingPartAmongSoundParts(t *testing.T) {
	small := scenario{endpoints: 9, rate: 90, instructions: 20, subjects: 105, prefill: 120 * time.Millisecond,
		routerDelay: 30 * time.Millisecond}
	large := scenario{endpoints: 60, rate: 600, instructions: 20, subjects: 400, prefill: 120 * time.Millisecond,
		routerDelay: 150 * time.Millisecond}
	with := func(base scenario, name string, change func(s *scenario)) scenario {
		base.name, base.badParts = name, 1
		change(&base)
		return base
	}
	for _, sc := range []scenario{
		with(small, "one new part", func(s *scenario) { s.badRate = 2 }),
		with(small, "one new part, same first part", func(s *scenario) { s.badRate, s.sameFirst = 2, true }),
		with(small, "part that was sound", func(s *scenario) { s.badRate, s.badFrom = 2, 10*time.Second }),
		with(small, "two parts at once", func(s *scenario) { s.badRate, s.badParts, s.sameFirst = 4, 2, true }),
		with(small, "new part every five seconds", func(s *scenario) { s.badRate, s.renewEvery = 2, 5*time.Second }),
		with(small, "overloaded", func(s *scenario) { s.badRate, s.sameFirst, s.prefill = 2, true, 600*time.Millisecond }),
		with(large, "large fleet", func(s *scenario) { s.badRate, s.sameFirst = 13, true }),
		with(large, "large fleet, part that was sound", func(s *scenario) { s.badRate, s.badFrom = 13, 10*time.Second }),
		with(small, "other crashes at random", func(s *scenario) { s.badRate, s.otherCrash = 2, crashAtRandom }),
		with(small, "no bad part, endpoints crash together", func(s *scenario) { s.otherCrash = crashTogether }),
		with(large, "no bad part, many endpoints crash together", func(s *scenario) { s.otherCrash = crashTogether }),
		with(small, "no bad part, endpoints crash at random", func(s *scenario) { s.otherCrash = crashAtRandom }),
		with(large, "no bad part, many endpoints crash at random", func(s *scenario) { s.otherCrash = crashAtRandom }),
		with(small, "no bad part, endpoints crash in turn", func(s *scenario) { s.otherCrash = crashInTurn }),
	} {
		t.Run(sc.name, func(t *testing.T) {
			var crashes []int
			for seed := range uint64(8) {
				s := &simulation{scenario: sc, random: rand.New(rand.NewPCG(seed, 1)), attributor: New(),
					names: map[Part]string{}, answered: map[Part]time.Duration{}, badCrashes: map[string][]time.Duration{},
					badSends: map[string][]time.Duration{}, convicted: map[string]time.Duration{}}
				s.run()
				for _, at := range s.badCrashes {
					crashes = append(crashes, len(at))
				}
				assert.Check(t, s.lateSends() <= allowedLate, "seed %d: %d late requests", seed, s.lateSends())
				assert.Check(t, 2*s.firstServed >= s.firstSent, "seed %d: %d of %d requests that share the first part sent",
					seed, s.firstServed, s.firstSent)
				assert.Check(t, len(s.wrong) == 0 || sc.badRate > 0, "seed %d: sound parts convicted: %v", seed, s.wrong)
				for id := range s.convicted {
					assert.Check(t, id[:3] == "bad", "seed %d: sound part refused until the end: %v", seed, s.wrong)
				}
			}
			slices.Sort(crashes)
			if n := len(crashes); n > 0 {
				t.Logf("crashes by bad part: median %d, highest %d", crashes[n/2], crashes[n-1])
			}
		})
	}
}

// Guards against an order to lift a conviction that ends a newer one, that is undone by an older record of the
// conviction or by the crashes before it, or that counts for longer than the revisions of a part are remembered.
func TestLiftEndsTheConvictionItRefersTo(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	convicted := func(revision uint64) Conviction {
		return Conviction{Part: 7, Revision: revision, Crashes: 2, At: now, RefusedAt: now}
	}
	for _, c := range []struct {
		name      string
		known     uint64 // revision; 0 without a conviction
		lift      uint64
		age       time.Duration
		applied   bool
		convicted bool // after a record of revision 3 has been merged
	}{
		{"the one that is known", 3, 3, 0, true, false},
		{"an older one", 3, 2, 0, false, true},
		{"one that is not known yet", 2, 3, 0, true, false},
		{"one that is not known at all", 0, 3, 0, true, false},
		{"an older one that is not known at all", 0, 1, 0, true, true},
		{"long ago", 3, 3, LiftRetention, false, true},
		{"within the retention", 3, 3, LiftRetention - time.Millisecond, true, false},
		{"by a clock that is ahead", 3, 3, -time.Minute, true, false},
	} {
		a := New()
		if c.known > 0 {
			a.MergeConviction(convicted(c.known))
		}
		l := Lift{Part: 7, Revision: c.lift, At: now.Add(-c.age).UnixMilli()}
		_, applied := a.ApplyLift(now, l)
		assert.Equal(t, applied, c.applied, c.name)
		a.MergeConviction(convicted(3))
		assert.Equal(t, a.IsConvicted(7), c.convicted, c.name)
		_, applied = a.ApplyLift(now, l)
		assert.Assert(t, !applied || !c.convicted, c.name)
		a.Expire(now.Add(convictionRetention))
		_, known := a.Conviction(7)
		assert.Assert(t, known, "%s: forgotten while the order counts", c.name)
	}
}
