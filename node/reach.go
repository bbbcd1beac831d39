package node

import (
	"errors"
	"syscall"
	"time"

	"cactusroute.dev/adapters/forwarder"
	"cactusroute.dev/core/chooser"
)

// maxSlowConnects bounds the endpoints to which a request does not wait for a slow connection.
const maxSlowConnects = 3

// watchReach makes an attempt depend on what all routers know of the reachability of its endpoint.
func (t *transfer) watchReach(r *forwarder.Request, c chooser.Choice) {
	p, sentAt := t.proxy, t.sentAt
	canRepeat := t.request.route.CanRetry() && t.runs+1 < t.request.route.MaxAttempts && t.sends < maxSends
	if t.slowConnects < maxSlowConnects {
		r.ConnectGroup = c.Endpoint.Domain
	}
	r.NewConn = c.IsTrial
	r.OnConnect = func(err error) {
		if err != nil {
			p.recordProcessEnd(c.Endpoint, forwarder.NotSent, err, sentAt, time.Time{})
			return
		}
		now := time.Now()
		p.fleet.routing.withChooser(func(ch *chooser.Chooser) { ch.RecordContact(now, now, c.Endpoint) })
	}
	r.IsLost = func(heardAt time.Time) (isLost bool) {
		p.fleet.routing.withChooser(func(ch *chooser.Chooser) {
			isLost = ch.IsLost(time.Now(), sentAt, heardAt, c.Endpoint, canRepeat)
		})
		return isLost
	}
}

// recordUnreachable records an attempt that failed to connect. One that gave up early does not count.
func (t *transfer) recordUnreachable(c chooser.Choice, err error) {
	isSlow, isRefused := errors.Is(err, forwarder.ErrSlowConnect), errors.Is(err, syscall.ECONNREFUSED)
	if isSlow {
		t.slowConnects++
		t.sends--
		t.tried = t.tried[:len(t.tried)-1]
	}
	if isSlow || isRefused || isCut(err) {
		t.proxy.fleet.routing.withChooser(func(ch *chooser.Chooser) {
			ch.RecordUnreachable(time.Now(), c.Endpoint, isRefused)
		})
	}
}
