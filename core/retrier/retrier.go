package retrier

import "time"

const (
	// maxFailovers bounds the candidates per request that refuse it or are unreachable. When that many endpoints of a
	// pool of hundreds are full, the remaining ones are very likely full, too.
	maxFailovers = 16
	// maxRuns bounds the attempts of one request that may have run.
	maxRuns = 4
	// crashThreshold is the number of engine crashes after which a request counts as poison.
	crashThreshold = 2
	// maxBudgetWait bounds the wait for the retry budget, which only first attempts of other requests refill. Waiting
	// until the deadline would keep the caller's connection open for a minute.
	maxBudgetWait = 5 * time.Second
)

// Kind is the way in which an attempt ended.
type Kind uint8

const (
	// Completed means that the response is complete.
	Completed Kind = iota
	// Refused means that the agent refused the request and did not forward it.
	Refused
	// Unreachable means that the request could not be sent.
	Unreachable
	// AgentLost means that the connection to the agent failed after the request was sent, so that it may have run.
	AgentLost
	// Interrupted means that the response ended early while the agent and the engine stayed up.
	Interrupted
	// EngineCrashed means that the engine crashed while it ran the request.
	EngineCrashed
)

// Refusal is the class of a refusal's reason.
type Refusal uint8

const (
	// RefusedNotServed means that this endpoint does not serve the request, but another one may.
	RefusedNotServed Refusal = iota
	// RefusedCapacity means that the endpoint is full.
	RefusedCapacity
	// RefusedNotCached means that the request was restricted to endpoints that cache its prompt.
	RefusedNotCached
	// RefusedSuspect means that the request is suspected of crashing engines and has to wait.
	RefusedSuspect
	// RefusedPoison means that the request is known to crash engines.
	RefusedPoison
	// RefusedDeadline means that the response cannot start before the deadline.
	RefusedDeadline
)

// Outcome is the outcome of one attempt.
type Outcome struct {
	Kind    Kind
	Refusal Refusal
	// PartlyDelivered is set when the caller has received a part of the response.
	PartlyDelivered bool
	// Resumable is set when the response can be resumed after the delivered part.
	Resumable bool
}

// Action is the next action of the router.
type Action uint8

const (
	// Done means that the response is complete.
	Done Action = iota
	// TryNextCandidate means to send the request to the next candidate.
	TryNextCandidate
	// Retry means to run the request, which may have run already, again from the start at the next candidate.
	Retry
	// ResumeSameEndpoint means to request the rest of the response from the same endpoint.
	ResumeSameEndpoint
	// ResumeNextCandidate means to request the rest of the response from the next candidate.
	ResumeNextCandidate
	// RetrySameEndpoint means to send the request to the same endpoint after its retry-after time.
	RetrySameEndpoint
	// Wait means to pause and to start over with the first candidate.
	Wait
	// Stop means to end the request with the decision's code.
	Stop
)

// Code is the reason why a request ended without a complete response.
type Code uint8

const (
	// CodeNone is the code of a complete response.
	CodeNone Code = iota
	// CodeOverloaded means that no candidate accepted the request and at least one was full.
	CodeOverloaded
	// CodeUnavailable means that no candidate was reachable and served the request.
	CodeUnavailable
	// CodePoison means that the request crashes engines.
	CodePoison
	// CodeSuspect means that the request waits for a verdict.
	CodeSuspect
	// CodeDeadlineExceeded means that the deadline has passed or cannot be met.
	CodeDeadlineExceeded
	// CodeBudgetExhausted means that the retry budget is exhausted.
	CodeBudgetExhausted
	// CodeInterrupted means that the response ended early and cannot be resumed.
	CodeInterrupted
	// CodeUnknownOutcome means that the request may have run and is not repeatable.
	CodeUnknownOutcome
)

// Decision is the next action; Code is set with Stop.
type Decision struct {
	Action Action
	Code   Code
	// NotRun is set with Stop when no attempt of the request may have run.
	NotRun bool
}

// Request is the state of one request over its attempts.
type Request struct {
	Workspace string
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	Deadline   time.Time
	// Crashes is the number of engines that crashed while they ran the request.
	Crashes int

	failovers           int
	runs                int
	sawFullEndpoint     bool
	mayHaveRun          bool
	resumedSameEndpoint bool // the last action was ResumeSameEndpoint
	delivered           bool // the caller has received a part of the response
	awaitsBudget        bool // the next run waits for the retry budget
	budgetDeadline      time.Time
}

