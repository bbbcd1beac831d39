package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/retrier"
)

const (
	// claimReplyTimeout is the time after which a claim without a reply is sent again. It is longer than an election,
	// which takes less than 1 s and may lose the claim.
	claimReplyTimeout = 1500 * time.Millisecond
	// controlTimeout limits the total wait for a reply of control. A client finds another instance within 1.2 s and an
	// election ends within 1 s; operations that wait longer would fill the router while control has no quorum.
	controlTimeout = 10 * time.Second
	// errorReserve is the time before the deadline that is reserved for an error response.
	errorReserve = 100 * time.Millisecond
	// claimRetryDelay is the pause before a claim is sent again, in which control may record the end of a run or elect a
	// leader.
	claimRetryDelay = 200 * time.Millisecond
	// maxFailedRuns limits the run messages that the endpoint of the claim does not receive, or refuses without ruling
	// out the generation. The claim stays there, because it may move only after the agent has recorded a refusal.
	maxFailedRuns = 3
)

// hashParts returns a hash of the parts and their boundaries.
func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		partHash := sha256.Sum256([]byte(p))
		_, _ = h.Write(partHash[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// operationResult is the response of an operation, or the error if there is none.
type operationResult struct {
	head    relayer.Head
	body    []byte
	httpErr *httpError
}

// operation is a service call that must run at most once: a claim is committed before each run.
type operation struct {
	rt         *Router
	id         string
	claim      subscriber.Claim
	req        relayer.Request
	candidates *candidates
	// mayHaveRun is set if this router or another one may have sent a run message that was not refused.
	mayHaveRun bool
	// mayBeClaimed is set once a claim may have been committed.
	mayBeClaimed bool
	failedRuns   int
	atCapacity   bool
	// releaseError is the error response once the claim is released. While it is set, claims have no endpoint and only
	// read the state.
	releaseError *httpError
}

// serveOperation runs an operation or joins its run, and responds to the caller. It calls release when the run has
// ended, which may be after the caller has disconnected.
func (rt *Router) serveOperation(
	ctx context.Context, w http.ResponseWriter, req relayer.Request, key string, release func(),
) string {
	id := hashParts(req.Workspace, req.Pool, key)
	digest := hashParts(req.Method, req.Path, string(req.Body))
	res, started, err := rt.operationRuns.do(ctx, id+digest, func() operationResult {
		defer release()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
		defer cancel()
		return rt.runOperation(runCtx, req, id, digest)
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

// runOperation claims and runs an operation until it has a result.
func (rt *Router) runOperation(ctx context.Context, req relayer.Request, id, digest string) operationResult {
	req.ChatKey = uint64(placer.KeyOf(id))
	o := &operation{
		rt: rt, id: id, req: req, candidates: rt.newCandidates(time.Now(), &req, placer.NeedNothing),
		claim: subscriber.Claim{Operation: id, Digest: digest, Workspace: req.Workspace},
	}
	defer o.candidates.close()
	o.nextCandidate()
	for {
		reply, httpErr := o.commitClaim(ctx)
		if httpErr != nil {
			return operationResult{httpErr: httpErr}
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

// nextCandidate sets the endpoint of the next claim. If no candidate is left, the claim only reads the state, because
// the operation may have run at an endpoint that has left.
func (o *operation) nextCandidate() {
	c, ok := o.candidates.next(time.Now())
	if !ok {
		code := retrier.CodeUnavailable
		if o.atCapacity {
			code = retrier.CodeOverloaded
		}
		o.requestRelease(code)
		return
	}
	o.claim.Endpoint, o.claim.Incarnation = c.Name, c.Incarnation
}

// requestRelease makes the next claim release the operation unless it has run or may still run; code becomes the error
// response.
func (o *operation) requestRelease(code retrier.Code) {
	o.releaseError = o.rt.decisionError(retrier.Decision{Code: code, NotRun: true}, 0)
	o.claim.Endpoint, o.claim.Incarnation = "", 0
}

// commitClaim sends the claim until it receives a reply, at most for controlTimeout. Claims are idempotent, so that one
// whose reply was lost can be sent again.
func (o *operation) commitClaim(ctx context.Context) (subscriber.ClaimReply, *httpError) {
	waitUntil := time.Now().Add(controlTimeout)
	if latest := o.req.Deadline.Add(-errorReserve); latest.Before(waitUntil) {
		waitUntil = latest
	}
	waitCtx, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	for {
		reply, err := o.sendClaim(waitCtx)
		o.mayBeClaimed = o.mayBeClaimed || !errors.Is(err, subscriber.ErrNotSent)
		if err == nil {
			return reply, nil
		}
		if waitCtx.Err() != nil || isInvalidClaim(err) {
			return reply, o.claimError()
		}
		sleeper.Pause(waitCtx, claimRetryDelay)
		var callErr *subscriber.CallError
		if errors.As(err, &callErr) && callErr.Code == subscriber.CodeStaleIncarnation {
			o.updateIncarnation()
		}
	}
}

// isInvalidClaim reports whether control rejects the claim permanently.
func isInvalidClaim(err error) bool {
	var callErr *subscriber.CallError
	return errors.As(err, &callErr) && callErr.Code == subscriber.CodeInvalid
}

// updateIncarnation sets the new incarnation of a restarted endpoint in a claim that was rejected for its old one. If
// the view has no new incarnation, it moves the claim to the next candidate.
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

// claimError is the error response if control has not replied. It never sets NotRun, because an earlier request with
// the same key may have run.
func (o *operation) claimError() *httpError {
	httpErr := &httpError{
		Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "control_unreachable",
		Message: "no control instance could be reached", RetryAfter: o.rt.retryAfter(0),
	}
	if o.mayBeClaimed {
		httpErr.Code = "control_unavailable"
		httpErr.Message = "the operation could not be claimed; a retry with the same Idempotency-Key is safe"
	}
	return httpErr
}

func (o *operation) sendClaim(ctx context.Context) (subscriber.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimReplyTimeout)
	defer cancel()
	return o.rt.control.Claim(ctx, o.claim)
}

// handleReply continues according to the state of the claim; final is false if another claim must be sent.
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
			Message: "the Idempotency-Key was already used with a different request",
		}}, true
	case subscriber.ClaimGranted, subscriber.ClaimRunning:
		return o.run(ctx, reply)
	case subscriber.ClaimReleased:
		if o.releaseError == nil {
			return operationResult{httpErr: unknownOutcomeError()}, true // invalid reply to a claim with an endpoint
		}
		return operationResult{httpErr: o.releaseError}, true
	default:
		return operationResult{httpErr: unknownOutcomeError()}, true
	}
}

// run sends the run message to the endpoint that holds the claim. If the agent already runs this generation, the
// message joins that run.
func (o *operation) run(ctx context.Context, reply subscriber.ClaimReply) (res operationResult, final bool) {
	v := o.rt.control.View()
	e, ok := v.Endpoints[reply.Endpoint]
	if !ok {
		// The endpoint has left or is newer than this view, and another router may run the operation there. Control
		// ends the claims of an endpoint that has left; the claim is read again until then.
		o.mayHaveRun = true
		sleeper.Pause(ctx, claimRetryDelay)
		return operationResult{}, false
	}
	o.claim.NotRun = 0
	o.req.Attempt++
	o.req.ViewIndex, o.req.BundleVersion = v.Index, v.BundleVersion
	o.req.Operation = &relayer.Operation{ID: o.id, Generation: reply.Generation, Incarnation: reply.Incarnation}
	resp, err := o.rt.relay.Start(ctx, e.Address, o.req)
	var body []byte
	if err == nil {
		if body, err = readResponse(ctx, resp, nil); err != nil {
			resp.Cancel()
		}
	}
	outcome := o.rt.classifyAttempt(o.candidates.placement, e.Name, resp, err)
	var refusal *relayer.RefusalError
	switch {
	case outcome.Kind == retrier.Completed:
		return operationResult{head: resp.Head(), body: body}, true
	case errors.As(err, &refusal) && refusal.Generation == reply.Generation:
		o.handleRefusal(outcome.Refusal, reply.Generation)
		return operationResult{}, false
	case outcome.Kind == retrier.Unreachable:
		o.failedRuns++
		if reply.State == subscriber.ClaimRunning {
			o.mayHaveRun = true
		}
		if o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: o.unreachableError()}, true
		}
	case errors.As(err, &refusal) && refusal.Reason != relayer.ReasonOtherIncarnation:
		// The agent refuses this attempt only; that of another router may run.
		o.mayHaveRun = true
		if o.failedRuns++; o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: o.unreachableError()}, true
		}
	case outcome.Kind == retrier.Refused:
		// Another incarnation of the endpoint has no record of this generation, which may have run before.
		if o.failedRuns++; o.failedRuns >= maxFailedRuns {
			return operationResult{httpErr: unknownOutcomeError()}, true
		}
		o.mayHaveRun = true
	default:
		o.mayHaveRun = true
	}
	sleeper.Pause(ctx, claimRetryDelay)
	return operationResult{}, false
}

