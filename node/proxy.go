package node

import (
	"context"
	"errors"
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
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
)

const (
	// bodyStartBytes is the buffer that a body without a length starts with.
	initialBodyBufferBytes = 16 << 10

	// shortRetry and longRetry bound the time after which a refused caller is asked to come back: long enough for a
	// queue of some ten prompts to pass, short enough that a third of the usual deadline covers it.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 700 * time.Millisecond

	// shortOverload and longOverload are the same while all endpoints are full; a burst lasts seconds.
	minOverloadRetryAfter = 500 * time.Millisecond
	maxOverloadRetryAfter = 1500 * time.Millisecond

	// planWait is how long after its start a node lets requests wait for the first plan: all machines have power again
	// within half a second of each other, and a control instance is found within 0.2 s of its own start. A node that
	// knows no plan later is cut off, and refuses at once.
	firstPlanTimeout = 1500 * time.Millisecond

	// maxDeadlineMillis is above any route's timeout and below what a time.Duration holds.
	maxRemainingMillis = 24 * 60 * 60 * 1000

	// convictedRetry is the time for a request that breaks endpoints.
	poisonRetryAfter = 30 * time.Second
)

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// front serves callers.
type proxy struct {
	dialect  Dialect
	fleet    *fleet
	pool     *forwarder.Pool
	log      *rateLimitedLog
	metrics  *metrics
	stopping atomic.Bool
}

// request is one request of a caller.
type request struct {
	id          string
	receivedAt  time.Time
	deadline    time.Time
	route       *planner.Route
	service     *planner.Service
	workspace   *planner.Workspace
	header      http.Header // to pass on
	body        []byte
	promptParts []chooser.PromptPart
	priority    float64 // how much the request may be put off for others
	planVersion uint64  // of the plan
	inbound     *http.Request
	fingerprint uint64 // fingerprint of method, target, workspace and body
}

// refusal is an answer of the fleet itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // for Retry-After, 0 without
	logFields  []any         // numbers for the log
}

// ServeHTTP answers one request of a caller.
func (f *proxy) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, ref := f.admit(in)
	if ref == nil {
		ref = f.readBody(w, q)
	}
	if ref != nil {
		f.refuse(w, q, *ref)
		return
	}
	f.fleet.routing.first(q.receivedAt, q.service.Name)
	t := &transfer{proxy: f, request: q, w: w}
	t.run(in.Context())
}

// admit finds the route and the workspace of a request.
func (f *proxy) admit(in *http.Request) (*request, *refusal) {
	h := &f.dialect.Headers
	q := &request{id: in.Header.Get(h.RequestID), receivedAt: time.Now(), inbound: in}
	callerLeft, hasDeadline := parseRemaining(in.Header.Get(h.RemainingMillis))
	waitTill := f.fleet.started.Add(firstPlanTimeout)
	if till := q.receivedAt.Add(callerLeft); hasDeadline && till.Before(waitTill) {
		waitTill = till
	}
	v := f.fleet.awaitPlan(in.Context(), waitTill)
	if waited := time.Since(q.receivedAt); waited > time.Millisecond {
		f.metrics.waitTime.Observe(waited.Seconds())
	}
	if v.plan == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "noPlan", retryAfter: maxRetryAfter}
	}
	q.planVersion = v.plan.Version
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if q.route = v.plan.Match(in.Host, path); q.route == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "noRoute"}
	}
	if v.plan.HasWorkspaces() && !q.route.Public {
		if q.workspace = v.plan.Workspace(in.Header.Get(h.Key)); q.workspace == nil {
			return q, &refusal{status: http.StatusUnauthorized, reason: "unknownKey"}
		}
	}
	q.service = v.plan.Service(q.route.PickService(rand.Float64()))
	left := time.Duration(q.route.TimeoutMillis) * time.Millisecond
	if hasDeadline {
		left = min(left, callerLeft)
	}
	q.deadline = q.receivedAt.Add(left)
	if q.service.Engine {
		q.promptParts = parsePromptParts(in.Header.Get(h.PromptParts))
	}
	q.priority = v.plan.NormalizedPriority(q.route, q.workspace)
	q.header = f.forwardedHeader(in.Header, q.workspace)
	return q, nil
}

