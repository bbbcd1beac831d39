package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/registrar"
)

// crashListener is a listener whose connections can be reset together, as the end of their process does.
type crashListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *crashListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *crashListener) crash() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// restartingEndpoint is a fake endpoint that can crash and start again at its address with another version.
type restartingEndpoint struct {
	*fakeEndpoint

	t        *testing.T
	listener *crashListener
}

func newRestartingEndpoint(t *testing.T, version string) *restartingEndpoint {
	e := &restartingEndpoint{t: t}
	e.start("127.0.0.1:0", version)
	t.Cleanup(func() { _ = e.listener.Close() })
	return e
}

func (e *restartingEndpoint) start(address, version string) {
	ln, err := net.Listen("tcp", address)
	assert.NilError(e.t, err)
	e.listener = &crashListener{Listener: ln}
	stream := versionedStream(version)
	e.fakeEndpoint = serveFakeEndpoint(e.listener, func(req *receivedRequest) {
		switch {
		case strings.HasPrefix(req.r.RequestURI, "/safe/hold"):
			_, _ = req.conn.Read(make([]byte, 1)) // until the connection ends
		case strings.HasPrefix(req.r.RequestURI, "/safe/"):
			respondOK(req)
		default:
			stream(req)
		}
	})
}

// restartDelay is how long a crashed endpoint takes to start again.
const restartDelay = 300 * time.Millisecond

// Guards against a stream that goes on at an endpoint whose process has ended since its last heartbeat and that has
// started again in another version, and against one that began there and goes on at the version of that heartbeat.
func TestStreamIsNotJoinedWithARestartedEndpoint(t *testing.T) {
	for _, c := range []struct {
		name              string
		before, whileDown string // requests at endpoint a before it crashes, and before it has started again
	}{
		{"a request was in progress", "/safe/hold", ""},
		{"a kept connection was reset", "/safe/", ""},
		{"connections were refused", "", "/safe/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newRestartingEndpoint(t, "v1"), newRestartingEndpoint(t, "v1")
			p := newTestProxy(t, testPlan(1), a.fakeEndpoint, b.fakeEndpoint)
			all := p.fleet.Endpoints()
			for i := range all {
				all[i].Version, all[i].Sequence = "v1", 2
			}
			p.fleet.mergeEndpoints(all, "test")
			repeat := func(path string, until func() bool) {
				var wg sync.WaitGroup
				for range 20 {
					wg.Go(func() { p.call(t, http.MethodPost, path, "x") })
				}
				eventually(t, path, until)
				a.listener.crash()
				wg.Wait()
			}
			first := a.fakeEndpoint
			switch {
			case c.before == "/safe/hold":
				// The other endpoint's requests would last until the timeout.
				for p.fleet.routing.ownLoads()["a"].Requests == 0 {
					go p.call(t, http.MethodPost, c.before, "x")
					time.Sleep(5 * time.Millisecond)
				}
				eventually(t, "request in progress", func() bool { return first.count() > 0 })
				a.listener.crash()
			case c.before != "":
				repeat(c.before, func() bool { return first.count() > 0 })
			default:
				a.listener.crash()
			}
			for range 4 {
				if c.whileDown != "" {
					p.call(t, http.MethodPost, c.whileDown, "x")
				}
			}
			time.Sleep(restartDelay)
			a.start(a.address, "v2")
			for i := 0; i < 40 || a.count() == 0; i++ { // the endpoint is avoided for some time
				got := p.call(t, http.MethodPost, "/resume/", itoa(i))
				versions := versionsIn(got.body)
				assert.Assert(t, len(versions) == 0 || isOneVersion(versions), "%q", got.body)
				time.Sleep(10 * time.Millisecond)
			}
			// A caller that does not name its stream has it from the only version that was known.
			for range 20 {
				got := p.call(t, http.MethodPost, "/resume/", "again", "Last-Event-Id", "1")
				for _, v := range versionsIn(got.body) {
					assert.Equal(t, v, "v1", "%q", got.body)
				}
			}

			// Its heartbeat tells the version.
			c := newRestartingEndpoint(t, "v2")
			p.fleet.mergeEndpoints([]registrar.Endpoint{
				{ID: "a", Service: "s", Address: a.address, Domain: "d", Version: "v2", State: registrar.Ready, Born: 2},
				{ID: "c", Service: "s", Address: c.address, Domain: "d", Version: "v2", State: registrar.Ready, Born: 2},
			}, "test")
			complete := 0
			for i := range 40 {
				got := p.call(t, http.MethodPost, "/resume/", itoa(100+i))
				versions := versionsIn(got.body)
				assert.Assert(t, len(versions) == 0 || isOneVersion(versions), "%q", got.body)
				if len(versions) == versionedEvents {
					complete++
				}
			}
			assert.Assert(t, complete > 0)
		})
	}
}

// Guards against streams that don't go on because endpoints break off single responses, which looks like the end of
// their processes, and that are the only ones on their endpoints.
func TestStreamsGoOnWhileEndpointsBreakOff(t *testing.T) {
	const delay = minRestartTime + 50*time.Millisecond // between events
	handle := func(req *receivedRequest) {
		if req.r.Header.Get("Last-Event-Id") != "" {
			req.respond("200 OK", "Content-Type: text/event-stream\r\n", testEvent(2))
			return
		}
		time.Sleep(delay)
		_, _ = fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			streamType, len(testEvent(1)), testEvent(1))
		time.Sleep(delay)
		_ = req.conn.(*net.TCPConn).SetLinger(0)
		_ = req.conn.Close()
	}
	p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, handle), newFakeEndpoint(t, handle))
	all := p.fleet.Endpoints()
	for i := range all {
		all[i].Version, all[i].Sequence = "v1", 2
	}
	p.fleet.mergeEndpoints(all, "test")
	for i := range 6 {
		got := p.call(t, http.MethodPost, "/resume/", itoa(i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, testEvent(1)+testEvent(2))
	}
}
