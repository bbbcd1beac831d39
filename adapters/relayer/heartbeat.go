package relayer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/detector"
)

var (
	errHeartbeatTimeout = errors.New("no message or keepalive received within the heartbeat timeout")
	errIdleTimeout      = errors.New("connection closed: no requests within the idle timeout")
)

// heartbeat monitors one side of a connection. Both sides send keepalives while requests are in flight, so that a
// router detects a lost agent and an agent detects a lost router.
type heartbeat struct {
	writeKeepalive    func() error
	heardAt           func() time.Time // when the last bytes arrived, also those of a message that is not complete
	opened            time.Time
	lastActivityNanos atomic.Int64 // since opened
	inFlight          atomic.Int64
	sending           atomic.Bool
	wake              chan struct{}
}

func newHeartbeat(transport *messenger.Conn) *heartbeat {
	write := func() error { return transport.Send(context.Background(), kindKeepalive, 0, nil) }
	return &heartbeat{writeKeepalive: write, heardAt: transport.HeardAt, opened: time.Now(), wake: make(chan struct{}, 1)}
}

func (h *heartbeat) recordActivity() { h.lastActivityNanos.Store(int64(time.Since(h.opened))) }

func (h *heartbeat) lastActivity() time.Time {
	at := h.opened.Add(time.Duration(h.lastActivityNanos.Load()))
	if heardAt := h.heardAt(); heardAt.After(at) {
		return heardAt
	}
	return at
}

func (h *heartbeat) startRequest() {
	if h.inFlight.Add(1) == 1 {
		h.recordActivity() // inactivity without requests is normal
		signal(h.wake)
	}
}

func (h *heartbeat) endRequest() { h.inFlight.Add(-1) }

// watch returns errHeartbeatTimeout or errIdleTimeout, or nil when done is closed. It calls onSuspect when a keepalive
// is overdue.
func (h *heartbeat) watch(done <-chan struct{}, idle time.Duration, onSuspect func()) error {
	now := time.Now()
	conn := detector.NewConnection(heartbeatLimits, now)
	state, lastUsed, lastSent := detector.Idle, now, now
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-h.wake:
		case <-t.C:
		}
		now = time.Now()
		lastActivity := h.lastActivity()
		isActive := h.inFlight.Load() > 0
		conn.SetActive(isActive, now)
		conn.RecordActivity(lastActivity)
		before := state
		state = conn.Check(now)
		switch {
		case state == detector.Failed:
			return errHeartbeatTimeout
		case state == detector.Suspect && before != state:
			onSuspect()
		}
		if lastActivity.After(lastUsed) {
			lastUsed = lastActivity
		}
		if !isActive {
			if now.Sub(lastUsed) >= idle {
				return errIdleTimeout
			}
			t.Reset(idle - now.Sub(lastUsed))
			continue
		}
		lastUsed = now
		if now.Sub(lastSent) >= keepaliveInterval {
			lastSent = now
			h.sendKeepalive()
		}
		t.Reset(nextCheck(now.Sub(lastSent), now.Sub(lastActivity)))
	}
}

// nextCheck returns the time until the next keepalive or state change. There is no shorter polling interval, so that a
// router with many connections wakes up only about once a second for each.
func nextCheck(sinceSent, inactivity time.Duration) time.Duration {
	untilChange := heartbeatLimits.SuspectAfter - inactivity
	if untilChange < 0 {
		untilChange = heartbeatLimits.FailAfter - inactivity
	}
	return max(minCheckInterval, min(keepaliveInterval-sinceSent, untilChange+time.Millisecond))
}

// sendKeepalive writes a keepalive without waiting for it, unless the previous one is still being written.
func (h *heartbeat) sendKeepalive() {
	if !h.sending.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.sending.Store(false)
		_ = h.writeKeepalive()
	}()
}