// deadlineLeft reads the time that a caller gives a request; ok is false without a number.
func parseRemaining(header string) (left time.Duration, ok bool) {
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(max(0, ms), maxRemainingMillis)) * time.Millisecond, true
}

// passOn returns the headers for the endpoint.
func (f *proxy) forwardedHeader(in http.Header, ws *planner.Workspace) http.Header {
	h := &f.dialect.Headers
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
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

// parseParts reads the parts of a prompt; a list that can't be read counts as none, because it only places.
func parsePromptParts(list string) (parts []chooser.PromptPart) {
	if list == "" {
		return nil
	}
	for item := range strings.SplitSeq(list, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil {
			return nil
		}
		parts = append(parts, chooser.PromptPart{ID: id, Tokens: n})
	}
	return parts
}

// readBody reads the whole body, so that it can be sent again and the caller's leaving is noticed.
func (f *proxy) readBody(w http.ResponseWriter, q *request) *refusal {
	limit := f.fleet.view.Load().plan.Limits.BodyBytes
	var r io.Reader = q.inbound.Body
	if limit > 0 {
		if q.inbound.ContentLength > limit {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
		}
		r = http.MaxBytesReader(w, q.inbound.Body, limit)
	}
	if q.inbound.ContentLength != 0 {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(q.deadline)
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
		size := q.inbound.ContentLength
		if size < 0 {
			size = initialBodyBufferBytes
		}
		buf := make([]byte, 0, size+1)
		var err error
		if q.body, err = readAll(r, buf); err != nil {
			return bodyRefusal(err)
		}
	}
	q.fingerprint = fingerprint(q)
	if starts, convicted := f.fleet.fingerprintConvicted(q.fingerprint); convicted {
		return &refusal{status: http.StatusServiceUnavailable, reason: "breaksEndpoints", retryAfter: poisonRetryAfter,
			logFields: []any{"brokenEndpoints", starts}}
	}
	return nil
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "bodyIncomplete", logFields: []any{"err", err}}
}

func readAll(r io.Reader, buf []byte) ([]byte, error) {
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
			buf = slices.Grow(buf, len(buf))
		}
	}
}

// fingerprint identifies a request that comes again under another ID.
func fingerprint(q *request) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.inbound.Method+" "+q.inbound.Host+q.inbound.RequestURI+"\x00")
	if q.workspace != nil {
		_, _ = io.WriteString(h, q.workspace.Name)
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// refuse answers a request that was not given to an endpoint, or whose endpoint gave no answer.
func (f *proxy) refuse(w http.ResponseWriter, q *request, ref refusal) {
	f.metrics.refusals.WithLabelValues(ref.reason).Inc()
	f.metrics.requests.WithLabelValues("refused", strconv.Itoa(ref.status)).Inc()
	line := []any{"msg", "request refused", "request", q.id, "status", ref.status, "reason", ref.reason,
		"ms", time.Since(q.receivedAt).Milliseconds(), "version", q.planVersion}
	if q.route != nil {
		line = append(line, "route", q.route.Name)
	}
	if !q.deadline.IsZero() {
		line = append(line, "leftMs", time.Until(q.deadline).Milliseconds())
	}
	f.log.failure(append(line, ref.logFields...)...)
	head := w.Header()
	if q.id != "" {
		head[f.dialect.Headers.RequestID] = []string{q.id}
	}
	if ref.retryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 2, 64))
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(ref.status)
	_, _ = io.WriteString(w, ref.reason+"\n")
}

// retryAfter spreads the return of callers that were refused together.
func retryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// overloadRetryAfter does the same while all endpoints are full.
func overloadRetryAfter() time.Duration {
	return minOverloadRetryAfter + rand.N(maxOverloadRetryAfter-minOverloadRetryAfter)
}

// suspect reports that an endpoint broke off under a request.
func (f *proxy) reportSuspect(q *request, c chooser.Choice) {
	start := c.Endpoint.ID + "#" + strconv.FormatInt(c.Endpoint.Born, 10)
	f.fleet.suspected(exchanger.Suspect{Fingerprint: q.fingerprint, Endpoint: start})
}

// isGone reports whether the caller has left.
func isDisconnected(ctx context.Context) bool { return ctx.Err() != nil }
