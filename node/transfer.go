package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/resumer"
)

const (
	// maxSends bounds the endpoints that one request is sent to, including those that reject it.
	maxSends = 4

	// streamBufferBytes is the buffer size for streams; an event has a few hundred bytes.
	streamBufferBytes, maxLateReads = 8 << 10, 64 // together more than the largest event

	// unresponsiveTimeout is the time without a response after which an endpoint counts as failed if the caller
	// disconnects or the deadline passes: a multiple of the latency targets, and longer than callers with short timeouts
	// wait.
	unresponsiveTimeout = time.Second

	// chooseInterval is the pause between two attempts to choose an endpoint, and chooseTimeout bounds the total wait: a
	// request that can't be served soon is refused immediately.
	chooseInterval = 10 * time.Millisecond
	chooseTimeout  = 40 * time.Millisecond

	// maxRateOverload bounds the factor by which callers return later than usual while endpoints take fewer requests per
	// second than are sent.
	maxRateOverload = 4
)

// transfer forwards one request to endpoints, with retries, and the response to the caller.
type transfer struct {
	proxy   *proxy
	request *request
	w       http.ResponseWriter

	tried        []string   // IDs of endpoints
	sends        int        // attempts, including rejected ones
	hasAsked     bool       // an endpoint was asked for
	runs         int        // attempts that an endpoint may have executed
	slowConnects int        // attempts that found no connection in the usual time; not in sends
	headerSent   bool       // the response header was sent to the caller
	sentStatus   int        // its status
	callerConn   lingerConn // set if the response ends with the caller's connection
	splitter     eventSplitter
	eventsBefore uint64    // events of earlier attempts
	hasBegun     bool      // the caller has an event of the stream
	version      string    // software version of the endpoint that sent it
	renewals     uint16    // reports to the control instances that the stream goes on
	renewAt      time.Time // of the next report; zero until the origin of the stream is recorded
	// isVersionUnknown is set if the endpoint that sent it may have restarted in another version since its heartbeat.
	isVersionUnknown bool
	answered         bool               // recorded as evidence that its prompt is sound
	sentAt           time.Time          // start of the current attempt
	firstByteAt      time.Time          // when the first bytes of the body were sent to the caller
	lastWriteAt      time.Time          // of a stream
	choiceLogFields  []any              // endpoint and load of the current attempt
	buffered         server.Reservation // of the response of the current attempt
	lastError        *bufferedResponse  // last 5xx response of an endpoint
	waiter           chooser.Waiter
}

// decision states how to proceed after an attempt.
type decision uint8

const (
	finishRequest  decision = iota // the response is complete
	retryElsewhere                 // send the request to another endpoint
	refuseRequest                  // respond with a refusal
	abortResponse                  // close the connection within the response, which can't be completed
	abandonRequest                 // the caller has disconnected
)

// run makes attempts until the request is finished, refused, aborted or abandoned.
func (t *transfer) run(ctx context.Context) {
	q, p := t.request, t.proxy
	defer t.releaseError()
	var ref refusal
	if server.HasCallerLeft(ctx) {
		t.finish(abandonRequest, refusal{reason: "callerLeft"})
		return
	}
	for {
		if c, ok := p.fleet.evidence.check(q.sharedParts); !ok {
			t.finish(t.finalDecision(), t.convictedRefusal(c))
			return
		}
		if t.hasBegun && t.isVersionUnknown {
			t.finish(t.finalDecision(), t.versionRefusal(chooser.VersionUnknown))
			return
		}
		if t.hasBegun && t.version != "" {
			p.refuteProcessEnds(ctx, q.service.Name, t.version)
			if err := p.fleet.streams.confirm(ctx); err != nil {
				t.finish(t.finalDecision(), t.notConfirmedRefusal(err))
				return
			}
		}
		choice, reason := t.choose(ctx)
		if reason != "" {
			t.finish(refuseRequest, t.noEndpointRefusal(reason, ref))
			return
		}
		d, r := t.attempt(ctx, choice)
		t.recordOutcome(choice, d, r)
		if r.reason != "" || r.status != 0 {
			ref = r
		}
		if d == retryElsewhere && isDisconnected(ctx) {
			d = abandonRequest
		}
		if d != retryElsewhere {
			t.finish(d, ref)
			return
		}
		if t.sends >= maxSends || !time.Now().Before(q.deadline) {
			t.finish(t.finalDecision(), ref)
			return
		}
		// An attempt that reached no endpoint adds no load there and is not charged to the retry budget.
		if ref.reason != "unreachable" || t.headerSent {
			budgetLeft, ok := p.fleet.routing.takeRetry(time.Now(), q.service.Name)
			if !ok {
				ref.logFields = append(ref.logFields, "budgetLeft", budgetLeft)
				t.finish(t.finalDecision(), ref)
				return
			}
			p.metrics.retries.WithLabelValues(ref.reason).Inc()
		}
		p.log.failure("msg", "request retried", "request", q.id, "cause", ref.reason, "sends", t.sends, "runs", t.runs,
			"afterEvent", t.splitter.lastID, "tried", strings.Join(t.tried, ","))
	}
}

