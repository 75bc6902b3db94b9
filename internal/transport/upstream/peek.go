package upstream

import (
	"net"
	"syscall"
)

// PeerClosed reports whether the other end has closed the connection, without
// taking bytes from it. It answers false for connections without a file
// descriptor. It costs one system call.
func PeerClosed(c net.Conn) bool {
	closed, _ := peek(c)
	return closed
}

// quiet reports whether an idle connection is open and holds no unread bytes: bytes that
// arrive behind an answer belong to no request.
func quiet(c net.Conn) bool {
	closed, unread := peek(c)
	return !closed && !unread
}

func peek(c net.Conn) (closed, unread bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, false
	}
	// Control, unlike Read, works after the connection's read deadline has passed.
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
