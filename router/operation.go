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
	claimTimeout = 1500 * time.Millisecond
	// controlWait bounds the wait for control before one reply. A client finds another instance within 1.2 s and an
	// election ends within 1 s; operations that wait longer would fill the router while control has no quorum.
	controlWait = 10 * time.Second
	// answerReserve is the time before the deadline that is left to tell the caller why there is no answer.
	answerReserve = 100 * time.Millisecond
	// claimPause lets control learn of the end of a run, or elect a leader, before the claim is sent again.
	claimPause = 200 * time.Millisecond
	// unsentTries bounds the connections to an endpoint that holds the claim. The claim stays there, because only
	// an agent's remembered refusal lets it move.
	unsentTries = 3
)

func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		_, _ = h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// result is the answer of an operation, or why there is none.
type result struct {
	head relayer.Head
	body []byte
	fail *failure
}

// operation is a call that may not be repeated: a committed claim precedes each run.
type operation struct {
	rt    *Router
	id    string
	claim subscriber.Claim
	req   relayer.Request
	cands *candidates
	// mayHaveRun is set once a run message was sent and not refused, by this router or, as far as it can tell, by
	// another one.
	mayHaveRun bool
	// claimed is set once a claim may have been committed.
	claimed bool
	unsent  int
	full    bool
	// stop is the answer when the claim is released; while it is set, claims have no endpoint and only read.
	stop *failure
}

