package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
)

const (
	// maxSends bounds the endpoints that one request is offered to, with those that reject it.
	maxSends = 4

	// bufferedBytes is the size up to which an answer is read whole before the caller gets any of it, so that one that
	// breaks off can be replaced.
	bufferedBytes = 256 << 10

	// copyBytes is the buffer for streams; an event has some hundred bytes.
	copyBytes = 8 << 10

	// hungAfter is how long an endpoint may leave a request without an answer before it counts as failed when the caller
	// gives up: a multiple of the objectives, and more than impatient callers wait.
	hungAfter = time.Second

	// choosePause is the wait before a request that found no endpoint looks again, and chooseWait bounds these waits:
	// a caller that can't be served soon is told so at once.
	choosePause = 10 * time.Millisecond
	chooseWait  = 40 * time.Millisecond
)

// transfer is the way of one request to endpoints and of the answer to the caller.
type transfer struct {
	front   *front
	request *request
	w       http.ResponseWriter

	tried    []string
	sends    int
	runs     int  // attempts that may have run
	started  bool // the caller has the head of an answer
	cutter   eventCutter
	sentAt   time.Time // of the current attempt
	firstAt  time.Time // when the caller got the first bytes of the body
	wroteAt  time.Time // when a stream was last written
	lastLoad []any
	kept     *keptAnswer // the last error of an endpoint itself
}

// keptAnswer is a whole answer of an endpoint that hasn't been given to the caller.
type keptAnswer struct {
	answer *forwarder.Answer
	body   []byte
}

// verdict is what follows from an attempt.
type verdict uint8

const (
	done     verdict = iota
	again            // another endpoint may be asked
	giveUp           // the caller gets a refusal
	breakOff         // the caller has a part of an answer that can't be completed
	left             // the caller has left
)

// run makes attempts until the caller has an answer.
func (t *transfer) run(ctx context.Context) {
	q, f := t.request, t.front
	var ref refusal
	for {
		choice, why := t.choose(ctx)
		if why != "" {
			t.finish(giveUp, t.noChoice(why, ref))
			return
		}
		v, r := t.attempt(ctx, choice)
		if r.reason != "" || r.status != 0 {
			ref = r
		}
		if v == again && isGone(ctx) {
			v = left
		}
		if v != again {
			t.finish(v, ref)
			return
		}
		if t.sends >= maxSends || !time.Now().Before(q.deadline) {
			t.finish(t.end(), ref)
			return
		}
		// An attempt that reached no endpoint costs nothing there and needs no budget.
		if ref.reason != "unreachable" || t.started {
			budgetLeft, ok := f.fleet.routing.takeRetry(time.Now(), q.service.Name)
			if !ok {
				ref.detail = append(ref.detail, "budgetLeft", budgetLeft)
				t.finish(t.end(), ref)
				return
			}
			f.metrics.repeats.WithLabelValues(ref.reason).Inc()
		}
		f.log.failure("msg", "request repeated", "request", q.id, "cause", ref.reason, "sends", t.sends, "runs", t.runs,
			"afterEvent", t.cutter.lastID, "tried", strings.Join(t.tried, ","))
	}
}

// end tells how a request ends that gets no further attempt.
func (t *transfer) end() verdict {
	if t.started {
		return breakOff
	}
	return giveUp
}

// choose picks an endpoint; a request that finds all of them busy waits a moment.
func (t *transfer) choose(ctx context.Context) (chooser.Choice, chooser.Reason) {
	q := t.request
	began := time.Now()
	until := began.Add(chooseWait)
	for {
		now := time.Now()
		c, why := t.front.fleet.routing.choose(now, chooser.Query{Service: q.service, Parts: q.parts, Tried: t.tried,
			Random: rand.Float64(), Priority: q.backlog})
		if why == "" || why == chooser.AllTried || now.After(until) || isGone(ctx) {
			t.front.metrics.waited.Observe(now.Sub(began).Seconds())
			return c, why
		}
		pauser.Pause(ctx, choosePause)
	}
}

// noChoice is the refusal of a request for which there is no endpoint.
func (t *transfer) noChoice(why chooser.Reason, last refusal) refusal {
	if t.runs > 0 || last.status != 0 && why == chooser.AllTried {
		return last
	}
	reason, after := "noEndpoint", retryAfter()
	if why == chooser.AllAtCapacity {
		reason, after = "overload", overloadRetryAfter()
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reason, after: after,
		detail: []any{"why", string(why), "service", t.request.service.Name}}
}

