package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/retrier"
)

const (
	// claimTimeout is how long a reply is waited for before the claim is sent again. It is longer than an election,
	// which takes less than 1 s and may lose the claim.
	claimReplyTimeout = 1500 * time.Millisecond
	// controlWait bounds the wait for control before one reply. A client finds another instance within 1.2 s and an
	// election ends within 1 s; operations that wait longer would fill the router while control has no quorum.
	controlTimeout = 10 * time.Second
	// answerReserve is the time before the deadline that is left to tell the caller why there is no answer.
	errorReserve = 100 * time.Millisecond
	// claimPause lets control learn of the end of a run, or elect a leader, before the claim is sent again.
	claimRetryDelay = 200 * time.Millisecond
	// unsentTries bounds the connections to an endpoint that holds the claim. The claim stays there, because only
	// an agent's remembered refusal lets it move.
	maxFailedRuns = 3
)

func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		_, _ = h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// result is the answer of an operation, or why there is none.
type operationResult struct {
	head    relayer.Head
	body    []byte
	httpErr *httpError
}

// operation is a call that may not be repeated: a committed claim precedes each run.
type operation struct {
	rt         *Router
	id         string
	claim      subscriber.Claim
	req        relayer.Request
	candidates *candidates
	// mayHaveRun is set once a run message was sent and not refused, by this router or, as far as it can tell, by
	// another one.
	mayHaveRun bool
	// claimed is set once a claim may have been committed.
	mayBeClaimed bool
	failedRuns   int
	atCapacity   bool
	// stop is the answer when the claim is released; while it is set, claims have no endpoint and only read.
	releaseError *httpError
}

// operate runs an operation, or joins a run of it, and answers the caller.
func (rt *Router) serveOperation(
	ctx context.Context, w http.ResponseWriter, req relayer.Request, key string, release func(),
) string {
	id := hashParts(req.Workspace, req.Pool, key)
	sum := hashParts(req.Method, req.Path, string(req.Body))
	res, started, err := rt.operationRuns.do(ctx, id+sum, func() operationResult {
		defer release()
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
		defer cancel()
		return rt.runOperation(detached, req, id, sum)
	})
	if !started {
		release()
	}
	switch {
	case errors.Is(err, context.Canceled):
		return "caller_gone"
	case err != nil:
		res.httpErr = operationRunningError()
	}
	if res.httpErr != nil {
		res.httpErr.write(w)
		return res.httpErr.Code
	}
	if writeResponse(w, res.head, res.body) != nil {
		return "caller_gone"
	}
	return "ok"
}

func (rt *Router) runOperation(ctx context.Context, req relayer.Request, id, sum string) operationResult {
	req.ChatKey = uint64(placer.KeyOf(id))
	o := &operation{
		rt: rt, id: id, req: req, candidates: rt.newCandidates(time.Now(), &req, placer.NeedNothing),
		claim: subscriber.Claim{Operation: id, Digest: sum, Workspace: req.Workspace},
	}
	defer o.candidates.close()
	o.nextCandidate()
	for {
		reply, f := o.commitClaim(ctx)
		if f != nil {
			return operationResult{httpErr: f}
		}
		res, final := o.handleReply(ctx, reply)
		if final {
			return res
		}
		if ctx.Err() != nil {
			return operationResult{httpErr: o.deadlineError()}
		}
	}
}

// nextCandidate names the endpoint of the next claim. Without one the claim only reads, because the operation may
// have run at an endpoint that has left.
func (o *operation) nextCandidate() {
	at, ok := o.candidates.next(time.Now())
	if !ok {
		code := retrier.CodeUnavailable
		if o.atCapacity {
			code = retrier.CodeOverloaded
		}
		o.requestRelease(code)
		return
	}
	o.claim.Endpoint, o.claim.Incarnation = at.Name, at.Incarnation
}

