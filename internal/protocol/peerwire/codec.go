package peerwire

import (
	"net/netip"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxNameBytes bounds the names of instances, domains and sections.
const maxNameBytes = 128

// fieldWriter encodes fields in order and keeps the first error.
type fieldWriter struct {
	enc *msgpack.Encoder
	err error
}

func (w *fieldWriter) uint(v uint64) {
	if w.err == nil {
		w.err = w.enc.EncodeUint(v)
	}
}

func (w *fieldWriter) bool(v bool) {
	if w.err == nil {
		w.err = w.enc.EncodeBool(v)
	}
}

func (w *fieldWriter) bytes(b []byte) {
	if w.err == nil {
		w.err = w.enc.EncodeBytes(b)
	}
}

func (w *fieldWriter) string(s string) {
	if w.err == nil {
		w.err = w.enc.EncodeString(s)
	}
}

func (w *fieldWriter) length(n int) {
	if w.err == nil {
		w.err = w.enc.EncodeArrayLen(n)
	}
}

// addr encodes an address without its IPv6 zone.
func (w *fieldWriter) addr(a netip.AddrPort) {
	b, err := netip.AddrPortFrom(a.Addr().WithZone(""), a.Port()).MarshalBinary()
	if err != nil && w.err == nil {
		w.err = err
	}
	w.bytes(b)
}

// fieldReader decodes fields in order and keeps the first error. Lengths are checked before
// memory is allocated.
type fieldReader struct {
	dec *msgpack.Decoder
	err error
}

func (r *fieldReader) uint() uint64 {
	if r.err != nil {
		return 0
	}
	var v uint64
	v, r.err = r.dec.DecodeUint64()
	return v
}

func (r *fieldReader) bool() bool {
	if r.err != nil {
		return false
	}
	var v bool
	v, r.err = r.dec.DecodeBool()
	return v
}

func (r *fieldReader) bytes(limit int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.dec.DecodeBytesLen()
	if err == nil && n > limit {
		err = errors.Wrapf(ErrMalformed, "%d bytes where at most %d are allowed", n, limit)
	}
	if err != nil || n <= 0 {
		r.err = err
		return nil
	}
	var b []byte
	// The input is in memory already; growing in chunks bounds what a false length allocates.
	for chunkSize := 64 << 10; len(b) < n && r.err == nil; {
		read := len(b)
		b = append(b, make([]byte, min(chunkSize, n-read))...)
		r.err = r.dec.ReadFull(b[read:])
	}
	return b
}

func (r *fieldReader) string(limit int) string { return string(r.bytes(limit)) }

// fixed decodes len(b) bytes into b; any other length is an error.
func (r *fieldReader) fixed(b []byte) {
	v := r.bytes(len(b))
	if r.err == nil && len(v) != len(b) {
		r.err = errors.Wrapf(ErrMalformed, "%d bytes where %d are expected", len(v), len(b))
	}
	copy(b, v)
}

func (r *fieldReader) length(limit int) int {
	if r.err != nil {
		return 0
	}
	n, err := r.dec.DecodeArrayLen()
	if err == nil && n > limit {
		err = errors.Wrapf(ErrMalformed, "%d elements where at most %d are allowed", n, limit)
	}
	if err != nil {
		r.err = err
		return 0
	}
	return max(n, 0)
}

func (r *fieldReader) addr() netip.AddrPort {
	b := r.bytes(18)
	var a netip.AddrPort
	if r.err == nil && len(b) > 0 {
		if err := a.UnmarshalBinary(b); err != nil {
			r.err = errors.Wrap(ErrMalformed, err.Error())
		}
	}
	return a
}