// operate runs an operation, or joins a run of it, and answers the caller.
func (rt *Router) operate(
	ctx context.Context, w http.ResponseWriter, req relayer.Request, key string, release func(),
) string {
	id := digest(req.Workspace, req.Pool, key)
	sum := digest(req.Method, req.Path, string(req.Body))
	res, started, err := rt.calls.do(ctx, id+sum, func() result {
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
		res.fail = running()
	}
	if res.fail != nil {
		res.fail.write(w)
		return res.fail.Code
	}
	if writeWhole(w, res.head, res.body) != nil {
		return "caller_gone"
	}
	return "ok"
}

func (rt *Router) runOperation(ctx context.Context, req relayer.Request, id, sum string) result {
	req.ChatKey = uint64(placer.KeyOf(id))
	o := &operation{
		rt: rt, id: id, req: req, cands: rt.candidates(time.Now(), &req, placer.NeedNothing),
		claim: subscriber.Claim{Operation: id, Digest: sum, Workspace: req.Workspace},
	}
	defer o.cands.close()
	o.nextCandidate()
	for {
		reply, f := o.committed(ctx)
		if f != nil {
			return result{fail: f}
		}
		res, final := o.follow(ctx, reply)
		if final {
			return res
		}
		if ctx.Err() != nil {
			return result{fail: o.expired()}
		}
	}
}

// nextCandidate names the endpoint of the next claim. Without one the claim only reads, because the operation may
// have run at an endpoint that has left.
func (o *operation) nextCandidate() {
	at, ok := o.cands.next(time.Now())
	if !ok {
		code := retrier.CodeUnavailable
		if o.full {
			code = retrier.CodeOverloaded
		}
		o.stopWith(code)
		return
	}
	o.claim.Endpoint, o.claim.Incarnation = at.Name, at.Incarnation
}

// stopWith ends the operation unless control knows of a run.
func (o *operation) stopWith(code retrier.Code) {
	o.stop = o.rt.stopped(retrier.Decision{Code: code, NotRun: true}, 0)
	o.claim.Endpoint, o.claim.Incarnation = "", 0
}

// committed sends the claim until there is a reply, at most for controlWait; a claim may be sent again after a lost
// reply.
func (o *operation) committed(ctx context.Context) (subscriber.ClaimReply, *failure) {
	end := time.Now().Add(controlWait)
	if d := o.req.Deadline.Add(-answerReserve); d.Before(end) {
		end = d
	}
	wait, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for {
		reply, err := o.send(wait)
		o.claimed = o.claimed || !errors.Is(err, subscriber.ErrNotSent)
		if err == nil {
			return reply, nil
		}
		if wait.Err() != nil || isRefused(err) {
			return reply, o.unclaimed()
		}
		pauser.Pause(wait, claimPause)
		var refused *subscriber.CallError
		if errors.As(err, &refused) && refused.Code == subscriber.CodeStaleIncarnation {
			o.restarted()
		}
	}
}

// isRefused reports whether control refuses the claim for good.
func isRefused(err error) bool {
	var refused *subscriber.CallError
	return errors.As(err, &refused) && refused.Code == subscriber.CodeInvalid
}

// restarted moves a claim that was not granted because its endpoint has another incarnation by now.
func (o *operation) restarted() {
	e, ok := o.cands.usable(o.claim.Endpoint)
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
func (o *operation) unclaimed() *failure {
	f := &failure{
		Status: http.StatusServiceUnavailable, Type: typeServer, Code: "control_unreachable",
		Message: "no control instance was reached", RetryAfter: o.rt.retryAfter(0),
	}
	if o.claimed {
		f.Code = "control_unavailable"
		f.Message = "the operation could not be claimed; a retry under the same key is safe"
	}
	return f
}

func (o *operation) send(ctx context.Context) (subscriber.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return o.rt.control.Claim(ctx, o.claim)
}

// follow acts on the committed state; final is false when the claim has to be read or moved again.
func (o *operation) follow(ctx context.Context, reply subscriber.ClaimReply) (res result, final bool) {
	switch reply.State {
	case subscriber.ClaimDone:
		if reply.Answer == nil {
			return result{fail: unknown()}, true
		}
		a := reply.Answer
		return result{head: relayer.Head{Status: a.Status, ContentType: a.Type, Recorded: true}, body: a.Body}, true
	case subscriber.ClaimConflict:
		return result{fail: &failure{
			Status: http.StatusUnprocessableEntity, Type: typeInvalid, Code: "idempotency_conflict",
			Message: "the Idempotency-Key was used with another request",
		}}, true
	case subscriber.ClaimGranted, subscriber.ClaimRunning:
		return o.run(ctx, reply)
	case subscriber.ClaimReleased:
		if o.stop == nil {
			return result{fail: unknown()}, true // no answer to a claim with an endpoint
		}
		return result{fail: o.stop}, true
	default:
		return result{fail: unknown()}, true
	}
}

// run sends the run message to the endpoint that holds the claim; an agent that already runs this generation
// joins it.
func (o *operation) run(ctx context.Context, reply subscriber.ClaimReply) (res result, final bool) {
	v := o.rt.control.View()
	e, ok := v.Endpoints[reply.Endpoint]
	if !ok {
		// The endpoint has left, or joined after this view, and another router may run it there. Control ends the
		// claims of an endpoint that is gone, so the claim is read until then.
		o.mayHaveRun = true
		pauser.Pause(ctx, claimPause)
		return result{}, false
	}
	o.claim.NotRun = 0
	o.req.Attempt++
	o.req.ViewIndex, o.req.BundleVersion = v.Index, v.BundleVersion
	o.req.Operation = &relayer.Operation{ID: o.id, Generation: reply.Generation, Incarnation: reply.Incarnation}
	s, err := o.rt.relay.Start(ctx, e.Address, o.req)
	var body []byte
	if err == nil {
		if body, err = readWhole(ctx, s); err != nil {
			s.Cancel()
		}
	}
	out := o.rt.outcome(o.cands.table, e.Name, s, err)
	var refusal *relayer.RefusalError
	switch {
	case out.Kind == retrier.Completed:
		return result{head: s.Head(), body: body}, true
	case errors.As(err, &refusal) && refusal.Generation == reply.Generation:
		o.refused(out.Refusal, reply.Generation)
		return result{}, false
	case out.Kind == retrier.Unreachable:
		o.unsent++
		if reply.State == subscriber.ClaimRunning {
			o.mayHaveRun = true
		}
		if o.unsent >= unsentTries {
			return result{fail: o.unreachable()}, true
		}
	case errors.As(err, &refusal) && refusal.Reason != relayer.ReasonOtherIncarnation:
		// The agent refuses this attempt only; another router's may run.
		o.mayHaveRun = true
		if o.unsent++; o.unsent >= unsentTries {
			return result{fail: o.unreachable()}, true
		}
	case out.Kind == retrier.Refused:
		// Another incarnation of the endpoint holds no record of this generation, which may have run before.
		if o.unsent++; o.unsent >= unsentTries {
			return result{fail: unknown()}, true
		}
		o.mayHaveRun = true
	default:
		o.mayHaveRun = true
	}
	pauser.Pause(ctx, claimPause)
	return result{}, false
}

// refused moves the claim to the next candidate under the next generation, or releases it when no other endpoint may
// be asked. Another router may have moved it meanwhile, so only the reply tells whether the operation has not run.
func (o *operation) refused(why retrier.Refusal, generation uint64) {
	o.claim.NotRun = generation
	// The agent will never run this generation, so that nothing sent under it has run.
	o.mayHaveRun = false
	switch why {
	case retrier.RefusedPoison:
		o.stopWith(retrier.CodePoison)
	case retrier.RefusedSuspect:
		o.stopWith(retrier.CodeSuspect)
	case retrier.RefusedDeadline:
		o.stopWith(retrier.CodeDeadlineExceeded)
	default:
		o.full = o.full || why == retrier.RefusedCapacity
		o.nextCandidate()
	}
}

func (o *operation) expired() *failure {
	if o.mayHaveRun {
		return running()
	}
	return o.rt.stopped(retrier.Decision{Code: retrier.CodeDeadlineExceeded}, 0)
}

func (o *operation) unreachable() *failure {
	return &failure{
		Status: http.StatusServiceUnavailable, Type: typeServer, Code: "endpoint_unreachable",
		Message:    "the endpoint that holds the operation cannot be reached; a retry under the same key is safe",
		RetryAfter: o.rt.retryAfter(0),
	}
}

func unknown() *failure {
	return &failure{
		Status: http.StatusConflict, Type: typeServer, Code: "unknown_outcome",
		Message: "the operation may have run; it will not run again",
	}
}

func running() *failure {
	return &failure{
		Status: http.StatusGatewayTimeout, Type: typeServer, Code: "operation_running",
		Message: "the operation has not ended before the deadline; a retry under the same key joins it",
	}
}
