package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/forwarder"
)

// Guards against connections that only look open, because the network to their endpoint was cut, and that are taken for
// a sign that the endpoint has not restarted meanwhile.
func TestOpenConnectionsProveNothingAfterACut(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		outcome forwarder.Outcome
		isKnown bool
	}{
		{"refused", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, forwarder.NotSent, true},
		{"reset", &net.OpError{Op: "read", Err: syscall.ECONNRESET}, forwarder.Unknown, true},
		{"not acknowledged", &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, forwarder.Unknown, false},
		{"no answer to the dial", &net.OpError{Op: "dial", Err: context.DeadlineExceeded}, forwarder.NotSent, false},
		{"another failure", errors.New("malformed response"), forwarder.Unknown, true},
	} {
		p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, respondOK))
		e := p.fleet.Endpoints()[0]
		assert.NilError(t, p.pool.Open(t.Context(), e.Address))
		time.Sleep(10 * time.Millisecond)
		p.recordProcessEnd(e, c.outcome, &forwarder.Error{Outcome: c.outcome, Cause: c.err}, time.Now(), time.Time{})
		assert.Equal(t, p.isVersionKnown(t.Context(), e), c.isKnown, c.name)
	}
}
