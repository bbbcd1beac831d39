package socket

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a listener that establishes connections while it ends, which its close resets.
func TestListenerIgnoresNewConnections(t *testing.T) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	ln, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	before, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = before.Close() }()
	raw, err := ln.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var filterErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { filterErr = ignoreNew(int(fd)) }))
	if errors.Is(filterErr, unix.EPERM) || errors.Is(filterErr, unix.EOPNOTSUPP) {
		t.Skip("the kernel refuses socket filters: ", filterErr)
	}
	assert.NilError(t, filterErr)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	_, err = before.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
}
