package peerwire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Version is the version byte of frames and datagrams.
	Version = 1
	// MaxFrame is the largest value of the length field in bytes.
	MaxFrame = 2 << 20
	// MaxHandshakeFrame bounds frames before the peer is authenticated.
	MaxHandshakeFrame = 4 << 10

	lengthSize = 4
	headSize   = 2
)

// Errors of decoders.
var (
	ErrTooLarge        = errors.New("message is too large")
	ErrTruncated       = errors.New("message is cut off")
	ErrVersion         = errors.New("unknown protocol version")
	ErrMalformed       = errors.New("malformed message")
	ErrUnauthenticated = errors.New("message is not authenticated")
	ErrReplayed        = errors.New("message is replayed")
)

// Frame is one message on a connection. Requests carry a correlation number that is
// not zero, and their answers repeat it with Reply set.
type Frame struct {
	Correlation uint64
	Reply       bool
	Message     Message
}

// AppendFrame appends the encoded frame to dst. mac may be nil.
func AppendFrame(dst []byte, f Frame, mac *FrameMAC) ([]byte, error) {
	start := len(dst)
	buf := bytes.NewBuffer(append(dst, 0, 0, 0, 0, Version, byte(f.Message.Type())))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	err := enc.EncodeUint(f.Correlation)
	if err == nil {
		err = enc.EncodeBool(f.Reply)
	}
	if err == nil {
		err = encodeBody(enc, f.Message)
	}
	if err != nil {
		return dst, errors.Wrap(err, "encode frame")
	}
	out := buf.Bytes()
	size := len(out) - start - lengthSize
	if mac != nil {
		size += macSize
	}
	if size > MaxFrame {
		return dst, ErrTooLarge
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	if mac != nil {
		out = mac.appendTo(out, out[start:])
	}
	return out, nil
}

// ReadFrame reads the bytes of one frame without its length field. limit is
// MaxFrame, or MaxHandshakeFrame before the peer is authenticated. Memory is
// allocated as the bytes arrive, so that a length alone costs nothing.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(limit) {
		return nil, ErrTooLarge
	}
	if n < headSize {
		return nil, ErrTruncated
	}
	const step = 64 << 10
	out := make([]byte, 0, min(int(n), step))
	for len(out) < int(n) {
		k := min(int(n)-len(out), step)
		old := len(out)
		out = append(out, make([]byte, k)...)
		if _, err := io.ReadFull(r, out[old:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return out, nil
}

// DecodeFrame decodes the bytes that ReadFrame returns. mac may be nil.
func DecodeFrame(b []byte, mac *FrameMAC) (Frame, error) {
	if len(b) > MaxFrame {
		return Frame{}, ErrTooLarge
	}
	if mac != nil {
		var err error
		if b, err = mac.verify(b); err != nil {
			return Frame{}, err
		}
	}
	if len(b) < headSize {
		return Frame{}, ErrTruncated
	}
	if b[0] != Version {
		return Frame{}, ErrVersion
	}
	r := bytes.NewReader(b[headSize:])
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	var f Frame
	var err error
	if f.Correlation, err = dec.DecodeUint64(); err != nil {
		return Frame{}, malformed(err)
	}
	if f.Reply, err = dec.DecodeBool(); err != nil {
		return Frame{}, malformed(err)
	}
	if f.Message, err = decodeBody(dec, Type(b[1])); err != nil {
		return Frame{}, malformed(err)
	}
	if r.Len() > 0 {
		return Frame{}, errors.Wrap(ErrMalformed, "bytes behind the body")
	}
	return f, nil
}

func malformed(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTruncated
	}
	return errors.Wrap(ErrMalformed, err.Error())
}
