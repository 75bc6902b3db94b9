package peer

import (
	"bufio"
	"crypto/rand"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// session is an authenticated connection whose goroutines have not started yet.
type session struct {
	conn     net.Conn
	reader   *bufio.Reader
	peer     peerwire.Identity
	sendMAC  *peerwire.FrameMAC // nil with TLS
	checkMAC *peerwire.FrameMAC
}

func isLoopback(a net.Addr) bool {
	p, err := netip.ParseAddrPort(a.String())
	return err == nil && p.Addr().Unmap().IsLoopback()
}

func newNonce() []byte {
	b := make([]byte, peerwire.NonceSize)
	rand.Read(b) // never returns an error; it ends the program instead
	return b
}

func (s *session) write(m peerwire.Message) error {
	b, err := peerwire.AppendFrame(nil, peerwire.Frame{Message: m}, nil)
	if err != nil {
		return err
	}
	_, err = s.conn.Write(b)
	return err
}

// readFrame reads one frame within the timeout.
func (s *session) readFrame(timeout time.Duration) (peerwire.Frame, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return peerwire.Frame{}, err
	}
	b, err := peerwire.ReadFrame(s.reader, peerwire.MaxFrameBytes)
	if err != nil {
		return peerwire.Frame{}, err
	}
	return peerwire.DecodeFrame(b, s.checkMAC)
}

func (s *session) readHello() (peerwire.Hello, error) {
	b, err := peerwire.ReadFrame(s.reader, peerwire.MaxHandshakeFrameBytes)
	if err != nil {
		return peerwire.Hello{}, err
	}
	f, err := peerwire.DecodeFrame(b, nil)
	if err != nil {
		return peerwire.Hello{}, err
	}
	h, ok := f.Message.(peerwire.Hello)
	if !ok {
		return h, errors.Errorf("received %s instead of a hello", f.Message.Type())
	}
	return h, nil
}

// handshakeClient sends a hello, verifies the proof of the server and sends its own.
func (n *Node) handshakeClient(c net.Conn) (*session, error) {
	s := &session{conn: c, reader: bufio.NewReader(c)}
	if err := c.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout)); err != nil {
		return nil, err
	}
	handshake := peerwire.Handshake{Client: n.self, ClientNonce: newNonce()}
	if err := s.write(peerwire.Hello{Identity: n.self, Nonce: handshake.ClientNonce}); err != nil {
		return nil, err
	}
	answer, err := s.readHello()
	if err != nil {
		return nil, err
	}
	handshake.Server, handshake.ServerNonce, s.peer = answer.Identity, answer.Nonce, answer.Identity
	proof := peerwire.Hello{Identity: n.self}
	if n.certificates == nil {
		key := n.opts.Keys.Verify(handshake.Transcript(peerwire.Server), answer.MAC)
		if key == nil || len(answer.Nonce) != peerwire.NonceSize {
			return nil, peerwire.ErrUnauthenticated
		}
		proof.MAC = peerwire.SignWith(key, handshake.Transcript(peerwire.Client))
		s.sendMAC = peerwire.NewFrameMAC(key, handshake, peerwire.Client)
		s.checkMAC = peerwire.NewFrameMAC(key, handshake, peerwire.Server)
	}
	if err := s.write(proof); err != nil {
		return nil, err
	}
	return s, c.SetDeadline(time.Time{})
}

// handshakeServer answers a hello and verifies the proof of the client.
func (n *Node) handshakeServer(c net.Conn) (*session, error) {
	s := &session{conn: c, reader: bufio.NewReader(c)}
	if err := c.SetDeadline(time.Now().Add(n.opts.HandshakeTimeout)); err != nil {
		return nil, err
	}
	hello, err := s.readHello()
	if err != nil {
		return nil, err
	}
	handshake := peerwire.Handshake{Client: hello.Identity, ClientNonce: hello.Nonce, Server: n.self, ServerNonce: newNonce()}
	answer := peerwire.Hello{Identity: n.self, Nonce: handshake.ServerNonce}
	if n.certificates == nil {
		answer.MAC = n.opts.Keys.Sign(handshake.Transcript(peerwire.Server))
	}
	if err := s.write(answer); err != nil {
		return nil, err
	}
	proof, err := s.readHello()
	if err != nil {
		return nil, err
	}
	if n.certificates == nil {
		key := n.opts.Keys.Verify(handshake.Transcript(peerwire.Client), proof.MAC)
		if key == nil {
			return nil, peerwire.ErrUnauthenticated
		}
		s.sendMAC = peerwire.NewFrameMAC(key, handshake, peerwire.Server)
		s.checkMAC = peerwire.NewFrameMAC(key, handshake, peerwire.Client)
	}
	s.peer = hello.Identity
	return s, c.SetDeadline(time.Time{})
}
