package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// said is what a start of an endpoint has told, kept apart from the code under test.
type said struct {
	isLeaving  bool
	quietUntil time.Time
}

// quietMachine is a router and the endpoints of a service with random histories.
type quietMachine struct {
	chooser *Chooser
	now     time.Time
	listed  map[string]registrar.Endpoint
	born    int64
	told    map[string]said // by ID and start
	active  []Choice
	seen    []Choice // any choice, for late responses
	service *planner.Service
}

func startOf(e registrar.Endpoint) string { return fmt.Sprintf("%s#%d", e.ID, e.Born) }

func (m *quietMachine) update() {
	var in, out []registrar.Endpoint
	for _, e := range m.listed {
		if e.State == registrar.Draining {
			out = append(out, e)
		} else {
			in = append(in, e)
		}
	}
	m.chooser.Update(m.now, in, out, 1)
}

// declines reports whether the endpoint wants no request by what it has told.
func (m *quietMachine) declines(e registrar.Endpoint) bool {
	s := m.told[startOf(e)]
	return s.isLeaving || m.now.Before(s.quietUntil)
}

func (m *quietMachine) choose(t *rapid.T) {
	q := Query{Service: m.service, Random: rapid.Float64Range(0, 0.999).Draw(t, "random")}
	if rapid.Bool().Draw(t, "prompt") {
		q.Parts = testPrompt(rapid.IntRange(0, 9).Draw(t, "subject"))
	}
	if rapid.IntRange(0, 3).Draw(t, "resumed") == 0 {
		q.IsResumed, q.Version = true, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	}
	if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
		q.Tried = []string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")}
	}
	untilBefore, isQuiet := m.chooser.QuietUntil(m.now, q)
	choice, reason := m.chooser.Choose(m.now, q)
	if reason == "" {
		if m.declines(choice.Endpoint) {
			t.Fatalf("request sent to %s, which has told %+v, at %v", startOf(choice.Endpoint),
				m.told[startOf(choice.Endpoint)], m.now)
		}
		if !m.chooser.Accepts(m.now, choice.Endpoint) {
			t.Fatalf("chosen endpoint is not accepted")
		}
		m.active, m.seen = append(m.active, choice), append(m.seen, choice)
		return
	}
	quiet, first := 0, time.Time{}
	for _, e := range m.listed {
		if e.State == registrar.Draining || q.IsResumed && e.Version != q.Version || m.told[startOf(e)].isLeaving {
			continue
		}
		if !m.declines(e) {
			if !slices.Contains(q.Tried, e.ID) {
				t.Fatalf("refused with %q while %s takes requests", reason, e.ID)
			}
			quiet = -1
			break
		}
		quiet++
		if until := m.told[startOf(e)].quietUntil; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if isQuiet != (quiet > 0) || isQuiet && !untilBefore.Equal(first) {
		t.Fatalf("quiet %v until %v, want %d quiet endpoints, the first until %v", isQuiet, untilBefore, quiet, first)
	}
	if isQuiet != (reason == AllQuiet) {
		t.Fatalf("refused with %q, quiet %v", reason, isQuiet)
	}
}

// respond ends a request with a response in which the endpoint may tell something, also after it has started again.
func (m *quietMachine) respond(t *rapid.T) {
	if len(m.seen) == 0 {
		return
	}
	c := rapid.SampledFrom(m.seen).Draw(t, "request")
	isSame := func(a Choice) bool { return a.At.Equal(c.At) && a.Endpoint.ID == c.Endpoint.ID }
	if i := slices.IndexFunc(m.active, isSame); i >= 0 {
		m.active = slices.Delete(m.active, i, i+1)
		m.chooser.Done(m.now, c)
	}
	s := m.told[startOf(c.Endpoint)]
	switch rapid.IntRange(0, 3).Draw(t, "response") {
	case 0:
		s.isLeaving = true
		m.chooser.RecordLeaving(m.now, c.Endpoint)
	case 1:
		d := time.Duration(rapid.Int64Range(0, 20e9).Draw(t, "quiet"))
		if rapid.IntRange(0, 9).Draw(t, "huge") == 0 {
			d = 1<<63 - 1
		}
		if until := m.now.Add(min(d, maxQuiet)); until.After(s.quietUntil) {
			s.quietUntil = until
		}
		m.chooser.RecordQuiet(m.now, c.Endpoint, d)
	default:
		m.chooser.RecordResponse(c.Endpoint, rapid.Bool().Draw(t, "failed"))
	}
	m.told[startOf(c.Endpoint)] = s
}

