package node

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
)

const (
	// minRestartTime is shorter than the time from the end of an endpoint's process until another one listens at its
	// address: a connection that opens within it belongs to the same process.
	minRestartTime = 200 * time.Millisecond

	// maxConnAge is longer than a connection to an endpoint is kept. Connections from before a cut of the network look
	// open after it, until something is sent on them.
	maxConnAge = 24 * time.Hour

	// processEndReportDelay bounds how long ago a process has ended that another node reports.
	processEndReportDelay = time.Second

	// endedPrefix marks a suspect that names the start of an endpoint whose process has ended, whatever its requests.
	endedPrefix = "ended:"
)

// isProcessEnd reports whether the failure of an attempt is one that the end of the endpoint's process would cause.
func isProcessEnd(outcome forwarder.Outcome, err error) bool {
	if errors.Is(err, forwarder.ErrProcessMayHaveEnded) || errors.Is(err, forwarder.ErrSlowConnect) {
		return false // the pool has recorded it, or the connect has not ended yet
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errInsideEvent, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ETIMEDOUT} {
		if errors.Is(err, end) {
			return true
		}
	}
	return outcome == forwarder.NotSent
}

// isCut reports whether an attempt failed because the network did not reach the endpoint.
func isCut(err error) bool {
	var netErr net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &netErr) && netErr.Timeout()
}

// recordProcessEnd records that the process of an endpoint may have ended, if the failure of an attempt is one that
// this would cause, and checks it. The attempt began at sentAt, and the endpoint last sent something at readAt.
func (p *proxy) recordProcessEnd(
	e registrar.Endpoint, outcome forwarder.Outcome, err error, sentAt, readAt time.Time,
) {
	if !isProcessEnd(outcome, err) {
		return
	}
	now := time.Now()
	aliveAt := now
	switch {
	case isCut(err):
		aliveAt = now.Add(-maxConnAge)
	case outcome == forwarder.NotSent:
		aliveAt = sentAt.Add(-minRestartTime) // no connection since then is one to the former process
	case p.fleet.pauses.mayHavePaused(now) && readAt.After(sentAt):
		aliveAt = readAt
	case p.fleet.pauses.mayHavePaused(now):
		aliveAt = sentAt
	}
	var isNew bool
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { isNew = ch.RecordProcessEnd(now, aliveAt, e) })
	if !isNew {
		return
	}
	p.log.failure("msg", "process of endpoint may have ended", "endpoint", describeEndpoint(&e), "software", e.Version,
		"cause", outcome, "aliveMs", now.Sub(aliveAt).Milliseconds())
	if outcome != forwarder.NotSent {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
			defer cancel()
			sleeper.Pause(ctx, crashCheckDelay)
			p.isVersionKnown(ctx, e)
		}()
	}
}

// recordIdleEnd records that an endpoint has ended a kept connection, which was last seen open at a given time.
func (p *proxy) recordIdleEnd(address string, openAt time.Time) {
	now := time.Now()
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordProcessEndAt(now, openAt, address) })
	p.log.failure("msg", "process of endpoint may have ended", "address", address, "cause", "keptConnection",
		"aliveMs", now.Sub(openAt).Milliseconds())
}

// isVersionKnown reports whether the process of an endpoint is still the one of its last heartbeat.
func (p *proxy) isVersionKnown(ctx context.Context, e registrar.Endpoint) (isKnown bool) {
	var end chooser.PossibleEnd
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { end, isKnown = ch.PossibleEndOf(time.Now(), e) })
	return isKnown || !end.AliveAt.IsZero() && p.refuteProcessEnd(ctx, end)
}

// refuteProcessEnds checks the endpoints of a version whose processes may have ended.
func (p *proxy) refuteProcessEnds(ctx context.Context, service, version string) {
	var ends []chooser.PossibleEnd
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ends = ch.PossibleEnds(time.Now(), service, version) })
	for _, end := range ends {
		p.refuteProcessEnd(ctx, end)
	}
}

// refuteProcessEnd reports whether a connection shows that the process of an endpoint has not ended. Soon after it was
// last known to run, a new connection does, too.
func (p *proxy) refuteProcessEnd(ctx context.Context, end chooser.PossibleEnd) bool {
	// The connections of a process that ends are closed one after the other.
	sleeper.Pause(ctx, time.Until(end.AliveAt.Add(crashCheckDelay)))
	before := end.AliveAt.Add(minRestartTime)
	if !p.pool.HasOpen(end.Endpoint.Address, before) {
		ctx, cancel := context.WithDeadline(ctx, before)
		defer cancel()
		if ctx.Err() != nil {
			return false
		}
		err := p.pool.Open(ctx, end.Endpoint.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.reportProcessEnd(end.Endpoint)
		}
		if err != nil || !p.pool.HasOpen(end.Endpoint.Address, before) {
			return false
		}
	}
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RefuteProcessEnd(end) })
	p.log.failure("msg", "process of endpoint has not ended", "endpoint", describeEndpoint(&end.Endpoint),
		"aliveMs", time.Since(end.AliveAt).Milliseconds())
	return true
}

// reportProcessEnd tells all nodes that an endpoint refuses connections.
func (p *proxy) reportProcessEnd(e registrar.Endpoint) {
	start := endedPrefix + e.ID + "#" + strconv.FormatInt(e.Born, 10)
	h := fnv.New64a()
	_, _ = io.WriteString(h, start)
	p.fleet.reportSuspect(exchanger.Suspect{Fingerprint: h.Sum64(), Endpoint: start})
}

// recordReportedEnds records the processes that other nodes have reported as ended.
func (f *fleet) recordReportedEnds(list []exchanger.Suspect) {
	now := time.Now()
	for _, s := range list {
		start, ok := strings.CutPrefix(s.Endpoint, endedPrefix)
		i := strings.LastIndexByte(start, '#')
		if !ok || i < 0 {
			continue
		}
		born, err := strconv.ParseInt(start[i+1:], 10, 64)
		if err != nil {
			continue
		}
		e := registrar.Endpoint{ID: start[:i], Born: born}
		f.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordProcessEnd(now, now.Add(-processEndReportDelay), e) })
	}
}
