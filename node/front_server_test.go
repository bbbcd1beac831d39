package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
)

// Guards against servers of former limits that are kept for ever, and against one that is dropped with open
// connections, which a shutdown would cut off.
func TestServersOfFormerLimitsAreRemoved(t *testing.T) {
	limits := planner.Limits{}
	s := &frontServer{handler: http.NotFoundHandler(), limits: func() planner.Limits { return limits }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	s.updateLimits(ln.Addr())
	go s.acceptLoop(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	for range 20 {
		limits.BodyBytes++
		s.updateLimits(ln.Addr())
	}
	s.updateLimits(ln.Addr())
	assert.Equal(t, len(s.servers), 2) // the current one and that of the open connection
	assert.NilError(t, c.Close())
	eventually(t, "removal of the former server", func() bool {
		s.updateLimits(ln.Addr())
		return len(s.servers) == 1
	})
}

// failingListener fails to accept until it is closed.
type failingListener struct {
	net.Listener

	failures chan error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if err, ok := <-l.failures; ok {
		return nil, err
	}
	return nil, net.ErrClosed
}

// Guards against failed accepts that nobody can see, for example for lack of file descriptors.
func TestFailedAcceptsAreReported(t *testing.T) {
	l := &failingListener{failures: make(chan error, 1)}
	want := errors.New("too many open files")
	l.failures <- want
	close(l.failures)
	var got error
	(&frontServer{onAcceptError: func(err error) { got = err }}).acceptLoop(l)
	assert.Equal(t, got, want)
}

// Guards against a failure domain that stays in service because the plan in the same state can't be decoded.
func TestUndecodablePlanDoesNotHideTheRestOfTheState(t *testing.T) {
	p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, respondOK))
	f := p.fleet
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.publishViews(ctx) }()
	broken := encodedTestPlan(t, 2)
	broken.Content = []byte("{")
	f.receiveState(5, &broken, map[string]bool{"d": true}, nil, stateFromLog)
	eventually(t, "the failure domain is out of service", func() bool { return f.view.Load().takenOut["d"] })
	assert.Equal(t, f.view.Load().plan.Version, uint64(1))
	assert.Equal(t, p.call(t, http.MethodGet, "/safe/", "").status, http.StatusServiceUnavailable)
}
