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
	errSilent = errors.New("connection silent beyond its limit")
	errIdle   = errors.New("connection closed after a time without requests")
)

// heartbeat watches one end of a connection. Both ends send keepalives while answers are in flight, so that a
// router notices a silent agent and an agent notices a router that is gone.
type heartbeat struct {
	keepalive func() error
	opened    time.Time
	heardAt   atomic.Int64 // nanoseconds since opened
	inFlight  atomic.Int64
	sending   atomic.Bool
	wake      chan struct{}
}

func newHeartbeat(conn *messenger.Conn) *heartbeat {
	keepalive := func() error { return conn.Send(context.Background(), kindKeepalive, 0, nil) }
	return &heartbeat{keepalive: keepalive, opened: time.Now(), wake: make(chan struct{}, 1)}
}

func (h *heartbeat) hear() { h.heardAt.Store(int64(time.Since(h.opened))) }

func (h *heartbeat) lastHeard() time.Time { return h.opened.Add(time.Duration(h.heardAt.Load())) }

func (h *heartbeat) begin() {
	if h.inFlight.Add(1) == 1 {
		h.hear() // silence without requests is normal
		signal(h.wake)
	}
}

func (h *heartbeat) end() { h.inFlight.Add(-1) }

// watch returns errSilent or errIdle, or nil when done is closed; it calls suspect when a keepalive is overdue.
func (h *heartbeat) watch(done <-chan struct{}, idle time.Duration, suspect func()) error {
	now := time.Now()
	c := detector.NewConnection(limits, now)
	state, usedAt, sentAt := detector.Idle, now, now
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
		heard := h.lastHeard()
		isUsed := h.inFlight.Load() > 0
		c.SetActive(isUsed, now)
		c.RecordActivity(heard)
		before := state
		state = c.Check(now)
		switch {
		case state == detector.Failed:
			return errSilent
		case state == detector.Suspect && before != state:
			suspect()
		}
		if heard.After(usedAt) {
			usedAt = heard
		}
		if !isUsed {
			if now.Sub(usedAt) >= idle {
				return errIdle
			}
			t.Reset(idle - now.Sub(usedAt))
			continue
		}
		usedAt = now
		if now.Sub(sentAt) >= keepaliveInterval {
			sentAt = now
			h.send()
		}
		t.Reset(nextStep(now.Sub(sentAt), now.Sub(heard)))
	}
}

// nextStep returns the time until the next keepalive or change of state, so that a router with many connections
// isn't woken more often than about once a second for each.
func nextStep(sinceSent, silence time.Duration) time.Duration {
	change := limits.SuspectAfter - silence
	if change < 0 {
		change = limits.FailAfter - silence
	}
	return max(minStep, min(keepaliveInterval-sinceSent, change+time.Millisecond))
}

// send writes a keepalive without waiting for it, unless the previous one still waits to be written.
func (h *heartbeat) send() {
	if !h.sending.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.sending.Store(false)
		_ = h.keepalive()
	}()
}