// finalDecision returns how a request ends that is not retried.
func (t *transfer) finalDecision() decision {
	if t.headerSent {
		return abortResponse
	}
	return refuseRequest
}

// convictedRefusal returns the refusal of a request with a convicted prompt part.
func (t *transfer) convictedRefusal(c attributor.Conviction) refusal {
	q, now := t.request, time.Now()
	id := ""
	if i := slices.Index(q.sharedParts, c.Part); i >= 0 && len(q.sharedParts) == len(q.promptParts)-1 {
		id = q.promptParts[i].ID
	}
	ref := refusal{status: http.StatusServiceUnavailable, reason: "breaksEndpoints", retryAfter: convictedRetryAfter,
		logFields: []any{"part", c.Part, "partID", id, "crashes", c.Crashes, "ageMs", now.Sub(c.At).Milliseconds()}}
	if t.runs > 0 {
		ref.status, ref.retryAfter = http.StatusBadGateway, 0
	}
	return ref
}

// notConfirmedRefusal returns the refusal of a stream that can't go on because the versions of endpoints are not known.
func (t *transfer) notConfirmedRefusal(cause error) refusal {
	if t.runs > 0 {
		return refusal{status: http.StatusBadGateway, reason: reasonNotConfirmed, logFields: []any{"err", cause}}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reasonNotConfirmed, retryAfter: retryAfter(),
		logFields: []any{"err", cause}}
}

func (t *transfer) query() chooser.Query {
	q, f := t.request, t.proxy.fleet
	query := chooser.Query{Service: q.service, Route: q.route.Name, Parts: q.promptParts, Tried: t.tried,
		Random: rand.Float64(), Priority: q.priority, Version: t.version, IsResumed: t.hasBegun,
		Weight:       q.workspace.ShareWeight(),
		PromptTokens: q.promptTokens, OutputTokens: q.outputTokens, Kind: q.route.Kind,
		TargetAt: q.receivedAt.Add(time.Duration(q.route.TargetMillis) * time.Millisecond), Deadline: q.deadline,
		IsRepeat: t.hasAsked, Waiter: &t.waiter, IsStale: len(f.view.Load().rollouts) > 0 && !f.mayDeny(time.Now())}
	if q.workspace != nil {
		query.Workspace = q.workspace.Name
	}
	return query
}

// choose selects an endpoint. It waits up to chooseTimeout if none is available, and in a queue while the request can
// be served by its deadline.
func (t *transfer) choose(ctx context.Context) (chooser.Choice, chooser.Reason) {
	start := time.Now()
	until := start.Add(chooseTimeout)
	t.waiter = chooser.Waiter{}
	defer func() {
		if t.waiter.HasJoined {
			t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.Leave(&t.waiter) })
		}
	}()
	for {
		now := time.Now()
		c, reason := t.proxy.fleet.routing.choose(now, t.query())
		t.hasAsked = true
		nextAt := now.Add(chooseInterval)
		if reason == chooser.AllAtCapacity && t.waiter.HasJoined {
			nextAt, until = t.waiter.NextAt, t.request.deadline
		}
		isFinal := reason == "" || t.waiter.IsRefused || reason == chooser.AllTried || reason == chooser.RateLimited ||
			reason == chooser.NoVersion || reason == chooser.VersionUnknown ||
			reason == chooser.AllQuiet || reason == chooser.AllLeaving ||
			reason == chooser.OverShare || reason == chooser.TooLate
		if isFinal || now.After(until) || isDisconnected(ctx) {
			t.proxy.metrics.waitTime.Observe(now.Sub(start).Seconds())
			return c, reason
		}
		sleeper.Pause(ctx, time.Until(nextAt))
	}
}

