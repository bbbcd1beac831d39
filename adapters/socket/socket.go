package socket

import (
	"errors"
	"io"
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

// ReadArrived reads what has arrived, also after the read deadline; os.ErrDeadlineExceeded means that it is nothing.
func ReadArrived(c net.Conn, b []byte) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Control(func(fd uintptr) { n, readErr = syscall.Read(int(fd), b) }); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
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
	n, err := peek(c)
	return err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) &&
		!errors.Is(err, errors.ErrUnsupported)
}

// HasUnread reports whether data of the peer has arrived that was not read; it does not wait.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek returns the number of bytes that can be read, at most 1; it is 0 at the end.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
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
