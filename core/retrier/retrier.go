package retrier

import "time"

const (
	// maxRedirects bounds the candidates that refuse a request before it is forwarded. In a full pool of hundreds
	// of endpoints the rest is almost surely full too.
	maxRedirects = 16
	// maxRuns bounds how often one request may start to run.
	maxRuns = 4
	// maxCrashes is the number of crashed engines after which a request counts as poison.
	maxCrashes = 2
	// budgetWait bounds the wait for the budget; a request that waited until its deadline would keep its caller's
	// connection for a minute, and the budget refills only with other first attempts.
	budgetWait = 5 * time.Second
)

// Kind says how an attempt ended.
type Kind uint8

const (
	// Ran means that the answer is complete.
	Completed Kind = iota
	// Refused means that the agent refused the request and forwarded nothing.
	Refused
	// Unreached means that the request was not sent.
	Unreachable
	// Lost means that the agent was lost after the request was sent, so that it may have run.
	AgentLost
	// Broken means that the answer ended early while agent and engine stayed up.
	Interrupted
	// Crashed means that the engine crashed under the request.
	EngineCrashed
)

// Refusal classifies the reason of a refusal.
type Refusal uint8

const (
	// RefusedPlace means that this endpoint does not serve the request, but another one may.
	RefusedNotServed Refusal = iota
	// RefusedCapacity means that the endpoint has no room.
	RefusedCapacity
	// RefusedCache means that the request was offered only if cached.
	RefusedNotCached
	// RefusedSuspect means that the request is suspected of crashing engines and has to wait.
	RefusedSuspect
	// RefusedPoison means that the request is known to crash engines.
	RefusedPoison
	// RefusedDeadline means that the answer cannot start before the deadline.
	RefusedDeadline
)

// Outcome is the end of one attempt.
type Outcome struct {
	Kind    Kind
	Refusal Refusal
	// Delivered is set when the caller has received a part of the answer.
	Delivered bool
	// Resumable is set when the rest of the answer can be asked for after the part that was delivered.
	Resumable bool
}

// Action is what to do next.
type Action uint8

const (
	// Done means that the answer is complete.
	Done Action = iota
	// Next means to offer the request to the next candidate.
	TryNextCandidate
	// Retry means to run the request again from its start at the next candidate.
	Retry
	// ResumeSame means to ask the same endpoint for the rest of the answer.
	ResumeSameEndpoint
	// ResumeOther means to ask the next candidate for the rest of the answer.
	ResumeNextCandidate
	// Again means to ask the same endpoint again after the time that it gave.
	RetrySameEndpoint
	// Wait means to pause and to begin with the first candidate again.
	Wait
	// Stop means to end with the decision's error.
	Stop
)

// Code says why a request ended without a complete answer.
type Code uint8

const (
	// CodeNone is the code of an answer that is complete.
	CodeNone Code = iota
	// CodeOverloaded means that every candidate asked had no room.
	CodeOverloaded
	// CodeUnavailable means that no candidate could be reached or served the request.
	CodeUnavailable
	// CodePoison means that the request crashes engines.
	CodePoison
	// CodeSuspect means that the request waits for a verdict.
	CodeSuspect
	// CodeDeadline means that the deadline has passed or cannot be met.
	CodeDeadlineExceeded
	// CodeBudget means that the retry budget is exhausted.
	CodeBudgetExhausted
	// CodeInterrupted means that the answer ended early and cannot be continued.
	CodeInterrupted
	// CodeUnknown means that the request may have run and may not be repeated.
	CodeUnknownOutcome
)

// Decision is the next action; Code is set with Stop.
type Decision struct {
	Action Action
	Code   Code
	// NotRun is set with Stop when no attempt of the request was forwarded to an endpoint.
	NotRun bool
}

// Request is the state of one request over its attempts.
type Request struct {
	Workspace string
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	Deadline   time.Time
	// Crashes counts the engines that crashed under the request.
	Crashes int

	redirects  int
	runs       int
	full       bool // some candidate had no room
	mayHaveRun bool
	resumed    bool // the last action was to resume on the same endpoint
	delivered  bool // the caller has a part of the answer
	unfunded   bool // the next run waits for the budget
	fundedBy   time.Time
}