// noEndpointRefusal returns the refusal of a request for which no endpoint was selected.
func (t *transfer) noEndpointRefusal(cause chooser.Reason, last refusal) refusal {
	if cause == chooser.NoVersion || cause == chooser.VersionUnknown {
		return t.versionRefusal(cause)
	}
	if t.runs > 0 || last.status != 0 && cause == chooser.AllTried {
		return last
	}
	reason, after := "noEndpoint", retryAfter()
	switch cause {
	case chooser.AllAtCapacity:
		reason, after = "overload", t.returnAfter(cause)
	case chooser.OverShare:
		reason, after = "overShare", t.returnAfter(cause)
	case chooser.TooLate:
		reason = "deadline"
	case chooser.AllLeaving:
		reason, after = "leaving", overloadRetryAfter()
	case chooser.AllQuiet:
		reason, after = "quiet", t.retryAfter()
	case chooser.RateLimited:
		overload := 1.0
		t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) { overload = ch.RateOverload(t.request.service.Name) })
		reason, after = "rateLimit", time.Duration(min(overload, maxRateOverload)*float64(overloadRetryAfter()))
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after,
		logFields: []any{"why", string(cause), "service", t.request.service.Name, "workspace", t.query().Workspace}}
}

// returnAfter returns after which time the caller of a request refused for a lack of room may come back.
func (t *transfer) returnAfter(cause chooser.Reason) (after time.Duration) {
	after = overloadRetryAfter()
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) {
		now := time.Now()
		if at, ok := ch.ReturnAt(now, t.query(), cause); ok {
			after = at.Sub(now)
		}
	})
	return after
}

// versionRefusal returns the refusal of a stream that can't go on at any endpoint because of their versions.
func (t *transfer) versionRefusal(cause chooser.Reason) refusal {
	reason := "noVersion"
	if cause == chooser.VersionUnknown {
		reason = "versionUnknown"
	}
	ref := refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter(),
		logFields: []any{"why", string(cause), "service", t.request.service.Name, "begunAt", t.version}}
	if t.runs > 0 {
		ref.status, ref.retryAfter = http.StatusBadGateway, 0
	}
	return ref
}

// attempt sends the request to one endpoint and forwards the response.
func (t *transfer) attempt(ctx context.Context, c chooser.Choice) (decision, refusal) {
	q, p := t.request, t.proxy
	t.sends++
	t.sentAt = time.Now()
	t.eventsBefore = t.splitter.events
	t.tried = append(t.tried, c.Endpoint.ID)
	t.choiceLogFields = []any{"endpoint", c.Endpoint.ID, "software", c.Endpoint.Version, "load", c.Load,
		"loadAgeMs", c.ReportAge.Milliseconds(), "rank", c.Rank}
	defer p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.Done(time.Now(), c) })
	resp, err := p.pool.Send(ctx, t.endpointRequest(c))
	if err != nil {
		return t.handleSendError(ctx, c, err)
	}
	defer func() { _ = resp.Body.Close() }()
	defer t.buffered.Release()
	t.recordResponse(c, resp)
	defer t.recordTrailer(c, resp)
	if d, ref, ok := t.handleRejection(c, resp); ok {
		return d, ref
	}
	t.runs++
	if resp.EndsWithConn {
		p.metrics.unframed.Inc()
	}
	t.choiceLogFields = append(t.choiceLogFields, "framed", !resp.EndsWithConn)
	if t.headerSent && !t.isContinuation(resp) {
		return t.handleOtherResponse(c, resp)
	}
	if resp.Status >= http.StatusInternalServerError && t.canRetry() {
		return t.handleServerError(c, resp)
	}
	if t.isMisleadingStatus(resp) {
		return refuseRequest, refusal{status: http.StatusBadGateway, reason: "endpointStatus",
			logFields: []any{"endpointStatus", resp.Status}}
	}
	if q.route.Kind == planner.KindStream && resp.Status < http.StatusMultipleChoices {
		return t.copyStream(ctx, c, resp)
	}
	return t.copyResponse(ctx, c, resp)
}

