package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

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

const (
	// quietTime is how long no connection must have come before a queue is ended, which maxQuietTime bounds.
	quietTime    = 10 * time.Millisecond
	maxQuietTime = 100 * time.Millisecond
)

// StopListening accepts the connections that a listener has in its queue, and ends the queue once none has come for a
// while. A close resets what is in the queue, so that new connections are ignored before.
func StopListening(l net.Listener) (conns []net.Conn, err error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fds []int
	var acceptErr error
	deadline := time.Now().Add(maxQuietTime)
	err = raw.Control(func(fd uintptr) {
		// Where this fails, for example with Multipath TCP, a connection that comes between the two last calls is lost.
		_ = ignoreNew(int(fd))
		for {
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, c)
			case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			case errors.Is(err, unix.EAGAIN) && time.Now().Before(deadline) && isReadableWithin(fd, quietTime):
			default:
				_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // the listener is closed in any case
				if !errors.Is(err, unix.EAGAIN) {
					acceptErr = os.NewSyscallError("accept4", err)
				}
				return
			}
		}
	})
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "")
		c, connErr := net.FileConn(f) // duplicates the descriptor
		err = errors.Join(err, connErr, f.Close())
		if connErr == nil {
			conns = append(conns, c)
		}
	}
	return conns, errors.Join(err, acceptErr)
}

// isReadableWithin reports whether a descriptor becomes readable within a time.
func isReadableWithin(fd uintptr, timeout time.Duration) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, int(timeout.Milliseconds()))
	return n > 0 || errors.Is(err, unix.EINTR)
}

// tcpFlagsOffset is the offset of the flags in a TCP header.
const tcpFlagsOffset = 13

// The flags of a TCP header by which a new connection is known.
const (
	flagSYN = 0x02
	flagACK = 0x10
)

// ignoreNew makes the kernel ignore new connections to a listener, whose callers try again after a second. Those whose
// handshake has begun are completed.
func ignoreNew(fd int) error {
	const (
		drop = 0
		keep = 1 << 16
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: keep},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	return os.NewSyscallError("setsockopt", err)
}
