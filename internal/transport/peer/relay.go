package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

const (
	// relayChunkBytes is the most data in one frame of a relayed connection, and the memory that a
	// relaying instance holds for each direction.
	relayChunkBytes = 16 << 10
	// relayKeepAlive is the idle time before the first keep-alive probe at the relaying end and the time
	// between probes, of which relayKeepAliveProbes may stay unanswered.
	relayKeepAlive       = time.Second
	relayKeepAliveProbes = 2
	// relayWriteTimeout bounds a write to an end that does not read.
	relayWriteTimeout = 5 * time.Second
)

// errRelayBroken reports a relayed connection that ended without a regular end of the upstream's.
var errRelayBroken = errors.Wrap(io.ErrUnexpectedEOF, "the relaying peer has closed the connection")

// OpenRelay opens a connection to an upstream through the peer at an address. It is a connection of its own
// to that peer, so that a slow upstream delays no other messages. An error means that nothing was sent to
// the upstream; a peerwire.Failure is the peer's answer.
func (n *Node) OpenRelay(ctx context.Context, to netip.AddrPort, open peerwire.RelayOpen) (*RelayConn, error) {
	s, err := n.connect(ctx, unmap(to), n.opts.RelayDialer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	conn := &RelayConn{Conn: s.conn, session: s}
	answer, err := conn.request(open)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		if failure, ok := answer.(peerwire.Failure); ok {
			err = failure
		} else if _, ok := answer.(peerwire.Done); !ok {
			err = errors.Errorf("answer of type %s", answer.Type())
		}
	}
	if err != nil {
		s.conn.Close()
		return nil, err
	}
	return conn, nil
}

// RelayConn is a connection to an upstream through a peer. It ends regularly only if the upstream has ended
// it so; if the peer or the link to it fails, reads fail. It is safe for one reader and one writer at a time.
type RelayConn struct {
	net.Conn // to the peer
	session  *session
	unread   []byte
	readErr  error // once set, all further reads fail: a frame may have been read in part
}

func (c *RelayConn) request(open peerwire.RelayOpen) (peerwire.Message, error) {
	if err := c.session.writeFrame(open); err != nil {
		return nil, err
	}
	b, err := peerwire.ReadFrame(c.session.reader, peerwire.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	f, err := peerwire.DecodeFrame(b, c.session.checkMAC)
	return f.Message, err
}

// Read implements net.Conn.
func (c *RelayConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.unread, c.readErr = c.session.readRelayed()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *RelayConn) Write(p []byte) (int, error) {
	for written := 0; ; {
		chunk := p[written:min(len(p), written+relayChunkBytes)]
		if len(chunk) == 0 {
			return written, nil
		}
		if err := c.session.writeFrame(peerwire.RelayData{Payload: chunk}); err != nil {
			return written, err
		}
		written += len(chunk)
	}
}

// Buffered returns the number of bytes that have been received and not read.
func (c *RelayConn) Buffered() int { return len(c.unread) + c.session.reader.Buffered() }

// SyscallConn gives access to the socket, so that a connection that the other end has closed is noticed.
func (c *RelayConn) SyscallConn() (syscall.RawConn, error) {
	tcp, ok := tcpConn(c.Conn)
	if !ok {
		return nil, errors.New("the connection has no socket")
	}
	return tcp.SyscallConn()
}

// SetLinger sets what happens to unsent data when the connection is closed, as net.TCPConn does.
func (c *RelayConn) SetLinger(seconds int) error {
	tcp, ok := tcpConn(c.Conn)
	if !ok {
		return errors.New("the connection has no socket")
	}
	return tcp.SetLinger(seconds)
}

func tcpConn(c net.Conn) (*net.TCPConn, bool) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}

// readRelayed reads the bytes of one frame. io.EOF means that the upstream has ended the connection.
func (s *session) readRelayed() ([]byte, error) {
	b, err := peerwire.ReadFrame(s.reader, peerwire.MaxFrameBytes)
	if err == io.EOF {
		return nil, errRelayBroken
	}
	if err != nil {
		return nil, err
	}
	f, err := peerwire.DecodeFrame(b, s.checkMAC)
	if err != nil {
		return nil, err
	}
	switch m := f.Message.(type) {
	case peerwire.RelayData:
		return m.Payload, nil
	case peerwire.RelayEnd:
		return nil, io.EOF
	}
	return nil, errors.Errorf("message of type %s on a relayed connection", f.Message.Type())
}

func (s *session) writeFrame(m peerwire.Message) error {
	b, err := peerwire.AppendFrame(nil, peerwire.Frame{Message: m}, s.sendMAC)
	if err != nil {
		return err
	}
	_, err = s.conn.Write(b)
	return err
}

