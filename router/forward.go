package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/retrier"
)

const (
	// maxBufferedBytes limits the buffered bytes of a response; agents have the same limit.
	maxBufferedBytes = 8 << 20
	// restartDelay is how long a request that must not fail yet waits for capacity before its candidates are tried
	// again.
	restartDelay = 200 * time.Millisecond
)

var (
	errResponseTooLarge   = errors.New("response exceeds 8 MiB")
	errMissingDone        = errors.New("stream ended without [DONE]")
	errCallerDisconnected = errors.New("caller disconnected")
)

// transfer forwards one request without a claim to endpoints, with retries, and the response to the caller.
type transfer struct {
	rt         *Router
	w          http.ResponseWriter
	req        relayer.Request
	retryState retrier.Request
	candidates *candidates
	need       placer.Need
	progress   streamProgress
	receivedAt time.Time
	// retryAfter is the shortest time after which an agent that refused the request expects to have capacity.
	retryAfter time.Duration
	moveHints  []moveHint
	// modelVersion is the version of the model that began the stream; it is valid once progress.started is set.
	modelVersion string
	// streamError is the error with which the delivered part of a stream ends.
	streamError *httpError
}

// moveHint means that the agent of the endpoint from reported that the chat was last served by to.
type moveHint struct{ from, to string }

// forward serves a request without a claim and returns its outcome for the metric, or the error that ended its stream;
// kind decides whether a request that may have run is retried.
func (rt *Router) forward(
	ctx context.Context, w http.ResponseWriter, req relayer.Request, need placer.Need, kind planner.Kind,
) (string, *httpError) {
	if server.HasCallerLeft(ctx) {
		return "caller_gone", nil
	}
	now := time.Now()
	t := &transfer{
		rt: rt, w: w, req: req, receivedAt: now,
		retryState: retrier.Request{
			Workspace: req.Workspace, Repeatable: kind == planner.KindRepeatable, Deadline: req.Deadline,
		},
		candidates: rt.newCandidates(now, &req, need), need: need,
	}
	defer func() { t.candidates.close() }()
	if rt.control.View().Pools[req.Pool].Kind == bundler.PoolModel {
		fingerprint := quarantiner.Fingerprint(req.Workspace, req.Path, req.ChatKey, req.Body)
		unlock, ok := rt.fingerprintLocks.lock(ctx, fingerprint)
		if !ok {
			return t.handleContextEnd(ctx, retrier.Outcome{Kind: retrier.Refused}), nil
		}
		defer unlock()
		if v := rt.control.View().Verdicts[fingerprint]; v.Convicted && time.Now().Before(v.Until) {
			return t.writeError(retrier.Decision{Action: retrier.Stop, Code: retrier.CodePoison, NotRun: true}), nil
		}
	}
	rt.mu.Lock()
	rt.budget.CountFirstAttempt(req.Workspace)
	rt.mu.Unlock()
	outcome := t.run(ctx)
	return outcome, t.streamError
}

// run makes attempts until the request is finished and returns its outcome for the metric.
func (t *transfer) run(ctx context.Context) string {
	action := retrier.TryNextCandidate
	var c candidate
	for {
		if action != retrier.ResumeSameEndpoint && action != retrier.RetrySameEndpoint {
			var ok bool
			if c, ok = t.candidates.next(time.Now()); !ok {
				d := t.retryState.AfterLastCandidate()
				if d.Action == retrier.Stop {
					return t.writeError(d)
				}
				if outcome := t.restartCandidates(ctx, retrier.Outcome{Kind: retrier.Refused}); outcome != "" {
					return outcome
				}
				continue
			}
		}
		o, err := t.attempt(ctx, c)
		if errors.Is(err, errResponseBroken) {
			return "broken"
		}
		if ctx.Err() != nil && o.Kind != retrier.Completed {
			return t.handleContextEnd(ctx, o)
		}
		if errors.Is(err, errCallerDisconnected) {
			return "caller_gone"
		}
		d := t.decide(o)
		switch d.Action {
		case retrier.Done:
			t.notifyMoved(c.Name)
			return "ok"
		case retrier.Stop:
			return t.writeError(d)
		case retrier.Retry, retrier.ResumeNextCandidate:
			t.candidates.noRetry = append(t.candidates.noRetry, c.Name)
		case retrier.TryNextCandidate:
			// A probed endpoint that refuses for another reason than its cache would most likely refuse again.
			if c.need != placer.NeedNothing && o.Refusal != retrier.RefusedNotCached {
				t.candidates.noRetry = append(t.candidates.noRetry, c.Name)
			}
		case retrier.ResumeSameEndpoint:
			c.need = placer.NeedNothing
		case retrier.RetrySameEndpoint:
			sleeper.Pause(ctx, t.retryAfter)
		case retrier.Wait:
			if outcome := t.restartCandidates(ctx, o); outcome != "" {
				return outcome
			}
		}
		action = d.Action
	}
}

