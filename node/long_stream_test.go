package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
)

// awaitKnownAt waits until all of the nodes know where a stream began, and will still know it at a later time.
func (f *versionedFleet) awaitKnownAt(nodes []*testNode, id string, at time.Time) {
	f.t.Helper()
	key := resumer.NewKey("w", "h.example", "/resume/x", id)
	for _, n := range nodes {
		eventually(f.t, id+" at "+n.settings.Place.Name, func() bool {
			s := n.fleet.streams
			s.mu.Lock()
			defer s.mu.Unlock()
			_, known := s.table.Origin(at, key)
			return known
		})
	}
}

// Guards against a long stream that nobody knows any more although its caller still waits for it: at the node that
// forwards it, at the control instances, after they have started again, and after it was taken up with a later
// deadline.
func TestLongStreamIsKnownUntilItsDeadline(t *testing.T) {
	f := newVersionedFleet(t, 3, 1)
	instances := f.nodes[:3]
	deadline := time.Now().Add(time.Hour)
	got := f.call(f.nodes[3], "/resume/x", "long", "body", "Left-Ms", "3600000")
	assert.Equal(t, len(versionsIn(got.body)), 1, "%d %q", got.status, got.body)
	f.awaitKnownAt(f.nodes, "long", deadline)
	f.awaitSaved(instances, []begunStream{{id: "long"}})

	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		f.start(n, f.seeds, false)
	}
	f.awaitPlan(1, f.nodes)
	f.awaitKnownAt(instances, "long", deadline)

	for id, e := range f.endpoints {
		e.Sequence++
		f.endpoints[id] = e
		f.register(id)
	}
	f.awaitEndpoints(4, f.nodes)
	deadline = time.Now().Add(2 * time.Hour)
	got = f.call(instances[0], "/resume/x", "long-again", "body", "Left-Ms", "7200000", "Last-Event-Id", "1",
		"Resumes", "long")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	f.awaitKnownAt(instances, "long", deadline)
}

// Guards against a stream that goes on and whose origin is dropped from a full table before those of streams that have
// ended.
func TestStreamThatGoesOnIsReportedAgain(t *testing.T) {
	p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, respondOK))
	c := chooser.Choice{Endpoint: registrar.Endpoint{ID: "a", Service: "s", Version: "v1", Born: 1}}
	plan := p.fleet.view.Load().plan
	r, err := http.NewRequest(http.MethodPost, "http://h.example/resume/x", http.NoBody)
	assert.NilError(t, err)
	tr := &transfer{proxy: p.proxy, hasBegun: true, version: "v1", request: &request{id: "id-1", inbound: r,
		route: plan.Match("h.example", "/resume/x"), service: plan.Service("s"), resumableUntil: time.Now().Add(time.Hour)}}
	renewal := func() uint16 { return p.fleet.streams.all()[0].Renewal }
	tr.recordOrigin(t.Context(), c)
	tr.recordOrigin(t.Context(), c)
	assert.Equal(t, renewal(), uint16(0))
	assert.Assert(t, time.Until(tr.renewAt) <= streamRenewInterval)
	tr.renewAt = time.Now()
	tr.recordOrigin(t.Context(), c)
	assert.Equal(t, renewal(), uint16(1))
	assert.Equal(t, len(p.fleet.streams.takePending()), 2)
}

// Guards against streams that no control instance knows, because more of them than wait for a report began at a router
// while a message was on its way.
func TestManyStreamsAtOnceAreReported(t *testing.T) {
	now := time.Now()
	s := newStreams(false, now)
	s.record(testStreams(now, 0, maxPendingStreams))
	s.record(testStreams(now, maxPendingStreams, 2*maxPendingStreams))
	list := s.takePending()
	assert.Equal(t, len(list), 2*maxPendingStreams)
	assert.Equal(t, len(s.takePending()), 0)

	s.record(testStreams(now, 2*maxPendingStreams, 2*maxPendingStreams+1))
	s.requeue(list) // the connection failed, and another subscription has begun
	assert.Equal(t, len(s.takePending()), 2*maxPendingStreams+1)
}
