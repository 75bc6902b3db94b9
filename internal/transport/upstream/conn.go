package upstream

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which the kernel
// closes the connection.
const keepAliveProbes = 2

// receiveBufferBytes bounds the bytes that a connection has received and nobody has read: they count
// toward the memory of the machine, and the kernel would let them grow to megabytes for each connection.
// A response still arrives at 1 MB/s over a round trip of 100 ms.
const receiveBufferBytes = 128 << 10

// Dialer returns a dial function whose connections the kernel closes when the other end, or
// a middlebox between the two ends, no longer has state for them. Their receive buffers are bounded.
func Dialer(userTimeout, keepAliveInterval time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) { err = setSocketOptions(int(fd), userTimeout) })
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// setSocketOptions sets the options of a socket that is not connected yet: the window that is announced
// to the other end depends on the receive buffer.
func setSocketOptions(fd int, userTimeout time.Duration) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}

// conn is a connection with its read and write buffers.
type conn struct {
	net.Conn
	reader           *bufio.Reader
	writer           *bufio.Writer
	written          atomic.Bool
	readAllowance    int           // bytes that may still be read for the current call; see allowRead
	lastUsed         time.Time     // the upstream has sent the last bytes then, or later
	lastRead         time.Time     // when the last read ended, or the request was written
	keepAliveTimeout time.Duration // announced by the upstream
	keepAliveStated  bool          // the upstream has announced keepAliveTimeout
	reused           bool
	requests         int  // sent on it
	singleUse        bool // a response on it named no request
}

// Write records that bytes may have been sent, then writes them.
func (cn *conn) Write(p []byte) (int, error) {
	cn.written.Store(true)
	cn.lastRead = time.Now()
	return cn.Conn.Write(p)
}

// abandon closes the connection of an exchange that has not completed. It resets the connection, so that a
// request which the network still holds back does not reach the upstream after it was given up.
func (cn *conn) abandon() {
	if c, ok := cn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// The connection may have been closed already; then there is nothing to hold back.
		_ = c.SetLinger(0)
	}
	cn.Close()
}

const (
	// maxFramingBytes bounds what is read beside the data of a body: chunk sizes and extensions,
	// trailers. maxFramingFactor allows for chunks of few bytes.
	maxFramingBytes  = 64 << 10
	maxFramingFactor = 8
)

// awaitedReadTime is how long a read takes at least that has waited for its bytes.
const awaitedReadTime = time.Millisecond

// errEndlessFraming reports an upstream that sends bytes which are neither data nor the end.
var errEndlessFraming = errors.New("the response has no end")

// allowRead limits the bytes that are read from the connection for the next n bytes of data.
func (cn *conn) allowRead(n int) { cn.readAllowance = maxFramingFactor*n + maxFramingBytes }

// Read implements io.Reader for the response parser, which goes on reading while it skips bytes.
func (cn *conn) Read(p []byte) (int, error) {
	if cn.readAllowance <= 0 {
		return 0, errEndlessFraming
	}
	began := time.Now()
	n, err := cn.Conn.Read(p)
	ended := time.Now()
	if ended.Sub(began) >= awaitedReadTime {
		cn.lastUsed = ended
	} else {
		cn.lastUsed = cn.lastRead // the bytes have arrived since the read before
	}
	cn.lastRead = ended
	cn.readAllowance -= n
	return n, err
}