// attempt sends the request to one endpoint and passes the answer on.
func (t *transfer) attempt(ctx context.Context, c chooser.Choice) (verdict, refusal) {
	q, f := t.request, t.front
	t.sends++
	t.sentAt = time.Now()
	t.tried = append(t.tried, c.Endpoint.ID)
	t.lastLoad = []any{"endpoint", c.Endpoint.ID, "load", c.Load, "loadAgeMs", c.ReportAge.Milliseconds(), "rank", c.Rank}
	defer f.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.Done(c.Endpoint) })
	answer, err := f.pool.Send(ctx, t.encode(c))
	if err != nil {
		return t.unanswered(ctx, c, err)
	}
	defer func() { _ = answer.Body.Close() }()
	t.learn(c, answer)
	if v, ref, ok := t.rejected(c, answer); ok {
		return v, ref
	}
	t.runs++
	if answer.Status >= http.StatusInternalServerError && (t.canRepeat() || t.started) {
		return t.failedAnswer(answer)
	}
	if t.mustHide(answer) {
		return giveUp, refusal{status: http.StatusBadGateway, reason: "endpointStatus",
			detail: []any{"endpointStatus", answer.Status}}
	}
	if q.route.Kind == planner.KindStream && answer.Status < http.StatusMultipleChoices {
		return t.stream(ctx, c, answer)
	}
	return t.copyWhole(ctx, c, answer)
}

// encode makes the request to an endpoint.
func (t *transfer) encode(c chooser.Choice) *forwarder.Request {
	q, h := t.request, &t.front.dialect.Headers
	header := q.header
	if t.cutter.lastID != "" {
		header = header.Clone()
		header[h.EventID] = []string{t.cutter.lastID}
	}
	left := max(1, time.Until(q.deadline).Milliseconds())
	header[h.DeadlineMillis] = []string{strconv.FormatInt(left, 10)}
	header[h.Expected] = []string{c.Endpoint.ID}
	delete(header, h.FetchFrom)
	if c.CacheSource != "" {
		header[h.FetchFrom] = []string{c.CacheSource}
	}
	return &forwarder.Request{Address: c.Endpoint.Address, Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host,
		Header: header, Body: q.body, Deadline: q.deadline, Fresh: !q.route.CanRetry(), IDHeader: h.RequestID, ID: q.id}
}

// canRepeat reports whether the request may run at one more endpoint.
func (t *transfer) canRepeat() bool {
	return t.request.route.CanRetry() && t.runs < t.request.route.MaxAttempts && t.sends < maxSends
}

