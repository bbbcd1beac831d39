package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

// rolloutFleet is a fleet with endpoints of versions v1 and v2, and callers at all nodes.
type rolloutFleet struct {
	*testFleet
	servers  []*httptest.Server
	byID     map[string]*fakeEndpoint
	isBad    atomic.Bool  // v2 fails
	running  atomic.Int64 // requests at endpoints of v1
	atV1     atomic.Int64 // number of requests that reached v1
	atV2     atomic.Int64
	bad      atomic.Int64
	requests atomic.Int64
	failed   atomic.Int64 // for callers
}

const (
	rolloutDisks   = 3
	rolloutRouters = 2

	// maxStaleTime is how long a router without a control instance may still send to the target: the front server of the
	// former leader goes on in the test.
	maxStaleTime = 1600 * time.Millisecond

	// rolloutDuration leaves time to try a version, and for the election of a new leader.
	rolloutDuration = 10 * time.Second
)

func newRolloutFleet(t *testing.T) *rolloutFleet {
	f := &rolloutFleet{testFleet: newTestFleet(t, rolloutDisks, rolloutRouters), byID: map[string]*fakeEndpoint{}}
	for _, n := range f.nodes {
		n.settings.Rollouts = rollouter.Limits{ExposeShare: 0.1, ExposeSlack: 50}
	}
	f.startAll()
	f.retryCommand("plan", f.nodes[:rolloutDisks], func(c Control) error {
		return c.PutPlan(t.Context(), encodePlan(t, testPlan(1)))
	})
	f.awaitPlan(1, f.nodes)
	for i := range 6 {
		f.addEndpoint(i, "v1")
	}
	for _, n := range f.nodes {
		srv := httptest.NewUnstartedServer(n.front)
		srv.Config.ConnContext = withCallerConn
		srv.Start()
		t.Cleanup(srv.Close)
		f.servers = append(f.servers, srv)
		eventually(t, "endpoints", func() bool {
			loads, _ := n.fleet.routing.snapshot(time.Now())
			return len(loads) == 6
		})
	}
	return f
}