// handleRefusal moves the claim to the next candidate under the next generation, or releases it if the reason rules out
// other endpoints. Another router may have moved the claim meanwhile, so only the reply shows whether the operation has
// not run.
func (o *operation) handleRefusal(reason retrier.Refusal, generation uint64) {
	o.claim.NotRun = generation
	// The agent will never run this generation, so no message sent under it has run.
	o.mayHaveRun = false
	switch reason {
	case retrier.RefusedPoison:
		o.requestRelease(retrier.CodePoison)
	case retrier.RefusedSuspect:
		o.requestRelease(retrier.CodeSuspect)
	case retrier.RefusedDeadline:
		o.requestRelease(retrier.CodeDeadlineExceeded)
	default:
		o.atCapacity = o.atCapacity || reason == retrier.RefusedCapacity
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
		Message:    "the endpoint of the operation cannot be reached; a retry with the same Idempotency-Key is safe",
		RetryAfter: o.rt.retryAfter(0),
	}
}

func unknownOutcomeError() *httpError {
	return &httpError{
		Status: http.StatusConflict, Type: errorTypeServer, Code: "unknown_outcome",
		Message: "the operation may have run and is not retried",
	}
}

func operationRunningError() *httpError {
	return &httpError{
		Status: http.StatusGatewayTimeout, Type: errorTypeServer, Code: "operation_running",
		Message: "the operation is still running at the deadline; a retry with the same Idempotency-Key joins it",
	}
}
