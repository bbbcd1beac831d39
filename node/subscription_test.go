package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/exchanger"
)

// subscribedInstance returns the instance that a router is subscribed to, or nil.
func (f *testFleet) subscribedInstance(router *testNode) *testNode {
	router.fleet.mu.Lock()
	defer router.fleet.mu.Unlock()
	for _, n := range f.nodes {
		if n.settings.Place.Name == router.fleet.subscribedTo {
			return n
		}
	}
	return nil
}

// Guards against routers that leave the instance that serves them because it has no quorum, although no other one has:
// when the instances of a large fleet were short of processor time, all routers left, and their attempts to subscribe
// took the time that the instances needed to regain the quorum.
func TestRouterKeepsItsInstanceWhileNoneHasAQuorum(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	router := f.nodes[3]
	var instance *testNode
	eventually(t, "subscription", func() bool {
		instance = f.subscribedInstance(router)
		return instance != nil
	})
	for _, n := range f.nodes[:3] {
		if n != instance {
			n.stop()
		}
	}
	eventually(t, "the quorum is lost", func() bool { return !instance.fleet.control.isQuorate() })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, f.subscribedInstance(router) == instance, "the router has left its instance")
	}
}

// Guards against a router that stays with an instance without a quorum, which learns of no change, while others have
// one.
func TestRouterLeavesAnInstanceWithoutQuorum(t *testing.T) {
	const maxDuration = 4 * time.Second
	f := newTestFleet(t, 3, 1)
	full := map[*testNode]*atomic.Bool{}
	for _, n := range f.nodes {
		f.startWith(n, f.seeds, true, func(ci *controlInstance) {
			if ci != nil {
				full[n] = &atomic.Bool{}
				ci.fs = faultyDisk{full: full[n]}
			}
		})
	}
	f.putPlan(1, f.nodes[:3])
	f.awaitPlan(1, f.nodes)
	router := f.nodes[3]
	instance := f.subscribedInstance(router)
	full[instance].Store(true)
	start := time.Now()
	f.putPlan(2, []*testNode{f.nodes[0], f.nodes[1], f.nodes[2]})
	f.awaitPlan(2, []*testNode{router})
	// The state of the other instance may arrive before the router has changed over.
	eventually(t, "another instance", func() bool { return f.subscribedInstance(router) != instance })
	assert.Assert(t, time.Since(start) < maxDuration, "%v", time.Since(start))
}

// delayingRelay returns the address of a relay to target whose responses arrive after a delay.
func delayingRelay(t *testing.T, target string, delay time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = client.Close() }()
				server, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer func() { _ = server.Close() }()
				go func() { _, _ = io.Copy(server, client) }()
				time.Sleep(delay)
				_, _ = io.Copy(client, server)
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a router that never subscribes to instances that answer within a second or two, because each of its
// attempts ends earlier and the next one begins anew.
func TestRouterSubscribesToASlowInstance(t *testing.T) {
	const delay = 1200 * time.Millisecond
	f := newTestFleet(t, 1, 1)
	f.nodes[0].settings.Listen.Advertise = delayingRelay(t, f.nodes[0].settings.Listen.Exchange, delay)
	f.start(f.nodes[0], []string{f.nodes[0].settings.Listen.Advertise}, true)
	f.putPlan(1, f.nodes[:1])
	f.start(f.nodes[1], f.seeds, false) // contacts the instance without the relay and learns its address
	f.awaitPlan(1, f.nodes)
}

// Guards against nodes without a control instance that load those which could answer: each opened five connections a
// second to each address, although earlier ones had not been answered.
func TestDiscoveryWaitsForAnswers(t *testing.T) {
	const duration, maxConns = 3 * time.Second, 6
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	f := newTestFleet(t, 0, 1)
	f.start(f.nodes[0], []string{ln.Addr().String()}, false)
	time.Sleep(duration)
	n := conns.Load()
	assert.Assert(t, n >= 2 && n <= maxConns, "%d connections", n)
}

