package socket

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// WriteAvailable writes as much as fits into the socket buffer and returns the number of bytes written, which is 0 for
// a connection that is not a socket.
func WriteAvailable(c net.Conn, b []byte) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	for n < len(b) {
		var m int
		var werr error
		if err := raw.Write(func(fd uintptr) bool {
			m, werr = unix.Write(int(fd), b[n:])
			return true
		}); err != nil {
			return n, err
		}
		switch {
		case errors.Is(werr, unix.EAGAIN):
			return n, nil
		case errors.Is(werr, unix.EINTR):
		case werr != nil:
			return n, os.NewSyscallError("write", werr)
		default:
			n += m
		}
	}
	return n, nil
}

// UnacknowledgedBytes returns the number of written bytes that the peer has not acknowledged; ok is false if it is not
// known.
func UnacknowledgedBytes(c net.Conn) (n int, ok bool) {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		var ioctlErr error
		n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		ok = ioctlErr == nil
	})
	return n, ok && err == nil
}
