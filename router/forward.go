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

	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/quarantiner"
	"cactusroute.dev/core/retrier"
)

const (
	// maxWholeBytes bounds an answer that is buffered until it is complete; agents have the same bound.
	maxBufferedBytes = 8 << 20
	// writeTimeout ends a request whose caller takes no bytes.
	writeTimeout = 30 * time.Second
	// renewPause is how long a request that must not end waits for room when every endpoint has refused it.
	restartDelay = 200 * time.Millisecond
)

var (
	errResponseTooLarge   = errors.New("answer exceeds 8 MiB")
	errMissingDone        = errors.New("stream ended without [DONE]")
	errCallerDisconnected = errors.New("caller is gone")
)

// exchange is one request of a caller without a claim, over all its attempts.
type transfer struct {
	rt         *Router
	w          http.ResponseWriter
	req        relayer.Request
	retryState retrier.Request
	candidates *candidates
	need       placer.Need
	progress   streamProgress
	receivedAt time.Time
	// retryAfter is the shortest time after which a refusing agent expects room.
	retryAfter time.Duration
	moveHints  []moveHint
}

// hint is where an agent said that the chat was served last.
type moveHint struct{ from, to string }

// forward runs a request as its kind allows and returns its outcome for the metric.
func (rt *Router) forward(
	ctx context.Context, w http.ResponseWriter, req relayer.Request, need placer.Need, kind planner.Kind,
) string {
	now := time.Now()
	x := &transfer{
		rt: rt, w: w, req: req, receivedAt: now,
		retryState: retrier.Request{
			Workspace: req.Workspace, Repeatable: kind == planner.KindRepeatable, Deadline: req.Deadline,
		},
		candidates: rt.newCandidates(now, &req, need), need: need,
	}
	defer func() { x.candidates.close() }()
	if rt.control.View().Pools[req.Pool].Kind == bundler.PoolModel {
		fingerprint := quarantiner.Fingerprint(req.Workspace, req.Path, req.ChatKey, req.Body)
		leave, ok := rt.fingerprintLocks.lock(ctx, fingerprint)
		if !ok {
			return x.handleContextEnd(ctx, retrier.Outcome{Kind: retrier.Refused})
		}
		defer leave()
		if v := rt.control.View().Verdicts[fingerprint]; v.Convicted && time.Now().Before(v.Until) {
			return x.writeError(retrier.Decision{Action: retrier.Stop, Code: retrier.CodePoison, NotRun: true})
		}
	}
	rt.mu.Lock()
	rt.budget.CountFirstAttempt(req.Workspace)
	rt.mu.Unlock()
	return x.run(ctx)
}

func (x *transfer) run(ctx context.Context) string {
	next := retrier.TryNextCandidate
	var at candidate
	for {
		if next != retrier.ResumeSameEndpoint && next != retrier.RetrySameEndpoint {
			var ok bool
			if at, ok = x.candidates.next(time.Now()); !ok {
				d := x.retryState.AfterLastCandidate()
				if d.Action == retrier.Stop {
					return x.writeError(d)
				}
				if end := x.restartCandidates(ctx, retrier.Outcome{Kind: retrier.Refused}); end != "" {
					return end
				}
				continue
			}
		}
		o, err := x.attempt(ctx, at)
		if ctx.Err() != nil && o.Kind != retrier.Completed {
			return x.handleContextEnd(ctx, o)
		}
		if errors.Is(err, errCallerDisconnected) {
			return "caller_gone"
		}
		d := x.decide(o)
		switch d.Action {
		case retrier.Done:
			x.notifyMoved(at.Name)
			return "ok"
		case retrier.Stop:
			return x.writeError(d)
		case retrier.Retry, retrier.ResumeNextCandidate:
			x.candidates.noRetry = append(x.candidates.noRetry, at.Name)
		case retrier.TryNextCandidate:
			// A refusal for any reason but the cache would most likely come again.
			if at.need != placer.NeedNothing && o.Refusal != retrier.RefusedNotCached {
				x.candidates.noRetry = append(x.candidates.noRetry, at.Name)
			}
		case retrier.ResumeSameEndpoint:
			at.need = placer.NeedNothing
		case retrier.RetrySameEndpoint:
			pauser.Pause(ctx, x.retryAfter)
		case retrier.Wait:
			if end := x.restartCandidates(ctx, o); end != "" {
				return end
			}
		}
		next = d.Action
	}
}

