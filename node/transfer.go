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
	maxBufferedBytes = 256 << 10

	// copyBytes is the buffer for streams; an event has some hundred bytes.
	streamBufferBytes = 8 << 10

	// hungAfter is how long an endpoint may leave a request without an answer before it counts as failed when the caller
	// gives up: a multiple of the objectives, and more than impatient callers wait.
	unresponsiveTimeout = time.Second

	// choosePause is the wait before a request that found no endpoint looks again, and chooseWait bounds these waits:
	// a caller that can't be served soon is told so at once.
	chooseInterval = 10 * time.Millisecond
	chooseTimeout  = 40 * time.Millisecond
)

// transfer is the way of one request to endpoints and of the answer to the caller.
type transfer struct {
	proxy   *proxy
	request *request
	w       http.ResponseWriter

	tried           []string
	sends           int
	runs            int  // attempts that may have run
	headerSent      bool // the caller has the head of an answer
	splitter        eventSplitter
	sentAt          time.Time // of the current attempt
	firstByteAt     time.Time // when the caller got the first bytes of the body
	lastWriteAt     time.Time // when a stream was last written
	choiceLogFields []any
	lastError       *bufferedResponse // the last error of an endpoint itself
}

// keptAnswer is a whole answer of an endpoint that hasn't been given to the caller.
type bufferedResponse struct {
	response *forwarder.Response
	body     []byte
}

// verdict is what follows from an attempt.
type decision uint8

const (
	finishRequest    decision = iota
	retryElsewhere            // another endpoint may be asked
	refuseRequest             // the caller gets a refusal
	abortResponse             // the caller has a part of an answer that can't be completed
	dropDisconnected          // the caller has left
)

// run makes attempts until the caller has an answer.
func (t *transfer) run(ctx context.Context) {
	q, f := t.request, t.proxy
	var ref refusal
	for {
		choice, why := t.choose(ctx)
		if why != "" {
			t.finish(refuseRequest, t.noEndpointRefusal(why, ref))
			return
		}
		v, r := t.attempt(ctx, choice)
		if r.reason != "" || r.status != 0 {
			ref = r
		}
		if v == retryElsewhere && isDisconnected(ctx) {
			v = dropDisconnected
		}
		if v != retryElsewhere {
			t.finish(v, ref)
			return
		}
		if t.sends >= maxSends || !time.Now().Before(q.deadline) {
			t.finish(t.finalDecision(), ref)
			return
		}
		// An attempt that reached no endpoint costs nothing there and needs no budget.
		if ref.reason != "unreachable" || t.headerSent {
			budgetLeft, ok := f.fleet.routing.takeRetry(time.Now(), q.service.Name)
			if !ok {
				ref.logFields = append(ref.logFields, "budgetLeft", budgetLeft)
				t.finish(t.finalDecision(), ref)
				return
			}
			f.metrics.retries.WithLabelValues(ref.reason).Inc()
		}
		f.log.failure("msg", "request repeated", "request", q.id, "cause", ref.reason, "sends", t.sends, "runs", t.runs,
			"afterEvent", t.splitter.lastID, "tried", strings.Join(t.tried, ","))
	}
}

// end tells how a request ends that gets no further attempt.
func (t *transfer) finalDecision() decision {
	if t.headerSent {
		return abortResponse
	}
	return refuseRequest
}

// choose picks an endpoint; a request that finds all of them busy waits a moment.
func (t *transfer) choose(ctx context.Context) (chooser.Choice, chooser.Reason) {
	q := t.request
	began := time.Now()
	until := began.Add(chooseTimeout)
	for {
		now := time.Now()
		c, why := t.proxy.fleet.routing.choose(now, chooser.Query{Service: q.service, Parts: q.promptParts, Tried: t.tried,
			Random: rand.Float64(), Priority: q.priority})
		if why == "" || why == chooser.AllTried || now.After(until) || isDisconnected(ctx) {
			t.proxy.metrics.waitTime.Observe(now.Sub(began).Seconds())
			return c, why
		}
		pauser.Pause(ctx, chooseInterval)
	}
}

