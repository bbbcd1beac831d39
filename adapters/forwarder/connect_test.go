package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silentAddress returns an address at which connects get no answer: the queue of its listener is full.
func silentAddress(t *testing.T) (address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the queue of the listener does not fill")
	return ""
}

// newMeasuredPool returns a pool that has measured connects of a millisecond for the group "d".
func newMeasuredPool() *Pool {
	p := NewPool(DefaultLimits())
	for range minConnects {
		p.connects.add("d", time.Millisecond)
	}
	return p
}

// Guards against requests that spend most of their time on a connect to an endpoint that is down, one after the other.
func TestSlowConnectIsGivenUp(t *testing.T) {
	address := silentAddress(t)
	p := newMeasuredPool()
	ended := make(chan error, 1)
	for i := range 2 {
		r := newRequest(address, "1", nil)
		r.ConnectGroup, r.OnConnect = "d", func(err error) { ended <- err }
		begun := time.Now()
		_, err := p.Send(context.Background(), r) //nolint:bodyclose // fails
		assert.Assert(t, errors.Is(err, ErrSlowConnect), "%d: %v", i, err)
		var sendErr *Error
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.Outcome == NotSent)
		assert.Assert(t, time.Since(begun) < dialTimeout/2)
	}
	assert.Assert(t, <-ended != nil)
	assert.Equal(t, len(ended), 0, "only one connect goes on at a time")
	assert.Equal(t, p.DialCount(), uint64(0))
}

// Guards against the waste of a connection that was established late.
func TestLateConnectionIsKept(t *testing.T) {
	p := newMeasuredPool()
	address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for r, _ := readRequest(br); r != nil; r, _ = readRequest(br) {
			_, _ = c.Write([]byte(formatResponse(r.Header.Get("X-Id"), "ok")))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan error, 1)
	r := newRequest(address, "1", nil)
	r.ConnectGroup, r.OnConnect = "d", func(err error) { ended <- err }
	if c, err := p.dialWithin(ctx, r); err == nil { // was established before the end of ctx was seen
		p.putIdle(c, defaultIdleTimeout)
	} else {
		assert.NilError(t, <-ended)
	}
	assert.Equal(t, sendAndRead(t, p, newRequest(address, "2", nil)), "ok")
	assert.Equal(t, p.DialCount(), uint64(1))
}

// Guards against connect bounds below what a loaded endpoint or a starved router needs, and above the old one.
func TestConnectWaitFollowsMeasuredTimes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		connects []time.Duration
		min, max time.Duration
	}{
		{"nothing measured", nil, dialTimeout, dialTimeout},
		{"fast", []time.Duration{time.Millisecond, time.Millisecond, 2 * time.Millisecond, time.Millisecond},
			minConnectWait, minConnectWait},
		{"uneven", []time.Duration{time.Millisecond, 80 * time.Millisecond, time.Millisecond, 90 * time.Millisecond,
			time.Millisecond, 70 * time.Millisecond}, 70 * time.Millisecond, dialTimeout},
		{"slow", []time.Duration{time.Second, time.Second, time.Second, time.Second}, dialTimeout, dialTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var times connectTimes
			for _, d := range tc.connects {
				times.add(d)
			}
			wait := times.wait()
			assert.Assert(t, wait >= tc.min && wait <= tc.max, "%v", wait)
		})
	}
}

// Guards against requests that wait for their deadline at an endpoint that all routers know to be unreachable.
func TestLostExchangeEnds(t *testing.T) {
	for _, started := range []bool{false, true} {
		address := serve(t, func(_ int, c net.Conn, br *bufio.Reader) {
			r, _ := readRequest(br)
			if started {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Length: 9\r\n\r\nabc"))
			}
			_, _ = readRequest(br) // until the connection ends
		})
		p := NewPool(DefaultLimits())
		r := newRequest(address, "1", nil)
		r.IsLost = func(heardAt time.Time) bool { return heardAt.IsZero() != started }
		begun := time.Now()
		resp, err := p.Send(context.Background(), r)
		if started {
			assert.NilError(t, err)
			buf := make([]byte, 9)
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
			assert.NilError(t, resp.Body.Close())
		} else {
			var sendErr *Error
			assert.Assert(t, errors.As(err, &sendErr) && sendErr.Outcome == Unknown)
		}
		assert.Assert(t, errors.Is(err, ErrLost), "%v", err)
		assert.Assert(t, time.Since(begun) < testTimeout/2)
	}
}