// restartCandidates waits until the retry budget allows another pass over the candidates and returns "". If the request
// can't continue, it responds to the caller and returns the outcome for the metric.
func (t *transfer) restartCandidates(ctx context.Context, o retrier.Outcome) string {
	for d := (retrier.Decision{Action: retrier.Wait}); d.Action == retrier.Wait; {
		sleeper.Pause(ctx, restartDelay)
		if ctx.Err() != nil {
			return t.handleContextEnd(ctx, o)
		}
		t.rt.mu.Lock()
		d = t.retryState.AfterWait(time.Now(), t.rt.budget)
		t.rt.mu.Unlock()
		if d.Action == retrier.Stop {
			return t.writeError(d)
		}
	}
	t.candidates.close()
	t.candidates = t.rt.newCandidates(time.Now(), &t.req, t.need)
	return ""
}

// handleContextEnd returns the outcome after the caller disconnected or the deadline passed. It responds to the caller
// in the latter case.
func (t *transfer) handleContextEnd(ctx context.Context, o retrier.Outcome) string {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "caller_gone"
	}
	return t.writeError(t.retryState.AfterDeadline(o.Kind != retrier.Refused && o.Kind != retrier.Unreachable))
}

// decide returns the action after an attempt and counts it.
func (t *transfer) decide(o retrier.Outcome) retrier.Decision {
	t.rt.mu.Lock()
	d := t.retryState.AfterAttempt(time.Now(), o, t.rt.budget)
	t.rt.mu.Unlock()
	switch {
	case d.Action == retrier.Retry:
		t.rt.metrics.retries.WithLabelValues("retry").Inc()
	case d.Action == retrier.ResumeSameEndpoint, d.Action == retrier.ResumeNextCandidate:
		t.rt.metrics.retries.WithLabelValues("resume").Inc()
	case d.Code == retrier.CodeBudgetExhausted:
		t.rt.metrics.budgetExhausted.Inc()
	}
	return d
}

// attempt sends the request to one endpoint and delivers the response.
func (t *transfer) attempt(ctx context.Context, c candidate) (o retrier.Outcome, err error) {
	v := t.rt.control.View()
	if !t.progress.started {
		t.modelVersion = v.Pools[t.req.Pool].ModelVersion
	}
	t.req.Attempt++
	t.req.OnlyIfCached, t.req.OnlyIfPrefixCached = c.need == placer.NeedChat, c.need == placer.NeedPrefix
	t.req.Successor = t.candidates.successor(c.Name)
	t.req.Crashes = t.retryState.Crashes
	t.req.ResumeTokens, t.req.ResumeText = t.progress.tokens, string(t.progress.text)
	t.req.ViewIndex, t.req.BundleVersion = v.Index, v.BundleVersion
	t.candidates.placement.withTracker(func(tracker *placer.Tracker) { t.req.MeanHint = tracker.MeanLoad(time.Now()) })
	resp, err := t.rt.relay.Start(ctx, c.Address, t.req)
	if err == nil {
		err = t.deliver(ctx, resp)
	}
	o = t.rt.classifyAttempt(t.candidates.placement, c.Name, resp, err)
	o.PartlyDelivered, o.Resumable = t.progress.started, t.progress.resumable() && !t.hasModelChanged()
	var refusal *relayer.RefusalError
	if errors.As(err, &refusal) {
		t.recordRefusal(c, refusal)
	}
	if errors.As(err, &refusal) && refusal.RetryAfterMillis > 0 {
		after := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		if t.retryAfter == 0 || after < t.retryAfter {
			t.retryAfter = after
		}
	}
	return o, err
}

