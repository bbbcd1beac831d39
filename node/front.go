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
	bodyStartBytes = 16 << 10

	// shortRetry and longRetry bound the time after which a refused caller is asked to come back: long enough for a
	// queue of some ten prompts to pass, short enough that a third of the usual deadline covers it.
	shortRetry = 200 * time.Millisecond
	longRetry  = 700 * time.Millisecond

	// shortOverload and longOverload are the same while all endpoints are full; a burst lasts seconds.
	shortOverload = 500 * time.Millisecond
	longOverload  = 1500 * time.Millisecond

	// planWait is how long after its start a node lets requests wait for the first plan: all machines have power again
	// within half a second of each other, and a control instance is found within 0.2 s of its own start. A node that
	// knows no plan later is cut off, and refuses at once.
	planWait = 1500 * time.Millisecond

	// maxDeadlineMillis is above any route's timeout and below what a time.Duration holds.
	maxDeadlineMillis = 24 * 60 * 60 * 1000

	// convictedRetry is the time for a request that breaks endpoints.
	convictedRetry = 30 * time.Second
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// front serves callers.
type front struct {
	dialect  Dialect
	fleet    *fleet
	pool     *forwarder.Pool
	log      *decisionLog
	metrics  *metrics
	stopping atomic.Bool
}

// request is one request of a caller.
type request struct {
	id        string
	began     time.Time
	deadline  time.Time
	route     *planner.Route
	service   *planner.Service
	workspace *planner.Workspace
	header    http.Header // to pass on
	body      []byte
	parts     []chooser.PromptPart
	backlog   float64 // how much the request may be put off for others
	version   uint64  // of the plan
	in        *http.Request
	print     uint64 // fingerprint of method, target, workspace and body
}

// refusal is an answer of the fleet itself.
type refusal struct {
	status int
	reason string
	after  time.Duration // for Retry-After, 0 without
	detail []any         // numbers for the log
}

// ServeHTTP answers one request of a caller.
func (f *front) ServeHTTP(w http.ResponseWriter, in *http.Request) {
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
	f.fleet.routing.countFirstAttempt(q.began, q.service.Name)
	t := &transfer{front: f, request: q, w: w}
	t.run(in.Context())
}

// admit finds the route and the workspace of a request.
func (f *front) admit(in *http.Request) (*request, *refusal) {
	h := &f.dialect.Headers
	q := &request{id: in.Header.Get(h.RequestID), began: time.Now(), in: in}
	callerLeft, hasDeadline := deadlineLeft(in.Header.Get(h.DeadlineMillis))
	waitTill := f.fleet.started.Add(planWait)
	if till := q.began.Add(callerLeft); hasDeadline && till.Before(waitTill) {
		waitTill = till
	}
	v := f.fleet.awaitPlan(in.Context(), waitTill)
	if waited := time.Since(q.began); waited > time.Millisecond {
		f.metrics.waited.Observe(waited.Seconds())
	}
	if v.plan == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: "noPlan", after: longRetry}
	}
	q.version = v.plan.Version
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
	q.deadline = q.began.Add(left)
	if q.service.Engine {
		q.parts = parseParts(in.Header.Get(h.PromptParts))
	}
	q.backlog = v.plan.NormalizedPriority(q.route, q.workspace)
	q.header = f.passOn(in.Header, q.workspace)
	return q, nil
}

// deadlineLeft reads the time that a caller gives a request; ok is false without a number.
func deadlineLeft(header string) (left time.Duration, ok bool) {
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(max(0, ms), maxDeadlineMillis)) * time.Millisecond, true
}

// passOn returns the headers for the endpoint.
func (f *front) passOn(in http.Header, ws *planner.Workspace) http.Header {
	h := &f.dialect.Headers
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	for _, name := range h.Reserved {
		delete(out, name)
	}
	for _, name := range []string{h.Key, h.Workspace, h.Expected, h.Priority, h.FetchFrom, "Expect"} {
		delete(out, name)
	}
	if ws != nil {
		out[h.Workspace] = []string{ws.Name}
	}
	return out
}

// parseParts reads the parts of a prompt; a list that can't be read counts as none, because it only places.
func parseParts(list string) (parts []chooser.PromptPart) {
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
func (f *front) readBody(w http.ResponseWriter, q *request) *refusal {
	limit := f.fleet.view.Load().plan.Limits.BodyBytes
	var r io.Reader = q.in.Body
	if limit > 0 {
		if q.in.ContentLength > limit {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
		}
		r = http.MaxBytesReader(w, q.in.Body, limit)
	}
	if q.in.ContentLength != 0 {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(q.deadline)
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
		size := q.in.ContentLength
		if size < 0 {
			size = bodyStartBytes
		}
		buf := make([]byte, 0, size+1)
		var err error
		if q.body, err = readAll(r, buf); err != nil {
			return bodyRefusal(err)
		}
	}
	q.print = fingerprint(q)
	if starts, convicted := f.fleet.isConvicted(q.print); convicted {
		return &refusal{status: http.StatusServiceUnavailable, reason: "breaksEndpoints", after: convictedRetry,
			detail: []any{"brokenEndpoints", starts}}
	}
	return nil
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "bodyIncomplete", detail: []any{"err", err}}
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
	_, _ = io.WriteString(h, q.in.Method+" "+q.in.Host+q.in.RequestURI+"\x00")
	if q.workspace != nil {
		_, _ = io.WriteString(h, q.workspace.Name)
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// refuse answers a request that was not given to an endpoint, or whose endpoint gave no answer.
func (f *front) refuse(w http.ResponseWriter, q *request, ref refusal) {
	f.metrics.refused.WithLabelValues(ref.reason).Inc()
	f.metrics.requests.WithLabelValues("refused", strconv.Itoa(ref.status)).Inc()
	line := []any{"msg", "request refused", "request", q.id, "status", ref.status, "reason", ref.reason,
		"ms", time.Since(q.began).Milliseconds(), "version", q.version}
	if q.route != nil {
		line = append(line, "route", q.route.Name)
	}
	if !q.deadline.IsZero() {
		line = append(line, "leftMs", time.Until(q.deadline).Milliseconds())
	}
	f.log.failure(append(line, ref.detail...)...)
	head := w.Header()
	if q.id != "" {
		head[f.dialect.Headers.RequestID] = []string{q.id}
	}
	if ref.after > 0 {
		head.Set("Retry-After", strconv.FormatFloat(ref.after.Seconds(), 'f', 2, 64))
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(ref.status)
	_, _ = io.WriteString(w, ref.reason+"\n")
}

// retryAfter spreads the return of callers that were refused together.
func retryAfter() time.Duration { return shortRetry + rand.N(longRetry-shortRetry) }

// overloadRetryAfter does the same while all endpoints are full.
func overloadRetryAfter() time.Duration { return shortOverload + rand.N(longOverload-shortOverload) }

// suspect reports that an endpoint broke off under a request.
func (f *front) suspect(q *request, c chooser.Choice) {
	start := c.Endpoint.ID + "#" + strconv.FormatInt(c.Endpoint.Born, 10)
	f.fleet.reportSuspect(exchanger.Suspect{Fingerprint: q.print, Endpoint: start})
}

// isGone reports whether the caller has left.
func isGone(ctx context.Context) bool { return ctx.Err() != nil }