// renew begins the candidates again after a pause, and once the retry budget allows it; otherwise it answers the
// caller and returns the outcome for the metric.
func (x *transfer) restartCandidates(ctx context.Context, o retrier.Outcome) string {
	for d := (retrier.Decision{Action: retrier.Wait}); d.Action == retrier.Wait; {
		pauser.Pause(ctx, restartDelay)
		if ctx.Err() != nil {
			return x.handleContextEnd(ctx, o)
		}
		x.rt.mu.Lock()
		d = x.retryState.AfterWait(time.Now(), x.rt.budget)
		x.rt.mu.Unlock()
		if d.Action == retrier.Stop {
			return x.writeError(d)
		}
	}
	x.candidates.close()
	x.candidates = x.rt.newCandidates(time.Now(), &x.req, x.need)
	return ""
}

// ended decides after the context has ended: the caller is gone, or the deadline has passed.
func (x *transfer) handleContextEnd(ctx context.Context, o retrier.Outcome) string {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "caller_gone"
	}
	return x.writeError(x.retryState.AfterDeadline(o.Kind != retrier.Refused && o.Kind != retrier.Unreachable))
}

func (x *transfer) decide(o retrier.Outcome) retrier.Decision {
	x.rt.mu.Lock()
	d := x.retryState.AfterAttempt(time.Now(), o, x.rt.budget)
	x.rt.mu.Unlock()
	switch {
	case d.Action == retrier.Retry:
		x.rt.metrics.retries.WithLabelValues("retry").Inc()
	case d.Action == retrier.ResumeSameEndpoint, d.Action == retrier.ResumeNextCandidate:
		x.rt.metrics.retries.WithLabelValues("resume").Inc()
	case d.Code == retrier.CodeBudgetExhausted:
		x.rt.metrics.budgetExhausted.Inc()
	}
	return d
}

// attempt asks one endpoint and relays its answer.
func (x *transfer) attempt(ctx context.Context, at candidate) (o retrier.Outcome, err error) {
	v := x.rt.control.View()
	x.req.Attempt++
	x.req.OnlyIfCached, x.req.OnlyIfPrefixCached = at.need == placer.NeedChat, at.need == placer.NeedPrefix
	x.req.Successor = x.candidates.successor(at.Name)
	x.req.Crashes = x.retryState.Crashes
	x.req.ResumeTokens, x.req.ResumeText = x.progress.tokens, string(x.progress.text)
	x.req.ViewIndex, x.req.BundleVersion = v.Index, v.BundleVersion
	x.candidates.placement.withTracker(func(t *placer.Tracker) { x.req.MeanHint = t.MeanLoad(time.Now()) })
	s, err := x.rt.relay.Start(ctx, at.Address, x.req)
	if err == nil {
		err = x.deliver(ctx, s)
	}
	o = x.rt.classifyAttempt(x.candidates.placement, at.Name, s, err)
	o.PartlyDelivered, o.Resumable = x.progress.started, x.progress.resumable()
	var refusal *relayer.RefusalError
	if errors.As(err, &refusal) {
		x.recordRefusal(at, refusal)
	}
	if errors.As(err, &refusal) && refusal.RetryAfterMillis > 0 {
		after := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		if x.retryAfter == 0 || after < x.retryAfter {
			x.retryAfter = after
		}
	}
	return o, err
}

// learn uses what a refusal tells about the chat and its prefix.
func (x *transfer) recordRefusal(at candidate, r *relayer.RefusalError) {
	if r.Reason == relayer.ReasonNotCached {
		x.candidates.iterator.RecordRefusal(at.poolIndex, prefixStateOf(r))
	}
	if i, ok := x.candidates.pool.IndexOf(r.MovedTo); ok {
		x.candidates.iterator.Prioritize(i)
		x.moveHints = append(x.moveHints, moveHint{from: at.Name, to: r.MovedTo})
	}
}

