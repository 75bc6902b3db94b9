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
	// MaxDatagramBytes is the largest datagram. It fits into one packet on any path with an
	// MTU of 1,280 bytes.
	MaxDatagramBytes = 1200
	// MaxSenders bounds the replay windows; the least recently active sender is evicted.
	MaxSenders = 4096

	datagramHeaderSize = 1 + 16 + 8
	windowBits         = 256
)

// DatagramStats holds the counters of a [DatagramCodec].
type DatagramStats struct {
	Sealed, Opened                                             uint64
	Unauthenticated, Truncated, Oversized, Malformed, Replayed uint64
}

// DatagramCodec encodes and decodes the datagrams of one process. It is safe for concurrent
// use.
type DatagramCodec struct {
	keys *KeyList
	self membership.Process

	mu      sync.Mutex
	seq     uint64
	stats   DatagramStats
	windows *replayWindows
}

// NewDatagramCodec returns the codec of a process. Sequence numbers start at 1, so a process
// must not reuse the identifier of an earlier one.
func NewDatagramCodec(keys *KeyList, self membership.Process) *DatagramCodec {
	return &DatagramCodec{keys: keys, self: self, windows: newReplayWindows(MaxSenders)}
}

// Stats returns the counters.
func (d *DatagramCodec) Stats() DatagramStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Seal encodes and authenticates a message.
func (d *DatagramCodec) Seal(m membership.Message) ([]byte, error) {
	d.mu.Lock()
	d.seq++
	seq := d.seq
	d.mu.Unlock()
	header := make([]byte, datagramHeaderSize, MaxDatagramBytes)
	header[0] = Version
	copy(header[1:], d.self[:])
	binary.BigEndian.PutUint64(header[17:], seq)
	buf := bytes.NewBuffer(header)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	w := fieldWriter{enc: enc}
	w.message(m)
	if w.err != nil {
		return nil, errors.Wrap(w.err, "encode datagram")
	}
	if buf.Len()+macSize > MaxDatagramBytes {
		return nil, ErrTooLarge
	}
	out := append(buf.Bytes(), d.keys.Sign(buf.Bytes())...)
	d.mu.Lock()
	d.stats.Sealed++
	d.mu.Unlock()
	return out, nil
}

// Open verifies and decodes a datagram. The MAC is checked before anything is decoded, and
// only authentic datagrams advance the replay window.
func (d *DatagramCodec) Open(b []byte) (membership.Message, error) {
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

func (d *DatagramCodec) open(b []byte) (membership.Message, error) {
	var empty membership.Message
	switch {
	case len(b) < datagramHeaderSize+macSize:
		return empty, ErrTruncated
	case len(b) > MaxDatagramBytes:
		return empty, ErrTooLarge
	case b[0] != Version:
		return empty, ErrVersion
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if d.keys.Verify(body, mac) == nil {
		return empty, ErrUnauthenticated
	}
	var sender membership.Process
	copy(sender[:], b[1:])
	seq := binary.BigEndian.Uint64(b[17:])
	d.mu.Lock()
	isNew := d.windows.accept(sender, seq)
	d.mu.Unlock()
	if !isNew {
		return empty, ErrReplayed
	}
	r := bytes.NewReader(body[datagramHeaderSize:])
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	fields := fieldReader{dec: dec}
	m := fields.message()
	if fields.err == io.EOF || fields.err == io.ErrUnexpectedEOF {
		return empty, ErrTruncated
	}
	if fields.err != nil {
		return empty, errors.Wrap(ErrMalformed, fields.err.Error())
	}
	if r.Len() > 0 || m.From.Incarnation.Process != sender {
		return empty, ErrMalformed
	}
	return m, nil
}