func (m *quietMachine) change(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	e, ok := m.listed[id]
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0: // starts again
		m.born++
		m.listed[id] = registrar.Endpoint{ID: id, Service: "llm", Domain: "d", Address: id, State: registrar.Ready,
			Born: m.born, Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
	case 1: // is not listed for some time, and comes back in the same start
		delete(m.listed, id)
		m.update()
		m.now = m.now.Add(time.Duration(rapid.Int64Range(0, 200e9).Draw(t, "absent")))
		m.chooser.EndedStatements(m.now)
		if ok {
			m.listed[id] = e
		}
	case 2: // a heartbeat of the same start
		if ok {
			states := []registrar.State{registrar.Ready, registrar.Silent, registrar.Draining}
			e.State = rapid.SampledFrom(states).Draw(t, "state")
			e.Address, e.Sequence = fmt.Sprint(id, rapid.IntRange(0, 2).Draw(t, "address")), e.Sequence+1
			m.listed[id] = e
		}
	default:
		m.chooser.EndedStatements(m.now)
	}
	m.update()
}

// Guards against a request to an endpoint that leaves or that has asked for quiet, in any order of responses,
// heartbeats, restarts and absences; against refusals while an endpoint takes requests; and against a wrong time to
// come back.
func TestQuietAndLeavingEndpointsGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := *engine
		service.ColdPerSecond = 0
		m := &quietMachine{chooser: New(limits, "r", "d"), now: start, listed: map[string]registrar.Endpoint{},
			told: map[string]said{}, service: &service}
		for range 3 {
			m.change(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"choose":  m.choose,
			"respond": m.respond,
			"change":  m.change,
			"wait":    func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.Int64Range(1, 8e9).Draw(t, "wait"))) },
		})
	})
}

// Guards against a quiet time that a later response shortens, that is reported with each response, or that does not
// end.
func TestQuietTimeIsExtendedOnly(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	e := testEndpoints(1)[0]
	c := New(limits, "r", "d")
	c.Update(start, []registrar.Endpoint{e}, nil, 1)
	for _, step := range []struct {
		name    string
		at      float64 // seconds
		quiet   float64 // 0 for a response without a time
		isNew   bool
		accepts bool
	}{
		{"first", 0, 5, true, false},
		{"shorter", 1, 2, false, false},
		{"none", 1.5, 0, false, false},
		{"zero", 1.5, 0, false, false},
		{"of a request in flight", 1, 4.5, false, false},
		{"longer", 2, 8, true, false},
		{"not over", 9.9, 0, false, false},
		{"over", 10, 0, false, true},
		{"again", 11, 0.5, true, false},
		{"over again", 11.5, 0, false, true},
		{"negative", 12, -1, false, true},
		{"huge", 13, 1e9, true, false},
		{"huge, later", 1e8, 0, false, false},
	} {
		_, isNew := c.RecordQuiet(at(step.at), e, time.Duration(step.quiet*float64(time.Second)))
		assert.Equal(t, isNew, step.isNew, step.name)
		assert.Equal(t, c.Accepts(at(step.at), e), step.accepts, step.name)
		_, reason := c.Choose(at(step.at), Query{Service: engine})
		assert.Equal(t, reason == "", step.accepts, step.name)
	}
	restarted := e
	restarted.Born = 2
	c.Update(at(1e8), []registrar.Endpoint{restarted}, nil, 1)
	_, reason := c.Choose(at(1e8), Query{Service: engine})
	assert.Equal(t, reason, Reason(""))
	ended := c.EndedStatements(at(1e8))
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Cause, EndedByStart)
	assert.Equal(t, len(c.EndedStatements(at(1e8))), 0)
	assert.Equal(t, len(c.statements), 0)
}

// Guards against statements that are kept for ever, or lost while their start may come back.
func TestStatementsOfAbsentEndpointsAreForgotten(t *testing.T) {
	e := testEndpoints(1)[0]
	c := New(limits, "r", "d")
	c.Update(start, []registrar.Endpoint{e}, nil, 1)
	assert.Assert(t, c.RecordLeaving(start, e))
	assert.Assert(t, !c.RecordLeaving(start, e))
	c.Update(start, nil, nil, 1)
	assert.Equal(t, len(c.EndedStatements(start.Add(statementRetention))), 0)
	c.Update(start.Add(time.Minute), []registrar.Endpoint{e}, nil, 1)
	_, reason := c.Choose(start.Add(time.Minute), Query{Service: engine})
	assert.Equal(t, reason, AllLeaving)
	c.Update(start.Add(time.Hour), nil, nil, 1)
	ended := c.EndedStatements(start.Add(time.Hour + statementRetention + 1))
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Cause, EndedByAbsence)
	assert.Equal(t, len(c.statements), 0)
}