// endpointRequest returns the request to send to an endpoint.
func (t *transfer) endpointRequest(c chooser.Choice) *forwarder.Request {
	q, h := t.request, &t.proxy.dialect.Headers
	header := q.header
	if t.splitter.lastID != "" {
		header = header.Clone()
		header[h.LastEventID] = []string{t.splitter.lastID}
	}
	remaining := max(1, time.Until(q.deadline).Milliseconds())
	header[h.RemainingMillis] = []string{strconv.FormatInt(remaining, 10)}
	header[h.ExpectedEndpoint] = []string{c.Endpoint.ID}
	delete(header, h.CacheSource)
	if c.CacheSource != "" {
		header[h.CacheSource] = []string{c.CacheSource}
	}
	r := &forwarder.Request{Address: c.Endpoint.Address, Method: q.inbound.Method, Target: q.inbound.RequestURI,
		Host: q.inbound.Host, Header: header, Body: q.body, Deadline: q.deadline, FreshConn: !q.route.CanRetry(),
		SameProcess: t.hasBegun && t.version != "",
		IDHeader:    h.RequestID, ID: q.id, MaySend: func() bool { return t.proxy.fleet.routing.accepts(c.Endpoint) }}
	if t.proxy.fleet.routing.sharesReach() {
		t.watchReach(r, c)
	}
	return r
}

// canRetry reports whether the request may be executed by another endpoint.
func (t *transfer) canRetry() bool {
	return t.request.route.CanRetry() && t.runs < t.request.route.MaxAttempts && t.sends < maxSends && t.canResume()
}

// canResume reports whether another endpoint can continue after what the caller has of the response.
func (t *transfer) canResume() bool { return t.firstByteAt.IsZero() || !t.splitter.isUnnumbered }

// handleSendError decides how to proceed after an attempt without a response header.
func (t *transfer) handleSendError(ctx context.Context, c chooser.Choice, err error) (decision, refusal) {
	q, p := t.request, t.proxy
	var sendErr *forwarder.Error
	outcome := forwarder.Unknown
	if errors.As(err, &sendErr) {
		outcome = sendErr.Outcome
	}
	if outcome != forwarder.NotSent {
		t.runs++
	}
	if waited := time.Since(t.sentAt); outcome != forwarder.NotSent && waited >= unresponsiveTimeout {
		p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), c.Endpoint) })
		p.log.failure("msg", "endpoint unresponsive", "request", q.id, "endpoint", describeEndpoint(&c.Endpoint),
			"ms", waited.Milliseconds())
	}
	if isDisconnected(ctx) {
		return abandonRequest, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(q.deadline) {
		if outcome == forwarder.NotSent && t.runs == 0 {
			return refuseRequest, refusal{status: http.StatusServiceUnavailable, reason: "deadline", retryAfter: retryAfter()}
		}
		return t.finalDecision(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", logFields: []any{"err", err}}
	}
	if !errors.Is(err, forwarder.ErrWithdrawn) {
		t.recordFailure(c, outcome, err)
	}
	if outcome == forwarder.NotSent {
		ref := refusal{status: http.StatusServiceUnavailable, reason: "unreachable", retryAfter: retryAfter()}
		if t.runs > 0 {
			ref = refusal{status: http.StatusBadGateway, reason: "unreachable"}
		}
		return retryElsewhere, ref
	}
	return t.handleLostResponse(c, err)
}

// recordFailure records and logs the failure of an endpoint.
func (t *transfer) recordFailure(c chooser.Choice, outcome forwarder.Outcome, err error) {
	p := t.proxy
	var limitErr *forwarder.LimitError
	if errors.As(err, &limitErr) {
		p.metrics.limits.WithLabelValues(limitErr.Bound).Inc()
	}
	if outcome == forwarder.NotSent {
		t.recordUnreachable(c, err)
	}
	p.recordProcessEnd(c.Endpoint, outcome, err, t.sentAt, t.lastWriteAt)
	var avoidUntil time.Time
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { avoidUntil = ch.RecordFailure(time.Now(), c.Endpoint) })
	p.log.failure("msg", "endpoint failed", "request", t.request.id, "endpoint", describeEndpoint(&c.Endpoint),
		"ran", outcome, "avoidMs", time.Until(avoidUntil).Milliseconds(), "err", err)
}

// handleLostResponse decides how to proceed after an attempt that may have been executed and whose response was lost.
func (t *transfer) handleLostResponse(c chooser.Choice, err error) (decision, refusal) {
	if errors.Is(err, forwarder.ErrLost) {
		return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointLost", logFields: []any{"err", err}}
	}
	events := t.splitter.events - t.eventsBefore
	t.proxy.reportSuspect(t.request, c, events)
	if events < soundEvents {
		go t.proxy.reportCrash(t.request, c.Endpoint, time.Now())
	}
	return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointBroke", logFields: []any{"err", err}}
}

