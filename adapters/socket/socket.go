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
			m, werr = syscall.Write(int(fd), b[n:]) // which the race detector knows, unlike that of unix
			return true
		}); err != nil {
			return n, err
		}
		switch {
		case errors.Is(werr, syscall.EAGAIN):
			return n, nil
		case errors.Is(werr, syscall.EINTR):
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

// HasEnded reports whether the peer has closed a connection whose data has been read up to there. It does not wait,
// also not for a read in progress.
func HasEnded(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hasEnded := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil:
			hasEnded = n == 0
		case !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR):
			hasEnded = true
		}
	})
	return err != nil || hasEnded
}