// Guards against a reason that lets callers wait, or names the wrong cause, while endpoints leave or are quiet.
func TestReasonsWhileEndpointsDecline(t *testing.T) {
	const leaves, isQuiet, drains, works = 'l', 'q', 'd', '-'
	for _, c := range []struct {
		name  string
		ends  string // what each endpoint does; the first one has version v1, the others v2
		query Query
		want  Reason
	}{
		{"all leave", "lll", Query{}, AllLeaving},
		{"all are quiet", "qqq", Query{}, AllQuiet},
		{"some leave, the others are quiet", "lqq", Query{}, AllQuiet},
		{"some leave, the others drain", "ldd", Query{}, AllLeaving},
		{"one is left", "lq-", Query{}, ""},
		{"one is left and was tried", "lq-", Query{Tried: []string{"e02"}}, AllTried},
		{"the version of a stream leaves", "l--", Query{IsResumed: true, Version: "v1"}, NoVersion},
		{"the version of a stream is quiet", "q--", Query{IsResumed: true, Version: "v1"}, AllQuiet},
		{"another version is quiet", "-qq", Query{IsResumed: true, Version: "v1"}, ""},
	} {
		for _, service := range []*planner.Service{engine, {Name: "llm"}} {
			ch := New(limits, "r", "d")
			ends := testEndpoints(len(c.ends))
			var in, out []registrar.Endpoint
			for i := range ends {
				ends[i].Version = "v2"
				if i == 0 {
					ends[i].Version = "v1"
				}
				if c.ends[i] == drains {
					out = append(out, ends[i])
				} else {
					in = append(in, ends[i])
				}
			}
			ch.Update(start, in, out, 1)
			for i, e := range ends {
				switch c.ends[i] {
				case leaves:
					ch.RecordLeaving(start, e)
				case isQuiet:
					ch.RecordQuiet(start, e, time.Minute)
				case works, drains:
				}
			}
			q := c.query
			q.Service, q.Parts, q.Random = service, testPrompt(1), rand.Float64()
			_, reason := ch.Choose(start, q)
			assert.Equal(t, reason, c.want, c.name)
		}
	}
}

// Guards against a choice that allocates for what endpoints have told.
func TestStatementsAddNoAllocations(t *testing.T) {
	allocations := func(decline bool) float64 {
		f := newFleet(1, 64)
		c := f.routers[0]
		for i, e := range f.ends {
			if decline && i%2 == 0 {
				c.RecordQuiet(start, e, time.Hour)
			}
		}
		q := Query{Service: engine, Parts: testPrompt(1)}
		return testing.AllocsPerRun(200, func() {
			choice, _ := c.Choose(start, q)
			c.Done(start, choice)
		})
	}
	assert.Assert(t, allocations(true) <= allocations(false), "%v allocations, %v without statements",
		allocations(true), allocations(false))
}

// quietLoad is a load on endpoints that turn requests away with a time to come back while they have more than they
// take.
type quietLoad struct {
	*fleet
	service   *planner.Service
	perSecond int
	duration  time.Duration // of a request
	takes     int           // requests in flight at one endpoint
	quiet     time.Duration
	leaving   int // endpoints that leave, one after another from leaveFrom on

	inFlight map[string]int
	pauses   map[string]time.Time // by router and endpoint
	toldAt   map[string]time.Time // by router and endpoint, that it leaves
	unasked  int                  // requests to endpoints that wanted none
	counts   map[Reason]int
	rejected int
	exceeded int // requests above the load bound
	after    map[Reason]int
}

const (
	leaveFrom    = 4 * time.Second
	quietRun     = 14 * time.Second
	quietRestore = 11 * time.Second // from then on endpoints take all requests
	leaveEvery   = 500 * time.Millisecond
)