// AfterAttempt returns the next action after an attempt.
func (r *Request) AfterAttempt(now time.Time, o Outcome, b *Budget) Decision {
	switch o.Kind {
	case Completed:
		return Decision{Action: Done}
	case Refused:
		return r.afterRefusal(now, o.Refusal)
	case Unreachable:
		return r.failOver(now)
	case EngineCrashed:
		r.Crashes++
		if r.Crashes >= crashThreshold {
			r.mayHaveRun = true
			return r.stop(CodePoison)
		}
	}
	r.mayHaveRun = true
	return r.retryOrResume(now, o, b)
}

func (r *Request) afterRefusal(now time.Time, reason Refusal) Decision {
	switch reason {
	case RefusedPoison:
		return r.stop(CodePoison)
	case RefusedSuspect:
		// Failing over would risk a second crash while the first one is investigated. A request that was in flight at
		// the crash may not have caused it, so it is retried at this endpoint.
		if r.Crashes > 0 && now.Before(r.Deadline) {
			return Decision{Action: RetrySameEndpoint}
		}
		return r.stop(CodeSuspect)
	case RefusedDeadline:
		return r.stop(CodeDeadlineExceeded)
	case RefusedCapacity:
		r.sawFullEndpoint = true
	}
	return r.failOver(now)
}

func (r *Request) failOver(now time.Time) Decision {
	r.failovers++
	if !now.Before(r.Deadline) {
		return r.stop(CodeDeadlineExceeded)
	}
	if r.failovers >= maxFailovers {
		return r.AfterLastCandidate()
	}
	return Decision{Action: TryNextCandidate}
}

// retryOrResume returns the next action after an attempt that may have run.
func (r *Request) retryOrResume(now time.Time, o Outcome, b *Budget) Decision {
	r.runs++
	r.delivered = r.delivered || o.PartlyDelivered
	switch {
	case !r.Repeatable:
		return r.stop(CodeUnknownOutcome)
	case o.PartlyDelivered && !o.Resumable:
		return r.stop(CodeInterrupted)
	case !now.Before(r.Deadline):
		return r.stop(CodeDeadlineExceeded)
	case r.runs >= maxRuns:
		return r.stop(CodeInterrupted)
	case !b.Take(r.Workspace):
		if o.Kind != EngineCrashed {
			return r.stop(CodeBudgetExhausted)
		}
		// An engine crash fails all requests in flight, which may be more than the budget allows at once.
		r.awaitsBudget, r.budgetDeadline = true, now.Add(maxBudgetWait)
		return Decision{Action: Wait}
	}
	sameEndpoint := o.Kind == Interrupted && !r.resumedSameEndpoint
	r.resumedSameEndpoint = sameEndpoint && o.PartlyDelivered
	switch {
	case !o.PartlyDelivered:
		return Decision{Action: Retry}
	case sameEndpoint:
		return Decision{Action: ResumeSameEndpoint}
	default:
		return Decision{Action: ResumeNextCandidate}
	}
}

// AfterLastCandidate returns the next action when no candidate is left. A repeatable request that was in flight at a
// crash or is partly delivered waits for capacity until its deadline, because its caller could only start over.
func (r *Request) AfterLastCandidate() Decision {
	switch {
	case r.mayHaveRun && !r.Repeatable:
		return r.stop(CodeUnknownOutcome)
	case r.Repeatable && (r.delivered || r.Crashes > 0):
		r.failovers, r.sawFullEndpoint = 0, false
		return Decision{Action: Wait}
	case r.sawFullEndpoint:
		return r.stop(CodeOverloaded)
	default:
		return r.stop(CodeUnavailable)
	}
}

// AfterWait returns the next action after a pause: try the next candidate, wait longer, or stop. It takes the retry
// for which AfterAttempt found the budget exhausted.
func (r *Request) AfterWait(now time.Time, b *Budget) Decision {
	r.awaitsBudget = r.awaitsBudget && !b.Take(r.Workspace)
	switch {
	case !r.awaitsBudget:
		return Decision{Action: TryNextCandidate}
	case now.Before(r.budgetDeadline):
		return Decision{Action: Wait}
	default:
		return r.stop(CodeBudgetExhausted)
	}
}

// AfterDeadline returns the decision when the deadline has passed; lastMayHaveRun is set if the last attempt may have
// run.
func (r *Request) AfterDeadline(lastMayHaveRun bool) Decision {
	r.mayHaveRun = r.mayHaveRun || lastMayHaveRun
	if r.mayHaveRun && !r.Repeatable {
		return r.stop(CodeUnknownOutcome)
	}
	return r.stop(CodeDeadlineExceeded)
}

func (r *Request) stop(c Code) Decision {
	return Decision{Action: Stop, Code: c, NotRun: !r.mayHaveRun}
}
