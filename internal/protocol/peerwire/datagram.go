package peerwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

const (
	// MaxDatagram is the largest datagram in bytes. It fits into one packet on any
	// path with an MTU of 1,280.
	MaxDatagram = 1200
	// MaxSenders bounds the replay windows. The least recently heard one goes first.
	MaxSenders = 4096

	datagramHead = 1 + 16 + 8
	windowBits   = 256
)

// DatagramStats counts what a Datagrams has encoded and decoded.
type DatagramStats struct {
	Sealed, Opened                                             uint64
	Unauthenticated, Truncated, Oversized, Malformed, Replayed uint64
}

// Datagrams encodes and decodes the datagrams of one process. It is safe for
// concurrent use.
type Datagrams struct {
	keys *KeyList
	self membership.Process

	mu      sync.Mutex
	seq     uint64
	stats   DatagramStats
	windows *windows
}

// NewDatagrams returns the codec of a process. Its sequence starts at 1, so a process
// must not be given the identifier of an earlier one.
func NewDatagrams(keys *KeyList, self membership.Process) *Datagrams {
	return &Datagrams{keys: keys, self: self, windows: newWindows(MaxSenders)}
}

// Stats returns the counters.
func (d *Datagrams) Stats() DatagramStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Seal encodes and signs a message.
func (d *Datagrams) Seal(m membership.Message) ([]byte, error) {
	d.mu.Lock()
	d.seq++
	seq := d.seq
	d.mu.Unlock()
	head := make([]byte, datagramHead, MaxDatagram)
	head[0] = Version
	copy(head[1:], d.self[:])
	binary.BigEndian.PutUint64(head[17:], seq)
	buf := bytes.NewBuffer(head)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	w := writer{enc: enc}
	w.message(m)
	if w.err != nil {
		return nil, errors.Wrap(w.err, "encode datagram")
	}
	if buf.Len()+macSize > MaxDatagram {
		return nil, ErrTooLarge
	}
	out := append(buf.Bytes(), d.keys.Sign(buf.Bytes())...)
	d.mu.Lock()
	d.stats.Sealed++
	d.mu.Unlock()
	return out, nil
}

// Open verifies and decodes a datagram. The MAC is checked before anything is
// decoded, and the window is moved only for authentic datagrams.
func (d *Datagrams) Open(b []byte) (membership.Message, error) {
	m, err := d.open(b)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch errors.Cause(err) {
	case nil:
		d.stats.Opened++
	case ErrTruncated:
		d.stats.Truncated++
	case ErrTooLarge:
		d.stats.Oversized++
	case ErrUnauthenticated:
		d.stats.Unauthenticated++
	case ErrReplayed:
		d.stats.Replayed++
	default:
		d.stats.Malformed++
	}
	return m, err
}

func (d *Datagrams) open(b []byte) (membership.Message, error) {
	var none membership.Message
	switch {
	case len(b) < datagramHead+macSize:
		return none, ErrTruncated
	case len(b) > MaxDatagram:
		return none, ErrTooLarge
	case b[0] != Version:
		return none, ErrVersion
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if d.keys.Verify(body, mac) == nil {
		return none, ErrUnauthenticated
	}
	var sender membership.Process
	copy(sender[:], b[1:])
	seq := binary.BigEndian.Uint64(b[17:])
	d.mu.Lock()
	fresh := d.windows.accept(sender, seq)
	d.mu.Unlock()
	if !fresh {
		return none, ErrReplayed
	}
	r := bytes.NewReader(body[datagramHead:])
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	rd := reader{dec: dec}
	m := rd.message()
	if rd.err == io.EOF || rd.err == io.ErrUnexpectedEOF {
		return none, ErrTruncated
	}
	if rd.err != nil {
		return none, errors.Wrap(ErrMalformed, rd.err.Error())
	}
	if r.Len() > 0 || m.From.Incarnation.Process != sender {
		return none, ErrMalformed
	}
	return m, nil
}
