package exchanger

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestDiscovery(name string) *Discovery {
	return NewDiscovery(Contact{Name: name}, false, func() []Contact { return nil }, func(_, _ []Contact) {})
}

// Guards against processes that start together after a power failure and find nobody for a second: the first packet to
// a machine that is not up yet is lost, and its repetition by the kernel comes later than a new exchange would.
func TestExchangeWithAMachineThatIsNotUpEndsEarly(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for isFull := false; !isFull; { // connects beyond the queue of the listener get no answer
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if isFull = err != nil; !isFull {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	d := newTestDiscovery("a")
	begun := time.Now()
	assert.Assert(t, d.ExchangeContacts(context.Background(), address) != nil)
	assert.Assert(t, time.Since(begun) < discoveryTimeout*2/3, "%s", time.Since(begun))
}

// Guards against exchanges that give up a process which runs, but is short of processor time.
func TestExchangeWithASlowProcessSucceeds(t *testing.T) {
	seed := newTestDiscovery("seed")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(discoveryConnectTimeout + 100*time.Millisecond)
		seed.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	d := newTestDiscovery("a")
	assert.NilError(t, d.ExchangeContacts(context.Background(), strings.TrimPrefix(s.URL, "http://")))
}
