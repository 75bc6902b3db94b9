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
	// MinKeyBytes is the smallest accepted key length.
	MinKeyBytes = 16
	// NonceSize is the length of a handshake nonce in bytes.
	NonceSize = 32
)

// KeyList holds the keys shared by all instances. The first key signs, all keys verify. To
// rotate a key, append the new one on every instance, then move it to the front, then
// remove the old one. It is safe for concurrent use.
type KeyList struct {
	mu   sync.RWMutex
	keys [][]byte
}

// NewKeyList returns a list of keys, or an error when there are none or one is too short.
func NewKeyList(keys ...[]byte) (*KeyList, error) {
	l := new(KeyList)
	return l, l.Set(keys...)
}

// Set replaces the keys. On error the previous keys stay in use.
func (l *KeyList) Set(keys ...[]byte) error {
	if len(keys) == 0 {
		return errors.New("key list is empty")
	}
	copied := make([][]byte, len(keys))
	for i, k := range keys {
		if len(k) < MinKeyBytes {
			return errors.Errorf("key %d has %d bytes, at least %d are needed", i+1, len(k), MinKeyBytes)
		}
		copied[i] = append([]byte(nil), k...)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = copied
	return nil
}

// All returns the keys. The caller must not modify them.
func (l *KeyList) All() [][]byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.keys
}

func computeMAC(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range parts {
		h.Write(part)
	}
	return h.Sum(nil)
}

// Sign returns the MAC of b under the first key.
func (l *KeyList) Sign(b []byte) []byte { return computeMAC(l.All()[0], b) }

// Verify returns the key under which mac is valid for b, or nil.
func (l *KeyList) Verify(b, mac []byte) []byte {
	for _, k := range l.All() {
		if hmac.Equal(computeMAC(k, b), mac) {
			return k
		}
	}
	return nil
}

// Side is one end of a connection. It is part of each MAC, so that a message cannot be
// reflected to its sender.
type Side byte

// The two ends of a connection.
const (
	Client Side = 'c'
	Server Side = 's'
)

// Handshake holds the identities and nonces that both ends exchanged.
type Handshake struct {
	Client, Server Identity
	ClientNonce    []byte
	ServerNonce    []byte
}

// Transcript returns the bytes whose MAC proves that side knows a key.
func (h Handshake) Transcript(side Side) []byte {
	b := append([]byte("yuccabridge peer 1 "), byte(side))
	for _, field := range [][]byte{h.ClientNonce, h.ServerNonce, identityBytes(h.Client), identityBytes(h.Server)} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(field)))
		b = append(b, field...)
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

// FrameMAC authenticates the frames of one direction of one connection. The MAC covers a
// counter, so that repeated, dropped or reordered frames are rejected. It is not safe for
// concurrent use.
type FrameMAC struct {
	key     []byte
	counter uint64
}

// NewFrameMAC returns the MAC for frames sent by side.
func NewFrameMAC(key []byte, h Handshake, side Side) *FrameMAC {
	return &FrameMAC{key: computeMAC(key, []byte("frames "), h.Transcript(side))}
}

func (f *FrameMAC) nextMAC(frame []byte) []byte {
	var counter [8]byte
	binary.BigEndian.PutUint64(counter[:], f.counter)
	f.counter++
	return computeMAC(f.key, counter[:], frame)
}

// appendTo appends the MAC of frame to dst. frame includes its length field.
func (f *FrameMAC) appendTo(dst, frame []byte) []byte { return append(dst, f.nextMAC(frame)...) }

// verify checks and removes the MAC at the end of b, a frame without its length field.
func (f *FrameMAC) verify(b []byte) ([]byte, error) {
	if len(b) < macSize {
		return nil, ErrTruncated
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthFieldSize+len(body)), uint32(len(b)))
	if !hmac.Equal(f.nextMAC(append(frame, body...)), mac) {
		return nil, ErrUnauthenticated
	}
	return body, nil
}

// SignWith returns the MAC of b under the given key.
func SignWith(key, b []byte) []byte { return computeMAC(key, b) }