func (f *rolloutFleet) addEndpoint(i int, version string) {
	id := fmt.Sprint(version, "-", i)
	fake := newFakeEndpoint(f.t, func(req *receivedRequest) {
		if version == "v1" {
			f.atV1.Add(1)
			f.running.Add(1)
			defer f.running.Add(-1)
		} else {
			f.atV2.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		if version == "v2" && f.isBad.Load() {
			f.bad.Add(1)
			req.respond("500 Internal Server Error", "", "failed")
			return
		}
		if strings.HasPrefix(req.r.URL.Path, "/stream/") {
			writeSlowStream(req)
			return
		}
		req.respond("200 OK", "", version)
	})
	f.byID[id] = fake
	e := registrar.Endpoint{ID: id, Service: "s", Address: fake.address, Domain: "d", Version: version,
		State: registrar.Ready, Slots: 50, Born: 1, Sequence: 1}
	f.retryCommand("endpoint", f.nodes[:rolloutDisks], func(c Control) error {
		_, err := c.Register(context.Background(), e)
		return err
	})
}

const (
	slowStreamEvents = 10
	slowStreamPause  = 150 * time.Millisecond
)

// writeSlowStream answers with a stream that lasts longer than the move takes without one.
func writeSlowStream(req *receivedRequest) {
	_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", req.r.Header.Get("Req-Id"))
	for i := range slowStreamEvents {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
		_, _ = fmt.Fprintf(req.conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(slowStreamPause)
	}
	_, _ = io.WriteString(req.conn, "0\r\n\r\n")
}

// callers send requests for a path to all nodes until the test ends; stop waits for them.
func (f *rolloutFleet) callers(path string, perNode int) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.(*testing.T).Context())
	var wg sync.WaitGroup
	for _, srv := range f.servers {
		for range perNode {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, srv.URL+path,
						strings.NewReader("b"))
					if err != nil {
						return
					}
					r.Host = "h.example"
					r.Header.Set("Req-Id", fmt.Sprint("id-", i))
					r.Header.Set("Api-Key", "key")
					f.requests.Add(1)
					resp, err := http.DefaultClient.Do(r)
					if err != nil || resp.StatusCode != http.StatusOK {
						f.failed.Add(1)
					}
					if err == nil {
						if _, err := io.Copy(io.Discard, resp.Body); err != nil {
							f.failed.Add(1)
						}
						_ = resp.Body.Close()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (f *rolloutFleet) order(target string) {
	f.retryCommand("rollout", f.nodes[:rolloutDisks], func(c Control) error {
		r, err := rollouter.New(time.Now(), "s", target, rolloutDuration)
		assert.NilError(f.t, err)
		return c.StartRollout(context.Background(), r)
	})
}

// phase returns the phase that a read of an operator shows, or 0 if no node answers.
func (f *rolloutFleet) phase() rollouter.Phase {
	for _, n := range f.nodes {
		list, err := n.fleet.Rollouts(context.Background())
		if r, ok := rollouter.Find(list, "s"); err == nil && ok {
			return r.Phase
		}
	}
	return 0
}

// stopLeader stops the instance that leads, and returns it.
func (f *rolloutFleet) stopLeader() (leader *testNode) {
	eventually(f.t, "leader", func() bool {
		for _, n := range f.nodes[:rolloutDisks] {
			if n.fleet.control.isLeader() {
				leader = n
				return true
			}
		}
		return false
	})
	leader.stop()
	return leader
}

// Guards against a bad version that gets more requests over all routers than the operator allows, or stays in service,
// also if the leader ends halfway and the end is forgotten by a restart.
func TestBadVersionIsRolledBackAfterTheLeaderEnds(t *testing.T) {
	f := newRolloutFleet(t)
	f.isBad.Store(true)
	stop := f.callers("/once/x", 4)
	f.order("v2")
	before := f.requests.Load()
	for i := range 6 {
		f.addEndpoint(i, "v2")
	}
	eventually(t, "the first bad answers", func() bool { return f.bad.Load() >= 2 })
	leader := f.stopLeader()
	eventually(t, "rolled back", func() bool { return f.phase() == rollouter.RolledBack })
	for _, n := range f.nodes {
		if n != leader {
			eventually(t, "rolled back at a router", func() bool {
				r, ok := rollouter.Find(n.fleet.view.Load().rollouts, "s")
				return ok && r.Phase == rollouter.RolledBack
			})
		}
	}
	time.Sleep(maxStaleTime)
	reached := f.atV2.Load()
	time.Sleep(time.Second)
	assert.Equal(t, f.atV2.Load(), reached, "requests to the target after the end")
	stop()
	bound := 0.1*float64(f.requests.Load()-before) + 50
	t.Logf("%d requests to the target, bound %.0f", reached, bound)
	assert.Assert(t, float64(reached) <= bound)
	f.start(leader, f.seeds, false)
	eventually(t, "rolled back at the former leader", func() bool {
		r, ok := rollouter.Find(leader.fleet.State().Rollouts, "s")
		return ok && r.Phase == rollouter.RolledBack
	})
}

// Guards against a good version that is not completed by its deadline, and against an end that is told while requests
// still go to the former version or run there, such as streams that began before the move.
func TestGoodVersionIsCompletedWithFormerEndpointsIdle(t *testing.T) {
	f := newRolloutFleet(t)
	stop, stopStreams := f.callers("/once/x", 4), f.callers("/stream/x", 2)
	f.order("v2")
	start := time.Now()
	for i := range 6 {
		f.addEndpoint(i, "v2")
	}
	f.order("v2") // resent
	conflict := (*rollouter.ConflictError)(nil)
	r, err := rollouter.New(time.Now(), "s", "v3", rolloutDuration)
	assert.NilError(t, err)
	f.retryCommand("conflict", f.nodes[:rolloutDisks], func(c Control) error {
		if err := c.StartRollout(t.Context(), r); !errors.As(err, &conflict) {
			return fmt.Errorf("no conflict: %w", err)
		}
		return nil
	})
	eventually(t, "completed", func() bool { return f.phase() == rollouter.Completed })
	assert.Equal(t, f.running.Load(), int64(0), "requests run at the former version")
	reached := f.atV1.Load()
	assert.Assert(t, time.Since(start) <= rolloutDuration, "%v", time.Since(start))
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, f.atV1.Load(), reached, "requests to the former version")
	stop()
	stopStreams()
	t.Logf("completed after %v, %d of %d requests failed", time.Since(start), f.failed.Load(), f.requests.Load())
	assert.Equal(t, f.failed.Load(), int64(0))
}