// hasModelChanged reports whether engines now have another version of the model than the one that began the stream.
func (t *transfer) hasModelChanged() bool {
	return t.rt.control.View().Pools[t.req.Pool].ModelVersion != t.modelVersion
}

// recordRefusal updates the order of the candidates by the location of the chat and its prefix in a refusal.
func (t *transfer) recordRefusal(c candidate, r *relayer.RefusalError) {
	if r.Reason == relayer.ReasonNotCached {
		t.candidates.iterator.RecordRefusal(c.poolIndex, prefixStateOf(r))
	}
	if i, ok := t.candidates.pool.IndexOf(r.MovedTo); ok {
		t.candidates.iterator.Prioritize(i)
		t.moveHints = append(t.moveHints, moveHint{from: c.Name, to: r.MovedTo})
	}
}

// notifyMoved notifies the chat's primary of the endpoint that served the chat, unless the primary reported it itself.
func (t *transfer) notifyMoved(endpoint string) {
	i, ok := t.candidates.iterator.Primary()
	if !ok {
		return
	}
	primary := t.candidates.pool.Name(i)
	if primary == endpoint || slices.Contains(t.moveHints, moveHint{from: primary, to: endpoint}) {
		return
	}
	if p, ok := t.rt.control.View().Endpoints[primary]; ok {
		t.rt.relay.NotifyMoved(p.Address, t.req.ChatKey, endpoint)
	}
}

func prefixStateOf(r *relayer.RefusalError) placer.PrefixState {
	switch {
	case !r.HasPrefix:
		return placer.PrefixNotCached
	case !r.HasRoom:
		return placer.PrefixCached
	default:
		return placer.PrefixCachedLowLoad
	}
}

// classifyAttempt returns the outcome of an attempt and records the state of the endpoint.
func (rt *Router) classifyAttempt(
	placement *poolPlacement, endpoint string, resp Response, err error,
) (o retrier.Outcome) {
	var (
		refusal    *relayer.RefusalError
		lost       *relayer.AgentLostError
		incomplete *relayer.IncompleteError
	)
	result := "ran"
	now := time.Now()
	switch {
	case err == nil:
		placement.withTracker(func(t *placer.Tracker) { t.RecordLoad(now, endpoint, resp.End().Load.InFlight) })
		o.Kind = retrier.Completed
	case errors.As(err, &refusal):
		result = "refused"
		rt.metrics.countRefusal(refusal.Reason)
		o = refusalOutcome(refusal.Reason)
		placement.withTracker(func(t *placer.Tracker) {
			t.RecordLoad(now, endpoint, refusal.Load.InFlight)
			if o.Refusal == retrier.RefusedCapacity {
				t.RecordFull(now, endpoint)
			}
		})
	case errors.As(err, &lost):
		result, o.Kind = "lost", retrier.AgentLost
		if !lost.Sent {
			result, o.Kind = "unreached", retrier.Unreachable
		}
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			placement.withTracker(func(t *placer.Tracker) { t.RecordUnreachable(now, endpoint) })
		}
	case errors.As(err, &incomplete) && incomplete.End.Crashed:
		result, o.Kind = "crashed", retrier.EngineCrashed
	case errors.As(err, &incomplete) && incomplete.End.Outcome == relayer.OutcomeNotRun:
		result, o.Kind = "refused", retrier.Refused
	default:
		result, o.Kind = "broken", retrier.Interrupted
	}
	rt.metrics.attempts.WithLabelValues(result).Inc()
	return o
}

func refusalOutcome(r relayer.Reason) retrier.Outcome {
	o := retrier.Outcome{Kind: retrier.Refused}
	switch r {
	case relayer.ReasonOverLoadBound, relayer.ReasonColdLimit, relayer.ReasonQueueTime,
		relayer.ReasonQuiet:
		o.Refusal = retrier.RefusedCapacity
	case relayer.ReasonNotCached:
		o.Refusal = retrier.RefusedNotCached
	case relayer.ReasonSuspect:
		o.Refusal = retrier.RefusedSuspect
	case relayer.ReasonPoison:
		o.Refusal = retrier.RefusedPoison
	case relayer.ReasonDeadline:
		o.Refusal = retrier.RefusedDeadline
	case relayer.ReasonDuplicate:
		// The agent has received this attempt before, so an earlier copy may have run.
		o.Kind = retrier.AgentLost
	}
	return o
}

