package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	limit = start.Add(time.Minute)
)

// Guards against a repeated run of what may not be repeated, against a wrong "not run", and against errors that
// hide why a request ended.
func TestStep(t *testing.T) {
	partly := func(k Kind) Outcome { return Outcome{Kind: k, Delivered: true, Resumable: true} }
	for _, c := range []struct {
		name  string
		once  bool
		steps []Outcome
		want  Decision
	}{
		{"ran", false, []Outcome{{Kind: Completed}}, Decision{Action: Done}},
		{"full", true, []Outcome{{Kind: Refused, Refusal: RefusedCapacity}}, Decision{Action: TryNextCandidate}},
		{"unreached", true, []Outcome{{Kind: Unreachable}}, Decision{Action: TryNextCandidate}},
		{"lost, not repeatable", true, []Outcome{{Kind: AgentLost}}, Decision{Action: Stop, Code: CodeUnknownOutcome}},
		{"broken, not repeatable", true, []Outcome{partly(Interrupted)}, Decision{Action: Stop, Code: CodeUnknownOutcome}},
		{"lost before the answer", false, []Outcome{{Kind: AgentLost}}, Decision{Action: Retry}},
		{"lost midway", false, []Outcome{partly(AgentLost)}, Decision{Action: ResumeNextCandidate}},
		{"broken midway", false, []Outcome{partly(Interrupted)}, Decision{Action: ResumeSameEndpoint}},
		{"broken again", false, []Outcome{partly(Interrupted), partly(Interrupted)}, Decision{Action: ResumeNextCandidate}},
		{
			"broken, not resumable", false,
			[]Outcome{{Kind: Interrupted, Delivered: true}},
			Decision{Action: Stop, Code: CodeInterrupted},
		},
		{"one crash", false, []Outcome{partly(EngineCrashed)}, Decision{Action: ResumeNextCandidate}},
		{
			"two crashes", false,
			[]Outcome{{Kind: EngineCrashed}, partly(EngineCrashed)},
			Decision{Action: Stop, Code: CodePoison},
		},
		{
			"poison", false,
			[]Outcome{{Kind: Refused, Refusal: RefusedPoison}},
			Decision{Action: Stop, Code: CodePoison, NotRun: true},
		},
		{
			"suspect", false,
			[]Outcome{{Kind: Refused, Refusal: RefusedSuspect}},
			Decision{Action: Stop, Code: CodeSuspect, NotRun: true},
		},
		{
			"suspect after its own crash", false,
			[]Outcome{{Kind: EngineCrashed}, {Kind: Refused, Refusal: RefusedSuspect}},
			Decision{Action: RetrySameEndpoint},
		},
		{
			"deadline after a lost attempt", false,
			[]Outcome{{Kind: AgentLost}, {Kind: Refused, Refusal: RefusedDeadline}},
			Decision{Action: Stop, Code: CodeDeadlineExceeded},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Request{Repeatable: !c.once, Deadline: limit}
			b := NewBudget()
			var got Decision
			for _, o := range c.steps {
				got = r.AfterAttempt(start, o, b)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a request that walks an endless chain of refusals, and against refusals that use the budget.
func TestRefusalsAreBoundedSeparately(t *testing.T) {
	r := Request{Deadline: limit}
	b := NewBudget()
	for range maxRedirects - 1 {
		assert.DeepEqual(t, r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, b),
			Decision{Action: TryNextCandidate})
	}
	got := r.AfterAttempt(start, Outcome{Kind: Refused}, b)
	assert.DeepEqual(t, got, Decision{Action: Stop, Code: CodeOverloaded, NotRun: true})
	assert.Equal(t, b.router, float64(routerBurst))
	late := Request{Deadline: start}
	assert.Equal(t, late.AfterAttempt(start, Outcome{Kind: Unreachable}, b).Code, CodeDeadlineExceeded)
}

// Guards against an innocent request that ends because its neighbour crashed the engine and the budget or all places
// are taken, and against runs beyond the budget.
func TestRequestsWaitAfterACrash(t *testing.T) {
	b := NewBudget()
	for range workspaceBurst {
		b.Take("w")
	}
	r := Request{Workspace: "w", Repeatable: true, Deadline: limit}
	assert.DeepEqual(t, r.AfterAttempt(start, Outcome{Kind: EngineCrashed}, b), Decision{Action: Wait})
	assert.DeepEqual(t, r.AfterWait(start, b), Decision{Action: Wait})
	unfunded := r
	assert.DeepEqual(t, unfunded.AfterWait(start.Add(budgetWait), b), Decision{Action: Stop, Code: CodeBudgetExhausted})
	for range 10 {
		b.CountFirstAttempt("w")
	}
	assert.DeepEqual(t, r.AfterWait(start, b), Decision{Action: TryNextCandidate})
	assert.Assert(t, !b.Take("w"))
	assert.DeepEqual(t, r.AfterWait(start.Add(budgetWait), b), Decision{Action: TryNextCandidate})
	for range maxRedirects - 1 {
		assert.Equal(t, r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, b).Action, TryNextCandidate)
	}
	assert.Equal(t, r.AfterAttempt(start, Outcome{Kind: Refused}, b).Action, Wait)
	assert.Equal(t, r.AfterAttempt(limit, Outcome{Kind: Refused}, b).Code, CodeDeadlineExceeded)
	once := Request{Workspace: "x", Deadline: limit}
	assert.Equal(t, once.AfterAttempt(start, Outcome{Kind: EngineCrashed}, b).Code, CodeUnknownOutcome)
}

// requestMachine runs one request with random outcomes against a shared budget and checks after each step what
// must hold for every sequence.
type requestMachine struct {
	r      Request
	b      *Budget
	ran    bool // some attempt may have run
	runs   int
	taken  int
	firsts int
	ended  bool
}

func (m *requestMachine) begin(t *rapid.T) {
	m.r = Request{Workspace: "w", Repeatable: rapid.Bool().Draw(t, "repeatable"), Deadline: limit}
	m.b.CountFirstAttempt("w")
	m.firsts++
	m.ran, m.ended, m.runs = false, false, 0
}

func (m *requestMachine) step(t *rapid.T) {
	if m.ended {
		t.Skip("the request has ended")
	}
	o := Outcome{
		Kind:      Kind(rapid.IntRange(int(Completed), int(EngineCrashed)).Draw(t, "kind")),
		Refusal:   Refusal(rapid.IntRange(0, int(RefusedDeadline)).Draw(t, "refusal")),
		Delivered: rapid.Bool().Draw(t, "delivered"), Resumable: rapid.Bool().Draw(t, "resumable"),
	}
	d := m.r.AfterAttempt(start, o, m.b)
	m.ran = m.ran || o.Kind == AgentLost || o.Kind == Interrupted || o.Kind == EngineCrashed
	switch d.Action {
	case Retry, ResumeSameEndpoint, ResumeNextCandidate:
		m.taken++
		m.runs++
	case Done, Stop:
		m.ended = true
	}
	assert.Assert(t, !m.ran || m.r.Repeatable || m.ended, "repeated what may have run")
	assert.Assert(t, d.Action != Stop || d.NotRun == !m.ran, "not run: %v, ran: %v", d.NotRun, m.ran)
	assert.Assert(t, d.Action != Stop || d.Code != CodeNone)
	assert.Assert(t, m.r.Crashes < maxCrashes || d.Code == CodePoison)
	assert.Assert(t, m.runs < maxRuns)
}

func (m *requestMachine) check(t *rapid.T) {
	assert.Assert(t, float64(m.taken) <= workspaceBurst+budgetShare*float64(m.firsts)+1e-6, "budget exceeded")
}

// Guards against any sequence of outcomes that repeats a request wrongly or exceeds the retry budget.
func TestEverySequenceOfOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &requestMachine{b: NewBudget()}
		m.begin(t)
		t.Repeat(map[string]func(*rapid.T){"begin": m.begin, "step": m.step, "": m.check})
	})
}

// Guards against one workspace that uses up the retries of the others, and against a budget that never refills.
func TestBudgetOfAWorkspace(t *testing.T) {
	b := NewBudget()
	for range workspaceBurst {
		assert.Assert(t, b.Take("a"))
	}
	assert.Assert(t, !b.Take("a"))
	assert.Assert(t, b.Take("b"))
	for range 10 {
		b.CountFirstAttempt("a")
	}
	assert.Assert(t, b.Take("a"))
	assert.Assert(t, !b.Take("a"))
}

// Guards against callers that return all at once.
func TestRetryAfterIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(rng, 2*time.Second)
		low, high = min(low, d), max(high, d)
	}
	assert.Assert(t, low >= 2*time.Second && low < 2100*time.Millisecond)
	assert.Assert(t, high < 4*time.Second && high > 3900*time.Millisecond)
}

func BenchmarkStep(b *testing.B) {
	budget := NewBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.CountFirstAttempt("w")
		r := Request{Workspace: "w", Repeatable: true, Deadline: limit}
		r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, budget)
		r.AfterAttempt(start, Outcome{Kind: AgentLost}, budget)
	}
}