// retryOrEnd decides how to proceed after an attempt that was executed and failed.
func (t *transfer) retryOrEnd() decision {
	if t.canRetry() {
		return retryElsewhere
	}
	return t.finalDecision()
}

// recordResponse records the result and the reported load of the endpoint.
func (t *transfer) recordResponse(c chooser.Choice, resp *forwarder.Response) {
	h := &t.proxy.dialect.Headers
	report, known := parseLoad(resp.Header.Get(h.Load))
	limit, isLimited, valid := parseRateLimit(resp.Header[h.RateLimit])
	var limitChanged bool
	notRun := t.isRejection(resp)
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) {
		now := time.Now()
		ch.RecordContact(now, now, c.Endpoint)
		if !notRun {
			ch.RecordResponse(c.Endpoint, resp.Status >= http.StatusInternalServerError)
		}
		if resp.Status < http.StatusMultipleChoices {
			ch.RecordAnswered(c.Endpoint, t.request.promptParts)
		}
		if known {
			ch.RecordLoad(time.Now(), c.Endpoint, report)
		}
		if notRun {
			ch.RecordRejection(time.Now(), c.Endpoint)
		} else if resp.Status < http.StatusInternalServerError {
			ch.RecordTime(time.Now(), c)
		}
		if resp.Status == http.StatusMisdirectedRequest {
			ch.RecordMisdirected(time.Now(), c.Endpoint)
		} else if valid {
			limitChanged = ch.RecordRateLimit(time.Now(), c.Endpoint, t.sentAt, limit, isLimited)
		}
	})
	if limitChanged {
		t.proxy.fleet.log.event("rate limit of endpoint changed", "request", t.request.id,
			"endpoint", describeEndpoint(&c.Endpoint), "limited", isLimited, "perSecond", limit, "status", resp.Status)
	}
	if !valid {
		t.proxy.log.failure("msg", "invalid rate limit of endpoint", "request", t.request.id,
			"endpoint", describeEndpoint(&c.Endpoint), "value", strings.Join(resp.Header[h.RateLimit], ","))
	}
	t.recordStatements(c, resp)
}

// parseRateLimit parses the values of a rate limit header; the lowest one counts. Without a value there is no limit;
// valid is false if a value is not a number of requests.
func parseRateLimit(values []string) (perSecond float64, isLimited, valid bool) {
	for _, value := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 0) {
			return 0, false, false
		}
		if !isLimited || n < perSecond {
			perSecond, isLimited = n, true
		}
	}
	return perSecond, isLimited, true
}

// parseLoad parses a load header. The pace is optional, and ignored if it is no positive number.
func parseLoad(value string) (r chooser.LoadReport, ok bool) {
	fields := strings.SplitN(value, ",", maxLoadFields+1)
	if len(fields) < 2 {
		return r, false
	}
	var errs [2]error
	r.Running, errs[0] = strconv.Atoi(strings.TrimSpace(fields[0]))
	r.Waiting, errs[1] = strconv.Atoi(strings.TrimSpace(fields[1]))
	if len(fields) >= maxLoadFields {
		pace, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err == nil && pace > 0 && pace <= maxPacePercent {
			r.Pace = pace / 100
		}
	}
	return r, errors.Join(errs[:]...) == nil
}

const (
	// maxLoadFields is the number of figures in a load header that are read.
	maxLoadFields = 4

	// maxPacePercent is far above the pace of any endpoint that still works.
	maxPacePercent = 100_000
)

// isRejection reports whether a response states that the endpoint did not execute this request.
func (t *transfer) isRejection(resp *forwarder.Response) bool {
	isStated := resp.Header.Get(t.proxy.dialect.Headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest
	return isStated && resp.NamesRequest
}

// handleRejection handles a response of an endpoint that did not execute the request; ok is false for other responses.
func (t *transfer) handleRejection(c chooser.Choice, resp *forwarder.Response) (d decision, ref refusal, ok bool) {
	if !t.isRejection(resp) {
		return finishRequest, refusal{}, false
	}
	if err := discardAnswer(resp); err != nil {
		t.recordFailure(c, forwarder.Rejected, err)
	}
	ref = refusal{status: http.StatusServiceUnavailable, reason: "endpointRejected", retryAfter: t.retryAfter(),
		logFields: []any{"endpoint", describeEndpoint(&c.Endpoint), "endpointStatus", resp.Status}}
	if t.runs > 0 {
		ref.status, ref.retryAfter = http.StatusBadGateway, 0
	}
	return retryElsewhere, ref, true
}

// isMisleadingStatus reports whether the status would wrongly tell the caller that the request was not executed.
func (t *transfer) isMisleadingStatus(resp *forwarder.Response) bool {
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return !t.request.route.CanRetry()
	}
	return false
}

