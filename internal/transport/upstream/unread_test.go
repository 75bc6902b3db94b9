package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// unreadBytes returns the number of bytes that the socket has received and nobody has read.
func unreadBytes(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("the connection has no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, ioctlErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err == nil {
		err = ioctlErr
	}
	return n, err
}

// Guards against bytes that wait in the kernel and use up the memory of a machine with some hundreds of
// connections: the receive buffer of a connection that was read fast grows to megabytes, which fill once
// the reader pauses, as one whose caller is slow does.
func TestBytesOfAPausedBodyAreBoundedInTheKernel(t *testing.T) {
	// The kernel doubles the option, and still takes the packet that exceeds the buffer.
	const readBytes, maxUnreadBytes = 256 << 20, 320 << 10
	address, _ := serveBytes(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	dial, dialed := Dialer(5*time.Second, 2*time.Second), net.Conn(nil)
	c := New(address, Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		dialed = conn
		return conn, err
	}})
	defer c.Close()
	request := &fasthttp.Request{}
	request.SetRequestURI("http://" + address + "/")
	response, err := c.Do(t.Context(), Call{Request: request})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Release(false)
	if _, err := io.CopyBuffer(io.Discard, io.LimitReader(struct{ io.Reader }{response.Body(0)}, readBytes), make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // the sender fills the buffer
	unread, err := unreadBytes(dialed)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes wait in the kernel", unread)
	if unread == 0 || unread > maxUnreadBytes {
		t.Errorf("%d bytes wait in the kernel, want some and at most %d", unread, maxUnreadBytes)
	}
}