// noChoice is the refusal of a request for which there is no endpoint.
func (t *transfer) noEndpointRefusal(why chooser.Reason, last refusal) refusal {
	if t.runs > 0 || last.status != 0 && why == chooser.AllTried {
		return last
	}
	reason, after := "noEndpoint", retryAfter()
	if why == chooser.AllAtCapacity {
		reason, after = "overload", overloadRetryAfter()
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after,
		logFields: []any{"why", string(why), "service", t.request.service.Name}}
}

// attempt sends the request to one endpoint and passes the answer on.
func (t *transfer) attempt(ctx context.Context, c chooser.Choice) (decision, refusal) {
	q, f := t.request, t.proxy
	t.sends++
	t.sentAt = time.Now()
	t.tried = append(t.tried, c.Endpoint.ID)
	t.choiceLogFields = []any{"endpoint", c.Endpoint.ID, "load", c.Load,
		"loadAgeMs", c.ReportAge.Milliseconds(), "rank", c.Rank}
	defer f.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.Done(c.Endpoint) })
	answer, err := f.pool.Send(ctx, t.endpointRequest(c))
	if err != nil {
		return t.handleSendError(ctx, c, err)
	}
	defer func() { _ = answer.Body.Close() }()
	t.recordResponse(c, answer)
	if v, ref, ok := t.handleRejection(c, answer); ok {
		return v, ref
	}
	t.runs++
	if answer.Status >= http.StatusInternalServerError && (t.canRetry() || t.headerSent) {
		return t.handleServerError(answer)
	}
	if t.isMisleadingStatus(answer) {
		return refuseRequest, refusal{status: http.StatusBadGateway, reason: "endpointStatus",
			logFields: []any{"endpointStatus", answer.Status}}
	}
	if q.route.Kind == planner.KindStream && answer.Status < http.StatusMultipleChoices {
		return t.copyStream(ctx, c, answer)
	}
	return t.copyResponse(ctx, c, answer)
}

// encode makes the request to an endpoint.
func (t *transfer) endpointRequest(c chooser.Choice) *forwarder.Request {
	q, h := t.request, &t.proxy.dialect.Headers
	header := q.header
	if t.splitter.lastID != "" {
		header = header.Clone()
		header[h.LastEventID] = []string{t.splitter.lastID}
	}
	left := max(1, time.Until(q.deadline).Milliseconds())
	header[h.RemainingMillis] = []string{strconv.FormatInt(left, 10)}
	header[h.ExpectedEndpoint] = []string{c.Endpoint.ID}
	delete(header, h.CacheSource)
	if c.CacheSource != "" {
		header[h.CacheSource] = []string{c.CacheSource}
	}
	return &forwarder.Request{Address: c.Endpoint.Address, Method: q.inbound.Method, Target: q.inbound.RequestURI,
		Host: q.inbound.Host, Header: header, Body: q.body, Deadline: q.deadline, FreshConn: !q.route.CanRetry(),
		IDHeader: h.RequestID, ID: q.id}
}

// canRepeat reports whether the request may run at one more endpoint.
func (t *transfer) canRetry() bool {
	return t.request.route.CanRetry() && t.runs < t.request.route.MaxAttempts && t.sends < maxSends
}

