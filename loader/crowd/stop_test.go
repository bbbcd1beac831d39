//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	stayingCallers = 200
	maxThink       = 100 * time.Millisecond
	freezeTime     = 200 * time.Millisecond
)

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, br *bufio.Reader) (isLast bool, err error) {
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, "POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		return true, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// Guards against a stopping program that resets connections which were established before its listener closed, or
// closes idle ones early, also when it gets no processor time for a while.
func TestStopAnswersEstablishedConnections(t *testing.T) {
	binaries := build(t)
	largeMachine := machineLimits{memoryBytes: 256 << 20, descriptors: 2048}
	noControls := []string{"127.0.0.1:1"}
	place := map[string]any{"name": "n", "region": "r", "failureDomain": "d"}
	other := func(name string, settings map[string]any) func(t *testing.T) (*program, string) {
		return func(t *testing.T) (*program, string) {
			address := freeAddress(t)
			settings["place"], settings["listen"] = place, address
			p := start(t, binaries, name, largeMachine, settings)
			p.ordinary, p.want = func() int { return call(http.MethodGet, address, "/livez", nil) }, http.StatusOK
			return p, address
		}
	}
	for _, c := range []struct {
		name     string
		start    func(t *testing.T) (*program, string)
		idleTime time.Duration // for which idle connections stay open after the signal
	}{
		{"router", other("router", map[string]any{"controls": noControls}), 5 * time.Second},
		{"agent", other("agent", map[string]any{"controls": noControls, "endpoint": "http://127.0.0.1:1", "pool": "p"}),
			3 * time.Second},
		{"control", other("control", map[string]any{"dataDir": ""}), 2 * time.Second},
		{"node", func(t *testing.T) (*program, string) {
			n := startNode(t, binaries, largeMachine)
			return n.program, n.front
		}, 7 * time.Second},
	} {
		for _, freezes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/frozen %t", c.name, freezes), func(t *testing.T) {
				p, address := c.start(t)
				p.awaitOrdinary(t, "before the stop")
				var answered, lost atomic.Int64
				stopped := make(chan struct{})
				var stoppedAt time.Time // valid once stopped is closed
				report := func(isIdle bool, isReady func(), sentAt time.Time, err error) {
					lost.Add(1)
					took := time.Since(sentAt)
					isReady()
					<-stopped
					t.Logf("idle %t, sent %s after the stop: %v after %s", isIdle, sentAt.Sub(stoppedAt), err, took)
				}
				var wg, ready sync.WaitGroup
				ready.Add(stayingCallers)
				for i := range stayingCallers {
					wg.Go(func() {
						isReady := sync.OnceFunc(ready.Done)
						defer isReady()
						for {
							conn, err := net.DialTimeout("tcp", address, waitTimeout)
							if err != nil {
								return // refused: nothing was sent
							}
							br := bufio.NewReader(conn)
							for isLast := false; !isLast; {
								sentAt := time.Now()
								if isLast, err = exchange(conn, br); err != nil {
									report(i%2 == 0, isReady, sentAt, err)
									break
								}
								answered.Add(1)
								isReady()
								if i%2 == 0 { // sends nothing more until some time after the stop began
									<-stopped
									time.Sleep(rand.N(c.idleTime * 4 / 5))
									continue
								}
								time.Sleep(rand.N(maxThink))
							}
							_ = conn.Close()
						}
					})
				}
				ready.Wait()
				ended := make(chan error, 1)
				stoppedAt = time.Now()
				go func() { ended <- p.process.Terminate() }()
				close(stopped)
				for isEnded := false; !isEnded; {
					select {
					case err := <-ended:
						assert.Check(t, err)
						isEnded = true
					case <-time.After(freezeTime / 2):
						if freezes && p.process.Freeze() == nil {
							time.Sleep(freezeTime)
							_ = p.process.Thaw() // fails once the process has ended
						}
					}
				}
				wg.Wait()
				assert.Equal(t, lost.Load(), int64(0), "of %d", answered.Load())
				t.Logf("%d answered", answered.Load())
			})
		}
	}
}
