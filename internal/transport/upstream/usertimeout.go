package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnreadBytes is the longest body that fits into the receive window of an upstream that does not read. The kernel
// counts data that waits for a closed window as unacknowledged, although the upstream has only paused.
const maxUnreadBytes = 32 << 10

// liftUserTimeout lets sent data stay unacknowledged on a connection until restore is called. It has no effect on a
// connection without a socket.
func liftUserTimeout(c net.Conn) (restore func()) {
	before := 0
	withSocket(c, func(fd int) {
		if value, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err == nil {
			before = value
		}
		// If it fails, the timeout stays.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0)
	})
	return func() {
		withSocket(c, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, before) })
	}
}

// LiftUserTimeout lets sent data stay unacknowledged on a connection.
func LiftUserTimeout(c net.Conn) { liftUserTimeout(c) }

func withSocket(c net.Conn, use func(fd int)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) }) // it fails only if the connection is closed
}