// Step decides after an attempt has ended.
func (r *Request) AfterAttempt(now time.Time, o Outcome, b *Budget) Decision {
	switch o.Kind {
	case Completed:
		return Decision{Action: Done}
	case Refused:
		return r.refused(now, o.Refusal)
	case Unreachable:
		return r.redirect(now)
	case EngineCrashed:
		r.Crashes++
		if r.Crashes >= maxCrashes {
			r.mayHaveRun = true
			return r.stop(CodePoison)
		}
	}
	r.mayHaveRun = true
	return r.again(now, o, b)
}

func (r *Request) refused(now time.Time, why Refusal) Decision {
	switch why {
	case RefusedPoison:
		return r.stop(CodePoison)
	case RefusedSuspect:
		// Another endpoint would risk a second crash while the first one is examined. A request that was itself in
		// flight at the crash may be innocent, so it waits for its turn there.
		if r.Crashes > 0 && now.Before(r.Deadline) {
			return Decision{Action: RetrySameEndpoint}
		}
		return r.stop(CodeSuspect)
	case RefusedDeadline:
		return r.stop(CodeDeadlineExceeded)
	case RefusedCapacity:
		r.full = true
	}
	return r.redirect(now)
}

func (r *Request) redirect(now time.Time) Decision {
	r.redirects++
	if !now.Before(r.Deadline) {
		return r.stop(CodeDeadlineExceeded)
	}
	if r.redirects >= maxRedirects {
		return r.AfterLastCandidate()
	}
	return Decision{Action: TryNextCandidate}
}

// again decides after an attempt that may have run.
func (r *Request) again(now time.Time, o Outcome, b *Budget) Decision {
	r.runs++
	r.delivered = r.delivered || o.Delivered
	switch {
	case !r.Repeatable:
		return r.stop(CodeUnknownOutcome)
	case o.Delivered && !o.Resumable:
		return r.stop(CodeInterrupted)
	case !now.Before(r.Deadline):
		return r.stop(CodeDeadlineExceeded)
	case r.runs >= maxRuns:
		return r.stop(CodeInterrupted)
	case !b.Take(r.Workspace):
		if o.Kind != EngineCrashed {
			return r.stop(CodeBudgetExhausted)
		}
		// An engine that crashes takes all its requests with it, which may be more than the budget allows at once.
		r.unfunded, r.fundedBy = true, now.Add(budgetWait)
		return Decision{Action: Wait}
	}
	same := o.Kind == Interrupted && !r.resumed
	r.resumed = same && o.Delivered
	switch {
	case !o.Delivered:
		return Decision{Action: Retry}
	case same:
		return Decision{Action: ResumeSameEndpoint}
	default:
		return Decision{Action: ResumeNextCandidate}
	}
}

// Exhausted decides when no candidate is left. A request whose answer was interrupted by a crash or midway waits
// for room until its deadline, because its caller could only begin anew.
func (r *Request) AfterLastCandidate() Decision {
	switch {
	case r.mayHaveRun && !r.Repeatable:
		return r.stop(CodeUnknownOutcome)
	case r.Repeatable && (r.delivered || r.Crashes > 0):
		r.redirects, r.full = 0, false
		return Decision{Action: Wait}
	case r.full:
		return r.stop(CodeOverloaded)
	default:
		return r.stop(CodeUnavailable)
	}
}

// Fund decides whether a request that has waited may run again, has to wait longer, or stops; it takes the run that
// Step could not take from the budget.
func (r *Request) AfterWait(now time.Time, b *Budget) Decision {
	r.unfunded = r.unfunded && !b.Take(r.Workspace)
	switch {
	case !r.unfunded:
		return Decision{Action: TryNextCandidate}
	case now.Before(r.fundedBy):
		return Decision{Action: Wait}
	default:
		return r.stop(CodeBudgetExhausted)
	}
}

// Expired decides when the deadline passed during an attempt; sent tells whether that attempt may have run.
func (r *Request) AfterDeadline(sent bool) Decision {
	r.mayHaveRun = r.mayHaveRun || sent
	if r.mayHaveRun && !r.Repeatable {
		return r.stop(CodeUnknownOutcome)
	}
	return r.stop(CodeDeadlineExceeded)
}

func (r *Request) stop(c Code) Decision {
	return Decision{Action: Stop, Code: c, NotRun: !r.mayHaveRun}
}
