package peerwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"
)

const (
	macSize = sha256.Size
	// MinKey is the smallest length of a key in bytes.
	MinKey = 16
	// NonceSize is the length of a handshake nonce in bytes.
	NonceSize = 32
)

// KeyList holds the keys that all instances share. The first signs, all verify: a
// key is rotated by adding the new one at the end everywhere, then moving it to the
// front, then removing the old one. It is safe for concurrent use.
type KeyList struct {
	mu   sync.RWMutex
	keys [][]byte
}

// NewKeyList returns a list, or an error when it is empty or a key is too short.
func NewKeyList(keys ...[]byte) (*KeyList, error) {
	l := new(KeyList)
	return l, l.Set(keys...)
}

// Set replaces the keys. On error the old ones remain.
func (l *KeyList) Set(keys ...[]byte) error {
	if len(keys) == 0 {
		return errors.New("key list is empty")
	}
	copied := make([][]byte, len(keys))
	for i, k := range keys {
		if len(k) < MinKey {
			return errors.Errorf("key %d has %d bytes, at least %d are needed", i+1, len(k), MinKey)
		}
		copied[i] = append([]byte(nil), k...)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = copied
	return nil
}

// All returns the keys. They must not be modified.
func (l *KeyList) All() [][]byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.keys
}

func sum(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

// Sign returns the MAC of b with the first key.
func (l *KeyList) Sign(b []byte) []byte { return sum(l.All()[0], b) }

// Verify returns the key with which mac was made for b, or nil.
func (l *KeyList) Verify(b, mac []byte) []byte {
	for _, k := range l.All() {
		if hmac.Equal(sum(k, b), mac) {
			return k
		}
	}
	return nil
}

// Side is the end of a connection that a MAC belongs to, so that a message cannot be
// reflected to its sender.
type Side byte

// Sides of a connection.
const (
	Client Side = 'c'
	Server Side = 's'
)

// Handshake is the transcript of a connection's first messages.
type Handshake struct {
	Client, Server Identity
	ClientNonce    []byte
	ServerNonce    []byte
}

// Transcript returns the bytes that side proves the knowledge of a key for.
func (h Handshake) Transcript(side Side) []byte {
	b := append([]byte("yuccabridge peer 1 "), byte(side))
	for _, p := range [][]byte{h.ClientNonce, h.ServerNonce, identityBytes(h.Client), identityBytes(h.Server)} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(p)))
		b = append(b, p...)
	}
	return b
}

func identityBytes(i Identity) []byte {
	var b []byte
	for _, s := range []string{i.Name, i.Domain, string(i.Process[:]), i.TCP.String()} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	return b
}

// FrameMAC authenticates the frames of one direction of one connection. The counter
// in the MAC rejects frames that are repeated, dropped or swapped. It is not safe for
// concurrent use.
type FrameMAC struct {
	key     []byte
	counter uint64
}

// NewFrameMAC returns the MAC for the frames that side sends.
func NewFrameMAC(key []byte, h Handshake, side Side) *FrameMAC {
	return &FrameMAC{key: sum(key, []byte("frames "), h.Transcript(side))}
}

func (f *FrameMAC) next(frame []byte) []byte {
	var c [8]byte
	binary.BigEndian.PutUint64(c[:], f.counter)
	f.counter++
	return sum(f.key, c[:], frame)
}

// appendTo appends the MAC of a frame, with its length field, to dst.
func (f *FrameMAC) appendTo(dst, frame []byte) []byte { return append(dst, f.next(frame)...) }

// verify checks the MAC at the end of b, a frame without its length field.
func (f *FrameMAC) verify(b []byte) ([]byte, error) {
	if len(b) < macSize {
		return nil, ErrTruncated
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(b)))
	if !hmac.Equal(f.next(append(frame, body...)), mac) {
		return nil, ErrUnauthenticated
	}
	return body, nil
}

// SignWith returns the MAC of b with one key.
func SignWith(key, b []byte) []byte { return sum(key, b) }
