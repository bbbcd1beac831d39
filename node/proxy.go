package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

const (
	// initialBodyBufferBytes is the initial buffer size for a body of unknown length.
	initialBodyBufferBytes = 16 << 10

	// maxInitialBodyBytes bounds the initial buffer: a caller may announce a body and not send it.
	maxInitialBodyBytes = 64 << 10

	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal: long enough to process a queue of about ten
	// prompts, short enough to fit into a third of the usual deadline.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 700 * time.Millisecond

	// minOverloadRetryAfter and maxOverloadRetryAfter apply while all endpoints are at capacity; bursts last seconds.
	minOverloadRetryAfter = 500 * time.Millisecond
	maxOverloadRetryAfter = 1500 * time.Millisecond

	// firstPlanTimeout is how long after the start of a node requests wait for the first plan. After a power failure all
	// machines start within 0.5 s of each other, and a control instance is found within 0.2 s of its start. A node
	// without a plan after that time has no connection to a control instance and refuses requests immediately.
	firstPlanTimeout = 1500 * time.Millisecond

	// maxRemainingMillis is longer than the timeout of any route and does not overflow a time.Duration.
	maxRemainingMillis = 24 * 60 * 60 * 1000

	// poisonRetryAfter is the Retry-After of a convicted request, which is refused because endpoints failed during it.
	convictedRetryAfter = 30 * time.Second
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// proxy serves the requests of callers by forwarding them to endpoints.
type proxy struct {
	dialect   Dialect
	fleet     *fleet
	pool      *forwarder.Pool
	log       *rateLimitedLog
	metrics   *metrics
	stopping  atomic.Bool
	stopTimes atomic.Pointer[stopTimes] // nil until stopping
	bodies    *server.Budget
	answers   *server.Budget
}

// request is one request of a caller.
type request struct {
	id          string
	receivedAt  time.Time
	deadline    time.Time
	route       *planner.Route
	service     *planner.Service
	workspace   *planner.Workspace
	header      http.Header // forwarded to endpoints
	body        []byte
	memory      server.Reservation // of proxy.bodies
	promptParts []chooser.PromptPart
	sharedParts []attributor.Part // that other requests may have, too

	promptTokens, outputTokens int     // as the caller states them; 0 if unknown
	priority                   float64 // from 0 for the highest to 1 for the lowest
	planVersion                uint64
	inbound                    *http.Request
	incoming                   *server.Body // of inbound
	fingerprint                uint64       // of method, host, target, workspace and body
	lastEventID                string       // set if the caller resumes a stream
	resumes                    string       // ID of the request that brought the first event of that stream
	plan                       *planner.Plan
	// resumableUntil is when the caller no longer resumes the stream that this request begins.
	resumableUntil time.Time
	version        string // software version at which a resumed stream goes on
	isBound        bool   // the stream may go on at version only
	originSource   string // who knew it
}

// resumeLogFields returns the keys and values that tell which stream the caller resumes.
func (q *request) resumeLogFields() []any {
	if q.lastEventID == "" {
		return nil
	}
	return []any{"resumes", q.resumes, "afterEvent", q.lastEventID, "begunAt", q.version, "knownBy", q.originSource}
}

// setService sets the service that the request is sent to.
func (q *request) setService(s *planner.Service, parts string) {
	q.service = s
	q.promptParts, q.sharedParts = nil, nil
	if s.Engine {
		q.promptParts = parsePromptParts(parts)
		q.sharedParts = attributor.SharedParts(s.Name, partIDs(q.promptParts))
	}
}

// refusal is a response that the node generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0 omits the header
	logFields  []any         // additional keys and values of the log line
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, ref := p.admit(r)
	defer q.memory.Release()
	if ref == nil {
		ref = p.readBody(w, q)
	}
	if ref == nil {
		ref = p.refuseLate(q)
	}
	if ref == nil {
		ref = p.bindToOrigin(r.Context(), q)
	}
	if ref != nil {
		p.refuse(w, q, *ref)
		return
	}
	p.fleet.routing.countFirstAttempt(q.receivedAt, q.service.Name)
	t := &transfer{proxy: p, request: q, w: w, hasBegun: q.isBound, version: q.version,
		splitter: eventSplitter{maxEventBytes: p.fleet.settings.EndpointLimits.EventBytes},
		buffered: server.Reservation{Budget: p.answers}}
	if q.route.Kind == planner.KindStream && q.route.Resumable {
		t.splitter.lastID = q.lastEventID
	}
	t.run(r.Context())
}