// deliver sends the response of one attempt to the caller; a nil error means that the caller has the complete response.
func (t *transfer) deliver(ctx context.Context, resp Response) (err error) {
	h := resp.Head()
	isStream := h.Status == http.StatusOK && strings.HasPrefix(h.ContentType, "text/event-stream")
	if isStream {
		buffered := newBufferedResponse(ctx, resp, &t.rt.callers.Answers)
		defer buffered.close()
		resp = buffered
	}
	defer func() {
		if err != nil {
			resp.Cancel()
		}
	}()
	if isStream {
		return t.deliverStream(ctx, resp)
	}
	if t.progress.started {
		return errMissingDone // a resumed response must be a stream, too
	}
	return t.deliverWhole(ctx, resp)
}

// readResponse buffers a response until it is complete. It returns errNoMemory with what it has read if the buffer
// can't grow; a nil grow has no limit.
func readResponse(ctx context.Context, resp Response, grow func(n int64) bool) ([]byte, error) {
	var buf bytes.Buffer
	for {
		p, err := resp.Next(ctx)
		if errors.Is(err, io.EOF) {
			return buf.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if buf.Len()+len(p) > maxBufferedBytes {
			return nil, errResponseTooLarge
		}
		hasRoom := grow == nil || grow(int64(len(p)))
		if buf.Write(p); !hasRoom {
			return buf.Bytes(), errNoMemory
		}
	}
}

func writeResponse(w http.ResponseWriter, h relayer.Head, body []byte) error {
	w.Header().Set("Content-Type", h.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(h.Status)
	if _, err := w.Write(body); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// deliverStream delivers complete events only, so that another endpoint can resume the stream after the last one.
func (t *transfer) deliverStream(ctx context.Context, resp Response) error {
	t.progress.resumed = t.progress.started
	var parser eventParser
	for {
		p, err := resp.Next(ctx)
		if errors.Is(err, io.EOF) && t.progress.done {
			return nil
		}
		if err != nil {
			return t.handleStreamEnd(err)
		}
		if err := parser.feed(p); err != nil {
			return err
		}
		if err := t.deliverEvents(&parser); err != nil {
			return err
		}
	}
}

// handleStreamEnd returns the error for a stream that ended without [DONE]. After the finish reason the response is
// complete, so it writes the missing [DONE].
func (t *transfer) handleStreamEnd(err error) error {
	switch {
	case t.progress.done:
		return nil
	case t.progress.finished:
		t.progress.done = true
		return t.writeEvent([]byte("data: [DONE]\n\n"))
	case errors.Is(err, io.EOF):
		return errMissingDone
	default:
		return err
	}
}

// deliverEvents writes the complete events of the parser to the caller.
func (t *transfer) deliverEvents(parser *eventParser) error {
	wrote := false
	for event, ok := parser.next(); ok; event, ok = parser.next() {
		deliver, err := t.progress.record(event)
		if err != nil {
			return err
		}
		if !deliver {
			continue
		}
		if err := t.writeEvent(event); err != nil {
			return err
		}
		wrote = true
	}
	if wrote && http.NewResponseController(t.w).Flush() != nil {
		return errCallerDisconnected
	}
	return nil
}

func (t *transfer) writeEvent(event []byte) error {
	if t.w.Header().Get("Content-Type") == "" {
		t.rt.metrics.firstToken.Observe(time.Since(t.receivedAt).Seconds())
		t.w.Header().Set("Content-Type", "text/event-stream")
		t.w.Header().Set("Cache-Control", "no-store")
		t.w.WriteHeader(http.StatusOK)
	}
	if _, err := t.w.Write(event); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// writeError writes the error response, or an error event if events were already delivered, and returns its code.
func (t *transfer) writeError(d retrier.Decision) string {
	httpErr := t.rt.decisionError(d, t.retryAfter)
	if !t.progress.started {
		httpErr.write(t.w)
		return httpErr.Code
	}
	data, err := json.Marshal(httpErr.body())
	if err != nil {
		panic(http.ErrAbortHandler) // otherwise the truncated response would look complete
	}
	if t.writeEvent([]byte("data: "+string(data)+"\n\n")) == nil {
		_ = http.NewResponseController(t.w).Flush()
	}
	httpErr.EndsStream = true
	t.streamError = httpErr
	return httpErr.Code
}