// handleServerError decides how to proceed after a 5xx response. It buffers the response, which is forwarded if no
// retry succeeds.
func (t *transfer) handleServerError(c chooser.Choice, resp *forwarder.Response) (decision, refusal) {
	if err := t.keepError(resp); err != nil {
		t.recordFailure(c, forwarder.Unknown, err)
	}
	return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointError",
		logFields: []any{"endpointStatus", resp.Status}}
}

// isContinuation reports whether the body of a response can follow what the caller has of an earlier one.
func (t *transfer) isContinuation(resp *forwarder.Response) bool {
	sent := t.w.Header()
	return resp.Status == t.sentStatus && mediaType(resp.Header) == mediaType(sent) &&
		resp.Header.Get("Content-Encoding") == sent.Get("Content-Encoding")
}

// mediaType returns the media type of a body without its parameters.
func mediaType(h http.Header) string {
	value, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// handleOtherResponse decides how to proceed after a response that can't follow what the caller has.
func (t *transfer) handleOtherResponse(c chooser.Choice, resp *forwarder.Response) (decision, refusal) {
	if resp.Status >= http.StatusMultipleChoices {
		if err := discardAnswer(resp); err != nil {
			t.recordFailure(c, forwarder.Unknown, err)
		}
	}
	return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "endpointError",
		logFields: []any{"endpointStatus", resp.Status, "contentType", resp.Header.Get("Content-Type"),
			"contentEncoding", resp.Header.Get("Content-Encoding")}}
}

// sendHeader sends the header of the first response without hop-by-hop fields. length is the length of the whole body,
// or -1. The caller gets a framing only if the endpoint's response has one, because the end of its connection does not
// tell whether the body is complete.
func (t *transfer) sendHeader(resp *forwarder.Response, length int64) {
	if t.headerSent {
		return
	}
	t.headerSent, t.sentStatus = true, resp.Status
	header := t.w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
	delete(header, t.proxy.dialect.Headers.NotRun) // the request has run, or it is not known whether it has
	if t.proxy.stopping.Load() {
		header.Set("Connection", "close")
	}
	t.replaceRetryAfter(resp.Status, header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents content sniffing by the server
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	switch acceptsChunks := t.request.inbound.ProtoAtLeast(1, 1); {
	case length >= 0:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	case resp.EndsWithConn || !acceptsChunks:
		t.endWithConn()
	}
	t.w.WriteHeader(resp.Status)
}

// writeResponse sends the header of a response that is not a stream and the buffered start of its body.
func (t *transfer) writeResponse(resp *forwarder.Response, body []byte) error {
	t.firstByteAt = time.Now()
	t.sendHeader(resp, resp.Length)
	_, err := t.w.Write(body)
	return err
}

// copyStream forwards data as it arrives. A resumable stream is forwarded in complete events, so that another endpoint
// can resume after the last one.
func (t *transfer) copyStream(ctx context.Context, c chooser.Choice, resp *forwarder.Response) (decision, refusal) {
	length := resp.Length
	if t.request.route.Resumable {
		length = -1 // of this response only
	}
	t.sendHeader(resp, length)
	t.splitter.reset()
	rc := http.NewResponseController(t.w)
	buf := make([]byte, streamBufferBytes)
	stall := newStallTimer(t.request.route.StallTimeout(), resp)
	isChecked := !t.hasBegun || t.version == ""
	for {
		n, err := resp.Body.Read(buf)
		out := buf[:n]
		if n > 0 && !isChecked && !t.proxy.isVersionKnown(ctx, c.Endpoint) {
			return t.retryOrEnd(), t.versionRefusal(chooser.VersionUnknown)
		}
		isChecked = isChecked || n > 0
		eventsEnd := len(out)
		if !t.request.route.Resumable {
			eventsEnd = t.splitter.observe(out)
		} else {
			var splitErr error
			if out, splitErr = t.splitter.split(out); splitErr != nil {
				err = splitErr
			}
		}
		if errors.Is(err, io.EOF) {
			out, err = t.endStream(resp, out, eventsEnd)
		}
		if err = stall.update(t.splitter.events, err); len(out) > 0 {
			t.recordOrigin(ctx, c)
			now := time.Now()
			if t.firstByteAt.IsZero() {
				t.firstByteAt = now
			} else {
				t.proxy.metrics.eventGap.Observe(now.Sub(t.lastWriteAt).Seconds())
			}
			t.lastWriteAt = now
			if _, werr := t.w.Write(out); werr != nil {
				return abandonRequest, refusal{reason: "callerLeft"}
			}
			if ferr := rc.Flush(); ferr != nil {
				return abandonRequest, refusal{reason: "callerLeft"}
			}
		}
		var contentErr *contentError
		isMalformed := errors.As(err, &contentErr)
		if !isMalformed && (errors.Is(err, io.EOF) && !resp.EndsWithConn || t.splitter.events-t.eventsBefore >= soundEvents) {
			t.recordAnswered(resp)
		}
		switch {
		case isMalformed:
			t.recordFailure(c, forwarder.Unknown, err)
			return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "malformedStream",
				logFields: []any{"err", err}}
		case errors.Is(err, io.EOF):
			return finishRequest, refusal{status: resp.Status}
		case errors.Is(err, errUnknownEnd):
			return t.retryOrEnd(), refusal{status: http.StatusBadGateway, reason: "unknownEnd", logFields: []any{"err", err}}
		case err != nil:
			return t.handleReadError(ctx, c, err)
		}
	}
}