// admit determines the route, workspace, service and deadline of a request, or returns why it is refused.
func (p *proxy) admit(r *http.Request) (*request, *refusal) {
	h := &p.dialect.Headers
	q := &request{id: r.Header.Get(h.RequestID), receivedAt: time.Now(), inbound: r,
		incoming: server.NewBody(r), memory: server.Reservation{Budget: p.bodies}}
	callerRemaining, hasDeadline := parseRemaining(r.Header.Get(h.RemainingMillis))
	waitUntil := p.fleet.started.Add(firstPlanTimeout)
	if callerDeadline := q.receivedAt.Add(callerRemaining); hasDeadline && callerDeadline.Before(waitUntil) {
		waitUntil = callerDeadline
	}
	p.fleet.awaitPlan(r.Context(), waitUntil)
	mayDeny := p.fleet.mayDeny(time.Now())
	v := p.fleet.view.Load()
	if waited := time.Since(q.receivedAt); waited > time.Millisecond {
		p.metrics.waitTime.Observe(waited.Seconds())
	}
	if v.plan == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "noPlan", retryAfter: maxRetryAfter}
	}
	q.plan, q.planVersion = v.plan, v.plan.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if q.route = v.plan.Match(r.Host, path); q.route == nil {
		return q, p.denial(http.StatusNotFound, "noRoute", mayDeny)
	}
	if v.plan.HasWorkspaces() && !q.route.Public {
		if q.workspace = v.plan.Workspace(r.Header.Get(h.Key)); q.workspace == nil {
			return q, p.denial(http.StatusUnauthorized, "unknownKey", mayDeny)
		}
	}
	q.setService(v.plan.Service(q.route.PickService(rand.Float64())), r.Header.Get(h.PromptParts))
	remaining := time.Duration(q.route.TimeoutMillis) * time.Millisecond
	retention := remaining
	if hasDeadline {
		remaining, retention = min(remaining, callerRemaining), callerRemaining
	}
	q.deadline = q.receivedAt.Add(remaining)
	q.resumableUntil = q.receivedAt.Add(retention + resumeGrace)
	q.priority = v.plan.NormalizedPriority(q.route, q.workspace)
	q.lastEventID, q.resumes = r.Header.Get(h.LastEventID), r.Header.Get(h.Resumes)
	q.promptTokens, q.outputTokens = parseTokenCounts(r.Header.Get(h.TokenCounts))
	q.header = p.forwardedHeader(r.Header, q.workspace)
	return q, nil
}

// denial returns the refusal of a request for which the plan has no route or no key. Unless the plan is known to be
// current, the caller is told to come back, because a newer plan may have them.
func (p *proxy) denial(status int, reason string, isCertain bool) *refusal {
	if isCertain {
		return &refusal{status: status, reason: reason}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "unconfirmedPlan", retryAfter: retryAfter(),
		logFields: []any{"why", reason, "confirmedMs", p.fleet.viewAge(time.Now()).Milliseconds()}}
}

// parseRemaining parses the time until the caller's deadline; ok is false if the value is not a number.
func parseRemaining(value string) (remaining time.Duration, ok bool) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(max(0, ms), maxRemainingMillis)) * time.Millisecond, true
}

// forwardedHeader returns the caller's header without hop-by-hop, reserved and internal fields.
func (p *proxy) forwardedHeader(in http.Header, ws *planner.Workspace) http.Header {
	h := &p.dialect.Headers
	out := in.Clone()
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	for _, name := range h.Reserved {
		delete(out, name)
	}
	for _, name := range []string{h.Key, h.Workspace, h.ExpectedEndpoint, h.Priority, h.CacheSource, "Expect"} {
		delete(out, name)
	}
	if ws != nil {
		out[h.Workspace] = []string{ws.Name}
	}
	return out
}

// parsePromptParts parses the parts of a prompt. It returns nil for an invalid list, because the parts only affect the
// choice of the endpoint.
func parsePromptParts(value string) (parts []chooser.PromptPart) {
	if value == "" {
		return nil
	}
	for item := range strings.SplitSeq(value, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil {
			return nil
		}
		parts = append(parts, chooser.PromptPart{ID: id, Tokens: n})
	}
	return parts
}

// parseTokenCounts parses the tokens of a prompt and of its output; they only affect where the request goes.
func parseTokenCounts(value string) (prompt, output int) {
	promptText, outputText, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(promptText))
	output, _ = strconv.Atoi(strings.TrimSpace(outputText))
	return max(0, prompt), max(0, output)
}

func partIDs(parts []chooser.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// readBody buffers the body, so that it can be resent and the server detects a disconnect of the caller.
func (p *proxy) readBody(w http.ResponseWriter, q *request) *refusal {
	limit := p.fleet.view.Load().plan.Limits.BodyBytes
	var r io.Reader = q.incoming
	if limit > 0 {
		if q.inbound.ContentLength > limit {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
		}
		r = http.MaxBytesReader(w, q.incoming, limit)
	}
	if q.inbound.ContentLength != 0 {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(q.deadline)
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
		size := q.inbound.ContentLength
		if size < 0 {
			size = initialBodyBufferBytes
		}
		size = min(size, maxInitialBodyBytes)
		if !q.memory.Take(size) {
			return bodyRefusal(errNoMemory)
		}
		buf := make([]byte, 0, size+1)
		body, err := readAll(r, buf, q.inbound.ContentLength, q.memory.Take)
		if err != nil {
			return bodyRefusal(err)
		}
		q.body = body
	}
	q.fingerprint = fingerprint(q)
	if starts, convicted := p.fleet.isConvicted(q.fingerprint); convicted {
		return &refusal{status: http.StatusServiceUnavailable, reason: "breaksEndpoints", retryAfter: convictedRetryAfter,
			logFields: []any{"brokenEndpoints", starts}}
	}
	return nil
}

// errNoMemory means that a buffer can't grow because the buffers of all requests together are at their limit.
var errNoMemory = errors.New("the buffers of all requests exceed their memory limit")

func bodyRefusal(err error) *refusal {
	if errors.Is(err, errNoMemory) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: overloadRetryAfter()}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "bodyIncomplete", logFields: []any{"err", err}}
}