// Guards against nodes that tell each other for ever that an instance has a quorum, although none of them has heard of
// it since.
func TestNodesForgetAnInstanceThatNoneHears(t *testing.T) {
	f := newTestFleet(t, 5, 1)
	f.startAll()
	f.putPlan(1, f.nodes[:5])
	f.awaitPlan(1, f.nodes)
	for _, n := range f.nodes[:3] {
		n.stop()
	}
	eventually(t, "the instances that are left know none with a quorum", func() bool {
		return len(f.nodes[3].fleet.quorateInstances())+len(f.nodes[4].fleet.quorateInstances())+
			len(f.nodes[5].fleet.quorateInstances()) == 0
	})
}

// Guards against a router that gives up its subscription for one that has ended, because the end and the first
// heartbeat came together.
func TestEndedAttemptReplacesNoSubscription(t *testing.T) {
	f := newTestProxy(t, testPlan(1)).fleet
	start := func(name string) *routerSubscription {
		c := exchanger.Contact{Name: name}
		return &routerSubscription{instance: c, receiver: newReceiver(f, c, nil), startedAt: time.Now(),
			cancel: func(error) {}, ended: make(chan struct{})}
	}
	for _, end := range []func(s *routerSubscriber, a *routerSubscription){
		func(_ *routerSubscriber, a *routerSubscription) { close(a.ended) },
		func(s *routerSubscriber, a *routerSubscription) {
			a.startedAt = time.Now().Add(-2 * subscribeTimeout)
			s.removeEnded(t.Context(), time.Now())
		},
	} {
		current, attempt := start("current"), start("attempt")
		s := &routerSubscriber{fleet: f, current: current, attempts: []*routerSubscription{attempt}}
		end(s, attempt)
		attempt.receiver.observe(time.Now(), exchanger.Heartbeat{Quorate: true})
		s.promoteAttempt()
		assert.Assert(t, s.current == current)
	}
}

// failingInstance returns the address of a control instance that ends each subscription at once, and counts them.
func failingInstance(t *testing.T, subscriptions *atomic.Int64) string {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == exchanger.SubscriptionPath {
			subscriptions.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a router that waits for half a second before it tries the next control instance, although the last one
// has failed: after a power loss of all nodes, callers wait for as long.
func TestRouterTriesTheNextInstanceAfterAFailure(t *testing.T) {
	const failing, maxDuration = 3, hedgeDelay / 2
	f := newTestFleet(t, 1, 1)
	instance, router := f.nodes[0], f.nodes[1]
	f.start(instance, f.seeds, true)
	f.putPlan(1, f.nodes[:1])
	var subscriptions atomic.Int64
	contacts := make([]exchanger.Contact, 0, 1+failing)
	contacts = append(contacts, instance.fleet.self)
	for i := range failing {
		address := failingInstance(t, &subscriptions)
		contacts = append(contacts, exchanger.Contact{Name: fmt.Sprint("failing-", i), Address: address, Control: address,
			Domain: router.settings.Place.FailureDomain, Eligible: true})
	}
	f.start(router, nil, false)
	elapsed := startClock(t)
	router.fleet.mu.Lock()
	for i, c := range contacts {
		router.fleet.recordInstance(c, i > 0) // that the failing ones have a quorum makes them the first choice
	}
	router.fleet.mu.Unlock()
	eventually(t, "subscription", func() bool { return f.subscribedInstance(router) == instance })
	assert.Assert(t, elapsed() < maxDuration+failing*attemptCheckInterval, "%s", elapsed())
	assert.Equal(t, subscriptions.Load(), int64(failing))
}

// Guards against attempts that follow each other without a pause while all instances fail.
func TestRouterPausesAfterFailuresOfAllInstances(t *testing.T) {
	const duration = 3 * time.Second
	f := newTestFleet(t, 0, 1)
	router := f.nodes[0]
	var subscriptions atomic.Int64
	address := failingInstance(t, &subscriptions)
	f.start(router, nil, false)
	router.fleet.mu.Lock()
	router.fleet.recordInstance(exchanger.Contact{Name: "failing", Address: address, Control: address,
		Domain: router.settings.Place.FailureDomain, Eligible: true}, true)
	router.fleet.mu.Unlock()
	time.Sleep(duration)
	n := subscriptions.Load()
	assert.Assert(t, n >= 1 && n <= int64(duration/hedgeDelay)+1, "%d attempts", n)
}