// recordOrigin records, before the first event of a stream reaches the caller, where the stream began, and later that
// it goes on. Where that is not known for certain, the stream can't go on elsewhere.
func (t *transfer) recordOrigin(ctx context.Context, c chooser.Choice) {
	now := time.Now()
	if !t.request.route.Resumable || now.Before(t.renewAt) {
		return
	}
	isRenewal := !t.renewAt.IsZero()
	t.renewAt = now.Add(streamRenewInterval)
	if isRenewal {
		t.renewals++
	}
	if !t.hasBegun {
		t.hasBegun, t.version = true, c.Endpoint.Version
		t.isVersionUnknown = t.version != "" && !t.proxy.isVersionKnown(ctx, c.Endpoint)
	}
	if t.isVersionUnknown {
		return
	}
	t.proxy.recordOrigin(t.request, resumer.Origin{Service: t.request.service.Name, Version: t.version}, t.renewals)
}

// errUnknownEnd means that a stream that was begun with chunks was continued without framing: the last chunk would tell
// the caller that it is complete, which is not known. The endpoint has not failed.
var errUnknownEnd = errors.New("resumed stream ended without framing")

// errInsideEvent means that a stream without framing ended before its first event or inside one.
var errInsideEvent = errors.New("stream ended inside an event")

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// endStream returns what to write of the last bytes of a stream, in which the last event ends at eventsEnd, and the
// error if the stream was broken off: io.EOF means that it is complete.
func (t *transfer) endStream(resp *forwarder.Response, last []byte, eventsEnd int) (out []byte, err error) {
	contentType := mediaType(resp.Header)
	hasEvents := contentType == eventStreamType || resp.EndsWithConn && contentType == ""
	isBroken := hasEvents && t.splitter.isInsideEvent()
	switch {
	case resp.EndsWithConn && hasEvents && (isBroken || t.splitter.events == t.eventsBefore):
		return last, errInsideEvent
	case isBroken && !isEncoded(resp):
		if resp.Length >= 0 && !t.request.route.Resumable {
			last = last[:eventsEnd] // with the rest, the caller would have the whole length
		}
		return last, &contentError{fault: "end inside an event", lastID: t.splitter.lastID}
	case resp.EndsWithConn && t.callerConn == nil:
		return last, errUnknownEnd
	}
	return append(last, t.splitter.partial...), io.EOF
}

// isEncoded reports whether a body is compressed, so that its events can't be recognized.
func isEncoded(resp *forwarder.Response) bool {
	encoding := resp.Header.Get("Content-Encoding")
	return encoding != "" && !strings.EqualFold(encoding, "identity")
}

// recordAnswered records once that the endpoint has begun to answer the prompt and is still up.
func (t *transfer) recordAnswered(resp *forwarder.Response) {
	if t.answered || resp.Status >= http.StatusMultipleChoices {
		return
	}
	t.answered = true
	t.proxy.fleet.evidence.recordAnswers(t.request.sharedParts)
}