// readAll reads r into buf, which grows as grow permits. length is that of all of r, or -1. It returns errNoMemory with
// what it has read if the buffer can't grow.
func readAll(r io.Reader, buf []byte, length int64, grow func(n int64) bool) ([]byte, error) {
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buf) == cap(buf) {
			n := int64(len(buf))
			if length >= n {
				n = min(n, length+1-n)
			}
			if !grow(n) {
				return buf, errNoMemory
			}
			buf = slices.Grow(buf, int(n))
		}
	}
}

// fingerprint identifies a request independent of its ID.
func fingerprint(q *request) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.inbound.Method+" "+q.inbound.Host+q.inbound.RequestURI+"\x00")
	if q.workspace != nil {
		_, _ = io.WriteString(h, q.workspace.Name)
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// refuse responds to a request that was not sent to an endpoint or that received no usable response.
func (p *proxy) refuse(w http.ResponseWriter, q *request, ref refusal) {
	p.metrics.refusals.WithLabelValues(ref.reason).Inc()
	p.metrics.requests.WithLabelValues("refused", strconv.Itoa(ref.status)).Inc()
	keyvals := []any{"msg", "request refused", "request", q.id, "status", ref.status, "reason", ref.reason,
		"ms", time.Since(q.receivedAt).Milliseconds(), "version", q.planVersion}
	if q.route != nil {
		keyvals = append(keyvals, "route", q.route.Name)
	}
	if !q.deadline.IsZero() {
		keyvals = append(keyvals, "leftMs", time.Until(q.deadline).Milliseconds())
	}
	keyvals = append(keyvals, q.resumeLogFields()...)
	p.log.failure(append(keyvals, ref.logFields...)...)
	defer q.incoming.Leave(w)()
	header := w.Header()
	if p.stopping.Load() {
		header.Set("Connection", "close")
	}
	if q.id != "" {
		header[p.dialect.Headers.RequestID] = []string{q.id}
	}
	if ref.retryAfter > 0 {
		header.Set(retryAfterHeader, formatRetryAfter(ref.retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(ref.reason)+1))
	w.WriteHeader(ref.status)
	_, _ = io.WriteString(w, ref.reason+"\n")
}

// retryAfter returns a random Retry-After, so that callers refused together do not retry together.
func retryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// overloadRetryAfter returns a random Retry-After while all endpoints are at capacity.
func overloadRetryAfter() time.Duration {
	return minOverloadRetryAfter + rand.N(maxOverloadRetryAfter-minOverloadRetryAfter)
}

// maxLoggedPromptParts bounds the parts of a prompt in one log line.
const maxLoggedPromptParts = 8

// reportSuspect reports a request during which an endpoint closed the connection before the end of its response, after
// the given number of events.
func (p *proxy) reportSuspect(q *request, c chooser.Choice, events uint64) {
	start := c.Endpoint.ID + "#" + strconv.FormatInt(c.Endpoint.Born, 10)
	p.fleet.reportSuspect(exchanger.Suspect{Fingerprint: q.fingerprint, Endpoint: start})
	p.metrics.suspects.Inc()
	starts, _ := p.fleet.isConvicted(q.fingerprint)
	parts := partIDs(q.promptParts[:min(len(q.promptParts), maxLoggedPromptParts)])
	p.log.failure("msg", "request suspected", "request", q.id, "endpoint", start,
		"fingerprint", strconv.FormatUint(q.fingerprint, 16), "starts", starts, "events", events,
		"parts", strings.Join(parts, ","), "partCount", len(q.promptParts))
}

// reportCrash reports a request that awaited its answer at an endpoint that has ended.
func (p *proxy) reportCrash(q *request, e registrar.Endpoint, at time.Time) {
	if len(q.sharedParts) == 0 {
		return
	}
	sleeper.Pause(context.Background(), time.Until(at.Add(crashCheckDelay)))
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if !p.pool.Refuses(ctx, e.Address) {
		return
	}
	start := e.ID + "#" + strconv.FormatInt(e.Born, 10)
	p.log.failure("msg", "endpoint crashed", "request", q.id, "endpoint", start, "parts", fmt.Sprint(q.sharedParts))
	p.fleet.evidence.merge(exchanger.Evidence{Suspects: []attributor.Suspect{{Start: start, At: at,
		Fingerprint: q.fingerprint, Parts: q.sharedParts}}}, p.fleet.self.Name)
}

// isDisconnected reports whether the caller has disconnected.
func isDisconnected(ctx context.Context) bool { return ctx.Err() != nil }