// unanswered decides after an attempt without the head of an answer.
func (t *transfer) handleSendError(ctx context.Context, c chooser.Choice, err error) (decision, refusal) {
	q, f := t.request, t.proxy
	var fe *forwarder.Error
	ran := forwarder.Unknown
	if errors.As(err, &fe) {
		ran = fe.Outcome
	}
	if ran != forwarder.NotSent {
		t.runs++
	}
	if silent := time.Since(t.sentAt); ran != forwarder.NotSent && silent >= unresponsiveTimeout {
		f.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), c.Endpoint) })
		f.log.failure("msg", "endpoint silent", "request", q.id, "endpoint", describeEndpoint(&c.Endpoint),
			"ms", silent.Milliseconds())
	}
	if isDisconnected(ctx) {
		return dropDisconnected, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(q.deadline) {
		if ran == forwarder.NotSent && t.runs == 0 {
			return refuseRequest, refusal{status: http.StatusServiceUnavailable, reason: "deadline", retryAfter: retryAfter()}
		}
		return t.finalDecision(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", logFields: []any{"err", err}}
	}
	var avoid time.Time
	f.fleet.routing.withChooser(func(ch *chooser.Chooser) { avoid = ch.RecordFailure(time.Now(), c.Endpoint) })
	f.log.failure("msg", "endpoint failed", "request", q.id, "endpoint", describeEndpoint(&c.Endpoint), "ran", ran,
		"avoidMs", time.Until(avoid).Milliseconds(), "err", err)
	if ran == forwarder.NotSent {
		ref := refusal{status: http.StatusServiceUnavailable, reason: "unreachable", retryAfter: retryAfter()}
		if t.runs > 0 {
			ref = refusal{status: http.StatusBadGateway, reason: "unreachable"}
		}
		return retryElsewhere, ref
	}
	return t.handleLostResponse(c, err)
}

// brokeOff decides after an attempt that may have run and has no whole answer.
func (t *transfer) handleLostResponse(c chooser.Choice, err error) (decision, refusal) {
	t.proxy.reportSuspect(t.request, c)
	return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointBroke", logFields: []any{"err", err}}
}

// repeatOrEnd tells what follows from an attempt that has run without success.
func (t *transfer) retryOrEnd() decision {
	if t.canRetry() {
		return retryElsewhere
	}
	return t.finalDecision()
}

// learn takes what an answer says of its endpoint.
func (t *transfer) recordResponse(c chooser.Choice, a *forwarder.Response) {
	h := &t.proxy.dialect.Headers
	running, waiting, known := parseLoad(a.Header.Get(h.Load))
	notRun := a.Header.Get(h.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) {
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
func (t *transfer) handleRejection(c chooser.Choice, a *forwarder.Response) (v decision, ref refusal, ok bool) {
	if a.Header.Get(t.proxy.dialect.Headers.NotRun) == "" && a.Status != http.StatusMisdirectedRequest {
		return finishRequest, refusal{}, false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBufferedBytes))
	ref = refusal{status: http.StatusServiceUnavailable, reason: "endpointRejected", retryAfter: retryAfter(),
		logFields: []any{"endpoint", describeEndpoint(&c.Endpoint), "endpointStatus", a.Status}}
	if t.runs > 0 {
		ref.status, ref.retryAfter = http.StatusBadGateway, 0
	}
	return retryElsewhere, ref, true
}

// mustHide reports whether the status of an answer would promise that a request has not run which has.
func (t *transfer) isMisleadingStatus(a *forwarder.Response) bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return !t.request.route.CanRetry()
	}
	return false
}

// failedAnswer decides after an error of the endpoint itself that may be repeated. The answer is kept for a caller that
// gets no better one.
func (t *transfer) handleServerError(a *forwarder.Response) (decision, refusal) {
	body, err := readAll(io.LimitReader(a.Body, maxBufferedBytes+1), make([]byte, 0, 512))
	if err == nil && len(body) <= maxBufferedBytes {
		t.lastError = &bufferedResponse{response: a, body: body}
	}
	return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointError",
		logFields: []any{"endpointStatus", a.Status}}
}

