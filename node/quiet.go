package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
)

const (
	retryAfterHeader = "Retry-After"

	// leavingValue is the value of Headers.Leaving.
	leavingValue = "1"

	// maxQuietRetryAfter bounds the Retry-After of a request that all endpoints decline: endpoints that start again or are
	// added end the quiet time before its end.
	maxQuietRetryAfter = 30 * time.Second

	// maxLoggedValueBytes bounds the value of an endpoint's header in a log line.
	maxLoggedValueBytes = 64

	// maxLeavingReports bounds the endpoints of which the control instance is still to be told that they leave.
	maxLeavingReports = 256
)

// recordStatements records what an endpoint has told about itself in the head of a response: that it leaves, or that it
// wants no requests of this node for some time.
func (t *transfer) recordStatements(c chooser.Choice, resp *forwarder.Response) {
	h := &t.proxy.dialect.Headers
	if isLeaving(resp.Header[h.Leaving]) {
		t.recordLeaving(c, resp.Status, "header")
	}
	values := resp.Header[retryAfterHeader]
	if resp.Status != http.StatusServiceUnavailable || len(values) == 0 {
		return
	}
	quiet, valid := forwarder.ParseRetryAfter(values)
	if !valid {
		t.proxy.log.failure("msg", "invalid quiet time of endpoint", "request", t.request.id,
			"endpoint", describeEndpoint(&c.Endpoint), "value", loggedValue(values))
	}
	now := time.Now()
	var until time.Time
	var isNew bool
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) {
		until, isNew = ch.RecordQuiet(now, c.Endpoint, quiet)
	})
	if isNew {
		t.proxy.fleet.log.event("endpoint wants no requests", "request", t.request.id,
			"endpoint", describeEndpoint(&c.Endpoint), "value", loggedValue(values), "forMs", until.Sub(now).Milliseconds(),
			"notRun", resp.Header.Get(h.NotRun) != "")
	}
}

// recordTrailer records what an endpoint has told after the last chunk of a response.
func (t *transfer) recordTrailer(c chooser.Choice, resp *forwarder.Response) {
	if isLeaving(resp.Trailer()[t.proxy.dialect.Headers.Leaving]) {
		t.recordLeaving(c, resp.Status, "trailer")
	}
}

// recordLeaving records that an endpoint leaves. This node sends it nothing more, whatever others know; the others are
// told, except if another endpoint has answered at its address.
func (t *transfer) recordLeaving(c chooser.Choice, status int, part string) {
	f := t.proxy.fleet
	var isNew bool
	f.routing.withChooser(func(ch *chooser.Chooser) { isNew = ch.RecordLeaving(time.Now(), c.Endpoint) })
	if !isNew {
		return
	}
	f.log.event("endpoint has told that it leaves", "request", t.request.id, "endpoint", describeEndpoint(&c.Endpoint),
		"status", status, "in", part)
	if status != http.StatusMisdirectedRequest {
		f.reportLeaving(c.Endpoint)
	}
}

func isLeaving(values []string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return strings.TrimSpace(v) == leavingValue })
}

func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

func loggedValue(values []string) string {
	s := strings.Join(values, ",")
	return s[:min(len(s), maxLoggedValueBytes)]
}

// retryAfter returns after which time an endpoint may serve the request: if all of them are quiet, when the first one
// takes requests again, with a random time in addition, so that callers refused together do not retry together.
func (t *transfer) retryAfter() time.Duration {
	now := time.Now()
	var until time.Time
	var isQuiet bool
	t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) { until, isQuiet = ch.QuietUntil(now, t.query()) })
	if !isQuiet {
		return retryAfter()
	}
	return min(max(until.Sub(now), minRetryAfter), maxQuietRetryAfter) + rand.N(maxRetryAfter-minRetryAfter)
}

// replaceRetryAfter replaces, in a response that is passed on, the time for which the endpoint that sent it wants no
// requests of this node: another endpoint may serve the caller before.
func (t *transfer) replaceRetryAfter(status int, header http.Header) {
	if _, ok := header[retryAfterHeader]; ok && status == http.StatusServiceUnavailable {
		header.Set(retryAfterHeader, formatRetryAfter(t.retryAfter()))
	}
}

// reportLeaving takes an endpoint out of service that has told that it leaves, and tells the other nodes.
func (f *fleet) reportLeaving(e registrar.Endpoint) {
	e.State = registrar.Draining
	f.mergeEndpoints([]registrar.Endpoint{e}, "response")
	if f.control != nil {
		return
	}
	select {
	case f.leavingReports <- e:
	default: // the next subscription starts with all records
	}
}

// sendLeavingReports tells the control instance of endpoints that leave, until ctx ends or the connection fails.
func (f *fleet) sendLeavingReports(ctx context.Context, sub *exchanger.Subscription) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.leavingReports:
			if sub.ReportEndpoints(ctx, []registrar.Endpoint{e}) != nil {
				return
			}
		}
	}
}

// logEndedStatements logs that endpoints take requests of this node again.
func (f *fleet) logEndedStatements(now time.Time) {
	var ended []chooser.EndedStatement
	f.routing.withChooser(func(ch *chooser.Chooser) { ended = ch.EndedStatements(now) })
	for i := range ended {
		e := &ended[i]
		f.log.event("statement of endpoint has ended", "endpoint", e.ID, "service", e.Service, "born", e.Born,
			"leaving", e.IsLeaving, "quiet", !e.QuietUntil.IsZero(), "cause", e.Cause)
	}
}