// Relays returns the number of connections that this instance relays. Whether a request is in progress on one
// is known at the other end only, which closes those that it needs no more when this instance leaves.
func (n *Node) Relays() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays
}

// addRelay counts one more relay unless there are MaxRelays of them.
func (n *Node) addRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relays >= n.opts.MaxRelays {
		return false
	}
	n.relays++
	return true
}

func (n *Node) removeRelay() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays--
}

// serveRelay connects to the upstream and relays bytes until one end closes.
func (n *Node) serveRelay(s *session, open peerwire.RelayOpen) {
	upstream, err := n.acceptRelay(s, open)
	if err != nil {
		// The peer tries another instance; if this answer is lost, it does so after a time-out.
		_ = s.writeFrame(peerwire.Failure{Reason: err.Error()})
		return
	}
	defer n.removeRelay()
	defer upstream.Close()
	stop := context.AfterFunc(n.ctx, func() { upstream.Close() })
	defer stop()
	if s.writeFrame(peerwire.Done{}) != nil || s.conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	var fromPeer sync.WaitGroup
	fromPeer.Go(func() {
		defer resetConn(upstream) // the peer has left: nothing of its request may arrive later
		relayToUpstream(s, upstream)
	})
	relayFromUpstream(s, upstream)
	s.conn.Close()
	fromPeer.Wait()
}

// resetConn closes a connection and drops what the network still holds back of it.
func resetConn(c net.Conn) {
	if tcp, ok := tcpConn(c); ok {
		// The connection may have been closed already; then there is nothing to hold back.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (n *Node) acceptRelay(s *session, open peerwire.RelayOpen) (net.Conn, error) {
	if n.opts.Relay == nil {
		return nil, errors.New("this instance relays nothing")
	}
	if tcp, ok := tcpConn(s.conn); ok {
		config := net.KeepAliveConfig{Enable: true, Idle: relayKeepAlive, Interval: relayKeepAlive, Count: relayKeepAliveProbes}
		if err := tcp.SetKeepAliveConfig(config); err != nil {
			return nil, errors.Wrap(err, "enable keep-alive probes")
		}
	}
	if !n.addRelay() {
		return nil, errors.New("too many relayed connections")
	}
	upstream, err := n.opts.Relay(n.ctx, s.peer, open)
	if err != nil {
		n.removeRelay()
		return nil, err
	}
	return upstream, nil
}

// relayToUpstream relays until the peer closes the connection or the upstream takes no more.
func relayToUpstream(s *session, upstream net.Conn) {
	for {
		data, err := s.readRelayed()
		if err != nil || s.closedByPeer() {
			return
		}
		if upstream.SetWriteDeadline(time.Now().Add(relayWriteTimeout)) != nil {
			return
		}
		if _, err := upstream.Write(data); err != nil {
			return
		}
	}
}

// States of a connection in TCP_INFO.
const (
	tcpStateUnknown = 0 // the kernel does not tell
	tcpEstablished  = 1
	tcpClosed       = 7 // by both ends, or by a reset
)

// tcpState returns the state of a connection.
func tcpState(c net.Conn) uint8 {
	tcp, ok := tcpConn(c)
	if !ok {
		return tcpStateUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return tcpClosed
	}
	var state uint8
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if err != nil {
		return tcpClosed
	}
	return state
}

// closedByPeer reports whether the peer has closed the connection, though bytes from before may be unread: they
// are of a request that was given up while this process was paused. Where the kernel does not tell, it
// returns false.
func (s *session) closedByPeer() bool {
	state := tcpState(s.conn)
	return state != tcpStateUnknown && state != tcpEstablished
}

// relayFromUpstream relays until the upstream ends the connection. Only a regular end is passed on as such.
func relayFromUpstream(s *session, upstream net.Conn) {
	buf := make([]byte, relayChunkBytes)
	for {
		count, err := upstream.Read(buf)
		if s.conn.SetWriteDeadline(time.Now().Add(relayWriteTimeout)) != nil {
			return
		}
		if count > 0 {
			if s.writeFrame(peerwire.RelayData{Payload: buf[:count]}) != nil {
				return
			}
		}
		// A write that noticed a reset has taken its error, so that the next read returns io.EOF.
		if err == io.EOF && tcpState(upstream) != tcpClosed {
			_ = s.writeFrame(peerwire.RelayEnd{}) // if it is lost, the peer sees a broken connection
		}
		if err != nil {
			return
		}
	}
}
