package upstream

import (
	"net"
	"syscall"
)

// PeerClosed reports whether the other end has closed the connection, without
// consuming bytes from it. It returns false for connections without a file
// descriptor. It costs one system call.
func PeerClosed(c net.Conn) bool {
	closed, _ := peekSocket(c)
	return closed
}

// HasUnread reports whether bytes have arrived on the connection that have not been read. It returns false for
// connections without a file descriptor. It costs one system call.
func HasUnread(c net.Conn) bool {
	_, unread := peekSocket(c)
	return unread
}

// isReusable reports whether an idle connection is open and holds no unread bytes: bytes
// that arrive after a response belong to no request. A connection with a method Reusable decides, too.
func isReusable(c net.Conn) bool {
	if !allowsReuse(c) {
		return false
	}
	closed, unread := peekSocket(c)
	return !closed && !unread
}

// allowsReuse returns what the method Reusable of the connection says, if it has one.
func allowsReuse(c net.Conn) bool {
	own, ok := c.(interface{ Reusable() bool })
	return !ok || own.Reusable()
}

// peekSocket looks at the receive buffer of the socket without consuming it.
func peekSocket(c net.Conn) (closed, unread bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, false
	}
	// Control, unlike Read, also works after the connection's read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			closed = true
		default:
			unread = true
		}
	})
	return closed || err != nil, unread
}