// stallTimer ends a stream without complete events. Other bytes do not extend it.
type stallTimer struct {
	timeout  time.Duration // 0 means none
	response *forwarder.Response
	events   uint64
	deadline time.Time

	lateReads int // since the deadline
}

func newStallTimer(timeout time.Duration, resp *forwarder.Response) *stallTimer {
	s := &stallTimer{timeout: timeout, response: resp}
	s.extend()
	return s
}

func (s *stallTimer) extend() {
	if s.timeout <= 0 {
		return
	}
	s.deadline, s.lateReads = time.Now().Add(s.timeout), 0
	s.response.SetReadDeadline(s.deadline)
}

// update is called after each read with the number of events so far and the error of the read, which it returns. A
// timeout of the read becomes a *stalledError, and so do maxLateReads of what had arrived before.
func (s *stallTimer) update(events uint64, err error) error {
	switch {
	case s.timeout <= 0:
	case err == nil && events == s.events && s.lateReads < maxLateReads && !time.Now().Before(s.deadline):
		s.lateReads++
	case (errors.Is(err, os.ErrDeadlineExceeded) || s.lateReads >= maxLateReads) && !time.Now().Before(s.deadline):
		return &stalledError{timeout: s.timeout, events: events}
	case err == nil && events > s.events:
		s.events = events
		s.extend()
	}
	return err
}

// stalledError means that a stream had no complete event for the stall timeout of its route.
type stalledError struct {
	timeout time.Duration
	events  uint64
}

// Error implements error.
func (e *stalledError) Error() string {
	return fmt.Sprintf("stream stalled: no event for %v after %d events", e.timeout, e.events)
}

// handleReadError decides how to proceed after a response that ended early.
func (t *transfer) handleReadError(ctx context.Context, c chooser.Choice, err error) (decision, refusal) {
	if isDisconnected(ctx) {
		return abandonRequest, refusal{reason: "callerLeft"}
	}
	if !time.Now().Before(t.request.deadline) {
		return t.finalDecision(), refusal{status: http.StatusGatewayTimeout, reason: "deadline", logFields: []any{"err", err}}
	}
	t.recordFailure(c, forwarder.Unknown, err)
	return t.handleLostResponse(c, err)
}

// finish ends the request according to the last decision.
func (t *transfer) finish(d decision, ref refusal) {
	q, p := t.request, t.proxy
	if d == refuseRequest && !t.headerSent && t.lastError != nil {
		d, ref = finishRequest, refusal{status: t.lastError.response.Status, reason: ref.reason}
		if err := t.writeResponse(t.lastError.response, t.lastError.body); err != nil {
			d = abandonRequest
		}
	}
	if d == refuseRequest && !t.headerSent {
		ref.logFields = append(ref.logFields, t.choiceLogFields...)
		p.refuse(t.w, q, ref)
		return
	}
	if d == finishRequest && t.callerConn != nil {
		if err := t.completeWithConn(); err != nil {
			d, ref = abandonRequest, refusal{status: ref.status, reason: "callerLeft", logFields: []any{"err", err}}
		}
	}
	now := time.Now()
	outcome := "served"
	switch d {
	case refuseRequest, abortResponse:
		outcome = "brokenOff"
	case abandonRequest:
		outcome = "callerLeft"
	}
	kind := q.route.Kind.String()
	firstMs := int64(-1)
	if !t.firstByteAt.IsZero() {
		p.metrics.firstByte.WithLabelValues(kind).Observe(t.firstByteAt.Sub(q.receivedAt).Seconds())
		firstMs = t.firstByteAt.Sub(q.receivedAt).Milliseconds()
	}
	p.metrics.duration.WithLabelValues(kind).Observe(now.Sub(q.receivedAt).Seconds())
	p.metrics.requests.WithLabelValues(outcome, strconv.Itoa(ref.status)).Inc()
	keyvals := append([]any{"msg", "request " + outcome, "request", q.id, "route", q.route.Name, "version", q.planVersion,
		"status", ref.status, "reason", ref.reason, "sends", t.sends, "firstMs", firstMs,
		"ms", now.Sub(q.receivedAt).Milliseconds()}, append(t.choiceLogFields, ref.logFields...)...)
	keyvals = append(keyvals, q.resumeLogFields()...)
	if d == finishRequest {
		p.log.info(keyvals...)
		return
	}
	p.log.failure(keyvals...)
	// Closes the connection without the end of the response, so that the caller does not take it for complete.
	panic(http.ErrAbortHandler)
}