func (l *quietLoad) run() {
	rng := rand.New(rand.NewPCG(9, 10))
	l.inFlight, l.pauses, l.toldAt = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	l.counts, l.after = map[Reason]int{}, map[Reason]int{}
	var running []completion
	due, total := 0.0, 0
	for ms := range int(quietRun / time.Millisecond) {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		if ms%100 == 0 {
			l.exchange(now)
		}
		running = slices.DeleteFunc(running, func(c completion) bool {
			if now.Before(c.at) {
				return false
			}
			c.router.Done(now, c.choice)
			c.router.RecordResponse(c.choice.Endpoint, false)
			l.inFlight[c.choice.Endpoint.ID]--
			total--
			l.tellLeaving(now, at, c.router, c.choice)
			return true
		})
		for due += float64(l.perSecond) / 1000; due >= 1; due-- {
			router := l.routers[rng.IntN(len(l.routers))]
			q := Query{Service: l.service, Random: rng.Float64(), Priority: float64(rng.IntN(3)) / 2}
			if l.service.Engine {
				q.Parts = testPrompt(rng.IntN(200))
			}
			choice, reason := router.Choose(now, q)
			l.counts[reason]++
			if at > quietRestore+l.quiet {
				l.after[reason]++
			}
			if reason != "" {
				continue
			}
			id := choice.Endpoint.ID
			key := router.name + id
			if _, leaves := l.toldAt[key]; leaves || now.Before(l.pauses[key]) {
				l.unasked++
			}
			if at < quietRestore && l.inFlight[id] >= l.takes {
				l.rejected++
				router.Done(now, choice)
				router.RecordQuiet(now, choice.Endpoint, l.quiet)
				l.pauses[key] = now.Add(l.quiet)
				continue
			}
			if float64(l.inFlight[id]+1) > limits.LoadFactor*float64(total)/float64(len(l.ends))+limits.LoadSlack {
				l.exceeded++
			}
			l.inFlight[id]++
			total++
			running = append(running, completion{now.Add(time.Duration(rng.ExpFloat64() * float64(l.duration))), router, choice})
		}
	}
}

func (l *quietLoad) tellLeaving(now time.Time, at time.Duration, router *Chooser, c Choice) {
	i := slices.IndexFunc(l.ends, func(e registrar.Endpoint) bool { return e.ID == c.Endpoint.ID })
	if i < l.leaving && at >= leaveFrom+time.Duration(i)*leaveEvery {
		router.RecordLeaving(now, c.Endpoint)
		l.toldAt[router.name+c.Endpoint.ID] = now
	}
}

// Guards, under load, against requests to endpoints that want none, against a load bound that is exceeded because the
// others get their requests, and against refusals after the quiet times have ended.
func TestLoadWhileEndpointsDecline(t *testing.T) {
	plain := &planner.Service{Name: "llm"}
	for _, c := range []struct {
		name          string
		routers, ends int
		load          quietLoad
		slots         int
		minServed     float64
	}{
		{"a few full engines", 12, 9,
			quietLoad{service: engine, perSecond: 130, takes: 4, quiet: time.Second}, 128, 0.9},
		{"most engines full", 12, 9,
			quietLoad{service: engine, perSecond: 400, takes: 8, quiet: 500 * time.Millisecond}, 128, 0.2},
		{"engines leave in a group", 12, 9,
			quietLoad{service: engine, perSecond: 130, takes: 200, quiet: time.Second, leaving: 3}, 128, 0.99},
		{"all engines leave", 12, 9,
			quietLoad{service: engine, perSecond: 130, takes: 200, quiet: time.Second, leaving: 9}, 128, 0.4},
		{"many routers", 70, 60,
			quietLoad{service: engine, perSecond: 600, takes: 4, quiet: time.Second, leaving: 5}, 64, 0.9},
		{"plain endpoints", 12, 4,
			quietLoad{service: plain, perSecond: 60, takes: 4, quiet: time.Second, leaving: 1}, 6, 0.9},
		{"one router", 1, 4,
			quietLoad{service: engine, perSecond: 60, takes: 3, quiet: 2 * time.Second, leaving: 2}, 128, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.load
			l.fleet, l.duration = withSlots(newFleet(c.routers, c.ends), c.slots), 120*time.Millisecond
			l.run()
			total := 0
			for _, n := range l.counts {
				total += n
			}
			served := float64(l.counts[""]-l.rejected) / float64(total)
			t.Logf("%d requests, served %.3f, %d turned away, %d above the load bound, reasons %v, after %v", total, served,
				l.rejected, l.exceeded, l.counts, l.after)
			assert.Equal(t, l.unasked, 0)
			assert.Check(t, served >= c.minServed)
			if l.leaving < c.ends {
				assert.Check(t, l.exceeded <= total*3/100, "%d of %d requests above the load bound", l.exceeded, total)
				assert.Check(t, l.after[""]*100 >= 99*(l.after[""]+l.after[AllQuiet]+l.after[AllLeaving]))
			} else {
				assert.Check(t, l.after[""] == 0 && l.after[AllLeaving] > 0)
			}
		})
	}
}