// unanswered decides after an attempt without the head of an answer.
func (t *transfer) unanswered(ctx context.Context, c chooser.Choice, err error) (verdict, refusal) {
	q, f := t.request, t.front
	var fe *forwarder.Error
	ran := forwarder.Unknown
	if errors.As(err, &fe) {
		ran = fe.Ran
	}
	if ran != forwarder.NotSent {
		t.runs++
	}
	if silent := time.Since(t.sentAt); ran != forwarder.NotSent && silent >= hungAfter {
		f.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), c.Endpoint) })
		f.log.failure("msg", "endpoint silent", "request", q.id, "endpoint", describeEndpoint(&c.Endpoint),
			"ms", silent.Milliseconds())
	}
	if isGone(ctx) {
		return left, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(q.deadline) {
		if ran == forwarder.NotSent && t.runs == 0 {
			return giveUp, refusal{status: http.StatusServiceUnavailable, reason: "deadline", after: retryAfter()}
		}
		return t.end(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", detail: []any{"err", err}}
	}
	var avoid time.Time
	f.fleet.routing.withChooser(func(ch *chooser.Chooser) { avoid = ch.RecordFailure(time.Now(), c.Endpoint) })
	f.log.failure("msg", "endpoint failed", "request", q.id, "endpoint", describeEndpoint(&c.Endpoint), "ran", ran,
		"avoidMs", time.Until(avoid).Milliseconds(), "err", err)
	if ran == forwarder.NotSent {
		ref := refusal{status: http.StatusServiceUnavailable, reason: "unreachable", after: retryAfter()}
		if t.runs > 0 {
			ref = refusal{status: http.StatusBadGateway, reason: "unreachable"}
		}
		return again, ref
	}
	return t.brokeOff(c, err)
}

// brokeOff decides after an attempt that may have run and has no whole answer.
func (t *transfer) brokeOff(c chooser.Choice, err error) (verdict, refusal) {
	t.front.suspect(t.request, c)
	return t.repeatOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointBroke", detail: []any{"err", err}}
}

// repeatOrEnd tells what follows from an attempt that has run without success.
func (t *transfer) repeatOrEnd() verdict {
	if t.canRepeat() {
		return again
	}
	return t.end()
}

// learn takes what an answer says of its endpoint.
func (t *transfer) learn(c chooser.Choice, a *forwarder.Answer) {
	h := &t.front.dialect.Headers
	running, waiting, known := parseLoad(a.Header.Get(h.Load))
	notRun := a.Header.Get(h.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	t.front.fleet.routing.withChooser(func(ch *chooser.Chooser) {
		if !notRun {
			ch.RecordResponse(c.Endpoint, a.Status >= http.StatusInternalServerError)
		}
		if known {
			ch.RecordLoad(time.Now(), c.Endpoint, running, waiting)
		}
		if a.Status == http.StatusMisdirectedRequest {
			ch.RecordMisdirected(time.Now(), c.Endpoint)
		}
	})
}

// parseLoad reads requests running and waiting.
func parseLoad(s string) (running, waiting int, ok bool) {
	a, rest, ok := strings.Cut(s, ",")
	if !ok {
		return 0, 0, false
	}
	b, _, _ := strings.Cut(rest, ",")
	running, err := strconv.Atoi(strings.TrimSpace(a))
	if err != nil {
		return 0, 0, false
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(b))
	return running, waiting, err == nil
}

// rejected handles an answer of an endpoint that didn't run the request; ok is false for other answers.
func (t *transfer) rejected(c chooser.Choice, a *forwarder.Answer) (v verdict, ref refusal, ok bool) {
	if a.Header.Get(t.front.dialect.Headers.NotRun) == "" && a.Status != http.StatusMisdirectedRequest {
		return done, refusal{}, false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, bufferedBytes))
	ref = refusal{status: http.StatusServiceUnavailable, reason: "endpointRejected", after: retryAfter(),
		detail: []any{"endpoint", describeEndpoint(&c.Endpoint), "endpointStatus", a.Status}}
	if t.runs > 0 {
		ref.status, ref.after = http.StatusBadGateway, 0
	}
	return again, ref, true
}

// mustHide reports whether the status of an answer would promise that a request has not run which has.
func (t *transfer) mustHide(a *forwarder.Answer) bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return !t.request.route.CanRetry()
	}
	return false
}

// failedAnswer decides after an error of the endpoint itself that may be repeated. The answer is kept for a caller that
// gets no better one.
func (t *transfer) failedAnswer(a *forwarder.Answer) (verdict, refusal) {
	body, err := readAll(io.LimitReader(a.Body, bufferedBytes+1), make([]byte, 0, 512))
	if err == nil && len(body) <= bufferedBytes {
		t.kept = &keptAnswer{answer: a, body: body}
	}
	return t.repeatOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointError",
		detail: []any{"endpointStatus", a.Status}}
}

// copyHead gives the caller the head of the answer, once.
func (t *transfer) copyHead(a *forwarder.Answer) {
	if t.started {
		return
	}
	t.started = true
	head := t.w.Header()
	for name, values := range a.Header {
		head[name] = values
	}
	for _, name := range hopHeaders {
		delete(head, name)
	}
	if t.front.stopping.Load() {
		head.Set("Connection", "close")
	}
	if _, ok := head["Content-Type"]; !ok {
		head["Content-Type"] = nil // keeps the server from guessing one
	}
	if _, ok := head["Date"]; !ok {
		head["Date"] = nil
	}
}

// copyWhole passes an answer on that isn't a stream. A short one is read whole first.
func (t *transfer) copyWhole(ctx context.Context, c chooser.Choice, a *forwarder.Answer) (verdict, refusal) {
	buf, err := readAll(io.LimitReader(a.Body, bufferedBytes+1), make([]byte, 0, max(512, min(a.Length+1, bufferedBytes))))
	if err != nil {
		return t.broke(ctx, c, err)
	}
	if err := t.writeWhole(a, buf); err != nil {
		return left, refusal{reason: "callerLeft"}
	}
	if len(buf) <= bufferedBytes {
		return done, refusal{status: a.Status}
	}
	if _, err := io.Copy(t.w, a.Body); err != nil {
		return breakOff, refusal{reason: "endpointBroke", detail: []any{"err", err}}
	}
	return done, refusal{status: a.Status}
}

