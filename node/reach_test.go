package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// Guards against requests that wait for their deadline at an endpoint that no router reaches any more: one that may be
// repeated is answered by another endpoint, the caller of another one is told.
func TestRequestsAtLostEndpointsEnd(t *testing.T) {
	for _, tc := range []struct {
		path     string
		status   int
		body     string
		attempts int // at the other endpoint
	}{
		{"/safe/", http.StatusOK, "ok", 1},
		{"/once/", http.StatusBadGateway, "", 0},
	} {
		t.Run(tc.path, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			dark := newFakeEndpoint(t, func(req *receivedRequest) {
				arrived <- struct{}{}
				_, _ = req.conn.Read(make([]byte, 1)) // until the connection ends
			})
			other := newFakeEndpoint(t, func(req *receivedRequest) { req.respond("200 OK", "", "ok") })
			plan := testPlan(1)
			plan.Scheduling = planner.SchedulingDemand
			p := newTestProxy(t, plan, dark, other)
			routing := p.fleet.routing
			// The other endpoint fails until the request has arrived at the one that goes dark.
			b := registrar.Endpoint{ID: "b", Born: 1}
			routing.withChooser(func(ch *chooser.Chooser) { ch.RecordFailure(time.Now(), b) })
			responses := make(chan callerResponse, 1)
			begun := time.Now()
			go func() { responses <- p.call(t, http.MethodPost, tc.path, "x") }()
			<-arrived
			routing.withChooser(func(ch *chooser.Chooser) {
				ch.RecordUnreachable(time.Now(), registrar.Endpoint{ID: "a", Born: 1}, true)
			})
			var got callerResponse
			for got.status == 0 && got.err == nil {
				select {
				case got = <-responses:
				case <-time.After(50 * time.Millisecond):
					routing.setTotalSums(nil) // of the other routers
				}
			}
			assert.Equal(t, got.status, tc.status)
			if tc.body != "" {
				assert.Equal(t, got.body, tc.body)
			}
			assert.Equal(t, other.count(), tc.attempts)
			assert.Assert(t, time.Since(begun) < 4*time.Second, "the timeout of the route is 5 s")
		})
	}
}