// stopWith ends the operation unless control knows of a run.
func (o *operation) requestRelease(code retrier.Code) {
	o.releaseError = o.rt.decisionError(retrier.Decision{Code: code, NotRun: true}, 0)
	o.claim.Endpoint, o.claim.Incarnation = "", 0
}

// committed sends the claim until there is a reply, at most for controlWait; a claim may be sent again after a lost
// reply.
func (o *operation) commitClaim(ctx context.Context) (subscriber.ClaimReply, *httpError) {
	end := time.Now().Add(controlTimeout)
	if d := o.req.Deadline.Add(-errorReserve); d.Before(end) {
		end = d
	}
	wait, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for {
		reply, err := o.sendClaim(wait)
		o.mayBeClaimed = o.mayBeClaimed || !errors.Is(err, subscriber.ErrNotSent)
		if err == nil {
			return reply, nil
		}
		if wait.Err() != nil || isInvalidClaim(err) {
			return reply, o.claimError()
		}
		pauser.Pause(wait, claimRetryDelay)
		var refused *subscriber.CallError
		if errors.As(err, &refused) && refused.Code == subscriber.CodeStaleIncarnation {
			o.updateIncarnation()
		}
	}
}

// isRefused reports whether control refuses the claim for good.
func isInvalidClaim(err error) bool {
	var refused *subscriber.CallError
	return errors.As(err, &refused) && refused.Code == subscriber.CodeInvalid
}

// restarted moves a claim that was not granted because its endpoint has another incarnation by now.
func (o *operation) updateIncarnation() {
	e, ok := o.candidates.findUsable(o.claim.Endpoint)
	switch {
	case o.claim.Endpoint == "":
	case ok && e.Incarnation != o.claim.Incarnation:
		o.claim.Incarnation = e.Incarnation
	default:
		o.nextCandidate()
	}
}

// unclaimed is the answer when control has not replied. It never says "not run", because an earlier request under
// the key may have run.
func (o *operation) claimError() *httpError {
	f := &httpError{
		Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "control_unreachable",
		Message: "no control instance was reached", RetryAfter: o.rt.retryAfter(0),
	}
	if o.mayBeClaimed {
		f.Code = "control_unavailable"
		f.Message = "the operation could not be claimed; a retry under the same key is safe"
	}
	return f
}

func (o *operation) sendClaim(ctx context.Context) (subscriber.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimReplyTimeout)
	defer cancel()
	return o.rt.control.Claim(ctx, o.claim)
}

// follow acts on the committed state; final is false when the claim has to be read or moved again.
func (o *operation) handleReply(ctx context.Context, reply subscriber.ClaimReply) (res operationResult, final bool) {
	switch reply.State {
	case subscriber.ClaimDone:
		if reply.Answer == nil {
			return operationResult{httpErr: unknownOutcomeError()}, true
		}
		a := reply.Answer
		return operationResult{head: relayer.Head{Status: a.Status, ContentType: a.Type, Recorded: true}, body: a.Body}, true
	case subscriber.ClaimConflict:
		return operationResult{httpErr: &httpError{
			Status: http.StatusUnprocessableEntity, Type: errorTypeInvalidRequest, Code: "idempotency_conflict",
			Message: "the Idempotency-Key was used with another request",
		}}, true
	case subscriber.ClaimGranted, subscriber.ClaimRunning:
		return o.run(ctx, reply)
	case subscriber.ClaimReleased:
		if o.releaseError == nil {
			return operationResult{httpErr: unknownOutcomeError()}, true // no answer to a claim with an endpoint
		}
		return operationResult{httpErr: o.releaseError}, true
	default:
		return operationResult{httpErr: unknownOutcomeError()}, true
	}
}