// moved tells the chat's first candidate where the chat was served, unless it has just said so itself.
func (x *transfer) notifyMoved(served string) {
	i, ok := x.candidates.iterator.Primary()
	if !ok {
		return
	}
	home := x.candidates.pool.Name(i)
	if home == served || slices.Contains(x.moveHints, moveHint{from: home, to: served}) {
		return
	}
	if e, ok := x.rt.control.View().Endpoints[home]; ok {
		x.rt.relay.NotifyMoved(e.Address, x.req.ChatKey, served)
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

// outcome classifies the end of an attempt and records what it says about the endpoint.
func (rt *Router) classifyAttempt(t *poolPlacement, endpoint string, s Response, err error) (o retrier.Outcome) {
	var (
		refusal *relayer.RefusalError
		lost    *relayer.AgentLostError
		broken  *relayer.IncompleteError
	)
	result := "ran"
	now := time.Now()
	switch {
	case err == nil:
		t.withTracker(func(t *placer.Tracker) { t.RecordLoad(now, endpoint, s.End().Load.InFlight) })
		o.Kind = retrier.Completed
	case errors.As(err, &refusal):
		result = "refused"
		rt.metrics.countRefusal(refusal.Reason)
		o = refusalOutcome(refusal.Reason)
		t.withTracker(func(t *placer.Tracker) {
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
			t.withTracker(func(t *placer.Tracker) { t.RecordUnreachable(now, endpoint) })
		}
	case errors.As(err, &broken) && broken.End.Crashed:
		result, o.Kind = "crashed", retrier.EngineCrashed
	case errors.As(err, &broken) && broken.End.Outcome == relayer.OutcomeNotRun:
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
	case relayer.ReasonOverLoadBound, relayer.ReasonColdLimit, relayer.ReasonQueueTime:
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
		// The agent has seen this attempt before, so an earlier copy may have run.
		o.Kind = retrier.AgentLost
	}
	return o
}

// relay delivers one attempt's answer; nil means that the caller has the whole answer.
func (x *transfer) deliver(ctx context.Context, s Response) (err error) {
	h := s.Head()
	isStream := h.Status == http.StatusOK && strings.HasPrefix(h.ContentType, "text/event-stream")
	if isStream {
		sp := newBufferedResponse(ctx, s)
		defer sp.cancelRead()
		s = sp
	}
	defer func() {
		if err != nil {
			s.Cancel()
		}
	}()
	if isStream {
		return x.deliverStream(ctx, s)
	}
	if x.progress.started {
		return errMissingDone // a continuation must be a stream too
	}
	body, err := readResponse(ctx, s)
	if err != nil {
		return err
	}
	x.rt.metrics.firstToken.Observe(time.Since(x.receivedAt).Seconds())
	return writeResponse(x.w, h, body)
}

func readResponse(ctx context.Context, s Response) ([]byte, error) {
	var buf bytes.Buffer
	for {
		p, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return buf.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if buf.Len()+len(p) > maxBufferedBytes {
			return nil, errResponseTooLarge
		}
		buf.Write(p)
	}
}

func writeResponse(w http.ResponseWriter, h relayer.Head, body []byte) error {
	w.Header().Set("Content-Type", h.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(h.Status)
	if _, err := w.Write(body); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// relayEvents delivers whole events only, so that a continuation begins exactly where the caller stands.
func (x *transfer) deliverStream(ctx context.Context, s Response) error {
	x.progress.resumed = x.progress.started
	var parser eventParser
	for {
		p, err := s.Next(ctx)
		if errors.Is(err, io.EOF) && x.progress.done {
			return nil
		}
		if err != nil {
			return x.handleStreamEnd(err)
		}
		if err := parser.feed(p); err != nil {
			return err
		}
		if err := x.deliverEvents(&parser); err != nil {
			return err
		}
	}
}

// cut decides on a stream that ended without [DONE]. After the finish reason the answer is whole and lacks only
// its end mark.
func (x *transfer) handleStreamEnd(err error) error {
	switch {
	case x.progress.done:
		return nil
	case x.progress.finished:
		x.progress.done = true
		return x.writeEvent([]byte("data: [DONE]\n\n"))
	case errors.Is(err, io.EOF):
		return errMissingDone
	default:
		return err
	}
}

func (x *transfer) deliverEvents(parser *eventParser) error {
	sent := false
	for event, ok := parser.next(); ok; event, ok = parser.next() {
		deliver, err := x.progress.record(event)
		if err != nil {
			return err
		}
		if !deliver {
			continue
		}
		if err := x.writeEvent(event); err != nil {
			return err
		}
		sent = true
	}
	if sent && http.NewResponseController(x.w).Flush() != nil {
		return errCallerDisconnected
	}
	return nil
}

func (x *transfer) writeEvent(event []byte) error {
	if x.w.Header().Get("Content-Type") == "" {
		x.rt.metrics.firstToken.Observe(time.Since(x.receivedAt).Seconds())
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-store")
		x.w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(event); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// stop answers with the error, as an event if a part of the answer was already delivered.
func (x *transfer) writeError(d retrier.Decision) string {
	f := x.rt.decisionError(d, x.retryAfter)
	if !x.progress.started {
		f.write(x.w)
		return f.Code
	}
	line, err := json.Marshal(f.body())
	if err != nil {
		panic(http.ErrAbortHandler) // the caller must not take a truncated answer for a whole one
	}
	if x.writeEvent([]byte("data: "+string(line)+"\n\n")) == nil {
		_ = http.NewResponseController(x.w).Flush()
	}
	return f.Code
}