// writeWhole gives the caller the head of an answer that isn't a stream and the beginning of its body.
func (t *transfer) writeWhole(a *forwarder.Answer, body []byte) error {
	t.copyHead(a)
	if a.Length >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	t.firstAt = time.Now()
	t.w.WriteHeader(a.Status)
	_, err := t.w.Write(body)
	return err
}

// stream passes events on as they arrive. A stream that may be resumed is passed on in whole events, so that another
// endpoint can go on after the last one.
func (t *transfer) stream(ctx context.Context, c chooser.Choice, a *forwarder.Answer) (verdict, refusal) {
	first := !t.started
	t.copyHead(a)
	if first {
		if a.Length >= 0 && !t.request.route.Resumable {
			t.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
		}
		t.w.WriteHeader(a.Status)
	}
	t.cutter.partial = nil
	rc := http.NewResponseController(t.w)
	buf := make([]byte, copyBytes)
	for {
		n, err := a.Body.Read(buf)
		out := buf[:n]
		if t.request.route.Resumable {
			out = t.cutter.cut(out)
			if errors.Is(err, io.EOF) {
				out = append(out, t.cutter.partial...)
			}
		}
		if len(out) > 0 {
			now := time.Now()
			if t.firstAt.IsZero() {
				t.firstAt = now
			} else {
				t.front.metrics.eventGap.Observe(now.Sub(t.wroteAt).Seconds())
			}
			t.wroteAt = now
			if _, werr := t.w.Write(out); werr != nil {
				return left, refusal{reason: "callerLeft"}
			}
			if ferr := rc.Flush(); ferr != nil {
				return left, refusal{reason: "callerLeft"}
			}
		}
		if errors.Is(err, io.EOF) {
			return done, refusal{status: a.Status}
		}
		if err != nil {
			return t.broke(ctx, c, err)
		}
	}
}

// broke decides after an answer that ended early.
func (t *transfer) broke(ctx context.Context, c chooser.Choice, err error) (verdict, refusal) {
	if isGone(ctx) {
		return left, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(t.request.deadline) {
		return t.end(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", detail: []any{"err", err}}
	}
	t.front.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), c.Endpoint) })
	return t.brokeOff(c, err)
}

// finish ends the request as its last attempt decided.
func (t *transfer) finish(v verdict, ref refusal) {
	q, f := t.request, t.front
	if v == giveUp && !t.started && t.kept != nil {
		v, ref = done, refusal{status: t.kept.answer.Status, reason: ref.reason}
		if err := t.writeWhole(t.kept.answer, t.kept.body); err != nil {
			v = left
		}
	}
	if v == giveUp && !t.started {
		ref.detail = append(ref.detail, t.lastLoad...)
		f.refuse(t.w, q, ref)
		return
	}
	now := time.Now()
	outcome := "served"
	switch v {
	case giveUp, breakOff:
		outcome = "brokenOff"
	case left:
		outcome = "callerLeft"
	}
	kind := q.route.Kind.String()
	firstMs := int64(-1)
	if !t.firstAt.IsZero() {
		f.metrics.firstEvent.WithLabelValues(kind).Observe(t.firstAt.Sub(q.began).Seconds())
		firstMs = t.firstAt.Sub(q.began).Milliseconds()
	}
	f.metrics.duration.WithLabelValues(kind).Observe(now.Sub(q.began).Seconds())
	f.metrics.requests.WithLabelValues(outcome, strconv.Itoa(ref.status)).Inc()
	line := append([]any{"msg", "request " + outcome, "request", q.id, "route", q.route.Name, "version", q.version,
		"status", ref.status, "reason", ref.reason, "sends", t.sends, "firstMs", firstMs,
		"ms", now.Sub(q.began).Milliseconds()}, append(t.lastLoad, ref.detail...)...)
	if v == done {
		f.log.routine(line...)
		return
	}
	f.log.failure(line...)
	// The connection ends without the end of the answer, so that it doesn't look complete.
	panic(http.ErrAbortHandler)
}
