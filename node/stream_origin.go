package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/resumer"
)

// streamKey returns the key of the stream that a request of the same caller for the same resource has begun.
func streamKey(q *request, requestID string) resumer.Key {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	path, _, _ := strings.Cut(q.inbound.RequestURI, "?")
	return resumer.NewKey(workspace, q.inbound.Host, path, requestID)
}

// recordOrigin records where the stream of a request began; renewal is the number of reports that the stream goes on.
// Without a version, the endpoints of the service are not told apart. The record of a stream that the request takes up
// expires as late, because the caller names the same request when it takes the stream up again.
func (p *proxy) recordOrigin(q *request, o resumer.Origin, renewal uint16) {
	if o.Version == "" || q.id == "" {
		return
	}
	list := []resumer.Stream{{Key: streamKey(q, q.id), Origin: o, Until: q.resumableUntil, Renewal: renewal}}
	if q.originSource != "" {
		list = append(list, resumer.Stream{Key: streamKey(q, q.resumes), Origin: o, Until: q.resumableUntil})
	}
	p.fleet.streams.record(list)
}

// bindToOrigin restricts a request that resumes a stream to the service and the software version that began it, and
// returns why it is refused if they are not known: what two versions write does not fit together.
func (p *proxy) bindToOrigin(ctx context.Context, q *request) *refusal {
	if q.route.Kind != planner.KindStream || !q.route.Resumable || q.lastEventID == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if err := p.fleet.streams.confirm(ctx); err != nil {
		p.metrics.resumedStreams.WithLabelValues(originNotConfirmed).Inc()
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNotConfirmed, retryAfter: retryAfter(),
			logFields: []any{"err", err}}
	}
	if !p.namesVersions(q.route) {
		return nil
	}
	if version, ok := p.onlyVersion(q.route); ok && q.resumes == "" {
		q.version, q.isBound = version, true
		return nil
	}
	o, source, err := resumer.Origin{}, "", errUnknownStream
	if q.resumes != "" {
		o, source, err = p.fleet.streams.origin(ctx, streamKey(q, q.resumes))
	}
	ref := &refusal{status: http.StatusServiceUnavailable, reason: "unknownStream", logFields: []any{"err", err}}
	switch {
	case errors.Is(err, errNoStreamQuery):
		p.metrics.resumedStreams.WithLabelValues(originNotAnswered).Inc()
		ref.retryAfter = retryAfter()
		return ref
	case err != nil:
		p.metrics.resumedStreams.WithLabelValues(originUnknown).Inc()
		return ref
	}
	q.version, q.isBound, q.originSource = o.Version, true, source
	service := q.plan.Service(o.Service)
	isShare := slices.ContainsFunc(q.route.Shares, func(s planner.Share) bool {
		return s.Service == o.Service && s.Weight > 0
	})
	if service == nil || !isShare {
		p.metrics.resumedStreams.WithLabelValues(originMoved).Inc()
		return &refusal{status: http.StatusServiceUnavailable, reason: "noVersion",
			logFields: []any{"why", "the route does not use the service that began the stream", "service", o.Service}}
	}
	p.metrics.resumedStreams.WithLabelValues(originKnown).Inc()
	q.setService(service, q.inbound.Header.Get(p.dialect.Headers.PromptParts))
	return nil
}

// reasonNotConfirmed is the reason of refusals because the versions of endpoints may have changed unnoticed.
const reasonNotConfirmed = "notConfirmed"

// onlyVersion returns the version that all endpoints which this node knows have, and those that have left recently, so
// that a caller that does not name its stream can only mean one that began there; ok is false if there is no such
// version.
func (p *proxy) onlyVersion(r *planner.Route) (version string, ok bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	versions := p.fleet.endpoints.Versions(time.Now(), routeServices(r))
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

func routeServices(r *planner.Route) []string {
	services := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		services = append(services, s.Service)
	}
	return services
}

// namesVersions reports whether the endpoints of a route can be told apart by their software versions.
func (p *proxy) namesVersions(r *planner.Route) (named bool) {
	p.fleet.routing.withChooser(func(c *chooser.Chooser) { named = c.NamesVersions(routeServices(r)) })
	return named
}