// run sends the run message to the endpoint that holds the claim; an agent that already runs this generation
// joins it.
func (o *operation) run(ctx context.Context, reply subscriber.ClaimReply) (res operationResult, final bool) {
	v := o.rt.control.View()
	e, ok := v.Endpoints[reply.Endpoint]
	if !ok {
		// The endpoint has left, or joined after this view, and another router may run it there. Control ends the
		// claims of an endpoint that is gone, so the claim is read until then.
		o.mayHaveRun = true
		pauser.Pause(ctx, claimRetryDelay)
		return operationResult{}, false
	}
	o.claim.NotRun = 0
	o.req.Attempt++
	o.req.ViewIndex, o.req.BundleVersion = v.Index, v.BundleVersion
	o.req.Operation = &relayer.Operation{ID: o.id, Generation: reply.Generation, Incarnation: reply.Incarnation}
	s, err := o.rt.relay.Start(ctx, e.Address, o.req)
	var body []byte
	if err == nil {
		if body, err = readResponse(ctx, s); err != nil {
			s.Cancel()
		}
	}
	out := o.rt.classifyAttempt(o.candidates.placement, e.Name, s, err)
	var refusal *relayer.RefusalError
	switch {
	case out.Kind == retrier.Completed:
		return operationResult{head: s.Head(), body: body}, true
	case errors.As(err, &refusal) && refusal.Generation == reply.Generation:
		o.handleRefusal(out.Refusal, reply.Generation)
		return operationResult{}, false
	case out.Kind == retrier.Unreachable:
		o.failedRuns++
		if reply.State == subscriber.ClaimRunning {
			o.mayHaveRun = true
		}
		if o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: o.unreachableError()}, true
		}
	case errors.As(err, &refusal) && refusal.Reason != relayer.ReasonOtherIncarnation:
		// The agent refuses this attempt only; another router's may run.
		o.mayHaveRun = true
		if o.failedRuns++; o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: o.unreachableError()}, true
		}
	case out.Kind == retrier.Refused:
		// Another incarnation of the endpoint holds no record of this generation, which may have run before.
		if o.failedRuns++; o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: unknownOutcomeError()}, true
		}
		o.mayHaveRun = true
	default:
		o.mayHaveRun = true
	}
	pauser.Pause(ctx, claimRetryDelay)
	return operationResult{}, false
}

// refused moves the claim to the next candidate under the next generation, or releases it when no other endpoint may
// be asked. Another router may have moved it meanwhile, so only the reply tells whether the operation has not run.
func (o *operation) handleRefusal(why retrier.Refusal, generation uint64) {
	o.claim.NotRun = generation
	// The agent will never run this generation, so that nothing sent under it has run.
	o.mayHaveRun = false
	switch why {
	case retrier.RefusedPoison:
		o.requestRelease(retrier.CodePoison)
	case retrier.RefusedSuspect:
		o.requestRelease(retrier.CodeSuspect)
	case retrier.RefusedDeadline:
		o.requestRelease(retrier.CodeDeadlineExceeded)
	default:
		o.atCapacity = o.atCapacity || why == retrier.RefusedCapacity
		o.nextCandidate()
	}
}

func (o *operation) deadlineError() *httpError {
	if o.mayHaveRun {
		return operationRunningError()
	}
	return o.rt.decisionError(retrier.Decision{Code: retrier.CodeDeadlineExceeded}, 0)
}

func (o *operation) unreachableError() *httpError {
	return &httpError{
		Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "endpoint_unreachable",
		Message:    "the endpoint that holds the operation cannot be reached; a retry under the same key is safe",
		RetryAfter: o.rt.retryAfter(0),
	}
}

func unknownOutcomeError() *httpError {
	return &httpError{
		Status: http.StatusConflict, Type: errorTypeServer, Code: "unknown_outcome",
		Message: "the operation may have run; it will not run again",
	}
}

func operationRunningError() *httpError {
	return &httpError{
		Status: http.StatusGatewayTimeout, Type: errorTypeServer, Code: "operation_running",
		Message: "the operation has not ended before the deadline; a retry under the same key joins it",
	}
}
