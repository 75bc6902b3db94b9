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
	Version = 2
	// MaxFrameBytes is the largest value of the length field.
	MaxFrameBytes = 2 << 20
	// MaxHandshakeFrameBytes bounds frames read before the peer is authenticated.
	MaxHandshakeFrameBytes = 4 << 10

	lengthFieldSize = 4
	frameHeaderSize = 2
)

// Errors of the decoders.
var (
	ErrTooLarge        = errors.New("message is too large")
	ErrTruncated       = errors.New("message is truncated")
	ErrVersion         = errors.New("unknown protocol version")
	ErrMalformed       = errors.New("malformed message")
	ErrUnauthenticated = errors.New("message is not authenticated")
	ErrReplayed        = errors.New("message was replayed")
)

// Frame is one message on a connection. Requests have a nonzero correlation number; their
// answers repeat it and set Reply.
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
	size := len(out) - start - lengthFieldSize
	if mac != nil {
		size += macSize
	}
	if size > MaxFrameBytes {
		return dst, ErrTooLarge
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	if mac != nil {
		out = mac.appendTo(out, out[start:])
	}
	return out, nil
}

// ReadFrame reads one frame without its length field. limit is MaxFrameBytes, or
// MaxHandshakeFrameBytes before the peer is authenticated. Memory is allocated as data
// arrives, so that a large length alone costs none.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var header [lengthFieldSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > uint32(limit) {
		return nil, ErrTooLarge
	}
	if n < frameHeaderSize {
		return nil, ErrTruncated
	}
	const chunkSize = 64 << 10
	frame := make([]byte, 0, min(int(n), chunkSize))
	for len(frame) < int(n) {
		chunk := min(int(n)-len(frame), chunkSize)
		old := len(frame)
		frame = append(frame, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, frame[old:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return frame, nil
}

// DecodeFrame decodes a frame returned by ReadFrame. mac may be nil.
func DecodeFrame(b []byte, mac *FrameMAC) (Frame, error) {
	if len(b) > MaxFrameBytes {
		return Frame{}, ErrTooLarge
	}
	if mac != nil {
		var err error
		if b, err = mac.verify(b); err != nil {
			return Frame{}, err
		}
	}
	if len(b) < frameHeaderSize {
		return Frame{}, ErrTruncated
	}
	if b[0] != Version {
		return Frame{}, ErrVersion
	}
	r := bytes.NewReader(b[frameHeaderSize:])
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	var f Frame
	var err error
	if f.Correlation, err = dec.DecodeUint64(); err != nil {
		return Frame{}, decodeError(err)
	}
	if f.Reply, err = dec.DecodeBool(); err != nil {
		return Frame{}, decodeError(err)
	}
	if f.Message, err = decodeBody(dec, Type(b[1])); err != nil {
		return Frame{}, decodeError(err)
	}
	if _, unknown := f.Message.(Unknown); !unknown && r.Len() > 0 {
		return Frame{}, errors.Wrap(ErrMalformed, "trailing bytes after the body")
	}
	return f, nil
}

func decodeError(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTruncated
	}
	return errors.Wrap(ErrMalformed, err.Error())
}