// copyHead gives the caller the head of the answer, once.
func (t *transfer) copyHeader(a *forwarder.Response) {
	if t.headerSent {
		return
	}
	t.headerSent = true
	head := t.w.Header()
	for name, values := range a.Header {
		head[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(head, name)
	}
	if t.proxy.stopping.Load() {
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
func (t *transfer) copyResponse(ctx context.Context, c chooser.Choice, a *forwarder.Response) (decision, refusal) {
	buf, err := readAll(io.LimitReader(a.Body, maxBufferedBytes+1),
		make([]byte, 0, max(512, min(a.Length+1, maxBufferedBytes))))
	if err != nil {
		return t.handleReadError(ctx, c, err)
	}
	if err := t.writeResponse(a, buf); err != nil {
		return dropDisconnected, refusal{reason: "callerLeft"}
	}
	if len(buf) <= maxBufferedBytes {
		return finishRequest, refusal{status: a.Status}
	}
	if _, err := io.Copy(t.w, a.Body); err != nil {
		return abortResponse, refusal{reason: "endpointBroke", logFields: []any{"err", err}}
	}
	return finishRequest, refusal{status: a.Status}
}

// writeWhole gives the caller the head of an answer that isn't a stream and the beginning of its body.
func (t *transfer) writeResponse(a *forwarder.Response, body []byte) error {
	t.copyHeader(a)
	if a.Length >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	t.firstByteAt = time.Now()
	t.w.WriteHeader(a.Status)
	_, err := t.w.Write(body)
	return err
}

// stream passes events on as they arrive. A stream that may be resumed is passed on in whole events, so that another
// endpoint can go on after the last one.
func (t *transfer) copyStream(ctx context.Context, c chooser.Choice, a *forwarder.Response) (decision, refusal) {
	first := !t.headerSent
	t.copyHeader(a)
	if first {
		if a.Length >= 0 && !t.request.route.Resumable {
			t.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
		}
		t.w.WriteHeader(a.Status)
	}
	t.splitter.partial = nil
	rc := http.NewResponseController(t.w)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := a.Body.Read(buf)
		out := buf[:n]
		if t.request.route.Resumable {
			out = t.splitter.split(out)
			if errors.Is(err, io.EOF) {
				out = append(out, t.splitter.partial...)
			}
		}
		if len(out) > 0 {
			now := time.Now()
			if t.firstByteAt.IsZero() {
				t.firstByteAt = now
			} else {
				t.proxy.metrics.eventGap.Observe(now.Sub(t.lastWriteAt).Seconds())
			}
			t.lastWriteAt = now
			if _, werr := t.w.Write(out); werr != nil {
				return dropDisconnected, refusal{reason: "callerLeft"}
			}
			if ferr := rc.Flush(); ferr != nil {
				return dropDisconnected, refusal{reason: "callerLeft"}
			}
		}
		if errors.Is(err, io.EOF) {
			return finishRequest, refusal{status: a.Status}
		}
		if err != nil {
			return t.handleReadError(ctx, c, err)
		}
	}
}

// broke decides after an answer that ended early.
func (t *transfer) handleReadError(ctx context.Context, c chooser.Choice, err error) (decision, refusal) {
	if isDisconnected(ctx) {
		return dropDisconnected, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(t.request.deadline) {
		return t.finalDecision(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", logFields: []any{"err", err}}
	}
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), c.Endpoint) })
	return t.handleLostResponse(c, err)
}

// finish ends the request as its last attempt decided.
func (t *transfer) finish(v decision, ref refusal) {
	q, f := t.request, t.proxy
	if v == refuseRequest && !t.headerSent && t.lastError != nil {
		v, ref = finishRequest, refusal{status: t.lastError.response.Status, reason: ref.reason}
		if err := t.writeResponse(t.lastError.response, t.lastError.body); err != nil {
			v = dropDisconnected
		}
	}
	if v == refuseRequest && !t.headerSent {
		ref.logFields = append(ref.logFields, t.choiceLogFields...)
		f.refuse(t.w, q, ref)
		return
	}
	now := time.Now()
	outcome := "served"
	switch v {
	case refuseRequest, abortResponse:
		outcome = "brokenOff"
	case dropDisconnected:
		outcome = "callerLeft"
	}
	kind := q.route.Kind.String()
	firstMs := int64(-1)
	if !t.firstByteAt.IsZero() {
		f.metrics.firstByte.WithLabelValues(kind).Observe(t.firstByteAt.Sub(q.receivedAt).Seconds())
		firstMs = t.firstByteAt.Sub(q.receivedAt).Milliseconds()
	}
	f.metrics.duration.WithLabelValues(kind).Observe(now.Sub(q.receivedAt).Seconds())
	f.metrics.requests.WithLabelValues(outcome, strconv.Itoa(ref.status)).Inc()
	line := append([]any{"msg", "request " + outcome, "request", q.id, "route", q.route.Name, "version", q.version,
		"status", ref.status, "reason", ref.reason, "sends", t.sends, "firstMs", firstMs,
		"ms", now.Sub(q.receivedAt).Milliseconds()}, append(t.choiceLogFields, ref.logFields...)...)
	if v == finishRequest {
		f.log.info(line...)
		return
	}
	f.log.failure(line...)
	// The connection ends without the end of the answer, so that it doesn't look complete.
	panic(http.ErrAbortHandler)
}
