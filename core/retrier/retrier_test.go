package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start    = time.Unix(1000, 0)
	deadline = start.Add(time.Minute)
)

// Guards against a retry of a request that is not repeatable, a wrong NotRun, and codes that hide why a request ended.
func TestAfterAttempt(t *testing.T) {
	partial := func(k Kind) Outcome { return Outcome{Kind: k, PartlyDelivered: true, Resumable: true} }
	for _, c := range []struct {
		name          string
		notRepeatable bool
		outcomes      []Outcome
		want          Decision
	}{
		{"ran", false, []Outcome{{Kind: Completed}}, Decision{Action: Done}},
		{"full", true, []Outcome{{Kind: Refused, Refusal: RefusedCapacity}}, Decision{Action: TryNextCandidate}},
		{"unreached", true, []Outcome{{Kind: Unreachable}}, Decision{Action: TryNextCandidate}},
		{"agent lost, not repeatable", true, []Outcome{{Kind: AgentLost}}, Decision{Action: Stop, Code: CodeUnknownOutcome}},
		{
			"interrupted, not repeatable", true,
			[]Outcome{partial(Interrupted)},
			Decision{Action: Stop, Code: CodeUnknownOutcome},
		},
		{"agent lost before the response", false, []Outcome{{Kind: AgentLost}}, Decision{Action: Retry}},
		{"agent lost midway", false, []Outcome{partial(AgentLost)}, Decision{Action: ResumeNextCandidate}},
		{"interrupted midway", false, []Outcome{partial(Interrupted)}, Decision{Action: ResumeSameEndpoint}},
		{
			"interrupted twice", false,
			[]Outcome{partial(Interrupted), partial(Interrupted)},
			Decision{Action: ResumeNextCandidate},
		},
		{
			"interrupted, not resumable", false,
			[]Outcome{{Kind: Interrupted, PartlyDelivered: true}},
			Decision{Action: Stop, Code: CodeInterrupted},
		},
		{"one crash", false, []Outcome{partial(EngineCrashed)}, Decision{Action: ResumeNextCandidate}},
		{
			"two crashes", false,
			[]Outcome{{Kind: EngineCrashed}, partial(EngineCrashed)},
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
			"deadline after a lost agent", false,
			[]Outcome{{Kind: AgentLost}, {Kind: Refused, Refusal: RefusedDeadline}},
			Decision{Action: Stop, Code: CodeDeadlineExceeded},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Request{Repeatable: !c.notRepeatable, Deadline: deadline}
			b := NewBudget()
			var got Decision
			for _, o := range c.outcomes {
				got = r.AfterAttempt(start, o, b)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against an unbounded number of failovers, and against failovers that use the retry budget.
func TestFailoversAreBoundedWithoutUsingBudget(t *testing.T) {
	r := Request{Deadline: deadline}
	b := NewBudget()
	for range maxFailovers - 1 {
		assert.DeepEqual(t, r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, b),
			Decision{Action: TryNextCandidate})
	}
	got := r.AfterAttempt(start, Outcome{Kind: Refused}, b)
	assert.DeepEqual(t, got, Decision{Action: Stop, Code: CodeOverloaded, NotRun: true})
	assert.Equal(t, b.routerTokens, float64(routerBurst))
	expired := Request{Deadline: start}
	assert.Equal(t, expired.AfterAttempt(start, Outcome{Kind: Unreachable}, b).Code, CodeDeadlineExceeded)
}

// Guards against a request that fails after another one crashed its engine because the retry budget is exhausted or
// all endpoints are full, and against retries beyond the budget.
func TestRequestWaitsAfterEngineCrash(t *testing.T) {
	b := NewBudget()
	for range workspaceBurst {
		b.Take("w")
	}
	r := Request{Workspace: "w", Repeatable: true, Deadline: deadline}
	assert.DeepEqual(t, r.AfterAttempt(start, Outcome{Kind: EngineCrashed}, b), Decision{Action: Wait})
	assert.DeepEqual(t, r.AfterWait(start, b), Decision{Action: Wait})
	expired := r
	assert.DeepEqual(t, expired.AfterWait(start.Add(maxBudgetWait), b), Decision{Action: Stop, Code: CodeBudgetExhausted})
	for range 10 {
		b.CountFirstAttempt("w")
	}
	assert.DeepEqual(t, r.AfterWait(start, b), Decision{Action: TryNextCandidate})
	assert.Assert(t, !b.Take("w"))
	assert.DeepEqual(t, r.AfterWait(start.Add(maxBudgetWait), b), Decision{Action: TryNextCandidate})
	for range maxFailovers - 1 {
		assert.Equal(t, r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, b).Action, TryNextCandidate)
	}
	assert.Equal(t, r.AfterAttempt(start, Outcome{Kind: Refused}, b).Action, Wait)
	assert.Equal(t, r.AfterAttempt(deadline, Outcome{Kind: Refused}, b).Code, CodeDeadlineExceeded)
	notRepeatable := Request{Workspace: "x", Deadline: deadline}
	assert.Equal(t, notRepeatable.AfterAttempt(start, Outcome{Kind: EngineCrashed}, b).Code, CodeUnknownOutcome)
}

// requestModel runs requests with random outcomes against a shared budget and checks the invariants after each attempt.
type requestModel struct {
	r             Request
	b             *Budget
	mayHaveRun    bool
	runs          int
	retriesTaken  int
	firstAttempts int
	ended         bool
}

func (m *requestModel) begin(t *rapid.T) {
	m.r = Request{Workspace: "w", Repeatable: rapid.Bool().Draw(t, "repeatable"), Deadline: deadline}
	m.b.CountFirstAttempt("w")
	m.firstAttempts++
	m.mayHaveRun, m.ended, m.runs = false, false, 0
}

func (m *requestModel) step(t *rapid.T) {
	if m.ended {
		t.Skip("the request has ended")
	}
	o := Outcome{
		Kind:            Kind(rapid.IntRange(int(Completed), int(EngineCrashed)).Draw(t, "kind")),
		Refusal:         Refusal(rapid.IntRange(0, int(RefusedDeadline)).Draw(t, "refusal")),
		PartlyDelivered: rapid.Bool().Draw(t, "delivered"), Resumable: rapid.Bool().Draw(t, "resumable"),
	}
	d := m.r.AfterAttempt(start, o, m.b)
	m.mayHaveRun = m.mayHaveRun || o.Kind == AgentLost || o.Kind == Interrupted || o.Kind == EngineCrashed
	switch d.Action {
	case Retry, ResumeSameEndpoint, ResumeNextCandidate:
		m.retriesTaken++
		m.runs++
	case Done, Stop:
		m.ended = true
	}
	assert.Assert(t, !m.mayHaveRun || m.r.Repeatable || m.ended, "retried a non-repeatable request that may have run")
	assert.Assert(t, d.Action != Stop || d.NotRun == !m.mayHaveRun, "not run: %v, ran: %v", d.NotRun, m.mayHaveRun)
	assert.Assert(t, d.Action != Stop || d.Code != CodeNone)
	assert.Assert(t, m.r.Crashes < crashThreshold || d.Code == CodePoison)
	assert.Assert(t, m.runs < maxRuns)
}

func (m *requestModel) check(t *rapid.T) {
	assert.Assert(t, float64(m.retriesTaken) <= workspaceBurst+retryRatio*float64(m.firstAttempts)+1e-6, "budget exceeded")
}

// Guards against sequences of outcomes that retry a request that is not repeatable or exceed the retry budget.
func TestInvariantsOverOutcomeSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &requestModel{b: NewBudget()}
		m.begin(t)
		t.Repeat(map[string]func(*rapid.T){"begin": m.begin, "step": m.step, "": m.check})
	})
}

// Guards against a workspace that uses the retry budget of another workspace, and against a budget that never refills.
func TestBudgetIsPerWorkspace(t *testing.T) {
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

// Guards against callers that all retry at the same time.
func TestRetryAfterJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(rng, 2*time.Second)
		low, high = min(low, d), max(high, d)
	}
	assert.Assert(t, low >= 2*time.Second && low < 2100*time.Millisecond)
	assert.Assert(t, high < 4*time.Second && high > 3900*time.Millisecond)
}

func BenchmarkAfterAttempt(b *testing.B) {
	budget := NewBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.CountFirstAttempt("w")
		r := Request{Workspace: "w", Repeatable: true, Deadline: deadline}
		r.AfterAttempt(start, Outcome{Kind: Refused, Refusal: RefusedCapacity}, budget)
		r.AfterAttempt(start, Outcome{Kind: AgentLost}, budget)
	}
}
